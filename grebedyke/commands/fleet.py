"""What operators and maintainers type about the fleet: plans, members, and rounds under faults."""

import asyncio
import json
import time
from concurrent.futures import ProcessPoolExecutor, as_completed
from pathlib import Path

import click

from grebedyke.commands.say import fail
from grebedyke.standin import talk

# So much longer than the nodes' own limit on an agreement.
WAIT = 8.0


def ask(consoles, method, path, body=None):
    """(status, text) of the first node that answers more than a doubt; the others are asked in turn."""
    data, last = json.dumps(body).encode() if body is not None else b"", (0, "no node answers")
    for text in consoles:
        try:
            where = talk.place(text)
        except ValueError as problem:
            fail(str(problem))
        status, told = asyncio.run(talk.call(where, f"{method} {path} HTTP/1.1", data, WAIT))
        if status not in (0, 503):
            return status, told.decode(errors="replace").strip()
        last = status, told.decode(errors="replace").strip() or f"{text}: no answer"
    return last


def told(consoles, method, path, body=None):
    """The text of a yes; else one plain line and an exit code: 2 bad input, 1 nobody could say."""
    status, text = ask(consoles, method, path, body)
    if status != 200:
        fail(text, 2 if status in (400, 404, 409) else 1)
    return text


node = click.option(
    "--node",
    "nodes",
    multiple=True,
    required=True,
    metavar="HOST:PORT",
    help="A node's operators' address; several times: the next is asked where one is silent.",
)


@click.group()
def maintenance():
    """Machines out for work, in an order that the nodes settle among themselves.

    \b
    Example:
      grebedyke maintenance plan work.json --node 127.0.0.1:9010 --node 127.0.0.1:9011
      grebedyke maintenance status --node 127.0.0.1:9010
    """


@maintenance.command()
@click.argument("path", type=click.Path(dir_okay=False))
@node
def plan(path, nodes):
    """Gives the fleet the plan in the file PATH (JSON or TOML). Given twice it is the same plan."""
    from grebedyke.checks import ConfigurationError
    from grebedyke.service.configuration import parse_plain

    try:
        said = parse_plain(Path(path).read_bytes(), path)
    except OSError as problem:
        fail(f"{path}: {problem.strerror}")
    except ConfigurationError as problem:
        fail(f"{path}: {problem}")
    click.echo(told(nodes, "POST", "/v1/maintenance/plan", said))


@maintenance.command()
@node
def status(nodes):
    """Where each machine of the plan stands, as a node knows it."""
    said = json.loads(told(nodes, "GET", "/v1/maintenance"))
    sure = "sure" if said["sure"] else "not sure"
    age = "never heard" if said["as_of_ms"] is None else f"as of {said['as_of_ms']} ms ago"
    click.echo(f"plan {said['plan'] or '-'}  {said['state'] or 'none'}  number {said['rev']}  {sure}, {age}")
    for row in said["machines"]:
        click.echo(f"{row['name']:24} {row['state']:8} {row['number']}")
    if said["waits_for"]:
        click.echo("waits for nodes " + " ".join(map(str, said["waits_for"])))
    for row in said["past"]:
        click.echo(f"before: {row['plan']} {row['state']}")


def simple(word, what):
    @maintenance.command(word, help=what)
    @node
    def command(nodes):
        click.echo(told(nodes, "POST", f"/v1/maintenance/{word}"))


simple("pause", "No further machine is taken out; what is out goes on.")
simple("go", "On after a pause or a halt.")
simple("abort", "Nothing further is taken out, what is only leaving is used again; what is out comes back.")


@maintenance.command()
@click.argument("name")
@click.argument("number", type=int)
@node
def back(name, number, nodes):
    """Work on the executor NAME is over; NUMBER is the one under which `status` tells it free."""
    click.echo(told(nodes, "POST", f"/v1/maintenance/back/{name}/{number}"))


@click.group()
def members():
    """The nodes that vote on what the fleet agrees on."""


@members.command("show")
@node
def show(nodes):
    """Who votes, and whether the asked node does."""
    said = json.loads(told(nodes, "GET", "/v1/agreement"))
    voters, why = " ".join(map(str, said["members"])), said["why"] or "since its start"
    click.echo(
        f"voters {voters}  epoch {said['epoch']}  this node: {said['phase']} ({why})  "
        f"disk failures {said['disk_failures']}"
    )


def change(word, what):
    @members.command(word, help=what)
    @click.argument("number", type=int)
    @node
    def command(number, nodes):
        click.echo(told(nodes, "POST", f"/v1/agreement/{word}/{number}"))


change("add", "Node NUMBER votes from now on, once it has heard all that was agreed on.")
change("remove", "Node NUMBER votes no more.")


