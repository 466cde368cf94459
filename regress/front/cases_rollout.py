"""Roll-outs of versions that are bad without failing: cases_rollout.py PROGRAM [CASE...]. See cases.py."""

import asyncio
import base64
import json
import sys
import time

from cases import check, equal, main
from wire import answer

ANSWER_S = 0.03  # a sound engine's time for an answer
CALLERS = 3  # that call each front at a time
ROLLOUT_S, SHORT_ROLLOUT_S = 12, 6
CROSS_S = 0.2  # until the fronts know an order, and less than until another front writes a status in place of the first
STATUS_LATE_S = 3  # that answers about statuses take
REPLACED_AT_S, ORDER_LATE_S = 8, 4  # when an order is replaced; that answers about orders take then
EXPOSURE_SHARE = 0.15  # of the requests during the roll-out that a bad version may get
EXPOSURE_SLACK = 30  # requests beyond that share


async def order_rollout(site, delays):
    """Starts an engine of a new version of the plain service for each of delays (seconds until its answers begin)
    beside as many of the old version, and orders the roll-out."""
    while sum(engine.service == "orders" for engine in site.engines) < len(delays):
        await site.add_engine("orders").start()
    for engine in site.engines:
        engine.delay = ANSWER_S
    for delay in delays:
        engine = site.add_engine("orders", "v2")
        engine.delay = delay
        await engine.start()
    await site.store.put("op", "rollout/orders", json.dumps({"Service": "orders", "Target": "v2", "RampS": ROLLOUT_S}))


async def call_until(site, until, name):
    answers = []
    number = 0
    while time.monotonic() < until:
        front = site.fronts[number % len(site.fronts)]
        answers.append(await site.call(front, f"/once/{name}{number}", b"%d.%d" % (name, number)))
        number += 1
    return answers


async def traffic_for(site, seconds):
    until = time.monotonic() + seconds
    callers = [call_until(site, until, name) for name in range(CALLERS * len(site.fronts))]
    return [answer for answers in await asyncio.gather(*callers) for answer in answers]


def exposed(site):
    """Requests that reached the new version, and how many are allowed if it is bad."""
    runs = [run for run in site.runs if run.engine.service == "orders"]
    return sum(run.engine.version == "v2" for run in runs), EXPOSURE_SHARE * len(runs) + EXPOSURE_SLACK


async def slow_version_of_a_plain_service(site):
    """A new version answers correctly but takes eight times as long. Guards against bounds on slowness that short
    answers never reach, with which such a version is completed."""
    await order_rollout(site, [8 * ANSWER_S] * 4)
    check(site, *await traffic_for(site, ROLLOUT_S))
    equal(site.store.get("status", "rollout/orders")["State"], "rolled_back", "status")
    reached, allowed = exposed(site)
    equal(reached <= allowed, True, f"{reached} requests reached the bad version, {allowed:.0f} are allowed")


async def good_version_with_a_slow_engine(site):
    """One of four engines of a good version takes four times as long. Guards against taking a slow server for a
    slow version: the roll-out must be completed."""
    await order_rollout(site, [4 * ANSWER_S] + [ANSWER_S] * 3)
    check(site, *await traffic_for(site, ROLLOUT_S))
    equal(site.store.get("status", "rollout/orders")["State"], "completed", "status")


async def requests_that_fail_anywhere(site):
    """Three requests fail at each engine, and happen to run on a good new version, where each is sent three times. Guards
    against blaming a version for one request's failure several times."""
    await order_rollout(site, [ANSWER_S] * 4)
    await asyncio.sleep(1)  # until sessions begin on the new version
    found = []
    number = 0
    while len(found) < 3:
        answer = await site.call(site.fronts[number % len(site.fronts)], f"/again/{number}", b"%d" % number)
        found += [answer.sent_body for run in site.runs_of(answer) if run.engine.version == "v2"]
        number += 1
    for engine in site.engines:
        engine.fail_bodies = set(found)
    for body in found:
        answer = await site.call(site.fronts[0], "/again/x", body)
        equal([run.engine.version for run in site.runs_of(answer)], ["v2"] * 3, "engines that ran it")
    await asyncio.sleep(2)  # until all fronts know of all answers
    equal(site.store.get("status", "rollout/orders")["State"], "running", "status")


