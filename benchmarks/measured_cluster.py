"""A simulated cluster that measures the messages, bytes and CPU time of each node.

Consensus, maintenance and rate limits run in simulated time with the real framing of their messages. CPU is
the thread's CPU time in the components and the framing alone.
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

# Defaults of the settings fleet.waitMs, and maintenance.leaseMs and shares.leaseMs, in ticks.
ROUND_TIMEOUT = TICKS_PER_SECOND // 5
LEASE = 2 * TICKS_PER_SECOND
RUN_ON = TICKS_PER_SECOND
VOTERS = 5
LOAD_INTERVAL = TICKS_PER_SECOND // 4
"""Interval at which each node requests capacity from its limiter, in ticks."""
PROCESS_BITS = 44
WANTED_IN_FLIGHT = 2
"""Requests in flight at a concurrency limit that is wanted but not full."""


@dataclass(frozen=True, slots=True, kw_only=True)
class MeasuredShape:
    """The size and the load of a measured cluster.

    Attributes:
        executors: Number of executors.
        limits: Number of limits.
        wanted: Number of limits that each node has demand for; None for all.
        full: Whether demand exceeds each limit, so that each node requests more as soon as it may.
        lease: Duration of view leases and of leases of limit shares, in ticks.
        maintenance: Whether nodes have the maintenance component.
        seed: Seed of all random draws.
    """

    executors: int = 24
    limits: int = 0
    wanted: int | None = None
    full: bool = False
    lease: int = LEASE
    maintenance: bool = True
    seed: int = 1


class CpuMeter:
    """Sums up the CPU time of one node's calls.

    Attributes:
        seconds: CPU seconds so far.
    """

    def __init__(self):
        self.seconds = 0.0

    def add(self, seconds):
        """Adds the duration of a call, without the time to read the clock."""
        self.seconds += seconds - CLOCK_READ_TIME


class TimedComponent:
    """A wrapper of a component that measures its CPU time, without the work of the simulation itself.

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
        """Passes a message of another node to the component."""
        return self._timed(self.component.receive, now, sender, message)

    def next_action(self, now):
        """Returns the component's next action; None if there is none."""
        return self._timed(self.component.next_action, now)

    def open_attempts_reported(self, now, names):
        """Reports the executors with attempts in flight to the component."""
        self._timed(self.component.open_attempts_reported, now, names)


def limit_names(count):
    """Returns names of limits with different wire identifiers, which a configuration requires.

    >>> limit_names(2), len({wire_id_of(name) for name in limit_names(400)})
    (['l0', 'l1'], 400)
    """
    name_by_wire_id = {}
    number = 0
    while len(name_by_wire_id) < count:
        name = f"l{number}"
        name_by_wire_id.setdefault(wire_id_of(name), name)
        number += 1
    return list(name_by_wire_id.values())


