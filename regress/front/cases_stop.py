"""Callers whose requests come while a front stops: cases_stop.py PROGRAM [CASE...]. See cases.py."""

import asyncio
import signal
import sys
import time

from cases import check, equal, main
from site_front import CALLERS_PORT, exchange

LATE_IN_STOP_S = 3.0  # after the signal: idle connections are closed by then
CONNECT_CALLS = 12
STREAM_DELAY_S = 4.5
PAUSE_S = 0.4  # between a connection and its request, or between two parts of a request
STOP_MAX_S = 8  # of the fronts' settings
ANSWERED = (200, 503)  # served, or refused as too little time is left


async def graceful_stop(site):
    """A front gets SIGTERM while it streams. It reports itself as not ready to the balancer, closes idle connections,
    completes the stream, and exits with status 0 well before it would be killed."""
    front = site.fronts[0]
    for engine in site.engines:
        engine.delay = 1.0
    stream = asyncio.ensure_future(site.call(front, "/text/a", b"slow"))
    await asyncio.sleep(0.3)
    began = time.monotonic()
    front.signal(signal.SIGTERM)
    await asyncio.sleep(0.3)
    equal(await front.is_ready(), False, "ready while stopping")
    answer = await stream
    equal((answer.status, answer.complete), (200, True), "the stream")
    equal(await front.stop(), 0, "exit status")
    if time.monotonic() - began > 8:
        raise AssertionError("the stop took too long")


async def stopping_serves_what_ends_in_time(site):
    """All fronts of a failure domain stop at once, so callers still connect to one that is stopping. Three seconds
    after the signal it still streams an answer. It serves an order, which ends before the process has to exit, and
    refuses a new stream at once."""
    front = site.fronts[0]
    for engine in site.engines:
        engine.delay = 4.0 if engine.streams else 0.0
    stream = asyncio.ensure_future(site.call(front, "/text/a", b"slow"))
    await asyncio.sleep(0.3)
    front.signal(signal.SIGTERM)
    await asyncio.sleep(3.0)
    order = await site.call(front, "/once/a", b"order")
    refused = await site.call(front, "/text/b", b"late")
    answer = await stream
    equal((answer.status, answer.complete), (200, True), "the stream")
    equal(order.status, 200, "the order")
    equal((refused.status, len(site.runs_of(refused))), (503, 0), "the late stream")
    check(site, answer, order, refused)
    equal(await front.stop(), 0, "exit status")


