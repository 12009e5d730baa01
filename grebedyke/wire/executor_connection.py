"""HTTP calls to an executor, and the connections that send them one at a time."""

import select
from enum import Enum
from math import inf
from typing import NamedTuple

from loguru import logger

from grebedyke.errors import HttpProtocolError
from grebedyke.units import TICKS_PER_MILLISECOND
from grebedyke.wire.connection import Connection
from grebedyke.wire.http_messages import request_head

# The status of a probe's or a cancel's response, which an attempt's response never has.
OK_STATUS = 200
ACCEPTED_STATUS = 202
# As many as a body of the maximum size has in chunks of 16 bytes. An endless response
# would take the time of all others.
MAX_RESPONSE_PARTS = 8_192
# Response statuses that mean a rejected job, if a header says that it was not processed.
REJECTION_STATUSES = (503, 504)


class CallResult(Enum):
    """How a call ended.

    Attributes:
        ANSWERED: A response was received.
        UNSENT: The kernel never accepted the last byte, so the executor cannot have the entire message.
        EXPIRED: As UNSENT, because the latest send of the message passed.
        BROKEN: The connection was closed without a response; the message may have arrived.
    """

    ANSWERED = "answered"
    UNSENT = "unsent"
    EXPIRED = "expired"
    BROKEN = "broken"


class CallEnd(NamedTuple):
    """The result of a call with its response.

    Attributes:
        result: How it ended.
        status: Status code of the response; 0 without a response.
        headers: Headers of the response by lower-case name.
        body: Body of the response.
    """

    result: CallResult
    status: int
    headers: dict
    body: bytes


def is_rejection(response):
    """Returns whether a response (`HttpResponse` or `CallEnd`) proves that the job never ran."""
    return response.status in REJECTION_STATUSES and response.headers.get(b"x-not-processed") == b"1"


