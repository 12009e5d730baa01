"""Discovery fails, each way it can: how long after its return the node has its list, by settings."""

import asyncio
import resource
import struct
import time
from contextlib import suppress
from math import inf
from socket import SO_LINGER, SOL_SOCKET
from types import SimpleNamespace

import pytest
from helpers import dispatcher
from node_harness import (
    ACCEPTED,
    LISTED_EXECUTOR,
    SETTINGS,
    BlockingClient,
    DiscoveryEmulator,
    ExecutorEmulator,
    NodeHarness,
    free_port,
    until,
)
from socketless_node import REQUEST, SocketlessNode, call_back_message, receive
from test_signals import program, told

from grebedyke.model.endpoint_list import EndpointRow
from grebedyke.service import node
from grebedyke.wire.endpoint_rows import parse_endpoint_rows

# Seconds within which a change counts as known to the node.
KNOWN_AFTER = 6.0
DRAINING = {**LISTED_EXECUTOR, "name": "s-1", "address": "127.0.0.1:9", "status": "Terminating"}
# What a discovery that is down does; "waits": it reports what it has, and falls silent while the next poll
# waits; "twice": so does the poll after that; "slow": its answers take longer than a short drain grace.
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
CASE_SETTINGS = {
    "pushed": {},
    "pushed, drain grace 50": {"drain": 50},
    "pushed, drain grace 30 s": {"drain": 30_000},
    "asked, 1 node": {"registryMode": "ask", "askEveryMs": 1},
    "asked, 200 nodes": {"registryMode": "ask", "balancers": 200, "askEveryMs": 3_600_000},
    "asked, 200 nodes, drain grace 50": {"registryMode": "ask", "balancers": 200, "drain": 50},
}


def case_settings(registryMode="push", balancers=1, drain=2_000, askEveryMs=1_000):
    rules = {**SETTINGS["rules"], "drainGraceMs": drain, "askEveryMs": askEveryMs}
    return {"registryMode": registryMode, "balancers": balancers, "rules": rules}


