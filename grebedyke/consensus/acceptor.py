"""The acceptor: a member's promises and accepted values, and the state it has recorded of the other members.

Each key is a single-value register without a log (CASPaxos, Rystsov 2018). A member that has lost its state
votes again only under a new incarnation. Each vote carries the incarnations of the other members that the
voter knows, and a proposer discards votes of an incarnation that another vote shows to be superseded (the
crash vectors of Michael et al., "Recovering Shared Objects Without Stable Storage", DISC 2017).
"""

from enum import StrEnum
from typing import NamedTuple

from grebedyke.consensus import messages
from grebedyke.consensus.ballots import EMPTY_REGISTER, NO_BALLOT, NO_INCARNATION, Register, supersedes
from grebedyke.consensus.voting_messages import RefusalReason


class MemberPhase(StrEnum):
    """The phase of a member. Its values are stored, sent and logged as written here."""

    OUT = "out"
    """The node is not a member."""
    FOUNDING = "founding"
    """The members are starting for the first time."""
    CHECKING = "checking"
    """The record is intact; the other members are asked whether it is the newest."""
    FORGOTTEN = "forgotten"
    """The record is lost, corrupt or an older copy."""
    VOTING = "voting"
    """The member votes."""


class Answer(NamedTuple):
    """An acceptor's answer to a message.

    Attributes:
        message: The reply to send.
        needs_persisting: Whether the acceptor's state must be on disk before the reply is sent.
    """

    message: NamedTuple
    needs_persisting: bool


def consistent_votes(votes, quorum_size):
    """Returns the valid votes if they form a quorum, else None.

    A vote is invalid if another voter knows a later incarnation of the same member: the member has lost the
    state that the vote was based on.

    Args:
        votes: The `Promise` or `Accepted` of each voter.
        quorum_size: The number of votes required.

    >>> from grebedyke.consensus.ballots import Incarnation
    >>> def vote(incarnation, others):
    ...     return messages.Accepted("key", NO_BALLOT, incarnation, others, 0)
    >>> first = vote(Incarnation(1, 5), {2: Incarnation(1, 6)})
    >>> first_again = vote(Incarnation(2, 7), {})
    >>> second = vote(Incarnation(1, 6), {1: Incarnation(2, 7)})
    >>> consistent_votes({1: first, 2: second}, 2)
    >>> sorted(consistent_votes({1: first_again, 2: second}, 2))
    [1, 2]
    """

    def is_superseded(voter, vote):
        """Returns whether another vote carries a later incarnation of the voter."""
        return any(
            supersedes(other.incarnations.get(voter, NO_INCARNATION), vote.incarnation)
            for other in votes.values()
        )

    current = {voter: vote for voter, vote in votes.items() if not is_superseded(voter, vote)}
    return current if len(current) >= quorum_size else None


