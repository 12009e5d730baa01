"""Bytes per second sent by a node, and CPU usage, of consensus, maintenance and rate limits.

    python -m benchmarks.peer_traffic [--sizes 5,40,200] [--limits 40]

Runs in simulated time without faults. CPU usage is the wall-clock time spent in the components alone, on this
machine.
"""

import time
from typing import NamedTuple

import click

from grebedyke.rate_limits.definitions import Limit, LimitKind
from grebedyke.testbed.simulated_cluster import SimulatedCluster
from grebedyke.testbed.simulated_limits import LimitedCluster, LimitedRequest
from grebedyke.testbed.simulated_node import SimulatedNode
from grebedyke.units import TICKS_PER_SECOND

MEASURED_TIME = 20 * TICKS_PER_SECOND
START_TIME = 8 * TICKS_PER_SECOND


class TimedHost(SimulatedNode):
    """A node that measures the time of its components, without the work of the simulation itself.

    Attributes:
        cpu_seconds: Wall-clock time spent in the components so far, in seconds.
    """

    def __init__(self, cluster, node):
        super().__init__(cluster, node)
        self.cpu_seconds = 0.0
        self._is_timing = False

    def timed(self, call, *arguments):
        """Calls call(*arguments) and measures its time; nested calls are counted once."""
        if self._is_timing:
            return call(*arguments)
        self._is_timing = True
        start = time.perf_counter()
        try:
            return call(*arguments)
        finally:
            self._is_timing = False
            self.cpu_seconds += time.perf_counter() - start

    def receive(self, sender, message):
        """Passes a message to the components and measures the time."""
        self.timed(super().receive, sender, message)

    def run_components(self):
        """Executes the actions of the components and measures the time."""
        self.timed(super().run_components)


class ManyLimitsCluster(LimitedCluster):
    """A cluster with many limits, half of them of each kind; each node has demand for all of them.

    Attributes:
        limit_count: Number of limits.
    """

    def __init__(self, seed, limit_count, **settings):
        self.limit_count = limit_count
        super().__init__(seed, **settings)

    def scaled_limits(self, fraction):
        """Returns the limits in the nodes' settings; `fraction` is ignored."""
        return [self._limit(index) for index in range(self.limit_count)]

    def _limit(self, index):
        name = f"l{index}"
        operation = f"op{index}"
        if index % 2:
            size = 100_000 * self.node_count
            burst = 4 * self.node_count
            return Limit(name, LimitKind.RATE, size=size, burst=burst, floor=100, operation=operation)
        return Limit(name, LimitKind.CONCURRENCY, size=4 * self.node_count, floor=1, operation=operation)

    def generate_load(self):
        """Offers each node one request per limit, four times a second."""
        self.schedule(TICKS_PER_SECOND // 4, self.generate_load)
        for host in self.nodes:
            for index in range(self.limit_count):
                request = LimitedRequest(f"op{index}", None)
                host.components[-1].request_limiter.try_acquire(host.clock(), request)
            host.run_components()


class Usage(NamedTuple):
    """The nodes' resource usage since the start.

    Attributes:
        sent_bytes: Bytes sent by each node.
        cpu_seconds: Time used by the components of each node.
    """

    sent_bytes: list[int]
    cpu_seconds: list[float]


def usage_so_far(cluster):
    """Returns the `Usage` of a cluster so far."""
    sent_bytes = [cluster.sent_bytes[node] for node in range(cluster.node_count)]
    return Usage(sent_bytes, [host.cpu_seconds for host in cluster.nodes])


def report(cluster, label, start, duration):
    """Returns a line with bytes per second and CPU of the busiest and the median node since `start`."""
    end = usage_so_far(cluster)
    seconds = duration / TICKS_PER_SECOND
    sent = sorted(_rates(start.sent_bytes, end.sent_bytes, seconds))
    cpu = sorted(100 * share for share in _rates(start.cpu_seconds, end.cpu_seconds, seconds))
    middle = cluster.node_count // 2
    return (
        f"{label}: bytes a second {sent[-1]:.0f} at the busiest node, {sent[middle]:.0f} at the median; "
        f"CPU {cpu[-1]:.2f} and {cpu[middle]:.2f}% of a core"
    )


def _rates(before, after, seconds):
    """Returns the usage per second of each node."""
    return [(last - first) / seconds for first, last in zip(before, after, strict=True)]


def start_cluster(cluster):
    """Starts all nodes of a cluster as `TimedHost` objects and runs it until consensus is established."""
    cluster.nodes = [TimedHost(cluster, node) for node in range(cluster.node_count)]
    for host in cluster.nodes:
        cluster.schedule(cluster.random.randrange(1, TICKS_PER_SECOND), host.start)
    cluster.run(START_TIME)
    return cluster


def measure_maintenance(node_count, voters):
    """Measures a cluster without a plan, then during a plan, and prints both."""
    cluster = start_cluster(SimulatedCluster(1, nodes=node_count, voters=voters, executors=24, faults=0))
    start = usage_so_far(cluster)
    cluster.run(cluster.now + MEASURED_TIME)
    click.echo(report(cluster, f"{node_count} nodes, no plan", start, MEASURED_TIME))
    cluster.schedule(1, cluster.operators.poll_and_work, TICKS_PER_SECOND // 10)
    machines = [executor.name for executor in cluster.executors]
    plan = {"machines": machines, "most": 4, "workMs": 60_000, "leastShare": 0.5}
    start = usage_so_far(cluster)
    started_at = cluster.now
    cluster.operators.call(b"/v1/maintenance/plan", plan)
    cluster.run(cluster.now + TICKS_PER_SECOND)
    while not cluster.is_settled():
        cluster.run(cluster.now + TICKS_PER_SECOND // 10)
    duration = cluster.now - started_at
    click.echo(
        report(cluster, f"{node_count} nodes, a plan for 24 executors, four at a time", start, duration)
    )
    click.echo(f"    the plan took {duration / TICKS_PER_SECOND:.1f} s")


def measure_limits(node_count, voters, limit_count):
    """Measures a cluster in which each node has demand for all limits, and prints the result."""
    cluster = start_cluster(ManyLimitsCluster(1, limit_count, nodes=node_count, voters=voters, faults=0))
    cluster.generate_load()
    cluster.run(cluster.now + START_TIME)
    start = usage_so_far(cluster)
    cluster.run(cluster.now + MEASURED_TIME)
    label = f"{node_count} nodes, demand for {limit_count} limits at each node, 1 s leases"
    click.echo(report(cluster, label, start, MEASURED_TIME))


@click.command()
@click.option("--sizes", default="5,40,200", show_default=True)
@click.option("--limits", default=40, show_default=True)
def main(sizes, limits):
    """Measures clusters of each size."""
    for node_count in map(int, sizes.split(",")):
        voters = 3 if node_count < 7 else 5
        measure_maintenance(node_count, voters)
        measure_limits(node_count, voters, limits)


if __name__ == "__main__":
    main()
