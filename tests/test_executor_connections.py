"""Connections to executors: events between a connect and its use, or between a response and the next call."""

import asyncio
import socket
from functools import partial

import pytest
from emulators import ACCEPTED, BlockingClient, DiscoveryEmulator, ExecutorEmulator, port_of, until
from helpers import list_update
from node_harness import NodeHarness
from socketless_node import NOW, SocketlessNode, receive

from grebedyke.model.actions import Probe
from grebedyke.model.outcome import Outcome
from grebedyke.wire.endpoint_rows import ListedEndpoint
from grebedyke.wire.executor_connection import CallResult, ExecutorCall, ExecutorMessage

PROBE = ExecutorMessage(b"GET", b"/alive")
NEVER_RAN = b"HTTP/1.1 503 x\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"


def close_all(*servers):
    for each in servers:
        each.server.close()


@pytest.mark.parametrize("change", ("draining", "gone", "moved", "restarted"))
def test_endpoint_list_is_rechecked_after_connect(change):
    """The endpoint list changes between the choice of an executor and the end of the connect to it.

    A connect may take longer than the drain grace. Without the second check the attempt was sent to a
    draining executor, or to a former incarnation that does not answer.
    """

    async def scenario():
        old = await ExecutorEmulator().start()
        new = await ExecutorEmulator("s-2").start()
        discovery = await DiscoveryEmulator().start()
        async with NodeHarness(old.row(), discovery=discovery, gated=[old.address]) as harness:
            client = BlockingClient(harness.address).send_request()
            await until(lambda: harness.gate.waiting == 1 and discovery.polls, "connect and poll")
            rows = {
                "draining": [old.row(status="Terminating"), new.row()],
                "gone": [old.row(status="Gone"), new.row()],
                "moved": [{**new.row(), "name": "s-1"}],
                "restarted": [old.row(since_ms=5)],  # the same address, as another process
            }[change]
            version = harness.node.parts.discovery.version
            discovery.answer(2, *rows)
            await until(
                lambda: harness.node.parts.discovery.version != version and not harness.batch.events,
                "the list",
            )
            harness.gate.opened.set()
            executor = old if change == "restarted" else new
            await until(lambda: executor.received, "the attempt")
            await harness.finish(client, name="s-2" if change in ("draining", "gone") else "s-1")
        close_all(old, new, discovery)
        return old.received, new.received, len(old.writers)

    # A connection to a former incarnation is closed even if the next one has the same address.
    expected = ([b"r1"], [], 2) if change == "restarted" else ([], [b"r1"], 1)
    assert asyncio.run(scenario()) == expected


def test_connection_lost_before_use_ends_the_call_immediately():
    """An executor closes a new connection before the task that opened it resumes.

    The call must end immediately rather than by its timeout, so the request is sent to another executor.
    """

    async def scenario():
        executor = await ExecutorEmulator().start()
        other = await ExecutorEmulator("s-2").start()
        other_row = ListedEndpoint(
            name="s-2",
            address=("127.0.0.1", port_of(other.address)),
            zone="a",
            kind="m",
            cell=0,
            state="healthy",
            since_ms=0,
            weight=1,
        )
        async with NodeHarness(executor.row(), gated=[executor.address]) as harness:
            client = BlockingClient(harness.address).send_request()
            await until(lambda: harness.gate.waiting == 1 and executor.writers, "the connect")
            executor.writers[0].close()
            await until(lambda: not harness.endpoint().connections, "the loss of the connection")
            harness.host.endpoint_updates.on_list(harness.batch.clock(), list_update(other_row))
            harness.gate.opened.set()
            await until(lambda: other.received or executor.received, "the next attempt")
            await harness.finish(client, name="s-2" if other.received else "s-1")
        close_all(executor, other)
        return executor.received + other.received

    assert asyncio.run(scenario()) == [b"r1"]


