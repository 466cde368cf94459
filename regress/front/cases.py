"""Whole-path cases of lovage-front against the stand-ins: cases.py PROGRAM [CASE...].

Each case runs on a site of its own. Its time limits are those guaranteed to users; some are longer, so that
the case does not fail on a loaded machine.
"""

import asyncio
import json
import shutil
import signal
import sys
import time
import traceback

from check import attempt_violations, cold_violations, limit_violations, rest_violations, site_violations
from engines import complete_stream, digest
from site_front import CALLERS_PORT, CONTROL_PORT, KEY, MODELS, Site, exchange

NESTED = 10000  # objects within each other
BUSY_TIMEOUT_S = 10  # limit for what takes a moment on an idle machine


def equal(found, expected, what):
    if found != expected:
        raise AssertionError(f"{what}: expected {expected!r}, found {found!r}")


def check(site, *answers):
    """Raises AssertionError if an attempt violates a guarantee (see check.py)."""
    violations = [violation for answer in answers for violation in attempt_violations(site, answer)]
    if violations:
        raise AssertionError("; ".join(violations))


def log_events(site, name):
    return [event for front in site.fronts for event in front.events(name)]


async def no_faults(site):
    """Without faults each front answers streams, orders (non-idempotent) and look-ups (idempotent) completely, on
    persistent connections."""
    for front in site.fronts:
        connection = await asyncio.open_connection(front.ip, CALLERS_PORT)
        for number in range(5):
            for path in ("/text/a", "/once/b", "/again/c"):
                answer = await site.call(front, f"{path}{number}", b"body%d" % number, connection=connection)
                equal((answer.status, answer.complete), (200, True), path)
                check(site, answer)
        connection[1].close()
    equal(len(site.runs), len(site.fronts) * 15, "arrivals at engines")


async def invalid_requests_are_refused(site):
    """A request with no route, an unknown key, a too large body or a malformed head is refused with its own
    status and reaches no engine."""
    front = site.fronts[0]
    equal((await site.call(front, "/none/")).status, 404, "no route")
    equal((await site.call(front, "/once/a", key="other")).status, 401, "unknown key")
    equal((await site.call(front, "/once/a", b"x" * 70000)).status, 413, "long body")
    bad = [
        b"POST /once/a HTTP/1.1\r\nHost: a.example\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        b"GET /once/a HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
        b"\x16\x03\x01 nonsense\r\n\r\n",
        site.request("/once/a", site.request("/once/b")[0], method="CONNECT")[0],
    ]
    for data in bad:
        answer = await exchange((front.ip, CALLERS_PORT), data, timeout=BUSY_TIMEOUT_S)
        equal((answer.status, answer.fields.get("connection")), (400, "close"), repr(data[:30]))
    equal(len(site.runs), 0, "arrivals at engines")


async def cascade(site):
    """The smallest model answers. If it states too low a confidence, the request goes to the largest model, and
    the caller gets one complete answer of one model."""
    texts = [engine for engine in site.engines if engine.service == "texts"]
    first = await site.call(site.fronts[0], "/text/a", b"easy")
    equal(first.body, complete_stream(MODELS[0], b"easy"), "the smallest model's answer")
    for engine in texts:
        engine.confidence = 20
    second = await site.call(site.fronts[0], "/text/a", b"hard")
    equal(second.body, complete_stream(MODELS[1], b"hard"), "the largest model's answer")
    check(site, first, second)


async def stream_is_resumed(site):
    """An engine closes or resets its connection within an event. The stream is resumed at another engine, and the
    caller gets each event exactly once."""
    for mode in ("half", "cut"):
        for engine in site.engines:
            engine.mode = mode if engine.service == "texts" and engine is site.engines[0] else "ok"
        for number in range(6):
            answer = await site.call(site.fronts[number % 2], "/text/a", b"%s%d" % (mode.encode(), number))
            equal((answer.status, answer.complete), (200, True), mode)
            check(site, answer)
    if not any(line["verdict"] == "now" for line in log_events(site, "request_resume")):
        raise AssertionError("no stream was resumed")


async def stream_without_length(site):
    """Engines answer with neither a length nor chunks, and end the connection after the stream, or one of two within
    an event. Guards against a broken stream that counts as complete, and against answers that are taken for broken."""
    texts = [engine for engine in site.engines if engine.service == "texts"]
    for mode in ("unframed", "torn"):
        for engine in site.engines:
            engine.mode = "unframed"
        texts[0].mode = mode
        for number in range(8):
            answers = [
                await site.call(site.fronts[number % 2], path, b"%s%d" % (mode.encode(), number))
                for path in ("/text/a", "/again/a", "/once/a")
            ]
            equal([(answer.status, answer.complete) for answer in answers], [(200, True)] * 3, mode)
            check(site, *answers)
    if not any(line["verdict"] == "now" for line in log_events(site, "request_resume")):
        raise AssertionError("no stream was resumed")


async def order_is_not_resent(site):
    """An engine runs an order and its answer is lost, truncated, invalid or an error. The order is not sent again,
    and its caller gets no refusal as not run."""
    for mode in ("lost", "half", "foreign", "unsigned", "error"):
        for engine in site.engines:
            engine.mode = mode
        answer = await site.call(site.fronts[0], f"/once/{mode}", b"order")
        equal(answer.status, 500 if mode == "error" else 502, mode)
        equal(len(site.runs_of(answer)), 1, f"runs of the order, {mode}")
        check(site, answer)
        idempotent = await site.call(site.fronts[0], f"/again/{mode}", b"look")
        check(site, idempotent)


