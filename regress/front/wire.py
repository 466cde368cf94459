"""Minimal HTTP/1.1 on asyncio streams, for the stand-ins, the callers and the operator."""

import asyncio
import json
import socket
import struct
from dataclasses import dataclass, field


@dataclass
class Message:
    """A request or an answer."""

    start: str
    fields: dict = field(default_factory=dict)  # names in lower case
    body: bytes = b""

    @property
    def method(self):
        return self.start.split(" ")[0]

    @property
    def target(self):
        return self.start.split(" ")[1]

    @property
    def status(self):
        return int(self.start.split(" ")[1])


class Truncated(Exception):
    """The connection ended before the message was complete; received holds the bytes of the body so far."""

    def __init__(self, received=b""):
        super().__init__("cut")
        self.received = received


async def read_head(reader):
    """Reads a start line and header fields; returns None if the connection ended before the first byte."""
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise Truncated() from error
        return None
    except OSError:
        return None
    lines = text.decode("latin-1").split("\r\n")
    message = Message(lines[0])
    for line in lines[1:-2]:
        name, _, value = line.partition(":")
        message.fields[name.strip().lower()] = value.strip()
    return message


async def read_body(reader, message, on_data=None):
    """Reads a body by its Content-Length or in chunks; raises Truncated if the connection ends before its end."""
    body = b""
    try:
        if message.fields.get("transfer-encoding") == "chunked":
            while True:
                size = int(await reader.readuntil(b"\r\n"), 16)
                data = await reader.readexactly(size + 2)
                if size == 0:
                    break
                body += data[:-2]
                if on_data:
                    on_data(data[:-2])
        else:
            body = await reader.readexactly(int(message.fields.get("content-length", 0)))
    except (asyncio.IncompleteReadError, OSError, ValueError) as error:
        raise Truncated(body) from error
    message.body = body
    return message


async def read_request(reader):
    """Returns the next request, or None if the connection ended before its first byte."""
    message = await read_head(reader)
    return await read_body(reader, message) if message else None


def answer(status, body=b"", **fields):
    """Encodes an answer. A body that is not bytes becomes JSON; "_" in the name of a field becomes "-"."""
    if not isinstance(body, bytes):
        body = json.dumps(body).encode()
    head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n"
    for name, value in fields.items():
        head += f"{name.replace('_', '-')}: {value}\r\n"
    return head.encode() + b"\r\n" + body


CHUNKS_PER_S = 20


async def write_at_rate(writer, data, rate):
    """Sends data at rate bytes per second; without a limit if rate is None."""
    size = rate // CHUNKS_PER_S if rate else len(data)
    for begin in range(0, len(data), size or 1):
        writer.write(data[begin : begin + size])
        await writer.drain()
        if rate:
            await asyncio.sleep(1 / CHUNKS_PER_S)


def abort(writer):
    """Resets the connection. A close alone would end an answer without a length as if it were complete."""
    connection = writer.get_extra_info("socket")
    if connection is not None and connection.fileno() >= 0:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()
