"""A simulated round of nodes and cold executors, without sockets; see `benchmarks.cold`."""

import random
from collections import deque
from heapq import heappop, heappush
from itertools import count
from math import inf
from typing import NamedTuple

from benchmarks.cold_load_checker import ColdLoadChecker
from benchmarks.cold_settings import CLIENT_TIMEOUT, SCHEDULING_INTERVAL, RoundSettings
from grebedyke.emulators.executor_model import Admission, ExecutorModel, ExecutorSettings
from grebedyke.model.actions import Forward, Probe, WakeAt
from grebedyke.model.endpoint_list import EndpointRow
from grebedyke.model.events import (
    AttemptEnded,
    AttemptStarted,
    EndpointListUnavailable,
    EndpointsChanged,
    ProbeEnded,
    RequestArrived,
)
from grebedyke.model.outcome import Outcome
from grebedyke.service.configuration import open_dispatcher
from grebedyke.units import TICKS_PER_SECOND

NETWORK_DELAY = 10  # ticks between a node and an executor, one way
REPLACEMENT_START = 6 * TICKS_PER_SECOND  # by then the nodes have measured their attempt rates
BURST_DURATION = 8 * TICKS_PER_SECOND
REPORT_INTERVAL = TICKS_PER_SECOND // 2
# Seconds after which a node with little traffic draws its next arrival again, as its rate may have risen.
MAX_ARRIVAL_GAP = 0.5
# One in this many nodes restarts at the same time.
RESTART_STRIDE = 5


class SimulatedExecutor:
    """An executor and its recent attempts.

    Attributes:
        id: The executor's name.
        model: The emulator's `ExecutorModel`.
        started_at: Start time in ticks; -inf if the executor was running before the round.
        weight: Weight in the endpoint list.
        is_up: Whether the executor is running.
        full_capacity: Work done per second when warm, in seconds.
        recent_attempts: Each `ColdAttempt` within the last window, maintained by the checker.
        reported_free: Free slots in the last load report.
        reported_jobs: Jobs in flight in the last load report.
    """

    def __init__(self, id, model, started_at, weight):
        self.id = id
        self.model = model
        self.started_at = started_at
        self.weight = weight
        self.is_up = True
        self.full_capacity = model.settings.slots * model.settings.speed
        self.recent_attempts = deque()
        self.reported_free = 0
        self.reported_jobs = 0

    def row(self, state="healthy"):
        """Returns the executor's row of the endpoint list."""
        started_at = self.started_at if self.started_at > -inf else 0
        return EndpointRow(self.id, "a", "std", 0, state, started_at, self.weight)


class SimulatedNode:
    """One incarnation of a node.

    Attributes:
        number: The node's number.
        dispatcher: The node's `Dispatcher`.
        known_starts: Latest known start time of each executor by name, in ticks.
    """

    def __init__(self, number, dispatcher):
        self.number = number
        self.dispatcher = dispatcher
        self.known_starts = {}

    def update_list(self, now, replaces_all, rows):
        """Reports the endpoint list or a change of it to the dispatcher."""
        for row in rows:
            self.known_starts[row.id] = max(row.started_at, self.known_starts.get(row.id, 0))
        self.dispatcher.handle(now, EndpointsChanged(replaces_all, rows))


class Job(NamedTuple):
    """An attempt at an executor.

    Attributes:
        node: The `SimulatedNode` that sent it.
        request_id: The id of the request.
        attempt: Number of the attempt, from 0.
    """

    node: SimulatedNode
    request_id: int
    attempt: int


