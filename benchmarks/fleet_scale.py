"""The tables of `grebedyke scale` runs: medians of each role's nodes, hollow, real and simulated."""

import json
from pathlib import Path
from typing import NamedTuple

from benchmarks.fleet_tables import EXPECTED, Growth, figure, growth_text
from benchmarks.slopes import fit, read_off

KINDS = ("hollow", "real", "simulated")


class Count(NamedTuple):
    """A column.

    Attributes:
        key: Its name in the runs' files.
        unit: What a value is divided by.
        label: Its name in the table.
        form: How a value is formatted.
    """

    key: str
    unit: float
    label: str
    form: str


COUNTS = (
    Count("messages_out", 1, "datagrams out", ",.0f"),
    Count("bytes_out", 1, "bytes out", ",.0f"),
    Count("bytes_in", 1, "bytes in", ",.0f"),
    Count("cpu_parts", 100, "CPU", ".2%"),
    Count("cpu_process", 100, "CPU of the process", ".2%"),
    Count("resident", 1e6, "MB", ".1f"),
)
GROWING_COUNTS = COUNTS[:5]
LEAST_SIZES = 4
LEAST_GROWTH = 2
"""Largest over smallest value from which a slope is shown."""


def scale_tables(folder):
    """Yields the lines of both tables, out of the JSON files in a folder."""
    yield f"Each cell: {' / '.join(KINDS)}."
    yield ""
    yield (
        "| run | role | datagrams out | bytes a second out | in | CPU of the parts | of the process "
        "| resident, MB |"
    )
    yield "| --- | --- | --- | --- | --- | --- | --- | --- |"
    hollow_values = {}
    runs = (json.loads(path.read_text()) for path in Path(folder).glob("*.json"))
    for run in sorted(runs, key=lambda run: (run["shape"]["scene"], run["shape"]["nodes"])):
        for name in run["windows"]:
            yield from _window_rows(run, name)
            if not run["void"]:
                _add_hollow_values(hollow_values, run, name)
    yield ""
    yield "Slopes of the hollow ones over the number of nodes, where four sizes or more ran:"
    yield ""
    yield "| window | role | quantity | least to most; slope (left over) | at n |"
    yield "| --- | --- | --- | --- | --- |"
    yield from _slope_rows(hollow_values)


def _rows_by_role(run, window_name):
    """Returns the rows of a window by role and kind; with a run's only window go the simulated ones."""
    simulated = (run.get("simulated") or {}).get("roles", [])
    rows = {}
    for row in run["windows"][window_name]["roles"] + (simulated if len(run["windows"]) == 1 else []):
        rows.setdefault(row["role"], {})[row["kind"]] = row
    return rows


def _window_rows(run, window_name):
    shape = run["shape"]
    head = f"{shape['nodes']} nodes, {window_name}, leases of {shape['lease_s']:g} s"
    if run["void"]:
        head += ", void: the loop was late"
    for role, by_kind in _rows_by_role(run, window_name).items():
        yield f"| {head} | {role} | {' | '.join(_cells(by_kind))} |"
        head = ""


def _cells(by_kind):
    for count in COUNTS:
        rows = [(by_kind.get(kind) or {}).get(count.key) for kind in KINDS]
        texts = [format(row["median"] / count.unit, count.form) if row else "-" for row in rows]
        yield " / ".join(texts) if any(rows) else ""


def _add_hollow_values(hollow_values, run, window_name):
    """Adds (sizes, values) of hollow nodes by window, lease, role and count."""
    shape = run["shape"]
    for role, by_kind in _rows_by_role(run, window_name).items():
        if "hollow" not in by_kind:
            continue
        for count in GROWING_COUNTS:
            key = (window_name, shape["lease_s"], role, count)
            sizes, values = hollow_values.setdefault(key, ([], []))
            sizes.append(shape["nodes"])
            values.append(by_kind["hollow"][count.key]["median"] / count.unit)


def _slope_rows(hollow_values):
    for (window_name, lease, role, count), (sizes, values) in hollow_values.items():
        if len({*sizes}) < LEAST_SIZES or max(values) <= LEAST_GROWTH * min(values):
            continue
        slope = fit(sizes, values)
        if not slope:
            continue
        size = EXPECTED["nodes"]
        value, beyond = read_off(slope, size)
        figure_name = "CPU" if count.label.startswith("CPU") else count.label
        yield (
            f"| {window_name}, {lease:g} s, {', '.join(map(str, sizes))} nodes | {role} | {count.label} | "
            f"{growth_text(figure_name, Growth(sizes, values, slope))} | {size}: {figure(figure_name, value)}"
            f"{' *' if beyond else ''} |"
        )
