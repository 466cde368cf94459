"""The store's clock, which is not that of any front: cases_time.py PROGRAM [CASE...]. See cases.py."""

import asyncio
import json
import sys
import time

from cases import check, equal, main

CLOCK_AHEAD_MS = 10**9  # the store's clock before the fronts'
ROLLOUT_S = 40
RESTART_S = 24  # after the order
ALL_MOVED_S = 30  # after the order: all sessions have moved to the new version
CALLS = 20


async def front_without_store_knows_how_far_a_rollout_is(site):
    """A front starts late in a roll-out and can't reach the store, but other fronts. Guards against a front that does
    not know the store's time, and begins the roll-out again: it sends most sessions back to the old version."""
    site.store.clock_ahead_ms = CLOCK_AHEAD_MS
    for _ in range(2):
        await site.add_engine("texts", "v2").start()
    ordered = time.monotonic()
    await site.store.put("op", "rollout/texts", json.dumps({"Service": "texts", "Target": "v2", "RampS": ROLLOUT_S}))
    await asyncio.sleep(RESTART_S)
    front = site.fronts[2]
    front.store_endpoint.set("reset")
    await front.kill()
    await front.start()
    await site.wait(front.is_ready, "front ready")
    await asyncio.sleep(ordered + ALL_MOVED_S - time.monotonic())
    answers = []
    for number in range(CALLS):  # with the last answer the roll-out may be completed
        equal(site.store.get("status", "rollout/texts")["State"], "running", f"state of the roll-out before call {number}")
        answers.append(await site.call(front, f"/text/{number}", b"%d" % number))
    check(site, *answers)
    old = sum(run.engine.version == "v1" for run in site.runs)
    if old > 0:
        raise AssertionError(f"{old} of {len(site.runs)} requests went to the old version")


CASES = [front_without_store_knows_how_far_a_rollout_is]

if __name__ == "__main__":
    sys.exit(main(CASES))
