import pytest
from helpers import HAND_IN, NOW, floor, join, news, say

from grebedyke.errors import HttpProtocolError
from grebedyke.model.actions import Cancel, Fail, Forward, Probe, Throttle
from grebedyke.model.outcome import Outcome
from grebedyke.wire.executor_pool import EndpointAddress
from grebedyke.wire.http_parser import HttpParser
from grebedyke.wire.ring_buffer import RingBuffer

ACCEPTED = b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"


def parse(data, step, answers=False, size=512, largest=64):
    """All messages of data, fed in pieces of `step` bytes."""
    ring, found = RingBuffer(size), []
    parser = HttpParser(ring, answers, largest, (b"x-id",))
    while data:
        room = ring.writable()
        n = min(step, len(room), len(data))
        room[:n] = data[:n]
        ring.commit(n)
        data = data[n:]
        while (message := parser.next_message()) is not None:
            found.append(message)
    return found, parser


REQUESTS = [
    (b"GET /up HTTP/1.1\r\n\r\n", [(b"GET", b"/up", {}, b"")]),
    (
        b"\r\nPOST /a?b HTTP/1.1\r\nX-Id:  7 \r\nContent-Length: 3\r\n\r\nxyzGET / HTTP/1.0\r\n\r\n",
        [(b"POST", b"/a?b", {b"x-id": b"7", b"content-length": b"3"}, b"xyz"), (b"GET", b"/", {}, b"")],
    ),
    (
        b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"3;e=1\r\nabc\r\n02\r\n\r\n\r\n0\r\nT: 1\r\n\r\n",
        [(b"POST", b"/", {b"transfer-encoding": b"chunked"}, b"abc\r\n")],
    ),
]
ANSWERS = [
    (
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 202\r\nContent-Length: 0\r\n\r\n"
        b"HTTP/1.1 204 No Content\r\n\r\n",
        [(202, {b"content-length": b"0"}, b""), (204, {}, b"")],
    ),
    (
        b"HTTP/1.1 503 Busy now\r\nX-Not-Processed: 1\r\nContent-Length: 2\r\n\r\nno",
        [(503, {b"x-not-processed": b"1", b"content-length": b"2"}, b"no")],
    ),
]


def test_messages_are_the_same_however_they_are_cut():
    for table, answers in ((REQUESTS, False), (ANSWERS, True)):
        for data, expected in table:
            for step in range(1, len(data) + 1):
                assert parse(data, step, answers)[0] == expected, (data, step)
            # A ring little longer than the head makes the bytes wrap at every place.
            for size in range(90, 96):
                assert all(parse(data * 4, step, answers, size)[0] == expected * 4 for step in (7, 999))


def test_what_is_not_http_is_told_so():
    head = b"POST / HTTP/1.1\r\n"
    for data, status in (
        (b"GET /\r\n\r\n", 400),
        (b"GET / HTTP/2\r\n\r\n", 505),
        (b"G@T / HTTP/1.1\r\n\r\n", 400),
        (head + b"no colon\r\n\r\n", 400),
        (head + b"A b: 1\r\n\r\n", 400),
        (head + b" a: 1\r\n\r\n", 400),
        (head + b"X-Id: 1\r\nX-ID: 2\r\n\r\n", 400),
        (head + b"X: a\nb\r\n\r\n", 400),
        (head + b"Content-Length: 1\r\nContent-Length: 1\r\n\r\n", 400),
        (head + b"Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", 400),
        (head + b"Content-Length: -1\r\n\r\n", 400),
        (head + b"Content-Length: 65\r\n\r\n", 413),
        (head + b"Transfer-Encoding: gzip\r\n\r\n", 400),
        (head + b"X: " + b"a" * 600, 431),
        (head + b"Transfer-Encoding: chunked\r\n\r\n41\r\n", 413),
        (head + b"Transfer-Encoding: chunked\r\n\r\n+1\r\n", 400),
        (head + b"Transfer-Encoding: chunked\r\n\r\n1\r\nabc", 400),
    ):
        for step in (1, len(data)):
            with pytest.raises(HttpProtocolError) as caught:
                parse(data, step)
            assert caught.value.status == status, data


