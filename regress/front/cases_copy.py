"""The store comes back from a copy some seconds old: cases_copy.py PROGRAM [CASE...]. See cases.py.

What was written since the copy was made is gone, and its versions are given out again. The operator and the engines
write again what they had written.
"""

import asyncio
import sys
import time

from cases import equal, main, traffic
from check import LEAVING_S

POLL_S = 1.5  # within which fronts learn the store's newest version, also without changes
AWAY_S = 1.0  # how long the store doesn't answer before it comes back
SETTLED_S = 3.2  # from the store's return until changes have to be in force in the usual time
APPLY_S = 2.0  # until a configuration is in force
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


async def come_back(site, copy):
    """The store comes back from the copy, and the engines and the operator write again. Returns its calls until
    changes are in force in the usual time again."""
    site.store.restore(copy)
    for front in site.fronts:
        front.store_endpoint.set("ok")
    for engine in site.engines:
        if not engine.left_at:
            await engine.report()
    await site.configure()
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


CASES = [store_returns_from_copy]

if __name__ == "__main__":
    sys.exit(main(CASES))
