"""Stand-ins for the platform, its instances and its clients, on loopback addresses.

A case derives from Case. The store serves rows-get, rows-feed and rows-tx; an instance
registers itself there, sends heartbeats and handles one request at a time on a connection.
Everything runs in one event loop; the routers are separate processes.
"""

import asyncio
import base64
import itertools
import json
import os
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
DEPLOY_FILE = os.path.join(ROOT, "deploy", "system.toml")
HEARTBEAT_S = 0.87
BROKEN, HELD, NOT_RUN = 1, 0, 2


class CannotRun(Exception):
    """The case could not be run; it says nothing about the rule."""


class Record:
    """The file of what was sent, answered and run, with times in seconds from its start."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, event, **fields):
        words = " ".join("%s=%s" % (key, value) for key, value in fields.items())
        self.file.write("%8.3f %s %s\n" % (self.now(), event, words))

    def close(self):
        self.file.close()


async def read_head(reader):
    """Start line and headers; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines[1:] if line)
    return lines[0], {name.strip().lower(): value.strip() for name, _, value in pairs}


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() != "chunked":
        return await reader.readexactly(int(headers.get("content-length", 0)))
    parts = []
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        parts.append((await reader.readexactly(size + 2))[:-2])
        if size == 0:
            return b"".join(parts)


