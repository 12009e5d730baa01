"""The messages by which chosen values, and how far each member is, get to the other nodes."""

from typing import Any, NamedTuple

from grebedyke.consensus.ballots import (
    Ballot,
    Incarnation,
    decode_ballot,
    decode_incarnation,
    decode_nodes,
)


class VoteCount(NamedTuple):
    """How many votes a member has on its disk; remembered by the others, it makes an older copy show.

    Attributes:
        incarnation: The member's.
        votes: Its votes in that incarnation.
    """

    incarnation: Incarnation
    votes: int
    kind = "h"

    @classmethod
    def decode(cls, fields):
        """Returns the message of these wire fields."""
        incarnation, votes = fields[:2]
        return cls(decode_incarnation(incarnation), int(votes))


class ChosenValue(NamedTuple):
    """Tells that a value was chosen.

    Attributes:
        key: The register's key.
        ballot: The ballot under which it was chosen.
        value: The value.
        epoch: That of the members the sender knows.
        members: Those members.
        accepted_by: The vote counts of the members whose votes chose it, by node; only members are told.
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
        """Returns the message of these wire fields."""
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
    """Tells that a value was chosen, by what has changed since the value that it was made of.

    Attributes:
        key: The register's key.
        ballot: The ballot under which it was chosen.
        base: The ballot of the value that the change was made of.
        delta: What changed, see `delta.py`.
        epoch: That of the members the sender knows.
        members: Those members.
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
        """Returns the message of these wire fields."""
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
    """Asks for the whole chosen value of a key."""

    key: str
    kind = "?"

    @classmethod
    def decode(cls, fields):
        """Returns the message of these wire fields."""
        (key,) = fields[:1]
        return cls(str(key))


def decode_vote_counts(vote_counts):
    """Returns vote counts by node."""
    return {int(node): VoteCount.decode(count) for node, count in vote_counts.items()}