async def version_that_fails_under_load(site):
    """A new version fails half of the requests that an engine gets while half of its eight slots are taken, which
    hardly happens when its work is spread over all engines. Guards against versions that nothing has shown under
    load before all work depends on them."""
    await order_rollout(site, [ANSWER_S] * 8)
    for engine in site.engines:
        engine.fails_from = 4 if engine.version == "v2" else None
    check(site, *await traffic_for(site, ROLLOUT_S))
    reached, allowed = exposed(site)
    equal(reached <= allowed, True, f"{reached} requests reached the bad version, {allowed:.0f} are allowed")
    equal(site.store.get("status", "rollout/orders")["State"], "rolled_back", "status")


class CrossingStore:
    """Answers a front's calls to the store. The operator orders v3 as "completed" is about to be written for v2."""

    def __init__(self, endpoint, site):
        self.site, self.answer_call, endpoint.answer = site, endpoint.answer, self.answer

    async def answer(self, request, writer):
        if "/rows-tx" in request.target and is_completed(request, "v2"):
            if self.site.store.get("op", "rollout/orders")["Target"] == "v2":
                await put_order(self.site, "v3", ROLLOUT_S)
                await asyncio.sleep(CROSS_S)
        return await self.answer_call(request, writer)


def is_completed(request, target):
    values = [json.loads(base64.b64decode(write["Value"])) for write in json.loads(request.body)["Writes"]]
    return any((value.get("Target"), value.get("State")) == (target, "completed") for value in values)


async def put_order(site, target, ramp_s):
    order = {"Service": "orders", "Target": target, "RampS": ramp_s}
    await site.store.put("op", "rollout/orders", json.dumps(order))


async def start_engines(site, version, number):
    for _ in range(number):
        await site.add_engine("orders", version).start()


async def verdict_crosses_the_next_order(site):
    """The operator orders a bad version while a front writes that the version before is completed. Guards against a verdict
    that is carried out on the order that has replaced its own."""
    for front in site.fronts:
        CrossingStore(front.store_endpoint, site)
    await start_engines(site, "v1", 2)
    await start_engines(site, "v2", 4)
    await start_engines(site, "v3", 4)
    for engine in site.engines:
        engine.delay = ANSWER_S
        engine.fails_from = 0 if engine.version == "v3" else None
    await put_order(site, "v2", SHORT_ROLLOUT_S)
    check(site, *await traffic_for(site, SHORT_ROLLOUT_S + ROLLOUT_S))
    status = site.store.get("status", "rollout/orders")
    equal((status["Target"], status["State"]), ("v3", "rolled_back"), "status")
    runs = [run for run in site.runs if run.engine.service == "orders"]
    reached = sum(run.engine.version == "v3" for run in runs)
    allowed = EXPOSURE_SHARE * len(runs) + EXPOSURE_SLACK
    equal(reached <= allowed, True, f"{reached} requests reached the bad version, {allowed:.0f} are allowed")


class LateTable:
    """Answers a front's calls to the store; answers about a table come late_s (seconds) later."""

    def __init__(self, front, table):
        self.endpoint, self.table, self.late_s = front.store_endpoint, table, 0
        self.answer_call, self.endpoint.answer = self.endpoint.answer, self.answer

    async def answer(self, request, writer):
        if f"Table={self.table}" not in request.target:
            return await self.answer_call(request, writer)
        status, body = await self.endpoint.store.call(request)
        await asyncio.sleep(self.late_s)
        writer.write(answer(status, body, Store_Era=self.endpoint.store.era))
        return True


def is_status(site, target, state):
    async def is_so():
        status = site.store.get("status", "rollout/orders")
        return status is not None and (status["Target"], status["State"]) == (target, state)

    return is_so


