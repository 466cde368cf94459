"""Streams that break off and can't be resumed, as callers with HTTP/1.1 and 1.0 see them: cases_resume.py PROGRAM
[CASE...]. See cases.py."""

import asyncio
import sys

from cases import equal, log_events, main
from cases_cut import DeadAddress, set_cut
from engines import EVENTS, complete_stream
from site_front import CALLERS_PORT, MODELS, WAIT_S

VERSIONS = (b"HTTP/1.1", b"HTTP/1.0")
STATUSES = [(status, signed) for status in (204, 302, 404, 409, 429, 500, 503, 504) for signed in (True, False)]
SLOW_INTERVAL_S = 0.12  # between events of streams during which a front is cut off
LOST_AFTER_S = 0.2


class Stream:
    """All bytes that a caller gets until its connection ends."""

    def __init__(self, data, is_reset):
        head, _, self.body = data.partition(b"\r\n\r\n")
        self.status_line, *lines = head.split(b"\r\n")
        self.is_reset = is_reset
        self.is_chunked = b"transfer-encoding: chunked" in [line.lower() for line in lines]

    def events(self):
        """Returns the events and whether the stream ends as complete; raises ValueError if other bytes came."""
        if not self.is_chunked:
            return self.body, not self.is_reset
        events, left = b"", self.body
        while left:
            size, _, left = left.partition(b"\r\n")
            size = int(size, 16)
            if size == 0:
                return events, True
            events, left = events + left[:size], left[size + 2 :]
        return events, False


async def read_all(site, front, path, body, version, **more):
    """Calls path and returns the Answer and the Stream. more: arguments of Site.request."""
    data, answer = site.request(path, body, **more)
    reader, writer = await asyncio.open_connection(front.ip, CALLERS_PORT)
    writer.write(data.replace(b"HTTP/1.1", version, 1).replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n", 1))
    received, is_reset = b"", False
    try:
        while data := await asyncio.wait_for(reader.read(65536), WAIT_S):
            received += data
    except ConnectionResetError:
        is_reset = True
    writer.close()
    return answer, Stream(received, is_reset)


def check_broken_off(stream, body, what):
    """The caller got the first events of the stream, no other byte, and no sign of a complete answer."""
    events, is_complete = stream.events()
    equal(stream.status_line.split(b" ")[1], b"200", f"{what}: status")
    equal(any(complete_stream(model, body).startswith(events) for model in MODELS), True, f"{what}: only own events in {stream.body!r}")
    equal(is_complete, False, f"{what}: ends as complete")


async def engines_answer_with_a_status(site):
    """Engines break off each stream, and answer with a status when it is to go on. Guards against a second answer in
    the midst of a stream, and against a stream that ends as complete before its last event."""
    for engine in site.engines:
        engine.mode = "cut"
    for status, signed in STATUSES:
        for engine in site.engines:
            engine.resume_status, engine.resume_signed = status, signed
        for version in VERSIONS:
            body = f"{status}.{signed}.{version}".encode()
            _, stream = await read_all(site, site.fronts[0], "/text/a", body, version)
            check_broken_off(stream, body, body.decode())


async def other_front_answers_with_a_status(site):
    """A front is cut off from all engines during a stream, which breaks off then and is handed to another front,
    whose engines answer with a status. Guards against a second answer in the midst of a stream."""
    dead = DeadAddress(site, hangs=False)
    cut = site.fronts[0]
    for engine in site.engines:
        engine.mode, engine.event_interval = "cut", SLOW_INTERVAL_S
    handed_over = 0
    for status, signed in STATUSES:
        for engine in site.engines:
            engine.resume_status, engine.resume_signed = status, signed
        bodies = [f"{status}.{signed}.{version}".encode() for version in VERSIONS]
        calls = [asyncio.ensure_future(read_all(site, cut, "/text/a", body, version)) for body, version in zip(bodies, VERSIONS)]
        await asyncio.sleep(LOST_AFTER_S)
        await set_cut(site, [cut], dead.name)
        for number in range(2):
            asyncio.ensure_future(site.call(cut, "/text/a", b"lost%d" % number))
        for body, (answer, stream) in zip(bodies, await asyncio.gather(*calls)):
            check_broken_off(stream, body, body.decode())
            handed_over += any(line["request"] == answer.request and line["state"] == "sent" for line in log_events(site, "request_handed_off"))
        await set_cut(site, [cut], None)
        await asyncio.sleep(1)
    equal(handed_over > 0, True, "streams handed over")
    print(f"{handed_over} of {len(STATUSES) * len(VERSIONS)} streams handed over", flush=True)
    dead.close()


async def front_is_killed_during_streams(site):
    """A front is killed during streams. Guards against streams without chunks that end as if they were complete."""
    front = site.fronts[0]
    for engine in site.engines:
        engine.event_interval = SLOW_INTERVAL_S
    calls = [asyncio.ensure_future(read_all(site, front, "/text/a", version, version)) for version in VERSIONS]
    await asyncio.sleep(EVENTS * SLOW_INTERVAL_S / 2)
    await front.kill()
    for version, (_, stream) in zip(VERSIONS, await asyncio.gather(*calls)):
        check_broken_off(stream, version, version.decode())


async def streams_end_in_order(site):
    """Streams that nothing disturbs. Guards against connections that are reset before their caller has all events."""
    for number in range(20):
        for version in VERSIONS:
            body = b"%s.%d" % (version, number)
            _, stream = await read_all(site, site.fronts[number % 2], "/text/a", body, version)
            events, is_complete = stream.events()
            equal((events, is_complete), (complete_stream(MODELS[0], body), True), body.decode())


CASES = [engines_answer_with_a_status, other_front_answers_with_a_status, front_is_killed_during_streams, streams_end_in_order]

if __name__ == "__main__":
    sys.exit(main(CASES))
