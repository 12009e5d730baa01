"""Calls to an executor, and the connections that carry them one at a time."""

from enum import Enum
from typing import NamedTuple

from loguru import logger

from grebedyke.errors import HttpProtocolError
from grebedyke.wire.connection import Connection

ACCEPTED_STATUS = 202


class CallResult(Enum):
    """How a call ended.

    Attributes:
        ANSWERED: The executor has responded.
        UNSENT: The last byte never reached the kernel, so the executor cannot have had the whole message.
        BROKEN: The connection ended without a response; the message may have arrived.
    """

    ANSWERED = "answered"
    UNSENT = "unsent"
    BROKEN = "broken"


class CallEnd(NamedTuple):
    """The end of a call.

    Attributes:
        result: How it ended.
        status: Status code of the response; 0 without one.
        headers: Headers of the response by lower-case name.
        body: Body of the response.
    """

    result: CallResult
    status: int
    headers: dict
    body: bytes


class ExecutorCall:
    """One message to an executor, until its end is reported once.

    Attributes:
        endpoint: The `ExecutorEndpoint`.
        head: Head of the message.
        body: Its body, None once the call has ended.
        on_end: Called with the `CallEnd`.
        carries_request: Whether the message is an attempt, not a probe or a cancel.
        incarnation: The endpoint's incarnation that the message is for.
        started_at: Time of the call, in ticks.
        needed_connect: Whether a connection was opened for it.
        connection: The connection that carries it, None before there is one.
        connect_task: The task that opens its connection, None if none is being opened.
        ended: Whether the end was reported, or nobody wants it any more.
    """

    __slots__ = (
        "endpoint",
        "head",
        "body",
        "on_end",
        "carries_request",
        "incarnation",
        "started_at",
        "needed_connect",
        "connection",
        "connect_task",
        "ended",
    )

    def __init__(self, endpoint, head, body, on_end, carries_request):
        self.endpoint = endpoint
        self.head = head
        self.body = body
        self.on_end = on_end
        self.carries_request = carries_request
        self.incarnation = endpoint.incarnation()
        self.started_at = endpoint.pool.batch.clock()
        self.needed_connect = False
        self.connection = None
        self.connect_task = None
        self.ended = False

    def end(self, result, response=None):
        """Reports the end once; `response` is the `HttpResponse`, None without one."""
        if self.ended:
            return
        self.ended = True
        self.body = None
        if response is None:
            self.on_end(CallEnd(result, 0, {}, b""))
        else:
            self.on_end(CallEnd(result, response.status, response.headers, response.body))

    def is_sent(self):
        """Returns whether the kernel has taken the whole message."""
        return self.connection is not None and not self.connection.has_unsent_bytes()

    def abandon(self):
        """Gives the message up without reporting an end; before a response that ends the connection."""
        if self.ended:
            return
        self.ended = True
        self.body = None
        if self.connect_task:
            self.connect_task.cancel()
        if self.connection:
            self.connection.abort()


class ExecutorConnection(Connection):
    """A connection to one executor.

    An executor may send a response twice. The second, if there is one, comes some milliseconds after the
    first: on a connection that carries again sooner it could be taken for the response to the next message.
    If it said that an attempt never ran which in fact runs, the request would be sent again and run twice.
    Such a response to an attempt is held back for `ExecutorPool.duplicate_window`: if another one follows,
    that one is the message's. Keeping connections idle for as long instead would cost three times the
    connects.

    Attributes:
        endpoint: The `ExecutorEndpoint`.
        incarnation: The endpoint's incarnation that the connection leads to.
        call: The `ExecutorCall` under way, None if there is none.
        idle_since: Since when the connection is idle, in ticks.
        idle_time: How long it was idle before the last call, in ticks.
        is_new: Whether it has not carried a whole call yet.
        expects_duplicate: Whether the response to come may be a duplicate of the one before.
        suspect_response: The `HttpResponse` that is held back, None if there is none.
    """

    def __init__(self, endpoint):
        super().__init__(endpoint.pool.batch.touch, reads_responses=True)
        self.endpoint = endpoint
        self.incarnation = endpoint.incarnation()
        self.call = None
        self.idle_since = 0
        self.idle_time = 0
        self.is_new = True
        self.expects_duplicate = False
        self.suspect_response = None

    def connection_made(self, transport):
        """Called by asyncio when the connection is up."""
        super().connection_made(transport)
        self.endpoint.connections[self] = None
        self.endpoint.pool.connections[self] = None

    def carry(self, call):
        """Sends a call's message at the end of this batch."""
        pool = self.endpoint.pool
        self.call = call
        call.connection = self
        self.idle_time = pool.batch.clock() - self.idle_since
        self.expects_duplicate = not self.is_new and self.idle_time < pool.duplicate_window
        self.send(call.head, call.body)

    def has_unsent_bytes(self):
        """Returns whether bytes of the message are still here or with the transport."""
        return bool(self.out.used or self.body or not self.fully_written)

    def process_input(self):
        """Handles each response; one that cannot be parsed ends the connection."""
        try:
            while response := self.parser.next_message():
                self._response_received(response)
            if self.call is None and self.parser.has_partial_message():
                self.abort()  # part of a line that nobody asked for: the next response would begin with it
        except HttpProtocolError as problem:
            if self.endpoint.pool.batch.metrics.count_and_may_log("odd"):
                logger.warning(
                    "executor {executor}: answer not understood: {why}",
                    event="answer-odd",
                    executor=self.endpoint.name,
                    why=str(problem),
                )
            self.abort()

    def _response_received(self, response):
        call = self.call
        self.call = None
        if call is None:
            self.abort()  # a response to nothing: what follows could be taken for another message's
            return
        if self.has_unsent_bytes() and not call.ended:
            # To an earlier message, or early to this one. On this connection the rest would still reach the
            # executor, as an attempt that counts.
            self.abort()
            call.end(CallResult.UNSENT)
            return
        if self._may_be_duplicate(call, response):
            self._withhold(call, response)
            return
        self.suspect_response = None
        if self.parser.keep_alive and not call.ended:
            self.endpoint.rest(self)
        else:
            self.close()
        call.end(CallResult.ANSWERED, response)

    def _may_be_duplicate(self, call, response):
        is_open_attempt = call.carries_request and not call.ended
        return self.expects_duplicate and is_open_attempt and response.status != ACCEPTED_STATUS

    def _withhold(self, call, response):
        self.call = call
        self.expects_duplicate = False
        self.suspect_response = response
        pool = self.endpoint.pool
        pool.batch.call_later(pool.duplicate_window, self._accept_suspect_response, call)

    def _accept_suspect_response(self, now, call):
        if self.call is call and self.suspect_response and not self.transport.is_closing():
            self._response_received(self.suspect_response)

    def eof_received(self):
        """Called by asyncio when the executor has ended its side, which may complete a response."""
        response = self.parser.end_of_stream()
        if response and self.call:
            self._response_received(response)
        elif self in self.endpoint.idle:
            pool = self.endpoint.pool
            pool.ended_by_executor(pool.batch.clock() - self.idle_since)
        return False

    def connection_lost(self, exc):
        """Called by asyncio when the connection has ended."""
        self.endpoint.remove(self)
        call = self.call
        self.call = None
        if not call:
            return
        was_ended_there = not call.ended
        if was_ended_there and not self.is_new:
            self.endpoint.pool.ended_by_executor(self.idle_time)
        call.end(CallResult.UNSENT if self.has_unsent_bytes() else CallResult.BROKEN)