def test_unresolvable_host_ends_the_call_immediately():
    """The endpoint list has an invalid host name.

    The resolver rejects it with another error than OSError; unhandled, the call ended only by its timeout.
    """

    async def scenario():
        other = await ExecutorEmulator("s-2").start()
        discovery = await DiscoveryEmulator().start()
        row = other.row(name="s-1", address="a..b:80")
        async with NodeHarness(row, discovery=discovery) as harness:
            client = BlockingClient(harness.address).send_request()
            counts = harness.batch.metrics.counts
            await until(lambda: counts["unconnected"] and discovery.polls, "the failed connect")
            discovery.answer(2, other.row())
            await until(lambda: other.received, "the next attempt")
            await harness.finish(client, name="s-2")
        close_all(other, discovery)
        return other.received

    assert asyncio.run(scenario()) == [b"r1"]


@pytest.mark.parametrize("has_idle", (False, True))
def test_calls_of_one_batch_share_the_connection_limit(has_idle):
    """A burst of calls needs more connections than the limit allows.

    Connects that have not started and idle connections that are closing must be counted correctly; otherwise
    a burst uses more descriptors than its share, up to the limit of the process.
    """

    async def open_six_idle(pool, address):
        endpoint = pool.endpoint("s-2")
        endpoint.is_listed = True
        endpoint.set_incarnation(address, 0)
        for _ in range(6):
            endpoint.call(PROBE, lambda end: None)
        await until(lambda: len(endpoint.idle) == 6, "six idle connections")

    async def scenario():
        executor = await ExecutorEmulator().start()
        other = await ExecutorEmulator("s-2").start()
        async with NodeHarness(executor.row(), gated=[executor.address]) as harness:
            pool = harness.pool
            used = []
            pool.max_connections = 6
            if has_idle:
                await open_six_idle(pool, ("127.0.0.1", port_of(other.address)))
            results = []
            for _ in range(20):
                pool.endpoint("s-1").call(PROBE, lambda end: results.append(end.result))
                used.append(len(pool.connections) + pool.connecting)
            await until(lambda: len(results) == 14, "the calls above the limit")
            await until(lambda: harness.gate.waiting == 6, "the connects")
            # A connect that waits at the gate is counted both as a connection and as connecting.
            used.append(len(pool.connections) + pool.connecting - harness.gate.waiting)
            harness.gate.opened.set()
            await until(lambda: len(results) == 20, "all ends")
            used.append(len(pool.connections))
        close_all(executor, other)
        return max(used), results.count(CallResult.ANSWERED)

    assert asyncio.run(scenario()) == (6, 6)


def test_connection_to_former_incarnation_is_not_reused():
    """A response arrives from an executor that has moved to another address.

    If its connection returned to the pool, the next message would be sent to the former incarnation.
    """

    async def scenario():
        old = await ExecutorEmulator().start()
        new = await ExecutorEmulator().start()
        discovery = await DiscoveryEmulator().start()
        old.respond = lambda line, headers: b""
        async with NodeHarness(old.row(), discovery=discovery) as harness:
            first = BlockingClient(harness.address).send_request("r0")
            await until(lambda: old.received and discovery.polls, "attempt and poll")
            discovery.answer(2, new.row())
            await until(
                lambda: harness.node.parts.discovery.version == 2 and not harness.batch.events, "the list"
            )
            old.writers[0].write(ACCEPTED)
            await until(lambda: not harness.endpoint().connections or harness.endpoint().idle, "the response")
            await harness.finish(first, "r0")
            harness.pool.duplicate_window = 0
            second = BlockingClient(harness.address).send_request("r1")
            await until(lambda: len(old.received + new.received) == 2, "the second attempt")
            if new.received:
                await harness.finish(second)
        close_all(old, new, discovery)
        return old.received, new.received

    assert asyncio.run(scenario()) == ([b"r0"], [b"r1"])