class Acceptor:
    """The state on which a member's votes are based; all of it is stored in one record.

    Attributes:
        node_id: This node's number.
        phase: The member's phase.
        incarnation: The member's own incarnation.
        vote_count: Increases with each vote. The other members record it, so that an older copy of this
            member's record can be detected.
        incarnations: The known incarnations of the other members, by node.
        vote_counts: The known vote counts of the other members, by node.
        epoch: Number of the newest known set of members; 0 before the founding.
        members: The voters of that epoch, at epoch 0 the founders.
        registers: The promised and accepted state of each key.
    """

    def __init__(self, node_id, founders):
        self.node_id = node_id
        self.phase = MemberPhase.OUT
        self.incarnation = NO_INCARNATION
        self.vote_count = 0
        self.incarnations = {}
        self.vote_counts = {}
        self.epoch = 0
        self.members = list(founders)
        self.registers = {}

    def quorum_size(self):
        """Returns the number of members that form a majority."""
        return len(self.members) // 2 + 1

    def other_members(self):
        """Returns all members except this one."""
        return [node for node in self.members if node != self.node_id]

    def is_voting(self):
        """Returns whether this node is a member in the voting phase."""
        return self.phase == MemberPhase.VOTING and self.node_id in self.members

    def register(self, key):
        """Returns the register of a key; it is created empty if missing."""
        return self.registers.setdefault(key, EMPTY_REGISTER)

    # Members.

    def adopt_members(self, epoch, members):
        """Adopts a chosen set of members; returns whether it is newer than the known one."""
        if epoch <= self.epoch:
            return False
        self.epoch = epoch
        self.members = list(members)
        return True

    def record_member(self, node, incarnation, vote_count=0):
        """Records the incarnation and vote count of another member; returns whether they are newer."""
        known = self.incarnations.get(node, NO_INCARNATION)
        if incarnation.number > known.number:
            self.incarnations[node] = incarnation
            self.vote_counts[node] = vote_count
            return True
        if incarnation == known and vote_count > self.vote_counts.get(node, 0):
            self.vote_counts[node] = vote_count
            return True
        return False

    # Votes.

    def prepare(self, request):
        """Answers a `Prepare` with a promise or a refusal."""
        refusal = self._refuse(request)
        if refusal:
            return refusal
        register = self.register(request.key)
        if request.ballot < register.promised:
            return self._refusal(request, RefusalReason.PROMISED, register.promised)
        if request.ballot > register.promised:
            self.registers[request.key] = register._replace(promised=request.ballot)
            self.vote_count += 1
        promise = messages.Promise(
            request.key,
            request.ballot,
            self.incarnation,
            dict(self.incarnations),
            register.accepted,
            register.value,
        )
        return Answer(promise, needs_persisting=True)

    def accept(self, request):
        """Answers an `AcceptRequest` with an acceptance or a refusal."""
        refusal = self._refuse(request)
        if refusal:
            return refusal
        register = self.register(request.key)
        if request.ballot < register.promised:
            return self._refusal(request, RefusalReason.PROMISED, register.promised)
        if request.ballot > register.accepted:
            self.registers[request.key] = Register(request.ballot, request.ballot, request.value)
            self.vote_count += 1
        accepted = messages.Accepted(
            request.key, request.ballot, self.incarnation, dict(self.incarnations), self.vote_count
        )
        return Answer(accepted, needs_persisting=True)

    def _refuse(self, request):
        """Returns the refusal of a request for a reason other than its ballot, else None."""
        if self.phase != MemberPhase.VOTING:
            return self._refusal(request, RefusalReason.NOT_VOTING)
        if request.epoch < self.epoch:
            return self._refusal(request, RefusalReason.OLD_EPOCH)
        self.adopt_members(request.epoch, request.members)
        if self.node_id not in self.members:
            return self._refusal(request, RefusalReason.NOT_A_MEMBER)
        return None

    def _refusal(self, request, reason, promised=NO_BALLOT):
        refusal = messages.Refusal(request.key, request.ballot, reason, promised, self.epoch, self.members)
        return Answer(refusal, needs_persisting=False)

    def learn(self, key, ballot, value):
        """Stores a chosen value; returns whether it is newer. A promise of a higher ballot is kept."""
        register = self.register(key)
        if ballot <= register.accepted:
            return False
        self.registers[key] = Register(max(register.promised, ballot), ballot, value)
        return True

    # Rejoining.

    def status(self, node):
        """Returns this member's `Status`, including the state it has recorded of `node`."""
        return messages.Status(
            self.phase,
            self.incarnation,
            self.incarnations.get(node, NO_INCARNATION),
            self.vote_counts.get(node, 0),
            self.epoch,
            self.members,
        )

    def admit(self, node, incarnation):
        """Answers a rejoin request with a `RejoinState`, or with a `Status` if it is refused."""
        known = self.incarnations.get(node, NO_INCARNATION)
        if self.phase != MemberPhase.VOTING or supersedes(known, incarnation):
            return Answer(self.status(node), needs_persisting=False)
        self.record_member(node, incarnation)
        state = messages.RejoinState(
            incarnation,
            self.incarnation,
            self.incarnations,
            self.epoch,
            self.members,
            self.registers,
            self.vote_count,
            self.vote_counts,
        )
        return Answer(state, needs_persisting=True)

    def merge(self, states):
        """Merges the `RejoinState` of a quorum of other members, by node.

        The result covers at least what this member had promised and accepted; docs/agreement.md explains why.
        """
        self.registers = {}
        for sender, state in states.items():
            self._merge_members(sender, state)
            for key, register in state.registers.items():
                self._merge_register(key, register)

    def _merge_members(self, sender, state):
        # Vote counts are merged too. Otherwise a member that has rejoined would not know the others' counts,
        # and would accept an older copy of another member's record as the newest.
        self.record_member(sender, state.incarnation, state.vote_count)
        for node, incarnation in state.incarnations.items():
            if node != self.node_id:
                self.record_member(node, incarnation, state.vote_counts.get(node, 0))
        self.adopt_members(state.epoch, state.members)

    def _merge_register(self, key, other):
        own = self.register(key)
        own = own._replace(promised=max(own.promised, other.promised, other.accepted))
        if other.accepted > own.accepted:
            own = own._replace(accepted=other.accepted, value=other.value)
        self.registers[key] = own
