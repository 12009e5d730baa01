"""What this node sees of nodes and endpoints while it votes, and the evidence that it makes of it. No I/O."""

from dataclasses import replace
from typing import NamedTuple

from grebedyke.maintenance.evidence import Evidence, UnplannedLosses
from grebedyke.maintenance.plan import ReturnSignal, count_by, is_node, node_name, node_of
from grebedyke.maintenance.rollout import COUNTED_AS_OUT, MachineState, StatusKey

# Of how many past revisions it is kept when they came.
REVISIONS_KEPT = 512
# The acknowledged revision of a node that has not been heard from.
NOTHING_ACKNOWLEDGED = -1


class Acknowledgement(NamedTuple):
    """What a node last said of itself.

    Attributes:
        revision: Up to there it has the rollout on its disk, and no attempt in flight at what is out.
        process: The number of its process.
        received_at: When that came, in ticks of this node's clock.
    """

    revision: int
    process: int
    received_at: int


class Observations:
    """What this node has seen, by its own clock: no other clock need agree with it.

    Attributes:
        node_count: How many nodes the fleet has.
        settings: The `MaintenanceSettings`.
        endpoints: The `KnownEndpoints`.
        acknowledgements: What each node last said of itself, by node.
    """

    def __init__(self, node_count, settings, endpoints):
        self.node_count = node_count
        self.settings = settings
        self.endpoints = endpoints
        self.acknowledgements: dict[int, Acknowledgement] = {}
        self._revision_received_at: dict[int, int] = {}
        self._healthy_since: dict[StatusKey, int] = {}

    def record_acknowledgement(self, now, node, revision, process):
        """Takes over what a node says of itself."""
        self.acknowledgements[node] = Acknowledgement(revision, process, now)

    def record_revision(self, now, newest):
        """Notes when a revision, the newest so far, came."""
        self._revision_received_at.setdefault(newest, now)
        self._revision_received_at = {
            revision: received_at
            for revision, received_at in self._revision_received_at.items()
            if revision > newest - REVISIONS_KEPT
        }

    def acknowledged_revision(self, node):
        """Returns the revision that the node has acknowledged."""
        acknowledgement = self.acknowledgements.get(node)
        return NOTHING_ACKNOWLEDGED if acknowledgement is None else acknowledgement.revision

    def is_reachable(self, now, node):
        """Returns whether the node was heard from within a lease."""
        acknowledgement = self.acknowledgements.get(node)
        return acknowledgement is not None and now < acknowledgement.received_at + self.settings.lease

    def present_nodes(self, plan):
        """Returns the nodes that the plan does not name as absent."""
        return [node for node in range(self.node_count) if node not in plan.absent_nodes]

    def collect_evidence(self, now, rollout, reachable_voters, voters):
        """Returns all that this node has seen."""
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
        """Returns the evidence with what was seen of each machine of the plan."""
        acknowledged = min(
            (self.acknowledged_revision(node) for node in self.present_nodes(rollout.plan)),
            default=rollout.revision,
        )
        announced = min(status.number for status in rollout.machines.values())
        clear = set()
        restarted = set()
        warmed_up = set()
        overdue = set()
        for name, status in rollout.machines.items():
            key = StatusKey(name, status.number)
            # A status that came while this node was down, or did not vote, counts from this check on.
            received_at = self._revision_received_at.setdefault(status.number, now)
            if self._is_clear(now, name, status, received_at, acknowledged):
                clear.add(key)
            if self._has_restarted(now, name, status, rollout.plan):
                restarted.add(key)
            if status.state == MachineState.BACK and self.is_warmed_up(now, key):
                warmed_up.add(key)
            if self._is_overdue(now, status, received_at, rollout.plan):
                overdue.add(key)
        return replace(
            evidence,
            plan_is_known=acknowledged >= announced,
            clear=frozenset(clear),
            restarted=frozenset(restarted),
            warmed_up=frozenset(warmed_up),
            overdue=frozenset(overdue),
        )

    def _is_clear(self, now, name, status, received_at, acknowledged):
        """Returns whether no node sends to a machine that leaves any more.

        Either all nodes say so, or each lease that a silent node may hold has ended and its attempts, too.
        """
        if status.state != MachineState.LEAVING:
            return False
        if is_node(name) or acknowledged >= status.number:
            return True
        return now >= received_at + self.settings.lease_bound() + self.settings.drain_grace

    def _has_restarted(self, now, name, status, plan):
        """Returns whether a machine that is out shows by a new start that the work on it is over."""
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

        Only what this node has seen by its own clock counts: another's clock, or its own before a restart,
        need not agree with it.
        """
        if is_node(key.name):
            return self.is_reachable(now, node_of(key.name))
        if self.endpoints.find_healthy(key.name) is None:
            self._healthy_since.pop(key, None)
            return False
        healthy_since = self._healthy_since.setdefault(key, now)
        return now >= healthy_since + self.settings.warm_up_time * (1 + self.settings.drift)

    def _is_overdue(self, now, status, received_at, plan):
        """Returns whether the work on a machine takes longer than planned, its warming up included."""
        if status.state not in (MachineState.FREE, MachineState.BACK):
            return False
        warm_up_time = self.settings.warm_up_time if status.state == MachineState.BACK else 0
        max_work = plan.max_work + warm_up_time
        return now >= received_at + max_work * (1 + self.settings.drift)

    def _incarnations(self):
        """Returns the present start of each machine's process, by name."""
        nodes = {node_name(node): known.process for node, known in self.acknowledgements.items()}
        executors = {name: listed.started for name, listed in self.endpoints.listed.items()}
        return nodes | executors


def unplanned_losses(rollout, endpoints):
    """Returns the executors that have gone since the plan was made, those that it has out excepted."""
    plan = rollout.plan
    out = {*rollout.machines_in(COUNTED_AS_OUT)}
    present = [endpoint for endpoint in endpoints if endpoint.name not in out]
    planned = [plan.machines[name] for name in out if not is_node(name)]
    by_zone = _missing(plan.zone_counts, count_by(present, "zone"), count_by(planned, "zone"))
    by_kind = _missing(plan.kind_counts, count_by(present, "kind"), count_by(planned, "kind"))
    return UnplannedLosses(by_zone, by_kind, total=sum(by_zone.values()))


def _missing(expected, present, planned):
    """Returns how many executors are missing in each group, those that are out by the plan not counted."""
    return {
        group: max(count - present.get(group, 0) - planned.get(group, 0), 0)
        for group, count in expected.items()
    }
