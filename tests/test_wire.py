"""Attempts from the client listener to the executors and back: outcomes, timeouts, cancels, probes."""

from socketless_node import NOW, REQUEST, SocketlessNode, call_back_message, receive

from grebedyke.model.actions import Cancel, Fail, Forward, Probe, Throttle
from grebedyke.model.events import (
    AttemptEnded,
    AttemptProgressed,
    AttemptStarted,
    ClientLeft,
    ProbeEnded,
    RequestArrived,
)
from grebedyke.model.outcome import Outcome
from grebedyke.model.refusal import RefusalReason

ACCEPTED = b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"
CANCEL_CONFIRMED = b"HTTP/1.1 204 x\r\n\r\n"


def calls_of_timers(node, call=None, name=None):
    """Returns the calls of the timers that are set now, to be made later even if the timers are cancelled.

    Args:
        node: The `SocketlessNode`.
        call: Only timers with this call; None for all.
        name: Only timers whose call has this name; None for all.
    """
    return [
        lambda now, timer_call=timer.call, arguments=timer.arguments: timer_call(now, *arguments)
        for timer in node.batch.timers
        if call in (None, timer.call) and name in (None, timer.call.__name__)
    ]


def refusal(status, never_ran):
    """Returns a refusal by an executor; with `never_ran` it states that the job never ran."""
    mark = b"X-Not-Processed: 1\r\n" if never_ran else b""
    return b"HTTP/1.1 %d x\r\n%sContent-Length: 0\r\n\r\n" % (status, mark)


def test_request_is_forwarded_unchanged():
    node = SocketlessNode()
    node.send_request()
    node.forward()
    head, body = node.connections[0].transport.written.split(b"\r\n\r\n")
    assert head.startswith(b"POST /op/k?q=1 HTTP/1.1\r\n") and body == b"abc"
    assert {b"X-Request-ID: r1", b"Idempotency-Key: i1", b"Content-Length: 3"} <= set(head.split(b"\r\n"))


def succeeded(result):
    return call_back_message("done", more=f',"result":"{result}"')


BROKEN = "broken"  # the connection is closed
REPLY_CASES = [  # replies to an attempt, its outcome, part of the client's response
    ((ACCEPTED, succeeded("\\u00e9!")), Outcome.SUCCEEDED, b"\r\n\r\n\xc3\xa9!"),
    ((succeeded("x"), ACCEPTED), Outcome.SUCCEEDED, b"\r\n\r\nx"),
    ((succeeded("x"), BROKEN), Outcome.SUCCEEDED, b"\r\n\r\nx"),
    ((succeeded("x"), succeeded("y")), Outcome.SUCCEEDED, b"\r\n\r\nx"),
    ((ACCEPTED, call_back_message("failed")), Outcome.FAILED, b""),
    ((ACCEPTED, call_back_message("returned")), Outcome.REJECTED, b""),
    ((ACCEPTED, call_back_message("lost")), Outcome.CONNECTION_RESET, b""),
    ((BROKEN,), Outcome.CONNECTION_RESET, b""),
    ((ACCEPTED, BROKEN, call_back_message("done")), Outcome.SUCCEEDED, b"200 OK"),
    ((ACCEPTED, call_back_message("done", name="s-2")), None, b""),
    ((ACCEPTED, call_back_message("done", request_id="r0")), None, b""),
    ((refusal(503, never_ran=False),), Outcome.FAILED, b""),
    ((refusal(500, never_ran=False),), Outcome.FAILED, b""),
    ((refusal(503, never_ran=True),), Outcome.REJECTED, b""),
    ((refusal(504, never_ran=True),), Outcome.REJECTED, b""),
    ((refusal(500, never_ran=True),), Outcome.FAILED, b""),
    ((b"garbage\r\n\r\n", BROKEN), Outcome.CONNECTION_RESET, b""),
]


