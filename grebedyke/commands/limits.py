"""grebedyke limits: the state of the fleet's limits at a node."""

import json

import click

from grebedyke.commands.node_calls import call_any_node, node_option


@click.command("limits")
@node_option
def limits(nodes):
    """Shows the fleet's limits at one node: its floor and share, and the requests passed and denied."""
    view = json.loads(call_any_node(nodes, "GET", "/v1/limits"))
    holder = "no holder yet" if view["holder"] is None else f"holder node {view['holder']}"
    asked = view["asked_ms_ago"]
    age = "no answer received" if asked is None else f"share requested {asked} ms ago"
    files = "  files differ: the lowest value applies" if view["files_differ"] else ""
    click.echo(f"{holder}, term {view['term']}; {age}, ends after {view['share_ends_ms']} ms{files}")
    for row in view["limits"]:
        click.echo(_limit_line(row))


def _limit_line(row):
    parts = (row["tenant"], row["operation"], row["further"] and "again")
    subject = " ".join(part for part in parts if part) or "all"
    used = f"under way {row['under_way']}" if row["kind"] == "under way" else f"burst {row['burst']}"
    return (
        f"{row['name']:20} {subject:20} {row['limit']:g} {row['kind']}  here {row['floor']:g} + "
        f"{row['share']:g}  {used}  passed {row['passed']}  denied {row['denied']}"
    )
