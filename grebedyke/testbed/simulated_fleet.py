"""The fleet of a scale run in simulated time: the same components, settings and demand.

Usage is measured as at a hollow node: datagrams are counted after `framing`, and the CPU time of the
components includes packing and unpacking, but no system calls.
"""

import json
import tempfile
from pathlib import Path
from time import thread_time_ns
from types import SimpleNamespace
from typing import NamedTuple

from grebedyke.consensus import framing
from grebedyke.model.seeded_random import SeededRandom
from grebedyke.service import configuration
from grebedyke.service.fleet_assembly import build_components
from grebedyke.testbed.demand_generator import LimitedRequest
from grebedyke.testbed.fleet_layout import OPERATION, FleetLayout
from grebedyke.testbed.memory_census import state_size
from grebedyke.testbed.scale_figures import NodeUsage, reference_time_us, usage_by_role
from grebedyke.testbed.simulated_cluster import SimulatedCluster
from grebedyke.testbed.simulated_node import SimulatedNode
from grebedyke.units import TICKS_PER_SECOND

# All times in ticks.
NETWORK_DELAY = 2
OPERATOR_INTERVAL = TICKS_PER_SECOND // 5
CONFIRMATION_INTERVAL = TICKS_PER_SECOND // 20
# Numbers of lease times to wait: for the founding of the fleet, for a new lease holder, for the rejoin of
# restarted nodes, and for steady demand.
FOUNDING_LEASES = 6
TAKEOVER_LEASES = 5
RESTART_LEASES = 2
SETTLING_LEASES = 4
MAX_HOLDER_CHANGES = 4
# Added to the process numbers of simulated nodes, so that they are as long as real ones on the wire.
PROCESS_BASE = 2**55
MAX_MACHINES_OUT = 4


class Counters(NamedTuple):
    """The counters of a simulated node.

    Attributes:
        traffic: Datagrams out, bytes out, datagrams in and bytes in.
        component_time: CPU time of its components, in nanoseconds.
    """

    traffic: list[int]
    component_time: int


class CountedSimulatedNode(SimulatedNode):
    """A node whose components are timed, and whose messages are counted as datagrams.

    Attributes:
        traffic: Datagrams out, bytes out, datagrams in and bytes in.
        component_time: CPU time of its components, in nanoseconds.
        reassembler: Reassembles messages from datagrams.
        message_number: Number of the newest message sent.
    """

    def __init__(self, cluster, node_id):
        super().__init__(cluster, node_id)
        self.traffic = [0, 0, 0, 0]
        self.component_time = 0
        self.reassembler = framing.Reassembler(cluster.fleet_tag)
        self.message_number = 0
        self._is_timing = False

    def counters(self):
        """Returns the present `Counters`."""
        return Counters(list(self.traffic), self.component_time)

    def _timed(self, call, *arguments):
        """Calls call(*arguments) and adds its CPU time; a nested call adds nothing."""
        if self._is_timing:
            return call(*arguments)
        self._is_timing = True
        start = thread_time_ns()
        try:
            return call(*arguments)
        finally:
            self.component_time += thread_time_ns() - start
            self._is_timing = False

    def run_components(self):
        """Executes the actions of the components."""
        self._timed(super().run_components)

    def receive_datagrams(self, sender, datagrams):
        """Receives the datagrams of a message."""
        self.traffic[2] += len(datagrams)
        self.traffic[3] += sum(map(len, datagrams))
        self._timed(self._reassemble, sender, datagrams)

    def _reassemble(self, sender, datagrams):
        for datagram in datagrams:
            message = self.reassembler.take(sender, datagram)
            if message is not None:
                self.receive(sender, message)


