"""grebedyke soak: nodes that receive series of signals under load."""

import asyncio
from collections import Counter
from concurrent.futures import ProcessPoolExecutor, as_completed

import click

from grebedyke.commands.failing import ExitCode

PROGRESS_ROUNDS = 10


@click.command()
@click.option(
    "--seed", default=1, show_default=True, help="Seed of the first round; it increases by 1 per round."
)
@click.option("--rounds", default=10, show_default=True, type=click.IntRange(1, 100_000))
@click.option(
    "--seconds",
    default=12.0,
    show_default=True,
    type=click.FloatRange(1, 600),
    help="How long requests arrive.",
)
@click.option(
    "--beside", default=2, show_default=True, type=click.IntRange(1, 16), help="Rounds that run in parallel."
)
def soak(seed, rounds, seconds, beside):
    """Runs rounds of nodes that receive series of signals under load; exit code 3 if a rule was violated.

    \b
    Example:
      grebedyke soak --seed 1 --rounds 50 --beside 4
    """
    broken = 0
    event_counts = Counter()
    with ProcessPoolExecutor(beside) as pool:
        futures = [pool.submit(run_round, number, seconds) for number in range(seed, seed + rounds)]
        for finished, future in enumerate(as_completed(futures), 1):
            result = future.result()
            event_counts.update(result.event_counts)
            broken += bool(result.violations)
            for violation in result.violations:
                click.echo(f"seed {result.seed}: {violation.clause}: {violation.detail}")
            if finished % PROGRESS_ROUNDS == 0 or finished == rounds:
                click.echo(f"{finished} of {rounds} rounds, {broken} broken", err=True)
    click.echo("  ".join(f"{name} {count}" for name, count in sorted(event_counts.items())))
    click.echo(f"{rounds} rounds: {broken or 'none'} broken")
    raise SystemExit(ExitCode.RULE_BROKEN if broken else ExitCode.OK)


def run_round(seed, seconds):
    """Runs one round and returns its `SoakResult`."""
    from grebedyke.testbed import soak as soak_rounds

    return asyncio.run(soak_rounds.run(seed, seconds))
