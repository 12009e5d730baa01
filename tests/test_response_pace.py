"""Messages that are answered at once and are no requests take bounded work, from all connections together."""

import weakref

import pytest
from flood_scene import EXECUTOR_COUNT
from flooding_client import Mode
from manual_clock import ManualClock
from socketless_node import REQUEST, SocketlessNode, call_back_message, receive, request
from test_floods import FLOOD_S, MANY_CONNECTIONS, flooded_figures

from grebedyke.model.actions import Forward
from grebedyke.model.events import AttemptProgressed
from grebedyke.units import TICKS_PER_SECOND
from grebedyke.wire.response_pace import (
    CALL_BACK_UNITS_PER_INTERVAL,
    CONNECTION_UNITS,
    UNITS_PER_INTERVAL,
)
from grebedyke.wire.work_allowance import IMMEDIATE_RESPONSE_UNITS, INTERVAL

MALFORMED = b"POST /op/k HTTP/1.1\r\n\r\n"
HEALTH_CHECK = b"GET /up HTTP/1.1\r\n\r\n"
UNKNOWN_PATH = b"GET /x HTTP/1.1\r\n\r\n"
UNKNOWN_CALL_BACK = call_back_message("done", request_id="never")
NEW_CONNECTION_UNITS = CONNECTION_UNITS + IMMEDIATE_RESPONSE_UNITS
# First messages of new connections that are answered in an interval; the last one may exceed it.
ANSWERS_PER_INTERVAL = -(-UNITS_PER_INTERVAL // NEW_CONNECTION_UNITS)
# Connections that a node with 1,024 descriptors accepts at most.
MAX_CONNECTIONS = 671
# Bad clients get their error or close within 3 s.
ANSWER_TIME = 3 * TICKS_PER_SECOND


class Crowd:
    """Connections to a node that has used up its work for messages that are no requests.

    Attributes:
        node: The `SocketlessNode`.
        clock: The `ManualClock`.
    """

    def __init__(self):
        self.node = SocketlessNode(max_connections=MAX_CONNECTIONS)
        self.node.listener.has_listened = True  # health checks succeed
        self.clock = ManualClock(self.node)
        while self.node.listener.admission.pace.left > 0:
            assert self.send(HEALTH_CHECK).transport.written

    def send(self, data):
        """Sends data on a new connection and returns the connection."""
        client = receive(self.node.client(), data)
        self.node.run()
        return client

    def answered(self, clients):
        """Returns how many of the clients have a response."""
        return sum(bool(client.transport.written) for client in clients)

    def pass_time(self, ticks=10 * INTERVAL):
        """Lets time pass, an interval after the other."""
        for _ in range(ticks // INTERVAL):
            self.clock.advance(self.node, INTERVAL)


# Guards against: many connections, or a client that reconnects for each message, took the whole processor.
@pytest.mark.parametrize(
    "message",
    [MALFORMED, HEALTH_CHECK, UNKNOWN_PATH, UNKNOWN_CALL_BACK],
    ids=["malformed", "health check", "unknown path", "unknown call-back"],
)
def test_connections_together_cause_bounded_work_in_an_interval(message):
    crowd = Crowd()
    clients = [crowd.send(message) for _ in range(100)]
    assert not crowd.answered(clients)
    for interval in range(1, 6):
        crowd.clock.advance(crowd.node, INTERVAL - 1)
        assert crowd.answered(clients) <= ANSWERS_PER_INTERVAL * (interval - 1)
        crowd.clock.advance(crowd.node, 1)
        assert 0 < crowd.answered(clients) <= ANSWERS_PER_INTERVAL * interval
    # In the order in which they came.
    waiting = [not client.transport.written for client in clients]
    assert waiting == sorted(waiting)


def test_messages_of_kept_connections_together_cause_bounded_work():
    """Each connection stays within its own allowance; the sum of all was not bounded."""
    crowd = Crowd()
    clients = [receive(crowd.node.client(), HEALTH_CHECK * 300) for _ in range(50)]
    crowd.pass_time(INTERVAL * 40)
    before = sum(client.transport.written.count(b"HTTP/1.1 ") for client in clients)
    intervals = 20
    crowd.pass_time(INTERVAL * intervals)
    answers = sum(client.transport.written.count(b"HTTP/1.1 ") for client in clients) - before
    assert 0 < answers <= intervals * UNITS_PER_INTERVAL // IMMEDIATE_RESPONSE_UNITS + 1


# Guards against: call-backs about a request that their sender has opened itself were not bounded in sum.
def test_call_backs_about_open_requests_are_acknowledged_at_a_pace_and_count_at_once():
    crowd = Crowd()
    crowd.send(REQUEST)
    crowd.node.act(Forward(b"r1", "s-1", 9_000))
    message = call_back_message("running")
    callers = [receive(crowd.node.client(), message) for _ in range(2 * CALL_BACK_UNITS_PER_INTERVAL)]
    crowd.node.run()
    assert crowd.answered(callers) == CALL_BACK_UNITS_PER_INTERVAL
    reported = [event for event in crowd.node.dispatcher.events if isinstance(event, AttemptProgressed)]
    assert len(reported) == len(callers)
    crowd.clock.advance(crowd.node, INTERVAL)
    assert crowd.answered(callers) == len(callers)


def test_all_that_can_be_connected_are_answered_in_time():
    crowd = Crowd()
    clients = [crowd.send(MALFORMED) for _ in range(MAX_CONNECTIONS - 10)]
    crowd.pass_time(ANSWER_TIME)
    assert all(client.transport.written.startswith(b"HTTP/1.1 400 ") for client in clients)
    # Exactly one response each, though the check for overdue messages has run meanwhile.
    assert all(client.transport.written.count(b"HTTP/1.1 ") == 1 for client in clients)


def test_requests_and_their_call_backs_do_not_wait():
    crowd = Crowd()
    waiting = [crowd.send(MALFORMED) for _ in range(20)]
    client = crowd.send(REQUEST)
    assert client.open_request is not None
    crowd.node.act(Forward(b"r1", "s-1", 9_000))
    caller = crowd.send(call_back_message("done", more=',"result":"x"'))
    assert caller.transport.written.startswith(b"HTTP/1.1 204 ")
    assert client.transport.written.startswith(b"HTTP/1.1 200 ")
    assert not crowd.answered(waiting)


def test_request_behind_a_waiting_response_is_handled_after_it():
    crowd = Crowd()
    client = crowd.send(HEALTH_CHECK + request(5))
    assert client.open_request is None
    crowd.pass_time()
    assert client.transport.written.startswith(b"HTTP/1.1 200 ") and client.open_request is not None


def test_connection_that_ends_while_it_waits_is_forgotten():
    crowd = Crowd()
    client = crowd.send(MALFORMED)
    last = crowd.send(MALFORMED)
    client.connection_lost(None)
    reference = weakref.ref(client)
    client.transport.protocol = None
    del client
    crowd.node.run()
    assert reference() is None
    crowd.pass_time()
    assert last.transport.written.count(b"HTTP/1.1 400 ") == 1


def test_waiting_connection_is_neither_handed_over_nor_grows():
    crowd = Crowd()
    client = crowd.send(UNKNOWN_PATH)
    assert not client.is_transferable()
    malformed = crowd.send(MALFORMED)
    receive(malformed, b"x" * 50_000, 999)
    assert not malformed.ring.used and not malformed.is_transferable()
    crowd.pass_time()
    assert malformed.transport.ended_sending and client.is_transferable()


# Guards against: many connections, or a client that reconnects for each message, took the whole processor.
@pytest.mark.parametrize(
    ("kind", "mode", "connection_count"),
    [("malformed", Mode.ANSWERED, MANY_CONNECTIONS), ("health", Mode.ONE_ANSWER, 1)],
)
def test_flood_on_new_connections_gets_answers_at_the_stated_pace(tmp_path, kind, mode, connection_count):
    figures, connects = flooded_figures(tmp_path, kind, mode, connection_count)
    intervals = FLOOD_S * TICKS_PER_SECOND / INTERVAL
    allowed = (intervals + 1) * ANSWERS_PER_INTERVAL + connection_count + EXECUTOR_COUNT
    assert sum(connects) <= allowed, f"{connects} connections, {allowed:.0f} allowed"
    assert not figures.failed
