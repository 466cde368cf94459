"""Copies of late requests, with a server that freezes: cases_hedge.py PROGRAM [CASE...]. See cases.py."""

import sys

from cases import check, equal, main
from site_front import CONTROL_PORT

WARM_CALLS = 24  # after these a front knows the usual time of an answer
CALLS = 16
SHARE = 0.5  # of the requests that may get a copy


async def look_up(site, front, count, name):
    """Calls one after the other; each must be answered by one server's complete answer."""
    answers = [await site.call(front, f"/again/{name}{number}", b"%d" % number) for number in range(count)]
    for answer in answers:
        equal((answer.status, answer.complete), (200, True), repr(answer))
    check(site, *answers)
    return answers


async def frozen_with_the_first_copy(site):
    """A server freezes with requests that it has accepted. Their copies answer, the frozen server is left at once, no
    request runs on more than two servers, copies stay within the operator's limit, and one that may run only once gets
    none. Without a limit no copy is sent."""
    front = site.fronts[0]
    front.hedge_share = SHARE
    await front.reload()
    warm = await look_up(site, front, WARM_CALLS, "w")
    orders = [engine for engine in site.engines if engine.service == "orders"]
    frozen = warm and site.runs_of(warm[-1])[0].engine
    frozen.mode = "mute"
    answers = await look_up(site, front, CALLS, "a")
    once = await site.call(front, "/once/a", b"once")
    check(site, once)
    copies = front.events("request_hedge")
    equal(any(copy["kept"] == "copy" and copy["first"] == frozen.name for copy in copies), True, "a copy has answered")
    equal(len(copies) <= SHARE * len(site.front_of) + 1, True, f"{len(copies)} copies")
    equal(max(len(site.runs_of(answer)) for answer in answers) <= 2, True, "servers for one request")
    equal(len(site.runs_of(once)), 1, "servers for a request that may run once")
    equal(once.request in [copy["request"] for copy in copies], False, "copied")

    async def is_left():
        return all(run.ended for run in site.runs if run.engine is frozen and run.request != once.request)

    await site.wait(is_left, "the frozen server's connections to close")
    metrics = (await front.get(CONTROL_PORT, "/metrics")).body.decode()
    wins = [line for line in metrics.splitlines() if line.startswith("lovage_front_hedge_wins_total ")]
    equal(int(wins[0].split()[1]) > 0, True, wins)
    front.hedge_share = 0
    await front.reload()
    known = len(front.events("request_hedge"))
    equal(len(orders) > 1, True, "another server")
    await look_up(site, front, CALLS, "b")
    equal(len(front.events("request_hedge")), known, "copies after the limit was withdrawn")


CASES = [frozen_with_the_first_copy]

if __name__ == "__main__":
    sys.exit(main(CASES))
