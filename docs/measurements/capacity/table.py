#!/usr/bin/env python3
"""Prints the tables of README.md from the files of scale runs beside it: median (least to most) of each point."""
import collections
import json
import pathlib
import statistics

HERE = pathlib.Path(__file__).parent

COLUMNS = [
    ("gateway kB/s", lambda f: f["gatewayBytesPerSecond"] / 1000, 1),
    ("gateway cores", lambda f: f["gatewayCpuCores"], 4),
    ("gateway MB", lambda f: f["gatewayMemoryMb"], 2),
    ("machine MB/s", lambda f: f["machineBytesPerSecond"] / 1e6, 3),
    ("machine cores", lambda f: f["machineCpuCores"], 3),
    ("machine MB", lambda f: f["machineMemoryMb"], 0),
    ("config last ms", lambda f: f["configLastMs"], 0),
    ("leader last ms", lambda f: f["leaderLastMs"], 0),
    ("return last ms", lambda f: f["returnLastMs"], 0),
    ("restart last ms", lambda f: f["restartLastMs"], 0),
    ("verdict last ms", lambda f: f["verdictLastMs"], 0),
    ("busy cores", lambda f: f["busyCores"], 1),
    ("over, lost, older, wrong", lambda f: f["limitOverMost"] + f["agreedLost"] + f["olderVersions"]
        + f["wrongVerdicts"], 0),
]


def cell(values, digits):
    """Median with the spread, or a dash where nothing was played or read."""
    known = [v for v in values if v is not None]
    if not known:
        return "-"
    middle = statistics.median(known)
    return f"{middle:.{digits}f} ({min(known):.{digits}f}-{max(known):.{digits}f})"


def read(figure, run):
    try:
        return figure(run)
    except TypeError:
        return None


def main():
    points = collections.defaultdict(list)
    for path in sorted(HERE.glob("star-*-s*.json")):
        points[path.name.rsplit("-s", 1)[0]].append(json.loads(path.read_text()))
    print("| point | runs | " + " | ".join(name for name, _, _ in COLUMNS) + " |")
    print("| --- " * (len(COLUMNS) + 2) + "|")
    for name, runs in sorted(points.items(), key=lambda p: (p[1][0]["gateways"], p[0])):
        cells = [cell([read(figure, r) for r in runs], digits) for _, figure, digits in COLUMNS]
        print(f"| {name} | {len(runs)} | " + " | ".join(cells) + " |")


if __name__ == "__main__":
    main()
