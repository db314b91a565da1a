"""A small stand-in for the platform and its targets, on the loopback interface.

Speaks the published protocol as far as the router uses it: the store's rows, the targets'
requests, grants and releases. Targets misbehave as a request's path says.
"""

import base64
import itertools
import json
import os
import signal
import socket
import subprocess
import tempfile
import threading
import time
import urllib.request
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit


# Larger than what the router holds whole.
BIG = b"".join(b"%08d" % i for i in range(400000))


class Store:
    """Rows with versions, transactions under conditions, and feeds of changes."""

    def __init__(self):
        self.changed = threading.Condition()
        self.rows = {}
        self.log = []
        self.ver = 0
        self.away = False
        self.silent = False  # calls that come are never answered
        self.calls = 0

    def put(self, table, key, value):
        with self.changed:
            self.ver += 1
            self._set(table, key, value)
            self.changed.notify_all()
            return self.ver

    def drop(self, table, key):
        with self.changed:
            self.ver += 1
            self.rows.pop((table, key), None)
            self.log.append((self.ver, table, key, None))
            self.changed.notify_all()

    def _set(self, table, key, value):
        self.rows[(table, key)] = (value, self.ver)
        self.log.append((self.ver, table, key, value))

    @staticmethod
    def _row(table, key, value, ver):
        row = {"table": table, "part": "", "key": key, "ver": ver}
        if value is None:
            row["removed"] = True
        else:
            row["value"] = base64.b64encode(value).decode()
        return row

    def _reply(self, **more):
        return {"ver": self.ver, "now_ms": int(time.monotonic() * 1000), **more}

    def tx(self, call):
        with self.changed:
            for want in call["expected_rev"]:
                have = self.rows.get((want["table"], want["key"]), (None, 0))[1]
                if have != want["ver"]:
                    return 412, self._reply(rows=[])
            self.ver += 1
            for put in call["puts"]:
                self._set(put["table"], put["key"], base64.b64decode(put["value"]))
            self.changed.notify_all()
            return 200, self._reply()

    def get(self, query):
        table = query["table"][0]
        after = query.get("from", [""])[0]
        with self.changed:
            rows = [
                self._row(t, key, value, ver)
                for (t, key), (value, ver) in sorted(self.rows.items())
                if t == table and key >= after
            ]
            return 200, self._reply(rows=rows, has_more=False)

    def feed(self, query):
        table, after = query["table"][0], int(query["after"][0])
        until = time.monotonic() + int(query["wait_ms"][0]) / 1000
        with self.changed:
            while True:
                rows = [
                    self._row(t, key, value, ver)
                    for ver, t, key, value in self.log
                    if t == table and ver > after
                ]
                if self.silent:
                    rows = []
                left = until - time.monotonic()
                if rows or left <= 0:
                    return 200, self._reply(rows=rows)
                self.changed.wait(left)


class JsonHandler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def log_message(self, *args):
        pass

    def answer(self, status, body):
        data = json.dumps(body).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    def call(self):
        return json.loads(self.rfile.read(int(self.headers["Content-Length"])))


def listen(handler):
    server = ThreadingHTTPServer(("127.0.0.1", 0), handler)
    server.daemon_threads = True
    server.handle_error = lambda *args: None  # a router that left doesn't wait for its feed
    return server


