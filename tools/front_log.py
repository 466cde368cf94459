#!/usr/bin/env python3
"""Reads logs of lovage-front.

front_log.py story ID FILE...     prints all lines of one request, by time, with the VM
front_log.py summary FILE...      counts failures and changes of state by second, event and reason
front_log.py changes FILE...      how long after the first VM each later one applied a change of the
                                  configuration or of a server's entry, the longest first. Needs a collector's times

A line may have any text before its JSON object, such as a log collector's time and the VM's name. If its first
word is a number, that is the time in seconds; otherwise the time of the VM's own clock in the object is used.
"""

import collections
import json
import re
import sys

# Events that the summary leaves out, and events that end a request.
OMITTED_EVENTS = {"request_sent", "request_answered", "request_cascade", "server_state", "peer_state"}
CHANGE_EVENTS = {"config_applied": "config", "server_state": "server"}
CHANGES_SHOWN = 20
END_EVENTS = {"request_answered", "request_refused", "request_failed", "request_cancelled"}
LINE = re.compile(r"^\s*(-?[\d.]+)?[^{]*(\{.*\})\s*$")


def read_lines(paths):
    """Yields (time in seconds, object) of each log line; prints the number of other lines at the end."""
    skipped = 0
    for path in paths:
        with open(path, encoding="utf-8", errors="replace") as source:
            for text in source:
                found = LINE.match(text)
                try:
                    entry = json.loads(found[2]) if found else None
                except ValueError:
                    entry = None
                if not isinstance(entry, dict) or "event" not in entry:
                    skipped += 1
                    continue
                yield float(found[1]) if found[1] else entry["ms"] / 1000, entry
    if skipped:
        print(f"({skipped} lines are not of lovage-front)", file=sys.stderr)


def story(request, paths):
    """Prints all lines of a request; if none of them ends it, also the restart or the last line of its front."""
    found, starts_of, last_of = [], collections.defaultdict(list), {}
    for at, entry in read_lines(paths):
        last_of[entry["vm"]] = max(at, last_of.get(entry["vm"], at))
        if entry["event"] == "start":
            starts_of[entry["vm"]].append(at)
        if entry.get("request") == request:
            found.append((at, entry))
    found.sort(key=lambda x: x[0])
    for at, entry in found:
        fields = {name: value for name, value in entry.items() if name not in ("ms", "vm", "event", "request")}
        print(f"{at:12.3f} {entry['vm']} {entry['event']:18} " + " ".join(f"{n}={v}" for n, v in fields.items()))
    if found and found[-1][1]["event"] not in END_EVENTS:
        at, vm = found[-1][0], found[-1][1]["vm"]
        restarts = [start for start in starts_of[vm] if start > at]
        if restarts:
            print(f"{'':12} {vm} has no line that ends it; its process was restarted at {restarts[0]:.3f}")
        else:
            print(f"{'':12} {vm} has no line that ends it; the last line of this VM is at {last_of[vm]:.3f}")
    return 0 if found else 1


def summary(paths):
    """Prints the number of events by second, event, reason and verdict."""
    counts = collections.Counter()
    for at, entry in read_lines(paths):
        if entry["event"] not in OMITTED_EVENTS:
            detail = entry.get("reason") or entry.get("table") or entry.get("state") or entry.get("phase") or ""
            counts[int(at), entry["event"], str(detail), entry.get("verdict", "")] += 1
    for (second, event, detail, verdict), number in sorted(counts.items()):
        print(f"{second:8} {number:5} {event} {detail} {verdict}")
    return 0 if counts else 1


def changes(paths):
    """Prints for the changes that took longest which VM applied each last, and how long after the first one. A VM that
    started meanwhile read the change as it started, and is left out."""
    started, applied = {}, collections.defaultdict(dict)
    for at, entry in sorted(read_lines(paths), key=lambda x: x[0]):
        vm = entry["vm"]
        if entry["event"] == "start":
            started[vm] = at
        if entry["event"] not in CHANGE_EVENTS:
            continue
        name = f"{entry[CHANGE_EVENTS[entry['event']]]} {entry.get('state', '')}".strip()
        vms = applied[entry["event"], name, entry["row_version"]]
        first = min((at for at, _ in vms.values()), default=at)
        if vm in started and started[vm] >= first:
            continue
        vms.setdefault(vm, (at, entry.get("confirmed_age_ms", -1)))
    found = []
    for (event, name, _), vms in applied.items():
        if not vms:
            continue
        first = min(at for at, _ in vms.values())
        last, (at, age_ms) = max(vms.items(), key=lambda item: item[1][0])
        found.append((at - first, first, event, name, last, age_ms, len(vms)))
    for late_s, first, event, name, last, age_ms, count in sorted(found, reverse=True)[:CHANGES_SHOWN]:
        print(f"{late_s:8.3f} s {event} {name}: first at {first:.3f}, last {last} of {count}, confirmed {age_ms} ms before")
    return 0 if found else 1


def main():
    if len(sys.argv) >= 4 and sys.argv[1] == "story":
        return story(sys.argv[2], sys.argv[3:])
    if len(sys.argv) >= 3 and sys.argv[1] == "summary":
        return summary(sys.argv[2:])
    if len(sys.argv) >= 3 and sys.argv[1] == "changes":
        return changes(sys.argv[2:])
    print(__doc__, file=sys.stderr)
    return 2


if __name__ == "__main__":
    sys.exit(main())
