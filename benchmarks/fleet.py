"""Cost of each role of a fleet by its size: growth, and estimates at the sizes that operators expect.

    python -m benchmarks.fleet [--quick] [--beside 4] [--to FOLDER] [--plots FOLDER] [--page docs/CAPACITY.md]
                               [--scale FOLDER]

Writes capacity.md (tables) and capacity.json (each run) into FOLDER. With --page the tables also replace the
section between two markers of a page, and with --scale the tables of scale runs replace another section.
Plots need the extra `plots`. benchmarks/roles.py, benchmarks/dispatcher_roles.py and benchmarks/processes.py
describe what is measured and what is left out. A run takes four to seven minutes on four cores. With --quick
it takes one minute; its sizes are small, and its estimates extrapolate far beyond them.
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
from benchmarks.fleet_plots import draw_plots
from benchmarks.fleet_scale import scale_tables
from benchmarks.fleet_tables import fit_growths, page_lines

# Lines of a page between which the tables are placed.
CAPACITY_MARKERS = ("<!-- figures: python -m benchmarks.fleet -->\n", "<!-- end of figures -->\n")
SCALE_MARKERS = ("<!-- figures: grebedyke scale -->\n", "<!-- end of scale -->\n")


def run_case(case):
    """Runs a case and returns its rows, each with the seconds that the case took."""
    start = time.perf_counter()
    rows = case.call(case.parameter, case.size, **case.arguments)
    return [row | {"took": time.perf_counter() - start} for row in rows]


def run_cases(selected_cases, at_a_time, print_line=lambda text: None):
    """Runs the cases, `at_a_time` of them in parallel, and returns their rows.

    Failures of parallel cases are reported to `print_line`; failed cases have no rows.
    """
    rows = []
    if at_a_time < 2:
        for case in selected_cases:
            rows += run_case(case)
        return rows
    with ProcessPoolExecutor(at_a_time) as pool:
        futures = {pool.submit(run_case, case): case for case in selected_cases}
        for done, future in enumerate(as_completed(futures), 1):
            case = futures[future]
            title = f"{case.call.__name__} {case.parameter} {case.size}"
            try:
                rows += future.result()
            except Exception as error:  # The other cases, some minutes of work, continue.
                print_line(f"failed: {title}: {error!r}")
            else:
                print_line(
                    f"{done}/{len(selected_cases)} {case.call.__name__}, {case.parameter} {case.size}: "
                    f"{rows[-1]['took']:.1f} s"
                )
    return rows


def replace_section(path, markers, text):
    """Replaces the text between two markers of a page.

    Raises:
        click.UsageError: The page doesn't have the markers.
    """
    before, _, rest = Path(path).read_text().partition(markers[0])
    after = rest.partition(markers[1])[2]
    if not after:
        raise click.UsageError(f"{path} has no markers {markers[0]!r} and {markers[1]!r} for the tables")
    Path(path).write_text(before + markers[0] + text + markers[1] + after)


def describe_machine():
    """Returns the date and time, and the machine and its load."""
    load = ", ".join(f"{average:.1f}" for average in os.getloadavg())
    return (
        f"{time.strftime('%Y-%m-%d %H:%M')}, {os.cpu_count()} cores, load average {load}, "
        f"Python {platform.python_version()}, {platform.system()} {platform.machine()}"
    )


def run_all(quick, at_a_time):
    """Runs all cases and returns the content of capacity.json."""
    start = time.monotonic()
    machine_at_start = describe_machine()
    rows = run_cases(cases(quick), at_a_time, lambda text: click.echo(text, err=True))
    return {
        "took": time.monotonic() - start,
        "machine": f"{machine_at_start}; at its end {describe_machine()}",
        "argv": sys.argv[1:],
        "rows": rows,
    }


@click.command()
@click.option("--quick", is_flag=True, help="Use small sizes; takes about a minute.")
@click.option(
    "--beside",
    "at_a_time",
    default=4,
    show_default=True,
    type=click.IntRange(1, 8),
    help="Cases that run in parallel.",
)
@click.option("--to", default=".", show_default=True, type=click.Path(file_okay=False))
@click.option(
    "--plots", type=click.Path(file_okay=False), help="Folder for plots; without it none are drawn."
)
@click.option(
    "--page",
    "page_path",
    type=click.Path(exists=True, dir_okay=False),
    help="Page to update with the tables.",
)
@click.option(
    "--again",
    type=click.Path(exists=True, dir_okay=False),
    help="JSON file to make the tables from, without a run.",
)
@click.option(
    "--scale",
    type=click.Path(exists=True, file_okay=False),
    help="Folder with JSON files of scale runs, for the page.",
)
def main(quick, at_a_time, to, plots, page_path, again, scale):
    """Runs all cases, or reads their rows from a file, and writes tables and plots."""
    results = json.loads(Path(again).read_text()) if again else run_all(quick, at_a_time)
    Path(to).mkdir(parents=True, exist_ok=True)
    text = "\n".join(page_lines(results["rows"], results["took"], results["machine"])) + "\n"
    Path(to, "capacity.md").write_text(text)
    if not again:
        Path(to, "capacity.json").write_text(json.dumps(results, indent=0))
    if page_path:
        replace_section(page_path, CAPACITY_MARKERS, text)
    if page_path and scale:
        replace_section(page_path, SCALE_MARKERS, "\n".join(scale_tables(scale)) + "\n")
    if plots:
        Path(plots).mkdir(parents=True, exist_ok=True)
        draw_plots(fit_growths(results["rows"]), plots)
    click.echo(text)


if __name__ == "__main__":
    main()
