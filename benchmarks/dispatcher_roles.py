"""Memory, bytes and thread CPU time of a node's dispatcher, its endpoint list and its datagrams.

Each public function is a case and returns rows (`measurements.row`).
"""

import asyncio
import socket
from statistics import median
from time import thread_time

import orjson

from benchmarks.measured_dispatcher import DispatcherHost, DispatcherShape, endpoint_list_json, endpoint_rows
from benchmarks.measurements import reachable_size, row
from grebedyke.model.events import EndpointsChanged
from grebedyke.service.batch_loop import BatchLoop
from grebedyke.service.metrics import Metrics
from grebedyke.units import TICKS_PER_SECOND
from grebedyke.wire.endpoint_rows import parse_endpoint_rows
from grebedyke.wire.http_messages import request_head
from grebedyke.wire.peer_socket import PeerSocket

LIST_ROUNDS = 5
REQUEST_ROUNDS = 5
LIST_CHANGES = 20
DATAGRAMS_PER_BATCH = 10
MAX_DATAGRAM_BYTES = 1_200
BATCH_TIMEOUT = 5.0
"""Seconds."""


def placed(parameter, size, attempts=100, requests=300, span=10, **shape):
    """Measures memory and CPU of a node's dispatcher, and the CPU of a request.

    Args:
        parameter: Name of the varied parameter.
        size: Value of that parameter.
        attempts: Number of attempts in flight.
        requests: Number of measured requests.
        span: Duration of the measurement of idle CPU, in seconds.
        **shape: Fields of a `DispatcherShape`.
    """
    shape = DispatcherShape(**shape)
    host = DispatcherHost(shape)
    _, empty_state = reachable_size(host.dispatcher)
    in_flight = host.fill(attempts) if attempts else 0
    objects, state = reachable_size(host.dispatcher)
    host.cpu_seconds = 0.0
    host.run(host.now + span * TICKS_PER_SECOND)
    idle_cpu = host.cpu_seconds / span
    quantities = {
        "objects": objects,
        "state": state,
        "state for forwards": state - empty_state,
        "forwards": in_flight,
        "CPU": idle_cpu,
        "CPU an invocation": _cpu_of_request(host, requests // REQUEST_ROUNDS, idle_cpu),
        "CPU a change of the list": _cpu_of_list_change(host),
    }
    # Concurrency credit may admit fewer attempts than requested.
    if parameter == "forwards":
        size = in_flight
    name = "an executor's place in the books" + ("" if shape.probes else ", no probes")
    return [row(name, parameter, size, **quantities)]


def _cpu_of_request(host, count, idle_cpu):
    """Returns the CPU seconds of a request without the idle CPU, as median of several rounds."""
    samples = []
    for _ in range(REQUEST_ROUNDS):
        host.cpu_seconds = 0.0
        start = host.now
        for _ in range(count):
            host.submit(TICKS_PER_SECOND // 2)
            host.run(host.now + TICKS_PER_SECOND // 10)
        idle_part = idle_cpu * (host.now - start) / TICKS_PER_SECOND
        samples.append(max(host.cpu_seconds - idle_part, 1e-9) / count)
    return median(samples)


def _cpu_of_list_change(host):
    """Returns the CPU seconds of a change of one entry of the endpoint list."""
    host.cpu_seconds = 0.0
    for i in range(LIST_CHANGES):
        changed = host.rows[i * 7 % len(host.rows)]._replace(started_at=10 * i + 1)
        host.handle(EndpointsChanged(False, [changed]))
    return host.cpu_seconds / LIST_CHANGES


def listed(parameter, size):
    """Measures a full endpoint list, a change of one entry, and the call to discovery.

    Args:
        parameter: Name of the varied parameter.
        size: Number of executors in the list.
    """
    text = endpoint_list_json(size)
    host = DispatcherHost(DispatcherShape(executors=size))
    durations = []
    for _ in range(LIST_ROUNDS):
        start = thread_time()
        entries = parse_endpoint_rows(orjson.loads(text))
        parse_time = thread_time() - start
        host.cpu_seconds = 0.0
        host.handle(EndpointsChanged(True, endpoint_rows(entries)))
        durations.append(parse_time + host.cpu_seconds)
    call = request_head(b"GET", b"/discovery/hosts?after=12345&wait_ms=2000", b"10.0.0.1:9000")
    quantities = {
        "bytes of a whole list": len(text),
        "CPU of a whole list": min(durations),
        "bytes of a call": len(call),
        "bytes of a change": len(endpoint_list_json(1)),
    }
    return [row("discovery, for each node", parameter, size, **quantities)]


def datagrams(parameter, size, count=4_000):
    """Measures the CPU of one datagram from the socket of a node into the batch of another node.

    Both sockets are in this process.

    Args:
        parameter: Name of the varied parameter.
        size: Size of the datagram in bytes.
        count: Number of datagrams.
    """
    cpu = asyncio.run(_cpu_of_datagram(size, count))
    return [row("a datagram through the loop", parameter, size, CPU=cpu)]


async def _cpu_of_datagram(size, count):
    loop = asyncio.get_running_loop()
    batch_loop = BatchLoop(loop, Metrics())
    batch_loop.next_action = batch_loop.carry_out = lambda *arguments: None
    received = 0
    expected = 0
    batch_received = asyncio.Event()

    def receive(now, sender, data):
        """Counts a received datagram."""
        nonlocal received
        received += 1
        if received >= expected:
            batch_received.set()

    sockets = [PeerSocket(loop, batch_loop, receive, MAX_DATAGRAM_BYTES) for _ in range(2)]
    addresses = [_free_address() for _ in sockets]
    for node, peers in enumerate(sockets):
        peers.set_peers(addresses, node)
    await asyncio.gather(*(peers.open_task for peers in sockets))
    start = thread_time()
    # Several datagrams per batch, like at a voter of hundreds of nodes.
    for _ in range(count // DATAGRAMS_PER_BATCH):
        expected = received + DATAGRAMS_PER_BATCH
        batch_received.clear()
        for _ in range(DATAGRAMS_PER_BATCH):
            sockets[0].send(1, bytes(size))
        await asyncio.wait_for(batch_received.wait(), BATCH_TIMEOUT)
    cpu = thread_time() - start
    for peers in sockets:
        peers.close()
    return cpu / count


def _free_address():
    """Returns an address to which no socket is bound."""
    with socket.socket(type=socket.SOCK_DGRAM) as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()
