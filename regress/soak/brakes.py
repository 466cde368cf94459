"""An operator who stops a version by a brake, often during a partition, and releases it by a patch."""

import dataclasses
import random
import threading

from callers import boot_ms
from site_vms import MODELS

BRAKED_VERSION = "v3"
PROTECTED_S = 8  # time without new faults of the VM that raised a brake


@dataclasses.dataclass
class Brake:
    """A brake that a steward accepted. Times are of boot_ms."""

    target: str  # MODEL@VERSION
    vm: str  # of the steward
    raised: float  # when the operator got the answer
    released: float = float("inf")  # when its release was first requested


class Brakes:
    def __init__(self, site, operators, faults, seed):
        self.site, self.operators, self.faults = site, operators, faults
        self.rng = random.Random(seed * 31)
        self.stopping = threading.Event()
        self.log = []
        self.attempts = 0
        self.thread = threading.Thread(target=self._loop)

    def start(self):
        self.thread.start()

    def stop(self):
        self.stopping.set()
        self.thread.join()

    def _loop(self):
        while not self.stopping.wait(self.rng.uniform(0.5, 3)):
            brake = self._raise()
            if not brake:
                continue
            self._protect(brake)
            self.stopping.wait(self.rng.uniform(8, 16))
            brake.released = boot_ms()
            self._release(brake.target)

    def _partition(self):
        """Starts a partition as soon as the links have no other fault; returns the thread that ends it."""
        if not self.faults.wait_and_claim("links"):
            return None
        thread = threading.Thread(target=self._cut, args=(random.Random(self.rng.random()),))
        thread.start()
        self.stopping.wait(0.3)
        return thread

    def _cut(self, rng):
        begin = boot_ms()
        what = self.faults.cut_halves("links", rng, rng.uniform(1, 7))
        self.faults.record("cut_halves", what, begin)
        self.faults.release("links")

    def _protect(self, brake):
        """Keeps new faults away from the VM that raised the brake for some seconds, in seven of ten cases.

        If the VM were always killed before its brake reaches the others, no case would be left to check.
        """
        position = next((i for i, vm in enumerate(self.site.vms) if vm.name == brake.vm), None)
        if not self.faults or position is None or self.rng.random() < 0.3 or not self.faults.claim(position):
            return
        self.stopping.wait(PROTECTED_S)
        self.faults.release(position)

    def _raise(self):
        target = f"{self.rng.choice(list(MODELS))}@{BRAKED_VERSION}"
        self.attempts += 1
        partition = self._partition() if self.faults and self.attempts % 2 else None
        vm = self.rng.choice(self.site.vms)
        brake = None
        try:
            body = {"version": target, "why": "soak"}
            status, _ = self.site.call_operators(vm, "POST", "/v1/brakes", body)
            if status == 200:
                brake = Brake(target, vm.name, boot_ms())
                self.log.append(brake)
        except (OSError, ValueError):
            pass
        if partition:
            partition.join()
        return brake

    def _release(self, target):
        """Submits a patch that releases all brakes on the version, again until one is in force."""
        model, version = target.split("@")
        while True:
            vm = self.rng.choice(self.site.vms)

            def patch(text, head):
                return {"models": {model: {"versions": {version: {"released": head}}}}}

            if self.operators.submit(vm, f"release {target}", f"brake {target}", False, patch) == "in_force":
                return
            if self.stopping.wait(0.5):
                return
