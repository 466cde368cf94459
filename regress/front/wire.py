"""HTTP/1.1 as the stand-ins, the callers and the operator need it, on asyncio streams."""

import asyncio
import json
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


class Cut(Exception):
    """The connection ended before the message was whole. So far holds what had come."""

    def __init__(self, so_far=b""):
        super().__init__("cut")
        self.so_far = so_far


async def read_head(reader):
    """None if the connection ended before the first byte."""
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise Cut() from error
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
    """Reads a body by its length or in chunks; Cut holds the bytes of one that was broken off."""
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
        raise Cut(body) from error
    message.body = body
    return message


async def read_request(reader):
    message = await read_head(reader)
    return await read_body(reader, message) if message else None


def answer(status, body=b"", **fields):
    if not isinstance(body, bytes):
        body = json.dumps(body).encode()
    head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n"
    for name, value in fields.items():
        head += f"{name.replace('_', '-')}: {value}\r\n"
    return head.encode() + b"\r\n" + body


PIECES_A_SECOND = 20


async def write_slowly(writer, data, rate):
    """Sends at so many bytes a second; rate None: at once."""
    size = rate // PIECES_A_SECOND if rate else len(data)
    for begin in range(0, len(data), size or 1):
        writer.write(data[begin : begin + size])
        await writer.drain()
        if rate:
            await asyncio.sleep(1 / PIECES_A_SECOND)


def abort(writer):
    """Ends the connection by a reset."""
    writer.transport.abort()
