"""One accepted connection: a client's, or an executor's that makes its call-backs on it."""

from loguru import logger

from grebedyke.errors import HttpProtocolError
from grebedyke.units import TICKS_PER_SECOND
from grebedyke.wire.connection import Connection
from grebedyke.wire.http_messages import CONTINUE_RESPONSE, response_head
from grebedyke.wire.request_headers import UNIQUE_REQUEST_HEADERS

# What the client writes behind an open request is read and thrown away into this one buffer.
DISCARD_BUFFER = memoryview(bytearray(1 << 18))
# So much behind an open request is read at once, since the client's close stands behind it.
MAX_BYTES_BEHIND_REQUEST = 1 << 22
# After so many thrown away bytes reading pauses: a huge body would take the node's time from other clients.
DISCARD_PAUSE_BYTES = 1 << 18
# Ticks that such a pause lasts while a request is open.
DISCARD_PAUSE = 200
# Ticks for which a connection that ends with an error is still read: a close over unread bytes would reset it
# and could lose the response.
LINGER_TIME = TICKS_PER_SECOND


class ClientConnection(Connection):
    """A connection that the client listener has accepted; it handles one request at a time.

    Bytes that arrive while a request waits for its response are not parsed before that response is written.

    Attributes:
        listener: The `ClientListener`.
        open_request: What the rest of the node keeps of the request that waits for its response, or None.
        keep_alive: Whether the last message allows another on this connection.
        over_limit: Whether the connection came beyond the limit on connections: it ends with its first
            response.
        proven: Whether it has carried a valid request or a call-back.
        is_executor: Whether it has carried a call-back.
        awaits_first_request: Whether no request was handed on from it yet.
        overflowed: Whether the client wrote more behind an open request than the ring holds.
        bytes_discarded: Bytes thrown away since reading last paused.
        bytes_behind_request: Bytes thrown away behind open requests.
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
        self.bytes_behind_request = 0

    def connection_made(self, transport):
        """Called by asyncio when the connection is up."""
        super().connection_made(transport)
        self.listener.connections.add(self)

    def connection_lost(self, exc):
        """Called by asyncio when the connection has ended."""
        self.listener.connection_closed(self)

    def eof_received(self):
        """Called by asyncio when the client has ended its side: it has left, also with a request open.

        The connection's own end may come much later, where the client does not read what is written to it.
        """
        self.listener.client_left(self)
        return False

    # Reading.

    def get_buffer(self, sizehint):
        """Called by asyncio for the buffer to read into."""
        if self.overflowed and self.open_request is not None:
            return DISCARD_BUFFER
        return super().get_buffer(sizehint)

    def buffer_updated(self, nbytes):
        """Called by asyncio when so many bytes were read into the buffer."""
        if self.overflowed and self.open_request is not None:
            self._discarded(nbytes)
        else:
            super().buffer_updated(nbytes)

    def unhandled_bytes(self):
        """Returns how many bytes were read behind the open request."""
        return self.ring.used + self.bytes_behind_request

    def process_input(self):
        """Hands the next message to the listener, if no request is open."""
        if self.open_request is not None and (self.overflowed or not self.ring.free()):
            self._overflow()
            return
        if self.closes_when_flushed:
            self._discard_after_last_response()
            return
        self._handle_messages()
        if self._is_in_message() and self.parser.expects_continue:
            self.parser.expects_continue = False
            self.send(CONTINUE_RESPONSE)
        self.listener.connections.reclassify(self)

    def _is_in_message(self):
        return (
            self.open_request is None and not self.closes_when_flushed and self.parser.has_partial_message()
        )

    def _handle_messages(self):
        try:
            while self.open_request is None and not self.closes_when_flushed:
                request = self.parser.next_message()
                if request is None:
                    break
                self.keep_alive = self.parser.keep_alive
                self.listener.handle(self, request)
        except HttpProtocolError as problem:
            self.half_closes = True
            self.ring.skip(self.ring.used)
            self.respond(problem.status, str(problem).encode(), close=True)
            self.listener.batch.call_later(LINGER_TIME, lambda now: self.close())
        except Exception:
            # Keeps all other connections alive: a message that the node cannot handle ends only its own.
            if self.listener.batch.metrics.count_and_may_log("faults"):
                logger.exception("client connection: a message could not be read", event="client-fault")
            self.respond(500, close=True)

    def _overflow(self):
        """Throws away what is behind an open request; the response to that request ends the connection.

        Reading that paused until the response did not see the client leave: its request was still sent to an
        executor, and what stood behind it was taken for a request whose client waits.
        """
        self.overflowed = True
        self.keep_alive = False
        self.half_closes = True
        self._discarded(self.ring.used)
        self.ring.skip(self.ring.used)

    def _discarded(self, count):
        self.bytes_discarded += count
        self.bytes_behind_request += count
        if (
            self.bytes_discarded > DISCARD_PAUSE_BYTES
            and self.bytes_behind_request > MAX_BYTES_BEHIND_REQUEST
            and not self.transport.is_closing()
        ):
            self.bytes_discarded = 0
            self.transport.pause_reading()
            self.listener.batch.call_later(DISCARD_PAUSE, lambda now: self.transport.resume_reading())

    def _discard_after_last_response(self):
        self.bytes_discarded += self.ring.used
        self.ring.skip(self.ring.used)
        if self.bytes_discarded > DISCARD_PAUSE_BYTES and not self.transport.is_closing():
            self.transport.pause_reading()

    # Responding.

    def respond(self, status, body=b"", headers="", close=False):
        """Queues a response; `close`: the connection ends with it, as it may for other reasons too."""
        close = close or not self.keep_alive or self.over_limit or self.listener.closes_connections
        self.send(response_head(status, len(body), not close, headers), body, close)

    def request_answered(self):
        """Called when the response to the open request is queued: what has arrived meanwhile is read now."""
        self.open_request = None
        if self.half_closes:
            self.bytes_discarded = 0
            self.listener.batch.call_later(LINGER_TIME, lambda now: self.close())
        if not self.closes_when_flushed and self.parser.has_partial_message():
            self.process_input()
        self.resume_if_free()
        self.listener.connections.reclassify(self)

    def flush(self):
        """Writes what is queued; a connection at rest goes to the successor, if there is one."""
        super().flush()
        # At once: a client that has its response may send its next request before anyone looks again.
        if self.listener.transfer and self.is_transferable():
            self.listener.transfer(self)

    def close(self):
        """Ends the connection; a response that waits for the end of the batch is written first."""
        if self.transport and not self.transport.is_closing():
            self.flush()
        super().close()

    def is_closed(self):
        """Returns whether the connection has ended or is about to."""
        return self.transport is None or self.transport.is_closing()

    def is_transferable(self):
        """Returns whether another process can go on with the connection.

        That is so where nothing is half read, open or still to be written here.
        """
        if self.open_request is not None or self.closes_when_flushed or self.parser.has_partial_message():
            return False
        if self.out.used or self.body or self.is_closed():
            return False
        return not self.transport.get_write_buffer_size()
