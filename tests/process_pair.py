"""Processes of one node without sockets: a test decides when each message, answer and batch is handled."""

from concurrent.futures import Future
from types import SimpleNamespace

import orjson
from node_files import SETTINGS, checked_configuration, node_file
from socketless_node import NOW, FakeEventLoop, connect, receive

from grebedyke.service.assembly import assemble
from grebedyke.wire.discovery_connection import DiscoveryConnection

# Never used: there are no sockets.
ADDRESS = "127.0.0.1:2"
DISCOVERY_ADDRESS = "127.0.0.1:1"
# Passes in which two processes have exchanged and handled all that a test has caused.
SETTLING_PASSES = 20


class PassedLoop(FakeEventLoop):
    """An event loop that never runs by itself."""

    def create_future(self):
        return Future()

    def call_later(self, delay, call, *arguments):
        return SimpleNamespace(cancel=lambda: None)


class MemoryChannel:
    """One end of a channel between two processes; a message is handled when the test delivers it.

    Attributes:
        process: The `SteppedProcess` of this end.
        other: The other end.
        incoming: Encoded messages that this end has not handled.
    """

    def __init__(self, process):
        self.process = process
        self.other = None
        self.incoming = []

    def send(self, message, *descriptors):
        self.other.incoming.append(orjson.dumps(message))

    def is_congested(self):
        return False

    def is_open(self):
        return True

    def deliver(self):
        """Lets the process handle the next message."""
        message = orjson.loads(self.incoming.pop(0))
        self.process.hot_restart._on_message(self, message, [])

    def close(self):
        raise AssertionError("a process has closed the channel")


class DiscoveryLog:
    """All changes of an endpoint list, of which it answers polls.

    Attributes:
        changes: (version, row) of each change, the oldest first.
    """

    def __init__(self, *rows):
        self.changes = [(1, row) for row in rows]

    def change(self, row):
        """Changes an executor's row, or adds it."""
        self.changes.append((self.changes[-1][0] + 1, row))

    def answer(self, after):
        """Returns the body of the answer to a poll; with `after` None it is the complete list."""
        rows = {row["name"]: row for version, row in self.changes if after is None or version > after}
        content = {
            "index": self.changes[-1][0],
            "snapshot": after is None,
            "endpoints": [*rows.values()],
        }
        return orjson.dumps(content)


class SteppedProcess:
    """A process of a node.

    Attributes:
        node: The `Node`.
        hot_restart: Its `HotRestart`.
        batch: Its `BatchLoop`; a batch runs when the test says so.
        discovery: The `DiscoveryLog` that it polls.
        channels: Its ends of channels, the predecessor's first.
    """

    def __init__(self, discovery, known, discovery_address=DISCOVERY_ADDRESS):
        self.discovery = discovery
        configuration = checked_configuration(
            node_file(known=known, settings=SETTINGS, listen=ADDRESS, discovery=discovery_address)
        )
        self.node = assemble(PassedLoop(), configuration, lambda: configuration, clock=lambda: NOW)
        parts = self.node.parts
        self.batch = parts.batch
        self.batch.pass_times.extend([NOW] * 3)
        self.hot_restart = parts.hot_restart
        parts.listener.acceptor.server = SimpleNamespace(fileno=lambda: 0)
        self.channels = []
        self.batch.enqueue(parts.host.endpoint_updates.on_list, self.node.configured_list())

    def connect_to(self, predecessor):
        """Says hello to a process that serves, which has not read it yet."""
        ends = MemoryChannel(predecessor), MemoryChannel(self)
        ends[0].other, ends[1].other = ends[1], ends[0]
        predecessor.channels.append(ends[0])
        self.channels.append(ends[1])
        self.hot_restart.request_state(ends[1])

    def read_discovery(self):
        """Reads the answer to a poll."""
        self.read_answer(self.discovery.answer(self.node.parts.discovery.version))

    def read_answer(self, body):
        """Reads an answer with this body."""
        client = self.node.parts.discovery
        if not client.connection:
            client.connection = connect(DiscoveryConnection(client))
        client.polling = True
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
        receive(client.connection, head + body)

    def call_operator(self, name, is_banned):
        """Reads an operator's call to ban an executor or to end its ban."""
        self.batch.enqueue(self.node.parts.admin_api.set_banned, name, is_banned)

    def read_message(self):
        """Handles one message of another process, if there is one."""
        channel = next((channel for channel in self.channels if channel.incoming), None)
        if channel:
            channel.deliver()
        return channel is not None

    def run_batch(self):
        """Runs a batch, if there is an event for one."""
        if self.batch.events:
            self.batch.run_batch()

    def states(self):
        """Returns the state of each executor that is not gone, by name."""
        return {
            endpoint.id: endpoint.state
            for endpoint in self.node.parts.host.dispatcher.endpoints.by_id.values()
            if endpoint.state != "gone"
        }


def settle(*processes):
    """Lets processes handle all messages and events that wait."""
    for _ in range(SETTLING_PASSES):
        for process in processes:
            while process.read_message():
                pass
            process.run_batch()
