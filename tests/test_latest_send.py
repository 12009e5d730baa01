"""The latest send of an attempt: what is decided in time but delayed past that time must never be sent."""

import asyncio
from functools import partial

import pytest
from emulators import BlockingClient, ExecutorEmulator, port_of, until
from helpers import dispatcher, list_update, rows, take_actions
from node_harness import OPERATION, NodeHarness
from socketless_node import NOW, SocketlessNode, connect

from grebedyke.model.actions import Forward
from grebedyke.model.outcome import Idempotency, Outcome
from grebedyke.units import TICKS_PER_SECOND
from grebedyke.wire.endpoint_rows import ListedEndpoint
from grebedyke.wire.executor_connection import ExecutorConnection

LATEST_SEND = NOW + 100
KEYED_OPERATION = {**OPERATION, "idempotency": "keyed", "group": "zone", "windowMs": 1500}
WINDOW = 1.5


def test_keyed_retry_whose_connection_comes_up_after_the_window_is_not_sent():
    """A keyed retry is decided within the window, and its connection comes up after the window.

    The executors have discarded the key by then, so that the retry would take effect a second time.
    """

    async def scenario():
        first = await ExecutorEmulator().start()
        other = await ExecutorEmulator("s-2").start()
        settings = {"operations": [KEYED_OPERATION]}
        async with NodeHarness(first.row(), gated=[other.address], **settings) as harness:
            client = BlockingClient(harness.address).send_request()
            await until(lambda: first.received, "the first attempt")
            row = ListedEndpoint("s-2", ("127.0.0.1", port_of(other.address)), "a", "m", 0, "healthy", 0, 1)
            harness.host.endpoint_updates.on_list(harness.batch.clock(), list_update(row))
            sent_at = harness.host.requests.pending[b"r1"].received_at
            await harness.call_back("failed")
            await until(lambda: harness.gate.waiting == 1, "the retry's connect")
            assert harness.batch.clock() - sent_at < WINDOW * TICKS_PER_SECOND  # decided within the window
            await asyncio.sleep(WINDOW)
            harness.gate.opened.set()
            answer = await client.response()
            client.leave()
        for executor in (first, other):
            executor.server.close()
        return first.received, other.received, answer.split()[1]

    assert asyncio.run(scenario()) == ([b"r1"], [], b"500")


def test_dispatcher_sends_the_end_of_the_window_with_a_keyed_retry():
    """The window counts from the first attempt that may have run; other attempts have no limit."""
    for idempotency, outcome, expected in (
        (Idempotency.KEYED, Outcome.FAILED, 110 + 10_000 - 500),
        (Idempotency.KEYED, Outcome.REJECTED, None),
        (Idempotency.IDEMPOTENT, Outcome.FAILED, None),
        (Idempotency.NON_IDEMPOTENT, Outcome.REJECTED, None),
    ):
        node = dispatcher(idempotency, "all", window=10_000)
        node.endpoints_changed(10, True, rows(1, 2, 3))
        node.request_arrived(10, 5, "op", None, 50_000, 1_000, 1)
        forwards = take_actions(node, 10)
        for index, (now, ended_as) in enumerate(((110, Outcome.CONNECT_FAILED), (210, outcome))):
            node.attempt_ended(now, 5, index, ended_as, False)
            forwards += take_actions(node, now)
        assert [type(action) for action in forwards] == [Forward] * 3
        assert [forward.latest_send for forward in forwards] == [None, None, expected], (idempotency, outcome)


@pytest.mark.parametrize(("delay", "is_sent"), [(100, True), (101, False)])
def test_process_that_is_held_up_before_the_write_sends_nothing_late(delay, is_sent):
    """The process is held up between the decision to send an attempt and the end of the batch."""
    node = SocketlessNode()
    node.send_request()
    node.host.perform(NOW, Forward(b"r1", "s-1", 9_000, LATEST_SEND))
    node.batch.clock = partial(int, NOW + delay)
    node.run()
    connection = node.connections[0]
    assert bool(connection.transport.written) == is_sent
    assert connection.transport.closing != is_sent
    assert node.outcomes() == ([] if is_sent else [Outcome.NEVER_SENT])


def test_message_that_the_kernel_does_not_accept_in_time_is_never_completed():
    """The kernel's buffer is full until after the latest send; the executor must not get the rest."""
    node = SocketlessNode()
    node.send_request()
    connection = node.connections[0]
    connection.transport.stuck = True
    node.act(Forward(b"r1", "s-1", 9_000, LATEST_SEND))
    node.batch.clock = partial(int, LATEST_SEND)
    node.batch.run_batch()
    assert not connection.transport.closing
    node.batch.clock = partial(int, LATEST_SEND + 1)
    node.batch.run_batch()
    node.run()
    assert connection.transport.closing and node.outcomes() == [Outcome.NEVER_SENT]


def test_message_that_was_sent_in_time_goes_on_after_its_latest_send():
    node = SocketlessNode()
    node.send_request()
    node.act(Forward(b"r1", "s-1", 9_000, LATEST_SEND))
    node.batch.clock = partial(int, LATEST_SEND + 1)
    node.batch.run_batch()
    connection = node.connections[0]
    assert connection.transport.written and not connection.transport.closing and not node.outcomes()


@pytest.mark.parametrize("delay", (0, 2_000))
def test_executor_is_told_the_time_that_is_left_when_the_connection_is_up(delay):
    """An attempt waits for its connection, and the executor is told how long the node will wait for the job.

    The time was worked out at the decision, so that the executor was told up to a connect's time too much.
    """
    node = SocketlessNode()
    node.send_request()
    endpoint = node.pool.endpoints["s-1"]
    endpoint.idle.clear()
    node.act(Forward(b"r1", "s-1", 9_000))
    call = node.host.requests.pending[b"r1"].attempts[0].call
    node.batch.clock = partial(int, NOW + delay)
    connection = connect(ExecutorConnection(endpoint))
    connection.send_call(call)
    node.run()
    assert b"X-Timeout-Ms: %d\r\n" % ((9_000 - delay) // 10) in connection.transport.written
