"""The hot restart: a new process takes over from a serving one without losing requests.

The old process, the predecessor, serves until the new one, its successor, is serving, and transfers its state
and its connections to it. They are connected by a channel over a Unix socket in a folder that only this
node's processes can access. Each process keeps its own requests; call-backs and operators' calls that reach
the other process are passed on over the channel.
"""

import os
import socket

from loguru import logger

from grebedyke.service.message_kinds import (
    GIVES_IDENTIFIERS,
    PROTOCOL_VERSION,
    SHARES_UPDATES,
    TAKES_IDENTIFIERS,
    MessageKind,
)
from grebedyke.service.process_channel import ProcessChannel

# Seconds that a successor waits for the predecessor's state. The predecessor may be short of CPU during the
# start of its successor, and without the state transfer connections have to be closed.
STATE_TIMEOUT_S = 3.0
SOCKET_PERMISSIONS = 0o600
SOCKET_BACKLOG = 4
# The address of a Unix socket holds at most 107 bytes.
MAX_PATH_BYTES = 100


class HotRestart:
    """This process's side of a hot restart: first the successor, later the predecessor.

    Attributes:
        loop: The event loop.
        enqueue: enqueue(call, *args) calls call(now, *args) in the next batch, after all earlier events.
        path: Path of the socket on which this process listens for a successor; None without hot restart.
        export_state: Returns the fields of a `STATE` message and the listening socket's descriptor.
        handlers: By `MessageKind`, called with the fields of a message; `STATE` with the time and a
            dictionary of them.
        on_sharing_changed: Called with True when another process of this node is connected, with False when
            it has ended.
        server: The socket that accepts a successor; None while this process accepts none.
        predecessor: Channel to the predecessor; None if there is none.
        successor: Channel to the successor; None if there is none.
        successor_is_ready: Whether the successor is serving.
        wants_successor: Whether this process listens again after its successor has ended.
        has_inherited: Whether the predecessor's state is applied.
        current_channels: The channels to processes that have sent `SHARES_UPDATES`.
        on_predecessor_end: Called when the predecessor has ended.
        on_successor_end: Called when the successor has ended.
        predecessor_gives_identifiers: Whether the predecessor handles `TAKE_IDENTIFIERS`; a process of an
            earlier version does not.
        predecessor_shares_updates: Whether the predecessor has sent `SHARES_UPDATES`.
    """

    def __init__(self, loop, enqueue, folder, name, export_state, handlers, on_sharing_changed):
        self.loop = loop
        self.enqueue = enqueue
        self.path = os.path.join(folder, f"{name.replace('/', '_')}.handover") if folder else None
        self.export_state = export_state
        self.handlers = handlers
        self.on_sharing_changed = on_sharing_changed
        self.server = None
        self.predecessor = None
        self.successor = None
        self.successor_is_ready = False
        self.wants_successor = False
        self.on_predecessor_end = do_nothing
        self.on_successor_end = do_nothing
        self.predecessor_gives_identifiers = False
        self.predecessor_shares_updates = False
        self.has_inherited = False
        self.current_channels = []
        self._awaits_state = False
        self._state_applied = None  # future of the descriptors that came with the state; None without state
        self._folder_descriptor = None

    # The successor's side.

    async def inherit(self):
        """Connects to the serving process, receives its state, and returns when the state is applied.

        Returns:
            Its listening socket; None if no process is serving, or if its state did not arrive in time or
            cannot be applied.
        """
        if not self.path:
            return None
        client = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        client.setblocking(False)
        try:
            await self.loop.sock_connect(client, self._short_path(self.path))
        except OSError:
            client.close()  # no process is listening; a killed process leaves its socket file behind
            return None
        self.request_state(ProcessChannel(self.loop, client, self._on_message, self._on_end))
        timer = self.loop.call_later(STATE_TIMEOUT_S, self.predecessor.close)
        descriptors = await self._state_applied
        timer.cancel()
        return socket.socket(fileno=descriptors[0]) if descriptors else None

    def request_state(self, channel):
        """Asks the process at the other end of a channel, the predecessor, for its state."""
        self._awaits_state = True
        self._state_applied = self.loop.create_future()
        self.predecessor = channel
        hello = {"kind": MessageKind.HELLO, "version": PROTOCOL_VERSION}
        channel.send({**hello, TAKES_IDENTIFIERS: True, SHARES_UPDATES: True})

    def listen_for_successor(self):
        """Listens for a successor, in place of the predecessor."""
        if not self.path:
            return
        server = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        try:
            self._bind(server)
        except OSError as problem:
            server.close()
            logger.warning("hot restart is not available: {why}", event="handover-none", why=str(problem))
            return
        self.stop_listening()
        server.setblocking(False)
        self.server = server
        self.wants_successor = True
        self.loop.add_reader(server, self._accept)
        if self.predecessor:
            self.predecessor.send({"kind": MessageKind.READY})

    def _bind(self, server):
        """Binds under a temporary name and renames, so that at every moment a process can be found."""
        own_path = f"{self.path}.{os.getpid()}"
        if os.path.lexists(own_path):
            os.unlink(own_path)
        server.bind(self._short_path(own_path))
        os.chmod(own_path, SOCKET_PERMISSIONS)
        server.listen(SOCKET_BACKLOG)
        os.rename(own_path, self.path)

    def _short_path(self, path):
        """Returns a path that fits into a socket's address; a longer one goes by its folder's descriptor."""
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

    def stop_listening(self):
        """Stops accepting a successor."""
        if self.server:
            self.loop.remove_reader(self.server)
            self.server.close()
            self.server = None

    def hand_over(self, connection, **fields):
        """Hands a client's socket over to the successor."""
        self.successor.send({"kind": MessageKind.CONNECTION, **fields}, connection.fileno())

    # Both sides.

    def send(self, kind, **fields):
        """Sends a message to the other process, if there is one."""
        for channel in (self.predecessor, self.successor):
            if channel:
                channel.send({"kind": kind, **fields})

    def send_to_current(self, kind, **fields):
        """Sends a message to the other processes that handle the messages of this version."""
        for channel in self.current_channels:
            channel.send({"kind": kind, **fields})

    def send_to_earlier(self, kind, **fields):
        """Sends a message to the other processes that are of an earlier version."""
        for channel in (self.predecessor, self.successor):
            if channel and channel not in self.current_channels:
                channel.send({"kind": kind, **fields})

    def send_unless_congested(self, kind, **fields):
        """Sends a message to the other process unless it does not read; returns whether that is so."""
        channels = [channel for channel in (self.predecessor, self.successor) if channel]
        for channel in channels:
            if not channel.is_congested():
                channel.send({"kind": kind, **fields})
        return any(channel.is_congested() for channel in channels)

    def send_list(self, **fields):
        """Sends an update of the list to the other processes that handle it and read their messages."""
        for channel in self.current_channels:
            # Without it the other process misses no change: it asks discovery from its own version on.
            if not channel.is_congested():
                channel.send({"kind": MessageKind.LIST, **fields})

    def close(self):
        """Closes the channels and stops listening."""
        self.wants_successor = False
        if self.server:
            try:
                os.unlink(self.path)
            except OSError:
                pass
        self.stop_listening()
        for channel in (self.predecessor, self.successor):
            if channel:
                channel.close()

    def _on_message(self, channel, message, descriptors):
        kind = message.pop("kind", None)
        try:
            self._handle(channel, kind, message, descriptors)
        except Exception:
            # A message of another version must not end the serving process.
            logger.exception(
                "handover: error while handling a message of the other process", event="handover-fault"
            )
        finally:
            for descriptor in descriptors:
                os.close(descriptor)

    def _handle(self, channel, kind, message, descriptors):
        """Handles one message; removes the descriptors that it keeps from the list."""
        if kind == MessageKind.HELLO and message["version"] == PROTOCOL_VERSION:
            # As an event, so that the state contains all that was read before it.
            self.enqueue(self._accept_successor, channel, message)
        elif kind == MessageKind.STATE and self._awaits_state:
            self._awaits_state = False
            self.predecessor_gives_identifiers = message.pop(GIVES_IDENTIFIERS, False)
            self.predecessor_shares_updates = message.pop(SHARES_UPDATES, False)
            self.on_sharing_changed(True)
            self.enqueue(self._apply_state, channel, message, descriptors[:])
            descriptors.clear()
        elif kind == MessageKind.READY:
            logger.info("a new process is serving alongside this one", event="handover-ready")
            self.successor_is_ready = True
            self.stop_listening()
        elif kind in self.handlers:
            attached = {"fd": descriptors.pop()} if descriptors else {}
            self.handlers[kind](**message, **attached)
        else:
            channel.close()

    def _accept_successor(self, now, channel, hello):
        """Sends the state to a process that takes over, unless it has ended in the meantime."""
        if not channel.is_open():
            return
        if self.successor or channel is self.predecessor:
            channel.close()  # only one successor at a time
            return
        state, descriptor = self.export_state()
        if hello.get(TAKES_IDENTIFIERS):
            state[GIVES_IDENTIFIERS] = True
        if hello.get(SHARES_UPDATES):
            state[SHARES_UPDATES] = True
            self.current_channels.append(channel)
        self.successor = channel
        channel.send({"kind": MessageKind.STATE, **state}, descriptor)
        self.on_sharing_changed(True)

    def _apply_state(self, now, channel, message, descriptors):
        """Applies the predecessor's state; without it this process serves alone."""
        try:
            self.handlers[MessageKind.STATE](now, message)
        except Exception:
            for descriptor in descriptors:
                os.close(descriptor)
            self._state_applied.set_result(None)
            channel.close()
            raise
        self.has_inherited = True
        if self.predecessor_shares_updates and channel is self.predecessor:
            self.current_channels.append(channel)
        self._state_applied.set_result(descriptors)

    def _on_end(self, channel):
        if channel in self.current_channels:
            self.current_channels.remove(channel)
        if channel is self.predecessor:
            self.predecessor = None
            if self._awaits_state:
                self._awaits_state = False
                self._state_applied.set_result(None)
            self.on_sharing_changed(False)
            self.on_predecessor_end()
        elif channel is self.successor:
            self.successor = None
            self.successor_is_ready = False
            self.on_sharing_changed(False)
            self.on_successor_end()
            if self.wants_successor and not self.server:
                logger.warning("the new process has ended, this one serves alone", event="handover-gone")
                self.listen_for_successor()


def do_nothing():
    """Replaces a callback that is not set."""
