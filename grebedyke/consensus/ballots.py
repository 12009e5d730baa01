"""Ballots, incarnations and registers, and their decoding from messages and records."""

from typing import Any, NamedTuple


class Ballot(NamedTuple):
    """The number of a proposer's round; ballots are ordered.

    The process number ensures that two processes of one node never use the same ballot.

    Attributes:
        counter: Higher than the counter of every ballot known to the proposer.
        node: The proposing node.
        process: The number of the proposing process.
    """

    counter: int
    node: int
    process: int


class Incarnation(NamedTuple):
    """One life of a member's memory: from its founding, or a loss of its record, to the next loss.

    Attributes:
        number: 1 for a founder, increased by one after each loss.
        nonce: The number of the process that began the incarnation. It distinguishes two processes that both
            rejoin under the same number.
    """

    number: int
    nonce: int


class Register(NamedTuple):
    """An acceptor's promised and accepted state for one key.

    Attributes:
        promised: The highest ballot promised.
        accepted: The ballot of the last accepted value.
        value: The last accepted value, None before the first.
    """

    promised: Ballot
    accepted: Ballot
    value: Any


NO_BALLOT = Ballot(0, 0, 0)
"""Lower than the ballot of any proposer."""
NO_INCARNATION = Incarnation(0, 0)
"""The incarnation of a member without state, or of an unknown member."""
EMPTY_REGISTER = Register(NO_BALLOT, NO_BALLOT, None)


def decode_ballot(fields):
    """Decodes the ballot of a message or record, a list of three numbers."""
    counter, node, process = fields
    return Ballot(int(counter), int(node), int(process))


def decode_incarnation(fields):
    """Decodes the incarnation of a message or record, a list of two numbers."""
    number, nonce = fields
    return Incarnation(int(number), int(nonce))


def decode_incarnations(fields):
    """Decodes the incarnations of several members, by node."""
    return {int(node): decode_incarnation(incarnation) for node, incarnation in fields.items()}


def decode_register(fields):
    """Decodes the register of a message or record, a list of two ballots and a value."""
    promised, accepted, value = fields
    return Register(decode_ballot(promised), decode_ballot(accepted), value)


def decode_nodes(nodes):
    """Decodes a list of node numbers."""
    return [int(node) for node in nodes]


def supersedes(known, claimed):
    """Returns whether the incarnation `known` shows that `claimed`, of the same member, is no longer valid.

    Of two incarnations with the same number but different nonces, each supersedes the other.

    >>> supersedes(Incarnation(2, 7), Incarnation(1, 5)), supersedes(Incarnation(1, 5), Incarnation(1, 5))
    (True, False)
    """
    if known.number == claimed.number:
        return known.nonce != claimed.nonce
    return known.number > claimed.number
