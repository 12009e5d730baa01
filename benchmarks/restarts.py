"""Time until nodes that were all killed at once serve again, under load and with failures of discovery.

    python -m benchmarks.restarts [--nodes 30] [--rate 200] [--busy 0] [--rounds 3] [--seed 6101]

Runs real processes on loopback. A node is ready when it answers 200 on /up; the time is measured from the
start of its process. Load is sent throughout to all nodes, also to dead and starting ones. Discovery answers,
is silent (accepts connections without responding) or is down (refuses connections). `--busy` starts this many
additional processes that only use CPU. The exit status is 3 if less than nine tenths of the nodes are ready
within 10 s or a ready node completes no request.
"""

import asyncio
import multiprocessing
import os
import sys
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from typing import NamedTuple

import click

from benchmarks.capacity import process_cpu_seconds
from grebedyke.emulators import http_messages
from grebedyke.load.arrivals import LoadShape, Operation, draw_arrivals
from grebedyke.load.clients import OpenLoopClients
from grebedyke.load.fleet import NODE_COMMAND, FleetShape, LocalFleet

VIEW = Operation("view", "safe", 4.0)
MEAN_WORK = 0.02
DISCOVERY_STATES = ("answers", "silent", "down")

READY_TIME_LIMIT = 10.0
"""Seconds within which `READY_SHARE` of the nodes must be ready."""
READY_SHARE = 0.9
START_TIMEOUT = READY_TIME_LIMIT + 5
READY_POLL_INTERVAL = 0.1

LOAD_BEFORE_KILL = 4.0
"""Seconds, in which the load process also starts."""
LOAD_SECONDS = 18.0

NODE_PORT = 9000


class NodeRestart(NamedTuple):
    """The restart of one node.

    Attributes:
        seconds: Time until the node was ready; infinite after the timeout.
        cpu: CPU time used by then, in seconds.
    """

    seconds: float
    cpu: float


class SentRequest(NamedTuple):
    """A request sent to a node.

    Attributes:
        time: Intended time of sending, in seconds of the event loop's clock.
        node: The node's name.
        succeeded: Whether the request succeeded.
    """

    time: float
    node: str
    succeeded: bool


