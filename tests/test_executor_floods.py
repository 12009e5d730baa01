"""An executor that sends an endless response takes a bounded part of the node's time."""

import pytest
from socketless_node import SocketlessNode, receive

from grebedyke.model.actions import Probe
from grebedyke.model.outcome import Outcome
from grebedyke.wire.connection import RECEIVE_BUFFER_BYTES
from grebedyke.wire.executor_connection import MAX_RESPONSE_PARTS

CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
# What an executor repeats without end, behind a beginning.
ENDLESS_RESPONSES = {
    "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "empty lines": (b"", b"\r\n"),
    "tiny chunks": (CHUNKED, b"1\r\na\r\n"),
}


def parser_steps(connection, data):
    """Passes data to a connection as often as it is read; returns the parser's steps until the close."""
    steps = 0
    for start in range(0, len(data), RECEIVE_BUFFER_BYTES):
        if connection.transport.closing:
            break
        receive(connection, data[start : start + RECEIVE_BUFFER_BYTES])
        steps += connection.parser.steps_taken
    return steps


# Guards against: an executor that sent a response without end took the time of all clients.
@pytest.mark.parametrize("kind", ENDLESS_RESPONSES)
def test_endless_response_takes_bounded_work(kind):
    start, repeated = ENDLESS_RESPONSES[kind]
    node = SocketlessNode()
    node.send_request()
    node.forward()
    connection = node.connections[0]
    data = start + repeated * (4 * MAX_RESPONSE_PARTS)
    assert parser_steps(connection, data) <= MAX_RESPONSE_PARTS + 10
    assert connection.transport.closing
    connection.connection_lost(None)
    node.run()
    assert node.outcomes() == [Outcome.CONNECTION_RESET]


def test_response_in_many_parts_is_read():
    """Each part is counted for its own message: many responses on one connection do not add up."""
    node = SocketlessNode()
    connection = node.connections[0]
    chunks = b"".join(b"1\r\n%c\r\n" % byte for byte in b"TEXT x0=2.5, inflight=3")
    interim = b"HTTP/1.1 100 Continue\r\n\r\n" * 50
    for _ in range(MAX_RESPONSE_PARTS // 50):
        node.dispatcher.events.clear()
        node.act(Probe("s-1"))
        receive(connection, interim + CHUNKED + chunks + b"0\r\n\r\n", 999)
        node.run()
        (event,) = node.dispatcher.events
        assert event.outcome == Outcome.SUCCEEDED and event.free_slots == 2.5
