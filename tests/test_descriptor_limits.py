"""Many silent or idle client connections, and the file descriptors that remain for other uses."""

import asyncio
import time
from contextlib import suppress

import node_files
import pytest
from emulators import (
    BlockingClient,
    DiscoveryEmulator,
    until,
)
from job_emulators import FinishingExecutor
from node_harness import SETTINGS
from program_process import Program
from socketless_node import REQUEST, SocketlessNode, receive

from grebedyke.emulators.ports import free_port

# Seconds within which a change of the endpoint list counts as known to the node.
KNOWN_AFTER = 6.0


async def succeeds(listener, request_id, open_writers):
    """Returns whether a request is answered with an executor's result; its connections stay open.

    Under overload a request may be throttled or its connection closed, so it is retried four times, as
    clients do.
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
    """Connects without sending anything, and reconnects after the connection is closed."""
    while True:
        with suppress(OSError):
            reader, writer = await asyncio.open_connection(*listener)
            connected.append(writer)
            try:
                await reader.read()
            finally:
                writer.close()
        await asyncio.sleep(0.5)


def test_silent_connections_do_not_cause_refusals():
    """Many peers connect and send nothing, and then a client with a request connects.

    The silent connections are too new to be closed when the client connects. Its connection is established
    nevertheless, so the request must be accepted; it is refused only if all connections have open requests.
    """
    for open_requests, is_taken in ((0, True), (6, False)):
        socketless = SocketlessNode(max_connections=4)
        silent_clients = [socketless.client() for _ in range(6)]
        for number, connection in enumerate(silent_clients[:open_requests]):
            connection.over_limit = False
            receive(connection, REQUEST.replace(b"r1", b"o%d" % number))
        client = socketless.client()
        assert client.over_limit
        receive(client, REQUEST)
        socketless.run()
        assert (client.open_request is not None) == is_taken, open_requests
        assert (b" 503 " in client.transport.written) != is_taken


class CrowdedNode:
    """A node process with few descriptors, whose shares are all used while discovery is down.

    Attributes:
        listener: Host and port of the client listener.
        discovery_port: Port on which discovery is available later.
        discovery: The `DiscoveryEmulator`, which reports half of the executors as draining.
        draining: The executors that start to drain while discovery is down.
        healthy: The other executors.
        open_writers: Connections of clients that got a response and stay open.
        silent_tasks: Tasks of clients that send nothing.
        log_lines: Log lines of the node.
    """

    def __init__(self, descriptors):
        self.descriptors = descriptors
        # A separate address: the executors' servers and connects use ports of the common address.
        self.listener = f"127.2.0.{descriptors % 255}", free_port()
        self.discovery_port = free_port()
        self.discovery = DiscoveryEmulator()
        self.discovery.on_poll = self.answer_poll
        self.draining = []
        self.healthy = []
        self.open_writers = []
        self.connected = []
        self.silent_tasks = []
        self.log_lines = []

    async def answer_poll(self, target, writer):
        if "after=9" not in target:
            rows = [executor.row(status="Terminating") for executor in self.draining]
            self.discovery.answer(9, *rows, writer=writer)

    async def start(self, folder):
        # More executors than the node has connections for.
        executors = [
            await FinishingExecutor(f"s-{number}", self.listener).start()
            for number in range(self.descriptors // 3)
        ]
        self.draining = executors[::2]
        self.healthy = executors[1::2]
        node_file = node_files.node_file(
            settings=SETTINGS,
            discovery=f"{self.listener[0]}:{self.discovery_port}",
            listen="%s:%d" % self.listener,
            limits={"sockets": self.descriptors},
        )
        node_file["known"] = {"index": 1, "endpoints": [executor.row() for executor in executors]}
        self.process = Program(folder, node_file, max_descriptors=self.descriptors).process
        self.reading = asyncio.create_task(
            asyncio.to_thread(lambda: self.log_lines.extend(self.process.stderr))
        )
        await until(lambda: any("-> serving" in line for line in self.log_lines), "serving")

    async def use_all_shares(self):
        """Uses up the shares for executor connections, for idle clients and for silent connections."""
        for first in range(0, self.descriptors, 8):
            requests = [succeeds(self.listener, f"a{first + i}", self.open_writers) for i in range(8)]
            await asyncio.gather(*requests)
        for _ in range(2 * self.descriptors):
            self.silent_tasks.append(asyncio.create_task(connect_and_idle(self.listener, self.connected)))
        await until(lambda: len(self.connected) >= 2 * self.descriptors, "the silent connections")

    async def seconds_until_list_is_known(self):
        """Returns the seconds from discovery's return until the node has its list."""
        discovery = self.discovery
        discovery.server = await asyncio.start_server(
            discovery.serve_connection, self.listener[0], self.discovery_port
        )
        start = time.monotonic()
        await until(lambda: any("after=9" in target for target in discovery.polls), "the list")
        return time.monotonic() - start

    async def close(self):
        for task in self.silent_tasks:
            task.cancel()
        await asyncio.gather(*self.silent_tasks, return_exceptions=True)
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
    """Idle clients and silent connections use all descriptors that a node with few of them gives to clients.

    After discovery's return the node must still learn that half of its executors are draining, and must send
    new requests to the others.
    """

    async def scenario():
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
                f"{to_draining} to draining executors, {faults} log lines about faults"
            )
            return seconds < KNOWN_AFTER, all(done), to_healthy >= 20, to_draining, faults
        finally:
            await crowded.close()

    assert asyncio.run(scenario()) == (True, True, True, 0, 0)
