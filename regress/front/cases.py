"""Whole-path cases of lovage-front against the stand-ins: cases.py PROGRAM [CASE...].

Each case has a site of its own. Bounds of time are those that users are promised, widened for a busy
machine where a case would otherwise fail for the machine's sake.
"""

import asyncio
import json
import shutil
import signal
import sys
import time
import traceback

from check import attempt_faults, cold_faults, site_faults
from engines import digest, whole_stream
from site_front import CALLERS, CONTROL, KEY, MODELS, Site, exchange

BUSY_S = 10  # for what takes a moment on an idle machine


def equal(found, expected, what):
    if found != expected:
        raise AssertionError(f"{what}: expected {expected!r}, found {found!r}")


def check(site, *answers):
    faults = [fault for answer in answers for fault in attempt_faults(site, answer)]
    if faults:
        raise AssertionError("; ".join(faults))


def log_events(site, name):
    return [event for front in site.fronts for event in front.events(name)]


async def calm(site):
    """Streams, orders and look-ups are answered whole, on kept connections too, at each front."""
    for front in site.fronts:
        keep = await asyncio.open_connection(front.ip, CALLERS)
        for number in range(5):
            for path in ("/text/a", "/once/b", "/again/c"):
                answer = await site.call(front, f"{path}{number}", b"body%d" % number, keep=keep)
                equal((answer.status, answer.whole), (200, True), path)
                check(site, answer)
        keep[1].close()
    equal(len(site.runs), len(site.fronts) * 15, "arrivals at engines")


async def refusals(site):
    """A caller learns at once what is wrong: no such route, an unknown key, an unreadable request."""
    front = site.fronts[0]
    equal((await site.call(front, "/none/")).status, 404, "no route")
    equal((await site.call(front, "/once/a", key="other")).status, 401, "unknown key")
    equal((await site.call(front, "/once/a", b"x" * 70000)).status, 413, "long body")
    bad = [
        b"POST /once/a HTTP/1.1\r\nHost: a.example\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        b"GET /once/a HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
        b"\x16\x03\x01 nonsense\r\n\r\n",
    ]
    for data in bad:
        answer = await exchange((front.ip, CALLERS), data, timeout=BUSY_S)
        equal((answer.status, answer.fields.get("connection")), (400, "close"), repr(data[:30]))
    equal(len(site.runs), 0, "arrivals at engines")


async def cascade(site):
    """The smallest model answers; what it doesn't trust is asked of the largest, and the caller gets
    one whole answer of one model."""
    texts = [engine for engine in site.engines if engine.service == "texts"]
    first = await site.call(site.fronts[0], "/text/a", b"easy")
    equal(first.body, whole_stream(MODELS[0], b"easy"), "the smallest model's answer")
    for engine in texts:
        engine.confidence = 20
    second = await site.call(site.fronts[0], "/text/a", b"hard")
    equal(second.body, whole_stream(MODELS[1], b"hard"), "the largest model's answer")
    check(site, first, second)


async def resume(site):
    """An engine stops within an event or resets. The caller's stream goes on at another engine, with
    no event missing or twice."""
    for mode in ("half", "cut"):
        for engine in site.engines:
            engine.mode = mode if engine.service == "texts" and engine is site.engines[0] else "ok"
        for number in range(6):
            answer = await site.call(site.fronts[number % 2], "/text/a", b"%s%d" % (mode.encode(), number))
            equal((answer.status, answer.whole), (200, True), mode)
            check(site, answer)
    if not any(line["verdict"] == "now" for line in log_events(site, "request_resume")):
        raise AssertionError("no stream was resumed")


async def run_once(site):
    """An order's engine runs it and its answer is lost. Nothing runs it again, and the caller isn't
    told that it did not run."""
    for mode in ("lost", "half", "foreign", "unsigned", "error"):
        for engine in site.engines:
            engine.mode = mode
        answer = await site.call(site.fronts[0], f"/once/{mode}", b"order")
        equal(answer.status, 500 if mode == "error" else 502, mode)
        equal(len(site.runs_of(answer)), 1, f"runs of the order, {mode}")
        check(site, answer)
        idempotent = await site.call(site.fronts[0], f"/again/{mode}", b"look")
        check(site, idempotent)


