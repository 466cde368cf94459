"""Injects faults on a schedule drawn from a seed: the same seed gives the same faults in the same order.

The methods that inject a fault give the fault its name in the log.
"""

import random
import signal
import threading

from callers import boot_ms
from site_vms import http


class Faults:
    def __init__(self, site, seed):
        self.site = site
        self.rng = random.Random(seed)
        self.stopping = threading.Event()
        self.log = []  # (name, target, begin, end), times of boot_ms
        self.graceful_stops = []  # (vm, begin, end, exit status of the gate)
        self.thread = threading.Thread(target=self._loop)
        self.kinds = [
            self.kill_vm, self.kill_steward, self.kill_gate, self.freeze_vm, self.freeze_steward,
            self.freeze_gate, self.cut_platform, self.cut_peers, self.cut_halves, self.platform_down,
            self.platform_slow, self.platform_loses_replies, self.platform_loses_calls, self.kill_engine,
            self.freeze_engine, self.engine_fault, self.engine_fault, self.planned_stop, self.planned_stop,
        ]  # fmt: skip
        # Kinds by which no record, brake or vote in a process's memory is lost.
        self.lossless = [
            self.freeze_vm, self.freeze_steward, self.freeze_gate, self.cut_peers, self.kill_engine,
            self.freeze_engine, self.engine_fault,
        ]  # fmt: skip
        self.lossless_only = threading.Event()  # while set, only lossless faults are injected
        # Targets that have a fault now. Each has one at a time; faults of different targets overlap.
        self.claimed = set()
        self.lock = threading.Lock()

    def start(self):
        self.thread.start()

    def stop(self):
        self.stopping.set()
        self.thread.join()

    def _loop(self):
        threads = []
        while not self.stopping.wait(self.rng.uniform(0.3, 3)):
            kinds = self.lossless if self.lossless_only.is_set() else self.kinds
            draw = (self.rng.choice(kinds), random.Random(self.rng.random()))
            threads.append(threading.Thread(target=self.run, args=draw))
            threads[-1].start()
        for thread in threads:
            thread.join()

    def run(self, kind, rng):
        target = rng.choice(self._targets(kind))
        if not self.claim(target):
            return
        begin = boot_ms()
        try:
            what = kind(target, rng, rng.uniform(0.5, 7))
        except OSError as error:
            what = str(error)
        self.record(kind.__name__, what, begin)
        self.release(target)

    def claim(self, target):
        """Reserves a target for one fault; False if it has one already."""
        with self.lock:
            if target in self.claimed:
                return False
            self.claimed.add(target)
            return True

    def wait_and_claim(self, target):
        """Waits for the target's fault to end and reserves it; False if the run ends before."""
        while not self.claim(target):
            if self.stopping.wait(0.05):
                return False
        return True

    def release(self, target):
        with self.lock:
            self.claimed.discard(target)

    def record(self, kind, what, begin):
        self.log.append((kind, what, begin, boot_ms()))

    def _targets(self, kind):
        if kind.__name__.startswith("platform_"):
            return ["platform"]
        if "engine" in kind.__name__:
            return list(self.site.engines)
        if kind.__name__.startswith("cut"):
            return ["links"]
        return list(range(len(self.site.vms)))

    def _kill(self, processes, seconds):
        for process in processes:
            process.stop(signal.SIGKILL, 10)
        self.stopping.wait(seconds)
        for process in processes:
            process.start()

    def _freeze(self, processes, seconds):
        for process in processes:
            process.send(signal.SIGSTOP)
        self.stopping.wait(seconds)
        for process in processes:
            process.send(signal.SIGCONT)

    def kill_vm(self, target, rng, seconds):
        vm = self.site.vms[target]
        self._kill(vm.processes(), seconds)
        return vm.name

    def kill_steward(self, target, rng, seconds):
        vm = self.site.vms[target]
        self._kill([vm.steward], seconds)
        return vm.name

    def kill_gate(self, target, rng, seconds):
        vm = self.site.vms[target]
        self._kill([vm.gate], seconds)
        return vm.name

    def freeze_vm(self, target, rng, seconds):
        vm = self.site.vms[target]
        self._freeze(vm.processes(), seconds)
        return vm.name

    def freeze_steward(self, target, rng, seconds):
        vm = self.site.vms[target]
        self._freeze([vm.steward], seconds)
        return vm.name

    def freeze_gate(self, target, rng, seconds):
        vm = self.site.vms[target]
        self._freeze([vm.gate], seconds)
        return vm.name

    def cut_platform(self, target, rng, seconds):
        vm = rng.choice(self.site.vms)
        self.site.relay.change(f"platform{vm.index}", cut_all=True)
        self.stopping.wait(seconds)
        self.site.relay.change(f"platform{vm.index}", cut_all=False)
        return vm.name

    def cut_peers(self, target, rng, seconds):
        vm = rng.choice(self.site.vms)
        self._cut_pairs([(vm, other) for other in self.site.vms if other is not vm], seconds)
        return vm.name

    def cut_halves(self, target, rng, seconds):
        """Partitions the VMs into two groups; in half of the cases one of them loses the platform too.

        Returns "group|group|VMs without the platform", each a list of names separated by commas.
        """
        vms = self.site.vms[:]
        rng.shuffle(vms)
        at = rng.randrange(1, len(vms))
        left, right = vms[:at], vms[at:]
        lost = left if rng.random() < 0.5 else []
        for vm in lost:
            self.site.relay.change(f"platform{vm.index}", cut_all=True)
        self._cut_pairs([(a, b) for a in left for b in right], seconds)
        for vm in lost:
            self.site.relay.change(f"platform{vm.index}", cut_all=False)
        return "|".join(",".join(v.name for v in group) for group in (left, right, lost))

    def _cut_pairs(self, pairs, seconds):
        cuts = {}
        for a, b in pairs:
            cuts.setdefault(a.index, set()).add(b.ip)
            cuts.setdefault(b.index, set()).add(a.ip)
        for index, ips in cuts.items():
            self.site.relay.change(f"rpc{index}", cut_from=ips, cut_to=ips)
        self.stopping.wait(seconds)
        for index in cuts:
            self.site.relay.change(f"rpc{index}", cut_from=set(), cut_to=set())

    def _platform_fault(self, fault, seconds):
        url = f"http://{self.site.platform[0]}:{self.site.platform[1]}/v1/fault"
        http("POST", url, fault)
        self.stopping.wait(seconds)
        http("DELETE", url)

    def platform_down(self, target, rng, seconds):
        self._platform_fault({"kind": "down", "count": 0}, seconds * 2)

    def platform_slow(self, target, rng, seconds):
        self._platform_fault({"kind": "slow", "value": rng.randint(100, 1500), "count": 0}, seconds)

    def platform_loses_replies(self, target, rng, seconds):
        self._platform_fault({"kind": "lose_reply", "count": rng.randint(1, 20)}, seconds)

    def platform_loses_calls(self, target, rng, seconds):
        self._platform_fault({"kind": "lose_call", "count": rng.randint(1, 20)}, seconds)

    def kill_engine(self, target, rng, seconds):
        self._kill([self.site.engines[target][1]], seconds)
        return target

    def freeze_engine(self, target, rng, seconds):
        self._freeze([self.site.engines[target][1]], seconds)
        return target

    def engine_fault(self, target, rng, seconds):
        fault = rng.choice(
            [
                {"kind": "cut_at", "value": rng.randint(50, 3000), "count": rng.randint(1, 10)},
                {"kind": "duplicate", "value": rng.randint(2, 9), "count": 0},
                {"kind": "reorder", "value": rng.randint(2, 9), "count": 0},
                {"kind": "not_run", "count": rng.randint(1, 10)},
                {"kind": "lose_reply", "count": rng.randint(1, 3)},
            ]
        )
        url = "http://%s:%d/v1/fault" % self.site.engines[target][0]
        http("POST", url, fault)
        self.stopping.wait(seconds)
        http("DELETE", url)
        return f"{target} {fault['kind']}"

    def planned_stop(self, target, rng, seconds):
        """Stops a VM by SIGTERM, its gate before its steward, and starts both again."""
        vm = self.site.vms[target]
        begin = boot_ms()
        status = vm.gate.stop(signal.SIGTERM, 90)
        self.graceful_stops.append((vm.name, begin, boot_ms(), status))
        vm.steward.stop(signal.SIGTERM, 30)
        self.stopping.wait(seconds / 4)
        vm.steward.start()
        vm.gate.start()
        return vm.name
