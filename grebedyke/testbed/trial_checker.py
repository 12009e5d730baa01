"""The checker of a trial with real processes: it checks the records of clients and executors, and the logs.

It uses no code of the components that it checks.
"""

from collections import Counter, defaultdict
from typing import NamedTuple

from grebedyke.testbed.violations import Violation

# A machine in one of these states counts as out; a plan's `most` limits their number.
OUT_STATES = {"leaving", "free", "back"}
# The allowed next states of each state.
FOLLOWING_STATES = {
    "waiting": {"leaving", "skipped"},
    "leaving": {"free", "skipped"},
    "free": {"back", "failed"},
    "back": {"done", "failed"},
    "failed": {"back"},
}
# Longest time in seconds in which a request and a close can cross on a local connection.
CROSSING_TIME = 0.02
# Seconds after the client timeout in which an answer may still arrive, so that a fault of its node in that
# time can be why it is missing.
ANSWER_TOLERANCE = 1
# Minimum of successful requests: with limits a number, otherwise the taken requests divided by the divisor.
SUCCEEDED_DIVISOR = 4
MIN_SUCCEEDED_UNDER_LIMITS = 20


class MachineChange(NamedTuple):
    """Identifies a logged change of a machine's state.

    Attributes:
        revision: The rollout's revision that contains the change.
        machine: The machine's name.
    """

    revision: int
    machine: str


