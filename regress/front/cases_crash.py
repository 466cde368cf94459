"""A request that crashes engines, at a site of nine fronts whose engines are all busy: cases_crash.py PROGRAM [CASE...].
See cases.py.

Each front runs requests at most engines, so that it sees their deaths, of which it knows only its own requests.
"""

import asyncio
import sys
import time

from cases import main
from engines import digest
from site_front import Front

FRONTS, ENGINES = 9, 18
CRASHERS = [digest(b"crasher %d" % number).encode() for number in range(4)]
CRASHER = CRASHERS[0]
ENGINE_DELAY_S = 1.5  # until an engine's answer begins: requests overlap many deaths
CRASH_DELAY_S = 0.15  # until an engine has read the crashing request's prompt and crashes
CALLS_PER_S = 120
APPLY_S = 3.0  # after this from the third death, or from its own start, no front sends the request again
RETRIES_MAX = 3  # except so many


async def grow(site):
    """Makes the site as large as these cases need; all engines then crash under each of CRASHERS."""
    for number in range(len(site.fronts), FRONTS):
        front = Front(site, number)
        site.fronts.append(front)
        await front.store_endpoint.start()
        await front.start()
    while sum(engine.service == "texts" for engine in site.engines) < ENGINES:
        await site.start_engine("texts")
    for engine in site.engines:
        engine.crash_bodies, engine.crash_delay = set(CRASHERS), CRASH_DELAY_S
        engine.delay = ENGINE_DELAY_S if engine.service == "texts" else 0
    for front in site.fronts:
        await site.wait(front.is_ready, f"front {front.number} ready")


async def background(site, until):
    """Streams from all fronts in turn until then."""
    calls, number = [], 0
    while time.monotonic() < until:
        calls.append(asyncio.ensure_future(site.call(site.fronts[number % len(site.fronts)], "/text/a", b"b%d" % number)))
        number += 1
        await asyncio.sleep(1 / CALLS_PER_S)
    return await asyncio.gather(*calls)


async def send_to_all(site, fronts, spread_s, bodies=(CRASHER,)):
    """Sends these crashing requests, in turn, to each of these fronts, spread over so many seconds."""
    calls = []
    for number, front in enumerate(fronts):
        calls.append(asyncio.ensure_future(site.call(front, "/text/kill", bodies[number % len(bodies)])))
        await asyncio.sleep(spread_s / len(fronts))
    return await asyncio.gather(*calls)


def crash_times(site, body=CRASHER):
    return sorted(run.at for run in site.runs if run.body == body)


def check_sent(site, third, body=CRASHER):
    """Raises AssertionError if the request was sent to servers again too often."""
    at = crash_times(site, body)
    late = sum(moment > third + APPLY_S for moment in at)
    print(f"{len(at)} engines crashed, {late} of them later than {APPLY_S} s after the third", flush=True)
    if late > RETRIES_MAX:
        raise AssertionError(f"sent to engines {late} times later than {APPLY_S} s after the third death; {RETRIES_MAX} are allowed")


async def send_in_waves(site, disturb, settle_s=0.0):
    """The request reaches all fronts within a second, then disturb(site) is called, and it reaches all fronts again
    five seconds after the first wave, and settle_s after disturb returned at the earliest. Raises AssertionError if it was sent to servers again too often."""
    await grow(site)
    load = asyncio.ensure_future(background(site, time.monotonic() + 11))
    await asyncio.sleep(2)
    await send_to_all(site, site.fronts, 1.0)
    await disturb(site)
    third = crash_times(site)[2]
    await asyncio.sleep(max(third + 5 - time.monotonic(), settle_s))
    await send_to_all(site, site.fronts, 1.0)
    await load
    check_sent(site, third)


async def fronts_agree_on_crashing_request(site):
    """Fourteen and more engines die within two seconds under one request at all fronts. Guards against fronts that,
    knowing others' deaths by their own requests only, take them for deaths without that request and send it on."""

    async def nothing(_):
        return

    await send_in_waves(site, nothing)


async def restarted_fronts_refuse_crashing_request(site):
    """All fronts but one restart between two waves of the request. Guards against fronts that learn only of the
    newest deaths after their start."""

    async def restart_some(_):
        await asyncio.sleep(1)
        for front in site.fronts[1:]:
            await front.kill()
            await front.start()
        for front in site.fronts[1:]:
            await site.wait(front.is_ready, f"front {front.number} ready")

    await send_in_waves(site, restart_some)


async def all_fronts_restart_and_refuse_crashing_request(site):
    """All fronts are killed between two waves of the request, so that only the store knows of it. Guards against
    fronts that forget it together."""

    async def restart_all(_):
        await asyncio.sleep(2)
        for front in site.fronts:
            await front.kill()
        for front in site.fronts:
            await front.start()
        for front in site.fronts:
            await site.wait(front.is_ready, f"front {front.number} ready")

    await send_in_waves(site, restart_all, APPLY_S)


async def several_crashing_requests_are_refused(site):
    """Four requests reach all fronts within 0.3 s, in three waves. Guards against deaths under one of them that count
    against the others."""
    await grow(site)
    load = asyncio.ensure_future(background(site, time.monotonic() + 14))
    await asyncio.sleep(2)
    for _ in range(3):
        await send_to_all(site, site.fronts * 2, 0.3, CRASHERS)
        await asyncio.sleep(3.5)
    await load
    for body in CRASHERS:
        at = crash_times(site, body)
        if len(at) > 2:
            check_sent(site, at[2], body)


CASES = [
    fronts_agree_on_crashing_request, restarted_fronts_refuse_crashing_request,
    all_fronts_restart_and_refuse_crashing_request, several_crashing_requests_are_refused,
]  # fmt: skip

if __name__ == "__main__":
    sys.exit(main(CASES))
