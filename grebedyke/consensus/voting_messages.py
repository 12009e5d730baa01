"""The messages of a round: a proposer's requests and the acceptors' answers."""

from enum import StrEnum
from typing import Any, NamedTuple

from grebedyke.consensus.ballots import (
    Ballot,
    Incarnation,
    decode_ballot,
    decode_incarnation,
    decode_incarnations,
    decode_nodes,
)


class RefusalReason(StrEnum):
    """Why an acceptor did not vote."""

    PROMISED = "promised"
    """It has promised a higher ballot."""
    NOT_VOTING = "no vote"
    """It has forgotten, or has not yet checked what it remembers."""
    OLD_EPOCH = "members"
    """The proposer's members are not the newest."""
    NOT_A_MEMBER = "no member"
    """It is not among the members itself."""


class Prepare(NamedTuple):
    """Asks for the promise to accept nothing under a lower ballot."""

    key: str
    ballot: Ballot
    epoch: int
    members: list[int]
    kind = "p"

    @classmethod
    def decode(cls, fields):
        """Returns the message of these wire fields."""
        key, ballot, epoch, members = fields[:4]
        return cls(str(key), decode_ballot(ballot), int(epoch), decode_nodes(members))


class Promise(NamedTuple):
    """Promises to accept nothing under a lower ballot, and tells what was accepted before.

    Attributes:
        key: The register's key.
        ballot: The promised ballot.
        incarnation: The voter's.
        incarnations: Those of the other members that the voter knows, by node.
        accepted: The ballot under which the voter has accepted `value`.
        value: The value accepted last, None where none was.
    """

    key: str
    ballot: Ballot
    incarnation: Incarnation
    incarnations: dict[int, Incarnation]
    accepted: Ballot
    value: Any
    kind = "P"

    @classmethod
    def decode(cls, fields):
        """Returns the message of these wire fields."""
        key, ballot, incarnation, incarnations, accepted, value = fields[:6]
        return cls(
            str(key),
            decode_ballot(ballot),
            decode_incarnation(incarnation),
            decode_incarnations(incarnations),
            decode_ballot(accepted),
            value,
        )


class AcceptRequest(NamedTuple):
    """Asks to accept a value under a ballot."""

    key: str
    ballot: Ballot
    value: Any
    epoch: int
    members: list[int]
    kind = "a"

    @classmethod
    def decode(cls, fields):
        """Returns the message of these wire fields."""
        key, ballot, value, epoch, members = fields[:5]
        return cls(str(key), decode_ballot(ballot), value, int(epoch), decode_nodes(members))


class Accepted(NamedTuple):
    """Tells that a value was accepted.

    Attributes:
        key: The register's key.
        ballot: The ballot of the accepted value.
        incarnation: The voter's.
        incarnations: Those of the other members that the voter knows, by node.
        vote_count: How many votes the voter has given in this incarnation.
    """

    key: str
    ballot: Ballot
    incarnation: Incarnation
    incarnations: dict[int, Incarnation]
    vote_count: int
    kind = "A"

    @classmethod
    def decode(cls, fields):
        """Returns the message of these wire fields."""
        key, ballot, incarnation, incarnations, vote_count = fields[:5]
        return cls(
            str(key),
            decode_ballot(ballot),
            decode_incarnation(incarnation),
            decode_incarnations(incarnations),
            int(vote_count),
        )


class Refusal(NamedTuple):
    """Tells a proposer why the sender did not vote.

    Attributes:
        key: The register's key.
        ballot: The proposer's ballot.
        reason: A `RefusalReason`, or a later build's text.
        promised: The higher ballot where that is the reason, else `NO_BALLOT`.
        epoch: That of the members the sender knows.
        members: Those members.
    """

    key: str
    ballot: Ballot
    reason: str
    promised: Ballot
    epoch: int
    members: list[int]
    kind = "n"

    @classmethod
    def decode(cls, fields):
        """Returns the message of these wire fields."""
        key, ballot, reason, promised, epoch, members = fields[:6]
        return cls(
            str(key),
            decode_ballot(ballot),
            reason,
            decode_ballot(promised),
            int(epoch),
            decode_nodes(members),
        )
