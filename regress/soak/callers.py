"""Callers that send requests of several kinds in closed loops, and a log of the outcome of each request."""

import dataclasses
import http.client
import json
import random
import threading
import time

from site_vms import MODELS, VERSIONS

# Length of a stream that its caller leaves early: at 5 ms per token it lasts five seconds.
LEFT_STREAM_TOKENS = 1000


def boot_ms():
    """The time in ms of CLOCK_BOOTTIME, which the engines' records use too."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000


@dataclasses.dataclass
class Sent:
    """One request sent to one VM, and its outcome. Times are of boot_ms."""

    tag: str  # identifies the request in the engines' records; the same when it is sent again
    team: str
    vm: str
    at: float
    idempotent: bool
    asked: str  # model, MODEL@VERSION or class in the request; "ledger": the plain service
    session: str = ""
    outcome: str = ""  # answered, cut (truncated), left (the caller closed it), not_run, unknown, no_connection
    reason: str = ""
    request: str = ""
    version: str = ""
    config: int = 0
    text: str = ""
    end: float = 0
    status: int = 0
    named: bool = False  # the session's name was chosen by the caller


class Callers:
    def __init__(self, site, seed, count):
        self.site, self.count = site, count
        self.stopping = threading.Event()
        self.lock = threading.Lock()
        self.log = []
        self.threads = [threading.Thread(target=self._loop, args=(seed * 1000 + i, i)) for i in range(count)]

    def start(self):
        for thread in self.threads:
            thread.start()

    def stop(self):
        self.stopping.set()
        for thread in self.threads:
            thread.join()

    def _loop(self, seed, index):
        rng = random.Random(seed)
        kinds = [
            self._plain, self._plain, self._cascade, self._non_idempotent, self._service, self._session,
            self._version_by_name, self._named_session, self._leave_stream, self._not_allowed,
        ]  # fmt: skip
        n = 0
        while not self.stopping.is_set():
            n += 1
            rng.choice(kinds)(rng, f"tag-{index}-{n}")
            self.stopping.wait(rng.uniform(0.02, 0.2))

    def _plain(self, rng, tag):
        team = rng.choice(["bank", "tender"])
        asked = rng.choice(["draft-small", "draft-large"]) if team == "bank" else "draft-small"
        self.send(rng, tag, team, asked, True)

    def _cascade(self, rng, tag):
        self.send(rng, tag, "bank", "answer", True)

    def _service(self, rng, tag):
        """Calls a plain service that is not idempotent."""
        self._non_idempotent(rng, tag, "ledger")

    def _non_idempotent(self, rng, tag, asked="draft-large"):
        """Sends a non-idempotent request, up to four times with the same idempotency key, until it is answered."""
        for _ in range(4):
            sent = self.send(rng, tag, "bank", asked, False)
            if sent.outcome == "answered":
                return
            self.stopping.wait(rng.uniform(0.1, 1.0))

    def _session(self, rng, tag):
        session = ""
        for step in range(3):
            sent = self.send(rng, f"{tag}-s{step}", "tender", "draft-small", True, session)
            if sent.outcome != "answered":
                return
            session = sent.session

    def _version_by_name(self, rng, tag):
        """Requests a version by name, in most cases v3, which operators stop by brakes."""
        version = "v3" if rng.random() < 0.7 else rng.choice(VERSIONS)
        self.send(rng, tag, "bank", f"{rng.choice(list(MODELS))}@{version}", True)

    def _not_allowed(self, rng, tag):
        """Requests a model, version or class that the team may not use."""
        self.send(rng, tag, "tender", rng.choice(["draft-large", "draft-large@v1", "answer"]), True)

    def _named_session(self, rng, tag):
        """Uses a session whose name the caller chose; its first two requests are sent concurrently to random VMs."""
        name = f"named-{tag}"

        def send_one(step, seed):
            self.send(random.Random(seed), f"{tag}-n{step}", "tender", "draft-small", True, name, named=True)

        threads = [threading.Thread(target=send_one, args=(step, rng.random())) for step in range(2)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        send_one(2, rng.random())

    def _leave_stream(self, rng, tag):
        """Closes its connection in the middle of a stream that would last five seconds."""
        self.send(rng, tag, "tender", "draft-small", True, leave_after=rng.randint(1, 30))

    def send(self, rng, tag, team, asked, idempotent, session="", vm=None, named=False, leave_after=0):
        """Sends one request to a VM (default: a random one) and logs its outcome. leave_after: number of chunks of
        a stream after which the caller closes the connection; 0: never."""
        vm = vm or rng.choice(self.site.vms)
        stream = rng.random() < 0.7 or leave_after > 0
        sent = Sent(tag, team, vm.name, boot_ms(), idempotent, asked, session, named=named)
        try:
            self._exchange(rng, vm, sent, stream, leave_after)
        except ConnectionRefusedError:
            sent.outcome = "no_connection"
        except (OSError, http.client.HTTPException, ValueError):
            sent.outcome = "cut"
        sent.end = boot_ms()
        with self.lock:
            self.log.append(sent)
        return sent

    def _exchange(self, rng, vm, sent, stream, leave_after):
        body = {
            "model": sent.asked,
            "stream": stream,
            "max_tokens": LEFT_STREAM_TOKENS if leave_after else rng.randint(5, 60),
            "user": sent.tag,
            "messages": [{"role": "user", "content": f"{sent.tag} draft a guarantee"}],
        }
        if not sent.idempotent:
            # Each repetition must have the same body byte for byte.
            body["max_tokens"], body["stream"], stream = 40, False, False
        headers = {"Authorization": f"Bearer {self.site.team_keys[sent.team]}", "Content-Type": "application/json"}
        if sent.session:
            headers["X-Lovage-Session"] = sent.session
        if not sent.idempotent:
            headers |= {"Idempotency-Key": sent.tag, "X-Lovage-Idempotent": "no"}
        path = "/v1/services/ledger/issue" if sent.asked == "ledger" else "/v1/chat/completions"
        connection = http.client.HTTPConnection(vm.ip, vm.ports["callers"], timeout=60)
        try:
            connection.request("POST", path, json.dumps(body), headers)
            answer = connection.getresponse()
            sent.status = answer.status
            sent.request = answer.getheader("X-Lovage-Request", "")
            sent.version = answer.getheader("X-Lovage-Version", "")
            sent.config = int(answer.getheader("X-Lovage-Config", "0"))
            if answer.status != 200:
                self._read_refusal(sent, answer.read())
                return
            if not sent.named:
                sent.session = answer.getheader("X-Lovage-Session", "")
            if stream:
                self._read_stream(sent, answer, leave_after)
            else:
                self._read_answer(sent, answer)
        finally:
            connection.close()

    @staticmethod
    def _read_refusal(sent, body):
        error = json.loads(body).get("error", {})
        sent.outcome, sent.reason = error.get("state", "cut"), error.get("reason", "")

    @staticmethod
    def _read_answer(sent, answer):
        body = json.loads(answer.read())
        if sent.asked != "ledger":
            sent.text = body["choices"][0]["message"]["content"]
        sent.outcome = "answered"

    @staticmethod
    def _read_stream(sent, answer, leave_after):
        sent.outcome = "cut"
        chunks = 0
        for line in answer:
            data = line.decode().strip()
            if not data.startswith("data:"):
                continue
            data = data[5:].strip()
            if data == "[DONE]":
                sent.outcome = "answered"
                continue
            chunk = json.loads(data)
            if "error" in chunk:
                sent.outcome, sent.reason = "unknown", chunk["error"].get("reason", "")
                return
            for choice in chunk.get("choices", []):
                sent.text += choice.get("delta", {}).get("content") or ""
            chunks += 1
            if chunks == leave_after:
                sent.outcome = "left"
                return
