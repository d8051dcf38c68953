"""Prints the table of runs in README.md beside this file, from the journal. From the root: python3 THIS_FILE."""
import glob
import json
import re

FIRST = "2026-12-02T02:24"  # the first run under the stricter terms

for name in sorted(glob.glob("journal/2026*.json")):
    run = json.load(open(name))
    if run["at"][0] < FIRST or not run.get("days") or run["cmd"] not in ("real-score", "real-run"):
        continue
    seed = re.search(r"--seed', '(\d+)", str(run["argv"]))
    days = {}
    for line in run["digest"].split("\n"):
        day = re.match(r"(\S+) +G .*score (-?[\d.]+)(.*)", line)
        if day:
            days[day.group(1).replace("+mass", "").replace("+brink", "")] = (float(day.group(2)), day.group(3))
    if not days:
        continue
    panel = "brink" if "brink" in (run["panel"] or "") else "later" if "later" in run["argv"] else (
        "quick" if "--quick" in run["argv"] else "full" if len(days) > 3 else "day")
    broken = sorted(d for d, (_, rest) in days.items() if "BROKEN" in rest)
    worst = min(days, key=lambda d: days[d][0])
    gate = run["figures"].get("gate")
    print("| {} | {} | {} | {} | {}{} | {:.3f} | {} | {} |".format(
        run["id"], run["site"], panel, seed.group(1) if seed else "-", run["head"][:7], "+" if run["dirty"] else "",
        run["figures"].get("real_score", 0), "passed" if gate == 1.0 else "failed" if gate == 0.0 else "-",
        "broken: " + ", ".join(broken) if broken else "least {} {:.2f}".format(worst, days[worst][0])))
