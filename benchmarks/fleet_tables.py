"""The tables of `benchmarks.fleet`: slopes, and what they come to at the size that operators expect."""

from typing import NamedTuple

from benchmarks.slopes import Slope, fit, read_off

# The size that operators expect: docs/CAPACITY.md.
EXPECTED = {
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
FEWEST_NODES = 34
"""One beside each team's submitter."""

ALLOWED = {"bytes": 3_000, "CPU": 0.011, "resident": 64_000_000}
"""What control may take at a node: bytes a second in and out, CPU of a core, bytes of memory."""

# Of each role in the tables of slopes; the rest is in the JSON. What comes in goes much as what goes out.
SHOWN = (
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

CONSTANT_RATIO = 1.1
"""A quantity whose largest value is at most so many times its smallest does not grow."""
CONSTANT_EXPONENT = 0.12
"""CPU, which varies with the machine, does not grow where its exponent is smaller than this."""


class Growth(NamedTuple):
    """A quantity by size.

    Attributes:
        sizes: The sizes that were run.
        values: The quantity at each.
        slope: Its `Slope`, None where there is none.
    """

    sizes: list[float]
    values: list[float]
    slope: Slope | None


def slopes(rows):
    """Returns each quantity's `Growth` by its name, by (role, what is varied), in order."""
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
        key: {name: Growth(sizes, values, fit(sizes, values)) for name, (sizes, values) in group.items()}
        for key, group in grouped.items()
    }


def figure(name, value):
    """Formats a figure by what it counts.

    >>> figure("CPU", 0.0123), figure("bytes out", 1234.5), figure("CPU a change", 0.0123), figure("x", 0.5)
    ('1.23%', '1,230', '12.3 ms', '0.5')
    """
    if name == "CPU":
        return f"{value * 100:.3g}%"
    if name.startswith("CPU"):
        return f"{value * 1000:.3g} ms"
    rounded = float(f"{value:.3g}")
    return f"{rounded:,.0f}" if abs(rounded) >= 100 or rounded == int(rounded) else f"{rounded:g}"


def growth_text(name, growth):
    """Returns the cell of one quantity: its ends, and both fits with what they leave over.

    >>> growth_text("bytes out", Growth([10, 100], [70, 520], fit([10, 100], [70, 520])))
    '70 to 520; n^0.87 (0%) or 20 + 5 x n (0%)'
    >>> growth_text("x", Growth([1, 2], [5, 5], None))
    '5 to 5'
    """
    ends = f"{figure(name, growth.values[0])} to {figure(name, growth.values[-1])}"
    slope = growth.slope
    if slope is None:
        return ends
    each = f"{'+' if slope.each >= 0 else '-'} {figure(name, abs(slope.each))} x n"
    return (
        f"{ends}; n^{slope.exponent:.2f} ({slope.left:.0%}) or {figure(name, slope.floor)} {each} "
        f"({slope.line_left:.0%})"
    )


def slope_table(growths):
    """Yields the table of slopes: a row for each role, thing it grows with, and quantity that does grow."""
    yield "| role | grows with n, sizes run | quantity | least to most; slope (left over) | at n |"
    yield "| --- | --- | --- | --- | --- |"
    for (role, against), quantities in growths.items():
        yield from _role_rows(role, against, quantities)


def _role_rows(role, against, quantities):
    """Yields a role's rows; only the first names the role and the sizes that were run."""
    head = f"{role} | {against}: "
    constants = []
    for name, growth in quantities.items():
        if name not in SHOWN or not any(growth.values):
            continue
        if _is_constant(name, growth):
            constants.append(f"{name} {figure(name, growth.values[-1])}")
            continue
        if head:
            head += _sizes_text(growth)
        expected = _expected_text(name, against, growth.slope)
        yield f"| {head or '|'} | {name} | {growth_text(name, growth)} | {expected} |"
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
    slope = growth.slope
    is_flat_cpu = slope and abs(slope.exponent) < CONSTANT_EXPONENT and name.startswith("CPU")
    return max(growth.values) <= CONSTANT_RATIO * min(growth.values) or is_flat_cpu


def _expected_text(name, against, slope):
    """Returns the cell with the quantity at the expected size; an asterisk where that was not run."""
    if not slope:
        return ""
    size = EXPECTED[against]
    value, beyond = read_off(slope, size)
    return f"{size:,}: {figure(name, value)}{' *' if beyond else ''}"


def size_table(growths, node_count):
    """Yields the table of what each role comes to at so many nodes, beside what a node may take."""
    yield (
        "| role | bytes a second in and out | of 3 KB | datagrams a second | CPU of the parts | with "
        "the loop | of 1.1% | units a second | state counted | of 64 MB |"
    )
    yield "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"
    datagram_cpu = _datagram_cpu(growths)
    for (role, against), quantities in growths.items():
        if against == "nodes" and "messages in" in quantities:
            yield _size_row(role, quantities, node_count, datagram_cpu)


def _datagram_cpu(growths):
    """Returns the CPU of one datagram in or out: it is measured from socket to socket, half for each."""
    loop = growths.get(("a datagram through the loop", "bytes of a word"))
    if not loop or not loop["CPU"].slope:
        return 0
    return read_off(loop["CPU"].slope, EXPECTED["bytes of a word"])[0] / 2


def _size_row(role, quantities, node_count, datagram_cpu):
    values = {}
    is_beyond = {}
    for name, growth in quantities.items():
        if growth.slope:
            values[name], is_beyond[name] = read_off(growth.slope, node_count)
        else:
            values[name] = growth.values[-1]
            is_beyond[name] = growth.sizes[-1] < node_count
    traffic = values["bytes in"] + values["bytes out"]
    datagrams = values["messages in"] + values["messages out"]
    cpu = values["CPU"]
    state = values["state"]
    cpu_with_loop = cpu + datagrams * datagram_cpu
    mark = " *" if is_beyond["bytes in"] or is_beyond["bytes out"] else ""
    return (
        f"| {role}{mark} | {traffic:,.0f} | {traffic / ALLOWED['bytes']:.2f} | "
        f"{datagrams:,.1f} | {cpu * 100:.3f}% | {cpu_with_loop * 100:.3f}% | "
        f"{cpu_with_loop / ALLOWED['CPU']:.2f} | "
        f"{values['units']:.3f} | {state:,.0f} | {state / ALLOWED['resident']:.3f} |"
    )


def page(rows, took, state):
    """Yields the lines of the page.

    Args:
        rows: Of all cases.
        took: Seconds that all of it took.
        state: What machine it ran on, and when.
    """
    growths = slopes(rows)
    yield f"By `python -m benchmarks.fleet` in {took:.0f} s: {state}"
    units = sorted(row["unit"] for row in rows)
    yield (
        f"Stated piece of work: a thousand asks for shares of 34 limits, framed and read: "
        f"{units[len(units) // 2] * 1000:.1f} ms of CPU (median; {units[0] * 1000:.1f} to "
        f"{units[-1] * 1000:.1f})."
    )
    yield "An asterisk: read off beyond the largest size that was run."
    yield ""
    for node_count in (EXPECTED["nodes"], FEWEST_NODES):
        yield f"### At {node_count} nodes"
        yield ""
        yield from size_table(growths, node_count)
        yield ""
    yield "### Slopes"
    yield ""
    yield from slope_table(growths)
