"""A voter's observations of nodes and endpoints, and the evidence derived from them. No I/O."""

from dataclasses import replace
from typing import NamedTuple

from grebedyke.maintenance.evidence import Evidence, UnplannedLosses
from grebedyke.maintenance.plan import ReturnSignal, count_by, is_node, node_name, node_of
from grebedyke.maintenance.rollout import COUNTED_AS_OUT, MachineState, StatusKey

# Number of past revisions whose arrival times are kept.
REVISIONS_KEPT = 512
# The acknowledged revision of a node from which no message has been received.
NOTHING_ACKNOWLEDGED = -1


class Acknowledgement(NamedTuple):
    """The newest acknowledgement from a node.

    Attributes:
        revision: The newest revision that the node has on disk and for which it has no attempts in flight at
            machines that are out.
        process: The number of its process.
        received_at: Time of receipt, in ticks of this node's clock.
    """

    revision: int
    process: int
    received_at: int


class Observations:
    """The observations of this node. All times are by its own clock, so clocks need not be synchronized.

    Attributes:
        node_count: Number of nodes in the fleet.
        settings: The `MaintenanceSettings`.
        endpoints: The `KnownEndpoints`.
        acknowledgements: The newest `Acknowledgement` of each node, by node.
    """

    def __init__(self, node_count, settings, endpoints):
        self.node_count = node_count
        self.settings = settings
        self.endpoints = endpoints
        self.acknowledgements: dict[int, Acknowledgement] = {}
        self._revision_received_at: dict[int, int] = {}
        self._healthy_since: dict[StatusKey, int] = {}

    def record_acknowledgement(self, now, node, revision, process):
        """Records an acknowledgement from a node."""
        self.acknowledgements[node] = Acknowledgement(revision, process, now)

    def record_revision(self, now, newest):
        """Records the arrival time of the newest revision."""
        self._revision_received_at.setdefault(newest, now)
        self._revision_received_at = {
            revision: received_at
            for revision, received_at in self._revision_received_at.items()
            if revision > newest - REVISIONS_KEPT
        }

    def acknowledged_revision(self, node):
        """Returns the newest revision that the node has acknowledged."""
        acknowledgement = self.acknowledgements.get(node)
        return NOTHING_ACKNOWLEDGED if acknowledgement is None else acknowledgement.revision

    def is_reachable(self, now, node):
        """Returns whether a message from the node was received within the last lease."""
        acknowledgement = self.acknowledgements.get(node)
        return acknowledgement is not None and now < acknowledgement.received_at + self.settings.lease

    def present_nodes(self, plan):
        """Returns the nodes that the plan does not list as absent."""
        return [node for node in range(self.node_count) if node not in plan.absent_nodes]

    def collect_evidence(self, now, rollout, reachable_voters, voters):
        """Returns the evidence from all observations of this node."""
        endpoints = self.endpoints.healthy()
        recent_endpoints = self.endpoints.recent(now, self.settings.idempotency_window)
        evidence = Evidence(
            losses=unplanned_losses(rollout, endpoints),
            endpoints=tuple(endpoints),
            recent_endpoints=frozenset(recent_endpoints),
            idempotency_groups=self.settings.idempotency_groups,
            reachable_voters=tuple(reachable_voters),
            voters=tuple(voters),
            incarnations=self._incarnations(),
        )
        return self._add_machines_evidence(evidence, now, rollout)

    def _add_machines_evidence(self, evidence, now, rollout):
        """Returns the evidence with the observations about each machine of the plan added."""
        acknowledged = min(
            (self.acknowledged_revision(node) for node in self.present_nodes(rollout.plan)),
            default=rollout.revision,
        )
        announced = min(status.number for status in rollout.machines.values())
        drained = set()
        restarted = set()
        warmed_up = set()
        overdue = set()
        for name, status in rollout.machines.items():
            key = StatusKey(name, status.number)
            # A status that arrived while this node was down or did not vote counts as received now.
            received_at = self._revision_received_at.setdefault(status.number, now)
            if self._is_drained(now, name, status, received_at, acknowledged):
                drained.add(key)
            if self._has_restarted(now, name, status, rollout.plan):
                restarted.add(key)
            if status.state == MachineState.BACK and self.is_warmed_up(now, key):
                warmed_up.add(key)
            if self._is_overdue(now, status, received_at, rollout.plan):
                overdue.add(key)
        return replace(
            evidence,
            plan_is_known=acknowledged >= announced,
            drained=frozenset(drained),
            restarted=frozenset(restarted),
            warmed_up=frozenset(warmed_up),
            overdue=frozenset(overdue),
        )

    def _is_drained(self, now, name, status, received_at, acknowledged):
        """Returns whether a leaving machine is drained.

        An executor is drained once all nodes have acknowledged its status, or once every lease that an
        unresponsive node may hold has expired and the drain grace for its attempts has passed. A node
        receives no attempts, so it is drained at once.
        """
        if status.state != MachineState.LEAVING:
            return False
        if is_node(name) or acknowledged >= status.number:
            return True
        return now >= received_at + self.settings.lease_bound() + self.settings.drain_grace

    def _has_restarted(self, now, name, status, plan):
        """Returns whether the process of a machine that is out has restarted, which ends the work on it."""
        if status.state not in (MachineState.FREE, MachineState.FAILED):
            return False
        if is_node(name):
            node = node_of(name)
            return self.is_reachable(now, node) and self.acknowledgements[node].process != status.incarnation
        if plan.return_signal != ReturnSignal.ENDPOINT_LIST:
            return False
        listed = self.endpoints.find_healthy(name)
        return listed is not None and listed.started > status.incarnation

    def is_warmed_up(self, now, key):
        """Returns whether a machine that is back has been healthy for the warm-up time.

        The time is measured by this node's clock in this process: the clocks of other nodes, or of this node
        before a restart, may differ. A node needs no warm-up: it only has to be reachable.
        """
        if is_node(key.name):
            return self.is_reachable(now, node_of(key.name))
        if self.endpoints.find_healthy(key.name) is None:
            self._healthy_since.pop(key, None)
            return False
        healthy_since = self._healthy_since.setdefault(key, now)
        return now >= healthy_since + self.settings.warm_up_time * (1 + self.settings.drift)

    def _is_overdue(self, now, status, received_at, plan):
        """Returns whether the work on a machine, including its warm-up, takes longer than planned."""
        if status.state not in (MachineState.FREE, MachineState.BACK):
            return False
        warm_up_time = self.settings.warm_up_time if status.state == MachineState.BACK else 0
        max_work = plan.max_work + warm_up_time
        return now >= received_at + max_work * (1 + self.settings.drift)

    def _incarnations(self):
        """Returns the current start of each machine's process, by name."""
        nodes = {node_name(node): known.process for node, known in self.acknowledgements.items()}
        executors = {name: listed.started for name, listed in self.endpoints.listed.items()}
        return nodes | executors


def unplanned_losses(rollout, endpoints):
    """Returns the losses of executors since the plan was made, except those that the plan has taken out."""
    plan = rollout.plan
    out = {*rollout.machines_in(COUNTED_AS_OUT)}
    present = [endpoint for endpoint in endpoints if endpoint.name not in out]
    planned = [plan.machines[name] for name in out if not is_node(name)]
    by_zone = _missing(plan.zone_counts, count_by(present, "zone"), count_by(planned, "zone"))
    by_kind = _missing(plan.kind_counts, count_by(present, "kind"), count_by(planned, "kind"))
    return UnplannedLosses(by_zone, by_kind, total=sum(by_zone.values()))


def _missing(expected, present, planned):
    """Returns the number of missing executors in each group, excluding those that the plan has taken out."""
    return {
        group: max(count - present.get(group, 0) - planned.get(group, 0), 0)
        for group, count in expected.items()
    }
