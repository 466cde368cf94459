"""Stand-in for the users' model engines and plain services.

An engine's answer depends on the request alone, so that a check can tell a caller's own complete
answer from any other. Every request that arrives is recorded for the checks.
"""

import asyncio
import hashlib
import json
import random
import time
from dataclasses import dataclass

from wire import Truncated, abort, answer, read_request

EVENTS = 12  # events of a streamed answer
EVENT_INTERVAL_S = 0.004
LONG_BYTES = 3_000_000  # of the answer in mode long
ENDLESS_BYTES = 300_000_000  # after which an engine gives up an answer without end
FALLEN_S = 2  # until an engine that fell over has started again
ENDLESS_MODES = ("endless_head", "endless_interim", "endless_body", "endless_chunks", "endless_extension", "endless_trailer")
IDLE_S = 1  # for which it keeps an idle connection, as it promises
FRAMED_MODES = ("ok", "full", "error", "foreign", "unsigned", "long")  # in which a connection can carry another request
FORGETS_SHARE = 0.05  # of requests on a connection that was idle: it is closed as they arrive
REPEATS_SHARE = 0.03  # of answers that leave an idle connection: they arrive there once more, up to REPEAT_S later
REPEAT_S = 0.05
ENDS_CHECK_S = 0.01  # between two looks whether a caller has closed its connection
NOT_RUN = {"Lovagehub_Not_Executed": 1}


def digest(*parts):
    return hashlib.sha256(b"\0".join(p if isinstance(p, bytes) else p.encode() for p in parts)).hexdigest()[:16]


def event(model, body, number):
    return f"id: {number}\ndata: {digest(model, body, str(number))}\n\n".encode()


def complete_stream(model, body, after=-1):
    return b"".join(event(model, body, number) for number in range(after + 1, EVENTS))


def plain_answer(method, target, body):
    return digest(method, target, body).encode() * 20


@dataclass
class Run:
    """One arrival of a request at an engine. Times are of time.monotonic()."""

    request: str
    engine: "Engine"
    fields: dict
    at: float
    executed: bool = False
    mode: str = ""  # the engine's then
    cold: bool = False  # the engine was cold when the request arrived
    cold_since: float = 0.0  # when it became cold, if it is
    limit: object = None  # the limit that the engine named then; None: none
    rest: object = None  # seconds of rest that its refusal asked for; None: none
    limit_since: float = 0.0  # since when it names that limit
    ended: float = 0.0


