"""The tables of `benchmarks.fleet`: growth of each quantity, and estimates at the expected sizes."""

from typing import NamedTuple

from benchmarks.growth_fit import GrowthFit, estimate, fit_growth

# The sizes that operators expect, see docs/CAPACITY.md.
EXPECTED_SIZES = {
    "nodes": 760,
    "executors": 760,
    "limits": 34,
    "limits wanted": 34,
    "tenants": 34,
    "forwards": 3_100,
    "plan length": 51,
    "changes an hour": 10,
    "bytes of the value": 20_000,
    "operations": 64,
    "lease in s": 2,
    "bytes of a word": 400,
    "most out at once": 4,
}
MIN_NODES = 34
"""One node per team, next to the team's submitter."""

CONTROL_BUDGET = {"bytes": 3_000, "CPU": 0.011, "resident": 64_000_000}
"""Maximum usage of a node's control components: bytes per second in and out, cores, bytes of memory."""

# Quantities in the growth table; the JSON file has all. Incoming traffic grows much like outgoing traffic.
SHOWN_QUANTITIES = (
    "bytes out",
    "messages out",
    "CPU",
    "state",
    "resident",
    "bytes a change",
    "CPU a change",
    "CPU an invocation",
    "CPU a change of the list",
    "state for forwards",
    "bytes of a whole list",
    "CPU of a whole list",
    "whole after",
)

MAX_CONSTANT_RATIO = 1.1
"""A quantity is constant if its largest value is at most this multiple of its smallest."""
MAX_CONSTANT_CPU_EXPONENT = 0.12
"""CPU time, which varies more, is also constant if the exponent of its fit is below this."""


class Growth(NamedTuple):
    """The values of a quantity at several sizes.

    Attributes:
        sizes: The measured sizes.
        values: The value at each size.
        fit: The `GrowthFit`; None if there is none.
    """

    sizes: list[float]
    values: list[float]
    fit: GrowthFit | None


def fit_growths(rows):
    """Returns the `Growth` of each quantity as {(role, parameter): {quantity name: growth}}, sorted."""
    grouped = {}
    for row in sorted(rows, key=lambda row: (row["role"], row["against"], row["size"])):
        quantities = row["quantities"]
        if "CPU" in quantities:
            quantities["units"] = quantities["CPU"] / row["unit"]
        group = grouped.setdefault((row["role"], row["against"]), {})
        for name, value in quantities.items():
            sizes, values = group.setdefault(name, ([], []))
            sizes.append(row["size"])
            values.append(value)
    return {
        key: {
            name: Growth(sizes, values, fit_growth(sizes, values)) for name, (sizes, values) in group.items()
        }
        for key, group in grouped.items()
    }


def format_quantity(name, value):
    """Formats a quantity in the unit that belongs to its name.

    >>> format_quantity("CPU", 0.0123), format_quantity("CPU a change", 0.0123)
    ('1.23%', '12.3 ms')
    >>> format_quantity("bytes out", 1234.5), format_quantity("x", 0.5)
    ('1,230', '0.5')
    """
    if name == "CPU":
        return f"{value * 100:.3g}%"
    if name.startswith("CPU"):
        return f"{value * 1000:.3g} ms"
    rounded = float(f"{value:.3g}")
    return f"{rounded:,.0f}" if abs(rounded) >= 100 or rounded == int(rounded) else f"{rounded:g}"


def growth_cell(name, growth):
    """Returns the table cell of one quantity: first and last value, and both fits with their errors.

    >>> growth_cell("bytes out", Growth([10, 100], [70, 520], fit_growth([10, 100], [70, 520])))
    '70 to 520; n^0.87 (0%) or 20 + 5 x n (0%)'
    >>> growth_cell("x", Growth([1, 2], [5, 5], None))
    '5 to 5'
    """
    ends = f"{format_quantity(name, growth.values[0])} to {format_quantity(name, growth.values[-1])}"
    fit = growth.fit
    if fit is None:
        return ends
    slope = f"{'+' if fit.slope >= 0 else '-'} {format_quantity(name, abs(fit.slope))} x n"
    return (
        f"{ends}; n^{fit.exponent:.2f} ({fit.power_error:.0%}) or {format_quantity(name, fit.intercept)} "
        f"{slope} ({fit.line_error:.0%})"
    )


def growth_table(growths):
    """Yields the growth table: a row for each role, varied parameter and quantity that grows with it."""
    yield "| role | grows with n, sizes run | quantity | least to most; slope (left over) | at n |"
    yield "| --- | --- | --- | --- | --- |"
    for (role, against), quantities in growths.items():
        yield from _role_rows(role, against, quantities)


