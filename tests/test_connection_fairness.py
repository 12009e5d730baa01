"""One connection neither fills the memory nor takes the time of the others."""

import asyncio
import socket

import pytest
from emulators import BlockingClient, ExecutorEmulator, until
from manual_clock import ManualClock
from node_harness import NodeHarness
from socketless_node import NOW, SocketlessNode, call_back_message, receive, request

from grebedyke.wire.connection import RECEIVE_BUFFER_BYTES
from grebedyke.wire.work_allowance import INTERVAL, UNITS_PER_INTERVAL

UNKNOWN_PATH = b"GET /x HTTP/1.1\r\n\r\n"
HEALTH_CHECK = b"GET /up HTTP/1.1\r\n\r\n"
UNKNOWN_CALL_BACK = call_back_message("done", request_id="never")
TINY_CHUNKS = b"POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + b"1\r\na\r\n" * 60_000
# The longest response to one of these messages.
MAX_RESPONSE_BYTES = 200
# Requests that a client sends without reading the responses.
FLOOD_COUNT = 1_000_000
UNLIMITED_UNITS = 1 << 40


def fill_ring(client, message):
    """Fills a connection's receive buffer with copies of a message."""
    copies = message * (RECEIVE_BUFFER_BYTES // len(message) + 1)
    receive(client, copies[:RECEIVE_BUFFER_BYTES])


@pytest.mark.parametrize(
    "message",
    [UNKNOWN_PATH, HEALTH_CHECK, UNKNOWN_CALL_BACK, b"\r\n", TINY_CHUNKS],
    ids=["unknown path", "health check", "unknown call-back", "empty lines", "tiny chunks"],
)
def test_one_connection_causes_bounded_work_in_an_interval(message):
    """A client sends small messages, call-backs of unknown jobs, empty lines or tiny chunks at full speed.

    All that it had sent was handled in one pass, and the answers of other clients waited for it.
    """
    node = SocketlessNode()
    clock = ManualClock(node)
    client = node.client()
    work = []
    steps = client.parser.next_message

    def count_steps(max_steps=None):
        found = steps(max_steps)
        work.append(client.parser.steps_taken)
        return found

    client.parser = CountingParser(client.parser, count_steps)
    fill_ring(client, message)
    node.run()
    # The first interval may begin with what is left of an earlier one.
    assert 0 < sum(work) <= 2 * UNITS_PER_INTERVAL
    for _ in range(5):
        del work[:]
        clock.advance(node, INTERVAL - 1)
        assert not work
        clock.advance(node, 1)
        assert 0 < sum(work) <= UNITS_PER_INTERVAL
    assert client.transport.written.count(b"HTTP/1.1 ") <= 7 * UNITS_PER_INTERVAL // 8


class CountingParser:
    """A parser whose `next_message` is replaced.

    Attributes:
        parser: The `HttpParser`.
        next_message: Called in place of its method.
    """

    def __init__(self, parser, next_message):
        self.parser = parser
        self.next_message = next_message

    def __getattr__(self, name):
        return getattr(self.parser, name)


def test_requests_and_call_backs_of_this_node_are_not_held_up():
    """Requests, and many call-backs about them on one connection, are handled at once on a fixed clock."""
    node = SocketlessNode()
    client = node.client()
    for number in range(1, UNITS_PER_INTERVAL):
        receive(client, request(number))
        assert client.open_request is not None
        node.host.requests.fail_unanswered(NOW, client.open_request)
    open_client = node.send_request(request(999))
    caller = node.client()
    message = call_back_message("running", request_id="r999")
    count = UNITS_PER_INTERVAL // 4
    receive(caller, message * count)
    node.run()
    assert caller.transport.written.count(b" 204 ") == count and open_client.open_request is not None


def test_memory_stays_bounded_if_client_does_not_read_responses():
    """A client sends requests of an unknown path at full speed and does not read the responses.

    They were all kept in memory, which grew without end. Nothing is lost: when the client reads, it gets each
    response, and others are served meanwhile.
    """

    async def scenario():
        executor = await ExecutorEmulator().start()
        async with NodeHarness(executor.row()) as harness:
            client = BlockingClient(harness.address)
            await until(lambda: harness.listener.connections.accepted, "the connection")
            connection = next(iter(harness.listener.connections.accepted))
            connection.transport.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_SNDBUF, 4096
            )
            client.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            # As if the node had much time for this client.
            connection.allowance.left = UNLIMITED_UNITS
            pace = harness.listener.admission.pace
            pace.left = pace.refilled_at = UNLIMITED_UNITS
            connection.proven = True  # it has longer to end a message
            client.socket.setblocking(False)
            loop = asyncio.get_running_loop()
            sender = loop.create_task(loop.sock_sendall(client.socket, UNKNOWN_PATH * FLOOD_COUNT))
            peak = 0
            for number in range(5):
                await harness.assert_serves_another_request(executor, f"a{number}")
                peak = max(peak, connection.transport.get_write_buffer_size() + connection.out.used)
            assert not sender.done() and not connection.fully_written
            received = 0
            while received < 10 * RECEIVE_BUFFER_BYTES:
                received += len(await loop.sock_recv(client.socket, 1 << 16))
            sender.cancel()
            await asyncio.gather(sender, return_exceptions=True)
            client.leave(reset=True)
        executor.server.close()
        return peak

    # What is read at once, answered, and at most one response more.
    max_responses = RECEIVE_BUFFER_BYTES // len(UNKNOWN_PATH) + 2
    assert asyncio.run(scenario()) <= max_responses * MAX_RESPONSE_BYTES


def test_request_behind_unread_response_waits_until_it_is_read():
    """A client sends its next request without reading a large response; the request is not lost."""
    node = SocketlessNode()
    client = node.client()
    client.transport.stuck = True
    receive(client, HEALTH_CHECK)
    node.run()
    assert not client.fully_written
    receive(client, request(1))
    node.run()
    assert not node.host.requests.pending
    client.transport.stuck = False
    client.resume_writing()
    node.run()
    assert list(node.host.requests.pending) == [b"r1"]