class Engine:
    """An engine or plain service, and the fault injected there.

    mode: ok; mute (accepts the request and does not answer), half (closes the connection within the answer),
    cut (resets it within the answer), full (refuses without running the request, and asks for rest if rest is
    set), error (runs it and answers 500), unsigned (no signature), foreign (answers with another request's id),
    unframed (neither a Content-Length nor chunks; the connection ends with the answer), torn (the same, and a stream
    ends within an event), lost (runs it and resets the connection), long (a plain answer of LONG_BYTES),
    deaf (stops reading after the first byte), head (stops within the head of its answer, see set_head_cut), ENDLESS_MODES (sends bytes that are no answer until the
    connection is closed). A request whose body is one of crash_bodies crashes the engine, which
    listens again after a second.
    """

    def __init__(self, site, name, service, address, version="v1", domain="a", models=()):
        self.site, self.name, self.service = site, name, service
        self.public = None  # address in its entry in the store, if not the one that it listens on
        self.address, self.version, self.domain, self.models = address, version, domain, models
        self.mode, self.state, self.delay = "ok", "ready", 0.0
        self.confidence = 90  # stated in the answers of the smallest model
        self.crash_bodies, self.crash_delay = set(), 0.0  # seconds from the arrival to the crash
        self.endless_sent = 0  # bytes of the longest answer in one of ENDLESS_MODES
        self.crash_parts = set()  # it crashes as it begins to answer a prompt with one of these parts, after its delay
        self.head_cut, self.head_resets, self.interim, self.no_body = 0, False, b"", False  # in mode head
        self.cuts_resumed_head = False  # of its answers to streams that are to go on; the others are as mode says
        self.resume_status, self.resume_signed = None, True  # of its answers to streams that are to go on; None: it goes on
        self.event_interval = EVENT_INTERVAL_S
        self.fail_bodies = set()  # requests with these bodies are answered 500
        self.fails_from, self.running = None, 0  # half of the answers are 500 while so many requests run; None: none
        self.refuses_without_notices = False  # its refusals don't name its limit
        self.limit, self.limit_since = None, 0.0  # requests per second, named in all its answers; None: no limit
        self.writers = set()
        self.random = random.Random(name)
        self.kept_requests = self.forgotten = self.repeated = 0
        self.born_ms = time.time_ns() // 1_000_000
        self.cold_since = self.cold_until = 0.0
        self.turns_away, self.rest = False, None  # as in mode full; seconds that its refusals ask for
        self.room = None  # requests that it runs at a time, and turns others away; None: any number
        self.brittle = None  # requests a second beyond its room that it survives, named in all its answers; None: any
        self.turned_away_at = []  # times at which it turned a request away
        self.slots = 8  # in its entry
        self.is_down = False
        self.returns_as_new = False  # after a crash, as each start on the platform: under another id
        self.falls, self.fell_at = False, []  # whether it ends when it turns more away than it survives; when it did
        self.says_leaving = False  # in all its answers
        self.left_at = None  # when the store acknowledged that it drains or that its entry is removed

    @property
    def streams(self):
        return bool(self.models)

    async def start(self):
        self.server = await asyncio.start_server(self.serve, *self.address)
        await self.report()

    def entry(self):
        """Its row in the store's table of servers."""
        public = self.public or self.address
        return {
            "Service": self.service, "Address": f"{public[0]}:{public[1]}", "Zone": self.domain,
            "Version": self.version, "Slots": self.slots, "State": self.state, "ColdLeftMs": self.cold_left_ms(), "Seq": 1,
            "born": self.born_ms,
        }  # fmt: skip

    async def report(self):
        await self.site.store.put("servers", self.name, json.dumps(self.entry()))

    def cold_left_ms(self):
        return max(0, round((self.cold_until - time.monotonic()) * 1000))

    def set_cold(self, seconds):
        """Makes the engine cold for so long, as if it had just started; its entry does not change until report."""
        self.cold_since = time.monotonic()
        self.cold_until = self.cold_since + seconds

    async def drain(self):
        self.state = "draining"
        await self.report()
        self.left_at = time.monotonic()

    async def leave(self):
        """Removes the entry from the store."""
        await self.site.store.put("servers", self.name, None)
        self.left_at = self.left_at or time.monotonic()

    async def crash(self):
        """Resets all connections and stops listening; the entry stays until leave."""
        self.server.close()
        for writer in list(self.writers):
            abort(writer)

    async def crash_and_restart(self):
        if self.is_down:
            return
        self.is_down = True
        await self.crash()
        await asyncio.sleep(1)
        if self.returns_as_new:
            await self.leave()
            await self.site.start_engine(self.service, self.version)
            return
        self.server = await asyncio.start_server(self.serve, *self.address)
        self.is_down = False

    async def fall_over(self):
        """Ends for having turned too many requests away in a second, and starts again after FALLEN_S."""
        self.fell_at.append(time.monotonic())
        self.turned_away_at.clear()
        await self.crash()
        await asyncio.sleep(FALLEN_S)
        await self.restart(self.address)
        self.is_down = False

    async def restart(self, address):
        """Acts as a new process with the same id at another address; the old process's connections hang."""
        self.server.close()
        self.writers = set()
        self.address, self.born_ms, self.mode, self.state = address, self.born_ms + 1, "ok", "ready"
        await self.start()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            if self.mode == "deaf":
                await reader.readexactly(1)
                while self.mode == "deaf":
                    await asyncio.sleep(0.1)
            born_ms, request = self.born_ms, await read_request(reader)
            while request:
                if self.born_ms != born_ms:  # its process is gone, behind a cut that holds back the end
                    await asyncio.sleep(3600)
                mode = self.mode
                await self.handle(request, reader, writer)
                may_keep = mode in FRAMED_MODES and mode == self.mode and request.fields.get("connection") != "close"
                request = await self.next_request(reader, writer) if may_keep and not reader.at_eof() else None
        except (OSError, ConnectionError, asyncio.CancelledError):  # cancelled as the site stops
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def next_request(self, reader, writer):
        """The next request of a connection that was used before, as its owner may find it; None: it ends."""
        if self.random.random() < REPEATS_SHARE:
            await asyncio.sleep(self.random.uniform(0, REPEAT_S))
            writer.write(answer(200, b"late", Lovagehub_Request_Id="earlier", Lovagehub_Server_Signature=f"sig.{self.name}"))
            self.repeated += 1
        try:
            request = await asyncio.wait_for(read_request(reader), IDLE_S)
        except (asyncio.TimeoutError, Truncated):
            return None
        if request and self.random.random() < FORGETS_SHARE:
            self.forgotten += 1
            return None
        self.kept_requests += request is not None
        return request

    async def caller_ends(self, reader):
        """Returns when the caller has closed its connection; reads nothing, as the next request may follow."""
        while not reader.at_eof() and reader.exception() is None:
            await asyncio.sleep(ENDS_CHECK_S)

    async def handle(self, request, reader, writer):
        run = Run(request.fields.get("lovagehub-request-id", ""), self, request.fields, time.monotonic())
        run.limit, run.limit_since = self.limit, self.limit_since
        self.site.runs.append(run)
        if request.fields.get("lovagehub-target-instance") != self.name:
            writer.write(answer(421, Lovagehub_Instance_Id=self.name, **self.notices()))
            return
        is_full = self.room is not None and self.running >= self.room
        if self.mode == "full" or self.turns_away or is_full:
            self.turned_away_at.append(run.at)
            recent = sum(at > run.at - 1 for at in self.turned_away_at)
            if self.falls and not self.is_down and self.brittle is not None and recent > self.brittle:
                self.is_down = True
                asyncio.ensure_future(self.fall_over())
            rest = {"Retry_After": self.rest} if self.rest else {}
            run.rest = self.rest
            notices = {} if self.refuses_without_notices else self.notices()
            writer.write(answer(503, **NOT_RUN, **rest, **notices))
            return
        run.executed = True
        run.cold, run.cold_since = self.cold_left_ms() > 0, self.cold_since
        run.body, run.mode = request.body, self.mode
        run.line = (request.method, request.target)
        caller_closed = asyncio.ensure_future(self.caller_ends(reader))
        self.running += 1
        work = asyncio.ensure_future(self.work(request, writer))
        await asyncio.wait([caller_closed, work], return_when=asyncio.FIRST_COMPLETED)
        self.running -= 1
        for task in (caller_closed, work):
            task.cancel()
        run.ended = time.monotonic()

    def set_head_cut(self, at, resets, interim=b"", no_body=False):
        """In mode head: after how many bytes of the head it stops, from its end if negative, and whether it resets the
        connection then; an interim answer that it sends before, and whether the answer would have no body."""
        self.head_cut, self.head_resets, self.interim, self.no_body = at, resets, interim, no_body

    def set_limit(self, per_s):
        self.limit, self.limit_since = per_s, time.monotonic()

    def notices(self):
        """Header fields in which it states something about itself."""
        fields = {"Server_Limit": self.limit} if self.limit is not None else {}
        if self.brittle is not None:
            fields["Server_Brittle"] = self.brittle
        return {**fields, "Server_Leaving": 1} if self.says_leaving else fields

    def head(self, request, **more):
        """Header fields of an answer."""
        asked = request.fields.get("lovagehub-request-id", "")
        fields = {"Lovagehub_Request_Id": "other" if self.mode == "foreign" else asked, **self.notices(), **more}
        if request.fields.get("connection") != "close":
            fields["Keep_Alive"] = f"timeout={IDLE_S}"
        if self.mode != "unsigned":
            fields["Lovagehub_Server_Signature"] = f"sig.{self.name}"
        return fields

    async def work(self, request, writer):
        if request.body in self.crash_bodies:
            await asyncio.sleep(self.crash_delay)
            asyncio.ensure_future(self.crash_and_restart())
            await asyncio.sleep(3600)
        prompt = request.fields.get("lovagehub-prompt-prefix", "")
        if self.crash_parts & {part.split(":")[0] for part in prompt.split(",")}:
            await asyncio.sleep(self.delay)
            if not self.is_down:
                asyncio.ensure_future(self.crash_and_restart())
            await asyncio.sleep(3600)
        overloaded = self.fails_from is not None and self.running >= self.fails_from and len(self.site.runs) % 2 == 0
        await asyncio.sleep(self.delay)
        if self.mode == "mute":
            await asyncio.sleep(3600)
        if self.mode == "lost":
            abort(writer)
        elif self.mode == "head" or (self.cuts_resumed_head and "last-event-id" in request.fields):
            await self.send_cut_head(request, writer)
        elif self.mode in ENDLESS_MODES:
            await self.send_without_end(request, writer)
        elif self.resume_status and "last-event-id" in request.fields:
            self.refuse_resume(request, writer)
        elif self.mode == "error" or overloaded or request.body in self.fail_bodies:
            writer.write(answer(500, b"failed", **self.head(request)))
        elif self.streams:
            await self.stream(request, writer)
        else:
            await self.plain(request, writer)
        await writer.drain()

    async def send_cut_head(self, request, writer):
        if self.no_body:
            head = answer(204, **self.head(request)).replace(b"Content-Length: 0\r\n", b"")
        elif self.streams:
            head = self.stream_head(request, True)
        else:
            head = answer(200, **self.head(request))
        writer.write(self.interim + head[: self.head_cut])
        await writer.drain()
        if self.head_resets:
            abort(writer)

    def endless_parts(self, request):
        """What an answer without end begins with, and what is sent again and again."""
        fields = {"Content_Type": "text/event-stream" if self.streams else "text/plain", **self.head(request)}
        head = "HTTP/1.1 200 OK\r\n" + "".join(f"{name.replace('_', '-')}: {value}\r\n" for name, value in fields.items())
        chunked = head + "Transfer-Encoding: chunked\r\n\r\n"
        return {
            "endless_head": ("HTTP/1.1 200 OK\r\nX-Long: ", "x"),
            "endless_interim": ("", "HTTP/1.1 100 Continue\r\n\r\n"),
            "endless_body": (head + "\r\n", "x"),
            "endless_chunks": (chunked, f"{1024:x}\r\n{'x' * 1024}\r\n"),
            "endless_extension": (chunked + "8;", "x"),
            "endless_trailer": (chunked + "0\r\n", "X-Long: 1\r\n"),
        }[self.mode]

    async def send_without_end(self, request, writer):
        start, part = self.endless_parts(request)
        writer.write(start.encode())
        piece = part.encode() * (LONG_BYTES // len(part))
        for number in range(ENDLESS_BYTES // LONG_BYTES):
            writer.write(piece)
            await writer.drain()
            if writer.is_closing():
                return
            self.endless_sent = max(self.endless_sent, (number + 1) * LONG_BYTES)

    def refuse_resume(self, request, writer):
        fields = self.head(request)
        if not self.resume_signed:
            del fields["Lovagehub_Server_Signature"]
        writer.write(answer(self.resume_status, b"" if self.resume_status == 204 else b"not resumed", **fields))

    async def plain(self, request, writer):
        body = plain_answer(request.method, request.target, request.body)
        if self.mode == "long":
            body = body[:1] * LONG_BYTES
        text = answer(200, body, **self.head(request))
        if self.mode in ("half", "cut"):
            writer.write(text[:-10])
            await writer.drain()
            if self.mode == "cut":
                abort(writer)
        elif self.mode == "unframed":
            writer.write(text.replace(b"Content-Length", b"X-Length"))
        else:
            writer.write(text)

    def stream_head(self, request, is_framed):
        model = request.fields.get("lovagehub-model", "")
        framing = "Transfer-Encoding: chunked\r\n" if is_framed else ""
        head = f"HTTP/1.1 200 OK\r\n{framing}Content-Type: text/event-stream\r\n"
        confidence = self.confidence if model == self.models[0] else 100
        for name, value in self.head(request, Lovagehub_Confidence=confidence).items():
            head += f"{name.replace('_', '-')}: {value}\r\n"
        return head.encode() + b"\r\n"

    async def stream(self, request, writer):
        model = request.fields.get("lovagehub-model", "")
        after = int(request.fields.get("last-event-id", -1))
        is_framed = self.mode not in ("unframed", "torn")
        writer.write(self.stream_head(request, is_framed))
        for number in range(after + 1, EVENTS):
            data = event(model, request.body, number)
            if self.mode in ("half", "cut") and number >= after + 4:
                writer.write(b"%x\r\n%s" % (len(data), data[:9]))
                await writer.drain()
                if self.mode == "cut":
                    abort(writer)
                return
            if self.mode == "torn" and number == after + 4:
                writer.write(data[:9])
                return
            writer.write(b"%x\r\n%s\r\n" % (len(data), data) if is_framed else data)
            await writer.drain()
            await asyncio.sleep(self.event_interval)
        if is_framed:
            writer.write(b"0\r\n\r\n")
