"""grebedyke members: who votes in the fleet's consensus."""

import json

import click

from grebedyke.commands.node_calls import call_any_node, node_option


@click.group()
def members():
    """The nodes that vote on what the fleet agrees on."""


@members.command("show")
@node_option
def show(nodes):
    """Who votes, and whether the asked node does."""
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
        click.echo(call_any_node(nodes, "POST", f"/v1/agreement/{name}/{number}"))


_add_change_command("add", "Node NUMBER votes from now on, once it has heard all that was agreed on.")
_add_change_command("remove", "Node NUMBER votes no more.")
