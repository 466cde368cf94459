"""A site on loopback: the stand-ins, and VMs that consist of a steward and a gate each, with an IP address per VM."""

import atexit
import json
import os
import secrets
import signal
import socket
import subprocess
import threading
import time
import urllib.error
import urllib.request

from relay import Relay

# Each run uses its own loopback network, so that concurrent runs cannot take a port that a process of another
# run had before it was killed.
NET = f"127.{1 + os.getpid() % 250}"
STANDIN_IP = f"{NET}.0.1"
DOMAINS = ["fukuoka", "kumamoto", "kagoshima", "oita"]
MODELS = {"draft-small": 0.7, "draft-large": 0.95}  # model -> quality of its answers
VERSIONS = ["v1", "v2", "v3"]


def free_port(address):
    with socket.socket() as s:
        s.bind((address, 0))
        return s.getsockname()[1]


def http(method, url, body=None, headers=None, timeout=10):
    """Sends a request, with body as JSON; returns status, headers and body. Raises OSError if there is no answer."""
    data = json.dumps(body).encode() if body is not None else None
    request = urllib.request.Request(url, data=data, method=method, headers=headers or {})
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            return answer.status, answer.headers, answer.read()
    except urllib.error.HTTPError as error:
        return error.code, error.headers, error.read()


class Process:
    """A child process with its log file. All children are killed when the run exits, however it ends."""

    started = []

    def __init__(self, args, log):
        Process.started.append(self)
        self.args, self.log = args, log
        self.child = None
        self.frozen = False
        self.start()

    def start(self):
        with open(self.log, "ab") as out:
            self.child = subprocess.Popen(self.args, stdout=out, stderr=out)
        self.frozen = False

    @staticmethod
    @atexit.register
    def kill_all():
        for process in Process.started:
            if process.alive():
                process.child.kill()
                process.child.wait()

    def alive(self):
        return self.child.poll() is None

    def send(self, number):
        if self.alive():
            self.child.send_signal(number)
            self.frozen = number == signal.SIGSTOP

    def stop(self, number, timeout):
        """Sends a signal and waits for the exit; returns the status, or None if it had to be killed after timeout s."""
        self.send(signal.SIGCONT)
        self.send(number)
        try:
            return self.child.wait(timeout)
        except subprocess.TimeoutExpired:
            self.child.kill()
            self.child.wait()
            return None


class Vm:
    """One VM: its settings files, its relays, and its steward and gate processes."""

    def __init__(self, site, index, domain=None):
        self.site, self.index = site, index
        self.name = f"vm{index}"
        self.ip = f"{NET}.1.{index + 1}"
        self.domain = domain or DOMAINS[index % len(DOMAINS)]
        self.ports = {p: free_port(self.ip) for p in ("rpc", "operators", "steward_local", "callers", "gate_local")}
        self.relay_ip = f"{NET}.2.{index + 1}"
        self.rpc_relay = (self.relay_ip, free_port(self.relay_ip))
        self.platform_relay = (self.relay_ip, free_port(self.relay_ip))
        site.relay.add(f"rpc{index}", self.rpc_relay, (self.ip, self.ports["rpc"]))
        site.relay.add(f"platform{index}", self.platform_relay, site.platform)
        self.write_settings()
        self.steward = self.gate = None
        self.started_at = time.clock_gettime(time.CLOCK_BOOTTIME) * 1000  # in ms
        self.start()

    def endpoint(self, name):
        return {"address": self.ip, "port": self.ports[name]}

    def write_settings(self):
        common = {
            "vm": self.name,
            "failure_domain": self.domain,
            "site_key_file": self.site.file("site.key"),
            "log_priority": "info",
            "platform": {"address": self.platform_relay[0], "port": self.platform_relay[1]},
        }
        steward = dict(
            common,
            rpc=self.endpoint("rpc"),
            advertise={"address": self.rpc_relay[0], "port": self.rpc_relay[1]},
            operators=self.endpoint("operators"),
            local=self.endpoint("steward_local"),
            operator_list=[
                {"name": "soak", "key_hash": self.site.operator_hash, "roles": ["read", "patch", "brake"]}
            ],
        )
        gate = dict(
            common, callers=self.endpoint("callers"), local=self.endpoint("gate_local"), steward=self.endpoint("rpc")
        )
        self.steward_settings = self.site.write(f"{self.name}-steward.json", steward)
        self.gate_settings = self.site.write(f"{self.name}-gate.json", gate)

    def start(self):
        build = self.site.build
        self.steward = Process([f"{build}/lovage-steward", self.steward_settings], self.site.file(f"{self.name}-steward.log"))
        self.gate = Process([f"{build}/lovage-gate", self.gate_settings], self.site.file(f"{self.name}-gate.log"))

    def processes(self):
        return [self.steward, self.gate]

    def operators_url(self):
        return f"http://{self.ip}:{self.ports['operators']}"

    def callers_url(self):
        return f"http://{self.ip}:{self.ports['callers']}"

    def ready(self):
        try:
            return http("GET", f"http://{self.ip}:{self.ports['gate_local']}/readyz", timeout=1)[0] == 200
        except OSError:
            return False


