"""Engines that answer before they have taken the request, or with a status that HTTP doesn't have: cases_early.py PROGRAM
[CASE...]. See cases.py."""

import asyncio
import contextlib
import itertools
import socket
import struct
import sys

from cases import equal, log_events, main
from cases_cut import DeadAddress, set_cut
from cases_hedge import WARM_CALLS, look_up
from cases_resume import VERSIONS, read_all
from engines import event
from site_front import CALLERS_PORT, MODELS, exchange
from wire import answer

BODY_BYTES = 400_000
RECEIVE_BUFFER = 16384
CALLS = 12  # of each kind
READ_BYTES = 8192  # of a request that an engine takes before it answers
RESET_AFTER_S = 0.3
HOWS = ("shut", "close", "reset")
UNREAD_HOWS = ("shut", "reset")  # that always leave the rest of a request unread
SEGMENT_BYTES = 1000  # so that a whole request doesn't fit the kernel's buffers, which hold some segments of loopback's size
LATE_S = 0.4  # of an answer for which a copy is sent
COPY_SHARE = 0.9  # of the requests that may get a copy
STATUSES = ("000", "099", "600", "999")


class EarlyEngine:
    """Listens in place of an engine, and answers part of a request with part of an answer without a length. how: shut (it
    ends its side, and resets the connection later), close (it closes the connection), reset."""

    def __init__(self, engine, how, delay=0.0):
        self.how, self.delay, self.streams = how, delay, engine.streams
        self.whole, self.resumed = set(), set()  # requests that it has read to their end; that continue a stream
        engine.server.close()
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
        listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
        listener.bind(engine.address)
        listener.listen(64)
        listener.setblocking(False)
        self.listener = listener
        self.task = asyncio.ensure_future(self.accept())

    async def accept(self):
        loop = asyncio.get_running_loop()
        while True:
            taken, _ = await loop.sock_accept(self.listener)
            asyncio.ensure_future(self.serve(taken))

    async def serve(self, taken):
        loop = asyncio.get_running_loop()
        got = b""
        while len(got) < READ_BYTES:
            part = await loop.sock_recv(taken, 4096)
            if not part:
                break
            got += part
        fields = dict(line.split(": ", 1) for line in got.split(b"\r\n\r\n")[0].decode().split("\r\n")[1:] if line)
        if "Lovagehub-Request-Id" not in fields:  # a health check
            taken.close()
            return
        await asyncio.sleep(self.delay)
        if "Last-Event-Id" in fields:
            self.resumed.add(fields["Lovagehub-Request-Id"])
        with contextlib.suppress(OSError):  # the front has closed the connection
            await loop.sock_sendall(taken, self.part_of_answer(fields))
            if self.how == "shut":
                taken.shutdown(socket.SHUT_WR)
                await asyncio.sleep(RESET_AFTER_S)
        if self.how == "close":
            got += self.read_rest(taken)
        if self.how != "close":
            taken.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        taken.close()
        if got.count(b"x") >= BODY_BYTES:
            self.whole.add(fields["Lovagehub-Request-Id"])

    def part_of_answer(self, fields):
        head = "HTTP/1.1 200 OK\r\nConnection: close\r\nLovagehub-Server-Signature: sig.x\r\n"
        head += f"Lovagehub-Request-Id: {fields['Lovagehub-Request-Id']}\r\n"
        if not self.streams:
            return head.encode() + b"\r\npart"
        head += f"Content-Type: text/event-stream\r\nLovagehub-Model: {MODELS[0]}\r\n\r\n"
        return head.encode() + event(MODELS[0], b"", int(fields.get("Last-Event-Id", -1)) + 1)

    @staticmethod
    def read_rest(taken):
        """What has arrived: a process that closes its connection then ends it in an orderly way, as if the answer were whole."""
        got = b""
        try:
            while part := taken.recv(65536):
                got += part
        except OSError:  # nothing more, or the front has closed the connection
            pass
        return got

    def stop(self):
        self.task.cancel()
        self.listener.close()


async def take_long_bodies(site):
    site.limits = {"MaxBodyBytes": 2 * BODY_BYTES}
    await site.configure()
    await asyncio.sleep(1)


def long_body(number):
    return b"%d" % number + b"x" * BODY_BYTES


def expect_no_whole(early, found, is_complete, what):
    """An answer may be whole only if one of these engines has read its request to the end."""
    is_whole = any(found.request in engine.whole for engine in early)
    equal(found.status == 200 and is_complete and not is_whole, False, f"{what}: a complete 200, {found!r}")


