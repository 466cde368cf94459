"""A new roll-out order crosses the verdict on the one before, while the store is slow. See claim.txt."""

import asyncio
import json
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib2"))

from small_site import TROUBLE, SmallSite, put_order, run_case  # noqa: E402
from wire import answer, write_at_rate  # noqa: E402

SERVICE = "orders"
ENGINES = 4  # of each version
ANSWER_S = 0.03
CALLERS, PAUSE_S = 10, 0.15  # of each front, between two requests of one caller
FIRST_S, SECOND_S = 10, 16  # RampS of the orders
CROSS_S = 7.93  # from the first order to the second one
SLOW_FROM_S, SLOW_S = 6.5, 4.5  # from the first order; for how long
READ_S, WRITE_S, SLOW_X = 0.004, 0.008, 60.0  # an answer, TxMs, and x of platform_slow
CONTACT_S, EXPOSURE_SHARE, EXPOSURE_SLACK = 3.0, 0.15, 30
BAD_SHARE = 2  # one of so many requests fails at the second version


class SlowEndpoint:
    """Answers of the store take SLOW_X times as long while it is slow."""

    def __init__(self, endpoint, site):
        self.endpoint, self.site, self.store = endpoint, site, endpoint.store
        endpoint.answer = self.answer

    async def answer(self, request, writer):
        factor = SLOW_X if self.site.is_slow else 1.0
        if "/rows-tx" in request.target:
            await asyncio.sleep(WRITE_S * factor)
            status, body = await self.store.call(request)
            self.site.status_writes.append((time.monotonic(), status, json.loads(request.body)))
        else:
            status, body = await self.store.call(request)
            await asyncio.sleep(READ_S * (SLOW_X if self.site.is_slow else 1.0))
        await write_at_rate(writer, answer(status, body), None)
        return True


async def caller(site, front, name, until):
    answers, number = [], 0
    while time.monotonic() < until:
        path = f"/once/{name}-{number}"
        answers.append(await site.call(front, path, path.encode()))
        number += 1
        await asyncio.sleep(PAUSE_S)
    return answers


async def watch_status(site, record):
    """The platform: stops the engines of other versions once a roll-out is completed."""
    seen = None
    while True:
        status = site.store.get("status", f"rollout/{SERVICE}")
        if status != seen:
            record.line(f"status/rollout/{SERVICE} is {status}")
            seen = status
            if status and status["State"] == "completed":
                for engine in site.engines:
                    if engine.service == SERVICE and engine.version in site.old[status["Target"]] and engine.left_at is None:
                        await engine.leave()
                        await engine.crash()
                        record.line(f"platform stops {engine.name} ({engine.version})")
        await asyncio.sleep(0.005)


def fail_half(engine):
    """One of BAD_SHARE requests is answered 500, by its body."""
    work = engine.work

    async def bad_work(request, writer):
        engine.mode = "error" if sum(request.body) % BAD_SHARE == 0 else "ok"
        await work(request, writer)

    engine.work = bad_work


async def case(site, record):
    site.is_slow, site.status_writes = False, []
    site.old = {"v2": {"v1"}, "v3": {"v1", "v2"}}
    for front in site.fronts:
        SlowEndpoint(front.store_endpoint, site)
    await site.start()
    while sum(engine.service == SERVICE for engine in site.engines) < ENGINES:
        await site.add_engine(SERVICE).start()
    watcher = asyncio.ensure_future(watch_status(site, record))
    await asyncio.sleep(3)
    for engine in site.engines:
        engine.delay = ANSWER_S
    start = time.monotonic()
    until = start + CROSS_S + SECOND_S
    callers = [asyncio.ensure_future(caller(site, front, f"{front.number}-{n}", until)) for front in site.fronts for n in range(CALLERS)]
    for _ in range(ENGINES):
        engine = site.add_engine(SERVICE, "v2")
        engine.delay = ANSWER_S
        await engine.start()
    await asyncio.sleep(2)
    first = time.monotonic()
    await put_order(site, SERVICE, "v2", FIRST_S)
    record.line("operator orders v2 (good)")
    await asyncio.sleep(first + SLOW_FROM_S - time.monotonic())
    site.is_slow = TROUBLE
    record.line("the store is slow" if TROUBLE else "the store stays as it is")
    for _ in range(ENGINES):
        engine = site.add_engine(SERVICE, "v3")
        engine.delay = ANSWER_S
        fail_half(engine)
        await engine.start()
    await asyncio.sleep(first + CROSS_S - time.monotonic())
    second = time.monotonic()
    await put_order(site, SERVICE, "v3", SECOND_S)
    record.line("operator orders v3 (bad)")
    await asyncio.sleep(first + SLOW_FROM_S + SLOW_S - time.monotonic())
    site.is_slow = False
    stable = time.monotonic() + CONTACT_S
    record.line("the store is as usual again")
    answers = [one for each in await asyncio.gather(*callers) for one in each]
    watcher.cancel()
    return judge(site, record, answers, second, stable)


def judge(site, record, answers, second, stable):
    for at, status, body in site.status_writes:
        for write in body["Writes"]:
            if write["Table"] == "status":
                record.line(f"the store carries out a write of {write['Key']}, expected {body['ExpectedRev'][0]['Ver']}: {status}", at)
    for front in site.fronts:
        for event in front.events("store_write"):
            record.line(f"front {front.number} writes {event['key']} = {event['value']}", event["ms"] / 1000)
    for one in answers:
        runs = ", ".join(f"{run.engine.name} {run.engine.version}" for run in site.runs_of(one))
        record.line(f"{one.request} {one.path} sent; answered {one.status} at {one.ended_at - record.began:.3f} s; run by: {runs}", one.sent_at)
    end = second + SECOND_S
    reached = [run for run in site.runs if run.engine.service == SERVICE and second <= run.at <= end]
    bad = [run for run in reached if run.engine.version == "v3"]
    counted = [run for run in bad if run.at >= stable]
    allowed = EXPOSURE_SHARE * len(reached) + EXPOSURE_SLACK
    record.line(
        f"between the order of v3 and its deadline {len(reached)} requests reach {SERVICE}, {len(bad)} of them v3, "
        f"{len(counted)} of them from {CONTACT_S:.0f} s after the store was slow; {allowed:.0f} are allowed"
    )
    if len(counted) > allowed:
        return [f"EXPOSURE: {len(counted)} requests reached the bad version v3, {allowed:.0f} are allowed"]
    return []


if __name__ == "__main__":
    run_case(__file__, SmallSite(3, 8), case)
