"""grebedyke COMMAND: what people type. Exit codes: 0, 1 cannot serve, 2 bad input, 3 a rule was broken."""

import asyncio
import json
import os
import sys
from importlib import metadata

import click

from grebedyke.commands import fleet as fleet_commands
from grebedyke.commands.say import fail
from grebedyke.commands.scale import scale
from grebedyke.fleetlog import reading, showing, summing


@click.group(context_settings={"help_option_names": ["-h", "--help"], "max_content_width": 100})
def cli():
    """Dispatcher that pushes jobs of unknown size to tiers of workers (TAGS).

    Without a command, `python -m grebedyke` is one node, told all by its environment.

    \b
    Examples:
      grebedyke demo                          three nodes, executors and load on this machine, for 20 s
      BALANCER_CONFIG=node.json grebedyke check
      grebedyke fleet-log logs --span 1 --plot day.png

    Exit codes: 0; 1 cannot serve; 2 bad input; 3 a rule was broken.
    """


@cli.command()
@click.option("--log-level", default="INFO", type=click.Choice(("DEBUG", "INFO", "WARNING", "ERROR")))
@click.option("--log-format", default="text", type=click.Choice(("text", "json")))
def run(log_level, log_format):
    """One node in the foreground, told all by BALANCER_CONFIG and the environment (see README)."""
    from grebedyke.service.start import node_of

    sys.exit(node_of(os.environ, log_level, False, log_format))


@cli.command()
@click.argument("path", required=False, type=click.Path())
@click.option("--explain", is_flag=True, help="All values in force, and where each came from.")
@click.option("--schema", is_flag=True, help="The page of all keys, in Markdown.")
def check(path, explain, schema):
    """Reads the configuration as a node would: PATH, or what BALANCER_CONFIG names.

    Nothing is printed where all is well; else one line with file, line, key and reason, and 2.

    \b
    Example:
      grebedyke check node.toml --explain
    """
    from grebedyke.service import configuration
    from grebedyke.service.configuration import reference_page, schema_keys

    if schema:
        for line in reference_page.page_lines(schema_keys.all_keys()):
            click.echo(line)
        return
    environ = {**os.environ, **({"BALANCER_CONFIG": path} if path else {})}
    path = environ.get("BALANCER_CONFIG", "")
    try:
        said = configuration.read_node(environ)
    except configuration.ConfigurationError as problem:
        fail(where(path, problem))
    if explain:
        with open(path, "rb") as file:
            tree = configuration.parse_node_file(file.read(), path)
        for at, value, origin in configuration.values_in_force(environ, said, tree):
            click.echo(f"{at} = {json.dumps(value, default=str, ensure_ascii=False)}   ({origin})")


def where(path, problem):
    """File, line, key and reason in one line."""
    from grebedyke.service.configuration import source_lines

    text = str(problem).replace("BALANCER_CONFIG ", "").replace("BALANCER_CONFIG: ", "")
    if not path or not problem.path:
        return f"{path}: {text}" if path else str(problem)
    try:
        with open(path, encoding="utf-8") as file:
            find = source_lines.line_in_toml if path.endswith(".toml") else source_lines.line_in_json
            return f"{path}:{find(file.read(), problem.path)}: {text}"
    except (OSError, UnicodeDecodeError):
        return f"{path}: {text}"


@cli.command()
def version():
    """The version of this program."""
    try:
        click.echo(metadata.version("grebedyke"))
    except metadata.PackageNotFoundError:
        click.echo("0.1.0 (from a checkout)")


@cli.command("fleet-log")
@click.argument("paths", nargs=-1, required=True, type=click.Path())
@click.option("--span", default=1.0, show_default=True, help="Seconds that one row sums up.")
@click.option("--csv", "csv_path", type=click.Path(dir_okay=False), help="All columns to this file.")
@click.option("--plot", "plot_path", type=click.Path(dir_okay=False), help="A PNG (extra `plots`).")
@click.option("--events", default=10, show_default=True, help="How many kinds of warnings are listed.")
def fleet_log(paths, span, csv_path, plot_path, events):
    """What all nodes together did, second by second, read from their logs.

    PATHS are log files, or folders in which every file is read. Nodes write a line of counts each five
    seconds, or as often as BALANCER_COUNTS says; a row spreads each line evenly over its time.
    """
    if not 0.1 <= span <= 3600:
        fail(f"--span is out of its range: {span:g}")
    fleet = summing.Fleet(span)
    try:
        for path in reading.files(paths):
            for line in reading.lines(path):
                fleet.add(str(path), line)
    except OSError as problem:
        fail(f"{problem.filename}: {problem.strerror}")
    rows = fleet.rows()
    if not rows:
        fail(f"no line of a node's counts in {', '.join(paths)}")
    for text in showing.table(rows, summing.COLUMNS):
        click.echo(text)
    click.echo("all: " + " ".join(f"{name}={n}" for name, n in fleet.total().items() if n))
    for (level, message), n in fleet.events.most_common(events):
        click.echo(f"{n:6d} {level} {message}")
    if fleet.odd:
        click.echo(f"{fleet.odd} lines were no node's")
    try:
        if csv_path:
            with open(csv_path, "w", newline="") as file:
                showing.write_csv(file, rows, summing.COLUMNS)
        if plot_path:
            showing.plot(plot_path, rows)
    except OSError as problem:
        fail(f"{problem.filename}: {problem.strerror}")
    except ModuleNotFoundError as problem:
        fail(f"--plot needs the extra `plots` ({problem.name} is missing)")


