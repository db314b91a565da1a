"""A target's stand-in as a process of its own.

Arguments: the store's port, its name, its service, the address that it announces, its own
port and a file, to which it writes a JSON line for each request that it begins: the time
(ms, monotonic, the same clock in all processes), the request's id, its key and the fence
under which it holds that key. SIGUSR1 makes it announce that it leaves.
"""

import json
import os
import random
import signal
import sys
import threading
import time
import urllib.request

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "process"))
from platform_world import Target  # noqa: E402

HEARTBEAT_S = 0.5


class RemoteStore:
    def __init__(self, port):
        self.url = "http://127.0.0.1:%s/soak" % port

    def put(self, table, key, value):
        body = json.dumps({"put": [table, key, value.decode()]}).encode()
        with urllib.request.urlopen(self.url, body, 5) as answer:
            return json.load(answer)["ver"]


class SoakTarget(Target):
    def __init__(self, store, name, service, address, port, log):
        self.announced = address
        self.log = open(log, "a", encoding="utf-8")  # pylint: disable=consider-using-with
        self.writing = threading.Lock()
        self.seen = set()
        super().__init__(store, name, service, port)

    def announce(self, state):
        self.address = self.announced
        super().announce(state)

    def _write(self, **line):
        line["ms"] = time.monotonic() * 1000
        line["target"] = self.name
        self.log.write(json.dumps(line) + "\n")
        self.log.flush()

    def _order(self, path, body):
        call = json.loads(body)
        with self.writing:
            old = any(
                first <= call["to"] and call["from"] <= last and fence > call["fence"]
                for first, last, fence in self.seen
            )
            if path.endswith("grant"):
                if old:
                    return b"HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n"
                self.seen.add((call["from"], call["to"], call["fence"]))
                self._write(grant=[call["from"], call["to"], call["fence"], call["hold_ms"]])
            else:
                self._write(release=[call["from"], call["to"]])
            return super()._order(path, body)

    def fence_of(self, key):
        now = time.monotonic()
        fences = [f for first, last, f, until in self.held if first <= key <= last and now < until]
        return max(fences, default=0)

    def _act_work(self, sock, ident, body, headers):
        key = int(headers["shard-key"]) if self.service == "keyed" else -1
        with self.writing:
            fence = self.fence_of(key) if key >= 0 else 0
            if key >= 0 and fence == 0:
                sock.sendall(
                    self._head(ident, "421 Misdirected", Not_Executed=1, Instance_Id=self.name)
                    + b"Content-Length: 0\r\n\r\n"
                )
                return True
            self._write(id=ident, key=key, fence=fence)
        time.sleep(random.uniform(0.005, 0.03))
        sock.sendall(self._ok(ident, (ident + ":" + "x" * 200).encode()))
        return True


def main():
    port, name, service, address, own, log = sys.argv[1:]
    target = SoakTarget(RemoteStore(port), name, service, address, int(own), log)
    state = ["ready"]
    signal.signal(signal.SIGUSR1, lambda *args: state.__setitem__(0, "draining"))
    print("ready", flush=True)
    told = "ready"
    while True:
        time.sleep(HEARTBEAT_S)
        if told == state[0]:
            continue
        try:
            target.announce(state[0])
            told = state[0]
            print("told", time.monotonic() * 1000, flush=True)
        except OSError:
            pass  # the store is away: told at the next heartbeat


if __name__ == "__main__":
    main()
