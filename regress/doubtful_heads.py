"""Sends heads that two parsers could read differently: doubtful_heads.py ADDRESS KEY BODY HEAD...

Each must get exactly one answer, 400, and a close.
"""

import socket
import sys

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
wrong = []
for what in sys.argv[4:]:
    data = heads[what]
    with socket.create_connection((host, int(port)), 10) as peer:
        peer.settimeout(10)
        peer.sendall(data)
        got = b""
        try:
            while more := peer.recv(65536):
                got += more
        except ConnectionResetError:
            pass
        except TimeoutError:
            got += b" (still open)"
    if got.count(b"HTTP/1.1 ") != 1 or not got.startswith(b"HTTP/1.1 400 ") or got.endswith(b"(still open)"):
        wrong.append(f"{what}: {got[:60]!r} {got.count(b'HTTP/1.1 ')} answers {got[-12:]!r}")
print("\n".join(wrong))
sys.exit(bool(wrong))
