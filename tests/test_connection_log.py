"""The log tells what clients sent that was refused, how connections ended, and what became of a request."""

import os

import orjson
import pytest
from loguru import logger
from socketless_node import NOW, REQUEST, SocketlessNode, call_back_message, receive

from grebedyke import request_trace
from grebedyke.model.actions import Forward, Throttle
from grebedyke.model.refusal import RefusalReason
from grebedyke.service import log
from grebedyke.service.process_memory import process_memory
from grebedyke.wire.client_admission import FLOOD_MESSAGES
from grebedyke.wire.connection_end import ConnectionEnd

MALFORMED = b"POST /op/k HTTP/1.1\r\n\r\n"
# A message of each error status of the listener.
REFUSED_MESSAGES = {
    400: MALFORMED,
    404: b"GET /x HTTP/1.1\r\n\r\n",
    405: b"GET /op/k HTTP/1.1\r\n\r\n",
    413: b"POST /op/k HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n",
    431: b"GET /up HTTP/1.1\r\n" + b"a:\r\n" * 200 + b"\r\n",
    505: b"GET /up HTTP/9.9\r\n\r\n",
}


@pytest.fixture
def debug_events():
    """Collects the fields of all log records, at level DEBUG."""
    events = []
    sink = logger.add(lambda message: events.append(dict(message.record["extra"])), level="DEBUG")
    request_trace.enable()
    yield events
    request_trace.disable()
    logger.remove(sink)


@pytest.mark.parametrize("status", REFUSED_MESSAGES)
def test_refused_message_is_counted_by_status_and_address(status):
    node = SocketlessNode()
    client = node.send_request(REFUSED_MESSAGES[status])
    assert client.transport.written.startswith(b"HTTP/1.1 %d " % status)
    counts = node.batch.metrics.counts
    assert counts[f"refused_{status}"] == counts["refused"] == 1
    assert node.listener.admission.refused.busiest() == ("127.0.0.7", 1)


def test_address_that_floods_the_node_is_named_in_the_log(debug_events):
    node = SocketlessNode()
    for count, is_named in ((FLOOD_MESSAGES - 1, False), (FLOOD_MESSAGES, True)):
        client = node.client()
        for _ in range(count):
            node.listener.admission.message_refused(client, 404)
        node.listener.admission.report()
        floods = [(each["address"], each["count"]) for each in debug_events if each.get("event") == "flood"]
        assert floods == [("127.0.0.7", count)] * is_named


def ended_by(node, reason):
    """Ends a connection for a reason and returns it."""
    client = node.client()
    if reason is ConnectionEnd.MALFORMED:
        receive(client, MALFORMED)
    elif reason is ConnectionEnd.DONE:
        receive(client, b"GET /up HTTP/1.0\r\n\r\n")
    elif reason is ConnectionEnd.OVERDUE:
        receive(client, b"GET")
        node.listener.close_overdue(NOW + 10**6)
    elif reason is ConnectionEnd.EVICTED:
        node.listener.connections.close(client)
    elif reason is ConnectionEnd.SHUTDOWN:
        node.listener.close()
    node.run()
    client.connection_lost(None)
    return client


@pytest.mark.parametrize(
    "reason",
    [
        ConnectionEnd.BY_PEER,
        ConnectionEnd.MALFORMED,
        ConnectionEnd.DONE,
        ConnectionEnd.OVERDUE,
        ConnectionEnd.EVICTED,
        ConnectionEnd.SHUTDOWN,
    ],
)
def test_end_of_a_connection_is_counted_by_its_reason(reason, debug_events):
    node = SocketlessNode()
    ended_by(node, reason)
    counted = {end: node.batch.metrics.counts[end] for end in ConnectionEnd}
    assert counted == {end: int(end is reason) for end in ConnectionEnd}
    assert [each["why"] for each in debug_events if each["event"] == "connection-ended"] == [reason.value]


def test_request_can_be_followed_by_its_identifier(debug_events):
    node = SocketlessNode()
    node.send_request(REQUEST)
    node.send_request(REQUEST)  # the same identifier
    node.act(Forward(b"r1", "s-1", 9_000))
    node.send_call_back(call_back_message("returned"))
    node.act(Throttle(b"r1", 0, RefusalReason.NONE_READY))
    steps = [
        (each["event"], each.get("executor") or each.get("why") or each.get("operation"))
        for each in debug_events
        if each.get("id") == "r1"
    ]
    assert steps == [
        ("request-taken", "op"),
        ("request-refused", "duplicate_id"),
        ("attempt-sent", "s-1"),
        ("attempt-ended", "s-1"),
        ("request-answered", "none_ready"),
    ]


@pytest.mark.parametrize(("level", "count"), [("INFO", 0), ("DEBUG", 1)])
def test_trace_is_written_only_at_its_level(level, count):
    reading_end, writing_end = os.pipe()
    log.open_log("n1", level, "json", writing_end)
    SocketlessNode().send_request(REQUEST)
    logger.info("last", event="last")
    logger.remove()
    request_trace.disable()
    os.close(writing_end)
    with os.fdopen(reading_end, "rb") as lines:
        events = [orjson.loads(line)["event"] for line in lines]
    assert events == ["request-taken"] * count + ["last"]


def test_resident_memory_is_known():
    memory = process_memory()
    assert 1_000 < memory.resident_kb <= memory.peak_kb
