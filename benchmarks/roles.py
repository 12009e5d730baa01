"""Messages, bytes, CPU and memory of each role of a fleet, measured with the real components.

Consensus, maintenance and rate limits run in simulated time (`measured_cluster`). CPU is the thread's CPU
time in the components and the framing. Sockets and event loop are not included; see
`dispatcher_roles.datagrams` for these.
Each public function except `run_until_ready` is a case and returns rows (`measurements.row`).
"""

from collections import Counter

from benchmarks.measured_cluster import VOTERS, MeasuredCluster
from benchmarks.measurements import row
from grebedyke.units import TICKS_PER_SECOND

SECONDS_PER_HOUR = 3_600
SETTLING_TIME = 2 * TICKS_PER_SECOND
"""Time until a cluster has started, in addition to four leases, in ticks."""
OPERATOR_INTERVAL = TICKS_PER_SECOND // 10
KEY_BYTES = 50
"""Approximate size of a key and its value in the agreed configuration."""
PROPOSER = 0
"""The node that changes the agreed configuration."""


def run_until_ready(cluster):
    """Runs a cluster until it is founded and the lease holder grants shares; returns the cluster."""
    cluster.run(SETTLING_TIME + 4 * cluster.shape.lease)
    return cluster


def idle(parameter, size, nodes, span, **shape):
    """Measures consensus and maintenance without an open plan, at a node and at a voter.

    Args:
        parameter: Name of the varied parameter.
        size: Value of that parameter.
        nodes: Number of nodes.
        span: Duration of the measurement, in ticks.
        **shape: Fields of a `MeasuredShape`.
    """
    cluster = run_until_ready(MeasuredCluster(nodes, **shape))
    rates = cluster.measure(span)
    others = range(VOTERS, nodes)
    return [
        row("voter", parameter, size, **cluster.usage(rates, cluster.voters)),
        row("node: agreement and maintenance", parameter, size, **cluster.usage(rates, others)),
    ]


def limited(parameter, size, nodes, span, limits=34, **shape):
    """Measures limits for which each node has demand, at a node and at the lease holder.

    Args:
        parameter: Name of the varied parameter.
        size: Value of that parameter.
        nodes: Number of nodes.
        span: Duration of the measurement, in ticks.
        limits: Number of limits.
        **shape: Further fields of a `MeasuredShape`.
    """
    cluster = run_until_ready(MeasuredCluster(nodes, limits=limits, maintenance=False, executors=0, **shape))
    rates = cluster.measure(span)
    full = ""
    if cluster.shape.full:
        full = ", all full" if cluster.wanted == cluster.shape.limits else ", two full"
    holder = _lease_holder(cluster)
    assert _is_any_share_granted(cluster), "the lease holder has granted no share"
    others = range(VOTERS, nodes)
    return [
        row("holder of limits" + full, parameter, size, **cluster.usage(rates, [holder])),
        row("node: limits" + full, parameter, size, **cluster.usage(rates, others)),
    ]


def _lease_holder(cluster):
    """Returns the number of the one node that is certain to be the lease holder."""
    (holder,) = (
        host.node_id for host in cluster.nodes if host.components[-1].election.is_certain_holder(host.clock())
    )
    return holder


def _is_any_share_granted(cluster):
    limiters = [host.components[-1].request_limiter for host in cluster.nodes]
    return any(meter.share for limiter in limiters for meter in limiter.meters.values())


def planned(parameter, size, nodes, span, length, executors=None, max_out=4, **shape):
    """Measures a plan from its submission on, at its driver, at another voter and at a node.

    Args:
        parameter: Name of the varied parameter.
        size: Value of that parameter.
        nodes: Number of nodes.
        span: Duration of the measurement, in ticks.
        length: Number of executors in the plan.
        executors: Number of all executors, if larger.
        max_out: Maximum number of executors that are out at once.
        **shape: Further fields of a `MeasuredShape`.
    """
    cluster = run_until_ready(MeasuredCluster(nodes, executors=max(executors or length, length), **shape))
    cluster.specification.call_answered = lambda *arguments: None
    cluster.schedule(1, cluster.operators.poll_and_work, OPERATOR_INTERVAL)
    machines = [executor.name for executor in cluster.executors][:length]
    plan = {"machines": machines, "most": max_out, "workMs": 60_000, "leastShare": 0.0}
    cluster.operators.call(b"/v1/maintenance/plan", plan)
    rates = cluster.measure(span)
    revision = max(host.components[1].rollout.revision for host in cluster.nodes)
    driver = {
        **cluster.usage(rates, cluster.voters, busiest=True),
        "changes": revision / (span / TICKS_PER_SECOND) * SECONDS_PER_HOUR,
        "undelivered": cluster.event_counts["too long"],
    }
    others = range(VOTERS, nodes)
    return [
        row("driver of a plan", parameter, size, **driver),
        row("voter in a plan", parameter, size, **cluster.usage(rates, cluster.voters)),
        row("node in a plan", parameter, size, **cluster.usage(rates, others)),
    ]


