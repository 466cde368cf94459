"""Checks of lovage-front's guarantees by what the callers and the engines saw. Each check returns the violations."""

from collections import Counter

from site_front import COLD_OVERAGE, COLD_SLACK, STREAM_PREFIXES

EVACUATED_S = 2.0  # after this, engines of an evacuated failure domain get no new work
# Requests that an engine which names a limit of N a second may get within LIMIT_WINDOW_S from fronts that it told:
# N * LIMIT_WINDOW_S * LIMIT_OVERAGE + LIMIT_SLACK.
LIMIT_WINDOW_S, LIMIT_OVERAGE, LIMIT_SLACK = 4.0, 1.5, 5
REST_APPLY_S, REST_SLACK = 0.5, 2
PART_CRASHES, PART_MAX = 5, 3
LEAVING_S = 2.0  # after this, an engine that leaves gets no new work


def attempt_violations(site, answer):
    """Checks one attempt of a caller."""
    runs = [run for run in site.runs_of(answer) if run.executed]
    violations = []
    if 200 <= answer.status < 300 and answer.complete:
        if answer.body not in site.expected(answer):
            violations.append("success whose body is not the engine's complete answer")
        if "lovagehub-server-signature" not in answer.fields:
            violations.append("success without an engine's signature")
        if not runs:
            violations.append("success although no engine ran the request")
    elif answer.path.startswith(STREAM_PREFIXES) and answer.body and 200 <= answer.status < 300:
        if not any(complete.startswith(answer.body) for complete in site.expected(answer)):
            violations.append("truncated stream that is not a prefix of the answer")
    if answer.status in (429, 503, 408, 421) and runs and answer.path.startswith("/once/"):
        violations.append("refused as not run, although an engine ran it")
    if answer.path.startswith("/once/") and len(runs) > 1:
        violations.append("non-idempotent request ran more than once")
    for run in runs:
        if run.line != (answer.method, answer.path) or run.body != answer.sent_body:
            violations.append("an engine ran a request other than the caller's")
        if run.fields.get("lovagehub-tenant") != "team" or "authorization" in run.fields:
            violations.append("an engine received the wrong team or the caller's key")
    return [f"{answer!r}: {violation}" for violation in violations]


def cold_violations(site):
    """Checks that no cold engine got more requests within a second than the configuration allows."""
    if not site.cold_per_s:
        return []
    limit, arrivals = site.cold_per_s * COLD_OVERAGE + COLD_SLACK, {}
    for run in site.runs:
        if run.cold and run.executed:
            arrivals.setdefault(run.engine.name, []).append(run)
    violations = []
    for name, runs in arrivals.items():
        peak = max(([run for run in runs if first.at <= run.at < first.at + 1] for first in runs), key=len)
        if len(peak) > limit:
            senders = Counter(site.sender_of(run) for run in peak)
            since = peak[0].at - peak[0].cold_since
            violations.append(
                f"{name} got {len(peak)} requests within a second while it was cold; the limit is {limit} "
                f"(by front: {dict(senders)}, from {since:.2f} s after it became cold)"
            )
    return violations


def limit_violations(site, counts=lambda run: True):
    """Checks that no engine got more requests within LIMIT_WINDOW_S than the limit that it names allows. Only runs for
    which counts(run) is true count; the others are of fronts that may not have been told, or were disturbed."""
    arrivals = {}
    for run in site.runs:
        if run.limit is not None and counts(run):
            arrivals.setdefault((run.engine.name, run.limit), []).append(run.at)
    violations = []
    for (name, limit), at in arrivals.items():
        peak = max(sum(begin <= moment < begin + LIMIT_WINDOW_S for moment in at) for begin in at)
        allowed = LIMIT_OVERAGE * limit * LIMIT_WINDOW_S + LIMIT_SLACK
        if peak > allowed:
            violations.append(f"{name} got {peak} requests in {LIMIT_WINDOW_S} s; with a limit of {limit} a second {allowed} are allowed")
    return violations


def rest_violations(site, counts=lambda front, run, turned_away: True):
    """Checks that an engine which turned a front's request away and asked for rest got no more than REST_SLACK requests
    from it between REST_APPLY_S later and the end of that rest. counts(front, run, turned_away) is false for runs of a
    front that was disturbed since it was turned away."""
    by_sender = {}
    for run in site.runs:
        by_sender.setdefault((site.sender_of(run), run.engine.name), []).append(run)
    violations = []
    for (front, engine), runs in by_sender.items():
        for refusal in runs:
            if not refusal.rest:
                continue
            begin, end = refusal.at + REST_APPLY_S, refusal.at + refusal.rest
            number = sum(begin < run.at < end and counts(front, run, refusal.at) for run in runs)
            if number > REST_SLACK:
                violations.append(f"{engine} asked front {front} for {refusal.rest} s of rest, and got {number} requests in that time")
    return violations


def leaving_violations(site, told, was_interrupted):
    """Checks that an engine which said in an answer that it leaves got nothing later than LEAVING_S from the front that
    passed the answer on. told: (front number, engine, time) of each such answer. was_interrupted(front, since, until):
    whether the front was stopped or frozen between these times."""
    return [
        f"{run.request}: sent to {engine} {run.at - at:.2f} s after an answer told front {front} that it leaves"
        for front, engine, at in told
        for run in site.runs
        if run.engine.name == engine and site.sender_of(run) == front and run.at > at + LEAVING_S
        and not was_interrupted(front, at, run.at)
    ]  # fmt: skip


def part_violations(site, part, apply_s, counts):
    """Checks that no more than PART_MAX requests with a part of prompts that crashes engines reach engines later than
    apply_s after PART_CRASHES of them. Only runs for which counts(run) is true count."""
    runs = [run for run in site.runs if run.executed and part in run.fields.get("lovagehub-prompt-prefix", "")]
    if len(runs) <= PART_CRASHES:
        return []
    late = [run for run in runs if run.at > runs[PART_CRASHES - 1].at + apply_s and counts(run)]
    if len(late) <= PART_MAX:
        return []
    return [f"{len(late)} requests with part {part} reached engines late, of {len(runs)} in all; {PART_MAX} are allowed"]


def evacuation_violations(site, domain, since, is_undisturbed):
    """Checks that a failure domain evacuated at the time since gets no new work. Only fronts for whose number
    is_undisturbed is true count; the others may not have learned of the evacuation because of a fault."""
    return [
        f"{run.request}: sent {run.at - since:.2f} s after {domain} was evacuated"
        for run in site.runs
        if run.engine.domain == domain and run.executed and run.at > since + EVACUATED_S and is_undisturbed(site.sender_of(run))
    ]


def site_violations(site, undisturbed_since):
    """Checks the site as a whole. undisturbed_since(time) gives the time since which no fault was injected that
    could keep a front from learning that an engine leaves."""
    violations = cold_violations(site)
    for run in site.runs:
        left_at = run.engine.left_at
        if left_at and run.executed and run.at > left_at + LEAVING_S and undisturbed_since(run.at) < left_at:
            violations.append(f"{run.request}: sent {run.at - left_at:.2f} s after {run.engine.name} left")
    return violations
