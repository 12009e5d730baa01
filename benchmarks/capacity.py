"""What one node costs beside a bare relay: CPU an invocation and added wait, by rate, executors, connections.

    python -m benchmarks.capacity [--seconds 5] [--rounds 3]

The same stand-ins and load for both, in turn. Added wait is the wait from the intended arrival, as jobs take
no time. A row in which the load tool itself ran over 5 ms late says so: its waits are the tool's, its CPU
counts.
"""

import asyncio
import os
import sys
from pathlib import Path
from statistics import median

import click

from grebedyke.load.arrivals import LoadShape, Operation, SizeLaw, draw_arrivals
from grebedyke.load.clients import OpenLoopClients
from grebedyke.load.fleet import FleetShape, LocalFleet

VIEW = Operation("view", "safe", 4.0)
COMMANDS = {"node": (sys.executable, "-m", "grebedyke"), "relay": (sys.executable, "-m", "benchmarks.relay")}


def cpu(pid):
    """Seconds of CPU that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def load_shape(rate, seconds):
    return LoadShape(
        operations=(VIEW,), rate=rate, seconds=seconds, size_law=SizeLaw.CONSTANT, mean_work=1e-6
    )


async def one(command, rate, seconds, executors, connections):
    """(CPU ms an invocation, p50 and p99 of the added wait in ms, tool late in ms, share that succeeded)."""
    fleet = LocalFleet((VIEW,), FleetShape(nodes=1, executors=executors, slots=64), command=COMMANDS[command])
    open_ = []
    try:
        await fleet.start()
        for _ in range(connections):
            open_.append(await asyncio.open_connection(*fleet.nodes["n0"]))
        clients = OpenLoopClients(fleet.nodes, retries=0)
        # The first second warms connections and books.
        await clients.play(draw_arrivals(1, load_shape(rate, 1.0)))
        clients = OpenLoopClients(fleet.nodes, retries=0)
        pid = fleet.processes["n0"].pid
        before = cpu(pid)
        await clients.play(draw_arrivals(2, load_shape(rate, seconds)))
        used = cpu(pid) - before
        counts, waits = clients.ledger.counts(), clients.wait_percentiles()
        return (
            used * 1000 / max(counts["taken"], 1),
            waits["p50"],
            waits["p99"],
            clients.lag * 1000,
            counts["succeeded"] / max(counts["taken"], 1),
        )
    finally:
        for _, writer in open_:
            writer.close()
        await fleet.close()


async def rows(cases, seconds, rounds):
    for name, rate, executors, connections in cases:
        told = {command: [] for command in COMMANDS}
        for _ in range(rounds):
            for command in COMMANDS:
                told[command].append(await one(command, rate, seconds, executors, connections))
        mid = {command: [median(x) for x in zip(*runs)] for command, runs in told.items()}
        node, relay = mid["node"], mid["relay"]
        late, served = max(node[3], relay[3]), min(node[4], relay[4])
        cells = (
            name,
            f"{node[0]:.2f}",
            f"{relay[0]:.2f}",
            f"{node[0] / relay[0]:.1f}",
            f"{node[1]:.1f} / {node[2]:.1f}",
            f"{relay[1]:.1f} / {relay[2]:.1f}",
            f"{served:.3f}" + (f" (tool {late:.0f} ms late)" if late > 5 else ""),
        )
        yield f"| {' | '.join(cells)} |"


@click.command()
@click.option("--seconds", default=5.0, type=click.FloatRange(1, 60))
@click.option("--rounds", default=3, type=click.IntRange(1, 20))
def main(seconds, rounds):
    cases = [(f"{rate} a second", rate, 10, 0) for rate in (50, 100, 200, 400)]
    cases += [(f"{n} executors, 100 a second", 100, n, 0) for n in (100, 1000)]
    cases += [(f"{n} idle connections, 100 a second", 100, 10, n) for n in (100, 250)]

    async def play():
        async for row in rows(cases, seconds, rounds):
            click.echo(row)

    click.echo("| case | CPU ms, node | relay | ratio | added wait p50 / p99 ms, node | relay | succeeded |")
    click.echo("| --- | --- | --- | --- | --- | --- | --- |")
    asyncio.run(play())


if __name__ == "__main__":
    main()
