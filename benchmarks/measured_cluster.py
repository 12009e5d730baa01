"""A simulated cluster in which each node's messages, bytes and CPU are counted.

Consensus, maintenance and rate limits run in simulated time, with the real framing of their messages. CPU is
that of the thread, of the components and the framing alone.
"""

from collections import Counter
from dataclasses import dataclass
from time import thread_time

from benchmarks.measurements import CLOCK_READ_TIME, FLEET_TAG, reachable_size
from grebedyke.consensus import framing
from grebedyke.consensus.consensus import Consensus
from grebedyke.maintenance.component import Maintenance
from grebedyke.model.seeded_random import SeededRandom
from grebedyke.rate_limits.component import RateLimits
from grebedyke.rate_limits.definitions import Limit, LimitKind, wire_id_of
from grebedyke.rate_limits.lease_terms import LeaseTerms
from grebedyke.testbed.simulated_cluster import SimulatedCluster
from grebedyke.testbed.simulated_limits import LimitedRequest
from grebedyke.testbed.simulated_settings import maintenance_settings
from grebedyke.units import TICKS_PER_SECOND

# The program's defaults of fleet.waitMs, and of maintenance.leaseMs and shares.leaseMs, in ticks.
ROUND_TIMEOUT = TICKS_PER_SECOND // 5
LEASE = 2 * TICKS_PER_SECOND
RUN_ON = TICKS_PER_SECOND
VOTERS = 5
LOAD_INTERVAL = TICKS_PER_SECOND // 4
"""Each node asks its limiter for capacity so often, in ticks."""
PROCESS_BITS = 44
WANTED_IN_FLIGHT = 2
"""So many requests are in flight at a concurrency limit that is wanted and not full."""


@dataclass(frozen=True, slots=True, kw_only=True)
class MeasuredShape:
    """What a measured cluster consists of.

    Attributes:
        executors: How many executors there are.
        limits: How many limits there are.
        wanted: How many of them each node wants; None for all.
        full: Whether more is wanted of each limit than there is, so that each node asks again as soon as it
            may.
        lease: Of maintenance's views and of limit shares, in ticks.
        maintenance: Whether the maintenance component is there.
        seed: Of all random draws.
    """

    executors: int = 24
    limits: int = 0
    wanted: int | None = None
    full: bool = False
    lease: int = LEASE
    maintenance: bool = True
    seed: int = 1


class CpuMeter:
    """Adds up the CPU of the calls of one node.

    Attributes:
        seconds: CPU seconds so far.
    """

    def __init__(self):
        self.seconds = 0.0

    def add(self, seconds):
        """Adds the duration of a call, less the reading of the clock."""
        self.seconds += seconds - CLOCK_READ_TIME


class TimedComponent:
    """A component whose CPU is metered; the cluster's own work is not.

    Attributes:
        component: The component.
        meter: The `CpuMeter` of its node.
    """

    def __init__(self, component, meter):
        self.component = component
        self.meter = meter

    def __getattr__(self, name):
        return getattr(self.component, name)

    def _timed(self, call, *arguments):
        start = thread_time()
        try:
            return call(*arguments)
        finally:
            self.meter.add(thread_time() - start)

    def receive(self, now, sender, message):
        """Hands the component a message of another node."""
        return self._timed(self.component.receive, now, sender, message)

    def next_action(self, now):
        """Returns the component's next action, None where there is none."""
        return self._timed(self.component.next_action, now)

    def open_attempts_reported(self, now, names):
        """Reports to the component at which executors attempts are in flight."""
        self._timed(self.component.open_attempts_reported, now, names)


def limit_names(count):
    """Returns names of limits whose wire identifiers differ, as those of a configuration must.

    >>> limit_names(2), len({wire_id_of(name) for name in limit_names(400)})
    (['l0', 'l1'], 400)
    """
    found = {}
    number = 0
    while len(found) < count:
        name = f"l{number}"
        found.setdefault(wire_id_of(name), name)
        number += 1
    return list(found.values())


