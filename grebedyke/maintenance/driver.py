"""The driver: the voter that advances the rollout, by what it has seen of nodes and endpoints. No I/O."""

from grebedyke.maintenance import progress
from grebedyke.maintenance.rollout import CONSENSUS_KEY, MachineState, RolloutPhase

# How often within a lease the driver looks for progress.
CHECKS_PER_LEASE = 20
# For how many leases a proposal of the driver is pursued.
PROPOSAL_LEASES = 2


class Driver:
    """Proposes the next revision while this node is the first reachable voter.

    Two drivers at once do no harm: what they propose is applied to the value that was accepted last, by
    evidence that names the status that it is about.

    Attributes:
        consensus: The node's consensus component.
        observations: The `Observations` of this node.
        lease: How long a lease lasts, in ticks.
    """

    def __init__(self, consensus, observations, lease):
        self.consensus = consensus
        self.observations = observations
        self.lease = lease
        self._proposal_is_pending = False
        self._last_check_at = 0

    def has_work(self, rollout):
        """Returns whether a plan is in force and this node votes, so that it may have to drive it."""
        return rollout.plan is not None and self.consensus.is_voting()

    def drive(self, now, rollout):
        """Proposes the next revision if there is evidence for one and this node is the one to propose it."""
        if not self.has_work(rollout) or self._proposal_is_pending:
            return
        reachable_voters = self._reachable_voters(now)
        if now < self._last_check_at + self.check_interval or reachable_voters[0] != self.consensus.node_id:
            return
        self._last_check_at = now
        voters = self.consensus.members
        evidence = self.observations.collect_evidence(now, rollout, reachable_voters, voters)
        if progress.advance(rollout, evidence) is rollout:
            return
        self._proposal_is_pending = True
        self.consensus.propose(
            now,
            CONSENSUS_KEY,
            lambda fields: (progress.advance_value(fields, evidence), True),
            self._proposal_ended,
            PROPOSAL_LEASES * self.lease,
        )

    @property
    def check_interval(self):
        """How often the driver looks for progress, in ticks."""
        return self.lease // CHECKS_PER_LEASE

    def _proposal_ended(self, now, result):
        """Lets the next check come at once; whether this proposal was chosen shows in the rollout."""
        self._proposal_is_pending = False
        self._last_check_at = 0

    def _reachable_voters(self, now):
        """Returns the voters that can drive the rollout, this node among them."""
        return [
            voter
            for voter in self.consensus.members
            if voter == self.consensus.node_id or self.observations.is_reachable(now, voter)
        ]

    def unacknowledged_nodes(self, rollout):
        """Returns the nodes that the rollout waits for, as far as this voter has heard."""
        if not self.has_work(rollout):
            return []
        is_announced = rollout.phase == RolloutPhase.ANNOUNCED
        awaited_numbers = [
            status.number
            for status in rollout.machines.values()
            if is_announced or status.state == MachineState.LEAVING
        ]
        awaited = max(awaited_numbers, default=0)
        return [
            node
            for node in self.observations.present_nodes(rollout.plan)
            if self.observations.acknowledged_revision(node) < awaited
        ]
