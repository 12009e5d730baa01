"""How soon nodes that were all killed at once serve again, beside load and whatever discovery does.

    python -m benchmarks.restarts [--nodes 30] [--rate 200] [--busy 0] [--rounds 3] [--seed 6101]

Real processes on loopback. Ready is a node that answers 200 on /up; the time counts from the start of its
process. Load goes on all the while, at the dead, the starting and the ready alike. Discovery answers, is
silent (takes connections and says nothing) or down (refuses them). `--busy`: so many processes that do
nothing but count, beside it all. Exit 3 where under nine in ten are ready within 10 s, or one of the ready
ends no invocation.
"""

import asyncio
import multiprocessing
import os
import sys
from concurrent.futures import ProcessPoolExecutor
from typing import NamedTuple

import click

from benchmarks.capacity import cpu
from grebedyke.emulators import http_messages
from grebedyke.load.arrivals import LoadShape, Operation, draw_arrivals
from grebedyke.load.clients import OpenLoopClients
from grebedyke.load.fleet import FleetShape, LocalFleet

VIEW = Operation("view", "safe", 4.0)
DISCOVERY = "answers", "silent", "down"
BOUND, SHARE = 10.0, 0.9
# Seconds of load before the kill (its process starts meanwhile), and all in all.
BEFORE, LOAD = 4.0, 18.0


class Ready(NamedTuple):
    """`times`, `cpu`: seconds of each node until it was ready, in order; inf: not within `wait`.

    `taken`, `succeeded`: invocations handed in since the starts; `serving`: ready nodes at which one did;
    `late`: seconds that the load tool ran behind.
    """

    times: list
    cpu: list
    taken: int
    succeeded: int
    serving: int
    late: float

    def within(self, bound=BOUND):
        return sum(t <= bound for t in self.times)

    def tenth(self):
        """The time within which nine in ten were ready."""
        return self.times[-(-9 * len(self.times) // 10) - 1]


class Killed(LocalFleet):
    """A fleet whose nodes are killed and restarted all at once, under the addresses that they had.

    Each has an address of its own: at a shared one the system gives the dead one's port to a connection.
    """

    async def start_node(self, name):
        self.nodes[name] = (
            "127.%d.%d.%d"
            % (64 + os.getpid() % 128, os.getpid() // 128 % 256, [*self.nodes].index(name) + 1),
            9000,
        )
        await self.launch(name)

    async def restart(self, discovery, wait=BOUND + 5):
        """The clock at the starts; of each node the seconds until it was ready, and its CPU by then."""
        await self.silence(discovery)
        for process in self.processes.values():
            process.kill()
        await asyncio.gather(*(process.wait() for process in self.processes.values()))
        at = asyncio.get_running_loop().time()
        return at, await asyncio.gather(*(self.back(name, wait) for name in self.nodes))

    async def silence(self, discovery):
        self.discovery.is_silent = discovery == "silent"
        if discovery == "down":
            await self.discovery.close()
        elif self.discovery.server is None:
            await self.discovery.listen(*self.discovery.address)

    async def back(self, name, wait):
        clock = asyncio.get_running_loop().time
        start = clock()
        process = await self.spawn(name)
        while process.returncode is None and clock() < start + wait:
            if (await http_messages.call(self.nodes[name], "GET", "/up", timeout=wait)).status == 200:
                return clock() - start, cpu(process.pid)
            await asyncio.sleep(0.1)
        return float("inf"), 0.0


def hand_in(nodes, seed, rate, seconds):
    """In a process of its own, as it would make the starts look slow: (clock, node, succeeded) of each."""

    async def play():
        clients = OpenLoopClients(nodes, seed=seed, retries=0)
        await clients.play(
            draw_arrivals(seed, LoadShape(operations=(VIEW,), rate=rate, seconds=seconds, mean_work=0.02))
        )
        return [
            (e.intended, e.id.partition("-")[0], e.succeeded) for e in clients.ledger.entries.values()
        ], clients.lag

    return asyncio.run(play())


async def scene(
    cases,
    nodes=30,
    rate=200.0,
    busy=0,
    seed=6101,
    command=(sys.executable, "-m", "grebedyke"),
    wait=BOUND + 5,
):
    """One Ready for each of `cases` (what discovery does in the restart), one restart after the other.

    Without load (`rate` 0) nothing is handed in and nothing can be said of it.
    """
    loop = asyncio.get_running_loop()
    fleet = Killed((VIEW,), FleetShape(nodes=nodes, executors=8, slots=32), command=command, seed=seed)
    counting = [
        await asyncio.create_subprocess_exec(sys.executable, "-c", "while True: pass") for _ in range(busy)
    ]
    apart = ProcessPoolExecutor(1, multiprocessing.get_context("spawn"))
    try:
        await fleet.start()
        for case in cases:
            if rate:
                load = loop.run_in_executor(apart, hand_in, dict(fleet.nodes), seed, rate, LOAD)
                await asyncio.sleep(BEFORE)
            at, got = await fleet.restart(case, wait)
            told, late = await load if rate else ([], 0.0)
            since = [(name, good) for when, name, good in told if when >= at]
            yield Ready(
                sorted(t for t, _ in got),
                sorted(c for _, c in got),
                len(since),
                sum(good for _, good in since),
                len({name for name, good in since if good}),
                late,
            )
            await fleet.silence("answers")
    finally:
        apart.shutdown(wait=False, cancel_futures=True)
        for process in counting:
            process.kill()
            await process.wait()
        await fleet.close()


@click.command()
@click.option("--nodes", default=30, type=click.IntRange(1, 60))
@click.option("--rate", default=200.0, type=click.FloatRange(1, 1000))
@click.option("--busy", default=0, type=click.IntRange(0, 64))
@click.option("--rounds", default=3, type=click.IntRange(1, 20))
@click.option("--seed", default=6101)
def main(nodes, rate, busy, rounds, seed):
    async def play():
        short = 0
        for n in range(rounds):
            cases = iter(DISCOVERY)
            async for ready in scene(DISCOVERY, nodes, rate, busy, seed + n):
                ok = ready.within() >= SHARE * nodes and ready.serving == nodes
                short += not ok
                click.echo(
                    "| %s | %d of %d | %.2f | %.2f | %.2f | %.2f | %d of %d | %d | %.2f | %s |"
                    % (
                        next(cases),
                        ready.within(),
                        nodes,
                        ready.times[len(ready.times) // 2],
                        ready.tenth(),
                        ready.times[-1],
                        ready.cpu[len(ready.cpu) // 2],
                        ready.succeeded,
                        ready.taken,
                        ready.serving,
                        ready.late,
                        "holds" if ok else "SHORT",
                    )
                )
        return short

    click.echo(
        f"{nodes} nodes killed and restarted at once, {rate:g} invocations a second, {busy} busy "
        f"processes beside, {os.cpu_count()} cores, load average {os.getloadavg()[0]:.1f}"
    )
    click.echo(
        "| discovery | ready within 10 s | median s | 9th decile s | slowest s | CPU s of a start | "
        "succeeded since | nodes serving | tool late s | |"
    )
    click.echo("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
    sys.exit(3 if asyncio.run(play()) else 0)


if __name__ == "__main__":
    main()
