"""Engines that say that they fall over if they have to turn too many requests away: cases_brittle.py PROGRAM [CASE...].
See cases.py."""

import asyncio
import sys
import time

from cases import equal, main
from site_front import Front

TOLD_S = 3  # from which on fronts have to respect what engines say of themselves
BRITTLE_PER_S = 6
SETTLED_S = 4.5  # until fronts that have just started know how many they are
CALLERS = 6  # that call each front at a time
OVERLOAD_S = 9
FRONTS, ENGINES, SLOTS, RUN_S = 9, 8, 4, 0.2
LOAD = 0.9  # of all slots
MODERATE_LOAD = 0.7
RESTARTED_S = 2  # after all fronts are ready again, from which on they serve
RESTARTED_SHARE = 0.75  # of what they served before they were killed
ONE_FRONT_SHARE = 0.75  # of what all fronts serve, if one gets all requests
FALLS_MAX = 2  # and one for each ten engines
SERVED_SHARE = 0.95  # of what is served where engines name no number, at least


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


async def grow(site):
    """Nine fronts before eight engines of the plain service, each with room for one request beside its slots."""
    for number in range(len(site.fronts), FRONTS):
        front = Front(site, number)
        site.fronts.append(front)
        await front.store_endpoint.start()
        await front.start()
    for front in site.fronts:
        await site.wait(front.is_ready, f"front {front.number} ready")
    while sum(engine.service == "orders" for engine in site.engines) < ENGINES:
        await site.start_engine("orders")
    engines = [engine for engine in site.engines if engine.service == "orders"]
    for engine in engines:
        engine.slots, engine.room, engine.delay, engine.falls = SLOTS, SLOTS + 1, RUN_S, True
        await engine.report()
    await asyncio.sleep(SETTLED_S)
    return engines


async def call_at_random(site, seconds, name, load=LOAD, fronts=None):
    """Callers that don't wait for each other's answers, at any front or at any of these. Returns the share that was
    served."""
    rate = load * ENGINES * SLOTS / RUN_S
    began, at, calls = time.monotonic(), 0.0, []
    while (at := at + site.random.expovariate(rate)) < seconds:
        await asyncio.sleep(max(0, began + at - time.monotonic()))
        front = site.random.choice(fronts or site.fronts)
        calls.append(asyncio.ensure_future(site.call(front, f"/once/{name}{len(calls)}", b"x%d" % len(calls))))
    answers = await asyncio.gather(*calls)
    return sum(answer.status == 200 for answer in answers) / len(answers)


async def busy_brittle_engines(site):
    """Eight engines at nine tenths of their slots say that they fall over if they turn more than three requests a
    second away. Guards against fronts that together send them more than they have room for, and against fronts that
    refuse their callers instead."""
    engines = await grow(site)
    share = await call_at_random(site, 6, "free")
    for engine in engines:
        engine.brittle = 3
    await call_at_random(site, TOLD_S, "told")
    began = time.monotonic()
    share_if_brittle = await call_at_random(site, 12, "brittle")
    falls = sum(at > began for engine in engines for at in engine.fell_at)
    print(f"{falls} falls, {share_if_brittle:.3f} served; {share:.3f} where engines name no number", flush=True)
    equal(falls <= FALLS_MAX + ENGINES // 10, True, f"{falls} engines fell over")
    equal(share_if_brittle >= SERVED_SHARE * share, True, f"{share_if_brittle:.3f} served, {share:.3f} if not brittle")


async def one_fall_starts_no_other(site):
    """One of eight brittle engines at seven tenths of their slots ends, and starts again. Guards against fronts that
    send its work to the others, or to itself before they know that it is brittle, until these fall over."""
    engines = await grow(site)
    for engine in engines:
        engine.brittle = 3
    await call_at_random(site, TOLD_S, "told", MODERATE_LOAD)
    began = time.monotonic()
    asyncio.ensure_future(engines[0].fall_over())
    share = await call_at_random(site, 8, "fall", MODERATE_LOAD)
    falls = sum(at > began for engine in engines for at in engine.fell_at)
    print(f"{falls} falls, {share:.3f} served", flush=True)
    equal(falls, 1, "engines that fell over")


async def one_front_gets_all_requests(site):
    """One of nine fronts gets all requests, of which it may send a ninth to brittle engines itself. Guards against
    refusing the others, for which other fronts have room."""
    engines = await grow(site)
    share = await call_at_random(site, 5, "spread", MODERATE_LOAD)
    share_of_one = await call_at_random(site, 5, "one", MODERATE_LOAD, site.fronts[:1])
    for engine in engines:
        engine.brittle = 3
    await call_at_random(site, TOLD_S, "told", MODERATE_LOAD, site.fronts[:1])
    share_if_brittle = await call_at_random(site, 6, "brittle", MODERATE_LOAD, site.fronts[:1])
    print(f"{share:.3f} served by nine fronts, {share_of_one:.3f} by one, {share_if_brittle:.3f} if brittle", flush=True)
    equal(share_of_one >= ONE_FRONT_SHARE * share, True, f"{share_of_one:.3f} served by one front")
    equal(share_if_brittle >= ONE_FRONT_SHARE * share, True, f"{share_if_brittle:.3f} served by one front if brittle")


async def all_fronts_restart_before_brittle_engines(site):
    """All fronts are killed and start again before brittle engines at seven tenths of their slots. Guards against
    fronts that send more than the engines have room for, and against seconds in which they refuse what these could
    serve, as they don't know yet how many they are."""
    engines = await grow(site)
    for engine in engines:
        engine.brittle = 3
    await call_at_random(site, TOLD_S, "told", MODERATE_LOAD)
    share = await call_at_random(site, 5, "before", MODERATE_LOAD)
    for front in site.fronts:
        await front.kill()
    for front in site.fronts:
        await front.start()
    for front in site.fronts:
        await site.wait(front.is_ready, f"front {front.number} ready")
    began = time.monotonic()
    shares = [await call_at_random(site, 1, f"again{second}.", MODERATE_LOAD) for second in range(7)]
    falls = sum(at > began for engine in engines for at in engine.fell_at)
    print(f"{falls} falls, {share:.3f} served; then by seconds {[round(each, 3) for each in shares]}", flush=True)
    equal(falls <= FALLS_MAX + ENGINES // 10, True, f"{falls} engines fell over")
    equal(min(shares[RESTARTED_S:]) >= RESTARTED_SHARE * share, True, f"{min(shares[RESTARTED_S:]):.3f} served")


CASES = [
    brittle_engines,
    busy_brittle_engines,
    one_fall_starts_no_other,
    one_front_gets_all_requests,
    all_fronts_restart_before_brittle_engines,
]

if __name__ == "__main__":
    sys.exit(main(CASES))