async def refused_when_engines_are_full(site):
    """All engines are full. An order is refused within a second with Retry-After, and no engine has run it."""
    for engine in site.engines:
        engine.mode = "full"
    answer = await site.call(site.fronts[0], "/once/a", b"order")
    equal(answer.status, 503, "refusal")
    if float(answer.fields["retry-after"]) <= 0:
        raise AssertionError("refusal without Retry-After")
    equal([run.executed for run in site.runs_of(answer)].count(True), 0, "runs")
    if answer.ended_at - answer.sent_at > 1:
        raise AssertionError("the refusal took more than 1 s")


async def crashed_engines_use_no_attempts(site):
    """Five of six engines of a service crash at once, and their entries stay in the store. Each request reaches
    the sixth although its route allows three attempts: a connection that cannot be opened is no attempt."""
    for _ in range(4):
        await site.start_engine("orders")
    orders = [engine for engine in site.engines if engine.service == "orders"]
    await asyncio.sleep(1)
    for engine in orders[:-1]:
        await engine.crash()
    for front in site.fronts:
        answer = await site.call(front, "/once/a", b"order")
        equal(answer.status, 200, f"an order at front {front.number}")
        check(site, answer)


async def request_of_closed_connection_is_cancelled(site):
    """A caller closes its connection before its stream ends; the front cancels the request at the engine."""
    for engine in site.engines:
        engine.delay = 3.0
    answer = await site.call(site.fronts[0], "/text/a", b"long", timeout=0.5)
    await asyncio.sleep(0.5)
    runs = site.runs_of(answer)
    if not runs or any(run.ended == 0 for run in runs):
        raise AssertionError("an engine still runs a request whose caller left")


async def gateway_timeout(site):
    """An engine accepts a request and does not answer. The caller gets 504 at the route's time-out."""
    for engine in site.engines:
        engine.mode = "mute"
    answer = await site.call(site.fronts[0], "/once/a", b"order")
    equal(answer.status, 504, "answer")
    if not 2.4 < answer.ended_at - answer.sent_at < 2.5 + BUSY_TIMEOUT_S:
        raise AssertionError("the answer did not come at the route's time-out")


async def new_configuration(site):
    """A new configuration version replaces a key and a route. Each front applies it within two seconds, and a
    later version that cannot be read does not change it."""
    site.keys = ["key-two"]
    site.routes[1] = {**site.routes[1], "Prefix": "/moved/"}
    await site.configure()
    await asyncio.sleep(2.0)
    for front in site.fronts:
        equal((await site.call(front, "/again/a")).status, 401, "the old key")
        equal((await site.call(front, "/once/a", key="key-two")).status, 404, "the old route")
        equal((await site.call(front, "/moved/a", key="key-two")).status, 200, "the new route")
    await site.store.put("op", "config", json.dumps({"Version": 9999, "Routes": [{"Kind": "odd"}]}))
    await asyncio.sleep(0.5)
    equal((await site.call(site.fronts[0], "/moved/a", key="key-two")).status, 200, "after an unreadable version")


async def changes_from_peers_without_store(site):
    """One front cannot read the store while a key is revoked and an engine leaves. It learns both from the other
    fronts."""
    front = site.fronts[0]
    for mode in ("busy", "reset", "silent"):
        front.store_endpoint.set(mode)
        site.keys = [f"key-{mode}"]
        await site.configure()

        async def knows(key=site.keys[0]):
            return (await site.call(front, "/again/a", key=key)).status == 200

        await site.wait(knows, f"the new key while the store is {mode}", BUSY_TIMEOUT_S)
        equal((await site.call(front, "/again/a", key=KEY)).status, 401, "the revoked key")
        front.store_endpoint.set("ok")
    front.store_endpoint.set("busy")
    leaving = site.engines[-1]
    await leaving.drain()
    await asyncio.sleep(2.0)
    site.runs.clear()
    for number in range(20):
        await site.call(front, f"/again/{number}", key=site.keys[0])
    if any(run.engine is leaving for run in site.runs):
        raise AssertionError("an engine that leaves got new work")


async def only_changed_rows_from_own_domain(site):
    """One front cannot read the store while engines leave one by one. It fetches only the changed rows, and from a
    front of its own failure domain. If each change were fetched as the complete list of servers from any
    other front, 300 fronts with 3,000 servers would saturate their links."""
    front = site.fronts[0]
    front.store_endpoint.set("busy")
    before = len(front.events("news_fetched"))
    for leaving in site.engines[1:3]:
        await leaving.drain()
        await asyncio.sleep(1.5)
    fetched = front.events("news_fetched")[before:]
    if not fetched:
        raise AssertionError("nothing was fetched from the other fronts")
    for event in fetched:
        if event["since"] == 0 or event["same_domain"] != 1:
            raise AssertionError(f"all rows were fetched, or from another failure domain: {event}")


