"""The store's stand-in as a process of its own, with faults that the soak sets.

Prints its port. Beside the platform's calls it takes POST /soak with a JSON body:
{"put": [table, key, text]}, {"drop": [table, key]} or {"fault": {...}}, whose fields are
"away" (503), "slow_ms", "lose" (share of transactions that are done and not answered),
"late_ms" (those are done so much later) and "compact" (the history is forgotten).
"""

import os
import random
import sys
import threading
import time
from urllib.parse import parse_qs, urlsplit

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "process"))
from platform_world import JsonHandler, Store, listen  # noqa: E402

FAULTS = {"away": False, "slow_ms": 0, "lose": 0.0, "late_ms": 0}


class SoakStore(Store):
    def __init__(self, seed):
        super().__init__()
        self.fault = dict(FAULTS)
        self.forgotten = 0
        self.rng = random.Random(seed)

    def compact(self):
        with self.changed:
            self.forgotten = self.ver
            self.log.clear()
            self.changed.notify_all()

    def feed(self, query):
        if int(query["after"][0]) < self.forgotten:
            return 410, self._reply(rows=[])
        return super().feed(query)

    def control(self, call):
        if "put" in call:
            table, key, text = call["put"]
            return self.put(table, key, text.encode())
        if "drop" in call:
            return self.drop(*call["drop"])
        fault = call["fault"]
        if fault.get("compact"):
            self.compact()
        self.fault = {**FAULTS, **fault}
        return None


def serve(store):
    class Handler(JsonHandler):
        def refused(self):
            time.sleep(store.fault["slow_ms"] / 1000)
            if store.fault["away"]:
                self.answer(503, {})
            return store.fault["away"]

        def do_GET(self):
            url = urlsplit(self.path)
            query = parse_qs(url.query)
            if not self.refused():
                call = store.get if url.path.endswith("rows-get") else store.feed
                self.answer(*call(query))

        def do_POST(self):
            call = self.call()
            if self.path == "/soak":
                self.answer(200, {"ver": store.control(call)})
            elif not self.refused():
                self.transact(call)

        def transact(self, call):
            if store.rng.random() >= store.fault["lose"]:
                self.answer(*store.tx(call))
                return
            threading.Timer(store.fault["late_ms"] / 1000, store.tx, [call]).start()
            self.close_connection = True

    server = listen(Handler)
    print(server.server_address[1], flush=True)
    server.serve_forever()


if __name__ == "__main__":
    serve(SoakStore(int(sys.argv[1])))
