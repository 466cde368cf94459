"""The store comes back from a copy some seconds old: cases_copy.py PROGRAM [CASE...]. See cases.py.

What was written since the copy was made is gone, and its versions are given out again. The operator and the engines
write again what they had written.
"""

import asyncio
import json
import sys
import time

from cases import BUSY_TIMEOUT_S, check, equal, main, traffic
from cases_rollout import (
    ANSWER_S,
    EXPOSURE_SHARE,
    EXPOSURE_SLACK,
    ROLLOUT_S,
    SHORT_ROLLOUT_S,
    is_status,
    put_order,
    start_engines,
    traffic_for,
)
from check import LEAVING_S, evacuation_violations
from site_front import Front

POLL_S = 1.5  # within which fronts learn the store's newest version, also without changes
AWAY_S = 1.0  # how long the store doesn't answer before it comes back
SETTLED_S = 3.2  # from the store's return until changes have to be in force in the usual time
APPLY_S = 2.0  # until a configuration is in force
READERS_MAX = 7  # of a table at the store: two in each of two failure domains, and three that poll it at short intervals
ORDER_KNOWN_S, ORDER_AGAIN_S = 0.5, 0.5  # until the store goes away after an order; until it is given again
CALLS_MAX_PER_S = 20  # of one front at the store, while nothing changes there


async def wait_settled(site):
    """Waits until two fronts poll the store at short intervals, and so know its newest version."""

    async def two_poll_briefly():
        return sum(any("WaitMs=1000" in feed and "Table=servers" in feed for feed in front.store_endpoint.feeds) for front in site.fronts) >= 2

    await site.wait(two_poll_briefly, "short polls of two fronts")


async def go_away(site):
    for front in site.fronts:
        front.store_endpoint.set("reset")
    await asyncio.sleep(AWAY_S)


async def answer_again(site, copy):
    """The store comes back from the copy, and the engines and the operator write their rows again."""
    site.store.restore(copy)
    for front in site.fronts:
        front.store_endpoint.set("ok")
    for engine in site.engines:
        if not engine.left_at:
            await engine.report()
    await site.configure()


async def come_back(site, copy):
    """As answer_again; returns the store's calls until changes are in force in the usual time again."""
    await answer_again(site, copy)
    calls = site.store.calls
    await asyncio.sleep(SETTLED_S)
    return site.store.calls - calls


def rewritten(site):
    """Number of rows that come_back writes."""
    return 1 + sum(not engine.left_at for engine in site.engines)


async def lose_changes(site, number):
    """The store comes back from a copy made so many changes before; returns its calls as come_back does."""
    copy = site.store.copy()
    for _ in range(number):
        await site.configure()
        await asyncio.sleep(0.1)
    await asyncio.sleep(POLL_S)
    await go_away(site)
    return await come_back(site, copy)


async def add_route(site, name):
    """A configuration adds a route; checks that each front serves it in time."""
    site.routes.append({**site.routes[-1], "Name": f"r-{name}", "Prefix": f"/{name}/"})
    await site.configure()
    await asyncio.sleep(APPLY_S)
    for front in site.fronts:
        equal((await site.call(front, f"/{name}/a")).status, 200, f"the new route at front {front.number}")


async def store_returns_from_copy(site):
    """After the store came back from a copy, an engine says that it leaves, with the version that fronts knew last,
    and, after it came back once more, a route is added, with a version that they knew before. Guards against fronts
    that take such changes for old ones, and that read all tables again without end."""
    await wait_settled(site)
    calls = await lose_changes(site, rewritten(site) + 1)
    leaving = site.engines[0]
    await leaving.drain()
    await traffic(site, time.monotonic() + 4)
    number = sum(run.engine is leaving and run.at > leaving.left_at + LEAVING_S for run in site.runs)
    calls += await lose_changes(site, 2 * rewritten(site))
    try:
        await add_route(site, "added")
    finally:
        equal(number, 0, f"requests that reached an engine later than {LEAVING_S} s after it left")
    if calls > CALLS_MAX_PER_S * 2 * SETTLED_S * len(site.fronts):
        raise AssertionError(f"{calls} calls to the store in {2 * SETTLED_S} s")


async def check_changes(site):
    """An engine says that it leaves and a route is added; checks that all fronts apply both in time."""
    leaving = next(engine for engine in site.engines if engine.service == "texts" and not engine.left_at)
    await leaving.drain()
    await asyncio.gather(add_route(site, f"added{len(site.routes)}"), traffic(site, time.monotonic() + 4))
    number = sum(run.engine is leaving and run.at > leaving.left_at + LEAVING_S for run in site.runs)
    equal(number, 0, f"requests that reached an engine later than {LEAVING_S} s after it left")


async def add_fronts(site, number):
    for _ in range(number):
        front = Front(site, len(site.fronts))
        site.fronts.append(front)
        await front.store_endpoint.start()
        await front.start()
    for front in site.fronts:
        await site.wait(front.is_ready, f"front {front.number} ready")


async def fronts_that_follow_others(site):
    """Most of nine fronts get rows from other fronts. Guards against those keeping versions that the store no longer
    has, and against all of them reading the whole tables at the store."""
    await add_fronts(site, 6)
    await site.start_engine("texts")
    await wait_settled(site)
    for lost in (rewritten(site) + 1, 2 * rewritten(site)):
        for front in site.fronts:
            front.store_endpoint.pages.clear()
        await lose_changes(site, lost)
        readers = sum(any("Table=servers" in page for page in front.store_endpoint.pages) for front in site.fronts)
        if readers > READERS_MAX:
            raise AssertionError(f"{readers} of {len(site.fronts)} fronts read the servers' table at the store")
        await check_changes(site)