async def long_table_from_peer_at_start(site):
    """A front restarts on a site with 1,400 servers, while the store takes a second for each page of 500. It gets
    all rows from a peer and reads no page from the store, as 300 fronts that read all pages would fill the
    store's link for many seconds. A registered front reads pages, for the others too, only if no peer is
    known to have the rows."""
    entry = site.store.rows["servers", site.engines[0].name][0]
    for number in range(1400):
        await site.store.put("servers", f"j-{number}", entry.replace('"texts"', '"spare"'))
    front = site.fronts[0]

    async def knows_all(which):
        text = (await which.get(CONTROL_PORT, "/metrics")).body.decode()
        return any(line.startswith("lovage_front_servers 14") for line in text.splitlines())

    await site.wait(lambda: knows_all(site.fronts[2]), "all servers at the peer")

    async def pages_of_start():
        await front.kill()
        front.store_endpoint.set("slow")
        front.store_endpoint.pages.clear()
        await front.start()
        await site.wait(lambda: knows_all(front), "all servers after the start")
        await asyncio.sleep(2)
        front.store_endpoint.set("ok")
        return len([page for page in front.store_endpoint.pages if "Table=servers" in page])

    async def registered():
        return ("lovagehub_fronts", front.ip) in site.store.rows

    equal(await registered(), False, "registered within its first seconds")
    equal(await pages_of_start(), 0, "pages of servers read from the store")
    await site.wait(registered, "the front's registration")
    equal(await pages_of_start(), 0, "pages read by a registered front")


async def key_replaced_after_store_hung(site):
    """The store does not answer for two seconds and all connections stay open. Requests from before or within that
    time are never answered. A key is replaced directly afterwards: all fronts must apply that soon after the
    store answers again, and not only when their long polls time out."""
    for front in site.fronts:
        front.store_endpoint.set("hold")
    await asyncio.sleep(2)
    for front in site.fronts:
        front.store_endpoint.set("ok")
    site.keys = ["key-new"]
    await site.configure()
    for front in site.fronts:

        async def knows(front=front):
            return (await site.call(front, "/again/a", key="key-new")).status == 200

        await site.wait(knows, f"the new key at front {front.number}", BUSY_TIMEOUT_S)


async def start_without_store(site):
    """A front that restarts and cannot read the store becomes ready with the tables of the other fronts."""
    front = site.fronts[1]
    front.store_endpoint.set("busy")
    await front.kill()
    await front.start()
    await site.wait(front.is_ready, "ready with the tables of the other fronts")
    answer = await site.call(front, "/once/a", b"x")
    equal(answer.status, 200, "an order")


async def all_fronts_restart(site):
    """All fronts are killed at once and restart, so that none can get the tables from another. Each becomes ready
    soon, and only the ten registered ones read the tables from the store."""
    for _ in range(9):
        site.fronts.append(type(site.fronts[0])(site, len(site.fronts)))
    for front in site.fronts[3:]:
        await front.store_endpoint.start()
        await front.start()

    def registered():
        return sum(table == "lovagehub_fronts" for table, _ in site.store.rows)

    async def ten_registered():
        return registered() == 10

    await site.wait(ten_registered, "five of six fronts of each failure domain are registered")
    await asyncio.gather(*(front.kill() for front in site.fronts))
    for front in site.fronts:
        front.store_endpoint.pages.clear()
    for front in site.fronts:
        await front.start()
    for front in site.fronts:
        await site.wait(front.is_ready, f"front {front.number} ready", BUSY_TIMEOUT_S)
    for front in site.fronts:
        equal((await site.call(front, "/once/a", b"order")).status, 200, f"an order at front {front.number}")
    tables = [page for front in site.fronts for page in front.store_endpoint.pages if "lovagehub_fronts" not in page]
    lists = sum(len(front.store_endpoint.pages) for front in site.fronts) - len(tables)
    equal(lists, len(site.fronts), "reads of the list of fronts")
    if len(tables) > 10 * 3:
        raise AssertionError(f"{len(tables)} reads of three tables by ten registered fronts")
    equal(registered(), 10, "registered fronts")


async def restart_with_wrong_seeds(site):
    """All fronts restart while no front is registered, and no front listens on the seed addresses of their settings.
    Each reads the store and registers, and reads the list of fronts again while it knows no other front, so
    that all find each other. A front without peers would not learn of their evidence against a bad version."""
    for front in site.fronts:
        await front.kill()
        site.store.rows.pop(("lovagehub_fronts", front.ip), None)
    for front in site.fronts:
        front.seeds = [f"{site.subnet}.250:{CONTROL_PORT}"]
        await front.start()

    async def knows_all(front):
        text = (await front.get(CONTROL_PORT, "/metrics")).body.decode()
        return "lovage_front_peers_alive 3" in text

    for front in site.fronts:
        await site.wait(front.is_ready, f"front {front.number} ready")
        await site.wait(lambda front=front: knows_all(front), f"front {front.number} knows the others")


async def requests_wait_for_configuration(site):
    """A front restarts and gets requests before a peer has sent it the configuration. These requests wait and
    are served. If they were refused, the callers would retry half a second later and then give up."""
    front = site.fronts[0]
    front.store_endpoint.set("slow")
    for round_number in range(3):
        await front.kill()
        await front.start()
        statuses = []
        while not statuses:
            answer = await site.call(front, f"/again/{round_number}", b"early")
            statuses += [answer.status] if answer.status else []
            await asyncio.sleep(0.002)
        equal(statuses, [200], "the first answer after the start")


