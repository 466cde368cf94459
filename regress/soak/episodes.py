"""One larger event per run: an outage, the replacement of VMs, a patch while a VM is frozen, and so on.

The docstrings of the methods named in Episodes.NAMES describe the events.
"""

import random
import signal
import threading

from callers import boot_ms
from site_vms import http

OUTAGE_S = 60
READY_TIMEOUT_S = 90
CONTACT_S = 5  # the platform is reachable for so long before all VMs are killed
QUEUED_REQUESTS = 6  # requests sent to a frozen VM
POISON = "POISON"  # text that crashes an engine which has it in a prompt
CRASH_PROMPTS = 20


class Episodes:
    NAMES = ["outage", "replace_each", "replace_all", "delisted", "freeze_in_patch", "crash_prompt"]

    def __init__(self, site, faults, operators, callers, seed, name, seconds):
        self.site, self.faults, self.operators, self.callers = site, faults, operators, callers
        self.name = self.NAMES[seed % len(self.NAMES)] if name == "auto" else name
        self.rng = random.Random(seed * 13)
        self.seconds = seconds
        self.stopping = threading.Event()
        self.violations = []
        self.engines_lost = 0
        self.crash_prompts_ended = False
        self.thread = threading.Thread(target=self._run)

    def start(self):
        self.thread.start()

    def stop(self):
        self.stopping.set()
        self.thread.join()

    def _run(self):
        if self.name == "none" or self.stopping.wait(5):
            return
        try:
            getattr(self, "_" + self.name)()
        except RuntimeError as error:
            self.violations.append(f"episode {self.name}: {error}")

    def _claim_vm(self):
        position = self.rng.randrange(len(self.site.vms))
        return position if self.faults.wait_and_claim(position) else None

    def _outage(self):
        """The platform is unavailable for a minute, while two VMs are killed and restarted.

        Meanwhile a usage record is in the memory of its gate and of two other VMs, so that the design tolerates the
        loss of two VMs per outage. Of the other faults only those occur that lose no memory.
        """
        url = f"http://{self.site.platform[0]}:{self.site.platform[1]}/v1/fault"
        self.faults.lossless_only.set()
        if not self.faults.wait_and_claim("platform"):
            return
        begin = boot_ms()
        length = min(OUTAGE_S, self.seconds * 0.6)
        http("POST", url, {"kind": "down", "count": 0})
        for position in self.rng.sample(range(len(self.site.vms)), 2):
            self.stopping.wait(length * self.rng.uniform(0.2, 0.3))
            if self.faults.wait_and_claim(position):
                self._kill_and_start(position)
        self.stopping.wait(max(0, length - (boot_ms() - begin) / 1000))
        http("DELETE", url)
        self.faults.record("long_outage", "platform", begin)
        self.faults.release("platform")
        self.faults.lossless_only.clear()

    def _kill_and_start(self, position):
        vm, begin = self.site.vms[position], boot_ms()
        for process in vm.processes():
            process.stop(signal.SIGKILL, 10)
        self.stopping.wait(self.rng.uniform(0.5, 3))
        for process in vm.processes():
            process.start()
        self.faults.record("kill_vm_in_outage", vm.name, begin)
        self.faults.release(position)

    def _stop_vm(self, vm, gracefully):
        if not gracefully:
            for process in vm.processes():
                process.stop(signal.SIGKILL, 10)
            return
        begin = boot_ms()
        status = vm.gate.stop(signal.SIGTERM, 90)
        self.faults.graceful_stops.append((vm.name, begin, boot_ms(), status))
        vm.steward.stop(signal.SIGTERM, 30)

    def _replace_each(self):
        """Replaces all VMs, one after another, by VMs with new addresses; half of them are stopped by SIGTERM, the
        others are killed."""
        for position in range(len(self.site.vms)):
            if not self.faults.wait_and_claim(position):
                return
            old, begin = self.site.vms[position], boot_ms()
            self._stop_vm(old, self.rng.random() < 0.5)
            self.faults.record("replace_vm", old.name, begin)
            new = self.site.replace(position)
            self.site.put_vm_list()
            self.site.wait(new.ready, f"{new.name} in the place of {old.name} ready", READY_TIMEOUT_S)
            self.faults.release(position)
            self.stopping.wait(self.rng.uniform(0, 3))

    def _replace_all(self):
        """Kills all VMs at once and starts as many with new addresses.

        The platform is reachable for some seconds before: what is in memory only would be lost.
        """
        self.stopping.wait(self.rng.uniform(0, 15))
        positions = range(len(self.site.vms))
        if not all([self.faults.wait_and_claim(target) for target in ["links", "platform", *positions]]):
            return
        self.stopping.wait(CONTACT_S)
        old, begin = self.site.vms[:], boot_ms()
        for vm in old:
            self._stop_vm(vm, False)
        for position in positions:
            self.site.replace(position)
        self.site.put_vm_list()
        for vm in old:
            self.faults.record("replace_vm", vm.name, begin)
        self.site.wait(lambda: all(vm.ready() for vm in self.site.vms), "all new VMs ready", READY_TIMEOUT_S)
        for target in ["links", "platform", *positions]:
            self.faults.release(target)

    def _delisted(self):
        """The platform's list shows a VM as leaving, then no longer has it, while the VM runs on."""
        while not self.stopping.wait(self.rng.uniform(1, 4)):
            vm = self.rng.choice(self.site.vms)
            begin = boot_ms()
            self.site.put_vm_list(leaving=[vm])
            self.stopping.wait(self.rng.uniform(1, 5))
            self.site.put_vm_list(without=[vm])
            self.stopping.wait(self.rng.uniform(5, 15))
            self.site.put_vm_list()
            self.faults.record("delisted", vm.name, begin)

    def _freeze_in_patch(self):
        """Requests for a version are queued at a frozen VM, and the version is withdrawn before the VM continues."""
        while not self.stopping.is_set():
            position = self._claim_vm()
            if position is None:
                return
            self._freeze_one(position)
            self.faults.release(position)
            self.stopping.wait(self.rng.uniform(0.5, 3))

    def _freeze_one(self, position):
        vm, begin = self.site.vms[position], boot_ms()
        others = [other for other in self.site.vms if other is not vm]
        model, version = "draft-small", self.rng.choice(["v1", "v2"])
        for process in vm.processes():
            process.send(signal.SIGSTOP)
        queued = [
            threading.Thread(target=self._send_queued, args=(vm, f"frozen-{begin:.0f}-{i}", f"{model}@{version}"))
            for i in range(QUEUED_REQUESTS)
        ]
        for thread in queued:
            thread.start()
        result = self._set_state(self.rng.choice(others), model, version, "withdrawn")
        order = vm.processes()
        self.rng.shuffle(order)
        for process in order:
            process.send(signal.SIGCONT)
            self.stopping.wait(self.rng.choice([0, 0.001, 0.1, 0.5]))
        for thread in queued:
            thread.join()
        self.faults.record("freeze_in_patch" if result == "in_force" else "freeze_vm", vm.name, begin)
        self._set_state(self.rng.choice(others), model, version, "active")

    def _send_queued(self, vm, tag, label):
        self.callers.send(random.Random(tag), tag, "bank", label, True, vm=vm)

    def _set_state(self, vm, model, version, state):
        def patch(text, head):
            return {"models": {model: {"versions": {version: {"state": state}}}}}

        result = ""
        for _ in range(4):
            stops = state == "withdrawn"
            result = self.operators.submit(vm, f"{state} {version}", f"{model}@{version}", stops, patch)
            if result == "in_force":
                break
        return result

    def _crash_prompt(self):
        """Callers send a prompt again and again that crashes each engine which runs it."""
        names = [name for name in self.site.engines if name.startswith("draft-small")]
        if not all([self.faults.wait_and_claim(name) for name in names]):
            return
        begin = boot_ms()
        restarter = threading.Thread(target=self._restart_engines, args=(names,))
        restarter.start()
        tag = f"{POISON}-{begin:.0f}"
        for _ in range(CRASH_PROMPTS):
            # The fixed seed gives the same body each time.
            self.callers.send(random.Random(0), tag, "tender", "draft-small", True, vm=self.rng.choice(self.site.vms))
            if self.stopping.wait(self.rng.uniform(0.2, 1)):
                break
        self.crash_prompts_ended = True
        restarter.join()
        for name in names:
            http("DELETE", "http://%s:%d/v1/fault" % self.site.engines[name][0])
            self.faults.release(name)
        self.faults.record("crash_prompt", names[0], begin)

    def _restart_engines(self, names):
        """Restarts engines a second after they crashed, with the same fault."""
        with_fault = set()
        while not self.crash_prompts_ended or len(with_fault) < len(names):
            for name in names:
                endpoint, process = self.site.engines[name]
                if not process.alive():
                    self.engines_lost += 1
                    with_fault.discard(name)
                    threading.Event().wait(1)
                    process.start()
                if name not in with_fault and self.site.answers(endpoint):
                    try:
                        http("POST", "http://%s:%d/v1/fault" % endpoint, {"kind": "crash_on", "value": POISON, "count": 0})
                        with_fault.add(name)
                    except OSError:
                        pass
            threading.Event().wait(0.1)
