"""The admin API and the effects of a ban on an endpoint."""

from helpers import dispatcher, rows, take_actions
from manual_clock import ManualClock
from socketless_node import NOW, REQUEST, SocketlessNode, connect, receive

from grebedyke.model.actions import Forward
from grebedyke.model.outcome import Outcome
from grebedyke.service.admin_api import CALL_UNITS, CONNECTION_TIMEOUT, AdminApi, AdminConnection
from grebedyke.wire.response_pace import UNITS_PER_INTERVAL
from grebedyke.wire.work_allowance import INTERVAL

UNLIMITED_UNITS = 1 << 40
READY_CALL = b"GET /v1/readyz HTTP/1.1\r\n\r\n"


class AdminApiHarness:
    """An admin API for a real dispatcher with the endpoints s-1 and s-2.

    Attributes:
        node: The `SocketlessNode`.
        endpoints: The dispatcher's endpoint table.
        is_ready: Whether the node is serving.
        api: The `AdminApi`.
    """

    def __init__(self, max_connections=9, is_paced=False):
        self.node = SocketlessNode()
        real_dispatcher = dispatcher()
        real_dispatcher.endpoints_changed(NOW, True, rows("s-1", "s-2"))
        self.node.host.endpoint_updates.dispatcher = real_dispatcher
        self.endpoints = real_dispatcher.endpoints
        self.is_ready = True
        set_banned = self.node.host.endpoint_updates.set_banned
        self.api = AdminApi(self.node.batch, lambda: self.is_ready, set_banned, max_connections)
        if not is_paced:
            # On a fixed clock the pace would end after a few calls.
            self.api.pace.left = self.api.pace.refilled_at = UNLIMITED_UNITS

    def connect(self, data):
        """Returns a new connection that has received `data`."""
        return receive(connect(AdminConnection(self.api)), data)

    def call(self, data, step=None):
        """Sends a call in pieces of `step` bytes and returns the connection's transport."""
        connection = receive(connect(AdminConnection(self.api)), data, step)
        self.node.run()
        return connection.transport


def executor_call(path):
    """Returns an operator's call on an executor."""
    return b"POST /v1/executors/%s HTTP/1.1\r\nContent-Length: 0\r\n\r\n" % path


CALLS = (
    # (call, whether the node is ready, status)
    (READY_CALL, True, 200),
    (READY_CALL, False, 503),
    (b"GET /v1/readyz?x HTTP/1.0\r\n\r\n", True, 200),
    (b"POST /v1/readyz HTTP/1.1\r\n\r\n", True, 405),
    (b"GET /v1/executors/s-1/suspend HTTP/1.1\r\n\r\n", True, 405),
    (b"GET / HTTP/1.1\r\n\r\n", True, 404),
    (executor_call(b"s-9/suspend"), True, 404),
    (executor_call(b"s-9/resume"), True, 404),
    (executor_call(b"/suspend"), True, 404),
    (executor_call(b"s-1/stop"), True, 404),
    (executor_call(b"%FF%0A/suspend"), True, 404),
    (b"what\r\n\r\n", True, 400),
    (b"POST /v1/executors/s-1/suspend HTTP/1.1\r\nContent-Length: 9999\r\n\r\n", True, 413),
    # Resume without suspend, two suspends before one resume, and a percent-encoded name.
    (executor_call(b"s-1/resume"), True, 200),
    (executor_call(b"s-1/suspend"), True, 200),
    (executor_call(b"s-1/suspend"), True, 200),
    (executor_call(b"s-1/resume"), False, 200),
    (executor_call(b"s%2D2/suspend"), True, 200),
)


def test_each_call_is_answered_and_its_connection_closed():
    harness = AdminApiHarness()
    for call, is_ready, status in CALLS:
        harness.is_ready = is_ready
        may_repeat = status in (200, 404) and b"suspend" not in call
        for step in range(1, len(call)) if may_repeat else (None, 7):
            transport = harness.call(call, step)
            assert transport.written.startswith(b"HTTP/1.1 %d " % status), call
            assert transport.written.count(b"HTTP/") == 1, call
            assert transport.closing or transport.ended_sending
    assert [endpoint.id for endpoint in harness.endpoints.healthy] == ["s-1"]
    assert [*harness.endpoints.banned] == ["s-2"]


def test_idle_connections_do_not_block_other_calls():
    """Connections that send nothing, or an incomplete call, reach the connection limit.

    They would occupy all connections, and an operator's call would get no answer.
    """
    harness = AdminApiHarness(max_connections=3)
    incomplete = [harness.connect(data) for data in (b"", b"GET /v1/rea", b"POST")]
    assert harness.call(READY_CALL).written.startswith(b"HTTP/1.1 200")
    assert [connection.transport.closing for connection in incomplete] == [True, False, False]
    # An incomplete call whose peer closes, and one that is never closed.
    assert not incomplete[1].eof_received()
    for timer in list(harness.node.batch.timers):
        assert timer.when == NOW + CONNECTION_TIMEOUT
        if timer.arguments[0] is incomplete[2]:
            timer.call(timer.when, *timer.arguments)
    assert incomplete[2].transport.closing
    # A caller that closes its sending side after a complete call still gets the answer.
    connection = harness.connect(executor_call(b"s-1/suspend"))
    assert connection.eof_received() and not connection.transport.written
    harness.node.run()
    assert connection.transport.written.startswith(b"HTTP/1.1 200")