def test_executor_replies_give_one_outcome_and_one_response():
    for replies, outcome, in_response in REPLY_CASES:
        node = SocketlessNode()
        client = node.send_request()
        connection = node.connections[0]
        node.forward()
        for part in replies:
            if part is BROKEN:
                connection.connection_lost(None)
            elif part.startswith(b"POST"):
                caller = node.send_call_back(part)
                assert caller.transport.written.startswith(b"HTTP/1.1 204")
            else:
                receive(connection, part)
            node.run()
        assert node.outcomes() == ([outcome] if outcome else []), replies
        assert in_response in client.transport.written
        assert client.transport.written.count(b"HTTP/1.1") == bool(in_response)
        assert bool(node.host.requests.pending) == (outcome != Outcome.SUCCEEDED)


def test_attempt_is_unsent_only_while_kernel_lacks_its_last_byte():
    """A connection is closed without a response, after the message was written completely or in part.

    If the kernel has accepted the last byte, the executor may have received it and the job may have run.
    """
    for stuck, drained, outcome in (
        (False, False, Outcome.CONNECTION_RESET),
        (True, False, Outcome.CONNECT_FAILED),
        (True, True, Outcome.CONNECTION_RESET),
    ):
        node = SocketlessNode()
        node.send_request()
        connection = node.connections[0]
        connection.transport.stuck = stuck
        node.forward()
        if drained:
            connection.resume_writing()
        connection.connection_lost(None)
        node.run()
        assert node.outcomes() == [outcome], (stuck, drained)


def test_connection_closed_before_batch_write_has_sent_nothing():
    """A connection is closed between the decision to use it and the end of the batch."""
    node = SocketlessNode()
    node.send_request()
    node.host.perform(NOW, Forward(b"r1", "s-1", 9_000))
    connection = node.connections[0]
    connection.transport.closing = True
    node.batch.run_batch()
    connection.connection_lost(None)
    node.run()
    assert node.outcomes() == [Outcome.CONNECT_FAILED] and not connection.transport.written


def test_call_back_on_earlier_attempt_does_not_end_later_one():
    """An executor reports an attempt as "returned" twice, the second time while the next attempt runs there.

    If the second report ended the next attempt, a non-idempotent request could run twice.
    """
    for state, outcome in (
        ("returned", Outcome.CONNECTION_RESET),
        ("lost", Outcome.CONNECTION_RESET),
        ("failed", Outcome.CONNECTION_RESET),
        ("done", Outcome.SUCCEEDED),
    ):
        node = SocketlessNode()
        node.send_request()
        connection = node.connections[0]
        node.forward()
        receive(connection, ACCEPTED)
        node.send_call_back(call_back_message("returned"))
        node.forward()
        receive(connection, ACCEPTED)
        node.send_call_back(call_back_message(state))
        if outcome is Outcome.CONNECTION_RESET:
            receive(connection, CANCEL_CONFIRMED)
            node.run()
        assert node.outcomes() == [Outcome.REJECTED, outcome]
        was_cancelled = b"DELETE /jobs/r1 " in connection.transport.written
        assert was_cancelled == (outcome is Outcome.CONNECTION_RESET)


def test_call_back_after_refused_attempt_applies_to_second_attempt():
    """An executor refuses an attempt, or its connection is lost, and gets the request again.

    After a refusal no late call-back on the first attempt is possible; after a lost connection it is.
    """
    for first, outcome in (
        (refusal(503, never_ran=True), Outcome.REJECTED),
        (None, Outcome.CONNECTION_RESET),
    ):
        node = SocketlessNode()
        node.send_request()
        connection = node.connections[0]
        node.forward()
        if first:
            receive(connection, first)
        else:
            connection.connection_lost(None)
        node.run()
        node.forward()
        node.send_call_back(call_back_message("returned"))
        assert node.outcomes()[1] == outcome


def test_attempt_start_is_reported_once():
    node = SocketlessNode()
    node.send_request()
    node.forward()
    for state in ("started", "started", "running", "started"):
        node.send_call_back(call_back_message(state))
    kinds = [type(event) for event in node.dispatcher.events]
    assert kinds == [RequestArrived, AttemptStarted, AttemptProgressed]