class RestartResult(NamedTuple):
    """The result of one restart of all nodes.

    Attributes:
        times: Sorted seconds of all nodes until they were ready; infinite after the timeout.
        cpu: Sorted CPU seconds of all nodes until they were ready.
        sent: Number of requests sent since the restart.
        succeeded: Number of these that succeeded.
        serving: Number of nodes with a request that succeeded since the restart.
        lag: Lag of the load generator, in seconds.
    """

    times: list[float]
    cpu: list[float]
    sent: int
    succeeded: int
    serving: int
    lag: float

    def ready_within(self, limit=READY_TIME_LIMIT):
        """Returns the number of nodes that were ready within a time."""
        return sum(time <= limit for time in self.times)

    def ninth_decile(self):
        """Returns the time within which nine tenths of the nodes were ready."""
        return self.times[-(-9 * len(self.times) // 10) - 1]

    def meets_target(self, nodes):
        """Returns whether enough of the nodes were ready in time and all of them serve."""
        return self.ready_within() >= READY_SHARE * nodes and self.serving == nodes


class RestartedFleet(LocalFleet):
    """A fleet whose nodes are killed and restarted all at once at the same addresses.

    Each node has its own IP address. At a shared one, the kernel may assign the port of a dead node to an
    outgoing connection.
    """

    async def start_node(self, name):
        """Starts a node at its own address."""
        pid = os.getpid()
        number = [*self.nodes].index(name) + 1
        self.nodes[name] = (f"127.{64 + pid % 128}.{pid // 128 % 256}.{number}", NODE_PORT)
        await self.launch(name)

    async def restart(self, discovery_state, timeout):
        """Kills all nodes and starts them again.

        Returns:
            The event loop's time of the start, and the `NodeRestart` of each node.
        """
        await self.set_discovery(discovery_state)
        for process in self.processes.values():
            process.kill()
        await asyncio.gather(*(process.wait() for process in self.processes.values()))
        start_time = asyncio.get_running_loop().time()
        restarts = await asyncio.gather(*(self._restart_node(name, timeout) for name in self.nodes))
        return start_time, restarts

    async def set_discovery(self, state):
        """Sets the state of discovery, one of `DISCOVERY_STATES`."""
        self.discovery.is_silent = state == "silent"
        if state == "down":
            await self.discovery.close()
        elif self.discovery.server is None:
            await self.discovery.listen(*self.discovery.address)

    async def _restart_node(self, name, timeout):
        clock = asyncio.get_running_loop().time
        start = clock()
        process = await self.spawn(name)
        while process.returncode is None and clock() < start + timeout:
            response = await http_messages.call(self.nodes[name], "GET", "/up", timeout=timeout)
            if response.status == 200:
                return NodeRestart(clock() - start, process_cpu_seconds(process.pid))
            await asyncio.sleep(READY_POLL_INTERVAL)
        return NodeRestart(float("inf"), 0.0)


def send_load(nodes, seed, rate):
    """Sends load to the nodes.

    Runs in a separate process: in the process that polls the nodes, the load would make their starts look
    slow.

    Returns:
        Each `SentRequest`, and the lag of the load generator in seconds.
    """

    async def send():
        """Sends the load in this process's event loop."""
        clients = OpenLoopClients(nodes, seed=seed, retries=0)
        shape = LoadShape(operations=(VIEW,), rate=rate, seconds=LOAD_SECONDS, mean_work=MEAN_WORK)
        await clients.play(draw_arrivals(seed, shape))
        sent = [
            SentRequest(entry.intended, entry.id.partition("-")[0], entry.succeeded)
            for entry in clients.ledger.entries.values()
        ]
        return sent, clients.lag

    return asyncio.run(send())


@dataclass(frozen=True, slots=True, kw_only=True)
class SceneSettings:
    """Settings shared by all restarts of a scene.

    Attributes:
        nodes: Number of nodes.
        rate: Requests per second; with 0 no load is sent and the results have no requests.
        busy: Number of additional processes that only use CPU.
        seed: Seed of the nodes and the load.
        command: Command that starts a node.
        timeout: Seconds after which a node counts as never ready.
    """

    nodes: int = 30
    rate: float = 200.0
    busy: int = 0
    seed: int = 6101
    command: tuple[str, ...] = NODE_COMMAND
    timeout: float = START_TIMEOUT


async def scene(discovery_states, settings):
    """Restarts all nodes once in each state of discovery and yields each `RestartResult`."""
    fleet = RestartedFleet(
        (VIEW,),
        FleetShape(nodes=settings.nodes, executors=8, slots=32),
        command=settings.command,
        seed=settings.seed,
    )
    busy_processes = [
        await asyncio.create_subprocess_exec(sys.executable, "-c", "while True: pass")
        for _ in range(settings.busy)
    ]
    load_process = ProcessPoolExecutor(1, multiprocessing.get_context("spawn"))
    try:
        await fleet.start()
        for state in discovery_states:
            yield await _restart(fleet, state, settings, load_process)
            await fleet.set_discovery("answers")
    finally:
        load_process.shutdown(wait=False, cancel_futures=True)
        for process in busy_processes:
            process.kill()
            await process.wait()
        await fleet.close()


async def _restart(fleet, discovery_state, settings, load_process):
    """Restarts all nodes once, under load if there is any, and returns the `RestartResult`."""
    load = None
    if settings.rate:
        loop = asyncio.get_running_loop()
        load = loop.run_in_executor(load_process, send_load, dict(fleet.nodes), settings.seed, settings.rate)
        await asyncio.sleep(LOAD_BEFORE_KILL)
    start_time, restarts = await fleet.restart(discovery_state, settings.timeout)
    sent, lag = await load if load else ([], 0.0)
    sent_since = [request for request in sent if request.time >= start_time]
    return RestartResult(
        times=sorted(restart.seconds for restart in restarts),
        cpu=sorted(restart.cpu for restart in restarts),
        sent=len(sent_since),
        succeeded=sum(request.succeeded for request in sent_since),
        serving=len({request.node for request in sent_since if request.succeeded}),
        lag=lag,
    )


def _row(state, result, nodes):
    return "| %s | %d of %d | %.2f | %.2f | %.2f | %.2f | %d of %d | %d | %.2f | %s |" % (
        state,
        result.ready_within(),
        nodes,
        result.times[len(result.times) // 2],
        result.ninth_decile(),
        result.times[-1],
        result.cpu[len(result.cpu) // 2],
        result.succeeded,
        result.sent,
        result.serving,
        result.lag,
        "holds" if result.meets_target(nodes) else "SHORT",
    )


@click.command()
@click.option("--nodes", default=30, type=click.IntRange(1, 60))
@click.option("--rate", default=200.0, type=click.FloatRange(1, 1000))
@click.option("--busy", default=0, type=click.IntRange(0, 64))
@click.option("--rounds", default=3, type=click.IntRange(1, 20))
@click.option("--seed", default=6101)
def main(nodes, rate, busy, rounds, seed):
    """Prints a table row for each restart."""

    async def print_rows():
        """Prints each row as soon as it is measured; returns how many restarts missed the target."""
        failures = 0
        for number in range(rounds):
            settings = SceneSettings(nodes=nodes, rate=rate, busy=busy, seed=seed + number)
            states = iter(DISCOVERY_STATES)
            async for result in scene(DISCOVERY_STATES, settings):
                failures += not result.meets_target(nodes)
                click.echo(_row(next(states), result, nodes))
        return failures

    click.echo(
        f"{nodes} nodes killed and restarted at once, {rate:g} requests a second, {busy} additional busy "
        f"processes, {os.cpu_count()} cores, load average {os.getloadavg()[0]:.1f}"
    )
    click.echo(
        "| discovery | ready within 10 s | median s | 9th decile s | slowest s | CPU s of a start | "
        "succeeded since | nodes serving | tool late s | |"
    )
    click.echo("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
    sys.exit(3 if asyncio.run(print_rows()) else 0)


if __name__ == "__main__":
    main()
