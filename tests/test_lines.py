"""Connections to executors: what comes between a connect and its use, an answer and the next message."""

import asyncio

import pytest
from crossing import Agent, Client, Executor, Place, until

from grebedyke.wire.endpoint_rows import EndpointRow
from grebedyke.wire.executor_connection import CallResult

UNRUN = b"HTTP/1.1 503 x\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"
ACCEPTED = b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"


@pytest.mark.parametrize("says", ("draining", "gone", "moved", "restarted"))
def test_what_the_list_says_while_a_connection_comes_up_is_looked_at_again(says):
    # A connect may take longer than the drain grace; what a former life gets, nobody answers.
    async def story():
        old, new, agent = await Executor().start(), await Executor("s-2").start(), await Agent().start()
        async with Place(old.row(), agent=agent, gate=[old.address]) as place:
            client = Client(place.address).hand_in()
            await until(lambda: place.gate.up == 1 and agent.asked, "connect and watch")
            then = {
                "draining": [old.row(status="Terminating"), new.row()],
                "gone": [old.row(status="Gone"), new.row()],
                "moved": [{**new.row(), "name": "s-1"}],
                "restarted": [{**new.row(since_ms=5), "name": "s-1"}],
            }[says]
            if says == "restarted":  # the same address, as another process
                then = [old.row(since_ms=5)]
            version = place.node.watch.version
            agent.say(2, *then)
            await until(lambda: place.node.watch.version != version and not place.turn.inbox, "the list")
            place.gate.open.set()
            whom = old if says == "restarted" else new
            await until(lambda: whom.seen, "the forward")
            await place.ended(client, name="s-2" if says in ("draining", "gone") else "s-1")
        for server in (old, new, agent):
            server.server.close()
        return old.seen, new.seen, len(old.lines)

    # The line to a former life is closed, also where the next one has the same address.
    assert asyncio.run(story()) == (([b"r1"], [], 2) if says == "restarted" else ([], [b"r1"], 1))


def test_a_connection_that_was_lost_before_it_carried_is_told_at_once():
    async def story():
        executor, other = await Executor().start(), await Executor("s-2").start()
        async with Place(executor.row(), gate=[executor.address]) as place:
            client = Client(place.address).hand_in()
            await until(lambda: place.gate.up == 1 and executor.lines, "the connect")
            executor.lines[0].close()
            await until(lambda: not place.endpoint().connections, "that it is lost")
            place.desk.listed(
                place.turn.clock(),
                False,
                [
                    EndpointRow(
                        "s-2",
                        ("127.0.0.1", int(other.address.rpartition(":")[2])),
                        "a",
                        "m",
                        0,
                        "healthy",
                        0,
                        1,
                    )
                ],
            )
            place.gate.open.set()
            await until(lambda: other.seen or executor.seen, "the next forward")
            name = "s-2" if other.seen else "s-1"
            await place.ended(client, name=name)
        for server in (executor, other):
            server.server.close()
        return executor.seen + other.seen

    assert asyncio.run(story()) == [b"r1"]


def test_a_host_that_cannot_be_looked_up_ends_the_call_at_once():
    # The resolver's refusal of such a name is no OSError: the call had no end before a time limit.
    async def story():
        other, agent = await Executor("s-2").start(), await Agent().start()
        async with Place(other.row(name="s-1", address="a..b:80"), agent=agent) as place:
            client = Client(place.address).hand_in()
            await until(lambda: place.turn.gauges.counts["unconnected"] and agent.asked, "the failed connect")
            agent.say(2, other.row())
            await until(lambda: other.seen, "the next forward")
            await place.ended(client, name="s-2")
        for server in (other, agent):
            server.server.close()
        return other.seen

    assert asyncio.run(story()) == [b"r1"]


def test_the_calls_of_one_turn_share_the_room_for_lines():
    # None of them had begun to connect when the next asked for room, and a line that was closed to make
    # room stayed on the books: a burst took more descriptors than its share, up to the limit on all.
    async def story(idle):
        executor, other = await Executor().start(), await Executor("s-2").start()
        async with Place(executor.row(), gate=[executor.address]) as place:
            pool, most = place.pool, []
            pool.max_connections = 6
            if idle:
                for i in range(6):
                    pool.endpoint("s-2").is_listed = True
                    pool.endpoint("s-2").move(("127.0.0.1", int(other.address.rpartition(":")[2])), 0)
                    pool.endpoint("s-2").call(b"GET", b"/alive", (), b"", lambda *_: None)
                await until(lambda: len(pool.endpoint("s-2").idle) == 6, "six idle lines")
            ends = []
            for i in range(20):
                pool.endpoint("s-1").call(b"GET", b"/alive", (), b"", lambda end: ends.append(end.result))
                most.append(len(pool.connections) + pool.connecting)
            await until(lambda: len(ends) == 14, "what found no room")
            await until(lambda: place.gate.up == 6, "the connects")
            most.append(
                len(pool.connections) + pool.connecting - place.gate.up
            )  # held: a line, and still opening
            place.gate.open.set()
            await until(lambda: len(ends) == 20, "all ends")
            most.append(len(pool.connections))
        for server in (executor, other):
            server.server.close()
        return max(most), ends.count(CallResult.ANSWERED)

    assert asyncio.run(story(False)) == (6, 6)
    assert asyncio.run(story(True)) == (6, 6)


