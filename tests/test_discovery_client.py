"""The discovery client without sockets: its polls, and how it handles the answers."""

import asyncio

import orjson
from helpers import DISCOVERY, list_update
from loguru import logger
from node_files import LISTED_ROW
from socketless_node import CallRecorder, FakeEventLoop, connect, fixed_clock_batch_loop, receive

from grebedyke.wire.discovery_client import (
    MAX_QUICK_ANSWERS,
    QUICK_ANSWER_TIME,
    DiscoveryClient,
)
from grebedyke.wire.discovery_connection import DiscoveryConnection
from grebedyke.wire.discovery_settings import DiscoverySettings, max_list_bytes

SETTINGS = DiscoverySettings(
    long_poll_wait=50_000, answer_grace=10_000, retry_delay=10_000, max_retry_delay=10_000
)
# Ticks of a long poll, during which discovery waits for changes.
LONG_POLL = 50_000


def client_of(loop, recorder):
    """Returns a client at version 41 whose lists and failures are recorded."""
    batch = fixed_clock_batch_loop(loop)
    batch.next_action = lambda now: None
    return DiscoveryClient(
        loop,
        batch,
        DISCOVERY,
        41,
        SETTINGS,
        on_list=recorder.listed,
        on_failure=recorder.unlisted,
    )


def response_of(body):
    """Returns an HTTP response with this body."""
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body


def answer_polls(*answers, at_once=False):
    """Lets a client poll, and answers its polls in order.

    Args:
        *answers: JSON objects, or bodies as bytes.
        at_once: Whether discovery answers immediately rather than after a long poll.

    Returns:
        The client, the recorded calls, and the bytes that it has sent.
    """
    loop = FakeEventLoop()
    recorder = CallRecorder()
    client = client_of(loop, recorder)
    client.connection = connect(DiscoveryConnection(client))
    client.poll()
    transport = client.connection.transport
    for answer in answers:
        client.poll_started -= 0 if at_once else LONG_POLL
        body = orjson.dumps(answer) if isinstance(answer, dict) else answer
        receive(client.connection, response_of(body), 11)
        loop.run_ready()
        if client.connection is None or transport.closing:
            break
    loop.run_ready()
    return client, recorder.calls, transport.written


def fire_next_poll(client):
    """Fires the timer of the client's next poll."""
    next(timer.call for timer in client.batch.timers if timer.call == client.poll)(0)
    client.loop.run_ready()


def test_polls_follow_immediately_and_changes_differ_from_complete_lists():
    row = ("s-1", ("127.0.0.1", 9), "a", "m", 0, "healthy", 0, 1)
    _, calls, sent = answer_polls(
        {"index": 42, "snapshot": False, "endpoints": []},
        {"index": 43, "snapshot": True, "endpoints": [LISTED_ROW]},
        {"index": 44, "snapshot": False, "endpoints": [{**LISTED_ROW, "status": "Terminating"}]},
    )
    assert calls == [
        ("listed", list_update(version=42, after=41)),
        ("listed", list_update(row, is_complete=True, version=43, after=42)),
        ("listed", list_update((*row[:5], "draining", *row[6:]), version=44, after=43)),
    ]
    # The first poll asks for an immediate answer, later ones wait for changes.
    assert [line.split()[1] for line in sent.split(b"\r\n") if line.startswith(b"GET")] == [
        b"/discovery/hosts?after=%d&wait_ms=%d" % (version, 5000 if version > 41 else 0)
        for version in (41, 42, 43, 44)
    ]


def test_immediate_answers_without_changes_are_followed_by_a_pause():
    """Discovery answers each poll immediately without changes; a node must pause between such polls."""
    for at_once, rows, polls in ((True, [], 1), (True, [LISTED_ROW], 2), (False, [], 2)):
        client, _, sent = answer_polls({"index": 42, "endpoints": rows}, at_once=at_once)
        assert sent.count(b"GET ") == polls
        if polls == 1:
            fire_next_poll(client)
            assert client.connection.transport.written.count(b"GET ") == 2


# Guards against: a discovery that answers each poll at once with a change took the time of all clients.
def test_immediate_answers_with_changes_are_polled_at_a_bounded_rate():
    count = 3 * MAX_QUICK_ANSWERS
    answers = [{"index": 42 + number, "endpoints": [LISTED_ROW]} for number in range(count)]
    client, _, sent = answer_polls(*answers, at_once=True)
    assert sent.count(b"GET ") == MAX_QUICK_ANSWERS + 1
    (timer,) = [timer for timer in client.batch.timers if timer.call == client.poll]
    assert timer.when == client.poll_started + QUICK_ANSWER_TIME
    # A burst of changes is followed without a pause, and one answer after a wait begins a new burst.
    client, _, sent = answer_polls(*answers[:MAX_QUICK_ANSWERS], at_once=True)
    assert sent.count(b"GET ") == MAX_QUICK_ANSWERS + 1
    client, _, sent = answer_polls(*answers, at_once=False)
    assert sent.count(b"GET ") == count + 1


