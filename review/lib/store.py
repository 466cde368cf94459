"""Stand-in for the platform's metadata store: versioned rows, conditional transactions, feeds of changes."""

import asyncio
import base64
import json
import time
import urllib.parse

from wire import answer, read_body, read_head

CHANGES_MAX = 5000


class Store:
    def __init__(self, address):
        self.address = address
        self.rows = {}  # (table, key) -> (value, version)
        self.changes = []  # (version, table, key, value or None)
        self.version = 1
        self.changed = asyncio.Event()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, *self.address)

    def put(self, table, key, value):
        """Writes a row, or removes it if value is None."""
        self.version += 1
        if value is None:
            self.rows.pop((table, key), None)
        else:
            self.rows[table, key] = (value, self.version)
        self.changes.append((self.version, table, key, value))
        del self.changes[:-CHANGES_MAX]
        self.changed.set()
        self.changed = asyncio.Event()
        return self.version

    def put_json(self, table, key, value):
        return self.put(table, key, json.dumps(value).encode())

    def get_json(self, table, key):
        found = self.rows.get((table, key))
        return json.loads(found[0]) if found else None

    async def serve(self, reader, writer):
        try:
            while head := await read_head(reader):
                body = await read_body(reader, head)
                if body is None:
                    break
                status, reply = await self.call(head, body)
                writer.write(answer(status, json.dumps(reply).encode(), Content_Type="application/json"))
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def call(self, head, body):
        path, _, query = head.target.partition("?")
        args = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        await asyncio.sleep(0.004)
        if path == "/v1/rows-get":
            return self.rows_get(args)
        if path == "/v1/rows-feed":
            return await self.rows_feed(args)
        if path == "/v1/rows-tx":
            return self.rows_tx(json.loads(body))
        return 404, {}

    def reply(self, rows, **more):
        return 200, {"Rows": rows, "Ver": self.version, "NowMs": int(time.monotonic() * 1000), **more}

    @staticmethod
    def row(table, key, value, version):
        named = {"Table": table, "part": "", "Key": key, "Ver": version}
        if value is None:
            return {**named, "Tombstone": True}
        return {**named, "Value": base64.b64encode(value).decode()}

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
        while not self.rows_since(table, since) and time.monotonic() < until:
            try:
                await asyncio.wait_for(self.changed.wait(), max(0.001, until - time.monotonic()))
            except asyncio.TimeoutError:
                break
        found = self.rows_since(table, since)
        return self.reply([self.row(table, key, value, version) for version, key, value in found])

    def rows_tx(self, body):
        for want in body["ExpectedRev"]:
            value, version = self.rows.get((want["Table"], want["Key"]), (None, 0))
            if version != want["Ver"]:
                rows = [self.row(want["Table"], want["Key"], value, version)] if version else []
                return 412, {"Rows": rows, "Ver": self.version, "NowMs": int(time.monotonic() * 1000)}
        for write in body["Writes"]:
            if write["Table"] in ("op", "servers"):
                return 403, {}
            self.put(write["Table"], write["Key"], base64.b64decode(write["Value"]))
        for row in body.get("Remove", []):
            self.put(row["Table"], row["Key"], None)
        return self.reply([])