def _role_rows(role, against, quantities):
    """Yields a role's rows; only the first has the role's name and the measured sizes."""
    head = f"{role} | {against}: "
    constants = []
    for name, growth in quantities.items():
        if name not in SHOWN_QUANTITIES or not any(growth.values):
            continue
        if _is_constant(name, growth):
            constants.append(f"{name} {format_quantity(name, growth.values[-1])}")
            continue
        if head:
            head += _sizes_text(growth)
        expected = _expected_cell(name, against, growth.fit)
        yield f"| {head or '|'} | {name} | {growth_cell(name, growth)} | {expected} |"
        head = ""
    if constants:
        last_growth = [*quantities.values()][-1]
        head = head and head + _sizes_text(last_growth)
        yield f"| {head or '|'} | does not grow | {', '.join(constants)} | |"


def _sizes_text(growth):
    return ", ".join(f"{size:,g}" for size in growth.sizes)


def _is_constant(name, growth):
    if len(growth.values) < 2:
        return False
    fit = growth.fit
    is_constant_cpu = fit and abs(fit.exponent) < MAX_CONSTANT_CPU_EXPONENT and name.startswith("CPU")
    return max(growth.values) <= MAX_CONSTANT_RATIO * min(growth.values) or is_constant_cpu


def _expected_cell(name, against, fit):
    """Returns the table cell with the estimate at the expected size; an asterisk marks extrapolation."""
    if not fit:
        return ""
    size = EXPECTED_SIZES[against]
    value, is_extrapolated = estimate(fit, size)
    return f"{size:,}: {format_quantity(name, value)}{' *' if is_extrapolated else ''}"


def usage_table(growths, node_count):
    """Yields the table of each role's estimated usage at a number of nodes, compared to `CONTROL_BUDGET`."""
    yield (
        "| role | bytes a second in and out | of 3 KB | datagrams a second | CPU of the parts | with "
        "the loop | of 1.1% | units a second | state counted | of 64 MB |"
    )
    yield "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"
    datagram_cpu = _datagram_cpu(growths)
    for (role, against), quantities in growths.items():
        if against == "nodes" and "messages in" in quantities:
            yield _usage_row(role, quantities, node_count, datagram_cpu)


def _datagram_cpu(growths):
    """Returns the CPU seconds to send or receive one datagram: half of those of a transfer."""
    loop = growths.get(("a datagram through the loop", "bytes of a word"))
    if not loop or not loop["CPU"].fit:
        return 0
    return estimate(loop["CPU"].fit, EXPECTED_SIZES["bytes of a word"])[0] / 2


def _usage_row(role, quantities, node_count, datagram_cpu):
    values = {}
    is_extrapolated = {}
    for name, growth in quantities.items():
        if growth.fit:
            values[name], is_extrapolated[name] = estimate(growth.fit, node_count)
        else:
            values[name] = growth.values[-1]
            is_extrapolated[name] = growth.sizes[-1] < node_count
    traffic = values["bytes in"] + values["bytes out"]
    datagrams = values["messages in"] + values["messages out"]
    cpu = values["CPU"]
    state = values["state"]
    cpu_with_loop = cpu + datagrams * datagram_cpu
    mark = " *" if is_extrapolated["bytes in"] or is_extrapolated["bytes out"] else ""
    return (
        f"| {role}{mark} | {traffic:,.0f} | {traffic / CONTROL_BUDGET['bytes']:.2f} | "
        f"{datagrams:,.1f} | {cpu * 100:.3f}% | {cpu_with_loop * 100:.3f}% | "
        f"{cpu_with_loop / CONTROL_BUDGET['CPU']:.2f} | "
        f"{values['units']:.3f} | {state:,.0f} | {state / CONTROL_BUDGET['resident']:.3f} |"
    )


def page_lines(rows, duration, machine):
    """Yields the lines of the page.

    Args:
        rows: The rows of all cases.
        duration: Duration of the run, in seconds.
        machine: Description of the machine, with the date.
    """
    growths = fit_growths(rows)
    yield f"By `python -m benchmarks.fleet` in {duration:.0f} s: {machine}"
    units = sorted(row["unit"] for row in rows)
    yield (
        f"Reference work, packing and parsing a thousand requests for shares of 34 limits: "
        f"{units[len(units) // 2] * 1000:.1f} ms of CPU (median; {units[0] * 1000:.1f} to "
        f"{units[-1] * 1000:.1f})."
    )
    yield "An asterisk marks values extrapolated beyond the largest measured size."
    yield ""
    for node_count in (EXPECTED_SIZES["nodes"], MIN_NODES):
        yield f"### At {node_count} nodes"
        yield ""
        yield from usage_table(growths, node_count)
        yield ""
    yield "### Slopes"
    yield ""
    yield from growth_table(growths)
