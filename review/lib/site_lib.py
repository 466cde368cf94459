"""A small deployment on loopback: the store, engine processes by zone, and lovage-front processes."""

import asyncio
import json
import os
import random
import shutil
import socket
import sys
import tempfile
import time

from store import Store
from wire import read_head

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
HEARTBEAT_S = 1.2
KEY = "n2ctnfzs989anu6wsjnb"
MODELS = ["m0", "m1", "m2"]


def deploy_command(path):
    """The words of the command in deploy/system.toml, with the path of the settings file."""
    with open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8") as lines:
        run = next(line for line in lines if line.startswith("run = "))
    words = run.split('"')[1].split()
    return [os.path.join(ROOT, words[0])] + [path if word.endswith("boot.toml") else word for word in words[1:]]


def free_base():
    """A part 127.A.B of loopback addresses on which the ports of a site are free."""
    while True:
        base = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        try:
            for port in (8001, 8002, 8003, 8100, 9000):
                probe = socket.socket()
                probe.bind((f"{base}.1", port))
                probe.close()
            return base
        except OSError:
            continue


class Front:
    def __init__(self, site, number, zone):
        self.site, self.zone = site, zone
        self.name, self.ip = f"front-{zone}-{number}", f"{site.base}.{10 + number}"
        self.process = None

    @property
    def address(self):
        return (self.ip, 8001)

    def settings(self):
        """As deploy/front.json, with the bounds of the site file coopgen-bajio.toml."""
        return {
            "vm": self.name, "failure_domain": self.zone, "ip": self.ip, "callers": f"{self.ip}:8001",
            "ready": f"{self.ip}:8002", "control": f"{self.ip}:8003", "store": "%s:%d" % self.site.store.address,
            "peer_port": 8004, "seeds": [f"{front.ip}:8003" for front in self.site.fronts[:3]], "stop_s": 8,
            "retry_share": 0.9, "retry_extra": 58, "retry_window_s": 10, "reuse_window_s": 6, "session_s": 5,
            "contention_ratio": 2, "link_mbps": 1000.0, "descriptors": 4100,
        }  # fmt: skip

    async def start(self):
        path = os.path.join(self.site.folder, f"{self.name}.json")
        with open(path, "w", encoding="utf-8") as out:
            json.dump(self.settings(), out)
        log = open(os.path.join(self.site.folder, f"{self.name}.log"), "ab")
        self.process = await asyncio.create_subprocess_exec(*deploy_command(path), stdout=log, stderr=log, cwd=ROOT)
        log.close()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.ip, 8002)
            writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 2)
            writer.close()
            return head is not None and head.status == 200
        except (OSError, asyncio.TimeoutError):
            return False


class Zone:
    """The engines of a service in one zone. Their entries are written as the pages tell it: by heartbeats while they
    run, and removed after three intervals of silence."""

    def __init__(self, site, zone, number, count, service="models", version="v1"):
        self.site, self.zone, self.count, self.service = site, zone, count, service
        self.version = version
        self.ip, self.port = f"{site.base}.{100 + number}", 9000
        self.starts = 0
        self.process = None
        self.beats = None

    def ids(self):
        return [f"i-{self.zone}-{self.starts}-{number}" for number in range(self.count)]

    async def start(self):
        self.starts += 1
        self.port += self.count  # a new incarnation has a new id and here a new port
        words = [self.zone, self.ip, str(self.port), str(self.count), str(self.starts), self.site.runs]
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, os.path.join(HERE, "engines.py"), *words, stdout=asyncio.subprocess.PIPE
        )
        await self.process.stdout.readline()
        self.beats = asyncio.ensure_future(self.beat(self.ids(), self.port))

    async def beat(self, ids, port):
        seq = 0
        while True:
            seq += 1
            for number, name in enumerate(ids):
                entry = {"Service": self.service, "Address": f"{self.ip}:{port + number}", "Zone": self.zone,
                         "Version": self.version, "Slots": 48, "State": "ready", "ColdLeftMs": 0, "Seq": seq}  # fmt: skip
                self.site.store.put_json("servers", name, entry)
            await asyncio.sleep(HEARTBEAT_S)

    async def crash(self):
        """Kills the engines' process; their entries go after three heartbeat intervals."""
        ids = self.ids()
        self.beats.cancel()
        self.process.kill()
        await self.process.wait()
        asyncio.ensure_future(self.expire(ids))

    async def expire(self, ids):
        await asyncio.sleep(3 * HEARTBEAT_S)
        for name in ids:
            self.site.store.put("servers", name, None)


class Site:
    def __init__(self, case):
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.base = free_base()
        self.runs = os.path.join(self.folder, "runs.txt")
        self.record = open(os.path.join(case, "record.txt"), "w", encoding="utf-8", buffering=1)
        self.store = Store((f"{self.base}.1", 8100))
        self.fronts, self.zones = [], []
        self.started = time.time()
        self.version = 0

    def note(self, what, **fields):
        self.record.write(json.dumps({"at": round(time.time(), 4), "what": what, **fields}) + "\n")

    def configure(self, routes, services):
        self.version += 3
        self.store.put_json("op", "config", {
            "Version": self.version, "Routes": routes, "Services": services,
            "Tenants": [{"Name": "hule930", "ApiKeys": [KEY], "Priority": 1}],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
        })  # fmt: skip

    async def start(self):
        await self.store.start()
        for zone in self.zones:
            await zone.start()
        for front in self.fronts:
            await front.start()
        until = time.time() + 20
        while not all([await front.is_ready() for front in self.fronts]):
            if time.time() > until:
                raise RuntimeError("fronts don't become ready")
            await asyncio.sleep(0.1)
        await asyncio.sleep(2)  # until the fronts know each other

    async def stop(self):
        for part in self.fronts + self.zones:
            if part.process and part.process.returncode is None:
                part.process.kill()
                await part.process.wait()
        if os.path.exists(self.runs):
            with open(self.runs, encoding="utf-8") as lines:
                for line in lines:
                    self.record.write(line)
        self.record.close()
        shutil.rmtree(self.folder)
