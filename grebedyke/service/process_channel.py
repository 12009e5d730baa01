"""A channel for messages with file descriptors between two processes of one node, over a Unix socket."""

import os
import socket
from collections import deque

import orjson

# A message is split into packets; the first byte of each marks whether another one follows.
PACKET_BYTES = 1 << 15
MORE_FOLLOWS = b"+"
LAST_PACKET = b"."
# Maximum number of packets read in one pass of the event loop.
PACKETS_PER_PASS = 64
MAX_DESCRIPTORS = 4
# With more bytes to send than this, the other process does not read: it stands still.
CONGESTED_BYTES = 4 << 20


class ProcessChannel:
    """Transfers JSON messages in order, each with its file descriptors.

    Attributes:
        loop: The event loop.
        socket: The Unix socket; None after the channel is closed.
        on_message: Called with the channel, a message and the list of its descriptors.
        on_end: Called with the channel when it is closed.
        queue: Packets to send, each with its descriptors.
        queued_bytes: The size of these packets.
        received: Data of an incomplete message.
        is_blocked: Whether the socket is not writable at present.
    """

    def __init__(self, loop, socket, on_message, on_end):
        self.loop = loop
        self.socket = socket
        self.on_message = on_message
        self.on_end = on_end
        self.queue = deque()
        self.queued_bytes = 0
        self.received = b""
        self.is_blocked = False
        socket.setblocking(False)
        loop.add_reader(socket, self._read)

    def send(self, message, *descriptors):
        """Sends a message; the caller may close the descriptors after the call."""
        if self.socket is None:
            return
        data = orjson.dumps(message)
        pieces = [data[start : start + PACKET_BYTES] for start in range(0, len(data), PACKET_BYTES)]
        for piece in pieces[:-1]:
            self._enqueue(MORE_FOLLOWS + piece, ())
        # Duplicated, as the caller may close the originals before the packet is sent.
        duplicates = [os.dup(descriptor) for descriptor in descriptors]
        self._enqueue(LAST_PACKET + pieces[-1], duplicates)
        self._write()

    def is_open(self):
        """Returns whether the channel is not closed."""
        return self.socket is not None

    def is_congested(self):
        """Returns whether more waits to be sent than the other process leaves unread while it runs."""
        return self.queued_bytes > CONGESTED_BYTES

    def _enqueue(self, packet, descriptors):
        self.queue.append((packet, descriptors))
        self.queued_bytes += len(packet)

    def _write(self):
        while self.queue:
            data, descriptors = self.queue[0]
            try:
                socket.send_fds(self.socket, [data], descriptors)
            except BlockingIOError:
                self._wait_until_writable()
                return
            except OSError:
                self.close()
                return
            self.queue.popleft()
            self.queued_bytes -= len(data)
            _close_all(descriptors)
        if self.is_blocked:
            self.is_blocked = False
            self.loop.remove_writer(self.socket)

    def _wait_until_writable(self):
        if not self.is_blocked:
            self.is_blocked = True
            self.loop.add_writer(self.socket, self._write)

    def _read(self):
        for _ in range(PACKETS_PER_PASS):
            if self.socket is None:
                return
            try:
                data, descriptors, _, _ = socket.recv_fds(
                    self.socket, PACKET_BYTES + 1, MAX_DESCRIPTORS, socket.MSG_CMSG_CLOEXEC
                )
            except BlockingIOError:
                return
            except OSError:
                data = b""
            if not data:
                self.close()
                return
            self.received += data[1:]
            if data[:1] == LAST_PACKET:
                message = orjson.loads(self.received)
                self.received = b""
                self.on_message(self, message, descriptors)

    def close(self):
        """Closes the channel; unsent messages are dropped."""
        if self.socket is None:
            return
        self.loop.remove_reader(self.socket)
        self.loop.remove_writer(self.socket)
        self.socket.close()
        self.socket = None
        for _, descriptors in self.queue:
            _close_all(descriptors)
        self.on_end(self)


def _close_all(descriptors):
    for descriptor in descriptors:
        os.close(descriptor)
