"""A site on loopback: stand-ins of the store and the engines, real lovage-front processes, and calls to them."""

import asyncio
import itertools
import json
import os
import random
import signal
import tempfile
import time

from engines import Engine, complete_stream, digest, plain_answer
from store import Store, StoreEndpoint
from wire import Message, Truncated, read_body, read_head

CALLERS_PORT, READY_PORT, CONTROL_PORT, PEERS_PORT = 8001, 8002, 8003, 8004
STORE_PORT, ENGINE_PORT = 8100, 9000  # of a front's store endpoint; of the first engine, the others follow
MODELS = ["small", "large"]
KEY = "key-one"
WAIT_S = 30  # time-out of a call and of Site.wait
# How long an engine is cold after its start; a cold engine may get its rate times COLD_OVERAGE plus COLD_SLACK
# requests within a second.
COLD_START_S, COLD_OVERAGE, COLD_SLACK = 3, 1.5, 5

ROUTES = [
    {"Name": "r-text", "Prefix": "/text/", "Kind": "streaming", "Service": "texts", "Sizes": MODELS,
     "Resumable": True, "GapAimMs": 300, "TimeoutMs": 6000, "SloMs": 800, "MaxAttempts": 3},
    {"Name": "r-once", "Prefix": "/once/", "Kind": "non_idempotent", "Service": "orders",
     "TimeoutMs": 2500, "SloMs": 300, "MaxAttempts": 3},
    {"Name": "r-again", "Prefix": "/again/", "Kind": "idempotent", "Service": "orders",
     "TimeoutMs": 2500, "SloMs": 300, "MaxAttempts": 3},
]  # fmt: skip
# A less urgent route of the same service, whose callers can wait, and the settings by which its work is ordered.
NOTE_ROUTE = {"Name": "r-note", "Prefix": "/note/", "Kind": "streaming", "Service": "texts", "Sizes": MODELS, "Priority": 2,
              "Resumable": True, "GapAimMs": 300, "TimeoutMs": 7000, "SloMs": 2400, "MaxAttempts": 3}  # fmt: skip
CONTENDED_SETTINGS = {"contention_ratio": 2, "hedge_share": 0.1, "keep_connections_ms": 2000}
STREAM_PREFIXES = ("/text/", "/note/")


class Answer:
    """What a caller saw of one attempt. Times are of time.monotonic()."""

    def __init__(self, request):
        self.request = request  # the attempt's id
        self.status = 0  # 0: no status line was received
        self.fields = {}
        self.body = b""
        self.complete = False
        self.sent_at = self.ended_at = 0.0
        self.read_by_front = False

    def __repr__(self):
        return f"{self.request}: {self.status} complete={self.complete} {len(self.body)} B"


