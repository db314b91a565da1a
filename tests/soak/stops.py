#!/usr/bin/env python3
"""Soak of stops: hosts get SIGTERM in series that overlap, with reloads, further signals and changes
of the configuration between them, while callers keep using open connections until these end. Targets
have few slots and a queue, and work of uneven length. Checks that no request which a host took late
is given up, and that every other promise on the end of a process holds. stops.py --help lists the
options."""

import argparse
import collections
import os
import random
import signal
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "process"))
from platform_fixture import Caller, Router, Store, Target, configuration, serve_store  # noqa: E402

LATE_S = 3  # after the signal: a request that is sent later and passed on has to be answered
LAST_SHARE = 1 / 6  # of the grace period: others may be cut only then
KILL_SLACK_S = 0.3  # of the operator's clock
TIMEOUT_SLACK_S = 0.1  # a request that is given up this close to its time-out reached it
PROBE_S, MISSES = 1, 2  # the balancer's
SLOTS, QUEUE = 4, 12
WORK_S, LONG_SHARE, LONG_FACTOR = 0.55, 0.1, 3
SLICE_S = 0.1
KINDS = {  # by route: method, time-out in ms
    "look": ("GET", 3000), "scan": ("GET", 3000), "glance": ("GET", 1200), "book": ("POST", 3000),
}
SERVICES = {"look": "keyed", "scan": "plain", "glance": "plain", "book": "plain"}
PIPELINED = ("look", "scan", "look", "scan", "glance")
SINGLE = ("book", "book", "look", "glance")
DEPTH_MAX = 6  # requests without an answer on one connection


def routes():
    return [
        [name, "t.example", "/%s/" % name, "mutating" if method == "POST" else "idempotent",
         timeout, timeout, 1, None, 2, SERVICES[name]]
        for name, (method, timeout) in KINDS.items()
    ]


class QueueTarget(Target):
    """Runs SLOTS requests at a time and queues QUEUE more, in the order of arrival.  If it is
    PUNCTUAL it ends work at the deadline that it is given, else it takes no notice of that."""

    def __init__(self, store, name, service, rng, punctual):
        self.punctual, self.rng = punctual, rng
        self.running, self.waiting = 0, collections.deque()
        self.turn = threading.Condition()
        self.begun, self.ended = {}, {}  # by id, time.monotonic ()
        super().__init__(store, name, service, slots=SLOTS)

    def _handle_work(self, sock, request_id, _body, headers):
        until = time.monotonic() + int(headers["deadline-ms"]) / 1000
        if not self._enter(sock, request_id, until):
            sock.sendall(self._head(request_id, "503 Busy", Not_Executed=1, Instance_Load=self._load())
                         + b"Content-Length: 0\r\n\r\n")
            return True
        self.executed.append(request_id)
        self.begun[request_id] = time.monotonic()
        work = WORK_S * self.rng.uniform(0.6, 1.4)
        if self.rng.random() < LONG_SHARE:
            work *= LONG_FACTOR
        in_time = not self.punctual or time.monotonic() + work < until
        alive = self._sleep(sock, work if in_time else until - time.monotonic())
        with self.turn:
            self.running -= 1
            self.turn.notify_all()
        if not alive:
            self.abandoned.append(request_id)
            return False
        self.ended[request_id] = time.monotonic()
        status = "200 OK" if in_time else "504 Deadline Passed"
        sock.sendall(self._head(request_id, status, Instance_Load=self._load())
                     + b"Content-Length: 5\r\n\r\nhello")
        return True

    def _load(self):
        return "%d,%d,%d" % (self.running, len(self.waiting), SLOTS)

    def _enter(self, sock, request_id, until):
        """False: the queue is full, the time is over or the connection has ended."""
        with self.turn:
            if len(self.waiting) >= QUEUE:
                return False
            self.waiting.append(request_id)
            while self.running >= SLOTS or self.waiting[0] != request_id:
                self.turn.wait(0.05)
                if time.monotonic() >= until or not self.is_connected(sock):
                    self.waiting.remove(request_id)
                    return False
            self.waiting.popleft()
            self.running += 1
            self.turn.notify_all()
            return True

    def _sleep(self, sock, seconds):
        sock.settimeout(max(seconds, 0.001))
        try:
            return sock.recv(1) != b""
        except TimeoutError:
            return True
        except OSError:
            return False
        finally:
            sock.settimeout(None)


class Request:
    def __init__(self, request_id, kind, host):
        self.id, self.kind, self.host = request_id, kind, host
        self.sent, self.ended, self.status = time.monotonic(), None, None


