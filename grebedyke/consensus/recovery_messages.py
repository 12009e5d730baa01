"""The messages by which a member that is starting gets to vote."""

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
    """Asks a member for its `Status`, and tells the sender's own.

    Attributes:
        phase: The sender's phase.
        incarnation: The sender's.
        vote_count: The sender's.
        epoch: That of the members the sender knows.
    """

    phase: str
    incarnation: Incarnation
    vote_count: int
    epoch: int
    kind = "w"

    @classmethod
    def decode(cls, fields):
        """Returns the message of these wire fields."""
        return cls(*fields[:4])


class Status(NamedTuple):
    """Tells a member that is starting what the sender knows.

    Attributes:
        phase: The sender's phase; a later build may have further ones.
        incarnation: The sender's.
        remembered_incarnation: That of the asking member, as the sender remembers it.
        remembered_vote_count: The asking member's vote count, as the sender remembers it.
        epoch: That of the members the sender knows.
        members: Those members.
    """

    phase: str
    incarnation: Incarnation
    remembered_incarnation: Incarnation
    remembered_vote_count: int
    epoch: int
    members: list[int]
    kind = "W"

    @classmethod
    def decode(cls, fields):
        """Returns the message of these wire fields."""
        phase, incarnation, remembered, vote_count, epoch, members = fields[:6]
        return cls(
            str(phase),
            decode_incarnation(incarnation),
            decode_incarnation(remembered),
            int(vote_count),
            int(epoch),
            decode_nodes(members),
        )


class RejoinRequest(NamedTuple):
    """Asks for all that a member knows, in order to vote again under a new incarnation.

    Attributes:
        incarnation: The new incarnation.
    """

    incarnation: Incarnation
    kind = "r"

    @classmethod
    def decode(cls, fields):
        """Returns the message of these wire fields."""
        (incarnation,) = fields[:1]
        return cls(decode_incarnation(incarnation))


class RejoinState(NamedTuple):
    """Tells a rejoining member all that the sender knows; the sender remembers its new incarnation.

    Attributes:
        requested_incarnation: That of the rejoining member.
        incarnation: The sender's.
        incarnations: Those of the other members, by node.
        epoch: That of the members the sender knows.
        members: Those members.
        registers: By key, what the sender has promised and accepted.
        vote_count: The sender's; earlier builds leave it out.
        vote_counts: Those of the other members, by node; earlier builds leave them out.
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
        """Returns the message of these wire fields."""
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