async def refused_without_configuration(site):
    """A front starts and can reach neither the store nor another front. Its callers are refused within a second,
    with Retry-After, and do not wait until their deadlines."""
    front = site.fronts[0]
    for other in site.fronts:
        await other.kill()
    front.store_endpoint.set("busy")
    await front.start()
    answer = await site.call(front, "/again/a", b"early")
    while not answer.status:
        answer = await site.call(front, "/again/a", b"early")
    equal((answer.status, len(site.runs_of(answer))), (503, 0), "the refusal")
    if answer.ended_at - answer.sent_at > BUSY_TIMEOUT_S:
        raise AssertionError("the refusal came too late")
    if float(answer.fields["retry-after"]) <= 0:
        raise AssertionError("refusal without Retry-After")


async def dropped_history(site):
    """The store drops its history while an engine leaves and a configuration is written, so that feeds are answered
    410. A front reads the tables completely and applies both."""
    site.store.drop_history()
    await site.engines[-1].leave()
    site.store.drop_history()
    site.keys = ["key-new"]
    await site.configure()
    site.store.drop_history()

    async def known():
        return (await site.call(site.fronts[0], "/again/a", key="key-new")).status == 200

    await site.wait(known, "the new key", BUSY_TIMEOUT_S)


async def lost_answer_to_status_write(site):
    """A front writes a roll-out's status, and the store's answer is lost. The status is written once, not twice, and
    the roll-out continues when the store answers again."""
    for front in site.fronts:
        front.store_endpoint.set("lost")
    for _ in range(2):
        await site.add_engine("texts", "v2").start()
    await site.store.put("op", "rollout/texts", json.dumps({"Service": "texts", "Target": "v2", "RampS": 60}))
    await asyncio.sleep(1)
    for front in site.fronts:
        front.store_endpoint.set("ok")

    async def running():
        return (site.store.get("status", "rollout/texts") or {}).get("State") == "running"

    await site.wait(running, "the status", BUSY_TIMEOUT_S)


async def traffic(site, until, prefix="/text/", keep_failed=None):
    """Calls all fronts at once, round after round, until the time until; returns the answers."""
    answers = []
    number = 0
    while time.monotonic() < until:
        batch = [
            site.call(front, f"{prefix}{number}", b"%d.%d" % (number, front.number)) for front in site.fronts
        ]
        answers += await asyncio.gather(*batch)
        number += 1
    return answers


async def good_rollout(site):
    """A roll-out of a good version: its share of the work rises gradually, it is reported as completed in time, and
    from then on the old version gets no work."""
    for _ in range(2):
        await site.add_engine("texts", "v2").start()
    await site.store.put("op", "rollout/texts", json.dumps({"Service": "texts", "Target": "v2", "RampS": 10}))
    began = time.monotonic()
    answers = await traffic(site, began + 9.5)
    check(site, *answers)
    equal([answer.status for answer in answers if answer.status != 200], [], "other answers")
    equal(site.store.get("status", "rollout/texts")["State"], "completed", "status")
    early = [run for run in site.runs if run.at < began + 4 and run.engine.service == "texts"]
    moved = sum(run.engine.version == "v2" for run in early) / len(early)
    if moved > 0.15:
        raise AssertionError(f"{moved:.2f} of the work went to the new version in the first 4 s")
    site.runs.clear()
    check(site, *await traffic(site, time.monotonic() + 1))
    if any(run.engine.version == "v1" for run in site.runs if run.engine.service == "texts"):
        raise AssertionError("the old version got work after the roll-out")


async def bad_rollout(site):
    """A roll-out of a version that fails all requests is rolled back after at most 50 of them."""
    for _ in range(2):
        engine = site.add_engine("texts", "v2")
        engine.mode = "error"
        await engine.start()
    await site.store.put("op", "rollout/texts", json.dumps({"Service": "texts", "Target": "v2", "RampS": 20}))
    answers = await traffic(site, time.monotonic() + 6)
    equal(site.store.get("status", "rollout/texts")["State"], "rolled_back", "status")
    bad = [run for run in site.runs if run.engine.version == "v2"]
    if not 1 <= len(bad) <= 50:
        raise AssertionError(f"{len(bad)} requests reached the bad version")
    check(site, *answers)


async def slow_rollout(site):
    """A roll-out of a version whose answers begin a second late. No request fails, because each is sent to another
    engine too; the roll-out is rolled back all the same."""
    for _ in range(2):
        engine = site.add_engine("texts", "v2")
        engine.delay = 1.0
        await engine.start()
    await site.store.put("op", "rollout/texts", json.dumps({"Service": "texts", "Target": "v2", "RampS": 20}))
    answers = await traffic(site, time.monotonic() + 9)
    check(site, *answers)
    equal(site.store.get("status", "rollout/texts")["State"], "rolled_back", "status")


async def crashing_request_is_refused(site):
    """A request crashes each engine that runs it, and its caller sends it again and again. After three engines all
    fronts refuse it, and serve other requests."""
    for _ in range(4):
        await site.add_engine("orders").start()
    crash_request_body = digest(b"killer").encode()
    for engine in site.engines:
        engine.crash_bodies = {crash_request_body}
    refused = 0
    for number in range(8):
        answer = await site.call(site.fronts[number % len(site.fronts)], "/again/kill", crash_request_body)
        refused += answer.status == 503 and not site.runs_of(answer)
        await asyncio.sleep(1.2)
    if refused < 4:
        raise AssertionError(f"refused only {refused} of 8 times")
    equal((await site.call(site.fronts[0], "/again/other", b"innocent")).status, 200, "another request's status")


