"""Entries of other writers under names with unusual characters: cases_names.py PROGRAM [CASE...]. See cases.py."""

import asyncio
import json
import sys
import time
from collections import Counter

from cases import check, equal, log_events, main, traffic, wait_for_work_in_domain

ROWS_PER_PAGE = 500
RECOVERY_S = 12  # after a start of all fronts until they serve
KEY_MAX_BYTES = 200
# Each sorts behind the rows that fill its page, and before the configuration and the engines.
NAMES = [
    "&z", "#z", "%z", "%7a", "=z", "?z", "b z", "b+z", "b\0z", "b\x7f", "b\u00e9", "b\U0001f600", 'b"\\', "b\r\nz",
    "&From=a", "&" * KEY_MAX_BYTES,
]  # fmt: skip
PLAIN_NAMES = ["a/z"]  # that an engine may have
LAST = "~"  # sorts behind all rows
FEW_NAMES = ["&z", "#z", "%z", "b z", "b+z"]
READS_MAX = 3  # of a page within some seconds, as an answer may come late
FEED_S = 1  # until the fronts know a change


async def serve_all(site, what):
    for front in site.fronts:
        for path in ("/once/a", "/again/a", "/text/a"):
            answer = await site.call(front, path, b"after")
            equal((answer.status, answer.complete), (200, True), f"{what}: {path} at front {front.number}")
            check(site, answer)


async def start_all(site, what):
    """Starts all fronts anew at one moment, and waits until they are ready."""
    await asyncio.gather(*(front.kill() for front in site.fronts))
    for front in site.fronts:
        front.store_endpoint.pages.clear()
    await asyncio.gather(*(front.start() for front in site.fronts))
    until = time.monotonic() + RECOVERY_S
    for front in site.fronts:
        await site.wait(front.is_ready, f"{what}: front {front.number} ready", until - time.monotonic())


async def put_page(site, table, name, value):
    """Writes or removes the rows of a first page that ends with this name, and one behind it. The other rows are behind
    the name that a plus is taken for."""
    prefix = "b!" if name == "b+z" else "!"
    for key in [*(f"{prefix}{number:03}" for number in range(ROWS_PER_PAGE - 1)), name, LAST]:
        await site.store.put(table, key, value)


async def start_with_names_at_page_end(site, table, names):
    for name in names:
        what = f"{table}, {name[:8]!r} at the end of a page"
        await put_page(site, table, name, "{}")
        await start_all(site, what)
        await serve_all(site, what)
        for front in site.fronts:
            pages = Counter(page for page in front.store_endpoint.pages if f"Table={table}&" in page)
            if max(pages.values(), default=0) > READS_MAX:
                raise AssertionError(f"{what}: front {front.number} read {pages}")
        await put_page(site, table, name, None)


async def name_at_page_end_of_servers(site):
    """An unreadable entry is the last on the first page of the servers as all fronts start. Guards against a name that
    changes the URL of the next page, so that fronts never have the whole table, and serve nothing."""
    await start_with_names_at_page_end(site, "servers", [*NAMES, *PLAIN_NAMES])


async def name_at_page_end_of_orders(site):
    """The same in the operator's table. Guards against fronts that never read the configuration behind that page."""
    await start_with_names_at_page_end(site, "op", FEW_NAMES)


async def name_at_page_end_of_status(site):
    """The same in the table of roll-outs' states. Guards against fronts that read its first page in circles."""
    await start_with_names_at_page_end(site, "status", FEW_NAMES)


async def name_at_page_end_of_fronts(site):
    """The same in the list of fronts. Guards against fronts that don't find each other as they start."""
    await start_with_names_at_page_end(site, "lovagehub_fronts", FEW_NAMES)


async def one_front_starts_beside_others(site):
    """Odd entries stand at the end of a page of the servers and within the next one, and one front starts beside others,
    before the store and without it. Guards against a front that gets such a table neither there nor from another one."""
    await put_page(site, "servers", "&z", "{}")
    for name in ("=z", "?z", "b z", "b+z", "b\0z", "b\r\nz"):
        await site.store.put("servers", name, "{}")
    await asyncio.sleep(FEED_S)
    front = site.fronts[1]
    for mode in ("ok", "busy"):
        front.store_endpoint.set(mode)
        await front.kill()
        await front.start()
        await site.wait(front.is_ready, f"front ready, store {mode}", RECOVERY_S)
        await serve_all(site, f"store {mode}")


async def expect_engines_only(site, engines, what):
    site.runs.clear()
    for answer in await traffic(site, time.monotonic() + 1, "/once/"):
        equal((answer.status, len(site.runs_of(answer))), (200, 1), f"{answer!r} {what}")
        check(site, answer)
    fields = [run.fields for run in site.runs]
    targets = {one.get("lovagehub-target-instance") for one in fields}
    equal(targets - {engine.name for engine in engines}, set(), f"ids of no engine {what}")
    equal([one for one in fields if "x-other" in one], [], f"requests with a field out of a name {what}")


