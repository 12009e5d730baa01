"""One TCP connection on asyncio's BufferedProtocol: a ring in, a ring out, written once a turn."""

import asyncio

from grebedyke.wire.http import Parser
from grebedyke.wire.ring import RingBuffer

# Rings are small, since there may be a thousand connections: bodies lie in buffers of their own size.
INWARD, OUTWARD = 8_192, 2_048


class Connection(asyncio.BufferedProtocol):
    """`touch` puts the connection on the list of those that are written at the end of the turn."""

    def __init__(self, touch, answers=False, largest=65_536, once=()):
        self.touch, self.ring, self.out = touch, RingBuffer(INWARD), RingBuffer(OUTWARD)
        self.parser = Parser(self.ring, answers, largest, once)
        self.transport, self.body, self.last, self.paused = None, None, False, False
        self.lingers = False  # the peer may still be writing: closing at once would reset the last answer
        # Whether all that was written is with the kernel: only a message that is not may count as never sent.
        self.whole = True

    def connection_made(self, transport):
        self.transport = transport
        transport.set_write_buffer_limits(0)

    def get_buffer(self, hint):
        return self.ring.room()

    def buffer_updated(self, n):
        self.ring.wrote(n)
        self.read()
        if not self.ring.free() and self.transport and not self.transport.is_closing():
            self.paused = True  # an empty buffer would end the connection
            self.transport.pause_reading()

    def more(self):
        """Read on after a pause, as soon as there is room again."""
        if self.paused and self.ring.free():
            self.paused = False
            self.transport.resume_reading()

    def pause_writing(self):
        self.whole = False

    def resume_writing(self):
        self.whole = True

    def send(self, head, body=b"", last=False):
        """One message; `last`: the connection ends once it is written."""
        if self.body or not self.out.put(head):
            self.flush()
            if not self.out.put(head):
                body = head + body
        self.body, self.last = body, self.last or last
        self.touch(self)

    def flush(self):
        head, body, self.body = self.out.take(self.out.used), self.body, None
        if self.transport is None or self.transport.is_closing():
            self.whole = self.whole and not (head or body)
            return
        if head or body:
            self.transport.write(head + body if body else head)
            # A write that fails ends the transport at once, and of this message nothing has gone out.
            self.whole = self.whole and not self.transport.is_closing()
        if self.last and self.lingers:
            try:
                self.transport.write_eof()
            except OSError:
                self.transport.abort()  # the peer has reset it, which is not read yet
        elif self.last:
            self.transport.close()

    def close(self):
        if self.transport:
            self.transport.close()

    def abort(self):
        if self.transport:
            self.transport.abort()
