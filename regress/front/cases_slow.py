"""Callers and engines that read or send slowly: cases_slow.py PROGRAM [CASE...]. See cases.py.

Each must end at a known time, and what a front holds for them must fit a VM's memory.
"""

import asyncio
import os
import resource
import socket
import sys
import time

import wire
from cases import check, equal, main
from engines import ENDLESS_MODES
from site_front import CALLERS_PORT

MEMORY_MAX_KB = 88_000  # of the smallest VM
CALLERS = 25
RECEIVE_BYTES = 4096  # receive buffer of a caller that does not read
UNREAD_MAX_S = 12  # until an answer that is not read is given up: the time-out of 6 s twice
ANSWER_MAX_BYTES = 16_000_000  # five such answers fit the smallest VM
REST_S = 4  # for which a front leaves servers alone that fail
DESCRIPTORS, IDLE_CALLERS = 200, 300  # of a front, and connections that its callers keep open
CALL_MAX_S = 2  # within which each of them is answered
IDLE_WATCH_S, IDLE_CPU_SHARE = 2, 0.3  # of a core that a front without requests may use
BODY_MAX_S = 30  # until a request that arrives a byte a second is given up

UNREAD_BYTES, SLOW_BYTES_PER_S = 6_000_000, 150_000  # of an answer that is read slowly
USUAL_BYTES, USUAL_CALLS = 20_000, 30
SLOW_DEADLINE_MS = 60_000
SLOW_ANSWER_BYTES, SLOW_ANSWER_S = 2_700_000, 9


def resident_kb(front):
    with open(f"/proc/{front.process.pid}/status", encoding="utf-8") as lines:
        return next(int(line.split()[1]) for line in lines if line.startswith("VmRSS:"))


def open_sockets(front):
    """Number of the front's connections with callers."""
    port = f":{CALLERS_PORT:04X}"
    with open("/proc/net/tcp", encoding="utf-8") as lines:
        rows = [line.split() for line in lines][1:]
    ip = "".join(f"{int(part):02X}" for part in reversed(front.ip.split(".")))
    return sum(row[1] == ip + port and row[3] not in ("0A", "06") for row in rows)


async def connect_deaf(front):
    """Opens a connection whose receive buffer is small and is never read."""
    caller = socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
    caller.setblocking(False)
    await asyncio.get_running_loop().sock_connect(caller, (front.ip, CALLERS_PORT))
    return caller


async def unread_answers_are_given_up(site):
    """Callers ask for long answers and read nothing. Guards against connections that are held as long as the
    callers like, each with its answer in memory."""
    front = site.fronts[0]
    for engine in site.engines:
        engine.mode = "long"
    callers = [await connect_deaf(front) for _ in range(CALLERS)]
    for caller in callers:
        await asyncio.get_running_loop().sock_sendall(caller, site.request("/again/a")[0])
    began = time.monotonic()
    largest_kb = 0
    while open_sockets(front) > 0 and time.monotonic() - began < UNREAD_MAX_S:
        largest_kb = max(largest_kb, resident_kb(front))
        await asyncio.sleep(0.1)
    equal(open_sockets(front), 0, f"connections after {UNREAD_MAX_S} s")
    equal(largest_kb < MEMORY_MAX_KB, True, f"{largest_kb} KB resident")
    equal(len(front.events("caller_lost")) > 0, True, "logged")
    for caller in callers:
        caller.close()
    for engine in site.engines:
        engine.mode = "ok"
    check(site, await site.call(front, "/again/b"))


async def engine_that_stops_reading(site):
    """Engines accept a long request and read one byte of it. Guards against a request without an answer: it must
    end at its route's time-out, and the front must serve the next one."""
    front = site.fronts[0]
    for engine in site.engines:
        engine.mode = "deaf"
    began = time.monotonic()
    answer = await site.call(front, "/again/a", b"x" * 60000)
    equal(answer.status in (502, 504), True, answer)
    equal(time.monotonic() - began < 4, True, "answered by the route's time-out")
    for engine in site.engines:
        engine.mode = "ok"
    check(site, await site.call(front, "/again/b"))


async def body_a_byte_a_second(site):
    """A caller sends a long body a byte a second. Guards against a connection held for as long as it likes."""
    front = site.fronts[0]
    reader, writer = await asyncio.open_connection(front.ip, CALLERS_PORT)
    data, _ = site.request("/again/a", b"x" * 60000)
    writer.write(data[:-59000])
    began = time.monotonic()
    closed = asyncio.ensure_future(reader.read())
    while not closed.done() and time.monotonic() - began < BODY_MAX_S:
        writer.write(b"x")
        await asyncio.wait([closed], timeout=1)
    equal(closed.done(), True, f"ended within {BODY_MAX_S} s")
    equal(len(front.events("caller_lost")) > 0, True, "logged")
    writer.close()
    check(site, await site.call(front, "/again/b"))


async def answers_without_end(site):
    """Engines send bytes that are no answer until the connection is closed, in each part of an answer. Guards against a
    front that takes them for as long as a route's time-out allows: its VM would run out of memory or time."""
    front = site.fronts[0]
    for mode in ENDLESS_MODES:
        for engine in site.engines:
            engine.mode, engine.endless_sent = mode, 0
        for path in ("/again/a", "/text/a"):
            answer = await site.call(front, path)
            longest = max(engine.endless_sent for engine in site.engines)
            print(f"{mode} {path}: {answer.status}, {longest} bytes taken, {resident_kb(front)} KB resident", flush=True)
            equal(answer.status in (502, 503, 504), True, answer)
            equal(longest <= ANSWER_MAX_BYTES, True, f"{longest} bytes of an answer without end")
    equal(len(front.events("request_retry")) > 0, True, "logged")
    for engine in site.engines:
        engine.mode = "ok"
    await asyncio.sleep(REST_S)
    check(site, await site.call(front, "/again/b"))