async def names_over_sound_entries(site):
    """Entries under odd names are sound but for these: they name a service, and the address of an engine. Guards against
    requests that are sent there, are refused after as many attempts as they have, or carry a header field out of a name."""
    good = [engine for engine in site.engines if engine.service == "orders"]
    entry = json.dumps({**good[0].entry(), "Slots": 64})
    names = [*NAMES, *(f"{good[0].name}{rest}" for rest in ("\0", "\0z", "\r\nX-Other: 1", "\r\n\r\n", " ", "\t"))]
    for name in names:
        await site.store.put("servers", name, entry)
    for engine in good:  # fronts take the entry that was written first, of equal ones
        await engine.report()
    await asyncio.sleep(FEED_S)
    await expect_engines_only(site, good, "beside odd names")
    await start_all(site, "beside odd names")
    await expect_engines_only(site, good, "after a start")
    states = {event["server"]: event["state"] for event in log_events(site, "server_state")}
    equal({states.get(name.replace("\0", "\ufffd")) for name in names}, {"unreadable"}, "states in the log")


async def unreadable_entries_beside_engines(site):
    """Unreadable entries stand under the names of engines with a NUL behind, and are removed. Guards against an entry that
    ends the work of the engine whose name is cut out of its own."""
    good = [engine for engine in site.engines if engine.service == "orders"]
    for value in ("{}", None):
        for engine in good:
            await site.store.put("servers", f"{engine.name}\0z", value)
        await asyncio.sleep(FEED_S)
        site.runs.clear()
        await serve_all(site, "beside unreadable entries" if value else "after their removal")
    await start_all(site, "after their removal")
    await serve_all(site, "after a start")


async def expect_version(site, version, what):
    site.runs.clear()
    for answer in await traffic(site, time.monotonic() + 1, "/text/"):
        equal(answer.status, 200, what)
        check(site, answer)
    equal({run.engine.version for run in site.runs}, {version}, what)


async def orders_under_other_names(site):
    """Orders of a roll-out stand in the operator's table under names that aren't the service's. Guards against requests
    that go to a version although no roll-out of their service was ordered."""
    for _ in range(2):
        await site.add_engine("texts", "v2").start()
    order = json.dumps({"Service": "texts", "Target": "v2", "RampS": 4})
    names = ["texts\0", "texts&z", "&z", "texts ", "orders"]
    for name in names:
        await site.store.put("op", f"rollout/{name}", order)
    await asyncio.sleep(FEED_S)
    await expect_version(site, "v1", "versions that got requests")
    await start_all(site, "orders under other names")
    await expect_version(site, "v1", "versions that got requests after a start")
    equal([key for table, key in site.store.rows if table == "status"], [], "states of roll-outs")
    refused = {event["key"] for event in log_events(site, "rollout_order_refused")}
    equal(refused, {f"rollout/{name}".replace("\0", "\ufffd") for name in names}, "refused orders in the log")


async def orders_with_a_nul(site):
    """Entries of the operator's table have the name of the configuration or of an evacuation with a NUL behind. Guards
    against fronts that take them for these."""
    await site.store.put("op", "evacuate/a\0", "{}")
    await site.store.put("op", "config\0", json.dumps({"Version": site.version + 100}))
    await asyncio.sleep(FEED_S)
    await serve_all(site, "beside another configuration")
    await wait_for_work_in_domain(site, "a")
    await start_all(site, "beside another configuration")
    await serve_all(site, "after a start beside another configuration")
    await wait_for_work_in_domain(site, "a")


async def states_with_a_nul(site):
    """While a service is rolled out, a state stands under its name with a NUL behind, which says that the roll-out is
    completed. Guards against fronts that take it for the service's."""
    for _ in range(2):
        await site.add_engine("texts", "v2").start()
    await site.store.put("op", "rollout/texts", json.dumps({"Service": "texts", "Target": "v2", "RampS": 60}))
    await asyncio.sleep(FEED_S)
    state = {"Service": "texts", "Target": "v2", "State": "completed"}
    await site.store.put("status", "rollout/texts\0", json.dumps(state))
    await asyncio.sleep(FEED_S)
    site.runs.clear()
    for answer in await traffic(site, time.monotonic() + 2, "/text/"):
        check(site, answer)
    old = sum(run.engine.version == "v1" for run in site.runs)
    if 2 * old < len(site.runs):
        raise AssertionError(f"{len(site.runs) - old} of {len(site.runs)} requests went to the new version within 4 s of 60 s")


CASES = [
    name_at_page_end_of_servers, name_at_page_end_of_orders, name_at_page_end_of_status, name_at_page_end_of_fronts,
    one_front_starts_beside_others, names_over_sound_entries, unreadable_entries_beside_engines, orders_under_other_names,
    orders_with_a_nul, states_with_a_nul,
]  # fmt: skip

if __name__ == "__main__":
    sys.exit(main(CASES))
