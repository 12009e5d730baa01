"""Calls to the nodes' admin API, for the commands that control a running fleet."""

import asyncio
import json

import click

from grebedyke.commands.failing import ExitCode, fail
from grebedyke.emulators import http_messages

CALL_TIMEOUT = 8.0
"""Seconds; well above the time limit of a node for reaching an agreement."""

SERVICE_UNAVAILABLE = 503
REFUSED_STATUSES = (400, 404, 409)
"""Statuses by which a node reports that the command itself is invalid."""

node_option = click.option(
    "--node",
    "nodes",
    multiple=True,
    required=True,
    metavar="HOST:PORT",
    help="Address of a node's admin API. May be repeated: the next one is called if a node does not answer.",
)


def call_any_node(nodes, method, path, body=None):
    """Returns the text of a node's answer; exits with an error message if no node answers or one refuses.

    The nodes are called in order until one gives an answer other than 503.

    Args:
        nodes: Addresses of admin APIs, as HOST:PORT.
        method: GET or POST.
        path: The path of the call.
        body: Data to send as JSON, None for no body.
    """
    status, text = _first_answer(nodes, method, path, body)
    if status != 200:
        fail(text, ExitCode.BAD_INPUT if status in REFUSED_STATUSES else ExitCode.CANNOT_SERVE)
    return text


def _first_answer(nodes, method, path, body):
    """Returns (status, text) of the first node that answers other than 503, else of the last node called."""
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