async def lost_answers_do_not_quarantine(site):
    """Engines lose the answers to a request four times but do not crash. The request is not quarantined, and is
    served when the engines answer again."""
    for _ in range(4):
        await site.add_engine("orders").start()
    for number in range(4):
        for engine in site.engines:
            engine.mode = "lost"
        await site.call(site.fronts[number % len(site.fronts)], "/again/a", b"unlucky")
        await asyncio.sleep(0.6)
    for engine in site.engines:
        engine.mode = "ok"
    equal((await site.call(site.fronts[0], "/again/a", b"unlucky")).status, 200, "the same request")


async def leaving_engine(site):
    """An engine drains and another is removed from the store while requests come; neither gets new work after two
    seconds."""
    await site.engines[0].drain()
    await site.engines[-1].leave()
    await traffic(site, time.monotonic() + 4, "/again/")
    violations = site_violations(site, lambda at: 0)
    equal(violations, [], "violations")


async def engine_says_that_it_leaves(site):
    """No store answers. A model engine and a plain service say in their answers that they leave; the fronts that passed
    on such an answer send them nothing more, also after their entries expired and they are listed as ready again."""
    for front in site.fronts:
        front.store_endpoint.set("silent")
    leaving = [site.engines[0], site.engines[2]]
    for engine in leaving:
        engine.says_leaving = True
    answers = await call_concurrently(site, 12, 1, ("/text/", "/again/"))
    told = {
        (site.front_of[answer.request], answer.fields["lovagehub-server-signature"].removeprefix("sig."))
        for answer in answers
        if "server-leaving" in answer.fields
    }
    equal({engine for _, engine in told}, {engine.name for engine in leaving}, "engines that said so")
    await asyncio.sleep(0.5)
    site.runs.clear()

    async def expect_no_work(when):
        answers = await call_concurrently(site, 12, 1, ("/text/", "/again/", "/once/"))
        late = [run.request for run in site.runs if (site.front_of[run.request], run.engine.name) in told]
        equal(len(late), 0, f"requests to engines that leave {when}")
        equal({answer.status for answer in answers}, {200}, "answers")
        check(site, *answers)

    await expect_no_work("without a store")
    for engine in leaving:
        await site.store.put("servers", engine.name, None)
        await engine.report()
    for front in site.fronts:
        front.store_endpoint.set("ok")
    await asyncio.sleep(3)
    await expect_no_work("and are listed again")


async def last_engine_says_that_it_leaves(site):
    """The only engine of a service turns a request away and says that it leaves. Requests are refused at once as not
    run, and served again as soon as another engine is listed."""
    orders = [engine for engine in site.engines if engine.service == "orders"]
    await orders[1].leave()
    await asyncio.sleep(3)
    orders[0].says_leaving, orders[0].mode = True, "full"
    front = site.fronts[0]
    await site.call(front, "/once/a", b"first")
    site.runs.clear()
    answer = await site.call(front, "/once/a", b"second")
    equal((answer.status, len(site.runs)), (503, 0), "refusal")
    if float(answer.fields["retry-after"]) <= 0 or answer.ended_at - answer.sent_at > 1:
        raise AssertionError("refusal without Retry-After, or after more than 1 s")
    await site.start_engine("orders")

    async def served():
        return (await site.call(front, "/once/a", b"third")).status == 200

    await site.wait(served, "an answer of the new engine")


async def engine_restarts_at_new_address(site):
    """An engine stops answering and restarts with the same id at another address; the connections to the old
    process hang. A request that ran there is sent again as soon as the restart is known, new work goes to the
    new address, and a late report of the old process changes nothing."""
    orders = [engine for engine in site.engines if engine.service == "orders"]
    await orders[1].leave()
    await asyncio.sleep(1)
    restarted, first = orders[0], orders[0].entry()
    restarted.mode = "mute"
    call = asyncio.ensure_future(site.call(site.fronts[0], "/again/a", b"held"))
    await asyncio.sleep(0.1)
    await restarted.restart((restarted.address[0], restarted.address[1] + 500))
    answer = await call
    equal(answer.status, 200, "the look-up that hung at the old process")
    equal([run.engine.name for run in site.runs_of(answer)], [restarted.name, restarted.name], "where it ran")
    reasons = [event["reason"] for event in log_events(site, "request_retry") if event["request"] == answer.request]
    equal(reasons, ["answer_cut"], "why it was sent again")
    await site.store.put("servers", restarted.name, json.dumps({**first, "State": "draining"}))
    await asyncio.sleep(1)
    for front in site.fronts:
        equal((await site.call(front, "/once/b", b"new")).status, 200, "an order after the late report")


