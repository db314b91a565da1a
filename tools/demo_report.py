"""Prints the demo's table and checks the guarantees.  Exits 1 if one was violated."""

import collections
import json
import pathlib
import sys

COLUMNS = ("service", "sent", "whole", "not run", "unknown", "lost", "wrong",
           "runs/order", "worst ms", "unserved ms", "imbalance", "churn")


def runs_by_order(folder):
    runs = collections.Counter()
    for line in (folder / "journal").read_text().splitlines():
        order = line.split()[2]
        if order != "-":
            runs[order] += 1
    return runs


def check(folder):
    violations = []
    runs = runs_by_order(folder)
    acked = (folder / "acked").read_text().split()
    least_moves = int((folder / "least").read_text())
    moved = int((folder / "moved").read_text())
    rows = []
    for stream in json.loads((folder / "load.json").read_text()):
        name = stream["service"].strip("/")
        orders = stream["repeats"] > 0 or any(a for a in acked) and name in ("orders", "booking")
        keyed = stream["imbalance"] > 0 and not orders
        most = max(runs.values(), default=0) if orders else "-"
        churn = f"{moved}/{least_moves}" if keyed else "-"
        rows.append((name, stream["sent"], stream["whole"], stream["not_run"],
                     stream["unknown"], stream["lost"], stream["wrong"], most,
                     f"{stream['worst_ms']:.1f}", stream["unserved_ms"],
                     f"{stream['imbalance']:.2f}" if keyed else "-", churn))
        if stream["wrong"]:
            violations.append(f"{name}: {stream['wrong']} wrong answers")
        if stream["open"]:
            violations.append(f"{name}: {stream['open']} requests that never ended")
    repeated = [order for order, n in runs.items() if n > 1]
    lost = [order for order in acked if runs[order] == 0]
    if repeated:
        violations.append(f"orders executed more than once: {repeated[:5]}")
    if lost:
        violations.append(f"answered orders that were never executed: {lost[:5]}")
    return rows, violations


def main():
    violations = []
    print("  ".join(f"{c:>11}" for c in COLUMNS))
    for folder in map(pathlib.Path, sys.argv[1:]):
        rows, new_violations = check(folder)
        for row in rows:
            print("  ".join(f"{str(c):>11}" for c in row))
        violations += [f"{folder.name}: {violation}" for violation in new_violations]
    for violation in violations:
        print("VIOLATED GUARANTEE", violation)
    print("All guarantees held." if not violations else f"{len(violations)} guarantees violated.")
    return 1 if violations else 0


sys.exit(main())