def test_response_before_complete_request_body_aborts_connection():
    """An executor answers "never ran" to a request before the kernel has accepted the entire body.

    If the connection stays open, the rest of the body still arrives and the job runs a second time.
    """

    async def scenario():
        early = await ExecutorEmulator().start(small_buffers=True)
        other = await ExecutorEmulator("s-2").start()
        discovery = await DiscoveryEmulator().start()
        early.may_read.clear()
        async with NodeHarness(early.row(), discovery=discovery, gated=[early.address]) as harness:
            harness.gate.small_buffers = True
            harness.gate.opened.set()
            client = BlockingClient(harness.address).send_request(body=b"x" * 65_536)
            await until(
                lambda: [each for each in harness.endpoint().connections if not each.fully_written],
                "a full kernel buffer",
            )
            discovery.answer(2, early.row(status="Terminating"), other.row())
            await until(lambda: harness.node.parts.discovery.version == 2, "the list")
            early.writers[0].write(NEVER_RAN)
            await until(lambda: other.received, "the next attempt")
            early.may_read.set()
            await harness.finish(client, name="s-2")
            await until(lambda: not harness.endpoint().connections, "the connection's end")
        close_all(early, other, discovery)
        return early.received, other.received

    assert asyncio.run(scenario()) == ([], [b"r1"])


@pytest.mark.parametrize("twice", (True, False))
def test_duplicate_response_is_not_taken_for_the_next_attempts(twice):
    """An executor in another data centre sends its response twice, and answers the next attempt later.

    A duplicate "never ran" that was taken for the response to a job that runs caused the job to run twice. A
    response that is not a duplicate must still be accepted.
    """

    async def scenario():
        executor = await ExecutorEmulator().start()
        async with NodeHarness(executor.row()) as harness:
            harness.pool.duplicate_window = 60_000 if twice else 0  # long enough for a slow machine
            first = BlockingClient(harness.address).send_request("r0")
            await until(lambda: executor.received, "the first attempt")
            await harness.finish(first, "r0")
            executor.respond = lambda line, headers: b""
            second = BlockingClient(harness.address).send_request("r1")
            await until(lambda: len(executor.received) == 2, "the second attempt")
            assert len(executor.writers) == (2 if twice else 1)
            executor.respond = lambda line, headers: ACCEPTED
            executor.writers[0].write(NEVER_RAN)
            if twice:
                await until(lambda: len(harness.endpoint().connections) == 1, "the connection's end")
                executor.writers[1].write(ACCEPTED)
                attempt = harness.host.requests.pending[b"r1"].attempts[0]
                await until(lambda: attempt.is_acknowledged(), "the response to the second attempt")
                assert not attempt.is_ended  # the running attempt is not taken for "never ran"
            else:
                await until(lambda: len(executor.received) == 3, "the next attempt")
            await harness.finish(second)
        close_all(executor)
        return executor.received

    assert asyncio.run(scenario()) == [b"r0", b"r1", b"r1"][: 2 if twice else 3]


@pytest.mark.parametrize(("duplicate", "own"), [(NEVER_RAN, ACCEPTED), (ACCEPTED, NEVER_RAN)])
def test_response_that_takes_longer_than_a_duplicate_reaches_its_own_attempt(duplicate, own):
    """A duplicate response comes early, and the next attempt's own response a long round trip later.

    "Never ran" was believed after a fixed time, so a job that ran was sent again. A duplicate 202 was
    believed at once, so the node waited for a rejected job, and the rejection went to the next message.
    """

    async def scenario():
        executor = await ExecutorEmulator().start()
        async with NodeHarness(executor.row()) as harness:
            harness.pool.duplicate_window = 5_000  # long enough for a slow machine
            first = BlockingClient(harness.address).send_request("r0")
            await until(lambda: executor.received, "the first attempt")
            await harness.finish(first, "r0")
            executor.respond = lambda line, headers: b""
            second = BlockingClient(harness.address).send_request("r1")
            await until(lambda: b"r1" in executor.received, "the second attempt")
            executor.writers[0].write(duplicate)
            await asyncio.sleep(0.6)
            executor.writers[-1].write(own)
            if own == ACCEPTED:
                await asyncio.sleep(0.1)
                await harness.call_back("done")
            answer = await second.response()
            second.leave()
        close_all(executor)
        return executor.received, answer.split()[1]

    # A rejected job comes back too late to be sent once more, and its client may safely repeat it.
    assert asyncio.run(scenario()) == ([b"r0", b"r1"], b"200" if own == ACCEPTED else b"503")