class MeasuredCluster(SimulatedCluster):
    """A cluster without faults and checks that measures traffic and CPU time.

    Bytes include the framing, but not the 28 bytes of UDP and IP headers of each datagram.

    Attributes:
        shape: The `MeasuredShape`.
        wanted: Number of limits that each node has demand for.
        cpu_meters: The `CpuMeter` of each node.
        counts: Datagrams and bytes so far, by node and name, such as "bytes out".
        partition_of: Function that returns the network partition of a node number; messages between
            partitions are lost. None if all nodes can reach each other.
        bytes_by_second: Bytes by (second, node, "in" or "out"); None if not counted.
    """

    def __init__(self, nodes, **shape):
        """Schedules the start of all nodes within a second.

        Args:
            nodes: Number of nodes.
            **shape: Fields of a `MeasuredShape`.
        """
        self.shape = MeasuredShape(**shape)
        limits = self.shape.limits
        self.wanted = limits if self.shape.wanted is None else min(self.shape.wanted, limits)
        super().__init__(
            self.shape.seed, nodes=nodes, voters=VOTERS, executors=self.shape.executors, faults=0
        )
        self.cpu_meters = [CpuMeter() for _ in range(nodes)]
        self.counts = Counter()
        self.partition_of = None
        self.bytes_by_second = None
        self._reassemblers = [framing.Reassembler(FLEET_TAG) for _ in range(nodes)]
        self._message_number = 0
        for host in self.nodes:
            self.schedule(self.random.randrange(1, TICKS_PER_SECOND), host.start)
        if limits:
            self.schedule(1, self.generate_load)

    # Nodes.

    def components_for(self, node):
        """Returns the components of a node's new process, wrapped in `TimedComponent`."""
        node_id = node.node_id
        # As long as a real process number, which is part of each request and each ballot.
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
        return [TimedComponent(component, self.cpu_meters[node_id]) for component in components]

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
        """Requests capacity of the wanted limits at each node, every `LOAD_INTERVAL`."""
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
        """Does nothing, as this cluster is not checked."""

    value_learned = None

    # Network.

    def send(self, sender, receiver, message):
        """Sends a message to another node in datagrams."""
        self._message_number += 1
        start = thread_time()
        try:
            datagrams = framing.pack(FLEET_TAG, self._message_number, message)
        except ValueError:
            self.event_counts["too long"] += 1
            return
        self.cpu_meters[sender].add(thread_time() - start)
        size = sum(map(len, datagrams))
        self._count_traffic(sender, "out", len(datagrams), size)
        if self.partition_of and self.partition_of(sender) != self.partition_of(receiver):
            return
        delay = 1 + int(self.mean_delay * self.random.expovariate(1))
        self.schedule(delay, self.deliver, sender, receiver, datagrams)
        self._count_traffic(receiver, "in", len(datagrams), size)

    def deliver(self, sender, receiver, data):
        """Delivers the datagrams of a message."""
        start = thread_time()
        for datagram in data:
            message = self._reassemblers[receiver].take(sender, datagram)
        self.cpu_meters[receiver].add(thread_time() - start)
        if message is not None:
            self.nodes[receiver].receive(sender, message)

    def _count_traffic(self, node, direction, datagrams, size):
        self.counts[node, "bytes " + direction] += size
        self.counts[node, "messages " + direction] += datagrams
        if self.bytes_by_second is not None:
            self.bytes_by_second[self.now // TICKS_PER_SECOND, node, direction] += size

    # Measurements.

    def measure(self, span):
        """Runs for a number of ticks; returns each node's datagrams, bytes and CPU seconds per second."""
        counts = Counter(self.counts)
        cpu = [meter.seconds for meter in self.cpu_meters]
        start = self.now
        self.run(self.now + span)
        seconds = (self.now - start) / TICKS_PER_SECOND
        names = ("bytes out", "bytes in", "messages out", "messages in")
        rates = []
        for node in range(self.node_count):
            node_rates = {name: (self.counts[node, name] - counts[node, name]) / seconds for name in names}
            node_rates["CPU"] = (self.cpu_meters[node].seconds - cpu[node]) / seconds
            rates.append(node_rates)
        return rates

    def state_of(self, node):
        """Returns the number of objects in the components of a node, and their size in bytes."""
        host = self.nodes[node]
        components = [timed.component for timed in host.components]
        excluded = (self, host, *self.nodes, *self.cpu_meters)
        objects, size = reachable_size(*components, excluded=excluded)
        return {"objects": objects, "state": size}

    def usage(self, rates, nodes, busiest=False):
        """Returns the rates and state size of the median or the busiest node of a role, by bytes.

        Args:
            rates: The rates returned by `measure`.
            nodes: Numbers of the role's nodes.
            busiest: Whether to use the busiest node.
        """
        nodes = sorted(nodes, key=lambda node: rates[node]["bytes out"] + rates[node]["bytes in"])
        node = nodes[-1] if busiest else nodes[len(nodes) // 2]
        return rates[node] | self.state_of(node)
