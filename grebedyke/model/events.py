"""Events that a host reports to `Dispatcher.handle`.

The host reports all events of an instant and then fetches actions until there are none left. It chooses the
endpoint and request identifiers. Events of requests that are no longer open are ignored.
"""

from typing import NamedTuple

from grebedyke.model.outcome import Outcome


class RequestArrived(NamedTuple):
    """A client submitted a request.

    Attributes:
        request_id: The request.
        operation: Name of the operation.
        tenant: The tenant; None if the client names none.
        deadline: Time at which the client gives up.
        work_hint: The client's estimate of the work in ticks; 0 without an estimate.
        slots: Slots that it occupies at an endpoint.
    """

    request_id: object
    operation: str
    tenant: str | None
    deadline: int
    work_hint: float = 0
    slots: int = 1


class AttemptStarted(NamedTuple):
    """The endpoint started to run an attempt.

    Attributes:
        request_id: The request.
        attempt_index: Index among the attempts of the request.
        opened_connection: Whether a connection was opened for it.
    """

    request_id: object
    attempt_index: int
    opened_connection: bool = False


class AttemptProgressed(NamedTuple):
    """The endpoint reported that an attempt is still running."""

    request_id: object
    attempt_index: int


class AttemptEnded(NamedTuple):
    """An attempt ended.

    Attributes:
        request_id: The request.
        attempt_index: Index among the attempts of the request.
        outcome: How it ended.
        request_closed: Whether the request no longer needs an answer.
        free_slots: Free slots that the endpoint reported with the end; None without a report.
    """

    request_id: object
    attempt_index: int
    outcome: Outcome
    request_closed: bool
    free_slots: float | None = None


class ProbeEnded(NamedTuple):
    """A probe ended.

    Attributes:
        endpoint_id: The endpoint.
        outcome: How the probe ended.
        free_slots: Free slots according to the load report; None if missing from it.
        job_count: Running and waiting jobs according to the load report; None if missing from it.
    """

    endpoint_id: object
    outcome: Outcome
    free_slots: float | None = None
    job_count: float | None = None


class ClientLeft(NamedTuple):
    """The client of a request disconnected, or the host itself answered it."""

    request_id: object


class EndpointsChanged(NamedTuple):
    """Discovery reported the endpoint list or an update of it.

    Attributes:
        replaces_all: Whether the rows are the complete list.
        rows: The `EndpointRow` of each listed or changed endpoint.
    """

    replaces_all: bool
    rows: list


class EndpointListUnavailable(NamedTuple):
    """The node has just started, or a poll of the endpoint list or its subscription failed."""


class PeerMessageReceived(NamedTuple):
    """A message from a peer arrived.

    Attributes:
        node: Number of the peer.
        message: A message type of `grebedyke.model.peer_messages`.
    """

    node: int
    message: object