def test_an_answer_without_a_length_ends_with_the_connection():
    found, parser = parse(b"HTTP/1.1 200 OK\r\n\r\nabc", 4, answers=True)
    assert not found and parser.end_of_stream() == (200, {}, b"abc") and not parser.keep_alive
    found, parser = parse(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc", 4, answers=True)
    assert not found and parser.end_of_stream() is None


def test_the_door_answers_what_it_is_not_for():
    for data, status, last in (
        (b"GET /up HTTP/1.1\r\n\r\n", 503, False),
        (b"POST /up HTTP/1.1\r\n\r\n", 405, False),
        (b"GET /op/1 HTTP/1.1\r\n\r\n", 405, False),
        (b"POST /other/1 HTTP/1.1\r\n\r\n", 404, False),
        (HAND_IN.replace(b"X-Request-ID: r1\r\n", b""), 400, True),
        (HAND_IN.replace(b"4000", b"-4"), 400, True),
        (HAND_IN.replace(b"4000", b"0"), 400, True),
        (HAND_IN.replace(b"4000", b"4001"), 400, True),
        (HAND_IN.replace(b"r1", b"r/1"), 400, True),
        (HAND_IN.replace(b"4000", b"4000\r\nX-Priority-Class: other"), 400, True),
        (HAND_IN.replace(b"4000", b"4000\r\nX-Cost: nan"), 400, True),
        (HAND_IN.replace(b"4000", b"4000\r\nX-Request-ID: r2"), 400, True),
        (b"\x16\x03\x01 hello\r\n\r\n", 400, True),
        (news("done").replace(b'"id"', b'"no"'), 204, False),
    ):
        node = floor()
        client = say(node.client(), data)
        node.loop.go()
        assert client.transport.written.startswith(b"HTTP/1.1 %d " % status), data
        assert (
            (client.transport.eof or client.transport.closing) == last
            and not node.host.requests.pending
            and not node.told.heard
        )


def test_an_answer_to_a_message_cut_short_is_not_reset_by_what_still_comes():
    node = floor()
    client = say(node.client(), HAND_IN.replace(b"Length: 3", b"Length: 70000"))
    node.loop.go()
    assert client.transport.written.startswith(b"HTTP/1.1 413") and not client.transport.closing
    say(client, b"x" * 70_000, 999)
    assert client.transport.written.count(b"HTTP/1.1") == 1 and not client.ring.used
    _, _, call, args = node.batch.timers[0]
    call(0, *args)
    assert client.transport.closing


def test_up_is_200_from_listening_until_stopping():
    node = floor()
    client, seen = node.client(), []
    for up, stopping in ((False, False), (True, False), (True, True)):
        node.listener.has_listened, node.listener.stopping = up, stopping
        client.transport.written = b""
        say(client, b"GET /up HTTP/1.1\r\n\r\n")
        node.loop.go()
        seen.append(client.transport.written[9:12])
    assert seen == [b"503", b"200", b"503"] and not client.transport.closing


def test_a_newcomer_over_the_cap_is_never_closed_unread():
    # Its invocation may be with the kernel already: a close would lose it.
    node = floor(most=2)
    busy = [say(node.client(), HAND_IN.replace(b"r1", b"r%d" % i)) for i in (1, 2)]
    third = node.client()
    assert not any(c.transport.closing for c in (*busy, third))
    say(third, HAND_IN.replace(b"r1", b"r3"))
    node.loop.go()
    assert third.transport.written.startswith(b"HTTP/1.1 503") and third.transport.closing
    assert b"r3" not in node.host.requests.pending
    third.connection_lost(None)
    node.host.perform(0, Fail(b"r1"))
    node.loop.go()
    fresh = node.client()  # over the cap again: the one that is between two messages makes room
    assert busy[0].transport.closing and not busy[1].transport.closing and not fresh.transport.closing


def test_an_answer_of_this_turn_goes_out_before_its_connection_is_closed():
    # At the stop's end, and where room is made, the answer was still in the ring and was lost.
    for close in (
        lambda node: node.listener.close_idle(),
        lambda node: node.client(),
        lambda node: node.listener.close(),
    ):
        node = floor(most=1)
        client = node.hand_in()
        node.host.perform(NOW, Fail(b"r1"))
        close(node)
        node.loop.go()
        assert client.transport.closing and client.transport.written.startswith(b"HTTP/1.1 500")


def test_who_makes_room_for_a_newcomer():
    # A crowd that connects and says nothing took the idle connections of all clients that had been good.
    for silent, asked, age, closed in (
        (15, 0, 4_000, ["silent"]),
        (15, 0, 0, []),
        (14, 1, 0, ["asked"]),
        (16, 0, 400, ["silent"]),
        (0, 0, 0, []),
    ):
        node = floor(most=16)
        kept = node.hand_in()
        node.host.perform(NOW, Fail(b"r1"))
        node.loop.go()
        crowd = [
            (name, say(node.client(), text))
            for name, text in [("asked", b"GET /up HTTP/1.1\r\n\r\n")] * asked
            + [("silent", HAND_IN[:30])] * silent
        ]
        node.loop.go()
        connections = node.listener.connections
        connections.incomplete = {c: since - age for c, since in connections.incomplete.items()}
        good = say(node.client(), HAND_IN.replace(b"r1", b"r2"))
        node.loop.go()
        assert [name for name, c in crowd if c.transport.closing] == closed, (silent, asked, age)
        assert (
            b"r2" in node.host.requests.pending and not kept.transport.closing and not good.transport.closing
        )


def test_of_many_clients_that_ask_once_and_stay_the_longest_idle_go():
    # Those that came later found no descriptor of the clients' share left, and were not taken at all.
    node = floor(share=0)
    client = node.hand_in()
    node.host.perform(NOW, Fail(b"r1"))
    node.loop.go()
    assert not say(client, HAND_IN).transport.closing  # never one that hands in
    node, clients = floor(share=2), []
    say(node.client(), news("done"))  # an executor's is not one of them
    for i in range(4):
        clients.append(say(node.client(), HAND_IN.replace(b"r1", b"r%d" % i)))
        if i != 1:
            node.host.perform(NOW, Fail(b"r%d" % i))
        node.loop.go()
    assert [c.transport.closing for c in clients] == [True, False, True, False]


def test_lines_to_a_former_life_are_dropped():
    # A machine that vanished neither ends its connections nor answers on them: a forward there is lost.
    node = floor()
    for since, address, closing in ((0, 1, False), (0, 1, False), (900, 1, True), (900, 2, True)):
        line = node.lines[0] = join(type(node.lines[0])(node.pool.endpoints["s-1"]))
        node.pool.endpoints["s-1"].idle = [line]
        node.pool.update_endpoints(False, [EndpointAddress("s-1", ("127.0.0.9", address), "healthy", since)])
        assert line.transport.closing == closing, (since, address)


def test_a_peer_that_never_says_anything_good_is_told_so_within_three_seconds():
    # They were told after the longest client timeout, the silent ones never.
    node = floor()
    slow, mute, owed, used = say(node.client(), HAND_IN[:-1]), node.client(), node.hand_in(), node.client()
    say(used, HAND_IN.replace(b"r1", b"r2"))
    node.host.perform(NOW, Fail(b"r2"))
    node.loop.go()
    say(used, HAND_IN[:-1])
    for after, told in ((20_000, []), (22_500, [slow, mute]), (70_000, [slow, mute, used])):
        node.listener.close_overdue(NOW + after)
        node.loop.go()
        assert [
            c for c in (slow, mute, owed, used) if c.transport.written.count(b"HTTP/1.1 408") == 1
        ] == told
        assert not (owed.transport.closing or used.transport.closing and used not in told)


def test_a_huge_body_is_not_read_to_its_end():
    node, paused = floor(), []
    client = say(node.client(), HAND_IN.replace(b"Length: 3", b"Length: 60000000"))
    node.loop.go()
    client.transport.pause_reading = lambda: paused.append(client.bytes_discarded)
    say(client, b"x" * 300_000, 8_000)
    assert paused and (1 << 18) < paused[0] < 280_000


def test_a_forward_goes_on_byte_for_byte():
    node = floor()
    node.hand_in()
    node.forward()
    head, body = node.lines[0].transport.written.split(b"\r\n\r\n")
    assert head.startswith(b"POST /op/k?q=1 HTTP/1.1\r\n") and body == b"abc"
    assert {b"X-Request-ID: r1", b"Idempotency-Key: i1", b"Content-Length: 3"} <= set(head.split(b"\r\n"))


BROKEN = "broken"
STORIES = [  # what comes back to a forward, what the module is told, how the client is answered
    ((ACCEPTED, news("done", more=',"result":"\\u00e9!"')), "ok", b"\r\n\r\n\xc3\xa9!"),
    ((news("done", more=',"result":"x"'), ACCEPTED), "ok", b"\r\n\r\nx"),
    ((news("done", more=',"result":"x"'), BROKEN), "ok", b"\r\n\r\nx"),
    ((news("done", more=',"result":"x"'), news("done", more=',"result":"y"')), "ok", b"\r\n\r\nx"),
    ((ACCEPTED, news("failed")), "fault", b""),
    ((ACCEPTED, news("returned")), "full", b""),
    ((ACCEPTED, news("lost")), "reset", b""),
    ((BROKEN,), "reset", b""),
    ((ACCEPTED, BROKEN, news("done")), "ok", b"200 OK"),
    ((ACCEPTED, news("done", name="s-2")), None, b""),
    ((ACCEPTED, news("done", id="r0")), None, b""),
    ((ACCEPTED.replace(b"202", b"503"),), "fault", b""),
    ((ACCEPTED.replace(b"202", b"500"),), "fault", b""),
    ((ACCEPTED.replace(b"202 Accepted", b"503 x\r\nX-Not-Processed: 1"),), "full", b""),
    ((ACCEPTED.replace(b"202 Accepted", b"504 x\r\nX-Not-Processed: 1"),), "full", b""),
    ((ACCEPTED.replace(b"202 Accepted", b"500 x\r\nX-Not-Processed: 1"),), "fault", b""),
    ((b"garbage\r\n\r\n", BROKEN), "reset", b""),
]


def test_what_an_executor_says_is_one_outcome_and_one_answer():
    for story, outcome, answer in STORIES:
        node = floor()
        client, (line, _) = node.hand_in(), node.lines
        node.forward()
        for part in story:
            if part is BROKEN:
                line.connection_lost(None)
            elif part.startswith(b"POST"):
                caller = say(node.client(), part)
                node.loop.go()
                assert caller.transport.written.startswith(b"HTTP/1.1 204")
            else:
                say(line, part)
            node.loop.go()
        assert [x[3] for x in node.ends()] == ([outcome] if outcome else []), story
        assert answer in client.transport.written
        assert client.transport.written.count(b"HTTP/1.1") == bool(answer)
        assert bool(node.host.requests.pending) == (outcome != "ok")


def test_never_ran_only_while_the_last_byte_is_not_with_the_kernel():
    for stuck, drained, outcome in (
        (False, False, Outcome.CONNECTION_RESET),
        (True, False, Outcome.CONNECT_FAILED),
        (True, True, Outcome.CONNECTION_RESET),
    ):
        node = floor()
        node.hand_in()
        line = node.lines[0]
        line.transport.stuck = stuck
        node.forward()
        if drained:
            line.resume_writing()
        line.connection_lost(None)
        node.loop.go()
        assert [x[3] for x in node.ends()] == [outcome], (stuck, drained)


def test_a_line_that_ends_before_the_turn_writes_has_sent_nothing():
    node = floor()
    node.hand_in()
    node.host.perform(NOW, Forward(b"r1", "s-1", 9_000))
    node.lines[0].transport.closing = True
    node.batch.run_batch()
    node.lines[0].connection_lost(None)
    node.loop.go()
    assert [x[3] for x in node.ends()] == [Outcome.CONNECT_FAILED] and not node.lines[0].transport.written


def test_news_of_an_earlier_forward_does_not_clear_a_later_one_there():
    # "returned" of the first, told twice, would let a non-idempotent invocation run a second time.
    for state, outcome in (("returned", "reset"), ("lost", "reset"), ("failed", "reset"), ("done", "ok")):
        node = floor()
        node.hand_in()
        node.forward()
        say(node.lines[0], ACCEPTED)
        say(node.client(), news("returned"))
        node.loop.go()
        node.forward()
        say(node.lines[0], ACCEPTED)
        say(node.client(), news(state))
        node.loop.go()
        if outcome == "reset":
            say(node.lines[0], b"HTTP/1.1 204 x\r\n\r\n")  # the executor has heard that it is given up
            node.loop.go()
        assert [x[3] for x in node.ends()] == ["full", outcome]
        assert (b"DELETE /jobs/r1 " in node.lines[0].transport.written) == (outcome == "reset")


def test_a_second_forward_after_an_answer_without_call_backs_is_judged_as_the_first():
    busy = ACCEPTED.replace(b"202 Accepted", b"503 x\r\nX-Not-Processed: 1")
    for first, outcome in ((busy, "full"), (None, "reset")):
        node = floor()
        node.hand_in()
        node.forward()
        say(node.lines[0], first) if first else node.lines[0].connection_lost(None)
        node.loop.go()
        node.forward()
        say(node.client(), news("returned"))
        node.loop.go()
        assert node.ends()[1][3] == outcome


def test_a_start_is_told_once():
    node = floor()
    node.hand_in()
    node.forward()
    for state in ("started", "started", "running", "started"):
        say(node.client(), news(state))
        node.loop.go()
    assert [x[0] for x in node.told.heard] == ["taken", "started", "progressed"]


def test_the_end_of_a_forwards_time():
    # Before its 202 the line ends, after it the executor is told; what never left cannot have run.
    for before, outcome, closing, delete in (
        ((), "timeout", True, False),
        ((ACCEPTED,), "timeout", False, True),
        (None, "no connection", False, False),
    ):
        node = floor()
        node.hand_in()
        if before is None:
            node.pool.endpoints["s-1"].idle.clear()  # a connect that never comes up
        node.forward(allowed=70_000)
        for part in before or ():
            say(node.lines[0], part)
            node.loop.go()
        node.host.attempts.end_overdue(0, node.host.requests.pending[b"r1"].attempts[0])
        node.loop.go()
        assert [x[3] for x in node.ends()] == [outcome]
        assert node.lines[0].transport.closing == closing
        assert (b"DELETE" in node.lines[0].transport.written) == delete


def test_a_forward_of_which_nothing_is_heard_ends_early_as_a_broken_connection():
    # A connection that fell silent held it until the client's timeout, and its executor for as long.
    for heard, outcome in ((None, "reset"), (ACCEPTED, None), (news("started"), None)):
        node = floor()
        node.hand_in()
        node.forward()
        if heard:
            say(node.client() if heard.startswith(b"POST") else node.lines[0], heard)
            node.loop.go()
        other = join(type(node.lines[0])(node.pool.endpoints["s-1"]))
        node.pool.endpoints["s-1"].rest(other)
        for _, _, call, args in [
            x for x in node.batch.timers if x[2] == node.host.attempts.end_unacknowledged
        ]:
            call(NOW + 5_000, *args)
        node.loop.go()
        # Sent again before the executor has heard that it is given up, it could be a second copy.
        assert not node.ends()
        assert other.transport.written.startswith(b"DELETE /jobs/r1 ") == bool(outcome)
        if outcome:
            say(other, b"HTTP/1.1 204 x\r\n\r\n")
            node.loop.go()
        assert [x[3] for x in node.ends()] == ([outcome] if outcome else [])
        assert node.lines[0].transport.closing == bool(outcome)


def test_a_forward_whose_time_a_stop_has_cut_is_not_handed_back():
    # At the stop's end each deduplicated one went out again within a millisecond, as a second copy.
    for latest, heard in ((NOW + 20_000, ["left", "ended"]), (None, ["ended"])):
        node = floor()
        node.host.requests.shutdown_at = latest
        client = node.hand_in()
        node.forward(allowed=39_000 if latest else 9_000)
        at, _, call, args = next(x for x in node.batch.timers if x[2] == node.host.attempts.end_overdue)
        call(at, *args)
        node.loop.go()
        assert [x[0] for x in node.told.heard[1:]] == heard and node.ends()[0][4] == bool(latest)
        assert client.transport.written.startswith(b"HTTP/1.1 500") == bool(latest)


def test_a_cancel_is_told_once_the_executor_has_heard_it_unless_an_end_came_first():
    # Told sooner, the restart elsewhere could run beside it as a second copy.
    for ended, heard, outcomes in ((False, True, ["cancelled"]), (True, True, ["ok"]), (False, False, [])):
        node = floor()
        node.hand_in()
        node.forward()
        say(node.lines[0], ACCEPTED)
        node.loop.go()
        node.host.perform(NOW, Cancel(b"r1", 0))
        node.loop.go()
        assert not node.ends() and b"DELETE /jobs/r1 " in node.lines[0].transport.written
        if ended:
            say(node.client(), news("done"))
        if heard:
            say(node.lines[0], b"HTTP/1.1 204 x\r\n\r\n")
        node.loop.go()
        assert [x[3] for x in node.ends()] == outcomes
        _, _, call, args = max(node.batch.timers, key=lambda limit: limit[1])  # silence there has a limit
        call(0, *args)
        node.loop.go()
        assert [x[3] for x in node.ends()] == (outcomes or ["cancelled"])


def test_a_forward_to_nowhere_or_without_time_ends_and_keeps_the_count():
    for name, allowed, outcome in (("s-9", 9_000, "no connection"), ("s-1", 0, "moot")):
        node = floor()
        node.hand_in()
        node.host.perform(NOW, Forward(b"r1", name, allowed))
        node.host.requests.fail_unanswered(0, node.host.requests.pending[b"r1"]) if not allowed else None
        node.forward() if allowed else None
        node.loop.go()
        assert node.ends() == [("ended", b"r1", 0, outcome, not allowed)]


def test_a_client_that_leaves_is_told_and_never_answered():
    node = floor()
    client = node.hand_in()
    node.forward()
    client.eof_received()
    client.connection_lost(None)
    node.loop.go()
    assert ("left", b"r1") in node.told.heard and node.host.requests.pending[b"r1"].body is None
    say(node.client(), news("done"))
    node.loop.go()
    assert not client.transport.written and not node.host.requests.pending
    assert node.ends() == [("ended", b"r1", 0, "ok", True)]


def test_what_the_module_leaves_open_is_answered_in_time():
    node = floor()
    client = node.hand_in()
    node.forward()
    node.host.requests.fail_unanswered(0, node.host.requests.pending[b"r1"])
    node.loop.go()
    assert client.transport.written.startswith(b"HTTP/1.1 500") and not node.host.requests.pending
    node.host.perform(0, Throttle(b"r1", 0))
    assert client.transport.written.count(b"HTTP/1.1") == 1


def test_a_stall_before_the_reading_counts_into_the_client_timeout():
    # A node that stood still for 0.6 s answered when its client had given up.
    for stall, early in ((0, 0), (200, 0), (6_000, 6_000)):
        node = floor()
        node.batch.pass_times.extend([NOW - stall] * 3)
        client = say(node.client(), HAND_IN)
        assert client.open_request.answer_by == NOW + 40_000 - 200 - early
        node.loop.go()
        node.forward(allowed=39_000)
        due = client.open_request.answer_by
        node.batch.timers.sort()
        ends = [(limit[0], limit[2].__name__) for limit in node.batch.timers]
        assert (due - 50, "fail_unanswered") in ends and any(
            name == "end_overdue" and at < due - 50 for at, name in ends
        )
        assert node.told.heard[0][4] == NOW + 39_800


def test_what_is_taken_while_stopping_is_no_repeat_to_the_module():
    # With its time cut to the stop's end the module throttled all that came after SIGTERM.
    node = floor()
    node.host.requests.shutdown_at = NOW + 20_000
    client = node.hand_in()
    assert client.open_request.answer_by == node.host.requests.shutdown_at
    assert node.told.heard[0][4] == NOW + 39_800


def test_forwards_that_cannot_be_made_end_at_the_next_turn():
    node = floor(lines=2)
    node.hand_in()
    node.pool.endpoints["s-1"].idle.clear()  # both descriptors in use: no third line
    node.lines[1].carry(node.pool.endpoints["s-2"].call(b"GET", b"/alive", (), b"", lambda *_: None))
    node.host.perform(NOW, Forward(b"r1", "s-1", 9_000))
    assert not node.ends()
    node.loop.go()
    assert [x[3] for x in node.ends()] == [Outcome.CONNECT_FAILED]


def test_idle_lines_are_used_last_first_and_dropped_well_before_they_are_closed_there():
    node = floor()
    endpoint = node.pool.endpoints["s-1"]
    young = join(type(node.lines[0])(endpoint))
    endpoint.rest(young)
    node.hand_in()
    node.forward()
    assert young.transport.written and not node.lines[0].transport.written
    node.lines[0].idle_since -= node.pool.settings.max_idle_time
    node.host.perform(NOW, Probe("s-1"))
    node.loop.go()
    assert not node.lines[0].transport.written
    node.pool.sweep(NOW)
    assert node.lines[0].transport.closing


def test_lines_that_executors_give_up_early_are_used_only_as_long_as_they_are_seen_to_last():
    # Each message on a line that had died unseen ended as a reset, after which little may be sent again.
    for ending, first, usable in (
        ("eof", False, 15_000),
        ("reset", False, 15_000),
        ("reset", True, 1_000_000),
        ("dropped", False, 1_000_000),
    ):
        node = floor()
        node.hand_in()
        line = node.lines[0]
        line.idle_since, line.is_new = NOW - 30_000, first
        if ending == "eof":
            line.eof_received()
        else:
            node.forward()
            line.call.abandon() if ending == "dropped" else None
            line.connection_lost(ConnectionResetError())
        assert node.pool.usable_idle_time == usable, (ending, first)
        node.pool.endpoints["s-2"].idle = [node.lines[1]]
        node.lines[1].idle_since = NOW - 20_000
        node.host.perform(NOW, Probe("s-2"))
        node.loop.go()
        assert bool(node.lines[1].transport.written) == (usable == 1_000_000)
        node.pool.sweep(NOW)
        assert node.pool.usable_idle_time == min(usable + usable // 10 + 10, node.pool.settings.max_idle_time)


def test_one_fault_does_not_end_the_turn_for_others():
    node = floor()
    node.batch.enqueue(lambda now: 1 / 0)
    client = node.hand_in()
    node.host.perform(0, Fail(b"r1"))
    node.loop.go()
    assert client.transport.written.startswith(b"HTTP/1.1 500")


def test_probes_are_told_once_with_their_report():
    for answer, told in (
        (b"HTTP/1.1 200 OK\r\nContent-Length: 24\r\n\r\nTEXT inflight=3, x0=1.50", ("s-1", "ok", 1.5, 3.0)),
        (b"HTTP/1.1 503 no\r\nContent-Length: 0\r\n\r\n", ("s-1", "full", None, None)),
        (b"", ("s-1", "timeout", None, None)),
    ):
        node = floor()
        node.host.perform(NOW, Probe("s-1"))
        node.loop.go()
        say(node.lines[0], answer)
        node.loop.go()
        for _, _, call, args in list(node.batch.timers):
            call(0, *args)
        assert node.told.heard == [("probed", *told)]
