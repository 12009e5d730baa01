"""The driver: the voter that advances the rollout, by what it has seen of nodes and endpoints. No I/O."""

from dataclasses import replace
from typing import NamedTuple

from grebedyke.maintenance import progress
from grebedyke.maintenance.plan import ReturnSignal, count_by, is_node, node_name, node_of
from grebedyke.maintenance.progress import Evidence, UnplannedLosses
from grebedyke.maintenance.rollout import (
    CONSENSUS_KEY,
    COUNTED_AS_OUT,
    MachineState,
    Rollout,
    RolloutPhase,
    StatusKey,
)

# How often within a lease the driver looks for progress.
CHECKS_PER_LEASE = 20
# For how many leases a proposal of the driver is pursued.
PROPOSAL_LEASES = 2
# Of how many past revisions it is kept when they were first seen.
REVISIONS_KEPT = 512


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


class Driver:
    """Collects evidence and proposes the next revision while this node is the first reachable voter.

    Two drivers at once do no harm: what they propose is applied to the value that was accepted last, by
    evidence that names the status that it is about.

    Attributes:
        consensus: The node's consensus component.
        node_count: How many nodes the fleet has.
        settings: The `MaintenanceSettings`.
        endpoints: The `EndpointList`.
        acknowledgements: What each node last said of itself, by node.
    """

    def __init__(self, consensus, node_count, settings, endpoints):
        self.consensus = consensus
        self.node_count = node_count
        self.settings = settings
        self.endpoints = endpoints
        self.acknowledgements: dict[int, Acknowledgement] = {}
        # When this node first saw each revision; by its own clock, as the lease bound counts from then.
        self._revision_seen_at: dict[int, int] = {}
        self._healthy_since: dict[StatusKey, int] = {}
        self._proposal_is_pending = False
        self._last_check_at = 0

    def record_revision(self, now, newest):
        """Notes when a revision, the newest so far, was first seen."""
        self._revision_seen_at.setdefault(newest, now)
        self._revision_seen_at = {
            revision: seen_at
            for revision, seen_at in self._revision_seen_at.items()
            if revision > newest - REVISIONS_KEPT
        }

    def record_acknowledgement(self, now, node, revision, process):
        """Takes over what a node says of itself."""
        self.acknowledgements[node] = Acknowledgement(revision, process, now)

    def has_work(self, rollout):
        """Returns whether a plan is in force and this node votes, so that it may have to drive it."""
        return rollout.plan is not None and self.consensus.is_voting()

    def drive(self, now, rollout):
        """Proposes the next revision if there is evidence for one and this node is the one to propose it."""
        if not self.has_work(rollout) or self._proposal_is_pending:
            return
        reachable_voters = self._reachable_voters(now)
        due_at = self._last_check_at + self.settings.lease // CHECKS_PER_LEASE
        if now < due_at or reachable_voters[0] != self.consensus.node_id:
            return
        self._last_check_at = now
        evidence = self._collect_evidence(now, rollout, reachable_voters)
        if progress.advance(rollout, evidence) is rollout:
            return
        self._proposal_is_pending = True

        def change(fields):
            before = Rollout.decode(fields)
            after = progress.advance(before, evidence)
            return (fields if after is before else after.encode()), True

        self.consensus.propose(
            now, CONSENSUS_KEY, change, self._proposal_ended, PROPOSAL_LEASES * self.settings.lease
        )

    def _proposal_ended(self, now, result):
        """Lets the next check come at once; whether this proposal was chosen shows in the rollout."""
        self._proposal_is_pending = False
        self._last_check_at = 0

    def unacknowledged_nodes(self, rollout):
        """Returns the nodes that the rollout waits for, as far as this voter has heard."""
        if not self.has_work(rollout):
            return []
        is_announced = rollout.phase == RolloutPhase.ANNOUNCED
        awaited = max(
            (
                status.number
                for status in rollout.machines.values()
                if status.state == MachineState.LEAVING or is_announced
            ),
            default=0,
        )
        return [
            node for node in self._present_nodes(rollout.plan) if self._acknowledged_revision(node) < awaited
        ]

    def _present_nodes(self, plan):
        """Returns the nodes that the plan does not name as absent."""
        return [node for node in range(self.node_count) if node not in plan.absent_nodes]

    def _acknowledged_revision(self, node):
        """Returns the revision that the node has acknowledged, -1 where it has not been heard from."""
        acknowledgement = self.acknowledgements.get(node)
        return -1 if acknowledgement is None else acknowledgement.revision

    def _is_reachable(self, now, node):
        """Returns whether the node was heard from within a lease."""
        acknowledgement = self.acknowledgements.get(node)
        return acknowledgement is not None and now < acknowledgement.received_at + self.settings.lease

    def _reachable_voters(self, now):
        """Returns the voters that can drive the rollout, this node among them."""
        return [
            voter
            for voter in self.consensus.members
            if voter == self.consensus.node_id or self._is_reachable(now, voter)
        ]

    def _collect_evidence(self, now, rollout, reachable_voters):
        """Returns all that this node has seen."""
        endpoints = self.endpoints.healthy()
        recent_endpoints = self.endpoints.seen_for_less_than(now, self.settings.idempotency_window)
        evidence = Evidence(
            losses=unplanned_losses(rollout, endpoints),
            endpoints=tuple(endpoints),
            recent_endpoints=frozenset(recent_endpoints),
            idempotency_groups=self.settings.idempotency_groups,
            reachable_voters=tuple(reachable_voters),
            voters=tuple(self.consensus.members),
            incarnations=self._incarnations(),
        )
        return self._add_machines_evidence(evidence, now, rollout)

    def _add_machines_evidence(self, evidence, now, rollout):
        """Returns the evidence with what was seen of each machine of the plan."""
        acknowledged = min(
            (self._acknowledged_revision(node) for node in self._present_nodes(rollout.plan)),
            default=rollout.revision,
        )
        announced = min(status.number for status in rollout.machines.values())
        clear = set()
        restarted = set()
        warmed_up = set()
        overdue = set()
        for name, status in rollout.machines.items():
            key = StatusKey(name, status.number)
            seen_at = self._revision_seen_at.setdefault(status.number, now)
            if self._is_clear(now, name, status, seen_at, acknowledged):
                clear.add(key)
            if self._has_restarted(now, name, status, rollout.plan):
                restarted.add(key)
            if status.state == MachineState.BACK and self._is_warmed_up(now, key):
                warmed_up.add(key)
            if self._is_overdue(now, status, seen_at, rollout.plan):
                overdue.add(key)
        return replace(
            evidence,
            plan_is_known=acknowledged >= announced,
            clear=frozenset(clear),
            restarted=frozenset(restarted),
            warmed_up=frozenset(warmed_up),
            overdue=frozenset(overdue),
        )

    def _is_clear(self, now, name, status, seen_at, acknowledged):
        """Returns whether no node sends to a machine that leaves any more.

        Either all nodes say so, or each lease that a silent node may hold has ended and its attempts, too.
        """
        if status.state != MachineState.LEAVING:
            return False
        if is_node(name) or acknowledged >= status.number:
            return True
        return now >= seen_at + self.settings.lease_bound() + self.settings.drain_grace

    def _has_restarted(self, now, name, status, plan):
        """Returns whether a machine that is out shows by a new start that the work on it is over."""
        if status.state not in (MachineState.FREE, MachineState.FAILED):
            return False
        if is_node(name):
            node = node_of(name)
            return self._is_reachable(now, node) and self.acknowledgements[node].process != status.incarnation
        if plan.return_signal != ReturnSignal.ENDPOINT_LIST:
            return False
        listed = self.endpoints.find_healthy(name)
        return listed is not None and listed.started > status.incarnation

    def _is_warmed_up(self, now, key):
        """Returns whether a machine that is back has been healthy for the warm-up time.

        Only what this node has seen by its own clock counts: another's clock, or its own before a restart,
        need not agree with it.
        """
        if is_node(key.name):
            return self._is_reachable(now, node_of(key.name))
        if self.endpoints.find_healthy(key.name) is None:
            self._healthy_since.pop(key, None)
            return False
        healthy_since = self._healthy_since.setdefault(key, now)
        return now >= healthy_since + self.settings.warm_up_time * (1 + self.settings.drift)

    def _is_overdue(self, now, status, seen_at, plan):
        """Returns whether the work on a machine takes longer than planned, its warming up included."""
        if status.state not in (MachineState.FREE, MachineState.BACK):
            return False
        warm_up_time = self.settings.warm_up_time if status.state == MachineState.BACK else 0
        max_work = plan.max_work + warm_up_time
        return now >= seen_at + max_work * (1 + self.settings.drift)

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

    def losses(expected_counts, attribute):
        present_counts = count_by(present, attribute)
        planned_counts = count_by(planned, attribute)
        return {
            group: max(expected - present_counts.get(group, 0) - planned_counts.get(group, 0), 0)
            for group, expected in expected_counts.items()
        }

    by_zone = losses(plan.zone_counts, "zone")
    by_kind = losses(plan.kind_counts, "kind")
    return UnplannedLosses(by_zone, by_kind, total=sum(by_zone.values()))
