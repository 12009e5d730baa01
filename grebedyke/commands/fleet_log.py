"""grebedyke fleet-log: sums up the logs of a fleet."""

import click

from grebedyke.commands.failing import fail
from grebedyke.errors import LogRangeError

SHORTEST_SPAN = 0.1
LONGEST_SPAN = 3600


@click.command("fleet-log")
@click.argument("paths", nargs=-1, required=True, type=click.Path())
@click.option("--span", default=1.0, show_default=True, help="Seconds that one row sums up.")
@click.option("--csv", "csv_path", type=click.Path(dir_okay=False), help="All columns to this file.")
@click.option("--plot", "plot_path", type=click.Path(dir_okay=False), help="A PNG (extra `plots`).")
@click.option("--events", default=10, show_default=True, help="How many kinds of warnings are listed.")
def fleet_log(paths, span, csv_path, plot_path, events):
    """What all nodes together did, second by second, read from their logs.

    PATHS are log files, or folders in which every file is read. Nodes write a line of counts each five
    seconds, or as often as BALANCER_COUNTS says; a row spreads each line evenly over its time.
    """
    if not SHORTEST_SPAN <= span <= LONGEST_SPAN:
        fail(f"--span is out of its range: {span:g}")
    totals = _read(paths, span)
    try:
        rows = totals.rows()
    except LogRangeError as problem:
        fail(str(problem))
    if not rows:
        fail(f"no line of a node's counts in {', '.join(paths)}")
    _print(totals, rows, events)
    _write(rows, csv_path, plot_path)


def _read(paths, span):
    from grebedyke.fleetlog import parsing
    from grebedyke.fleetlog.totals import FleetTotals

    totals = FleetTotals(span)
    try:
        for path in parsing.list_files(paths):
            for line in parsing.read_lines(path):
                totals.add(str(path), line)
    except OSError as problem:
        fail(f"{problem.filename}: {problem.strerror}")
    return totals


def _print(totals, rows, most_events):
    from grebedyke.fleetlog.output import table_lines
    from grebedyke.fleetlog.totals import COLUMNS

    for line in table_lines(rows, COLUMNS):
        click.echo(line)
    counts = " ".join(f"{name}={count}" for name, count in totals.totals().items() if count)
    click.echo(f"all: {counts}")
    for (level, message), count in totals.events.most_common(most_events):
        click.echo(f"{count:6d} {level} {message}")
    if totals.unreadable_lines:
        click.echo(f"{totals.unreadable_lines} lines were no node's")


def _write(rows, csv_path, plot_path):
    from grebedyke.fleetlog import output
    from grebedyke.fleetlog.totals import COLUMNS

    try:
        if csv_path:
            with open(csv_path, "w", newline="") as file:
                output.write_csv(file, rows, COLUMNS)
        if plot_path:
            output.plot(plot_path, rows)
    except OSError as problem:
        fail(f"{problem.filename}: {problem.strerror}")
    except ModuleNotFoundError as problem:
        fail(f"--plot needs the extra `plots` ({problem.name} is missing)")
