"""What each role of a fleet costs by its size: slopes, and what they come to at the size that is expected.

    python -m benchmarks.fleet [--quick] [--beside 4] [--to FOLDER] [--plots FOLDER] [--page docs/CAPACITY.md]
                               [--scale FOLDER]

Writes capacity.md (tables) and capacity.json (each run) into FOLDER, the tables also into a page, between
its marks, with --scale also what scale runs have written; plots need the extra `plots`. Some four to seven
minutes on four cores. What is measured, and what is left out of it: benchmarks/roles.py and
benchmarks/processes.py. --quick: a minute, small sizes, for a look; what it reads off lies far beyond them.
"""

import json
import os
import platform
import sys
import time
from concurrent.futures import ProcessPoolExecutor, as_completed
from pathlib import Path

import click

from benchmarks import processes, roles
from benchmarks.slopes import fit, read_off
from grebedyke.units import TICKS_PER_SECOND

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
FEWEST = 34  # nodes: one beside each team's submitter
# What control may take at a node: bytes a second in and out, of a core, bytes of memory.
MAY = {"bytes": 3_000, "CPU": 0.011, "resident": 64_000_000}
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
# What does not grow: most over least; and of CPU, which swings with the machine, the exponent.
STILL, FLAT = 1.1, 0.12
SCENES = "restart of all", "regions cut"
MARKS = "<!-- figures: python -m benchmarks.fleet -->\n", "<!-- end of figures -->\n"
SCALE = "<!-- figures: grebedyke scale -->\n", "<!-- end of scale -->\n"


def cases(quick):
    """(call, against, size, arguments), the dearest first."""
    span = (2 if quick else 6) * TICKS_PER_SECOND
    nodes = (8, 16, 32, 80) if quick else (34, 76, 190, 380, 760)
    base, mid = (8, 16) if quick else (34, 76)
    executors = (10, 30, 100) if quick else (10, 76, 240, 760)
    found = []

    def over(call, against, sizes, **shape):
        for size in sizes:
            found.append((call, against, size, {k: size if v is None else v for k, v in shape.items()}))

    # All wanted at each node and all of them full, as in a peak; two teams' at each node, as on a calm day.
    over(roles.limited, "nodes", nodes, nodes=None, span=span, full=True)
    over(roles.limited, "nodes", nodes, nodes=None, span=span, wanted=2, full=True)
    over(roles.limited, "nodes", nodes, nodes=None, span=span, wanted=2)
    for full in (True, False):
        over(
            roles.limited,
            "limits",
            (4, 12, 34, 110, 340)[: 4 if quick else 5],
            nodes=base,
            span=span,
            limits=None,
            full=full,
        )
    over(roles.limited, "limits wanted", (1, 4, 12, 34), nodes=mid, span=span, wanted=None)
    over(roles.planned, "nodes", nodes, nodes=None, span=2 * span, length=24)
    over(
        roles.planned,
        "plan length",
        (8, 24, 80) if quick else (8, 24, 76, 240, 760),
        nodes=base,
        span=2 * span,
        length=None,
    )
    over(roles.planned, "executors", executors, nodes=base, span=2 * span, length=10, executors=None)
    over(roles.planned, "most out at once", (1, 2, 4, 16), nodes=base, span=2 * span, length=48, most=None)
    over(roles.idle, "nodes", nodes, nodes=None, span=span)
    over(roles.idle, "executors", executors, nodes=base, span=span, executors=None)
    for size in (1, 2, 5) if quick else (0.5, 1, 2, 5, 10):
        lease = int(size * TICKS_PER_SECOND)
        more = {"nodes": base, "span": max(span, 2 * lease), "lease": lease}
        found += [(roles.idle, "lease in s", size, more), (roles.limited, "lease in s", size, more)]
    over(roles.given, "nodes", nodes, nodes=None, span=span, an_hour=600, length=2_000)
    over(
        roles.given,
        "changes an hour",
        (60, 240, 900, 3_600),
        nodes=mid,
        span=span,
        an_hour=None,
        length=2_000,
    )
    over(
        roles.given,
        "bytes of the value",
        (500, 2_000, 8_000, 30_000),
        nodes=mid,
        span=span,
        an_hour=600,
        length=None,
    )
    for what in SCENES:
        over(roles.scene, "nodes", nodes[:2] if quick else (34, 76, 190, 380), nodes=None, what=what)
    books = (10, 30, 100, 240) if quick else (24, 76, 240, 760, 2_400)
    for probes in (True, False):
        over(roles.placed, "executors", books, executors=None, probes=probes, forwards=20)
    over(
        roles.placed,
        "forwards",
        (10, 31, 100) if quick else (31, 100, 310, 1_000, 3_100),
        forwards=None,
        executors=100 if quick else 760,
    )
    few = {"executors": 100} if quick else {}
    over(roles.placed, "operations", (2, 8, 24, 64), operations=None, **few)
    over(roles.placed, "tenants", (3, 10, 34, 100), tenants=None, **few)
    over(roles.listed, "executors", books)
    over(roles.datagrams, "bytes of a word", (40, 120, 400, 1_150))
    over(processes.reloaded, "nodes", nodes, nodes=None)
    for fleet in (True, False):
        over(
            processes.process,
            "executors",
            (10, 100) if quick else (10, 100, 300, 760),
            executors=None,
            fleet=fleet,
            span=1.0 if quick else 10.0,
        )
    dear = {roles.limited: 3, roles.scene: 3, roles.planned: 2, roles.idle: 1}
    return sorted(found, key=lambda case: -dear.get(case[0], 0) * case[3].get("nodes", 0))


