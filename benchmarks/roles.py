"""What each role of a fleet takes and holds, by the real parts: words, bytes, CPU, memory. One case a call.

Consensus, maintenance and limits run in the simulated world, with the words' real framing; an executor's
place in a node's books in a real Dispatcher. CPU is that of the thread alone, of the parts and the framing:
no socket, no loop (`datagrams` has these). Each case gives a list of `row`s.
"""

import asyncio
import gc
import socket
import sys
from collections import Counter
from heapq import heappop, heappush
from statistics import median
from time import thread_time
from types import BuiltinFunctionType, FunctionType, ModuleType

import orjson

from grebedyke.consensus import framing
from grebedyke.consensus.consensus import Consensus
from grebedyke.emulators.discovery import DiscoveryEmulator
from grebedyke.load.arrivals import Operation
from grebedyke.load.deployment import deployment_settings
from grebedyke.maintenance.component import Maintenance
from grebedyke.model.actions import Forward, Probe, WakeAt
from grebedyke.model.endpoint_list import EndpointRow
from grebedyke.model.events import (
    AttemptEnded,
    AttemptStarted,
    EndpointsChanged,
    ProbeAnswered,
    RequestArrived,
)
from grebedyke.model.outcome import Outcome
from grebedyke.model.seeded_random import SeededRandom
from grebedyke.rate_limits.component import RateLimits
from grebedyke.rate_limits.definitions import Limit, LimitKind, wire_id_of
from grebedyke.rate_limits.lease_terms import LeaseTerms
from grebedyke.service.batch_loop import BatchLoop
from grebedyke.service.configuration import check_settings, open_dispatcher
from grebedyke.service.metrics import Metrics
from grebedyke.testbed.simulated_cluster import SimulatedCluster
from grebedyke.testbed.simulated_limits import LimitedRequest
from grebedyke.testbed.simulated_settings import maintenance_settings
from grebedyke.units import TICKS_PER_SECOND
from grebedyke.wire.endpoint_rows import parse_endpoint_rows
from grebedyke.wire.http_messages import request_head
from grebedyke.wire.peer_socket import PeerSocket

# As the program has them without further word: fleet.waitMs, maintenance.leaseMs, shares.leaseMs.
WAIT, LEASE = TICKS_PER_SECOND // 5, 2 * TICKS_PER_SECOND
MARK = framing.fleet_tag("fleet")
# Looking at that clock takes longer than many a call.
LOOK = median(-thread_time() + thread_time() for _ in range(999))
NOT_STATE = ModuleType, type, FunctionType, BuiltinFunctionType, SeededRandom


def row(role, against, size, **quantities):
    return {"role": role, "against": against, "size": size, "quantities": quantities, "unit": unit()}


def unit():
    """Seconds of CPU for the stated piece of work: a thousand asks for 34 limits, framed and read."""
    ask, whole = (
        ["s", 7, 1, 99, 6, 5, [[100 * i, 1_000 * i, i] for i in range(34)], []],
        framing.Reassembler(MARK),
    )
    took = []
    for _ in range(5):
        start = thread_time()
        for number in range(200):
            for frame in framing.pack(MARK, number, ask):
                whole.take(0, frame)
        took.append((thread_time() - start) * 5)
    return min(took)


def weigh(*things, but=()):
    """(objects, bytes) reached from there, without code, and without what is in `but`.

    >>> weigh([1000, 1000.5], but=[1000.5])[0], weigh({"a": [2000, 3000]})[0]
    (2, 5)
    """
    seen, count, size = {id(x) for x in but}, 0, 0
    left = list(things)
    while left:
        thing = left.pop()
        if id(thing) in seen or isinstance(thing, NOT_STATE):
            continue
        seen.add(id(thing))
        count, size = count + 1, size + sys.getsizeof(thing)
        left += gc.get_referents(thing)
        if isinstance(thing, dict):
            left += thing  # texts as keys are not among a table's referents
    return count, size


# The simulated world.


