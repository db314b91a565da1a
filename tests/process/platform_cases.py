"""Cases on router processes against an emulated platform, and how a test file runs them."""

import itertools
import os
import sys
import threading
import time

from platform_fixture import ROUTES, Caller, Router, Store, StoreAccess, Target, configuration


class Fixture:
    def __init__(self, build, routers=1, zones=None, keyed=True, **options):
        """ZONES are those of the targets; KEYED: whether a service has keys; OPTIONS are those of
        each Router."""
        self.store = Store()
        self.accesses = [StoreAccess(self.store) for i in range(routers)]
        self.port, self.keyed = self.accesses[0].port, keyed
        self.build = build
        self.store.put("op", "config", configuration(1, ROUTES, keyed=keyed))
        self.targets = {
            name: Target(self.store, name, service, zone=(zones or {}).get(name, "z1"))
            for name, service in
            [("k1", "keyed"), ("k2", "keyed"), ("p1", "plain"), ("p2", "plain")]
        }
        self.routers = [
            Router(build, access.port, "h%d" % i, **options)
            for i, access in enumerate(self.accesses)
        ]
        for router in self.routers:
            router.wait_ready()
        for router in self.routers:
            if keyed:
                router.wait_hosts(routers)
        self.count = 0

    def new_id(self):
        self.count += 1
        return "id-%d" % self.count

    def request(self, path, router=0, caller=None, **more):
        own_connection = caller is None
        caller = caller or Caller(self.routers[router])
        request_id = self.new_id()
        caller.send(path, request_id, **more)
        response = caller.receive()
        if own_connection:
            caller.close()
        return response, self.executions(request_id)

    def executions(self, request_id):
        return sum(target.executed.count(request_id) for target in self.targets.values())

    def stop(self):
        for router in self.routers:
            router.kill()


class Pipeline:
    """Sends requests on one connection, each before the one before it is answered, so that the
    connection is never idle, until the router closes it.  `work` is the last segment of their
    paths; `sent` has (time, id) of each; `answers` those that arrived, in order, with their
    times."""

    def __init__(self, fixture, prefix, methods, interval_s):
        self.prefix, self.methods = prefix, itertools.cycle(methods)
        self.interval_s, self.sent, self.answers, self.work = interval_s, [], [], "work"
        self.new_id = map((fixture.new_id() + "-%d").__mod__, itertools.count()).__next__
        self.caller = Caller(fixture.routers[0])
        self.threads = [threading.Thread(target=run) for run in (self._send, self._receive)]
        for thread in self.threads:
            thread.start()

    def _send(self):
        try:
            while True:
                method, request_id = next(self.methods), self.new_id()
                self.sent.append((time.monotonic(), request_id))
                self.caller.send(
                    self.prefix[method] + self.work, request_id, method=method,
                    body=b"x" if method == "POST" else None, deadline_ms=9000,
                )
                time.sleep(self.interval_s)
        except OSError:
            pass

    def _receive(self):
        while (response := self.caller.receive()) is not None:
            self.answers.append((time.monotonic(), response))
        self.caller.close()

    def join(self):
        for thread in self.threads:
            thread.join(10)


def check(condition, *what):
    if not condition:
        raise AssertionError(" ".join(str(w) for w in what))


def wait_until(condition, seconds=5):
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        if condition():
            return True
        time.sleep(0.02)
    return False


def run_cases(cases):
    """The names of cases to run are arguments, else all are; --except=CASE leaves one out.  The
    environment variable BUILD is the build directory."""
    build = os.environ.get("BUILD", "build")
    wanted = [name for name in sys.argv[1:] if not name.startswith("--except=")]
    skipped = [name[len("--except="):] for name in sys.argv[1:] if name not in wanted]
    failed = 0
    ran = 0
    for case in cases:
        if case.__name__ in skipped or (wanted and case.__name__ not in wanted):
            continue
        options = dict(getattr(case, "options", {}))
        if hasattr(case, "bounds"):
            options["bounds"] = case.bounds
        fixture = Fixture(
            build,
            routers=getattr(case, "routers", 2),
            zones=getattr(case, "zones", None),
            keyed=getattr(case, "keyed", True),
            **options,
        )
        ran += 1
        try:
            case(fixture)
            exit_codes = [router.process.poll() for router in fixture.routers]
            check(all(code in (None, 0) for code in exit_codes), "routers exited:", exit_codes)
            print("ok", case.__name__)
        except (AssertionError, AttributeError) as error:  # None has no attributes
            failed += 1
            time.sleep(1)  # the log is flushed twice a second
            print("FAILED", case.__name__, error)
            for router in fixture.routers:
                print(router.read_log()[-9000:])
        finally:
            fixture.stop()
    print("%d passed, %d failed" % (ran - failed, failed))
    return 1 if failed else 0