class SimulatedFleet(SimulatedCluster):
    """The fleet of a scale run with simulated nodes only.

    Attributes:
        layout: The `FleetLayout`.
        settings: The `ScaleSettings`.
        lease: The lease time in ticks.
        fleet_tag: The fleet tag of the datagrams.
        node_configuration: The parsed configuration of node 0; other nodes differ from it in their number.
        plan_count: Number of plans that the operators have submitted.
    """

    def __init__(self, settings):
        self.settings = settings
        self.layout = FleetLayout(settings)
        self.lease = int(settings.lease * TICKS_PER_SECOND)
        self.fleet_tag = framing.fleet_tag(f"scale {settings.seed}")
        self.node_configuration = read_configuration(self.layout)
        self.plan_count = 0
        super().__init__(
            settings.seed,
            nodes=settings.nodes,
            voters=len(self.layout.voters),
            executors=settings.executors,
            faults=0,
            drift=0.0,
        )
        self.nodes = [CountedSimulatedNode(self, node_id) for node_id in range(settings.nodes)]
        self._operation = SimpleNamespace(name=OPERATION.name)
        self._wanted_tenants = [self.layout.wanted_tenants(node) for node in range(settings.nodes)]
        self._demand_random = SeededRandom(f"simulated {settings.seed}")

    def components_for(self, node):
        """Returns the components that are built from a node's configuration."""
        settings = {**self.node_configuration["settings"], "me": node.node_id}
        node_configuration = {**self.node_configuration, "settings": settings}
        return build_components(node_configuration, node.process + PROCESS_BASE, node.clock())

    def value_learned(self, node_id, key, value):
        """Does nothing: the trials of `torture` check the rollouts."""

    def record_acceptance(self, node):
        """Does nothing: the trials of `torture` check the rollouts."""

    def send(self, sender, receiver, message):
        """Sends a message as datagrams."""
        node = self.nodes[sender]
        node.message_number += 1
        datagrams = framing.pack(self.fleet_tag, node.message_number, message)
        node.traffic[0] += len(datagrams)
        node.traffic[1] += sum(map(len, datagrams))
        self.schedule(NETWORK_DELAY, self._deliver_datagrams, sender, receiver, datagrams)

    def _deliver_datagrams(self, sender, receiver, datagrams):
        if self.nodes[receiver].is_running:
            self.nodes[receiver].receive_datagrams(sender, datagrams)

    # Phases of a run.

    def start_nodes(self):
        """Starts all nodes and makes the second voter the lease holder, as in a scale run."""
        for node in self.nodes:
            self.schedule(self.random.randrange(1, TICKS_PER_SECOND), node.start)
        self.run(FOUNDING_LEASES * self.lease)
        for _ in range(MAX_HOLDER_CHANGES):
            holder = self.lease_holder()
            if holder == 1:
                return
            lost = {holder, *([0] if self.node_count >= 7 else [])} - {None}
            for node_id in lost:
                self.nodes[node_id].crash()
            self.run(self.now + TAKEOVER_LEASES * self.lease)
            for node_id in lost:
                self.nodes[node_id].start()
            self.run(self.now + RESTART_LEASES * self.lease)

    def lease_holder(self):
        """Returns the number of the lease holder of the limits; None if there is none."""
        for node in self.nodes:
            if node.is_running and node.components[-1].election.is_holder():
                return node.node_id
        return None

    def start_demand(self):
        """Starts the demand at all nodes."""
        interval = int(self.settings.demand_interval * TICKS_PER_SECOND)
        for node in self.nodes:
            self.schedule(self.random.randrange(1, interval), self._request_all, node, interval)

    def _request_all(self, node, interval):
        delay = int(interval * (0.5 + self._demand_random.draw())) + 1
        self.schedule(delay, self._request_all, node, interval)
        if not node.is_running:
            return
        limiter = node.components[-1].request_limiter
        longest_run = int(self.settings.longest_run * TICKS_PER_SECOND)
        for tenant in self._wanted_tenants[node.node_id]:
            request = LimitedRequest(self._operation, tenant)
            is_admitted = not limiter.try_acquire(node.clock(), request)
            if is_admitted and request in limiter.acquired_slots:
                running = int(longest_run * (0.1 + 0.85 * self._demand_random.draw()))
                self.schedule(running, limiter.release, request)
        node.run_components()

    def run_plans(self):
        """Lets operators carry out one plan after another at the last node, as in a scale run."""
        self.schedule(OPERATOR_INTERVAL, self.run_plans)
        node = self.nodes[-1]
        maintenance = node.components[1]
        state = maintenance.status(node.clock())
        if not state["plan"] and state["sure"]:
            self.plan_count += 1
            plan = {
                "machines": [executor.name for executor in self.executors],
                "most": MAX_MACHINES_OUT,
                "workMs": 600_000,
                "leastShare": 0.5,
                "id": f"plan-{self.plan_count}",
            }
            maintenance.operator_call(node.clock(), ignore_answer, b"POST", b"/v1/maintenance/plan", plan)
        free = [row for row in state["machines"] if row["state"] == "free"]
        new = [row for row in free if row["number"] not in self.operators.handled_numbers]
        for position, row in enumerate(new, 1):
            # One after another, as by the operators of a scale run.
            self.operators.handled_numbers.add(row["number"])
            path = f"/v1/maintenance/back/{row['name']}/{row['number']}".encode()
            self.schedule(position * CONFIRMATION_INTERVAL, self._confirm_back, node, path)
        node.run_components()

    def _confirm_back(self, node, path):
        node.components[1].operator_call(node.clock(), ignore_answer, b"POST", path, None)
        node.run_components()

    def newest_revision(self):
        """Returns the newest revision of the rollout at any node."""
        return max(node.components[1].rollout.revision for node in self.nodes)


