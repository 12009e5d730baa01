"""New connections whose peer has closed them again cost little, and keep no one from connecting."""

import asyncio
import socket
from contextlib import ExitStack

import pytest
from emulators import BlockingClient, ExecutorEmulator, until
from node_harness import NodeHarness
from socketless_node import REQUEST, SocketlessNode, call_back_message

from grebedyke.wire.connection_acceptor import ACCEPTS_PER_PASS, SETUPS_PER_PASS
from grebedyke.wire.connection_end import ConnectionEnd


class QueuedConnections:
    """A node whose accept queue has connections in it.

    Attributes:
        node: The `SocketlessNode`; it accepts only when `accept` of its acceptor is called.
        address: The address of its listening socket.
        stack: Closes the sockets.
    """

    def __init__(self, stack):
        self.node = SocketlessNode(max_connections=999)
        self.stack = stack
        server = stack.enter_context(socket.socket())
        server.bind(("127.0.0.1", 0))
        self.address = server.getsockname()
        self.node.listener.acceptor.start(self.node.loop, server)

    def connect(self, data=b""):
        """Connects, sends some data and returns the socket."""
        client = self.stack.enter_context(socket.create_connection(self.address))
        client.sendall(data)
        return client

    def counts_after_pass(self):
        """Accepts once; returns how many connections were accepted, closed unread, and set up."""
        self.node.listener.acceptor.accept()
        counts = self.node.batch.metrics.counts
        accepted, unread = counts["opened"], counts[ConnectionEnd.UNREAD]
        return accepted, unread, accepted - unread


# Guards against: clients that close at once filled the accept queue, and connects of others were repeated.
@pytest.mark.parametrize("data", [b"", b"POST /op/k HTTP/1.1\r\n\r\n", REQUEST])
def test_a_pass_reaches_the_connection_behind_many_that_were_closed_again(data):
    with ExitStack() as stack:
        queued = QueuedConnections(stack)
        for _ in range(ACCEPTS_PER_PASS - 1):
            queued.connect(data).close()
        queued.connect(REQUEST)
        assert queued.counts_after_pass() == (ACCEPTS_PER_PASS, ACCEPTS_PER_PASS - 1, 1)


def test_a_pass_accepts_and_sets_up_a_bounded_number():
    with ExitStack() as stack:
        queued = QueuedConnections(stack)
        for _ in range(ACCEPTS_PER_PASS):
            queued.connect().close()
        for _ in range(2 * SETUPS_PER_PASS):
            queued.connect(REQUEST)
        assert queued.counts_after_pass() == (ACCEPTS_PER_PASS, ACCEPTS_PER_PASS, 0)
        assert queued.counts_after_pass()[2] == SETUPS_PER_PASS
        assert queued.counts_after_pass()[2] == 2 * SETUPS_PER_PASS


def test_reset_connection_is_not_set_up():
    with ExitStack() as stack:
        queued = QueuedConnections(stack)
        client = queued.connect(b"GET")
        client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        client.close()
        assert queued.counts_after_pass()[2] == 0


@pytest.mark.parametrize("data", [b"", b"GET /", REQUEST])
def test_open_connection_is_set_up(data):
    with ExitStack() as stack:
        queued = QueuedConnections(stack)
        queued.connect(data)
        assert queued.counts_after_pass() == (1, 0, 1)


def test_call_back_whose_sender_does_not_wait_for_the_answer_counts():
    """An executor writes the result of a job and closes before the node has accepted the connection."""

    async def scenario():
        executor = await ExecutorEmulator().start()
        async with NodeHarness(executor.row()) as harness:
            client = BlockingClient(harness.address).send_request()
            await until(lambda: executor.received, "the attempt")
            # The event loop stands still, so the close is there before the node accepts.
            with socket.create_connection(harness.address) as caller:
                caller.sendall(call_back_message("done"))
            assert b" 200 " in await client.response()
            client.leave()
        executor.server.close()

    asyncio.run(scenario())
