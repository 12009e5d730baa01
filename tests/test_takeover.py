"""Hot restarts during which a process dies or a client leaves."""

import asyncio

from emulators import WAIT_TIMEOUT, BlockingClient, ExecutorEmulator, until
from node_harness import NodeHarness


async def until_successor_serves(old):
    """Waits until a process has received that its successor is serving."""
    await until(lambda: old.node.parts.hot_restart.successor_is_ready, "the successor")


def record_requests(listener):
    """Returns a list that records the identifiers of all further requests of a client listener."""
    accept = listener.on_request
    accepted = []

    def accept_and_record(connection, incoming):
        accepted.append(incoming.request_id)
        accept(connection, incoming)

    listener.on_request = accept_and_record
    return accepted


def simulate_death(harness):
    """Simulates the death of a process: closes its channel, listener and connections."""
    parts = harness.node.parts
    parts.hot_restart.predecessor.close()
    harness.listener.close()
    harness.serving.cancel()
    parts.hot_restart.close()
    parts.discovery.close()


def test_predecessor_listens_again_after_its_successor_has_died(tmp_path):
    """The successor dies after the old process has handed its listening socket over.

    The old process had closed its listener, so no call-back reached it, and its open requests failed with a
    timeout.
    """

    async def scenario():
        executor = await ExecutorEmulator().start()
        old = NodeHarness(executor.row(), folder=str(tmp_path))
        async with old:
            client = BlockingClient(old.address).send_request()
            await until(lambda: executor.received, "the attempt")
            successor = NodeHarness(executor.row(), folder=str(tmp_path), listen="%s:%d" % old.address)
            await successor.__aenter__()
            await until_successor_serves(old)
            old.node.stop()
            await until(lambda: not old.listener.acceptor.server, "the listening socket handed over")
            simulate_death(successor)
            await until(lambda: old.listener.acceptor.server, "the reopened listener")
            await old.call_back("done")
            response = await client.response()
            client.leave()
            await asyncio.wait_for(old.serving, WAIT_TIMEOUT)
        executor.server.close()
        return response

    assert b" 200 " in asyncio.run(scenario())


def test_successor_sends_no_request_of_a_client_that_left_during_the_transfer(tmp_path):
    """A client sends a request and closes while its connection is handed over to the successor.

    The successor reads both at once and must not send the request to an executor.
    """

    async def scenario():
        executor = await ExecutorEmulator().start()
        old = NodeHarness(executor.row(), folder=str(tmp_path))
        async with old:
            client = BlockingClient(old.address).send_request()
            await until(lambda: executor.received, "the attempt")
            await old.call_back("done")
            assert b" 200 " in await client.response()
            async with NodeHarness(
                executor.row(), folder=str(tmp_path), listen="%s:%d" % old.address, gated=[executor.address]
            ) as successor:
                await until_successor_serves(old)
                adopt = successor.listener.adopt
                adopted = []

                async def adopt_after_the_close(**connection):
                    client.send_request("r2").leave()  # in the kernel before the successor has the connection
                    adopted.append(await adopt(**connection))

                accepted = record_requests(successor.listener)
                successor.listener.adopt = adopt_after_the_close
                old.node.stop()
                await until(lambda: adopted, "the connection handed over")
                await until(
                    lambda: accepted and not successor.listener.connections.accepted, "the client's close"
                )
                successor.gate.opened.set()
            await asyncio.wait_for(old.serving, WAIT_TIMEOUT)
        executor.server.close()
        return executor.received

    assert asyncio.run(scenario()) == [b"r1"]
