"""A real dispatcher with as much of a host around it as lets work start and end; its CPU is counted."""

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
    ProbeAnswered,
    RequestArrived,
)
from grebedyke.model.outcome import Outcome
from grebedyke.service.configuration import check_settings, open_dispatcher
from grebedyke.units import TICKS_PER_SECOND
from grebedyke.wire.endpoint_rows import parse_endpoint_rows

ZONES = "abcde"
EFFECTS = ("keyed", "unsafe", "safe")
QUOTA_PER_SECOND = 5
# Urgent work starts within 7 s, and a task runs for minutes.
LATENCY_OBJECTIVE_MS = 7_000
CLIENT_TIMEOUT_MS = 600_000
REQUEST_TIMEOUT = 600 * TICKS_PER_SECOND
# From an action to what comes of it, in ticks.
START_DELAY = 30
PROBE_DELAY = 20
FREE_SLOTS_REPORTED = 4
FILL_INTERVAL = TICKS_PER_SECOND // 200
"""Between two requests while the dispatcher is filled, in ticks."""
MOST_TRIES_PER_ATTEMPT = 4
"""Filling gives up after so many requests for each attempt that is wanted."""


@dataclass(frozen=True, slots=True, kw_only=True)
class DispatcherShape:
    """How large a measured dispatcher's deployment is.

    Attributes:
        executors: How many executors there are.
        operations: How many operations.
        tenants: How many tenants.
        nodes: How many nodes.
        probes: Whether executors are probed.
    """

    executors: int = 760
    operations: int = 2
    tenants: int = 34
    nodes: int = 760
    probes: bool = True


def settings(nodes=760, node_number=5, operations=2, tenants=34, probes=True):
    """Returns a deployment's settings.

    Args:
        nodes: How many nodes there are.
        node_number: This node's.
        operations: How many operations.
        tenants: How many tenants.
        probes: Whether executors are probed.
    """
    operations = [Operation(f"op{i}", EFFECTS[i % 3]) for i in range(operations)]
    found = deployment_settings(operations, nodes, node_number, "a", ZONES)
    for operation in found["operations"]:
        operation["latencyObjectiveMs"] = LATENCY_OBJECTIVE_MS
        operation["clientTimeoutMs"] = CLIENT_TIMEOUT_MS
    found["limits"]["probes"] = probes
    found["parties"] = [{"name": f"t{i}", "quotaRps": QUOTA_PER_SECOND} for i in range(tenants)]
    return found


def listing(executors, discovery=None):
    """Returns an endpoint list as discovery answers it.

    Args:
        executors: How many executors are in it.
        discovery: The `DiscoveryEmulator` to which they are added; None for a new one.
    """
    discovery = discovery or DiscoveryEmulator()
    for i in range(executors):
        address = f"10.0.{i // 250}.{i % 250}", 9_000
        discovery.add(f"worker-{i:04}", address, ZONES[i % 5], "full")
    return orjson.dumps(discovery.listing())


def endpoint_rows(entries):
    """Returns entries of discovery as the dispatcher gets them: without the address."""
    return [EndpointRow(*entry[:1], *entry[2:]) for entry in entries]


class DispatcherHost:
    """A dispatcher, and a simulated host that starts and ends what it forwards.

    Attributes:
        dispatcher: The dispatcher.
        now: The simulated time in ticks.
        rows: The endpoint list.
        cpu_seconds: CPU of the dispatcher's calls so far; whoever measures sets it back to 0.
        in_flight: How many attempts are in flight.
    """

    def __init__(self, shape):
        """Opens a dispatcher and gives it the endpoint list.

        Args:
            shape: The `DispatcherShape`.
        """
        checked = check_settings(
            settings(shape.nodes, operations=shape.operations, tenants=shape.tenants, probes=shape.probes)
        )
        self.dispatcher = open_dispatcher("b", checked)
        self.now = TICKS_PER_SECOND
        self.cpu_seconds = 0.0
        self.in_flight = 0
        self._shape = shape
        self._events = []
        self._count = 0
        self._run_times = {}
        self.rows = endpoint_rows(parse_endpoint_rows(orjson.loads(listing(shape.executors))))
        self.handle(EndpointsChanged(True, self.rows))

    def handle(self, event):
        """Reports an event to the dispatcher and carries out its actions."""
        self._call(self.dispatcher.handle, event)

    def _call(self, call, *arguments):
        start = thread_time()
        call(self.now, *arguments)
        actions = []
        while (action := self.dispatcher.next_action(self.now)) is not None:
            actions.append(action)
        self.cpu_seconds += thread_time() - start
        for action in actions:
            self._carry_out(action)

    def _carry_out(self, action):
        if isinstance(action, Forward):
            self._start_attempt(action.request_id)
        elif isinstance(action, Probe):
            answer = ProbeAnswered(action.endpoint_id, Outcome.SUCCEEDED, FREE_SLOTS_REPORTED, 0)
            self._schedule(PROBE_DELAY, self.dispatcher.handle, answer)
        elif isinstance(action, WakeAt):
            self._schedule(max(action.at - self.now, 1), self._wake)

    def _wake(self, now):
        """Changes nothing: the dispatcher asked only to be asked for actions again."""

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
        self._count += 1
        heappush(self._events, (self.now + delay, self._count, call, arguments))

    def run(self, until):
        """Plays all that happens up to a tick."""
        while self._events and self._events[0][0] <= until:
            self.now, _, call, arguments = heappop(self._events)
            self._call(call, *arguments)
        self.now = until

    def submit(self, run_time):
        """Lets a request arrive.

        Args:
            run_time: How long it runs, in ticks; None for one that does not end.
        """
        self._count += 1
        request_id = f"i{self._count}"
        self._run_times[request_id] = run_time
        operation = f"op{self._count % self._shape.operations}"
        tenant = f"t{self._count % self._shape.tenants}"
        self.handle(RequestArrived(request_id, operation, tenant, self.now + REQUEST_TIMEOUT))

    def fill(self, attempts):
        """Brings so many attempts in flight that do not end; returns how many there are.

        They are fewer where the executors' concurrency credit is less.
        """
        for _ in range(MOST_TRIES_PER_ATTEMPT * attempts):
            if self.in_flight >= attempts:
                break
            self.submit(None)
            self.run(self.now + FILL_INTERVAL)
        self.run(self.now + TICKS_PER_SECOND)
        return self.in_flight
