"""grebedyke torture: runs trials of a fleet under random faults; the command line calls them rounds."""

import asyncio
import json
import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor, as_completed
from contextlib import nullcontext
from dataclasses import dataclass
from pathlib import Path
from typing import NamedTuple

import click

from grebedyke.commands.failing import ExitCode, fail

PROGRESS_ROUNDS = 10
"""Number of rounds between two lines of progress."""


@dataclass(frozen=True, slots=True, kw_only=True)
class RoundSettings:
    """The settings of all rounds of a run.

    Attributes:
        processes: Number of nodes.
        seconds: How long faults are injected; not used in simulated time.
        simulated: Whether rounds run in simulated time.
        limits: Whether simulated rounds test fleet-wide limits instead of a maintenance plan.
        broken_build: Name of a broken build, None for the unchanged program.
        older: Source tree of another version, which a random part of the node starts run; None for none.
    """

    processes: int
    seconds: float
    simulated: bool
    limits: bool
    broken_build: str | None
    older: str | None


class RoundResult(NamedTuple):
    """The result of a round in types that can be passed between processes.

    Attributes:
        seed: The round's seed.
        violations: The fields of each violation as texts; of simulated rounds the time in ticks comes first.
        event_counts: Number of occurrences of each fault and other event.
        logs: Logs of the nodes by name if there were violations, otherwise empty.
    """

    seed: int
    violations: list[list[str]]
    event_counts: dict[str, int]
    logs: dict[str, str]


@click.command()
@click.option(
    "--seed", default=1, show_default=True, help="Seed of the first round; it increases by 1 per round."
)
@click.option("--rounds", default=10, show_default=True, type=click.IntRange(1, 100_000))
@click.option(
    "--processes", default=5, show_default=True, type=click.IntRange(3, 40), help="Number of nodes."
)
@click.option(
    "--seconds",
    default=8.0,
    show_default=True,
    type=click.FloatRange(1, 600),
    help="How long faults are injected.",
)
@click.option(
    "--beside", default=2, show_default=True, type=click.IntRange(1, 16), help="Rounds that run in parallel."
)
@click.option("--simulated", is_flag=True, help="Simulated time without processes, for thousands of rounds.")
@click.option("--limits", is_flag=True, help="Simulated rounds with fleet-wide limits instead of a plan.")
@click.option("--build", "broken_build", help="A broken build, whose fault must be found; with --simulated.")
@click.option(
    "--older",
    type=click.Path(file_okay=False, exists=True, resolve_path=True),
    help="Source tree of another version; each start of a node draws one of the two versions.",
)
@click.option(
    "--keep",
    default="found",
    show_default=True,
    type=click.Path(file_okay=False),
    help="Folder for the results of rounds with violations.",
)
def torture(seed, rounds, beside, keep, **round_options):
    """Runs rounds of a fleet under random faults on this machine; exit code 3 if an invariant was violated.

    \b
    Examples:
      grebedyke torture --seed 1 --rounds 20
      grebedyke torture --simulated --rounds 2000 --beside 8
    """
    settings = RoundSettings(**round_options)
    _check(settings)
    tally = Tally(rounds, settings, Path(keep))
    _run_rounds(range(seed, seed + rounds), settings, beside, tally.add)
    tally.print_summary()
    raise SystemExit(ExitCode.RULE_BROKEN if tally.failures else ExitCode.OK)


class Tally:
    """Counts the rounds of a run, prints its progress and stores the results of failed rounds.

    Attributes:
        rounds: Number of rounds of the run.
        settings: The `RoundSettings`.
        folder: Folder for the results of failed rounds.
        finished: Number of finished rounds.
        failures: Number of rounds with violations.
        event_counts: Number of occurrences of each fault and other event.
        start: The monotonic time of the run's start, in seconds.
    """

    def __init__(self, rounds, settings, folder):
        self.rounds = rounds
        self.settings = settings
        self.folder = folder
        self.finished = 0
        self.failures = 0
        self.event_counts = Counter()
        self.start = time.monotonic()

    def add(self, result):
        """Adds a `RoundResult`; prints its first violation and the progress."""
        self.finished += 1
        self.event_counts.update(result.event_counts)
        if result.violations:
            self.failures += 1
            folder = _keep_round(self.folder, result, self.settings)
            click.echo(f"seed {result.seed}: {result.violations[0]}   kept in {folder}")
        if self.finished % PROGRESS_ROUNDS == 0 or self.finished == self.rounds:
            elapsed = time.monotonic() - self.start
            click.echo(
                f"{self.finished} of {self.rounds} rounds, {self.failures} broken, {elapsed:.0f} s", err=True
            )

    def print_summary(self):
        """Prints the event counts and the number of failed rounds."""
        click.echo("  ".join(f"{name} {count}" for name, count in sorted(self.event_counts.items())))
        click.echo(f"{self.rounds} rounds: {self.failures or 'none'} broken")


def _check(settings):
    """Exits with an error if options contradict each other or the build is unknown."""
    from grebedyke.testbed import broken_builds

    builds = broken_builds.LIMITS if settings.limits else broken_builds.BUILDS
    if settings.limits and not settings.simulated:
        fail("--limits requires --simulated")
    if settings.broken_build and (settings.broken_build not in builds or not settings.simulated):
        fail(f"--build requires --simulated and one of these names: {'; '.join(builds)}")


def _run_rounds(seeds, settings, at_a_time, on_result):
    """Runs rounds in `at_a_time` parallel processes and calls `on_result` with each result."""
    with ProcessPoolExecutor(at_a_time) as pool:
        futures = [pool.submit(run_round, seed, settings) for seed in seeds]
        try:
            for future in as_completed(futures):
                on_result(future.result())
        except KeyboardInterrupt:
            for future in futures:
                future.cancel()
            fail("stopped", ExitCode.CANNOT_SERVE)


def run_round(seed, settings):
    """Runs one round and returns its `RoundResult`."""
    if settings.simulated:
        return _run_simulated_round(seed, settings)
    from grebedyke.testbed import trial

    result = asyncio.run(
        trial.run(seed, processes=settings.processes, seconds=settings.seconds, older=settings.older)
    )
    return RoundResult(seed, _as_texts(result.violations), dict(result.event_counts), result.logs)


def _run_simulated_round(seed, settings):
    from grebedyke.testbed import broken_builds, simulated_cluster, simulated_limits

    simulation = simulated_limits if settings.limits else simulated_cluster
    voters = 3 if settings.processes < 7 else 5
    build = broken_builds.build(settings.broken_build) if settings.broken_build else nullcontext()
    with build:
        violations, cluster = simulation.run(seed, nodes=settings.processes, voters=voters)
    return RoundResult(seed, _as_texts(violations), dict(cluster.event_counts), {})


def _as_texts(violations):
    return [[str(part) for part in violation] for violation in violations]


def _keep_round(folder, result, settings):
    """Writes the violations and logs of a round and the command that repeats it; returns the folder."""
    round_folder = folder / f"round-{result.seed}"
    round_folder.mkdir(parents=True, exist_ok=True)
    command = (
        f"grebedyke torture --seed {result.seed} --rounds 1 --processes {settings.processes} "
        f"--seconds {settings.seconds:g}"
    )
    found = {"again": command, "broken": result.violations}
    (round_folder / "found.json").write_text(json.dumps(found, indent=1) + "\n")
    for name, text in result.logs.items():
        (round_folder / f"{name}.log").write_text(text)
    return round_folder
