"""What was handed in, what came back and what took effect, and which rules that breaks.

No I/O; times are in seconds of one clock. The rules are those of docs/tools.md.
"""

from collections import Counter, defaultdict
from enum import IntEnum
from typing import NamedTuple

TOLERANCE = 0.05
"""Seconds by which each limit of time is exceeded without a violation: what sockets and the loop may take."""

DEFAULT_DRAIN_GRACE = 2.0
"""Seconds after a node has learnt of a drain in which its attempts may still arrive."""

SUCCESS_STATUS = 200
THROTTLE_STATUSES = (429, 503)


class Rule(IntEnum):
    """The rules that are judged."""

    ONE_ANSWER_IN_TIME = 1
    NO_DOUBLE_EFFECT = 2
    NOTHING_AFTER_DRAIN = 3


class Violation(NamedTuple):
    """A rule was broken.

    Attributes:
        rule: Which one.
        id: The request's.
        description: What happened.
    """

    rule: Rule
    id: str
    description: str


class Answer(NamedTuple):
    """Something that a client got.

    Attributes:
        time: When it was read.
        status: The response's status, 0 for bytes that followed a response.
        body: The response's body.
        not_before: When the client's process was last awake before it read this, where it stood still in
            between: the answer may have come at any time since. None where it did not.
    """

    time: float
    status: int
    body: bytes
    not_before: float | None = None

    @property
    def earliest_time(self):
        """When it may have come at the earliest."""
        return self.time if self.not_before is None else self.not_before


class Visit(NamedTuple):
    """Something that happened to a request at an executor.

    Attributes:
        time: When.
        executor: The executor's name.
    """

    time: float
    executor: str


class LedgerEntry:
    """One request as its client saw it.

    Attributes:
        id: The request's.
        operation: Its `Operation`.
        key: What it shares with its repeats.
        intended: When it was to be handed in.
        sent: When it was sent, None if it was not.
        answers: Each `Answer`; one, if all is well.
        ended: When the client was done with it, None before.
        left: Whether the client went away before the answer.
        refused: Whether no connection took it.
        ending: How it ended at the client where there was no answer, in words.
    """

    __slots__ = (
        "id",
        "operation",
        "key",
        "intended",
        "sent",
        "answers",
        "ended",
        "left",
        "refused",
        "ending",
    )

    def __init__(self, id, operation, key, intended):
        self.id = id
        self.operation = operation
        self.key = key
        self.intended = intended
        self.sent = None
        self.answers = []
        self.ended = None
        self.left = False
        self.refused = False
        self.ending = ""

    @property
    def status(self):
        """The status of the answer, None where there is none."""
        return self.answers[0].status if self.answers else None

    @property
    def succeeded(self):
        """Whether the answer is a success."""
        return self.status == SUCCESS_STATUS

    @property
    def throttled(self):
        """Whether the answer is a throttle."""
        return self.status in THROTTLE_STATUSES

    def outcome(self):
        """Returns the name under which the request is counted."""
        if self.refused:
            return "refused"
        if self.left:
            return "left"
        if self.succeeded:
            return "succeeded"
        if self.throttled:
            return "throttled"
        if self.status:
            return "errored"
        return "lost" if self.ended else "open"


class Ledger:
    """The requests of a run, and what executors and discovery say of it.

    Attributes:
        drain_grace: Seconds after a node has learnt of a drain in which its attempts may still arrive.
        entries: Each `LedgerEntry` by the request's id.
        effects: By request, each `Visit` at which it took effect.
        arrivals: By request, each `Visit` at which an attempt arrived.
        removals: By executor, the last time at which any node learnt that it drains or is gone.
    """

    def __init__(self, drain_grace=DEFAULT_DRAIN_GRACE):
        self.drain_grace = drain_grace
        self.entries = {}
        self.effects = defaultdict(list)
        self.arrivals = defaultdict(list)
        self.removals = {}

    def add_request(self, id, operation, key, intended):
        """Adds a request and returns its `LedgerEntry`."""
        entry = LedgerEntry(id, operation, key, intended)
        self.entries[id] = entry
        return entry

    def add_effects(self, executor, effects):
        """Adds what took effect at an executor, as (id, key, operation, time)."""
        for id, _, _, time in effects:
            self.effects[id].append(Visit(time, executor))

    def add_arrivals(self, executor, arrivals):
        """Adds the attempts that arrived at an executor, as (id, time)."""
        for id, time in arrivals:
            self.arrivals[id].append(Visit(time, executor))

    def add_removal(self, executor, time):
        """Adds that a node learnt then that an executor drains or is gone."""
        self.removals[executor] = max(time, self.removals.get(executor, time))

    def counts(self):
        """Returns how many requests came to what; `taken` are those whose client stayed."""
        names = "taken", "succeeded", "throttled", "errored", "open", "lost", "left", "refused", "further"
        counts = Counter(dict.fromkeys(names, 0))
        for entry in self.entries.values():
            counts["further"] += max(len(self.arrivals[entry.id]) - 1, 0)
            if not entry.refused and not entry.left:
                counts["taken"] += 1
            counts[entry.outcome()] += 1
        return counts

    def violations(self):
        """Returns each `Violation`, by rule and id."""
        violations = []
        entries_by_key = defaultdict(list)
        for entry in self.entries.values():
            violations += self._answer_violations(entry)
            entries_by_key[entry.operation, entry.key].append(entry)
        for (operation, _), entries in entries_by_key.items():
            violations += self._effect_violations(operation, entries)
        for id, visits in self.arrivals.items():
            violations += self._drain_violations(id, visits)
        return sorted(violations)

    def _answer_violations(self, entry):
        if entry.refused or entry.left or entry.sent is None:
            return
        rule = Rule.ONE_ANSWER_IN_TIME
        if not entry.answers:
            ending = f": {entry.ending}" if entry.ending else ""
            yield Violation(rule, entry.id, f"never answered{ending}")
            return
        timeout = entry.operation.timeout
        answer_time = entry.answers[0].earliest_time
        if answer_time > entry.sent + timeout + TOLERANCE:
            took = answer_time - entry.sent
            yield Violation(
                rule, entry.id, f"answered {took:.3f} s after it was sent, {timeout:g} s were its client's"
            )
        if len(entry.answers) > 1:
            yield Violation(rule, entry.id, f"answered {len(entry.answers)} times")
        if entry.succeeded and not self.arrivals[entry.id]:
            yield Violation(rule, entry.id, "succeeded, though no executor was ever sent it")

    def _effect_violations(self, operation, entries):
        """Judges the requests that share a key."""
        if operation.effect == "safe":
            return
        for entry in entries:
            effects = sorted(self.effects[entry.id])
            if operation.effect == "unsafe" and effects and entry.throttled:
                yield Violation(
                    Rule.NO_DOUBLE_EFFECT, entry.id, f"throttled, though it ran at {effects[0].executor}"
                )
            if len(effects) > 1:
                places = ", ".join(f"{visit.executor} at {visit.time:.3f}" for visit in effects)
                yield Violation(
                    Rule.NO_DOUBLE_EFFECT,
                    entry.id,
                    f"{operation.effect}, took effect {len(effects)} times: {places}",
                )

    def _drain_violations(self, id, visits):
        for time, executor in visits:
            removal = self.removals.get(executor)
            if removal is not None and time > removal + self.drain_grace + TOLERANCE:
                yield Violation(
                    Rule.NOTHING_AFTER_DRAIN,
                    id,
                    f"reached {executor} {time - removal:.2f} s after the last node was "
                    "told that it drains or is gone",
                )