def finish(summary, json_path):
    from grebedyke.load import report

    for line in report.text_lines(summary):
        click.echo(line)
    if json_path:
        try:
            report.write(json_path, summary)
        except OSError as problem:
            fail(f"{json_path}: {problem.strerror}")
    sys.exit(3 if summary["broken"] else 0)


@cli.command()
@click.option("--seconds", default=20.0, show_default=True, type=click.FloatRange(2, 600))
@click.option("--rate", default=40.0, show_default=True, type=click.FloatRange(1, 1000), help="A second.")
@click.option("--seed", default=1, show_default=True)
@click.option("--nodes", default=3, show_default=True, type=click.IntRange(1, 16))
@click.option("--executors", default=6, show_default=True, type=click.IntRange(2, 64))
@click.option("--json", "json_path", type=click.Path(dir_okay=False), help="The summary to this file.")
def demo(seconds, rate, seed, nodes, executors, json_path):
    """Nodes, executors of two kinds and load on this machine: one executor dies, one hangs, rules are judged.

    Needs no file and cleans up after itself, also on Ctrl-C. Exit code 3 where a rule was broken.
    """
    from grebedyke.load import report
    from grebedyke.load.demo import DemoSettings, play_demo

    try:
        settings = DemoSettings(seconds=seconds, rate=rate, seed=seed, nodes=nodes, executors=executors)
        clients, violations = asyncio.run(play_demo(click.echo, settings))
    except KeyboardInterrupt:
        fail("stopped", 1)
    except OSError as problem:
        fail(str(problem), 1)
    finish(report.summarize(clients, violations), json_path)


@cli.command()
@click.option(
    "--node",
    "nodes",
    multiple=True,
    required=True,
    metavar="NAME=HOST:PORT",
    help="Where to hand in; NAME begins the ids, by which stand-ins call back. Several times.",
)
@click.option(
    "--executor",
    "executors",
    multiple=True,
    metavar="HOST:PORT",
    help="A stand-in executor, asked at the end what took effect there. Several times.",
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
    "--arrivals", default="poisson", show_default=True, type=click.Choice(("poisson", "burst", "trace"))
)
@click.option("--trace", type=click.Path(dir_okay=False), help="Seconds, one a line, for --arrivals trace.")
@click.option("--rate", default=20.0, show_default=True, type=click.FloatRange(0.1, 10_000), help="A second.")
@click.option("--seconds", default=10.0, show_default=True, type=click.FloatRange(0.1, 3600))
@click.option(
    "--sizes",
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
    help="Share of clients that go away before their answer.",
)
@click.option("--seed", default=1, show_default=True)
@click.option("--json", "json_path", type=click.Path(dir_okay=False), help="The summary to this file.")
def load(
    nodes,
    executors,
    operations,
    tenants,
    arrivals,
    trace,
    rate,
    seconds,
    sizes,
    mean_ms,
    timeout_ms,
    retries,
    leaving,
    seed,
    json_path,
):
    """Open-loop clients against running nodes, with a ledger that judges the rules; loopback only.

    \b
    Example:
      grebedyke load --node a=127.0.0.1:9000 --executor 127.0.0.1:9100 --operation pay:unsafe --rate 50
    """
    from grebedyke.emulators import http_messages
    from grebedyke.load import report
    from grebedyke.load.arrivals import LoadShape, draw_arrivals

    try:
        places = named_addresses(nodes)
        ends = [http_messages.parse_address(text) for text in executors]
        known = [operation(text, timeout_ms / 1000) for text in operations]
        times = [float(line) for line in open(trace)] if trace else []
        shape = LoadShape(
            operations=tuple(known),
            rate=rate,
            seconds=seconds,
            pattern=arrivals,
            size_law=sizes,
            mean_work=mean_ms / 1000,
            tenants=tenants,
            leaving=leaving,
            trace=tuple(times),
        )
        plan = draw_arrivals(seed, shape)
    except OSError as problem:
        fail(f"{problem.filename}: {problem.strerror}")
    except ValueError as problem:
        fail(str(problem))
    clients = asyncio.run(hand_in(places, ends, plan, seed, retries, known))
    finish(report.summarize(clients, clients.ledger.violations() if ends else None), json_path)


def named_addresses(texts):
    """Returns addresses by name out of NAME=HOST:PORT."""
    from grebedyke.emulators import http_messages

    parts = [text.partition("=") for text in texts]
    return {name: http_messages.parse_address(address) for name, _, address in parts}


