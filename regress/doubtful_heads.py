"""Sends heads that two parsers could read differently: doubtful_heads.py [--kept] ADDRESS KEY BODY HEAD...

Each must get exactly one answer, 400, and a close; with --kept also behind a good request of the same
connection, once that is answered and before.
"""

import socket
import sys

kept = sys.argv[1] == "--kept"
if kept:
    del sys.argv[1]
host, port = sys.argv[1].rsplit(":", 1)
key, body = sys.argv[2], sys.argv[3].encode()
start = b"POST /v1/chat/completions HTTP/1.1\r\n"
mine = b"Host: x\r\n"
rest = b"Authorization: Bearer " + key.encode() + b"\r\nContent-Type: application/json\r\n"
length = b"Content-Length: %d\r\n" % len(body)
chunks = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
heads = {
    "length and chunks": start + mine + rest + length + b"Transfer-Encoding: chunked\r\n\r\n" + chunks,
    "two lengths": start + mine + rest + length + b"Content-Length: 3\r\n\r\n" + body,
    "negative length": start + mine + rest + b"Content-Length: -5\r\n\r\n" + body,
    "signed length": start + mine + rest + b"Content-Length: +%d\r\n\r\n" % len(body) + body,
    "two hosts": start + mine + b"Host: y\r\n" + rest + length + b"\r\n" + body,
    "no host": start + rest + length + b"\r\n" + body,
    "unknown coding": start + mine + rest + b"Transfer-Encoding: gzip\r\n\r\n" + body,
    "two codings": start + mine + rest + b"Transfer-Encoding: gzip, chunked\r\n\r\n" + chunks,
    "folded line": start + mine + rest + length + b"X-A: b\r\n c: d\r\n\r\n" + body,
    "NUL in a field": start + mine + rest + length + b"X-A: b\0c\r\n\r\n" + body,
    "bytes before a request": b"\x01\x02\x03\r\n" + start + mine + rest + length + b"\r\n" + body,
}
good_body = body.replace(b"bad-", b"good-")
good = start + mine + rest + b"Content-Length: %d\r\n\r\n" % len(good_body) + good_body


def answers_of(data):
    """Sends the bytes; returns all that comes until the connection ends."""
    with socket.create_connection((host, int(port)), 10) as peer:
        peer.settimeout(10)
        peer.sendall(data)
        return read_to_end(peer)


def read_to_end(peer):
    got = b""
    try:
        while more := peer.recv(65536):
            got += more
    except ConnectionResetError:
        pass
    except TimeoutError:
        got += b" (still open)"
    return got


def read_answer(peer):
    """Reads one whole answer with a length."""
    got = b""
    while b"\r\n\r\n" not in got:
        got += peer.recv(65536)
    head, _, content = got.partition(b"\r\n\r\n")
    want = int(head.lower().split(b"content-length:")[1].split()[0])
    while len(content) < want:
        content += peer.recv(65536)
    return head


def is_one_refusal(got):
    return got.count(b"HTTP/1.1 ") == 1 and got.startswith(b"HTTP/1.1 400 ") and not got.endswith(b"(still open)")


def after_an_answer(data):
    """The bytes follow a request that was answered, on the same connection."""
    with socket.create_connection((host, int(port)), 10) as peer:
        peer.settimeout(10)
        peer.sendall(good)
        if not read_answer(peer).startswith(b"HTTP/1.1 200 "):
            return b"the first request was not answered"
        peer.sendall(data)
        return read_to_end(peer)


def behind_a_request(data):
    """The bytes follow a request in the same packet: it is answered, they are refused."""
    got = answers_of(good + data)
    at = got.find(b"HTTP/1.1 400 ")
    return got[at:] if got.startswith(b"HTTP/1.1 200 ") else b"the first request was not answered: " + got[:60]


wrong = []
for what in sys.argv[4:]:
    data = heads[what]
    for way in (answers_of, after_an_answer, behind_a_request) if kept else (answers_of,):
        got = way(data)
        if not is_one_refusal(got):
            wrong.append(f"{what}, {way.__name__}: {got[:60]!r} {got.count(b'HTTP/1.1 ')} answers {got[-12:]!r}")
print("\n".join(wrong))
sys.exit(bool(wrong))