async def front_without_store(site):
    """One front can't reach the store before, while and after it comes back from a copy. It learns of later changes
    from the others."""
    await wait_settled(site)
    for lost in (rewritten(site) + 1, 2 * rewritten(site)):
        copy = site.store.copy()
        for _ in range(lost):
            await site.configure()
        await asyncio.sleep(POLL_S)
        await go_away(site)
        await answer_again(site, copy)
        site.fronts[0].store_endpoint.set("reset")
        await asyncio.sleep(SETTLED_S)
        await site.start_engine("texts")
        await check_changes(site)
        site.fronts[0].store_endpoint.set("ok")
        await asyncio.sleep(POLL_S)


async def front_that_starts_meanwhile(site):
    """A front restarts while the store is away, and another one just after it came back."""
    await wait_settled(site)
    copy = site.store.copy()
    for _ in range(2 * rewritten(site)):
        await site.configure()
    await asyncio.sleep(POLL_S)
    await go_away(site)
    await site.fronts[0].kill()
    await site.fronts[0].start()
    await answer_again(site, copy)
    await site.fronts[1].kill()
    await site.fronts[1].start()
    for front in site.fronts:
        await site.wait(front.is_ready, f"front {front.number} ready")
    await asyncio.sleep(SETTLED_S)
    await check_changes(site)


async def order_rollout(site, seconds):
    await site.store.put("op", "rollout/texts", json.dumps({"Service": "texts", "Target": "v2", "RampS": seconds}))


async def rollout_goes_on(site):
    """The store loses the order and the status of a running roll-out, and then its final status. The operator gives
    the order again. Guards against a roll-out that begins anew, and a status that is not written again."""
    for _ in range(2):
        await site.add_engine("texts", "v2").start()
    await wait_settled(site)
    copy = site.store.copy()
    await order_rollout(site, 16)
    answers = asyncio.ensure_future(traffic(site, time.monotonic() + 15))
    await asyncio.sleep(4)
    started = site.store.get("status", "rollout/texts")["StartedMs"]
    await go_away(site)
    await answer_again(site, copy)
    await asyncio.sleep(0.5)
    await order_rollout(site, 16)

    def status():
        return site.store.get("status", "rollout/texts") or {}

    async def has_state(state):
        return status().get("State") == state

    await site.wait(lambda: has_state("running"), "the running status again", BUSY_TIMEOUT_S)
    if abs(status()["StartedMs"] - started) > 500:
        raise AssertionError(f"began anew: {started}, {status()}")
    copy = site.store.copy()
    await site.wait(lambda: has_state("completed"), "the final status", 12)
    check(site, *await answers)
    await go_away(site)
    await answer_again(site, copy)
    await site.wait(lambda: has_state("completed"), "the final status again", BUSY_TIMEOUT_S)


async def evacuation_goes_on(site):
    """The store loses the order to evacuate a failure domain, and the operator gives it again a second later. Guards
    against work for the domain meanwhile."""
    await wait_settled(site)
    copy = site.store.copy()
    await site.evacuate("b")
    since = site.evacuations["b"]
    load = asyncio.ensure_future(traffic(site, time.monotonic() + 9))
    await asyncio.sleep(3)
    await go_away(site)
    await answer_again(site, copy)
    await asyncio.sleep(1)
    await site.evacuate("b")
    await load
    equal(evacuation_violations(site, "b", since, lambda front: True), [], "work for the evacuated domain")


async def next_order_crosses_the_return(site):
    """The store loses that v2 was completed and that v3, which is bad, is ordered. The operator orders v3 again. Guards
    against fronts that act on the order or the status that the copy has: v3 would get all requests, or v2 be on trial again."""
    for version in ("v2", "v3"):
        await start_engines(site, version, 4)
    for engine in site.engines:
        engine.delay = ANSWER_S
        engine.fails_from = 0 if engine.version == "v3" else None
    await wait_settled(site)
    await put_order(site, "v2", SHORT_ROLLOUT_S)
    traffic_ends = asyncio.ensure_future(traffic_for(site, SHORT_ROLLOUT_S + AWAY_S + ROLLOUT_S))
    await asyncio.sleep(SHORT_ROLLOUT_S / 2)
    copy = site.store.copy()
    await site.wait(is_status(site, "v2", "completed"), "v2 is completed")
    for engine in site.engines:
        if engine.version == "v1" and engine.service == "orders":
            await engine.leave()
            await engine.crash()
    await put_order(site, "v3", ROLLOUT_S)
    ordered = time.monotonic()
    await asyncio.sleep(ORDER_KNOWN_S)
    await go_away(site)
    await answer_again(site, copy)
    await asyncio.sleep(ORDER_AGAIN_S)
    await put_order(site, "v3", ROLLOUT_S)
    await site.wait(is_status(site, "v3", "rolled_back"), "v3 is rolled back", ROLLOUT_S)
    check(site, *await traffic_ends)
    runs = [run for run in site.runs if run.engine.service == "orders" and run.at >= ordered]
    reached = sum(run.engine.version == "v3" for run in runs)
    allowed = EXPOSURE_SHARE * len(runs) + EXPOSURE_SLACK
    equal(reached <= allowed, True, f"{reached} of {len(runs)} requests reached the bad version, {allowed:.0f} are allowed")


CASES = [
    store_returns_from_copy, fronts_that_follow_others, front_without_store, front_that_starts_meanwhile, rollout_goes_on,
    evacuation_goes_on, next_order_crosses_the_return,
]  # fmt: skip

if __name__ == "__main__":
    sys.exit(main(CASES))