def ignore_answer(status, text):
    """Ignores the answer to an operator's call."""


def read_configuration(layout):
    """Returns the configuration of node 0, written to a file and then read and checked as by a node."""
    listing = {"index": 1, "endpoints": []}
    discovery = SimpleNamespace(address=("127.0.0.1", 9), listing=lambda: listing)
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder, "node.json")
        path.write_text(json.dumps(layout.node_configuration(0, Path(folder), discovery)))
        return configuration.read_node({"BALANCER_CONFIG": str(path)})


def run(settings, seconds):
    """Runs the calm or the peak scene of a scale run.

    Args:
        settings: The run's `ScaleSettings`.
        seconds: Duration of the measurement, in seconds of simulated time.

    Returns:
        The changes of the rollout per second, the result of `reference_time_us`, and the usage of the nodes
        by role, in the form of the JSON file of a scale run.
    """
    fleet = SimulatedFleet(settings)
    fleet.start_nodes()
    fleet.start_demand()
    fleet.run(fleet.now + SETTLING_LEASES * fleet.lease)
    known_roles = {}
    if settings.scene == "peak":
        fleet.run_plans()
        fleet.run(fleet.now + TICKS_PER_SECOND)
        known_roles = {0: "driver", fleet.node_count - 1: "asked"}
    start = [node.counters() for node in fleet.nodes]
    first_revision = fleet.newest_revision()
    span = int(seconds * TICKS_PER_SECOND)
    fleet.run(fleet.now + span)
    changes = fleet.newest_revision() - first_revision
    usages = [
        _usage(node, counters, span, known_roles.get(node.node_id))
        for node, counters in zip(fleet.nodes, start, strict=True)
    ]
    return {
        "boards_a_second": changes / seconds,
        "yardstick_us": reference_time_us(),
        "roles": [usage.document() for usage in usage_by_role(usages, simulated=True)],
    }


def _usage(node, start, span, known_role):
    """Returns the `NodeUsage` of a node since its `Counters` of `start`, `span` ticks ago."""
    end = node.counters()
    per_second = [
        (last - first) * TICKS_PER_SECOND / span
        for last, first in zip(end.traffic, start.traffic, strict=True)
    ]
    size = state_size(node.components, node.reassembler)
    names = ("messages_out", "bytes_out", "messages_in", "bytes_in")
    counts = dict(zip(names, per_second, strict=True))
    component_seconds = (end.component_time - start.component_time) / 1e9
    counts["cpu_parts"] = component_seconds / (span / TICKS_PER_SECOND) * 100
    counts["objects"] = size.objects
    counts["state"] = size.size
    return NodeUsage(
        node=node.node_id,
        seconds=span / TICKS_PER_SECOND,
        is_real=False,
        role=known_role or _own_role(node),
        counts=counts,
    )


def _own_role(node):
    if node.components[-1].election.is_holder():
        return "holder"
    return "voter" if node.components[0].is_voting() else "other"
