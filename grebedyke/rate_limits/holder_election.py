"""Which node is the lease holder: elected through consensus, confirmed for a lease at a time. No I/O.

Consensus chooses the holder under a term that only grows. Since a holder may be cut off without knowing it,
it acts only while a majority of the voters has confirmed its place within the last lease. A voter confirms
until it has accepted a later holder, so that two holders are never certain of their place at once.
"""

from dataclasses import dataclass, field
from typing import NamedTuple

from grebedyke.rate_limits.messages import PlaceAnswer, PlaceRequest

REGISTER = "holder"


class LeaseHolderRecord(NamedTuple):
    """The chosen value of the register: who holds the limits.

    Attributes:
        term: Counts the holders.
        node: The holder's node.
        process: Tells that node's processes apart; after a restart it is no holder any more.
    """

    term: int
    node: int
    process: int


@dataclass(slots=True)
class PendingConfirmation:
    """A request for the confirmation of this node's place that is being answered.

    Attributes:
        sent_at: Tick at which it was sent.
        epoch: Epoch of the voters that were asked.
        confirmed_by: The voters that confirmed.
    """

    sent_at: int
    epoch: int
    confirmed_by: set[int] = field(default_factory=set)


def record_of(value):
    """Returns the `LeaseHolderRecord` of a value of the register, None where none was chosen yet."""
    return LeaseHolderRecord(value["term"], value["node"], value["process"]) if value else None


def term_of(value):
    """Returns the term of a value of the register, 0 where none was chosen yet."""
    return value["term"] if value else 0


class HolderElection:
    """One node's part in the election: as a voter, and as the holder.

    Attributes:
        next_renewal_at: Tick at which this node, as the holder, asks for confirmation again.
        became_holder_at: Tick at which this node learnt that it is the holder.
        confirmed_until: Tick until which a majority has confirmed this node's place.
    """

    def __init__(self, consensus, context):
        """Begins without a holder; `consensus` is the node's `Consensus`, `context` its `NodeContext`."""
        self._consensus = consensus
        self._node_id = context.node_id
        self._process = context.process
        self._lease = context.terms.lease
        self._request_numbers = context.request_numbers
        self._send = context.send
        self._holder_alive_at = 0
        self._is_proposing = False
        self._pending = {}
        self.confirmed_until = 0
        self.next_renewal_at = 0
        self.became_holder_at = 0

    # What is known of the holder.

    @property
    def holder(self):
        """The `LeaseHolderRecord` of the holder that this node knows, None where there is none."""
        return record_of(self._consensus.chosen_value(REGISTER))

    @property
    def term(self):
        """The term of the holder that this node knows, 0 where there is none."""
        return term_of(self._consensus.chosen_value(REGISTER))

    def is_holder(self):
        """Returns whether this process is the holder, as far as it knows."""
        value = self._consensus.chosen_value(REGISTER)
        return bool(value) and value["process"] == self._process

    def is_certain_holder(self, now):
        """Returns whether this process is the holder and no later one can have been chosen.

        A later one needs a majority that has refused this one since; then its place is not confirmed.
        """
        return self.is_holder() and now < self.confirmed_until

    # Events.

    def note_holder_alive(self, now):
        """Starts to count the time without a holder anew."""
        self._holder_alive_at = now

    def lose_place(self):
        """Another process is the holder."""
        self.confirmed_until = 0

    def take_place(self, now):
        """This process has become the holder; no voter has confirmed its place yet."""
        self.confirmed_until = 0
        self._pending = {}
        self.next_renewal_at = now
        self.became_holder_at = now

    def receive_place_request(self, now, sender, request):
        """Confirms the holder's place, as a voter that has not accepted a later holder."""
        consensus = self._consensus
        if not consensus.is_voting():
            return
        accepted_term = term_of(consensus.accepted_value(REGISTER))
        if accepted_term > request.term or request.epoch < consensus.epoch:
            consensus.send_chosen_value(now, sender, REGISTER)
        elif request.is_certain:
            self._holder_alive_at = now
        confirmed = accepted_term <= request.term and request.epoch == consensus.epoch
        self._send(sender, PlaceAnswer(request.number, confirmed, consensus.epoch, consensus.members))

    def receive_place_answer(self, now, sender, answer):
        """Counts a voter's confirmation; a majority confirms the place from when it was asked for."""
        consensus = self._consensus
        consensus.adopt_members(now, int(answer.epoch), [int(member) for member in answer.members])
        pending = self._pending.get(answer.number)
        if pending is None or not answer.confirmed or not self.is_holder():
            return
        if not pending.epoch == answer.epoch == consensus.epoch:
            return
        pending.confirmed_by.add(sender)
        if len(pending.confirmed_by & {*consensus.members}) >= consensus.quorum_size():
            self.confirmed_until = max(self.confirmed_until, pending.sent_at + self._lease)

    # What this node does by itself.

    def propose_if_due(self, now):
        """Proposes this process as the holder, as a voter that has heard of none for too long.

        Voters wait the longer the later they are among the members, so that the first one is alone.
        """
        consensus = self._consensus
        if not consensus.is_voting() or self._is_proposing or self.is_holder():
            return
        rank = consensus.members.index(self._node_id)
        patience = self._lease * (2 + rank) if self.holder else self._lease * (rank + 1) // 4
        if now < self._holder_alive_at + patience:
            return
        self._is_proposing = True
        known_term = self.term
        own_record = LeaseHolderRecord(known_term + 1, self._node_id, self._process)

        def become_holder(value):
            """Returns this process's record, unless the term has moved on meanwhile."""
            # Where another process has been chosen meanwhile, it stays.
            if term_of(value) == known_term:
                return own_record._asdict(), True
            return value, False

        consensus.propose(now, REGISTER, become_holder, self._proposal_ended, 2 * self._lease)

    def renew_if_due(self, now):
        """Asks the voters to confirm this node's place, as the holder, four times a lease."""
        if not self.is_holder() or now < self.next_renewal_at:
            return
        self.next_renewal_at = now + self._lease // 4
        number = next(self._request_numbers)
        epoch = self._consensus.epoch
        self._pending[number] = PendingConfirmation(now, epoch)
        self._pending = {
            other: pending for other, pending in self._pending.items() if now < pending.sent_at + self._lease
        }
        # Guards against a holder that can send but receives no majority: as a sign of life its requests would
        # keep the voters from choosing another one for ever. A new holder has a lease to be confirmed first.
        is_certain = self.is_certain_holder(now) or now < self.became_holder_at + self._lease
        request = PlaceRequest(number, self.term, is_certain, epoch)
        for voter in self._consensus.members:
            self._send(voter, request)

    def _proposal_ended(self, now, result):
        self._is_proposing = False
        self._holder_alive_at = now
