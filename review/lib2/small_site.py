"""A small deployment for the cases of review/6 to review/10: lovage-front as the deploy file runs it, with the project's
own stand-ins of the platform's store and of the engines (regress/front)."""

import asyncio
import itertools
import json
import os
import random
import re
import shutil
import socket
import sys
import time
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "regress", "front"))

from site_front import CALLERS_PORT, CONTROL_PORT, PEERS_PORT, READY_PORT, STORE_PORT, Site  # noqa: E402
from wire import answer  # noqa: E402

HELD, BROKEN, COULD_NOT_RUN = 0, 10, 2  # run.sh makes 1 of BROKEN, and 2 of anything else
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Figures of the sheet of kgia-lovage, and its limits of a machine.
SETTINGS = {
    "stop_s": 8, "retry_share": 0.9, "retry_extra": 52, "retry_window_s": 10, "reuse_window_s": 6.8, "config_apply_ms": 2000,
    "session_s": 5, "contention_ratio": 2, "link_mbps": 1000, "memory_mb": 110, "descriptors": 4100,
}  # fmt: skip


def deployed_program():
    """The program that the run line of the deploy file names."""
    with open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8") as deploy:
        words = re.search(r'^run = "([^"]*)"', deploy.read(), re.MULTILINE).group(1).split()
    return os.path.join(ROOT, words[0])


def free_subnet():
    """A loopback network of its own, for cases that run side by side."""
    while True:
        subnet = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        try:
            for host, port in itertools.product((1, 2, 3), (CALLERS_PORT, READY_PORT, CONTROL_PORT, PEERS_PORT, STORE_PORT)):
                with socket.socket() as probe:
                    probe.bind((f"{subnet}.{host}", port))
            return subnet
        except OSError:
            continue


class StoreAnswers:
    """Answers of the store with nothing beside what the pages describe."""

    def __init__(self, store):
        self.store = store

    async def answer(self, request, writer):
        status, body = await self.store.call(request)
        writer.write(answer(status, body))
        await writer.drain()
        return True


class SmallSite(Site):
    def __init__(self, fronts, engines):
        super().__init__(deployed_program(), fronts, engines)
        for front in self.fronts:
            front.hedge_share = 0
            front.store_endpoint.answer = StoreAnswers(self.store).answer
        self.more_settings = dict(SETTINGS)
        self.move(free_subnet())

    def move(self, subnet):
        self.subnet = subnet
        for front in self.fronts:
            front.ip = f"{subnet}.{front.number + 1}"
            front.store_endpoint.address = (front.ip, front.store_endpoint.address[1])


class Record:
    """What was sent, answered and run, in record.txt beside the script."""

    def __init__(self, script):
        self.path = os.path.join(os.path.dirname(os.path.abspath(script)), "record.txt")
        self.out = open(self.path, "w", encoding="utf-8")
        self.began = time.monotonic()

    def line(self, text, at=None):
        self.out.write(f"{(at or time.monotonic()) - self.began:8.3f} s  {text}\n")

    def close(self, text):
        self.out.write(text + "\n")
        self.out.close()
        print(text)


def run_case(script, site, case):
    """Runs await case(site, record), which returns the violations found, and exits as review cases do."""
    record = Record(script)
    record.line(f"TROUBLE={int(TROUBLE)}, program {os.path.relpath(deployed_program(), ROOT)}")

    async def whole():
        try:
            return await asyncio.wait_for(case(site, record), 110)
        finally:
            await site.stop()

    try:
        violations = asyncio.run(whole())
    except Exception:  # pylint: disable=broad-except
        record.close("could not run:\n" + traceback.format_exc())
        sys.exit(COULD_NOT_RUN)
    finally:
        if os.environ.get("KEEP"):
            print(site.folder)
        else:
            shutil.rmtree(site.folder, ignore_errors=True)
    record.close("broken: " + "; ".join(violations) if violations else "held")
    sys.exit(BROKEN if violations else HELD)


def put_order(site, service, target, ramp_s):
    return site.store.put("op", f"rollout/{service}", json.dumps({"Service": service, "Target": target, "RampS": ramp_s}))
