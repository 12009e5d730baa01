"""A real dispatcher with a simulated host that starts and ends attempts; the dispatcher's CPU is measured."""

from dataclasses import dataclass
from heapq import heappop, heappush
from time import thread_time

import orjson

from grebedyke.emulators.discovery import DiscoveryEmulator
from grebedyke.load.arrivals import Operation
from grebedyke.load.deployment import deployment_settings
from grebedyke.model.actions import Forward, Probe, WakeAt
from grebedyke.model.endpoint_list import EndpointRow
from grebedyke.model.events import (
    AttemptEnded,
    AttemptStarted,
    EndpointsChanged,
    ProbeEnded,
    RequestArrived,
)
from grebedyke.model.outcome import Outcome
from grebedyke.service.configuration import check_settings, open_dispatcher
from grebedyke.units import TICKS_PER_SECOND
from grebedyke.wire.endpoint_rows import parse_endpoint_rows

ZONES = "abcde"
IDEMPOTENCY_VALUES = ("keyed", "unsafe", "safe")
QUOTA_PER_SECOND = 5
# Urgent requests start within 7 s, and jobs run for minutes.
LATENCY_OBJECTIVE_MS = 7_000
CLIENT_TIMEOUT_MS = 600_000
REQUEST_TIMEOUT = 600 * TICKS_PER_SECOND
# Time from an action of the dispatcher to the resulting event, in ticks.
START_DELAY = 30
PROBE_DELAY = 20
FREE_SLOTS_REPORTED = 4
FILL_INTERVAL = TICKS_PER_SECOND // 200
"""Ticks between two requests submitted by `fill`."""
MAX_REQUESTS_PER_ATTEMPT = 4
"""`fill` gives up after this many requests per requested attempt."""


@dataclass(frozen=True, slots=True, kw_only=True)
class DispatcherShape:
    """The size of a measured dispatcher's deployment.

    Attributes:
        executors: Number of executors.
        operations: Number of operations.
        tenants: Number of tenants.
        nodes: Number of nodes.
        probes: Whether executors are probed.
    """

    executors: int = 760
    operations: int = 2
    tenants: int = 34
    nodes: int = 760
    probes: bool = True


def node_settings(nodes=760, node_number=5, operations=2, tenants=34, probes=True):
    """Returns the settings of a node.

    Args:
        nodes: Number of nodes.
        node_number: This node's number.
        operations: Number of operations.
        tenants: Number of tenants.
        probes: Whether executors are probed.
    """
    operations = [Operation(f"op{i}", IDEMPOTENCY_VALUES[i % 3]) for i in range(operations)]
    settings = deployment_settings(operations, nodes, node_number, "a", ZONES)
    for operation in settings["operations"]:
        operation["latencyObjectiveMs"] = LATENCY_OBJECTIVE_MS
        operation["clientTimeoutMs"] = CLIENT_TIMEOUT_MS
    settings["limits"]["probes"] = probes
    settings["parties"] = [{"name": f"t{i}", "quotaRps": QUOTA_PER_SECOND} for i in range(tenants)]
    return settings


def endpoint_list_json(executors, discovery=None):
    """Returns an endpoint list as JSON, in the form of discovery's answers.

    Args:
        executors: Number of executors.
        discovery: The `DiscoveryEmulator` to which they are added; None for a new one.
    """
    discovery = discovery or DiscoveryEmulator()
    for i in range(executors):
        address = f"10.0.{i // 250}.{i % 250}", 9_000
        discovery.add(f"worker-{i:04}", address, ZONES[i % 5], "full")
    return orjson.dumps(discovery.listing())


def endpoint_rows(entries):
    """Returns discovery's entries in the form that the dispatcher gets, which has no address."""
    return [EndpointRow(*entry[:1], *entry[2:]) for entry in entries]


