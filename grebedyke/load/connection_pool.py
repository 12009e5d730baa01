"""The connections of the load tool's clients to one node; idle ones are used again."""

import asyncio
import fcntl
import select
import struct
import termios
from typing import NamedTuple

MAX_IDLE_CONNECTIONS = 64
"""Maximum number of idle connections kept open to one node."""


class NodeConnection(NamedTuple):
    """A connection to a node.

    Attributes:
        reader: The stream reader.
        writer: The stream writer.
        is_reused: Whether an earlier request was sent on it.
    """

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    is_reused: bool

    def is_closed(self):
        """Returns whether the node has closed the connection and everything it sent is read.

        Asks the kernel, because the event loop may not have read the close yet. Unread bytes are left to be
        found as the answer that they pretend to be.
        """
        if self.reader.at_eof() or self.writer.is_closing():
            return True
        socket = self.writer.get_extra_info("socket")
        poll = select.poll()
        poll.register(socket, select.POLLRDHUP)
        return bool(poll.poll(0)) and not _unread_byte_count(socket)


class ConnectionPool:
    """The connections to one node.

    Attributes:
        address: The node's (host, port).
    """

    def __init__(self, address):
        self.address = address
        self._idle = []

    async def acquire(self):
        """Returns an idle `NodeConnection`, or a new one if there is none.

        Raises:
            OSError: The node does not accept a connection, or has closed it already.
        """
        while self._idle:
            connection = self._idle.pop()
            if not connection.is_closed():
                return connection
            connection.writer.close()
        connection = NodeConnection(*await asyncio.open_connection(*self.address), is_reused=False)
        if connection.is_closed():
            connection.writer.close()
            raise ConnectionResetError("the node closed the new connection")
        return connection

    def release(self, connection):
        """Keeps a connection for a later request, or closes it if enough are idle."""
        if len(self._idle) >= MAX_IDLE_CONNECTIONS:
            connection.writer.close()
        else:
            self._idle.append(connection._replace(is_reused=True))

    def close(self):
        """Closes all idle connections."""
        for connection in self._idle:
            connection.writer.close()


def _unread_byte_count(socket):
    size = struct.Struct("i")
    answer = fcntl.ioctl(socket.fileno(), termios.FIONREAD, bytes(size.size))
    (count,) = size.unpack(answer)
    return count