async def not_run(site):
    """All engines are full. An order is refused at once with a time to come back, and the promise
    that it did not run is kept."""
    for engine in site.engines:
        engine.mode = "full"
    answer = await site.call(site.fronts[0], "/once/a", b"order")
    equal(answer.status, 503, "refusal")
    if float(answer.fields["retry-after"]) <= 0:
        raise AssertionError("no time to come back")
    equal([run.executed for run in site.runs_of(answer)].count(True), 0, "runs")
    if answer.ended_at - answer.sent_at > 1:
        raise AssertionError("the refusal was held back")


async def crashed_engines(site):
    """Five of six engines of a service crash at one moment; their entries stay until the store misses
    them. Each request finds the sixth, though its route allows three attempts: nothing arrives at an
    engine that can't be reached."""
    for _ in range(4):
        await site.make_engine("orders")
    orders = [engine for engine in site.engines if engine.service == "orders"]
    await asyncio.sleep(1)
    for engine in orders[:-1]:
        await engine.crash()
    for front in site.fronts:
        answer = await site.call(front, "/once/a", b"order")
        equal(answer.status, 200, f"an order at front {front.number}")
        check(site, answer)


async def caller_leaves(site):
    """A caller gives up in the middle of a stream; the engine's work ends with it."""
    for engine in site.engines:
        engine.delay = 3.0
    answer = await site.call(site.fronts[0], "/text/a", b"long", timeout=0.5)
    await asyncio.sleep(0.5)
    runs = site.runs_of(answer)
    if not runs or any(run.ended == 0 for run in runs):
        raise AssertionError("an engine still works for a caller that left")


async def timeouts(site):
    """An engine takes a request and is silent. At the route's time-out the caller has an answer."""
    for engine in site.engines:
        engine.mode = "mute"
    answer = await site.call(site.fronts[0], "/once/a", b"order")
    equal(answer.status, 504, "answer")
    if not 2.4 < answer.ended_at - answer.sent_at < 2.5 + BUSY_S:
        raise AssertionError("not at the route's time-out")


async def planned_stop(site):
    """A front is stopped while it streams. The stream is finished, the balancer is told, idle
    connections are closed, and the process ends well before it would be killed."""
    front = site.fronts[0]
    for engine in site.engines:
        engine.delay = 1.0
    stream = asyncio.ensure_future(site.call(front, "/text/a", b"slow"))
    await asyncio.sleep(0.3)
    began = time.monotonic()
    front.signal(signal.SIGTERM)
    await asyncio.sleep(0.3)
    equal(await front.is_ready(), False, "ready while stopping")
    answer = await stream
    equal((answer.status, answer.whole), (200, True), "the stream")
    equal(await front.stop(), 0, "exit status")
    if time.monotonic() - began > 8:
        raise AssertionError("the stop took too long")


async def stopping_serves_what_ends_in_time(site):
    """All fronts of a failure domain stop at once, so callers come on to one that stops. Three
    seconds after the signal it still streams: it serves an order, which ends before the process
    must, and refuses a new stream at once."""
    front = site.fronts[0]
    for engine in site.engines:
        engine.delay = 4.0 if engine.streams else 0.0
    stream = asyncio.ensure_future(site.call(front, "/text/a", b"slow"))
    await asyncio.sleep(0.3)
    front.signal(signal.SIGTERM)
    await asyncio.sleep(3.0)
    order = await site.call(front, "/once/a", b"order")
    refused = await site.call(front, "/text/b", b"late")
    answer = await stream
    equal((answer.status, answer.whole), (200, True), "the stream")
    equal(order.status, 200, "the order")
    equal((refused.status, len(site.runs_of(refused))), (503, 0), "the late stream")
    check(site, answer, order, refused)
    equal(await front.stop(), 0, "exit status")


async def new_configuration(site):
    """A version removes a key and a route and adds others; each front goes by it within two seconds,
    and never back."""
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
    equal((await site.call(site.fronts[0], "/moved/a", key="key-two")).status, 200, "after an unreadable one")


