"""Minimal HTTP/1.1 on asyncio streams for the stand-ins."""

import asyncio


class Head:
    """A start line and its header fields; names are in lower case."""

    def __init__(self, start, fields):
        self.start, self.fields = start, fields

    @property
    def method(self):
        return self.start.split(" ")[0]

    @property
    def target(self):
        return self.start.split(" ")[1]

    @property
    def status(self):
        return int(self.start.split(" ")[1])


async def read_head(reader):
    """Returns None if the connection ended before a complete head."""
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, OSError):
        return None
    lines = text.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:-2]:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    return Head(lines[0], fields)


async def read_body(reader, head):
    """Returns None if the connection ended within the body."""
    try:
        if head.fields.get("transfer-encoding") != "chunked":
            return await reader.readexactly(int(head.fields.get("content-length", 0)))
        body = b""
        while True:
            size = int(await reader.readuntil(b"\r\n"), 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += data[:-2]
    except (asyncio.IncompleteReadError, OSError):
        return None


def answer(status, body=b"", **fields):
    """Underscores in the names of fields stand for hyphens."""
    head = f"HTTP/1.1 {status} X\r\n"
    for name, value in fields.items():
        head += f"{name.replace('_', '-')}: {value}\r\n"
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body
