"""Requests, no two alike, with one part in their prompts that crashes engines: cases_parts.py PROGRAM [CASE...].
See cases.py.
"""

import asyncio
import sys
import time

from cases import equal, main
from engines import digest
from site_front import Front

FRONTS, ENGINES = 9, 18
FIRST = "aa"  # part that all prompts of the route begin with
RUN_S = 0.1  # until an engine's answer begins, or the engine crashes
CRASH_CALLS_PER_S = 6
SOUND_CALLS_PER_S = 60
CRASHES_MAX = 5  # after which the part has to be known
APPLY_S = 3.0  # from then on
LATE_MAX = 3  # requests with the part that may reach engines all the same
SOUND_SHARE = 0.5  # of first attempts that are served without such requests, at least


async def grow(site, parts):
    """Makes the site as large as these cases need; engines crash as they begin to answer a prompt with these parts."""
    for number in range(len(site.fronts), FRONTS):
        front = Front(site, number)
        site.fronts.append(front)
        await front.store_endpoint.start()
        await front.start()
    while sum(engine.service == "texts" for engine in site.engines) < ENGINES:
        await site.start_engine("texts")
    for engine in site.engines:
        engine.crash_parts = parts
        engine.delay = RUN_S if engine.service == "texts" else 0
    for front in site.fronts:
        await site.wait(front.is_ready, f"front {front.number} ready")


async def call_steadily(site, rate, seconds, name, part):
    """Sends streams to all fronts in turn, each with this part in its prompt and another last part."""
    calls, until = [], time.monotonic() + seconds
    while time.monotonic() < until:
        number = len(calls)
        body = b"%s.%d" % (name.encode(), number)
        prompt = f"{FIRST}:300,{part(number)}:200,{digest(body)}:100"
        calls.append(asyncio.ensure_future(site.call(site.fronts[number % FRONTS], "/text/a", body, prompt=prompt)))
        await asyncio.sleep(1 / rate)
    return await asyncio.gather(*calls)


def sound_part(number):
    return "%x" % (0xB000 + number % 40)


def crashes(site, part):
    """Times at which requests with this part reached engines."""
    return sorted(run.at for run in site.runs if part in run.fields.get("lovagehub-prompt-prefix", ""))


def check_part(site, part, what):
    at = crashes(site, part)
    late = sum(moment > at[CRASHES_MAX - 1] + RUN_S + APPLY_S for moment in at)
    print(f"{what}: {len(at)} reached engines, {late} of them late", flush=True)
    equal(late <= LATE_MAX, True, f"{late} requests with {what} reached engines late; {LATE_MAX} are allowed")


def served(answers):
    return sum(answer.status == 200 and answer.complete for answer in answers) / len(answers)


async def crashing_part_is_refused(site):
    """Engines crash under all requests with one part, no two of which are alike. Guards against fronts that know a
    crashing request by its whole only, and against refusing sound requests that share its other parts."""
    await grow(site, {"c4a5"})
    await asyncio.sleep(1)
    before = served(await call_steadily(site, SOUND_CALLS_PER_S, 3, "before", sound_part))
    crashing = call_steadily(site, CRASH_CALLS_PER_S, 12, "crash", lambda number: "c4a5")
    sound = asyncio.ensure_future(call_steadily(site, SOUND_CALLS_PER_S, 12, "sound", sound_part))
    crashing = asyncio.ensure_future(crashing)
    await asyncio.sleep(7)
    began = time.monotonic()
    await crashing
    share = served([answer for answer in await sound if answer.sent_at > began])
    print(f"{share:.3f} of sound requests served, {before:.3f} before", flush=True)
    check_part(site, "c4a5", "the crashing part")
    equal(share >= SOUND_SHARE * before, True, f"{share:.3f} of sound requests served, {before:.3f} before")


async def two_crashing_parts_are_refused(site):
    """Two parts crash engines at the same time. Guards against fronts that take deaths under the one for evidence
    against the other."""
    await grow(site, {"c4a5", "d5b6"})
    await asyncio.sleep(1)
    sound = asyncio.ensure_future(call_steadily(site, SOUND_CALLS_PER_S, 12, "sound", sound_part))
    await call_steadily(site, CRASH_CALLS_PER_S, 12, "crash", lambda number: ("c4a5", "d5b6")[number // 2 % 2])
    await sound
    check_part(site, "c4a5", "the first part")
    check_part(site, "d5b6", "the second part")


async def crashed_engines_accuse_no_part(site):
    """Half of the engines crash at one moment, twice, while they run requests that share their first part. Guards
    against refusing sound requests whose common part was in flight at many deaths."""
    await grow(site, set())
    await asyncio.sleep(1)
    calls = asyncio.ensure_future(call_steadily(site, SOUND_CALLS_PER_S, 9, "sound", sound_part))
    texts = [engine for engine in site.engines if engine.service == "texts"]
    for half in (texts[:9], texts[9:]):
        await asyncio.sleep(2)
        await asyncio.gather(*(engine.crash_and_restart() for engine in half))
    await asyncio.sleep(2)
    began = time.monotonic()
    share = served([answer for answer in await calls if answer.sent_at > began])
    equal(share, 1.0, "share of sound requests served afterwards")


async def all_fronts_restart_and_refuse_crashing_part(site):
    """All fronts are killed after they have found the part. Guards against fronts that forget it together."""
    await grow(site, {"c4a5"})
    await asyncio.sleep(1)
    sound = asyncio.ensure_future(call_steadily(site, SOUND_CALLS_PER_S, 6, "sound", sound_part))
    await call_steadily(site, CRASH_CALLS_PER_S, 6, "crash", lambda number: "c4a5")
    await sound
    for front in site.fronts:
        await front.kill()
    for front in site.fronts:
        await front.start()
    for front in site.fronts:
        await site.wait(front.is_ready, f"front {front.number} ready")
    await asyncio.sleep(APPLY_S)
    await call_steadily(site, CRASH_CALLS_PER_S, 4, "again", lambda number: "c4a5")
    check_part(site, "c4a5", "the crashing part")


CASES = [
    crashing_part_is_refused, two_crashing_parts_are_refused, crashed_engines_accuse_no_part,
    all_fronts_restart_and_refuse_crashing_part,
]  # fmt: skip

if __name__ == "__main__":
    sys.exit(main(CASES))
