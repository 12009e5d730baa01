"""CPU per request and added latency of one node, compared to a bare relay.

    python -m benchmarks.capacity [--seconds 5] [--rounds 3]

The request rate and the numbers of executors and of connections are varied. Node and relay are measured in
turn with the same emulators and load. Jobs take almost no time, so the added wait is the time from the
intended arrival to the answer. A row is marked if the load generator itself was more than 5 ms late: the
waits in it are then those of the load generator, but the CPU figures are valid.
"""

import asyncio
import os
import sys
from pathlib import Path
from statistics import median
from typing import NamedTuple

import click

from grebedyke.load.arrivals import LoadShape, Operation, SizeLaw, draw_arrivals
from grebedyke.load.clients import OpenLoopClients
from grebedyke.load.fleet import FleetShape, LocalFleet

VIEW = Operation("view", "safe", 4.0)
NEGLIGIBLE_WORK = 1e-6
COMMANDS = {"node": (sys.executable, "-m", "grebedyke"), "relay": (sys.executable, "-m", "benchmarks.relay")}
WARM_UP_SECONDS = 1.0
LAG_WARNING_MS = 5


class Case(NamedTuple):
    """The parameters of a measurement.

    Attributes:
        name: Title of the table row.
        rate: Requests per second.
        executors: Number of executors.
        connections: Number of idle client connections.
    """

    name: str
    rate: float
    executors: int = 10
    connections: int = 0


class Cost(NamedTuple):
    """The result of one run.

    Attributes:
        cpu_ms: CPU time per request, in milliseconds.
        p50_ms: Median of the added wait, in milliseconds.
        p99_ms: 99th percentile of the added wait, in milliseconds.
        lag_ms: Lag of the load generator, in milliseconds.
        succeeded: Share of requests that succeeded.
    """

    cpu_ms: float
    p50_ms: float
    p99_ms: float
    lag_ms: float
    succeeded: float


def process_cpu_seconds(pid):
    """Returns the CPU time used by a process so far, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def draw_load(seed, rate, seconds):
    """Returns arrivals of requests whose jobs take almost no time."""
    shape = LoadShape(
        operations=(VIEW,), rate=rate, seconds=seconds, size_law=SizeLaw.CONSTANT, mean_work=NEGLIGIBLE_WORK
    )
    return draw_arrivals(seed, shape)


async def measure(command, case, seconds):
    """Returns the `Cost` of one run of a node or a relay."""
    shape = FleetShape(nodes=1, executors=case.executors, slots=64)
    fleet = LocalFleet((VIEW,), shape, command=COMMANDS[command])
    writers = []
    try:
        await fleet.start()
        for _ in range(case.connections):
            _, writer = await asyncio.open_connection(*fleet.nodes["n0"])
            writers.append(writer)
        # Load before the measurement opens the connections and fills the tables.
        await OpenLoopClients(fleet.nodes, retries=0).play(draw_load(1, case.rate, WARM_UP_SECONDS))
        clients = OpenLoopClients(fleet.nodes, retries=0)
        pid = fleet.processes["n0"].pid
        cpu_before = process_cpu_seconds(pid)
        await clients.play(draw_load(2, case.rate, seconds))
        return _cost(clients, process_cpu_seconds(pid) - cpu_before)
    finally:
        for writer in writers:
            writer.close()
        await fleet.close()


def _cost(clients, cpu_seconds):
    counts = clients.ledger.counts()
    waits = clients.wait_percentiles()
    taken = max(counts["taken"], 1)
    return Cost(
        cpu_ms=cpu_seconds * 1000 / taken,
        p50_ms=waits["p50"],
        p99_ms=waits["p99"],
        lag_ms=clients.lag * 1000,
        succeeded=counts["succeeded"] / taken,
    )


async def table_rows(cases, seconds, rounds):
    """Yields a table row for each case: the medians of its rounds, with node and relay measured in turn."""
    for case in cases:
        costs = {command: [] for command in COMMANDS}
        for _ in range(rounds):
            for command in COMMANDS:
                costs[command].append(await measure(command, case, seconds))
        medians = {
            command: Cost(*(median(values) for values in zip(*runs, strict=True)))
            for command, runs in costs.items()
        }
        yield _row(case.name, medians["node"], medians["relay"])


def _row(name, node, relay):
    lag = max(node.lag_ms, relay.lag_ms)
    succeeded = f"{min(node.succeeded, relay.succeeded):.3f}"
    if lag > LAG_WARNING_MS:
        succeeded += f" (load generator {lag:.0f} ms late)"
    cells = (
        name,
        f"{node.cpu_ms:.2f}",
        f"{relay.cpu_ms:.2f}",
        f"{node.cpu_ms / relay.cpu_ms:.1f}",
        f"{node.p50_ms:.1f} / {node.p99_ms:.1f}",
        f"{relay.p50_ms:.1f} / {relay.p99_ms:.1f}",
        succeeded,
    )
    return f"| {' | '.join(cells)} |"


@click.command()
@click.option("--seconds", default=5.0, type=click.FloatRange(1, 60))
@click.option("--rounds", default=3, type=click.IntRange(1, 20))
def main(seconds, rounds):
    """Measures a node and a bare relay and prints a table."""
    cases = [Case(f"{rate} a second", rate) for rate in (50, 100, 200, 400)]
    cases += [Case(f"{n} executors, 100 a second", 100, executors=n) for n in (100, 1000)]
    cases += [Case(f"{n} idle connections, 100 a second", 100, connections=n) for n in (100, 250)]

    async def print_rows():
        """Prints each row as soon as it is measured."""
        async for row in table_rows(cases, seconds, rounds):
            click.echo(row)

    click.echo("| case | CPU ms, node | relay | ratio | added wait p50 / p99 ms, node | relay | succeeded |")
    click.echo("| --- | --- | --- | --- | --- | --- | --- |")
    asyncio.run(print_rows())


if __name__ == "__main__":
    main()
