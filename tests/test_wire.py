"""Attempts from the listener to the executors and back: outcomes, ends, cancels, connections to executors."""

from socketless_node import NOW, REQUEST, SocketlessNode, call_back_message, receive

from grebedyke.model.actions import Cancel, Fail, Forward, Probe, Throttle
from grebedyke.model.events import (
    AttemptEnded,
    AttemptProgressed,
    AttemptStarted,
    ClientLeft,
    ProbeAnswered,
    RequestArrived,
)
from grebedyke.model.outcome import Outcome
from grebedyke.model.refusal import RefusalReason

ACCEPTED = b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"
CANCEL_CONFIRMED = b"HTTP/1.1 204 x\r\n\r\n"


def refusal(status, never_ran):
    """Returns an executor's response that refuses a request; `never_ran`: it says that the job never ran."""
    mark = b"X-Not-Processed: 1\r\n" if never_ran else b""
    return b"HTTP/1.1 %d x\r\n%sContent-Length: 0\r\n\r\n" % (status, mark)


def test_a_request_goes_on_byte_for_byte():
    node = SocketlessNode()
    node.send_request()
    node.forward()
    head, body = node.connections[0].transport.written.split(b"\r\n\r\n")
    assert head.startswith(b"POST /op/k?q=1 HTTP/1.1\r\n") and body == b"abc"
    assert {b"X-Request-ID: r1", b"Idempotency-Key: i1", b"Content-Length: 3"} <= set(head.split(b"\r\n"))


def succeeded(result):
    return call_back_message("done", more=f',"result":"{result}"')


