"""The entry point of the command line: grebedyke COMMAND."""

import os
import sys
from importlib import metadata

import click

from grebedyke.commands.configuration import check
from grebedyke.commands.emulators import stand_in
from grebedyke.commands.fleet_log import fleet_log
from grebedyke.commands.limits import limits
from grebedyke.commands.load import demo, load
from grebedyke.commands.maintenance import maintenance
from grebedyke.commands.members import members
from grebedyke.commands.scale import scale
from grebedyke.commands.soak import soak
from grebedyke.commands.torture import torture


@click.group(context_settings={"help_option_names": ["-h", "--help"], "max_content_width": 100})
def cli():
    """Dispatcher that pushes jobs of unknown size to tiers of executors (TAGS).

    Without a command, `python -m grebedyke` runs a node, which is configured by its environment.

    \b
    Examples:
      grebedyke demo                          three nodes, executors and load on this machine, for 20 s
      BALANCER_CONFIG=node.json grebedyke check
      grebedyke fleet-log logs --span 1 --plot day.png

    Exit codes: 0 success; 1 cannot serve; 2 bad input; 3 a rule was broken.
    """


@cli.command()
@click.option("--log-level", default="INFO", type=click.Choice(("DEBUG", "INFO", "WARNING", "ERROR")))
@click.option("--log-format", default="text", type=click.Choice(("text", "json")))
def run(log_level, log_format):
    """Runs a node in the foreground, configured by BALANCER_CONFIG and the environment (see README)."""
    from grebedyke.service.start import run_node

    sys.exit(run_node(os.environ, log_level, False, log_format))


@cli.command()
def version():
    """Prints the version of this program."""
    try:
        click.echo(metadata.version("grebedyke"))
    except metadata.PackageNotFoundError:
        click.echo("0.1.0 (from a checkout)")


for command in (check, fleet_log, demo, load, stand_in, maintenance, members, limits, torture, soak, scale):
    cli.add_command(command)


if __name__ == "__main__":
    cli()
