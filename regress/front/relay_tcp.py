"""A TCP proxy on loopback that injects delays, resets, a limited rate, and loss in one or both directions."""

import asyncio

from wire import abort, write_at_rate


class Relay:
    """Forwards connections from one address to another.

    mode: ok; slow (delays each read by half a second), reset (resets all connections, open and new ones),
    drop_from_client (what the client sends is lost), drop_from_server (what the server sends is lost),
    drop_both.
    rate: bytes per second that the server sends over all connections together; None: unlimited.
    """

    def __init__(self, listen, target):
        self.address, self.target = listen, target
        self.mode = "ok"
        self.rate = None
        self.link_lock = asyncio.Lock()  # held while data is sent at the limited rate
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, *self.address)

    def set(self, mode):
        self.mode = mode
        if mode == "reset":
            for writer in list(self.writers):
                abort(writer)

    def close(self):
        self.server.close()
        for writer in list(self.writers):
            abort(writer)

    async def serve(self, reader, writer):
        if self.mode == "reset":
            abort(writer)
            return
        try:
            server_reader, server_writer = await asyncio.open_connection(*self.target)
        except OSError:
            abort(writer)
            return
        pair = (writer, server_writer)
        self.writers.update(pair)
        await asyncio.gather(
            self.pump(reader, server_writer, ("drop_from_client", "drop_both")),
            self.pump(server_reader, writer, ("drop_from_server", "drop_both")),
            return_exceptions=True,
        )
        self.writers.difference_update(pair)
        for end in pair:
            end.close()

    async def pump(self, reader, writer, drop_modes):
        """Forwards one direction, including a close or reset of the connection; sends nothing in the drop_modes."""
        try:
            while data := await reader.read(65536):
                if self.mode == "slow":
                    await asyncio.sleep(0.5)
                if self.mode in drop_modes:
                    await asyncio.sleep(3600)
                if "drop_from_server" in drop_modes and self.rate:
                    async with self.link_lock:
                        await write_at_rate(writer, data, self.rate)
                else:
                    writer.write(data)
                    await writer.drain()
            writer.close()
        except OSError:
            abort(writer)
