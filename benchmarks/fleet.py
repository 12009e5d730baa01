"""What each role of a fleet costs by its size: slopes, and what they come to at the size that is expected.

    python -m benchmarks.fleet [--quick] [--beside 4] [--to FOLDER] [--plots FOLDER] [--page docs/CAPACITY.md]
                               [--scale FOLDER]

Writes capacity.md (tables) and capacity.json (each run) into FOLDER, the tables also into a page, between
its marks, with --scale also what scale runs have written; plots need the extra `plots`. Some four to seven
minutes on four cores. What is measured, and what is left out of it: benchmarks/roles.py,
benchmarks/dispatcher_roles.py and benchmarks/processes.py. --quick: a minute, small sizes, for a look; what
it reads off lies far beyond them.
"""

import json
import os
import platform
import sys
import time
from concurrent.futures import ProcessPoolExecutor, as_completed
from pathlib import Path

import click

from benchmarks.fleet_cases import cases
from benchmarks.fleet_plots import draw
from benchmarks.fleet_scale import scale_tables
from benchmarks.fleet_tables import page, slopes

# Between these lines of a page the tables are put.
CAPACITY_MARKS = ("<!-- figures: python -m benchmarks.fleet -->\n", "<!-- end of figures -->\n")
SCALE_MARKS = ("<!-- figures: grebedyke scale -->\n", "<!-- end of scale -->\n")


def play(case):
    """Plays a case and returns its rows, each with the seconds that the case took."""
    start = time.perf_counter()
    rows = case.call(case.against, case.size, **case.arguments)
    return [row | {"took": time.perf_counter() - start} for row in rows]


def run(found, at_a_time, print_line=lambda text: None):
    """Returns the rows of all cases, `at_a_time` of them played beside each other.

    A case that fails is reported to `print_line`, and has no rows.
    """
    rows = []
    if at_a_time < 2:
        for case in found:
            rows += play(case)
        return rows
    with ProcessPoolExecutor(at_a_time) as pool:
        futures = {pool.submit(play, case): case for case in found}
        for done, future in enumerate(as_completed(futures), 1):
            case = futures[future]
            title = f"{case.call.__name__} {case.against} {case.size}"
            try:
                rows += future.result()
            except Exception as problem:  # Keeps the run of the other cases alive, some minutes of work.
                print_line(f"failed: {title}: {problem!r}")
            else:
                print_line(
                    f"{done}/{len(found)} {case.call.__name__}, {case.against} {case.size}: "
                    f"{rows[-1]['took']:.1f} s"
                )
    return rows


def put(path, marks, text):
    """Puts a text between the marks of a page.

    Raises:
        click.UsageError: The page has no such marks.
    """
    before, _, rest = Path(path).read_text().partition(marks[0])
    after = rest.partition(marks[1])[2]
    if not after:
        raise click.UsageError(f"{path} has no marks to put the tables between")
    Path(path).write_text(before + marks[0] + text + marks[1] + after)


def machine():
    """Returns the time, and what machine this is and how busy."""
    load = ", ".join(f"{average:.1f}" for average in os.getloadavg())
    return (
        f"{time.strftime('%Y-%m-%d %H:%M')}, {os.cpu_count()} cores, load average {load}, "
        f"Python {platform.python_version()}, {platform.system()} {platform.machine()}"
    )


def run_all(quick, at_a_time):
    """Runs all cases and returns what goes into capacity.json."""
    start = time.monotonic()
    started = machine()
    rows = run(cases(quick), at_a_time, lambda text: click.echo(text, err=True))
    return {
        "took": time.monotonic() - start,
        "machine": f"{started}; at its end {machine()}",
        "argv": sys.argv[1:],
        "rows": rows,
    }


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
    """Runs all cases, or takes the rows of a file, and writes tables and plots."""
    results = json.loads(Path(again).read_text()) if again else run_all(quick, at_a_time)
    Path(to).mkdir(parents=True, exist_ok=True)
    text = "\n".join(page(results["rows"], results["took"], results["machine"])) + "\n"
    Path(to, "capacity.md").write_text(text)
    if not again:
        Path(to, "capacity.json").write_text(json.dumps(results, indent=0))
    if into:
        put(into, CAPACITY_MARKS, text)
    if into and scale:
        put(into, SCALE_MARKS, "\n".join(scale_tables(scale)) + "\n")
    if plots:
        Path(plots).mkdir(parents=True, exist_ok=True)
        draw(slopes(results["rows"]), plots)
    click.echo(text)


if __name__ == "__main__":
    main()