async def invalid_server_rows(site):
    """The list of servers has rows that cannot be read and one with an address where nothing listens. They get no
    requests, the unreadable ones are logged, and the engines are used as before."""
    good = site.engines[0].entry()
    rows = [
        "\x00\xff", "[]", json.dumps({**good, "State": "resting"}), json.dumps({**good, "Slots": -1}),
        json.dumps({**good, "born": "yesterday"}), json.dumps({k: v for k, v in good.items() if k != "Zone"}),
        '{"a":' * NESTED + "1" + "}" * NESTED, json.dumps({**good, "Slots": 10**30}),
        json.dumps({**good, "Address": "127.0.0.1:70000"}),
        json.dumps({**good, "Service": "no such service", "Address": "127.0.0.1:9"}),
    ]  # fmt: skip
    for number, row in enumerate(rows):
        await site.store.put("servers", f"odd-{number}", row)
    await asyncio.sleep(1)
    for answer in await traffic(site, time.monotonic() + 1, "/again/"):
        equal((answer.status, len(site.runs_of(answer))), (200, 1), "a look-up")
    events = {event["server"]: event["state"] for event in log_events(site, "server_state")}
    equal([events.get(f"odd-{number}") for number in range(len(rows))], ["unreadable"] * 9 + ["ready"], "log")
    front = site.fronts[1]
    front.store_endpoint.set("busy")
    await front.kill()
    await front.start()
    await site.wait(front.is_ready, "ready with these rows of another front")
    equal((await site.call(front, "/again/last", b"x")).status, 200, "a look-up at the front that started")


async def expect_no_work_in_domain(site, domain, fronts=None):
    """Sends requests to the fronts (default: all) and checks that none reaches an engine of the failure domain."""
    site.runs.clear()
    for front in fronts or site.fronts:
        for number in range(8):
            for path in ("/text/", "/once/", "/again/"):
                answer = await site.call(front, f"{path}e{number}", b"e%d" % number)
                equal(answer.status, 200, path)
                check(site, answer)
    equal([run.engine.name for run in site.runs if run.engine.domain == domain], [], "arrivals in the failure domain")


async def wait_for_work_in_domain(site, domain):
    async def works():
        site.runs.clear()
        for front in site.fronts:
            for number in range(8):
                await site.call(front, f"/again/w{number}", b"w%d" % number)
        return any(run.engine.domain == domain for run in site.runs)

    await site.wait(works, f"work for domain {domain}", BUSY_TIMEOUT_S)


async def evacuated_domain(site):
    """The operator evacuates a failure domain whose engines are healthy. Its engines get no work until the order is
    removed, neither from a front that cannot read the store nor from one that has just started."""
    site.fronts[1].store_endpoint.set("busy")
    await site.store.put("op", "evacuate/a", "{}")
    await asyncio.sleep(2)
    await expect_no_work_in_domain(site, "a")
    site.fronts[1].store_endpoint.set("ok")
    await site.fronts[2].kill()
    await site.fronts[2].start()
    await site.wait(site.fronts[2].is_ready, "ready again")
    await expect_no_work_in_domain(site, "a", [site.fronts[2]])
    await site.store.put("op", "evacuate/a", None)
    await wait_for_work_in_domain(site, "a")


async def evacuation_with_dropped_history(site):
    """The store drops its history around the order of an evacuation and around its removal, so that no feed has
    the removal. Fronts learn both all the same."""
    site.store.drop_history()
    await site.store.put("op", "evacuate/b", "{}")
    site.store.drop_history()
    await asyncio.sleep(2)
    await expect_no_work_in_domain(site, "b")
    await site.store.put("op", "evacuate/b", None)
    site.store.drop_history()
    await wait_for_work_in_domain(site, "b")


async def all_domains_evacuated(site):
    """Both failure domains are evacuated. Callers are refused within a second, as not run and with Retry-After."""
    for domain in "ab":
        await site.store.put("op", f"evacuate/{domain}", "{}")
    await asyncio.sleep(2)
    answer = await site.call(site.fronts[0], "/once/a", b"order")
    equal((answer.status, len(site.runs_of(answer))), (503, 0), "the refusal")
    if float(answer.fields["retry-after"]) <= 0 or answer.ended_at - answer.sent_at > 1:
        raise AssertionError("refusal without Retry-After, or after more than 1 s")
    reasons = [e["reason"] for e in log_events(site, "request_refused") if e["request"] == answer.request]
    equal(reasons, ["evacuated"], "the reason")


async def invalid_evacuations(site):
    """Evacuation orders that are malformed, name no failure domain, or name one without engines, and one that is
    written and removed twice. Invalid orders are logged as refused, the others are obeyed, and requests are served."""
    for key, value in (("evacuate/a", "\x00\xff"), ("evacuate/a", "{}"), ("evacuate/nowhere", "[]"),
                       ("evacuate/", "{}"), ("evacuate/" + "x" * 100, "{}")):  # fmt: skip
        await site.store.put("op", key, value)
    await asyncio.sleep(2)
    await expect_no_work_in_domain(site, "a")
    events = log_events(site, "evacuation")
    equal(sorted({e["domain"] for e in events if e["state"] == "ordered"}), ["a", "nowhere"], "orders in the log")
    equal(len([e for e in events if e["state"] == "refused"]), 2 * len(site.fronts), "refused orders")
    await site.store.put("op", "evacuate/a", None)
    await site.store.put("op", "evacuate/a", None)
    await wait_for_work_in_domain(site, "a")


