"""What a host reports to a dispatcher by `Dispatcher.handle`.

A host reports all events of an instant, then takes actions until there is none left. Endpoint and request
identifiers are the host's own; events of requests that are not open any more are disregarded.
"""

from typing import NamedTuple

from grebedyke.model.outcome import Outcome


class RequestArrived(NamedTuple):
    """A client handed in a request.

    Attributes:
        request_id: Its identifier.
        operation: Name of the operation.
        tenant: On whose behalf; None where the client does not say.
        deadline: When the client gives up.
        work_hint: The client's estimate of the work in ticks; 0 without one.
        slots: Slots that it takes at an endpoint.
    """

    request_id: object
    operation: str
    tenant: str | None
    deadline: int
    work_hint: float = 0
    slots: int = 1


class AttemptStarted(NamedTuple):
    """The endpoint began to run an attempt.

    Attributes:
        request_id: The request.
        attempt_index: Which of its attempts.
        opened_connection: A connection was opened for it.
    """

    request_id: object
    attempt_index: int
    opened_connection: bool = False


class AttemptProgressed(NamedTuple):
    """The endpoint showed that it is still at work on an attempt."""

    request_id: object
    attempt_index: int


class AttemptEnded(NamedTuple):
    """An attempt ended.

    Attributes:
        request_id: The request.
        attempt_index: Which of its attempts.
        outcome: How it ended.
        request_closed: Nobody waits for the request any more.
        free_slots: Slots that the endpoint reported free with it; None without a report.
    """

    request_id: object
    attempt_index: int
    outcome: Outcome
    request_closed: bool
    free_slots: float | None = None


class ProbeAnswered(NamedTuple):
    """A probe ended.

    Attributes:
        endpoint_id: The endpoint.
        outcome: How the probe ended.
        free_slots: Slots that it reported free; None where the report lacks them.
        held_work: Jobs that it reported to hold, running or waiting; None where the report lacks them.
    """

    endpoint_id: object
    outcome: Outcome
    free_slots: float | None = None
    held_work: float | None = None


class ClientLeft(NamedTuple):
    """The client of a request left, or was answered by the host itself."""

    request_id: object


class EndpointsChanged(NamedTuple):
    """Discovery reported the endpoint list or a change of it.

    Attributes:
        replaces_all: The rows are the whole list.
        rows: `EndpointRow` of each listed or changed endpoint.
    """

    replaces_all: bool
    rows: list


class EndpointListUnavailable(NamedTuple):
    """The node begins, or a poll of the endpoint list or its subscription failed."""


class PeerMessageReceived(NamedTuple):
    """A message of a peer arrived.

    Attributes:
        node: Number of the peer.
        message: One of `grebedyke.model.peer_messages`.
    """

    node: int
    message: object
