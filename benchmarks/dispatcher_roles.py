"""What a node's dispatcher, its endpoint list and its datagrams take: memory, bytes, CPU of the thread.

Each public function is a case and returns `row`s.
"""

import asyncio
import socket
from statistics import median
from time import thread_time

import orjson

from benchmarks.measured_dispatcher import DispatcherHost, DispatcherShape, endpoint_rows, listing
from benchmarks.measurements import reachable_size, row
from grebedyke.model.events import EndpointsChanged
from grebedyke.service.batch_loop import BatchLoop
from grebedyke.service.metrics import Metrics
from grebedyke.units import TICKS_PER_SECOND
from grebedyke.wire.endpoint_rows import parse_endpoint_rows
from grebedyke.wire.http_messages import request_head
from grebedyke.wire.peer_socket import PeerSocket

LIST_READS = 5
REQUEST_ROUNDS = 5
LIST_CHANGES = 20
DATAGRAMS_PER_BATCH = 10
LARGEST_DATAGRAM = 1_200
BATCH_TIMEOUT = 5.0
"""Seconds."""


def placed(against, size, forwards=100, invocations=300, span=10, **shape):
    """Measures memory and CPU of one node's dispatcher, and of a request through it.

    Args:
        against: What is varied.
        size: How much of it there is.
        forwards: How many attempts are in flight beside.
        invocations: How many requests are measured.
        span: For how long the idle CPU is measured, in seconds.
        **shape: Fields of a `DispatcherShape`.
    """
    shape = DispatcherShape(**shape)
    host = DispatcherHost(shape)
    _, empty_state = reachable_size(host.dispatcher)
    in_flight = host.fill(forwards) if forwards else 0
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
        "CPU an invocation": _cpu_of_request(host, invocations // REQUEST_ROUNDS, idle_cpu),
        "CPU a change of the list": _cpu_of_list_change(host),
    }
    # Concurrency credit may let fewer attempts run than were wanted.
    if against == "forwards":
        size = in_flight
    name = "an executor's place in the books" + ("" if shape.probes else ", no probes")
    return [row(name, against, size, **quantities)]


def _cpu_of_request(host, count, idle_cpu):
    """Returns the CPU seconds of a request beyond the idle CPU, the median of some rounds."""
    found = []
    for _ in range(REQUEST_ROUNDS):
        host.cpu_seconds = 0.0
        start = host.now
        for _ in range(count):
            host.submit(TICKS_PER_SECOND // 2)
            host.run(host.now + TICKS_PER_SECOND // 10)
        idle_part = idle_cpu * (host.now - start) / TICKS_PER_SECOND
        found.append(max(host.cpu_seconds - idle_part, 1e-9) / count)
    return median(found)


def _cpu_of_list_change(host):
    """Returns the CPU seconds of a change of one entry of the endpoint list."""
    host.cpu_seconds = 0.0
    for i in range(LIST_CHANGES):
        changed = host.rows[i * 7 % len(host.rows)]._replace(started_at=10 * i + 1)
        host.handle(EndpointsChanged(False, [changed]))
    return host.cpu_seconds / LIST_CHANGES


def listed(against, size):
    """Measures a whole endpoint list, a change of one entry, and the call to discovery.

    Args:
        against: What is varied.
        size: How many executors are in the list.
    """
    text = listing(size)
    host = DispatcherHost(DispatcherShape(executors=size))
    durations = []
    for _ in range(LIST_READS):
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
        "bytes of a change": len(listing(1)),
    }
    return [row("discovery, for each node", against, size, **quantities)]


def datagrams(against, size, count=4_000):
    """Measures the CPU of one datagram out of a node's socket and into another's batch, both in this process.

    Args:
        against: What is varied.
        size: Bytes of the datagram.
        count: How many are sent.
    """
    cpu = asyncio.run(_cpu_of_datagram(size, count))
    return [row("a datagram through the loop", against, size, CPU=cpu)]


async def _cpu_of_datagram(size, count):
    loop = asyncio.get_running_loop()
    batch_loop = BatchLoop(loop, Metrics())
    batch_loop.next_action = batch_loop.carry_out = lambda *arguments: None
    received = 0
    wanted = 0
    batch_received = asyncio.Event()

    def receive(now, sender, data):
        """Counts a datagram that has arrived."""
        nonlocal received
        received += 1
        if received >= wanted:
            batch_received.set()

    both = [PeerSocket(loop, batch_loop, receive, LARGEST_DATAGRAM) for _ in range(2)]
    addresses = [_free_address() for _ in both]
    for node, peers in enumerate(both):
        peers.set_peers(addresses, node)
    await asyncio.gather(*(peers.open_task for peers in both))
    start = thread_time()
    # Several in a batch: a voter of hundreds of nodes finds some whenever it looks.
    for _ in range(count // DATAGRAMS_PER_BATCH):
        wanted = received + DATAGRAMS_PER_BATCH
        batch_received.clear()
        for _ in range(DATAGRAMS_PER_BATCH):
            both[0].send(1, bytes(size))
        await asyncio.wait_for(batch_received.wait(), BATCH_TIMEOUT)
    cpu = thread_time() - start
    for peers in both:
        peers.close()
    return cpu / count


def _free_address():
    """Returns an address at which no socket is bound."""
    with socket.socket(type=socket.SOCK_DGRAM) as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()