def set_answer(site, size_of):
    """Plain answers have as many bytes as size_of says of the request's body."""
    for engine in site.engines:
        if engine.streams:
            continue

        async def plain(request, writer, engine=engine):
            writer.write(wire.answer(200, b"y" * size_of[request.body], **engine.head(request)))
            await writer.drain()

        engine.plain = plain


async def read_slowly(site, front, path, size, rate, more=b""):
    """Calls path and reads so many bytes a second of the answer's body; returns how many came."""
    loop = asyncio.get_running_loop()
    caller = await connect_deaf(front)
    await loop.sock_sendall(caller, site.request(path, b"long", deadline=SLOW_DEADLINE_MS)[0].replace(b"\r\n", b"\r\n" + more, 1))
    head = b""
    while b"\r\n\r\n" not in head:
        head += await loop.sock_recv(caller, 4096)
    began, got = time.monotonic(), len(head.split(b"\r\n\r\n", 1)[1])
    while got < size:
        allowed = int((time.monotonic() - began) * rate) - got
        if allowed <= 0:
            await asyncio.sleep(0.02)
            continue
        try:
            part = await loop.sock_recv(caller, min(allowed, 65536))
        except OSError:
            break
        if not part:
            break
        got += len(part)
    caller.close()
    return got


async def slow_reader_leaves_others_their_answers(site):
    """A caller reads a long answer slowly, while others get answers that are too long to be read whatever is held. Guards
    against one unread answer for which no other answer is read to its end."""
    front = site.fronts[0]
    site.routes = [{**route, "TimeoutMs": SLOW_DEADLINE_MS if route["Name"] == "r-again" else route["TimeoutMs"]} for route in site.routes]
    await site.configure()
    await asyncio.sleep(1)
    set_answer(site, {b"long": UNREAD_BYTES, b"usual": USUAL_BYTES})
    slow = asyncio.ensure_future(read_slowly(site, front, "/again/long", UNREAD_BYTES, SLOW_BYTES_PER_S))
    await asyncio.sleep(1)
    for number in range(USUAL_CALLS):
        answers = await asyncio.gather(*(site.call(front, f"/once/{number}-{n}", b"usual") for n in range(4)))
        equal([(answer.status, answer.complete) for answer in answers], [(200, True)] * 4, "usual answers")
    equal(slow.done(), False, "the slow caller has its answer")
    slow.cancel()


async def answer_is_read_slowly_to_its_end(site):
    """A caller whose connection is to be closed after the answer takes it slowly, without a pause. Guards against a bound on
    the time since the answer was written in place of that since the caller last took any of it."""
    front = site.fronts[0]
    set_answer(site, {b"long": SLOW_ANSWER_BYTES})
    got = await read_slowly(site, front, "/again/long", SLOW_ANSWER_BYTES, SLOW_ANSWER_BYTES / SLOW_ANSWER_S, b"Connection: close\r\n")
    equal(got, SLOW_ANSWER_BYTES, "bytes of the answer")


def cpu_seconds(front):
    with open(f"/proc/{front.process.pid}/stat", encoding="utf-8") as lines:
        fields = lines.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def keep_idle(site, front):
    """Opens connections that stay open, of which each third carries a request. Returns them."""
    kept = []
    for number in range(IDLE_CALLERS):
        kept.append(await asyncio.open_connection(front.ip, CALLERS_PORT))
        if number % 3 == 0:
            answer = await site.call(front, f"/again/{number}", b"%d" % number, connection=kept[-1], timeout=CALL_MAX_S)
            equal(answer.status, 200, f"on connection {number}")
    return kept


async def watch_idle(site, front):
    began, used = time.monotonic(), cpu_seconds(front)
    await asyncio.sleep(IDLE_WATCH_S)
    share = (cpu_seconds(front) - used) / (time.monotonic() - began)
    equal(share < IDLE_CPU_SHARE, True, f"{share:.2f} of a core without requests")
    equal((await site.call(front, "/again/last", timeout=CALL_MAX_S)).status, 200, "the last one")
    equal(len(front.events("descriptors_short")) > 0, True, "logged")


async def idle_callers_leave_descriptors(site):
    """More callers keep their connections open than a front has descriptors. Guards against a front that can then
    open none to its servers, and accepts in vain without a pause."""
    front = site.fronts[0]
    resource.prlimit(front.process.pid, resource.RLIMIT_NOFILE, (DESCRIPTORS, DESCRIPTORS))
    kept = await keep_idle(site, front)
    await watch_idle(site, front)
    for _, writer in kept:
        writer.close()


async def descriptors_are_kept_for_servers(site):
    """The same, where the settings tell how many there are. Guards against callers that take them all."""
    front = site.fronts[0]
    await front.kill()
    site.more_settings["descriptors"] = DESCRIPTORS
    await front.start()
    await site.wait(front.is_ready, "front 0 ready")
    kept = await keep_idle(site, front)
    used = len(os.listdir(f"/proc/{front.process.pid}/fd"))
    equal(used <= DESCRIPTORS * 3 / 4, True, f"{used} descriptors in use")
    await watch_idle(site, front)
    for _, writer in kept:
        writer.close()


CASES = [
    unread_answers_are_given_up, engine_that_stops_reading, body_a_byte_a_second,
    answers_without_end, idle_callers_leave_descriptors,
    descriptors_are_kept_for_servers, slow_reader_leaves_others_their_answers,
    answer_is_read_slowly_to_its_end,
]

if __name__ == "__main__":
    sys.exit(main(CASES))