async def turned_away(site):
    """The store turns one front away while a key is revoked and an engine leaves. It learns both
    from the others."""
    front = site.fronts[0]
    for mode in ("busy", "reset", "silent"):
        front.door.set(mode)
        site.keys = [f"key-{mode}"]
        await site.configure()

        async def knows(key=site.keys[0]):
            return (await site.call(front, "/again/a", key=key)).status == 200

        await site.wait(knows, f"the new key while the store is {mode}", BUSY_S)
        equal((await site.call(front, "/again/a", key=KEY)).status, 401, "the revoked key")
        front.door.set("ok")
    front.door.set("busy")
    leaving = site.engines[-1]
    await leaving.drain()
    await asyncio.sleep(2.0)
    site.runs.clear()
    for number in range(20):
        await site.call(front, f"/again/{number}", key=site.keys[0])
    if any(run.engine is leaving for run in site.runs):
        raise AssertionError("a leaving engine got new work")


async def late_news(site):
    """The store turns one front away while engines leave one by one. Were each change fetched as the
    whole list of servers from any other front, 300 fronts with 3,000 servers would fill their links
    with these lists: only what changed is asked for, of a neighbour."""
    front = site.fronts[0]
    front.door.set("busy")
    before = len(front.events("news_fetched"))
    for leaving in site.engines[1:3]:
        await leaving.drain()
        await asyncio.sleep(1.5)
    fetched = front.events("news_fetched")[before:]
    if not fetched:
        raise AssertionError("nothing was fetched from the other fronts")
    for event in fetched:
        if event["since"] == 0 or event["same_domain"] != 1:
            raise AssertionError(f"more than the changes was fetched, or from afar: {event}")


async def long_table_at_start(site):
    """A front restarts beside 1,400 servers, while the store takes a second for each page of 500. It
    has them all from a neighbour, without a page of the store's: three hundred fronts that read all
    pages fill the store's link for many seconds. One that is registered, so that others count on it
    to ask the store, asks the store only if it hears of no neighbour that has them."""
    entry = site.store.rows["servers", site.engines[0].name][0]
    for number in range(1400):
        await site.store.put("servers", f"j-{number}", entry.replace('"texts"', '"spare"'))
    front = site.fronts[0]

    async def knows_all(which):
        text = (await which.get(CONTROL, "/metrics")).body.decode()
        return any(line.startswith("lovage_front_servers 14") for line in text.splitlines())

    await site.wait(lambda: knows_all(site.fronts[2]), "all servers at the neighbour")

    async def pages_of_start():
        await front.kill()
        front.door.set("slow")
        front.door.pages.clear()
        await front.start()
        await site.wait(lambda: knows_all(front), "all servers after the start")
        await asyncio.sleep(2)
        front.door.set("ok")
        return len([page for page in front.door.pages if "Table=servers" in page])

    async def registered():
        return ("lovagehub_fronts", front.ip) in site.store.rows

    equal(await registered(), False, "registered within its first seconds")
    equal(await pages_of_start(), 0, "pages of servers read from the store")
    await site.wait(registered, "the front's registration")
    equal(await pages_of_start(), 0, "pages read by a registered front")


async def held_questions(site):
    """The store falls silent for two seconds without any connection ending. What was asked before or
    meanwhile is never answered, and no front knows that a key was revoked since. All must know soon
    after the store is back, not when their long questions are over."""
    for front in site.fronts:
        front.door.set("hold")
    await asyncio.sleep(2)
    for front in site.fronts:
        front.door.set("ok")
    site.keys = ["key-new"]
    await site.configure()
    for front in site.fronts:

        async def knows(front=front):
            return (await site.call(front, "/again/a", key="key-new")).status == 200

        await site.wait(knows, f"the new key at front {front.number}", BUSY_S)


async def start_without_store(site):
    """All that a restarted front can ask are the other fronts: the store is away for it."""
    front = site.fronts[1]
    front.door.set("busy")
    await front.kill()
    await front.start()
    await site.wait(front.is_ready, "ready with what the others know")
    answer = await site.call(front, "/once/a", b"x")
    equal(answer.status, 200, "an order")


