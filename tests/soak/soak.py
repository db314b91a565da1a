#!/usr/bin/env python3
"""Runs real routers, targets and a store as processes, harms them by a seed, and checks the
promises from what callers and targets see. soak.py --help lists the options."""

import argparse
import collections
import json
import os
import random
import signal
import subprocess
import sys
import tempfile
import threading
import time
import urllib.request

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "process"))
sys.path.insert(0, HERE)
from platform_world import Caller, Router, configuration, free_port  # noqa: E402
from proxy import Proxies  # noqa: E402

DRAIN_MS = 2000  # a leaving target gets nothing later, by the platform's pages
CONFIG_MS = 2000  # a configuration is in force
CALM_MS = 3000  # so long after the last harm the bounds in time hold
TOUCH_MS = 250  # a request's way from its caller to a target
BOTH_HOLD_MS = 500  # two targets may hold a key so long, while a grant is on its way
RECOVERY_S = 15
KEYS = [0, 7, 9000, 20000, 33000, 50000, 65535]
ROUTES = [
    ["keyed", "t.example", "/keyed/", "idempotent", 1500, 500, 1, None, 2, "keyed"],
    ["read", "t.example", "/read/", "idempotent", 1500, 500, 1, None, 2, "plain"],
    ["order", "t.example", "/order/", "mutating", 1500, 500, 0, None, 2, "plain"],
]
CALLERS = 10
PLANNED = ("stop_router", "reload", "change", "drain_target")


def now_ms():
    return time.monotonic() * 1000


class Harm:
    """When anything was harmed, so that bounds in time are checked in calm alone."""

    def __init__(self):
        self.lock = threading.Lock()
        self.spans = []

    def begin(self, what):
        with self.lock:
            self.spans.append([what, now_ms(), None])
            return len(self.spans) - 1

    def end(self, span):
        with self.lock:
            self.spans[span][2] = now_ms()

    def calm(self, first, last, but=()):
        """Whether nothing was harmed from CALM_MS before FIRST until LAST."""
        with self.lock:
            return all(
                what in but or begun > last or (ended or 1e18) < first - CALM_MS
                for what, begun, ended in self.spans
            )


