"""An emulation of the platform's store and its targets on the loopback interface.

It implements the part of the published protocol that the router uses: the store's rows,
and the requests, grants and releases that targets receive. The last segment of a request's
path selects how the target responds.
"""

import base64
import ctypes
import itertools
import json
import os
import resource
import signal
import socket
import struct
import subprocess
import tempfile
import threading
import time
import urllib.request
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit


# Larger than the responses and bodies that the router buffers completely.
BIG = b"".join(b"%08d" % i for i in range(400000))
# Buffered completely, and larger than what the kernel buffers for a slow reader.
HALF_BIG = BIG[: 1000 * 1000]


class Store:
    """Versioned rows with conditional transactions and change feeds."""

    def __init__(self):
        self.changed = threading.Condition(threading.RLock())
        self.rows = {}
        self.log = []
        self.ver = 0
        self.compacted = 0  # changes up to this version can't be watched any more
        self.era = 1  # rises with each return from an older copy
        self.unavailable = False  # requests are answered with 503
        self.unresponsive = False  # requests are accepted and never answered
        self.n_calls = 0

    def put(self, table, key, value):
        with self.changed:
            self.ver += 1
            self._set(table, key, value)
            self.changed.notify_all()
            return self.ver

    def delete(self, table, key):
        with self.changed:
            self.ver += 1
            self.rows.pop((table, key), None)
            self.log.append((self.ver, table, key, None))
            self.changed.notify_all()

    def delete_and_compact(self, table, key):
        with self.changed:
            self.delete(table, key)
            self.compacted = self.ver

    def copy(self):
        with self.changed:
            return dict(self.rows), list(self.log), self.ver

    def restore(self, copy):
        """Returns from an older copy: what was written since is gone, and its versions are given
        out again."""
        with self.changed:
            self.rows, self.log, self.ver = dict(copy[0]), list(copy[1]), copy[2]
            self.compacted = min(self.compacted, self.ver)
            self.era += 1
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

    def transact(self, request):
        with self.changed:
            for condition in request["expected_rev"]:
                version = self.rows.get((condition["table"], condition["key"]), (None, 0))[1]
                if version != condition["ver"]:
                    return 412, self._reply(rows=[])
            self.ver += 1
            for put in request["puts"]:
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
                if self.unresponsive:
                    rows = []
                if after < self.compacted or after > self.ver:
                    return 410, self._reply()
                left = until - time.monotonic()
                if rows or left <= 0:
                    return 200, self._reply(rows=rows)
                self.changed.wait(left)


class JsonHandler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def more_headers(self):
        return {}

    def log_message(self, *args):
        pass

    def respond(self, status, body):
        data = json.dumps(body).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        for name, value in self.more_headers().items():
            self.send_header(name, value)
        self.end_headers()
        self.wfile.write(data)

    def read_json(self):
        return json.loads(self.rfile.read(int(self.headers["Content-Length"])))


def listen(handler):
    server = ThreadingHTTPServer(("127.0.0.1", 0), handler)
    server.daemon_threads = True
    server.handle_error = lambda *args: None  # a router that exits drops its feed
    return server


class StoreAccess:
    """One router's access to the store: `port`, and whether its calls get an answer."""

    def __init__(self, store):
        self.silent = False
        self.bytes_per_s = None  # of each response; None: as fast as possible
        self.hung_watches = set()
        self.watches = set()
        self.port = serve_store(store, self)

    def hang_watches(self):
        """The watches in flight, and later ones on their connections, get no answer."""
        self.hung_watches = set(self.watches)


