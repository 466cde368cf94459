"""Checks that depend on the times of faults: brakes, callers that leave, requests queued at frozen VMs, outages."""

import collections

from callers import LEFT_STREAM_TOKENS

# Limit within which a brake takes effect at a gate that can learn of it: the design says "within seconds".
BRAKE_REACH_MS = 6000
# Faults by which a steward loses the brakes, votes and records in its memory.
STATE_LOSS = {"kill_vm", "kill_steward", "planned_stop", "replace_vm", "kill_vm_in_outage"}
# Faults during which a steward neither receives nor sends.
STEWARD_SILENT = STATE_LOSS | {"freeze_vm", "freeze_steward", "freeze_in_patch"}
# Faults that cut links between VMs.
LINK_CUT = {"cut_peers", "cut_halves"}
# Faults by which a gate loses its memory.
GATE_LOSS = {"kill_vm", "kill_gate", "planned_stop", "replace_vm", "kill_vm_in_outage"}
GATE_FROZEN = {"freeze_vm", "freeze_gate", "freeze_in_patch"}
# Faults during which a gate may not reach the platform.
PLATFORM_UNREACHABLE = {"platform_down", "platform_slow", "platform_loses_calls", "platform_loses_replies", "long_outage"}
# A gate that could reach the table or the VMs with copies for so long has retried its writes there.
CONTACT_MS = 5000
# The longest time for which the end of an answer waits until its record is in the table or copied.
COMMIT_MAX_MS = 2500
# Time until the copies of a lost gate's records are in the table.
COPIES_HELD_MS = 150000


def time_outside(begin, end, spans):
    """The time in ms between begin and end that is in none of the spans."""
    left, at = 0, begin
    for b, e in sorted(spans):
        if b > end:
            break
        left += max(0, b - at)
        at = max(at, e)
    return left + max(0, end - at)


def stored_elsewhere(begin, end, spans):
    """Whether a record that its gate made at begin was stored elsewhere by end. spans: times without contact."""
    was_cut = any(b < end and e > begin - COMMIT_MAX_MS for b, e in spans)
    return not was_cut or time_outside(begin, end, spans) >= CONTACT_MS


def cut_between(kind, what, one, other):
    """Whether a fault cuts the link between two VMs."""
    if kind == "cut_peers":
        return what in (one, other)
    if kind != "cut_halves":
        return False
    left, right, _ = (set(group.split(",")) for group in what.split("|"))
    return one in left and other in right or one in right and other in left


