"""A client leaves while its request waits: the request must not be sent to an executor afterwards."""

import asyncio
import socket
import time

import pytest
from emulators import SMALL_BUFFER, BlockingClient, ExecutorEmulator, until
from node_harness import NodeHarness

from grebedyke.model.actions import Forward, Throttle
from grebedyke.model.events import ClientLeft
from grebedyke.model.refusal import RefusalReason
from grebedyke.wire.connection_end import ConnectionEnd


def has_left(harness, request_id=b"r1"):
    """Returns whether the node has noticed that the request's client left."""
    open_request = harness.host.requests.pending.get(request_id)
    return open_request is None or open_request.client is None


async def open_idle_connection(harness, executor):
    """Serves one request, which leaves an idle connection for the next request."""
    await harness.assert_serves_another_request(executor, "r0")
    await until(lambda: not harness.listener.connections.accepted, "the close of the client connection")


async def until_connecting(harness):
    """Waits until the connect for the attempt is in progress."""
    await until(lambda: harness.gate.waiting == 1, "the connect")


@pytest.mark.parametrize("count", (1, 3))
@pytest.mark.parametrize("reset", (False, True))
def test_requests_followed_at_once_by_the_close_of_a_kept_connection_are_not_sent(count, reset):
    """A client that has had an answer sends further requests and closes at once.

    The first of them was sent to an executor: a batch ran between the read of the request and that of the
    close.
    """

    async def scenario():
        executor = await ExecutorEmulator().start()
        async with NodeHarness(executor.row()) as harness:
            harness.pool.duplicate_window = 0  # the connection to the executor is free at once
            client = BlockingClient(harness.address).send_request("r0")
            await until(lambda: executor.received, "the first attempt")
            await harness.call_back("done", "r0")
            assert b" 200 " in await client.response()
            client.socket.setblocking(True)
            for number in range(count):
                client.send_request(f"r{number + 1}")
            client.leave(reset)
            await until(lambda: not harness.listener.connections.accepted, "the close")
            await harness.assert_serves_another_request(executor, "z1")
        executor.server.close()
        return executor.received

    assert asyncio.run(scenario()) == [b"r0", b"z1"]


@pytest.mark.parametrize("reset", (False, True))
@pytest.mark.parametrize("stops", (False, True))
def test_request_is_not_sent_if_client_leaves_during_connect(reset, stops):
    """A client leaves during the connect for its request.

    Operators check that no request reaches an executor more than 0.3 s after the client's close.
    """

    async def scenario():
        executor = await ExecutorEmulator().start()
        async with NodeHarness(executor.row(), gated=[executor.address]) as harness:
            client = BlockingClient(harness.address).send_request()
            other = BlockingClient(harness.address)
            await until_connecting(harness)
            if stops:
                other.send_request("r2")
                await until(lambda: harness.gate.waiting == 2, "the second connect")
                harness.node.stop()
            client.leave(reset)
            await until(lambda: has_left(harness), "the notice that the client left")
            harness.gate.opened.set()
            if not stops:
                other.send_request("r2")
            await until(lambda: executor.received, "the attempt of the other client")
            await harness.call_back("done", "r2")
            assert b" 200 " in await other.response()
            other.leave()
        executor.server.close()
        return executor.received

    assert asyncio.run(scenario()) == [b"r2"]


def test_partly_written_request_is_aborted_if_client_leaves():
    """A client leaves while the kernel has accepted only part of its request's body.

    The executor reads nothing until then, and must never receive the last byte.
    """

    async def scenario():
        executor = await ExecutorEmulator().start(small_buffers=True)
        executor.may_read.clear()
        async with NodeHarness(executor.row(), gated=[executor.address]) as harness:
            harness.gate.small_buffers = True
            harness.gate.opened.set()
            client = BlockingClient(harness.address).send_request(body=b"x" * 65_536)
            await until(lambda: harness.endpoint().connections, "a connection")
            connection = next(iter(harness.endpoint().connections))
            await until(lambda: not connection.fully_written, "a full kernel buffer")
            client.leave()
            await until(lambda: has_left(harness), "the notice that the client left")
            await until(lambda: not harness.endpoint().connections, "the connection's end")
            executor.may_read.set()
        executor.server.close()
        assert not executor.received

    asyncio.run(scenario())


@pytest.mark.parametrize("how, status", (("throttle", b"503"), ("overslept", b"500")))
def test_answered_request_is_not_sent_after_connect(how, status):
    """A request gets its final answer during the connect for its attempt.

    The request must not be sent after the connect, because no client waits for the result.
    """

    async def scenario():
        executor = await ExecutorEmulator().start()
        async with NodeHarness(executor.row(), gated=[executor.address]) as harness:
            client = BlockingClient(harness.address).send_request()
            await until_connecting(harness)
            if how == "throttle":
                harness.host.perform(harness.batch.clock(), Throttle(b"r1", 0, RefusalReason.TOO_LATE))
                harness.host.dispatcher.handle(harness.batch.clock(), ClientLeft(b"r1"))
            else:
                harness.host.requests.fail_unanswered(
                    harness.batch.clock(), harness.host.requests.pending[b"r1"]
                )
            harness.batch.schedule()
            response = await client.response()
            harness.gate.opened.set()
            client.leave()
            await harness.assert_serves_another_request(executor)
        executor.server.close()
        return response[9:12], executor.received

    assert asyncio.run(scenario()) == (status, [b"r2"])


