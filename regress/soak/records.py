"""Reads what a run recorded: the engines' records of the requests that they ran, and the bill table."""

import collections
import json
import os

from site_vms import http


def scan(site, table):
    """All rows of a table, read page by page."""
    rows, start = [], ""
    while True:
        url = f"http://{site.platform[0]}:{site.platform[1]}/v1/scan?table={table}&from={start}&limit=500"
        page = json.loads(http("GET", url)[2])["rows"]
        rows += page
        if len(page) < 500:
            return rows
        start = page[-1]["key"] + "0"


def read_bills(site):
    """The usage records by the keys of their rows."""
    return {row["key"]: json.loads(row["value"]) for row in scan(site, "bill")}


class Records:
    """The runs at all engines and the service, the same by tag, and the bills."""

    def __init__(self, site):
        self.site = site
        self.runs = self._read_records()
        self.bills = read_bills(site)
        self.by_tag = collections.defaultdict(list)
        for run in self.runs:
            self.by_tag[run["user"]].append(run)

    def _read_records(self):
        runs, latest = [], {}
        for name in self.site.engines:
            path = self.site.file(f"record-{name}")
            if not os.path.exists(path):
                continue
            with open(path, encoding="utf-8") as lines:
                for line in lines:
                    try:
                        entry = json.loads(line)
                    except ValueError:
                        continue  # a line that a killed engine did not complete
                    # A line with a user begins a run; later lines of the same run add to it. The numbers of runs
                    # start again after an engine was killed, so that a number refers to its latest beginning.
                    if "user" in entry:
                        latest[name, entry["run"]] = entry
                        runs.append(entry)
                    else:
                        latest[name, entry["run"]].update(entry)
            self._name_server(runs, name)
        return runs + self._read_service()

    @staticmethod
    def _name_server(runs, name):
        for run in runs:
            run.setdefault("server", name)

    def _read_service(self):
        """The plain service's calls, in the form of the engines' records."""
        calls = json.loads(http("GET", "http://%s:%d/v1/record" % self.site.service)[2])
        return [
            {
                "user": json.loads(call["body"])["user"], "request": call["request"], "model": "ledger",
                "started_ms": call["started_boot_ms"], "ended": "whole", "text": "", "server": "ledger-0",
            }
            for call in calls
        ]  # fmt: skip
