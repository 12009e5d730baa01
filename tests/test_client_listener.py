"""The client listener: its own responses, eviction of connections, timeouts, and closing connections."""

from socketless_node import NOW, REQUEST, SocketlessNode, call_back_message, receive, request

from grebedyke.model.actions import Fail
from grebedyke.model.refusal import RefusalReason


def test_listener_rejects_invalid_messages():
    for data, status, is_last in (
        (b"GET /up HTTP/1.1\r\n\r\n", 503, False),
        (b"POST /up HTTP/1.1\r\n\r\n", 405, False),
        (b"GET /op/1 HTTP/1.1\r\n\r\n", 405, False),
        (b"POST /other/1 HTTP/1.1\r\n\r\n", 404, False),
        (REQUEST.replace(b"X-Request-ID: r1\r\n", b""), 400, True),
        (REQUEST.replace(b"4000", b"-4"), 400, True),
        (REQUEST.replace(b"4000", b"0"), 400, True),
        (REQUEST.replace(b"4000", b"4001"), 400, True),
        (REQUEST.replace(b"r1", b"r/1"), 400, True),
        (REQUEST.replace(b"4000", b"4000\r\nX-Priority-Class: other"), 400, True),
        (REQUEST.replace(b"4000", b"4000\r\nX-Cost: nan"), 400, True),
        (REQUEST.replace(b"4000", b"4000\r\nX-Request-ID: r2"), 400, True),
        (b"\x16\x03\x01 hello\r\n\r\n", 400, True),
        (call_back_message("done").replace(b'"id"', b'"no"'), 204, False),
    ):
        node = SocketlessNode()
        transport = node.send_request(data).transport
        assert transport.written.startswith(b"HTTP/1.1 %d " % status), data
        assert (transport.ended_sending or transport.closing) == is_last
        assert not node.host.requests.pending and not node.dispatcher.events


def test_error_response_is_not_lost_while_request_body_still_arrives():
    """A client sends a body that is too large, and continues to send after the error response.

    Closing a socket with unread bytes resets the connection, and the client might not get the response.
    """
    node = SocketlessNode()
    client = node.send_request(REQUEST.replace(b"Length: 3", b"Length: 70000"))
    assert client.transport.written.startswith(b"HTTP/1.1 413") and not client.transport.closing
    receive(client, b"x" * 70_000, 999)
    assert client.transport.written.count(b"HTTP/1.1") == 1 and not client.ring.used
    (timer,) = node.batch.timers
    timer.call(timer.when, *timer.arguments)
    assert client.transport.closing


def test_health_check_is_200_from_listen_until_shutdown():
    node = SocketlessNode()
    client = node.client()
    statuses = []
    for has_listened, stopping in ((False, False), (True, False), (True, True)):
        node.listener.has_listened = has_listened
        node.listener.stopping = stopping
        client.transport.written = b""
        receive(client, b"GET /up HTTP/1.1\r\n\r\n")
        node.run()
        statuses.append(client.transport.written[9:12])
    assert statuses == [b"503", b"200", b"503"] and not client.transport.closing


def test_connection_over_limit_is_never_closed_unread():
    """A client connects while all client connections of the node wait for responses.

    Its request may already be in the kernel and would be lost by a close, so it must be answered.
    """
    node = SocketlessNode(max_connections=2)
    busy = [receive(node.client(), request(number)) for number in (1, 2)]
    third = node.client()
    assert not any(client.transport.closing for client in (*busy, third))
    receive(third, request(3))
    node.run()
    assert third.transport.written.startswith(b"HTTP/1.1 503") and third.transport.closing
    assert b"r3" not in node.host.requests.pending
    third.connection_lost(None)
    node.act(Fail(b"r1", RefusalReason.TOO_LATE), now=0)
    fresh = node.client()  # over the limit again: the idle connection is closed
    assert busy[0].transport.closing and not busy[1].transport.closing and not fresh.transport.closing


def test_queued_response_is_written_before_connection_is_closed():
    """A connection is closed at shutdown, or for a new connection, in the batch of its last response.

    Without a flush the response, still in the ring buffer, was lost.
    """
    for close in (
        lambda node: node.listener.close_idle(),
        lambda node: node.client(),
        lambda node: node.listener.close(),
    ):
        node = SocketlessNode(max_connections=1)
        client = node.send_request()
        node.host.perform(NOW, Fail(b"r1", RefusalReason.TOO_LATE))
        close(node)
        node.run()
        assert client.transport.closing and client.transport.written.startswith(b"HTTP/1.1 500")


