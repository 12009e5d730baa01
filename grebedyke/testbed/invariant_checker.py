"""The checker of a scale run: it polls all processes for reports and checks them against the guarantees.

It uses `rollout_specification.py`, `limit_checker.py`, and counts that do not depend on the machine's speed:
at most one answer to each request, no more requests than the lease times allow, and no container that only
grows.
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

# Intervals at which all processes are polled, and at which progress is shown, in seconds.
POLL_INTERVAL = 0.5
PROGRESS_INTERVAL = 5
# Message kinds of requests, and those of the answers to them.
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
# Maximum numbers of requests per lease time: for the view lease, to each voter; for shares, in total.
MAX_VIEW_LEASE_REQUESTS_PER_LEASE = 4
MAX_SHARE_REQUESTS_PER_LEASE = 11
# Additional requests allowed at the two ends of a window.
MAX_EXTRA_REQUESTS = 4
# Number of entries by which a container may grow in a window without faults.
GROWTH_TOLERANCE = 20
# Maximum number of requests that a killed process may have sent since its last report.
MAX_UNREPORTED_REQUESTS = 200
MAX_VIOLATIONS_PER_CLAUSE = 5
# The windows before any fault, and the window that starts at the end of a fault.
FAULT_FREE_WINDOWS = ("calm", "before")
SETTLING_WINDOW = "until all agree"


class InvariantChecker:
    """Checks a scale run.

    Attributes:
        violations: The `TimedViolation`s; their times are seconds since the start of the run.
        values: The chosen values by (key, ballot).
        admitted: Number of admitted requests by tenant.
        sent: Number of messages sent by kind.
        admissions: Number of requests that started or ended, by (span, `STARTED` or `ENDED`, tenant).
        state: One line: the numbers of nodes that are up and ready, and of different states among them.
    """

    def __init__(self, layout, limits, command_all, show_progress):
        """Starts without observations.

        Args:
            layout: The `FleetLayout`.
            limits: The `TenantLimit` of each tenant.
            command_all: Coroutine function that sends a command to all processes and returns their answers.
            show_progress: Called with each progress line.
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
        """Records a violation, up to a maximum number for each clause."""
        known = sum(violation.clause == clause for violation in self.violations)
        if known < MAX_VIOLATIONS_PER_CLAUSE:
            seconds = round(time.monotonic() - self._started_at, 1)
            self.violations.append(TimedViolation(seconds, clause, detail))

    def has_open_plan(self):
        """Returns whether a plan is open in the newest observed rollout."""
        return bool(self._newest_rollout and self._newest_rollout["plan"])

    def plan_answered(self, status, text):
        """Records the answer to an operator's plan: later rollouts must contain an accepted plan."""
        if status != 200:
            self.report("calls are answered", f"the plan: {status} {text}")
            return
        # The rollout with the plan is observed later; every rollout after the first one with it must have it.
        self._accepted_plans[text.split()[1].rstrip(":")] = text

    # Observations.

    async def poll_for(self, seconds):
        """Polls all processes periodically for some seconds."""
        end = time.monotonic() + seconds
        while (left := end - time.monotonic()) > 0:
            await asyncio.sleep(min(left, POLL_INTERVAL))
            await self.poll()

    async def poll(self):
        """Polls all processes; returns whether all nodes are up, have all permissions and agree."""
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
        self.state = f"{alive} of {node_count} up, {ready} ready, {len(known)} different states"
        self._report_progress()
        return alive == ready == node_count and len(known) == 1

    def _report_progress(self):
        now = time.monotonic()
        if now > self._progress_at + PROGRESS_INTERVAL:
            self._progress_at = now
            seconds = now - self._started_at
            self._show_progress(f"{seconds:.0f} s: {self.state}, {len(self.values)} values chosen")

    def value_learned(self, node, key, ballot, value):
        """Checks a value that a node has learned as chosen under a ballot."""
        known = self.values.setdefault((key, ballot), value)
        if known != value:
            self.report("one value", f"node {node} has another {key} under {ballot} than others")
        if key != ROLLOUT_KEY:
            return
        if value:
            self._rollout_learned(value)
        # Scenes never stop executors, so none is lost or warming up.
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

    async def record_counters(self, children):
        """Records the counters of real nodes that are about to be killed."""
        for child in children:
            answer = await child.command("mark")
            for counters in answer["nodes"].values():
                self._sent_by_killed.update(counters["kinds"])
            self._killed_count += 1

    # Checks at the end of the run.

    async def finish(self, windows):
        """Runs the checks that need the whole run; `windows` has its `Window`s by name."""
        await self.poll()
        for plan_id in self._accepted_plans:
            self.report("told is kept", f"plan {plan_id} was confirmed as accepted but is in no rollout")
        await self._check_answers()
        self._check_request_rates(windows)
        self._check_growth(windows)
        self.check_limits()

    def check_limits(self):
        """Checks that the admissions of all nodes exceed no limit.

        Times are known only to a span, so a rate limit is checked with the burst of one more span.
        """
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
                # `ENDED` sorts before `STARTED`, so this counts the minimum that was in flight in the span.
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
        """Checks that no more answers than requests were sent.

        Answers are counted first: the request of each of them is then included in the count of requests.
        """
        answers = await self._sent_counts()
        requests = await self._sent_counts(check_early_requests=True)
        answer_kinds = [kind for kinds in ANSWER_KINDS.values() for kind in kinds]
        self.sent = dict(requests) | {kind: answers[kind] for kind in answer_kinds}
        for request_kinds, kinds in ANSWER_KINDS.items():
            request_count = sum(requests[kind] for kind in request_kinds)
            answer_count = sum(answers[kind] for kind in kinds)
            if answer_count > request_count + MAX_UNREPORTED_REQUESTS * self._killed_count:
                detail = f"{answer_count} answers {'/'.join(kinds)} to {request_count} requests"
                self.report("an answer for an ask", detail)

    async def _sent_counts(self, check_early_requests=False):
        sent = Counter(self._sent_by_killed)
        for answer in await self._command_all("mark"):
            for node, counters in answer["nodes"].items():
                sent.update(counters["kinds"])
                early = counters["early_requests"]
                if check_early_requests and early:
                    detail = f"node {node}: {early} share requests before they were due"
                    self.report("asks no more often", detail)
        return sent

    def _check_request_rates(self, windows):
        """Checks the number of each node's requests.

        A node spaces its requests by its own clock; each newly chosen value allows an additional request.
        """
        for name, window in windows.items():
            # In the settling window, new processes start and send requests early.
            if name != SETTLING_WINDOW:
                for usage in window.nodes:
                    self._check_request_rate(name, usage)

    def _check_request_rate(self, window_name, usage):
        leases = usage.seconds / self._layout.settings.lease
        for_values = len(self.values) + MAX_EXTRA_REQUESTS
        voters = len(self._layout.voters)
        max_counts = {
            VIEW_LEASE_REQUEST: (leases * MAX_VIEW_LEASE_REQUESTS_PER_LEASE + for_values) * voters,
            SHARE_REQUEST: leases * MAX_SHARE_REQUESTS_PER_LEASE + for_values,
        }
        for kind, limit in max_counts.items():
            sent = usage.kinds.get(kind, 0)
            if sent > limit:
                detail = f"node {usage.node}, {window_name}: {sent} requests {kind}, limit {limit:.0f}"
                self.report("asks no more often", detail)

    def _check_growth(self, windows):
        """Checks that no container grows in a window without faults and without newly chosen values.

        A new lease holder builds new tables, so windows with chosen values are not checked.
        """
        for name, window in windows.items():
            if name not in FAULT_FREE_WINDOWS or window.values:
                continue
            for path, entries in window.grown.items():
                if entries > GROWTH_TOLERANCE:
                    detail = (
                        f"{path} has grown by {entries:.0f} entries in {window.seconds:.0f} s without faults"
                    )
                    self.report("what is kept is dropped", detail)