class Timed:
    """A part whose CPU is kept by `spent`; the world's own work is none of it."""

    def __init__(self, part, spent):
        self.part, self.spent = part, spent

    def __getattr__(self, name):
        return getattr(self.part, name)

    def timed(self, call, *args):
        start = thread_time()
        try:
            return call(*args)
        finally:
            self.spent[0] += thread_time() - start - LOOK

    def receive(self, now, sender, message):
        return self.timed(self.part.receive, now, sender, message)

    def next_action(self, now):
        return self.timed(self.part.next_action, now)

    def open_attempts_reported(self, now, names):
        self.timed(self.part.open_attempts_reported, now, names)


def names(count):
    """Of limits, no two too like each other, as a configuration has to have them.

    >>> names(2), len({wire_id_of(name) for name in names(400)})
    (['l0', 'l1'], 400)
    """
    found, i = {}, 0
    while len(found) < count:
        found.setdefault(wire_id_of(f"l{i}"), f"l{i}")
        i += 1
    return [*found.values()]


class Measured(SimulatedCluster):
    """Nodes with agreement, and as told: maintenance, so many limits, `wanted` of them at each node; `full`:
    all are asked for beyond what there is, so that each node asks again as soon as it may.

    Nothing is judged here. What went over each node's link counts with its framing, without UDP's and IP's
    28 bytes a datagram.
    """

    def __init__(
        self, nodes, executors=24, limits=0, wanted=None, full=False, lease=LEASE, maintenance=True, seed=1
    ):
        self.lease, self.many, self.maintenance = lease, limits, maintenance
        self.wanted, self.full = limits if wanted is None else min(wanted, limits), full
        super().__init__(seed, nodes=nodes, voters=5, executors=executors, faults=0)
        self.wholes = [framing.Reassembler(MARK) for _ in range(nodes)]
        self.spent, self.number = [[0.0] for _ in range(nodes)], 0
        self.counts, self.regions, self.by_second = Counter(), None, None
        for host in self.nodes:
            self.schedule(self.random.randrange(1, TICKS_PER_SECOND), host.start)
        if limits:
            self.schedule(1, self.generate_load)

    def components_for(self, host):
        me, n = host.node_id, self.node_count
        # As long as a real process's number, which each ask and ballot has in it.
        process = host.process << 44 | self.random.getrandbits(44)
        agreement = Consensus(
            SeededRandom(f"{self.seed} {host.process}"), "f", me, n, self.voters, process, WAIT
        )
        parts = [agreement]
        if self.maintenance:
            parts.append(
                Maintenance(
                    agreement,
                    "f",
                    me,
                    n,
                    process,
                    maintenance_settings(self.lease, self.drift),
                )
            )
        if self.many:
            limits = [
                Limit(name, LimitKind.RATE, size=100_000 * n, burst=4 * n, floor=100, operation=f"op{i}")
                if i % 2
                else Limit(name, LimitKind.CONCURRENCY, size=4 * n, floor=1, operation=f"op{i}")
                for i, name in enumerate(names(self.many))
            ]
            terms = LeaseTerms(n, self.lease, self.drift, TICKS_PER_SECOND)
            parts.append(RateLimits(agreement, me, process, limits, terms, host.clock()))
        return [Timed(part, self.spent[me]) for part in parts]

    def generate_load(self):
        self.schedule(TICKS_PER_SECOND // 4, self.generate_load)
        for host in self.nodes:
            if not host.is_running:
                continue
            now, limiter = host.clock(), host.components[-1].request_limiter
            meters = [*limiter.meters.values()]
            for k in range(self.wanted):
                i = (host.node_id + k) % self.many
                if self.full or i % 2 or meters[i].in_flight < 2:
                    limiter.try_acquire(now, LimitedRequest(f"op{i}", None))
            host.run_components()

    def record_acceptance(self, host):
        """Nobody judges here."""

    value_learned = None

    def send(self, by, to, message):
        self.number += 1
        start = thread_time()
        try:
            pieces = framing.pack(MARK, self.number, message)
        except ValueError:
            self.event_counts["too long"] += 1
            return
        self.spent[by][0] += thread_time() - start - LOOK
        size = sum(map(len, pieces))
        self.count_up(by, "out", len(pieces), size)
        if self.regions and self.regions(by) != self.regions(to):
            return
        self.schedule(1 + int(self.mean_delay * self.random.expovariate(1)), self.deliver, by, to, pieces)
        self.count_up(to, "in", len(pieces), size)

    def count_up(self, node, way, pieces, size):
        self.counts[node, "bytes " + way] += size
        self.counts[node, "messages " + way] += pieces
        if self.by_second is not None:
            self.by_second[self.now // TICKS_PER_SECOND, node, way] += size

    def deliver(self, by, to, pieces):
        start = thread_time()
        for piece in pieces:
            message = self.wholes[to].take(by, piece)
        self.spent[to][0] += thread_time() - start - LOOK
        if message is not None:
            self.nodes[to].receive(by, message)

    def measure(self, span):
        """A list by node of what it took a second through so long: words, bytes, CPU."""
        counts, spent, start = Counter(self.counts), [s[0] for s in self.spent], self.now
        self.run(self.now + span)
        seconds = (self.now - start) / TICKS_PER_SECOND
        return [
            {
                "bytes out": (self.counts[i, "bytes out"] - counts[i, "bytes out"]) / seconds,
                "bytes in": (self.counts[i, "bytes in"] - counts[i, "bytes in"]) / seconds,
                "messages out": (self.counts[i, "messages out"] - counts[i, "messages out"]) / seconds,
                "messages in": (self.counts[i, "messages in"] - counts[i, "messages in"]) / seconds,
                "CPU": (self.spent[i][0] - spent[i]) / seconds,
            }
            for i in range(self.node_count)
        ]

    def weighed(self, node):
        host = self.nodes[node]
        objects, size = weigh(
            *(part.part for part in host.components), but=(self, host, *self.nodes, *self.spent)
        )
        return {"objects": objects, "state": size}

    def role(self, rows, nodes, busiest=False):
        """Of these nodes the median one by bytes, or the busiest, with its state."""
        nodes = sorted(nodes, key=lambda i: rows[i]["bytes out"] + rows[i]["bytes in"])
        node = nodes[-1] if busiest else nodes[len(nodes) // 2]
        return rows[node] | self.weighed(node)


def quiet(world):
    """Founded, its holder chosen, and granting."""
    world.run(2 * TICKS_PER_SECOND + 4 * world.lease)
    return world


def idle(against, size, nodes, span, **shape):
    """Agreement and maintenance with no plan open: a node, and a voter."""
    world = quiet(Measured(nodes, **shape))
    rows = world.measure(span)
    return [
        row("voter", against, size, **world.role(rows, world.voters)),
        row("node: agreement and maintenance", against, size, **world.role(rows, range(5, nodes))),
    ]


def limited(against, size, nodes, span, limits=34, **shape):
    """Limits wanted at each node: a node, and the holder."""
    world = quiet(Measured(nodes, limits=limits, maintenance=False, executors=0, **shape))
    rows, some = world.measure(span), "all" if world.wanted == world.many else "two"
    more = f", {some} full" if world.full else ""
    (holder,) = (h.node_id for h in world.nodes if h.components[-1].election.is_certain_holder(h.clock()))
    limiters = [h.components[-1].request_limiter for h in world.nodes]
    assert any(m.share for limiter in limiters for m in limiter.meters.values()), "nothing is granted"
    return [
        row("holder of limits" + more, against, size, **world.role(rows, [holder])),
        row("node: limits" + more, against, size, **world.role(rows, range(5, nodes))),
    ]


def planned(against, size, nodes, span, length, executors=None, most=4, **shape):
    """A plan over so many executors from its giving on: who drives it, another voter, a node."""
    world = quiet(Measured(nodes, executors=max(executors or length, length), **shape))
    world.specification.call_answered = lambda *args: None
    world.schedule(1, world.operators.operate, TICKS_PER_SECOND // 10)
    names = [e.name for e in world.executors][:length]
    plan = {"machines": names, "most": most, "workMs": 60_000, "leastShare": 0.0}
    world.operators.call(b"/v1/maintenance/plan", plan)
    rows, rev = world.measure(span), max(h.components[1].rollout.revision for h in world.nodes)
    changes = rev / (span / TICKS_PER_SECOND) * 3600
    told = [
        row(
            "driver of a plan",
            against,
            size,
            **world.role(rows, world.voters, True),
            changes=changes,
            undelivered=world.event_counts["too long"],
        ),
        row("voter in a plan", against, size, **world.role(rows, world.voters)),
        row("node in a plan", against, size, **world.role(rows, range(5, nodes))),
    ]
    return told


def given(against, size, nodes, span, an_hour, length):
    """A configuration as an agreed value of so many bytes, changed so often by node 0: a trial, no part."""
    world = quiet(Measured(nodes, maintenance=False, executors=0))
    value = {f"key {i}": "x" * 40 for i in range(max(length // 50, 1))}
    giver, wait, made = world.nodes[0], 3600 * TICKS_PER_SECOND // an_hour, []

    def change():
        i = len(made) % len(value)
        made.append(i)
        giver.components[0].propose(
            giver.clock(),
            "configuration",
            lambda old: ({**(old or value), f"key {i}": f"{len(made):040}"}, True),
            lambda now, result: None,
        )
        giver.run_components()
        world.schedule(wait, change)

    change()
    world.run(world.now + 2 * TICKS_PER_SECOND)
    rows = world.measure(max(span, 4 * wait))
    per = 3600 / an_hour  # seconds a change: words and bytes a change are what tells them apart
    return [
        row(
            "giver of an agreed configuration",
            against,
            size,
            **world.role(rows, [0]),
            **{"bytes a change": rows[0]["bytes out"] * per, "CPU a change": rows[0]["CPU"] * per},
        ),
        row("voter, agreed configuration", against, size, **world.role(rows, range(1, 5))),
        row("node, agreed configuration", against, size, **world.role(rows, range(5, nodes))),
    ]


def scene(against, size, nodes, what, span=12 * TICKS_PER_SECOND):
    """The dearest second of each role, by the simulated clock, and when all is in force again.

    `what`: "restart of all", or "regions cut", three voters in the one and two in the other, and its end.
    """
    world = quiet(Measured(nodes, limits=34, full=True))
    if what == "restart of all":
        for host in world.nodes:
            host.crash()
            world.schedule(world.random.randrange(1, TICKS_PER_SECOND), host.start)
    else:
        # Voters 0 to 4: three of them, and three of five nodes, on one side.
        world.regions = lambda node: node % 5 in (0, 2, 4)
        world.run(world.now + 3 * world.lease)
        world.regions = None
    start, spent = world.now, [s[0] for s in world.spent]
    world.by_second, whole = Counter(), None
    while world.now < start + span:
        world.run(world.now + TICKS_PER_SECOND // 2)
        if whole is None and all(
            h.is_running
            and h.components[1].view_is_certain(h.clock())
            and h.components[2].share_client.answered_at
            and any(m.active_share(h.clock()) for m in h.components[2].request_limiter.meters.values())
            for h in world.nodes
        ):
            whole = (world.now - start) / TICKS_PER_SECOND
    worst = {}
    for (_, node, way), n in world.by_second.items():
        worst[node, way] = max(worst.get((node, way), 0), n)
    holder = max(range(nodes), key=lambda i: worst.get((i, "out"), 0))
    middle = sorted(range(5, nodes), key=lambda i: worst.get((i, "in"), 0))[(nodes - 5) // 2]

    def told(role, node):
        return row(
            f"{what}: {role}",
            against,
            size,
            **{
                "bytes out": worst.get((node, "out"), 0),
                "bytes in": worst.get((node, "in"), 0),
                "CPU": (world.spent[node][0] - spent[node]) / (span / TICKS_PER_SECOND),
                "whole after": whole or 0,
            },
        )

    return [told("busiest", holder), told("node", middle)]


# A real Dispatcher.


def settings(nodes=760, me=5, operations=2, tenants=34, probes=True):
    ops = [Operation(f"op{i}", ("keyed", "unsafe", "safe")[i % 3]) for i in range(operations)]
    conf = deployment_settings(ops, nodes, me, "a", "abcde")
    for told in conf["operations"]:
        # Urgent work starts within 7 s, and a task runs for minutes.
        told |= {"latencyObjectiveMs": 7_000, "clientTimeoutMs": 600_000}
    conf["limits"]["probes"] = probes
    conf["parties"] = [{"name": f"t{i}", "quotaRps": 5} for i in range(tenants)]
    return conf


def listing(executors, discovery=None):
    """As discovery gives it."""
    discovery = discovery or DiscoveryEmulator()
    for i in range(executors):
        address = f"10.0.{i // 250}.{i % 250}", 9_000
        discovery.add(f"worker-{i:04}", address, "abcde"[i % 5], "full")
    return orjson.dumps(discovery.listing())


def endpoint_rows(entries):
    """Entries of discovery as the dispatcher gets them: without the address."""
    return [EndpointRow(*entry[:1], *entry[2:]) for entry in entries]


class Books:
    """A Dispatcher with as much of a host round it as sees to it that work starts and ends."""

    def __init__(self, executors, operations=2, tenants=34, nodes=760, probes=True):
        conf = check_settings(settings(nodes, operations=operations, tenants=tenants, probes=probes))
        self.d, self.now, self.events, self.count, self.took = (
            open_dispatcher("b", conf),
            TICKS_PER_SECOND,
            [],
            0,
            0.0,
        )
        self.operations, self.tenants, self.run, self.out = operations, tenants, {}, 0
        self.rows = endpoint_rows(parse_endpoint_rows(orjson.loads(listing(executors))))
        self.tell(self.d.handle, EndpointsChanged(True, self.rows))

    def tell(self, call, *args):
        start = thread_time()
        call(self.now, *args)
        actions = []
        while (action := self.d.next_action(self.now)) is not None:
            actions.append(action)
        self.took += thread_time() - start
        for action in actions:
            if isinstance(action, Forward):
                self.forward(action.request_id)
            elif isinstance(action, Probe):
                answer = ProbeAnswered(action.endpoint_id, Outcome.SUCCEEDED, 4, 0)
                self.later(20, self.d.handle, answer)
            elif isinstance(action, WakeAt):
                self.later(max(action.at - self.now, 1), self.nothing)

    def nothing(self, now):
        """A wake that is due."""

    def forward(self, id):
        n, self.out = len(self.d.requests[id].attempts) - 1, self.out + 1
        self.later(30, self.d.handle, AttemptStarted(id, n))
        if self.run[id]:
            self.later(30 + self.run[id], self.end, id, n)

    def end(self, now, id, n):
        self.d.handle(now, AttemptEnded(id, n, Outcome.SUCCEEDED, True))
        self.out -= 1
        del self.run[id]

    def later(self, wait, call, *args):
        self.count += 1
        heappush(self.events, (self.now + wait, self.count, call, args))

    def until(self, when):
        while self.events and self.events[0][0] <= when:
            self.now, _, call, args = heappop(self.events)
            self.tell(call, *args)
        self.now = when

    def take(self, run):
        self.count += 1
        id = f"i{self.count}"
        self.run[id] = run
        op, tenant = f"op{self.count % self.operations}", f"t{self.count % self.tenants}"
        event = RequestArrived(id, op, tenant, self.now + 600 * TICKS_PER_SECOND)
        self.tell(self.d.handle, event)

    def fill(self, forwards):
        """So many run and do not end."""
        for _ in range(4 * forwards):
            if self.out >= forwards:
                break
            self.take(None)
            self.until(self.now + TICKS_PER_SECOND // 200)
        self.until(self.now + TICKS_PER_SECOND)
        return self.out


def placed(
    against,
    size,
    executors=760,
    forwards=100,
    operations=2,
    tenants=34,
    nodes=760,
    probes=True,
    invocations=300,
    span=10,
):
    """Memory and CPU of one node's books, and of an invocation through them."""
    name = "an executor's place in the books" + ("" if probes else ", no probes")
    books = Books(executors, operations, tenants, nodes, probes)
    empty = weigh(books.d)
    out = books.fill(forwards) if forwards else 0
    books.took, least = 0.0, []
    objects, state = weigh(books.d)
    books.until(books.now + span * TICKS_PER_SECOND)
    idle = books.took / span
    for _ in range(5):
        books.took, start = 0.0, books.now
        for _ in range(invocations // 5):
            books.take(TICKS_PER_SECOND // 2)
            books.until(books.now + TICKS_PER_SECOND // 10)
        least.append(
            max(books.took - idle * (books.now - start) / TICKS_PER_SECOND, 1e-9) / (invocations // 5)
        )
    books.took = 0.0
    for i in range(20):
        row_ = books.rows[i * 7 % len(books.rows)]._replace(started_at=10 * i + 1)
        books.tell(books.d.handle, EndpointsChanged(False, [row_]))
    change = books.took / 20
    # Where credit lets fewer run than were to.
    size = out if against == "forwards" else size
    return [
        row(
            name,
            against,
            size,
            objects=objects,
            state=state,
            **{
                "state for forwards": state - empty[1],
                "forwards": out,
                "CPU": idle,
                "CPU an invocation": median(least),
                "CPU a change of the list": change,
            },
        )
    ]


def listed(against, size):
    """A whole list: bytes of the answer, CPU to take it in; a change of one; the call itself."""
    text, took, books = listing(size), [], Books(size)
    for _ in range(5):
        start = thread_time()
        rows = parse_endpoint_rows(orjson.loads(text))
        parsed = thread_time() - start
        books.took = 0.0
        books.tell(books.d.handle, EndpointsChanged(True, endpoint_rows(rows)))
        took.append(parsed + books.took)
    call = request_head(b"GET", b"/discovery/hosts?after=12345&wait_ms=2000", b"10.0.0.1:9000")
    return [
        row(
            "discovery, for each node",
            against,
            size,
            **{
                "bytes of a whole list": len(text),
                "CPU of a whole list": min(took),
                "bytes of a call": len(call),
                "bytes of a change": len(listing(1)),
            },
        )
    ]


# What a datagram costs through the node's loop.


def datagrams(against, size, count=4_000):
    """CPU of one word of so many bytes out of one node's socket and into another's turn, both in here."""

    async def play():
        loop, heard = asyncio.get_running_loop(), []
        turn = BatchLoop(loop, Metrics())
        turn.next_action = turn.carry_out = lambda *args: None
        done = asyncio.Event()

        def take(now, by, data):
            heard.append(by)
            if len(heard) >= wanted[0]:
                done.set()

        addresses = []
        for _ in range(2):
            with socket.socket(type=socket.SOCK_DGRAM) as s:
                s.bind(("127.0.0.1", 0))
                addresses.append(s.getsockname())
        both, wanted = [PeerSocket(loop, turn, take, 1_200) for _ in range(2)], [0]
        for i, peers in enumerate(both):
            peers.set_peers(addresses, i)
        await asyncio.gather(*(peers.open_task for peers in both))
        start = thread_time()
        for _ in range(count // 10):
            # Ten in a turn: a voter of hundreds of nodes finds some whenever it looks.
            wanted[0] = len(heard) + 10
            done.clear()
            for _ in range(10):
                both[0].send(1, bytes(size))
            await asyncio.wait_for(done.wait(), 5)
        took = thread_time() - start
        for peers in both:
            peers.close()
        return took / count

    return [row("a datagram through the loop", against, size, CPU=asyncio.run(play()))]
