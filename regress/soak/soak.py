"""Randomised soak test of a real site on loopback: make soak SEED=n SECONDS=s.

The seed determines the schedules of the faults, the callers and the operators. At the end all faults are
cleared, the site settles and is stopped gracefully, and the oracle checks the site's guarantees.
"""

import argparse
import collections
import random
import shutil
import sys
import tempfile
import time

from brakes import BRAKED_VERSION, Brakes
from callers import Callers, boot_ms
from episodes import Episodes
from faults import Faults
from operators import Operators
from oracle import Oracle
from oracle_faults import FaultChecks
from records import read_bills
from site_vms import MODELS, Site

# Checks that must have had cases in a run of REQUIRED_FROM_S or more; EPISODE_CHECKS: those of an episode.
REQUIRED_CHECKS = [
    "runs on an allowed model", "requests for a model that is not allowed", "withdrawals in force", "leaving servers", "bills with the engine's tokens",
    "session answers", "answers with a bill", "complete answers", "refusals as not run",
    "non-idempotent requests", "graceful stops", "configuration numbers", "patches in force",
    "brakes raised", "brakes raised in a partition", "brakes at gates that must have learned of them",
    "requests refused by a brake", "answers in sessions named by callers", "callers that left",
    "streams whose caller left, cancelled", "bills of callers that left",
]  # fmt: skip
EPISODE_CHECKS = {
    "outage": ["answers in the long outage"],
    "replace_each": ["VMs replaced"],
    "replace_all": ["VMs replaced"],
    "delisted": ["VMs missing in the platform's list"],
    "freeze_in_patch": ["VMs frozen while a patch came into force", "requests queued in them"],
    "crash_prompt": ["crash prompts sent"],
}
NOT_STARTED = 2  # exit status
REQUIRED_FROM_S = 60
LAST_BRAKE_TIMEOUT_S = 30
# A gate counts as lost after a minute, and the records of lost gates are looked for once a minute.
BILLS_TIMEOUT_S = 150


def invariant_lines(site):
    """Lines of the VMs' logs about violated invariants."""
    found = []
    for vm in site.all_vms:
        for program in ("gate", "steward"):
            with open(site.file(f"{vm.name}-{program}.log"), encoding="utf-8", errors="replace") as lines:
                found += [f"{vm.name} {program}: {line.strip()}" for line in lines if "invariant_failed" in line]
    return found


def settle(site, callers, faults, bills_bound):
    """Restores the links that are still cut and waits: all gates must become ready, and all bills must reach the table."""
    site.relay.restore_all()
    site.wait(lambda: all(vm.ready() for vm in site.vms), "all gates ready after the faults", 90)
    checks = FaultChecks(site, faults)
    answered = [s for s in callers.log if s.outcome == "answered" and s.idempotent]
    answered = {s.request for s in answered if not checks.lost_in_window(s)}
    begin = boot_ms()
    while missing_bills(site, answered) and boot_ms() - begin < bills_bound * 1000:
        time.sleep(1)
    print(f"all bills in the table, ms: {boot_ms() - begin:.0f}; missing: {missing_bills(site, answered)}")


def missing_bills(site, answered):
    return len(answered - {bill["request"] for bill in read_bills(site).values()})


def last_brake(site, callers):
    """Raises a brake on a site without faults; returns the times in ms until each gate refused the version."""
    target = f"{list(MODELS)[0]}@{BRAKED_VERSION}"
    rng = random.Random(0)
    begin = boot_ms()

    def brake_accepted():
        return site.call_operators(site.vms[0], "POST", "/v1/brakes", {"version": target, "why": "last"})[0] == 200

    def stopped(vm):
        sent = callers.send(rng, f"last-{vm.name}-{boot_ms():.0f}", "bank", target, True, vm=vm)
        return sent.reason in ("version_braked", "version_withdrawn")

    site.wait(brake_accepted, "the last brake is accepted", LAST_BRAKE_TIMEOUT_S)
    times = []
    for vm in site.vms:
        site.wait(lambda: stopped(vm), f"the last brake reaches {vm.name}", LAST_BRAKE_TIMEOUT_S)
        times.append(boot_ms() - begin)
    return times


def percentiles(values):
    if not values:
        return "none"
    values = sorted(values)
    return " ".join(f"p{p} {values[min(len(values) - 1, len(values) * p // 100)]:.0f}" for p in (50, 99)) + f" worst {values[-1]:.0f}"


