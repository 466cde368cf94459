"""Sends heads that two parsers could read differently: ambiguous_heads.py [--kept] ADDRESS KEY BODY HEAD...

Each must get exactly one answer, 400, and the connection must be closed. With --kept each is also sent after a
valid request on the same connection: after the answer to that request, and together with it.
"""

import socket
import sys

after_valid = sys.argv[1] == "--kept"
if after_valid:
    del sys.argv[1]
host, port = sys.argv[1].rsplit(":", 1)
key, body = sys.argv[2], sys.argv[3].encode()
request_line = b"POST /v1/chat/completions HTTP/1.1\r\n"
host_field = b"Host: x\r\n"
other_fields = b"Authorization: Bearer " + key.encode() + b"\r\nContent-Type: application/json\r\n"
length = b"Content-Length: %d\r\n" % len(body)
chunks = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
heads = {
    "length and chunks": request_line + host_field + other_fields + length + b"Transfer-Encoding: chunked\r\n\r\n" + chunks,
    "two lengths": request_line + host_field + other_fields + length + b"Content-Length: 3\r\n\r\n" + body,
    "negative length": request_line + host_field + other_fields + b"Content-Length: -5\r\n\r\n" + body,
    "signed length": request_line + host_field + other_fields + b"Content-Length: +%d\r\n\r\n" % len(body) + body,
    "two hosts": request_line + host_field + b"Host: y\r\n" + other_fields + length + b"\r\n" + body,
    "no host": request_line + other_fields + length + b"\r\n" + body,
    "unknown coding": request_line + host_field + other_fields + b"Transfer-Encoding: gzip\r\n\r\n" + body,
    "two codings": request_line + host_field + other_fields + b"Transfer-Encoding: gzip, chunked\r\n\r\n" + chunks,
    "folded line": request_line + host_field + other_fields + length + b"X-A: b\r\n c: d\r\n\r\n" + body,
    "CONNECT with a body": request_line.replace(b"POST", b"CONNECT") + host_field + other_fields + length + b"\r\n" + body,
    "NUL in a field": request_line + host_field + other_fields + length + b"X-A: b\0c\r\n\r\n" + body,
    "bytes before a request": b"\x01\x02\x03\r\n" + request_line + host_field + other_fields + length + b"\r\n" + body,
}
valid_body = body.replace(b"bad-", b"good-")
valid_request = request_line + host_field + other_fields + b"Content-Length: %d\r\n\r\n" % len(valid_body) + valid_body


def send_alone(data):
    """Sends data; returns everything received until the connection is closed."""
    with socket.create_connection((host, int(port)), 10) as peer:
        peer.settimeout(10)
        peer.sendall(data)
        return read_to_end(peer)


def read_to_end(peer):
    """Reads until the connection is closed; after a time-out the result ends with " (still open)"."""
    received = b""
    try:
        while more := peer.recv(65536):
            received += more
    except ConnectionResetError:
        pass
    except TimeoutError:
        received += b" (still open)"
    return received


def read_answer(peer):
    """Reads one complete answer with a Content-Length; returns its head."""
    received = b""
    while b"\r\n\r\n" not in received:
        received += peer.recv(65536)
    head, _, content = received.partition(b"\r\n\r\n")
    want = int(head.lower().split(b"content-length:")[1].split()[0])
    while len(content) < want:
        content += peer.recv(65536)
    return head


def is_one_refusal(received):
    return received.count(b"HTTP/1.1 ") == 1 and received.startswith(b"HTTP/1.1 400 ") and not received.endswith(b"(still open)")


def send_after_answer(data):
    """Sends data on a connection after the answer to a valid request; returns what is received then."""
    with socket.create_connection((host, int(port)), 10) as peer:
        peer.settimeout(10)
        peer.sendall(valid_request)
        if not read_answer(peer).startswith(b"HTTP/1.1 200 "):
            return b"the first request was not answered"
        peer.sendall(data)
        return read_to_end(peer)


def send_behind_request(data):
    """Sends data together with a valid request before it; returns what follows the answer to that request."""
    received = send_alone(valid_request + data)
    at = received.find(b"HTTP/1.1 400 ")
    return received[at:] if received.startswith(b"HTTP/1.1 200 ") else b"the first request was not answered: " + received[:60]


failures = []
for what in sys.argv[4:]:
    data = heads[what]
    for send in (send_alone, send_after_answer, send_behind_request) if after_valid else (send_alone,):
        received = send(data)
        if not is_one_refusal(received):
            failures.append(f"{what}, {send.__name__}: {received[:60]!r} {received.count(b'HTTP/1.1 ')} answers {received[-12:]!r}")
print("\n".join(failures))
sys.exit(bool(failures))
