"""The driver: the voter that advances the rollout, based on what it has observed. No I/O."""

from grebedyke.maintenance import progress
from grebedyke.maintenance.rollout import CONSENSUS_KEY, MachineState, RolloutPhase

# Number of times per lease that the driver checks for progress.
CHECKS_PER_LEASE = 20
# Timeout of the driver's proposals, in leases.
PROPOSAL_TIMEOUT_LEASES = 2


class Driver:
    """Proposes the next revision while this node is the first reachable voter.

    Two drivers at the same time are safe: a proposal is applied to the value that was accepted last, and each
    piece of evidence identifies the status that it refers to.

    Attributes:
        consensus: The node's consensus component.
        observations: The `Observations` of this node.
        lease: Duration of a lease, in ticks.
    """

    def __init__(self, consensus, observations, lease):
        self.consensus = consensus
        self.observations = observations
        self.lease = lease
        self._proposal_is_pending = False
        self._last_check_at = 0

    def has_work(self, rollout):
        """Returns whether a plan is in force and this node votes, which makes it a possible driver."""
        return rollout.plan is not None and self.consensus.is_voting()

    def drive(self, now, rollout):
        """Proposes the next revision if this node is the driver and its evidence allows progress."""
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
            lambda fields: (progress.advance_wire_form(fields, evidence), True),
            self._proposal_ended,
            PROPOSAL_TIMEOUT_LEASES * self.lease,
        )

    @property
    def check_interval(self):
        """Time between two checks for progress, in ticks."""
        return self.lease // CHECKS_PER_LEASE

    def _proposal_ended(self, now, result):
        """Makes the next check due immediately; the rollout shows whether the proposal was chosen."""
        self._proposal_is_pending = False
        self._last_check_at = 0

    def _reachable_voters(self, now):
        """Returns the reachable voters, including this node."""
        return [
            voter
            for voter in self.consensus.members
            if voter == self.consensus.node_id or self.observations.is_reachable(now, voter)
        ]

    def unacknowledged_nodes(self, rollout):
        """Returns the nodes whose acknowledgement the rollout waits for, as known to this voter."""
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
