"""Stand-in for the platform's store: versioned rows, conditional transactions, and feeds of changes.

Each front connects to an endpoint of its own, so that a fault can be injected for one front alone.
"""

import asyncio
import base64
import json
import re
import time
import urllib.parse

from wire import abort, answer, read_request, write_at_rate

HISTORY_MAX = 2000  # changes kept for feeds
KEY_MAX_BYTES = 200
# A request line with only such characters in the query, and in a fragment, as a URL allows.
REQUEST_LINE = re.compile(r"[A-Z]+ /[^? ]*(\?([!-$&-~]|%[0-9A-Fa-f]{2})*)? HTTP/1\.1")


def decode_query(request):
    """Returns the arguments in the query of a request, or None if the request line or an argument is malformed. A
    fragment is not part of the query."""
    if not REQUEST_LINE.fullmatch(request.start):
        return None
    query = request.target.partition("#")[0].partition("?")[2]
    args = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
    return None if len(args.get("From", "").encode()) > KEY_MAX_BYTES else args


class StoreEndpoint:
    """One listening address of the store, and the fault injected there.

    mode: ok; busy (answers 503), many (answers 429), reset (resets connections), silent (no answer), slow
    (answers after a second), lost (carries the request out and closes without an answer), hold (connections
    stay open, but requests that are in progress or come meanwhile are never answered).
    rate: bytes per second of the link to the store; None: unlimited.
    servers_at: "IP:PORT" that rows name as the address of every engine, so that fronts that read them here can reach
    none; None: their own.
    reachable: names of engines whose rows stay as they are all the same.
    """

    def __init__(self, store, address):
        self.store, self.address = store, address
        self.mode = "ok"
        self.rate = self.servers_at = None
        self.reachable = set()
        self.hold_count = 0  # times that mode "hold" was set
        self.writers = set()
        self.pages = []  # targets of the rows-get requests
        self.feeds = []  # targets of the rows-feed requests

    async def start(self):
        self.server = await asyncio.start_server(self.serve, *self.address)

    def set(self, mode):
        self.mode = mode
        self.hold_count += mode == "hold"
        if mode in ("reset", "silent"):
            for writer in list(self.writers):
                abort(writer)

    def close(self):
        self.server.close()
        for writer in list(self.writers):
            abort(writer)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while request := await read_request(reader):
                if not await self.answer(request, writer):
                    break
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            abort(writer)

    async def answer(self, request, writer):
        if "/rows-get" in request.target:
            self.pages.append(request.target)
        if "/rows-feed" in request.target:
            self.feeds.append(request.target)
        if self.mode == "reset":
            return False
        if self.mode == "silent":
            await asyncio.sleep(3600)
        if self.mode in ("busy", "many"):
            writer.write(answer(503 if self.mode == "busy" else 429, Store_Era=self.store.era))
            return True
        if self.mode == "slow":
            await asyncio.sleep(1)
        hold_count, held = self.hold_count, self.mode == "hold"
        status, body = await self.store.call(request)
        if self.servers_at and "Table=servers" in request.target:
            body = {**body, "Rows": [self.move_server(row) for row in body["Rows"]]}
        era = {"Store_Era": self.store.era}
        if held or self.hold_count != hold_count:
            await asyncio.sleep(3600)
        if self.mode in ("lost", "reset"):
            return False
        await write_at_rate(writer, answer(status, body, **era), self.rate)
        return True


    def move_server(self, row):
        if "Value" not in row or row["Key"] in self.reachable:
            return row
        entry = {**json.loads(base64.b64decode(row["Value"])), "Address": self.servers_at}
        return {**row, "Value": base64.b64encode(json.dumps(entry).encode()).decode()}


