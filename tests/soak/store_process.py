"""The emulated store in its own process, with faults that the soak test injects.

Prints its port. In addition to the platform's requests it accepts POST /soak with a JSON
body: {"put": [table, key, text]}, {"delete": [table, key]} or {"fault": {...}}. The fields of
"fault" are "unavailable" (respond with 503), "slow_ms" (delay of each request), "lose_share"
(share of transactions that are applied without a response), "apply_delay_ms" (delay until
those are applied), "swallow_share" (share of all calls that are taken and never answered, their
connections stay open), "compact" (discard the change history), "copy" (keep a copy of the rows),
"restore" (return to that copy) and "pass_newest" (give out versions until they are beyond those
before the return).
"""

import os
import random
import sys
import threading
import time
from urllib.parse import parse_qs, urlsplit

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "process"))
from platform_fixture import JsonHandler, Store, listen  # noqa: E402

FAULTS = {
    "unavailable": False, "slow_ms": 0, "lose_share": 0.0, "apply_delay_ms": 0, "swallow_share": 0.0
}


class SoakStore(Store):
    def __init__(self, seed):
        super().__init__()
        self.fault = dict(FAULTS)
        self.kept, self.newest = None, 0
        self.rng = random.Random(seed)

    def compact(self):
        with self.changed:
            self.compacted = self.ver
            self.log.clear()
            self.changed.notify_all()

    def restore_kept(self):
        with self.changed:
            self.newest = max(self.newest, self.ver)
            self.restore(self.kept)

    def pass_newest(self):
        with self.changed:
            while self.ver <= self.newest:
                self.put("notes", "n", b"x")

    def control(self, command):
        if "put" in command:
            table, key, text = command["put"]
            return self.put(table, key, text.encode())
        if "delete" in command:
            return self.delete(*command["delete"])
        fault = command["fault"]
        if fault.get("compact"):
            self.compact()
        if fault.get("copy"):
            self.kept = self.copy()
        if fault.get("restore"):
            self.restore_kept()
        if fault.get("pass_newest"):
            self.pass_newest()
        self.fault = {**FAULTS, **fault}
        return None


def serve(store):
    class Handler(JsonHandler):
        def more_headers(self):
            return {"Store-Era": str(store.era)}

        def is_swallowed(self):
            share = store.fault["swallow_share"]
            if share == 0 or store.rng.random() >= share:
                return False
            self.close_connection = True
            self.rfile.read()  # blocks until the caller closes
            return True

        def is_unavailable(self):
            time.sleep(store.fault["slow_ms"] / 1000)
            if store.fault["unavailable"]:
                self.respond(503, {})
            return store.fault["unavailable"]

        def do_GET(self):
            url = urlsplit(self.path)
            query = parse_qs(url.query)
            if not self.is_swallowed() and not self.is_unavailable():
                read = store.get if url.path.endswith("rows-get") else store.feed
                self.respond(*read(query))

        def do_POST(self):
            request = self.read_json()
            if self.path == "/soak":
                self.respond(200, {"ver": store.control(request)})
            elif not self.is_swallowed() and not self.is_unavailable():
                self.transact(request)

        def transact(self, request):
            if store.rng.random() >= store.fault["lose_share"]:
                self.respond(*store.transact(request))
                return
            threading.Timer(store.fault["apply_delay_ms"] / 1000, store.transact, [request]).start()
            self.close_connection = True

    server = listen(Handler)
    print(server.server_address[1], flush=True)
    server.serve_forever()


if __name__ == "__main__":
    serve(SoakStore(int(sys.argv[1])))
