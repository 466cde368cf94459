"""Operators that concurrently submit patches: they withdraw versions or mark servers as leaving, and revert that."""

import dataclasses
import random
import threading

from callers import boot_ms
from site_vms import MODELS, VERSIONS


@dataclasses.dataclass
class Patch:
    label: str
    target: str  # MODEL@VERSION, or a backend server's name
    stops: bool  # true: withdraws the version or marks the server as leaving; false: reverts that
    submitted: float
    answered: float = 0
    number: int = 0
    result: str = ""  # in_force, accepted, durable, conflict, lost, or a refusal's reason


class Operators:
    def __init__(self, site, seed, count=2):
        self.site = site
        self.stopping = threading.Event()
        self.lock = threading.Lock()
        self.log = []
        self.threads = [threading.Thread(target=self._loop, args=(seed * 77 + i, i)) for i in range(count)]

    def start(self):
        for thread in self.threads:
            thread.start()

    def stop(self):
        self.stopping.set()
        for thread in self.threads:
            thread.join()

    def _loop(self, seed, index):
        rng = random.Random(seed)
        n = 0
        while not self.stopping.is_set():
            n += 1
            self._patch(rng, f"soak-{index}-{n}")
            self.stopping.wait(rng.uniform(0.3, 2.0))

    def _patch(self, rng, label):
        vm = rng.choice(self.site.vms)
        chosen = {}

        def patch(text, head):
            kind = self._server_patch if rng.random() < 0.3 else self._version_patch
            chosen["target"], chosen["stops"], change = kind(rng, text)
            return change

        self.submit(vm, label, None, None, patch, chosen)

    def submit(self, vm, label, target, stops, patch, chosen=None):
        """Submits patch(text, number), a function of the newest configuration, at the VM; returns the result.

        The result is "" if the newest configuration could not be read. chosen: a dictionary that patch fills with
        target and stops, if they are not known before.
        """
        try:
            status, versions = self.site.call_operators(vm, "GET", "/v1/versions")
            if status != 200:
                return ""
            head = versions["head"]
            status, current = self.site.call_operators(vm, "GET", f"/v1/versions/{head}")
            if status != 200:
                return ""
        except (OSError, ValueError, KeyError):
            return ""
        body = {"base": head, "patch": patch(current["text"], head), "reason": label}
        if chosen:
            target, stops = chosen["target"], chosen["stops"]
        entry = Patch(label, target, stops, boot_ms())
        with self.lock:
            self.log.append(entry)
        try:
            _, answer = self.site.call_operators(vm, "POST", "/v1/patches?wait=in_force&wait_ms=10000", body, 30)
        except (OSError, ValueError):
            entry.result, entry.answered = "lost", boot_ms()
            return entry.result
        entry.answered = boot_ms()
        entry.number = answer.get("number", 0)
        entry.result = answer.get("state") or answer.get("error", {}).get("reason", "refused")
        return entry.result

    def _version_patch(self, rng, text):
        model = rng.choice(list(MODELS))
        states = {v: text["models"][model]["versions"][v]["state"] == "withdrawn" for v in VERSIONS}
        version, stops = self._choose(rng, states)
        state = "withdrawn" if stops else "active"
        return f"{model}@{version}", stops, {"models": {model: {"versions": {version: {"state": state}}}}}

    def _server_patch(self, rng, text):
        model = rng.choice(list(MODELS))
        servers = {n: s.get("leaving", False) for n, s in text["backend_servers"].items() if n.startswith(model)}
        server, stops = self._choose(rng, servers)
        return server, stops, {"backend_servers": {server: {"leaving": stops}}}

    @staticmethod
    def _choose(rng, stopped):
        """Chooses what is stopped now, to bring it back; a random one to stop if none is. Returns (name, stops)."""
        for name, is_stopped in stopped.items():
            if is_stopped:
                return name, False
        return rng.choice(list(stopped)), True
