"""Effect of maintenance of all executors on clients, and its duration compared to the ideal schedule.

    python -m benchmarks.upkeep [--nodes 5] [--executors 24] [--work 3] [--rate 90] [--rounds 3]

Runs real processes in four zones, with one executor of each zone out at a time. The same load runs twice:
without maintenance, and during a plan for all executors. The ideal schedule has no gaps between turns: a turn
takes the time of the work and of the warm-up, and none for consensus, for open attempts or for the operators,
who poll the status ten times a second.
"""

import asyncio
import time
from dataclasses import dataclass
from statistics import median
from typing import NamedTuple

import click

from benchmarks.capacity import process_cpu_seconds
from grebedyke.load.arrivals import LoadShape, Operation, draw_arrivals
from grebedyke.load.clients import OpenLoopClients
from grebedyke.testbed.process_cluster import ProcessCluster
from grebedyke.testbed.process_cluster_settings import WARM_UP_TIME, ProcessClusterSettings

ZONES = ("a", "b", "c", "d")
STATUS_POLL_INTERVAL = 0.1
MAX_PLAN_REQUESTS = 20
MEAN_WORK = 0.4
LOAD_DURATION_FACTOR = 1.4
"""Duration of the load, in multiples of the duration of the ideal schedule."""

OPERATIONS = (
    Operation("hold", "keyed", share=0.4),
    Operation("confirm", "unsafe", share=0.3),
    Operation("view", "safe", share=0.3),
)


