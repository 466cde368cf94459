"""Randomised soak test of real lovage-front processes: soak.py PROGRAM --seed N --seconds S --fronts N.

The seed determines the schedule of faults, several of which overlap. Meanwhile callers send requests
on persistent connections, and each answer is checked against what the engines recorded. At the end all
faults are cleared, and each front must serve every kind of request again.
"""

import argparse
import asyncio
import json
import random
import signal
import shutil
import sys
import time

from check import attempt_violations, evacuation_violations, leaving_violations, limit_violations, part_violations, rest_violations, site_violations
from engines import digest
from relay_tcp import Relay
from site_front import CALLERS_PORT, COLD_START_S, CONTENDED_SETTINGS, NOTE_ROUTE, Site, add_routes

UNDISTURBED_S = 3.0  # checks with a time limit apply to a front without a fault for so long
APPLY_S = 2.0  # a new configuration is in force at a front after this
PART_APPLY_S = 3.0  # after the fifth crash under a part of prompts fronts refuse requests with it
TOLD_S = 0.5  # a front that has passed on an answer with a limit keeps to it after this
LIMIT_APPLY_S = 3.0  # an engine's limit holds from so long after it was first named
LIMITS_PER_S = [0, 0.7, 1.7, 3, 8]
RELAY_PORT = 8200  # port of the relay before a front's callers' port
COLD_PER_S = 12  # requests per second that a cold engine may get
NARROW_ROUTES = 2000  # the store's answer with these has 0.6 MB
NARROW_BYTES_PER_S = 300_000
ENGINE_MODES = ["mute", "half", "cut", "full", "error", "unsigned", "foreign", "unframed", "lost"]
STORE_ENDPOINT_MODES = ["busy", "many", "reset", "silent", "slow", "lost"]
RELAY_MODES = ["slow", "reset", "drop_from_client", "drop_from_server", "drop_both"]