class Round:
    """One random round; after `run`, `checker` has the result.

    Attributes:
        settings: The `RoundSettings`.
        checker: The `ColdLoadChecker`.
        attempts: Number of attempts that reached an executor.
        finished: Number of finished jobs.
    """

    def __init__(self, seed, node_count, seconds=30):
        self.seed = seed
        self.node_count = node_count
        self.random = random.Random(f"{seed} {node_count}")
        self.now = 0
        self.end = seconds * TICKS_PER_SECOND
        self.events = []
        self.ids = count(1)  # shared by events, requests and executors
        self.settings = RoundSettings(self.random, node_count)
        self.checker = ColdLoadChecker(self.settings)
        self.attempts = 0
        self.finished = 0
        self.nodes = [None] * node_count
        self.next_pass_time = {}  # by node number, in ticks
        self.work_by_request = {}  # in seconds, by request id
        self.executors = {}
        self.burst = (0, 0)  # start and end, in ticks
        for _ in range(self.settings.executor_count):
            self._add_executor(-inf)
        # Lognormal: of 30 nodes, the busiest gets about 5 times the mean, the least busy a thirtieth of it.
        self.traffic_weights = [self.random.lognormvariate(0, 1.1) for _ in range(node_count)]
        self.list_delays = [self._draw_time(0.05, 3) for _ in range(node_count)]

    def run(self):
        """Runs the round and returns it."""
        self._schedule_all()
        while self.events and self.events[0][0] <= self.end:
            self.now, _, call, arguments = heappop(self.events)
            call(*arguments)
        return self

    def _schedule_all(self):
        """Starts the nodes and schedules traffic, replacements and restarts."""
        for number in range(self.node_count):
            self._start_node(number)
            self._schedule_at(self.random.random() * TICKS_PER_SECOND, self._next_arrival, number)
        restart_at = REPLACEMENT_START + self._draw_time(0.2, 3)
        self._schedule_at(1, self._update_load_reports)
        self._schedule_at(
            REPLACEMENT_START, self._replace_executors, max(len(self.executors) // 2, 1), restart_at
        )
        second_replacement = restart_at + self.settings.ramp_time // 3
        self._schedule_at(
            second_replacement, self._replace_executors, 2, second_replacement + TICKS_PER_SECOND
        )
        self.burst = (restart_at + self._draw_time(0, 3), restart_at + BURST_DURATION)
        for turn in range(4 if self.node_count > 1 else 2):
            self._schedule_at(restart_at + self._draw_time(0.1, 10), self._restart_nodes, turn)
        self._schedule_at(restart_at + 4 * TICKS_PER_SECOND, self._redistribute_traffic)

    def _schedule_at(self, time, call, *arguments):
        """Schedules a call at a time in ticks; calls at the same time run in the order of scheduling."""
        heappush(self.events, (int(time), next(self.ids), call, arguments))

    def _schedule_after(self, delay, call, *arguments):
        """Schedules a call after a delay in ticks."""
        self._schedule_at(self.now + delay, call, *arguments)

    def _draw_time(self, low, high):
        """Draws a duration between two bounds in seconds; returns ticks."""
        return self.random.uniform(low, high) * TICKS_PER_SECOND

    # Nodes and their clients.

    def _start_node(self, number):
        """Starts or restarts a node."""
        settings = self.settings.node_settings(number)
        node = SimulatedNode(number, open_dispatcher(f"{self.seed} {number} {self.now}", settings))
        self.nodes[number] = node
        node.dispatcher.handle(self.now, EndpointListUnavailable())
        rows = [executor.row() for executor in self.executors.values() if executor.is_up]
        node.update_list(self.now, True, rows)
        self._schedule_pass(number)

    def _restart_nodes(self, turn):
        """Restarts one in `RESTART_STRIDE` nodes, others in each turn; a single node restarts each time."""
        first = turn % RESTART_STRIDE if self.node_count > 1 else 0
        for number in range(first, self.node_count, RESTART_STRIDE):
            self._schedule_after(1, self._start_node, number)

    def _redistribute_traffic(self):
        """Shuffles the traffic weights of the nodes."""
        self.random.shuffle(self.traffic_weights)

    def _next_arrival(self, number):
        """Draws and schedules the node's next request."""
        settings = self.settings
        in_burst = self.burst[0] <= self.now < self.burst[1]
        capacity = sum(executor.full_capacity for executor in self.executors.values() if executor.is_up)
        load = settings.burst_load if in_burst else settings.normal_load
        rate = capacity / settings.mean_work * load * self.traffic_weights[number] / sum(self.traffic_weights)
        gap = self.random.expovariate(rate)
        if gap < MAX_ARRIVAL_GAP:
            self._schedule_after(gap * TICKS_PER_SECOND + 1, self._submit_request, number)
        self._schedule_after(min(gap, MAX_ARRIVAL_GAP) * TICKS_PER_SECOND + 1, self._next_arrival, number)

    def _submit_request(self, number):
        """Submits a random request to a node."""
        settings = self.settings
        is_long = self.random.random() > settings.short_share
        # Without hints a node can't recognise a large job, and a single one of N times the mean work would
        # exceed the bound although no node broke the rule. The work of jobs varies less in this case.
        spread = self.random.gammavariate(2, 0.5) if settings.hints else self.random.uniform(0.4, 1.6)
        work = settings.operation_work[is_long] * spread
        request_id = next(self.ids)
        self.work_by_request[request_id] = work
        hint = work * TICKS_PER_SECOND * self.random.uniform(0.7, 1.4) if settings.hints else 0
        operation = "long" if is_long else "short"
        deadline = self.now + CLIENT_TIMEOUT
        event = RequestArrived(request_id, operation, None, deadline, hint, slots=1)
        self.nodes[number].dispatcher.handle(self.now, event)
        self._schedule_pass(number)

    def _schedule_pass(self, number):
        """Schedules a pass of the node at its next scheduling interval."""
        if self.next_pass_time.get(number, -1) <= self.now:
            self.next_pass_time[number] = self.now - self.now % SCHEDULING_INTERVAL + SCHEDULING_INTERVAL
            self._schedule_at(self.next_pass_time[number], self._execute_actions, number)

    def _execute_actions(self, number):
        """Executes the actions of a node's dispatcher."""
        node = self.nodes[number]
        while (action := node.dispatcher.next_action(self.now)) is not None:
            if isinstance(action, Forward):
                self._send(node, action)
            elif isinstance(action, Probe):
                self._schedule_after(2 * NETWORK_DELAY, self._answer_probe, node, action.endpoint_id)
            elif isinstance(action, WakeAt):
                self._schedule_at(max(action.at, self.now + 1), self._wake, node)

    def _send(self, node, action):
        """Sends an attempt to its executor and schedules its timeout."""
        attempt = len(node.dispatcher.requests[action.request_id].attempts) - 1
        job = Job(node, action.request_id, attempt)
        known_start = node.known_starts.get(action.endpoint_id, 0)
        self._schedule_after(NETWORK_DELAY, self._deliver_attempt, job, action.endpoint_id, known_start)
        self._schedule_after(max(action.timeout, 1), self._end_attempt, job, Outcome.TIMEOUT, False)

    def _wake(self, node):
        """Schedules a pass that the node's dispatcher requested, unless the node has restarted since."""
        if node is self.nodes[node.number]:
            self._schedule_pass(node.number)

    def _end_attempt(self, job, outcome, request_closed, free_slots=None):
        """Reports the outcome of an attempt to its node."""
        event = AttemptEnded(job.request_id, job.attempt, outcome, request_closed, free_slots)
        self._report_event(job.node, event)

    def _report_start(self, job):
        """Reports the start of a job to its node."""
        self._report_event(job.node, AttemptStarted(job.request_id, job.attempt))

    def _report_event(self, node, event):
        """Reports an event to a node, unless the node has restarted since."""
        if node is self.nodes[node.number]:
            node.dispatcher.handle(self.now, event)
            self._schedule_pass(node.number)

    def _answer_probe(self, node, executor_id):
        """Reports the result of a probe to its node."""
        executor = self.executors.get(executor_id)
        if executor and executor.is_up:
            figures = executor.reported_free, executor.reported_jobs
            self._report_event(node, ProbeEnded(executor_id, Outcome.SUCCEEDED, *figures))
        else:
            self._report_event(node, ProbeEnded(executor_id, Outcome.CONNECT_FAILED))

    # Executors.

    def _add_executor(self, started_at):
        """Starts an executor with random capacity."""
        settings = self.settings
        differ = settings.executors_differ
        slots = self.random.choice((1, 2, 4, 8, 16)) if differ else settings.slots
        speed = self.random.uniform(0.7, 1.3) if differ else 1
        # Overload is only counted and does not stop the executor: later violations would be hidden.
        executor_settings = ExecutorSettings(
            slots=slots,
            speed=speed,
            queue=4 * slots,
            cold_capacity=settings.initial_warmth,
            warm_up_time=settings.ramp_time / TICKS_PER_SECOND,
            overload_multiple=inf,
            idempotency_window=0,
        )
        model = ExecutorModel(executor_settings, started_at / TICKS_PER_SECOND)
        weight = slots * speed * self.random.uniform(0.8, 1.25) if differ else 1
        executor = SimulatedExecutor(f"s-{next(self.ids)}", model, started_at, weight)
        self.executors[executor.id] = executor
        return executor

    def _update_load_reports(self):
        """Updates the load reports; probes return figures that are up to `REPORT_INTERVAL` old."""
        for executor in self.executors.values():
            report = executor.model.load_report()
            executor.reported_free = report["x0"]
            executor.reported_jobs = report["inflight"]
        self._schedule_after(REPORT_INTERVAL, self._update_load_reports)

    def _deliver_attempt(self, job, executor_id, known_start):
        """Delivers an attempt to its executor; the connection fails if the executor is down."""
        executor = self.executors.get(executor_id)
        if not executor or not executor.is_up:
            self._schedule_after(NETWORK_DELAY, self._end_attempt, job, Outcome.CONNECT_FAILED, False)
            return
        work = self.work_by_request[job.request_id]
        self.attempts += 1
        self.checker.on_attempt(self.now, executor, work, known_start >= executor.started_at)
        admission = executor.model.submit(self.now / TICKS_PER_SECOND, job, "", "op", work)
        if admission == Admission.REJECTED:
            self._schedule_after(NETWORK_DELAY, self._end_attempt, job, Outcome.REJECTED, False, 0)
        elif admission == Admission.STARTED:
            self._on_started(executor, job)

    def _on_started(self, executor, job):
        """Reports the start of a job if executors do so, and schedules its end."""
        if self.settings.reports_starts:
            self._schedule_after(NETWORK_DELAY, self._report_start, job)
        ends_at = next(running.ends_at for running in executor.model.running if running.id == job)
        self._schedule_at(ends_at * TICKS_PER_SECOND + 1, self._finish_jobs, executor, executor.started_at)

    def _finish_jobs(self, executor, started_at):
        """Ends finished jobs and starts queued jobs in their slots."""
        if not executor.is_up or executor.started_at != started_at:
            return
        free = executor.model.load_report()["x0"]
        for job in executor.model.take_finished(self.now / TICKS_PER_SECOND):
            self.finished += 1
            self._schedule_after(NETWORK_DELAY, self._end_attempt, job.id, Outcome.SUCCEEDED, True, free)
        for started in executor.model.start_waiting(self.now / TICKS_PER_SECOND):
            self._on_started(executor, started.id)

    def _replace_executors(self, number, restart_at):
        """Stops a number of executors at once; each is replaced by a cold one with the same or a new name."""
        running = [executor for executor in self.executors.values() if executor.is_up]
        for executor in self.random.sample(running, number):
            executor.is_up = False
            for job in (*executor.model.running, *executor.model.waiting):
                self._schedule_after(
                    NETWORK_DELAY, self._end_attempt, job.id, Outcome.CONNECTION_RESET, False
                )
            self._schedule_list_update(executor, "gone")
            self._schedule_at(
                max(restart_at + self._draw_time(0, 0.3), self.now + 1), self._start_replacement, executor
            )

    def _start_replacement(self, executor):
        """Starts the replacement of an executor."""
        if self.random.random() < 0.5:
            del self.executors[executor.id]
            executor = self._add_executor(self.now)
        else:
            executor.model.restart(self.now / TICKS_PER_SECOND)
            executor.is_up = True
            executor.started_at = self.now
            executor.recent_attempts.clear()
        self._schedule_list_update(executor, "healthy")

    def _schedule_list_update(self, executor, state):
        """Schedules a change of the endpoint list at each node, after the node's own delay."""
        for number in range(self.node_count):
            self._schedule_after(self.list_delays[number], self._update_list, number, executor.row(state))

    def _update_list(self, number, row):
        """Reports a change to a node; drops a late "gone" if the node already has the newer start."""
        node = self.nodes[number]
        executor = self.executors.get(row.id)
        is_back = executor and executor.is_up and node.known_starts.get(row.id, 0) >= executor.started_at
        if row.state == "gone" and is_back:
            return
        node.update_list(self.now, False, [row])
        self._schedule_pass(number)
