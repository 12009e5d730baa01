"""The checker of a scale run: it asks all processes what they have seen and holds it against the promises.

It uses `rollout_specification.py`, `limit_checker.py`, and counts that hold on a machine of any speed: one
answer to a request at most, requests no more often than leases say, nothing that only grows.
"""

import asyncio
import time
from collections import Counter

from grebedyke.rate_limits.definitions import LimitKind
from grebedyke.testbed.demand_generator import ADMISSION_SPAN, STARTED
from grebedyke.testbed.limit_checker import FleetLimits, LimitChecker
from grebedyke.testbed.rollout_specification import ROLLOUT_KEY, ExecutorStates, RolloutSpecification
from grebedyke.testbed.violations import TimedViolation
from grebedyke.units import TICKS_PER_SECOND

# How often all processes are asked, and how often progress is shown, in seconds.
LOOK_INTERVAL = 0.5
PROGRESS_INTERVAL = 5
# Kinds of messages: requests, and what answers them.
ANSWER_KINDS = {
    ("m",): ("M",),
    ("s",): ("S",),
    ("t",): ("T",),
    ("w",): ("W",),
    ("r",): ("R",),
    ("p", "a"): ("P", "A", "n"),
}
VIEW_LEASE_REQUEST = "m"
SHARE_REQUEST = "s"
# Requests of each kind in a lease at most: of the view's lease to each voter, and of shares.
VIEW_LEASE_REQUESTS_PER_LEASE = 4
SHARE_REQUESTS_PER_LEASE = 11
# Requests that may come beside these: at the ends of a window.
EXTRA_REQUESTS = 4
# Entries that a container may have more at the end of a calm window than at its beginning.
GROWTH_TOLERANCE = 20
# Requests that a process which is killed may have sent since it was last asked.
UNSEEN_REQUESTS = 200
MOST_VIOLATIONS_PER_CLAUSE = 5
# Windows without faults, and the one from a fault's end on.
CALM_WINDOWS = ("calm", "before")
SETTLING_WINDOW = "until all agree"


