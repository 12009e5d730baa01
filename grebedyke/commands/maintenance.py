"""grebedyke maintenance: submits and controls plans of maintenance."""

import json
from pathlib import Path

import click

from grebedyke.commands.failing import fail
from grebedyke.commands.node_calls import call_any_node, node_option


@click.group()
def maintenance():
    """Takes machines out for work, in an order that the nodes agree on.

    \b
    Example:
      grebedyke maintenance plan work.json --node 127.0.0.1:9010 --node 127.0.0.1:9011
      grebedyke maintenance status --node 127.0.0.1:9010
    """


@maintenance.command()
@click.argument("path", type=click.Path(dir_okay=False))
@node_option
def plan(path, nodes):
    """Submits the plan in the file PATH (JSON or TOML). Submitting it again only shows its state."""
    from grebedyke.errors import ConfigurationError
    from grebedyke.service.configuration import parse_plain_file

    try:
        plan = parse_plain_file(Path(path).read_bytes(), path)
    except OSError as problem:
        fail(f"{path}: {problem.strerror}")
    except ConfigurationError as problem:
        fail(f"{path}: {problem}")
    click.echo(call_any_node(nodes, "POST", "/v1/maintenance/plan", plan))


@maintenance.command()
@node_option
def status(nodes):
    """Shows the state of each machine of the plan, as known to one node."""
    view = json.loads(call_any_node(nodes, "GET", "/v1/maintenance"))
    certainty = "sure" if view["sure"] else "not sure"
    age = "never confirmed" if view["as_of_ms"] is None else f"as of {view['as_of_ms']} ms ago"
    click.echo(
        f"plan {view['plan'] or '-'}  {view['state'] or 'none'}  number {view['rev']}  {certainty}, {age}"
    )
    for machine in view["machines"]:
        click.echo(f"{machine['name']:24} {machine['state']:8} {machine['number']}")
    if view["waits_for"]:
        click.echo("waits for nodes " + " ".join(map(str, view["waits_for"])))
    for past in view["past"]:
        click.echo(f"past: {past['plan']} {past['state']}")


def _add_rollout_command(name, help_text):
    @maintenance.command(name, help=help_text)
    @node_option
    def command(nodes):
        """Sends the command to the first node that answers and prints the answer."""
        click.echo(call_any_node(nodes, "POST", f"/v1/maintenance/{name}"))


_add_rollout_command("pause", "Takes out no further machine; the work on machines that are out continues.")
_add_rollout_command("go", "Resumes the plan after a pause or a halt.")
_add_rollout_command(
    "abort",
    "Takes out no further machine and uses leaving machines again; machines that are out come back.",
)


@maintenance.command()
@click.argument("name")
@click.argument("number", type=int)
@node_option
def back(name, number, nodes):
    """Confirms that work on the executor NAME is over; NUMBER is the one in `status` while it is free."""
    click.echo(call_any_node(nodes, "POST", f"/v1/maintenance/back/{name}/{number}"))
