"""Crowds of callers that misbehave: cases_crowd.py PROGRAM [CASE...]. See cases.py.

Each case checks that the front lives, that its memory and its descriptors stay within its machine's, and that ordinary
callers get answers while the crowd is there and afterwards.
"""

import asyncio
import random
import socket
import sys

from cases import check, equal, main
from crowd import MB, Crowd, Meter, chunked, pieces_of_bytes
from site_front import CALLERS_PORT, CONTROL_PORT, PEERS_PORT, READY_PORT, WAIT_S, exchange

MEMORY_BYTES = 110 * MB  # of the smallest machine
CROWD = 80
BODY_BYTES = 4 * MB  # the longest legal body
SHORT_BYTES = 3  # by which a body stops short of its end
OVER_BYTES = 16 * MB  # sent of a body over the limit
FEW_DESCRIPTORS = 120
LARGE_ANSWER_BYTES = 3_000_000
SMALL_WINDOW_BYTES = 4096
ORDINARY_CALLS = 20
DATAGRAMS = 5000
# So long that no connection is closed for it while a case waits for an answer.
LONG_TIMEOUTS = {"HeaderTimeoutMs": 60000, "IdleTimeoutMs": 60000}


async def set_limits(site, **limits):
    site.limits = limits
    version = await site.configure()

    async def in_force():
        return all(any(line["config"] == version for line in front.events("config_applied")) for front in site.fronts)

    await site.wait(in_force, "the configuration is in force")


async def restart(site, **settings):
    site.more_settings = settings
    for front in site.fronts:
        await front.kill()
        await front.start()
    for front in site.fronts:
        await site.wait(front.is_ready, f"front {front.number} ready")


def head_of(site, path, framing, body=b""):
    """The head of a request of a crowd. framing: its Content-Length or Transfer-Encoding."""
    data, _ = site.request(path, body)
    return data[: data.index(b"Content-Length:")] + framing + b"\r\n\r\n"


def length(size):
    return b"Content-Length: %d" % size


async def ordinary_call(site, front, number):
    """Calls until there is an answer, as callers do that were refused or not read."""
    path = ("/text/", "/once/", "/again/")[number % 3]

    async def answered():
        answer = await site.call(front, f"{path}{number}", b"ordinary%d" % number)
        if answer.status == 200 and answer.complete:
            check(site, answer)
            return True
        equal(answer.status in (0, 408, 429, 503), True, f"status of an ordinary call: {answer.status}")
        if answer.status:
            equal([run for run in site.runs_of(answer) if run.executed], [], "what was refused ran nowhere")
        if answer.status in (429, 503):
            equal(float(answer.fields["retry-after"]) > 0, True, "a refusal says when to come back")
        return False

    await site.wait(answered, f"ordinary call {number} is answered")


async def expect_bounds(site, crowd, come, ports=(CALLERS_PORT,), calls=ORDINARY_CALLS, descriptors=None):
    """Lets the crowd come, and calls as others do while it is there and after it has left."""
    front = site.fronts[0]
    meter = Meter(front.process.pid, front.ip, ports)
    incarnation = front.process.pid
    try:
        await come()
        for number in range(calls):
            await ordinary_call(site, front, number)
    finally:
        crowd.leave()
    for number in range(3):
        await ordinary_call(site, front, calls + number)
    equal((front.alive, front.process.pid), (True, incarnation), "the front lives")
    meter.stop()
    print(f"held at most {meter.peak_bytes / MB:.0f} MB and {meter.peak_descriptors} descriptors; {crowd.sent_bytes / MB:.0f} MB sent")
    equal(meter.peak_bytes <= MEMORY_BYTES, True, f"{meter.peak_bytes / MB:.0f} MB held")
    if descriptors:
        equal(meter.peak_descriptors <= descriptors, True, f"{meter.peak_descriptors} descriptors open")


def crowd_of(site, **more):
    return Crowd((site.fronts[0].ip, CALLERS_PORT), **more)


async def body_crowd(site, pieces_of, size=CROWD):
    await set_limits(site, MaxBodyBytes=BODY_BYTES)
    crowd = crowd_of(site)
    await expect_bounds(site, crowd, lambda: crowd.come(size, pieces_of))