@click.command("limits")
@node
def limits_command(nodes):
    """The fleet's limits as a node knows them: its share, its floor, what went through and was denied."""
    said = json.loads(told(nodes, "GET", "/v1/limits"))
    holder = "no holder yet" if said["holder"] is None else f"holder node {said['holder']}"
    asked = said["asked_ms_ago"]
    age = "never answered" if asked is None else f"share asked for {asked} ms ago"
    files = "  files differ: the least counts" if said["files_differ"] else ""
    click.echo(f"{holder}, term {said['term']}; {age}, ends after {said['share_ends_ms']} ms{files}")
    for row in said["limits"]:
        on = " ".join(x for x in (row["tenant"], row["operation"], row["further"] and "again") if x) or "all"
        used = f"under way {row['under_way']}" if row["kind"] == "under way" else f"burst {row['burst']}"
        click.echo(
            f"{row['name']:20} {on:20} {row['limit']:g} {row['kind']}  here {row['floor']:g} + "
            f"{row['share']:g}  {used}  passed {row['passed']}  denied {row['denied']}"
        )


@click.command()
@click.option("--seed", default=1, show_default=True, help="Of the first round; the others follow.")
@click.option("--rounds", default=10, show_default=True, type=click.IntRange(1, 100_000))
@click.option("--processes", default=5, show_default=True, type=click.IntRange(3, 40), help="Nodes.")
@click.option("--seconds", default=8.0, show_default=True, type=click.FloatRange(1, 600), help="Of faults.")
@click.option("--beside", default=2, show_default=True, type=click.IntRange(1, 16), help="Rounds at a time.")
@click.option("--simulated", is_flag=True, help="In simulated time, without processes: thousands of rounds.")
@click.option("--limits", is_flag=True, help="Simulated rounds of the fleet's limits, not of a plan.")
@click.option("--build", "broken_build", help="A build broken on purpose (simulated), which must be caught.")
@click.option(
    "--older",
    type=click.Path(file_okay=False, exists=True, resolve_path=True),
    help="The tree of another version: each start of a node draws which of the two runs.",
)
@click.option(
    "--keep",
    default="found",
    show_default=True,
    type=click.Path(file_okay=False),
    help="Where a round that broke something is kept.",
)
def torture(seed, rounds, processes, seconds, beside, simulated, limits, broken_build, older, keep):
    """Plays rounds of a fleet under drawn faults on this machine; exit code 3 where an invariant broke.

    \b
    Examples:
      grebedyke torture --seed 1 --rounds 20
      grebedyke torture --simulated --rounds 2000 --beside 8
    """
    from grebedyke.testbed import broken_builds

    builds = broken_builds.LIMITS if limits else broken_builds.BUILDS
    if limits and not simulated:
        fail("--limits goes with --simulated")
    if broken_build and (broken_build not in builds or not simulated):
        fail(f"--build is one of these, with --simulated: {'; '.join(builds)}")
    start, failed, done = time.monotonic(), 0, {}
    with ProcessPoolExecutor(beside) as pool:
        waiting = [
            pool.submit(one_round, s, processes, seconds, simulated, limits, broken_build, older)
            for s in range(seed, seed + rounds)
        ]
        try:
            for n, ready in enumerate(as_completed(waiting), 1):
                its_seed, found, counts, logs = ready.result()
                done = {key: done.get(key, 0) + counts.get(key, 0) for key in {*done, *counts}}
                if found:
                    failed += 1
                    kept = keep_round(Path(keep), its_seed, processes, seconds, found, logs)
                    click.echo(f"seed {its_seed}: {found[0]}   kept in {kept}")
                if n % 10 == 0 or n == rounds:
                    took = time.monotonic() - start
                    click.echo(f"{n} of {rounds} rounds, {failed} broken, {took:.0f} s", err=True)
        except KeyboardInterrupt:
            for future in waiting:
                future.cancel()
            fail("stopped", 1)
    click.echo("  ".join(f"{key} {n}" for key, n in sorted(done.items())))
    click.echo(f"{rounds} rounds: {failed or 'none'} broken")
    raise SystemExit(3 if failed else 0)


def one_round(seed, processes, seconds, simulated, limits, broken_build, older):
    """(seed, what broke, what came about, logs): plain types, as it runs in a process of its own."""
    if simulated:
        from contextlib import nullcontext

        from grebedyke.testbed import broken_builds, simulated_cluster, simulated_limits

        with broken_builds.build(broken_build) if broken_build else nullcontext():
            voters = 3 if processes < 7 else 5
            found, played = (simulated_limits if limits else simulated_cluster).play(
                seed, nodes=processes, voters=voters
            )
        return seed, [[str(x) for x in row] for row in found], dict(played.event_counts), {}
    from grebedyke.testbed import trial

    played = asyncio.run(trial.play(seed, processes=processes, seconds=seconds, older=older))
    return seed, [[str(x) for x in row] for row in played.violations], dict(played.event_counts), played.logs


def keep_round(folder, seed, processes, seconds, found, logs):
    """What plays it again, and what it showed."""
    place = folder / f"round-{seed}"
    place.mkdir(parents=True, exist_ok=True)
    again = f"grebedyke torture --seed {seed} --rounds 1 --processes {processes} --seconds {seconds:g}"
    (place / "found.json").write_text(json.dumps({"again": again, "broken": found}, indent=1) + "\n")
    for name, text in logs.items():
        (place / f"{name}.log").write_text(text)
    return place
