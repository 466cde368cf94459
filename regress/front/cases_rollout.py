"""Roll-outs of versions that are bad without failing: cases_rollout.py PROGRAM [CASE...]. See cases.py."""

import asyncio
import base64
import json
import sys
import time

from cases import check, equal, main

ANSWER_S = 0.03  # a sound engine's time for an answer
CALLERS = 3  # that call each front at a time
ROLLOUT_S, SHORT_ROLLOUT_S = 12, 6
CROSS_S = 0.2  # until the fronts know an order, and less than until another front writes a status in place of the first
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


CASES = [
    slow_version_of_a_plain_service, good_version_with_a_slow_engine, requests_that_fail_anywhere,
    version_that_fails_under_load, verdict_crosses_the_next_order,
]

if __name__ == "__main__":
    sys.exit(main(CASES))
