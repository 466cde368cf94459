#!/usr/bin/env python3
"""Reads logs of lovage-front.

front_log.py story ID FILE...     all lines of one request, by VM and time
front_log.py summary FILE...      what ended badly or changed, by second, event and reason

A line may have anything before its JSON object, such as a collector's time and the VM's name; a first
word that is a number is taken for the time, in seconds, and otherwise the VM's own clock is used.
"""

import collections
import json
import re
import sys

QUIET = {"request_sent", "request_answered", "request_cascade", "server_state", "peer_state"}
ENDS = {"request_answered", "request_refused", "request_failed", "request_cancelled"}
LINE = re.compile(r"^\s*(-?[\d.]+)?[^{]*(\{.*\})\s*$")


def lines(paths):
    """(seconds, object) of each readable line; others are counted and told at the end."""
    unread = 0
    for path in paths:
        with open(path, encoding="utf-8", errors="replace") as source:
            for text in source:
                found = LINE.match(text)
                try:
                    entry = json.loads(found[2]) if found else None
                except ValueError:
                    entry = None
                if not isinstance(entry, dict) or "event" not in entry:
                    unread += 1
                    continue
                yield float(found[1]) if found[1] else entry["ms"] / 1000, entry
    if unread:
        print(f"({unread} lines are not of lovage-front)", file=sys.stderr)


def story(request, paths):
    """All lines of a request, and what became of the front that had it if none of them ends it."""
    found, starts, last = [], collections.defaultdict(list), {}
    for at, entry in lines(paths):
        last[entry["vm"]] = max(at, last.get(entry["vm"], at))
        if entry["event"] == "start":
            starts[entry["vm"]].append(at)
        if entry.get("request") == request:
            found.append((at, entry))
    found.sort(key=lambda x: x[0])
    for at, entry in found:
        rest = {name: value for name, value in entry.items() if name not in ("ms", "vm", "event", "request")}
        print(f"{at:12.3f} {entry['vm']} {entry['event']:18} " + " ".join(f"{n}={v}" for n, v in rest.items()))
    if found and found[-1][1]["event"] not in ENDS:
        at, vm = found[-1][0], found[-1][1]["vm"]
        again = [start for start in starts[vm] if start > at]
        if again:
            print(f"{'':12} {vm} has no line that ends it; its process was started anew at {again[0]:.3f}")
        else:
            print(f"{'':12} {vm} has no line that ends it; the last line of this VM is of {last[vm]:.3f}")
    return 0 if found else 1


def summary(paths):
    counts = collections.Counter()
    for at, entry in lines(paths):
        if entry["event"] not in QUIET:
            what = entry.get("reason") or entry.get("table") or entry.get("state") or entry.get("phase") or ""
            counts[int(at), entry["event"], str(what), entry.get("verdict", "")] += 1
    for (second, event, what, verdict), number in sorted(counts.items()):
        print(f"{second:8} {number:5} {event} {what} {verdict}")
    return 0 if counts else 1


def main():
    if len(sys.argv) >= 4 and sys.argv[1] == "story":
        return story(sys.argv[2], sys.argv[3:])
    if len(sys.argv) >= 3 and sys.argv[1] == "summary":
        return summary(sys.argv[2:])
    print(__doc__, file=sys.stderr)
    return 2


if __name__ == "__main__":
    sys.exit(main())
