"""Ends of forwards that cross: call-backs, answers, DELETE, lives of an executor."""
import asyncio

from crossing import Client, Executor, Place, until

ENDLESS = b"HTTP/1.1 202 Accepted\r\nContent-Length: 1000\r\n\r\nand so"


def test_an_answer_that_never_ends_does_not_keep_its_line_after_the_forwards_end():
    async def story():
        executor = await Executor().start()
        executor.answers = lambda line, head: ENDLESS
        async with Place(executor.row(), limits={
                "maxForwards": 5, "connIdleMs": 60_000, "connectTimeoutMs": 100}) as place:
            client = Client(place.address).hand_in()
            await until(lambda: executor.seen, "the forward")
            await place.tell("done")
            assert b" 200 " in await client.answer()
            client.leave()
            call = next(iter(place.endpoint().lines)).call
            assert call and not call.over      # its answer is still awaited
            await until(lambda: not place.endpoint().lines, "the line's end")
        executor.server.close()

    asyncio.run(story())