class Store:
    def __init__(self):
        self.rows = {}  # (table, key) -> (value, version)
        self.changes = []  # (version, table, key, value or None)
        self.version = 1
        self.history_start = 0  # feeds from before this version are answered 410
        self.changed = asyncio.Event()  # set by the next change, which replaces it by a new one
        self.calls = 0
        self.written_since_return = set()  # (table, key) of rows that were written or removed since it came back from a copy
        self.era = 1  # rises each time it comes back from a copy
        self.clock_ahead_ms = 0  # its clock before this machine's

    async def put(self, table, key, value):
        """Writes a row, or removes it if value is None. Returns the version of the change."""
        self.version += 1
        self.written_since_return.add((table, key))
        if value is None:
            self.rows.pop((table, key), None)
        else:
            self.rows[table, key] = (value, self.version)
        self.changes.append((self.version, table, key, value))
        del self.changes[:-HISTORY_MAX]
        self.changed.set()
        self.changed = asyncio.Event()
        return self.version

    def drop_history(self):
        """Drops all changes kept; feeds from an earlier version are answered 410."""
        self.changes.clear()
        self.history_start = self.version

    def copy(self):
        """Returns what restore takes."""
        return dict(self.rows), list(self.changes), self.version, self.history_start

    def restore(self, copy):
        """Comes back from a copy: what was written since is gone, and its versions are given out again. Returns what the
        operator and the engines have to write again: (table, key, value that is lost, value of the copy), None for no
        row."""
        rows, changes, self.version, self.history_start = copy
        lost = [
            (*name, self.rows.get(name, (None,))[0], rows.get(name, (None,))[0])
            for name in {**self.rows, **rows}
            if name[0] in ("op", "servers") and self.rows.get(name, (None,))[0] != rows.get(name, (None,))[0]
        ]  # fmt: skip
        self.rows, self.changes = dict(rows), list(changes)
        self.written_since_return.clear()
        self.era += 1
        self.changed.set()
        self.changed = asyncio.Event()
        return lost

    async def write_again(self, lost, pause_s):
        """Writes again what restore returned, with a pause before each row, unless it was written or removed meanwhile:
        an engine that has ended since the return doesn't write its entry again."""
        for table, key, value, _ in lost:
            await asyncio.sleep(pause_s)
            if (table, key) not in self.written_since_return:
                await self.put(table, key, value)

    def get(self, table, key):
        """Returns a row's value parsed as JSON, or None if there is no row."""
        found = self.rows.get((table, key))
        return json.loads(found[0]) if found else None

    def now_ms(self):
        return int(time.monotonic() * 1000) + self.clock_ahead_ms

    def reply(self, rows, **more):
        return 200, {"Rows": rows, "Ver": self.version, "NowMs": self.now_ms(), **more}

    @staticmethod
    def row(table, key, value, version):
        named = {"Table": table, "part": "", "Key": key, "Ver": version}
        if value is None:
            return {**named, "Tombstone": True}
        return {**named, "Value": base64.b64encode(value.encode()).decode()}

    async def call(self, request):
        self.calls += 1
        path, args = request.target.partition("?")[0], decode_query(request)
        if args is None:
            return 400, {}
        if path == "/v1/rows-get":
            return self.rows_get(args)
        if path == "/v1/rows-feed":
            return await self.rows_feed(args)
        if path == "/v1/rows-tx":
            return await self.rows_tx(json.loads(request.body))
        return 404, {}

    def rows_get(self, args):
        limit = int(args.get("Limit", 500))
        found = sorted(
            (key, value, version)
            for (table, key), (value, version) in self.rows.items()
            if table == args["Table"] and key >= args.get("From", "")
        )
        rows = [self.row(args["Table"], *entry) for entry in found[:limit]]
        return self.reply(rows, MorePages=len(found) > limit)

    def rows_since(self, table, since):
        newest = {}
        for version, changed, key, value in self.changes:
            if changed == table and version > since:
                newest[key] = (version, value)
        return sorted((version, key, value) for key, (version, value) in newest.items())

    async def rows_feed(self, args):
        table, since = args["Table"], int(args["SinceRev"])
        until = time.monotonic() + int(args.get("WaitMs", 0)) / 1000
        while self.history_start <= since <= self.version and not self.rows_since(table, since):
            left = until - time.monotonic()
            if left <= 0:
                break
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                break
        if since < self.history_start or since > self.version:
            return 410, {}
        found = self.rows_since(table, since)
        return self.reply([self.row(table, key, value, version) for version, key, value in found])

    async def rows_tx(self, body):
        for want in body["ExpectedRev"]:
            _, version = self.rows.get((want["Table"], want["Key"]), (None, 0))
            if version != want["Ver"]:
                value, version = self.rows.get((want["Table"], want["Key"]), (None, 0))
                return 412, {"Rows": [self.row(want["Table"], want["Key"], value, version)], "Ver": self.version}
        for write in body["Writes"]:
            if write["Table"] in ("op", "servers"):
                return 403, {}
            await self.put(write["Table"], write["Key"], base64.b64decode(write["Value"]).decode())
        return self.reply([])
