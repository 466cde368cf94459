"""Engines and fronts that stop in the middle of their answer's head: cases_heads.py PROGRAM [CASE...]. See cases.py."""

import asyncio
import sys

from cases import check, equal, log_events, main
from cases_cut import DeadAddress, set_cut
from cases_resume import VERSIONS, check_broken_off, read_all
from site_front import CALLERS_PORT, CONTENDED_SETTINGS, NOTE_ROUTE
from wire import abort, read_request

# Bytes of the head that are sent: within the status line, at its end, within a field, before the empty line and within
# it; from the head's end if negative. Each is closed and reset.
CUTS = [(at, resets) for at in (1, 12, 17, 45, -3, -1) for resets in (False, True)]
INTERIMS = (b"", b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", b"HTTP/1.1 100 Continue\r\n\r\n")
PATHS = ("/text/", "/again/", "/once/")
PAUSE_S = 0.2  # between two cuts, so that fronts don't avoid all engines for long
HEDGE_SHARE = 0.5
WARM_CALLS = 24  # after these a front knows the usual time of an answer
SLOW_S = 0.5  # of an engine whose requests get a copy
SLOW_INTERVAL_S = 0.12  # between events of streams during which a front is cut off
LOST_AFTER_S = 0.2
CUT_OFF_S = 0.5  # until a front has read that it is cut off
FRONT_HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nLovagehub-Server-Signature: sig.front\r\n\r\n"


def set_heads(engines, cut, **more):
    for engine in engines:
        engine.mode = "head"
        engine.set_head_cut(*cut, **more)


def set_ok(engines):
    for engine in engines:
        engine.mode, engine.delay, engine.cuts_resumed_head = "ok", 0, False


async def no_success(site, front, path, name):
    """A caller with HTTP/1.1 and one with 1.0, to whom the end of the connection ends an answer, get no success."""
    for version in VERSIONS:
        body = f"{name}.{version}".encode()
        answer, stream = await read_all(site, front, path + name, body, version)
        status = stream.status_line.split(b" ")[1:2]
        equal(status in ([b"502"], [b"503"], [b"504"]), True, f"{path} {name}: {stream.status_line!r}")
        equal(len([run for run in site.runs_of(answer) if run.executed]) <= (1 if path == "/once/" else 3), True, f"runs of {path} {name}")
        if path == "/once/" and any(run.executed for run in site.runs_of(answer)):
            equal(status, [b"502"], f"what may have run: {name}")


async def all_engines_stop_within_the_head(site):
    """Guards against an answer cut within its head, also after an interim one or of an answer without a body, that callers
    get as a whole one."""
    for interim in INTERIMS:
        for no_body in (False, True):
            for number, cut in enumerate(CUTS):
                set_heads(site.engines, cut, interim=interim, no_body=no_body)
                for path in PATHS:
                    await no_success(site, site.fronts[number % 3], path, f"{len(interim)}.{no_body}.{number}")
                await asyncio.sleep(PAUSE_S)
    arrivals = sum(run.executed for run in site.runs)
    equal(arrivals > len(INTERIMS) * 2 * len(CUTS), True, f"{arrivals} answers were cut")


async def another_engine_answers(site):
    """One of two engines stops within its head. Guards against callers that get its answer as a whole one, or none where
    another engine may be asked."""
    for number, cut in enumerate(CUTS):
        set_ok(site.engines)
        set_heads(site.engines[::2], cut)
        for path in ("/text/", "/again/"):
            answers = [await site.call(site.fronts[front], f"{path}{number}", b"%d.%d" % (number, front)) for front in range(3)]
            equal([(answer.status, answer.complete) for answer in answers], [(200, True)] * 3, f"{path} {cut}")
            check(site, *answers)


async def engines_stop_within_the_head_that_resumes(site):
    """Engines break off each stream, and stop within the head of the answer that is to go on with it. Guards against a
    stream that ends as complete then."""
    for number, cut in enumerate(CUTS):
        for engine in site.engines:
            engine.mode, engine.cuts_resumed_head = "cut", True
            engine.set_head_cut(*cut)
        for version in VERSIONS:
            body = b"%d.%s" % (number, version)
            _, stream = await read_all(site, site.fronts[number % 3], "/text/a", body, version)
            check_broken_off(stream, body, f"{cut} {version}")


async def on_a_kept_connection(site):
    """An engine stops within the head of the second answer on a connection. Guards against one that is taken for whole,
    and against a request that may run once and is sent again."""
    site.more_settings = CONTENDED_SETTINGS
    site.routes.append(dict(NOTE_ROUTE))
    await site.configure()
    for front in site.fronts:
        await front.kill()
        await front.start()
    for front in site.fronts:
        await site.wait(front.is_ready, f"front {front.number} ready")
    front = site.fronts[0]
    for number, cut in enumerate(CUTS):
        for path in PATHS:
            set_ok(site.engines)
            for warm in range(4):
                check(site, await site.call(front, f"{path}w{number}.{warm}", b"w%d.%d" % (number, warm)))
            set_heads(site.engines, cut)
            await no_success(site, front, path, f"kept{number}")
            await asyncio.sleep(PAUSE_S)
    cut_ids = [run.request for run in site.runs if run.mode == "head"]
    kept = sum(line["kept"] for line in front.events("request_sent") if line["request"] in cut_ids)
    equal(kept > 0, True, "an answer was cut on a kept connection")


async def within_the_heads_of_a_pair(site):
    """Of a request and its copy one stops within its head, or both do. Guards against callers that get it as a whole
    answer."""
    front = site.fronts[0]
    front.hedge_share = HEDGE_SHARE
    await front.reload()
    orders = [engine for engine in site.engines if engine.service == "orders"]
    for number in range(WARM_CALLS):
        check(site, await site.call(front, f"/again/w{number}", b"w%d" % number))
    for number, cut in enumerate(CUTS):
        for slow in range(len(orders)):
            set_ok(orders)
            set_heads(orders[:slow] + orders[slow + 1 :], cut)
            orders[slow].delay = SLOW_S
            answers = [await site.call(front, f"/again/one{number}.{slow}.{call}", b"%d.%d.%d" % (number, slow, call)) for call in range(2)]
            check(site, *answers)
        set_heads(orders, cut)
        for engine in orders:
            engine.delay = SLOW_S / 2
        await no_success(site, front, "/again/", f"both{number}")
        for engine in orders:
            engine.delay = 0
        set_ok(orders)
        for call in range(6):
            check(site, await site.call(front, f"/again/ok{number}.{call}", b"%d.%d" % (number, call)))
    equal(len(front.events("request_hedge")) > 0, True, "a copy was sent")


async def engines_stop_within_the_head_of_a_request_handed_over(site):
    """A front is cut off from all engines and hands its requests to another one, whose engines stop within the head.
    Guards against callers that get it as a whole answer."""
    dead = DeadAddress(site, hangs=False)
    cut_off = site.fronts[0]
    await set_cut(site, [cut_off], dead.name)
    for number in range(4):
        await site.call(cut_off, f"/again/lost{number}", b"lost%d" % number)
    for number, cut in enumerate(CUTS):
        set_heads(site.engines, cut)
        for path in PATHS:
            await no_success(site, cut_off, path, f"over{number}")
        await asyncio.sleep(PAUSE_S)
    handed_over = sum(line["state"] == "sent" for line in log_events(site, "request_handed_off"))
    equal(handed_over > len(CUTS), True, f"{handed_over} requests handed over")
    dead.close()


async def serve_cut_head(front, cut):
    """Listens at the front's address for callers in its place, and answers as cut says."""
    at, resets = cut

    async def serve(reader, writer):
        request = await read_request(reader)
        if request:
            writer.write(FRONT_HEAD[:at])
            await writer.drain()
        if resets:
            abort(writer)
        writer.close()

    return await asyncio.start_server(serve, front.ip, CALLERS_PORT)


async def other_fronts_stop_within_the_head(site):
    """A front is cut off from all engines during streams and before requests, and hands them to others, which stop within
    the head of their answer. Guards against callers that get it as a whole answer."""
    dead = DeadAddress(site, hangs=False)
    cut_off, others = site.fronts[0], site.fronts[1:]
    for engine in site.engines:
        engine.mode, engine.event_interval = "cut", SLOW_INTERVAL_S
    for number, cut in enumerate(CUTS):
        calls = [asyncio.ensure_future(read_all(site, cut_off, "/text/a", b"%d.%s" % (number, version), version)) for version in VERSIONS]
        await asyncio.sleep(LOST_AFTER_S)
        await set_cut(site, [cut_off], dead.name)
        for front in others:
            await front.kill()
        servers = [await serve_cut_head(front, cut) for front in others]
        await asyncio.sleep(CUT_OFF_S)
        for path in PATHS:
            await no_success(site, cut_off, path, f"front{number}")
        for version, (_, stream) in zip(VERSIONS, await asyncio.gather(*calls)):
            check_broken_off(stream, b"%d.%s" % (number, version), f"{cut} {version}")
        for server in servers:
            server.close()
            await server.wait_closed()
        for front in others:
            await front.start()
        await set_cut(site, [cut_off], None)
        for front in others:
            await site.wait(front.is_ready, f"front {front.number} ready")

        async def serves():
            answer = await site.call(cut_off, "/once/again", b"%d" % number)
            return answer.status == 502 or answer.status == 200

        await site.wait(serves, "the front reaches engines again")
    states = [line["state"] for line in log_events(site, "request_handed_off")]
    equal(states.count("cut") >= len(CUTS), True, f"{states.count('cut')} answers of other fronts were cut")
    dead.close()


CASES = [
    all_engines_stop_within_the_head, another_engine_answers, engines_stop_within_the_head_that_resumes,
    on_a_kept_connection, within_the_heads_of_a_pair, engines_stop_within_the_head_of_a_request_handed_over,
    other_fronts_stop_within_the_head,
]  # fmt: skip

if __name__ == "__main__":
    sys.exit(main(CASES))
