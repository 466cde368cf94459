"""Fronts that are cut off from all engines, while callers, the store and other fronts reach them: cases_cut.py PROGRAM
[CASE...]. See cases.py."""

import asyncio
import socket
import sys
import time

from cases import check, equal, log_events, main
from relay_tcp import Relay
from site_front import ENGINE_PORT, Front

FOUND_S = 3  # after which callers of a front that is cut off are to be served as others are
SERVED_SHARE = 2 / 3  # of what other fronts serve at the first attempt, at least
CALLS = 30
REFUSED_WITHIN_S = 2.5
OBJECTIVE_S = 0.3  # of the plain services' routes
MANY_FRONTS = 26  # in two failure domains: few of a domain hear each other's own messages
SETTLED_S = 4.5  # until fronts that have just started know most others


class DeadAddress:
    """An address at which connections are refused, or hang because the queue of its listener is full."""

    def __init__(self, site, hangs):
        self.sockets = [socket.socket()]
        self.sockets[0].setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)  # after connections of an earlier case
        self.sockets[0].bind((f"{site.subnet}.250", ENGINE_PORT + 900))
        self.name = "%s:%d" % self.sockets[0].getsockname()
        if not hangs:
            return
        self.sockets[0].listen(0)
        for _ in range(4):
            waiting = socket.socket()
            waiting.setblocking(False)
            waiting.connect_ex(self.sockets[0].getsockname())
            self.sockets.append(waiting)

    def close(self):
        for each in self.sockets:
            each.close()


async def set_cut(site, fronts, name):
    """Cuts these fronts off from all engines, or ends that if name is None."""
    for front in fronts:
        front.store_endpoint.servers_at = name
    for engine in site.engines:
        engine.born_ms += 1  # a known start of an engine keeps its address
        await engine.report()


async def call_all_kinds(site, front, count, name):
    """Sends first attempts of all kinds of request, one after the other."""
    answers = []
    for number in range(count):
        path = ("/text/", "/once/", "/again/")[number % 3]
        answers.append(await site.call(front, f"{path}{name}{number}", b"%s.%d" % (name.encode(), number)))
    return answers


async def cut_front_serves(site, hangs):
    dead = DeadAddress(site, hangs)
    cut, other = site.fronts[0], site.fronts[1]
    check(site, *await call_all_kinds(site, cut, 6, "before"))
    await set_cut(site, [cut], dead.name)
    busy = asyncio.ensure_future(call_all_kinds(site, cut, 12, "early"))
    await asyncio.sleep(FOUND_S)
    answers, others = await asyncio.gather(
        call_all_kinds(site, cut, CALLS, "cut"), call_all_kinds(site, other, CALLS, "other")
    )
    served = sum(answer.status == 200 and answer.complete for answer in answers)
    served_by_others = sum(answer.status == 200 and answer.complete for answer in others)
    equal(served_by_others, CALLS, "requests served by the other front")
    equal(served >= SERVED_SHARE * CALLS, True, f"{served} of {CALLS} served by the front that is cut off")
    check(site, *answers, *others, *await busy)
    await set_cut(site, [cut], None)
    await asyncio.sleep(1)
    site.runs.clear()
    answers = await call_all_kinds(site, cut, CALLS, "after")
    equal([answer.status for answer in answers if answer.status != 200], [], "other answers after the cut")
    check(site, *answers)
    dead.close()


async def refused_connections_to_engines(site):
    """One of three fronts is refused by all engines. Guards against refusing its callers' requests, which other
    fronts can serve."""
    await cut_front_serves(site, hangs=False)


async def hanging_connections_to_engines(site):
    """One of three fronts gets no answer from any engine. Guards against letting its callers wait for one connection
    after the other, and refusing them then."""
    await cut_front_serves(site, hangs=True)


async def all_fronts_cut_off(site):
    """No front reaches an engine. Guards against requests that fronts pass on to each other without end: each is
    refused soon, as not run, with a retry-after time."""
    dead = DeadAddress(site, hangs=False)
    await set_cut(site, site.fronts, dead.name)
    await asyncio.sleep(FOUND_S)
    for front in site.fronts:
        for number in range(4):
            began = time.monotonic()
            answer = await site.call(front, f"/once/{front.number}.{number}", b"x")
            equal(answer.status, 503, "status")
            equal("retry-after" in answer.fields, True, "retry-after time")
            equal(time.monotonic() - began < REFUSED_WITHIN_S, True, f"refused within {REFUSED_WITHIN_S} s")
    await set_cut(site, site.fronts, None)
    await asyncio.sleep(1)
    check(site, *await call_all_kinds(site, site.fronts[0], 6, "after"))
    dead.close()


async def caller_leaves_a_request_handed_over(site):
    """A caller leaves while another front serves its request. Guards against work that goes on for nobody, and against
    requests that run twice, or with another id or more time than the caller gave."""
    dead = DeadAddress(site, hangs=False)
    cut = site.fronts[0]
    await set_cut(site, [cut], dead.name)
    await asyncio.sleep(0.5)
    await call_all_kinds(site, cut, 9, "before")
    for engine in site.engines:
        engine.delay = 3.0
    for path in ("/text/", "/once/"):
        answer = await site.call(cut, f"{path}a", path.encode(), timeout=0.3, deadline=2000)
        await asyncio.sleep(0.5)
        runs = site.runs_of(answer)
        equal(len(runs), 1, f"runs of {path}")
        equal(runs[0].ended > 0, True, f"{path}: ended at its engine")
        equal(1000 < int(runs[0].fields["lovagehub-deadline-ms"]) <= 2000, True, f"{path}: time left")
        equal("lovage-handed-off" in runs[0].fields, False, f"{path}: tells the engine of the handoff")
    equal(len([event for event in cut.events("request_handed_off") if event["state"] == "sent"]) > 0, True, "handed over")
    dead.close()


