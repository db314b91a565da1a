"""Fits a line to the points of each slope by least squares.

Writes docs/measurements/capacity.json and prints the table of measurements/capacity.md."""

import collections
import json
import sys


def fit(points):
    n = len(points)
    mean_x = sum(x for x, _ in points) / n
    mean_y = sum(y for _, y in points) / n
    slope = (sum((x - mean_x) * (y - mean_y) for x, y in points)
             / sum((x - mean_x) ** 2 for x, _ in points))
    base = mean_y - slope * mean_x
    worst = max(abs(base + slope * x - y) for x, y in points)
    return {"base": base, "slope": slope, "worst_error": worst, "points": points}


def main():
    by_name = collections.defaultdict(list)
    for line in open(sys.argv[1]):
        name, x, y = line.split()
        by_name[name].append((float(x), float(y)))
    fits = {name: fit(points) for name, points in by_name.items()}
    with open("docs/measurements/capacity.json", "w") as out:
        json.dump(fits, out, indent=1, sort_keys=True)
        out.write("\n")
    print("# Slopes\n\n`tools/measure capacity`; least squares through the points, and the largest"
          " distance of a point from the line.\n")
    print("| slope | points (size: value) | at 0 | per unit | worst error |\n|---|---|---|---|---|")
    for name, f in sorted(fits.items()):
        shown = ", ".join(f"{x:g}: {y:g}" for x, y in f["points"])
        print(f"| {name} | {shown} | {f['base']:.4g} | {f['slope']:.4g} | {f['worst_error']:.3g} |")


main()
