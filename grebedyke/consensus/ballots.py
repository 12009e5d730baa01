"""Ballots, incarnations and the registers that consensus keeps under them."""

from typing import Any, NamedTuple


class Ballot(NamedTuple):
    """The number of one attempt to have a value chosen; ballots are ordered.

    The process number keeps two processes of one node from ever using the same ballot.

    Attributes:
        counter: Higher than that of every ballot its proposer knew of.
        node: The proposing node.
        process: The number of the proposing process.
    """

    counter: int
    node: int
    process: int


class Incarnation(NamedTuple):
    """One life of a member's memory: from its founding, or from one loss of its record, to the next loss.

    Attributes:
        number: 1 for a founder, one more after each loss.
        nonce: The number of the process that began it, so that two processes which both come back under
            one number are told apart.
    """

    number: int
    nonce: int


class Register(NamedTuple):
    """What an acceptor has promised and accepted for one key.

    Attributes:
        promised: The highest ballot it has promised.
        accepted: The ballot of the value it has accepted last.
        value: That value, None before the first.
    """

    promised: Ballot
    accepted: Ballot
    value: Any


NO_BALLOT = Ballot(0, 0, 0)
"""Lower than any proposer's."""
NO_INCARNATION = Incarnation(0, 0)
"""That of a member which remembers nothing."""
EMPTY_REGISTER = Register(NO_BALLOT, NO_BALLOT, None)


def decode_ballot(fields):
    """Returns the ballot of a message or record, a list of three numbers."""
    counter, node, process = fields
    return Ballot(int(counter), int(node), int(process))


def decode_incarnation(fields):
    """Returns the incarnation of a message or record, a list of two numbers."""
    number, nonce = fields
    return Incarnation(int(number), int(nonce))


def decode_incarnations(fields):
    """Returns the incarnations of several members, by node."""
    return {int(node): decode_incarnation(incarnation) for node, incarnation in fields.items()}


def decode_register(fields):
    """Returns the register of a message or record, a list of two ballots and a value."""
    promised, accepted, value = fields
    return Register(decode_ballot(promised), decode_ballot(accepted), value)


def decode_nodes(nodes):
    """Returns the nodes of a list."""
    return [int(node) for node in nodes]


def supersedes(known, claimed):
    """Whether knowing of the incarnation `known` shows that `claimed`, of the same member, is past.

    >>> supersedes(Incarnation(2, 7), Incarnation(1, 5)), supersedes(Incarnation(1, 5), Incarnation(1, 5))
    (True, False)
    """
    if known.number == claimed.number:
        return known.nonce != claimed.nonce
    return known.number > claimed.number