def test_choice_of_connection_to_close_for_a_new_one():
    """Many peers connect without sending a valid message, and then a client with a request connects.

    These peers must not displace the idle connections of clients that have sent requests before.
    """
    health_check = b"GET /up HTTP/1.1\r\n\r\n"
    for silent, checking, age, expected in (
        (15, 0, 4_000, ["silent"]),
        (15, 0, 0, []),
        (14, 1, 0, ["checking"]),
        (16, 0, 400, ["silent"]),
        (0, 0, 0, []),
    ):
        node = SocketlessNode(max_connections=16)
        proven = node.send_request()
        node.act(Fail(b"r1", RefusalReason.TOO_LATE))
        messages = [("checking", health_check)] * checking + [("silent", REQUEST[:30])] * silent
        others = [(name, receive(node.client(), data)) for name, data in messages]
        node.run()
        connections = node.listener.connections
        connections.incomplete = {
            connection: since - age for connection, since in connections.incomplete.items()
        }
        new_client = node.send_request(request(2))
        closed = [name for name, connection in others if connection.transport.closing]
        assert closed == expected, (silent, checking, age)
        assert b"r2" in node.host.requests.pending
        assert not proven.transport.closing and not new_client.transport.closing


def test_longest_idle_client_connections_above_limit_are_closed():
    """Many clients send one request each and keep their connections open.

    Without a limit on idle ones, later clients found no descriptor left and were not accepted.
    """
    node = SocketlessNode(max_client_connections=0)
    client = node.send_request()
    node.act(Fail(b"r1", RefusalReason.TOO_LATE))
    assert not receive(client, REQUEST).transport.closing  # never a connection with an open request

    node = SocketlessNode(max_client_connections=2)
    receive(node.client(), call_back_message("done"))  # an executor's connection does not count
    clients = []
    for number in range(4):
        clients.append(receive(node.client(), request(number)))
        if number != 1:
            node.host.perform(NOW, Fail(b"r%d" % number, RefusalReason.TOO_LATE))
        node.run()
    assert [client.transport.closing for client in clients] == [True, False, True, False]


def test_peer_without_valid_message_gets_408_within_three_seconds():
    """Peers send part of a message, or nothing, and keep their connections open.

    Without their own time limit they got a response only after the longest client timeout, or never.
    """
    node = SocketlessNode()
    slow = receive(node.client(), REQUEST[:-1])
    silent = node.client()
    waiting = node.send_request()
    proven = node.client()
    receive(proven, request(2))
    node.act(Fail(b"r2", RefusalReason.TOO_LATE))
    receive(proven, REQUEST[:-1])
    clients = (slow, silent, waiting, proven)
    for after, expected in ((20_000, []), (22_500, [slow, silent]), (70_000, [slow, silent, proven])):
        node.listener.close_overdue(NOW + after)
        node.run()
        refused = [client for client in clients if client.transport.written.count(b"HTTP/1.1 408") == 1]
        assert refused == expected
        assert not waiting.transport.closing
        assert not proven.transport.closing or proven in expected


def test_reading_of_rejected_huge_body_is_paused():
    """A client sends a huge body that was rejected because of its Content-Length.

    Reading all of it would delay other clients, so reading is paused after a limit.
    """
    node = SocketlessNode()
    paused = []
    client = node.send_request(REQUEST.replace(b"Length: 3", b"Length: 60000000"))
    client.transport.pause_reading = lambda: paused.append(client.bytes_discarded)
    receive(client, b"x" * 300_000, 8_000)
    assert paused and (1 << 18) < paused[0] < 280_000


def test_call_back_with_non_string_state_counts_as_odd_not_as_fault():
    """Such a state raised a TypeError within the batch, and was counted as an internal fault."""
    for state in (b"[]", b"{}", b"7", b"null"):
        node = SocketlessNode()
        node.send_request()
        node.forward()
        caller = receive(node.client(), call_back_message("done").replace(b'"done"', state.rjust(6)))
        node.run()
        assert caller.transport.written.startswith(b"HTTP/1.1 204")
        counts = node.batch.metrics.counts
        assert (counts["odd"], counts["faults"]) == (1, 0), state
        assert not node.attempt_ends()
