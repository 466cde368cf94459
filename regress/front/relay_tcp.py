"""A loopback proxy for connections: delays, resets, cuts one way, silences."""

import asyncio

from wire import abort, write_slowly


class Relay:
    """modes: ok; slow (each piece half a second late), reset (all connections, old and new), deaf
    (what the caller sends is lost), mute (what the server sends is lost), dark (both).
    rate: bytes a second of all that servers send together; None: no bound."""

    def __init__(self, listen, target):
        self.address, self.target = listen, target
        self.mode = "ok"
        self.rate = None
        self.link = asyncio.Lock()  # held while a piece is on the link
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
            far_reader, far_writer = await asyncio.open_connection(*self.target)
        except OSError:
            abort(writer)
            return
        pair = (writer, far_writer)
        self.writers.update(pair)
        await asyncio.gather(
            self.pump(reader, far_writer, ("deaf", "dark")),
            self.pump(far_reader, writer, ("mute", "dark")),
            return_exceptions=True,
        )
        self.writers.difference_update(pair)
        for end in pair:
            end.close()

    async def pump(self, reader, writer, losing):
        """An end or a reset of one side is passed on as it is."""
        try:
            while data := await reader.read(65536):
                if self.mode == "slow":
                    await asyncio.sleep(0.5)
                if self.mode in losing:
                    await asyncio.sleep(3600)
                if "mute" in losing and self.rate:
                    async with self.link:
                        await write_slowly(writer, data, self.rate)
                else:
                    writer.write(data)
                    await writer.drain()
            writer.close()
        except OSError:
            abort(writer)
