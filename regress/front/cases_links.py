"""Cases of large tables over slow links: cases_links.py PROGRAM [CASE...]. See cases.py.

Each transfer here takes about three seconds, longer than a front waits for the first byte of any answer.
"""

import sys

from cases import BUSY_S, CONTROL, equal, log_events, main
from relay_tcp import Relay
from site_front import add_routes

ROUTES_MORE = 4200
STORE_RATE = 350_000  # bytes a second; the store's answer with these has 1.2 MB
FRONT_RATE = 35_000  # 0.11 MB as a front packs them
NEAR_CONTROL = CONTROL + 100


async def wait_applied(site, front, version, limit=BUSY_S):
    async def applied():
        return any(line["config"] == version for line in front.events("config_applied"))

    await site.wait(applied, f"configuration {version} at front {front.number}", limit)


async def news_over_slow_link(site):
    """Callers meet the routes of an older configuration for seconds after it was changed. It grew by some
    thousand routes; a front that the store doesn't answer hears that its neighbour has it and fetches it
    there, over a link on which that takes three seconds. The question was given up after 0.8 s while its
    answer arrived, and asked anew, without end: the log of a late front has fetch after fetch of the same
    rows, each cut with bytes received."""
    near, late = site.fronts[0], site.fronts[2]
    await near.kill()
    near.control = NEAR_CONTROL  # others come to the relay at the usual one
    relay = Relay((near.ip, CONTROL), (near.ip, NEAR_CONTROL))
    await relay.start()
    try:
        await near.start()
        await site.wait(near.is_ready, "the neighbour ready")
        late.door.set("reset")
        relay.rate = FRONT_RATE
        add_routes(site, ROUTES_MORE)
        version = await site.configure()
        await wait_applied(site, near, version)
        await wait_applied(site, late, version)
    finally:
        relay.close()


async def configuration_over_slow_link(site):
    """The same configuration comes from the store, whose answer takes three seconds over each front's
    link. The store is never silent, and was taken for lost: short questions were given up after 1.5 s
    while their answers arrived."""

    def asks_briefly(front):
        return any("WaitMs=1000" in feed and "Table=op" in feed for feed in front.door.feeds)

    async def any_settled():
        return any(asks_briefly(front) for front in site.fronts)

    await site.wait(any_settled, "short questions at the store")
    for front in site.fronts:
        front.door.rate = STORE_RATE
    add_routes(site, ROUTES_MORE)
    version = await site.configure()
    for front in site.fronts:
        await wait_applied(site, front, version)
    equal(len(log_events(site, "store_lost")), 0, "times that the store was taken for lost")


async def start_over_slow_link(site):
    """All fronts start again, with the large configuration to be read over such links. A start gave up
    its question after 1.5 s, with most of the bytes received, and began anew: no front became ready."""
    add_routes(site, ROUTES_MORE)
    await site.configure()
    for front in site.fronts:
        front.door.rate = STORE_RATE
        await front.kill()
    for front in site.fronts:
        await front.start()
    for front in site.fronts:
        await site.wait(front.is_ready, f"front {front.number} ready", BUSY_S)


CASES = [news_over_slow_link, configuration_over_slow_link, start_over_slow_link]

if __name__ == "__main__":
    sys.exit(main(CASES))
