"""Checks the site's guarantees against the engines' records, the tables and what callers and operators saw."""

import collections

from oracle_faults import BRAKE_REACH_MS, FaultChecks
from records import Records
from site_vms import MODELS

ALLOWED = {"bank": set(MODELS) | {"ledger"}, "tender": {"draft-small"}}

# Time between the check of the grant, which is made directly before a request's last byte is sent, and the
# arrival of that byte at the engine: one write and the network.
SEND_MS = 100
ENGINE_FAULTS = {"kill_engine", "freeze_engine", "engine_fault", "crash_prompt"}


class Oracle(FaultChecks):
    def __init__(self, site, callers, operators, faults, brakes, slack):
        super().__init__(site, faults)
        self.operators, self.brakes = operators.log, brakes.log
        self.sent = callers.log
        self.send_ms, self.reach_ms = SEND_MS * slack, BRAKE_REACH_MS * slack
        self.violations = []
        self.lost = []  # answers without a bill that are within the loss window that the design states
        self.checked = collections.Counter()  # number of cases that each check had
        records = Records(site)
        self.runs, self.bills, self.by_tag = records.runs, records.bills, records.by_tag

    def fail(self, guarantee, detail):
        self.violations.append(f"{guarantee}: {detail}")

    def check(self):
        for check in (
            self.allowed_version, self.no_work_on_stopped, self.session_keeps_version, self.billed_once,
            self.billed_tokens,
            self.complete_answer, self.not_run_did_not_run, self.at_most_once, self.graceful_stop_cuts_nothing,
            self.configuration_never_reverts, self.in_force_is_kept, self.named_session_keeps_version,
            self.caller_that_left, self.brakes_reach_gates, self.frozen_queues, self.work_in_outage,
        ):  # fmt: skip
            check()
        return self.violations

    def allowed_version(self):
        teams = {s.tag: s.team for s in self.sent}
        self.checked["requests for a model that is not allowed"] += sum(s.reason == "not_allowed" for s in self.sent)
        for run in self.runs:
            team = teams.get(run["user"])
            self.checked["runs on an allowed model"] += 1
            if team and run["model"].split("@")[0] not in ALLOWED[team]:
                self.fail("allowed version", f"{run['user']} of {team} ran on {run['model']}")

    def stopped_spans(self):
        """(version or server, begin, end, number): from the operator's answer that the patch which stops it is in force
        until a patch may have reverted it."""
        spans = []
        for patch in self.operators:
            if not patch.stops or patch.result != "in_force":
                continue
            # A later patch that may have reverted it ends the span, even if the patch's answer was lost.
            reverts = [
                p.submitted
                for p in self.operators
                if p.target == patch.target
                and not p.stops
                and (p.number > patch.number or (p.number == 0 and p.result in ("lost", "unknown", "unavailable")))
                and p.answered > patch.submitted
            ]
            spans.append((patch.target, patch.answered, min(reverts, default=float("inf")), patch.number))
        return spans

    def no_work_on_stopped(self):
        for target, begin, end, number in self.stopped_spans():
            self.checked["withdrawals in force" if "@" in target else "leaving servers"] += 1
            for run in self.runs:
                if target not in (run["model"], run["server"]) or self.arrived_while_frozen(run, begin):
                    continue
                if begin + self.send_ms < run["started_ms"] < end:
                    delay_ms = run["started_ms"] - begin
                    self.fail("stopped target", f"{target}, number {number}: {run['user']} began {delay_ms:.0f} ms after")

    def arrived_while_frozen(self, run, begin):
        """Whether a request was sent before begin to an engine that was frozen: the engine records it when it
        continues."""
        for name, server, frozen, unfrozen in self.faults.log:
            if name == "freeze_engine" and server == run["server"] and frozen < begin and run["started_ms"] >= unfrozen - 100:
                if any(s.at < begin for s in self.sent if s.tag == run["user"]):
                    return True
        return False

    def billed_tokens(self):
        """The last attempt in an answer's bill has the number of tokens that its engine generated."""
        bills = {bill["request"]: bill for bill in self.bills.values()}
        for sent in self.sent:
            bill = bills.get(sent.request)
            if sent.outcome != "answered" or not bill or sent.asked == "ledger" or not sent.idempotent:
                continue
            tokens = {run["tokens"] for run in self.by_tag[sent.tag] if run.get("text") == sent.text}
            self.checked["bills with the engine's tokens"] += 1
            if bill["attempts"][-1]["completion_tokens"] not in tokens:
                self.fail("billed tokens", f"{sent.tag}: {bill['attempts'][-1]} where the engine generated {tokens}")

    def session_keeps_version(self):
        for sent in self.sent:
            if "-s" not in sent.tag or sent.outcome != "answered":
                continue
            first = sent.tag.rsplit("-s", 1)[0] + "-s0"
            start = [s.version for s in self.sent if s.tag == first and s.outcome == "answered"]
            self.checked["session answers"] += 1
            if start and sent.version != start[0]:
                self.fail("session", f"{sent.tag} on {sent.version}, its session began on {start[0]}")

    def billed_once(self):
        by_request = collections.Counter(bill["request"] for bill in self.bills.values())
        for request, count in by_request.items():
            if count > 1:
                self.fail("billed once", f"request {request} has {count} bills")
        keyed = collections.defaultdict(list)
        for bill in self.bills.values():
            keyed[bill["request"]].append(bill)
        for sent in self.sent:
            if sent.outcome != "answered":
                continue
            self.checked["answers with a bill"] += 1
            if sent.idempotent and sent.request not in keyed and self.lost_in_window(sent):
                self.lost.append(sent)
            elif sent.idempotent and sent.request not in keyed:
                self.fail("billed once", f"{sent.tag} was answered by {sent.vm} (request {sent.request}), no bill")
        for sent in [s for s in self.sent if not s.idempotent and s.outcome == "answered"]:
            tag = sent.tag
            requests = {s.request for s in self.sent if s.tag == tag}
            bills = sum(by_request[r] for r in requests)
            if bills == 0 and self.lost_in_window(sent):
                self.lost.append(sent)
            elif bills != 1:
                self.fail("billed once", f"{tag}: {bills} bills for {requests}")
        self.checked["bills lost in the stated window"] += len(self.lost)

    def complete_answer(self):
        for sent in self.sent:
            if sent.outcome != "answered":
                continue
            self.checked["complete answers"] += 1
            texts = {run.get("text") for run in self.by_tag[sent.tag] if run.get("ended") == "whole"}
            if sent.text not in texts:
                self.fail("complete answer", f"{sent.tag} got {len(sent.text)} bytes that are no engine's complete answer")

    def not_run_did_not_run(self):
        for sent in self.sent:
            if sent.outcome not in ("not_run", "no_connection"):
                continue
            self.checked["refusals as not run"] += 1
            for run in self.by_tag[sent.tag]:
                same = [s for s in self.sent if s.tag == sent.tag and s is not sent]
                if not same or sent.at <= run["started_ms"] <= sent.end and all(
                    not s.at <= run["started_ms"] <= s.end for s in same
                ):
                    self.fail("not run", f"{sent.tag} was refused as not run ({sent.reason}), but {run['model']} ran it")

    def at_most_once(self):
        for tag in {s.tag for s in self.sent if not s.idempotent}:
            self.checked["non-idempotent requests"] += 1
            if len(self.by_tag[tag]) > 1:
                self.fail("at most once", f"{tag} ran {len(self.by_tag[tag])} times")

    def graceful_stop_cuts_nothing(self):
        for vm, begin, end, status in self.faults.graceful_stops:
            self.checked["graceful stops"] += 1
            if status != 0:
                self.fail("graceful stop", f"the gate of {vm} ended with status {status}")
            # The VM has no other fault meanwhile, but faults of the engines truncate answers too.
            if any(f[0] in ENGINE_FAULTS and f[2] < end and f[3] > begin - 1000 for f in self.faults.log):
                continue
            self.checked["graceful stops without an engine's fault"] += 1
            for sent in self.sent:
                if sent.vm == vm and sent.at < end and sent.end > begin and sent.outcome == "cut":
                    self.fail("graceful stop", f"{sent.tag} was cut while the gate of {vm} stopped")

    def configuration_never_reverts(self):
        """The configuration numbers in a VM's answers do not fall."""
        for vm in {s.vm for s in self.sent}:
            answers = sorted((s for s in self.sent if s.vm == vm and s.config), key=lambda s: s.at)
            newest, newest_end = 0, 0
            for sent in answers:
                self.checked["configuration numbers"] += 1
                if sent.at > newest_end and sent.config < newest:
                    self.fail("configuration", f"{vm} answered {sent.tag} by {sent.config} after {newest}")
                if sent.config > newest:
                    newest, newest_end = sent.config, sent.end

    def in_force_is_kept(self):
        for patch in self.operators:
            if patch.result != "in_force":
                continue
            self.checked["patches in force"] += 1
            for sent in self.sent:
                if sent.config and sent.outcome == "answered" and sent.at > patch.answered and sent.config < patch.number:
                    self.fail("in force", f"{sent.vm} took {sent.tag} by {sent.config}, {patch.number} was in force")
