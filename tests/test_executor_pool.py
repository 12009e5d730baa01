"""The pool of connections to executors: limits, reuse and idle times."""

from socketless_node import NOW, SocketlessNode, connect

from grebedyke.model.actions import Forward, Probe
from grebedyke.model.outcome import Outcome
from grebedyke.wire.executor_connection import ExecutorConnection, ExecutorMessage
from grebedyke.wire.executor_pool import EndpointAddress


def test_attempt_without_available_connection_ends_in_next_batch():
    """An attempt needs a connection while the connection limit is reached."""
    node = SocketlessNode(max_executor_connections=2)
    node.send_request()
    node.pool.endpoints["s-1"].idle.clear()  # no third connection
    probe = node.pool.endpoints["s-2"].call(ExecutorMessage(b"GET", b"/alive"), lambda end: None)
    node.connections[1].send_call(probe)
    node.host.perform(NOW, Forward(b"r1", "s-1", 9_000))
    assert not node.outcomes()
    node.run()
    assert node.outcomes() == [Outcome.CONNECT_FAILED]


def test_idle_connections_to_former_incarnation_are_closed():
    """An executor restarts or moves to another machine.

    A machine that disappeared neither closes its connections nor answers: an attempt on them would be lost.
    """
    node = SocketlessNode()
    endpoint = node.pool.endpoints["s-1"]
    for since_ms, port, closing in ((0, 1, False), (0, 1, False), (900, 1, True), (900, 2, True)):
        connection = connect(ExecutorConnection(endpoint))
        endpoint.idle = [connection]
        row = EndpointAddress("s-1", ("127.0.0.9", port), "healthy", since_ms)
        node.pool.update_endpoints(False, [row])
        assert connection.transport.closing == closing, (since_ms, port)


def test_most_recently_used_connection_is_reused_and_old_ones_are_closed():
    node = SocketlessNode()
    older = node.connections[0]
    newer = node.connect_executor()
    node.send_request()
    node.forward()
    assert newer.transport.written and not older.transport.written
    older.idle_since -= node.pool.settings.max_idle_time
    node.act(Probe("s-1"))
    assert not older.transport.written
    node.pool.sweep(NOW)
    assert older.transport.closing


def test_usable_idle_time_adapts_to_early_closes_by_executors():
    """Executors close idle connections earlier than the settings assume.

    A message on a connection whose close was not noticed ends in a reset, after which few requests may be
    retried.
    """
    for ending, is_new, usable in (
        ("eof", False, 15_000),
        ("reset", False, 15_000),
        ("reset", True, 1_000_000),
        ("abandoned", False, 1_000_000),
    ):
        node = SocketlessNode()
        node.send_request()
        connection, other = node.connections
        connection.idle_since = NOW - 30_000
        connection.is_new = is_new
        if ending == "eof":
            connection.eof_received()
        else:
            node.forward()
            if ending == "abandoned":
                connection.call.abandon()
            connection.connection_lost(ConnectionResetError())
        assert node.pool.usable_idle_time == usable, (ending, is_new)
        node.pool.endpoints["s-2"].idle = [other]
        other.idle_since = NOW - 20_000
        node.act(Probe("s-2"))
        assert bool(other.transport.written) == (usable == 1_000_000)
        node.pool.sweep(NOW)
        longest = node.pool.settings.max_idle_time
        assert node.pool.usable_idle_time == min(usable + usable // 10 + 10, longest)