def test_close_after_pipelined_data_is_noticed():
    """A client sends more data after its open request than the node buffers, and leaves.

    If reading paused until the response, the close behind this data would go unnoticed and the request would
    be sent to an executor.
    """

    async def scenario(more, reset):
        executor = await ExecutorEmulator().start()
        async with NodeHarness(executor.row(), gated=[executor.address]) as harness:
            client = BlockingClient(harness.address).send_request()
            await until_connecting(harness)
            client.socket.settimeout(10)
            await asyncio.to_thread(client.socket.sendall, more)
            client.leave(reset)
            await until(lambda: has_left(harness), "the notice that the client left")
            harness.gate.opened.set()
            await harness.assert_serves_another_request(executor)
        executor.server.close()
        return executor.received

    another = BlockingClient.request_head("r3", 3) + b"abc"
    for more in (another, another * 400, b"x" * 3_000_000):
        for reset in (False, True):
            assert asyncio.run(scenario(more, reset)) == [b"r2"], (len(more), reset)


def test_client_with_excess_pipelined_data_gets_response_and_close():
    """A client sends more data after its open request than the node buffers, and waits.

    The data is discarded, so the connection must be closed; the response must still be complete.
    """

    async def scenario():
        executor = await ExecutorEmulator().start()
        async with NodeHarness(executor.row()) as harness:
            client = BlockingClient(harness.address).send_request()
            await until(lambda: executor.received, "the attempt")
            await asyncio.to_thread(client.socket.sendall, b"y" * 600_000)
            await harness.call_back("done", more=',"result":"all of it"')
            response = await client.response()
            client.leave()
        executor.server.close()
        return response, executor.received

    response, received = asyncio.run(scenario())
    assert b" 200 " in response and response.endswith(b"all of it") and b"Connection: close" in response
    assert received == [b"r1"]


@pytest.mark.parametrize("kept", (True, False))
@pytest.mark.parametrize("reset", (False, True))
def test_request_is_not_sent_if_client_left_during_stall(kept, reset):
    """A client sends a request and leaves while the node's event loop is stalled.

    Request and close are both in the kernel after the stall; the close must be read before the batch decides.
    """

    async def scenario():
        executor = await ExecutorEmulator().start()
        async with NodeHarness(executor.row()) as harness:
            await open_idle_connection(harness, executor)
            client = BlockingClient(harness.address)
            if kept:
                await until(lambda: len(harness.listener.connections.accepted) == 1, "the connection")
            client.send_request().leave(reset)
            time.sleep(0.35)  # the stall
            counts = harness.batch.metrics.counts
            end = "left" if kept else ConnectionEnd.UNREAD
            await until(lambda: counts[end] or len(executor.received) > 1, "the end of the request")
            await harness.assert_serves_another_request(executor)
        executor.server.close()
        return executor.received

    assert asyncio.run(scenario()) == [b"r0", b"r2"]


@pytest.mark.parametrize("connects", (False, True))
def test_request_is_not_sent_if_client_leaves_during_long_batch(connects):
    """A client leaves during a long batch that decides on its request.

    Its close is in the kernel before the batch writes the attempt, so the attempt must not be sent.
    """

    async def scenario():
        executor = await ExecutorEmulator().start()
        async with NodeHarness(executor.row()) as harness:
            if not connects:
                await open_idle_connection(harness, executor)
            client = BlockingClient(harness.address)
            forward = harness.host.performers[Forward]
            slowed = []

            def forward_slowly(now, *what):
                forward(now, *what)
                if not slowed:
                    slowed.append(what)
                    client.leave()
                    time.sleep(0.35)  # the duration of the batch

            harness.host.performers[Forward] = forward_slowly
            client.send_request()
            await until(lambda: slowed and has_left(harness), "the notice that the client left")
            await harness.assert_serves_another_request(executor)
        executor.server.close()
        return executor.received

    assert asyncio.run(scenario()) == ([] if connects else [b"r0"]) + [b"r2"]


def test_half_close_by_non_reading_client_counts_as_leaving():
    """A client with an open request closes its sending side, and does not read what was written to it.

    The connection is closed only after that is written. If the EOF were ignored until then, the request would
    be sent to an executor.
    """

    async def scenario():
        executor = await ExecutorEmulator().start()
        async with NodeHarness(executor.row(), gated=[executor.address]) as harness:
            client = BlockingClient(harness.address)
            client.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
            client.socket.sendall(b"GET /up HTTP/1.1\r\n\r\n")
            await until(lambda: harness.listener.connections.accepted, "the connection")
            transport = next(iter(harness.listener.connections.accepted)).transport
            node_socket = transport.get_extra_info("socket")
            node_socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER)
            client.send_request()
            await until_connecting(harness)
            transport.write(b"x" * 900_000)  # not read by the client
            client.socket.shutdown(socket.SHUT_WR)
            replied = []
            harness.host.requests.respond = lambda now, open_request, *what: replied.append(open_request.id)
            await until(lambda: has_left(harness) or replied, "the notice that the client left")
            assert not replied and transport.get_write_buffer_size()
            del harness.host.requests.respond
            harness.gate.opened.set()
            await harness.assert_serves_another_request(executor)
            client.leave(reset=True)
        executor.server.close()
        return executor.received

    assert asyncio.run(scenario()) == [b"r2"]
