"""The tables of `grebedyke scale` runs: medians per role of the hollow, real and simulated nodes."""

import json
from pathlib import Path
from typing import NamedTuple

from benchmarks.fleet_tables import EXPECTED_SIZES, Growth, format_quantity, growth_cell
from benchmarks.growth_fit import estimate, fit_growth

KINDS = ("hollow", "real", "simulated")


class Column(NamedTuple):
    """A column of the table.

    Attributes:
        key: Key of the quantity in the JSON files.
        unit: Divisor of the values.
        label: Title of the column.
        format_spec: Format specification of the values.
    """

    key: str
    unit: float
    label: str
    format_spec: str


COLUMNS = (
    Column("messages_out", 1, "datagrams out", ",.0f"),
    Column("bytes_out", 1, "bytes out", ",.0f"),
    Column("bytes_in", 1, "bytes in", ",.0f"),
    Column("cpu_parts", 100, "CPU", ".2%"),
    Column("cpu_process", 100, "CPU of the process", ".2%"),
    Column("resident", 1e6, "MB", ".1f"),
)
GROWTH_COLUMNS = COLUMNS[:5]
MIN_SIZES = 4
MIN_GROWTH_RATIO = 2
"""Growth is shown if the largest value is more than this multiple of the smallest."""


def scale_tables(folder):
    """Yields the lines of both tables, from the JSON files in a folder."""
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
    yield "Growth of the hollow nodes' figures with the number of nodes, for at least four measured sizes:"
    yield ""
    yield "| window | role | quantity | least to most; slope (left over) | at n |"
    yield "| --- | --- | --- | --- | --- |"
    yield from _growth_rows(hollow_values)


def _rows_by_role(run, window_name):
    """Returns the rows of a window by role and kind; the only window of a run includes the simulated rows."""
    simulated = (run.get("simulated") or {}).get("roles", [])
    rows = {}
    for row in run["windows"][window_name]["roles"] + (simulated if len(run["windows"]) == 1 else []):
        rows.setdefault(row["role"], {})[row["kind"]] = row
    return rows


def _window_rows(run, window_name):
    shape = run["shape"]
    head = f"{shape['nodes']} nodes, {window_name}, leases of {shape['lease_s']:g} s"
    if run["void"]:
        head += ", void: the event loop was late"
    for role, by_kind in _rows_by_role(run, window_name).items():
        yield f"| {head} | {role} | {' | '.join(_cells(by_kind))} |"
        head = ""


def _cells(by_kind):
    for column in COLUMNS:
        rows = [(by_kind.get(kind) or {}).get(column.key) for kind in KINDS]
        texts = [format(row["median"] / column.unit, column.format_spec) if row else "-" for row in rows]
        yield " / ".join(texts) if any(rows) else ""


def _add_hollow_values(hollow_values, run, window_name):
    """Adds the (sizes, values) of hollow nodes by window, lease, role and column."""
    shape = run["shape"]
    for role, by_kind in _rows_by_role(run, window_name).items():
        if "hollow" not in by_kind:
            continue
        for column in GROWTH_COLUMNS:
            key = (window_name, shape["lease_s"], role, column)
            sizes, values = hollow_values.setdefault(key, ([], []))
            sizes.append(shape["nodes"])
            values.append(by_kind["hollow"][column.key]["median"] / column.unit)


def _growth_rows(hollow_values):
    for (window_name, lease, role, column), (sizes, values) in hollow_values.items():
        if len({*sizes}) < MIN_SIZES or max(values) <= MIN_GROWTH_RATIO * min(values):
            continue
        fit = fit_growth(sizes, values)
        if not fit:
            continue
        size = EXPECTED_SIZES["nodes"]
        value, is_extrapolated = estimate(fit, size)
        quantity = "CPU" if column.label.startswith("CPU") else column.label
        yield (
            f"| {window_name}, {lease:g} s, {', '.join(map(str, sizes))} nodes | {role} | {column.label} | "
            f"{growth_cell(quantity, Growth(sizes, values, fit))} | {size}: "
            f"{format_quantity(quantity, value)}{' *' if is_extrapolated else ''} |"
        )