async def all_start_again(site):
    """All fronts lose power at one moment and start again, while nobody else knows anything. Each is
    ready soon, and the store is asked for its tables by the registered ones only."""
    for _ in range(9):
        site.fronts.append(type(site.fronts[0])(site, len(site.fronts)))
    for front in site.fronts[3:]:
        await front.door.start()
        await front.start()

    def registered():
        return sum(table == "lovagehub_fronts" for table, _ in site.store.rows)

    async def ten_registered():
        return registered() == 10

    await site.wait(ten_registered, "five of six fronts of each failure domain are registered")
    await asyncio.gather(*(front.kill() for front in site.fronts))
    for front in site.fronts:
        front.door.pages.clear()
    for front in site.fronts:
        await front.start()
    for front in site.fronts:
        await site.wait(front.is_ready, f"front {front.number} ready", BUSY_S)
    for front in site.fronts:
        equal((await site.call(front, "/once/a", b"order")).status, 200, f"an order at front {front.number}")
    tables = [page for front in site.fronts for page in front.door.pages if "lovagehub_fronts" not in page]
    lists = sum(len(front.door.pages) for front in site.fronts) - len(tables)
    equal(lists, len(site.fronts), "readings of the list of fronts")
    if len(tables) > 10 * 3:
        raise AssertionError(f"{len(tables)} readings of three tables by ten registered fronts")
    equal(registered(), 10, "registered fronts")


async def wrong_seeds(site):
    """All fronts start anew in an empty store, and the addresses that their settings name belong to
    nobody. Each reads the store and registers; alone, it reads the list again, and so all find each
    other. Left alone, a front would never hear what the others know of a bad version."""
    for front in site.fronts:
        await front.kill()
        site.store.rows.pop(("lovagehub_fronts", front.ip), None)
    for front in site.fronts:
        front.seeds = [f"{site.subnet}.250:{CONTROL}"]
        await front.start()

    async def knows_all(front):
        text = (await front.get(CONTROL, "/metrics")).body.decode()
        return "lovage_front_peers_alive 3" in text

    for front in site.fronts:
        await site.wait(front.is_ready, f"front {front.number} ready")
        await site.wait(lambda front=front: knows_all(front), f"front {front.number} knows the others")


async def callers_at_start(site):
    """A front is killed and starts again while its callers are already back. It needs a moment until
    a neighbour has told it the configuration; who comes in that moment waits and is served. Refused,
    a caller comes again half a second later, for the last time that it tries."""
    front = site.fronts[0]
    front.door.set("slow")
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
    """A front starts and can ask nobody. Its callers are refused within a second, with a time to come
    back; they are not kept until their deadlines."""
    front = site.fronts[0]
    for other in site.fronts:
        await other.kill()
    front.door.set("busy")
    await front.start()
    answer = await site.call(front, "/again/a", b"early")
    while not answer.status:
        answer = await site.call(front, "/again/a", b"early")
    equal((answer.status, len(site.runs_of(answer))), (503, 0), "the refusal")
    if answer.ended_at - answer.sent_at > BUSY_S:
        raise AssertionError("the refusal was held back")
    if float(answer.fields["retry-after"]) <= 0:
        raise AssertionError("no time to come back")


async def forgotten_history(site):
    """The store drops its history while an engine leaves and a version is written."""
    site.store.forget()
    await site.engines[-1].leave()
    site.store.forget()
    site.keys = ["key-new"]
    await site.configure()
    site.store.forget()

    async def known():
        return (await site.call(site.fronts[0], "/again/a", key="key-new")).status == 200

    await site.wait(known, "the new key", BUSY_S)


async def lost_write(site):
    """A roll-out's status is written and the answer lost. It is written once, not twice, and the
    roll-out goes on."""
    for front in site.fronts:
        front.door.set("lost")
    for _ in range(2):
        await site.add_engine("texts", "v2").start()
    await site.store.put("op", "rollout/texts", json.dumps({"Service": "texts", "Target": "v2", "RampS": 60}))
    await asyncio.sleep(1)
    for front in site.fronts:
        front.door.set("ok")

    async def running():
        return (site.store.get("status", "rollout/texts") or {}).get("State") == "running"

    await site.wait(running, "the status", BUSY_S)


async def traffic(site, until, prefix="/text/", keep_failed=None):
    """Calls in turn at all fronts until a moment; returns the answers."""
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
    """A good version: sessions begin on it by and by, it is reported completed within its time, and
    from then on nothing runs on the old one."""
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
        raise AssertionError(f"{moved:.2f} of the work went to the new version early on")
    site.runs.clear()
    check(site, *await traffic(site, time.monotonic() + 1))
    if any(run.engine.version == "v1" for run in site.runs if run.engine.service == "texts"):
        raise AssertionError("the old version still gets work")


