"""A connection accepted by the client listener, from a client or from an executor that sends call-backs."""

from functools import partial

from loguru import logger

from grebedyke.errors import HttpProtocolError
from grebedyke.units import TICKS_PER_SECOND
from grebedyke.wire.connection import Connection
from grebedyke.wire.connection_end import ConnectionEnd
from grebedyke.wire.http_messages import CONTINUE_RESPONSE, response_head
from grebedyke.wire.request_headers import UNIQUE_REQUEST_HEADERS
from grebedyke.wire.response_pace import CONNECTION_UNITS
from grebedyke.wire.tcp_state import is_closed_by_peer
from grebedyke.wire.work_allowance import CALL_BACK_UNITS, IMMEDIATE_RESPONSE_UNITS, WorkAllowance

# Shared buffer for data that a client sends after an open request; the data is read and discarded.
DISCARD_BUFFER = memoryview(bytearray(1 << 18))
# Bytes after an open request that are read without a pause: the client's close can only be seen behind them.
MAX_PIPELINED_BYTES = 1 << 22
# Reading pauses after this many discarded bytes: reading a huge body would delay other clients.
DISCARD_PAUSE_BYTES = 1 << 18
# Ticks of this pause while a request is open.
DISCARD_PAUSE_TIME = 200
# Ticks for which a connection is still read after an error response: closing a socket with unread bytes
# resets the connection, and the client may lose the response.
LINGER_TIME = TICKS_PER_SECOND