class ExecutorMessage(NamedTuple):
    """A request message to an executor.

    Attributes:
        method: HTTP method; a POST is an attempt.
        target: Request target.
        headers: Pairs of name and value.
        body: The body.
        timeout_at: Time in ticks at which the node stops waiting for the job. The executor is told the time
            that is left when the message is sent. None for a message that is not an attempt.
        latest_send: Time in ticks after which nothing of the message is sent; None without a limit.
    """

    method: bytes
    target: bytes
    headers: tuple = ()
    body: bytes = b""
    timeout_at: int | None = None
    latest_send: int | None = None

    def is_attempt(self):
        """Returns whether the message is an attempt rather than a probe or a cancel."""
        return self.method == b"POST"

    def head(self, host, now):
        """Returns the request line and the headers as they are sent at the time `now`."""
        headers = [*self.headers]
        if self.timeout_at is not None:
            milliseconds = max((self.timeout_at - now) // TICKS_PER_MILLISECOND, 1)
            headers.append((b"X-Timeout-Ms", b"%d" % milliseconds))
        length = len(self.body) if self.is_attempt() else None
        return request_head(self.method, self.target, host, headers, length)


class ExecutorCall:
    """One request message to an executor; its end is reported exactly once.

    Attributes:
        endpoint: The `ExecutorEndpoint`.
        message: The `ExecutorMessage`, None after the call has ended.
        on_end: Called with the `CallEnd`.
        is_attempt: Whether the message is an attempt rather than a probe or a cancel.
        latest_send: As in `ExecutorMessage`.
        incarnation: The endpoint's incarnation at the time of the call.
        started_at: Start time of the call, in ticks.
        needed_connect: Whether a new connection was opened for the call.
        connection: The connection that sends the message, None before it is chosen.
        connect_task: The task that opens a connection, None if none is being opened.
        ended: Whether the end was reported or the call was abandoned.
        timers: The timers set for it, cancelled at its end.
    """

    __slots__ = (
        "endpoint",
        "message",
        "on_end",
        "is_attempt",
        "latest_send",
        "incarnation",
        "started_at",
        "needed_connect",
        "connection",
        "connect_task",
        "ended",
        "timers",
    )

    def __init__(self, endpoint, message, on_end):
        self.endpoint = endpoint
        self.message = message
        self.on_end = on_end
        self.is_attempt = message.is_attempt()
        self.latest_send = message.latest_send
        self.incarnation = endpoint.incarnation()
        self.started_at = endpoint.pool.batch.clock()
        self.needed_connect = False
        self.connection = None
        self.connect_task = None
        self.ended = False
        self.timers = []

    def end(self, result, response=None):
        """Reports the end once, with the `HttpResponse` or None."""
        if self.ended:
            return
        self._release()
        if response is None:
            self.on_end(CallEnd(result, 0, {}, b""))
        else:
            self.on_end(CallEnd(result, response.status, response.headers, response.body))

    def is_sent(self):
        """Returns whether the kernel has accepted the entire message."""
        return self.connection is not None and not self.connection.has_unsent_bytes()

    def abandon(self):
        """Abandons the call without reporting an end; without a response yet, aborts its connection."""
        if self.ended:
            return
        self._release()
        self._stop_sending()

    def expire(self, now):
        """Ends the call if its latest send has passed before the kernel accepted the entire message."""
        if self.ended or self.latest_send is None or now <= self.latest_send or self.is_sent():
            return
        self.end(CallResult.EXPIRED)
        self._stop_sending()

    def _release(self):
        self.ended = True
        self.message = None
        for timer in self.timers:
            timer.cancel()
        self.timers.clear()

    def _stop_sending(self):
        if self.connect_task:
            self.connect_task.cancel()
        if self.connection:
            self.connection.abort()


class ExecutorConnection(Connection):
    """A connection to one executor.

    Responses carry no identifier, so they are matched to messages by their order alone. An executor may send
    a response twice, a few milliseconds apart. A duplicate that arrived after the next message would be taken
    for the response to it and would shift the responses to all later messages. The time of arrival cannot
    tell the two apart, as neither the round trip nor the executor's own time is bounded. Therefore:

    - No message is sent while a duplicate may still arrive that could be taken for its response; an
      unsolicited response closes an idle connection.
    - A rejection, which proves that a job never ran, is the last response on its connection. However late its
      duplicate arrives, it is not taken for the rejection of another job.

    Attributes:
        endpoint: The `ExecutorEndpoint`.
        incarnation: The endpoint's incarnation to which it is connected.
        call: The current `ExecutorCall`, None if there is none.
        idle_since: Time in ticks at which the connection became idle.
        idle_time: Ticks for which it was idle before the last call.
        is_new: Whether it has never been among the endpoint's idle connections.
        has_answered_ok: Whether a response on it had the status of a probe's or a cancel's response.
        attempt_response_at: Time in ticks of the last response that an attempt could have got.
    """

    def __init__(self, endpoint):
        super().__init__(endpoint.pool.batch.touch, reads_responses=True, max_parts=MAX_RESPONSE_PARTS)
        self.endpoint = endpoint
        self.incarnation = endpoint.incarnation()
        self.call = None
        self.idle_since = 0
        self.idle_time = 0
        self.is_new = True
        self.has_answered_ok = False
        self.attempt_response_at = -inf

    def connection_made(self, transport):
        """Called by asyncio when the connection is established."""
        super().connection_made(transport)
        self.endpoint.connections[self] = None
        self.endpoint.pool.connections[self] = None

    def send_call(self, call):
        """Sends the message of a call at the end of this batch."""
        self.call = call
        call.connection = self
        now = self.endpoint.pool.batch.clock()
        self.idle_time = now - self.idle_since
        self.send(call.message.head(self.endpoint.host, now), call.message.body)

    def flush(self):
        """Writes queued data, unless the latest send of its message has passed."""
        if self.call:
            self.call.expire(self.endpoint.pool.batch.clock())
        super().flush()

    def has_unsent_bytes(self):
        """Returns whether bytes of the message are still in this process, queued or in the transport."""
        return bool(self.out.used or self.body or not self.fully_written)

    def process_input(self):
        """Handles each response; an unparsable response closes the connection."""
        try:
            while response := self.parser.next_message():
                self._response_received(response)
            if self.call is None and self.parser.has_partial_message():
                self.abort()  # unsolicited bytes, which would become the start of the next response
        except HttpProtocolError as problem:
            if self.endpoint.pool.batch.metrics.count_and_may_log("odd"):
                logger.warning(
                    "executor {executor}: invalid response: {why}",
                    event="answer-odd",
                    executor=self.endpoint.name,
                    why=str(problem),
                )
            self.abort()

    def _response_received(self, response):
        call = self.call
        if call and call.is_attempt and response.status == OK_STATUS and self.has_answered_ok:
            return  # the duplicate of an earlier response: an attempt's response never has this status
        self.call = None
        if call is None:
            self.abort()  # unsolicited response: later bytes could be taken for the response to another call
            return
        if self.has_unsent_bytes() and not call.ended:
            # A response to an earlier message, or a premature one. If the connection stayed open, the rest of
            # the message would still reach the executor and the attempt could run.
            self.abort()
            call.end(CallResult.UNSENT)
            return
        self._record_response(response)
        if self.parser.keep_alive and not call.ended and not is_rejection(response):
            self.endpoint.release(self)
        else:
            self.close()
        call.end(CallResult.ANSWERED, response)

    def _record_response(self, response):
        if response.status == OK_STATUS:
            self.has_answered_ok = True
        else:
            self.attempt_response_at = self.endpoint.pool.batch.clock()

    def may_get_duplicate(self, is_attempt, now):
        """Returns whether a next message could be answered by a duplicate of an earlier response.

        A duplicate of a response to a probe or a cancel cannot be taken for an attempt's response.

        Args:
            is_attempt: Whether the next message is an attempt.
            now: Time in ticks.
        """
        last_response_at = self.attempt_response_at if is_attempt else self.idle_since
        return now - last_response_at < self.endpoint.pool.duplicate_window or self._has_unread_bytes()

    def _has_unread_bytes(self):
        """Returns whether the kernel has bytes, or the executor's close, that were not read yet."""
        poll = select.poll()
        poll.register(self.transport.get_extra_info("socket"), select.POLLIN)
        return bool(poll.poll(0))

    def eof_received(self):
        """Called by asyncio on EOF from the executor, which may complete a response."""
        response = self.parser.end_of_stream()
        if response and self.call:
            self._response_received(response)
        elif self in self.endpoint.idle:
            pool = self.endpoint.pool
            pool.record_executor_close(pool.batch.clock() - self.idle_since)
        return False

    def connection_lost(self, exc):
        """Called by asyncio when the connection is closed."""
        self.endpoint.remove(self)
        call = self.call
        self.call = None
        if not call:
            return
        was_closed_by_executor = not call.ended
        if was_closed_by_executor and not self.is_new:
            self.endpoint.pool.record_executor_close(self.idle_time)
        call.end(CallResult.UNSENT if self.has_unsent_bytes() else CallResult.BROKEN)
