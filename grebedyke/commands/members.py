"""grebedyke members: the voters of the fleet's consensus."""

import json

import click

from grebedyke.commands.node_calls import call_any_node, node_option


@click.group()
def members():
    """Shows and changes the nodes that vote in the fleet's consensus."""


@members.command("show")
@node_option
def show(nodes):
    """Shows the voters, and whether the called node votes."""
    view = json.loads(call_any_node(nodes, "GET", "/v1/agreement"))
    voters = " ".join(map(str, view["members"]))
    reason = view["why"] or "since its start"
    click.echo(
        f"voters {voters}  epoch {view['epoch']}  this node: {view['phase']} ({reason})  "
        f"disk failures {view['disk_failures']}"
    )


def _add_change_command(name, help_text):
    @members.command(name, help=help_text)
    @click.argument("number", type=int)
    @node_option
    def command(number, nodes):
        """Sends the change to the first node that answers and prints the answer."""
        click.echo(call_any_node(nodes, "POST", f"/v1/agreement/{name}/{number}"))


_add_change_command("add", "Adds node NUMBER to the voters; it votes once it has received all chosen values.")
_add_change_command("remove", "Removes node NUMBER from the voters.")
