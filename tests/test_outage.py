"""Discovery fails, each way it can: how long after its return the node has been told, by settings."""

import asyncio
import resource
import struct
import time
from contextlib import suppress
from math import inf
from socket import SO_LINGER, SOL_SOCKET
from types import SimpleNamespace

import pytest
from crossing import ROW, TERMS, Agent, Client, Executor, Place, free_port, until
from helpers import HAND_IN, dispatcher, floor, news, say
from test_signals import program, told

from grebedyke.model.endpoint_list import EndpointRow
from grebedyke.service import node
from grebedyke.wire.discovery import entries

TOLD = 6.0
DRAINING = {**ROW, "name": "s-1", "address": "127.0.0.1:9", "status": "Terminating"}
# What an agent does that is down; `waits`: it says what it has, and falls silent while the next call waits.
# "twice": so does the call after that; "slow": its answers take longer than a short drain grace leaves.
WAYS = (
    "refused",
    "no connect",
    "silent",
    "head",
    "body",
    "reset",
    "odd",
    "older",
    "waits",
    "moved",
    "twice",
    "slow",
)
# Times in ms; askEveryMs is another host's: by it nothing here may change.
SETTINGS = {
    "pushed": {},
    "pushed, drain grace 50": {"drain": 50},
    "pushed, drain grace 30 s": {"drain": 30_000},
    "asked, 1 node": {"registryMode": "ask", "askEveryMs": 1},
    "asked, 200 nodes": {"registryMode": "ask", "balancers": 200, "askEveryMs": 3_600_000},
    "asked, 200 nodes, drain grace 50": {"registryMode": "ask", "balancers": 200, "drain": 50},
}


def settings(registryMode="push", balancers=1, drain=2_000, askEveryMs=1_000):
    rules = {**TERMS["rules"], "drainGraceMs": drain, "askEveryMs": askEveryMs}
    return {"registryMode": registryMode, "balancers": balancers, "rules": rules}


