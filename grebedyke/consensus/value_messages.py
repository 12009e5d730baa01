"""The messages that distribute chosen values and vote counts to other nodes."""

from typing import Any, NamedTuple

from grebedyke.consensus.ballots import (
    Ballot,
    Incarnation,
    decode_ballot,
    decode_incarnation,
    decode_nodes,
)


class VoteCount(NamedTuple):
    """The number of votes in a member's record; the others record it to detect an older copy of that record.

    Attributes:
        incarnation: The member's incarnation.
        votes: The number of votes given in that incarnation.
    """

    incarnation: Incarnation
    votes: int
    kind = "h"

    @classmethod
    def decode(cls, fields):
        """Decodes a message from its wire fields."""
        incarnation, votes = fields[:2]
        return cls(decode_incarnation(incarnation), int(votes))


class ChosenValue(NamedTuple):
    """Announces a chosen value.

    Attributes:
        key: The register's key.
        ballot: The ballot under which the value was chosen.
        value: The value.
        epoch: The newest epoch known to the sender.
        members: The members of that epoch.
        accepted_by: The vote counts of the members that accepted the value, by node; empty in messages to
            nodes that are not members, and if the value is sent again later.
    """

    key: str
    ballot: Ballot
    value: Any
    epoch: int
    members: list[int]
    accepted_by: dict[int, VoteCount]
    kind = "l"

    @classmethod
    def decode(cls, fields):
        """Decodes a message from its wire fields."""
        key, ballot, value, epoch, members, accepted_by = fields[:6]
        return cls(
            str(key),
            decode_ballot(ballot),
            value,
            int(epoch),
            decode_nodes(members),
            decode_vote_counts(accepted_by),
        )


class ChosenDelta(NamedTuple):
    """Announces a chosen value by its delta from the base value of the round.

    Attributes:
        key: The register's key.
        ballot: The ballot under which the value was chosen.
        base: The ballot of the base value that the delta applies to.
        delta: The changes, see `delta.py`.
        epoch: The newest epoch known to the sender.
        members: The members of that epoch.
        accepted_by: As in `ChosenValue`.
    """

    key: str
    ballot: Ballot
    base: Ballot
    delta: list
    epoch: int
    members: list[int]
    accepted_by: dict[int, VoteCount]
    kind = "d"

    @classmethod
    def decode(cls, fields):
        """Decodes a message from its wire fields."""
        key, ballot, base, delta, epoch, members, accepted_by = fields[:7]
        return cls(
            str(key),
            decode_ballot(ballot),
            decode_ballot(base),
            delta,
            int(epoch),
            decode_nodes(members),
            decode_vote_counts(accepted_by),
        )


class ValueQuery(NamedTuple):
    """Requests the complete chosen value of a key."""

    key: str
    kind = "?"

    @classmethod
    def decode(cls, fields):
        """Decodes a message from its wire fields."""
        (key,) = fields[:1]
        return cls(str(key))


def decode_vote_counts(vote_counts):
    """Decodes vote counts by node."""
    return {int(node): VoteCount.decode(count) for node, count in vote_counts.items()}