def test_a_line_to_a_former_life_does_not_rest_among_those_of_the_next():
    async def story():
        old, new, agent = await Executor().start(), await Executor().start(), await Agent().start()
        old.answers = lambda line, head: b""
        async with Place(old.row(), agent=agent) as place:
            first = Client(place.address).hand_in("r0")
            await until(lambda: old.seen and agent.asked, "forward and watch")
            agent.say(2, new.row())
            await until(lambda: place.node.watch.version == 2 and not place.turn.inbox, "the list")
            old.lines[0].write(ACCEPTED)
            await until(lambda: not place.endpoint().connections or place.endpoint().idle, "the answer")
            await place.ended(first, "r0")
            place.pool.duplicate_window = 0
            second = Client(place.address).hand_in("r1")
            await until(lambda: len(old.seen + new.seen) == 2, "the second forward")
            if new.seen:
                await place.ended(second)
        for server in (old, new, agent):
            server.server.close()
        return old.seen, new.seen

    assert asyncio.run(story()) == ([b"r0"], [b"r1"])


def test_an_answer_before_the_whole_body_is_written_ends_the_line():
    # "Never ran" was believed while the rest of the body still flowed there: the job ran twice.
    async def story():
        hasty, other, agent = await Executor().start(narrow=True), await Executor("s-2").start(), Agent()
        await agent.start()
        hasty.reads.clear()
        async with Place(hasty.row(), agent=agent, gate=[hasty.address]) as place:
            place.gate.narrow = True
            place.gate.open.set()
            client = Client(place.address).hand_in(body=b"x" * 65_536)
            await until(
                lambda: [line for line in place.endpoint().connections if not line.fully_written],
                "a full kernel",
            )
            agent.say(2, hasty.row(status="Terminating"), other.row())
            await until(lambda: place.node.watch.version == 2, "the list")
            hasty.lines[0].write(UNRUN)
            await until(lambda: other.seen, "the next forward")
            hasty.reads.set()
            await place.ended(client, name="s-2")
            await until(lambda: not place.endpoint().connections, "the line's end")
        for server in (hasty, other, agent):
            server.server.close()
        return hasty.seen, other.seen

    assert asyncio.run(story()) == ([], [b"r1"])


@pytest.mark.parametrize("twice", (True, False))
def test_an_answer_told_twice_is_not_taken_for_the_next_forwards(twice):
    # A late "never ran" of the one before: what the executor was about to run went again. One that is the
    # forward's own is believed all the same, a little later.
    async def story():
        executor = await Executor().start()
        async with Place(executor.row()) as place:
            place.pool.duplicate_window = 60_000 if twice else 2_000  # this machine may be slow
            first = Client(place.address).hand_in("r0")
            await until(lambda: executor.seen, "the first forward")
            await place.ended(first, "r0")
            executor.answers = lambda line, head: b""
            second = Client(place.address).hand_in("r1")
            await until(lambda: len(executor.seen) == 2, "the second forward")
            line = next(iter(place.endpoint().connections))
            assert len(executor.lines) == 1 and line.expects_duplicate
            flight = place.desk.owed[b"r1"].flights[0]
            executor.lines[0].write(UNRUN)
            await until(lambda: line.suspect_response or flight.done or len(executor.seen) > 2, "the answer")
            if twice:
                executor.lines[0].write(ACCEPTED)
                await until(lambda: flight.accepted or flight.done, "its own answer")
                assert not flight.done  # what runs there is not taken for never run
            else:
                executor.answers = lambda line, head: ACCEPTED
                await until(lambda: len(executor.seen) == 3, "the next forward")
            await place.ended(second)
        executor.server.close()
        return executor.seen

    assert asyncio.run(story()) == [b"r0", b"r1", b"r1"][: 2 if twice else 3]