class Store:
    """The platform's store: versioned rows, conditional transactions, feeds."""

    def __init__(self):
        self.rows = {}
        self.log = []
        self.version = 0
        self.changed = asyncio.Condition()
        self.port = None

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def write(self, puts, deletes=()):
        async with self.changed:
            self.version += 1
            for table, key, value in puts:
                self.rows[table, key] = (value, self.version)
                self.log.append((self.version, table, key, value))
            for table, key in deletes:
                if self.rows.pop((table, key), None) is not None:
                    self.log.append((self.version, table, key, None))
            self.changed.notify_all()

    def _reply(self, **more):
        return {"ver": self.version, "now_ms": int(time.monotonic() * 1000), **more}

    @staticmethod
    def _row(version, table, key, value):
        row = {"table": table, "part": "", "key": key, "ver": version}
        if value is None:
            row["removed"] = True
        else:
            row["value"] = base64.b64encode(value).decode()
        return row

    def _get(self, query):
        rows = [
            self._row(version, table, key, value)
            for (table, key), (value, version) in sorted(self.rows.items())
            if table == query["table"] and key >= query.get("from", "")
        ]
        limit = min(int(query.get("limit", 500)), 500)
        return 200, self._reply(rows=rows[:limit], has_more=len(rows) > limit)

    async def _feed(self, query):
        after = int(query["after"])
        until = time.monotonic() + int(query["wait_ms"]) / 1000
        async with self.changed:
            while True:
                rows = [
                    self._row(*entry)
                    for entry in self.log
                    if entry[0] > after and entry[1] == query["table"]
                ]
                left = until - time.monotonic()
                if rows or left <= 0:
                    return 200, self._reply(rows=rows)
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def _transact(self, body):
        call = json.loads(body)
        if any(
            self.rows.get((row["table"], row["key"]), (None, 0))[1] != row["ver"]
            for row in call["expected_rev"]
        ):
            return 412, self._reply(rows=[])
        await self.write(
            [(r["table"], r["key"], base64.b64decode(r["value"])) for r in call["puts"]],
            [(r["table"], r["key"]) for r in call.get("delete", [])],
        )
        return 200, self._reply()

    async def _answer(self, start, body):
        from urllib.parse import parse_qsl, urlsplit

        url = urlsplit(start.split(" ")[1])
        query = dict(parse_qsl(url.query, keep_blank_values=True))
        await asyncio.sleep(0.004)
        if url.path == "/chicorywood/rows-get":
            return self._get(query)
        if url.path == "/chicorywood/rows-feed":
            return await self._feed(query)
        if url.path == "/chicorywood/rows-tx":
            return await self._transact(body)
        return 404, {}

    async def _serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                status, reply = await self._answer(head[0], await read_body(reader, head[1]))
                data = json.dumps(reply).encode()
                writer.write(
                    b"HTTP/1.1 %d Reply\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n%s" % (status, len(data), data)
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


class Instance:
    """An instance of a service. Subclasses override `work`."""

    def __init__(self, case, name, service, work_s, slots=3, queue=12):
        self.case, self.name, self.service = case, name, service
        self.work_s, self.slots, self.queue = work_s, slots, queue
        self.slowdown = 1
        self.dark = False  # takes connections and bytes, and sends nothing
        self.slot = asyncio.Semaphore(slots)
        self.running = self.waiting = 0
        self.seq = 0
        self.fences = {}
        self.beats = None

    async def start(self):
        self.born = int(time.time() * 1000)
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=1 << 22)
        self.port = self.server.sockets[0].getsockname()[1]
        await self._beat()
        self.beats = asyncio.create_task(self._send_beats())

    async def _beat(self):
        self.seq += 1
        entry = {
            "addr": "127.0.0.1:%d" % self.port,
            "born": self.born,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": "z1",
                "slots": self.slots,
            },
            "status": {"state": "ready", "seq": self.seq, "warmup_left_ms": 0},
        }
        await self.case.store.write([("servers", self.name, json.dumps(entry).encode())])

    async def _send_beats(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            await self._beat()

    async def go_dark(self):
        """Falls silent; its entry is removed after three heartbeats."""
        self.dark = True
        self.beats.cancel()
        self.case.record("instance_dark", instance=self.name)
        await asyncio.sleep(3 * HEARTBEAT_S)
        await self.case.store.write([], [("servers", self.name)])

    def head(self, request_id, status="200 OK", **more):
        lines = ["HTTP/1.1 " + status, "Request-Id: " + request_id]
        lines += ["Server-Signature: %s.%s" % (self.name, request_id)]
        lines += ["Instance-Load: %d,%d,%d" % (self.running, self.waiting, self.slots)]
        lines += ["Keep-Alive: timeout=10"]
        lines += ["%s: %s" % (name.replace("_", "-"), value) for name, value in more.items()]
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    def response(self, request_id, body=b"done", **more):
        return self.head(request_id, Content_Length=len(body), **more) + body

    async def work(self, writer, request_id, path):
        """Runs a request that has a slot."""
        await asyncio.sleep(self.work_s * self.slowdown)
        writer.write(self.response(request_id))
        await writer.drain()

    def _take_order(self, path, call):
        """A grant or a release. The cases send no requests with keys."""
        keys = (call["from"], call["to"])
        self.case.record(path.rsplit("/", 1)[1], instance=self.name, keys=keys, fence=call["fence"])
        if path.endswith("grant") and call["fence"] < self.fences.get(keys, 0):
            return b"HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n"
        self.fences[keys] = max(self.fences.get(keys, 0), call["fence"])
        return b"HTTP/1.1 200 OK\r\nHandover: h1\r\nContent-Length: 0\r\n\r\n"

    async def _run(self, writer, request_id, path):
        if self.running >= self.slots and self.waiting >= self.queue:
            self.case.record("rejected", instance=self.name, request=request_id)
            writer.write(
                self.head(request_id, "503 Full", Not_Executed=1, Content_Length=0)
            )
            return
        self.waiting += 1
        async with self.slot:
            self.waiting -= 1
            self.running += 1
            self.case.note_run(self, request_id)
            try:
                await self.work(writer, request_id, path)
            finally:
                self.running -= 1

    async def _serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head[1])
                if self.dark:
                    await asyncio.sleep(3600)
                path = head[0].split(" ")[1]
                if path.startswith("/chicorywood/"):
                    writer.write(self._take_order(path, json.loads(body)))
                    continue
                request_id = head[1].get("request-id", "")
                if head[1].get("target-instance", self.name) != self.name:
                    writer.write(
                        self.head(
                            request_id,
                            "421 Misdirected Request",
                            Not_Executed=1,
                            Instance_Id=self.name,
                            Content_Length=0,
                        )
                    )
                    continue
                await self._run(writer, request_id, path)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


