"""What a dispatcher asks its host to do: the actions that `Dispatcher.next_action` gives.

The host carries each out by its type, and reports what comes of it by an event (`grebedyke.model.events`).
"""

from typing import NamedTuple

from grebedyke.model.refusal import RefusalReason


class Forward(NamedTuple):
    """Send a request to an endpoint as its next attempt.

    Attributes:
        request_id: The request.
        endpoint_id: Where it goes.
        timeout: When it has not ended after so many ticks, the host ends it.
    """

    request_id: object
    endpoint_id: object
    timeout: int


class Cancel(NamedTuple):
    """Cancel an attempt; its end is still reported.

    Attributes:
        request_id: The request.
        attempt_index: Which of its attempts.
    """

    request_id: object
    attempt_index: int


class Throttle(NamedTuple):
    """Answer the client that nothing was done and that it may try again.

    Attributes:
        request_id: The request.
        retry_after: Ticks after which it may come back; 0: not said.
        reason: Why, for the log's counts.
    """

    request_id: object
    retry_after: int
    reason: RefusalReason


class Fail(NamedTuple):
    """Answer the client that the request failed, without a promise that it had no effect.

    Attributes:
        request_id: The request.
        reason: Why, for the log's counts.
    """

    request_id: object
    reason: RefusalReason


class Probe(NamedTuple):
    """Ask an endpoint for its load."""

    endpoint_id: object


class WakeAt(NamedTuple):
    """Ask for actions again at this time, in ticks, though nothing may have happened."""

    at: int


class PollEndpointList(NamedTuple):
    """Ask discovery for the endpoint list."""


class Note(NamedTuple):
    """A line for the log."""

    text: str


class SendPeerMessage(NamedTuple):
    """Send a message to a peer.

    Attributes:
        node: Number of the peer.
        message: One of `grebedyke.model.peer_messages`.
    """

    node: int
    message: object
