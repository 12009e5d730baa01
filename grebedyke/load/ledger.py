"""What went in, what came out and what took effect, and which rules that breaks. No I/O; times in seconds."""

from collections import Counter, defaultdict
from typing import NamedTuple

# Each limit of time is that much longer on sockets.
SLACK = 0.05
THROTTLED = 429, 503


class Broken(NamedTuple):
    rule: int
    id: str
    what: str


class Entry:
    """One invocation as its client saw it; `key`: the mark that its repeats share."""

    __slots__ = ("id", "operation", "key", "intended", "sent", "answers", "ended", "left", "refused")

    def __init__(self, id, operation, key, intended):
        self.id, self.operation, self.key, self.intended = id, operation, key, intended
        self.sent = self.ended = None
        self.answers = []  # (when, status, body)
        self.left = self.refused = False  # its client went away; no connection took it


class Ledger:
    """Entries by id; `runs` and `forwards` come from the executors, `drains` from discovery."""

    def __init__(self, grace=2.0):
        self.grace, self.entries = grace, {}
        self.runs, self.forwards, self.drains = defaultdict(list), defaultdict(list), {}

    def enter(self, id, operation, key, intended):
        entry = self.entries[id] = Entry(id, operation, key, intended)
        return entry

    def ran(self, executor, runs):
        """runs: (id, key, operation, at) of what took effect there."""
        for id, _, _, at in runs:
            self.runs[id].append((at, executor))

    def reached(self, executor, forwards):
        for id, at in forwards:
            self.forwards[id].append((at, executor))

    def drained(self, executor, at):
        """The last time at which any node was told that it drains or is gone."""
        self.drains[executor] = max(at, self.drains.get(executor, at))

    def counts(self):
        """By outcome, of invocations whose client stayed."""
        names = "taken", "succeeded", "throttled", "errored", "open", "lost", "left", "refused", "further"
        count = Counter(dict.fromkeys(names, 0))
        for entry in self.entries.values():
            count["further"] += max(len(self.forwards[entry.id]) - 1, 0)
            if entry.refused or entry.left:
                count["refused" if entry.refused else "left"] += 1
                continue
            count["taken"] += 1
            status = entry.answers[0][1] if entry.answers else 0
            count[
                "succeeded"
                if status == 200
                else "throttled"
                if status in THROTTLED
                else "errored"
                if status
                else "lost"
                if entry.ended
                else "open"
            ] += 1
        return count

    def judge(self):
        """All broken rules, by rule and id."""
        broken, effects = [], defaultdict(list)
        for entry in self.entries.values():
            broken += self.answered(entry)
            effects[entry.operation, entry.key].append(entry)
        for (operation, _), entries in effects.items():
            broken += self.doubled(operation, entries)
        for id, forwards in self.forwards.items():
            for at, executor in forwards:
                told = self.drains.get(executor)
                if told is not None and at > told + self.grace + SLACK:
                    broken.append(
                        Broken(
                            3,
                            id,
                            f"reached {executor} {at - told:.2f} s after the last node was "
                            "told that it drains or is gone",
                        )
                    )
        return sorted(broken)

    def answered(self, entry):
        if entry.refused or entry.left or entry.sent is None:
            return
        due = entry.sent + entry.operation.timeout + SLACK
        if not entry.answers:
            yield Broken(1, entry.id, "never answered")
            return
        at, status, body = entry.answers[0]
        if at > due:
            yield Broken(
                1,
                entry.id,
                f"answered {at - entry.sent:.3f} s after it was sent, "
                f"{entry.operation.timeout:g} s were its client's",
            )
        if len(entry.answers) > 1:
            yield Broken(1, entry.id, f"answered {len(entry.answers)} times")
        if status == 200 and not self.forwards[entry.id]:
            yield Broken(1, entry.id, "succeeded, though no executor was ever sent it")

    def doubled(self, operation, entries):
        """Effects of one mark: its own invocation's for unsafe ones, of all repeats for keyed ones."""
        if operation.effect == "safe":
            return
        for entry in entries:
            runs = sorted(self.runs[entry.id])
            throttled = entry.answers and entry.answers[0][1] in THROTTLED
            if operation.effect == "unsafe" and runs and throttled:
                yield Broken(2, entry.id, f"throttled, though it ran at {runs[0][1]}")
            if len(runs) > 1:
                places = ", ".join(f"{executor} at {at:.3f}" for at, executor in runs)
                yield Broken(2, entry.id, f"{operation.effect}, took effect {len(runs)} times: {places}")
