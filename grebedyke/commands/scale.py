"""grebedyke scale: a fleet as large as this machine allows, in a scene, counted by role and judged."""

import asyncio
import json
from pathlib import Path

import click

from grebedyke.commands.say import fail


@click.command()
@click.option("--nodes", default=40, show_default=True, type=click.IntRange(3, 2_000))
@click.option("--real", default=3, show_default=True, type=click.IntRange(0, 100), help="Of them, real ones.")
@click.option("--seed", default=1, show_default=True)
@click.option(
    "--for",
    "seconds",
    default=20.0,
    show_default=True,
    type=click.FloatRange(1, 3_600),
    help="Seconds that are counted.",
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
    help="What the driver of a plan and the holder of the limits are: two nodes, but for any.",
)
@click.option(
    "--each", default=16, show_default=True, type=click.IntRange(1, 500), help="Hollow nodes in a process."
)
@click.option("--lease", default=2.0, show_default=True, type=click.FloatRange(0.4, 60), help="Seconds.")
@click.option(
    "--wait",
    default=0.2,
    show_default=True,
    type=click.FloatRange(0.05, 15),
    help="For another node's answer, in seconds.",
)
@click.option(
    "--loss", default=0.0, show_default=True, type=click.FloatRange(0, 0.9), help="Of each datagram."
)
@click.option("--delay", default=0.0, show_default=True, type=click.FloatRange(0, 5), help="Seconds, mean.")
@click.option("--host", help="A loopback address of this machine; drawn without it.")
@click.option(
    "--port",
    default=21_000,
    show_default=True,
    type=click.IntRange(1_024, 65_000),
    help="The first of the ports.",
)
@click.option("--build", help="A build broken on purpose, which must be caught.")
@click.option("--simulated", is_flag=True, help="The same fleet in simulated time beside it.")
@click.option("--json", "json_path", type=click.Path(dir_okay=False), help="All figures to this file.")
def scale(
    nodes,
    real,
    seed,
    seconds,
    scene,
    lead,
    each,
    lease,
    wait,
    loss,
    delay,
    host,
    port,
    build,
    simulated,
    json_path,
):
    """Plays a scene with hollow and real nodes on this machine; exit code 3 where a limit is exceeded or an
    invariant broke.

    \b
    Examples:
      grebedyke scale --nodes 40 --real 3 --for 20
      grebedyke scale --nodes 760 --real 20 --seed 1 --for 120 --scene cut --json cut.json
    """
    from grebedyke.standin import talk
    from grebedyke.testbed import broken_builds, scale_report, scale_run, simulated_fleet
    from grebedyke.testbed.scale_capacity import DoesNotFitError
    from grebedyke.testbed.scale_settings import ScaleSettings

    builds = broken_builds.BUILDS | broken_builds.LIMITS | broken_builds.SCALE
    if build and build not in builds:
        fail(f"--build is one of these: {'; '.join(builds)}")
    if wait * 4 > lease:
        fail(f"--lease is under four times --wait: {lease:g}")
    try:
        host = host and talk.loopback(host)
        result = asyncio.run(
            scale_run.play(
                lambda text: click.echo(text, err=True),
                nodes=nodes,
                real=real,
                seed=seed,
                seconds=seconds,
                scene=scene,
                lead=None if lead == "any" else lead,
                hollow_per_process=each,
                lease=lease,
                wait=wait,
                loss=loss,
                delay=delay,
                host=host,
                first_port=port,
                build=build,
            )
        )
        if simulated:
            result["simulated"] = simulated_fleet.play(
                ScaleSettings(nodes=nodes, real=0, seed=seed, scene=scene, lease=lease, wait=wait),
                min(seconds, 20.0),
            )
    except (DoesNotFitError, ValueError) as problem:
        fail(str(problem))
    except (KeyboardInterrupt, asyncio.CancelledError):
        fail("stopped", 1)
    except (OSError, TimeoutError) as problem:
        fail(str(problem) or repr(problem), 1)
    for line in scale_report.table_lines(result):
        click.echo(line)
    for row in result["hollow_beside_real"]:
        if not row["within"]:
            click.echo(
                f"hollow and real differ: {row['role']} {row['count']}: {row['hollow']:.4g} and "
                f"{row['real']:.4g}: {row['why']}"
            )
    for when, took in result["times_s"].items():
        click.echo(
            f"all agree {when.removeprefix('at the ')}: "
            + ("not in time" if took is None else f"{took:.1f} s")
        )
    if json_path:
        Path(json_path).write_text(json.dumps(result, indent=1, default=str) + "\n")
    wrong = [*scale_report.problem_lines(result)]
    for line in wrong:
        click.echo(line)
    raise SystemExit(3 if wrong else 0)
