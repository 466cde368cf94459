"""Entries of other writers under names with unusual characters: cases_names.py PROGRAM [CASE...]. See cases.py."""

import asyncio
import sys
import time

from cases import check, equal, main

ROWS_PER_PAGE = 500
RECOVERY_S = 12  # after a start of all fronts until they serve
KEY_MAX_BYTES = 200
# Each sorts behind the rows that fill its page, and before the configuration and the engines.
NAMES = [
    "&z", "#z", "%z", "%7a", "=z", "?z", "a/z", "b z", "b+z", "b\x7f", "b\u00e9", "b\U0001f600", 'b"\\', "b\r\nz",
    "&From=a", "&" * KEY_MAX_BYTES,
]  # fmt: skip
LAST = "~"  # sorts behind all rows
FEW_NAMES = ["&z", "#z", "%z", "b z", "b+z"]


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
            pages = [page for page in front.store_endpoint.pages if f"Table={table}&" in page]
            equal(len(set(pages)), len(pages), f"{what}: different pages among those that front {front.number} read")
        await put_page(site, table, name, None)


async def name_at_page_end_of_servers(site):
    """An unreadable entry is the last on the first page of the servers as all fronts start. Guards against a name that
    changes the URL of the next page, so that fronts never have the whole table, and serve nothing."""
    await start_with_names_at_page_end(site, "servers", NAMES)


async def name_at_page_end_of_orders(site):
    """The same in the operator's table. Guards against fronts that never read the configuration behind that page."""
    await start_with_names_at_page_end(site, "op", FEW_NAMES)


async def name_at_page_end_of_status(site):
    """The same in the table of roll-outs' states. Guards against fronts that read its first page in circles."""
    await start_with_names_at_page_end(site, "status", FEW_NAMES)


async def name_at_page_end_of_fronts(site):
    """The same in the list of fronts. Guards against fronts that don't find each other as they start."""
    await start_with_names_at_page_end(site, "lovagehub_fronts", FEW_NAMES)


CASES = [
    name_at_page_end_of_servers, name_at_page_end_of_orders, name_at_page_end_of_status, name_at_page_end_of_fronts,
]  # fmt: skip

if __name__ == "__main__":
    sys.exit(main(CASES))