@dataclass(frozen=True, slots=True, kw_only=True)
class MaintenanceRunSettings:
    """Settings shared by all runs.

    Attributes:
        nodes: Number of nodes.
        executors: Number of executors.
        work: Seconds of maintenance work at each executor.
        rate: Requests per second.
    """

    nodes: int
    executors: int
    work: float
    rate: float

    def ideal_time(self):
        """Returns the duration of the ideal schedule, in seconds."""
        return -(-self.executors // len(ZONES)) * (self.work + WARM_UP_TIME)


class RunResult(NamedTuple):
    """The result of one run.

    Attributes:
        succeeded: Share of requests that succeeded.
        p99_ms: 99th percentile of the waits, in milliseconds.
        plan_seconds: Duration of the plan; None without a plan.
        cpu: Mean CPU usage of a node, in cores.
    """

    succeeded: float
    p99_ms: float
    plan_seconds: float | None
    cpu: float


async def wait_until_certain(fleet):
    """Waits until all nodes are certain that no plan is open."""
    while True:
        views = await asyncio.gather(*(fleet.status(name) for name in fleet.nodes))
        if all(view and view["sure"] and not view["plan"] for view in views):
            return
        await asyncio.sleep(STATUS_POLL_INTERVAL)


class Operators:
    """Operators that submit a plan for all executors and do maintenance on each executor that is out.

    Attributes:
        fleet: The process cluster.
        node: Name of the node that receives all operator commands.
        work: Seconds of maintenance work at each executor.
        tasks: Maintenance tasks by (executor, number).
    """

    def __init__(self, fleet, work):
        self.fleet = fleet
        self.node = next(iter(fleet.nodes))
        self.work = work
        self.tasks = {}

    async def run_plan(self):
        """Submits the plan and does the maintenance; returns the seconds until all of it is done."""
        start = time.monotonic()
        await self._submit_plan()
        has_plan = True
        while has_plan:
            await asyncio.sleep(STATUS_POLL_INTERVAL)
            view = await self.fleet.status(self.node)
            if not view:
                continue
            for machine in view["machines"]:
                key = (machine["name"], machine["number"])
                if machine["state"] == "free" and key not in self.tasks:
                    self.tasks[key] = asyncio.ensure_future(self._maintain(*key))
            has_plan = bool(view["plan"])
        await asyncio.gather(*self.tasks.values())
        return time.monotonic() - start

    async def _submit_plan(self):
        plan = {
            "machines": [*self.fleet.executors],
            "most": len(ZONES),
            "mostZone": 1,
            "leastShare": 0.5,
            "workMs": 60_000,
        }
        for _ in range(MAX_PLAN_REQUESTS):
            status, text = await self.fleet.call(self.node, "POST", "/v1/maintenance/plan", plan)
            if status not in (0, 503):  # Submitting the same plan again has no effect.
                break
        if status != 200:
            raise click.ClickException(f"the plan was not accepted: status {status}, {text}")

    async def _maintain(self, name, number):
        await asyncio.sleep(self.work)
        await self.fleet.executors[name].restart()
        await self.fleet.discovery.change(name, status="Ready", since_ms=int(time.time() * 1000))
        await self.fleet.call(self.node, "POST", f"/v1/maintenance/back/{name}/{number}")


async def measure_run(seed, settings, with_plan):
    """Runs the load once and returns the `RunResult`."""
    voters = 3 if settings.nodes < 7 else 5
    cluster_settings = ProcessClusterSettings(
        operations=OPERATIONS,
        nodes=settings.nodes,
        executors=settings.executors,
        voters=voters,
        seed=seed,
        zones=ZONES,
    )
    fleet = ProcessCluster(cluster_settings)
    seconds = settings.ideal_time() * LOAD_DURATION_FACTOR
    try:
        await fleet.start()
        await wait_until_certain(fleet)
        clients = OpenLoopClients(fleet.nodes, seed=seed)
        shape = LoadShape(operations=OPERATIONS, rate=settings.rate, seconds=seconds, mean_work=MEAN_WORK)
        arrivals = draw_arrivals(seed, shape)
        cpu_before = _node_cpu_seconds(fleet)
        load = asyncio.ensure_future(clients.play(arrivals))
        plan_seconds = await Operators(fleet, settings.work).run_plan() if with_plan else None
        await load
        used = (_node_cpu_seconds(fleet) - cpu_before) / settings.nodes / seconds
        counts = clients.ledger.counts()
        fleet.report_to(clients.ledger)
        violations = clients.ledger.violations()
        if violations:
            raise click.ClickException(f"rule violated: {violations[0]}")
        p99_ms = clients.wait_percentiles()["p99"]
        return RunResult(counts["succeeded"] / counts["taken"], p99_ms, plan_seconds, used)
    finally:
        await fleet.close()


def _node_cpu_seconds(fleet):
    return sum(process_cpu_seconds(process.pid) for process in fleet.processes.values())


@click.command()
@click.option("--nodes", default=5, show_default=True)
@click.option("--executors", default=24, show_default=True)
@click.option("--work", default=3.0, show_default=True, help="Seconds of maintenance at each executor.")
@click.option("--rate", default=90.0, show_default=True, help="Requests per second, of 0.4 s each.")
@click.option("--rounds", default=3, show_default=True)
@click.option("--seed", "first_seed", default=1, show_default=True)
def main(rounds, first_seed, **options):
    """Prints a line for each round, then the medians."""
    settings = MaintenanceRunSettings(**options)
    ideal_time = settings.ideal_time()
    pairs = []
    for seed in range(first_seed, first_seed + rounds):
        without_plan, during_plan = (
            asyncio.run(measure_run(seed, settings, with_plan)) for with_plan in (False, True)
        )
        pairs.append((without_plan, during_plan))
        click.echo(
            f"seed {seed}: succeeded {without_plan.succeeded:.4f} without maintenance, "
            f"{during_plan.succeeded:.4f} during the plan; "
            f"p99 {without_plan.p99_ms:.0f} and {during_plan.p99_ms:.0f} ms; "
            f"plan {during_plan.plan_seconds:.1f} s, ideal {ideal_time:.1f} s; "
            f"CPU of a core {without_plan.cpu:.3f} and {during_plan.cpu:.3f}"
        )
    success_ratio = median(
        during_plan.succeeded / without_plan.succeeded for without_plan, during_plan in pairs
    )
    plan_time_ratio = median(during_plan.plan_seconds for _, during_plan in pairs) / ideal_time
    click.echo(
        f"success rate {success_ratio:.4f} of that without maintenance, "
        f"plan duration {plan_time_ratio:.2f} of the ideal (medians of {rounds} rounds)"
    )


if __name__ == "__main__":
    main()
