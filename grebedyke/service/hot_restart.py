"""The hot restart: a new process takes over from the one that serves, without a request lost.

The old process, the predecessor, serves until the new one, its successor, does, and gives it all it has. They
share a channel by a socket in a folder that only this node's processes see. Each keeps its own requests; what
comes to the wrong process goes over the channel.
"""

import os
import socket
from enum import StrEnum

from loguru import logger

from grebedyke.service.process_channel import ProcessChannel

PROTOCOL_VERSION = 1
# Seconds that a new process waits for the predecessor's state. That one may be short of CPU just then, as the
# start takes its part, and without its state connections have to be closed.
STATE_TIMEOUT_S = 3.0
SOCKET_PERMISSIONS = 0o600
SOCKET_BACKLOG = 4
# The address of a Unix socket holds 107 bytes.
MAX_PATH_BYTES = 100


class MessageKind(StrEnum):
    """Kinds of messages between the two processes, as on the wire.

    Attributes:
        HELLO: A successor begins.
        STATE: What the predecessor has, with its listening socket.
        READY: The successor serves.
        JOB_UPDATE: A call-back about a request that the sender does not have.
        CONNECTION: A client's connection that the successor goes on with.
        BAN: An operator has banned an endpoint or ended the ban.
        RELOAD: The signal to reload came to the sender.
    """

    HELLO = "hello"
    STATE = "books"
    READY = "ready"
    JOB_UPDATE = "news"
    CONNECTION = "client"
    BAN = "hand"
    RELOAD = "reload"


