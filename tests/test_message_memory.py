"""The messages of all clients together hold a bounded part of the node's memory."""

from manual_clock import ManualClock
from socketless_node import NOW, REQUEST, SocketlessNode, receive, request

from grebedyke.model.actions import Fail
from grebedyke.model.refusal import RefusalReason
from grebedyke.wire.client_admission import UNREAD_ANSWER_TIME
from grebedyke.wire.connection_end import ConnectionEnd
from grebedyke.wire.http_parser import MAX_HEADER_LINES

BODY_BYTES = 60_000
MAX_BYTES = 10 * BODY_BYTES
CLIENT_COUNT = 40


def large_request(number):
    """Returns a request with a large body."""
    head, _, _ = request(number).partition(b"\r\n\r\n")
    return head.replace(b"Length: 3", b"Length: %d" % BODY_BYTES) + b"\r\n\r\n" + b"x" * BODY_BYTES


def crowded_node():
    """Returns a node that may hold the bodies of ten large requests."""
    return SocketlessNode(max_connections=99, max_message_bytes=MAX_BYTES)


def test_clients_that_stop_within_a_body_hold_bounded_memory():
    """Hundreds of clients send half of a large request and stop; the process passed its memory limit.

    The oldest messages of unproven connections are refused, never a request that was accepted.
    """
    node = crowded_node()
    accepted = node.send_request(large_request(1))
    proven = node.client()
    proven.proven = True
    receive(proven, large_request(2)[: BODY_BYTES // 2])
    clients = [
        receive(node.client(), large_request(number + 10)[: BODY_BYTES // 2])
        for number in range(CLIENT_COUNT)
    ]
    node.run()
    assert node.listener.memory.total <= MAX_BYTES
    refused = [client.transport.written.startswith(b"HTTP/1.1 503 ") for client in clients]
    assert refused == sorted(refused, reverse=True) and 20 < sum(refused) < CLIENT_COUNT
    assert node.batch.metrics.counts[RefusalReason.NO_MEMORY] == sum(refused)
    assert not any(client.parser.partial_message_bytes() for client in clients[: sum(refused)])
    assert accepted.open_request is not None and not proven.transport.written
    # What is not refused is served when it is complete.
    receive(proven, large_request(2)[BODY_BYTES // 2 :])
    assert proven.open_request is not None


def test_request_beyond_the_memory_is_refused_until_others_are_answered():
    node = crowded_node()
    accepted = [node.send_request(large_request(number)) for number in range(20)]
    is_open = [client.open_request is not None for client in accepted]
    assert is_open == [True] * 10 + [False] * 10
    assert accepted[-1].transport.written.startswith(b"HTTP/1.1 503 ")
    assert not accepted[-1].transport.closing
    node.act(Fail(b"r0", RefusalReason.TOO_LATE), now=NOW)
    assert node.send_request(large_request(50)).open_request is not None
    for client in accepted:
        client.connection_lost(None)
    node.run()
    assert node.listener.memory.total <= BODY_BYTES


def test_head_of_very_many_short_fields_is_refused():
    """A head of 8 kB full of short fields took over 100 kB of memory."""
    for more, status in ((MAX_HEADER_LINES - 4, b""), (MAX_HEADER_LINES, b"HTTP/1.1 431 ")):
        node = SocketlessNode()
        fields = b"".join(b"\r\n%x:" % number for number in range(more))
        client = node.send_request(REQUEST.replace(b"\r\n\r\n", fields + b"\r\n\r\n"))
        assert client.transport.written[: len(status)] == status
        assert (client.open_request is None) == bool(status)


def answer_with(node, request_id, size):
    """Answers an open request with a result of `size` bytes."""
    request = node.host.requests.pending[request_id]
    node.host.requests.respond(NOW, request, 200, "succeeded", b"x" * size)
    node.host.requests.release(NOW, request)
    node.run()


# Guards against: answers that clients do not read were outside of the bound on memory.
def test_answers_that_clients_do_not_read_hold_bounded_memory():
    """Clients with large answers read nothing. Later ones are cut off only after a second without reading."""
    node = crowded_node()
    clock = ManualClock(node)
    clients = []
    for number in range(CLIENT_COUNT):
        client = node.send_request(request(number))
        client.transport.stuck = number != 5
        answer_with(node, b"r%d" % number, BODY_BYTES)
        clients.append(client)
        clock.advance(node, UNREAD_ANSWER_TIME // 10)
    held = node.listener.admission.unread
    assert held.total <= MAX_BYTES + BODY_BYTES
    ended = [client.transport.closing for client in clients]
    assert ended == [True] * 5 + [False] + [True] * (sum(ended) - 5) + [False] * (
        CLIENT_COUNT - 1 - sum(ended)
    )
    assert CLIENT_COUNT // 2 < sum(ended) < CLIENT_COUNT - 9
    assert all(
        client.end_reason is ConnectionEnd.NOT_READING for client in clients if client.transport.closing
    )
    # A client that reads in the end gets its answer, and its memory is free again.
    late = clients[-1]
    late.transport.stuck, late.transport.unsent = False, 0
    before = held.total
    late.resume_writing()
    assert before - held.total >= BODY_BYTES and not late.transport.closing


def test_unread_answers_keep_no_request_from_being_accepted():
    node = crowded_node()
    readers = []
    for number in range(20):
        reader = node.send_request(request(number))
        reader.transport.stuck = True
        answer_with(node, b"r%d" % number, BODY_BYTES)
        readers.append(reader)
    # All are younger than a second.
    assert node.listener.admission.unread.is_exceeded()
    assert not any(reader.transport.closing for reader in readers)
    accepted = node.send_request(large_request(50))
    partial = receive(node.client(), large_request(51)[: BODY_BYTES // 2])
    node.run()
    assert accepted.open_request is not None and not partial.transport.written
