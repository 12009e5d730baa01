from helpers import dispatcher, pull, rows
from socketless_node import NOW, REQUEST, SocketlessNode, connect, receive

from grebedyke.model.actions import Forward
from grebedyke.model.outcome import Outcome
from grebedyke.service.console import PATIENCE, Caller, Console


def desk_of(most=9):
    """A console before executors s-1 and s-2, of which a real dispatcher keeps the books."""
    node = SocketlessNode()
    node.desk.dispatcher = dispatcher()
    node.desk.dispatcher.listed(NOW, True, rows("s-1", "s-2"))
    node.phase = [True]
    node.console = Console(node.turn, lambda: node.phase[0], node.desk.by_hand, most)
    node.call = lambda text, step=None: (receive(connect(Caller(node.console)), text, step), node.run())[
        0
    ].transport
    return node


def post(path):
    return b"POST /v1/executors/%s HTTP/1.1\r\nContent-Length: 0\r\n\r\n" % path


def test_each_call_has_its_answer_and_the_connection_ends():
    node = desk_of()
    for call, ready, status in (
        (b"GET /v1/readyz HTTP/1.1\r\n\r\n", True, 200),
        (b"GET /v1/readyz HTTP/1.1\r\n\r\n", False, 503),
        (b"GET /v1/readyz?x HTTP/1.0\r\n\r\n", True, 200),
        (b"POST /v1/readyz HTTP/1.1\r\n\r\n", True, 405),
        (b"GET /v1/executors/s-1/suspend HTTP/1.1\r\n\r\n", True, 405),
        (b"GET / HTTP/1.1\r\n\r\n", True, 404),
        (post(b"s-9/suspend"), True, 404),
        (post(b"s-9/resume"), True, 404),
        (post(b"/suspend"), True, 404),
        (post(b"s-1/stop"), True, 404),
        (post(b"%FF%0A/suspend"), True, 404),
        (b"what\r\n\r\n", True, 400),
        (b"POST /v1/executors/s-1/suspend HTTP/1.1\r\nContent-Length: 9999\r\n\r\n", True, 413),
        # Back without having been out, out twice and back once, and a name that is worded in percents.
        (post(b"s-1/resume"), True, 200),
        (post(b"s-1/suspend"), True, 200),
        (post(b"s-1/suspend"), True, 200),
        (post(b"s-1/resume"), False, 200),
        (post(b"s%2D2/suspend"), True, 200),
    ):
        node.phase[0] = ready
        for step in range(1, len(call)) if status in (200, 404) and b"suspend" not in call else (None, 7):
            transport = node.call(call, step)
            assert transport.written.startswith(b"HTTP/1.1 %d " % status), call
            assert transport.written.count(b"HTTP/") == 1, call
            assert transport.closing or transport.ended_sending
    fleet = node.desk.dispatcher.endpoints
    assert [e.id for e in fleet.healthy] == ["s-1"] and [*fleet.banned] == ["s-2"]


def test_callers_that_say_nothing_keep_no_other_from_its_answer():
    node = desk_of(most=3)
    halves = [receive(connect(Caller(node.console)), text) for text in (b"", b"GET /v1/rea", b"POST")]
    assert node.call(b"GET /v1/readyz HTTP/1.1\r\n\r\n").written.startswith(b"HTTP/1.1 200")
    assert [caller.transport.closing for caller in halves] == [True, False, False]
    # Half a call that its peer ends, and one that nobody ends.
    assert not halves[1].eof_received()
    for when, _, call, args in node.turn.limits:
        assert when == NOW + PATIENCE
        if args[0] is halves[2]:
            call(when, *args)
    assert halves[2].transport.closing
    # Whoever ends its own side after a whole call waits for the answer.
    caller = receive(connect(Caller(node.console)), post(b"s-1/suspend"))
    assert caller.eof_received() and not caller.transport.written
    node.run()
    assert caller.transport.written.startswith(b"HTTP/1.1 200")


def test_an_executor_out_by_hand_gets_nothing_whatever_the_list_says():
    d = dispatcher()
    d.listed(10, True, rows("s-1", "s-2"))

    def goes_to(now):
        d.taken(now, f"r{now}", "op", None, now + 40_000, 500, 1)
        sent = pull(d, now, Forward)
        for id, _, _ in sent:
            d.ended(now, id, 0, Outcome.SUCCEEDED, True)
        return {executor for _, executor, _ in sent}

    assert not d.set_banned(15, "s-3", True) and d.set_banned(20, "s-1", True)
    for i, told in enumerate(
        (rows("s-1"), rows("s-1", state="draining"), rows("s-1", state="gone"), rows("s-1", born=900))
    ):
        d.listed(1_000 + i, False, told)
        assert all(goes_to(1_000 * i + n) == {"s-2"} for n in range(1_100, 1_120))
    d.listed(5_000, True, rows("s-1", "s-2"))
    assert d.set_banned(5_010, "s-1", True) and goes_to(5_020) == {"s-2"}
    # What was asked before the call, and what another node lends after it, are no way round either.
    e = d.endpoints.by_id["s-1"]
    assert not d.endpoints.is_ready(e, 5_030)
    # One call back undoes both.
    assert d.set_banned(6_000, "s-1", False) and {x for n in range(99) for x in goes_to(90_000 + 50 * n)} == {
        "s-1",
        "s-2",
    }
    # Of one that the list does not have for the moment the call is kept.
    d.listed(99_000, False, rows("s-1", state="gone"))
    assert d.set_banned(99_010, "s-1", True)
    d.listed(99_020, False, rows("s-1"))
    assert goes_to(99_030) == {"s-2"}


def test_an_executor_comes_back_cold_though_the_list_tells_its_restart_late():
    # A warm one's load within its first second would push it over.
    for told, born in ((None, 6_000), (0, 6_000), (3_000, 3_000), (10, 6_000)):
        d = dispatcher()
        d.listed(10, True, rows("s-1", "s-2", born=5))
        e = d.endpoints.by_id["s-1"]
        e.credit, e.consecutive_failures, e.ejected_until = 9.0, 3, 80_000
        assert d.set_banned(20, "s-1", True)
        if told is not None:
            d.listed(4_000, True, rows("s-1", "s-2", born=told))
        assert d.set_banned(6_000, "s-1", False)
        assert (
            e.started_at == born
            and d.endpoints.warmth(e, born) == 0.3
            and e.credit == 2.0
            and not e.ejected_until
        )
        d.listed(7_000, True, rows("s-1", "s-2", born=told or 0))
        assert e.started_at == born
        d.listed(8_000, True, rows("s-1", "s-2", born=5_500))  # at last the list knows
        assert e.started_at == 5_500


def test_a_forward_that_still_connects_does_not_reach_who_was_taken_out():
    node = SocketlessNode()
    node.pool.endpoints["s-1"].idle.clear()
    node.send_request()
    node.forward()
    call = node.desk.owed[b"r1"].flights[0].call
    node.desk.by_hand(NOW, "s-2", True)
    assert not call.ended
    node.desk.by_hand(NOW, "s-1", True)
    assert call.ended and node.attempt_ends() == [(b"r1", 0, Outcome.NEVER_SENT, False)]
    # One that is with the kernel has begun there, and is let alone.
    node = SocketlessNode()
    node.send_request()
    node.forward()
    node.desk.by_hand(NOW, "s-1", True)
    assert (
        REQUEST.endswith(b"abc")
        and node.connections[0].transport.written.endswith(b"abc")
        and not node.attempt_ends()
    )
