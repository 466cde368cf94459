"""Crowds of callers that misbehave, and what a process holds for them."""

import asyncio
import os
import socket
import time

from wire import abort, read_head

SAMPLE_S = 0.02  # between two readings of what a process holds
SEND_LIMIT_S = 20  # a crowd that is not read from stops sending then
MB = 1 << 20


def read_status(pid, field):
    """A size in /proc/PID/status, in bytes."""
    with open(f"/proc/{pid}/status", encoding="ascii") as lines:
        return next(int(line.split()[1]) * 1024 for line in lines if line.startswith(field + ":"))


def hex_address(ip, port):
    return f"{int.from_bytes(socket.inet_aton(ip), 'little'):08X}:{port:04X}"


def queued_bytes(ip, ports):
    """Bytes in the kernel's buffers of the connections to these ports: received and not read, or not sent yet."""
    wanted = {hex_address(ip, port) for port in ports}
    total = 0
    with open("/proc/net/tcp", encoding="ascii") as lines:
        for line in lines:
            columns = line.split()
            if columns[1] in wanted and columns[3] != "0A":  # 0A: listens
                total += sum(int(size, 16) for size in columns[4].split(":"))
    return total


class Meter:
    """Samples the memory and the descriptors of a process while a crowd is there."""

    def __init__(self, pid, ip, ports):
        self.pid, self.ip, self.ports = pid, ip, ports
        self.peak_bytes = self.peak_descriptors = 0
        self.task = asyncio.ensure_future(self.run())

    def sample(self):
        held = read_status(self.pid, "VmRSS") + queued_bytes(self.ip, self.ports)
        self.peak_bytes = max(self.peak_bytes, held, read_status(self.pid, "VmHWM"))
        self.peak_descriptors = max(self.peak_descriptors, len(os.listdir(f"/proc/{self.pid}/fd")))

    async def run(self):
        while True:
            self.sample()
            await asyncio.sleep(SAMPLE_S)

    def stop(self):
        """Raises FileNotFoundError or ProcessLookupError if the process has ended."""
        self.task.cancel()
        self.sample()


class Crowd:
    """Connections that each send the pieces of a generator and then stay open. A connection that is closed by the other
    side stays closed."""

    def __init__(self, address, receive_buffer=None):
        self.address, self.receive_buffer = address, receive_buffer
        self.connections, self.sent_bytes = [], 0

    async def connect(self):
        peer = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        peer.setblocking(False)
        if self.receive_buffer:
            peer.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive_buffer)
        try:
            await asyncio.wait_for(asyncio.get_running_loop().sock_connect(peer, self.address), SEND_LIMIT_S)
        except (OSError, asyncio.TimeoutError):
            peer.close()
            return None
        self.connections.append(peer)
        return peer

    async def send(self, pieces):
        """Sends all pieces on a connection of its own, as far as they are read."""
        peer = await self.connect()
        if peer is None:
            return
        until = time.monotonic() + SEND_LIMIT_S
        try:
            for piece in pieces:
                left = until - time.monotonic()
                await asyncio.wait_for(asyncio.get_running_loop().sock_sendall(peer, piece), max(left, 0.01))
                self.sent_bytes += len(piece)
        except (OSError, asyncio.TimeoutError):
            pass

    async def come(self, size, pieces_of):
        """Sends pieces_of(number) on each of so many connections at once."""
        await asyncio.gather(*(self.send(pieces_of(number)) for number in range(size)))

    def leave(self):
        for peer in self.connections:
            peer.close()
        self.connections = []


def pieces_of_bytes(data, size):
    return (data[at : at + size] for at in range(0, len(data), size))


def chunked(data_bytes, chunk_bytes):
    """A body in chunks of this size, without its end."""
    chunk = b"%x\r\n" % chunk_bytes + b"x" * chunk_bytes + b"\r\n"
    together = max(1, 65536 // len(chunk))
    for _ in range(data_bytes // (chunk_bytes * together)):
        yield chunk * together