def operation(text, timeout):
    from grebedyke.load.arrivals import Operation

    name, _, rest = text.partition(":")
    effect, _, share = rest.partition(":")
    if not name or effect not in ("safe", "keyed", "unsafe"):
        raise ValueError(f"{text}: NAME:EFFECT[:SHARE] is meant, with safe, keyed or unsafe")
    return Operation(name, effect, timeout, share=float(share or 1))


async def hand_in(places, ends, plan, seed, retries, known):
    from grebedyke.emulators import http_messages
    from grebedyke.load.clients import OpenLoopClients

    clients = OpenLoopClients(places, seed=seed, retries=retries)
    playing = asyncio.ensure_future(clients.play(plan))
    while not playing.done():
        await asyncio.wait([playing], timeout=5)
        click.echo("  ".join(f"{name} {n}" for name, n in clients.ledger.counts().items()), err=True)
    await playing
    for end in ends:
        status, body = await http_messages.call(end, "GET", "/runs", timeout=10)
        if status != 200:
            fail("executor %s:%d does not tell what ran there" % end, 1)
        told = json.loads(body)
        clients.ledger.add_effects(told["name"], told["runs"])
        clients.ledger.add_arrivals(told["name"], told["forwards"])
    return clients


@cli.group("stand-in")
def stand_in():
    """What answers a node on loopback: an executor or discovery."""


@stand_in.command("executor")
@click.option("--name", required=True)
@click.option("--listen", default="127.0.0.1:0", show_default=True, metavar="HOST:PORT")
@click.option(
    "--node",
    "nodes",
    multiple=True,
    required=True,
    metavar="NAME=HOST:PORT",
    help="Where news of jobs go whose ids begin with NAME-.",
)
@click.option("--slots", default=4, show_default=True, type=click.IntRange(1, 1024))
@click.option("--queue", default=16, show_default=True, type=click.IntRange(0, 100_000))
@click.option("--speed", default=1.0, show_default=True, type=click.FloatRange(0.01, 100))
@click.option(
    "--cold", default=0.3, show_default=True, type=click.FloatRange(0.01, 1), help="Share at the start."
)
@click.option(
    "--ramp", default=8.0, show_default=True, type=click.FloatRange(0, 3600), help="Seconds to warm."
)
@click.option("--fault", "faults", multiple=True, metavar="KIND[@SECONDS[+SECONDS]][%PERCENT]")
@click.option("--seed", default=0, show_default=True)
def executor(name, listen, nodes, slots, queue, speed, cold, ramp, faults, seed):
    """An executor that runs jobs for the work_ms in their body and goes wrong as told."""
    from grebedyke.emulators import http_messages
    from grebedyke.emulators.executor import ExecutorEmulator
    from grebedyke.emulators.executor_model import ExecutorModel, ExecutorSettings
    from grebedyke.emulators.faults import FaultScript, parse_fault

    try:
        where = http_messages.parse_address(listen)
        places = named_addresses(nodes)
        script = FaultScript([parse_fault(text) for text in faults], seed)
    except ValueError as problem:
        fail(str(problem))

    async def serve():
        settings = ExecutorSettings(
            slots=slots, speed=speed, queue=queue, cold_capacity=cold, warm_up_time=ramp
        )
        await standing(ExecutorEmulator(name, places, ExecutorModel(settings), script), where)

    serve_until_stopped(serve())


@stand_in.command("discovery")
@click.option("--listen", default="127.0.0.1:0", show_default=True, metavar="HOST:PORT")
@click.option("--executor", "executors", multiple=True, required=True, metavar="NAME=HOST:PORT[,zone,type]")
@click.option("--delay", default=0.0, show_default=True, type=click.FloatRange(0, 60), help="Seconds.")
def discovery(listen, executors, delay):
    """Discovery that lists the named executors."""
    from grebedyke.emulators import http_messages
    from grebedyke.emulators.discovery import DiscoveryEmulator

    serves = DiscoveryEmulator(delay)
    try:
        where = http_messages.parse_address(listen)
        for text in executors:
            key, _, rest = text.partition("=")
            to, *more = rest.split(",")
            serves.add(key, http_messages.parse_address(to), *more[:2])
    except ValueError as problem:
        fail(str(problem))
    serve_until_stopped(standing(serves, where))


async def standing(server, where):
    await server.listen(*where)
    click.echo("listening at %s:%d" % server.address)
    await asyncio.Event().wait()


def serve_until_stopped(work):
    import signal

    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        asyncio.run(work)
    except KeyboardInterrupt:
        pass
    except OSError as problem:
        fail(f"cannot listen: {problem.strerror}", 1)


for command in (
    fleet_commands.maintenance,
    fleet_commands.members,
    fleet_commands.limits_command,
    fleet_commands.torture,
    scale,
):
    cli.add_command(command)


if __name__ == "__main__":
    cli()
