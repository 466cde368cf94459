"""Roll-outs of versions that are bad without failing: cases_rollout.py PROGRAM [CASE...]. See cases.py."""

import asyncio
import json
import sys
import time

from cases import check, equal, main

ANSWER_S = 0.03  # a sound engine's time for an answer
CALLERS = 3  # that call each front at a time
ROLLOUT_S = 12
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


CASES = [
    slow_version_of_a_plain_service, good_version_with_a_slow_engine, requests_that_fail_anywhere,
    version_that_fails_under_load,
]

if __name__ == "__main__":
    sys.exit(main(CASES))