class Answer:
    def __init__(self, status, headers, body, complete):
        self.status, self.headers, self.body, self.complete = status, headers, body, complete


class Client:
    """A connection of a client to a router."""

    def __init__(self, case, router, reader, writer):
        self.case, self.router = case, router
        self.reader, self.writer = reader, writer

    @classmethod
    async def connect(cls, case, router, receive_buffer=None):
        sock = socket.socket()
        if receive_buffer is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, ("127.0.0.1", router.port))
        reader, writer = await asyncio.open_connection(sock=sock, limit=1 << 16)
        return cls(case, router, reader, writer)

    def _encode(self, route, request_id, method, body, deadline_ms):
        head = "%s /%s/x HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n" % (
            method,
            route,
            request_id,
            deadline_ms,
        )
        if body is not None:
            head += "Content-Length: %d\r\n" % len(body)
        self.case.record("sent", request=request_id, route=route, bytes=len(body or b""))
        return head.encode() + b"\r\n" + (body or b"")

    async def send(self, route, request_id, method="GET", body=None, deadline_ms=3000):
        self.writer.write(self._encode(route, request_id, method, body, deadline_ms))
        await self.writer.drain()

    async def send_together(self, route, request_ids, deadline_ms):
        """Pipelines GET requests with one write."""
        self.writer.write(
            b"".join(self._encode(route, i, "GET", None, deadline_ms) for i in request_ids)
        )
        await self.writer.drain()

    async def receive(self, bytes_per_s=None):
        """The next answer; None if the connection ended before its head."""
        head = await read_head(self.reader)
        if head is None:
            return None
        status, headers = int(head[0].split(" ")[1]), head[1]
        length = int(headers.get("content-length", 0))
        body = bytearray()
        start = time.monotonic()
        while len(body) < length:
            try:
                piece = await self.reader.read(min(length - len(body), 16384))
            except ConnectionError:
                piece = b""
            if not piece:
                break
            body += piece
            if bytes_per_s is not None:
                ahead = len(body) / bytes_per_s - (time.monotonic() - start)
                await asyncio.sleep(max(ahead, 0))
        return Answer(status, headers, bytes(body), len(body) == length)

    def close(self):
        self.writer.close()


SETTINGS = """[host]
name = "{name}"
data_centre = "z1"
callers = "127.0.0.1:{port}"
ready = "127.0.0.1:{ready}"
peers = "127.0.0.1:{peers}"
link_mbps = 1000.0
memory_mb = 260
[store]
address = "127.0.0.1:{store}"
[bounds]
drain_ms = 2000
config_apply_ms = 2000
grace_s = {grace_s}
hold_max_ms = 10000
retry_ratio = 0.2
budget_window_s = 10
budget_extra = 56
"""


def run_command():
    """The words of the deploy file's `run`, without the settings file's path."""
    with open(DEPLOY_FILE, encoding="utf-8") as file:
        line = next(line for line in file if line.startswith("run = "))
    return line.split('"')[1].split(" ")[:-1]


