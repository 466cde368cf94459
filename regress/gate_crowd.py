"""Crowds of callers that misbehave at a gate: gate_crowd.py GATE-PID GATE-ADDRESS LOCAL-ADDRESS KEY [CASE...].

Each case checks that the gate lives, that its memory and its descriptors stay within its machine's, and that ordinary
callers get answers while the crowd is there and afterwards.
"""

import asyncio
import json
import os
import sys
import time
import traceback

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "front"))

from crowd import MB, Crowd, Meter, chunked, pieces_of_bytes  # noqa: E402
from wire import Truncated, read_body, read_head  # noqa: E402

MEMORY_BYTES = 110 * MB  # of the smallest machine
DESCRIPTORS = 4100
CROWD = 80
MANY = 1000  # callers that stop within a request
BODY_BYTES = 4 * MB  # the longest legal body
SHORT_BYTES = 3  # by which a body stops short of its end
OVER_BYTES = 16 * MB  # sent of a body over the limit
SMALL_WINDOW_BYTES = 4096
UNREAD_BYTES = 1_000_000  # of a body that the service's answer repeats
ORDINARY_CALLS = 6
WAIT_S = 30
CHAT, SERVICE = "/v1/chat/completions", "/v1/services/issuance-ledger/crowd"


class Gate:
    def __init__(self, pid, address, local, key):
        self.pid, self.key = int(pid), key
        self.address, self.local = (self.parse(text) for text in (address, local))

    @staticmethod
    def parse(text):
        host, _, port = text.rpartition(":")
        return host, int(port)

    def head(self, path, framing):
        return (
            f"POST {path} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {self.key}\r\n"
            f"Content-Type: application/json\r\n{framing}\r\n\r\n"
        ).encode()

    def alive(self):
        return os.path.exists(f"/proc/{self.pid}") and "State:\tZ" not in open(f"/proc/{self.pid}/status").read()


def equal(found, expected, what):
    if found != expected:
        raise AssertionError(f"{what}: expected {expected!r}, found {found!r}")


def chat_body(size=0):
    """A valid body of about this size."""
    return json.dumps({"model": "draft-small", "max_tokens": 4, "messages": [{"role": "user", "content": "x" * max(size - 100, 1)}]}).encode()


async def exchange(address, data):
    """Sends a request and returns its answer; None if there is none, or a part of one."""
    writer = None
    try:
        reader, writer = await asyncio.open_connection(*address)
        writer.write(data)

        async def read():
            message = await read_head(reader)
            return await read_body(reader, message) if message else None

        return await asyncio.wait_for(read(), WAIT_S)
    except (OSError, Truncated, asyncio.TimeoutError):
        return None
    finally:
        if writer:
            writer.close()


async def until_answered(what, address, data):
    """Calls until the answer is 200, as callers do that were refused or not read."""
    until = time.monotonic() + WAIT_S
    while True:
        answer = await exchange(address, data)
        if answer and answer.status == 200:
            return answer
        equal(answer is None or answer.status in (408, 429, 503), True, f"{what}: {answer and (answer.start, answer.body)}")
        if answer and answer.status != 408:
            equal(answer.fields.get("x-lovage-state"), "not_run", f"{what}: {answer.body}")
        if time.monotonic() > until:
            raise AssertionError(f"waited {WAIT_S} s for: {what}")
        await asyncio.sleep(0.05)


async def ordinary_call(gate, number):
    if number % 2:
        body = chat_body()
        await until_answered(f"chat {number}", gate.address, gate.head(CHAT, f"Content-Length: {len(body)}") + body)
    else:
        await until_answered(f"service {number}", gate.address, gate.head(SERVICE, "Content-Length: 4") + b"text")
    equal((await until_answered("metrics", gate.local, b"GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")).status, 200, "metrics")


async def expect_bounds(gate, crowd, come):
    with open(f"/proc/{gate.pid}/clear_refs", "w", encoding="ascii") as peak:
        peak.write("5")  # a new peak begins
    meter = Meter(gate.pid, gate.address[0], (gate.address[1], gate.local[1]))
    try:
        await come()
        for number in range(ORDINARY_CALLS):
            await ordinary_call(gate, number)
    finally:
        crowd.leave()
    for number in range(2):
        await ordinary_call(gate, ORDINARY_CALLS + number)
    equal(gate.alive(), True, "the gate lives")
    meter.stop()
    print(f"held at most {meter.peak_bytes / MB:.0f} MB and {meter.peak_descriptors} descriptors; {crowd.sent_bytes / MB:.0f} MB sent", flush=True)
    equal(meter.peak_bytes <= MEMORY_BYTES, True, f"{meter.peak_bytes / MB:.0f} MB held")
    equal(meter.peak_descriptors <= DESCRIPTORS, True, f"{meter.peak_descriptors} descriptors open")


async def body_crowd(gate, pieces_of, size=CROWD):
    crowd = Crowd(gate.address)
    await expect_bounds(gate, crowd, lambda: crowd.come(size, pieces_of))


async def longest_request_in_calm(gate):
    """Guards against bounds that refuse a single request of legal length, by its length or in chunks."""
    body = chat_body(BODY_BYTES)
    answer = await exchange(gate.address, gate.head(CHAT, f"Content-Length: {len(body)}") + body)
    equal(answer and answer.status, 200, "a chat")
    pieces = b"".join(chunked(BODY_BYTES - 65536, 1024)) + b"0\r\n\r\n"
    answer = await exchange(gate.address, gate.head(SERVICE, "Transfer-Encoding: chunked") + pieces)
    equal(answer and answer.status, 200, "a service, in chunks")


