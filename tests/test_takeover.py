"""Two processes of one node, one of which goes at the wrong moment."""

import asyncio

from emulators import BlockingClient, ExecutorEmulator, until
from node_harness import NodeHarness


def test_an_heir_that_dies_at_once_leaves_the_old_process_with_its_call_backs(tmp_path):
    # The old one had closed its listener for the heir's sake: no call-back reached it, and what it owed was
    # answered as errored at the end of its time.
    async def story():
        executor = await ExecutorEmulator().start()
        old = NodeHarness(executor.row(), folder=str(tmp_path))
        async with old:
            client = BlockingClient(old.address).send_request()
            await until(lambda: executor.received, "the forward")
            heir = NodeHarness(executor.row(), folder=str(tmp_path), listen="%s:%d" % old.address)
            await heir.__aenter__()
            await until(lambda: old.node.handover.ready, "the heir")
            old.node.stop()
            await until(lambda: not old.door.server, "the queue given over")
            heir.node.handover.old.close()  # as at its death: the line, the listener and what it has
            heir.door.close()
            heir.serving.cancel()
            heir.node.handover.close()
            heir.node.watch.close()
            await until(lambda: old.door.server, "a listener again")
            await old.call_back("done")
            answer = await client.response()
            client.leave()
            await asyncio.wait_for(old.serving, 20)
        executor.server.close()
        return answer

    assert b" 200 " in asyncio.run(story())


def test_a_client_that_left_in_the_handover_is_no_client_of_the_heir(tmp_path):
    async def story():
        executor = await ExecutorEmulator().start()
        old = NodeHarness(executor.row(), folder=str(tmp_path))
        async with old:
            client = BlockingClient(old.address).send_request()
            await until(lambda: executor.received, "the forward")
            await old.call_back("done")
            assert b" 200 " in await client.response()
            async with NodeHarness(
                executor.row(), folder=str(tmp_path), listen="%s:%d" % old.address, gated=[executor.address]
            ) as heir:
                await until(lambda: old.node.handover.ready, "the heir")
                adopt, adopted = heir.door.adopt, []

                async def adopting(**what):
                    client.send_request("r2").leave()  # with the kernel before the heir has the connection
                    adopted.append(await adopt(**what))

                take, taken = heir.door.on_request, []
                heir.door.on_request = lambda *what: (taken.append(what[1].request_id), take(*what))
                heir.door.adopt = adopting
                old.node.stop()
                await until(lambda: adopted, "the connection handed over")
                await until(lambda: taken and not heir.door.connections.accepted, "its close")
                heir.gate.opened.set()
            await asyncio.wait_for(old.serving, 20)
        executor.server.close()
        return executor.received

    assert asyncio.run(story()) == [b"r1"]
