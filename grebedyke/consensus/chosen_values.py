"""The values known to be chosen, and their distribution to all nodes."""

from typing import Any, NamedTuple

import msgpack

from grebedyke.consensus import messages
from grebedyke.consensus.acceptor import MemberPhase
from grebedyke.consensus.ballots import Ballot
from grebedyke.consensus.delta import apply_delta, delta_between
from grebedyke.consensus.membership import MEMBERS_KEY

MAX_WHOLE_VALUE_SIZE = 300
"""In bytes; larger values are sent as deltas, which are small for a plan of many machines."""


class Chosen(NamedTuple):
    """A chosen value.

    Attributes:
        ballot: The ballot under which it was chosen.
        value: The value.
    """

    ballot: Ballot
    value: Any


class ChosenValues:
    """Learns chosen values and sends them to other nodes.

    Attributes:
        by_key: The newest `Chosen` of each key.
        listeners: Callbacks, called with (now, key, value) for every newly learned value.
        node_count: The number of nodes in the fleet.
    """

    def __init__(self, consensus, node_count):
        self.consensus = consensus
        self.acceptor = consensus.acceptor
        self.by_key = {}
        self.listeners = []
        self.node_count = node_count

    def value(self, key):
        """Returns the newest known chosen value of a key, or None."""
        return self.by_key[key].value if key in self.by_key else None

    def learn(self, now, key, ballot, value):
        """Stores a chosen value if it is newer than the known one, and calls the listeners."""
        if key in self.by_key and ballot <= self.by_key[key].ballot:
            return
        self.by_key[key] = Chosen(ballot, value)
        self.consensus.proposer.raise_counter(ballot.counter)
        if self.acceptor.is_voting() and self.acceptor.learn(key, ballot, value):
            self.consensus.store.mark_dirty()
        if key == MEMBERS_KEY and value:
            self.consensus.membership.adopt(now, value["epoch"], value["voters"])
        for listener in self.listeners:
            listener(now, key, value)

    def announce(self, round_, accepted_by):
        """Sends the value chosen by a round to all other nodes, as a delta if it is large."""
        is_large = len(msgpack.packb(round_.value)) > MAX_WHOLE_VALUE_SIZE
        if is_large:
            delta = delta_between(round_.base_value, round_.value)
        for node in range(self.node_count):
            if node == self.acceptor.node_id:
                continue
            counts = accepted_by if node in round_.members else {}
            known = self.acceptor.epoch, self.acceptor.members, counts
            if is_large:
                message = messages.ChosenDelta(round_.key, round_.ballot, round_.base_ballot, delta, *known)
            else:
                message = messages.ChosenValue(round_.key, round_.ballot, round_.value, *known)
            self.consensus.send_message(node, message)

    def record_vote_counts(self, now, vote_counts):
        """Records the vote counts of other members, to detect older copies of their records."""
        changes = [
            self.acceptor.record_member(node, known.incarnation, known.votes)
            for node, known in vote_counts.items()
            if node != self.acceptor.node_id
        ]
        if any(changes) and self.acceptor.phase == MemberPhase.VOTING:
            self.consensus.store.flush_later(now)

    def send(self, now, node, key):
        """Sends the newest known value of a key to a node that has an older one or none."""
        if key in self.by_key:
            chosen = self.by_key[key]
            message = messages.ChosenValue(
                key, chosen.ballot, chosen.value, self.acceptor.epoch, self.acceptor.members, {}
            )
            self.consensus.send_message(node, message)
        if self._is_undecided(key) and not self.consensus.proposer.has_proposals(key):
            # After a restart of all nodes no other node would complete the round.
            self.consensus.proposer.propose(now, key, keep_value, ignore_result)

    def _is_undecided(self, key):
        """Returns whether this node has accepted a value that is not known to be chosen."""
        register = self.acceptor.registers.get(key)
        if not register:
            return False
        return key not in self.by_key or register.accepted > self.by_key[key].ballot

    # Incoming messages.

    def on_chosen_value(self, now, sender, message):
        """Handles a complete chosen value."""
        self.consensus.membership.adopt(now, message.epoch, message.members)
        self.learn(now, message.key, message.ballot, message.value)
        self.record_vote_counts(now, message.accepted_by)

    def on_chosen_delta(self, now, sender, message):
        """Applies a delta to its base value, or requests the complete value if the base is missing."""
        key = message.key
        register = self.acceptor.registers.get(key)
        if key in self.by_key and self.by_key[key].ballot == message.base:
            value = apply_delta(self.by_key[key].value, message.delta)
        elif register and register.accepted == message.ballot:
            value = register.value
        else:
            if key not in self.by_key or self.by_key[key].ballot < message.ballot:
                self.consensus.send_message(sender, messages.ValueQuery(key))
            return
        whole = messages.ChosenValue(
            key, message.ballot, value, message.epoch, message.members, message.accepted_by
        )
        self.on_chosen_value(now, sender, whole)

    def on_value_query(self, now, sender, query):
        """Answers a node that lacks the base value of a delta."""
        self.send(now, sender, query.key)

    def on_vote_count(self, now, sender, vote_count):
        """Records the vote count of another member."""
        if sender in self.acceptor.members:
            self.record_vote_counts(now, {sender: vote_count})


def keep_value(value):
    """A change that keeps the value, used to have it chosen again."""
    return value, True


def ignore_result(now, result):
    """Callback of a proposal whose result is not needed."""