async def longest_request_in_calm(site):
    """Guards against bounds that refuse a single request of legal length, by its length or in chunks."""
    await set_limits(site, MaxBodyBytes=BODY_BYTES)
    front = site.fronts[0]
    body = b"x" * BODY_BYTES
    for path in ("/once/long", "/again/long", "/text/long"):
        answer = await site.call(front, path, body)
        equal((answer.status, answer.complete), (200, True), path)
        check(site, answer)
    head = head_of(site, "/again/chunks", b"Transfer-Encoding: chunked")
    answer = await exchange((front.ip, CALLERS_PORT), head + b"".join(chunked(BODY_BYTES - 65536, 1024)) + b"0\r\n\r\n")
    equal(answer.status, 200, "in chunks")
    for engine in site.engines:
        engine.mode = "long" if engine.service == "orders" else "ok"
    answer = await site.call(front, "/again/answer")
    equal((answer.status, answer.complete, len(answer.body)), (200, True, LARGE_ANSWER_BYTES), "a long answer")


async def whole_bodies_in_progress(site):
    """Guards against complete bodies, and their copies to servers that don't read, that exceed the memory together."""
    await set_limits(site, MaxBodyBytes=BODY_BYTES)
    for engine in site.engines:
        engine.mode = "deaf" if engine.service == "orders" else "ok"
    crowd = crowd_of(site)
    data = head_of(site, "/again/whole", length(BODY_BYTES)) + b"x" * BODY_BYTES

    async def come():
        await crowd.come(CROWD, lambda number: pieces_of_bytes(data, 65536))
        for engine in site.engines:
            engine.mode = "ok"

    await expect_bounds(site, crowd, come)


async def bodies_stop_short(site):
    """Guards against bodies that stop short of their end and exceed the memory together."""
    data = head_of(site, "/again/short", length(BODY_BYTES)) + b"x" * (BODY_BYTES - SHORT_BYTES)
    await body_crowd(site, lambda number: [data])


async def bodies_in_pieces_stop_short(site):
    """Guards against the same with bodies that come piece by piece, from all callers in turn."""
    data = head_of(site, "/again/pieces", length(BODY_BYTES)) + b"x" * (BODY_BYTES - SHORT_BYTES)
    await body_crowd(site, lambda number: pieces_of_bytes(data, 8192))


