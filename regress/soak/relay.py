"""Relays that can cut a VM off from its peers or from the platform.

Each VM has one relay before its RPC address, and one that it reaches the platform through. Datagrams are
identified by their sender, so that one direction between two VMs can be cut alone. Connections do not show
which VM they come from: a relay resets new ones and holds the data of open ones while its VM is cut off
from any other.
"""

import asyncio
import threading


class Link:
    """One listening address, for TCP and UDP, that forwards to a target address."""

    def __init__(self, listen, target):
        self.listen, self.target = listen, target
        self.cut_from = set()  # IP addresses whose datagrams are dropped
        self.cut_to = set()  # IP addresses to which answers are dropped
        self.cut_all = False
        self.open = None  # event that is set while nothing is cut
        self.tasks = set()  # references to running tasks; the event loop keeps only weak ones

    async def start(self):
        self.open = asyncio.Event()
        self.open.set()
        await asyncio.start_server(self._connection, *self.listen)
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: _Inbound(self), local_addr=self.listen)

    def update(self):
        cut = self.cut_all or self.cut_from or self.cut_to
        (self.open.clear if cut else self.open.set)()

    async def _connection(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        if not self.open.is_set():
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        pumps = [self._pump(reader, target_writer), self._pump(target_reader, writer)]
        await asyncio.gather(*pumps, return_exceptions=True)
        target_writer.transport.abort()
        writer.transport.abort()

    async def _pump(self, reader, writer):
        while data := await reader.read(65536):
            await self.open.wait()
            writer.write(data)
            await writer.drain()
        if writer.can_write_eof():
            writer.write_eof()


class _Inbound(asyncio.DatagramProtocol):
    """Forwards datagrams to the target; a socket per sender receives the target's answers to it."""

    def __init__(self, link):
        self.link = link
        self.outbound = {}  # sender -> transport to the target; None while it is opened

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, addr):
        if self.link.cut_all or addr[0] in self.link.cut_from:
            return
        if addr not in self.outbound:
            self.outbound[addr] = None
            task = asyncio.get_running_loop().create_task(self._open(addr, data))
            self.link.tasks.add(task)
            task.add_done_callback(self.link.tasks.discard)
        elif self.outbound[addr]:
            self.outbound[addr].sendto(data)

    async def _open(self, addr, data):
        loop = asyncio.get_running_loop()
        target_transport, _ = await loop.create_datagram_endpoint(
            lambda: _Outbound(self, addr), remote_addr=self.link.target
        )
        self.outbound[addr] = target_transport
        target_transport.sendto(data)


class _Outbound(asyncio.DatagramProtocol):
    """Forwards the target's answers to one sender."""

    def __init__(self, inbound, addr):
        self.inbound, self.addr = inbound, addr

    def datagram_received(self, data, addr):
        link = self.inbound.link
        if not link.cut_all and self.addr[0] not in link.cut_to:
            self.inbound.transport.sendto(data, self.addr)


class Relay:
    """All links by name; one thread runs their event loop."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        threading.Thread(target=self.loop.run_forever, daemon=True).start()
        self.links = {}

    def add(self, name, listen, target):
        link = Link(listen, target)
        asyncio.run_coroutine_threadsafe(link.start(), self.loop).result(10)
        self.links[name] = link

    def change(self, name, **values):
        """Sets attributes of a link: cut_from, cut_to, cut_all."""
        def apply():
            for key, value in values.items():
                setattr(self.links[name], key, value)
            self.links[name].update()

        self.loop.call_soon_threadsafe(apply)

    def restore_all(self):
        for name in self.links:
            self.change(name, cut_all=False, cut_from=set(), cut_to=set())