class ClientConnection(Connection):
    """A connection accepted by the client listener; it handles one request at a time.

    Bytes that arrive while a request is open are parsed only after its response is written. Messages that are
    answered at once are handled only while the client reads the responses, and within a `WorkAllowance`.

    Attributes:
        listener: The `ClientListener`.
        open_request: The node's record of the request that waits for its response, or None.
        keep_alive: Whether the last message allows a further message on this connection.
        over_limit: Whether the connection exceeds the limit on connections; it is closed after its first
            response.
        proven: Whether a valid request or a call-back has arrived on it.
        is_executor: Whether a call-back has arrived on it.
        awaits_first_request: Whether no request of this connection has been passed to the node yet.
        overflowed: Whether the client sent more after an open request than the ring buffer holds.
        bytes_discarded: Bytes discarded since reading last paused.
        pipelined_bytes: Bytes sent after open requests and discarded.
        allowance: The `WorkAllowance`.
        body_bytes: Length of the body of the last message.
        peer_host: Address of the peer without its port, for the log.
        end_reason: The `ConnectionEnd`, if the connection ended now.
        has_delayed_response: Whether the response to its last message is held back; see `ResponsePace`.
        closes_after_delayed: Whether that response is the last one.
        setup_units: Units of work for the connection itself that are not charged yet.
        unread_since: Time in ticks since which the kernel has not accepted all written bytes; None if it has.
        timers: The timers set for this connection, cancelled when it ends.
        has_ended: Whether asyncio has reported its end.
    """

    def __init__(self, listener):
        super().__init__(listener.batch.touch, unique_headers=UNIQUE_REQUEST_HEADERS)
        self.listener = listener
        self.open_request = None
        self.keep_alive = True
        self.over_limit = False
        self.proven = False
        self.is_executor = False
        self.awaits_first_request = True
        self.overflowed = False
        self.bytes_discarded = 0
        self.pipelined_bytes = 0
        self.allowance = WorkAllowance(listener.batch.clock)
        self.body_bytes = 0
        self.peer_host = "-"
        self.end_reason = ConnectionEnd.BY_PEER
        self.has_delayed_response = False
        self.closes_after_delayed = False
        self.setup_units = CONNECTION_UNITS
        self.unread_since = None
        self.timers = []
        self.has_ended = False
        self._waits_for_allowance = False

    def connection_made(self, transport):
        """Called by asyncio when the connection is established."""
        super().connection_made(transport)
        peer_address = transport.get_extra_info("peername")
        if peer_address:
            self.peer_host = peer_address[0]
        self.listener.connections.add(self)

    def connection_lost(self, exc):
        """Called by asyncio when the connection is closed."""
        self.has_ended = True
        for timer in self.timers:
            timer.cancel()
        self.timers.clear()
        self.listener.connection_closed(self)

    def eof_received(self):
        """Called by asyncio on EOF from the client, which counts as leaving, even with a request open.

        `connection_lost` may come much later if the client does not read the data written to it.
        """
        self.listener.client_left(self)
        return False

    # Reading.

    def get_buffer(self, sizehint):
        """Called by asyncio to get the buffer to read into."""
        if self.overflowed and self.open_request is not None:
            return DISCARD_BUFFER
        return super().get_buffer(sizehint)

    def buffer_updated(self, nbytes):
        """Called by asyncio after reading `nbytes` into the buffer."""
        if self.overflowed and self.open_request is not None:
            self._discarded(nbytes)
        else:
            super().buffer_updated(nbytes)

    def unhandled_bytes(self):
        """Returns the number of bytes read after the open request."""
        return self.ring.used + self.pipelined_bytes

    def process_input(self):
        """Passes the next message to the listener if no request is open."""
        if self.open_request is not None and (self.overflowed or not self.ring.free()):
            self._overflow()
            return
        if self.is_ending():
            self._discard_after_last_response()
            return
        self._handle_messages()
        if self._is_in_message() and self.parser.expects_continue:
            self.parser.expects_continue = False
            self.send(CONTINUE_RESPONSE)
        self.listener.connections.reclassify(self)
        self.listener.admission.update_memory(self)

    def held_bytes(self):
        """Returns the memory of the open request's body, or of a message that is incomplete."""
        if self.is_ending():
            return 0
        return self.parser.partial_message_bytes() if self.open_request is None else self.body_bytes

    def unread_bytes(self):
        """Returns the memory of an answer that the kernel has not accepted, as the client does not read."""
        return 0 if self.unread_since is None else self.transport.get_write_buffer_size()

    def refuse_incomplete_message(self):
        """Answers an incomplete message with 503 and discards it."""
        self.half_closes = True
        self.end_reason = ConnectionEnd.NO_MEMORY
        self.ring.skip(self.ring.used)
        self.parser.discard_message()
        self.respond(503, close=True)
        self._call_later(LINGER_TIME, self._close_at)

    def _is_in_message(self):
        return self.open_request is None and not self.is_ending() and self.parser.has_partial_message()

    def _handle_messages(self):
        try:
            while self._can_handle_message():
                request = self.parser.next_message(max_steps=self.allowance.left)
                self.allowance.charge(self.parser.steps_taken)
                if request is not None:
                    self.keep_alive = self.parser.keep_alive
                    self.body_bytes = len(request.body)
                    self.listener.handle(self, request)
                elif self.allowance.left > 0:
                    break
        except HttpProtocolError as problem:
            self.half_closes = True
            self.end_reason = ConnectionEnd.MALFORMED
            self.ring.skip(self.ring.used)
            self.refuse_message(problem.status, str(problem).encode(), close=True)
        except Exception:
            # A defect in handling one message must end only its connection, not the others.
            if self.listener.batch.metrics.count_and_may_log("faults"):
                logger.exception("client connection: error while handling a message", event="client-fault")
            self.end_reason = ConnectionEnd.FAULT
            self.respond(500, close=True)

    def _can_handle_message(self):
        """Returns whether a further message may be handled now; otherwise its bytes wait."""
        if (
            self.open_request is not None
            or self.is_ending()
            or self.has_delayed_response
            or not self.fully_written
        ):
            return False
        wait = self.allowance.wait_time()
        if wait and not self._waits_for_allowance:
            self._waits_for_allowance = True
            self._call_later(wait, self._continue_after_wait)
        return not wait

    def _continue_after_wait(self, now):
        self._waits_for_allowance = False
        self.continue_input()

    def continue_input(self):
        """Handles the messages that have waited in the ring buffer."""
        if not self.is_closed() and self.parser.has_partial_message():
            self.process_input()
            self.resume_if_free()

    def pause_writing(self):
        """Called by asyncio when the kernel has not accepted all written bytes."""
        super().pause_writing()
        self.unread_since = self.listener.batch.clock()
        self.listener.admission.update_unread(self)

    def resume_writing(self):
        """Called by asyncio when the kernel has accepted all written bytes."""
        super().resume_writing()
        self.unread_since = None
        self.listener.admission.update_unread(self)
        self.continue_input()

    def _overflow(self):
        """Discards data that follows an open request; the connection is closed after the response.

        Reading continues because pausing it until the response would hide the client's close: the request
        would still be sent to an executor, and the data after it would be taken for a further request.
        """
        self.overflowed = True
        self.keep_alive = False
        self.half_closes = True
        self.end_reason = ConnectionEnd.OVERFLOWED
        self._discarded(self.ring.used)
        self.ring.skip(self.ring.used)

    def _discarded(self, count):
        self.bytes_discarded += count
        self.pipelined_bytes += count
        if (
            self.bytes_discarded > DISCARD_PAUSE_BYTES
            and self.pipelined_bytes > MAX_PIPELINED_BYTES
            and not self.transport.is_closing()
        ):
            self.bytes_discarded = 0
            self.transport.pause_reading()
            self._call_later(DISCARD_PAUSE_TIME, self._resume_discarding)

    def _resume_discarding(self, now):
        self.transport.resume_reading()

    def _discard_after_last_response(self):
        self.bytes_discarded += self.ring.used
        self.ring.skip(self.ring.used)
        if self.bytes_discarded > DISCARD_PAUSE_BYTES and not self.transport.is_closing():
            self.transport.pause_reading()

    # Responding.

    def respond(self, status, body=b"", headers="", close=False):
        """Queues a response; with `close`, or if the connection cannot stay open, closes it afterwards."""
        close = close or not self.keep_alive or self.over_limit or self.listener.closes_connections
        if close and self.end_reason is ConnectionEnd.BY_PEER:
            self.end_reason = ConnectionEnd.DONE
        self.send(response_head(status, len(body), not close, headers), body, close)

    def respond_paced(self, status, body=b"", headers="", close=False):
        """Responds to a message that is no request, as soon as `ResponsePace` allows it; see `respond`."""
        units = IMMEDIATE_RESPONSE_UNITS + self.setup_units
        self.setup_units = 0
        self.has_delayed_response = True
        self.closes_after_delayed = close
        respond = partial(self._respond_now, status, body, headers, close)
        self.listener.admission.pace.call(self, units, respond)

    def acknowledge_call_back(self, status):
        """Responds to a call-back about a job of this node, as soon as `ResponsePace` allows it."""
        self.has_delayed_response = True
        self.closes_after_delayed = False
        respond = partial(self._respond_now, status, b"", "", False)
        self.listener.admission.call_back_pace.call(self, CALL_BACK_UNITS, respond)

    def _respond_now(self, status, body, headers, close):
        self.has_delayed_response = False
        self.respond(status, body, headers, close)
        if close:
            self._call_later(LINGER_TIME, self._close_at)

    def refuse_message(self, status, body=b"", headers="", close=False):
        """Answers a message that is no sound request with an error status; see `respond_paced`."""
        self.listener.admission.message_refused(self, status)
        self.respond_paced(status, body, headers, close)

    def refuse_overdue_message(self):
        """Answers that the message was not complete in time, and closes the connection."""
        self.end_reason = ConnectionEnd.OVERDUE
        self.listener.admission.message_refused(self, 408)
        self.respond(408, close=True)

    def request_answered(self):
        """Called when the response to the open request is queued; processes input received since."""
        self.open_request = None
        if self.half_closes:
            self.bytes_discarded = 0
            self._call_later(LINGER_TIME, self._close_at)
        if not self.is_ending() and self.parser.has_partial_message():
            self.process_input()
        self.resume_if_free()
        self.listener.connections.reclassify(self)
        self.listener.admission.update_memory(self)

    def flush(self):
        """Writes queued data; during a hot restart, hands an idle connection to the successor."""
        super().flush()
        # Done here because the client may send its next request as soon as it has the response.
        if self.listener.transfer and self.is_transferable():
            self.listener.transfer(self)

    def close(self):
        """Closes the connection after writing a response that is queued for the end of the batch."""
        if self.transport and not self.transport.is_closing():
            self.flush()
        super().close()

    def end_unread(self):
        """Closes the connection of a client that does not read its answer."""
        self.end_reason = ConnectionEnd.NOT_READING
        self.abort()

    def abort_later(self, wait):
        """Closes the connection after `wait` ticks, even if the peer has not read what was written."""
        self._call_later(wait, self._abort_at)

    def _close_at(self, now):
        self.close()

    def _abort_at(self, now):
        self.abort()

    def _call_later(self, wait, call):
        """Sets a timer that ends with the connection."""
        if self.has_ended:
            return
        self.timers = [timer for timer in self.timers if timer.call is not None]
        self.timers.append(self.listener.batch.call_later(wait, call))

    def is_ending(self):
        """Returns whether its last response is queued or held back."""
        return self.closes_when_flushed or (self.has_delayed_response and self.closes_after_delayed)

    def is_closed(self):
        """Returns whether the connection is closed or closing."""
        return self.transport is None or self.transport.is_closing()

    def has_left(self):
        """Returns whether the client has closed its side, also if that stands behind bytes not read yet."""
        if self.is_closed():
            return True
        return is_closed_by_peer(self.transport.get_extra_info("socket"))

    def end_departed(self):
        """Closes the connection of a client that has left, whose close has not been read yet."""
        self.listener.client_left(self)
        self.close()

    def is_transferable(self):
        """Returns whether the connection can be handed to another process.

        It must have no partly read message, no open request and no unwritten data.
        """
        if self.open_request is not None or self.is_ending() or self.has_delayed_response:
            return False
        if self.parser.has_partial_message():
            return False
        if self.out.used or self.body or self.is_closed():
            return False
        return not self.transport.get_write_buffer_size()