class FailingDiscovery(DiscoveryEmulator):
    """Fails a number of polls or connects in its way; with the last it is back and has a change.

    Attributes:
        way: One of `WAYS`.
        failures_left: Polls or connects that are still to fail.
        host_and_port: Its address, for the node's connects.
        back_at: When it came back, by the event loop's clock; None before.
        available_since: From when on the node could have had the change.
        known_after: Seconds from then until the node had it; None before.
        known: Set when the node has it.
    """

    def __init__(self, number, way, failures):
        super().__init__()
        self.way = way
        self.failures_left = 2 if way == "twice" else failures
        self.known = asyncio.Event()
        self.known_after = None
        self.back_at = None
        self.available_since = None
        self.on_poll = self.answer_or_fail
        self.server = None
        # Its own address: on a shared one a connect of another node's may be given the port meanwhile.
        self.host_and_port = f"127.1.{number // 250}.{number % 250 + 1}", free_port()
        self.address = "%s:%d" % self.host_and_port

    async def listen(self):
        self.server = await asyncio.start_server(self.serve_connection, *self.host_and_port)

    def fail_once(self):
        now = asyncio.get_running_loop().time()
        self.failures_left -= 1
        if self.way in ("twice", "slow"):
            # Silences of a discovery that has the change and can be reached are no outage: the first counts.
            self.available_since = self.available_since or now
        else:
            self.available_since = now
        if not self.failures_left:
            self.back_at = now

    async def before_connect(self):
        """Called before the kernel's own connect; back from within a refused one, the next is taken."""
        if self.way == "refused" and self.back_at is None:
            self.fail_once()
            if self.back_at is not None:
                await self.listen()
            raise ConnectionRefusedError
        if self.way == "no connect" and self.back_at is None:
            self.fail_once()
            await asyncio.Event().wait()

    async def answer_or_fail(self, target, writer):
        wants_change = "after=9" not in target
        if self.back_at is not None:
            if wants_change:
                self.answer(9, DRAINING, complete="after" not in target, writer=writer)
        elif self.way in ("waits", "twice") and self.available_since is None and "wait_ms=2000" not in target:
            self.answer(1, writer=writer)
        elif self.way == "older" and "after" in target:
            self.answer(0, writer=writer)
        elif self.way == "slow":
            self.available_since = self.available_since or asyncio.get_running_loop().time()
            await asyncio.sleep(0.3)
            if wants_change:
                self.answer(9, DRAINING, writer=writer)
        else:
            self.fail_once()
            self.answer_wrongly(writer)

    def answer_wrongly(self, writer):
        part = b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{"
        if self.way in ("head", "body"):
            writer.write(part[:11] if self.way == "head" else part)
        elif self.way == "odd":
            writer.write(b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")
        elif self.way == "reset":
            writer.get_extra_info("socket").setsockopt(SOL_SOCKET, SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()

    def list_changed(self, now, is_complete, rows):
        """Called with each list that the node's policy gets."""
        if self.known_after is None and any(row.name == "s-1" and row.state == "draining" for row in rows):
            self.known_after = asyncio.get_running_loop().time() - self.available_since
            self.known.set()


async def seconds_until_known(discoveries, number, way, failures, settings):
    """Returns the seconds between discovery having the change, within reach, and the policy having it."""
    discovery = FailingDiscovery(number, way, failures)
    discoveries[discovery.host_and_port] = discovery
    if way != "refused":
        await discovery.listen()
    first = await DiscoveryEmulator().start() if way == "moved" else discovery
    harness = NodeHarness(
        {**DRAINING, "status": "Ready"},
        discovery=first,
        **case_settings(**settings),
        listen="%s:%d" % (discovery.host_and_port[0], free_port()),
    )
    await harness.__aenter__()
    harness.host.endpoints.list_listener = discovery.list_changed
    if way == "moved":
        harness.node.parts.discovery.move(*discovery.host_and_port)
    with suppress(TimeoutError):
        await asyncio.wait_for(discovery.known.wait(), 25)
    harness.node.stop()
    await harness.serving
    for server in {first, discovery}:
        server.server.close()
    return inf if discovery.known_after is None else discovery.known_after


def is_case(way, failures, name):
    """Returns whether a way of failing is tried so many times with the settings of that name."""
    if failures == 3:
        return way != "slow"
    return way == "slow" or name in ("pushed", "asked, 200 nodes")


def announce_connects(loop, discoveries):
    """Has each connect to one of the discoveries announced to it."""
    create_connection = loop.create_connection

    async def connect(factory, host, port, **more):
        if (host, port) in discoveries:
            await discoveries[host, port].before_connect()
        return await create_connection(factory, host, port, **more)

    loop.create_connection = connect


def test_after_any_failure_a_change_is_known_in_time(monkeypatch):
    """Discovery fails, in one of all ways it can, and comes back with a change of the endpoint list.

    However long it was away, and whatever the settings: the change must be with the node's policy in time.
    """
    # A collection at each start would halt all the other nodes of this process.
    monkeypatch.setattr(node, "gc", SimpleNamespace(collect=lambda: None, freeze=lambda: None))
    cases = [
        (way, failures, name)
        for way in WAYS
        for failures in (1, 3)
        for name in CASE_SETTINGS
        if is_case(way, failures, name)
    ]

    async def story():
        discoveries = {}
        announce_connects(asyncio.get_running_loop(), discoveries)
        plays = [
            seconds_until_known(discoveries, number, way, failures, CASE_SETTINGS[name])
            for number, (way, failures, name) in enumerate(cases)
        ]
        return await asyncio.gather(*plays)

    times = dict(zip(cases, asyncio.run(story()), strict=True))
    for name in CASE_SETTINGS:
        of_name = {f"{way} {failures}": t for (way, failures, of), t in times.items() if of == name}
        print(name, {case: round(seconds, 2) for case, seconds in of_name.items()})
    breaks = {case: seconds for case, seconds in times.items() if seconds >= KNOWN_AFTER}
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
def test_an_odd_row_costs_no_other_its_change(odd):
    """One row of a list is odd, beside one that has changed.

    The list's version counts as known with it: a change that failed with the odd row would never come again.
    """
    policy = dispatcher()
    odd_row = {**DRAINING, "name": "s-2", "status": "Ready", **odd}
    rows = parse_endpoint_rows({"endpoints": [odd_row, DRAINING]})
    policy.listed(10, True, [EndpointRow(name, *more) for name, _, *more in rows])
    assert policy.endpoints.by_id["s-1"].state == "draining"


class FinishingExecutor(ExecutorEmulator):
    """Reports success of each job at once.

    Attributes:
        listener: Host and port of the node's client listener.
    """

    def __init__(self, name, listener):
        super().__init__(name)
        self.listener = listener
        self.tasks = set()
        self.respond = self.accept_and_finish

    def accept_and_finish(self, line, headers):
        if line.startswith(b"POST"):
            task = asyncio.create_task(self.call_back(headers[b"x-request-id"].decode()))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        return ACCEPTED

    async def call_back(self, request_id):
        # An executor repeats a call-back until it is answered.
        for _ in range(10):
            with suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(*self.listener)
                writer.write(call_back_message("done", self.name, request_id))
                try:
                    await reader.readuntil(b"\r\n\r\n")
                    return
                finally:
                    writer.close()


async def succeeds(listener, request_id, open_writers):
    """Returns whether a request is answered by an executor's result; its connections stay open.

    In a crowd one may be told to come again, or be closed unread: as clients do, it comes again, four times.
    """
    for retry in range(5):
        with suppress(asyncio.IncompleteReadError, OSError):
            reader, writer = await asyncio.open_connection(*listener)
            open_writers.append(writer)
            writer.write(BlockingClient.request_head(f"{request_id}-{retry}", 0))
            if (await reader.readuntil(b"\r\n\r\n"))[9:12] == b"200":
                return True
    return False


async def connect_and_idle(listener, connected):
    """Acts as one of a crowd: connects, sends nothing, and comes again when it is closed."""
    while True:
        with suppress(OSError):
            reader, writer = await asyncio.open_connection(*listener)
            connected.append(writer)
            try:
                await reader.read()
            finally:
                writer.close()
        await asyncio.sleep(0.5)


def test_a_silent_crowd_turns_no_request_away():
    """A crowd connects and sends nothing, and then a client with a request connects.

    All of the crowd is new, so none of it can be closed when the client connects. Its connection is there all
    the same, and the request must be taken; only where all wait for responses is it turned away.
    """
    for open_requests, is_taken in ((0, True), (6, False)):
        socketless = SocketlessNode(max_connections=4)
        crowd = [socketless.client() for _ in range(6)]
        for number, connection in enumerate(crowd[:open_requests]):
            connection.over_limit = False
            receive(connection, REQUEST.replace(b"r1", b"o%d" % number))
        client = socketless.client()
        assert client.over_limit
        receive(client, REQUEST)
        socketless.run()
        assert (client.open_request is not None) == is_taken, open_requests
        assert (b" 503 " in client.transport.written) != is_taken


class CrowdedNode:
    """A node's process with few descriptors, all shares of which are drawn on while discovery is down.

    Attributes:
        listener: Host and port of the client listener.
        discovery_port: Port on which discovery is back after a while.
        discovery: The `DiscoveryEmulator`, which reports half of the executors as draining.
        draining: The executors that begin to drain while discovery is down.
        healthy: The other executors.
        open_writers: Connections of clients that had a response and stay.
        crowd: Tasks of clients that send nothing.
        log_lines: What the node logs.
    """

    def __init__(self, descriptors):
        self.descriptors = descriptors
        # An address of its own: the executors' servers and connects draw their ports on the common one.
        self.listener = f"127.2.0.{descriptors % 255}", free_port()
        self.discovery_port = free_port()
        self.discovery = DiscoveryEmulator()
        self.discovery.on_poll = self.answer_poll
        self.draining = []
        self.healthy = []
        self.open_writers = []
        self.connected = []
        self.crowd = []
        self.log_lines = []

    async def answer_poll(self, target, writer):
        if "after=9" not in target:
            rows = [executor.row(status="Terminating") for executor in self.draining]
            self.discovery.answer(9, *rows, writer=writer)

    async def start(self, folder):
        # More executors than there are connections for.
        executors = [
            await FinishingExecutor(f"s-{number}", self.listener).start()
            for number in range(self.descriptors // 3)
        ]
        self.draining = executors[::2]
        self.healthy = executors[1::2]
        node_file = told(
            discovery=f"{self.listener[0]}:{self.discovery_port}",
            listen="%s:%d" % self.listener,
            limits={"sockets": self.descriptors},
        )
        node_file["known"] = {"index": 1, "endpoints": [executor.row() for executor in executors]}
        limit = resource.RLIMIT_NOFILE, (self.descriptors, self.descriptors)
        self.process, _ = program(folder, node_file, preexec_fn=lambda: resource.setrlimit(*limit))
        self.reading = asyncio.create_task(
            asyncio.to_thread(lambda: self.log_lines.extend(self.process.stderr))
        )
        await until(lambda: any("-> serving" in line for line in self.log_lines), "serving")

    async def use_all_shares(self):
        """Draws on the shares of connections to executors, of clients that stay, and of a silent crowd."""
        for first in range(0, self.descriptors, 8):
            requests = [succeeds(self.listener, f"a{first + i}", self.open_writers) for i in range(8)]
            await asyncio.gather(*requests)
        for _ in range(2 * self.descriptors):
            self.crowd.append(asyncio.create_task(connect_and_idle(self.listener, self.connected)))
        await until(lambda: len(self.connected) >= 2 * self.descriptors, "the crowd")

    async def seconds_until_list_is_known(self):
        """Returns how long after discovery's return the node has its list."""
        discovery = self.discovery
        discovery.server = await asyncio.start_server(
            discovery.serve_connection, self.listener[0], self.discovery_port
        )
        start = time.monotonic()
        await until(lambda: any("after=9" in target for target in discovery.polls), "the list")
        return time.monotonic() - start

    async def close(self):
        for task in self.crowd:
            task.cancel()
        await asyncio.gather(*self.crowd, return_exceptions=True)
        self.process.kill()
        await asyncio.to_thread(self.process.wait)
        await self.reading
        self.process.stderr.close()
        for writer in self.open_writers:
            writer.close()
        for server in (*self.draining, *self.healthy, self.discovery):
            if hasattr(server, "server"):
                server.server.close()


def received_by(executors):
    return sum(len(executor.received) for executor in executors)


@pytest.mark.parametrize("descriptors", (256, 128, 64, 32))
def test_idle_clients_leave_descriptors_for_discovery_and_attempts(tmp_path, descriptors):
    """Idle clients and a silent crowd take up all that a node of few descriptors gives to clients.

    With discovery down and back the node must still hear that half of its executors drain, and must send new
    requests to the others.
    """

    async def story():
        crowded = CrowdedNode(descriptors)
        await crowded.start(tmp_path)
        try:
            await crowded.use_all_shares()
            seconds = await crowded.seconds_until_list_is_known()
            to_healthy = received_by(crowded.healthy)
            to_draining = received_by(crowded.draining)
            done = [await succeeds(crowded.listener, f"b{i}", crowded.open_writers) for i in range(20)]
            to_healthy = received_by(crowded.healthy) - to_healthy
            to_draining = received_by(crowded.draining) - to_draining
            faults = sum("accept" in line or "loop-fault" in line for line in crowded.log_lines)
            print(
                f"{descriptors} descriptors: known after {seconds:.2f} s, {sum(done)} of 20 done, "
                f"{to_draining} to draining executors, {faults} log lines of want"
            )
            return seconds < KNOWN_AFTER, all(done), to_healthy >= 20, to_draining, faults
        finally:
            await crowded.close()

    assert asyncio.run(story()) == (True, True, True, 0, 0)
