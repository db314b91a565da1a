"""An emulated target in its own process.

Arguments: the store's port, the target's name, its service, the address that it announces,
the port that it listens on, a log file, and how it leaves: "row" (its row says so), "header" (its
responses do) or "both". The log has a JSON line for each grant, release
and started request; a request's line has the time (ms of the monotonic clock, which all
processes share), the request's id, its key, the fence under which the target holds the
key, and the time that is left for it. A line with "told" is written after a response that states that the target leaves, to the
request of that id. On SIGUSR1 the target begins to leave; from SIGUSR2 until LIMIT_ENDS its
responses state a limit of LIMIT requests per second; from SIGRTMIN until DELAYS_END it leaves some
grants without an answer and applies them late. Signals that begin something and those that end it
differ, as Python handles several of one that were pending in a stopped process as one. On SIGALRM it rejects all requests for some
seconds and says so; on SIGHUP it writes its row again within ANNOUNCE_INTERVAL_S; a rejection's line has for how long it wants no requests, and each request's
arrival has a line too. From COLD_BEGINS until COLD_ENDS it is cold; it writes its row, and a line
says when the store has that.
"""

import email.utils
import json
import os
import random
import signal
import sys
import threading
import time
import urllib.request

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "process"))
from platform_fixture import Target  # noqa: E402

ANNOUNCE_INTERVAL_S = 0.5
LIMIT = 10
LATE_SHARE = 0.4
LATE_S = (2, 9)  # the longest grant lasts 10 s
AWAY_S = (0.5, 4)
COLD_MS = 60000
DELAYS_END = signal.SIGRTMIN + 2
COLD_BEGINS, COLD_ENDS = signal.SIGRTMIN + 1, signal.SIGRTMIN + 3
LIMIT_ENDS = signal.SIGRTMIN + 4


class RemoteStore:
    def __init__(self, port):
        self.url = "http://127.0.0.1:%s/soak" % port

    def put(self, table, key, value):
        body = json.dumps({"put": [table, key, value.decode()]}).encode()
        with urllib.request.urlopen(self.url, body, 5) as response:
            return json.load(response)["ver"]