def test_attempt_timeout():
    """The timeout of an attempt expires.

    Before the 202 the connection is closed, after it the executor gets a cancel. An attempt that was never
    sent cannot have run.
    """
    for responses, connects, outcome, closing, cancelled in (
        ((), False, Outcome.TIMEOUT, True, False),
        ((ACCEPTED,), False, Outcome.TIMEOUT, False, True),
        ((), True, Outcome.CONNECT_FAILED, False, False),
    ):
        node = SocketlessNode()
        node.send_request()
        connection = node.connections[0]
        if connects:
            node.pool.endpoints["s-1"].idle.clear()  # a connect that never completes
        node.forward(allowed=70_000)
        for response in responses:
            receive(connection, response)
            node.run()
        node.host.attempts.end_overdue(0, node.host.requests.pending[b"r1"].attempts[0])
        node.run()
        assert node.outcomes() == [outcome]
        assert connection.transport.closing == closing
        assert (b"DELETE" in connection.transport.written) == cancelled


def test_unacknowledged_attempt_ends_early_as_connection_reset():
    """An attempt gets no reply, neither a 202 nor a call-back.

    Without a response timeout a dead connection would hold the request until the client timeout.
    """
    for answer, outcome in (
        (None, Outcome.CONNECTION_RESET),
        (ACCEPTED, None),
        (call_back_message("started"), None),
    ):
        node = SocketlessNode()
        node.send_request()
        connection = node.connections[0]
        node.forward()
        limits = calls_of_timers(node, node.host.attempts.end_unacknowledged)
        if answer:
            receive(node.client() if answer.startswith(b"POST") else connection, answer)
            node.run()
        other = node.connect_executor()
        for limit in limits:
            limit(NOW + 5_000)
        node.run()
        # A retry before the executor has confirmed the cancel could run as a second copy.
        assert not node.outcomes()
        assert other.transport.written.startswith(b"DELETE /jobs/r1 ") == bool(outcome)
        if outcome:
            receive(other, CANCEL_CONFIRMED)
            node.run()
        assert node.outcomes() == ([outcome] if outcome else [])
        assert connection.transport.closing == bool(outcome)


def test_attempt_cut_short_by_shutdown_is_not_retried():
    """A node shuts down during an attempt, whose time ends with the shutdown.

    Without this rule each request with an idempotency key was sent again within a millisecond, as a second
    copy.
    """
    for latest, expected in ((NOW + 20_000, [ClientLeft, AttemptEnded]), (None, [AttemptEnded])):
        node = SocketlessNode()
        node.host.requests.shutdown_at = latest
        client = node.send_request()
        node.forward(allowed=39_000 if latest else 9_000)
        timer = next(timer for timer in node.batch.timers if timer.call == node.host.attempts.end_overdue)
        timer.call(timer.when, *timer.arguments)
        node.run()
        assert [type(event) for event in node.dispatcher.events[1:]] == expected
        _, _, _, request_closed = node.attempt_ends()[0]
        assert request_closed == bool(latest)
        assert client.transport.written.startswith(b"HTTP/1.1 500") == bool(latest)


def test_cancel_is_reported_after_confirmation_unless_attempt_ended_first():
    """The dispatcher cancels an attempt to restart the request on another executor.

    If the cancel were reported before its confirmation, the restart could run as a second copy.
    """
    for ended, confirmed, outcomes in (
        (False, True, [Outcome.CANCELLED]),
        (True, True, [Outcome.SUCCEEDED]),
        (False, False, []),
    ):
        node = SocketlessNode()
        node.send_request()
        connection = node.connections[0]
        node.forward()
        receive(connection, ACCEPTED)
        node.run()
        node.act(Cancel(b"r1", 0))
        assert not node.outcomes() and b"DELETE /jobs/r1 " in connection.transport.written
        (confirmation_timeout,) = calls_of_timers(node, name="_on_timeout")
        if ended:
            receive(node.client(), call_back_message("done"))
        if confirmed:
            receive(connection, CANCEL_CONFIRMED)
        node.run()
        assert node.outcomes() == outcomes
        confirmation_timeout(0)
        node.run()
        assert node.outcomes() == (outcomes or [Outcome.CANCELLED])


def test_attempt_without_address_or_time_ends_and_is_numbered():
    """The dispatcher sends a request to an executor without an address, or with no time left.

    The attempt must end immediately and be counted, so that the next attempt gets another number.
    """
    for name, allowed, outcome in (("s-9", 9_000, Outcome.CONNECT_FAILED), ("s-1", 0, Outcome.NEVER_SENT)):
        node = SocketlessNode()
        node.send_request()
        node.host.perform(NOW, Forward(b"r1", name, allowed))
        if allowed:
            node.forward()
        else:
            node.host.requests.fail_unanswered(0, node.host.requests.pending[b"r1"])
        node.run()
        assert node.attempt_ends() == [(b"r1", 0, outcome, not allowed)]


