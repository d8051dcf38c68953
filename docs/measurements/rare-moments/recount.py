"""Says what a day lost to which cause, from the gateways' own logs at debug level.

    python3 docs/measurements/rare-moments/recount.py LOGS/DAY...

Each try of a client counts by itself, and its estimated work is taken as its real one, so the figures are near those of
the bench, not the same. A try that earned less than its worth is put down to what it spent most of its time on.
"""
import collections
import glob
import re
import sys

LINE = re.compile(r"(?P<at>[\d.]+) \S+ \w+ (?P<source>\w+): (?P<step>.*?) (?P<fields>\w+=.*)$")
FIELD = re.compile(r"(\w+)=(\S+)")
HELD = "held by the module"
CONNECTING = "waited for a connection"
BROKEN = "on attempts that came to nothing"
RUNNING = "ran on an engine"
# Ends in the names of today, then in those of the logs before the names changed.
NEVER_RAN = ("NotConnected", "NotStarted", "Rejected", "Expired", "NotSent", "Declined", "Lapsed")
COMPLETED = ("Completed", "Done")
LOG_CLASSES = ("RequestLog", "QueryLog")


class Try:
    """One try of a client at one gateway, and where its time went."""

    def __init__(self, at, fields):
        self.taken_at = self.since = at
        self.fields = fields
        self.worth = float(fields["worth"])
        self.spent = collections.Counter()
        self.stage = HELD
        self.ends = collections.Counter()
        self.last_end = None
        self.outcome = None
        self.earned = 0.0

    def enter(self, at, stage):
        """Begins another stage; the time since the last one is put down to the one that ends."""
        self.spent[self.stage] += at - self.since
        self.since, self.stage = at, stage

    def attempt_ended(self, at, end):
        if end not in NEVER_RAN + COMPLETED:
            self.stage = BROKEN
        self.ends[end] += 1
        self.last_end = end
        self.enter(at, HELD)

    def over(self, at, outcome, late=False):
        if self.outcome is None:
            self.enter(at, self.stage)
            self.outcome = outcome
            if outcome == "Served":
                self.earned = float(self.fields["late_worth"]) if late else self.worth

    def cause(self):
        """What it lost by, or None where it earned its worth."""
        if self.outcome == "Served" and self.earned == self.worth:
            return None
        if self.outcome == "Failed":
            return "failed after %s, %s" % (self.last_end, self.fields["effect"].lower())
        causes = {"Served": "late", "Rejected": "refused", "Refused": "refused", "left": "client left"}
        what = causes.get(self.outcome, "no end in the log")
        return "%s, most time %s" % (what, max(self.spent, key=self.spent.get) if self.spent else HELD)


def read(day):
    """All tries of a day, by gateway and trace, and how many POSTs went out on new connections."""
    tries, posts = {}, collections.Counter()
    for name in sorted(glob.glob(day + "/n*.log")):
        for text in open(name, errors="replace"):
            line = LINE.match(text)
            if not line:
                continue
            at, step, fields = float(line["at"]), line["step"], dict(FIELD.findall(line["fields"]))
            key = (name, fields.get("trace"))
            if step == "taken":
                tries[key] = Try(at, fields)
            elif key in tries:
                follow(tries[key], at, line["source"], step, fields, posts)
    return tries, posts


def follow(one, at, source, step, fields, posts):
    """Takes in one further line of a try."""
    if step == "sent":
        one.enter(at, CONNECTING)
    elif step == "written":
        posts[fields["new"]] += 1
        one.enter(at, RUNNING)
    elif step == "attempt ended":
        one.attempt_ended(at, fields["end"])
    elif step == "answered" and source in LOG_CLASSES:
        late = int(fields["ms"]) > int(one.fields["due_ms"])
        one.over(at, fields["answer"], late)
    elif step == "its client left":
        one.over(at, "left")


def tell(day):
    """Prints a day's table."""
    tries, posts = read(day)
    worth = sum(t.worth for t in tries.values())
    lost, count, ends = collections.Counter(), collections.Counter(), collections.Counter()
    by_class = collections.defaultdict(lambda: [0.0, 0.0])
    for one in tries.values():
        cause = one.cause()
        ends.update(one.ends)
        of_class = by_class[one.fields["route"]]
        of_class[0] += one.worth
        of_class[1] += one.worth - one.earned
        if cause:
            lost[cause] += one.worth - one.earned
            count[cause] += 1
    whole = sum(lost.values())
    print("%s: %d tries worth %.0f, lost %.0f (%.1f%%)" % (day, len(tries), worth, whole, 100 * whole / worth))
    for cause, much in lost.most_common():
        print("| %s | %d | %.0f | %.1f%% |" % (cause, count[cause], much, 100 * much / whole))
    print("classes: " + ", ".join("%s lost %.0f of %.0f" % (c, b, a) for c, (a, b) in sorted(by_class.items())))
    print("attempts: " + ", ".join("%s %d" % e for e in ends.most_common()))
    print("POSTs: %d on new connections, %d on used ones" % (posts["true"], posts["false"]))


for each in sys.argv[1:]:
    tell(each.rstrip("/"))
