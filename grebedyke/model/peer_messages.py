"""Messages by which nodes share endpoints: requests for slots, their answers, and the use of granted slots.

Each carries the number of the slot request, which the requesting node chose. `grebedyke.wire.peer_codec` maps
them to datagrams.
"""

from typing import NamedTuple

from grebedyke.model.outcome import Outcome


class SlotRequest(NamedTuple):
    """Asks a group coordinator for a slot for a request.

    Attributes:
        number: Of the slot request.
        rank: Rank of an endpoint of the group.
        time_left: Ticks until the client gives up.
        estimated_work: Of the request, in ticks at mean speed.
        tenant: Position of the tenant in the settings; behind the last for any other.
        slots: Slots wanted.
        tier: Tier whose endpoints may run it.
        operation: Position of the operation in the settings.
        is_repeated: Another coordinator has counted the request against its tenant's quota.
        over_quota: What that one found.
    """

    number: int
    rank: int
    time_left: int
    estimated_work: float
    tenant: int
    slots: int
    tier: int
    operation: int
    is_repeated: bool
    over_quota: bool


class SlotGrant(NamedTuple):
    """Grants a slot at the endpoint of this rank."""

    number: int
    rank: int


class SlotDenial(NamedTuple):
    """No slot is free; the request waits with the coordinator.

    Attributes:
        number: Of the slot request.
        over_quota: The request is beyond its tenant's share.
    """

    number: int
    over_quota: bool


class SlotStarted(NamedTuple):
    """The attempt on a granted slot began to run.

    Attributes:
        number: Of the slot request.
        start_delay: Ticks from its sending to its start.
        opened_connection: A connection was opened for it.
    """

    number: int
    start_delay: int
    opened_connection: bool


class SlotProgressed(NamedTuple):
    """The attempt on a granted slot still runs."""

    number: int


class SlotReleased(NamedTuple):
    """The attempt on a granted slot ended, or never began.

    Attributes:
        number: Of the slot request.
        outcome: How it ended.
        free_slots: Slots that the endpoint reported free with it; None without a report.
    """

    number: int
    outcome: Outcome
    free_slots: float | None
