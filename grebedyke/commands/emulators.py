"""grebedyke stand-in: emulators of an executor and of discovery."""

import asyncio
import signal

import click

from grebedyke.commands.addresses import parse_named_addresses
from grebedyke.commands.failing import ExitCode, fail


@click.group("stand-in")
def stand_in():
    """Emulators on a loopback address: an executor or discovery."""


@stand_in.command("executor")
@click.option("--name", required=True)
@click.option("--listen", default="127.0.0.1:0", show_default=True, metavar="HOST:PORT")
@click.option(
    "--node",
    "nodes",
    multiple=True,
    required=True,
    metavar="NAME=HOST:PORT",
    help="Address for updates on jobs whose ids begin with NAME-. May be repeated.",
)
@click.option("--slots", default=4, show_default=True, type=click.IntRange(1, 1024))
@click.option("--queue", default=16, show_default=True, type=click.IntRange(0, 100_000))
@click.option("--speed", default=1.0, show_default=True, type=click.FloatRange(0.01, 100))
@click.option(
    "--cold",
    "cold_capacity",
    default=0.3,
    show_default=True,
    type=click.FloatRange(0.01, 1),
    help="Share of the full capacity after a start.",
)
@click.option(
    "--ramp",
    "warm_up_time",
    default=8.0,
    show_default=True,
    type=click.FloatRange(0, 3600),
    help="Seconds until the full capacity is reached.",
)
@click.option("--fault", "faults", multiple=True, metavar="KIND[@SECONDS[+SECONDS]][%PERCENT]")
@click.option("--seed", default=0, show_default=True)
def executor(name, listen, nodes, faults, seed, **settings):
    """Runs an emulated executor; each job takes the `work_ms` in its body, and faults occur as requested."""
    from grebedyke.emulators import http_messages
    from grebedyke.emulators.executor import ExecutorEmulator
    from grebedyke.emulators.executor_model import ExecutorModel, ExecutorSettings
    from grebedyke.emulators.faults import FaultScript, parse_fault

    try:
        address = http_messages.parse_address(listen)
        node_addresses = parse_named_addresses(nodes)
        script = FaultScript([parse_fault(text) for text in faults], seed)
    except ValueError as problem:
        fail(str(problem))

    async def serve():
        """Serves requests until the process is stopped."""
        model = ExecutorModel(ExecutorSettings(**settings))
        await _listen(ExecutorEmulator(name, node_addresses, model, script), address)

    _run_until_stopped(serve())


@stand_in.command("discovery")
@click.option("--listen", default="127.0.0.1:0", show_default=True, metavar="HOST:PORT")
@click.option("--executor", "executors", multiple=True, required=True, metavar="NAME=HOST:PORT[,zone,type]")
@click.option(
    "--delay",
    default=0.0,
    show_default=True,
    type=click.FloatRange(0, 60),
    help="Seconds until a change is visible.",
)
def discovery(listen, executors, delay):
    """Runs an emulated discovery that lists the given executors."""
    from grebedyke.emulators import http_messages
    from grebedyke.emulators.discovery import DiscoveryEmulator

    emulator = DiscoveryEmulator(delay)
    try:
        address = http_messages.parse_address(listen)
        for text in executors:
            name, _, rest = text.partition("=")
            executor_address, *zone_and_kind = rest.split(",")
            emulator.add(name, http_messages.parse_address(executor_address), *zone_and_kind[:2])
    except ValueError as problem:
        fail(str(problem))
    _run_until_stopped(_listen(emulator, address))


async def _listen(server, address):
    await server.listen(*address)
    click.echo("listening at %s:%d" % server.address)
    await asyncio.Event().wait()


def _run_until_stopped(coroutine):
    """Runs a coroutine until Ctrl-C or SIGTERM."""
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        asyncio.run(coroutine)
    except KeyboardInterrupt:
        pass
    except OSError as problem:
        fail(f"cannot listen: {problem.strerror}", ExitCode.CANNOT_SERVE)