class FaultChecks:
    """The log of faults by VM and link, and the checks that need it."""

    def __init__(self, site, faults):
        self.site, self.faults = site, faults

    def faults_of(self, vm, kinds):
        """(begin, end) of a VM's faults of these kinds."""
        return sorted((begin, end) for kind, what, begin, end in self.faults.log if what == vm and kind in kinds)

    def separated(self, one, other):
        """(begin, end) of the times in which one VM may not learn from the other."""
        links = [(b, e) for kind, what, b, e in self.faults.log if cut_between(kind, what, one, other)]
        return sorted(self.faults_of(one, STEWARD_SILENT) + self.faults_of(other, STEWARD_SILENT | GATE_LOSS | GATE_FROZEN) + links)

    def reached_by(self, brake, vm):
        """The time by which vm must have learned of the brake, or infinity.

        By then both VMs and their link had no fault for self.reach_ms without interruption, before the VM that
        raised the brake lost its memory.
        """
        lost = min((b for b, _ in self.faults_of(brake.vm, STATE_LOSS) if b > brake.raised), default=float("inf"))
        at = max(brake.raised, vm.started_at)
        for begin, end in self.separated(brake.vm, vm.name):
            if begin > at + self.reach_ms:
                break
            at = max(at, end)
        return at + self.reach_ms if at + self.reach_ms < lost else float("inf")

    def isolated(self, vm):
        """Two lists of (begin, end): times in which a VM's gate may not reach the platform, and its peers.

        Any cut between VMs counts for all of them: a relay resets connections while its VM is cut off from any other.
        """
        unreachable, links = [], []
        for kind, what, begin, end in self.faults.log:
            if kind in LINK_CUT:
                links.append((begin, end))
            if (
                kind in PLATFORM_UNREACHABLE
                or kind == "cut_platform" and what == vm
                or kind == "cut_halves" and vm in what.split("|")[2].split(",")
            ):
                unreachable.append((begin, end))
        return unreachable, links

    def lost_in_window(self, sent):
        """Whether a missing bill is within the loss window that docs/design/billing.md states.

        The record was only in its gate's memory, or also copied to two other VMs, and all of these were lost.
        """
        killed = min((b for b, _ in self.faults_of(sent.vm, GATE_LOSS - {"planned_stop"}) if b > sent.end - 50), default=None)
        if killed is None:
            return False
        unreachable, links = self.isolated(sent.vm)
        if stored_elsewhere(sent.end, killed, unreachable):
            return False
        if not stored_elsewhere(sent.end, killed, links):
            return True
        lost_vms = {
            what
            for kind, what, begin, end in self.faults.log
            if kind in STATE_LOSS and sent.end < begin < killed + COPIES_HELD_MS
            or kind in STEWARD_SILENT and begin < sent.end and end > sent.end - COMMIT_MAX_MS
        }
        return len(lost_vms - {sent.vm}) >= 2

    def lost_state(self, vm, begin, end):
        return any(b < end and e > begin for b, e in self.faults_of(vm, STATE_LOSS))

    def brakes_reach_gates(self):
        by_tag = {s.tag: s for s in self.sent}
        refused = collections.Counter(s.asked for s in self.sent if s.reason == "version_braked")
        for brake in self.brakes:
            self.checked["brakes raised"] += 1
            partition = any(k in LINK_CUT and b < brake.raised < e for k, _, b, e in self.faults.log)
            self.checked["brakes raised in a partition"] += partition
            self.checked["requests refused by a brake"] += refused.pop(brake.target, 0)
            reached_by = {vm.name: self.reached_by(brake, vm) for vm in self.site.all_vms}
            self.checked["brakes at gates that must have learned of them"] += sum(at < brake.released for at in reached_by.values())
            for run in self.runs:
                sent = by_tag.get(run["user"])
                if not sent or run["model"] != brake.target or not sent.vm:
                    continue
                at = reached_by[sent.vm]
                if at < run["started_ms"] < brake.released and not self.lost_state(sent.vm, at - self.reach_ms, run["started_ms"]):
                    delay_ms = run["started_ms"] - brake.raised
                    self.fail("brake", f"{brake.target} raised at {brake.vm}: {sent.vm} began {sent.tag} {delay_ms:.0f} ms after")

    def named_session_keeps_version(self):
        versions = collections.defaultdict(set)
        for sent in self.sent:
            if sent.named and sent.outcome == "answered":
                self.checked["answers in sessions named by callers"] += 1
                versions[sent.session].add(sent.version)
        for name, used in versions.items():
            if len(used) > 1:
                self.fail("named session", f"{name} was answered by {sorted(used)}")

    def caller_that_left(self):
        """The stream of a caller that left is cancelled before its end, and billed once for at most what was
        generated."""
        bills = collections.defaultdict(list)
        for bill in self.bills.values():
            bills[bill["request"]].append(bill)
        for sent in self.sent:
            if sent.outcome != "left":
                continue
            self.checked["callers that left"] += 1
            span = (sent.at, sent.end + 3000)
            disturbed = [f for f in self.faults_of(sent.vm, GATE_LOSS | GATE_FROZEN) if f[0] < span[1] and f[1] > span[0]]
            runs = self.by_tag[sent.tag]
            if not disturbed and not self.lost_in_window(sent):
                self._left_cancelled(sent, runs)
                self._left_billed(sent, runs, bills[sent.request])

    def _left_cancelled(self, sent, runs):
        for run in runs:
            # An engine that continues after a freeze generates the tokens of that time at once.
            if any(b < sent.end + 3000 and e > sent.at for b, e in self.faults_of(run["server"], {"freeze_engine"})):
                continue
            self.checked["streams whose caller left, cancelled"] += 1
            if run.get("tokens", 0) >= LEFT_STREAM_TOKENS:
                self.fail("caller left", f"{sent.tag}: {run['server']} generated all {run['tokens']} tokens")

    def _left_billed(self, sent, runs, bills):
        if len(bills) != 1 or bills[0]["outcome"] not in ("cancelled", "cut", "unknown"):
            self.fail("caller left", f"{sent.tag} of {sent.vm}: bills {bills}")
            return
        self.checked["bills of callers that left"] += 1
        billed = bills[0]["attempts"][-1]["completion_tokens"] if bills[0]["attempts"] else 0
        generated_max = max((run.get("tokens", LEFT_STREAM_TOKENS) for run in runs), default=0)
        if billed > generated_max:
            self.fail("caller left", f"{sent.tag}: {billed} tokens billed, {generated_max} generated")

    def frozen_queues(self):
        """Counts the requests queued at frozen VMs; no_work_on_stopped checks what became of them."""
        for kind, _, begin, end in self.faults.log:
            if kind != "freeze_in_patch":
                continue
            self.checked["VMs frozen while a patch came into force"] += 1
            queued = [s for s in self.sent if s.tag.startswith("frozen-") and begin <= s.at <= end]
            self.checked["requests queued in them"] += len(queued)

    def work_in_outage(self):
        for kind, _, begin, end in self.faults.log:
            if kind == "long_outage":
                answered = [s for s in self.sent if s.outcome == "answered" and begin + 10000 < s.at and s.end < end]
                self.checked["answers in the long outage"] += len(answered)
                killed = {what: e for k, what, b, e in self.faults.log if k == "kill_vm_in_outage"}
                self.checked["of them by VMs started in it"] += sum(s.at > killed.get(s.vm, end) for s in answered)
            if kind == "crash_prompt":
                poison = [s for s in self.sent if s.tag.startswith("POISON")]
                self.checked["crash prompts sent"] += len(poison)
                self.checked["of them refused by quarantine"] += sum(s.reason == "quarantined" for s in poison)
            if kind == "replace_vm":
                self.checked["VMs replaced"] += 1
            if kind == "delisted":
                self.checked["VMs missing in the platform's list"] += 1