async def bad_rollout(site):
    """A version that fails all requests is stopped everywhere after few of them."""
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
    """A version that begins its answers a second late, so that each is asked for elsewhere, never
    fails a request. It is stopped all the same."""
    for _ in range(2):
        engine = site.add_engine("texts", "v2")
        engine.delay = 1.0
        await engine.start()
    await site.store.put("op", "rollout/texts", json.dumps({"Service": "texts", "Target": "v2", "RampS": 20}))
    answers = await traffic(site, time.monotonic() + 9)
    check(site, *answers)
    equal(site.store.get("status", "rollout/texts")["State"], "rolled_back", "status")


async def crash_request(site):
    """One request kills each engine that runs it, and its caller sends it again and again. After
    three engines it is refused everywhere."""
    for _ in range(4):
        await site.add_engine("orders").start()
    killer = digest(b"killer").encode()
    for engine in site.engines:
        engine.poison = killer
    refused = 0
    for number in range(8):
        answer = await site.call(site.fronts[number % len(site.fronts)], "/again/kill", killer)
        refused += answer.status == 503 and not site.runs_of(answer)
        await asyncio.sleep(1.2)
    if refused < 4:
        raise AssertionError(f"refused only {refused} of 8 times")
    equal((await site.call(site.fronts[0], "/again/other", b"innocent")).status, 200, "another request")


async def lost_answers(site):
    """Engines lose the answers of a request four times over but live. It is no killer, and is served
    once they are well."""
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
    """Engines drain or vanish from the list while requests come; none gets new work after two
    seconds."""
    await site.engines[0].drain()
    await site.engines[-1].leave()
    await traffic(site, time.monotonic() + 4, "/again/")
    faults = site_faults(site, lambda at: 0)
    equal(faults, [], "faults")


async def engine_starts_again(site):
    """An engine falls silent within an answer and starts again under its id at another address; its
    old connections hang. What ran there goes on elsewhere as soon as the new start is known, new
    work reaches the new address, and a late report of the first start changes nothing."""
    orders = [engine for engine in site.engines if engine.service == "orders"]
    await orders[1].leave()
    await asyncio.sleep(1)
    reborn, first = orders[0], orders[0].entry()
    reborn.mode = "mute"
    call = asyncio.ensure_future(site.call(site.fronts[0], "/again/a", b"held"))
    await asyncio.sleep(0.1)
    await reborn.start_again((reborn.address[0], reborn.address[1] + 500))
    answer = await call
    equal(answer.status, 200, "the look-up that the first start held")
    equal([run.engine.name for run in site.runs_of(answer)], [reborn.name, reborn.name], "where it ran")
    reasons = [event["reason"] for event in log_events(site, "request_retry") if event["request"] == answer.request]
    equal(reasons, ["answer_cut"], "why it was sent again")
    await site.store.put("servers", reborn.name, json.dumps({**first, "State": "draining"}))
    await asyncio.sleep(1)
    for front in site.fronts:
        equal((await site.call(front, "/once/b", b"new")).status, 200, "an order at the later start")


async def foreign_entries(site):
    """Somebody else writes into the list of engines: rows that can't be read, and rows that name a
    place where nobody listens. They get no request, and the engines go on."""
    good = site.engines[0].entry()
    rows = [
        "\x00\xff", "[]", json.dumps({**good, "State": "resting"}), json.dumps({**good, "Slots": -1}),
        json.dumps({**good, "born": "yesterday"}), json.dumps({k: v for k, v in good.items() if k != "Zone"}),
        json.dumps({**good, "Service": "no such service", "Address": "127.0.0.1:9"}),
    ]  # fmt: skip
    for number, row in enumerate(rows):
        await site.store.put("servers", f"odd-{number}", row)
    await asyncio.sleep(1)
    for answer in await traffic(site, time.monotonic() + 1, "/again/"):
        equal((answer.status, len(site.runs_of(answer))), (200, 1), "a look-up")
    events = {event["server"]: event["state"] for event in log_events(site, "server_state")}
    equal([events.get(f"odd-{number}") for number in range(len(rows))], ["unreadable"] * 6 + ["ready"], "log")