class Host:
    def __init__(self, soak, number):
        self.soak, self.number = soak, number
        self.router = Router(soak.args.build, soak.store_port, "h%d" % number,
                             grace_s=soak.args.grace)
        self.stops = []  # of each: when SIGTERM was sent, when the process ended or None
        self.misses = 0
        if soak.args.core < 1:
            threading.Thread(target=self._slice, daemon=True).start()

    def _slice(self):
        """The process gets a part of a core, in slices."""
        while not self.soak.over.is_set():
            self._signal(signal.SIGSTOP)
            time.sleep(SLICE_S * (1 - self.soak.args.core))
            self._signal(signal.SIGCONT)
            time.sleep(SLICE_S * self.soak.args.core)
        self._signal(signal.SIGCONT)

    def _signal(self, number):
        if self.router.process.poll() is None:
            self.router.signal(number)

    def stop(self, rng):
        """SIGTERM, and now and then further signals; returns once the host is back."""
        since = time.monotonic()
        self.stops.append([since, None])
        self.router.signal(signal.SIGTERM)
        while self.router.process.poll() is None:
            time.sleep(rng.uniform(0.1, 0.5))
            if rng.random() < 0.2:
                self._signal(rng.choice([signal.SIGTERM, signal.SIGHUP]))
            if time.monotonic() - since > self.soak.args.grace + KILL_SLACK_S:
                self.soak.report("END", "h%d runs %.1f s after SIGTERM" % (
                    self.number, time.monotonic() - since))
                self.router.kill()
        self.stops[-1][1] = time.monotonic()
        if self.router.process.returncode not in (0, -signal.SIGKILL):
            self.soak.report("END", "h%d ended with %d" % (
                self.number, self.router.process.returncode))
        self.router.restart()
        self.misses = MISSES

    def probe(self):
        self.misses = 0 if self.router.is_ready() else self.misses + 1