def serve_store(store, access=None):
    class Handler(JsonHandler):
        def more_headers(self):
            return {} if store.era is None else {"Store-Era": str(store.era)}

        def is_unresponsive(self):
            store.n_calls += 1
            self.close_connection = store.unresponsive or self.is_silent()
            if self.close_connection:
                self.rfile.read()  # blocks until the caller closes
            return self.close_connection

        def is_silent(self):
            if access is None:
                return False
            if "rows-feed" in self.path:
                access.watches.add(self.client_address)
            return access.silent or self.client_address in access.hung_watches

        def respond(self, status, body):
            if self.is_silent():  # since the call arrived
                self.is_unresponsive()
            elif access is not None and access.bytes_per_s is not None:
                self.respond_slowly(status, body)
            else:
                super().respond(status, body)

        def respond_slowly(self, status, body):
            data = json.dumps(body).encode()
            self.send_response(status)
            self.send_header("Content-Length", str(len(data)))
            for name, value in self.more_headers().items():
                self.send_header(name, value)
            self.end_headers()
            piece = max(access.bytes_per_s // 20, 1)
            for at in range(0, len(data), piece):
                self.wfile.write(data[at:at + piece])
                time.sleep(len(data[at:at + piece]) / access.bytes_per_s)

        def do_GET(self):
            if self.is_unresponsive():
                return
            url = urlsplit(self.path)
            query = parse_qs(url.query)
            if store.unavailable:
                self.respond(503, {})
            elif url.path.endswith("rows-get"):
                self.respond(*store.get(query))
            elif url.path.endswith("rows-feed"):
                self.respond(*store.feed(query))
            else:
                self.respond(404, {})

        def do_POST(self):
            request = self.read_json()
            if self.is_unresponsive():
                return
            self.respond(*((503, {}) if store.unavailable else store.transact(request)))

    server = listen(Handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server.server_address[1]


def read_head(sock, buffer):
    """Start line, headers, and the bytes after the head; None if the connection was closed."""
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
    """The first LENGTH bytes and the bytes after them; None if the connection was closed first."""
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
    """Start line, headers and body of one message, and the bytes after it.

    The body must be chunked or have a length. None if the connection was closed first.
    """
    head = read_head(sock, buffer)
    if head is None:
        return None
    start, headers, rest = head
    if headers.get("transfer-encoding") == "chunked":
        taken = read_chunks(sock, rest)
    else:
        taken = read_exactly(sock, rest, int(headers.get("content-length", 0)))
    return None if taken is None else (start, headers, *taken)


def flood(start, piece, interval_s=0):
    """The handler of a request that is answered with START and then PIECE without end, until the
    router closes the connection."""

    def handle(self, sock, request_id, _body, _headers):
        self.executed.append(request_id)
        self.floods += 1
        try:
            sock.sendall(start.replace(b"ID", request_id.encode()))
            while True:
                sock.sendall(piece)
                time.sleep(interval_s)
        finally:
            self.floods -= 1

    return handle


def answer_with(status):
    """The handler of a request that runs and is answered with STATUS, signed and whole."""

    def handle(self, sock, request_id, _body, _headers):
        self.executed.append(request_id)
        sock.sendall(self._head(request_id, status) + b"Content-Length: 5\r\n\r\nhello")
        return True

    return handle


class Target:
    """An instance of a service.

    `executed` has the id of each request that it ran, `abandoned` those whose connection
    was closed meanwhile, and `grants` a (first, last, fence, end) for each key range.
    """

    def __init__(self, store, name, service, port=0, slots=3, zone="z1"):
        self.store, self.name, self.service, self.slots = store, name, service, slots
        self.executed, self.abandoned, self.bodies, self.deadlines_ms = [], [], [], []
        self.heads = []  # the id of each request of which the head arrived
        self.disconnected = []  # ids of requests whose connection the router closed
        self.received = {}  # by id: the bytes after the head, of requests for /sink
        self.grants = []
        self.fences = []
        self.executed_at = []
        self.cut_at, self.cut_resets, self.cut_framing = 0, False, "length"
        self.refused, self.refused_on = set(), {}
        self.limit = None  # requests per second that its responses state as the limit
        self.work_s = 0.6
        self.leaving = False  # whether its responses state that it leaves
        self.leaving_in_commands = True  # also those to grants and releases
        # Values of Retry-After with which it rejects all requests; None: it rejects none.
        self.retry_after = None
        self.retry_after_delay_s = 0  # from a request's arrival to that rejection
        self.arrivals = []  # time.monotonic () of each request, run or not
        self.rejected_at = []  # of each response with Retry-After
        self.floods = 0  # responses without end that are being sent
        self.zone = zone
        self.server = socket.create_server(("127.0.0.1", port))
        self.address = "127.0.0.1:%d" % self.server.getsockname()[1]
        self.started_at_ms = int(time.time() * 1000)
        threading.Thread(target=self._accept, daemon=True).start()
        self.announce("ready")

    def announce(self, state, cold_ms=0):
        entry = {
            "addr": self.address,
            "born": self.started_at_ms,
            "info": {"service": self.service, "version": "v1", "zone": self.zone,
                     "slots": self.slots},
            "status": {"state": state, "seq": 1, "warmup_left_ms": cold_ms},
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
                self.heads.append(head[1].get("request-id", ""))
                before_body = self.BEFORE_BODY.get(head[0].split(" ")[1].rsplit("/", 1)[-1])
                if before_body is not None:
                    before_body(self, sock, head[1]["request-id"], head[2])
                    return
                message = read_message(sock, self._serialize_head(*head))
                if message is None or not self._handle_request(sock, *message[:3]):
                    return
                rest = message[3]
        except OSError:
            pass
        finally:
            sock.close()

    @staticmethod
    def _serialize_head(start, headers, rest):
        lines = [start] + ["%s: %s" % pair for pair in headers.items()]
        return ("\r\n".join(lines) + "\r\n\r\n").encode() + rest

    def _respond_early(self, sock, request_id, rest):
        """Responds before the body has arrived, then reads until the connection is closed."""
        self.executed.append(request_id)
        sock.sendall(self._ok_response(request_id))
        self.bytes_after_response = rest
        self._receive_all(sock, request_id, rest)

    def _respond_early_and_close(self, sock, request_id, rest):
        self.executed.append(request_id)
        self.received[request_id] = rest
        sock.sendall(self._ok_response(request_id))

    def _respond_early_and_pause(self, sock, request_id, rest):
        """Responds before the body has arrived, and reads that only half a second later."""
        self.executed.append(request_id)
        sock.sendall(self._ok_response(request_id))
        time.sleep(0.5)
        self._receive_all(sock, request_id, rest)

    def _reject_early(self, sock, request_id, rest):
        """Rejects the request before its body has arrived, then reads until the connection is
        closed."""
        sock.sendall(
            self._head(request_id, "503 Busy", Not_Executed=1) + b"Content-Length: 0\r\n\r\n"
        )
        self._receive_all(sock, request_id, rest)

    def _receive_all(self, sock, request_id, rest):
        """Reads until the connection is closed and doesn't respond."""
        self.received[request_id] = rest
        try:
            while piece := sock.recv(65536):
                self.received[request_id] += piece
                self.bytes_after_response = self.received[request_id]
        except OSError:
            pass
        self.disconnected.append(request_id)

    def _receive_some(self, sock, request_id, rest):
        """Works on the request from its first bytes on, and resets the connection within the
        body."""
        self.executed.append(request_id)
        read_exactly(sock, rest, 100000)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")

    def _receive_no_more(self, sock, request_id, rest):
        """Reads the head only, until the router gives up."""
        self.executed.append(request_id)
        sock.settimeout(10)
        while self.is_connected(sock):
            time.sleep(0.02)
        self.disconnected.append(request_id)

    def _vanish(self, sock, request_id, rest):
        """Reads the head only; after four seconds the kernel drops all that arrives, as if the
        target's machine were gone."""
        self.executed.append(request_id)
        time.sleep(4)
        drop_all = ctypes.create_string_buffer(struct.pack("HBBI", 6, 0, 0, 0))  # return 0
        program = struct.pack("@HP", 1, ctypes.addressof(drop_all))
        sock.setsockopt(socket.SOL_SOCKET, 26, program)  # SO_ATTACH_FILTER
        time.sleep(10)

    @staticmethod
    def is_connected(sock):
        """False once the peer has closed or reset the connection, whatever is unread."""
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
        return info[0] == 1  # TCP_ESTABLISHED

    # Requests that are handled before their bodies have arrived, by the last segment of the path.
    BEFORE_BODY = {
        "early": _respond_early,
        "early-close": _respond_early_and_close,
        "early-pause": _respond_early_and_pause,
        "early-full": _reject_early,
        "sink": _receive_all,
        "resets-within": _receive_some,
        "stalls": _receive_no_more,
        "vanishes": _vanish,
    }

    def holds_key(self, key):
        now = time.monotonic()
        return any(first <= key <= last and now < until for first, last, _, until in self.grants)

    def _apply_grant_call(self, path, body):
        call = json.loads(body)
        granted = (call["from"], call["to"], call["fence"])
        self.fences.append(call["fence"])
        if path.endswith("grant"):
            self.grants = [grant for grant in self.grants if grant[:3] != granted]
            self.grants.append((*granted, time.monotonic() + call["hold_ms"] / 1000))
            return b"HTTP/1.1 200 OK\r\n%sContent-Length: 0\r\n\r\n" % self._leaving_line(True)
        remaining = []
        for first, last, fence, until in self.grants:
            if first < call["from"]:
                remaining.append((first, min(last, call["from"] - 1), fence, until))
            if last > call["to"]:
                remaining.append((max(first, call["to"] + 1), last, fence, until))
        self.grants = remaining
        return (
            b"HTTP/1.1 200 OK\r\nHandover: warm\r\n%sContent-Length: 0\r\n\r\n"
            % self._leaving_line(True)
        )

    def _leaving_line(self, to_command=False):
        stated = self.leaving and (self.leaving_in_commands or not to_command)
        return b"Server-Leaving: 1\r\n" if stated else b""

    def _handle_request(self, sock, start, headers, body):
        method, path, _ = start.split(" ")
        if path.startswith("/chicorywood/"):
            sock.sendall(self._apply_grant_call(path, body))
            return True
        request_id = headers.get("request-id", "")
        self._note_arrival(request_id)
        if headers.get("target-instance") != self.name:
            sock.sendall(
                b"HTTP/1.1 421 Misdirected Request\r\nNot-Executed: 1\r\nInstance-Id: %s\r\n"
                b"Request-Id: %s\r\n%sContent-Length: 0\r\n\r\n"
                % (self.name.encode(), request_id.encode(), self._leaving_line())
            )
            return True
        key = headers.get("shard-key")
        if self.service == "keyed" and (key is None or not self.holds_key(int(key))):
            sock.sendall(
                b"HTTP/1.1 421 Misdirected Request\r\nNot-Executed: 1\r\nInstance-Id: %s\r\n"
                b"Request-Id: %s\r\n%sContent-Length: 0\r\n\r\n"
                % (self.name.encode(), request_id.encode(), self._leaving_line())
            )
            return True
        values = self._choose_retry_after()
        if values is not None:
            return self._reject_for_a_time(sock, request_id, values)
        name = path.rsplit("/", 1)[-1]
        return getattr(self, "_handle_" + name.split("?")[0].replace("-", "_"))(
            sock, request_id, body, headers
        )

    def _note_arrival(self, _request_id):
        self.arrivals.append(time.monotonic())

    def _choose_retry_after(self):
        return self.retry_after

    def _reject_for_a_time(self, sock, request_id, values):
        time.sleep(self.retry_after_delay_s)
        stated = b"".join(b"Retry-After: %s\r\n" % value.encode() for value in values)
        sock.sendall(
            self._head(request_id, "503 Busy", Not_Executed=1)
            + stated
            + b"Content-Length: 0\r\n\r\n"
        )
        self.rejected_at.append(time.monotonic())
        return True

    def _head(self, request_id, status="200 OK", **more):
        lines = [
            "HTTP/1.1 " + status, "Request-Id: " + request_id, "Server-Signature: " + self.name
        ]
        lines += ["%s: %s" % (k.replace("_", "-"), v) for k, v in more.items()]
        if self.limit is not None:
            lines.append("Server-Limit: %.1f" % self.limit)
        if self.leaving:
            lines.append("Server-Leaving: 1")
        return ("\r\n".join(lines) + "\r\n").encode()

    def _ok_response(self, request_id, body=b"hello"):
        return self._head(request_id) + b"Content-Length: %d\r\n\r\n" % len(body) + body

    def _handle_ok(self, sock, request_id, body, headers):
        self.executed.append(request_id)
        self.executed_at.append(time.monotonic())
        self.bodies.append(body)
        self.deadlines_ms.append(int(headers["deadline-ms"]))
        sock.sendall(self._ok_response(request_id))
        return True

    def _handle_work(self, sock, request_id, body, headers):
        """Works for `work_s`, or until the deadline that it was given or the connection's end."""
        left_s = int(headers["deadline-ms"]) / 1000
        self.executed.append(request_id)
        self.executed_at.append(time.monotonic())
        sock.settimeout(min(self.work_s, left_s))
        try:
            if sock.recv(1) == b"":
                self.abandoned.append(request_id)
                return False
        except TimeoutError:
            pass
        except OSError:
            self.abandoned.append(request_id)
            return False
        sock.settimeout(None)
        if self.work_s < left_s:
            sock.sendall(self._ok_response(request_id))
        else:
            sock.sendall(
                self._head(request_id, "504 Deadline Passed") + b"Content-Length: 0\r\n\r\n"
            )
        return True

    def _handle_silent(self, sock, request_id, body, headers):
        self.executed.append(request_id)
        return True

    def _handle_repeats_refusal(self, sock, request_id, body, headers):
        """Rejects a request once.  Writes that again where the response to its repetition is due,
        if it arrives on the same connection, and runs it."""
        refusal = (
            b"HTTP/1.1 421 Misdirected Request\r\nNot-Executed: 1\r\nInstance-Id: %s\r\n"
            b"Request-Id: %s\r\nContent-Length: 0\r\n\r\n"
            % (self.name.encode(), request_id.encode())
        )
        refused_on = self.refused_on.setdefault(request_id, sock)
        if request_id not in self.refused:
            self.refused.add(request_id)
            sock.sendall(refusal)
            return True
        if refused_on is sock:
            sock.sendall(refusal)
        self.executed.append(request_id)
        sock.sendall(self._ok_response(request_id))
        return True

    def _handle_part(self, sock, request_id, body, headers):
        """The first bytes of a response, as many as `cut_at` says; then the connection ends, with a
        reset if `cut_resets`."""
        self.executed.append(request_id)
        sock.sendall(self.cut_response(request_id)[: self.cut_at])
        if self.cut_resets:
            time.sleep(0.002)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        return False

    def cut_response(self, request_id):
        return {
            "length": self._ok_response(request_id),
            "chunked": self._head(request_id, Transfer_Encoding="chunked")
            + b"\r\n5\r\nhello\r\n0\r\n\r\n",
            "unframed": self._head(request_id, Connection="close") + b"\r\n",
        }[self.cut_framing]

    def _handle_big(self, sock, request_id, body, headers):
        self.executed.append(request_id)
        sock.sendall(self._ok_response(request_id, BIG))
        return True

    def _handle_half_big(self, sock, request_id, body, headers):
        self.executed.append(request_id)
        sock.sendall(self._ok_response(request_id, HALF_BIG))
        return True

    def _handle_big_chunked(self, sock, request_id, body, headers):
        self.executed.append(request_id)
        sock.sendall(self._head(request_id, Transfer_Encoding="chunked") + b"\r\n")
        for at in range(0, len(BIG), 100000):
            piece = BIG[at : at + 100000]
            sock.sendall(b"%x\r\n%s\r\n" % (len(piece), piece))
        sock.sendall(b"0\r\n\r\n")
        return True

    def _handle_big_unframed(self, sock, request_id, body, headers):
        self.executed.append(request_id)
        sock.sendall(self._head(request_id) + b"\r\n" + BIG)
        return False

    def _handle_big_cut(self, sock, request_id, body, headers):
        self.executed.append(request_id)
        sock.sendall(self._ok_response(request_id, BIG)[: len(BIG) * 2 // 3])
        return False

    def _handle_chunked(self, sock, request_id, body, headers):
        self.executed.append(request_id)
        sock.sendall(
            self._head(request_id, Transfer_Encoding="chunked")
            + b"\r\n3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n"
        )
        return True

    def _handle_unframed(self, sock, request_id, body, headers):
        self.executed.append(request_id)
        sock.sendall(self._head(request_id) + b"\r\nhello")
        return False

    def _handle_reset(self, sock, request_id, body, headers):
        """A response without a length whose connection is reset."""
        self.executed.append(request_id)
        sock.sendall(self._head(request_id) + b"\r\nhel")
        time.sleep(0.05)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        return False

    def _handle_cut(self, sock, request_id, body, headers):
        self.executed.append(request_id)
        sock.sendall(self._head(request_id) + b"Content-Length: 9\r\n\r\nhello")
        return False

    def _handle_lost(self, sock, request_id, body, headers):
        self.executed.append(request_id)
        return False

    _handle_endless_garbage = flood(b"", b"\x00" * 65536)
    _handle_endless_line = flood(b"", b"HTTP" * 16384)
    _handle_endless_blank_lines = flood(b"", b"\r\n" * 32768)
    _handle_endless_header = flood(b"HTTP/1.1 200 OK\r\nX: ", b"x" * 65536)
    _handle_endless_headers = flood(b"HTTP/1.1 200 OK\r\n", b"X: x\r\n" * 8192)
    _handle_endless_header_slowly = flood(b"HTTP/1.1 200 OK\r\nX: ", b"x", 0.01)
    _handle_endless_interim = flood(b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 2048)
    _handle_endless_strays = flood(
        b"", b"HTTP/1.1 200 OK\r\nRequest-Id: x\r\nContent-Length: 1\r\n\r\nx" * 1024
    )
    _handle_endless_stray = flood(
        b"HTTP/1.1 200 OK\r\nRequest-Id: x\r\n\r\n", b"x" * 65536
    )
    _handle_endless_body = flood(
        b"HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nServer-Signature: s\r\n\r\n", b"x" * 65536
    )
    _handle_endless_body_slowly = flood(
        b"HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nServer-Signature: s\r\n\r\n", b"x", 0.01
    )
    _handle_endless_chunks = flood(
        b"HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nServer-Signature: s\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n", b"4000\r\n" + b"x" * 16384 + b"\r\n"
    )
    _handle_endless_chunk_extension = flood(
        b"HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nServer-Signature: s\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n5;x=", b"x" * 65536
    )
    _handle_endless_trailer = flood(
        b"HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nServer-Signature: s\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n0\r\n", b"X: x\r\n" * 8192
    )
    _handle_endless_error = flood(
        b"HTTP/1.1 503 Unavailable\r\nRequest-Id: ID\r\n\r\n", b"x" * 65536
    )
    _handle_endless_encoded_body = flood(
        b"HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nServer-Signature: s\r\n"
        b"Content-Encoding: gzip\r\n\r\n", b"x" * 65536
    )

    _handle_status_000 = answer_with("000 Unknown")
    _handle_status_0 = answer_with("0 Unknown")
    _handle_status_20 = answer_with("20 Unknown")
    _handle_status_099 = answer_with("099 Unknown")
    _handle_status_600 = answer_with("600 Unknown")
    _handle_status_999 = answer_with("999 Unknown")
    _handle_status_2000 = answer_with("2000 Unknown")
    _handle_status_101 = answer_with("101 Switching Protocols")

    def _handle_garbage(self, sock, request_id, body, headers):
        self.executed.append(request_id)
        sock.sendall(b"\x00\x01 what\r\n\r\n")
        return True

    def _handle_encoded(self, sock, request_id, body, headers):
        self.executed.append(request_id)
        sock.sendall(
            self._head(request_id, Content_Encoding="gzip") + b"Content-Length: 5\r\n\r\nhello"
        )
        return True

    def _handle_extra(self, sock, request_id, body, headers):
        """Appends a second response, for which there is no request."""
        self.executed.append(request_id)
        sock.sendall(self._ok_response(request_id) + self._ok_response(request_id, b"again"))
        return True

    def _handle_interim(self, sock, request_id, body, headers):
        """Sends two interim responses ahead of the final one."""
        self.executed.append(request_id)
        sock.sendall(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n")
        sock.sendall(self._ok_response(request_id))
        return True

    def _handle_late_extra(self, sock, request_id, body, headers):
        """Sends a second response when the next request arrives, ahead of that one's response."""
        self.executed.append(request_id)
        sock.sendall(self._ok_response(request_id))
        self.stray = self._ok_response(request_id, b"stray")
        message = read_message(sock, b"")
        if message is None:
            return False
        sock.sendall(self.stray)
        time.sleep(0.05)
        return self._handle_request(sock, *message[:3])

    def _handle_other_id(self, sock, request_id, body, headers):
        self.executed.append(request_id)
        sock.sendall(self._ok_response("another-request"))
        return False

    def _handle_crash(self, sock, request_id, body, headers):
        """Resets the connection and restarts as a new incarnation 0.1 s later."""
        self.executed.append(request_id)
        self.started_at_ms += 1
        self.grants = []
        threading.Timer(0.1, self.announce, ["ready"]).start()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        return False

    def _handle_full(self, sock, request_id, body, headers):
        sock.sendall(
            self._head(request_id, "503 Busy", Not_Executed=1) + b"Content-Length: 0\r\n\r\n"
        )
        return True

    def _handle_unavailable(self, sock, request_id, body, headers):
        """A 503 without the header which says that the request was not run."""
        self.executed.append(request_id)
        sock.sendall(self._head(request_id, "503 Busy") + b"Content-Length: 0\r\n\r\n")
        return True

    def _handle_error(self, sock, request_id, body, headers):
        self.executed.append(request_id)
        sock.sendall(self._head(request_id, "500 Oops") + b"Content-Length: 0\r\n\r\n")
        return True

    def _handle_slow(self, sock, request_id, body, headers):
        """Runs for two seconds, or until the connection is closed."""
        self.executed.append(request_id)
        sock.settimeout(2)
        try:
            if sock.recv(1) == b"":
                self.abandoned.append(request_id)
                return False
        except TimeoutError:
            pass
        except OSError:
            self.abandoned.append(request_id)
            return False
        sock.settimeout(None)
        sock.sendall(self._ok_response(request_id))
        return True

    def _handle_long(self, sock, request_id, body, headers):
        """Runs for 1.2 s, which is within the routes' timeout."""
        self.executed.append(request_id)
        time.sleep(1.2)
        sock.sendall(self._ok_response(request_id))
        return True

    def _handle_short(self, sock, request_id, body, headers):
        """Runs for 0.3 s."""
        self.executed.append(request_id)
        time.sleep(0.3)
        sock.sendall(self._ok_response(request_id))
        return True


ROUTES = [
    ["keyed", "t.example", "/keyed/", "idempotent", 1500, 500, 1, None, 2, "keyed"],
    ["read", "t.example", "/read/", "idempotent", 1500, 500, 1, None, 2, "plain"],
    ["order", "t.example", "/order/", "mutating", 1500, 500, 0, None, 2, "plain"],
    ["upload", "t.example", "/upload/", "upload", 1500, 500, 0, None, 2, "plain"],
    ["nobody", "t.example", "/nobody/", "idempotent", 1500, 500, 1, None, 2, "empty"],
]


def configuration(version, routes, max_body_bytes=5000000, services=(), cold=(None, None),
                  keyed=True):
    """SERVICES: names of more services without keys.  COLD: for how many seconds a target of
    the first two services is cold, and how many requests a second it bears then.  KEYED:
    whether the first service has keys; else none has."""
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
                "cols": ["name", "health_path", "max_conns", "sharded", "warm_s",
                         "warmup_s", "warmup_per_s"],
                "rows": [
                    ["keyed", "/healthz", 50, keyed or None, 1.0 if keyed else None, *cold],
                    ["plain", "/healthz", 50, None, None, *cold],
                    ["empty", "/healthz", 50, None, None, None, None],
                    *([name, "/healthz", 50, None, None, None, None] for name in services),
                ],
            },
            "limits": {
                "max_header_bytes": 4096,
                "max_body_bytes": max_body_bytes,
                "header_timeout_ms": 1000,
                "idle_timeout_ms": 5000,
            },
        }
    ).encode()


# Below the ephemeral ports: the kernel may assign one of those to another socket between the
# probe and the router's bind.
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
    """A router process; its log goes to the file `log_path`.  FILES: its limit of open files."""

    def __init__(
        self, build, store_port, name, blocked_log=False, memory_mb=160, bounds="", files=None,
        grace_s=6,
    ):
        self.caller_port, self.ready_port, self.peer_port = free_port(), free_port(), free_port()
        self.metrics_port = free_port()
        self.directory = tempfile.mkdtemp(prefix="router-")
        self.settings_path = os.path.join(self.directory, "settings.toml")
        self.log_path = os.path.join(self.directory, "log")
        with open(self.settings_path, "w", encoding="utf-8") as file:
            file.write(
                '[host]\nname = "%s"\ndata_centre = "z1"\ncallers = "127.0.0.1:%d"\n'
                'ready = "127.0.0.1:%d"\npeers = "127.0.0.1:%d"\nunknown = 1\n'
                'metrics = "127.0.0.1:%d"\nmemory_mb = %d\n'
                '[store]\naddress = "127.0.0.1:%d"\n[bounds]\ngrace_s = %g\n%s'
                % (name, self.caller_port, self.ready_port, self.peer_port, self.metrics_port,
                   memory_mb, store_port, grace_s, bounds)
            )
        self.command = [
            os.path.join(build, "chicorywood"), "route", "--settings", self.settings_path
        ]
        with open(self.log_path, "wb") as log:
            output = subprocess.PIPE if blocked_log else log
            self.process = subprocess.Popen(
                self.command, stdout=output, stderr=log,
                preexec_fn=files
                and (lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (files, files))),
            )

    def restart(self):
        """Starts the process again, with the same addresses and settings."""
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(self.command, stdout=log, stderr=log)

    def is_ready(self):
        try:
            with socket.create_connection(("127.0.0.1", self.ready_port), 1) as sock:
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

    def resident_bytes(self):
        with open("/proc/%d/statm" % self.process.pid, encoding="ascii") as file:
            return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")

    def peak_bytes(self):
        """The most that was ever resident."""
        with open("/proc/%d/status" % self.process.pid, encoding="ascii") as file:
            return int(file.read().split("VmHWM:")[1].split()[0]) * 1024

    def open_files(self):
        return len(os.listdir("/proc/%d/fd" % self.process.pid))

    def read_metrics(self, timeout=None):
        with urllib.request.urlopen(
            "http://127.0.0.1:%d/metrics" % self.metrics_port, timeout=timeout
        ) as response:
            return response.read().decode()

    def wait_hosts(self, hosts, seconds=20):
        """Waits until the router knows the number of hosts.

        Before, its retry budget is that of a host of a large fleet: one or two retries.
        """
        until = time.monotonic() + seconds
        while "chicorywood_hosts %d\n" % hosts not in self.read_metrics():
            if time.monotonic() > until:
                raise AssertionError("hosts unknown: " + self.read_metrics())
            time.sleep(0.05)
        time.sleep(0.1)  # the coordinator passes the number on to the proxy

    def signal(self, number):
        self.process.send_signal(number)

    def kill(self):
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
        self.process.wait()

    def read_log(self):
        with open(self.log_path, encoding="utf-8", errors="replace") as file:
            return file.read()


class Response:
    def __init__(self, status, headers, body):
        self.status, self.headers, self.body = status, headers, body


class Caller:
    """A connection to a router; requests can be pipelined on it."""

    def __init__(self, router):
        self.sock = socket.create_connection(("127.0.0.1", router.caller_port), 5)
        self.sock.settimeout(10)
        self.rest = b""

    @staticmethod
    def serialize(
        path, request_id, method="GET", body=None, chunked=False, key=7, deadline_ms=1500
    ):
        head = "%s %s HTTP/1.1\r\nHost: t.example\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n" % (
            method, path, request_id, deadline_ms,
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
        return head.encode() + b"\r\n" + data

    def send(self, *args, **options):
        self.sock.sendall(self.serialize(*args, **options))

    def receive(self):
        """None if the connection was closed before a complete response."""
        try:
            message = read_message(self.sock, self.rest)
        except ConnectionError:
            return None
        if message is None:
            return None
        start, headers, body, self.rest = message
        return Response(int(start.split(" ")[1]), headers, body)

    def is_closed(self):
        """Whether the router has closed the connection."""
        self.sock.settimeout(0.1)
        try:
            return self.sock.recv(1) == b""
        except TimeoutError:
            return False
        except OSError:
            return True

    def close(self):
        self.sock.close()