def given(parameter, size, nodes, span, changes_per_hour, length):
    """Measures a configuration agreed by consensus that node 0 changes; the program has no such component.

    Args:
        parameter: Name of the varied parameter.
        size: Value of that parameter.
        nodes: Number of nodes.
        span: Minimum duration of the measurement, in ticks.
        changes_per_hour: Number of changes of the value per hour.
        length: Size of the value in bytes.
    """
    cluster = run_until_ready(MeasuredCluster(nodes, maintenance=False, executors=0))
    interval = SECONDS_PER_HOUR * TICKS_PER_SECOND // changes_per_hour
    _change_repeatedly(cluster, {f"key {i}": "x" * 40 for i in range(max(length // KEY_BYTES, 1))}, interval)
    cluster.run(cluster.now + 2 * TICKS_PER_SECOND)
    rates = cluster.measure(max(span, 4 * interval))
    seconds_per_change = SECONDS_PER_HOUR / changes_per_hour
    proposer = {
        **cluster.usage(rates, [PROPOSER]),
        "bytes a change": rates[PROPOSER]["bytes out"] * seconds_per_change,
        "CPU a change": rates[PROPOSER]["CPU"] * seconds_per_change,
    }
    other_voters = range(1, VOTERS)
    others = range(VOTERS, nodes)
    return [
        row("giver of an agreed configuration", parameter, size, **proposer),
        row("voter, agreed configuration", parameter, size, **cluster.usage(rates, other_voters)),
        row("node, agreed configuration", parameter, size, **cluster.usage(rates, others)),
    ]


def _change_repeatedly(cluster, value, interval):
    """Makes the proposer change one key of the agreed configuration now and at each interval."""
    proposer = cluster.nodes[PROPOSER]
    change_count = 0

    def change():
        """Proposes a change of one key and schedules the next change."""
        nonlocal change_count
        number = change_count % len(value)
        change_count += 1
        proposer.components[0].propose(
            proposer.clock(),
            "configuration",
            lambda old: ({**(old or value), f"key {number}": f"{change_count:040}"}, True),
            lambda now, result: None,
        )
        proposer.run_components()
        cluster.schedule(interval, change)

    change()


def scene(parameter, size, nodes, scene_name, span=12 * TICKS_PER_SECOND):
    """Measures the most expensive second of each role after a failure, and the time to recovery.

    Args:
        parameter: Name of the varied parameter.
        size: Value of that parameter.
        nodes: Number of nodes.
        scene_name: "restart of all", or "regions cut", a network partition between three and two voters that
            then ends.
        span: Duration of the measurement, in ticks.
    """
    cluster = run_until_ready(MeasuredCluster(nodes, limits=34, full=True))
    if scene_name == "restart of all":
        _restart_all(cluster)
    else:
        _partition_network(cluster)
    cpu = [meter.seconds for meter in cluster.cpu_meters]
    cluster.bytes_by_second = Counter()
    recovered_after = _run_until_recovered(cluster, span)
    worst = {}
    for (_, node, direction), size_in_second in cluster.bytes_by_second.items():
        worst[node, direction] = max(worst.get((node, direction), 0), size_in_second)
    busiest = max(range(nodes), key=lambda node: worst.get((node, "out"), 0))
    others = sorted(range(VOTERS, nodes), key=lambda node: worst.get((node, "in"), 0))
    median_node = others[(nodes - VOTERS) // 2]
    rows = []
    for role, node in {"busiest": busiest, "node": median_node}.items():
        quantities = {
            "bytes out": worst.get((node, "out"), 0),
            "bytes in": worst.get((node, "in"), 0),
            "CPU": (cluster.cpu_meters[node].seconds - cpu[node]) / (span / TICKS_PER_SECOND),
            "whole after": recovered_after or 0,
        }
        rows.append(row(f"{scene_name}: {role}", parameter, size, **quantities))
    return rows


def _restart_all(cluster):
    """Kills all nodes and restarts each within a second."""
    for host in cluster.nodes:
        host.crash()
        cluster.schedule(cluster.random.randrange(1, TICKS_PER_SECOND), host.start)


def _partition_network(cluster):
    """Partitions the network for three leases; voters 0, 2 and 4 and three of five nodes are in one part."""
    cluster.partition_of = lambda node: node % 5 in (0, 2, 4)
    cluster.run(cluster.now + 3 * cluster.shape.lease)
    cluster.partition_of = None


def _run_until_recovered(cluster, span):
    """Runs for the span; returns the seconds until all nodes had recovered, None if they did not."""
    start = cluster.now
    recovered_after = None
    while cluster.now < start + span:
        cluster.run(cluster.now + TICKS_PER_SECOND // 2)
        if recovered_after is None and all(map(_has_recovered, cluster.nodes)):
            recovered_after = (cluster.now - start) / TICKS_PER_SECOND
    return recovered_after


def _has_recovered(host):
    """Returns whether a node runs, is certain of its view and has an active share of a limit."""
    if not host.is_running:
        return False
    _, maintenance, rate_limits = host.components
    meters = rate_limits.request_limiter.meters.values()
    return (
        maintenance.view_is_certain(host.clock())
        and rate_limits.share_client.answered_at
        and any(meter.active_share(host.clock()) for meter in meters)
    )