def test_connection_is_closed_after_a_rejection():
    """An executor rejects an attempt, and the duplicate of that response comes long after.

    Taken for the response to a later message it would prove of a running job that it never ran.
    """
    node = SocketlessNode()
    node.send_request()
    connection = node.connections[0]
    node.forward()
    receive(connection, NEVER_RAN)
    node.run()
    assert node.outcomes() == [Outcome.REJECTED]
    assert connection.transport.closing and connection not in node.pool.endpoints["s-1"].idle


@pytest.mark.parametrize(
    ("method", "last_status", "is_used"),
    [
        (b"POST", 202, False),
        (b"POST", 500, False),
        (b"POST", 200, True),
        (b"DELETE", 202, False),
        (b"DELETE", 200, False),
        (b"GET", 202, False),
        (b"GET", 200, False),
    ],
)
def test_message_waits_out_a_duplicate_that_it_could_get(method, last_status, is_used):
    """A message follows a response of which a duplicate may still arrive.

    A duplicate taken for a cancel's response ended the attempt while its job still ran; one taken for a
    probe's or an attempt's response shifted all later responses of the connection.
    """
    node = SocketlessNode()
    node.pool.duplicate_window = 200
    endpoint = node.pool.endpoints["s-1"]
    connection = node.connections[0]
    earlier = b"GET" if last_status == 200 else b"POST"
    connection.send_call(ExecutorCall(endpoint, ExecutorMessage(earlier, b"/"), lambda end: None))
    node.run()
    endpoint.idle.clear()
    receive(connection, b"HTTP/1.1 %d x\r\nContent-Length: 0\r\n\r\n" % last_status)
    assert endpoint.idle == [connection]
    for now, expected in ((NOW + 199, is_used), (NOW + 200, True)):
        node.batch.clock = partial(int, now)
        call = endpoint.call(ExecutorMessage(method, b"/"), lambda end: None)
        assert (call.connection is connection) == expected, now - NOW
        if call.connection:
            break


def test_connection_with_unread_bytes_is_not_used():
    """A duplicate response reaches the kernel while the process is held up, before the next message.

    By the clock the connection has been idle for long enough, but the duplicate is read after the message.
    """
    node = SocketlessNode()
    connection = node.connections[0]
    connection.transport.socket, executor = socket.socketpair()
    executor.send(b"H")
    node.act(Probe("s-1"))
    assert not connection.transport.written
    connection.transport.socket.recv(1)
    node.act(Probe("s-1"))
    assert connection.transport.written
    executor.close()
    connection.transport.socket.close()


def test_duplicate_of_a_probes_response_is_not_taken_for_an_attempts():
    """A probe's response comes a second time, after an attempt was sent on the connection.

    An attempt's response never has that status, so the duplicate is dropped and the connection stays in step.
    """
    node = SocketlessNode()
    node.pool.duplicate_window = 200
    connection = node.connections[0]
    ok = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
    node.batch.clock = partial(int, NOW + 200)
    node.act(Probe("s-1"))
    receive(connection, ok)
    node.send_request()
    node.forward()
    attempt = node.host.requests.pending[b"r1"].attempts[0]
    assert attempt.call.connection is connection
    receive(connection, ok)
    node.run()
    assert not attempt.is_ended and not attempt.is_accepted
    receive(connection, ACCEPTED)
    node.run()
    assert attempt.is_accepted and not connection.transport.closing
