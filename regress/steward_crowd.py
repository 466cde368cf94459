"""Crowds of strangers at a steward's ports: steward_crowd.py PID OPERATORS-ADDRESS RPC-ADDRESS LOCAL-ADDRESS KEY [CASE...].

Each case checks that the steward lives, that its memory stays within its machine's, and that an operator's call and the
metrics are answered while the crowd is there and afterwards.
"""

import asyncio
import struct
import sys
import traceback

from gate_crowd import MB, Gate, equal, until_answered
from crowd import Crowd, Meter, pieces_of_bytes  # gate_crowd adds its folder to the path

MEMORY_BYTES = 110 * MB  # of the smallest machine
CROWD = 80
BODY_BYTES = 2 * MB  # the longest body of an operator, and the longest record between VMs
SHORT_BYTES = 3
TRICKLE_S = 0.5
LAST_FRAGMENT = 1 << 31


class Steward(Gate):
    def __init__(self, pid, operators, rpc, local, key):
        super().__init__(pid, operators, local, key)
        self.rpc = self.parse(rpc)


async def ordinary_calls(steward):
    head = f"GET /v1/status HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {steward.key}\r\nConnection: close\r\n\r\n"
    await until_answered("an operator's call", steward.address, head.encode())
    await until_answered("metrics", steward.local, b"GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")


async def expect_bounds(steward, crowd, pieces_of, keeps_on=False):
    with open(f"/proc/{steward.pid}/clear_refs", "w", encoding="ascii") as peak:
        peak.write("5")  # a new peak begins
    ports = (steward.address[1], steward.rpc[1], steward.local[1])
    meter = Meter(steward.pid, steward.address[0], ports)
    trickles = []

    async def trickle(peer):
        try:
            while True:
                await asyncio.get_running_loop().sock_sendall(peer, b"x")
                await asyncio.sleep(TRICKLE_S)
        except OSError:
            pass

    try:
        await crowd.come(CROWD, pieces_of)
        if keeps_on:
            trickles = [asyncio.ensure_future(trickle(peer)) for peer in crowd.connections]
        await ordinary_calls(steward)
    finally:
        for task in trickles:
            task.cancel()
        crowd.leave()
    await ordinary_calls(steward)
    equal(steward.alive(), True, "the steward lives")
    meter.stop()
    print(f"held at most {meter.peak_bytes / MB:.0f} MB and {meter.peak_descriptors} descriptors; {crowd.sent_bytes / MB:.0f} MB sent", flush=True)
    equal(meter.peak_bytes <= MEMORY_BYTES, True, f"{meter.peak_bytes / MB:.0f} MB held")


async def bodies_of_strangers(steward):
    """Guards against bodies without an operator's key that exceed the memory together."""
    head = f"POST /v1/patches HTTP/1.1\r\nHost: x\r\nContent-Length: {BODY_BYTES}\r\n\r\n".encode()
    data = head + b"x" * (BODY_BYTES - SHORT_BYTES)
    await expect_bounds(steward, Crowd(steward.address), lambda number: pieces_of_bytes(data, 65536))


async def strangers_leave_connections_to_operators(steward):
    """Strangers trickle a head. Guards against operators that get no connection."""
    head = b"GET /v1/status HTTP/1.1\r\nHost: x\r\nX-Long: "
    await expect_bounds(steward, Crowd(steward.address), lambda number: [head], keeps_on=True)


async def strangers_leave_connections_to_metrics(steward):
    """The same at the local port. Guards against a health check that gets no connection."""
    head = b"GET /metrics HTTP/1.1\r\nHost: x\r\nX-Long: "
    await expect_bounds(steward, Crowd(steward.local), lambda number: [head], keeps_on=True)


async def records_of_strangers(steward):
    """Guards against records at the port of the other VMs that stop short and exceed the memory together."""
    data = struct.pack(">I", LAST_FRAGMENT | BODY_BYTES) + b"x" * (BODY_BYTES - SHORT_BYTES)
    await expect_bounds(steward, Crowd(steward.rpc), lambda number: pieces_of_bytes(data, 65536))


CASES = [bodies_of_strangers, strangers_leave_connections_to_operators, strangers_leave_connections_to_metrics, records_of_strangers]


def main():
    steward, names = Steward(*sys.argv[1:6]), sys.argv[6:]
    failed = 0
    for case in CASES:
        if names and case.__name__ not in names:
            continue
        try:
            asyncio.run(case(steward))
            print(f"{case.__name__}: passed", flush=True)
        except Exception as error:  # noqa: BLE001
            failed += 1
            traceback.print_exc()
            print(f"{case.__name__}: FAILED, {error!r}", flush=True)
            if not steward.alive():
                break
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
