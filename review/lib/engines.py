"""Stand-in for the model engines of one zone: one process, one port for each engine.

usage: engines.py ZONE IP PORT COUNT VERSION RECORD

SIGUSR1 makes one engine grey, drawn at random, and SIGUSR2 makes all sound again. A grey engine answers a share of
its requests with 500, with its signature. Every request that an engine begins to run is written to RECORD.
"""

import asyncio
import json
import os
import random
import signal
import sys
import time

from wire import answer, read_body, read_head

GREY_SHARE = 0.45
EVENTS = 27
EVENT_INTERVAL_S = 0.075
FIRST_EVENT_S = 0.02
SMALLEST_MODEL = "m0"

zone, ip, port, count, version, record_path = sys.argv[1:]
record = os.open(record_path, os.O_WRONLY | os.O_CREAT | os.O_APPEND)


def confidence(is_small):
    """The smallest model is unsure of half of its answers."""
    return random.randint(42, 58) if is_small and random.random() < 0.5 else random.randint(80, 100)


def event(number):
    return f"id: {number}\ndata: event {number}\n\n".encode()


class Engine:
    def __init__(self, number):
        self.id = f"i-{zone}-{version}-{number}"
        self.is_grey = False
        self.address = (ip, int(port) + number)

    async def serve(self, reader, writer):
        try:
            while head := await read_head(reader):
                if await read_body(reader, head) is None:
                    break
                await self.handle(head, writer)
                if head.fields.get("connection") == "close":
                    break
        except OSError:
            pass
        finally:
            writer.close()

    async def handle(self, head, writer):
        request = head.fields.get("lovagehub-request-id", "")
        if head.target == "/health":
            writer.write(answer(200, Lovagehub_Instance_Id=self.id))
            return
        if head.fields.get("lovagehub-target-instance", self.id) != self.id:
            writer.write(answer(421, Lovagehub_Instance_Id=self.id))
            return
        fails = self.is_grey and random.random() < GREY_SHARE
        line = {"at": round(time.time(), 4), "engine": self.id, "ran": request, "fails": fails,
                "after": head.fields.get("last-event-id"), "model": head.fields.get("lovagehub-model")}  # fmt: skip
        os.write(record, json.dumps(line).encode() + b"\n")
        fields = {"Lovagehub_Request_Id": request, "Lovagehub_Server_Signature": f"sig.{self.id}.{request}"}
        await asyncio.sleep(FIRST_EVENT_S)
        if fails:
            writer.write(answer(500, b"the engine failed", **fields))
            return
        await self.stream(head, writer, fields)

    async def stream(self, head, writer, fields):
        is_small = head.fields.get("lovagehub-model") == SMALLEST_MODEL
        text = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
        text += f"Lovagehub-Confidence: {confidence(is_small)}\r\n"
        for name, value in fields.items():
            text += f"{name.replace('_', '-')}: {value}\r\n"
        writer.write(text.encode() + b"\r\n")
        for number in range(int(head.fields.get("last-event-id", 0)) + 1, EVENTS + 1):
            data = event(number)
            writer.write(b"%x\r\n%s\r\n" % (len(data), data))
            await writer.drain()
            await asyncio.sleep(EVENT_INTERVAL_S)
        writer.write(b"0\r\n\r\n")
        await writer.drain()


def set_grey(engines, grey):
    for engine in engines:
        engine.is_grey = engine is grey


async def main():
    loop = asyncio.get_running_loop()
    engines = [Engine(number) for number in range(int(count))]
    loop.add_signal_handler(signal.SIGUSR1, lambda: set_grey(engines, random.choice(engines)))
    loop.add_signal_handler(signal.SIGUSR2, lambda: set_grey(engines, None))
    for engine in engines:
        await asyncio.start_server(engine.serve, *engine.address, backlog=512)
    print("listening", flush=True)
    await asyncio.Event().wait()


asyncio.run(main())
