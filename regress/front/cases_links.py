"""Cases with large tables over slow links: cases_links.py PROGRAM [CASE...]. See cases.py.

Each transfer takes about three seconds, longer than a front waits for the first byte of an answer.
"""

import sys

from cases import BUSY_TIMEOUT_S, CONTROL_PORT, equal, log_events, main
from relay_tcp import Relay
from site_front import add_routes

EXTRA_ROUTES = 4200
STORE_BYTES_PER_S = 350_000  # the store's answer with the extra routes has 1.2 MB
FRONT_BYTES_PER_S = 35_000  # a front sends the extra routes compressed, in 0.11 MB
PEER_CONTROL_PORT = CONTROL_PORT + 100


async def wait_applied(site, front, version, limit=BUSY_TIMEOUT_S):
    async def applied():
        return any(line["config"] == version for line in front.events("config_applied"))

    await site.wait(applied, f"configuration {version} at front {front.number}", limit)


async def configuration_from_peer_over_slow_link(site):
    """A front whose connections to the store are reset fetches a large configuration from a peer, over
    a link on which the transfer takes three seconds. Guards against a time-out of 0.8 s on the complete
    answer instead of on its first byte: the front aborted and repeated each request while its answer arrived,
    without end, and kept the old routes."""
    peer, lagging = site.fronts[0], site.fronts[2]
    await peer.kill()
    peer.control = PEER_CONTROL_PORT  # the relay listens on the usual port
    relay = Relay((peer.ip, CONTROL_PORT), (peer.ip, PEER_CONTROL_PORT))
    await relay.start()
    try:
        await peer.start()
        await site.wait(peer.is_ready, "the peer ready")
        lagging.store_endpoint.set("reset")
        relay.rate = FRONT_BYTES_PER_S
        add_routes(site, EXTRA_ROUTES)
        version = await site.configure()
        await wait_applied(site, peer, version)
        await wait_applied(site, lagging, version)
    finally:
        relay.close()


async def configuration_from_store_over_slow_link(site):
    """The same configuration comes from the store, whose answer takes three seconds over each front's link.
    Guards against a time-out of 1.5 s on the complete answer of a short poll: the request was aborted while
    its answer arrived, and the store was taken for lost although it always answered."""

    def has_short_poll(front):
        return any("WaitMs=1000" in feed and "Table=op" in feed for feed in front.store_endpoint.feeds)

    async def any_polls_briefly():
        return any(has_short_poll(front) for front in site.fronts)

    await site.wait(any_polls_briefly, "short polls at the store")
    for front in site.fronts:
        front.store_endpoint.rate = STORE_BYTES_PER_S
    add_routes(site, EXTRA_ROUTES)
    version = await site.configure()
    for front in site.fronts:
        await wait_applied(site, front, version)
    equal(len(log_events(site, "store_lost")), 0, "store_lost events")


async def start_over_slow_link(site):
    """All fronts restart and read the large configuration over such links. Guards against a time-out of
    1.5 s on the complete answer: a starting front aborted its request with most of the bytes received and
    began again, and no front became ready."""
    add_routes(site, EXTRA_ROUTES)
    await site.configure()
    for front in site.fronts:
        front.store_endpoint.rate = STORE_BYTES_PER_S
        await front.kill()
    for front in site.fronts:
        await front.start()
    for front in site.fronts:
        await site.wait(front.is_ready, f"front {front.number} ready", BUSY_TIMEOUT_S)


CASES = [configuration_from_peer_over_slow_link, configuration_from_store_over_slow_link, start_over_slow_link]

if __name__ == "__main__":
    sys.exit(main(CASES))
