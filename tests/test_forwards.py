"""Ends of attempts that cross: call-backs, responses, cancels, incarnations of an executor."""

import asyncio

from emulators import BlockingClient, DiscoveryEmulator, ExecutorEmulator, until
from node_harness import SETTINGS, NodeHarness

from grebedyke.model.actions import Cancel

ENDLESS_RESPONSE = b"HTTP/1.1 202 Accepted\r\nContent-Length: 1000\r\n\r\nand so"


def test_an_answer_that_never_ends_does_not_keep_its_connection_after_the_attempts_end():
    """An executor begins its 202 and never completes it.

    Its call-back ends the attempt. The connection would stay open for good, and its share of descriptors with
    it, if the node waited for the rest of the response.
    """

    async def story():
        executor = await ExecutorEmulator().start()
        executor.respond = lambda line, headers: ENDLESS_RESPONSE
        async with NodeHarness(executor.row()) as harness:
            client = BlockingClient(harness.address).send_request()
            await until(lambda: executor.received, "the attempt")
            call = next(iter(harness.endpoint().connections)).call
            harness.set_response_timeout(300)  # of a 202 once the attempt is over
            assert call and not call.ended
            await harness.finish(client)
            await until(lambda: not harness.endpoint().connections, "the connection's end")
        executor.server.close()

    asyncio.run(story())


def test_a_late_call_back_of_a_former_incarnation_does_not_end_the_attempt_to_the_next():
    """An executor left the list and came back, with the same name, while a request of its was open.

    After a sweep the node knew it as another endpoint: "returned" of the first attempt there was taken for
    the second one's, which ran, and a third went out beside it. The node must cancel the second one first.
    """

    async def story():
        executor = await ExecutorEmulator().start()
        discovery = await DiscoveryEmulator().start()
        executor.respond = lambda line, headers: b""
        keyed_operation = {
            **SETTINGS["operations"][0],
            "idempotency": "keyed",
            "group": "all",
            "windowMs": 60_000,
            "latencyObjectiveMs": 7000,
        }
        other = executor.row(name="s-2")
        async with NodeHarness(
            executor.row(), other, discovery=discovery, operations=[keyed_operation]
        ) as harness:
            harness.host.dispatcher.endpoints.by_id["s-2"].ejected_until = (
                2**62
            )  # what is queued waits for it
            client = BlockingClient(harness.address).send_request()
            await until(lambda: executor.received and discovery.polls, "the attempt")
            discovery.answer(2, executor.row(status="Gone"))
            await until(lambda: not harness.endpoint().is_listed, "the list")
            executor.writers[0].close()
            await until(lambda: "s-1" not in harness.pool.endpoints, "the sweep")
            executor.respond = lambda line, headers: b"HTTP/1.1 202 x\r\nContent-Length: 0\r\n\r\n"
            discovery.answer(3, executor.row(since_ms=7))
            await until(lambda: len(executor.received) == 2, "the second attempt")
            attempts = harness.host.requests.pending[b"r1"].attempts
            await until(lambda: attempts[1].is_accepted, "its 202")
            await harness.call_back("returned")
            await until(lambda: len(executor.received) == 3, "the third attempt")
            deleted = executor.deleted[:]
            await harness.finish(client)
        for server in (executor, discovery):
            server.server.close()
        return deleted

    assert asyncio.run(story()) == [b"r1"]


def test_a_cancel_for_which_there_is_no_connection_is_tried_again_before_the_policy_is_told():
    """An attempt is to be cancelled while no connection to its executor can be had.

    The policy was told of the cancel at once, and the next attempt began beside one that nobody had given up.
    """

    async def story():
        executor = await ExecutorEmulator().start()
        async with NodeHarness(executor.row()) as harness:
            client = BlockingClient(harness.address).send_request()
            pool = harness.pool
            await until(
                lambda: executor.received and harness.host.requests.pending[b"r1"].attempts[0].is_accepted,
                "the 202",
            )
            executor.writers[0].close()
            await until(lambda: not pool.connections, "no connection")
            attempt = harness.host.requests.pending[b"r1"].attempts[0]
            tries = []
            ensure_capacity = pool.ensure_capacity
            pool.ensure_capacity = lambda: tries.append(1)
            harness.set_response_timeout(300)
            harness.host.perform(harness.batch.clock(), Cancel(b"r1", 0))
            await until(lambda: len(tries) > 2, "three tries")
            assert not attempt.is_ended and not executor.deleted
            pool.ensure_capacity = ensure_capacity
            await until(lambda: attempt.is_ended, "that it is given up")
            assert executor.deleted == [b"r1"]
            await client.response()
            client.leave()
        executor.server.close()

    asyncio.run(story())