class MeasuredCluster(SimulatedCluster):
    """A cluster without faults and without checks, whose links and CPU are counted.

    Bytes include the framing, but not the 28 bytes of UDP and IP that each datagram has.

    Attributes:
        shape: The `MeasuredShape`.
        wanted: How many limits each node wants.
        meters: The `CpuMeter` of each node.
        counts: Messages and bytes so far, by (node, "bytes out" and the like).
        side_of: A function of a node's number; messages between nodes for which it differs are lost. None
            while all nodes reach each other.
        bytes_by_second: Bytes by (second, node, "in" or "out"); None while this is not counted.
    """

    def __init__(self, nodes, **shape):
        """Starts all nodes within a second.

        Args:
            nodes: How many there are.
            **shape: Fields of a `MeasuredShape`.
        """
        self.shape = MeasuredShape(**shape)
        limits = self.shape.limits
        self.wanted = limits if self.shape.wanted is None else min(self.shape.wanted, limits)
        super().__init__(
            self.shape.seed, nodes=nodes, voters=VOTERS, executors=self.shape.executors, faults=0
        )
        self.meters = [CpuMeter() for _ in range(nodes)]
        self.counts = Counter()
        self.side_of = None
        self.bytes_by_second = None
        self._reassemblers = [framing.Reassembler(FLEET_TAG) for _ in range(nodes)]
        self._message_number = 0
        for host in self.nodes:
            self.schedule(self.random.randrange(1, TICKS_PER_SECOND), host.start)
        if limits:
            self.schedule(1, self.generate_load)

    # What the nodes consist of.

    def components_for(self, node):
        """Returns the components of a process that starts, with their CPU metered."""
        node_id = node.node_id
        # As long as a real process's number, which each request and each ballot contains.
        process = node.process << PROCESS_BITS | self.random.getrandbits(PROCESS_BITS)
        consensus = Consensus(
            SeededRandom(f"{self.seed} {node.process}"),
            "f",
            node_id,
            self.node_count,
            self.voters,
            process,
            ROUND_TIMEOUT,
        )
        components = [consensus]
        if self.shape.maintenance:
            settings = maintenance_settings(self.shape.lease, self.drift)
            components.append(Maintenance(consensus, "f", node_id, self.node_count, process, settings))
        if self.shape.limits:
            terms = LeaseTerms(self.node_count, self.shape.lease, self.drift, RUN_ON)
            limits = self._limit_definitions()
            components.append(RateLimits(consensus, node_id, process, limits, terms, node.clock()))
        return [TimedComponent(component, self.meters[node_id]) for component in components]

    def _limit_definitions(self):
        limits = []
        for number, name in enumerate(limit_names(self.shape.limits)):
            operation = f"op{number}"
            if number % 2:
                size = 100_000 * self.node_count
                burst = 4 * self.node_count
                limit = Limit(name, LimitKind.RATE, size=size, burst=burst, floor=100, operation=operation)
            else:
                size = 4 * self.node_count
                limit = Limit(name, LimitKind.CONCURRENCY, size=size, floor=1, operation=operation)
            limits.append(limit)
        return limits

    def generate_load(self):
        """Lets each node ask for capacity of the limits that it wants, again and again."""
        self.schedule(LOAD_INTERVAL, self.generate_load)
        for host in self.nodes:
            if host.is_running:
                self._acquire_wanted(host)
                host.run_components()

    def _acquire_wanted(self, host):
        now = host.clock()
        limiter = host.components[-1].request_limiter
        meters = list(limiter.meters.values())
        for offset in range(self.wanted):
            number = (host.node_id + offset) % self.shape.limits
            if self.shape.full or number % 2 or meters[number].in_flight < WANTED_IN_FLIGHT:
                limiter.try_acquire(now, LimitedRequest(f"op{number}", None))

    def record_acceptance(self, node):
        """Does nothing: no round is checked here."""

    value_learned = None

    # The network.

    def send(self, sender, receiver, message):
        """Sends a message from node to node in datagrams."""
        self._message_number += 1
        start = thread_time()
        try:
            datagrams = framing.pack(FLEET_TAG, self._message_number, message)
        except ValueError:
            self.event_counts["too long"] += 1
            return
        self.meters[sender].add(thread_time() - start)
        size = sum(map(len, datagrams))
        self._count(sender, "out", len(datagrams), size)
        if self.side_of and self.side_of(sender) != self.side_of(receiver):
            return
        delay = 1 + int(self.mean_delay * self.random.expovariate(1))
        self.schedule(delay, self.deliver, sender, receiver, datagrams)
        self._count(receiver, "in", len(datagrams), size)

    def deliver(self, sender, receiver, data):
        """Lets the datagrams of a message arrive."""
        start = thread_time()
        for datagram in data:
            message = self._reassemblers[receiver].take(sender, datagram)
        self.meters[receiver].add(thread_time() - start)
        if message is not None:
            self.nodes[receiver].receive(sender, message)

    def _count(self, node, direction, datagrams, size):
        self.counts[node, "bytes " + direction] += size
        self.counts[node, "messages " + direction] += datagrams
        if self.bytes_by_second is not None:
            self.bytes_by_second[self.now // TICKS_PER_SECOND, node, direction] += size

    # What was measured.

    def measure(self, span):
        """Runs for some ticks; returns for each node what it took a second: messages, bytes, CPU."""
        counts = Counter(self.counts)
        cpu = [meter.seconds for meter in self.meters]
        start = self.now
        self.run(self.now + span)
        seconds = (self.now - start) / TICKS_PER_SECOND
        names = ("bytes out", "bytes in", "messages out", "messages in")
        rates = []
        for node in range(self.node_count):
            of_node = {name: (self.counts[node, name] - counts[node, name]) / seconds for name in names}
            of_node["CPU"] = (self.meters[node].seconds - cpu[node]) / seconds
            rates.append(of_node)
        return rates

    def state_of(self, node):
        """Returns how many objects the components of a node consist of, and their size in bytes."""
        host = self.nodes[node]
        components = [timed.component for timed in host.components]
        excluded = (self, host, *self.nodes, *self.meters)
        objects, size = reachable_size(*components, excluded=excluded)
        return {"objects": objects, "state": size}

    def usage(self, rates, nodes, busiest=False):
        """Returns what one node of a role took, with its state: the median one by bytes, or the busiest.

        Args:
            rates: What `measure` returned.
            nodes: The nodes of the role.
            busiest: Whether to take the busiest.
        """
        nodes = sorted(nodes, key=lambda node: rates[node]["bytes out"] + rates[node]["bytes in"])
        node = nodes[-1] if busiest else nodes[len(nodes) // 2]
        return rates[node] | self.state_of(node)