# Guards against: a list of 16 MB, which discovery may send by a defect, took a node over its memory limit.
def test_list_larger_than_the_memory_limit_allows_is_rejected_while_it_arrives():
    loop = FakeEventLoop()
    recorder = CallRecorder()
    client = client_of(loop, recorder)
    client.max_list_bytes = max_list_bytes(64)
    client.connection = connect(DiscoveryConnection(client))
    client.poll()
    connection = client.connection
    chunk = b"1000\r\n" + b" " * 0x1000 + b"\r\n"
    receive(connection, b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    most_held = 0
    for _ in range(2 * client.max_list_bytes // 0x1000):
        if connection.transport.closing:
            break
        receive(connection, chunk)
        most_held = max(most_held, len(connection.parser.body))
    assert connection.transport.closing and most_held <= client.max_list_bytes
    connection.connection_lost(None)
    loop.run_ready()
    assert not client.polling and not [call for call in recorder.calls if call[0] == "listed"]
    (timer,) = [timer for timer in client.batch.timers if timer.call == client.poll]  # it goes on polling


def test_row_without_valid_address_does_not_affect_others():
    rows = [{**LISTED_ROW, "name": "s-0", "address": "?"}, LISTED_ROW]
    _, calls, _ = answer_polls({"index": 42, "snapshot": True, "endpoints": rows})
    _, update = calls[0]
    assert [(row.name, row.state) for row in update.rows] == [("s-0", "gone"), ("s-1", "healthy")]


def test_invalid_and_duplicate_rows_and_older_version_are_handled():
    """A list has thousands of invalid rows, and an older list follows it.

    One log line per invalid row would make the log longer than the list.
    """
    malformed = [
        None,
        5,
        {},
        {"name": 7},
        {"name": ""},
        {**LISTED_ROW, "name": "s-9", "status": 3},
        {**LISTED_ROW, "name": "s-8", "address": "h:99999"},
        {**LISTED_ROW, "name": "s-7", "since_ms": "x", "weight": None},
    ]
    lines = []
    sink = logger.add(lambda text: lines.append(str(text)))
    try:
        client, calls, _ = answer_polls(
            {"index": 42, "snapshot": True, "endpoints": malformed * 2_000 + [LISTED_ROW, LISTED_ROW]},
            {"index": 7, "snapshot": False, "endpoints": [{**LISTED_ROW, "status": "Gone"}]},
        )
    finally:
        logger.remove(sink)
    assert len(calls) == 1
    assert {row.name for row in calls[0][1].rows if row.state == "healthy"} == {"s-1", "s-7"}
    assert len(lines) == 2
    # The older list is not applied; the next poll requests the complete list, of any version.
    assert client.version is None and not client.polling
    fire_next_poll(client)
    complete_list = b"GET /discovery/hosts HTTP/1.1\r\nHost: 127.0.0.1:1\r\n\r\n"
    assert client.connection.transport.written.endswith(complete_list)


def test_invalid_answer_or_timeout_is_a_failed_poll():
    for answer in (b"{", b"[]", b'{"endpoints":[]}', b'{"index":1,"endpoints":[{}]}', None):
        client, _, _ = answer_polls(*(() if answer is None else (answer,)))
        if answer is None:
            client.poll_timed_out(0, client.poll_number - 1)  # the timer of an earlier poll
            assert client.polling
            client.poll_timed_out(0, client.poll_number)
        else:
            client.connection.connection_lost(None)
        client.loop.run_ready()
        assert not client.polling and client.connection is None
        planned = [timer for timer in client.batch.timers if timer.call == client.poll]
        assert len(planned) == 1  # the client continues polling by itself


def test_new_discovery_address_requests_complete_list_and_ignores_old_one():
    """Discovery moves to another address during a poll.

    Versions of two discoveries are not comparable, and the close by the old one is not a failure.
    """
    client, calls, _ = answer_polls()
    old_connection = client.connection
    client.set_address("127.0.0.1", 1)
    assert client.connection is old_connection  # unchanged address
    client.set_address("127.0.0.2", 2)
    client.poll_timed_out(0, 1)
    receive(old_connection, response_of(b'{"index":99,"snapshot":true,"endpoints":[]}'))
    old_connection.connection_lost(None)
    client.loop.run_ready()
    assert old_connection.transport.closing and client.polling and not calls and client.version is None
    client.connection = connect(DiscoveryConnection(client))
    client.send_poll()
    client.loop.run_ready()
    first_poll = b"GET /discovery/hosts HTTP/1.1\r\nHost: 127.0.0.2:2\r\n"
    assert client.connection.transport.written.startswith(first_poll)


def test_late_connect_to_old_discovery_does_not_end_new_poll(monkeypatch):
    """Discovery moves while a connect to the old address can no longer be cancelled.

    The failure or the connection of that connect must not be taken for the new one's.
    """

    async def scenario(is_refused):
        loop = asyncio.get_running_loop()
        client = client_of(FakeEventLoop(), CallRecorder())
        client.loop = loop
        opened = []

        async def create_connection(factory, host, port):
            opened.append(port)
            if port == 1:
                await asyncio.sleep(0.01)
                if is_refused:
                    raise OSError
            connection = connect(factory())
            return connection.transport, connection

        monkeypatch.setattr(loop, "create_connection", create_connection)
        client.poll()
        await asyncio.sleep(0)
        late_task = client.connect_task
        client.connect_task = None  # as if it could no longer be cancelled
        client.set_address("127.0.0.2", 2)
        await asyncio.gather(late_task, client.connect_task)
        return opened, client

    for is_refused in (True, False):
        opened, client = asyncio.run(scenario(is_refused))
        assert opened == [1, 2] and client.polling and not client.failing and not client.batch.events
        assert not client.connection.transport.closing