class SoakTarget(Target):
    def __init__(self, store, name, service, address, port, log, zone):
        self.announced_address = address
        self.log = open(log, "a", encoding="utf-8")  # pylint: disable=consider-using-with
        self.lock = threading.Lock()
        self.accepted_grants = set()
        self.delays_grants = False
        self.away_until = 0
        super().__init__(store, name, service, port, zone=zone)

    def announce(self, state, cold_ms=0):
        self.address = self.announced_address
        super().announce(state, cold_ms)
        with self.lock:
            self._write(cold=cold_ms > 0)

    def _write(self, **line):
        line["ms"] = time.monotonic() * 1000
        line["target"] = self.name
        self.log.write(json.dumps(line) + "\n")
        self.log.flush()

    def _apply_grant_call(self, path, body):
        call = json.loads(body)
        if not path.endswith("grant"):
            with self.lock:
                self._write(release=[call["from"], call["to"]])
                return super()._apply_grant_call(path, body)
        arrived = time.monotonic()
        if self.delays_grants and random.random() < LATE_SHARE:
            threading.Timer(random.uniform(*LATE_S), self._grant, (call, arrived)).start()
            return b""
        accepted = self._grant(call, arrived)
        return b"HTTP/1.1 %s\r\nContent-Length: 0\r\n\r\n" % (
            b"200 OK" if accepted else b"409 Conflict")

    def _grant(self, call, arrived):
        """The hold counts from the arrival."""
        granted = (call["from"], call["to"], call["fence"])
        until = arrived + call["hold_ms"] / 1000
        with self.lock:
            if any(first <= call["to"] and call["from"] <= last and fence > call["fence"]
                   for first, last, fence in self.accepted_grants):
                return False
            left_ms = (until - time.monotonic()) * 1000
            if left_ms > 0:
                self.accepted_grants.add(granted)
                self.grants = [g for g in self.grants if g[:3] != granted or g[3] > until]
                self.grants.append((*granted, until))
                self._write(grant=[*granted, left_ms])
            return True

    def set_limit(self, limit):
        if limit == self.limit:
            return
        self.limit = limit
        with self.lock:
            self._write(limit=self.limit)

    def stay_away(self):
        self.away_until = time.monotonic() + random.uniform(*AWAY_S)

    def _note_arrival(self, request_id):
        with self.lock:
            self._write(arrival=request_id)

    def _choose_retry_after(self):
        """The time that is left, in one of the forms that the header allows, or an odd value."""
        left_s = self.away_until - time.monotonic()
        if left_s <= 0:
            return None
        seconds = int(left_s) + 1
        return random.choice([
            ["%d" % seconds], ["%.3f" % left_s], ["%.3f" % left_s],
            [email.utils.formatdate(int(time.time()) + seconds + 1, usegmt=True)],
            ["%d" % seconds, "%d" % (seconds + 1)], ["-1"], ["soon"], [""], ["1e3"],
        ])

    @staticmethod
    def _meaning_ms(values):
        """What a router has to make of them at least; 0: nothing."""
        meanings = [0]
        for value in values:
            if value.endswith("GMT"):
                at = email.utils.parsedate_to_datetime(value).timestamp()
                meanings.append((at - time.time()) * 1000)
            elif value.replace(".", "").isdigit():
                meanings.append(float(value) * 1000)
        return max(meanings)

    def _reject_for_a_time(self, sock, request_id, values):
        pause_ms = self._meaning_ms(values)
        super()._reject_for_a_time(sock, request_id, values)
        with self.lock:
            self._write(rejected=request_id, pause_ms=pause_ms)
        return True

    def fence_of(self, key):
        now = time.monotonic()
        fences = [
            fence
            for first, last, fence, until in self.grants
            if first <= key <= last and now < until
        ]
        return max(fences, default=0)

    def _handle_work(self, sock, request_id, body, headers):
        key = int(headers["shard-key"]) if self.service == "keyed" else -1
        with self.lock:
            fence = self.fence_of(key) if key >= 0 else 0
            if key >= 0 and fence == 0:
                sock.sendall(
                    self._head(request_id, "421 Misdirected", Not_Executed=1, Instance_Id=self.name)
                    + b"Content-Length: 0\r\n\r\n"
                )
                return True
            self._write(id=request_id, key=key, fence=fence,
                        deadline_ms=int(headers["deadline-ms"]))
        time.sleep(random.uniform(0.005, 0.03))
        leaving = self.leaving
        sock.sendall(self._ok_response(request_id, (request_id + ":" + "x" * 200).encode()))
        if leaving:
            with self.lock:
                self._write(told=request_id)
        return True


def main():
    store_port, name, service, address, own_port, log, leaves_by, zone = sys.argv[1:]
    target = SoakTarget(RemoteStore(store_port), name, service, address, int(own_port), log, zone)
    state = ["ready"]
    def leave(*_args):
        target.leaving = leaves_by != "row"
        if leaves_by != "header":
            state[0] = "draining"
    signal.signal(signal.SIGUSR1, leave)
    signal.signal(signal.SIGRTMIN, lambda *args: setattr(target, "delays_grants", True))
    signal.signal(DELAYS_END, lambda *args: setattr(target, "delays_grants", False))
    limit, lost, cold = [None], [False], [False]
    signal.signal(COLD_BEGINS, lambda *args: cold.__setitem__(0, True))
    signal.signal(COLD_ENDS, lambda *args: cold.__setitem__(0, False))
    signal.signal(signal.SIGUSR2, lambda *args: limit.__setitem__(0, LIMIT))
    signal.signal(LIMIT_ENDS, lambda *args: limit.__setitem__(0, None))
    signal.signal(signal.SIGHUP, lambda *args: lost.__setitem__(0, True))
    signal.signal(signal.SIGALRM, lambda *args: target.stay_away())
    print("ready", flush=True)
    announced, announced_cold = "ready", False
    while True:
        time.sleep(ANNOUNCE_INTERVAL_S)
        target.set_limit(limit[0])
        if announced == state[0] and announced_cold == cold[0] and not lost[0]:
            continue
        try:
            lost[0] = False
            now_cold = cold[0]
            target.announce(state[0], COLD_MS if now_cold else 0)
            announced_cold = now_cold
            if announced != state[0]:
                print("announced", time.monotonic() * 1000, flush=True)
            announced = state[0]
        except OSError:
            lost[0] = True
            pass  # the store is unavailable: retried in the next round


if __name__ == "__main__":
    main()