def report(callers, operators, faults, oracle, episodes):
    print("requests:", dict(collections.Counter(s.outcome for s in callers.log)))
    print("refusals:", dict(collections.Counter(s.reason for s in callers.log if s.reason)))
    print("patches:", dict(collections.Counter(p.result for p in operators.log)))
    print("patch in force, ms:", percentiles([p.answered - p.submitted for p in operators.log if p.result == "in_force"]))
    print("faults:", dict(collections.Counter(f[0] for f in faults.log)))
    print("checked:", dict(oracle.checked))
    if episodes.name == "crash_prompt":
        print("engines lost by the crash prompt:", episodes.engines_lost)


def keep_logs(site, faults, callers):
    with open(site.file("faults.txt"), "w", encoding="utf-8") as out:
        for kind, what, begin, end in sorted(faults.log, key=lambda fault: fault[2]):
            out.write(f"{begin:.0f} {end:.0f} {kind} {what}\n")
    with open(site.file("sent.txt"), "w", encoding="utf-8") as out:
        for sent in callers.log:
            out.write(f"{sent.at:.0f} {sent.end:.0f} {sent.vm} {sent.tag} {sent.request} {sent.version} {sent.outcome} {sent.reason}\n")


def checks_without_cases(args, oracle, episodes):
    if args.seconds < REQUIRED_FROM_S or args.no_faults:
        return []
    wanted = REQUIRED_CHECKS + EPISODE_CHECKS.get(episodes.name, [])
    return [f"check without a case: {what}" for what in wanted if not oracle.checked[what]]


def parse():
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", default="build")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=int, default=60)
    parser.add_argument("--vms", type=int, default=5)
    parser.add_argument("--callers", type=int, default=12)
    parser.add_argument("--episode", choices=["auto", "none", *Episodes.NAMES], default="auto")
    parser.add_argument("--keep", help="folder for settings, logs and records; kept")
    parser.add_argument("--slack", type=int, default=1, help="factor on the time limits of the checks, for a loaded machine")
    parser.add_argument("--bills-bound", type=int, default=BILLS_TIMEOUT_S, help="seconds until all bills are in the table")
    parser.add_argument("--no-faults", action="store_true")
    return parser.parse_args()


def run(args, site):
    """Runs the site for args.seconds; returns its parts and the violations found on the way."""
    callers = Callers(site, args.seed, args.callers)
    operators = Operators(site, args.seed)
    faults = Faults(site, args.seed)
    brakes = Brakes(site, operators, None if args.no_faults else faults, args.seed)
    name = "none" if args.no_faults else args.episode
    episodes = Episodes(site, faults, operators, callers, args.seed, name, args.seconds)
    parts = [callers, operators, brakes] + ([] if args.no_faults else [faults, episodes])
    for part in parts:
        part.start()
    time.sleep(args.seconds)
    for part in reversed(parts):
        part.stop()
    violations = episodes.violations
    try:
        settle(site, callers, faults, args.bills_bound)
        print("last brake at each gate, ms:", percentiles(last_brake(site, callers)))
    except RuntimeError as error:
        violations.append(str(error))
    return callers, operators, faults, brakes, episodes, violations


def main():
    args = parse()
    folder = args.keep or tempfile.mkdtemp(prefix="lovage-soak-")
    random.seed(args.seed)
    try:
        site = Site(args.build, folder, args.vms)
    except RuntimeError as error:
        print(f"soak: site did not start: {error}")
        return NOT_STARTED
    callers, operators, faults, brakes, episodes, violations = run(args, site)
    statuses = [p.stop(15, 60) for vm in site.vms for p in (vm.gate, vm.steward)]
    if any(statuses):
        violations.append(f"exit statuses after the last graceful stop: {statuses}")
    keep_logs(site, faults, callers)
    oracle = Oracle(site, callers, operators, faults, brakes, args.slack)
    violations += oracle.check() + invariant_lines(site) + checks_without_cases(args, oracle, episodes)
    with open(site.file("lost.txt"), "w", encoding="utf-8") as out:
        out.writelines(f"{sent.end:.0f} {sent.vm} {sent.tag} {sent.request}\n" for sent in oracle.lost)
    site.stop()
    report(callers, operators, faults, oracle, episodes)
    kinds = collections.Counter(violation.split(":")[0] for violation in violations)
    for kind in kinds:
        for violation in [v for v in violations if v.startswith(kind + ":")][:5]:
            print("VIOLATION", violation)
    if kinds:
        print("violations:", dict(kinds))
    print(f"soak: seed {args.seed}, {args.seconds} s, {args.vms} VMs, {episodes.name}: {len(violations)} violations")
    if not violations and not args.keep:
        shutil.rmtree(folder)
    elif violations:
        print("logs:", folder)
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