class Soak:
    def __init__(self, args):
        self.site = Site(args.program, fronts=args.fronts, engines=args.engines, seed=args.seed)
        self.random, self.notice_random = random.Random(args.seed), random.Random(~args.seed)
        self.return_random = random.Random(f"returns {args.seed}")
        self.part_random = random.Random(f"parts {args.seed}")
        self.crash_parts = set()  # of all engines
        self.bad_versions = set()  # that fail all requests
        self.seconds, self.slack = args.seconds, args.slack
        self.narrow = args.narrow
        self.kinds = ["/text/", "/once/", "/again/"]
        if args.contended:
            self.site.routes.append(dict(NOTE_ROUTE))
            self.site.more_settings = CONTENDED_SETTINGS
            self.kinds.append("/note/")
        self.violations = []
        self.answers = []
        # (front number, engine, time) of each answer that a front passed on with a limit, or that says the engine leaves
        self.told_limits, self.told_leaving = [], []
        self.interruptions = {}  # front number -> times of its stops, kills and freezes, and of their ends
        self.disturbed = {}  # front number, or "engines", or "store" -> time of the last fault
        self.faults = {}  # front number -> times at which any fault there began or ended
        self.graceful_stops = {}  # front number -> time of the last SIGTERM
        self.revoked = {}  # key -> when the store acknowledged its removal
        self.fronts_with_fault = {}  # numbers of the fronts that have a fault now
        self.counts = {}  # text for the report -> number of times
        self.until = 0.0

    def count(self, what):
        self.counts[what] = self.counts.get(what, 0) + 1

    def disturb(self, *what):
        for name in what:
            self.disturbed[name] = time.monotonic()
            self.faults.setdefault(name, []).append(time.monotonic())

    def interrupt(self, front):
        self.disturb(front.number)
        self.interruptions.setdefault(front.number, []).append(time.monotonic())

    def undisturbed_since(self, *names):
        """Time of the last fault of any of these; 0 if there was none."""
        return max((self.disturbed.get(name, 0) for name in names), default=0)

    # -- faults

    async def pause(self, min_s=0.3, max_s=3.0):
        await asyncio.sleep(self.random.uniform(min_s, max_s))

    async def fault_one_front(self, action):
        """Injects a fault into a random front, unless that has one already or only one front is without."""
        front = self.random.choice(self.site.fronts)
        if front.number in self.fronts_with_fault or len(self.fronts_with_fault) >= max(1, len(self.site.fronts) - 1):
            return
        self.fronts_with_fault[front.number] = True
        try:
            await action(front)
        finally:
            del self.fronts_with_fault[front.number]

    async def stop(self, front):
        self.graceful_stops[front.number] = time.monotonic()
        self.interruptions.setdefault(front.number, []).append(time.monotonic())
        status = await front.stop()
        if status != 0:
            self.violations.append(f"front {front.number} ended with {status} when it was stopped")
        self.interrupt(front)
        await front.start()
        self.interrupt(front)

    async def kill(self, front):
        self.interrupt(front)
        await front.kill()
        await self.pause(0, 1)
        await front.start()
        self.interrupt(front)

    async def freeze(self, front):
        self.interrupt(front)
        front.signal(signal.SIGSTOP)
        await self.pause()
        front.signal(signal.SIGCONT)
        self.interrupt(front)

    async def fault_store_endpoint(self, front):
        self.disturb(front.number, "store")
        front.store_endpoint.set(self.random.choice(STORE_ENDPOINT_MODES))
        await self.pause()
        front.store_endpoint.set("ok")
        self.disturb(front.number, "store")

    async def fault_all_store_endpoints(self):
        mode = self.random.choice(STORE_ENDPOINT_MODES)
        names = [front.number for front in self.site.fronts] + ["store"]
        self.disturb(*names)
        for front in self.site.fronts:
            front.store_endpoint.set(mode)
        await self.pause()
        for front in self.site.fronts:
            front.store_endpoint.set("ok")
        self.disturb(*names)

    async def fault_caller_link(self, front):
        self.disturb(front.number)
        relay = self.relays[front.number]
        relay.set(self.random.choice(RELAY_MODES))
        await self.pause()
        relay.set("ok")
        self.disturb(front.number)

    async def fault_engine(self):
        engine = self.random.choice(self.site.engines)
        if engine.mode != "ok":
            return  # it has a fault already, or a bad version
        self.disturb("engines")
        engine.mode = self.random.choice(ENGINE_MODES)
        await self.pause()
        engine.mode = "ok"
        self.disturb("engines")

    async def fault_engine_link(self):
        if not self.engine_relays:
            return
        relay = self.random.choice(self.engine_relays)
        self.disturb("engines")
        relay.set(self.random.choice(RELAY_MODES))
        await self.pause()
        relay.set("ok")
        self.disturb("engines")

    async def limit_engine(self):
        """An engine names a limit in its answers for some seconds."""
        engine = self.notice_random.choice([engine for engine in self.site.engines if not engine.left_at])
        if engine.limit is None:
            engine.set_limit(self.notice_random.choice(LIMITS_PER_S))
            self.count("limits named")
            await asyncio.sleep(self.notice_random.uniform(5, 10))
            engine.set_limit(None)
        await asyncio.sleep(self.notice_random.uniform(0.1, 1))

    async def inject_notices(self):
        """Lets engines state things about themselves, beside the other faults and with draws of its own, so that the
        schedule of a seed stays the same."""
        while time.monotonic() < self.until:
            await self.limit_engine()
            await self.turn_away()

    async def inject_returns(self):
        """Lets the store come back from a copy, beside the other faults and with draws of its own."""
        rng = self.return_random
        while time.monotonic() < self.until:
            copy = self.site.store.copy()
            await asyncio.sleep(rng.uniform(0.5, 6))
            names = [front.number for front in self.site.fronts] + ["store"]
            self.disturb(*names)
            for front in self.site.fronts:
                front.store_endpoint.set("reset")
            await asyncio.sleep(rng.uniform(0.1, 1.5))
            lost = self.site.store.restore(copy)
            for front in self.site.fronts:
                front.store_endpoint.set("ok")
            await self.site.store.write_again(lost, rng.uniform(0, 1) / (len(lost) + 1))
            self.disturb(*names)
            self.count("returns of the store from a copy")
            await asyncio.sleep(rng.uniform(4, 10))

    async def crash_by_part(self):
        """Requests crash engines for some seconds, no two alike, as all have one part in their prompts; their first part
        is the one of the sound requests."""
        part = "c%x" % self.part_random.getrandbits(40)
        self.crash_parts.add(part)
        self.count("parts that crash engines")
        end, calls = time.monotonic() + self.part_random.uniform(5, 10), []
        while time.monotonic() < min(end, self.until):
            self.disturb("engines")
            body = b"%s.%d" % (part.encode(), len(calls))
            prompt = f"aa:300,{part}:200,{digest(body)}:100"
            front = self.part_random.choice(self.site.fronts)
            calls.append(asyncio.ensure_future(self.site.call(front, "/text/", body, prompt=prompt, key=self.site.keys[-1], timeout=8)))
            await asyncio.sleep(self.part_random.uniform(0.1, 0.4))
        await asyncio.gather(*calls, return_exceptions=True)
        self.disturb("engines")

    async def inject_parts(self):
        """Lets parts of prompts crash engines, beside the other faults and with draws of its own."""
        while time.monotonic() < self.until:
            await asyncio.sleep(self.part_random.uniform(0.5, 5))
            await self.crash_by_part()

    def was_in_touch(self, run):
        """Whether the front that sent the run had no fault for so long that it has to know what the others found."""
        faults = self.faults.get(self.site.sender_of(run), [])
        return not any(run.at - UNDISTURBED_S - self.slack <= at <= run.at for at in faults)

    def was_told(self, run):
        """Whether the front that sent the run had passed on an answer with the engine's limit, and was neither stopped
        nor frozen since."""
        front = self.site.sender_of(run)
        return run.at > run.limit_since + LIMIT_APPLY_S and any(
            told == front and engine == run.engine.name and run.limit_since < at < run.at - TOLD_S
            and not self.was_interrupted(front, at, run.at)
            for told, engine, at in self.told_limits
        )  # fmt: skip

    def was_interrupted(self, front, since, until):
        """Whether the front was stopped, killed or frozen between these times."""
        return any(since <= at <= until for at in self.interruptions.get(front, []))

    async def turn_away(self):
        """An engine turns all requests away for some seconds, and asks each front for rest."""
        engine = self.notice_random.choice([engine for engine in self.site.engines if not engine.left_at])
        engine.turns_away, engine.rest = True, self.notice_random.uniform(1, 4)
        self.count("engines that ask for rest")
        await asyncio.sleep(self.notice_random.uniform(1, 5))
        engine.turns_away, engine.rest = False, None

    async def replace_engine(self):
        living = [engine for engine in self.site.engines if engine.left_at is None]
        leaving = self.random.choice(living)
        replacement = await self.start_engine(leaving.service, leaving.version)
        self.count(f"engine {replacement.name} for {leaving.name}")
        if self.random.random() < 0.3:
            self.disturb("engines")
            await leaving.crash()
            await self.pause()
        elif self.random.random() < 0.7:
            leaving.says_leaving = True
            await leaving.drain()
            await self.pause(2.5, 5)
        await leaving.leave()
        self.disturb("engines")

    async def configure(self):
        key = f"key-{self.random.getrandbits(32):x}"
        old = self.site.keys
        self.site.keys = [old[-1], key]
        await self.site.configure()
        for revoked in old[:-1]:
            self.revoked[revoked] = time.monotonic()

    def undisturbed_front(self, since):
        """Returns a function of a front's number: whether the front had no fault shortly before since or after it."""
        return lambda number: number is not None and self.undisturbed_since(number) + UNDISTURBED_S < since

    async def evacuate(self):
        """Evacuates a failure domain for some seconds, unless one is evacuated; its engines are cold afterwards."""
        domain = self.random.choice("ab")
        if self.site.evacuations:
            return
        await self.site.evacuate(domain)
        since = self.site.evacuations[domain]
        await self.pause(1, 6)
        self.violations += evacuation_violations(self.site, domain, since + self.slack, self.undisturbed_front(since))
        await self.site.end_evacuation(domain)

    async def drop_history(self):
        self.site.store.drop_history()

    async def roll_out(self):
        if self.rollout_running:
            return
        self.rollout_running = True
        self.version_number += 1
        version = f"v{self.version_number}"
        bad = self.random.random() < 0.5
        if bad:
            self.bad_versions.add(version)
        for _ in range(2):
            await self.start_engine("texts", version)
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
            self.violations.append(f"roll-out of a version that fails all requests was completed: {version}")
        self.disturb("engines")
        self.rollout_running = False

    async def leave_later(self, engine):
        await asyncio.sleep(4)
        await engine.leave()

    async def inject_one(self):
        actions = [
            lambda: self.fault_one_front(self.stop), lambda: self.fault_one_front(self.kill),
            lambda: self.fault_one_front(self.freeze), lambda: self.fault_one_front(self.fault_store_endpoint),
            lambda: self.fault_one_front(self.fault_caller_link), self.fault_all_store_endpoints,
            self.fault_engine, self.fault_engine, self.fault_engine_link, self.replace_engine, self.configure,
            self.configure, self.drop_history, self.roll_out, self.evacuate,
        ]  # fmt: skip
        await self.random.choice(actions)()

    async def inject(self):
        """Injects faults one after another; several such loops run, so that faults overlap."""
        while time.monotonic() < self.until:
            await self.inject_one()
            await self.pause(0.05, 0.4)

    # -- callers

    async def caller(self, number):
        connection, front = None, None
        rng = random.Random(number)
        while time.monotonic() < self.until:
            if connection is None:
                front = rng.choice(self.site.fronts)
                try:
                    connection = await asyncio.wait_for(asyncio.open_connection(*self.relays[front.number].address), 1)
                except (OSError, asyncio.TimeoutError):
                    await asyncio.sleep(0.1)
                    continue
            kind = rng.choice(self.kinds)
            key = self.site.keys[-1] if rng.random() < 0.9 else rng.choice(list(self.revoked) or self.site.keys)
            sent = time.monotonic()
            path, body = f"{kind}{number}", b"%d.%d" % (number, rng.getrandbits(60))
            answer = await self.site.call(front, path, body, connection=connection, key=key, timeout=8)
            answer.front, answer.key, answer.sent_at = front, key, sent
            self.check_answer(answer)
            if not answer.complete or answer.fields.get("connection") == "close":
                connection[1].close()
                connection = None
            await asyncio.sleep(rng.uniform(0, 0.05))

    def check_answer(self, answer):
        self.count(f"answers {answer.status}{'' if answer.complete else ' cut'}")
        self.violations += attempt_violations(self.site, answer)
        name = answer.front.number
        told = (name, answer.fields.get("lovagehub-server-signature", "").removeprefix("sig."), answer.ended_at)
        if "server-limit" in answer.fields:
            self.told_limits.append(told)
        if "server-leaving" in answer.fields:
            self.told_leaving.append(told)
        undisturbed_since = self.undisturbed_since(name)
        revoked_at = self.revoked.get(answer.key)
        limit = APPLY_S + self.slack
        if revoked_at and answer.status == 200 and answer.sent_at > max(revoked_at, undisturbed_since + UNDISTURBED_S) + limit:
            self.violations.append(f"{answer!r}: served with a key revoked {answer.sent_at - revoked_at:.2f} s before")
        during_stop = answer.sent_at - 1 < self.graceful_stops.get(name, 0) < answer.ended_at
        undisturbed = answer.sent_at > self.undisturbed_since(name, "engines") + UNDISTURBED_S
        if during_stop and not answer.complete and self.site.runs_of(answer) and undisturbed:
            self.violations.append(f"{answer!r}: truncated by a graceful stop of front {name}")

    # -- the run

    async def start_engine(self, service, version="v1"):
        """Starts an engine, half of them behind a relay; one that is added during the run is cold."""
        engine = self.site.add_engine(service, version)
        engine.crash_parts, engine.returns_as_new = self.crash_parts, True
        engine.mode = "error" if version in self.bad_versions else "ok"
        if self.until:
            engine.set_cold(COLD_START_S)
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
        self.rollout_running, self.version_number = False, 1
        self.site.start_engine = self.start_engine
        self.site.cold_per_s = COLD_PER_S
        if self.narrow:
            add_routes(self.site, NARROW_ROUTES)
            for front in self.site.fronts:
                front.store_endpoint.rate = NARROW_BYTES_PER_S
        await self.site.start()
        for front in self.site.fronts:
            self.relays[front.number] = Relay((front.ip, RELAY_PORT), (front.ip, CALLERS_PORT))
            await self.relays[front.number].start()
        self.until = time.monotonic() + self.seconds

    async def clear_faults(self):
        for engine in self.site.engines:
            engine.mode, engine.turns_away = "ok", False
            engine.set_limit(None)
        for front in self.site.fronts:
            front.store_endpoint.set("ok")
            front.signal(signal.SIGCONT)
            if not front.alive:
                await front.start()
        for relay in [*self.relays.values(), *self.engine_relays]:
            relay.set("ok")
        await asyncio.sleep(UNDISTURBED_S)

    async def check_recovery(self):
        """Checks that each front is ready and serves each kind of request after the faults."""
        for front in self.site.fronts:
            await self.site.wait(front.is_ready, f"front {front.number} ready again")
            for kind in self.kinds:

                async def served(front=front, kind=kind):
                    answer = await self.site.call(front, kind, b"after", key=self.site.keys[-1])
                    self.violations.extend(attempt_violations(self.site, answer))
                    return answer.status == 200

                await self.site.wait(served, f"front {front.number} serves {kind}")

    async def run(self, callers):
        await self.start()
        tasks = [self.caller(number) for number in range(callers)] + [self.inject() for _ in range(4)] + [self.inject_notices(), self.inject_returns(), self.inject_parts()]
        results = await asyncio.gather(*tasks, return_exceptions=True)
        self.violations += [f"exception in the soak: {error!r}" for error in results if isinstance(error, Exception)]
        await self.clear_faults()
        try:
            await self.check_recovery()
        except AssertionError as error:
            self.violations.append(str(error))
        self.site.read_senders()
        undisturbed = lambda at: self.undisturbed_since("store", *range(len(self.site.fronts))) + UNDISTURBED_S + self.slack
        self.violations += site_violations(self.site, undisturbed)
        self.violations += limit_violations(self.site, self.was_told)
        self.violations += leaving_violations(self.site, self.told_leaving, self.was_interrupted)
        self.violations += rest_violations(self.site, lambda front, run, refused_at: not run.engine.public and not self.was_interrupted(front, refused_at, run.at))
        for part in self.crash_parts:
            reached = sum(part in run.fields.get("lovagehub-prompt-prefix", "") for run in self.site.runs)
            self.count(f"parts of which {reached} requests reached engines")
            self.violations += part_violations(self.site, part, PART_APPLY_S + self.slack, self.was_in_touch)
        for what in ("kept_requests", "forgotten", "repeated"):
            self.count(f"{what} {sum(getattr(engine, what) for engine in self.site.engines)}")
        self.count(f"answers that say an engine leaves {len(self.told_leaving)}")
        self.count(f"runs within a limit {sum(run.limit is not None and self.was_told(run) for run in self.site.runs)}")


async def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("program")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--fronts", type=int, default=4)
    parser.add_argument("--engines", type=int, default=8)
    parser.add_argument("--callers", type=int, default=12)
    parser.add_argument("--slack", type=float, default=0.5, help="seconds added to the time limits of the checks")
    parser.add_argument("--narrow", action="store_true", help="a large configuration over slow links to the store")
    parser.add_argument("--contended", action="store_true", help="routes of different urgency, with work ordered under load, hedged requests and kept connections")
    args = parser.parse_args()
    soak = Soak(args)
    try:
        await soak.run(args.callers)
    finally:
        # Stopping the site resets the connections that are still open; asyncio would report each as an error.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        await soak.site.stop()
        for relay in [*soak.relays.values(), *soak.engine_relays]:
            relay.close()
    for what, number in sorted(soak.counts.items()):
        print(f"  {number} {what}")
    for violation in soak.violations[:20]:
        print(f"VIOLATED {violation}")
    print(f"seed {args.seed}: {len(soak.site.runs)} arrivals, {len(soak.violations)} violations")
    if soak.violations:
        print(f"logs in {soak.site.folder}")
        return 1
    shutil.rmtree(soak.site.folder)
    return 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