class Router:
    def __init__(self, case, name, grace_s):
        self.case, self.name = case, name
        self.port, self.ready, self.peers = (case.free_port() for _ in range(3))
        self.settings = os.path.join(case.directory, name + ".toml")
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(
                SETTINGS.format(
                    name=name,
                    port=self.port,
                    ready=self.ready,
                    peers=self.peers,
                    store=case.store.port,
                    grace_s=grace_s,
                )
            )

    async def start(self):
        log = open(os.path.join(self.case.directory, self.name + ".log"), "wb")
        self.process = await asyncio.create_subprocess_exec(
            *run_command(), self.settings, cwd=ROOT, stdout=log, stderr=log
        )
        log.close()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.ready)
        except OSError:
            return False
        try:
            writer.write(b"GET /chicorywood/readyz HTTP/1.1\r\nHost: r\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 1)
            return head is not None and " 200 " in head[0]
        except (OSError, asyncio.TimeoutError):
            return False
        finally:
            writer.close()

    async def wait_ready(self):
        for _ in range(200):
            if await self.is_ready():
                return
            await asyncio.sleep(0.1)
        raise CannotRun("router %s is not ready" % self.name)

    def send_signal(self, number):
        self.case.record("signal", router=self.name, signal=signal.Signals(number).name)
        self.process.send_signal(number)

    async def end(self):
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()


class Case:
    """One run. Subclasses define `services`, `routes` and `play`, which returns whether the
    rule held."""

    routers = 2
    grace_s = 6
    length_s = 100
    services = []  # (name, max_conns)
    keyed = ()  # names of those divided by key
    routes = []  # (name, kind, timeout_ms, slo_ms, attempts, service)

    def __init__(self, directory):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(os.path.join(directory, "record.txt"))
        self.runs = {}
        self.ports = itertools.count(11000 + os.getpid() * 41 % 15000)

    def free_port(self):
        for port in self.ports:
            try:
                with socket.create_server(("127.0.0.1", port)):
                    return port
            except OSError:
                continue

    def note_run(self, instance, request_id):
        self.record("run", instance=instance.name, request=request_id)
        self.runs.setdefault(request_id, []).append(instance.name)

    def configuration(self, version="00000001"):
        return json.dumps(
            {
                "version": version,
                "routes": {
                    "cols": [
                        "name", "host", "prefix", "kind", "timeout_ms", "slo_ms", "attempts",
                        "service", "priority",
                    ],
                    "rows": [
                        [name, "shop.example", "/%s/" % name, *rest, 1]
                        for name, *rest in self.routes
                    ],
                },
                "services": {
                    "cols": ["name", "health_path", "max_conns", "sharded", "warm_s"],
                    "rows": [
                        [name, "/healthz", n, True if name in self.keyed else None, None]
                        for name, n in self.services
                    ],
                },
                "limits": {
                    "max_header_bytes": 8192,
                    "max_body_bytes": 5000000,
                    "header_timeout_ms": 5000,
                    "idle_timeout_ms": 20000,
                },
            }
        ).encode()

    async def run(self):
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, asyncio.current_task().cancel
        )
        self.directory = tempfile.mkdtemp(prefix="review-")
        self.store = Store()
        started = []
        try:
            await self.store.start()
            await self.store.write([("op", "config", self.configuration())])
            for instance in self.make_instances():
                await instance.start()
            for i in range(self.routers):
                router = Router(self, "h%d" % i, self.grace_s)
                await router.start()
                started.append(router)
            for router in started:
                await router.wait_ready()
            await asyncio.sleep(4)  # stable_ms, and a margin
            self.record("start", trouble=int(self.trouble))
            held = await asyncio.wait_for(self.play(started), self.length_s)
            self.record("result", rule="held" if held else "broken")
            return HELD if held else BROKEN
        finally:
            for router in started:
                await router.end()
            keep = os.environ.get("KEEP_LOGS")
            if keep:
                shutil.copytree(self.directory, keep, dirs_exist_ok=True)
            shutil.rmtree(self.directory, ignore_errors=True)


def main(case_class, file):
    case = case_class(os.path.dirname(os.path.abspath(file)))
    try:
        code = asyncio.run(case.run())
    except (Exception, asyncio.CancelledError) as error:  # says nothing about the rule
        case.record("cannot_run", why=repr(error))
        print("cannot run:", repr(error), file=sys.stderr)
        code = NOT_RUN
    case.record.close()
    sys.exit(code)
