"""Calls of the nodes' admin API, for the commands that operators use on a running fleet."""

import asyncio
import json

import click

from grebedyke.commands.failing import ExitCode, fail
from grebedyke.emulators import http_messages

CALL_TIMEOUT = 8.0
"""Seconds; well over a node's own limit on an agreement."""

SERVICE_UNAVAILABLE = 503
REFUSED_STATUSES = (400, 404, 409)
"""By these the node says that the command itself is wrong."""

node_option = click.option(
    "--node",
    "nodes",
    multiple=True,
    required=True,
    metavar="HOST:PORT",
    help="A node's operators' address; several times: the next is asked where one is silent.",
)


def call_any_node(nodes, method, path, body=None):
    """Returns the text that a node answers; ends the program where none does, or it refuses.

    The nodes are asked one after the other until one answers other than that it is unavailable.

    Args:
        nodes: Addresses of admin APIs, as HOST:PORT.
        method: GET or POST.
        path: Of the call.
        body: What is sent with it as JSON, if anything.
    """
    status, text = _first_answer(nodes, method, path, body)
    if status != 200:
        fail(text, ExitCode.BAD_INPUT if status in REFUSED_STATUSES else ExitCode.CANNOT_SERVE)
    return text


def _first_answer(nodes, method, path, body):
    """Returns (status, text) of the first node that decides, else of the last that was asked."""
    data = json.dumps(body).encode() if body is not None else b""
    status = http_messages.NO_RESPONSE
    text = "no node answers"
    for node in nodes:
        try:
            address = http_messages.parse_address(node)
        except ValueError as problem:
            fail(str(problem))
        response = asyncio.run(http_messages.call(address, method, path, data, CALL_TIMEOUT))
        status = response.status
        text = response.body.decode(errors="replace").strip()
        if status not in (http_messages.NO_RESPONSE, SERVICE_UNAVAILABLE):
            return status, text
        text = text or f"{node}: no answer"
    return status, text
