"""The messages of a round: the proposer's requests and the acceptors' answers."""

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
    """The acceptor has promised a higher ballot."""
    NOT_VOTING = "no vote"
    """The acceptor is not in the voting phase.

    It has lost its state, has not yet confirmed that its record is the newest, is founding, or is out.
    """
    OLD_EPOCH = "members"
    """The proposer's epoch is older than the acceptor's."""
    NOT_A_MEMBER = "no member"
    """The acceptor is not a member itself."""


class Prepare(NamedTuple):
    """Requests a promise to accept nothing under a lower ballot."""

    key: str
    ballot: Ballot
    epoch: int
    members: list[int]
    kind = "p"

    @classmethod
    def decode(cls, fields):
        """Decodes a message from its wire fields."""
        key, ballot, epoch, members = fields[:4]
        return cls(str(key), decode_ballot(ballot), int(epoch), decode_nodes(members))


class Promise(NamedTuple):
    """Promises to accept nothing under a lower ballot, and reports the value accepted before.

    Attributes:
        key: The register's key.
        ballot: The promised ballot.
        incarnation: The voter's incarnation.
        incarnations: The incarnations of the other members known to the voter, by node.
        accepted: The ballot under which the voter accepted `value`.
        value: The last accepted value, None if there is none.
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
        """Decodes a message from its wire fields."""
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
    """Requests the acceptance of a value under a ballot."""

    key: str
    ballot: Ballot
    value: Any
    epoch: int
    members: list[int]
    kind = "a"

    @classmethod
    def decode(cls, fields):
        """Decodes a message from its wire fields."""
        key, ballot, value, epoch, members = fields[:5]
        return cls(str(key), decode_ballot(ballot), value, int(epoch), decode_nodes(members))


class Accepted(NamedTuple):
    """Reports that a value was accepted.

    Attributes:
        key: The register's key.
        ballot: The ballot of the accepted value.
        incarnation: The voter's incarnation.
        incarnations: The incarnations of the other members known to the voter, by node.
        vote_count: Number of votes the voter has given in this incarnation.
    """

    key: str
    ballot: Ballot
    incarnation: Incarnation
    incarnations: dict[int, Incarnation]
    vote_count: int
    kind = "A"

    @classmethod
    def decode(cls, fields):
        """Decodes a message from its wire fields."""
        key, ballot, incarnation, incarnations, vote_count = fields[:5]
        return cls(
            str(key),
            decode_ballot(ballot),
            decode_incarnation(incarnation),
            decode_incarnations(incarnations),
            int(vote_count),
        )


class Refusal(NamedTuple):
    """Tells the proposer why the acceptor did not vote.

    Attributes:
        key: The register's key.
        ballot: The proposer's ballot.
        reason: A `RefusalReason`, or another text sent by a later build.
        promised: The promised ballot if the reason is `PROMISED`, else `NO_BALLOT`.
        epoch: The newest epoch known to the acceptor.
        members: The members of that epoch.
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
        """Decodes a message from its wire fields."""
        key, ballot, reason, promised, epoch, members = fields[:6]
        return cls(
            str(key),
            decode_ballot(ballot),
            reason,
            decode_ballot(promised),
            int(epoch),
            decode_nodes(members),
        )