class Failing(Agent):
    """Fails `fails` calls or connects in its way; with the last it is back, has the change, and answers."""

    def __init__(self, number, way, fails):
        super().__init__()
        self.way, self.left, self.told = way, 2 if way == "twice" else fails, asyncio.Event()
        self.back = self.since = None
        self.at_once, self.server, self.took = self.answer, None, None
        # Its own address: on a shared one a connect of another node's may be given the port meanwhile.
        self.place = f"127.1.{number // 250}.{number % 250 + 1}", free_port()
        self.address = "%s:%d" % self.place

    async def listen(self):
        self.server = await asyncio.start_server(self.talk, *self.place)

    def failed(self):
        now, self.left = asyncio.get_running_loop().time(), self.left - 1
        # Silences of an agent that has the change and can be reached are no outage: the first one counts.
        self.since = self.since or now if self.way in ("twice", "slow") else now
        if not self.left:
            self.back = now

    async def connect(self):
        """Before the kernel's own connect; back from within a refused one, the next finds it listening."""
        if self.way == "refused" and self.back is None:
            self.failed()
            if self.back is not None:
                await self.listen()
            raise ConnectionRefusedError
        if self.way == "no connect" and self.back is None:
            self.failed()
            await asyncio.Event().wait()

    async def answer(self, target, writer):
        wants = "after=9" not in target
        if self.back is not None:
            return self.say(9, DRAINING, whole="after" not in target, writer=writer) if wants else None
        if self.way in ("waits", "twice") and self.since is None and "wait_ms=2000" not in target:
            return self.say(1, writer=writer)
        if self.way == "older" and "after" in target:
            return self.say(0, writer=writer)
        if self.way == "slow":
            self.since = self.since or asyncio.get_running_loop().time()
            await asyncio.sleep(0.3)
            return self.say(9, DRAINING, writer=writer) if wants else None
        self.failed()
        begun = b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{"
        if self.way in ("head", "body"):
            writer.write(begun[:11] if self.way == "head" else begun)
        elif self.way == "odd":
            writer.write(b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")
        elif self.way == "reset":
            writer.get_extra_info("socket").setsockopt(SOL_SOCKET, SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()

    def heard(self, now, whole, rows):
        if self.took is None and any(row[:1] == ("s-1",) and row[5] == "draining" for row in rows):
            self.took = asyncio.get_running_loop().time() - self.since
            self.told.set()


async def took(agents, number, way, fails, more):
    """Seconds from when the agent had the change and could be reached to the module's having it."""
    agent = Failing(number, way, fails)
    agents[agent.place] = agent
    if way != "refused":
        await agent.listen()
    first = await Agent().start() if way == "moved" else agent
    place = Place(
        {**DRAINING, "status": "Ready"},
        agent=first,
        **settings(**more),
        listen="%s:%d" % (agent.place[0], free_port()),
    )
    await place.__aenter__()
    place.desk.also_listed = agent.heard
    if way == "moved":
        place.node.watch.move(*agent.place)
    with suppress(TimeoutError):
        await asyncio.wait_for(agent.told.wait(), 25)
    place.node.stop()
    await place.serving
    for server in {first, agent}:
        server.server.close()
    return inf if agent.took is None else agent.took


def test_after_any_failure_a_change_is_told_in_time(monkeypatch):
    # A collection at each start would halt all the other nodes of this process.
    monkeypatch.setattr(node, "gc", SimpleNamespace(collect=lambda: None, freeze=lambda: None))
    cases = [
        (way, fails, name)
        for way in WAYS
        for fails in (1, 3)
        for name in SETTINGS
        if fails == 3
        and way != "slow"
        or fails == 1
        and name in ("pushed", "asked, 200 nodes")
        or fails == 1
        and way == "slow"
    ]

    async def story():
        loop, agents = asyncio.get_running_loop(), {}
        connect = loop.create_connection

        async def connecting(make, host, port, **more):
            if (host, port) in agents:
                await agents[host, port].connect()
            return await connect(make, host, port, **more)

        loop.create_connection = connecting
        return await asyncio.gather(
            *(
                took(agents, number, way, fails, SETTINGS[name])
                for number, (way, fails, name) in enumerate(cases)
            )
        )

    times = dict(zip(cases, asyncio.run(story()), strict=True))
    for name in SETTINGS:
        print(name, {f"{way} {fails}": round(t, 2) for (way, fails, of), t in times.items() if of == name})
    breaks = {case: t for case, t in times.items() if t >= TOLD}
    print(f"{len(times)} cases, {len(breaks)} breaks, the longest {max(times.values()):.2f} s")
    assert not breaks


@pytest.mark.parametrize(
    "odd",
    (
        {"zone": []},
        {"zone": {}},
        {"type": ["m"]},
        {"type": {}},
        {"group": [1]},
        {"zone": 5},
        {"type": None},
        {"address": "127.0.0.9:²"},
        {"address": "127.0.0.9:٣"},
        {"since_ms": 1e308},
        {"since_ms": 10**18},
        {"weight": 1e308},
        {"weight": 10**18},
        {"weight": []},
        {"status": []},
    ),
)
def test_an_odd_line_costs_no_other_its_change(odd):
    # The version counts as had, so what fails in the module would never be told again.
    d = dispatcher()
    rows = entries({"endpoints": [{**DRAINING, "name": "s-2", "status": "Ready", **odd}, DRAINING]})
    d.listed(10, True, [EndpointRow(name, *more) for name, _, *more in rows])
    assert d.endpoints.by_id["s-1"].state == "draining"


class Served(Executor):
    """Tells its end of each invocation at once, on one connection that it keeps."""

    def __init__(self, name, door):
        super().__init__(name)
        self.door, self.tasks = door, set()
        self.answers = self.ends

    def ends(self, line, head):
        if line.startswith(b"POST"):
            task = asyncio.create_task(self.tell(head[b"x-request-id"].decode()))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        return b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"

    async def tell(self, id):
        # An executor repeats a call-back until it is answered.
        for _ in range(10):
            with suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(*self.door)
                writer.write(news("done", self.name, id))
                try:
                    await reader.readuntil(b"\r\n\r\n")
                    return
                finally:
                    writer.close()


async def handed(door, id, stays):
    """Whether an invocation is answered by an executor's result; its connection is kept in `stays`.

    In a crowd one may be told to come again, or be closed unread: as clients do, it comes again, four times.
    """
    for again in range(5):
        with suppress(asyncio.IncompleteReadError, OSError):
            reader, writer = await asyncio.open_connection(*door)
            stays.append(writer)
            writer.write(Client.head(f"{id}-{again}", 0))
            if (await reader.readuntil(b"\r\n\r\n"))[9:12] == b"200":
                return True
    return False


async def idles(door, came):
    """One of a crowd: connects, says nothing, and comes again when it is closed."""
    while True:
        with suppress(OSError):
            reader, writer = await asyncio.open_connection(*door)
            came.append(writer)
            try:
                await reader.read()
            finally:
                writer.close()
        await asyncio.sleep(0.5)


def test_a_crowd_that_says_nothing_turns_no_invocation_away():
    # All of it is new, so nobody could go when the client connected; its connection is there all the same.
    for owed, taken in (0, True), (6, False):
        node = floor(most=4)
        crowd = [node.client() for _ in range(6)]
        for i, one in enumerate(crowd[:owed]):
            one.crowded = False
            say(one, HAND_IN.replace(b"r1", b"o%d" % i))
        client = node.client()
        assert client.crowded
        say(client, HAND_IN)
        node.loop.go()
        assert (client.owed is not None) == taken, owed
        assert (b" 503 " in client.transport.written) != taken


@pytest.mark.parametrize("most", (256, 128, 64, 32))
def test_idle_clients_leave_descriptors_for_discovery_and_forwards(tmp_path, most):
    async def story():
        agent, lines, stays, came, crowd = Agent(), [], [], [], []
        port = free_port()
        # Addresses of its own: the executors' servers and connects draw their ports on the common one.
        door = f"127.2.0.{most % 255}", free_port()
        said = told(discovery=f"{door[0]}:{port}", listen="%s:%d" % door, limits={"sockets": most})
        # More than there are lines for; half of them begin to drain while discovery is down.
        executors = [await Served(f"s-{i}", door).start() for i in range(most // 3)]
        drained, rest = executors[::2], executors[1::2]
        said["known"] = {"index": 1, "endpoints": [e.row() for e in executors]}
        limit = resource.RLIMIT_NOFILE, (most, most)
        work, _ = program(tmp_path, said, preexec_fn=lambda: resource.setrlimit(*limit))
        reads = asyncio.create_task(asyncio.to_thread(lambda: lines.extend(work.stderr)))

        async def at_once(target, writer):
            if "after=9" not in target:
                agent.say(9, *(e.row(status="Terminating") for e in drained), writer=writer)

        agent.at_once = at_once
        try:
            await until(lambda: any("-> serving" in line for line in lines), "serving")
            # All shares are drawn on: lines to executors, clients that were good and stay, a silent crowd.
            for i in range(0, most, 8):
                await asyncio.gather(*(handed(door, f"a{i + j}", stays) for j in range(8)))
            crowd += [asyncio.create_task(idles(door, came)) for _ in range(2 * most)]
            await until(lambda: len(came) >= 2 * most, "the crowd")
            agent.server = await asyncio.start_server(agent.talk, door[0], port)
            back = time.monotonic()
            await until(lambda: any("after=9" in target for target in agent.asked), "the list")
            took, before = time.monotonic() - back, sum(len(e.seen) for e in rest)
            wrong = sum(len(e.seen) for e in drained)
            done = [await handed(door, f"b{i}", stays) for i in range(20)]
            wrong = sum(len(e.seen) for e in drained) - wrong
            faults = sum("accept" in line or "loop-fault" in line for line in lines)
            print(
                f"{most} descriptors: told after {took:.2f} s, {sum(done)} of 20 sent on and done, {wrong} "
                f"to who drains, {faults} lines of want"
            )
            return took < TOLD, all(done), sum(len(e.seen) for e in rest) - before >= 20, wrong, faults
        finally:
            for task in crowd:
                task.cancel()
            await asyncio.gather(*crowd, return_exceptions=True)
            work.kill()
            await asyncio.to_thread(work.wait)
            await reads
            work.stderr.close()
            for writer in stays:
                writer.close()
            for server in (*executors, agent):
                if hasattr(server, "server"):
                    server.server.close()

    assert asyncio.run(story()) == (True, True, True, 0, 0)
