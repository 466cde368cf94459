"""The end of an evacuation, which a front does not see: cases_evacuation.py PROGRAM [CASE...]. See cases.py.

The servers of the failure domain are cold when the evacuation ends; their entries show it only with the next
heartbeat. Until then only the order's removal tells it.
"""

import asyncio
import signal
import sys
import time

from cases import check, equal, main
from check import cold_violations

COLD_PER_S = 4
CALLERS, CALLS_S = 40, 2  # at the front that didn't see the evacuation end
ENDED_S = 0.1  # from the end until the front starts or goes on


async def send_to(site, front, until):
    """Calls one front from many connections until then."""

    async def caller(number):
        answers = []
        while time.monotonic() < until:
            answers.append(await site.call(front, f"/again/{number}", b"%d.%d" % (number, len(answers))))
            await asyncio.sleep(0.01)
        return answers

    return sum(await asyncio.gather(*(caller(number) for number in range(CALLERS))), [])


async def limit_cold(site):
    site.cold_per_s = COLD_PER_S
    await site.configure()
    await asyncio.sleep(1)


async def evacuate(site):
    await site.configure()
    await asyncio.sleep(0.5)  # a frozen front's pending poll is answered with the configuration only
    await site.evacuate("a")
    await asyncio.sleep(2)


async def check_front(site, front, ended):
    answers = await send_to(site, front, time.monotonic() + CALLS_S)
    await ended
    check(site, *answers)
    equal(cold_violations(site), [], "violations of the limit for cold engines")


async def front_starts_after_an_evacuation(site):
    """Guards against a front that starts when the order is gone from the store, and takes cold servers for warm."""
    front = site.fronts[2]
    await limit_cold(site)
    await evacuate(site)
    await front.kill()
    ended = asyncio.ensure_future(site.end_evacuation("a"))
    await asyncio.sleep(ENDED_S)
    await front.start()
    await site.wait(front.is_ready, "front ready")
    await check_front(site, front, ended)


async def front_is_frozen_through_an_evacuation(site):
    """Guards against a front that finds an order neither given nor removed, and takes cold servers for warm."""
    front = site.fronts[2]
    await limit_cold(site)
    front.signal(signal.SIGSTOP)
    await evacuate(site)
    ended = asyncio.ensure_future(site.end_evacuation("a"))
    await asyncio.sleep(ENDED_S)
    front.signal(signal.SIGCONT)
    await check_front(site, front, ended)


async def front_is_frozen_through_an_evacuation_in_a_new_era(site):
    """The store has just come back from a copy, so that fronts wait before they obey a removal. Guards against a front
    that finds an order neither given nor removed, and is told only after that wait."""
    front = site.fronts[2]
    await limit_cold(site)
    copy = site.store.copy()
    front.signal(signal.SIGSTOP)
    site.store.restore(copy)
    await site.configure()
    await asyncio.sleep(0.5)
    await site.evacuate("a")
    await asyncio.sleep(0.5)
    ended = asyncio.ensure_future(site.end_evacuation("a"))
    await asyncio.sleep(ENDED_S)
    front.signal(signal.SIGCONT)
    await check_front(site, front, ended)


CASES = [
    front_starts_after_an_evacuation, front_is_frozen_through_an_evacuation,
    front_is_frozen_through_an_evacuation_in_a_new_era,
]  # fmt: skip

if __name__ == "__main__":
    sys.exit(main(CASES))
