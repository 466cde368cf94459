"""Randomised soak of real lovage-front processes: soak.py PROGRAM --seed N --seconds S --fronts N.

The seed gives the schedule of faults, which come in series and overlap. Callers go on all the while,
on kept connections; what they and the engines see is checked while it runs. At the end all is mended
and each front must serve every kind of request again.
"""

import argparse
import asyncio
import json
import random
import signal
import shutil
import sys
import time

from check import attempt_faults, evacuation_faults, site_faults
from relay_tcp import Relay
from site_front import CALLERS, COLD_START_S, Site, add_routes

CALM_S = 3.0  # promises with a bound of time hold for a front that nothing was done to for so long
APPLY_S = 2.0  # a configuration is in force after this
RELAY = 8200
COLD_PER_S = 12  # an engine that has just started bears so many requests a second
NARROW_ROUTES = 2000  # an answer of the store with these has 0.6 MB
NARROW_RATE = 300_000  # bytes a second
ENGINE_MODES = ["mute", "half", "cut", "full", "error", "unsigned", "foreign", "unframed", "lost"]
DOOR_MODES = ["busy", "many", "reset", "silent", "slow", "lost"]
RELAY_MODES = ["slow", "reset", "deaf", "mute", "dark"]


class Soak:
    def __init__(self, args):
        self.site = Site(args.program, fronts=args.fronts, engines=args.engines, seed=args.seed)
        self.random = random.Random(args.seed)
        self.seconds, self.slack = args.seconds, args.slack
        self.narrow = args.narrow
        self.faults = []
        self.answers = []
        self.disturbed = {}  # front number, or "engines", or "store" -> time of the last fault
        self.planned = {}  # front number -> time of the last SIGTERM
        self.revoked = {}  # key -> when its removal was acknowledged
        self.held = {}  # front number -> an action is under way there
        self.counts = {}
        self.until = 0.0

    def count(self, what):
        self.counts[what] = self.counts.get(what, 0) + 1

    def disturb(self, *what):
        for name in what:
            self.disturbed[name] = time.monotonic()

    def calm_since(self, *names):
        return max((self.disturbed.get(name, 0) for name in names), default=0)

    # -- faults

    async def pause(self, least=0.3, most=3.0):
        await asyncio.sleep(self.random.uniform(least, most))

    async def on_front(self, action):
        """One action at a time on a front; most fronts are left alone."""
        front = self.random.choice(self.site.fronts)
        if front.number in self.held or len(self.held) >= max(1, len(self.site.fronts) - 1):
            return
        self.held[front.number] = True
        try:
            await action(front)
        finally:
            del self.held[front.number]

    async def stop(self, front):
        self.planned[front.number] = time.monotonic()
        status = await front.stop()
        if status != 0:
            self.faults.append(f"front {front.number} ended with {status} when it was stopped")
        self.disturb(front.number)
        await front.start()
        self.disturb(front.number)

    async def kill(self, front):
        self.disturb(front.number)
        await front.kill()
        await self.pause(0, 1)
        await front.start()
        self.disturb(front.number)

    async def freeze(self, front):
        self.disturb(front.number)
        front.signal(signal.SIGSTOP)
        await self.pause()
        front.signal(signal.SIGCONT)
        self.disturb(front.number)

    async def shut_door(self, front):
        self.disturb(front.number, "store")
        front.door.set(self.random.choice(DOOR_MODES))
        await self.pause()
        front.door.set("ok")
        self.disturb(front.number, "store")

    async def shut_all_doors(self):
        mode = self.random.choice(DOOR_MODES)
        names = [front.number for front in self.site.fronts] + ["store"]
        self.disturb(*names)
        for front in self.site.fronts:
            front.door.set(mode)
        await self.pause()
        for front in self.site.fronts:
            front.door.set("ok")
        self.disturb(*names)

    async def cut_callers(self, front):
        self.disturb(front.number)
        relay = self.relays[front.number]
        relay.set(self.random.choice(RELAY_MODES))
        await self.pause()
        relay.set("ok")
        self.disturb(front.number)

    async def spoil_engine(self):
        engine = self.random.choice(self.site.engines)
        if engine.mode != "ok":
            return  # its version is bad, or it is being spoiled
        self.disturb("engines")
        engine.mode = self.random.choice(ENGINE_MODES)
        await self.pause()
        engine.mode = "ok"
        self.disturb("engines")

    async def cut_engine(self):
        if not self.engine_relays:
            return
        relay = self.random.choice(self.engine_relays)
        self.disturb("engines")
        relay.set(self.random.choice(RELAY_MODES))
        await self.pause()
        relay.set("ok")
        self.disturb("engines")

    async def replace_engine(self):
        living = [engine for engine in self.site.engines if engine.left_at is None]
        leaving = self.random.choice(living)
        fresh = await self.add_engine(leaving.service, leaving.version)
        self.count(f"engine {fresh.name} for {leaving.name}")
        if self.random.random() < 0.3:
            self.disturb("engines")
            await leaving.crash()
            await self.pause()
        elif self.random.random() < 0.7:
            await leaving.drain()
            await self.pause(2.5, 5)
        await leaving.leave()
        self.disturb("engines")

    async def configure(self):
        key = f"key-{self.random.getrandbits(32):x}"
        old = self.site.keys
        self.site.keys = [old[-1], key]
        await self.site.configure()
        for gone in old[:-1]:
            self.revoked[gone] = time.monotonic()

    def calm_front(self, since):
        """Tells of a front's number whether nothing was done to it shortly before or since then."""
        return lambda number: number is not None and self.calm_since(number) + CALM_S < since

    async def evacuate(self):
        """Never both failure domains at once; what it has been is made cold as it comes back."""
        domain = self.random.choice("ab")
        if self.site.evacuations:
            return
        await self.site.evacuate(domain)
        since = self.site.evacuations[domain]
        await self.pause(1, 6)
        self.faults += evacuation_faults(self.site, domain, since + self.slack, self.calm_front(since))
        await self.site.take_back(domain)

    async def forget(self):
        self.site.store.forget()

    async def roll_out(self):
        if self.rolling:
            return
        self.rolling = True
        self.version_number += 1
        version = f"v{self.version_number}"
        bad = self.random.random() < 0.5
        fresh = [await self.add_engine("texts", version) for _ in range(2)]
        for engine in fresh:
            engine.mode = "error" if bad else "ok"
        order = {"Service": "texts", "Target": version, "RampS": 8}
        await self.site.store.put("op", "rollout/texts", json.dumps(order))
        await asyncio.sleep(9)
        status = self.site.store.get("status", "rollout/texts") or {}
        done = status.get("State") if status.get("Target") == version else "not begun"
        self.count(f"roll-out {'bad' if bad else 'good'} {done}")
        for engine in list(self.site.engines):
            if engine.service != "texts" or engine.left_at or done not in ("completed", "rolled_back"):
                continue
            if (engine.version == version) == (done == "rolled_back"):
                await engine.drain()
                asyncio.ensure_future(self.leave_later(engine))
        if bad and done == "completed":
            self.faults.append(f"a version that fails all requests was completed: {version}")
        self.disturb("engines")
        self.rolling = False

    async def leave_later(self, engine):
        await asyncio.sleep(4)
        await engine.leave()

    async def one_fault(self):
        actions = [
            lambda: self.on_front(self.stop), lambda: self.on_front(self.kill), lambda: self.on_front(self.freeze),
            lambda: self.on_front(self.shut_door), lambda: self.on_front(self.cut_callers), self.shut_all_doors,
            self.spoil_engine, self.spoil_engine, self.cut_engine, self.replace_engine, self.configure, self.configure,
            self.forget, self.roll_out, self.evacuate,
        ]  # fmt: skip
        await self.random.choice(actions)()

    async def inject(self):
        """A series of faults; several overlap."""
        while time.monotonic() < self.until:
            await self.one_fault()
            await self.pause(0.05, 0.4)

    # -- callers

    async def caller(self, number):
        keep, front = None, None
        rng = random.Random(number)
        while time.monotonic() < self.until:
            if keep is None:
                front = rng.choice(self.site.fronts)
                try:
                    keep = await asyncio.wait_for(asyncio.open_connection(*self.relays[front.number].address), 1)
                except (OSError, asyncio.TimeoutError):
                    await asyncio.sleep(0.1)
                    continue
            kind = rng.choice(["/text/", "/once/", "/again/"])
            key = self.site.keys[-1] if rng.random() < 0.9 else rng.choice(list(self.revoked) or self.site.keys)
            sent = time.monotonic()
            path, body = f"{kind}{number}", b"%d.%d" % (number, rng.getrandbits(60))
            answer = await self.site.call(front, path, body, keep=keep, key=key, timeout=8)
            answer.front, answer.key, answer.sent_at = front, key, sent
            self.judge(answer)
            if not answer.whole or answer.fields.get("connection") == "close":
                keep[1].close()
                keep = None
            await asyncio.sleep(rng.uniform(0, 0.05))

    def judge(self, answer):
        self.count(f"answers {answer.status}{'' if answer.whole else ' cut'}")
        self.faults += attempt_faults(self.site, answer)
        name = answer.front.number
        calm_since = self.calm_since(name)
        revoked_at = self.revoked.get(answer.key)
        limit = APPLY_S + self.slack
        if revoked_at and answer.status == 200 and answer.sent_at > max(revoked_at, calm_since + CALM_S) + limit:
            self.faults.append(f"{answer!r}: served by a key revoked {answer.sent_at - revoked_at:.2f} s before")
        planned = answer.sent_at - 1 < self.planned.get(name, 0) < answer.ended_at
        undisturbed = answer.sent_at > self.calm_since(name, "engines") + CALM_S
        if planned and not answer.whole and self.site.runs_of(answer) and undisturbed:
            self.faults.append(f"{answer!r}: cut by a graceful stop of front {name}")

    # -- the run

    async def add_engine(self, service, version="v1"):
        engine = self.site.add_engine(service, version)
        if self.until:
            engine.chill(COLD_START_S)
        if self.random.random() < 0.5:
            await engine.start()
            return engine
        public, engine.address = engine.address, (engine.address[0], engine.address[1] + 1000)
        relay = Relay(public, engine.address)
        await relay.start()
        engine.public = public
        self.engine_relays.append(relay)
        await engine.start()
        return engine

    async def start(self):
        self.relays, self.engine_relays = {}, []
        self.rolling, self.version_number = False, 1
        self.site.make_engine = self.add_engine
        self.site.cold_per_s = COLD_PER_S
        if self.narrow:
            add_routes(self.site, NARROW_ROUTES)
            for front in self.site.fronts:
                front.door.rate = NARROW_RATE
        await self.site.start()
        for front in self.site.fronts:
            self.relays[front.number] = Relay((front.ip, RELAY), (front.ip, CALLERS))
            await self.relays[front.number].start()
        self.until = time.monotonic() + self.seconds

    async def mend(self):
        for engine in self.site.engines:
            engine.mode = "ok"
        for front in self.site.fronts:
            front.door.set("ok")
            front.signal(signal.SIGCONT)
            if not front.alive:
                await front.start()
        for relay in [*self.relays.values(), *self.engine_relays]:
            relay.set("ok")
        await asyncio.sleep(CALM_S)

    async def recovered(self):
        """Each front serves each kind of request once all is mended."""
        for front in self.site.fronts:
            await self.site.wait(front.is_ready, f"front {front.number} ready again")
            for kind in ("/text/", "/once/", "/again/"):

                async def served(front=front, kind=kind):
                    answer = await self.site.call(front, kind, b"after", key=self.site.keys[-1])
                    self.faults.extend(attempt_faults(self.site, answer))
                    return answer.status == 200

                await self.site.wait(served, f"front {front.number} serves {kind}")

    async def run(self, callers):
        await self.start()
        tasks = [self.caller(number) for number in range(callers)] + [self.inject() for _ in range(4)]
        results = await asyncio.gather(*tasks, return_exceptions=True)
        self.faults += [f"the soak itself failed: {error!r}" for error in results if isinstance(error, Exception)]
        await self.mend()
        try:
            await self.recovered()
        except AssertionError as error:
            self.faults.append(str(error))
        calm = lambda at: self.calm_since("store", *range(len(self.site.fronts))) + CALM_S + self.slack
        self.faults += site_faults(self.site, calm)


async def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("program")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--fronts", type=int, default=4)
    parser.add_argument("--engines", type=int, default=8)
    parser.add_argument("--callers", type=int, default=12)
    parser.add_argument("--slack", type=float, default=0.5, help="seconds that bounds of time are widened by")
    parser.add_argument("--narrow", action="store_true", help="a large configuration over slow links to the store")
    args = parser.parse_args()
    soak = Soak(args)
    try:
        await soak.run(args.callers)
    finally:
        # Connections that are still open are ended here; asyncio would report each as an error.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        await soak.site.stop()
        for relay in [*soak.relays.values(), *soak.engine_relays]:
            relay.close()
    for what, number in sorted(soak.counts.items()):
        print(f"  {number} {what}")
    for fault in soak.faults[:20]:
        print(f"VIOLATED {fault}")
    print(f"seed {args.seed}: {len(soak.site.runs)} arrivals, {len(soak.faults)} violations")
    if soak.faults:
        print(f"logs in {soak.site.folder}")
        return 1
    shutil.rmtree(soak.site.folder)
    return 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