class TargetProcess:
    def __init__(self, soak, name, service):
        self.soak, self.name, self.service = soak, name, service
        self.log = os.path.join(soak.folder, name + ".jsonl")
        self.port = free_port()
        self.proxy = soak.proxies.open(self.port)
        self.told, self.lives = [], []
        self.start()

    def start(self):
        self.process = subprocess.Popen(
            [sys.executable, os.path.join(HERE, "target_process.py"), str(self.soak.store_port),
             self.name, self.service, "127.0.0.1:%d" % self.proxy.port, str(self.port), self.log],
            stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, text=True)
        self.lives.append([now_ms(), None])
        threading.Thread(target=self._listen, args=(self.process,), daemon=True).start()

    def _listen(self, process):
        for line in process.stdout:
            if line.startswith("told"):
                self.told.append(float(line.split()[1]))

    def stop(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.lives[-1][1] = now_ms()


class Soak:
    def __init__(self, args, seed):
        self.args, self.rng = args, random.Random(seed)
        self.folder = tempfile.mkdtemp(prefix="soak-%d-" % seed)
        self.harm, self.proxies = Harm(), Proxies()
        self.store = subprocess.Popen(
            [sys.executable, os.path.join(HERE, "store_process.py"), str(seed)],
            stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, text=True)
        self.store_port = int(self.store.stdout.readline())
        self.version = 0
        self.routes = list(ROUTES)
        self.added = []  # (path, ms of the acknowledgement)
        self.configure(ROUTES)
        self.targets = [
            TargetProcess(self, "%s%d" % (service[0], i), service)
            for service in ("keyed", "plain") for i in range(args.targets)
        ]
        self.entrances = [self.proxies.open(self.store_port) for _ in range(args.hosts)]
        self.routers = [
            Router(args.build, entrance.port, "h%d" % i)
            for i, entrance in enumerate(self.entrances)
        ]
        self.started = [now_ms()] * args.hosts
        self.ending = [None] * args.hosts  # SIGTERM came then
        self.results, self.breaches = [], []
        self.seen = collections.defaultdict(set)  # host and life: added paths that it served
        self.over = threading.Event()

    # The operator and the store.

    def control(self, **call):
        body = json.dumps(call).encode()
        url = "http://127.0.0.1:%d/soak" % self.store_port
        with urllib.request.urlopen(url, body, 5) as answer:
            return json.load(answer)["ver"]

    def configure(self, routes):
        self.version += self.rng.randint(1, 5)
        text = configuration(self.version, routes).decode()
        self.control(put=["op", "config", text])

    # Harms. Each returns how to end it.

    def kill_router(self):
        i = self.rng.randrange(len(self.routers))
        router = self.routers[i]
        router.stop()
        return lambda: self.restart(i)

    def restart(self, i):
        """Starts it again at the same address, with its old settings."""
        old = self.routers[i]
        if old.process.poll() is None:
            return  # another harm's end has started it already
        with open(old.log, "ab") as log:
            old.process = subprocess.Popen(
                [os.path.join(self.args.build, "chicorywood"), "route", "--settings",
                 old.settings], stdout=log, stderr=log)
        self.started[i], self.ending[i] = now_ms(), None

    def freeze_router(self):
        router = self.rng.choice(self.routers)
        router.signal(signal.SIGSTOP)
        return lambda: router.signal(signal.SIGCONT)

    def kill_all_routers(self):
        for router in self.routers:
            router.stop()
        return lambda: [self.restart(i) for i in range(len(self.routers))]

    def kill_target(self):
        target = self.rng.choice(self.targets)
        target.stop()
        return target.start

    def freeze_target(self):
        target = self.rng.choice(self.targets)
        target.process.send_signal(signal.SIGSTOP)
        return lambda: target.process.send_signal(signal.SIGCONT)

    def harm_links(self):
        proxy = self.rng.choice([t.proxy for t in self.targets] + self.entrances)
        mode = self.rng.choice(["delay", "silence", "cut_there", "cut_back"])
        self.proxies.do(proxy.set, mode)
        return lambda: self.proxies.do(proxy.set, "pass")

    def reset_links(self):
        for proxy in [t.proxy for t in self.targets] + self.entrances:
            if self.rng.random() < 0.5:
                self.proxies.do(proxy.reset)
        return lambda: None

    def harm_store(self):
        fault = self.rng.choice([
            {"away": True}, {"slow_ms": 200}, {"lose": 0.3}, {"lose": 0.3, "late_ms": 2000},
            {"compact": True},
        ])
        self.control(fault=fault)
        return lambda: self.control(fault={})

    # Planned work.

    def stop_router(self):
        i = self.rng.randrange(len(self.routers))
        self.ending[i] = now_ms()
        self.routers[i].signal(signal.SIGTERM)

        def finish():
            ended = self.ending[i] or 0
            try:
                code = self.routers[i].process.wait(7)
                if code not in (0, -signal.SIGKILL):  # another harm may have killed it
                    self.breach("END", "h%d ended with %s after SIGTERM" % (i, code))
            except subprocess.TimeoutExpired:
                if self.harm.calm(ended, now_ms(), PLANNED):
                    self.breach("END", "h%d still runs 7 s after SIGTERM" % i)
                self.routers[i].stop()
            self.restart(i)
        return finish

    def reload(self):
        self.rng.choice(self.routers).signal(signal.SIGHUP)
        return lambda: None

    def change(self):
        path = "/r%d/" % self.version
        self.routes.append(
            ["r%d" % self.version, "t.example", path, "idempotent", 1500, 500, 1, None, 2, "plain"])
        self.configure(self.routes)
        self.added.append((path, now_ms()))
        return lambda: None

    def drain_target(self):
        target = self.rng.choice(self.targets)
        target.process.send_signal(signal.SIGUSR1)

        def finish():
            target.stop()
            target.start()
        return finish

    # Callers.

    def breach(self, rule, what):
        self.breaches.append((rule, what))

    def call(self, rng, n, count, kept):
        i = rng.randrange(len(self.routers))
        ident = "c%d-%d" % (n, count)
        kind = rng.choice(["keyed", "keyed", "read", "order"])
        path = "/%s/work" % kind
        if rng.random() < 0.05 and self.added:
            kind, path = "added", rng.choice(self.added)[0] + "work"
        begun, life = now_ms(), self.started[i]
        status, body, reused = None, b"", i in kept
        try:
            caller = kept.pop(i, None) or Caller(self.routers[i])
            caller.send(path, ident, "POST" if kind == "order" else "GET",
                        b"order" if kind == "order" else None, key=rng.choice(KEYS))
            answer = caller.receive()
            if answer is not None:
                status, body = answer.status, answer.body
                if answer.headers.get("connection") != "close":
                    kept[i] = caller
        except (OSError, ValueError):
            pass
        ended = now_ms()
        if status == 200 and body != (ident + ":" + "x" * 200).encode():
            self.breach("MIXED", "%s got %r" % (ident, body[:40]))
        self.results.append((ident, kind, path, i, life, begun, ended, status, reused))

    def caller_loop(self, n, seed):
        rng, count, kept = random.Random(seed), 0, {}
        while not self.over.is_set():
            self.call(rng, n, count, kept)
            count += 1
            time.sleep(rng.uniform(0, 0.05))

    # The run.

    def play(self):
        harms = [self.kill_router, self.freeze_router, self.kill_target, self.freeze_target,
                 self.harm_links, self.reset_links, self.harm_store, self.kill_all_routers]
        plans = [self.stop_router, self.reload, self.change, self.drain_target]
        for router in self.routers:
            router.wait_ready()
        callers = [
            threading.Thread(target=self.caller_loop, args=(n, self.rng.random()), daemon=True)
            for n in range(CALLERS)
        ]
        for caller in callers:
            caller.start()
        until, running, busy = time.monotonic() + self.args.seconds, [], set()
        while time.monotonic() < until:
            time.sleep(self.rng.uniform(0.2, 2.0))
            act = self.rng.choice(harms if self.rng.random() < 0.5 else plans)
            # Each kind once at a time, so that what it ends is what it began.
            if act not in busy:
                busy.add(act)
                running.append(self.begin(act, busy))
        for thread in running:
            thread.join()
        healed = now_ms()
        time.sleep(RECOVERY_S)
        after = now_ms()
        time.sleep(3)
        self.over.set()
        for caller in callers:
            caller.join(20)
        self.check(healed, after)

    def begin(self, act, busy):
        lasts = self.rng.uniform(0.3, 5)
        span = self.harm.begin(act.__name__)
        if self.args.verbose:
            print("%.0f %s for %.1f s" % (now_ms(), act.__name__, lasts), flush=True)

        def run():
            finish = act()
            time.sleep(lasts)
            finish()
            self.harm.end(span)
            busy.discard(act)
        thread = threading.Thread(target=run, daemon=True)
        thread.start()
        return thread

    # Checks.

    def read_logs(self):
        lines = []
        for target in self.targets:
            with open(target.log, encoding="utf-8") as file:
                lines += [json.loads(line) for line in file if line.endswith("\n")]
        return sorted(lines, key=lambda line: line["ms"])

    def check(self, healed, after):
        lines = self.read_logs()
        runs = collections.defaultdict(list)
        for line in lines:
            if "id" in line:
                runs[line["id"]].append(line)
        self.check_requests(runs)
        self.check_fences(lines)
        self.check_holds(lines)
        self.check_drains(lines)
        self.check_configurations()
        late = [r for r in self.results if r[5] > after and r[1] != "added"]
        served = sum(r[7] == 200 for r in late)
        if not late or served < 0.9 * len(late):
            self.breach("RECOVER", "%d of %d served %d ms after the last harm"
                        % (served, len(late), after - healed))
        self.summary = "%d requests, %d served, %d runs" % (
            len(self.results), sum(r[7] == 200 for r in self.results),
            sum(len(r) for r in runs.values()))

    def check_requests(self, runs):
        for ident, kind, _path, i, _life, begun, ended, status, _reused in self.results:
            ran = len(runs[ident])
            if kind == "order" and ran > 1:
                self.breach("TWICE", "%s ran %d times" % (ident, ran))
            if kind == "order" and status in (429, 503, 408, 421) and ran:
                self.breach("REFUSED", "%s got %d and ran" % (ident, status))
            term = self.ending[i]
            if (status is None and ran and term and begun - 1000 <= term <= ended
                    and self.harm.calm(begun, ended, PLANNED)):
                self.breach("LOST", "%s at h%d was cut by SIGTERM" % (ident, i))

    def check_fences(self, lines):
        highest = {}
        for line in lines:
            if line.get("key", -1) < 0:
                continue
            fence, target = highest.get(line["key"], (0, ""))
            if line["fence"] < fence and line["target"] != target:
                self.breach("OWNER", "key %d ran at %s under fence %d after %d at %s" % (
                    line["key"], line["target"], line["fence"], fence, target))
            if line["fence"] >= fence:
                highest[line["key"]] = (line["fence"], line["target"])

    def check_holds(self, lines):
        """No key is held by two living targets at a time, but for BOTH_HOLD_MS."""
        ends = {t.name: [end for _begin, end in t.lives if end] for t in self.targets}
        for key in KEYS:
            holder, until = None, 0
            for line in lines:
                kind = "grant" if "grant" in line else "release" if "release" in line else None
                if kind is None or not line[kind][0] <= key <= line[kind][1]:
                    continue
                name, ms = line["target"], line["ms"]
                if kind == "release":
                    until = ms if name == holder else until
                    continue
                died = min((e for e in ends.get(holder, []) if e <= ms and e > ms - 12000),
                           default=None)
                if holder not in (None, name) and until - ms > BOTH_HOLD_MS and died is None:
                    self.breach("OWNER", "key %d given to %s %d ms before %s's hold ends" % (
                        key, name, until - ms, holder))
                holder, until = name, ms + line["grant"][3]

    def check_drains(self, lines):
        for target in self.targets:
            for told in target.told:
                ends = [e for _b, e in target.lives if e and e > told]
                for line in lines:
                    if (line["target"] == target.name and "id" in line
                            and told + DRAIN_MS + TOUCH_MS < line["ms"] < min(ends, default=1e18)
                            and self.harm.calm(told, line["ms"], ("drain_target", "change"))):
                        self.breach("DRAIN", "%s got %s %d ms after it said that it leaves" % (
                            target.name, line["id"], line["ms"] - told))

    def check_configurations(self):
        acknowledged = dict(self.added)
        for ident, kind, path, i, life, begun, ended, status, _reused in self.results:
            if kind != "added" or status is None:
                continue
            route = path[: -len("work")]
            if status != 404:
                self.seen[i, life].add(route)
            elif route in self.seen[i, life]:
                self.breach("CONFIG", "%s: h%d forgot %s" % (ident, i, route))
            elif (begun > acknowledged[route] + CONFIG_MS
                  and self.harm.calm(acknowledged[route], ended, ("change", "reload"))):
                self.breach("CONFIG", "%s: h%d lacks %s after %d ms" % (
                    ident, i, route, begun - acknowledged[route]))

    def finish(self):
        for router in self.routers:
            router.stop()
        for target in self.targets:
            target.stop()
        self.store.kill()
        self.store.wait()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, action="append", help="may be given more than once")
    parser.add_argument("--fresh", type=int, default=0, help="so many new seeds besides")
    parser.add_argument("--seconds", type=float, default=20, help="of harm, a seed")
    parser.add_argument("--hosts", type=int, default=4)
    parser.add_argument("--targets", type=int, default=3, help="of each of two services")
    parser.add_argument("--build", default=os.environ.get("BUILD", "build"))
    parser.add_argument("--verbose", action="store_true")
    args = parser.parse_args()
    seeds = (args.seed or []) + [random.randrange(10**6) for _ in range(args.fresh)]
    failed = 0
    for seed in seeds:
        soak = Soak(args, seed)
        try:
            soak.play()
        finally:
            soak.finish()
        print("seed %d: %s, %d breaches" % (seed, soak.summary, len(soak.breaches)), flush=True)
        for rule, what in soak.breaches[:10]:
            print("  %s: %s" % (rule, what))
        if soak.breaches:
            failed += 1
            print("  logs: %s and %s" % (soak.folder, [r.folder for r in soak.routers]))
    print("%d passed, %d failed" % (len(seeds) - failed, failed))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