def test_client_departure_is_reported_and_gets_no_response():
    """A client leaves while its request runs; the result must not be sent to any client."""
    node = SocketlessNode()
    client = node.send_request()
    node.forward()
    client.eof_received()
    client.connection_lost(None)
    node.run()
    assert ClientLeft(b"r1") in node.dispatcher.events and node.host.requests.pending[b"r1"].body is None
    node.send_call_back(call_back_message("done"))
    assert not client.transport.written and not node.host.requests.pending
    assert node.attempt_ends() == [(b"r1", 0, Outcome.SUCCEEDED, True)]


def test_request_without_final_answer_is_failed_in_time():
    """The dispatcher gives no final answer before a request's time is over, or gives it too late."""
    node = SocketlessNode()
    client = node.send_request()
    node.forward()
    node.host.requests.fail_unanswered(0, node.host.requests.pending[b"r1"])
    node.run()
    assert client.transport.written.startswith(b"HTTP/1.1 500") and not node.host.requests.pending
    node.host.perform(0, Throttle(b"r1", 0, RefusalReason.TOO_LATE))
    assert client.transport.written.count(b"HTTP/1.1") == 1


def test_stall_before_read_counts_toward_client_timeout():
    """The event loop stalls, and then reads a request that arrived in the meantime.

    After a stall of 0.6 s, the node answered only after the client had given up.
    """
    for stall, early in ((0, 0), (200, 0), (6_000, 6_000)):
        node = SocketlessNode()
        node.batch.pass_times.extend([NOW - stall] * 3)
        client = receive(node.client(), REQUEST)
        assert client.open_request.answer_by == NOW + 40_000 - 200 - early
        node.run()
        node.forward(allowed=39_000)
        due = client.open_request.answer_by
        limits = [(timer.when, timer.call.__name__) for timer in node.batch.timers]
        assert (due - 50, "fail_unanswered") in limits
        assert any(name == "end_overdue" and when < due - 50 for when, name in limits)
        assert node.dispatcher.events[0].deadline == NOW + 39_800


def test_request_accepted_during_shutdown_is_not_taken_for_a_repeat():
    """A request arrives after SIGTERM, so the shutdown limits its time.

    Given the shorter deadline, the dispatcher took each such request for a repeat and throttled it.
    """
    node = SocketlessNode()
    node.host.requests.shutdown_at = NOW + 20_000
    client = node.send_request()
    assert client.open_request.answer_by == node.host.requests.shutdown_at
    assert node.dispatcher.events[0].deadline == NOW + 39_800


def test_failing_input_does_not_abort_the_batch():
    """An input of a batch raises an error; the other inputs of the batch must still be handled."""
    node = SocketlessNode()
    node.batch.enqueue(lambda now: 1 / 0)
    client = node.send_request()
    node.act(Fail(b"r1", RefusalReason.TOO_LATE), now=0)
    assert client.transport.written.startswith(b"HTTP/1.1 500")


def test_probe_result_is_reported_once_with_its_load():
    """A probe is answered, refused or times out; its result is reported once, even if a timer fires later."""
    for response, event in (
        (
            b"HTTP/1.1 200 OK\r\nContent-Length: 24\r\n\r\nTEXT inflight=3, x0=1.50",
            ProbeEnded("s-1", Outcome.SUCCEEDED, 1.5, 3.0),
        ),
        (
            b"HTTP/1.1 503 no\r\nContent-Length: 0\r\n\r\n",
            ProbeEnded("s-1", Outcome.REJECTED, None, None),
        ),
        (b"", ProbeEnded("s-1", Outcome.TIMEOUT, None, None)),
    ):
        node = SocketlessNode()
        node.act(Probe("s-1"))
        limits = calls_of_timers(node)
        assert limits
        receive(node.connections[0], response)
        node.run()
        for limit in limits:
            limit(0)
        assert node.dispatcher.events == [event] and isinstance(node.dispatcher.events[0], ProbeEnded)