async def call_concurrently(site, callers, seconds, paths=("/again/",)):
    """Runs so many concurrent callers over all fronts, and over the paths, for so many seconds; returns the answers."""
    until = time.monotonic() + seconds

    async def caller(number):
        answers = []
        while time.monotonic() < until:
            front = site.fronts[number % len(site.fronts)]
            path = paths[number // len(site.fronts) % len(paths)]
            answers.append(await site.call(front, f"{path}{number}", b"c%d.%d" % (number, len(answers))))
        return answers

    return [answer for answers in await asyncio.gather(*map(caller, range(callers))) for answer in answers]


async def cold_engines(site):
    """All engines have just started, and would crash above a small rate, when thirty callers come at once. No engine
    gets more requests than the limit for cold engines; the others are refused without running, with Retry-After."""
    site.cold_per_s = 4
    await site.configure()
    for engine in site.engines:
        engine.set_cold(6)
        await engine.report()
    await asyncio.sleep(0.5)
    site.runs.clear()
    answers = await call_concurrently(site, 30, 3)
    equal(cold_violations(site), [], "violations of the limit for cold engines")
    check(site, *answers)
    refused = [answer for answer in answers if answer.status == 503]
    if not refused or len(refused) == len(answers):
        raise AssertionError(f"{len(refused)} of {len(answers)} refused")
    if any(float(answer.fields["retry-after"]) <= 0 or site.runs_of(answer) for answer in refused):
        raise AssertionError("a refusal without Retry-After, or of a request that ran")
    reasons = {event["reason"] for event in log_events(site, "request_refused")}
    equal(reasons, {"servers_cold"}, "reasons")


async def cold_engines_after_evacuation(site):
    """An evacuation ends while thirty callers send requests. The engines are cold, but their entries show it only
    with the next heartbeat; the limit for cold engines must hold from the start."""
    site.cold_per_s = 4
    await site.configure()
    await site.evacuate("a")
    await asyncio.sleep(2)
    taken = asyncio.ensure_future(site.end_evacuation("a"))
    check(site, *await call_concurrently(site, 30, 3))
    await taken
    equal(cold_violations(site), [], "violations of the limit for cold engines")
    if not any(run.cold for run in site.runs):
        raise AssertionError("the failure domain got no work after its evacuation ended")


async def limited_engines(site):
    """Engines name a limit in their answers. Once told, all fronts together keep to it, also with larger models' runs
    and retries; what no engine takes is refused without running, with Retry-After."""
    await site.start_engine("texts")
    for number, engine in enumerate(site.engines):
        engine.limit, engine.confidence = (1.7, 3)[number % 2], 20
    site.engines[0].mode, site.engines[2].mode = "full", "error"
    paths = ("/text/", "/once/", "/again/")
    await call_concurrently(site, 18, 1, paths)
    await asyncio.sleep(0.5)
    site.runs.clear()
    answers = await call_concurrently(site, 27, 6, paths)
    equal(limit_violations(site), [], "violations of the engines' limits")
    check(site, *answers)
    refused = [answer for answer in answers if answer.status == 503]
    if not refused or len(refused) == len(answers):
        raise AssertionError(f"{len(refused)} of {len(answers)} refused")
    if any(float(answer.fields["retry-after"]) <= 0 for answer in refused):
        raise AssertionError("a refusal without Retry-After")


async def answers_are_kept_without_another_engine(site):
    """All engines name limits, so that no other one may get a request. A small model's answer of low confidence is
    relayed, and an engine that is late is waited for: neither is dropped for an attempt that can't be made."""
    for engine in site.engines:
        engine.limit, engine.confidence, engine.delay = 2, 20, 0.6
    paths = ("/text/", "/again/")
    await call_concurrently(site, 12, 5, paths)  # beyond the first seconds, in which a front takes a small share
    answers = await call_concurrently(site, 12, 4, paths)
    equal({answer.status for answer in answers}, {200, 503}, "answers")
    for path in paths:
        if not any(answer.status == 200 and answer.path.startswith(path) for answer in answers):
            raise AssertionError(f"no answer to {path}")
    check(site, *answers)


async def unlimited_engines_take_over(site):
    """One of two engines of each service names a limit. The requests that exceed it go to the other one, and none is
    refused. When the limit has ended, the engine gets more again."""
    limited = site.engines[2]
    limited.limit = 1.7
    await call_concurrently(site, 6, 1)
    site.runs.clear()
    answers = await call_concurrently(site, 6, 4)
    equal({answer.status for answer in answers}, {200}, "answers")
    equal(limit_violations(site), [], "violations of the engines' limits")
    limited.limit = None

    async def busy_again():
        before = len(site.runs)
        await call_concurrently(site, 6, 1)
        return sum(run.engine is limited for run in site.runs[before:]) > 20

    await site.wait(busy_again, "work for an engine whose limit has ended")


async def refusals_do_not_end_a_limit(site):
    """An engine that names a limit also turns requests away, in refusals that don't name it. Only an answer tells that
    the limit has ended, so the fronts keep to it."""
    limited = site.engines[2]
    limited.limit, limited.refuses_without_notices = 3, True
    await call_concurrently(site, 6, 1)
    await asyncio.sleep(0.5)
    site.runs.clear()
    limited.mode = "full"
    answers = await call_concurrently(site, 9, 5)
    equal(limit_violations(site), [], "violations of the engine's limit")
    equal({answer.status for answer in answers}, {200}, "answers")


async def engine_asks_for_rest(site):
    """One of two engines of a service turns requests away and asks for rest. Each front that it turned away leaves it
    alone for so long, the other engine serves all requests, and when it takes requests again it gets some."""
    tired = site.engines[2]
    tired.mode, tired.rest = "full", 2.5
    answers = await call_concurrently(site, 9, 6)
    equal(rest_violations(site), [], "requests to the engine that rests")
    equal({answer.status for answer in answers}, {200}, "answers")
    check(site, *answers)
    tired.mode = "ok"

    async def works():
        await call_concurrently(site, 9, 0.5)
        return any(run.engine is tired and run.executed for run in site.runs)

    await site.wait(works, "work for the engine after its rest")


async def all_engines_ask_for_rest(site):
    """All engines of a service ask for rest. Requests are refused at once, as not run and with the time until the rest
    ends, without being sent to them."""
    for engine in site.engines:
        engine.mode, engine.rest = "full", 3
    front = site.fronts[0]
    await site.call(front, "/once/a", b"first")
    await asyncio.sleep(0.6)
    site.runs.clear()
    answers = [await site.call(front, "/once/a", b"%d" % number) for number in range(20)]
    equal(({answer.status for answer in answers}, len(site.runs)), ({503}, 0), "refusals and arrivals")
    if any(not 0.5 < float(answer.fields["retry-after"]) <= 3 for answer in answers):
        raise AssertionError("a Retry-After that isn't the time until the rest ends")
    if any(answer.ended_at - answer.sent_at > 1 for answer in answers):
        raise AssertionError("a refusal took more than 1 s")
    reasons = {event["reason"] for event in log_events(site, "request_refused")}
    equal(reasons, {"servers_resting"}, "reasons")


async def invalid_cold_rates(site):
    """Invalid limits for cold engines in the configuration are ignored, and requests are served."""
    for rate in (0, -1, 1e300, "many", None):
        site.cold_per_s = rate
        await site.configure()
        for engine in site.engines:
            engine.set_cold(2)
            await engine.report()
        await asyncio.sleep(0.3)
        for front in site.fronts:
            equal((await site.call(front, "/once/a", b"%d" % front.number)).status, 200, f"rate {rate}")


async def metrics_and_logs(site):
    """The log has each decision on a request with the request's id, and the control address serves the counters."""
    answer = await site.call(site.fronts[0], "/once/a", b"x")
    refused = await site.call(site.fronts[0], "/none/")
    text = (await site.fronts[0].get(CONTROL_PORT, "/metrics")).body.decode()
    for line in ("lovage_front_requests_total 2", "lovage_front_answered_total 1", "lovage_front_refused_total 1"):
        if line not in text:
            raise AssertionError(f"no \"{line}\" among the metrics")
    logged = [e["event"] for name in ("request_sent", "request_answered") for e in log_events(site, name) if e["request"] == answer.request]
    equal(logged, ["request_sent", "request_answered"], "the request's lines")
    reasons = [e["reason"] for e in log_events(site, "request_refused") if e["request"] == refused.request]
    equal(reasons, ["no_route"], "the refusal's reason")


CASES = [
    no_faults, invalid_requests_are_refused, cascade, stream_is_resumed, stream_without_length, order_is_not_resent,
    refused_when_engines_are_full, crashed_engines_use_no_attempts, request_of_closed_connection_is_cancelled,
    gateway_timeout, new_configuration,
    changes_from_peers_without_store, only_changed_rows_from_own_domain, long_table_from_peer_at_start,
    key_replaced_after_store_hung, start_without_store, all_fronts_restart, restart_with_wrong_seeds,
    requests_wait_for_configuration, refused_without_configuration, dropped_history, lost_answer_to_status_write,
    good_rollout, bad_rollout, slow_rollout, crashing_request_is_refused, lost_answers_do_not_quarantine,
    metrics_and_logs,
]  # fmt: skip
SERVER_CASES = [  # run by cases_servers.py
    leaving_engine, engine_says_that_it_leaves, last_engine_says_that_it_leaves, engine_restarts_at_new_address, invalid_server_rows, evacuated_domain,
    evacuation_with_dropped_history, all_domains_evacuated, invalid_evacuations, cold_engines,
    cold_engines_after_evacuation, limited_engines,
    answers_are_kept_without_another_engine, unlimited_engines_take_over,
    refusals_do_not_end_a_limit,
    engine_asks_for_rest, all_engines_ask_for_rest, invalid_cold_rates,
]  # fmt: skip


async def run_case(program, case):
    """Runs a case on a new site; keeps the site's logs if it fails."""
    site = Site(program)
    passed = False
    try:
        await site.start()
        await case(site)
        for front in site.fronts:
            if front.process.returncode not in (None, 0) and front.process.returncode > 0:
                raise AssertionError(f"front {front.number} ended with {front.process.returncode}")
        passed = True
    except Exception:  # a failed case is reported, and the next one runs
        traceback.print_exc()
    finally:
        await site.stop()
    print(f"{case.__name__}: {'passed' if passed else 'FAILED, logs in ' + site.folder}", flush=True)
    if passed:
        shutil.rmtree(site.folder)
    return passed


def main(cases):
    program, names = sys.argv[1], sys.argv[2:]
    chosen = [case for case in cases if not names or case.__name__ in names]
    results = [asyncio.run(run_case(program, case)) for case in chosen]
    print(f"{results.count(True)} of {len(results)} cases passed")
    return 0 if all(results) and results else 1


if __name__ == "__main__":
    sys.exit(main(CASES))
