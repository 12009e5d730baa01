"""What work at all executors costs the clients, and how long it takes beside the ideal schedule.

    python -m benchmarks.upkeep [--nodes 5] [--executors 24] [--work 3] [--rate 90] [--rounds 3]

Real processes, four zones, one executor of each out at a time. The same load twice: with no work going on,
and through a plan over all executors. The ideal schedule has no moment between two turns: for each turn the
work and the warming, nothing for agreement, open forwards, or the operators, who look ten times a second.
"""

import asyncio
import time
from statistics import median

import click

from benchmarks.capacity import cpu
from grebedyke.load import shape
from grebedyke.load.clients import Clients
from grebedyke.testbed.process_cluster import ProcessCluster
from grebedyke.testbed.process_cluster_settings import WARM_UP_TIME, ProcessClusterSettings

ZONES = "a", "b", "c", "d"
LOOK = 0.1
OPERATIONS = (
    shape.Operation("hold", "keyed", share=0.4),
    shape.Operation("confirm", "unsafe", share=0.3),
    shape.Operation("view", "safe", share=0.3),
)


async def settled(cluster):
    while not all(
        told and told["sure"] and not told["plan"]
        for told in await asyncio.gather(*(cluster.status(name) for name in cluster.nodes))
    ):
        await asyncio.sleep(LOOK)


async def operators(cluster, work):
    """Gives the plan, works at whatever is told free, and gives how long all of it took."""
    machines = [*cluster.executors]
    plan = {"machines": machines, "most": len(ZONES), "mostZone": 1, "leastShare": 0.5, "workMs": 60_000}
    start, busy, done, node = time.monotonic(), {}, False, next(iter(cluster.nodes))
    for _ in range(20):
        status, text = await cluster.call(node, "POST", "/v1/maintenance/plan", plan)
        if status not in (0, 503):  # asking again is harmless
            break
    if status != 200:
        raise click.ClickException(f"the plan: {status} {text}")

    async def work_at(name, number):
        await asyncio.sleep(work)
        await cluster.executors[name].restart()
        await cluster.discovery.change(name, status="Ready", since_ms=int(time.time() * 1000))
        await cluster.call(node, "POST", f"/v1/maintenance/back/{name}/{number}")

    while not done:
        await asyncio.sleep(LOOK)
        if not (told := await cluster.status(node)):
            continue
        for row in told["machines"]:
            if row["state"] == "free" and (key := (row["name"], row["number"])) not in busy:
                busy[key] = asyncio.ensure_future(work_at(*key))
        done = not told["plan"]
    await asyncio.gather(*busy.values())
    return time.monotonic() - start


async def one(seed, nodes, executors, work, rate, with_plan):
    """(share succeeded, p99 of the waits in ms, seconds that the plan took or None, CPU of a core a node)."""
    ideal = -(-executors // len(ZONES)) * (work + WARM_UP_TIME)
    settings = ProcessClusterSettings(
        operations=OPERATIONS,
        nodes=nodes,
        executors=executors,
        voters=3 if nodes < 7 else 5,
        seed=seed,
        zones=ZONES,
    )
    cluster = ProcessCluster(settings)
    try:
        await cluster.start()
        await settled(cluster)
        clients = Clients(cluster.nodes, seed=seed)
        plan = shape.arrivals(seed, "poisson", rate, ideal * 1.4, "exponential", 0.4, OPERATIONS)
        before = [cpu(process.pid) for process in cluster.processes.values()]
        load = asyncio.ensure_future(clients.play(plan))
        took = await operators(cluster, work) if with_plan else None
        await load
        used = sum(cpu(p.pid) - b for p, b in zip(cluster.processes.values(), before)) / nodes / (ideal * 1.4)
        counts = clients.ledger.counts()
        cluster.fill(clients.ledger)
        if broken := clients.ledger.judge():
            raise click.ClickException(f"a rule is broken: {broken[0]}")
        return counts["succeeded"] / counts["taken"], clients.percentiles()["p99"], took, used
    finally:
        await cluster.close()


@click.command()
@click.option("--nodes", default=5, show_default=True)
@click.option("--executors", default=24, show_default=True)
@click.option("--work", default=3.0, show_default=True, help="Seconds at each executor.")
@click.option("--rate", default=90.0, show_default=True, help="Invocations a second, of 0.4 s each.")
@click.option("--rounds", default=3, show_default=True)
@click.option("--seed", "first", default=1, show_default=True)
def main(nodes, executors, work, rate, rounds, first):
    ideal, rows = -(-executors // len(ZONES)) * (work + WARM_UP_TIME), []
    for seed in range(first, first + rounds):
        rows.append([asyncio.run(one(seed, nodes, executors, work, rate, plan)) for plan in (False, True)])
        calm, busy = rows[-1]
        click.echo(
            f"seed {seed}: succeeded {calm[0]:.4f} with no work, {busy[0]:.4f} through the plan; "
            f"p99 {calm[1]:.0f} and {busy[1]:.0f} ms; plan {busy[2]:.1f} s, ideal {ideal:.1f} s; "
            f"CPU of a core {calm[3]:.3f} and {busy[3]:.3f}"
        )
    click.echo(
        f"service {median(b[0] / c[0] for c, b in rows):.4f} of the same load with no work, "
        f"time {median(b[2] for _, b in rows) / ideal:.2f} of the ideal (medians of {rounds})"
    )


if __name__ == "__main__":
    main()
