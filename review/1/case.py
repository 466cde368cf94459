"""Streams through a front whose zone loses its engines while some other engines are grey."""

import asyncio
import os
import random
import signal
import sys
import time

CASE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(CASE), "lib"))

from site_lib import KEY, MODELS, Front, Site, Zone  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ROUNDS = 23
ROUND_S = 4.0
LOST_ZONES = 3
CRASH_AT_S, CRASH_FOR_S = 1.0, 2.0
GREY_FROM_S, GREY_TO_S = 0.98, 3.9
PER_S = 40  # streams that begin at the front of each zone that loses its engines
HOST = "ficu95.example"
ROUTES = [{"Name": "r-text", "Host": HOST, "Prefix": "/pufi791/", "Kind": "streaming", "TimeoutMs": 15000, "SloMs": 2000,
           "Priority": 1, "Sizes": MODELS, "Service": "models", "MaxAttempts": 3, "Public": False, "Sticky": True,
           "Resumable": True, "GapAimMs": 1000}]  # fmt: skip
SERVICES = [{"Name": "models", "HealthPath": "/health", "MaxConns": 310, "Protocol": "h1", "Tls": False,
             "Engine": {"Slots": 48, "KvCapacity": 444000, "Models": [{"Name": m, "Cost": 0.1} for m in MODELS]}}]  # fmt: skip


class Broken(Exception):
    """Bytes that are no answer in the protocol."""


async def read_stream(reader):
    """Returns (status, events, complete). Raises Broken if bytes come that are no answer in the protocol."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    except (asyncio.IncompleteReadError, OSError):
        return 0, [], False
    status = int(head[0].split(" ")[1])
    fields = {line.partition(":")[0].lower(): line.partition(":")[2].strip() for line in head[1:]}
    if fields.get("transfer-encoding") != "chunked":
        try:
            await reader.readexactly(int(fields.get("content-length", 0)))
        except (asyncio.IncompleteReadError, OSError):
            return status, [], False
        return status, [], True
    body = b""
    while True:
        try:
            line = await reader.readuntil(b"\r\n")
        except (asyncio.IncompleteReadError, OSError):
            return status, body, False
        try:
            size = int(line.strip(), 16)
        except ValueError:
            rest = await asyncio.wait_for(reader.read(600), 2)
            raise Broken((line + rest).decode("latin-1"))
        try:
            data = await reader.readexactly(size + 2)
        except (asyncio.IncompleteReadError, OSError):
            return status, body, False
        if size == 0:
            return status, body, True
        body += data[:-2]


class Run:
    def __init__(self, site):
        self.site = site
        self.sent = self.whole = self.cut = self.refused = 0
        self.broken = []

    async def call(self, front):
        request = f"{random.getrandbits(64):016x}"
        head = (f"POST /pufi791/2f HTTP/1.1\r\nHost: {HOST}\r\nLovagehub-Request-Id: {request}\r\n"
                f"Lovagehub-Model: *\r\nLovagehub-Token-Counts: 826,200\r\nLovagehub-Prompt-Prefix: aa11:198,{request}:628\r\n"
                f"Lovagehub-Deadline-Ms: 15000\r\nAuthorization: Token {KEY}\r\nContent-Length: 16\r\n\r\n{request}")  # fmt: skip
        self.sent += 1
        self.site.note("sent", request=request, front=front.name)
        try:
            reader, writer = await asyncio.open_connection(*front.address)
        except OSError:
            self.refused += 1
            return
        writer.write(head.encode())
        try:
            status, body, complete = await asyncio.wait_for(read_stream(reader), 20)
        except Broken as broken:
            self.broken.append(request)
            self.site.note("answered", request=request, bytes_that_are_no_answer=str(broken))
            return
        except asyncio.TimeoutError:
            status, body, complete = -1, b"", False
        finally:
            writer.close()
        self.site.note("answered", request=request, status=status, complete=complete, bytes=len(body))
        if status != 200:
            self.refused += 1
        elif complete:
            self.whole += 1
        else:
            self.cut += 1

    async def traffic(self, front, until):
        calls = set()
        while time.time() < until:
            task = asyncio.ensure_future(self.call(front))
            calls.add(task)
            task.add_done_callback(calls.discard)
            await asyncio.sleep(random.expovariate(PER_S))
        await asyncio.gather(*calls)


async def trouble(site):
    """In each round the engines of one zone crash, in turn, while one engine of each other zone is grey."""
    for number in range(ROUNDS):
        begin, lost = time.time(), site.zones[number % LOST_ZONES]
        others = [zone for zone in site.zones if zone is not lost]
        await asyncio.sleep(GREY_FROM_S)
        site.note("one engine of each other zone is grey", lost=lost.zone)
        for zone in others:
            zone.process.send_signal(signal.SIGUSR1)
        await asyncio.sleep(begin + CRASH_AT_S - time.time())
        site.note("engines of a zone crash", zone=lost.zone)
        await lost.crash()
        await asyncio.sleep(CRASH_FOR_S)
        await lost.start()
        await asyncio.sleep(begin + GREY_TO_S - time.time())
        for zone in others:
            zone.process.send_signal(signal.SIGUSR2)
        await asyncio.sleep(begin + ROUND_S - time.time())


async def main():
    site = Site(CASE)
    site.fronts = [Front(site, number, zone) for number, zone in enumerate(["za", "zb", "zc", "zd"])]
    site.zones = [Zone(site, zone, number, 5) for number, zone in enumerate(["za", "zb", "zc", "zd"])]
    site.configure(ROUTES, SERVICES)
    run = Run(site)
    try:
        await site.start()
        until = time.time() + ROUNDS * ROUND_S
        tasks = [run.traffic(front, until) for front in site.fronts[:LOST_ZONES]]
        if TROUBLE:
            tasks.append(trouble(site))
        await asyncio.gather(*tasks)
    finally:
        await site.stop()
    print(f"{run.sent} streams: {run.whole} whole, {run.cut} cut, {run.refused} refused or failed,"
          f" {len(run.broken)} with bytes that are no answer: {run.broken}")
    return 1 if run.broken else 0


async def until_terminated():
    task = asyncio.ensure_future(main())
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await task


try:
    sys.exit(asyncio.run(until_terminated()))
except (RuntimeError, asyncio.CancelledError) as error:
    print("not run to its end:", error)
    sys.exit(2)
