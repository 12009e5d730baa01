"""Base of HTTP connections on asyncio's BufferedProtocol: ring buffers, and one write per batch."""

import asyncio

from grebedyke.wire.http_parser import DEFAULT_MAX_BODY_BYTES, HttpParser
from grebedyke.wire.ring_buffer import RingBuffer

# Small, as there may be a thousand connections; message bodies have buffers of their own.
RECEIVE_BUFFER_BYTES = 8_192
SEND_BUFFER_BYTES = 2_048


class Connection(asyncio.BufferedProtocol):
    """Base class of all HTTP connections; subclasses handle messages in `process_input`.

    Attributes:
        request_flush: Called with this connection when it has data to write; the batch loop calls `flush` at
            the end of the batch.
        ring: Received bytes that are not parsed yet.
        out: Message heads queued for `flush`.
        body: Body of the last message in `out`, None if there is none.
        parser: Parses messages from `ring`.
        transport: asyncio's transport, None before the connection is established.
        closes_when_flushed: Whether the next `flush` closes the connection.
        half_closes: Whether that close ends only the sending side, because the peer may still be writing:
            closing a socket with unread bytes resets the connection, and the peer may lose the last response.
        reading_paused: Whether reading is paused because `ring` is full.
        fully_written: Whether the kernel has accepted all written bytes. A message counts as never sent only
            if the kernel has not accepted all of it.
    """

    def __init__(
        self,
        request_flush,
        reads_responses=False,
        max_body_bytes=DEFAULT_MAX_BODY_BYTES,
        unique_headers=(),
        max_parts=None,
    ):
        self.request_flush = request_flush
        self.ring = RingBuffer(RECEIVE_BUFFER_BYTES)
        self.out = RingBuffer(SEND_BUFFER_BYTES)
        self.body = None
        self.parser = HttpParser(self.ring, reads_responses, max_body_bytes, unique_headers, max_parts)
        self.transport = None
        self.closes_when_flushed = False
        self.half_closes = False
        self.reading_paused = False
        self.fully_written = True

    def process_input(self):
        """Handles the bytes in `ring`; called after each read."""
        raise NotImplementedError

    def connection_made(self, transport):
        """Called by asyncio when the connection is established."""
        self.transport = transport
        # With a limit of 0, asyncio calls pause_writing as soon as the kernel does not accept all bytes.
        transport.set_write_buffer_limits(0)

    def get_buffer(self, sizehint):
        """Called by asyncio to get the buffer to read into."""
        return self.ring.writable()

    def buffer_updated(self, nbytes):
        """Called by asyncio after reading `nbytes` into the buffer."""
        self.ring.commit(nbytes)
        self.process_input()
        if not self.ring.free() and self.transport and not self.transport.is_closing():
            # asyncio treats an empty read buffer as an error and closes the connection.
            self.reading_paused = True
            self.transport.pause_reading()

    def resume_if_free(self):
        """Resumes paused reading if the ring has free space again."""
        if self.reading_paused and self.ring.free():
            self.reading_paused = False
            self.transport.resume_reading()

    def pause_writing(self):
        """Called by asyncio when the kernel has not accepted all written bytes."""
        self.fully_written = False

    def resume_writing(self):
        """Called by asyncio when the kernel has accepted all written bytes."""
        self.fully_written = True

    def send(self, head, body=b"", close=False):
        """Queues one message, which is written at the end of the batch.

        Args:
            head: The head, in bytes.
            body: The body, in bytes.
            close: Whether to close the connection after the message.
        """
        if self.body or not self.out.put(head):
            self.flush()
            if not self.out.put(head):
                body = head + body
        self.body = body
        self.closes_when_flushed = self.closes_when_flushed or close
        self.request_flush(self)

    def flush(self):
        """Writes queued data, then closes the connection if `closes_when_flushed` is set."""
        head = self.out.take(self.out.used)
        body = self.body
        self.body = None
        if self.transport is None or self.transport.is_closing():
            self.fully_written = self.fully_written and not (head or body)
            return
        if head or body:
            self.transport.write(head + body if body else head)
            # A failed write closes the transport immediately, and no byte of this message was sent.
            self.fully_written = self.fully_written and not self.transport.is_closing()
        if self.closes_when_flushed:
            self._end_sending()

    def _end_sending(self):
        if not self.half_closes:
            self.transport.close()
            return
        try:
            self.transport.write_eof()
        except OSError:
            self.transport.abort()  # the peer has reset the connection, which asyncio has not noticed yet

    def close(self):
        """Closes the connection after the kernel has accepted all written bytes."""
        if self.transport:
            self.transport.close()

    def abort(self):
        """Closes the connection immediately and drops unsent data."""
        if self.transport:
            self.transport.abort()