class Site:
    """Starts the stand-ins and that many VMs, submits the configuration, and waits until all gates are ready."""

    def __init__(self, build, folder, vms, engines_per_model=2):
        self.build, self.folder = build, folder
        os.makedirs(folder, exist_ok=True)
        self.relay = Relay()
        self.lock = threading.Lock()
        self.operator_key = secrets.token_hex(16)
        self.team_keys = {team: secrets.token_hex(16) for team in ("bank", "tender")}
        with open(self.file("site.key"), "w", encoding="ascii") as out:
            out.write(secrets.token_hex(32) + "\n")
        self.operator_hash = self.key_hash(self.operator_key)
        self.platform = (STANDIN_IP, free_port(STANDIN_IP))
        self.platform_process = self.start_standin("platform", self.platform)
        self.wait(lambda: self.answers(self.platform), "the stand-in platform")
        self.engines = {}
        self.document = self.make_document(engines_per_model)
        self.vms = [Vm(self, i) for i in range(vms)]
        self.all_vms = self.vms[:]  # including those that were replaced
        self.put_vm_list()
        self.create_configuration()
        self.wait(lambda: all(vm.ready() for vm in self.vms), "all gates ready")

    def file(self, name):
        return os.path.join(self.folder, name)

    def write(self, name, value):
        with open(self.file(name), "w", encoding="utf-8") as out:
            json.dump(value, out, indent=1)
        return self.file(name)

    def key_hash(self, key):
        args = [f"{self.build}/lovagectl", "key", "hash"]
        return subprocess.run(args, input=key + "\n", text=True, check=True, capture_output=True).stdout.split()[0]

    def start_standin(self, kind, endpoint, *more):
        args = [f"{self.build}/standin-{kind}", "--address", endpoint[0], "--port", str(endpoint[1]), *more]
        return Process(args, self.file(f"standin-{kind}-{endpoint[1]}.log"))

    def answers(self, endpoint):
        try:
            with socket.create_connection(endpoint, 1):
                return True
        except OSError:
            return False

    def make_document(self, engines_per_model):
        """Starts the engines and the plain service; returns the configuration document that names them."""
        servers = {}
        for model in MODELS:
            for i in range(engines_per_model):
                endpoint = (STANDIN_IP, free_port(STANDIN_IP))
                serves = [f"{model}@{v}" for v in VERSIONS]
                process = self.start_standin(
                    "engine", endpoint, "--serves", ",".join(serves), "--slots", "64",
                    "--first-ms", "20", "--token-ms", "5", "--quality", str(MODELS[model]),
                    "--record", self.file(f"record-{model}-{i}"),
                )  # fmt: skip
                self.engines[f"{model}-{i}"] = (endpoint, process)
                servers[f"{model}-{i}"] = {
                    "kind": "engine", "address": endpoint[0], "port": endpoint[1],
                    "failure_domain": DOMAINS[i % 4], "serves": serves, "slots": 64,
                }  # fmt: skip
        self.service = (STANDIN_IP, free_port(STANDIN_IP))
        self.service_process = self.start_standin("service", self.service)
        servers["ledger-0"] = {
            "kind": "service", "address": self.service[0], "port": self.service[1],
            "failure_domain": DOMAINS[0], "service": "ledger", "slots": 64,
        }  # fmt: skip
        models = {
            m: {"versions": {v: {"state": "active", "cost_per_1k": 1.0, "prior_quality": q} for v in VERSIONS}}
            for m, q in MODELS.items()
        }
        teams = {
            team: {"key_hash": self.key_hash(key), "allow": list(MODELS) if team == "bank" else ["draft-small"]}
            for team, key in self.team_keys.items()
        }
        teams["bank"]["services"] = ["ledger"]
        cascade = {"stages": list(MODELS), "quality_target": 0.8, "idempotent": True}
        return {
            "models": models, "backend_servers": servers, "teams": teams,
            "services": {"ledger": {"idempotent": False}}, "classes": {"answer": cascade},
        }  # fmt: skip

    def put_vm_list(self, without=(), leaving=()):
        """Writes the platform's list of VMs, omitting some and marking some as leaving."""
        vms = [
            {"name": v.name, "address": v.ip, "failure_domain": v.domain, "leaving": v in leaving}
            for v in self.vms
            if v not in without
        ]
        url = f"http://{self.platform[0]}:{self.platform[1]}/v1/vms"
        self.wait(lambda: self.succeeds("PUT", url, {"vms": vms}), "the platform accepts the list of VMs", 120)

    @staticmethod
    def succeeds(method, url, body=None):
        try:
            return http(method, url, body)[0] in (200, 204)
        except OSError:
            return False

    def replace(self, position):
        """Starts a new VM, with a new address, in place of one whose processes have ended; returns it."""
        with self.lock:
            vm = Vm(self, len(self.all_vms), self.vms[position].domain)
            self.all_vms.append(vm)
            self.vms[position] = vm
        return vm

    def call_operators(self, vm, method, path, body=None, timeout=15):
        """Calls a steward's operator interface; returns status and parsed body."""
        headers = {"Authorization": f"Bearer {self.operator_key}", "Content-Type": "application/json"}
        status, _, answer = http(method, vm.operators_url() + path, body, headers, timeout)
        return status, json.loads(answer) if answer else {}

    def create_configuration(self):
        def create():
            try:
                body = {"text": self.document, "reason": "soak"}
                return self.call_operators(self.vms[0], "POST", "/v1/versions", body)[0] in (200, 409)
            except OSError:
                return False

        self.wait(create, "configuration 1")

    @staticmethod
    def wait(condition, what, timeout_s=60):
        end = time.monotonic() + timeout_s
        while not condition():
            if time.monotonic() > end:
                raise RuntimeError(f"{what}: timed out after {timeout_s} s")
            time.sleep(0.1)

    def stop(self):
        """Stops all VMs by SIGTERM, then the stand-ins; returns the exit statuses of the VMs' processes."""
        statuses = []
        for vm in self.vms:
            statuses += [p.stop(signal.SIGTERM, 60) for p in (vm.gate, vm.steward)]
        for _, process in self.engines.values():
            process.stop(signal.SIGTERM, 5)
        self.service_process.stop(signal.SIGTERM, 5)
        self.platform_process.stop(signal.SIGTERM, 5)
        return statuses
