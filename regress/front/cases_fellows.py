"""Fronts beside others that can tell them nothing: frozen, killed, or turned away by the store: cases_fellows.py PROGRAM
[CASE...]. See cases.py."""

import asyncio
import itertools
import signal
import sys
import time

from cases import main
from site_front import KEY, Front

# Failure domains of the fronts beyond the site's three. Of six fronts two are the first to be told by those of the
# other domain, and two follow the store: at least two are neither.
MORE_DOMAINS = "baaaa"
SETTLED_S = 5.0
APPLY_S = 2.5  # within which the fronts have to know a change
CONTACT_S = 3.0  # after which a front that reaches the store again has to know all changes
POLL_S = 0.05
TAKEN_FOR_ALIVE_S = 3.6  # a front that is silent counts as alive to the others for as long, at most
BEFORE_CHANGE_S = 0.1
CLOCK_AHEAD_MS = 10**9  # the store's clock before the fronts'


async def grow(site):
    site.more_settings = {"config_apply_ms": round(APPLY_S * 1000)}
    for front in site.fronts:
        await front.reload()
    for domain in MORE_DOMAINS:
        front = Front(site, len(site.fronts))
        front.domain = domain
        site.fronts.append(front)
        await front.store_endpoint.start()
        await front.start()
    for front in site.fronts:
        await site.wait(front.is_ready, f"front {front.number} ready")
    await asyncio.sleep(SETTLED_S)


async def revoke(site, name):
    """Adds a key, and replaces it once all fronts know it; returns the key that is no longer valid and the time of that
    change."""
    site.keys = [KEY, name]
    await site.configure()
    version = site.version

    async def is_known():
        return all(any(line["config"] >= version for line in front.events("config_applied")) for front in site.fronts)

    await site.wait(is_known, f"all fronts know {name}")
    return name


async def serves(site, front, key):
    """Whether the front serves a request with this key."""
    answer = await site.call(front, "/again/a", b"a", key=key, timeout=1)
    return answer.status != 401


async def learns_in_time(site, front, key):
    """Removes the key from the configuration. The front must refuse it APPLY_S later."""
    site.keys = [KEY]
    await site.configure()
    changed_at = time.monotonic()
    while await serves(site, front, key):
        late_s = time.monotonic() - changed_at - APPLY_S
        if late_s > 0:
            raise AssertionError(f"front {front.number} serves a key {late_s:.2f} s after the time by which it must know the change")
        await asyncio.sleep(POLL_S)


async def beside_frozen_fronts(site):
    """All fronts but one of a failure domain are frozen, in turn. Guards against a front that waits for one of these, and
    serves callers by an old configuration though it reaches the store."""
    site.store.clock_ahead_ms = CLOCK_AHEAD_MS
    await grow(site)
    domain = [front for front in site.fronts if front.domain == "a"]
    for number, front in enumerate(domain):
        key = await revoke(site, f"frozen-{number}")
        others = [other for other in domain if other is not front]
        for other in others:
            other.signal(signal.SIGSTOP)
        await asyncio.sleep(BEFORE_CHANGE_S)
        try:
            await learns_in_time(site, front, key)
        finally:
            for other in others:
                other.signal(signal.SIGCONT)
        await asyncio.sleep(TAKEN_FOR_ALIVE_S)


async def beside_fronts_turned_away(site):
    """The store turns all fronts of a failure domain away but one, in turn, and those of the other one are killed or
    frozen. Guards against a front that waits for one that lost the store, and serves callers by an old configuration."""
    await grow(site)
    domain = [front for front in site.fronts if front.domain == "a"]
    elsewhere = [front for front in site.fronts if front.domain != "a"]
    for (number, front), mode in zip(enumerate(domain), itertools.cycle(("busy", "silent", "reset", "many"))):
        key = await revoke(site, f"turned-{number}")
        for other in domain:
            other.store_endpoint.set("ok" if other is front else mode)
        await asyncio.sleep(1)
        for other in elsewhere[1:]:
            await other.kill()
        elsewhere[0].signal(signal.SIGSTOP)
        await asyncio.sleep(BEFORE_CHANGE_S)
        try:
            await learns_in_time(site, front, key)
        finally:
            elsewhere[0].signal(signal.SIGCONT)
            for other in domain:
                other.store_endpoint.set("ok")
            for other in elsewhere[1:]:
                await other.start()
        for other in site.fronts:
            await site.wait(other.is_ready, f"front {other.number} ready")
        await asyncio.sleep(SETTLED_S)


def has_seen(front, engine, *states):
    """Whether the last that the front logged of the engine's entry is one of these states."""
    seen = [line["state"] for line in front.events("server_state") if line["server"] == engine.name]
    return bool(seen) and seen[-1] in states


async def know_that_it_left(site, engine, fronts):
    """Waits until all these fronts know that the engine has left; fails after APPLY_S."""

    async def is_known():
        return all(has_seen(front, engine, "gone", "unconfirmed") for front in fronts)

    await site.wait(is_known, f"{engine.name} has left", limit=APPLY_S)


async def after_fronts_started_behind_a_removal(site):
    """An engine leaves while one front is frozen, and the others start after that; the store turns that front away for a
    while longer. Guards against a front that takes their rows for complete, and keeps the engine for good."""
    left_out, others = site.fronts[0], site.fronts[1:]
    engine = next(engine for engine in site.engines if engine.service == "orders")
    left_out.store_endpoint.set("busy")
    left_out.signal(signal.SIGSTOP)
    for front in others:
        await front.kill()
    await engine.leave()
    for front in others:
        await front.start()
    for front in others:
        await site.wait(front.is_ready, f"front {front.number} ready")
    await site.start_engine("orders")
    left_out.signal(signal.SIGCONT)

    async def is_told():
        return has_seen(left_out, site.engines[-1], "ready")

    await site.wait(is_told, "the front is told of the new engine")
    left_out.store_endpoint.set("ok")
    await asyncio.sleep(CONTACT_S)
    await know_that_it_left(site, engine, [left_out])


async def after_a_removal_in_dropped_history(site):
    """An engine leaves while the store answers nobody, which then has dropped its history. Guards against fronts that
    follow others and aren't told of it, as these read all rows again and find it missing."""
    await grow(site)
    engine = next(engine for engine in site.engines if engine.service == "orders")
    for front in site.fronts:
        front.store_endpoint.set("hold")
    await engine.leave()
    site.store.changes.clear()
    site.store.history_start = site.store.version
    for front in site.fronts:
        front.store_endpoint.set("ok")
    await asyncio.sleep(CONTACT_S)
    await know_that_it_left(site, engine, site.fronts)


CASES = [
    beside_frozen_fronts, beside_fronts_turned_away, after_fronts_started_behind_a_removal, after_a_removal_in_dropped_history,
]  # fmt: skip


if __name__ == "__main__":
    sys.exit(main(CASES))