class TrialChecker:
    """Checks a trial.

    Attributes:
        violations: The `Violation`s found so far.
        event_counts: Number of occurrences of each event.
        disturbances: By node the periods (start, end) in which its process was paused or killed.
        graceful_shutdowns: By node the periods (start, end) of the graceful shutdowns of its processes.
    """

    def __init__(self):
        self.violations = []
        self.event_counts = Counter()
        self.disturbances = defaultdict(list)
        self.graceful_shutdowns = defaultdict(list)
        self._accepted_plan = None

    def report(self, clause, detail):
        """Records a violation of a clause."""
        self.violations.append(Violation(clause, detail))

    # Observations during the trial.

    def node_disturbed(self, name, start, end):
        """Records a period in which a node's process was paused or killed."""
        self.disturbances[name].append((start, end))

    def plan_answered(self, answer):
        """Checks the answer to the plan; an accepted plan must not get lost, whichever nodes fail later."""
        status, text = answer
        if status != 200:
            self.report("calls are answered", f"the plan: {status} {text}")
        else:
            self._accepted_plan = text.split()[1].rstrip(":")

    def second_plan_answered(self, answer):
        """Checks that a second plan was refused (409, the first is open) or accepted (200, it has ended)."""
        status, text = answer
        if status not in (200, 409):
            self.report("two operators", f"{status} {text}")

    # Answers to clients.

    def check_rules(self, ledger, node_records, is_limited=False):
        """Checks rules 1 to 3, and that enough requests succeeded.

        Rule 1 does not apply to requests that their node may have lost because it was killed or paused.

        Args:
            ledger: The `Ledger` of clients and executors.
            node_records: The `NodeRecord` of each node.
            is_limited: Whether the fleet had limits.
        """
        for violation in ledger.violations():
            entry = ledger.entries[violation.id]
            node = violation.id.partition("-")[0]
            if violation.rule == 1:
                if self._has_crossed_close(entry, node, node_records[node]):
                    self.event_counts["crossed a close"] += 1
                    continue
                if self._was_lost_by_fault(entry, node):
                    continue
            self._report_rule(violation, entry, node, node_records[node])
        counts = ledger.counts()
        self.event_counts["taken"] += counts["taken"]
        self.event_counts["succeeded"] += counts["succeeded"]
        # A fleet that sends no requests to executors would violate none of the rules.
        minimum = MIN_SUCCEEDED_UNDER_LIMITS if is_limited else counts["taken"] / SUCCEEDED_DIVISOR
        if counts["succeeded"] < minimum:
            self.report("work goes on", f"{dict(counts)}")

    def _has_crossed_close(self, entry, node, record):
        """Returns whether an unread request crossed the close of its connection in a graceful shutdown.

        No node has accepted such a request, so none has to answer it. Stalls do not count: a node that stands
        still can neither read nor close, and a client reads the close only after its stall.
        """
        if entry.answers or entry.ended_not_before is None or entry.id in record.requests:
            return False
        ended = entry.ended_not_before
        if ended - entry.sent - record.stalled_time(entry.sent, ended) >= CROSSING_TIME:
            return False
        return any(start <= entry.sent <= end for start, end in self.graceful_shutdowns[node])

    def _was_lost_by_fault(self, entry, node):
        sent = entry.sent or 0
        due = sent + entry.operation.timeout + ANSWER_TOLERANCE
        return any(start <= due and end >= sent for start, end in self.disturbances[node])

    def _report_rule(self, violation, entry, node, record):
        sent = entry.sent or 0
        ended = entry.ended and round(entry.ended - sent, 3)
        reading = "read" if entry.id in record.requests else "did not read"
        stalled = record.stalled_time(sent, entry.ended or sent)
        since = [round(sent - start, 3) for start, _ in self.graceful_shutdowns[node]]
        self.report(
            f"rule {violation.rule}",
            f"{violation.id}: {violation.description}; its client finished {ended} s after it was sent; "
            f"its node {reading} it and stood still for {stalled:.3f} s; "
            f"it was sent {since} s after the starts of its node's graceful shutdowns",
        )

    # Limits.

    def check_limits(self, ledger, limits, max_queue_time):
        """Checks the arrivals at the executors, up to the first limit that is exceeded.

        In any window W at most rate * (W + max_queue_time) + burst requests of a rate limit may arrive. Of a
        concurrency limit's requests no more than the limit may be in flight.

        Args:
            ledger: The `Ledger` of clients and executors.
            limits: The limits as rows of a configuration.
            max_queue_time: Longest time in seconds between a node's admission of a request and its arrival.
        """
        for limit in limits:
            arrivals = sorted(
                (min(time for time, _ in ledger.arrivals[request_id]), request_id)
                for request_id, entry in ledger.entries.items()
                if limit.get("operation") in (None, entry.operation.name) and ledger.arrivals[request_id]
            )
            self.event_counts[f"limit {limit['name']}"] += len(arrivals)
            if "rate" in limit:
                is_within_limit = self._check_rate(limit, arrivals, max_queue_time)
            else:
                is_within_limit = self._check_concurrency(limit, arrivals, ledger.effects)
            if not is_within_limit:
                return

    def _check_rate(self, limit, arrivals, max_queue_time):
        capacity = limit["burst"] + limit["rate"] * max_queue_time
        tokens = capacity
        previous = arrivals[0][0] if arrivals else 0
        for time, request_id in arrivals:
            tokens = min(tokens + limit["rate"] * (time - previous), capacity) - 1
            previous = time
            if tokens < 0:
                self.report("over the rate", f"{limit['name']} by {-tokens:.1f} at {request_id}")
                return False
        return True

    def _check_concurrency(self, limit, arrivals, runs):
        ran = [(time, request_id) for time, request_id in arrivals if runs[request_id]]
        starts = [(time, 1) for time, _ in ran]
        ends = [(max(time for time, _ in runs[request_id]), -1) for _, request_id in ran]
        in_flight = 0
        for time, change in sorted(starts + ends):
            in_flight += change
            if in_flight > limit["underWay"]:
                self.report("too many under way", f"{limit['name']}: {in_flight} at {time:.3f}")
                return False
        return True

    # Logs.

    def check_logs(self, events, most, voters=frozenset()):
        """Checks that the logs of all nodes agree on each revision, and that plans obeyed their limits.

        The states of each machine must follow in an allowed order, and at most `most` machines and one voter
        may be out at the same time.

        Args:
            events: (node, event) of all logs.
            most: How many machines may be out at the same time.
            voters: Names of the voters as machines.
        """
        changes, plans = self._merge_logs(events)
        if self._accepted_plan and self._accepted_plan not in [plan for plan, _ in plans.values()]:
            detail = f"plan {self._accepted_plan} was accepted but is in no log"
            self.report("told is kept", detail)
        states = {}
        for change, state in sorted(changes.items()):
            self._check_order(change, states.get(change.machine), state)
            states[change.machine] = state
            out = [name for name, known in states.items() if known in OUT_STATES]
            if len(out) > most:
                self.report("most out", f"{out} under {change.revision}")
            if len(voters.intersection(out)) > 1:
                self.report("one voter at a time", f"{out} under {change.revision}")
        self.event_counts["changes"] += len(changes)

    def _merge_logs(self, events):
        """Returns the state of each `MachineChange`, and the (plan, state) of each revision."""
        changes = {}
        plans = {}
        for node, event in events:
            revision = event.get("rev")
            if event["event"] == "machine":
                machine = event["machine"]
                # A node that missed some changes learns them together, each with its original revision.
                known = changes.setdefault(MachineChange(revision, machine), event["state"])
                if known != event["state"]:
                    seen = (machine, event["state"])
                    self.report("one value", f"{node} has {seen} under {revision}, others {known}")
            elif event["event"] == "plan":
                plan = (event["plan"], event["state"])
                known = plans.setdefault(revision, plan)
                if known != plan:
                    seen = f"{event['plan']} {event['state']}"
                    self.report("one value", f"{node} has {seen} under {revision}, others {known}")
        return changes, plans

    def _check_order(self, change, before, state):
        """Checks that `state` may follow `before`; each intermediate state has a revision of its own."""
        if before and state != "waiting" and state not in FOLLOWING_STATES.get(before, ()):
            self.report(
                "order of states", f"{change.machine}: {before}, then {state} under {change.revision}"
            )