def played(case):
    call, against, size, shape = case
    start = time.perf_counter()
    rows = call(against, size, **shape)
    return [row | {"took": time.perf_counter() - start} for row in rows]


def run(found, beside, say=lambda text: None):
    """The rows of all cases. A case that fails is told, and has no rows."""
    rows = []
    if beside < 2:
        for case in found:
            rows += played(case)
        return rows
    with ProcessPoolExecutor(beside) as pool:
        futures = {pool.submit(played, case): case for case in found}
        for done, future in enumerate(as_completed(futures), 1):
            call, against, size, _ = futures[future]
            try:
                rows += future.result()
            except Exception as problem:
                say(f"failed: {call.__name__} {against} {size}: {problem!r}")
            else:
                say(f"{done}/{len(found)} {call.__name__}, {against} {size}: {rows[-1]['took']:.1f} s")
    return rows


def slopes(rows):
    """(role, against) -> quantity -> (sizes, values, slope or None), in order."""
    grouped = {}
    for row in sorted(rows, key=lambda row: (row["role"], row["against"], row["size"])):
        quantities = row["quantities"]
        if "CPU" in quantities:
            quantities["units"] = quantities["CPU"] / row["unit"]
        for name, value in quantities.items():
            sizes, values = grouped.setdefault((row["role"], row["against"]), {}).setdefault(name, ([], []))
            sizes.append(row["size"])
            values.append(value)
    return {
        key: {name: (sizes, values, fit(sizes, values)) for name, (sizes, values) in told.items()}
        for key, told in grouped.items()
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


def shown(name, sizes, values, slope):
    """One quantity's slope in a cell.

    >>> shown("bytes out", [10, 100], [70, 520], fit([10, 100], [70, 520])), shown("x", [1, 2], [5, 5], None)
    ('70 to 520; n^0.87 (0%) or 20 + 5 x n (0%)', '5 to 5')
    """
    ends = f"{figure(name, values[0])} to {figure(name, values[-1])}"
    if slope is None:
        return ends
    each = f"{'+' if slope.each >= 0 else '-'} {figure(name, abs(slope.each))} x n"
    return (
        f"{ends}; n^{slope.exponent:.2f} ({slope.left:.0%}) or {figure(name, slope.floor)} {each} "
        f"({slope.line_left:.0%})"
    )


def table(told):
    """Slopes as Markdown; a row for each role, thing it grows with, and quantity that does grow."""
    yield "| role | grows with n, sizes run | quantity | least to most; slope (left over) | at n |"
    yield "| --- | --- | --- | --- | --- |"
    for (role, against), quantities in told.items():
        head, still = f"{role} | {against}: ", []
        for name, (sizes, values, slope) in quantities.items():
            if name not in SHOWN or not any(values):
                continue
            flat = slope and abs(slope.exponent) < FLAT and name.startswith("CPU")
            if len(values) > 1 and (max(values) <= STILL * min(values) or flat):
                still.append(f"{name} {figure(name, values[-1])}")
                continue
            if head:
                head += ", ".join(f"{size:,g}" for size in sizes)
            at = ""
            if slope:
                n, (value, beyond) = EXPECTED[against], read_off(slope, EXPECTED[against])
                at = f"{n:,}: {figure(name, value)}{' *' if beyond else ''}"
            yield f"| {head or '|'} | {name} | {shown(name, sizes, values, slope)} | {at} |"
            head = ""
        if still:
            head = head and head + ", ".join(f"{size:,g}" for size in sizes)
            yield f"| {head or '|'} | does not grow | {', '.join(still)} | |"


def at_size(told, at):
    """By role, at so many nodes: what it comes to, beside what a node may take."""
    yield (
        "| role | bytes a second in and out | of 3 KB | datagrams a second | CPU of the parts | with "
        "the loop | of 1.1% | units a second | state counted | of 64 MB |"
    )
    yield "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"
    loop = told.get(("a datagram through the loop", "bytes of a word"))
    # Out of one socket and into another is one measure; each side is taken for half of it.
    half = (read_off(loop["CPU"][2], EXPECTED["bytes of a word"])[0] if loop and loop["CPU"][2] else 0) / 2
    for (role, against), quantities in told.items():
        if against != "nodes" or "messages in" not in quantities:
            continue
        got = {
            name: read_off(slope, at) if slope else (values[-1], sizes[-1] < at)
            for name, (sizes, values, slope) in quantities.items()
        }
        size = got["bytes in"][0] + got["bytes out"][0]
        words = got["messages in"][0] + got["messages out"][0]
        cpu, state = got["CPU"][0], got["state"][0]
        whole = cpu + words * half
        mark = " *" if got["bytes in"][1] or got["bytes out"][1] else ""
        yield (
            f"| {role}{mark} | {size:,.0f} | {size / MAY['bytes']:.2f} | "
            f"{words:,.1f} | {cpu * 100:.3f}% | {whole * 100:.3f}% | {whole / MAY['CPU']:.2f} | "
            f"{got['units'][0]:.3f} | {state:,.0f} | {state / MAY['resident']:.3f} |"
        )


KINDS = "hollow", "real", "simulated"
COUNTED = (
    ("messages_out", 1, "datagrams out"),
    ("bytes_out", 1, "bytes out"),
    ("bytes_in", 1, "bytes in"),
    ("cpu_parts", 100, "CPU"),
    ("cpu_process", 100, "CPU of the process"),
    ("resident", 1e6, "MB"),
)


def beside(folder):
    """Scale runs' own files (`grebedyke scale`) as tables: medians of each role's nodes, by kind."""
    yield f"Each cell: {' / '.join(KINDS)}."
    yield ""
    yield (
        "| run | role | datagrams out | bytes a second out | in | CPU of the parts | of the process "
        "| resident, MB |"
    )
    yield "| --- | --- | --- | --- | --- | --- | --- | --- |"
    grown = {}
    for told in sorted(
        (json.loads(path.read_text()) for path in Path(folder).glob("*.json")),
        key=lambda told: (told["shape"]["scene"], told["shape"]["nodes"]),
    ):
        shape, simulated = told["shape"], (told.get("simulated") or {}).get("roles", [])
        for name, window in told["windows"].items():
            head = f"{shape['nodes']} nodes, {name}, leases of {shape['lease_s']:g} s" + (
                ", void: the loop was late" if told["void"] else ""
            )
            rows = {}
            for row in window["roles"] + (simulated if len(told["windows"]) == 1 else []):
                rows.setdefault(row["role"], {})[row["kind"]] = row
            for role, by_kind in rows.items():
                yield f"| {head} | {role} | {' | '.join(cells(by_kind))} |"
                head = ""
                if not told["void"] and "hollow" in by_kind:
                    for key, scale, label in COUNTED[:5]:
                        sizes, values = grown.setdefault((name, shape["lease_s"], role, label), ([], []))
                        sizes.append(shape["nodes"])
                        values.append(by_kind["hollow"][key]["median"] / scale)
    yield ""
    yield "Slopes of the hollow ones over the number of nodes, where four sizes or more ran:"
    yield ""
    yield "| window | role | quantity | least to most; slope (left over) | at n |"
    yield "| --- | --- | --- | --- | --- |"
    for (name, lease, role, label), (sizes, values) in grown.items():
        slope = fit(sizes, values) if len({*sizes}) > 3 and max(values) > 2 * min(values) else None
        if slope:
            value, beyond = read_off(slope, EXPECTED["nodes"])
            label_ = "CPU" if label.startswith("CPU") else label
            yield (
                f"| {name}, {lease:g} s, {', '.join(map(str, sizes))} nodes | {role} | {label} | "
                f"{shown(label_, sizes, values, slope)} | {EXPECTED['nodes']}: {figure(label_, value)}"
                f"{' *' if beyond else ''} |"
            )


def cells(by_kind):
    for key, scale, label in COUNTED:
        told = [(by_kind.get(kind) or {}).get(key) for kind in KINDS]
        form = ".2%" if label.startswith("CPU") else ".1f" if label == "MB" else ",.0f"
        text = [format(row["median"] / scale, form) if row else "-" for row in told]
        yield " / ".join(text) if any(told) else ""


def put(path, marks, text):
    before, _, rest = Path(path).read_text().partition(marks[0])
    after = rest.partition(marks[1])[2]
    if not after:
        raise click.UsageError(f"{path} has no marks to put the tables between")
    Path(path).write_text(before + marks[0] + text + marks[1] + after)


def page(rows, took, state):
    told = slopes(rows)
    yield f"By `python -m benchmarks.fleet` in {took:.0f} s: {state}"
    units = sorted(row["unit"] for row in rows)
    yield (
        f"Stated piece of work: a thousand asks for shares of 34 limits, framed and read: "
        f"{units[len(units) // 2] * 1000:.1f} ms of CPU (median; {units[0] * 1000:.1f} to "
        f"{units[-1] * 1000:.1f})."
    )
    yield "An asterisk: read off beyond the largest size that was run."
    yield ""
    for at in EXPECTED["nodes"], FEWEST:
        yield f"### At {at} nodes"
        yield ""
        yield from at_size(told, at)
        yield ""
    yield "### Slopes"
    yield ""
    yield from table(told)


def machine():
    load = ", ".join(f"{x:.1f}" for x in os.getloadavg())
    return (
        f"{time.strftime('%Y-%m-%d %H:%M')}, {os.cpu_count()} cores, load average {load}, "
        f"Python {platform.python_version()}, {platform.system()} {platform.machine()}"
    )


def drawn(told, folder):
    """Each role's bytes and CPU over the number of nodes, on logs."""
    try:
        import matplotlib
    except ImportError:
        raise click.UsageError("plots need matplotlib: pip install grebedyke[plots]") from None
    # Text as text, and no date: a plot of the same figures is the same file.
    matplotlib.use("svg")
    matplotlib.rcParams |= {"svg.fonttype": "none", "svg.hashsalt": "grebedyke"}
    from matplotlib import pyplot

    for name, limit, label in (
        ("bytes out", MAY["bytes"], "bytes out a second"),
        ("CPU", MAY["CPU"], "CPU of the parts, of a core"),
        ("state", MAY["resident"], "state, bytes"),
    ):
        figure_, axes = pyplot.subplots(figsize=(8, 4.5))
        axes.set_prop_cycle(color=pyplot.get_cmap("tab20").colors)
        for (role, against), quantities in told.items():
            if against == "nodes" and quantities.get(name, (0, 0, 0))[2] and not role.startswith(SCENES):
                sizes, values, _ = quantities[name]
                axes.loglog(sizes, values, "o-", label=role, markersize=3, linewidth=1)
        axes.axhline(limit, color="black", linestyle="--", linewidth=1)
        axes.set(xlabel="nodes", ylabel=label)
        axes.legend(fontsize=7, loc="center left", bbox_to_anchor=(1, 0.5))
        figure_.tight_layout()
        figure_.savefig(Path(folder, f"{name.replace(' ', '-')}.svg"), metadata={"Date": None})
        pyplot.close(figure_)


@click.command()
@click.option("--quick", is_flag=True, help="Small sizes, about a minute.")
@click.option(
    "--beside", "at_a_time", default=4, show_default=True, type=click.IntRange(1, 8), help="Cases at a time."
)
@click.option("--to", default=".", show_default=True, type=click.Path(file_okay=False))
@click.option("--plots", type=click.Path(file_okay=False), help="Where plots go; none without it.")
@click.option("--page", "into", type=click.Path(exists=True, dir_okay=False), help="A page for the tables.")
@click.option("--again", type=click.Path(exists=True, dir_okay=False), help="Tables of a JSON file, no runs.")
@click.option("--scale", type=click.Path(exists=True, file_okay=False), help="Scale runs' JSON, for it.")
def main(quick, at_a_time, to, plots, into, again, scale):
    start, started = time.monotonic(), machine()
    if again:
        told = json.loads(Path(again).read_text())
        rows, took, state = told["rows"], told["took"], told["machine"]
    else:
        rows = run(cases(quick), at_a_time, lambda text: click.echo(text, err=True))
        took, state = time.monotonic() - start, f"{started}; at its end {machine()}"
    Path(to).mkdir(parents=True, exist_ok=True)
    text = "\n".join(page(rows, took, state)) + "\n"
    Path(to, "capacity.md").write_text(text)
    if not again:
        Path(to, "capacity.json").write_text(
            json.dumps({"took": took, "machine": state, "argv": sys.argv[1:], "rows": rows}, indent=0)
        )
    if into:
        put(into, MARKS, text)
    if into and scale:
        put(into, SCALE, "\n".join(beside(scale)) + "\n")
    if plots:
        Path(plots).mkdir(parents=True, exist_ok=True)
        drawn(slopes(rows), plots)
    click.echo(text)


if __name__ == "__main__":
    main()