async def large_chunks_stop_short(site):
    """Guards against the same with few large chunks."""
    head = head_of(site, "/again/chunks", b"Transfer-Encoding: chunked")
    body = list(chunked(BODY_BYTES - MB // 2, MB // 2)) + [b"%x\r\n" % (MB // 2) + b"x" * (MB // 2 - SHORT_BYTES)]
    await body_crowd(site, lambda number: [head, *body])


async def small_chunks_stop_short(site):
    """Guards against the same with many small chunks."""
    head = head_of(site, "/again/chunks", b"Transfer-Encoding: chunked")
    body = list(chunked(BODY_BYTES - 65536, 16))
    await body_crowd(site, lambda number: [head, *body])


async def bodies_over_the_limit(site):
    """Guards against bodies over the limit, announced or just sent, that are read on."""
    announced = head_of(site, "/again/over", length(1 << 40))
    just_sent = head_of(site, "/again/over", b"Transfer-Encoding: chunked")
    piece = b"x" * 65536

    def pieces_of(number):
        if number % 2 == 0:
            return (announced, *([piece] * (OVER_BYTES // len(piece))))
        return (just_sent, *chunked(OVER_BYTES, 65536))

    await body_crowd(site, pieces_of)


async def stalled_callers_leave_connections(site):
    """Callers stop within their head or body and keep all connections. Guards against others that get none."""
    await restart(site, descriptors=FEW_DESCRIPTORS)
    await set_limits(site, **LONG_TIMEOUTS)
    crowd = crowd_of(site)
    head = head_of(site, "/again/stalled", length(100))
    stalled = [head[:40], head[:-2], head + b"x" * 97]
    await expect_bounds(site, crowd, lambda: crowd.come(FEW_DESCRIPTORS, lambda number: [stalled[number % 3]]), descriptors=FEW_DESCRIPTORS)


async def trickling_callers_leave_connections(site):
    """Callers send a byte now and then and keep all connections. Guards against others that get none."""
    await restart(site, descriptors=FEW_DESCRIPTORS)
    await set_limits(site, **LONG_TIMEOUTS)
    crowd = crowd_of(site)
    head = head_of(site, "/again/trickle", length(1000))
    trickles = []

    async def trickle(peer):
        try:
            while True:
                await asyncio.get_running_loop().sock_sendall(peer, b"x")
                await asyncio.sleep(0.2)
        except OSError:
            pass

    async def come():
        await crowd.come(FEW_DESCRIPTORS, lambda number: [head])
        trickles.extend(asyncio.ensure_future(trickle(peer)) for peer in crowd.connections)

    await expect_bounds(site, crowd, come, descriptors=FEW_DESCRIPTORS)
    for task in trickles:
        task.cancel()


async def answers_nobody_reads(site):
    """Guards against large plain answers whose callers read nothing, and that exceed the memory together."""
    for engine in site.engines:
        engine.mode = "long" if engine.service == "orders" else "ok"
    crowd = crowd_of(site, receive_buffer=SMALL_WINDOW_BYTES)
    data, _ = site.request("/again/unread", b"")

    async def come():
        await crowd.come(CROWD, lambda number: [data])
        await asyncio.sleep(3)
        for engine in site.engines:
            engine.mode = "ok"

    await expect_bounds(site, crowd, come)


async def answers_to_pipelined_requests_nobody_reads(site):
    """Callers send many requests one after the other and read no answer. Guards against answers that pile up on one
    connection."""
    for engine in site.engines:
        engine.mode = "long" if engine.service == "orders" else "ok"
    crowd = crowd_of(site, receive_buffer=SMALL_WINDOW_BYTES)

    def pieces_of(number):
        return [site.request(f"/again/{number}.{turn}", b"")[0] for turn in range(40)]

    async def come():
        await crowd.come(4, pieces_of)
        await asyncio.sleep(3)
        for engine in site.engines:
            engine.mode = "ok"

    await expect_bounds(site, crowd, come)


async def crowds_at_the_ready_port(site):
    """Guards against callers at the port of the health check that exceed the memory, or that take all descriptors."""
    await crowds_at(site, READY_PORT, "/ready")


async def crowds_at_the_control_port(site):
    """Guards against callers at the control port that exceed the memory, or that take all descriptors."""
    await crowds_at(site, CONTROL_PORT, "/metrics")


async def crowds_at(site, port, path):
    await restart(site, descriptors=FEW_DESCRIPTORS)
    front = site.fronts[0]
    crowd = Crowd((front.ip, port))
    announced = f"POST {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {1 << 30}\r\n\r\n".encode()
    endless_head = f"GET {path} HTTP/1.1\r\nHost: x\r\nX-Long: ".encode()
    piece = b"x" * 65536

    def pieces_of(number):
        if number % 3 == 0:
            return [endless_head]
        start = announced if number % 3 == 1 else endless_head
        return (start, *([piece] * (OVER_BYTES // len(piece))))

    async def answers():
        return (await exchange((front.ip, port), f"GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode())).status == 200

    async def come():
        await crowd.come(FEW_DESCRIPTORS, pieces_of)
        await site.wait(answers, f"the port {port} answers")

    await expect_bounds(site, crowd, come, ports=(port,), descriptors=FEW_DESCRIPTORS)


async def datagrams_of_strangers(site):
    """Guards against datagrams without sense at the fronts' port, long or short, that end a front or stay in its memory."""
    front = site.fronts[0]
    crowd = crowd_of(site)
    draw = random.Random(5)

    async def come():
        peer = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        for _ in range(DATAGRAMS):
            peer.sendto(draw.randbytes(draw.choice((0, 1, 40, 400, 1400, 9000))), (front.ip, PEERS_PORT))
            await asyncio.sleep(0)
        peer.close()

    await expect_bounds(site, crowd, come, ports=())


CASES = [
    longest_request_in_calm, whole_bodies_in_progress, bodies_stop_short, bodies_in_pieces_stop_short, large_chunks_stop_short,
    small_chunks_stop_short, bodies_over_the_limit, stalled_callers_leave_connections,
    trickling_callers_leave_connections, answers_nobody_reads, answers_to_pipelined_requests_nobody_reads,
    crowds_at_the_ready_port, crowds_at_the_control_port, datagrams_of_strangers,
]  # fmt: skip

if __name__ == "__main__":
    sys.exit(main(CASES))
