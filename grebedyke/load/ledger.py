"""Records requests, answers and effects of a run, and checks them against the rules of docs/tools.md.

No I/O; all times are in seconds of the same clock.
"""

from collections import Counter, defaultdict
from enum import IntEnum
from typing import NamedTuple

TOLERANCE = 0.05
"""Seconds by which a time limit may be exceeded without a violation: delays of sockets and the event loop."""

DEFAULT_DRAIN_GRACE = 2.0
"""Seconds after a node is informed of a drain in which its attempts may still arrive."""

SUCCESS_STATUS = 200
THROTTLE_STATUSES = (429, 503)


class Rule(IntEnum):
    """The rules that are checked."""

    ONE_ANSWER_IN_TIME = 1
    NO_DOUBLE_EFFECT = 2
    NOTHING_AFTER_DRAIN = 3


class Violation(NamedTuple):
    """A violation of a rule by a request.

    Attributes:
        rule: The `Rule` that was violated.
        id: The request's id.
        description: A description of the violation.
    """

    rule: Rule
    id: str
    description: str


class Answer(NamedTuple):
    """A response that a client received, or bytes after it.

    Attributes:
        time: The time at which it was read.
        status: The status of the response; 0 for bytes that followed a response.
        body: The body of the response.
        not_before: If the client's process stalled before it read this, the start of the stall: the answer
            may have arrived at any time since. None without a stall.
    """

    time: float
    status: int
    body: bytes
    not_before: float | None = None

    @property
    def earliest_time(self):
        """The earliest time at which it may have arrived."""
        return self.time if self.not_before is None else self.not_before


class ExecutorEvent(NamedTuple):
    """The arrival of an attempt at an executor, or the effect of a job there.

    Attributes:
        time: The time of the event.
        executor: The executor's name.
    """

    time: float
    executor: str


class LedgerEntry:
    """A request as its client observed it.

    Attributes:
        id: The request's id.
        operation: The request's `Operation`.
        key: The key that the request shares with its retries.
        intended: The intended time of sending.
        sent: The actual time of sending, None if it was not sent.
        answers: All `Answer` entries; exactly one unless a rule is violated.
        ended: The time at which the client finished with the request, None before.
        ended_not_before: Without an answer, the earliest time at which the connection may have ended: the
            start of the stall if the client's process stalled before it read the end. None otherwise.
        client_left: Whether the client disconnected before the answer.
        refused: Whether the connection failed before the request was sent.
        failure: The reason why there is no answer, as text; empty otherwise.
    """

    __slots__ = (
        "id",
        "operation",
        "key",
        "intended",
        "sent",
        "answers",
        "ended",
        "ended_not_before",
        "client_left",
        "refused",
        "failure",
    )

    def __init__(self, id, operation, key, intended):
        self.id = id
        self.operation = operation
        self.key = key
        self.intended = intended
        self.sent = None
        self.answers = []
        self.ended = None
        self.ended_not_before = None
        self.client_left = False
        self.refused = False
        self.failure = ""

    @property
    def status(self):
        """The status of the answer, None if there is none."""
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
        """Returns the name of the count that includes the request."""
        if self.refused:
            return "refused"
        if self.client_left:
            return "left"
        if self.succeeded:
            return "succeeded"
        if self.throttled:
            return "throttled"
        if self.status:
            return "errored"
        return "lost" if self.ended else "open"


class Ledger:
    """The requests of a run, with the reports of executors and discovery about them.

    Attributes:
        drain_grace: Seconds after a node is informed of a drain in which its attempts may still arrive.
        entries: The `LedgerEntry` of each request, by the request's id.
        effects: By request id, an `ExecutorEvent` for each effect.
        arrivals: By request id, an `ExecutorEvent` for each attempt that arrived.
        removals: By executor, the last time at which a node was informed that it is draining or gone.
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
        """Adds the effects at an executor, as (id, key, operation, time)."""
        for id, _, _, time in effects:
            self.effects[id].append(ExecutorEvent(time, executor))

    def add_arrivals(self, executor, arrivals):
        """Adds the attempts that arrived at an executor, as (id, time)."""
        for id, time in arrivals:
            self.arrivals[id].append(ExecutorEvent(time, executor))

    def add_removal(self, executor, time):
        """Records the time at which a node was informed that an executor is draining or gone."""
        self.removals[executor] = max(time, self.removals.get(executor, time))

    def counts(self):
        """Returns the number of requests by result; `taken` excludes those that were refused or left."""
        names = "taken", "succeeded", "throttled", "errored", "open", "lost", "left", "refused", "further"
        counts = Counter(dict.fromkeys(names, 0))
        for entry in self.entries.values():
            counts["further"] += max(len(self.arrivals[entry.id]) - 1, 0)
            if not entry.refused and not entry.client_left:
                counts["taken"] += 1
            counts[entry.outcome()] += 1
        return counts

    def violations(self):
        """Returns all `Violation` entries, sorted by rule and request id."""
        violations = []
        entries_by_key = defaultdict(list)
        for entry in self.entries.values():
            violations += self._answer_violations(entry)
            entries_by_key[entry.operation, entry.key].append(entry)
        for (operation, _), entries in entries_by_key.items():
            violations += self._effect_violations(operation, entries)
        for id, arrivals in self.arrivals.items():
            violations += self._drain_violations(id, arrivals)
        return sorted(violations)

    def _answer_violations(self, entry):
        if entry.refused or entry.client_left or entry.sent is None:
            return
        rule = Rule.ONE_ANSWER_IN_TIME
        if not entry.answers:
            reason = f": {entry.failure}" if entry.failure else ""
            yield Violation(rule, entry.id, f"never answered{reason}")
            return
        timeout = entry.operation.timeout
        answer_time = entry.answers[0].earliest_time
        if answer_time > entry.sent + timeout + TOLERANCE:
            took = answer_time - entry.sent
            yield Violation(
                rule,
                entry.id,
                f"answered {took:.3f} s after it was sent; its client's timeout is {timeout:g} s",
            )
        if len(entry.answers) > 1:
            yield Violation(rule, entry.id, f"answered {len(entry.answers)} times")
        if entry.succeeded and not self.arrivals[entry.id]:
            yield Violation(rule, entry.id, "succeeded, although no attempt reached an executor")

    def _effect_violations(self, operation, entries):
        """Checks each of the requests that share a key for double effects."""
        if operation.idempotency == "safe":
            return
        for entry in entries:
            effects = sorted(self.effects[entry.id])
            if operation.idempotency == "unsafe" and effects and entry.throttled:
                yield Violation(
                    Rule.NO_DOUBLE_EFFECT, entry.id, f"throttled, although it ran at {effects[0].executor}"
                )
            if len(effects) > 1:
                places = ", ".join(f"{effect.executor} at {effect.time:.3f}" for effect in effects)
                yield Violation(
                    Rule.NO_DOUBLE_EFFECT,
                    entry.id,
                    f"{operation.idempotency}, took effect {len(effects)} times: {places}",
                )

    def _drain_violations(self, id, arrivals):
        for time, executor in arrivals:
            removal = self.removals.get(executor)
            if removal is not None and time > removal + self.drain_grace + TOLERANCE:
                yield Violation(
                    Rule.NOTHING_AFTER_DRAIN,
                    id,
                    f"reached {executor} {time - removal:.2f} s after the last node was "
                    "informed that it is draining or gone",
                )