def serve_store(store):
    class Handler(JsonHandler):
        def is_lost(self):
            store.calls += 1
            self.close_connection = store.silent
            if store.silent:
                self.rfile.read()  # until the caller gives up
            return self.close_connection

        def do_GET(self):
            if self.is_lost():
                return
            url = urlsplit(self.path)
            query = parse_qs(url.query)
            if store.away:
                self.answer(503, {})
            elif url.path.endswith("rows-get"):
                self.answer(*store.get(query))
            elif url.path.endswith("rows-feed"):
                self.answer(*store.feed(query))
            else:
                self.answer(404, {})

        def do_POST(self):
            call = self.call()
            if self.is_lost():
                return
            self.answer(*((503, {}) if store.away else store.tx(call)))

    server = listen(Handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server.server_address[1]


def read_head(sock, buffer):
    """Start line, headers, and the bytes after the head; None: the connection ended."""
    while b"\r\n\r\n" not in buffer:
        piece = sock.recv(65536)
        if not piece:
            return None
        buffer += piece
    head, _, rest = buffer.partition(b"\r\n\r\n")
    lines = head.decode().split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    return lines[0], headers, rest


def read_exactly(sock, rest, length):
    """The first LENGTH bytes and the bytes after them; None: the connection ended before."""
    pieces, have = [rest], len(rest)
    while have < length:
        piece = sock.recv(65536)
        if not piece:
            return None
        pieces.append(piece)
        have += len(piece)
    data = b"".join(pieces)
    return data[:length], data[length:]


def read_chunks(sock, rest):
    body = []
    while True:
        while b"\r\n" not in rest:
            piece = sock.recv(65536)
            if not piece:
                return None
            rest += piece
        size, _, rest = rest.partition(b"\r\n")
        taken = read_exactly(sock, rest, int(size, 16) + 2)
        if taken is None:
            return None
        body.append(taken[0][:-2])
        rest = taken[1]
        if int(size, 16) == 0:
            return b"".join(body), rest


def read_message(sock, buffer):
    """Start line, headers and body of one message with known end, and the bytes after it."""
    head = read_head(sock, buffer)
    if head is None:
        return None
    start, headers, rest = head
    if headers.get("transfer-encoding") == "chunked":
        taken = read_chunks(sock, rest)
    else:
        taken = read_exactly(sock, rest, int(headers.get("content-length", 0)))
    return None if taken is None else (start, headers, *taken)


class Target:
    """One process of a service; RUNS has the id of each request that it worked on."""

    def __init__(self, store, name, service, port=0):
        self.store, self.name, self.service = store, name, service
        self.runs, self.gone, self.bodies, self.waits = [], [], [], []
        self.held = []
        self.fences = []
        self.server = socket.create_server(("127.0.0.1", port))
        self.address = "127.0.0.1:%d" % self.server.getsockname()[1]
        self.born = int(time.time() * 1000)
        threading.Thread(target=self._accept, daemon=True).start()
        self.announce("ready")

    def announce(self, state):
        entry = {
            "addr": self.address,
            "born": self.born,
            "info": {"service": self.service, "version": "v1", "zone": "z1", "slots": 3},
            "status": {"state": state, "seq": 1, "warmup_left_ms": 0},
        }
        self.store.put("servers", self.name, json.dumps(entry).encode())

    def _accept(self):
        while True:
            sock, _ = self.server.accept()
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock):
        rest = b""
        try:
            while True:
                head = read_head(sock, rest)
                if head is None:
                    return
                if head[0].split(" ")[1].endswith("/early"):
                    self._answer_early(sock, *head)
                    return
                message = read_message(sock, self._again(*head))
                if message is None or not self._answer(sock, *message[:3]):
                    return
                rest = message[3]
        except OSError:
            pass
        finally:
            sock.close()

    @staticmethod
    def _again(start, headers, rest):
        lines = [start] + ["%s: %s" % pair for pair in headers.items()]
        return ("\r\n".join(lines) + "\r\n\r\n").encode() + rest

    def _answer_early(self, sock, start, headers, rest):
        """Answers before the body is in, keeps the connection and reads on."""
        ident = headers["request-id"]
        self.runs.append(ident)
        sock.sendall(self._ok(ident))
        self.after_early = rest
        while piece := sock.recv(65536):
            self.after_early += piece

    def holds(self, key):
        now = time.monotonic()
        return any(first <= key <= last and now < until for first, last, _, until in self.held)

    def _order(self, path, body):
        call = json.loads(body)
        part = (call["from"], call["to"], call["fence"])
        self.fences.append(call["fence"])
        if path.endswith("grant"):
            self.held = [h for h in self.held if h[:3] != part]
            self.held.append((*part, time.monotonic() + call["hold_ms"] / 1000))
            return b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
        kept = []
        for first, last, fence, until in self.held:
            if first < call["from"]:
                kept.append((first, min(last, call["from"] - 1), fence, until))
            if last > call["to"]:
                kept.append((max(first, call["to"] + 1), last, fence, until))
        self.held = kept
        return b"HTTP/1.1 200 OK\r\nHandover: warm\r\nContent-Length: 0\r\n\r\n"

    def _answer(self, sock, start, headers, body):
        method, path, _ = start.split(" ")
        if path.startswith("/chicorywood/"):
            sock.sendall(self._order(path, body))
            return True
        ident = headers.get("request-id", "")
        if headers.get("target-instance") != self.name:
            sock.sendall(
                b"HTTP/1.1 421 Misdirected Request\r\nNot-Executed: 1\r\nInstance-Id: %s\r\n"
                b"Request-Id: %s\r\nContent-Length: 0\r\n\r\n"
                % (self.name.encode(), ident.encode())
            )
            return True
        key = headers.get("shard-key")
        if self.service == "keyed" and (key is None or not self.holds(int(key))):
            sock.sendall(
                b"HTTP/1.1 421 Misdirected Request\r\nNot-Executed: 1\r\nInstance-Id: %s\r\n"
                b"Request-Id: %s\r\nContent-Length: 0\r\n\r\n"
                % (self.name.encode(), ident.encode())
            )
            return True
        act = path.rsplit("/", 1)[-1]
        return getattr(self, "_act_" + act.split("?")[0].replace("-", "_"))(
            sock, ident, body, headers
        )

    def _head(self, ident, status="200 OK", **more):
        lines = ["HTTP/1.1 " + status, "Request-Id: " + ident, "Server-Signature: " + self.name]
        lines += ["%s: %s" % (k.replace("_", "-"), v) for k, v in more.items()]
        return ("\r\n".join(lines) + "\r\n").encode()

    def _ok(self, ident, body=b"hello"):
        return self._head(ident) + b"Content-Length: %d\r\n\r\n" % len(body) + body

    def _act_ok(self, sock, ident, body, headers):
        self.runs.append(ident)
        self.bodies.append(body)
        self.waits.append(int(headers["deadline-ms"]))
        sock.sendall(self._ok(ident))
        return True

    def _act_big(self, sock, ident, body, headers):
        self.runs.append(ident)
        sock.sendall(self._ok(ident, BIG))
        return True

    def _act_big_chunked(self, sock, ident, body, headers):
        self.runs.append(ident)
        sock.sendall(self._head(ident, Transfer_Encoding="chunked") + b"\r\n")
        for at in range(0, len(BIG), 100000):
            piece = BIG[at : at + 100000]
            sock.sendall(b"%x\r\n%s\r\n" % (len(piece), piece))
        sock.sendall(b"0\r\n\r\n")
        return True

    def _act_big_unframed(self, sock, ident, body, headers):
        self.runs.append(ident)
        sock.sendall(self._head(ident) + b"\r\n" + BIG)
        return False

    def _act_big_cut(self, sock, ident, body, headers):
        self.runs.append(ident)
        sock.sendall(self._ok(ident, BIG)[: len(BIG) * 2 // 3])
        return False

    def _act_chunked(self, sock, ident, body, headers):
        self.runs.append(ident)
        sock.sendall(
            self._head(ident, Transfer_Encoding="chunked") + b"\r\n3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n"
        )
        return True

    def _act_unframed(self, sock, ident, body, headers):
        self.runs.append(ident)
        sock.sendall(self._head(ident) + b"\r\nhello")
        return False

    def _act_reset(self, sock, ident, body, headers):
        """An answer without a length that ends by a reset."""
        self.runs.append(ident)
        sock.sendall(self._head(ident) + b"\r\nhel")
        time.sleep(0.05)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        return False

    def _act_cut(self, sock, ident, body, headers):
        self.runs.append(ident)
        sock.sendall(self._head(ident) + b"Content-Length: 9\r\n\r\nhello")
        return False

    def _act_lost(self, sock, ident, body, headers):
        self.runs.append(ident)
        return False

    def _act_garbage(self, sock, ident, body, headers):
        self.runs.append(ident)
        sock.sendall(b"\x00\x01 what\r\n\r\n")
        return True

    def _act_encoded(self, sock, ident, body, headers):
        self.runs.append(ident)
        sock.sendall(
            self._head(ident, Content_Encoding="gzip") + b"Content-Length: 5\r\n\r\nhello"
        )
        return True

    def _act_extra(self, sock, ident, body, headers):
        """A second answer to the same request, which answers nothing."""
        self.runs.append(ident)
        sock.sendall(self._ok(ident) + self._ok(ident, b"again"))
        return True

    def _act_late_extra(self, sock, ident, body, headers):
        """A second answer, that comes where the next request's answer is due."""
        self.runs.append(ident)
        sock.sendall(self._ok(ident))
        self.stray = self._ok(ident, b"stray")
        message = read_message(sock, b"")
        if message is None:
            return False
        sock.sendall(self.stray)
        time.sleep(0.05)
        return self._answer(sock, *message[:3])

    def _act_other_id(self, sock, ident, body, headers):
        self.runs.append(ident)
        sock.sendall(self._ok("somebody-elses"))
        return False

    def _act_crash(self, sock, ident, body, headers):
        """The process ends at once, and starts again a little later."""
        self.runs.append(ident)
        self.born += 1
        self.held = []
        threading.Timer(0.1, self.announce, ["ready"]).start()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        return False

    def _act_full(self, sock, ident, body, headers):
        sock.sendall(
            self._head(ident, "503 Busy", Not_Executed=1) + b"Content-Length: 0\r\n\r\n"
        )
        return True

    def _act_unavailable(self, sock, ident, body, headers):
        """A 503 that doesn't say that the request was not run."""
        self.runs.append(ident)
        sock.sendall(self._head(ident, "503 Busy") + b"Content-Length: 0\r\n\r\n")
        return True

    def _act_error(self, sock, ident, body, headers):
        self.runs.append(ident)
        sock.sendall(self._head(ident, "500 Oops") + b"Content-Length: 0\r\n\r\n")
        return True

    def _act_slow(self, sock, ident, body, headers):
        """Works until its caller leaves, or for two seconds."""
        self.runs.append(ident)
        sock.settimeout(2)
        try:
            if sock.recv(1) == b"":
                self.gone.append(ident)
                return False
        except TimeoutError:
            pass
        except OSError:
            self.gone.append(ident)
            return False
        sock.settimeout(None)
        sock.sendall(self._ok(ident))
        return True

    def _act_long(self, sock, ident, body, headers):
        """Works for 1.2 s, which is within the routes' timeout."""
        self.runs.append(ident)
        time.sleep(1.2)
        sock.sendall(self._ok(ident))
        return True

    def _act_short(self, sock, ident, body, headers):
        """Works for 0.3 s."""
        self.runs.append(ident)
        time.sleep(0.3)
        sock.sendall(self._ok(ident))
        return True


ROUTES = [
    ["keyed", "t.example", "/keyed/", "idempotent", 1500, 500, 1, None, 2, "keyed"],
    ["read", "t.example", "/read/", "idempotent", 1500, 500, 1, None, 2, "plain"],
    ["order", "t.example", "/order/", "mutating", 1500, 500, 0, None, 2, "plain"],
    ["nobody", "t.example", "/nobody/", "idempotent", 1500, 500, 1, None, 2, "empty"],
]


def configuration(version, routes):
    return json.dumps(
        {
            "version": "%08x" % version,
            "routes": {
                "cols": [
                    "name", "host", "prefix", "kind", "timeout_ms", "slo_ms", "priority",
                    "backends", "attempts", "service",
                ],
                "rows": routes,
            },
            "services": {
                "cols": ["name", "health_path", "max_conns", "sharded", "warm_s"],
                "rows": [
                    ["keyed", "/healthz", 50, True, 1.0],
                    ["plain", "/healthz", 50, None, None],
                    ["empty", "/healthz", 50, None, None],
                ],
            },
            "limits": {
                "max_header_bytes": 4096,
                "max_body_bytes": 5000000,
                "header_timeout_ms": 1000,
                "idle_timeout_ms": 5000,
            },
        }
    ).encode()


# Below the ports that the system gives out by itself, which may be taken again at any moment.
PORTS = itertools.cycle(range(10000 + os.getpid() * 37 % 9000, 20000))


def free_port():
    while True:
        port = next(PORTS)
        try:
            with socket.create_server(("127.0.0.1", port)):
                return port
        except OSError:
            continue


class Router:
    """One router process; its log is LOG."""

    def __init__(self, build, store_port, name, blocked_log=False):
        self.front, self.ready, self.peers = free_port(), free_port(), free_port()
        self.metrics = free_port()
        self.folder = tempfile.mkdtemp(prefix="router-")
        self.settings = os.path.join(self.folder, "settings.toml")
        self.log = os.path.join(self.folder, "log")
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(
                '[host]\nname = "%s"\ndata_centre = "z1"\ncallers = "127.0.0.1:%d"\n'
                'ready = "127.0.0.1:%d"\npeers = "127.0.0.1:%d"\nunknown = 1\n'
                'metrics = "127.0.0.1:%d"\n'
                '[store]\naddress = "127.0.0.1:%d"\n[bounds]\ngrace_s = 6\n'
                % (name, self.front, self.ready, self.peers, self.metrics, store_port)
            )
        command = [os.path.join(build, "chicorywood"), "route", "--settings", self.settings]
        with open(self.log, "wb") as log:
            output = subprocess.PIPE if blocked_log else log
            self.process = subprocess.Popen(command, stdout=output, stderr=log)

    def is_ready(self):
        try:
            with socket.create_connection(("127.0.0.1", self.ready), 1) as sock:
                sock.sendall(
                    b"GET /chicorywood/readyz HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n"
                )
                return b" 200 " in sock.recv(100)
        except OSError:
            return False

    def wait_ready(self, seconds=20):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if self.is_ready():
                return
            time.sleep(0.05)
        raise AssertionError("not ready: " + self.read_log()[-2000:])

    def page(self):
        with urllib.request.urlopen("http://127.0.0.1:%d/metrics" % self.metrics) as answer:
            return answer.read().decode()

    def wait_hosts(self, hosts, seconds=20):
        """Until then the budget of repeats is that of a large fleet's host: one or two."""
        until = time.monotonic() + seconds
        while "chicorywood_hosts %d\n" % hosts not in self.page():
            if time.monotonic() > until:
                raise AssertionError("hosts not known: " + self.page())
            time.sleep(0.05)
        time.sleep(0.1)  # the proxy hears it from the coordinator

    def signal(self, number):
        self.process.send_signal(number)

    def stop(self):
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
        self.process.wait()

    def read_log(self):
        with open(self.log, encoding="utf-8", errors="replace") as file:
            return file.read()


class Answer:
    def __init__(self, status, headers, body):
        self.status, self.headers, self.body = status, headers, body


class Caller:
    """A connection to a router, on which requests can be sent ahead."""

    def __init__(self, router):
        self.sock = socket.create_connection(("127.0.0.1", router.front), 5)
        self.sock.settimeout(10)
        self.rest = b""

    def send(self, path, ident, method="GET", body=None, chunked=False, key=7, wait=1500):
        head = "%s %s HTTP/1.1\r\nHost: t.example\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n" % (
            method, path, ident, wait,
        )
        if key is not None:
            head += "Shard-Key: %d\r\n" % key
        data = b""
        if chunked:
            head += "Transfer-Encoding: chunked\r\n"
            data = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
        elif body is not None:
            head += "Content-Length: %d\r\n" % len(body)
            data = body
        self.sock.sendall(head.encode() + b"\r\n" + data)

    def receive(self):
        """None: the connection ended without a whole answer."""
        try:
            message = read_message(self.sock, self.rest)
        except ConnectionError:
            return None
        if message is None:
            return None
        start, headers, body, self.rest = message
        return Answer(int(start.split(" ")[1]), headers, body)

    def close(self):
        self.sock.close()
