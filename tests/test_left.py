"""A client that leaves while its invocation waits: it is not sent on any more, wherever it waits."""

import asyncio
import socket
import time

import pytest
from crossing import Client, Executor, Place, until

from grebedyke.model.actions import Forward, Throttle
from grebedyke.model.events import ClientLeft


def gone(place, id=b"r1"):
    """The node knows that this one's client has left."""
    owed = place.desk.owed.get(id)
    return owed is None or owed.client is None


async def one_before(place, executor):
    """So that an idle line is there, which carries at once."""
    await place.serves_another(executor, "r0")
    await until(lambda: not place.door.clients, "its close")


async def waits_for_its_line(place, client):
    """Its forward is decided, and the connection for it is still coming up."""
    await until(lambda: place.gate.up == 1, "the connect")


@pytest.mark.parametrize("reset", (False, True))
@pytest.mark.parametrize("stops", (False, True))
def test_a_client_that_leaves_before_its_connection_is_up_is_not_sent_on(reset, stops):
    # The bench of the operators counts what goes out 0.3 s after the client's close.
    async def story():
        executor = await Executor().start()
        async with Place(executor.row(), gate=[executor.address]) as place:
            client, other = Client(place.address).hand_in(), Client(place.address)
            await waits_for_its_line(place, client)
            if stops:
                other.hand_in("r2")
                await until(lambda: place.gate.up == 2, "the second connect")
                place.node.stop()
            client.leave(reset)
            await until(lambda: gone(place), "that the client has left")
            place.gate.open.set()
            if not stops:
                other.hand_in("r2")
            await until(lambda: executor.seen, "the other's forward")
            await place.tell("done", "r2")
            assert b" 200 " in await other.answer()
            other.leave()
        executor.server.close()
        return executor.seen

    assert asyncio.run(story()) == [b"r2"]


def test_what_stands_half_written_in_a_line_is_taken_back():
    # The executor reads nothing: the kernel has a part of the body, so the last byte never comes.
    async def story():
        executor = await Executor().start(narrow=True)
        executor.reads.clear()
        async with Place(executor.row(), gate=[executor.address]) as place:
            place.gate.narrow = True
            place.gate.open.set()
            client = Client(place.address).hand_in(body=b"x" * 65_536)
            await until(lambda: place.endpoint().lines, "a line")
            line = next(iter(place.endpoint().lines))
            await until(lambda: not line.whole, "a kernel that takes no more")
            client.leave()
            await until(lambda: gone(place), "that the client has left")
            await until(lambda: not place.endpoint().lines, "the line's end")
            executor.reads.set()
        executor.server.close()
        assert not executor.seen

    asyncio.run(story())


def test_what_the_module_gave_up_is_not_sent_by_a_connection_that_comes_up():
    async def story(how):
        executor = await Executor().start()
        async with Place(executor.row(), gate=[executor.address]) as place:
            client = Client(place.address).hand_in()
            await waits_for_its_line(place, client)
            if how == "throttle":
                place.desk.do(place.turn.clock(), Throttle(b"r1", 0))
                place.desk.dispatcher.handle(place.turn.clock(), ClientLeft(b"r1"))
            else:
                place.desk.overslept(place.turn.clock(), place.desk.owed[b"r1"])
            place.turn.hurry()
            answer = await client.answer()
            place.gate.open.set()
            client.leave()
            await place.serves_another(executor)
        executor.server.close()
        return answer[9:12], executor.seen

    assert asyncio.run(story("throttle")) == (b"503", [b"r2"])
    assert asyncio.run(story("overslept")) == (b"500", [b"r2"])


