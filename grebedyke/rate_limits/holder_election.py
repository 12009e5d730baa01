"""Election of the lease holder through consensus, and renewal of its role by the voters. No I/O.

Consensus chooses the holder, with a term that only increases. As a holder may be disconnected without
noticing it, it acts only while a majority of the voters has confirmed it within the last lease. A voter stops
confirming a holder once it has accepted a later one, so two holders are never confirmed at the same time.
"""

from dataclasses import dataclass, field
from typing import NamedTuple

from grebedyke.rate_limits.messages import RenewalAnswer, RenewalRequest

REGISTER = "holder"


class LeaseHolderRecord(NamedTuple):
    """The value of the register: the current lease holder.

    Attributes:
        term: Increases by one with each new holder.
        node: The holder's node.
        process: Number of the holder's process; a process started after a restart is not the holder.
    """

    term: int
    node: int
    process: int


@dataclass(slots=True)
class PendingRenewal:
    """A renewal request of this holder that voters may still confirm.

    Attributes:
        sent_at: Tick at which it was sent.
        epoch: Epoch of the voters to which it was sent.
        confirmed_by: The voters that have confirmed it.
    """

    sent_at: int
    epoch: int
    confirmed_by: set[int] = field(default_factory=set)


def decode_record(value):
    """Returns the `LeaseHolderRecord` of a register value, or None if no value has been chosen yet."""
    return LeaseHolderRecord(value["term"], value["node"], value["process"]) if value else None


def term_of(value):
    """Returns the term of a register value, or 0 if no value has been chosen yet."""
    return value["term"] if value else 0


class HolderElection:
    """A node's role in the election, as a voter and as the holder.

    Attributes:
        next_renewal_at: Tick of the next renewal request, if this node is the holder.
        became_holder_at: Tick at which this node learned that it is the holder.
        confirmed_until: Tick until which a majority has confirmed this node as the holder.
    """

    def __init__(self, consensus, context):
        """Starts without a holder; `consensus` is the node's `Consensus`, `context` its `NodeContext`."""
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

    # The current holder.

    @property
    def holder(self):
        """The `LeaseHolderRecord` of the newest holder known to this node, or None."""
        return decode_record(self._consensus.chosen_value(REGISTER))

    @property
    def term(self):
        """The term of the newest holder known to this node, or 0."""
        return term_of(self._consensus.chosen_value(REGISTER))

    def is_holder(self):
        """Returns whether this process is the newest holder known to this node."""
        value = self._consensus.chosen_value(REGISTER)
        return bool(value) and value["process"] == self._process

    def is_certain_holder(self, now):
        """Returns whether this process is the holder and no later holder can have been chosen.

        A later holder needs a majority of voters, which then no longer confirm this one.
        """
        return self.is_holder() and now < self.confirmed_until

    # Events.

    def note_holder_alive(self, now):
        """Restarts the election timeout."""
        self._holder_alive_at = now

    def step_down(self):
        """Ends this process's confirmation, as another process is the holder."""
        self.confirmed_until = 0

    def begin_term(self, now):
        """Starts a term of this process as the holder, which no voter has confirmed yet."""
        self.confirmed_until = 0
        self._pending = {}
        self.next_renewal_at = now
        self.became_holder_at = now

    def receive_renewal_request(self, now, sender, request):
        """As a voter, confirms the holder unless a later one was accepted here or the epochs differ."""
        consensus = self._consensus
        if not consensus.is_voting():
            return
        accepted_term = term_of(consensus.accepted_value(REGISTER))
        if accepted_term > request.term or request.epoch < consensus.epoch:
            consensus.send_chosen_value(now, sender, REGISTER)
        elif request.is_certain:
            self._holder_alive_at = now
        confirmed = accepted_term <= request.term and request.epoch == consensus.epoch
        self._send(sender, RenewalAnswer(request.number, confirmed, consensus.epoch, consensus.members))

    def receive_renewal_answer(self, now, sender, answer):
        """Counts a voter's confirmation; a majority confirms the holder for one lease after the request."""
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

    # Timers.

    def propose_if_due(self, now):
        """As a voter, proposes this process as the holder if no holder was alive for the election timeout.

        The timeout increases with the voter's position among the members, so that voters do not compete.
        """
        consensus = self._consensus
        if not consensus.is_voting() or self._is_proposing or self.is_holder():
            return
        rank = consensus.members.index(self._node_id)
        election_timeout = self._lease * (2 + rank) if self.holder else self._lease * (rank + 1) // 4
        if now < self._holder_alive_at + election_timeout:
            return
        self._is_proposing = True
        known_term = self.term
        own_record = LeaseHolderRecord(known_term + 1, self._node_id, self._process)

        def become_holder(value):
            """Returns this process's record, or the present value if another holder was chosen in between."""
            if term_of(value) == known_term:
                return own_record._asdict(), True
            return value, False

        consensus.propose(now, REGISTER, become_holder, self._proposal_ended, 2 * self._lease)

    def renew_if_due(self, now):
        """As the holder, sends a renewal request to the voters four times per lease."""
        if not self.is_holder() or now < self.next_renewal_at:
            return
        self.next_renewal_at = now + self._lease // 4
        number = next(self._request_numbers)
        epoch = self._consensus.epoch
        self._pending[number] = PendingRenewal(now, epoch)
        self._pending = {
            other: pending for other, pending in self._pending.items() if now < pending.sent_at + self._lease
        }
        # A holder that can send but does not receive answers from a majority must not be counted as alive, or
        # its requests would prevent the election of another holder forever. A new holder counts as alive for
        # one lease, to give it time for its first confirmation.
        is_certain = self.is_certain_holder(now) or now < self.became_holder_at + self._lease
        request = RenewalRequest(number, self.term, is_certain, epoch)
        for voter in self._consensus.members:
            self._send(voter, request)

    def _proposal_ended(self, now, result):
        self._is_proposing = False
        self._holder_alive_at = now
