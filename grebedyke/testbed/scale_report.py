"""The output of a scale run: its JSON document, its table, and its list of problems."""

import os
import sys

from grebedyke.testbed.scale_capacity import machine_memory
from grebedyke.testbed.scale_figures import compare_kinds, excesses, usage_by_role
from grebedyke.testbed.scale_settings import TEAM_COUNT

# A run is void if the event loop was late by more than a tenth of a node's timeout: in milliseconds per
# second of the timeout.
MAX_LAG_PER_SECOND = 100
UNITS = {"cpu": "% of a core", "bytes": " bytes per second in and out", "memory": " bytes of memory"}
TABLE_HEADER = (
    f"{'role':17} {'':9} {'nodes':>5} {'out/s':>8} {'B out/s':>9} {'in/s':>8} {'B in/s':>9} {'cpu %':>7} "
    f"{'proc %':>7} {'MB':>6} {'RSS MB':>6} {'objects':>8} {'state kB':>8}"
)


def result_document(run, duration):
    """Returns the JSON document of a `ScaleRun` that took `duration` seconds."""
    windows = run.measurement.windows
    last = [*windows.values()][-1]
    checker = run.checker
    return {
        "shape": _shape_document(run),
        "machine": {
            "cores": os.cpu_count(),
            "load": os.getloadavg()[0],
            "memory": machine_memory().total,
            "python": sys.version.split()[0],
        },
        "took_s": duration,
        "times_s": run.agreement_times,
        "windows": {name: _window_document(window) for name, window in windows.items()},
        "hollow_beside_real": [comparison._asdict() for comparison in compare_kinds(last.nodes)],
        "over": [excess._asdict() for excess in excesses(windows)],
        "broken": checker.violations,
        "void": _void_reason(run.settings, windows),
        "passed": sum(checker.admitted.values()),
        "values": len(checker.values),
        "sent": checker.sent,
        "plans": run.operators.plan_count,
    }


def _shape_document(run):
    settings = run.settings
    return {
        "nodes": settings.nodes,
        "real": len(run.layout.real_nodes),
        "seed": settings.seed,
        "scene": settings.scene,
        "seconds": settings.seconds,
        "lead": settings.lead,
        "each": settings.hollow_per_process,
        "lease_s": settings.lease,
        "wait_s": settings.wait,
        "voters": run.layout.voters,
        "teams": TEAM_COUNT,
        "executors": settings.executors,
        "processes": len(run.children),
        "build": settings.build,
        "loss": settings.loss,
        "delay_s": settings.delay,
    }


def _window_document(window):
    return {
        "seconds": window.seconds,
        "lag_ms": window.lag_ms,
        "values": window.values,
        "yardstick_us": window.reference_us,
        "late_beats": window.late_checks,
        "memory": window.memory,
        "dropped": window.dropped,
        "kinds": window.kinds,
        "load": window.load,
        "grown": window.grown,
        "roles": [usage.document() for usage in usage_by_role(window.nodes)],
    }


def _void_reason(settings, windows):
    lag_ms = max(window.lag_ms for window in windows.values())
    if lag_ms > settings.wait * MAX_LAG_PER_SECOND:
        return f"void: the event loop was late by {lag_ms:.0f} ms, more than a tenth of a node's timeout"
    return None


def table_lines(result):
    """Yields the lines of a result document's table."""
    yield TABLE_HEADER
    for name, window in result["windows"].items():
        yield (
            f"-- {name}: {window['seconds']:.0f} s, event loop late by at most {window['lag_ms']:.0f} ms "
            f"and by over 20 ms in {window['late_beats']:.2%} of the checks, "
            f"{window['dropped']} datagrams dropped by full buffers, "
            f"{window['values'] / window['seconds']:.1f} values chosen per second, "
            f"reference message {window['yardstick_us']:.1f} us"
        )
        yield from map(_role_line, window["roles"])
    if result.get("simulated"):
        changes = result["simulated"]["boards_a_second"]
        yield f"-- in simulated time, {changes:.1f} rollout revisions per second"
        yield from map(_role_line, result["simulated"]["roles"])


def _role_line(row):
    """Returns a row with the medians of a role; a dash stands for a missing figure."""

    def column(name, width, digits, scale=1.0):
        """Returns a figure, divided by `scale`."""
        if name not in row:
            return f"{'-':>{width}}"
        return f"{row[name]['median'] / scale:{width}.{digits}f}"

    return " ".join(
        [
            f"{row['role'][:17]:17} {row['kind']:9} {row['nodes']:5}",
            column("messages_out", 8, 1),
            column("bytes_out", 9, 0),
            column("messages_in", 8, 1),
            column("bytes_in", 9, 0),
            column("cpu_parts", 7, 2),
            column("cpu_process", 7, 2),
            column("memory", 6, 1, 1e6),
            column("resident", 6, 1, 1e6),
            column("objects", 8, 0),
            column("state", 8, 1, 1e3),
        ]
    )


def problem_lines(result):
    """Yields a line for each exceeded limit and each violation, and the reason if the run is void."""
    for row in result["over"]:
        yield (
            f"over the limit: {row['role']} ({row['kind']}) {row['window']}: {row['figure']:.4g}"
            f"{UNITS[row['what']]} of {row['limit']:g}, {row['factor']:.1f} times"
        )
    for seconds, clause, detail in result["broken"]:
        yield f"broken: {clause} ({seconds:.1f} s): {detail}"
    if result["void"]:
        yield result["void"]
