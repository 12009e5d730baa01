"""Load that all nodes together send to cold executors, compared to the bound at which the executors fail.

    python -m benchmarks.cold [--seed 1] [--rounds 10] [--nodes 1,5,30] [--seconds 30]

Runs in simulated time without sockets, with dispatchers opened from settings as `run` does and with the
executor model of the emulator. Each round draws settings, executors and traffic from its seed: some nodes get
several times the mean traffic and others almost none, half of the executors are replaced at once, the change
of the endpoint list reaches the nodes seconds apart, a burst follows, and a fifth of the nodes restarts
repeatedly. `benchmarks.cold_load_checker` describes how the load is counted.
"""

from concurrent.futures import ProcessPoolExecutor
from typing import NamedTuple

import click

from benchmarks.cold_round import Round

NODE_COUNTS = 1, 5, 30


class RoundResult(NamedTuple):
    """The result of a round, which is passed between processes.

    Attributes:
        worst: The `Window` nearest to its bound or farthest beyond it; None if there was no window.
        violations: Number of windows over their bound.
        windows: Number of checked windows.
        attempts: Number of attempts that reached an executor.
        cold_attempts: Number of attempts that reached a cold executor.
        settings: The settings of the round as one line.
    """

    worst: object
    violations: int
    windows: int
    attempts: int
    cold_attempts: int
    settings: str

    def describe(self):
        """Returns the result as one line."""
        return (
            f"{self.worst and self.worst.describe()}; {self.violations} of {self.windows} windows over the "
            f"bound; {self.cold_attempts} of {self.attempts} attempts at cold executors; {self.settings}"
        )


def run_round(arguments):
    """Runs a round with these arguments of `Round` and returns its `RoundResult`."""
    finished_round = Round(*arguments).run()
    checker = finished_round.checker
    return RoundResult(
        worst=checker.worst,
        violations=len(checker.violations),
        windows=checker.window_count,
        attempts=finished_round.attempts,
        cold_attempts=checker.cold_attempts,
        settings=finished_round.settings.describe(),
    )


@click.command()
@click.option("--seed", default=1, help="Seed of the first round.")
@click.option("--rounds", default=10, help="Random rounds for each number of nodes.")
@click.option("--nodes", default=",".join(map(str, NODE_COUNTS)), help="Numbers of nodes.")
@click.option("--seconds", default=30, help="Simulated seconds of each round.")
@click.option("--beside", default=2, help="Rounds that run at the same time.")
@click.option("--every/--worst-only", default=False, help="Also print a line for each round.")
def main(seed, rounds, nodes, seconds, beside, every):
    """Runs rounds for each number of nodes and prints the worst windows."""
    with ProcessPoolExecutor(beside) as pool:
        for node_count in map(int, nodes.split(",")):
            arguments = [(seed + number, node_count, seconds) for number in range(rounds)]
            results = list(pool.map(run_round, arguments))
            for number, result in enumerate(results if every else ()):
                print(f"  seed {seed + number}: {result.describe()}")
            print(summary(node_count, results))


def summary(node_count, results):
    """Returns the line that sums up all rounds of one number of nodes."""
    worst = max(result.worst for result in results if result.worst)
    windows = sum(result.windows for result in results)
    violations = sum(result.violations for result in results)
    rounds_with_violations = sum(result.violations > 0 for result in results)
    cold_attempts = sum(result.cold_attempts for result in results)
    return (
        f"{node_count} nodes, {len(results)} rounds: worst {worst.describe()}; over the bound in "
        f"{rounds_with_violations} rounds, {violations} of {windows} windows; {cold_attempts} attempts at "
        "cold executors"
    )


if __name__ == "__main__":
    main()
