"""Values known to be chosen, and how they get to all nodes."""

from typing import Any, NamedTuple

import msgpack

from grebedyke.consensus import messages
from grebedyke.consensus.acceptor import MemberPhase
from grebedyke.consensus.ballots import Ballot
from grebedyke.consensus.delta import apply_delta, delta_between
from grebedyke.consensus.membership import MEMBERS

LONGEST_WHOLE_VALUE = 300
"""Longer values, in bytes, are told by what has changed, which for a plan of many machines is little."""


class Chosen(NamedTuple):
    """A chosen value.

    Attributes:
        ballot: The ballot under which it was chosen.
        value: The value.
    """

    ballot: Ballot
    value: Any


class ChosenValues:
    """Learns chosen values and passes them on.

    Attributes:
        by_key: The newest value of each key that is known to be chosen.
        listeners: Each is called with (now, key, value) for every newly learnt value.
        node_count: How many nodes the fleet has.
    """

    def __init__(self, consensus, node_count):
        self.consensus = consensus
        self.acceptor = consensus.acceptor
        self.by_key = {}
        self.listeners = []
        self.node_count = node_count

    def value(self, key):
        """Returns the newest chosen value that is known, None where none is."""
        return self.by_key[key].value if key in self.by_key else None

    def learn(self, now, key, ballot, value):
        """Takes over a chosen value if it is newer than what is known."""
        if key in self.by_key and ballot <= self.by_key[key].ballot:
            return
        self.by_key[key] = Chosen(ballot, value)
        self.consensus.proposer.raise_counter(ballot.counter)
        if self.acceptor.is_voting() and self.acceptor.learn(key, ballot, value):
            self.consensus.store.mark_dirty()
        if key == MEMBERS and value:
            self.consensus.membership.adopt(now, value["epoch"], value["voters"])
        for listener in self.listeners:
            listener(now, key, value)

    def announce(self, round_, accepted_by):
        """Tells all other nodes what a round has had chosen."""
        is_long = len(msgpack.packb(round_.value)) > LONGEST_WHOLE_VALUE
        if is_long:
            delta = delta_between(round_.base_value, round_.value)
        for node in range(self.node_count):
            if node == self.acceptor.node_id:
                continue
            counts = accepted_by if node in round_.members else {}
            known = self.acceptor.epoch, self.acceptor.members, counts
            if is_long:
                message = messages.ChosenDelta(round_.key, round_.ballot, round_.base_ballot, delta, *known)
            else:
                message = messages.ChosenValue(round_.key, round_.ballot, round_.value, *known)
            self.consensus.send_message(node, message)

    def remember(self, now, vote_counts):
        """Notes how far other members are, so that an older copy of one's record shows."""
        news = [
            self.acceptor.remember(node, known.incarnation, known.votes)
            for node, known in vote_counts.items()
            if node != self.acceptor.node_id
        ]
        if any(news) and self.acceptor.phase == MemberPhase.VOTING:
            self.consensus.store.flush_later(now)

    def send(self, now, node, key):
        """Tells a node that knows less what is known of a key."""
        if key in self.by_key:
            chosen = self.by_key[key]
            message = messages.ChosenValue(
                key, chosen.ballot, chosen.value, self.acceptor.epoch, self.acceptor.members, {}
            )
            self.consensus.send_message(node, message)
        if self._is_undecided(key) and not self.consensus.proposer.has_proposals(key):
            # After a restart of all nodes no other would have it chosen.
            self.consensus.proposer.propose(now, key, keep_value, ignore_result)

    def _is_undecided(self, key):
        """Whether a value was accepted here that is not known to be chosen."""
        register = self.acceptor.registers.get(key)
        if not register:
            return False
        return key not in self.by_key or register.accepted > self.by_key[key].ballot

    # What comes in.

    def on_chosen_value(self, now, sender, message):
        """Takes a whole value."""
        self.consensus.membership.adopt(now, message.epoch, message.members)
        self.learn(now, message.key, message.ballot, message.value)
        self.remember(now, message.accepted_by)

    def on_chosen_delta(self, now, sender, message):
        """Applies a change to the value that it was made of; a node that has another asks for the whole."""
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
        """Answers a node that lacks the value a change was made of."""
        self.send(now, sender, query.key)

    def on_vote_count(self, now, sender, vote_count):
        """Notes how far another member is."""
        if sender in self.acceptor.members:
            self.remember(now, {sender: vote_count})


def keep_value(value):
    """The change that changes nothing: the value is chosen once more as it is."""
    return value, True


def ignore_result(now, result):
    """For a proposal whose result nobody waits for."""
