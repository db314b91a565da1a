"""Sends invalid input to a host and checks that it is rejected.  Run by tests/process/bad_input."""

import json
import os
import random
import socket
import sys
import time
import urllib.request

CALLER_PORT, ADMIN_PORT, PEER_PORT, PID, PLATFORM_PORT = map(int, sys.argv[1:6])
passed = failed = 0


def exchange(data, port=CALLER_PORT, timeout=3.0, parts=None):
    """Sends DATA, or each of PARTS, and returns what is received until the connection is closed
    or nothing arrives for TIMEOUT seconds; with DATA, only until a JSON object has ended."""
    response = b""
    with socket.create_connection(("127.0.0.1", port), timeout=timeout) as s:
        try:
            for part in parts or [data]:
                s.sendall(part)
            while chunk := s.recv(65536):
                response += chunk
                if parts is None and b"\r\n\r\n" in response and b'"}' in response:
                    break
        except (TimeoutError, ConnectionError):
            pass
    return response


def read_counters():
    text = urllib.request.urlopen(f"http://127.0.0.1:{ADMIN_PORT}/metrics").read().decode()
    return {line.split()[0]: int(line.split()[1]) for line in text.splitlines()
            if line.startswith("chicorywood_") and "{" not in line}


def is_serving():
    response = exchange(b"GET /catalogue/probe HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
    return b"200 OK" in response and b'"uri":"/catalogue/probe"' in response


def check(name, ok):
    global passed, failed
    os.kill(PID, 0)
    ok = ok and is_serving()
    passed += ok
    failed += not ok
    print(("ok " if ok else "FAILED ") + name, flush=True)


def check_refused(name, data, status, reason=None):
    response = exchange(data)
    ok = response.startswith(b"HTTP/1.1 " + str(status).encode())
    if reason:
        ok = ok and b"Request-Reason: " + reason.encode() in response
    check(name + ("" if ok else " " + repr(response[:80])), ok)


def get_request(path, headers=b""):
    return b"GET " + path + b" HTTP/1.1\r\nHost: a\r\n" + headers + b"\r\n"


def post_request(headers, body=b""):
    return b"POST /orders/new HTTP/1.1\r\nHost: a\r\n" + headers + b"\r\n" + body


before = read_counters()
check_refused("unknown service", get_request(b"/nothing"), 404, "unknown-service")
check_refused("no key", get_request(b"/catalogue/"), 400, "no-key")
check_refused("no order id", post_request(b"Content-Length: 0\r\n"), 400, "no-order-id")
check_refused("order id too long",
              post_request(b"X-Order-Id: " + b"x" * 100 + b"\r\nContent-Length: 0\r\n"),
              400, "no-order-id")
check_refused("two lengths",
              post_request(b"X-Order-Id: a1\r\nContent-Length: 3\r\nContent-Length: 3\r\n", b"abc"),
              400, "bad-request")
check_refused("length and chunks",
              post_request(b"X-Order-Id: a2\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n",
                           b"3\r\nabc\r\n0\r\n\r\n"), 400, "bad-request")
check_refused("too large by its length",
              post_request(b"X-Order-Id: a3\r\nContent-Length: 99999999\r\n"),
              413, "too-large")
check_refused("headers too large", get_request(b"/catalogue/x", b"".join(
    b"X-%d: %s\r\n" % (i, b"y" * 1000) for i in range(40))), 413, "too-large")

response = exchange(post_request(b"X-Order-Id: a4\r\nTransfer-Encoding: chunked\r\n",
                                 b"zz\r\nabc\r\n"))
check("broken chunk", b"200 OK" not in response)
response = exchange(post_request(b"X-Order-Id: a5\r\nTransfer-Encoding: chunked\r\n",
                                 b"100000\r\n" + b"x" * 0x100000 +
                                 b"\r\n100000\r\n" + b"x" * 0x100000))
check("too large by its chunks", b"200 OK" not in response)
response = exchange(b"\x00\x01\x02 garbage\r\n\r\n")
check("garbage", b"200 OK" not in response)
response = exchange(
    get_request(b"/catalogue/a") + get_request(b"/catalogue/b", b"Connection: close\r\n"),
    parts=[get_request(b"/catalogue/a")
           + get_request(b"/catalogue/b", b"Connection: close\r\n")])
check("two requests in one write", response.find(b"/catalogue/a") >= 0
      and response.find(b"/catalogue/b") > response.find(b"/catalogue/a"))
response = exchange(get_request(b"/catalogue/z?" + b"q" * 5000))
check("long query", response.startswith(b"HTTP/1.1 "))
inner = b"GET /catalogue/smuggled HTTP/1.1\r\nHost: a\r\n\r\n"
response = exchange(post_request(b"X-Order-Id: a6\r\nContent-Length: %d\r\n" % len(inner), inner))
check("a request within a body isn't answered", b"smuggled" not in response.split(b"\r\n\r\n")[0]
      and response.count(b"HTTP/1.1 ") == 1)

size = 6_000_000
with socket.create_connection(("127.0.0.1", CALLER_PORT), timeout=20) as s:
    s.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
    s.sendall(get_request(b"/artwork/file/slow?size=%d" % size, b"Connection: close\r\n"))
    time.sleep(1)
    response = b""
    while chunk := s.recv(100_000):
        response += chunk
        time.sleep(0.002)
check("a slow reader gets the whole file", len(response.split(b"\r\n\r\n", 1)[1]) == size)

slow = [socket.create_connection(("127.0.0.1", CALLER_PORT)) for _ in range(20)]
for s in slow:
    s.sendall(b"GET /catalogue/slow HTT")
check("slow headers don't delay other requests", is_serving())
time.sleep(12)
closed = 0
for s in slow:
    s.settimeout(5)
    try:
        s.recv(100)
        closed += 1
    except TimeoutError:
        pass
    s.close()
check("connections with slow headers are closed", closed == 20)

rng = random.Random(7)
for _ in range(50):
    try:
        exchange(rng.randbytes(rng.randrange(1, 2000)), port=PEER_PORT, timeout=0.05)
    except OSError:
        pass
check("garbage on the peers' port", True)
signature = b"\xff\0\0\0\0\0\0\0\x01\x7f\x03\0NULL" + b"\0" * 48
ready = b"\x04\x19\x05READY\x0bSocket-Type\0\0\0\x04PUSH"
frames = b"".join(b"\0" + bytes([n]) + rng.randbytes(n) for n in (1, 3, 50, 200))
exchange(b"", port=PEER_PORT, timeout=0.5, parts=[signature, ready, frames])
check("garbage in peer messages", read_counters()["chicorywood_peer_messages_rejected_total"]
      > before["chicorywood_peer_messages_rejected_total"])

for row, value in (("table/head", {"version": 10 ** 9, "epoch": 10 ** 9}),
                   ("table/members", [1, 2]), ("config/head", {"version": 10 ** 9, "seal": "x"}),
                   ("table/slots/0/0", [[3, 99999, 0, 0]]), ("place/beat", "x")):
    body = json.dumps({"if": [], "set": {row: value}}).encode()
    urllib.request.urlopen(f"http://127.0.0.1:{PLATFORM_PORT}/v1/transact", body).read()
    time.sleep(0.6)
os.kill(PID, 0)
after = read_counters()
ok = (after["chicorywood_store_answers_rejected_total"]
      > before["chicorywood_store_answers_rejected_total"])
passed += ok
failed += not ok
print("ok garbage from the platform" if ok else "FAILED garbage from the platform")
ok = after["chicorywood_bad_requests_total"] >= before["chicorywood_bad_requests_total"] + 4
passed += ok
failed += not ok
print("ok bad requests are counted" if ok else "FAILED bad requests are counted")
print(f"{passed} passed, {failed} failed")
sys.exit(1 if failed else 0)