class InvariantChecker:
    """Checks a scale run.

    Attributes:
        violations: A `TimedViolation` for each broken promise, its time in seconds since the run's start.
        values: By (key, ballot) the values that were agreed on.
        admitted: Number of admitted requests by tenant.
        sent: Number of messages sent by kind.
        admissions: Requests started and ended, by (span, `STARTED` or `ENDED`, tenant).
        state: One line on how many nodes are up and agree.
    """

    def __init__(self, layout, limits, command_all, show_progress):
        """Begins with nothing seen.

        Args:
            layout: The `FleetLayout`.
            limits: The `TenantLimit` of each tenant.
            command_all: Coroutine function that has a command carried out in all processes.
            show_progress: Called with lines of progress.
        """
        self.violations = []
        self.values = {}
        self.admitted = Counter()
        self.sent = {}
        self.admissions = Counter()
        self.state = ""
        self._layout = layout
        self._limits = limits
        self._command_all = command_all
        self._show_progress = show_progress
        self._started_at = time.monotonic()
        self._progress_at = 0.0
        self._specification = RolloutSpecification(layout.settings.executors, layout.voters)
        self._newest_rollout = None
        self._accepted_plans = {}
        self._sent_by_killed = Counter()
        self._killed_count = 0

    def report(self, clause, detail):
        """Notes a broken promise, unless the same one was broken too often to be of interest."""
        known = sum(violation.clause == clause for violation in self.violations)
        if known < MOST_VIOLATIONS_PER_CLAUSE:
            seconds = round(time.monotonic() - self._started_at, 1)
            self.violations.append(TimedViolation(seconds, clause, detail))

    def has_open_plan(self):
        """Returns whether a plan is open in the newest rollout that was seen."""
        return bool(self._newest_rollout and self._newest_rollout["plan"])

    def plan_answered(self, status, text):
        """Notes the answer to an operator's plan: one that was accepted has to be known from then on."""
        if status != 200:
            self.report("calls are answered", f"the plan: {status} {text}")
            return
        # Its rollout is seen a moment later: from the first one that has it on none may lack it.
        self._accepted_plans[text.split()[1].rstrip(":")] = text

    # What is seen.

    async def watch(self, seconds):
        """Asks all processes again and again for some seconds."""
        end = time.monotonic() + seconds
        while (left := end - time.monotonic()) > 0:
            await asyncio.sleep(min(left, LOOK_INTERVAL))
            await self.look()

    async def look(self):
        """Asks all processes; returns whether all nodes are up, have all permissions and know the same."""
        node_count = self._layout.settings.nodes
        known = Counter()
        ready = 0
        alive = 0
        values = []
        for answer in await self._command_all("report"):
            known.update(answer["known"])
            ready += answer["ready"]
            alive += answer["alive"]
            values += answer["values"]
            for detail in answer["contradictions"]:
                self.report("one value", detail)
            for tenant, span, change, count in answer["admissions"]:
                self.admissions[span, change, tenant] += count
        for node, key, ballot, value in sorted(values, key=lambda row: (row[1], row[2])):
            self.value_learned(node, key, tuple(ballot), value)
        self.state = f"{alive} of {node_count} up, {ready} ready, {len(known)} stories"
        self._report_progress()
        return alive == ready == node_count and len(known) == 1

    def _report_progress(self):
        now = time.monotonic()
        if now > self._progress_at + PROGRESS_INTERVAL:
            self._progress_at = now
            seconds = now - self._started_at
            self._show_progress(f"{seconds:.0f} s: {self.state}, {len(self.values)} values agreed on")

    def value_learned(self, node, key, ballot, value):
        """Checks a value that a node has learnt as agreed on under a ballot."""
        known = self.values.setdefault((key, ballot), value)
        if known != value:
            self.report("one value", f"node {node} has another {key} under {ballot} than others")
        if key != ROLLOUT_KEY:
            return
        if value:
            self._rollout_learned(value)
        # Executors of a scene stay up, so none is lost or warming up.
        self._specification.value_learned(time.monotonic(), node, key, value, ExecutorStates())
        for violation in self._specification.violations:
            self.report(violation.clause, violation.detail)
        self._specification.violations.clear()

    def _rollout_learned(self, rollout):
        if self._newest_rollout is None or rollout["rev"] > self._newest_rollout["rev"]:
            self._newest_rollout = rollout
        plans = {former[0] for former in rollout["past"]}
        if rollout["plan"]:
            plans.add(rollout["plan"]["id"])
        for plan_id in plans & {*self._accepted_plans}:
            text = self._accepted_plans.pop(plan_id)
            self._specification.accepted_plans[plan_id] = (text, rollout["rev"])

    async def before_kill(self, children):
        """Keeps what real nodes have counted that are about to be killed."""
        for child in children:
            answer = await child.command("mark")
            for counters in answer["nodes"].values():
                self._sent_by_killed.update(counters["kinds"])
            self._killed_count += 1

    # What is checked at the end.

    async def finish(self, windows):
        """Checks what follows from the whole run; `windows` are its `Window`s by name."""
        await self.look()
        for plan_id in self._accepted_plans:
            self.report("told is kept", f"plan {plan_id} was told as taken and is in no board")
        await self._check_answers()
        self._check_request_rates(windows)
        self._check_growth(windows)
        self.check_limits()

    def check_limits(self):
        """No limit is exceeded, by all that was admitted at all nodes; spans make it less sharp by one."""
        checkers = {tenant: self._limit_checker(limit) for tenant, limit in self._limits.items()}
        for (span, change, tenant), count in sorted(self.admissions.items()):
            checker = checkers[tenant]
            time_of_span = span * ADMISSION_SPAN
            if change == STARTED:
                self.admitted[tenant] += count
            if self._limits[tenant].kind is LimitKind.RATE:
                checker.request_admitted(time_of_span, "?", count)
            elif change == STARTED:
                checker.request_began(time_of_span, "?", count)
            else:
                # Ends come first of a span's: what is seen is the least that was in flight.
                checker.request_ended(time_of_span, count)
        for tenant, checker in checkers.items():
            for violation in checker.violations:
                self.report(violation.clause, f"{tenant}: {violation.detail}")

    def _limit_checker(self, limit):
        if limit.kind is LimitKind.RATE:
            burst = limit.burst + limit.size * ADMISSION_SPAN / TICKS_PER_SECOND
            return LimitChecker(FleetLimits(limit.size, burst, limit.size))
        return LimitChecker(FleetLimits(1, 1, limit.size))

    async def _check_answers(self):
        """No more answers than requests were sent. Answers are read first: each had its request before."""
        answers = await self._sent_kinds()
        requests = await self._sent_kinds(check_early_requests=True)
        answer_kinds = [kind for kinds in ANSWER_KINDS.values() for kind in kinds]
        self.sent = dict(requests) | {kind: answers[kind] for kind in answer_kinds}
        for request_kinds, kinds in ANSWER_KINDS.items():
            request_count = sum(requests[kind] for kind in request_kinds)
            answer_count = sum(answers[kind] for kind in kinds)
            if answer_count > request_count + UNSEEN_REQUESTS * self._killed_count:
                detail = f"{answer_count} answers {'/'.join(kinds)} to {request_count} asks"
                self.report("an answer for an ask", detail)

    async def _sent_kinds(self, check_early_requests=False):
        sent = Counter(self._sent_by_killed)
        for answer in await self._command_all("mark"):
            for node, counters in answer["nodes"].items():
                sent.update(counters["kinds"])
                early = counters["early_requests"]
                if check_early_requests and early:
                    detail = f"node {node}: {early} asks for shares out of turn"
                    self.report("asks no more often", detail)
        return sent

    def _check_request_rates(self, windows):
        """By a node's own clock each request comes so long after the one before, or for another value."""
        for name, window in windows.items():
            # In the settling window other processes begin.
            if name != SETTLING_WINDOW:
                for usage in window.nodes:
                    self._check_request_rate(name, usage)

    def _check_request_rate(self, window_name, usage):
        leases = usage.seconds / self._layout.settings.lease
        for_values = len(self.values) + EXTRA_REQUESTS
        voters = len(self._layout.voters)
        most = {
            VIEW_LEASE_REQUEST: (leases * VIEW_LEASE_REQUESTS_PER_LEASE + for_values) * voters,
            SHARE_REQUEST: leases * SHARE_REQUESTS_PER_LEASE + for_values,
        }
        for kind, limit in most.items():
            sent = usage.kinds.get(kind, 0)
            if sent > limit:
                detail = f"node {usage.node}, {window_name}: {sent} asks {kind}, {limit:.0f} at most"
                self.report("asks no more often", detail)

    def _check_growth(self, windows):
        """In a calm window in which nothing was agreed on no container grows.

        With another lease holder its tables begin anew, which is why such windows are left out.
        """
        for name, window in windows.items():
            if name not in CALM_WINDOWS or window.values:
                continue
            for path, entries in window.grown.items():
                if entries > GROWTH_TOLERANCE:
                    detail = f"{path} has {entries:.0f} entries more after {window.seconds:.0f} s of calm"
                    self.report("what is kept is dropped", detail)
