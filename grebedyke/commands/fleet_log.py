"""The command `grebedyke fleet-log`: totals the logs of a fleet."""

import click

from grebedyke.commands.failing import fail
from grebedyke.errors import LogRangeError

MIN_SPAN = 0.1
MAX_SPAN = 3600


@click.command("fleet-log")
@click.argument("paths", nargs=-1, required=True, type=click.Path())
@click.option("--span", default=1.0, show_default=True, help="Seconds covered by a row.")
@click.option("--csv", "csv_path", type=click.Path(dir_okay=False), help="Write all columns to this file.")
@click.option(
    "--plot",
    "plot_path",
    type=click.Path(dir_okay=False),
    help="Write a PNG plot to this file (needs the extra `plots`).",
)
@click.option("--events", default=10, show_default=True, help="Number of kinds of warnings listed.")
def fleet_log(paths, span, csv_path, plot_path, events):
    """Totals the counts of all nodes, second by second, from their logs.

    PATHS are log files, or folders whose files are all read. Nodes write a line of counts every five seconds,
    or at the interval set by BALANCER_COUNTS; each line is spread evenly over the rows of its time.
    """
    if not MIN_SPAN <= span <= MAX_SPAN:
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


def _print(totals, rows, max_events):
    from grebedyke.fleetlog.output import table_lines
    from grebedyke.fleetlog.totals import COLUMNS

    for line in table_lines(rows, COLUMNS):
        click.echo(line)
    counts = " ".join(f"{name}={count}" for name, count in totals.totals().items() if count)
    click.echo(f"all: {counts}")
    for (level, message), count in totals.events.most_common(max_events):
        click.echo(f"{count:6d} {level} {message}")
    if totals.unreadable_lines:
        click.echo(f"{totals.unreadable_lines} lines are not node log lines")


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
