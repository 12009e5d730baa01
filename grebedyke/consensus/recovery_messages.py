"""The messages between a member that is starting and the other members."""

from typing import NamedTuple

from grebedyke.consensus.ballots import (
    Incarnation,
    Register,
    decode_incarnation,
    decode_incarnations,
    decode_nodes,
    decode_register,
)


class StatusQuery(NamedTuple):
    """Requests a member's `Status` and carries the sender's own state.

    Attributes:
        phase: The sender's phase.
        incarnation: The sender's incarnation.
        vote_count: The sender's vote count.
        epoch: The newest epoch known to the sender.
    """

    phase: str
    incarnation: Incarnation
    vote_count: int
    epoch: int
    kind = "w"

    @classmethod
    def decode(cls, fields):
        """Decodes a message from its wire fields."""
        return cls(*fields[:4])


class Status(NamedTuple):
    """Answers a `StatusQuery` with the sender's state and its knowledge of the querying member.

    Attributes:
        phase: The sender's phase; a later build may send other values.
        incarnation: The sender's incarnation.
        known_incarnation: The newest incarnation of the querying member known to the sender.
        known_vote_count: The vote count of that incarnation known to the sender.
        epoch: The newest epoch known to the sender.
        members: The members of that epoch.
    """

    phase: str
    incarnation: Incarnation
    known_incarnation: Incarnation
    known_vote_count: int
    epoch: int
    members: list[int]
    kind = "W"

    @classmethod
    def decode(cls, fields):
        """Decodes a message from its wire fields."""
        phase, incarnation, known, vote_count, epoch, members = fields[:6]
        return cls(
            str(phase),
            decode_incarnation(incarnation),
            decode_incarnation(known),
            int(vote_count),
            int(epoch),
            decode_nodes(members),
        )


class RejoinRequest(NamedTuple):
    """Requests a member's full state, in order to vote again under a new incarnation.

    Attributes:
        incarnation: The new incarnation.
    """

    incarnation: Incarnation
    kind = "r"

    @classmethod
    def decode(cls, fields):
        """Decodes a message from its wire fields."""
        (incarnation,) = fields[:1]
        return cls(decode_incarnation(incarnation))


class RejoinState(NamedTuple):
    """Sends a rejoining member the sender's full state; the sender has recorded the new incarnation.

    Attributes:
        requested_incarnation: The new incarnation of the rejoining member.
        incarnation: The sender's incarnation.
        incarnations: The incarnations of the other members known to the sender, by node.
        epoch: The newest epoch known to the sender.
        members: The members of that epoch.
        registers: The sender's register of each key.
        vote_count: The sender's vote count; earlier builds omit it.
        vote_counts: The vote counts of the other members known to the sender, by node; earlier builds omit
            them.
    """

    requested_incarnation: Incarnation
    incarnation: Incarnation
    incarnations: dict[int, Incarnation]
    epoch: int
    members: list[int]
    registers: dict[str, Register]
    vote_count: int
    vote_counts: dict[int, int]
    kind = "R"

    @classmethod
    def decode(cls, fields):
        """Decodes a message from its wire fields."""
        requested, incarnation, incarnations, epoch, members, registers, *more = fields[:8]
        vote_count = more[0] if more else 0
        vote_counts = more[1] if len(more) > 1 else None
        return cls(
            decode_incarnation(requested),
            decode_incarnation(incarnation),
            decode_incarnations(incarnations),
            int(epoch),
            decode_nodes(members),
            {str(key): decode_register(register) for key, register in registers.items()},
            int(vote_count),
            {int(node): int(count) for node, count in (vote_counts or {}).items()},
        )
