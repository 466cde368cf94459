"""Engines that say that they fall over if they have to turn too many requests away: cases_brittle.py PROGRAM [CASE...].
See cases.py."""

import asyncio
import sys
import time

from cases import equal, main

TOLD_S = 3  # from which on fronts have to respect what engines say of themselves
BRITTLE_PER_S = 6
SETTLED_S = 4.5  # until fronts that have just started know how many they are
CALLERS = 6  # that call each front at a time
OVERLOAD_S = 9


async def call_until(site, front, until, name):
    """Calls again after each answer, and after a refusal when it says so."""
    number = 0
    while time.monotonic() < until:
        answer = await site.call(front, f"/once/{name}{number}", b"%d" % number)
        number += 1
        if answer.status == 503:
            await asyncio.sleep(float(answer.fields.get("retry-after", 0)))


def most_in_a_second(times):
    return max((sum(at <= other < at + 1 for other in times) for at in times), default=0)


async def brittle_engines(site):
    """Two engines with room for two requests each are called by eighteen callers. Guards against fronts that go on
    sending requests to a full engine which says that it falls over if it turns more than six a second away."""
    await asyncio.sleep(SETTLED_S)
    engines = [engine for engine in site.engines if engine.service == "orders"]
    for engine in engines:
        engine.brittle, engine.room, engine.delay = BRITTLE_PER_S, 2, 0.1
    began = time.monotonic()
    callers = [
        call_until(site, front, began + OVERLOAD_S, f"{front.number}.{each}.")
        for front in site.fronts
        for each in range(CALLERS)
    ]
    await asyncio.gather(*callers)
    for engine in engines:
        late = [at for at in engine.turned_away_at if at > began + TOLD_S]
        equal(most_in_a_second(late) <= BRITTLE_PER_S, True, f"{most_in_a_second(late)} turned away by {engine.name}")
    ran = [run for run in site.runs if run.executed and run.at > began + TOLD_S]
    equal(len(ran) > 50, True, f"{len(ran)} requests served meanwhile")
    for engine in engines:
        engine.brittle = engine.room = None
    await asyncio.sleep(3)
    site.runs.clear()
    answers = [await site.call(site.fronts[0], f"/once/after{number}", b"x") for number in range(8)]
    equal([answer.status for answer in answers], [200] * 8, "answers once the engines have room")


CASES = [brittle_engines]

if __name__ == "__main__":
    sys.exit(main(CASES))