def test_who_writes_on_behind_its_invocation_is_seen_to_leave():
    # Reading paused until the answer: the close stood unread behind what came before it.
    async def story(more, reset):
        executor = await Executor().start()
        async with Place(executor.row(), gate=[executor.address]) as place:
            client = Client(place.address).hand_in()
            await waits_for_its_line(place, client)
            client.socket.settimeout(10)
            await asyncio.to_thread(client.socket.sendall, more)
            client.leave(reset)
            await until(lambda: gone(place), "that the client has left")
            place.gate.open.set()
            await place.serves_another(executor)
        executor.server.close()
        return executor.seen

    another = Client.head("r3", 3) + b"abc"
    for more in (another, another * 400, b"x" * 3_000_000):
        for reset in (False, True):
            assert asyncio.run(story(more, reset)) == [b"r2"], (len(more), reset)


def test_who_writes_on_behind_its_invocation_and_stays_gets_its_answer_and_the_end():
    async def story():
        executor = await Executor().start()
        async with Place(executor.row()) as place:
            client = Client(place.address).hand_in()
            await until(lambda: executor.seen, "the forward")
            await asyncio.to_thread(client.socket.sendall, b"y" * 600_000)
            await place.tell("done", more=',"result":"all of it"')
            answer = await client.answer()
            client.leave()
        executor.server.close()
        return answer, executor.seen

    answer, seen = asyncio.run(story())
    assert b" 200 " in answer and answer.endswith(b"all of it") and b"Connection: close" in answer
    assert seen == [b"r1"]


def test_a_client_that_left_while_the_node_stood_still_is_not_sent_on():
    # Both lie in the kernel when the loop goes on: what is read before the turn's decisions is in time.
    async def story(kept, reset):
        executor = await Executor().start()
        async with Place(executor.row()) as place:
            await one_before(place, executor)
            client = Client(place.address)
            if kept:
                await until(lambda: len(place.door.clients) == 1, "the connection")
            client.hand_in().leave(reset)
            time.sleep(0.35)  # the stall itself
            await until(lambda: place.turn.gauges.counts["left"] or len(executor.seen) > 1, "its end")
            await place.serves_another(executor)
        executor.server.close()
        return executor.seen

    for kept in (True, False):
        for reset in (False, True):
            assert asyncio.run(story(kept, reset)) == [b"r0", b"r2"], (kept, reset)


@pytest.mark.parametrize("opens", (False, True))
def test_a_client_that_leaves_in_a_long_turn_is_not_sent_on(opens):
    async def story():
        executor = await Executor().start()
        async with Place(executor.row()) as place:
            if not opens:
                await one_before(place, executor)
            client, forward, long = Client(place.address), place.desk.carriers[Forward], []

            def forward_long(now, *what):
                forward(now, *what)
                if not long:
                    long.append(what)
                    client.leave()
                    time.sleep(0.35)  # the turn's own length

            place.desk.carriers[Forward] = forward_long
            client.hand_in()
            await until(lambda: long and gone(place), "that the client has left")
            await place.serves_another(executor)
        executor.server.close()
        return executor.seen

    assert asyncio.run(story()) == ([] if opens else [b"r0"]) + [b"r2"]


def test_a_client_that_ends_its_side_and_reads_nothing_has_left():
    # An answer to an earlier message of its was still to be written: the connection's end waited for that.
    async def story():
        executor = await Executor().start()
        async with Place(executor.row(), gate=[executor.address]) as place:
            client = Client(place.address)
            client.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            client.socket.sendall(b"GET /up HTTP/1.1\r\n\r\n")
            await until(lambda: place.door.clients, "the connection")
            inside = next(iter(place.door.clients))
            inside.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            inside.transport.write(b"x" * 900_000)  # what it does not read
            client.hand_in()
            await waits_for_its_line(place, client)
            client.socket.shutdown(socket.SHUT_WR)
            replied, place.desk.reply = [], lambda now, owed, *what: replied.append(owed.id)
            await until(lambda: gone(place) or replied, "that the client has left")
            assert not replied and inside.transport.get_write_buffer_size()
            del place.desk.reply
            place.gate.open.set()
            await place.serves_another(executor)
            client.leave(reset=True)
        executor.server.close()
        return executor.seen

    assert asyncio.run(story()) == [b"r2"]
