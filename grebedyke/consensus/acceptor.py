"""A member's vote: what it has promised and accepted, and what it remembers of the other members.

Single-value registers without a log (CASPaxos, Rystsov 2018), one for each key. A member that has forgotten
counts again only under a new incarnation: each vote says which incarnations of the others the voter knows,
and whoever counts a majority leaves out a vote of an incarnation that another voter knows to be past (the
crash vectors of Michael et al., "Recovering Shared Objects Without Stable Storage", DISC 2017).
"""

from enum import StrEnum
from typing import NamedTuple

from grebedyke.consensus import messages
from grebedyke.consensus.ballots import EMPTY_REGISTER, NO_BALLOT, NO_INCARNATION, Register, supersedes
from grebedyke.consensus.voting_messages import RefusalReason


class MemberPhase(StrEnum):
    """Where a member stands; only a voting member votes. On disk, on the wire and in the log as they are."""

    OUT = "out"
    """It is no member."""
    FOUNDING = "founding"
    """The first start of all members."""
    CHECKING = "checking"
    """Its record is intact; the others are asked whether it is the newest."""
    FORGOTTEN = "forgotten"
    """Its record is lost, corrupt or an older copy."""
    VOTING = "voting"


class Answer(NamedTuple):
    """An acceptor's answer to a message.

    Attributes:
        message: What is sent back.
        needs_persisting: Whether the acceptor's state must be on disk before it is sent.
    """

    message: NamedTuple
    needs_persisting: bool


def consistent_votes(votes, quorum_size):
    """Returns the votes that count together, None where they are no quorum.

    A vote does not count if another voter knows its incarnation to be past: its member has forgotten it.

    Args:
        votes: By voter, its `Promise` or `Accepted`.
        quorum_size: How many votes are enough.

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

    def is_past(voter, vote):
        """Returns whether another vote knows of a later incarnation of the voter."""
        return any(
            supersedes(other.incarnations.get(voter, NO_INCARNATION), vote.incarnation)
            for other in votes.values()
        )

    current = {voter: vote for voter, vote in votes.items() if not is_past(voter, vote)}
    return current if len(current) >= quorum_size else None


class Acceptor:
    """The state that a member votes by, all of it kept in one record.

    Attributes:
        node_id: This node's number.
        phase: Where this member stands.
        incarnation: The member's own.
        vote_count: Grows with each vote. The others remember it, so that an older copy of the record shows.
        incarnations: Those of the other members, by node.
        vote_counts: Those of the other members, by node.
        epoch: Number of the newest set of members that is known; 0 before the founding.
        members: That set, the voters.
        registers: By key, what was promised and accepted.
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
        """Returns how many members are a majority."""
        return len(self.members) // 2 + 1

    def other_members(self):
        """Returns all members but this one."""
        return [node for node in self.members if node != self.node_id]

    def is_voting(self):
        """Returns whether this node is a member that may vote."""
        return self.phase == MemberPhase.VOTING and self.node_id in self.members

    def register(self, key):
        """Returns what was promised and accepted for a key."""
        return self.registers.setdefault(key, EMPTY_REGISTER)

    # Members.

    def adopt_members(self, epoch, members):
        """Takes over members that were agreed on; returns whether they are news."""
        if epoch <= self.epoch:
            return False
        self.epoch = epoch
        self.members = list(members)
        return True

    def remember(self, node, incarnation, vote_count=0):
        """Notes how far another member is; returns whether that is news."""
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
        """Answers a `Prepare` by a promise or a refusal."""
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
        """Answers an `AcceptRequest` by accepting or refusing it."""
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
        """Returns the refusal of a proposer whose ballot does not matter, else None."""
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
        """Takes over a chosen value; returns whether it is news. A promise of a later ballot stands."""
        register = self.register(key)
        if ballot <= register.accepted:
            return False
        self.registers[key] = Register(max(register.promised, ballot), ballot, value)
        return True

    # Rejoining.

    def status(self, node):
        """Returns where this member stands, and what it remembers of `node`."""
        return messages.Status(
            self.phase,
            self.incarnation,
            self.incarnations.get(node, NO_INCARNATION),
            self.vote_counts.get(node, 0),
            self.epoch,
            self.members,
        )

    def admit(self, node, incarnation):
        """Answers a member that asks to rejoin: all that is known here, or the reason why not."""
        known = self.incarnations.get(node, NO_INCARNATION)
        if self.phase != MemberPhase.VOTING or supersedes(known, incarnation):
            return Answer(self.status(node), needs_persisting=False)
        self.remember(node, incarnation)
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
        """Takes over what a majority of the other members knows, a `RejoinState` by node.

        That is at least what this member had promised and accepted; the argument is in docs/agreement.md.
        """
        self.registers = {}
        for sender, state in states.items():
            self._merge_members(sender, state)
            for key, register in state.registers.items():
                self._merge_register(key, register)

    def _merge_members(self, sender, state):
        # The vote counts too: where two members forget one after the other, an older copy of the one's record
        # would pass for the newest as the other no longer knew its count.
        self.remember(sender, state.incarnation, state.vote_count)
        for node, incarnation in state.incarnations.items():
            if node != self.node_id:
                self.remember(node, incarnation, state.vote_counts.get(node, 0))
        self.adopt_members(state.epoch, state.members)

    def _merge_register(self, key, other):
        own = self.register(key)
        own = own._replace(promised=max(own.promised, other.promised, other.accepted))
        if other.accepted > own.accepted:
            own = own._replace(accepted=other.accepted, value=other.value)
        self.registers[key] = own