def endpoints_of_attempts(dispatcher_under_test, now):
    """Sends a request, ends its attempts at once, and returns the endpoints of the attempts."""
    dispatcher_under_test.request_arrived(now, f"r{now}", "op", None, now + 40_000, 500, 1)
    attempts = take_actions(dispatcher_under_test, now, Forward)
    for attempt in attempts:
        dispatcher_under_test.attempt_ended(now, attempt.request_id, 0, Outcome.SUCCEEDED, True)
    return {attempt.endpoint_id for attempt in attempts}


def test_banned_endpoint_gets_no_attempts_after_list_changes():
    """Discovery lists a banned endpoint in different states; it must not get attempts in any of them."""
    node = dispatcher()
    node.endpoints_changed(10, True, rows("s-1", "s-2"))
    assert not node.set_banned(15, "s-3", True)
    assert node.set_banned(20, "s-1", True)
    changes = (
        rows("s-1"),
        rows("s-1", state="draining"),
        rows("s-1", state="gone"),
        rows("s-1", started_at=900),
    )
    for number, change in enumerate(changes):
        node.endpoints_changed(1_000 + number, False, change)
        for moment in range(1_100, 1_120):
            assert endpoints_of_attempts(node, 1_000 * number + moment) == {"s-2"}
    node.endpoints_changed(5_000, True, rows("s-1", "s-2"))
    assert node.set_banned(5_010, "s-1", True)
    assert endpoints_of_attempts(node, 5_020) == {"s-2"}
    # Earlier probes and slots lent by another node must not circumvent the ban either.
    assert not node.endpoints.is_ready(node.endpoints.by_id["s-1"], 5_030)
    # A single resume undoes both suspends.
    assert node.set_banned(6_000, "s-1", False)
    used = {name for number in range(99) for name in endpoints_of_attempts(node, 90_000 + 50 * number)}
    assert used == {"s-1", "s-2"}
    # A ban of an endpoint that is not on the list at present is kept.
    node.endpoints_changed(99_000, False, rows("s-1", state="gone"))
    assert node.set_banned(99_010, "s-1", True)
    node.endpoints_changed(99_020, False, rows("s-1"))
    assert endpoints_of_attempts(node, 99_030) == {"s-2"}


def test_endpoint_is_cold_after_a_ban_before_the_list_reports_its_restart():
    """A ban ends after a restart of the executor that the list does not report yet.

    With the load of a warm executor, it would be overloaded within its first second.
    """
    for listed_start, started_at in ((None, 6_000), (0, 6_000), (3_000, 3_000), (10, 6_000)):
        node = dispatcher()
        node.endpoints_changed(10, True, rows("s-1", "s-2", started_at=5))
        endpoint = node.endpoints.by_id["s-1"]
        endpoint.credit = 9.0
        endpoint.consecutive_failures = 3
        endpoint.ejected_until = 80_000
        assert node.set_banned(20, "s-1", True)
        if listed_start is not None:
            node.endpoints_changed(4_000, True, rows("s-1", "s-2", started_at=listed_start))
        assert node.set_banned(6_000, "s-1", False)
        assert endpoint.started_at == started_at
        assert node.endpoints.warmth(endpoint, started_at) == 0.3
        assert endpoint.credit == 2.0
        assert not endpoint.ejected_until
        node.endpoints_changed(7_000, True, rows("s-1", "s-2", started_at=listed_start or 0))
        assert endpoint.started_at == started_at
        # The list reports the restart.
        node.endpoints_changed(8_000, True, rows("s-1", "s-2", started_at=5_500))
        assert endpoint.started_at == 5_500


def test_ban_ends_attempts_that_are_still_connecting():
    """An operator bans an endpoint while an attempt's connection to it is being established.

    The attempt would reach the executor after the operator got the confirmation of the ban.
    """
    node = SocketlessNode()
    node.pool.endpoints["s-1"].idle.clear()
    node.send_request()
    node.forward()
    call = node.host.requests.pending[b"r1"].attempts[0].call
    node.host.endpoint_updates.set_banned(NOW, "s-2", True)
    assert not call.ended
    node.host.endpoint_updates.set_banned(NOW, "s-1", True)
    assert call.ended
    assert node.attempt_ends() == [(b"r1", 0, Outcome.NEVER_SENT, False)]
    # An attempt that was sent completely continues.
    node = SocketlessNode()
    node.send_request()
    node.forward()
    node.host.endpoint_updates.set_banned(NOW, "s-1", True)
    assert REQUEST.endswith(b"abc") and node.connections[0].transport.written.endswith(b"abc")
    assert not node.attempt_ends()


# Guards against: calls on ever new connections to the operators' address took the whole processor.
def test_calls_are_answered_at_a_bounded_pace():
    harness = AdminApiHarness(max_connections=99, is_paced=True)
    clock = ManualClock(harness.node)
    clock.advance(harness.node, 1)
    allowed = -(-UNITS_PER_INTERVAL // CALL_UNITS)
    transports = [harness.call(READY_CALL) for _ in range(3 * allowed)]

    def answered():
        return sum(transport.written.startswith(b"HTTP/1.1 200") for transport in transports)

    for interval in range(1, 4):
        assert allowed * (interval - 1) < answered() <= allowed * interval
        clock.advance(harness.node, INTERVAL)
    assert answered() == len(transports)