async def order_is_read_before_the_status_of_the_one_before(site):
    """Fronts read late that v2 is completed, and at once that v3 is ordered. Guards against sending all requests
    to a version on trial as the servers of the version that it was rolled out beside are unknown."""
    statuses = [LateTable(front, "status") for front in site.fronts]
    await start_engines(site, "v2", 4)
    await start_engines(site, "v3", 4)
    for engine in site.engines:
        engine.delay = ANSWER_S
    await put_order(site, "v2", SHORT_ROLLOUT_S)
    traffic = asyncio.ensure_future(traffic_for(site, SHORT_ROLLOUT_S + STATUS_LATE_S))
    await asyncio.sleep(SHORT_ROLLOUT_S / 2)
    for table in statuses:
        table.late_s = STATUS_LATE_S
    await site.wait(is_status(site, "v2", "completed"), "v2 is completed")
    for engine in site.engines:
        if engine.version == "v1" and engine.service == "orders":
            await engine.leave()
            await engine.crash()
    ordered = time.monotonic()
    await put_order(site, "v3", ROLLOUT_S)
    await traffic
    runs = [run for run in site.runs if run.engine.service == "orders" and ordered <= run.at < ordered + STATUS_LATE_S]
    reached = sum(run.engine.version == "v3" for run in runs)
    allowed = EXPOSURE_SHARE * len(runs) + EXPOSURE_SLACK
    equal(reached <= allowed, True, f"{reached} of {len(runs)} requests reached the version on trial, {allowed:.0f} are allowed")


async def status_is_read_before_its_order(site):
    """The operator replaces an order in its second half. A failure domain's fronts read the next order late, and at once the
    status of it that another front writes. Guards against fronts that go on with an order that is known to be replaced."""
    orders = [LateTable(front, "op") for front in site.fronts if front.domain == "a"]
    await start_engines(site, "v2", 4)
    await start_engines(site, "v3", 4)
    for engine in site.engines:
        engine.delay = ANSWER_S
    await put_order(site, "v2", ROLLOUT_S)
    traffic = asyncio.ensure_future(traffic_for(site, REPLACED_AT_S + ORDER_LATE_S))
    await asyncio.sleep(REPLACED_AT_S)
    for table in orders:
        table.late_s = ORDER_LATE_S
    await put_order(site, "v3", ROLLOUT_S)
    await site.wait(is_status(site, "v3", "running"), "v3 is being rolled out")
    known = time.monotonic() + CROSS_S
    await traffic
    reached = sum(run.engine.version == "v2" for run in site.runs if run.engine.service == "orders" and run.at > known)
    equal(reached, 0, "requests that reached the version whose order was replaced")


async def front_starts_after_a_rollback(site):
    """v2 is rolled back, v3 is ordered, and a front starts while more servers of v2 than of v1 are listed. Guards against a
    front that takes the version that was rolled back for the one in use."""
    await start_engines(site, "v2", 4)
    await start_engines(site, "v3", 4)
    for engine in site.engines:
        engine.delay = ANSWER_S
        engine.fails_from = 0 if engine.version == "v2" else None
    await put_order(site, "v2", ROLLOUT_S)
    check(site, *await traffic_for(site, 3))
    await site.wait(is_status(site, "v2", "rolled_back"), "v2 is rolled back")
    await put_order(site, "v3", ROLLOUT_S)
    await site.wait(is_status(site, "v3", "running"), "v3 is being rolled out")
    await site.fronts[0].kill()
    await site.fronts[0].start()
    await site.wait(site.fronts[0].is_ready, "front 0 is ready again")
    started = time.monotonic()
    await traffic_for(site, 2)
    reached = sum(run.engine.version == "v2" for run in site.runs if run.engine.service == "orders" and run.at >= started)
    equal(reached, 0, "requests that reached the version that was rolled back")


CASES = [
    slow_version_of_a_plain_service, good_version_with_a_slow_engine, requests_that_fail_anywhere,
    version_that_fails_under_load, verdict_crosses_the_next_order,
    order_is_read_before_the_status_of_the_one_before, status_is_read_before_its_order, front_starts_after_a_rollback,
]

if __name__ == "__main__":
    sys.exit(main(CASES))
