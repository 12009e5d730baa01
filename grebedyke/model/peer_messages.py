"""Peer messages for sharing endpoints: slot requests, their answers, and the use of granted slots.

Each message carries the number of the slot request, chosen by the requesting node. They are encoded as
datagrams by `grebedyke.wire.peer_codec`.
"""

from typing import NamedTuple

from grebedyke.model.outcome import Outcome


class SlotRequest(NamedTuple):
    """Asks a group coordinator for a slot for a request.

    Attributes:
        number: Number of the slot request.
        rank: Rank of an endpoint of the group.
        time_left: Ticks until the client gives up.
        estimated_work: Estimated work of the request, in ticks at mean speed.
        tenant: Index of the tenant in the settings; one past the last for any other tenant.
        slots: Number of slots needed.
        tier: Tier whose endpoints may run it.
        operation: Index of the operation in the settings.
        is_repeated: Whether another coordinator has already charged the request to the tenant's quota.
        over_quota: Result of that earlier quota check.
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
    """States that no slot is free now; the request waits at the coordinator.

    Attributes:
        number: Number of the slot request.
        over_quota: Whether the request exceeds its tenant's quota.
    """

    number: int
    over_quota: bool


class SlotStarted(NamedTuple):
    """Reports that the attempt on a granted slot has started to run.

    Attributes:
        number: Number of the slot request.
        start_delay: Ticks from the send to the start.
        opened_connection: Whether a connection was opened for it.
    """

    number: int
    start_delay: int
    opened_connection: bool


class SlotProgressed(NamedTuple):
    """Reports that the attempt on a granted slot is still running."""

    number: int


class SlotReleased(NamedTuple):
    """Reports that the attempt on a granted slot ended or was never sent.

    Attributes:
        number: Number of the slot request.
        outcome: How it ended.
        free_slots: Free slots that the endpoint reported with the end; None without a report.
    """

    number: int
    outcome: Outcome
    free_slots: float | None
