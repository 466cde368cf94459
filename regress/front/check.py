"""What must hold for each attempt of a caller, by what the caller and the engines saw."""

from site_front import COLD_OVERAGE, COLD_SLACK

EVACUATED_S = 2.0  # a failure domain's engines get no new work so long after it was evacuated
LEAVING_S = 2.0  # an engine that leaves gets no new work after so long


def attempt_faults(site, answer):
    """Promises that this attempt broke."""
    runs = [run for run in site.runs_of(answer) if run.executed]
    faults = []
    if 200 <= answer.status < 300 and answer.whole:
        if answer.body not in site.expected(answer):
            faults.append("a success whose body is not the engine's whole answer")
        if "lovagehub-server-signature" not in answer.fields:
            faults.append("a success that no engine signed")
        if not runs:
            faults.append("a success without a run")
    elif answer.path.startswith("/text/") and answer.body and 200 <= answer.status < 300:
        if not any(whole.startswith(answer.body) for whole in site.expected(answer)):
            faults.append("a broken stream that is no beginning of the answer")
    if answer.status in (429, 503, 408, 421) and runs and answer.path.startswith("/once/"):
        faults.append("told not to have run, though it had")
    if answer.path.startswith("/once/") and len(runs) > 1:
        faults.append("a request that may run once ran twice")
    for run in runs:
        if run.line != (answer.method, answer.path) or run.body != answer.sent_body:
            faults.append("an engine ran another request than the caller's")
        if run.fields.get("lovagehub-tenant") != "team" or "authorization" in run.fields:
            faults.append("an engine was told the wrong team, or the key")
    return [f"{answer!r}: {fault}" for fault in faults]


def cold_faults(site):
    """Engines that got more in some second than one that has just started bears."""
    if not site.cold_per_s:
        return []
    most, times = site.cold_per_s * COLD_OVERAGE + COLD_SLACK, {}
    for run in site.runs:
        if run.cold and run.executed:
            times.setdefault(run.engine.name, []).append(run.at)
    faults = []
    for name, at in times.items():
        crowd = max(sum(begin <= moment < begin + 1 for moment in at) for begin in at)
        if crowd > most:
            faults.append(f"{name} got {crowd} requests in a second while it was cold; it bears {most}")
    return faults


def evacuation_faults(site, domain, since, is_calm):
    """Work that a failure domain got though it has been evacuated since then; is_calm(front's number) tells
    whether nothing was in that front's way."""
    return [
        f"{run.request}: sent {run.at - since:.2f} s after {domain} was evacuated"
        for run in site.runs
        if run.engine.domain == domain and run.executed and run.at > since + EVACUATED_S and is_calm(site.front_of.get(run.request))
    ]


def site_faults(site, calm_since):
    """Promises over the whole site; calm_since(moment) tells since when nothing was in the way."""
    faults = cold_faults(site)
    for run in site.runs:
        left_at = run.engine.left_at
        if left_at and run.executed and run.at > left_at + LEAVING_S and calm_since(run.at) < left_at:
            faults.append(f"{run.request}: sent {run.at - left_at:.2f} s after {run.engine.name} left")
    return faults