async def domain_gets_nothing(site, domain, fronts=None):
    """No request reaches the failure domain's engines, whichever front it comes to."""
    site.runs.clear()
    for front in fronts or site.fronts:
        for number in range(8):
            for path in ("/text/", "/once/", "/again/"):
                answer = await site.call(front, f"{path}e{number}", b"e%d" % number)
                equal(answer.status, 200, path)
                check(site, answer)
    equal([run.engine.name for run in site.runs if run.engine.domain == domain], [], "arrivals there")


async def domain_gets_work(site, domain):
    async def works():
        site.runs.clear()
        for front in site.fronts:
            for number in range(8):
                await site.call(front, f"/again/w{number}", b"w%d" % number)
        return any(run.engine.domain == domain for run in site.runs)

    await site.wait(works, f"work for domain {domain}", BUSY_S)


async def evacuated_domain(site):
    """A failure domain's engines go on as if nothing were, but the operator wants them to get nothing.
    Fronts that were turned away by the store or have just started obey, too, until it is taken back."""
    site.fronts[1].door.set("busy")
    await site.store.put("op", "evacuate/a", "{}")
    await asyncio.sleep(2)
    await domain_gets_nothing(site, "a")
    site.fronts[1].door.set("ok")
    await site.fronts[2].kill()
    await site.fronts[2].start()
    await site.wait(site.fronts[2].is_ready, "ready again")
    await domain_gets_nothing(site, "a", [site.fronts[2]])
    await site.store.put("op", "evacuate/a", None)
    await domain_gets_work(site, "a")


async def evacuation_forgotten(site):
    """The store drops its history while an evacuation is ordered, and again while it is taken back: the
    removal is in no feed."""
    site.store.forget()
    await site.store.put("op", "evacuate/b", "{}")
    site.store.forget()
    await asyncio.sleep(2)
    await domain_gets_nothing(site, "b")
    await site.store.put("op", "evacuate/b", None)
    site.store.forget()
    await domain_gets_work(site, "b")


async def evacuated_everywhere(site):
    """Both failure domains are evacuated. Callers learn at once that nothing ran and when to come back."""
    for domain in "ab":
        await site.store.put("op", f"evacuate/{domain}", "{}")
    await asyncio.sleep(2)
    answer = await site.call(site.fronts[0], "/once/a", b"order")
    equal((answer.status, len(site.runs_of(answer))), (503, 0), "the refusal")
    if float(answer.fields["retry-after"]) <= 0 or answer.ended_at - answer.sent_at > 1:
        raise AssertionError("no time to come back, or held back")
    reasons = [e["reason"] for e in log_events(site, "request_refused") if e["request"] == answer.request]
    equal(reasons, ["evacuated"], "the reason")


async def odd_evacuations(site):
    """Rows that are broken, name no failure domain or one that nobody has, and the same one twice. What
    can't be obeyed is logged; the others are obeyed, and the requests go on."""
    for key, value in (("evacuate/a", "\x00\xff"), ("evacuate/a", "{}"), ("evacuate/nowhere", "[]"),
                       ("evacuate/", "{}"), ("evacuate/" + "x" * 100, "{}")):  # fmt: skip
        await site.store.put("op", key, value)
    await asyncio.sleep(2)
    await domain_gets_nothing(site, "a")
    events = log_events(site, "evacuation")
    equal(sorted({e["domain"] for e in events if e["state"] == "ordered"}), ["a", "nowhere"], "orders in the log")
    equal(len([e for e in events if e["state"] == "refused"]), 2 * len(site.fronts), "refused orders")
    await site.store.put("op", "evacuate/a", None)
    await site.store.put("op", "evacuate/a", None)
    await domain_gets_work(site, "a")


async def crowd(site, callers, seconds):
    """Many callers at once at all fronts; returns the answers."""
    until = time.monotonic() + seconds

    async def caller(number):
        answers = []
        while time.monotonic() < until:
            front = site.fronts[number % len(site.fronts)]
            answers.append(await site.call(front, f"/again/{number}", b"c%d.%d" % (number, len(answers))))
        return answers

    return [answer for answers in await asyncio.gather(*map(caller, range(callers))) for answer in answers]


