"""What limits of the whole fleet lose and let through, beside an equal part each and no coordination.

    python -m benchmarks.limits [--seeds 20] [--beside 4]

Simulated, with the same seeds and faults for all three; then how a share follows demand from one node to
another, and how long a limit is used little after its holder is lost.
"""

from concurrent.futures import ProcessPoolExecutor
from statistics import median

import click

from grebedyke.testbed import simulated_limits
from grebedyke.testbed.simulated_limits import LEASE, LIMITS, LimitedWorld
from grebedyke.units import TICKS_PER_SECOND

FAULTS = {
    "none": {"faults": 0},
    "links cut, stalled, lossy": {"faults": 3, "kinds": ("cut", "stalled", "bad links")},
    "processes killed and stopped": {"faults": 3, "kinds": ("kill", "all killed", "stop")},
    "disks and folders": {
        "faults": 3,
        "kinds": ("older folder", "empty folder", "spoilt file", "failing disk", "slow disk"),
    },
    "all mixed": {},
}
WAYS = "shares", "equal", "none"


def one(args):
    seed, way, faults = args
    found, world = simulated_limits.play(seed, way=way, **FAULTS[faults])
    judge = world.judge
    over = max(-judge.least_tokens, 0), max(judge.peak_in_flight - LIMITS.concurrency, 0)
    return world.used_before_faults, world.used_amid_faults, world.used_in_calm, *over


def steady(seed, weights):
    """A fleet without faults whose demand is as told."""
    world = LimitedWorld(seed, faults=0)
    for host in world.hosts:
        world.later(world.random.randrange(1, TICKS_PER_SECOND), host.start)
    world.demand_weights, world.demand_is_fixed = weights, True
    world.later(1, world.work)
    world.run(15 * TICKS_PER_SECOND)
    return world


def following(seed):
    """Shares a second of two nodes, each quarter of a lease, once demand goes from the one to the other."""
    world, rows = steady(seed, [1, 0, 0, 0, 0]), []
    world.demand_weights = [0, 1, 0, 0, 0]
    for _ in range(16):
        world.run(world.now + LEASE // 4)
        rows.append(
            [
                round(next(iter(h.parts[-1].request_limiter.meters.values())).active_share(h.clock()) / 1000)
                for h in world.hosts[:2]
            ]
        )
    return rows


def lost(seed, how):
    """Seconds until nine tenths of the limit are used again."""
    world = steady(seed, [1] * 5)
    holder = next(h for h in world.hosts if h.parts[-1].election.is_certain_holder(h.clock()))
    if how == "killed":
        holder.end()
        world.later(TICKS_PER_SECOND, holder.start)
    elif how == "stopped for three leases":
        holder.stopped = True
        world.later(3 * LEASE, holder.go_on)
    else:
        for host in world.hosts:
            host.end()
            world.later(world.random.randrange(1, TICKS_PER_SECOND), host.start)
    start = world.now // TICKS_PER_SECOND
    world.run(world.now + 30 * TICKS_PER_SECOND)
    if world.judge.broken:
        raise click.ClickException(f"{how}: {world.judge.broken[0]}")
    used = [world.judge.admitted[start + s] / LIMITS.rate for s in range(1, 29)]
    back = max((s for s, u in enumerate(used, 1) if u < 0.9), default=0)
    return back, min(used)


@click.command()
@click.option("--seeds", default=20, show_default=True)
@click.option("--beside", default=4, show_default=True)
def main(seeds, beside):
    with ProcessPoolExecutor(beside) as pool:
        for faults in FAULTS:
            for way in WAYS:
                rows = [*pool.map(one, [(seed, way, faults) for seed in range(seeds)])]
                moved, faulty, used = (median(row[i] for row in rows) for i in range(3))
                over, more = (max(row[i] for row in rows) for i in (3, 4))
                click.echo(
                    f"{faults}; {way}: used {moved:.2f} moving, {faulty:.2f} amid faults, "
                    f"{used:.2f} still; over by {over:.0f} invocations, {more} more under way"
                )
        click.echo(
            "demand goes from node 0 to node 1; their shares each quarter of a lease: "
            + " ".join(f"{a}/{b}" for a, b in following(1))
        )
        for how in ("killed", "stopped for three leases", "all nodes restarted"):
            rows = [*pool.map(lost, range(seeds), [how] * seeds)]
            times = [row[0] for row in rows]
            click.echo(
                f"holder {how}: under 0.9 of the limit for {median(times):.0f} s (most {max(times)}), "
                f"leases of 1 s; least {min(row[1] for row in rows):.2f}"
            )


if __name__ == "__main__":
    main()