BROKEN = "broken"  # the connection ends
STORIES = [  # what comes back to an attempt, its outcome, what is in the client's response
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


def test_what_an_executor_reports_is_one_outcome_and_one_response():
    for story, outcome, in_response in STORIES:
        node = SocketlessNode()
        client = node.send_request()
        connection = node.connections[0]
        node.forward()
        for part in story:
            if part is BROKEN:
                connection.connection_lost(None)
            elif part.startswith(b"POST"):
                caller = node.report(part)
                assert caller.transport.written.startswith(b"HTTP/1.1 204")
            else:
                receive(connection, part)
            node.run()
        assert node.outcomes() == ([outcome] if outcome else []), story
        assert in_response in client.transport.written
        assert client.transport.written.count(b"HTTP/1.1") == bool(in_response)
        assert bool(node.host.requests.pending) == (outcome != Outcome.SUCCEEDED)


def test_never_ran_only_while_the_last_byte_is_not_with_the_kernel():
    """A connection ends without a response, with the message written in full or not.

    Once the kernel has the last byte the executor may have it too, and the job may have run.
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


def test_a_connection_that_ends_before_the_batch_writes_has_sent_nothing():
    """A connection ends between the decision to use it and the end of the batch."""
    node = SocketlessNode()
    node.send_request()
    node.host.perform(NOW, Forward(b"r1", "s-1", 9_000))
    connection = node.connections[0]
    connection.transport.closing = True
    node.batch.run_batch()
    connection.connection_lost(None)
    node.run()
    assert node.outcomes() == [Outcome.CONNECT_FAILED] and not connection.transport.written


def test_a_call_back_on_an_earlier_attempt_does_not_end_a_later_one_there():
    """An executor reports an attempt as "returned" twice, the second time when the next one runs there.

    Taken for the next one's, it would let a non-idempotent request run a second time.
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
        node.report(call_back_message("returned"))
        node.forward()
        receive(connection, ACCEPTED)
        node.report(call_back_message(state))
        if outcome is Outcome.CONNECTION_RESET:
            receive(connection, CANCEL_CONFIRMED)
            node.run()
        assert node.outcomes() == [Outcome.REJECTED, outcome]
        was_cancelled = b"DELETE /jobs/r1 " in connection.transport.written
        assert was_cancelled == (outcome is Outcome.CONNECTION_RESET)


def test_a_second_attempt_after_a_response_without_call_backs_is_judged_as_the_first():
    """An executor refuses an attempt, or its connection breaks, and gets the request once more.

    After a refusal there can be no late call-back on the first attempt; after a break there can.
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
        node.report(call_back_message("returned"))
        assert node.outcomes()[1] == outcome


def test_a_start_is_reported_once():
    node = SocketlessNode()
    node.send_request()
    node.forward()
    for state in ("started", "started", "running", "started"):
        node.report(call_back_message(state))
    kinds = [type(event) for event in node.dispatcher.events]
    assert kinds == [RequestArrived, AttemptStarted, AttemptProgressed]


def test_the_end_of_an_attempts_time():
    """An attempt's time is over.

    Before its 202 the connection ends, after it the executor gets a cancel; what never left cannot have run.
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
            node.pool.endpoints["s-1"].idle.clear()  # a connect that never comes up
        node.forward(allowed=70_000)
        for response in responses:
            receive(connection, response)
            node.run()
        node.host.attempts.end_overdue(0, node.host.requests.pending[b"r1"].attempts[0])
        node.run()
        assert node.outcomes() == [outcome]
        assert connection.transport.closing == closing
        assert (b"DELETE" in connection.transport.written) == cancelled


def test_a_silent_attempt_ends_early_as_a_broken_connection():
    """Nothing comes back to an attempt, neither a 202 nor a call-back.

    A connection that fell silent kept the request until the client's timeout, and its executor for as long.
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
        if answer:
            receive(node.client() if answer.startswith(b"POST") else connection, answer)
            node.run()
        other = node.connect_executor()
        for _, _, call, arguments in [
            limit for limit in node.batch.timers if limit[2] == node.host.attempts.end_unacknowledged
        ]:
            call(NOW + 5_000, *arguments)
        node.run()
        # Sent again before the executor knows that it is given up, it could be a second copy.
        assert not node.outcomes()
        assert other.transport.written.startswith(b"DELETE /jobs/r1 ") == bool(outcome)
        if outcome:
            receive(other, CANCEL_CONFIRMED)
            node.run()
        assert node.outcomes() == ([outcome] if outcome else [])
        assert connection.transport.closing == bool(outcome)


def test_an_attempt_whose_time_a_shutdown_has_cut_is_not_handed_back():
    """A node shuts down while an attempt is under way, whose time ends with the shutdown.

    Each request that is idempotent by key was sent again within a millisecond, as a second copy.
    """
    for latest, expected in ((NOW + 20_000, [ClientLeft, AttemptEnded]), (None, [AttemptEnded])):
        node = SocketlessNode()
        node.host.requests.shutdown_at = latest
        client = node.send_request()
        node.forward(allowed=39_000 if latest else 9_000)
        when, _, call, arguments = next(
            limit for limit in node.batch.timers if limit[2] == node.host.attempts.end_overdue
        )
        call(when, *arguments)
        node.run()
        assert [type(event) for event in node.dispatcher.events[1:]] == expected
        _, _, _, request_closed = node.attempt_ends()[0]
        assert request_closed == bool(latest)
        assert client.transport.written.startswith(b"HTTP/1.1 500") == bool(latest)


def test_a_cancel_is_reported_once_the_executor_has_confirmed_it_unless_an_end_came_first():
    """The dispatcher cancels an attempt to restart the request elsewhere.

    Reported sooner, the restart could run beside it as a second copy.
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
        if ended:
            receive(node.client(), call_back_message("done"))
        if confirmed:
            receive(connection, CANCEL_CONFIRMED)
        node.run()
        assert node.outcomes() == outcomes
        _, _, call, arguments = max(node.batch.timers, key=lambda limit: limit[1])  # silence has a limit
        call(0, *arguments)
        node.run()
        assert node.outcomes() == (outcomes or [Outcome.CANCELLED])


def test_an_attempt_to_nowhere_or_without_time_ends_and_keeps_the_count():
    """The dispatcher sends a request to an executor without an address, or with no time left.

    The attempt must end at once and be counted, so that the next one has a number of its own.
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


def test_a_client_that_leaves_is_reported_and_never_answered():
    """A client leaves while its request runs; the executor's end must not go to anybody."""
    node = SocketlessNode()
    client = node.send_request()
    node.forward()
    client.eof_received()
    client.connection_lost(None)
    node.run()
    assert ClientLeft(b"r1") in node.dispatcher.events and node.host.requests.pending[b"r1"].body is None
    node.report(call_back_message("done"))
    assert not client.transport.written and not node.host.requests.pending
    assert node.attempt_ends() == [(b"r1", 0, Outcome.SUCCEEDED, True)]


def test_what_the_dispatcher_leaves_open_is_answered_in_time():
    """The dispatcher gives no final answer before a request's time is over; it may come later."""
    node = SocketlessNode()
    client = node.send_request()
    node.forward()
    node.host.requests.fail_unanswered(0, node.host.requests.pending[b"r1"])
    node.run()
    assert client.transport.written.startswith(b"HTTP/1.1 500") and not node.host.requests.pending
    node.host.perform(0, Throttle(b"r1", 0, RefusalReason.TOO_LATE))
    assert client.transport.written.count(b"HTTP/1.1") == 1


def test_a_stall_before_the_reading_counts_into_the_client_timeout():
    """A node stands still, and then reads a request that came meanwhile.

    After 0.6 s of that it answered when its client had given up.
    """
    for stall, early in ((0, 0), (200, 0), (6_000, 6_000)):
        node = SocketlessNode()
        node.batch.pass_times.extend([NOW - stall] * 3)
        client = receive(node.client(), REQUEST)
        assert client.open_request.answer_by == NOW + 40_000 - 200 - early
        node.run()
        node.forward(allowed=39_000)
        due = client.open_request.answer_by
        node.batch.timers.sort()
        limits = [(when, call.__name__) for when, _, call, _ in node.batch.timers]
        assert (due - 50, "fail_unanswered") in limits
        assert any(name == "end_overdue" and when < due - 50 for when, name in limits)
        assert node.dispatcher.events[0].deadline == NOW + 39_800


def test_what_is_taken_while_stopping_is_no_repeat_to_the_dispatcher():
    """A request comes after SIGTERM, and the node's end cuts its time.

    Told of the shorter time, the dispatcher took it for a repeat and throttled all that came.
    """
    node = SocketlessNode()
    node.host.requests.shutdown_at = NOW + 20_000
    client = node.send_request()
    assert client.open_request.answer_by == node.host.requests.shutdown_at
    assert node.dispatcher.events[0].deadline == NOW + 39_800


def test_one_fault_does_not_end_the_batch_for_others():
    """An input of a batch fails; what came with it must be handled all the same."""
    node = SocketlessNode()
    node.batch.enqueue(lambda now: 1 / 0)
    client = node.send_request()
    node.act(Fail(b"r1", RefusalReason.TOO_LATE), now=0)
    assert client.transport.written.startswith(b"HTTP/1.1 500")


def test_probes_are_reported_once_with_their_load():
    """A probe is answered, refused, or has no answer in time; each is reported once, also with its limit."""
    for response, event in (
        (
            b"HTTP/1.1 200 OK\r\nContent-Length: 24\r\n\r\nTEXT inflight=3, x0=1.50",
            ProbeAnswered("s-1", Outcome.SUCCEEDED, 1.5, 3.0),
        ),
        (
            b"HTTP/1.1 503 no\r\nContent-Length: 0\r\n\r\n",
            ProbeAnswered("s-1", Outcome.REJECTED, None, None),
        ),
        (b"", ProbeAnswered("s-1", Outcome.TIMEOUT, None, None)),
    ):
        node = SocketlessNode()
        node.act(Probe("s-1"))
        receive(node.connections[0], response)
        node.run()
        for _, _, call, arguments in list(node.batch.timers):
            call(0, *arguments)
        assert node.dispatcher.events == [event] and isinstance(node.dispatcher.events[0], ProbeAnswered)
