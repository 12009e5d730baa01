"""Traces each request in the log, at level DEBUG: by its identifier, from its arrival to its final answer.

Off until `enable`, so that programs that configure no log do not write a line for each request.
"""

from loguru import logger

from grebedyke.units import TICKS_PER_MILLISECOND

logger.disable(__name__)


def enable():
    """Turns the trace on."""
    logger.enable(__name__)


def disable():
    """Turns the trace off."""
    logger.disable(__name__)


def request_taken(request, incoming):
    """Traces a request that was accepted.

    Args:
        request: The `PendingRequest`.
        incoming: The `IncomingRequest`.
    """
    logger.debug(
        "request {id}: taken from {peer}, {operation}, {timeout_ms} ms left",
        event="request-taken",
        id=request.id.decode(),
        peer=request.client.peer_host,
        operation=incoming.operation,
        timeout_ms=incoming.timeout / TICKS_PER_MILLISECOND,
    )


def request_refused(request_id, client, reason):
    """Traces a request that was not accepted, with its `RefusalReason`."""
    logger.debug(
        "request {id}: not taken from {peer}, {why}",
        event="request-refused",
        id=request_id.decode(),
        peer=client.peer_host,
        why=reason.value,
    )


def attempt_sent(attempt):
    """Traces an attempt (`InFlightAttempt`); one with an index over 0 is a retry."""
    logger.debug(
        "request {id}: attempt {index} to {executor}",
        event="attempt-sent",
        id=attempt.request.id.decode(),
        index=attempt.index,
        executor=attempt.endpoint.name,
    )


def attempt_ended(attempt, outcome):
    """Traces the end of an attempt with its `Outcome`."""
    logger.debug(
        "request {id}: attempt {index} at {executor} ended, {outcome}",
        event="attempt-ended",
        id=attempt.request.id.decode(),
        index=attempt.index,
        executor=attempt.endpoint.name,
        outcome=outcome.name,
    )


def request_answered(now, request, status, why):
    """Traces the final answer of a request.

    Args:
        now: Time in ticks.
        request: The `PendingRequest`.
        status: Status code of the response.
        why: The count of the answer, or the `RefusalReason`.
    """
    logger.debug(
        "request {id}: answered {status} after {wait_ms} ms, {why}",
        event="request-answered",
        id=request.id.decode(),
        status=status,
        wait_ms=(now - request.received_at) / TICKS_PER_MILLISECOND,
        why=str(why),
    )


def connection_ended(connection):
    """Traces the end of a `ClientConnection`."""
    logger.debug(
        "connection of {peer}: {why}",
        event="connection-ended",
        peer=connection.peer_host,
        why=connection.end_reason.value,
    )


def client_left(request):
    """Traces a client that has left before its answer."""
    logger.debug("request {id}: its client has left", event="client-left", id=request.id.decode())
