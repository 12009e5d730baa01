"""grebedyke demo and grebedyke load: send load on this machine and check the rules with a ledger."""

import asyncio
import json
import sys

import click

from grebedyke.commands.addresses import parse_named_addresses
from grebedyke.commands.failing import ExitCode, fail

PROGRESS_INTERVAL = 5.0  # seconds
RUNS_TIMEOUT = 10.0
"""Seconds within which an executor has to report its effects."""


@click.command()
@click.option("--seconds", default=20.0, show_default=True, type=click.FloatRange(2, 600))
@click.option(
    "--rate", default=40.0, show_default=True, type=click.FloatRange(1, 1000), help="Requests per second."
)
@click.option("--seed", default=1, show_default=True)
@click.option("--nodes", default=3, show_default=True, type=click.IntRange(1, 16))
@click.option("--executors", default=6, show_default=True, type=click.IntRange(2, 64))
@click.option("--json", "json_path", type=click.Path(dir_okay=False), help="Write the summary to this file.")
def demo(json_path, **settings):
    """Runs nodes, executors of two kinds and load on this machine; one executor is killed, another hangs.

    Needs no configuration file and cleans up after itself, also on Ctrl-C. The exit code is 3 if a rule was
    broken.
    """
    from grebedyke.load import report
    from grebedyke.load.demo import DemoSettings, run_demo

    try:
        clients, violations = asyncio.run(run_demo(click.echo, DemoSettings(**settings)))
    except KeyboardInterrupt:
        fail("stopped", ExitCode.CANNOT_SERVE)
    except OSError as problem:
        fail(str(problem), ExitCode.CANNOT_SERVE)
    _finish(report.summarize(clients, violations), json_path)


@click.command()
@click.option(
    "--node",
    "nodes",
    multiple=True,
    required=True,
    metavar="NAME=HOST:PORT",
    help="A node to send to. Request ids begin with NAME, by which stand-ins call back. May be repeated.",
)
@click.option(
    "--executor",
    "executors",
    multiple=True,
    metavar="HOST:PORT",
    help="A stand-in executor, asked for its effects at the end. May be repeated.",
)
@click.option(
    "--operation",
    "operations",
    multiple=True,
    default=("view:safe",),
    show_default=True,
    metavar="NAME:EFFECT[:SHARE]",
    help="EFFECT: safe, keyed or unsafe.",
)
@click.option("--tenant", "tenants", multiple=True, default=("t",), show_default=True)
@click.option(
    "--arrivals",
    "pattern",
    default="poisson",
    show_default=True,
    type=click.Choice(("poisson", "burst", "trace")),
)
@click.option(
    "--trace",
    type=click.Path(dir_okay=False),
    help="File of arrival times in seconds, one per line, for --arrivals trace.",
)
@click.option(
    "--rate", default=20.0, show_default=True, type=click.FloatRange(0.1, 10_000), help="Requests per second."
)
@click.option("--seconds", default=10.0, show_default=True, type=click.FloatRange(0.1, 3600))
@click.option(
    "--sizes",
    "size_law",
    default="exponential",
    show_default=True,
    type=click.Choice(("constant", "exponential", "lognormal", "pareto")),
)
@click.option("--mean-ms", default=100.0, show_default=True, type=click.FloatRange(0.1, 60_000))
@click.option("--timeout-ms", default=4000.0, show_default=True, type=click.FloatRange(10, 60_000))
@click.option("--retries", default=1, show_default=True, type=click.IntRange(0, 10))
@click.option(
    "--leaving",
    default=0.0,
    show_default=True,
    type=click.FloatRange(0, 1),
    help="Share of clients that disconnect before their answer.",
)
@click.option("--seed", default=1, show_default=True)
@click.option("--json", "json_path", type=click.Path(dir_okay=False), help="Write the summary to this file.")
def load(nodes, executors, retries, seed, json_path, **shape_options):
    """Sends open-loop load to running nodes and checks the rules with a ledger; loopback only.

    \b
    Example:
      grebedyke load --node a=127.0.0.1:9000 --executor 127.0.0.1:9100 --operation pay:unsafe --rate 50
    """
    from grebedyke.emulators import http_messages
    from grebedyke.load import report
    from grebedyke.load.arrivals import draw_arrivals

    try:
        node_addresses = parse_named_addresses(nodes)
        executor_addresses = [http_messages.parse_address(text) for text in executors]
        arrivals = draw_arrivals(seed, _load_shape(**shape_options))
    except OSError as problem:
        fail(f"{problem.filename}: {problem.strerror}")
    except ValueError as problem:
        fail(str(problem))
    clients = asyncio.run(_send_load(node_addresses, executor_addresses, arrivals, seed, retries))
    violations = clients.ledger.violations() if executor_addresses else None
    _finish(report.summarize(clients, violations), json_path)


def _load_shape(operations, trace, timeout_ms, mean_ms, **options):
    """Returns the `LoadShape` for the options of `load`; other options are passed on under their names."""
    from grebedyke.load.arrivals import LoadShape

    return LoadShape(
        operations=tuple(_parse_operation(text, timeout_ms / 1000) for text in operations),
        trace=_read_trace(trace) if trace else (),
        mean_work=mean_ms / 1000,
        **options,
    )


def _read_trace(path):
    """Reads arrival times in seconds from a file, one per line."""
    with open(path) as file:
        return tuple(float(line) for line in file)


def _parse_operation(text, timeout):
    """Parses NAME:EFFECT[:SHARE]."""
    from grebedyke.load.arrivals import Operation

    name, _, rest = text.partition(":")
    idempotency, _, share = rest.partition(":")
    if not name or idempotency not in ("safe", "keyed", "unsafe"):
        raise ValueError(
            f"operation {text!r} is not NAME:EFFECT[:SHARE] with the effect safe, keyed or unsafe"
        )
    return Operation(name, idempotency, timeout, share=float(share or 1))


async def _send_load(node_addresses, executor_addresses, arrivals, seed, retries):
    """Sends all requests, collects the effects from the executors, and returns the clients."""
    from grebedyke.load.clients import OpenLoopClients

    clients = OpenLoopClients(node_addresses, seed=seed, retries=retries)
    load_task = asyncio.ensure_future(clients.play(arrivals))
    while not load_task.done():
        await asyncio.wait([load_task], timeout=PROGRESS_INTERVAL)
        counts = clients.ledger.counts()
        click.echo("  ".join(f"{name} {count}" for name, count in counts.items()), err=True)
    await load_task
    for address in executor_addresses:
        await _add_runs(clients.ledger, address)
    return clients


async def _add_runs(ledger, address):
    """Adds the effects and arrivals of an emulated executor to the ledger."""
    from grebedyke.emulators import http_messages

    response = await http_messages.call(address, "GET", "/runs", timeout=RUNS_TIMEOUT)
    if response.status != 200:
        fail("executor %s:%d does not report its effects" % address, ExitCode.CANNOT_SERVE)
    runs = json.loads(response.body)
    ledger.add_effects(runs["name"], runs["runs"])
    ledger.add_arrivals(runs["name"], runs["forwards"])


def _finish(summary, json_path):
    """Prints the summary of a run, writes it to a file if one is given, and exits."""
    from grebedyke.load import report

    for line in report.text_lines(summary):
        click.echo(line)
    if json_path:
        try:
            report.write(json_path, summary)
        except OSError as problem:
            fail(f"{json_path}: {problem.strerror}")
    sys.exit(ExitCode.RULE_BROKEN if summary["broken"] else ExitCode.OK)