@contextlib.asynccontextmanager
async def early_engines(site, how, streams=False, delay=0.0):
    """Puts an EarlyEngine in the place of each engine with or without streams."""
    early = [EarlyEngine(engine, how, delay) for engine in site.engines if engine.streams == streams]
    try:
        yield early
    finally:
        for engine in early:
            engine.stop()
        await asyncio.sleep(1)


async def answer_ends_before_the_request_is_taken(site):
    """Engines answer a long upload at once with a 200 without a length, send part of its body and end the connection while
    the request is still being written. Guards against that part as a complete answer, for callers with HTTP/1.1 and 1.0."""
    await take_long_bodies(site)
    for how in HOWS:
        async with early_engines(site, how) as early:
            for number in range(CALLS):
                for path, version in itertools.product(("/once/", "/again/"), VERSIONS):
                    front = site.fronts[number % len(site.fronts)]
                    data, found = site.request(f"{path}{how}{number}", long_body(number))
                    await exchange((front.ip, CALLERS_PORT), data.replace(b"HTTP/1.1", version, 1), found)
                    expect_no_whole(early, found, found.complete, f"{how} {version}")


async def stream_ends_before_the_request_is_taken(site):
    """The same with streams, new ones and some that go on after an event, of callers with HTTP/1.1 and 1.0. Guards against
    a stream that ends as complete with its first event, also where the front has it continued by another engine."""
    await take_long_bodies(site)
    for how in HOWS:
        own = set()
        async with early_engines(site, how, streams=True) as early:
            for number in range(CALLS):
                for version in VERSIONS:
                    after = 3 if number % 2 else None
                    found, stream = await read_all(site, site.fronts[0], f"/text/{how}{number}", long_body(number), version, after=after)
                    found.status = int((stream.status_line.split(b" ") + [b"0", b"0"])[1] or 0)
                    expect_no_whole(early, found, stream.status_line and stream.events()[1], f"{how} {version}")
                    own |= set() if after else {found.request}
        if how in UNREAD_HOWS:
            equal(any(engine.resumed & own for engine in early), True, f"{how}: continued by another engine")


async def answer_handed_on_ends_before_the_request_is_taken(site):
    """The same with requests of a front that reaches no engine and hands them to another front. Guards against a part that
    the other front passes on as complete, or that counts as complete at the front that handed the request on."""
    await take_long_bodies(site)
    dead, cut = DeadAddress(site, hangs=False), site.fronts[0]
    await set_cut(site, [cut], dead.name)
    await asyncio.sleep(1)
    for how in HOWS:
        async with early_engines(site, how) as early:
            for number in range(CALLS):
                for path in ("/once/", "/again/"):
                    found = await site.call(cut, f"{path}{how}{number}", long_body(number))
                    expect_no_whole(early, found, found.complete, how)
    equal(any(line["state"] == "sent" for line in cut.events("request_handed_off")), True, "handed on")
    dead.close()


async def copy_ends_before_the_request_is_taken(site):
    """The same with answers that come so late that a copy of the request is sent to another engine. Guards against the part
    that either of the two sends as a complete answer."""
    await take_long_bodies(site)
    front = site.fronts[0]
    front.hedge_share = COPY_SHARE
    await front.reload()
    for how in HOWS:
        await look_up(site, front, WARM_CALLS, how)
        async with early_engines(site, how, delay=LATE_S) as early:
            for number in range(CALLS):
                found = await site.call(front, f"/again/{how}{number}", long_body(number))
                expect_no_whole(early, found, found.complete, how)
        for engine in site.engines:
            if not engine.streams:
                await engine.start()
    equal(len(log_events(site, "request_hedge")) > 0, True, "a copy was sent")


async def status_is_none_of_http(site):
    """Engines answer with a status below 100 or above 599. Guards against passing that on as an answer."""
    for status in STATUSES:
        for engine in site.engines:
            async def work(request, writer, engine=engine):
                writer.write(answer(200, b"no answer", **engine.head(request)).replace(b" 200 ", b" %s " % status.encode(), 1))
                await writer.drain()

            engine.work = work
        for path in ("/once/", "/again/", "/text/"):
            found = await site.call(site.fronts[0], path + status, b"body")
            equal(found.status in (502, 503, 504), True, f"{status}: {found!r}")


CASES = [
    answer_ends_before_the_request_is_taken, stream_ends_before_the_request_is_taken,
    answer_handed_on_ends_before_the_request_is_taken, copy_ends_before_the_request_is_taken, status_is_none_of_http,
]  # fmt: skip

if __name__ == "__main__":
    sys.exit(main(CASES))
