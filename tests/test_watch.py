"""The watch on the list: silent, reset, moved, at the start; what counts as told and what the node does."""

import asyncio
from types import SimpleNamespace

import orjson
import pytest
from crossing import TERMS, Agent, Client, Executor, Place, until

from grebedyke.service import configuration, node
from grebedyke.service.assembly import parts_of
from grebedyke.wire.discovery_client import LATE_ANSWER_TIME, DiscoveryClient


@pytest.mark.parametrize("where", ("connect", "asked", "head", "body", "answered", "twice"))
def test_a_watch_that_falls_silent_is_opened_anew(where):
    # "twice": the new one falls silent as well; what it has counts as told 6 s after the first silence.
    async def story():
        executor, other, agent = await Executor().start(), await Executor("s-2").start(), Agent()
        silent, broken = [], 2 if where == "twice" else 1

        async def at_once(target, writer):
            first = len(silent) < broken and (writer not in silent)
            if agent.connected > broken:
                agent.say(9, other.row(), executor.row(status="Terminating"), writer=writer)
                agent.at_once = None
            elif where in ("asked", "twice") or where == "answered" and not first:
                silent.append(writer)
            elif where == "answered":
                silent.append(writer)
                agent.say(1, writer=writer)
            else:
                body = orjson.dumps({"index": 2, "endpoints": [other.row()]})
                whole = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
                writer.write(whole[:11] if where == "head" else whole[:-9])
                silent.append(writer)

        agent.at_once = at_once
        await agent.start()
        if where == "connect":
            agent.connected, agent.at_once = 1, at_once
            asked = asyncio.get_running_loop().create_connection
            held = []

            async def connect(make, host, port, **more):
                if port == int(agent.address.rpartition(":")[2]) and not held:
                    held.append(port)
                    await asyncio.Event().wait()  # a machine that vanished: it never comes up
                return await asked(make, host, port, **more)

            asyncio.get_running_loop().create_connection = connect
        place = Place(executor.row(), agent=agent)
        place.watch_wait = 1_000
        async with place:
            await until(lambda: place.node.watch.version == 9 and not place.turn.inbox, "the list")
            client = Client(place.address).hand_in()
            await until(lambda: other.seen or executor.seen, "the forward")
            await place.ended(client, name="s-2")
        for server in (executor, other, agent):
            server.server.close()
        return executor.seen, other.seen, len(silent) or len(held)

    assert asyncio.run(story()) == ([], [b"r1"], 2 if where in ("twice", "answered") else 1)


def graces(drain, mode):
    rules = {**TERMS["rules"], "drainGraceMs": drain}
    return parts_of(configuration.terms({**TERMS, "rules": rules, "registryMode": mode}))[3]


@pytest.mark.parametrize("drain", (0, 50, 300, 700, 2000, 30_000, 10**7))
def test_two_silent_calls_end_before_what_they_miss_counts_as_told(drain):
    # Told 6 s after the first silence, or 2 s after its wait is over; at discovery's return at once.
    wait, grace, again, most = graces(drain, "push")
    second = 10_000
    assert wait == 20_000
    # A third call may be silent, too, and the one after it be answered a second late.
    assert wait + 3 * (grace + most) + second < 6 * second
    assert grace + most <= max(drain * 10, 2_000) and again > 0
    # A discovery that all nodes ask answers in its turn, within 2 s: that is waited for (a call that was
    # given up is heard for a second more), after one silence, or after two with an answer at once.
    wait, grace, again, most = graces(drain, "ask")
    assert wait == 20_000
    assert grace + LATE_ANSWER_TIME >= 2 * second and again < most
    assert wait + grace + again + 2 * second < 6 * second
    assert wait + 2 * grace + again + 2 * again < 6 * second and grace + most + 2 * second < 6 * second


def test_a_shared_discovery_that_turns_calls_away_is_asked_less_and_less_often():
    # 32 nodes that asked each fifth of a second, and gave up what stood in its queue, were never told.
    turn, asked = SimpleNamespace(put=lambda *x: None, after=lambda wait, call: asked.append(wait)), []
    for mode, pauses in (("ask", [2_500, 5_000, 7_500, 7_500]), ("push", [2_500] * 4)):
        settings, asked[:] = graces(2_000, mode), []
        watch = DiscoveryClient(None, turn, ("h", 1), 1, settings, on_list=None, on_failure=None)
        for _ in range(4):
            watch.poll_failed()
        assert asked == pauses


def test_nothing_is_sent_before_the_agent_has_said_what_it_has(monkeypatch):
    # It counts as told from the first moment of a process, and the file's list may be old: a forward went
    # to an executor that had long begun to drain.
    monkeypatch.setattr(node, "FIRST", 20, raising=False)

    async def story():
        executor, other = await Executor().start(), await Executor("s-2").start()
        agent = await Agent().start()
        place = Place(executor.row(), agent=agent, wait=False)
        async with place:
            await until(lambda: agent.asked, "the first call")
            client = asyncio.create_task(asyncio.to_thread(connected, place.address))
            assert place.node.phase == node.Phase.STARTING
            agent.say(2, executor.row(status="Terminating"), other.row())
            client = (await client).hand_in()
            await until(lambda: other.seen or executor.seen, "the forward")
            await place.ended(client, name="s-2")
        for server in (executor, other, agent):
            server.server.close()
        return executor.seen, other.seen, agent.asked[0]

    assert asyncio.run(story()) == ([], [b"r1"], "/discovery/hosts?after=1&wait_ms=0")


def connected(address):
    """As soon as somebody listens there."""
    while True:
        try:
            return Client(address)
        except ConnectionRefusedError:
            pass


def test_an_agent_that_says_nothing_does_not_keep_a_node_from_serving():
    async def story():
        executor, agent = await Executor().start(), await Agent().start()
        async with Place(executor.row(), agent=agent) as place:
            assert agent.asked and place.node.phase == node.Phase.SERVING
            client = Client(place.address).hand_in()
            await until(lambda: executor.seen, "the forward")
            await place.ended(client)
        for server in (executor, agent):
            server.server.close()

    asyncio.run(story())