async def whole_bodies(gate):
    """Guards against complete bodies that exceed the memory together."""
    body = chat_body(BODY_BYTES)
    data = gate.head(CHAT, f"Content-Length: {len(body)}") + body
    await body_crowd(gate, lambda number: pieces_of_bytes(data, 65536))


async def bodies_stop_short(gate):
    """Guards against bodies that stop short of their end and exceed the memory together."""
    body = chat_body(BODY_BYTES)
    data = gate.head(CHAT, f"Content-Length: {len(body)}") + body[:-SHORT_BYTES]
    await body_crowd(gate, lambda number: [data])


async def bodies_in_pieces_stop_short(gate):
    """Guards against the same with bodies that come piece by piece, from all callers in turn."""
    body = chat_body(BODY_BYTES)
    data = gate.head(CHAT, f"Content-Length: {len(body)}") + body[:-SHORT_BYTES]
    await body_crowd(gate, lambda number: pieces_of_bytes(data, 8192))


async def large_chunks_stop_short(gate):
    """Guards against the same with few large chunks."""
    head = gate.head(SERVICE, "Transfer-Encoding: chunked")
    body = list(chunked(BODY_BYTES - MB // 2, MB // 2)) + [b"%x\r\n" % (MB // 2) + b"x" * (MB // 2 - SHORT_BYTES)]
    await body_crowd(gate, lambda number: [head, *body])


async def small_chunks_stop_short(gate):
    """Guards against the same with many small chunks."""
    head = gate.head(SERVICE, "Transfer-Encoding: chunked")
    body = list(chunked(BODY_BYTES - 65536, 16))
    await body_crowd(gate, lambda number: [head, *body])


async def bodies_over_the_limit(gate):
    """Guards against bodies over the limit, announced or just sent, that are read on."""
    announced = gate.head(CHAT, f"Content-Length: {1 << 40}")
    just_sent = gate.head(CHAT, "Transfer-Encoding: chunked")
    piece = b"x" * 65536

    def pieces_of(number):
        if number % 2 == 0:
            return (announced, *([piece] * (OVER_BYTES // len(piece))))
        return (just_sent, *chunked(OVER_BYTES, 65536))

    await body_crowd(gate, pieces_of)


async def bodies_of_many_values(gate):
    """Guards against bodies of legal length whose parsed form takes a hundred times their bytes."""
    values = b'{"model":"draft-small","messages":[{"role":"user","content":"x"}],"more":[' + b"[]," * (MB // 3) + b"0]}"
    data = gate.head(CHAT, f"Content-Length: {len(values)}") + values
    await body_crowd(gate, lambda number: [data], size=4)


async def stalled_callers_leave_connections(gate):
    """Callers stop within their head or body and keep all connections. Guards against others that get none."""
    head = gate.head(CHAT, "Content-Length: 100")
    stalled = [head[:40], head[:-2], head + b"x" * 97]
    await body_crowd(gate, lambda number: [stalled[number % 3]], size=MANY)


async def silent_callers_leave_connections(gate):
    """Callers connect and send nothing. Guards against others that get no connection."""
    await body_crowd(gate, lambda number: [], size=MANY)


async def answers_nobody_reads(gate):
    """Guards against large plain answers whose callers read nothing, and that exceed the memory together."""
    crowd = Crowd(gate.address, receive_buffer=SMALL_WINDOW_BYTES)
    data = gate.head(SERVICE, f"Content-Length: {UNREAD_BYTES}") + b"x" * UNREAD_BYTES
    await expect_bounds(gate, crowd, lambda: crowd.come(CROWD, lambda number: [data]))


async def crowds_at_the_local_port(gate):
    """Guards against callers at the port of the metrics that exceed the memory, or that keep all its connections."""
    announced = f"POST /metrics HTTP/1.1\r\nHost: x\r\nContent-Length: {1 << 30}\r\n\r\n".encode()
    endless_head = b"GET /metrics HTTP/1.1\r\nHost: x\r\nX-Long: "
    piece = b"x" * 65536
    crowd = Crowd(gate.local)

    def pieces_of(number):
        if number % 3 == 0:
            return [endless_head]
        start = announced if number % 3 == 1 else endless_head
        return (start, *([piece] * (OVER_BYTES // len(piece))))

    await expect_bounds(gate, crowd, lambda: crowd.come(CROWD, pieces_of))


CASES = [
    longest_request_in_calm, whole_bodies, bodies_stop_short, bodies_in_pieces_stop_short, large_chunks_stop_short, small_chunks_stop_short,
    bodies_over_the_limit, bodies_of_many_values, stalled_callers_leave_connections, silent_callers_leave_connections,
    answers_nobody_reads, crowds_at_the_local_port,
]  # fmt: skip


def main():
    gate, names = Gate(*sys.argv[1:5]), sys.argv[5:]
    failed = 0
    for case in CASES:
        if names and case.__name__ not in names:
            continue
        try:
            asyncio.run(case(gate))
            print(f"{case.__name__}: passed", flush=True)
        except Exception as error:  # noqa: BLE001
            failed += 1
            traceback.print_exc()
            print(f"{case.__name__}: FAILED, {error!r}", flush=True)
            if not gate.alive():
                break
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
