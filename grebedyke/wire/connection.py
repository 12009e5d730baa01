"""One TCP connection on asyncio's BufferedProtocol: a ring buffer each way, one write a batch."""

import asyncio

from grebedyke.wire.http_parser import DEFAULT_MAX_BODY_BYTES, HttpParser
from grebedyke.wire.ring_buffer import RingBuffer

# Rings are small, since there may be a thousand connections: bodies lie in buffers of their own size.
RECEIVE_BUFFER_BYTES = 8_192
SEND_BUFFER_BYTES = 2_048


class Connection(asyncio.BufferedProtocol):
    """Base class of all HTTP connections; a subclass says in `process_input` what it does with messages.

    Attributes:
        request_flush: Called with this connection when it has something to write; the host calls `flush` at
            the end of the batch.
        ring: Bytes received and not yet parsed.
        out: Heads of messages that wait for `flush`.
        body: Body of the last message in `out`, None if there is none.
        parser: Takes messages out of `ring`.
        transport: asyncio's transport, None before the connection is up.
        closes_when_flushed: Whether the connection ends with the next `flush`.
        half_closes: Whether only the sending side ends then, since the peer may still be writing: a close
            over unread bytes would reset the connection and could lose the last response.
        reading_paused: Whether reading stands still because `ring` is full.
        fully_written: Whether the kernel has taken all that was written. Only a message that it has not taken
            entirely may count as never sent.
    """

    def __init__(
        self,
        request_flush,
        reads_responses=False,
        max_body_bytes=DEFAULT_MAX_BODY_BYTES,
        unique_headers=(),
    ):
        self.request_flush = request_flush
        self.ring = RingBuffer(RECEIVE_BUFFER_BYTES)
        self.out = RingBuffer(SEND_BUFFER_BYTES)
        self.body = None
        self.parser = HttpParser(self.ring, reads_responses, max_body_bytes, unique_headers)
        self.transport = None
        self.closes_when_flushed = False
        self.half_closes = False
        self.reading_paused = False
        self.fully_written = True

    def process_input(self):
        """Handles what `ring` holds; called after each read."""
        raise NotImplementedError

    def connection_made(self, transport):
        """Called by asyncio when the connection is up."""
        self.transport = transport
        # asyncio then reports by pause_writing as soon as the kernel does not take everything.
        transport.set_write_buffer_limits(0)

    def get_buffer(self, sizehint):
        """Called by asyncio for the buffer to read into."""
        return self.ring.writable()

    def buffer_updated(self, nbytes):
        """Called by asyncio when so many bytes were read into the buffer."""
        self.ring.commit(nbytes)
        self.process_input()
        if not self.ring.free() and self.transport and not self.transport.is_closing():
            # asyncio takes an empty buffer for an error and ends the connection.
            self.reading_paused = True
            self.transport.pause_reading()

    def resume_if_free(self):
        """Goes on reading after a pause, if the ring has room again."""
        if self.reading_paused and self.ring.free():
            self.reading_paused = False
            self.transport.resume_reading()

    def pause_writing(self):
        """Called by asyncio when the kernel has not taken everything."""
        self.fully_written = False

    def resume_writing(self):
        """Called by asyncio when the kernel has taken everything."""
        self.fully_written = True

    def send(self, head, body=b"", close=False):
        """Queues one message until the end of the batch.

        Args:
            head: The head, in bytes.
            body: The body, in bytes.
            close: Whether the connection ends once the message is written.
        """
        if self.body or not self.out.put(head):
            self.flush()
            if not self.out.put(head):
                body = head + body
        self.body = body
        self.closes_when_flushed = self.closes_when_flushed or close
        self.request_flush(self)

    def flush(self):
        """Writes what is queued, and ends the connection if that was asked for."""
        head = self.out.take(self.out.used)
        body = self.body
        self.body = None
        if self.transport is None or self.transport.is_closing():
            self.fully_written = self.fully_written and not (head or body)
            return
        if head or body:
            self.transport.write(head + body if body else head)
            # A write that fails ends the transport at once, and of this message nothing has gone out.
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
            self.transport.abort()  # the peer has reset the connection, and asyncio has not yet read that

    def close(self):
        """Ends the connection once all that was written is with the kernel."""
        if self.transport:
            self.transport.close()

    def abort(self):
        """Ends the connection at once."""
        if self.transport:
            self.transport.abort()