class DispatcherHost:
    """A dispatcher and a simulated host that starts and ends its attempts.

    Attributes:
        dispatcher: The dispatcher.
        now: The simulated time in ticks.
        rows: The endpoint list.
        cpu_seconds: CPU time of the dispatcher's calls since the caller last set it to 0.
        in_flight: Number of attempts in flight.
    """

    def __init__(self, shape):
        """Opens a dispatcher and reports the endpoint list to it.

        Args:
            shape: The `DispatcherShape`.
        """
        checked = check_settings(
            node_settings(
                shape.nodes, operations=shape.operations, tenants=shape.tenants, probes=shape.probes
            )
        )
        self.dispatcher = open_dispatcher("b", checked)
        self.now = TICKS_PER_SECOND
        self.cpu_seconds = 0.0
        self.in_flight = 0
        self._shape = shape
        self._events = []
        self._sequence_number = 0
        self._run_times = {}
        self.rows = endpoint_rows(parse_endpoint_rows(orjson.loads(endpoint_list_json(shape.executors))))
        self.handle(EndpointsChanged(True, self.rows))

    def handle(self, event):
        """Reports an event to the dispatcher and executes its actions."""
        self._timed_call(self.dispatcher.handle, event)

    def _timed_call(self, call, *arguments):
        start = thread_time()
        call(self.now, *arguments)
        actions = []
        while (action := self.dispatcher.next_action(self.now)) is not None:
            actions.append(action)
        self.cpu_seconds += thread_time() - start
        for action in actions:
            self._execute(action)

    def _execute(self, action):
        if isinstance(action, Forward):
            self._start_attempt(action.request_id)
        elif isinstance(action, Probe):
            answer = ProbeEnded(action.endpoint_id, Outcome.SUCCEEDED, FREE_SLOTS_REPORTED, 0)
            self._schedule(PROBE_DELAY, self.dispatcher.handle, answer)
        elif isinstance(action, WakeAt):
            self._schedule(max(action.at - self.now, 1), self._wake)

    def _wake(self, now):
        """Does nothing, as `_timed_call` fetches the dispatcher's next actions."""

    def _start_attempt(self, request_id):
        number = len(self.dispatcher.requests[request_id].attempts) - 1
        self.in_flight += 1
        self._schedule(START_DELAY, self.dispatcher.handle, AttemptStarted(request_id, number))
        run_time = self._run_times[request_id]
        if run_time:
            self._schedule(START_DELAY + run_time, self._end_attempt, request_id, number)

    def _end_attempt(self, now, request_id, number):
        self.dispatcher.handle(now, AttemptEnded(request_id, number, Outcome.SUCCEEDED, True))
        self.in_flight -= 1
        del self._run_times[request_id]

    def _schedule(self, delay, call, *arguments):
        self._sequence_number += 1
        heappush(self._events, (self.now + delay, self._sequence_number, call, arguments))

    def run(self, until):
        """Runs the simulation until a tick."""
        while self._events and self._events[0][0] <= until:
            self.now, _, call, arguments = heappop(self._events)
            self._timed_call(call, *arguments)
        self.now = until

    def submit(self, run_time):
        """Submits a request to the dispatcher.

        Args:
            run_time: Running time of its job in ticks; None for a job that does not end.
        """
        self._sequence_number += 1
        request_id = f"i{self._sequence_number}"
        self._run_times[request_id] = run_time
        operation = f"op{self._sequence_number % self._shape.operations}"
        tenant = f"t{self._sequence_number % self._shape.tenants}"
        self.handle(RequestArrived(request_id, operation, tenant, self.now + REQUEST_TIMEOUT))

    def fill(self, attempts):
        """Submits requests that do not end until a number of attempts is in flight; returns that number.

        It is smaller than requested if the executors have less concurrency credit.
        """
        for _ in range(MAX_REQUESTS_PER_ATTEMPT * attempts):
            if self.in_flight >= attempts:
                break
            self.submit(None)
            self.run(self.now + FILL_INTERVAL)
        self.run(self.now + TICKS_PER_SECOND)
        return self.in_flight
