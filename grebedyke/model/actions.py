"""Actions that `Dispatcher.next_action` returns for the host to carry out.

The host dispatches on the type of the action and reports the result as an event (`grebedyke.model.events`).
"""

from typing import NamedTuple

from grebedyke.model.refusal import RefusalReason


class Forward(NamedTuple):
    """Send a request to an endpoint as its next attempt.

    Attributes:
        request_id: The request.
        endpoint_id: The endpoint to send it to.
        timeout: Ticks after which the host ends the attempt if it is still open.
        latest_send: Time in ticks after which the host sends nothing of it any more; None without a limit.
    """

    request_id: object
    endpoint_id: object
    timeout: int
    latest_send: int | None = None


class Cancel(NamedTuple):
    """Cancel an attempt; the host still reports its end.

    Attributes:
        request_id: The request.
        attempt_index: Index among the attempts of the request.
    """

    request_id: object
    attempt_index: int


class Throttle(NamedTuple):
    """Answer the client that the request had no effect and may be retried.

    Attributes:
        request_id: The request.
        retry_after: Ticks after which the client may retry; 0 if not stated.
        reason: Reason for the refusal, for the counters in the log.
    """

    request_id: object
    retry_after: int
    reason: RefusalReason


class Fail(NamedTuple):
    """Answer the client that the request failed, without a promise that it had no effect.

    Attributes:
        request_id: The request.
        reason: Reason for the refusal, for the counters in the log.
    """

    request_id: object
    reason: RefusalReason


class Probe(NamedTuple):
    """Ask an endpoint for its load report."""

    endpoint_id: object


class WakeAt(NamedTuple):
    """Ask for actions again at this time, in ticks, even if no event has occurred."""

    at: int


class PollEndpointList(NamedTuple):
    """Request the endpoint list from discovery."""


class LogMessage(NamedTuple):
    """Write a line to the log."""

    text: str


class SendPeerMessage(NamedTuple):
    """Send a message to a peer.

    Attributes:
        node: Number of the peer.
        message: A message type of `grebedyke.model.peer_messages`.
    """

    node: int
    message: object