async def notices_in_answers_handed_over(site):
    """A front that is cut off passes on answers in which an engine says that it leaves. Guards against sending it
    requests once the front reaches engines again, as only the front that served the requests knows."""
    dead = DeadAddress(site, hangs=False)
    cut = site.fronts[0]
    leaving = next(engine for engine in site.engines if engine.service == "orders")
    await set_cut(site, [cut], dead.name)
    await asyncio.sleep(0.5)
    await call_all_kinds(site, cut, 9, "before")
    leaving.says_leaving = True
    answers = await call_steadily(site, [cut], CALLS, 2.0, "cut")
    told = [answer for answer in answers if "server-leaving" in answer.fields]
    equal(len(told) > 0, True, "answers that say that the engine leaves")
    sent_before = len(cut.events("request_sent"))
    address = dead.sockets[0].getsockname()
    dead.close()
    relay = Relay(address, leaving.address)  # the other engines' address as well: it turns their requests away
    await relay.start()
    await call_steadily(site, [cut], 3 * CALLS, 6.0, "after")
    sent = [event["server"] for event in cut.events("request_sent")[sent_before:]]
    equal(len(sent) > 0, True, "requests sent to engines after the cut")
    equal(sent.count(leaving.name), 0, "requests sent to the engine that leaves")
    relay.close()


async def front_that_reaches_few_engines(site):
    """One of three fronts reaches one of six engines of each service; connections to the others hang. Guards against
    letting its callers wait for one connection after the other, although other fronts reach all engines."""
    dead = DeadAddress(site, hangs=True)
    cut, other = site.fronts[0], site.fronts[1]
    for service in ("texts", "orders"):
        for _ in range(4):
            await site.start_engine(service)
    cut.store_endpoint.reachable = {site.engines[1].name, site.engines[3].name}
    check(site, *await call_all_kinds(site, cut, 6, "before"))
    await set_cut(site, [cut], dead.name)
    await call_steadily(site, site.fronts, 30, FOUND_S, "early")
    answers, by_others = await asyncio.gather(
        call_steadily(site, [cut], 2 * CALLS, 4.0, "cut"), call_steadily(site, [other], 2 * CALLS, 4.0, "other")
    )
    in_time, in_time_of_others = (
        sum(answer.status == 200 and answer.ended_at - answer.sent_at < OBJECTIVE_S for answer in group)
        for group in (answers, by_others)
    )
    print(f"{in_time} of {len(answers)} in time by the front that reaches few engines, {in_time_of_others} by another", flush=True)
    equal(in_time >= SERVED_SHARE * in_time_of_others, True, f"{in_time} in time, {in_time_of_others} by another front")
    check(site, *answers, *by_others)
    dead.close()


async def grow(site):
    for number in range(len(site.fronts), MANY_FRONTS):
        front = Front(site, number)
        site.fronts.append(front)
        await front.store_endpoint.start()
        await front.start()
    for front in site.fronts:
        await site.wait(front.is_ready, f"front {front.number} ready")
    await asyncio.sleep(SETTLED_S)


async def call_steadily(site, fronts, calls, spread_s, name):
    """Sends so many first attempts to each of these fronts, spread over so many seconds."""
    started = []
    for number in range(calls):
        for front in fronts:
            path = ("/text/", "/once/", "/again/")[number % 3]
            body = b"%s.%d.%d" % (name.encode(), front.number, number)
            started.append(asyncio.ensure_future(site.call(front, f"{path}{name}", body)))
        await asyncio.sleep(spread_s / calls)
    return await asyncio.gather(*started)


async def whole_domain_cut_off(site):
    """All 13 fronts of a failure domain reach no engine, 13 of another one do. Guards against handing requests to fronts
    that are cut off, too, of which a front has not heard itself that they are."""
    dead = DeadAddress(site, hangs=False)
    await grow(site)
    cut = [front for front in site.fronts if front.domain == "a"]
    others = [front for front in site.fronts if front not in cut]
    check(site, *await call_steadily(site, site.fronts, 6, 2.0, "before"))
    await set_cut(site, cut, dead.name)
    await call_steadily(site, site.fronts, 9, FOUND_S, "early")
    known = len(log_events(site, "request_handed_off"))
    answers, by_others = await asyncio.gather(
        call_steadily(site, cut, CALLS, 4.0, "cut"), call_steadily(site, others, CALLS, 4.0, "other")
    )
    share = sum(answer.status == 200 and answer.complete for answer in answers) / len(answers)
    share_of_others = sum(answer.status == 200 and answer.complete for answer in by_others) / len(by_others)
    sent = [line for line in log_events(site, "request_handed_off") if line["state"] == "sent"]
    late_ids = {answer.request for answer in answers}
    in_vain = [line for line in sent if line["request"] in late_ids and line["peer"] in {front.ip for front in cut}]
    print(f"{share:.3f} served by cut fronts, {share_of_others:.3f} by others; {len(in_vain)} of {len(sent)} handed over in vain", flush=True)
    equal(known > 0, True, "requests handed over")
    equal(len(in_vain), 0, "requests handed to a front that is cut off as well")
    equal(share >= SERVED_SHARE * share_of_others, True, f"{share:.2f} served by fronts that are cut off, {share_of_others:.2f} by others")
    check(site, *answers, *by_others)
    dead.close()


CASES = [
    refused_connections_to_engines, hanging_connections_to_engines, all_fronts_cut_off,
    caller_leaves_a_request_handed_over, notices_in_answers_handed_over, front_that_reaches_few_engines, whole_domain_cut_off,
]

if __name__ == "__main__":
    sys.exit(main(CASES))