async def cold_engines(site):
    """All engines have just started and crash above a small rate, as a crowd comes. No engine gets more;
    who finds no place is refused at once, truly not run, with a time to come back."""
    site.cold_per_s = 4
    await site.configure()
    for engine in site.engines:
        engine.chill(6)
        await engine.report()
    await asyncio.sleep(0.5)
    site.runs.clear()
    answers = await crowd(site, 30, 3)
    equal(cold_faults(site), [], "the bound of cold engines")
    check(site, *answers)
    refused = [answer for answer in answers if answer.status == 503]
    if not refused or len(refused) == len(answers):
        raise AssertionError(f"{len(refused)} of {len(answers)} refused")
    if any(float(answer.fields["retry-after"]) <= 0 or site.runs_of(answer) for answer in refused):
        raise AssertionError("a refusal without a time to come back, or that ran")
    reasons = {event["reason"] for event in log_events(site, "request_refused")}
    equal(reasons, {"servers_cold"}, "reasons")


async def back_from_evacuation(site):
    """An evacuated failure domain is taken back in a crowd. Its engines are cold, and their entries tell
    only with the next heartbeat."""
    site.cold_per_s = 4
    await site.configure()
    await site.evacuate("a")
    await asyncio.sleep(2)
    taken = asyncio.ensure_future(site.take_back("a"))
    check(site, *await crowd(site, 30, 3))
    await taken
    equal(cold_faults(site), [], "the bound of cold engines")
    if not any(run.cold for run in site.runs):
        raise AssertionError("the failure domain that was taken back got no work")


async def odd_cold_rates(site):
    """The configuration's figures of cold engines make no sense. They bound nothing, and requests go on."""
    for rate in (0, -1, 1e300, "many", None):
        site.cold_per_s = rate
        await site.configure()
        for engine in site.engines:
            engine.chill(2)
            await engine.report()
        await asyncio.sleep(0.3)
        for front in site.fronts:
            equal((await site.call(front, "/once/a", b"%d" % front.number)).status, 200, f"rate {rate}")


async def metrics_and_logs(site):
    """On-call engineers see each decision on a request by its id, and counters on the control
    address."""
    answer = await site.call(site.fronts[0], "/once/a", b"x")
    refused = await site.call(site.fronts[0], "/none/")
    text = (await site.fronts[0].get(CONTROL, "/metrics")).body.decode()
    for line in ("lovage_front_requests_total 2", "lovage_front_answered_total 1", "lovage_front_refused_total 1"):
        if line not in text:
            raise AssertionError(f"no \"{line}\" among the metrics")
    story = [e["event"] for name in ("request_sent", "request_answered") for e in log_events(site, name) if e["request"] == answer.request]
    equal(story, ["request_sent", "request_answered"], "the request's lines")
    reasons = [e["reason"] for e in log_events(site, "request_refused") if e["request"] == refused.request]
    equal(reasons, ["no_route"], "the refusal's reason")


CASES = [
    calm, refusals, cascade, resume, run_once, not_run, crashed_engines, caller_leaves, timeouts, planned_stop, stopping_serves_what_ends_in_time, new_configuration,
    turned_away, late_news, long_table_at_start, held_questions, start_without_store, all_start_again, wrong_seeds, callers_at_start,
    refused_without_configuration, forgotten_history, lost_write, good_rollout, bad_rollout, slow_rollout, crash_request, lost_answers,
    leaving_engine, engine_starts_again, foreign_entries, evacuated_domain, evacuation_forgotten, evacuated_everywhere, odd_evacuations, cold_engines, back_from_evacuation, odd_cold_rates, metrics_and_logs,
]  # fmt: skip


async def play(program, case):
    site = Site(program)
    passed = False
    try:
        await site.start()
        await case(site)
        for front in site.fronts:
            if front.process.returncode not in (None, 0) and front.process.returncode > 0:
                raise AssertionError(f"front {front.number} ended with {front.process.returncode}")
        passed = True
    except Exception:  # any failure of a case is reported and the next one played
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
    results = [asyncio.run(play(program, case)) for case in chosen]
    print(f"{results.count(True)} of {len(results)} cases passed")
    return 0 if all(results) and results else 1


if __name__ == "__main__":
    sys.exit(main(CASES))