class Front:
    """One lovage-front process with its settings, its log and its store endpoint."""

    def __init__(self, site, number):
        self.site, self.number = site, number
        self.ip = f"{site.subnet}.{number + 1}"
        self.domain = "ab"[number % 2]
        self.process = None
        self.store_endpoint = StoreEndpoint(site.store, (self.ip, STORE_PORT))
        self.log = os.path.join(site.folder, f"front-{number}.log")
        self.control = CONTROL_PORT
        self.seeds = None  # seed addresses in its settings; None: those of the first three fronts
        self.hedge_share = 0  # copies of late requests that its settings allow, as a share of a service's requests

    def settings(self):
        return {
            "vm": f"front-{self.number}", "failure_domain": self.domain, "ip": self.ip,
            "callers": f"{self.ip}:{CALLERS_PORT}", "ready": f"{self.ip}:{READY_PORT}", "control": f"{self.ip}:{self.control}",
            "store": f"{self.ip}:{STORE_PORT}", "peer_port": PEERS_PORT, "stop_s": 8, "retry_share": 0.9,
            "retry_extra": 50, "session_s": 3, "hedge_share": self.hedge_share, "cold_overage": COLD_OVERAGE, "cold_slack": COLD_SLACK, "seeds": self.seeds or [f"{front.ip}:{CONTROL_PORT}" for front in self.site.fronts[:3]],
            **self.site.more_settings,
        }  # fmt: skip

    def write_settings(self):
        path = os.path.join(self.site.folder, f"front-{self.number}.json")
        with open(path, "w", encoding="utf-8") as out:
            json.dump(self.settings(), out)
        return path

    async def reload(self):
        """Applies changed settings to the running process."""
        known = len(self.events("reload"))
        self.write_settings()
        self.signal(signal.SIGHUP)

        async def is_done():
            return len(self.events("reload")) > known

        await self.site.wait(is_done, f"front {self.number} reloads its settings")

    async def start(self):
        path = self.write_settings()
        log = open(self.log, "ab")
        self.process = await asyncio.create_subprocess_exec(self.site.program, path, stdout=log, stderr=log)
        log.close()

    def signal(self, number):
        if self.alive:
            self.process.send_signal(number)

    @property
    def alive(self):
        return self.process is not None and self.process.returncode is None

    async def stop(self):
        """Stops the process by SIGTERM; returns the exit status."""
        self.signal(signal.SIGTERM)
        return await asyncio.wait_for(self.process.wait(), WAIT_S)

    async def kill(self):
        self.signal(signal.SIGKILL)
        await self.process.wait()

    async def get(self, port, path):
        answer = await exchange((self.ip, port), f"GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode())
        return answer

    def events(self, name):
        """Returns its log lines so far with this event name."""
        with open(self.log, encoding="utf-8") as lines:
            return [line for line in map(json.loads, lines) if line["event"] == name]

    async def is_ready(self):
        return (await self.get(READY_PORT, "/ready")).status == 200


async def exchange(address, data, answer=None, connection=None, timeout=WAIT_S):
    """Sends data and reads one answer. connection is the (reader, writer) of an open connection, which stays open;
    without it a new one is used. status and complete of the Answer tell whether it is missing or truncated."""
    answer = answer or Answer("")
    answer.sent_at = time.monotonic()
    writer = None
    try:
        reader, writer = connection or await asyncio.open_connection(*address)
        writer.write(data)
        await writer.drain()

        async def read():
            head = await read_head(reader)
            if head:
                answer.status, answer.fields = head.status, head.fields
                await read_body(reader, head)
                answer.body, answer.complete = head.body, True

        await asyncio.wait_for(read(), timeout)
    except Truncated as truncated:
        answer.body = truncated.received
    except (OSError, asyncio.TimeoutError):
        pass
    finally:
        answer.ended_at = time.monotonic()
        if writer and not connection:
            writer.close()
    return answer


def add_routes(site, number):
    """Adds so many routes that are never called, to get a configuration as large as a real site's."""
    names = random.Random(site.version)
    template = site.routes[-1]
    for _ in range(number):
        name = f"{names.getrandbits(48):012x}"
        site.routes.append({**template, "Name": f"r-{name}", "Prefix": f"/more/{name}/"})


class Site:
    def __init__(self, program, fronts=3, engines=4, seed=1):
        self.program = os.path.abspath(program)
        self.folder = tempfile.mkdtemp(prefix="lovage-front-")
        self.random = random.Random(seed)
        self.subnet = f"127.{os.getpid() // 250 % 200 + 20}.{os.getpid() % 250}"
        self.store = Store()
        self.runs = []  # every arrival at every engine
        self.version = 0  # of the newest configuration
        self.config_acked = {}  # version -> when the store acknowledged it
        self.routes = [dict(route) for route in ROUTES]
        self.more_settings = {}  # of all fronts
        self.keys = [KEY]
        self.limits = {}  # that the configuration sets besides, or in place of its usual ones
        self.front_of = {}  # request id -> number of the front that it was sent to
        self.senders = {}  # (request id, engine) -> (time, number of the front) of each attempt in the fronts' logs
        self.evacuations = {}  # failure domain evacuated now -> when the store acknowledged the order
        self.cold_per_s = None  # ColdPerS of the services: requests per second to a cold engine; None: not set
        self.request_ids = itertools.count(1)
        self.fronts = []
        for number in range(fronts):
            self.fronts.append(Front(self, number))
        self.engines = []
        self.engine_numbers = itertools.count()
        self.wanted_engines = engines

    def add_engine(self, service, version="v1"):
        number = next(self.engine_numbers)
        engine = Engine(
            self, f"i-{number}", service, (f"{self.subnet}.{200 + number % 50}", ENGINE_PORT + number), version,
            "ab"[number % 2], MODELS if service == "texts" else (),
        )  # fmt: skip
        self.engines.append(engine)
        return engine

    async def start_engine(self, service):
        await self.add_engine(service).start()

    async def start(self):
        for service in ("texts", "orders"):
            for _ in range(self.wanted_engines // 2):
                await self.start_engine(service)
        await self.configure()
        for front in self.fronts:
            await front.store_endpoint.start()
            await front.start()
        for front in self.fronts:
            await self.wait(front.is_ready, f"front {front.number} ready")

    async def wait(self, condition, what, limit=WAIT_S):
        """Waits until await condition() is true; raises AssertionError after limit seconds."""
        until = time.monotonic() + limit
        while not await condition():
            if time.monotonic() > until:
                raise AssertionError(f"waited {limit} s for: {what}")
            await asyncio.sleep(0.05)

    async def evacuate(self, domain):
        await self.store.put("op", f"evacuate/{domain}", "{}")
        self.evacuations[domain] = time.monotonic()

    async def end_evacuation(self, domain):
        """Ends an evacuation. The engines are cold from before it ends; their entries show it 0.8 s later, as with
        their next heartbeat."""
        self.evacuations.pop(domain, None)
        engines = [engine for engine in self.engines if engine.domain == domain and not engine.left_at]
        for engine in engines:
            engine.set_cold(COLD_START_S)
        await self.store.put("op", f"evacuate/{domain}", None)
        await asyncio.sleep(0.8)
        for engine in engines:
            if not engine.left_at:
                await engine.report()

    async def configure(self):
        """Writes the configuration to the store with a new version, which it returns."""
        self.version += self.random.randint(1, 4)
        cold = {"ColdStartS": COLD_START_S, "ColdPerS": self.cold_per_s} if self.cold_per_s is not None else {}
        services = [{"Name": "texts", **cold, "Engine": {"Slots": 8, "KvCapacity": 100000, "Models": [{"Name": m, "Cost": 1} for m in MODELS]}}, {"Name": "orders", **cold}]
        config = {
            "Version": self.version, "Services": services, "Tenants": [{"Name": "team", "ApiKeys": self.keys}],
            "Routes": [{"Host": "a.example", "Priority": 1, "Public": False, **route} for route in self.routes],
            "Limits": {"MaxHeaderBytes": 8192, "MaxBodyBytes": 65536, "HeaderTimeoutMs": 2000, "IdleTimeoutMs": 8000, **self.limits},
        }  # fmt: skip
        await self.store.put("op", "config", json.dumps(config))
        self.config_acked[self.version] = time.monotonic()
        return self.version

    def request(self, path, body=b"", deadline=None, key=KEY, method="POST", after=None, prompt=None):
        """Returns the bytes of a new attempt and the Answer to fill in. after: id of the last event received. prompt: its
        parts; None: one that all share, and one of its own."""
        answer = Answer(f"q{next(self.request_ids)}")
        answer.method, answer.path, answer.sent_body, answer.after = method, path, body, after
        head = f"{method} {path} HTTP/1.1\r\nHost: a.example\r\nLovagehub-Request-Id: {answer.request}\r\n"
        head += f"Authorization: Token {key}\r\nLovagehub-Model: *\r\nLovagehub-Token-Counts: 400,50\r\n"
        head += f"Lovagehub-Prompt-Prefix: {prompt or f'aa:300,{digest(body)}:100'}\r\n"
        head += f"Session: {digest(body)}\r\n"
        if deadline:
            head += f"Lovagehub-Deadline-Ms: {deadline}\r\n"
        if after is not None:
            head += f"Last-Event-Id: {after}\r\n"
        return head.encode() + b"Content-Length: %d\r\n\r\n" % len(body) + body, answer

    async def call(self, front, path, body=b"", connection=None, timeout=WAIT_S, **more):
        """Sends one request to a front and returns the Answer. more: arguments of request."""
        data, answer = self.request(path, body, **more)
        self.front_of[answer.request] = front.number
        return await exchange((front.ip, CALLERS_PORT), data, answer, connection, timeout)

    def read_senders(self):
        """Reads from the fronts' logs which of them sent each request to an engine: that need not be the one that its
        caller asked, as fronts hand requests over."""
        self.senders = {}
        for front in self.fronts:
            for event in front.events("request_sent"):
                attempt = (event["ms"] / 1000, front.number)
                self.senders.setdefault((event["request"], event["server"]), []).append(attempt)

    def sender_of(self, run):
        """Number of the front that sent the request to the engine; without a log line the front that the caller asked."""
        attempts = self.senders.get((run.request, run.engine.name))
        if not attempts:
            return self.front_of.get(run.request)
        return min(attempts, key=lambda attempt: abs(attempt[0] - run.at))[1]

    def runs_of(self, answer):
        return [run for run in self.runs if run.request == answer.request]

    def expected(self, answer):
        """Returns the bodies that are a correct and complete answer, one per model for a stream."""
        if answer.path.startswith(STREAM_PREFIXES):
            after = -1 if answer.after is None else answer.after
            return [complete_stream(model, answer.sent_body, after) for model in MODELS]
        return [plain_answer(answer.method, answer.path, answer.sent_body)]

    async def stop(self):
        for front in self.fronts:
            if front.alive:
                front.signal(signal.SIGCONT)
                await front.kill()
            front.store_endpoint.close()
        for engine in self.engines:
            await engine.crash()