class HotRestart:
    """This process's side of a hot restart: successor at its start, later predecessor.

    Attributes:
        loop: The event loop.
        path: Of the socket by which a successor finds this process; None if there is to be none.
        export_state: Returns the fields of a `STATE` message and the listening socket's descriptor.
        handlers: By `MessageKind`, called with the fields of a message; `STATE` with all of them as one.
        on_shared: Called with True when there is another process, with False when there is none any more.
        server: The socket on which a successor is awaited, None if none is.
        predecessor: Channel to the process before this one, None if there is none.
        successor: Channel to the process after this one, None if there is none.
        successor_is_ready: Whether that serves.
        is_offered: Whether this process wants a successor.
    """

    def __init__(self, loop, folder, name, export_state, handlers, on_shared):
        self.loop = loop
        self.path = os.path.join(folder, f"{name.replace('/', '_')}.handover") if folder else None
        self.export_state = export_state
        self.handlers = handlers
        self.on_shared = on_shared
        self.server = None
        self.predecessor = None
        self.successor = None
        self.successor_is_ready = False
        self.is_offered = False
        self._state_received = None  # future: the descriptors that came with the state, None without one
        self._folder_descriptor = None

    # The successor's side.

    async def inherit(self):
        """Returns the listening socket of the process that serves, once its state is here.

        Returns:
            None if no process serves or it sent no state in time.
        """
        if not self.path:
            return None
        client = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        client.setblocking(False)
        try:
            await self.loop.sock_connect(client, self._short_path(self.path))
        except OSError:
            client.close()  # nobody is there, or a killed process has left its socket
            return None
        self._state_received = self.loop.create_future()
        self.predecessor = ProcessChannel(self.loop, client, self._on_message, self._on_end)
        self.predecessor.send({"kind": MessageKind.HELLO, "version": PROTOCOL_VERSION})
        timer = self.loop.call_later(STATE_TIMEOUT_S, self.predecessor.close)
        descriptors = await self._state_received
        timer.cancel()
        return socket.socket(fileno=descriptors[0]) if descriptors else None

    def offer(self):
        """Lets the next process find this one; whatever was there before is no longer found."""
        if not self.path:
            return
        server = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        try:
            self._bind(server)
        except OSError as problem:
            server.close()
            logger.warning("no handover: {why}", event="handover-none", why=str(problem))
            return
        self.withdraw()
        server.setblocking(False)
        self.server = server
        self.is_offered = True
        self.loop.add_reader(server, self._accept)
        if self.predecessor:
            self.predecessor.send({"kind": MessageKind.READY})

    def _bind(self, server):
        """Binds under a name of this process and renames: at no moment does a successor find nobody."""
        own_path = f"{self.path}.{os.getpid()}"
        if os.path.lexists(own_path):
            os.unlink(own_path)
        server.bind(self._short_path(own_path))
        os.chmod(own_path, SOCKET_PERMISSIONS)
        server.listen(SOCKET_BACKLOG)
        os.rename(own_path, self.path)

    def _short_path(self, path):
        """Returns a path that a socket's address holds: a longer one by its folder's descriptor."""
        if len(os.fsencode(path)) < MAX_PATH_BYTES:
            return path
        if self._folder_descriptor is None:
            self._folder_descriptor = os.open(os.path.dirname(path), os.O_PATH)
        return f"/proc/self/fd/{self._folder_descriptor}/{os.path.basename(path)}"

    # The predecessor's side.

    def _accept(self):
        try:
            connection, _ = self.server.accept()
        except OSError:
            return
        ProcessChannel(self.loop, connection, self._on_message, self._on_end)

    def withdraw(self):
        """Accepts no successor any more."""
        if self.server:
            self.loop.remove_reader(self.server)
            self.server.close()
            self.server = None

    def hand_over(self, connection, **fields):
        """Sends a client's socket to the successor."""
        self.successor.send({"kind": MessageKind.CONNECTION, **fields}, connection.fileno())

    # Both sides.

    def send(self, kind, **fields):
        """Sends a message to the other process, where there is one."""
        for channel in (self.predecessor, self.successor):
            if channel:
                channel.send({"kind": kind, **fields})

    def close(self):
        """Ends the channels, and is no longer found."""
        self.is_offered = False
        if self.server:
            try:
                os.unlink(self.path)
            except OSError:
                pass
        self.withdraw()
        for channel in (self.predecessor, self.successor):
            if channel:
                channel.close()

    def _on_message(self, channel, message, descriptors):
        kind = message.pop("kind", None)
        try:
            self._handle(channel, kind, message, descriptors)
        except Exception:
            # Keeps the process that serves alive: a message of another version must not end it.
            logger.exception("handover: a word of the other process failed", event="handover-fault")
        finally:
            for descriptor in descriptors:
                os.close(descriptor)

    def _handle(self, channel, kind, message, descriptors):
        """Handles one message; takes the descriptors that it keeps out of the list."""
        if kind == MessageKind.HELLO and message["version"] == PROTOCOL_VERSION:
            self._begin_successor(channel)
        elif kind == MessageKind.STATE and not self._state_received.done():
            self.on_shared(True)
            self.handlers[kind](message)
            self._state_received.set_result(descriptors[:])
            descriptors.clear()
        elif kind == MessageKind.READY:
            logger.info("a new process serves beside this one", event="handover-ready")
            self.successor_is_ready = True
            self.withdraw()
        elif kind in self.handlers:
            attached = {"fd": descriptors.pop()} if descriptors else {}
            self.handlers[kind](**message, **attached)
        else:
            channel.close()

    def _begin_successor(self, channel):
        if self.successor or channel is self.predecessor:
            channel.close()  # one successor at a time
            return
        self.successor = channel
        state, descriptor = self.export_state()
        channel.send({"kind": MessageKind.STATE, **state}, descriptor)
        self.on_shared(True)

    def _on_end(self, channel):
        if channel is self.predecessor:
            self.predecessor = None
            if not self._state_received.done():
                self._state_received.set_result(None)
            self.on_shared(False)
        elif channel is self.successor:
            self.successor = None
            self.successor_is_ready = False
            self.on_shared(False)
            if self.is_offered and not self.server:
                logger.warning("the new process has gone, this one goes on alone", event="handover-gone")
                self.offer()