async def requests_late_in_a_stop(site):
    """Callers send orders until a front that stops is gone, on new connections and on kept ones. Guards against orders that
    are passed on although the process ends before their answer."""
    front = site.fronts[0]
    for engine in site.engines:
        engine.delay = 1.0
    kept = [await asyncio.open_connection(front.ip, CALLERS_PORT) for _ in range(80)]
    for number, connection in enumerate(kept):
        check(site, await site.call(front, f"/none/{number}", connection=connection))
    calls = []
    front.signal(signal.SIGTERM)
    began = time.monotonic()
    while front.alive:
        number = len(calls)
        connection = kept[number // 2] if number % 2 and number // 2 < len(kept) else None
        calls.append(asyncio.ensure_future(site.call(front, f"/once/{number}", b"%d" % number, connection=connection)))
        await asyncio.sleep(0.05)
    equal(time.monotonic() - began < 8, True, "ended in time")
    answers = await asyncio.gather(*calls)
    lost = [answer for answer in answers if site.runs_of(answer) and answer.status == 0]
    equal(lost, [], "orders that ran and got no answer")
    check(site, *answers)
    for _, writer in kept:
        writer.close()


async def hold_stop(site, front):
    """Sends SIGTERM to a front that streams an answer, and waits until late in its stop. Returns the stream's task."""
    for engine in site.engines:
        engine.delay = STREAM_DELAY_S if engine.streams else 0.0
    stream = asyncio.ensure_future(site.call(front, "/text/a", b"slow"))
    await asyncio.sleep(0.3)
    front.signal(signal.SIGTERM)
    await asyncio.sleep(LATE_IN_STOP_S)
    return stream


async def request_follows_its_connection_late_in_a_stop(site):
    """Callers connect late in a stop and send their requests a moment later. Guards against new connections that are closed
    as idle before their first request has arrived."""
    front = site.fronts[0]
    stream = await hold_stop(site, front)

    async def call(number):
        connection = await asyncio.open_connection(front.ip, CALLERS_PORT)
        await asyncio.sleep(PAUSE_S * number / CONNECT_CALLS)
        answer = await site.call(front, f"/once/{number}", b"order", connection=connection)
        connection[1].close()
        return answer

    answers = await asyncio.gather(*(call(number) for number in range(CONNECT_CALLS)))
    equal([answer for answer in answers if answer.status not in ANSWERED], [], "orders without an answer")
    answer = await stream
    equal((answer.status, answer.complete), (200, True), "the stream")
    check(site, answer, *answers)
    equal(await front.stop(), 0, "exit status")


async def silent_connections_do_not_prolong_a_stop(site):
    """Callers keep connections open, and open new ones, without sending anything. Guards against a stop that waits for
    requests which never come."""
    front = site.fronts[0]
    kept = [await asyncio.open_connection(front.ip, CALLERS_PORT) for _ in range(CONNECT_CALLS)]
    front.signal(signal.SIGTERM)
    began = time.monotonic()
    await asyncio.sleep(2.3)
    kept += [await asyncio.open_connection(front.ip, CALLERS_PORT) for _ in range(CONNECT_CALLS)]
    equal(await front.stop(), 0, "exit status")
    equal(time.monotonic() - began < STOP_MAX_S, True, "ended in time")
    for _, writer in kept:
        writer.close()


async def request_arrives_as_the_stop_ends(site):
    """A front that stops and has nothing left to do has taken a connection, or half of a request. Guards against a process
    that ends before the request has arrived."""
    front = site.fronts[0]
    data, half = site.request("/once/half", b"x" * 1000)
    connected = await asyncio.open_connection(front.ip, CALLERS_PORT)
    connected[1].write(data[:-500])
    front.signal(signal.SIGTERM)
    await asyncio.sleep(2.4)
    new = await asyncio.open_connection(front.ip, CALLERS_PORT)
    await asyncio.sleep(PAUSE_S)
    answer = await site.call(front, "/once/new", b"order", connection=new)
    equal(answer.status in ANSWERED, True, "an order on a connection opened before the end is answered")
    await exchange((front.ip, CALLERS_PORT), data[-500:], half, connected)
    equal(half.status in ANSWERED, True, "an order of which half had arrived is answered")
    check(site, answer, half)
    equal(await front.stop(), 0, "exit status")
    for _, writer in (connected, new):
        writer.close()


async def request_that_arrives_too_late_is_refused(site):
    """A caller has sent half of a request as a front stops, and sends nothing more. Guards against a process that ends without
    an answer to it."""
    front = site.fronts[0]
    data, answer = site.request("/once/half", b"x" * 1000)
    answering = asyncio.ensure_future(exchange((front.ip, CALLERS_PORT), data[:-500], answer))
    await asyncio.sleep(PAUSE_S)
    equal(await front.stop(), 0, "exit status")
    await answering
    equal((answer.status, "retry-after" in answer.fields), (503, True), "the request of which half has arrived")
    equal(site.runs_of(answer), [], "arrivals at engines")


CASES = [
    graceful_stop, stopping_serves_what_ends_in_time, requests_late_in_a_stop,
    request_follows_its_connection_late_in_a_stop, request_arrives_as_the_stop_ends,
    silent_connections_do_not_prolong_a_stop, request_that_arrives_too_late_is_refused,
]  # fmt: skip

if __name__ == "__main__":
    sys.exit(main(CASES))