class Soak:
    def __init__(self, args, seed):
        self.args, self.rng, self.violations = args, random.Random(seed), []
        self.store, self.over = Store(), threading.Event()
        self.store_port = serve_store(self.store)
        self.version, self.n_requests, self.requests = 0, 0, []
        self.lock = threading.Lock()
        self.configure()
        self.targets = [
            QueueTarget(self.store, "%s%d" % (service[0], i), service, random.Random(seed + i), i % 2 == 0)
            for service in ("keyed", "plain") for i in range(args.targets)
        ]
        self.hosts = [Host(self, i) for i in range(args.hosts)]
        for host in self.hosts:
            host.router.wait_ready()

    def configure(self):
        self.version += 1
        extra = ["x%d" % self.version, "t.example", "/x%d/" % self.version, "idempotent", 1500, 500,
                 1, None, 2, "plain"]
        self.store.put("op", "config", configuration(self.version, routes() + [extra]))

    def report(self, rule, what):
        self.violations.append((rule, what))

    def new_request(self, kind, host):
        with self.lock:
            self.n_requests += 1
            request = Request("r%d" % self.n_requests, kind, host)
            self.requests.append(request)
            return request

    def connect(self, rng):
        """As the balancer directs a new connection; None if no host is in rotation."""
        hosts = [host for host in self.hosts if host.misses < MISSES]
        host = rng.choice(hosts) if hosts else None
        try:
            return (host, Caller(host.router)) if host else (None, None)
        except OSError:
            return None, None

    def send(self, caller, host, kind, rng):
        request = self.new_request(kind, host)
        method, timeout = KINDS[kind]
        caller.send("/%s/work" % kind, request.id, method, b"x" if method == "POST" else None,
                    key=rng.randrange(65536), deadline_ms=timeout + 1000)
        return request

    @staticmethod
    def receive(caller, request):
        """False: the connection ends."""
        try:
            response = caller.receive()
        except (OSError, ValueError):
            response = None
        request.ended = time.monotonic()
        request.status = response and response.status
        return response is not None and response.headers.get("connection") != "close"

    def single_loop(self, seed, interval_s):
        """Sends one request at a time."""
        rng, caller = random.Random(seed), None
        while not self.over.is_set():
            time.sleep(rng.expovariate(1 / interval_s))
            if caller is None:
                host, caller = self.connect(rng)
            if caller is None:
                continue
            try:
                request = self.send(caller, host, rng.choice(SINGLE), rng)
                if not self.receive(caller, request):
                    caller = None
            except OSError:
                caller = None

    def pipeline_loop(self, seed, interval_s):
        """Sends on whatever is unanswered, so that connections are seldom idle."""
        rng = random.Random(seed)
        while not self.over.is_set():
            host, caller = self.connect(rng)
            if caller is None:
                time.sleep(0.1)
                continue
            unanswered, ended = collections.deque(), threading.Event()
            reader = threading.Thread(target=self.read_loop, args=(caller, unanswered, ended))
            reader.start()
            try:
                while not ended.is_set() and not self.over.is_set():
                    if len(unanswered) < DEPTH_MAX:
                        unanswered.append(self.send(caller, host, rng.choice(PIPELINED), rng))
                    time.sleep(rng.expovariate(1 / interval_s))
            except OSError:
                pass
            ended.set()
            reader.join()
            caller.close()

    def read_loop(self, caller, unanswered, ended):
        while unanswered or not ended.is_set():
            if not unanswered:
                time.sleep(0.005)
            elif not self.receive(caller, unanswered.popleft()):
                break
        ended.set()
        for request in unanswered:
            request.ended = time.monotonic()

    def probe_loop(self):
        while not self.over.is_set():
            for host in self.hosts:
                host.probe()
            time.sleep(PROBE_S)

    def run(self):
        mean = WORK_S * (1 + LONG_SHARE * (LONG_FACTOR - 1))
        rate = self.args.load * len(self.targets) * SLOTS / mean
        callers = [(self.pipeline_loop, 0.9, self.args.callers),
                   (self.single_loop, 0.1, self.args.callers)]
        threads = [threading.Thread(target=self.probe_loop, daemon=True)] + [
            threading.Thread(target=loop, daemon=True,
                             args=(self.rng.random(), number / (rate * share)))
            for loop, share, number in callers for _ in range(number)
        ]
        for thread in threads:
            thread.start()
        time.sleep(4)  # hosts learn how long targets need
        until, stops = time.monotonic() + self.args.seconds, []
        while time.monotonic() < until:
            time.sleep(self.rng.uniform(0.3, 2.5))
            busy = [host for host, thread in stops if thread.is_alive()]
            free = [host for host in self.hosts if host not in busy and host.router.is_ready()]
            if self.rng.random() < 0.3:
                self.configure()
            if len(free) > len(self.hosts) / 2:
                host = self.rng.choice(free)
                stop = threading.Thread(target=host.stop, args=(random.Random(self.rng.random()),))
                stops.append((host, stop))
                stop.start()
        for _host, thread in stops:
            thread.join()
        time.sleep(4)  # what is under way ends
        self.over.set()
        for thread in threads:
            thread.join(10)
        self.check()

    def check(self):
        executions, begun = collections.Counter(), {}
        for target in self.targets:
            executions.update(target.executed)
            begun.update(target.begun)
        counts = collections.Counter()
        for request in self.requests:
            self.check_request(request, executions[request.id], begun.get(request.id), counts)
        self.summary = ", ".join("%s %d" % pair for pair in sorted(counts.items()))

    def check_request(self, request, ran, begun, counts):
        # A signal may have come after it was sent.
        stops = [at for at, ended in request.host.stops
                 if request.sent < ended and at < (request.ended or 1e18)]
        since = stops[-1] if stops else None
        what = "%s (%s) to h%d, sent %s s after the signal, ran %d times, got %s %s s after it" % (
            request.id, request.kind, request.host.number,
            "%.2f" % (request.sent - since) if stops else "-", ran, request.status,
            "%.2f" % (request.ended - since) if stops and request.ended else "-")
        late = stops and request.sent - since >= LATE_S
        counts["sent"] += 1
        if stops and request.sent > since:
            counts["stopping: sent late" if late else "stopping: sent"] += 1
            if request.status == 200:
                counts["stopping: 200 late" if late else "stopping: 200"] += 1
            if request.status == 503:
                counts["stopping: 503 late" if late else "stopping: 503"] += 1
        if ran > 1 and request.kind == "book":
            self.report("TWICE", what)
        if ran and request.status == 503:
            self.report("REFUSED", what)
        if not ran or request.status == 200 or request.ended is None:
            return
        if request.ended - request.sent > KINDS[request.kind][1] / 1000 - TIMEOUT_SLACK_S:
            return
        cut_late = stops and request.ended - since >= self.args.grace * (1 - LAST_SHARE)
        if cut_late and not late:
            counts["stopping: cut at the end"] += 1
        else:
            self.report("LOST", what)

    def finish(self):
        self.over.set()
        for host in self.hosts:
            host.router.kill()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, action="append", help="may be given several times")
    parser.add_argument("--fresh", type=int, default=0, help="number of additional random seeds")
    parser.add_argument("--seconds", type=float, default=40, help="of stops, for each seed")
    parser.add_argument("--hosts", type=int, default=4)
    parser.add_argument("--targets", type=int, default=4, help="of each of the two services")
    parser.add_argument("--callers", type=int, default=12, help="that pipeline, and as many others")
    parser.add_argument("--load", type=float, default=0.8, help="of what all slots bear")
    parser.add_argument("--core", type=float, default=1, help="the part that each host gets")
    parser.add_argument("--grace", type=float, default=6, help="grace_s, in seconds")
    parser.add_argument("--build", default=os.environ.get("BUILD", "build"))
    args = parser.parse_args()
    seeds = (args.seed or []) + [random.randrange(10**6) for _ in range(args.fresh)]
    failed = 0
    for seed in seeds:
        soak = Soak(args, seed)
        try:
            soak.run()
        finally:
            soak.finish()
        print("seed %d: %s; %d violations" % (seed, soak.summary, len(soak.violations)), flush=True)
        for rule, what in soak.violations[:10]:
            print("  %s: %s" % (rule, what))
        if soak.violations:
            failed += 1
            print("  logs: %s" % [host.router.directory for host in soak.hosts])
    print("%d passed, %d failed" % (len(seeds) - failed, failed))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
