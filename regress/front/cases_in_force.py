"""lovage-config beside the version in force, which it reads from the store: cases_in_force.py PROGRAM."""

import asyncio
import json
import os
import socket
import sys
import tempfile
import time

from store import Store, StoreEndpoint

GOOD = os.path.join(os.path.dirname(__file__), "../../examples/front-routing.json")
DEADLINE_S, LATE_S = 5, 4  # of the read; what a loaded machine may add
ROWS_PER_READ = 500  # at most
ROWS_BEFORE = 700


class Checker:
    """A store with one endpoint, and lovage-config on a document that is newer than the example."""

    def __init__(self, program, folder):
        self.program, self.next = program, os.path.join(folder, "next.json")
        with open(GOOD, encoding="utf-8") as file:
            self.good = file.read()
        with open(self.next, "w", encoding="utf-8") as file:
            file.write(self.good.replace('"Version": 12', '"Version": 13').replace('"Weight": 90', '"Weight": 10'))
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            self.port = free.getsockname()[1]
        self.address = f"127.0.0.1:{self.port}"
        self.store = Store()
        self.endpoint = StoreEndpoint(self.store, ("127.0.0.1", self.port))

    async def run(self, *arguments):
        """Returns exit status, standard output and standard error; fails if the store was written to."""
        before = self.store.version
        process = await asyncio.create_subprocess_exec(
            self.program, "check", f"--in-force={self.address}", *arguments, stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.PIPE)  # fmt: skip
        out, errors = await process.communicate()
        expect("version of the store", self.store.version, before)
        return process.returncode, out.decode(), errors.decode()

    async def expect_error(self, *texts):
        status, out, errors = await self.run(self.next)
        expect("exit status", status, 3)
        expect("standard output", out, "")
        for text in (f"lovage-config: {self.address}: ", *texts):
            expect_part(text, errors)


def expect(what, found, expected):
    if found != expected:
        raise AssertionError(f"{what}: {found!r}, not {expected!r}")


def expect_part(text, found):
    if text not in found:
        raise AssertionError(f"no {text!r} in {found!r}")


async def version_that_differs(checker):
    """The changes are told, and where the version in force came from."""
    await checker.store.put("op", "config", checker.good)
    status, out, _ = await checker.run(checker.next)
    expect("exit status", status, 0)
    expect_part('the share of service "ledger" falls from 90% to 50%', out)
    expect_part(f"compared with version 12 in force at the store {checker.address}\n", out)
    status, out, _ = await checker.run("--json", checker.next)
    expect("exit status", status, 0)
    expect("compared", json.loads(out)["compared"], {"store": checker.address, "version": 12})
    expect("changes", json.loads(out)["changes"], 3)


async def version_that_is_the_same(checker):
    """Fronts ignore it, and nothing else is said of it."""
    await checker.store.put("op", "config", checker.good)
    status, out, _ = await checker.run("--json", GOOD)
    expect("exit status", status, 2)
    expect("checks", [finding["check"] for finding in json.loads(out)["findings"]], ["version_order"])


async def version_behind_many_rows(checker):
    """Failure: the configuration isn't among the first rows that the store returns."""
    for number in range(ROWS_BEFORE):
        await checker.store.put("op", f"a/{number:04}", "{}")
    await checker.store.put("op", "config", checker.good)
    status, _, errors = await checker.run(checker.next)
    expect("exit status", (status, errors), (0, ""))
    expect("reads", len(checker.endpoint.pages), 2)
    expect("feeds", checker.endpoint.feeds, [])


async def version_behind_any_name(checker):
    """The last of the first rows that the store returns has a name with a meaning in URLs. Failure: the rest isn't read."""
    await checker.store.put("op", "config", checker.good)
    for number in range(ROWS_PER_READ - 1):
        await checker.store.put("op", f"b!{number:03}", "{}")
    for name in ("b#z", "b%z", "b%7a", "b&z", "b+z"):
        await checker.store.put("op", name, "{}")
        checker.endpoint.pages.clear()
        status, _, errors = await checker.run(checker.next)
        expect(f"exit status behind {name}", (status, errors), (0, ""))
        expect(f"reads behind {name}", len(checker.endpoint.pages), 2)
        await checker.store.put("op", name, None)


async def store_without_an_answer(checker):
    """Failure: the store takes requests and never answers. The deadline is kept."""
    checker.endpoint.set("silent")
    begun = time.monotonic()
    await checker.expect_error("store.read: no whole answer within 5000 ms")
    took = time.monotonic() - begun
    if not DEADLINE_S <= took < DEADLINE_S + LATE_S:
        raise AssertionError(f"took {took:.1f} s")


async def store_that_refuses(checker):
    """Failure: the store answers 503, resets connections, then doesn't listen."""
    checker.endpoint.set("busy")
    await checker.expect_error("store.read: the store answers with HTTP status 503")
    checker.endpoint.set("reset")
    await checker.expect_error("store.read: the connection was refused, or closed")
    checker.endpoint.close()
    await checker.expect_error("store.read: the connection was refused, or closed")


async def store_without_a_configuration(checker):
    """Failure: there is no configuration, or one that fronts refuse."""
    await checker.expect_error("store.read: the store has no configuration")
    await checker.store.put("op", "config", checker.good[:700])
    await checker.expect_error("no configuration to compare with: not JSON: the text ends before the document does")
    await checker.store.put("op", "config", "")
    await checker.expect_error("no configuration to compare with: there is no text")


CASES = [
    version_that_differs,
    version_that_is_the_same,
    version_behind_many_rows,
    version_behind_any_name,
    store_without_an_answer,
    store_that_refuses,
    store_without_a_configuration,
]


async def run_case(case, program):
    with tempfile.TemporaryDirectory(prefix="lovage-") as folder:
        checker = Checker(program, folder)
        await checker.endpoint.start()
        try:
            await case(checker)
        finally:
            checker.endpoint.close()


def main(program):
    failed = 0
    for case in CASES:
        try:
            asyncio.run(run_case(case, program))
            print(f"{case.__name__}: passed")
        except AssertionError as error:
            failed += 1
            print(f"{case.__name__}: FAILED, {error}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1]))
