"""Usage and excess of fleet-wide limits, compared to equal shares and to no coordination.

    python -m benchmarks.limits [--seeds 20] [--beside 4]

Runs in simulated time, with the same seeds and faults for all three ways of sharing. Also measures how fast
shares follow demand from one node to another, and how long a limit is underused after the loss of its lease
holder.
"""

from concurrent.futures import ProcessPoolExecutor
from statistics import median
from typing import NamedTuple

import click

from grebedyke.rate_limits.definitions import MILLIREQUESTS_PER_REQUEST
from grebedyke.testbed import simulated_limits
from grebedyke.testbed.simulated_limits import LEASE, LIMITS, LimitedCluster, Sharing
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
HOLDER_LOSSES = ("killed", "stopped for three leases", "all nodes restarted")


class TrialResult(NamedTuple):
    """The result of a trial.

    Attributes:
        used_before_faults: Used share of the rate limit before the faults, with changing demand.
        used_during_faults: Used share during the faults, with changing demand.
        used_after_faults: Used share after the faults, with fixed demand.
        excess: Maximum number of requests over the rate limit.
        excess_in_flight: Maximum number of requests in flight over the concurrency limit.
    """

    used_before_faults: float
    used_during_faults: float
    used_after_faults: float
    excess: float
    excess_in_flight: int


def run_trial(arguments):
    """Runs a trial with the arguments (seed, way of sharing, faults) and returns its `TrialResult`."""
    seed, sharing, faults = arguments
    _, cluster = simulated_limits.run(seed, sharing=sharing, **FAULTS[faults])
    return TrialResult(
        used_before_faults=cluster.used_before_faults,
        used_during_faults=cluster.used_during_faults,
        used_after_faults=cluster.used_after_faults,
        excess=max(-cluster.checker.min_tokens, 0),
        excess_in_flight=max(cluster.checker.peak_in_flight - LIMITS.concurrency, 0),
    )


def cluster_without_faults(seed, demand_weights):
    """Returns a cluster without faults, after 15 s with demand distributed by these weights."""
    cluster = LimitedCluster(seed, faults=0)
    for host in cluster.nodes:
        cluster.schedule(cluster.random.randrange(1, TICKS_PER_SECOND), host.start)
    cluster.demand_weights = demand_weights
    cluster.demand_is_fixed = True
    cluster.schedule(1, cluster.generate_load)
    cluster.run(15 * TICKS_PER_SECOND)
    return cluster


def shares_after_demand_moves(seed):
    """Returns the shares of nodes 0 and 1 for each quarter of a lease after demand moves from 0 to 1."""
    cluster = cluster_without_faults(seed, [1, 0, 0, 0, 0])
    cluster.demand_weights = [0, 1, 0, 0, 0]
    rows = []
    for _ in range(16):
        cluster.run(cluster.now + LEASE // 4)
        rows.append([active_rate(host) for host in cluster.nodes[:2]])
    return rows


def active_rate(host):
    """Returns a node's active share of the first limit, in requests per second."""
    meter = next(iter(host.components[-1].request_limiter.meters.values()))
    return round(meter.active_share(host.clock()) / MILLIREQUESTS_PER_REQUEST)


def measure_recovery(seed, loss):
    """Returns the seconds after a loss until at least 90% of the limit is used, and the lowest used share."""
    cluster = cluster_without_faults(seed, [1] * 5)
    holder = next(
        host for host in cluster.nodes if host.components[-1].election.is_certain_holder(host.clock())
    )
    if loss == "killed":
        holder.crash()
        cluster.schedule(TICKS_PER_SECOND, holder.start)
    elif loss == "stopped for three leases":
        holder.is_paused = True
        cluster.schedule(3 * LEASE, holder.resume)
    else:
        for host in cluster.nodes:
            host.crash()
            cluster.schedule(cluster.random.randrange(1, TICKS_PER_SECOND), host.start)
    start = cluster.now // TICKS_PER_SECOND
    cluster.run(cluster.now + 30 * TICKS_PER_SECOND)
    if cluster.checker.violations:
        raise click.ClickException(f"{loss}: {tuple(cluster.checker.violations[0])}")
    used = [cluster.checker.admitted[start + second] / LIMITS.rate for second in range(1, 29)]
    recovery_time = max((second for second, fraction in enumerate(used, 1) if fraction < 0.9), default=0)
    return recovery_time, min(used)


def report_faults(pool, seeds, faults, sharing):
    """Prints the median results of one kind of faults and one way of sharing."""
    results = [*pool.map(run_trial, [(seed, sharing, faults) for seed in range(seeds)])]
    used_before_faults = median(result.used_before_faults for result in results)
    used_during_faults = median(result.used_during_faults for result in results)
    used_after_faults = median(result.used_after_faults for result in results)
    excess = max(result.excess for result in results)
    excess_in_flight = max(result.excess_in_flight for result in results)
    click.echo(
        f"{faults}; {sharing}: used {used_before_faults:.2f} before faults, {used_during_faults:.2f} during "
        f"faults, {used_after_faults:.2f} after faults; over by {excess:.0f} requests, {excess_in_flight} "
        "more in flight"
    )


def report_loss(pool, seeds, loss):
    """Prints how long a limit is underused after one kind of loss."""
    rows = [*pool.map(measure_recovery, range(seeds), [loss] * seeds)]
    times = [seconds for seconds, _ in rows]
    click.echo(
        f"holder {loss}: less than 0.9 of the limit used for {median(times):.0f} s (maximum {max(times)}), "
        f"leases of 1 s; minimum {min(lowest for _, lowest in rows):.2f}"
    )


@click.command()
@click.option("--seeds", default=20, show_default=True)
@click.option("--beside", default=4, show_default=True)
def main(seeds, beside):
    """Runs all trials and prints their results."""
    with ProcessPoolExecutor(beside) as pool:
        for faults in FAULTS:
            for sharing in Sharing:
                report_faults(pool, seeds, faults, sharing)
        shares = " ".join(f"{first}/{second}" for first, second in shares_after_demand_moves(1))
        click.echo(f"demand moves from node 0 to node 1; their shares each quarter of a lease: {shares}")
        for loss in HOLDER_LOSSES:
            report_loss(pool, seeds, loss)


if __name__ == "__main__":
    main()
