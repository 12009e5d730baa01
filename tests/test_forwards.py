"""Ends of forwards that cross: call-backs, answers, DELETE, lives of an executor."""

import asyncio

from crossing import TERMS, Agent, Client, Executor, Place, until

from grebedyke.model.actions import Cancel

ENDLESS = b"HTTP/1.1 202 Accepted\r\nContent-Length: 1000\r\n\r\nand so"


def test_an_answer_that_never_ends_does_not_keep_its_line_after_the_forwards_end():
    async def story():
        executor = await Executor().start()
        executor.answers = lambda line, head: ENDLESS
        async with Place(executor.row()) as place:
            client = Client(place.address).hand_in()
            await until(lambda: executor.seen, "the forward")
            call = next(iter(place.endpoint().lines)).call
            place.desk.probe_wait = 300  # a 202 is no longer waited for once the forward is over
            assert call and not call.over
            await place.ended(client)
            await until(lambda: not place.endpoint().lines, "the line's end")
        executor.server.close()

    asyncio.run(story())


def test_a_late_word_of_a_former_life_does_not_end_the_forward_to_the_next():
    # Back on the list after a sweep the executor was another one to the books: "returned" of the forward
    # before was believed of this one, which ran, and a third went out beside it.
    async def story():
        executor, agent = await Executor().start(), await Agent().start()
        executor.answers = lambda line, head: b""
        keyed = {
            **TERMS["operations"][0],
            "idempotency": "keyed",
            "group": "all",
            "windowMs": 60_000,
            "latencyObjectiveMs": 7000,
        }
        other = executor.row(name="s-2")
        async with Place(executor.row(), other, agent=agent, operations=[keyed]) as place:
            place.desk.dispatcher.endpoints.by_id["s-2"].ejected_until = 2**62  # what is held waits for it
            client = Client(place.address).hand_in()
            await until(lambda: executor.seen and agent.asked, "the forward")
            agent.say(2, executor.row(status="Gone"))
            await until(lambda: not place.endpoint().listed, "the list")
            executor.lines[0].close()
            await until(lambda: "s-1" not in place.pool.endpoints, "the sweep")
            executor.answers = lambda line, head: b"HTTP/1.1 202 x\r\nContent-Length: 0\r\n\r\n"
            agent.say(3, executor.row(since_ms=7))
            await until(lambda: len(executor.seen) == 2, "the second forward")
            flights = place.desk.owed[b"r1"].flights
            await until(lambda: flights[1].accepted, "its 202")
            await place.tell("returned")
            await until(lambda: len(executor.seen) == 3, "the third forward")
            deleted = executor.deleted[:]
            await place.ended(client)
        for server in (executor, agent):
            server.server.close()
        return deleted

    assert asyncio.run(story()) == [b"r1"]


def test_a_delete_for_which_there_is_no_line_is_tried_again_before_the_module_hears():
    # It heard of the cancel at once: the next forward was there beside one that nobody had given up.
    async def story():
        executor = await Executor().start()
        async with Place(executor.row()) as place:
            client, pool = Client(place.address).hand_in(), place.pool
            await until(lambda: executor.seen and place.desk.owed[b"r1"].flights[0].accepted, "the 202")
            executor.lines[0].close()
            await until(lambda: not pool.lines, "no line")
            flight, asked, room = place.desk.owed[b"r1"].flights[0], [], pool.room
            pool.room = lambda: asked.append(1)
            place.desk.probe_wait = 300
            place.desk.do(place.turn.clock(), Cancel(b"r1", 0))
            await until(lambda: len(asked) > 2, "three tries")
            assert not flight.done and not executor.deleted
            pool.room = room
            await until(lambda: flight.done, "that it is given up")
            assert executor.deleted == [b"r1"]
            await client.answer()
            client.leave()
        executor.server.close()

    asyncio.run(story())
