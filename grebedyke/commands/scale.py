"""grebedyke scale: runs a scene with a fleet of many nodes on this machine, and measures and checks it."""

import asyncio
import json
from pathlib import Path

import click

from grebedyke.commands.failing import ExitCode, fail

MAX_SIMULATED_SECONDS = 20.0
"""Upper limit of the time that is measured in simulated time, in seconds."""

MIN_WAITS_PER_LEASE = 4


@click.command()
@click.option("--nodes", default=40, show_default=True, type=click.IntRange(3, 2_000))
@click.option(
    "--real",
    default=3,
    show_default=True,
    type=click.IntRange(0, 100),
    help="Number of real nodes among them.",
)
@click.option("--seed", default=1, show_default=True)
@click.option(
    "--for",
    "seconds",
    default=20.0,
    show_default=True,
    type=click.FloatRange(1, 3_600),
    help="Measured time in seconds.",
)
@click.option(
    "--scene",
    default="calm",
    show_default=True,
    type=click.Choice(("calm", "peak", "zone", "cut", "restart")),
)
@click.option(
    "--lead",
    default="hollow",
    show_default=True,
    type=click.Choice(("hollow", "real", "any")),
    help="Kind of nodes that drive plans and hold the lease of the limits: two nodes, except for any.",
)
@click.option(
    "--each",
    "hollow_per_process",
    default=16,
    show_default=True,
    type=click.IntRange(1, 500),
    help="Maximum number of hollow nodes in a process.",
)
@click.option(
    "--lease",
    default=2.0,
    show_default=True,
    type=click.FloatRange(0.4, 60),
    help="Lease time of views and shares in seconds.",
)
@click.option(
    "--wait",
    default=0.2,
    show_default=True,
    type=click.FloatRange(0.05, 15),
    help="Timeout for another node's answer in seconds.",
)
@click.option(
    "--loss",
    default=0.0,
    show_default=True,
    type=click.FloatRange(0, 0.9),
    help="Probability that a datagram is lost.",
)
@click.option(
    "--delay",
    default=0.0,
    show_default=True,
    type=click.FloatRange(0, 5),
    help="Mean delay of a datagram in seconds.",
)
@click.option("--host", help="A loopback address of this machine; chosen automatically by default.")
@click.option(
    "--port",
    "first_port",
    default=21_000,
    show_default=True,
    type=click.IntRange(1_024, 65_000),
    help="The first port.",
)
@click.option("--build", help="Name of a broken build, which the checks must detect.")
@click.option("--simulated", is_flag=True, help="Also run the fleet in simulated time.")
@click.option("--json", "json_path", type=click.Path(dir_okay=False), help="Write the results to this file.")
def scale(json_path, simulated, **options):
    """Runs a scene with hollow and real nodes on this machine; exit code 3 if a limit is exceeded, an
    invariant is violated or the run is void.

    \b
    Examples:
      grebedyke scale --nodes 40 --real 3 --for 20
      grebedyke scale --nodes 760 --real 20 --seed 1 --for 120 --scene cut --json cut.json
    """
    from grebedyke.testbed import scale_report

    _check(options)
    result = _run(options, simulated)
    for line in scale_report.table_lines(result):
        click.echo(line)
    for line in _difference_lines(result):
        click.echo(line)
    for line in _agreement_lines(result):
        click.echo(line)
    if json_path:
        Path(json_path).write_text(json.dumps(result, indent=1, default=str) + "\n")
    violations = [*scale_report.problem_lines(result)]
    for line in violations:
        click.echo(line)
    raise SystemExit(ExitCode.RULE_BROKEN if violations else ExitCode.OK)


def _check(options):
    """Ends the program if options contradict each other or the build is unknown."""
    from grebedyke.testbed import broken_builds

    builds = broken_builds.BUILDS | broken_builds.LIMITS | broken_builds.SCALE
    if options["build"] and options["build"] not in builds:
        fail(f"--build is one of these: {'; '.join(builds)}")
    if options["wait"] * MIN_WAITS_PER_LEASE > options["lease"]:
        fail(f"--lease is under four times --wait: {options['lease']:g}")


def _run(options, simulated):
    """Returns the result document; ends the program with one line if the run fails."""
    from grebedyke.emulators import http_messages
    from grebedyke.testbed import scale_run
    from grebedyke.testbed.scale_capacity import CapacityError

    try:
        if options["host"]:
            options = {**options, "host": http_messages.parse_loopback_host(options["host"])}
        lead = None if options["lead"] == "any" else options["lead"]
        result = asyncio.run(
            scale_run.run(lambda text: click.echo(text, err=True), **{**options, "lead": lead})
        )
        if simulated:
            result["simulated"] = _run_simulated(options)
        return result
    except (CapacityError, ValueError) as problem:
        fail(str(problem))
    except (KeyboardInterrupt, asyncio.CancelledError):
        fail("stopped", ExitCode.CANNOT_SERVE)
    except (OSError, TimeoutError) as problem:
        fail(str(problem) or repr(problem), ExitCode.CANNOT_SERVE)


def _run_simulated(options):
    """Runs the same fleet in simulated time, with simulated nodes only."""
    from grebedyke.testbed import simulated_fleet
    from grebedyke.testbed.scale_settings import ScaleSettings

    same = {name: options[name] for name in ("nodes", "seed", "scene", "lease", "wait")}
    return simulated_fleet.run(ScaleSettings(real=0, **same), min(options["seconds"], MAX_SIMULATED_SECONDS))


def _difference_lines(result):
    """Yields a line for each figure in which hollow and real nodes differ."""
    for row in result["hollow_beside_real"]:
        if not row["within"]:
            yield (
                f"hollow and real differ: {row['role']} {row['count']}: {row['hollow']:.4g} and "
                f"{row['real']:.4g}: {row['why']}"
            )


def _agreement_lines(result):
    """Yields a line for each occasion on which all nodes had to agree."""
    for occasion, seconds in result["times_s"].items():
        took = "not in time" if seconds is None else f"{seconds:.1f} s"
        yield f"all agree {occasion.removeprefix('at the ')}: {took}"
