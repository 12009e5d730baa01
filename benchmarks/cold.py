"""What cold executors get from all nodes together, beside the bound at which they fall.

    python -m benchmarks.cold [--seed 1] [--rounds 10] [--nodes 1,5,30] [--seconds 30]

Simulated, without sockets: dispatchers as `run` builds them from settings, executors of the emulator. A round
draws its settings, executors and traffic by its seed: some nodes have several times the mean and some nearly
none, half of the executors are replaced at once, the lists tell of it seconds apart, a burst comes, and a
fifth of the nodes restart again and again. `benchmarks.cold_judge` tells how calls are counted.
"""

from concurrent.futures import ProcessPoolExecutor
from typing import NamedTuple

import click

from benchmarks.cold_round import Round

NODE_COUNTS = 1, 5, 30


class RoundResult(NamedTuple):
    """What a round gives, in plain types for another process.

    Attributes:
        worst: The Window that came nearest to its bound, or None.
        over: Number of windows over their bound.
        windows: Number of windows.
        attempts: Number of attempts that reached an executor.
        cold_calls: Number of those at cold executors.
        settings: The drawn settings in a line.
    """

    worst: object
    over: int
    windows: int
    attempts: int
    cold_calls: int
    settings: str

    def describe(self):
        """Returns the result as one line."""
        return (
            f"{self.worst and self.worst.describe()}; over in {self.over} of {self.windows}; "
            f"{self.cold_calls} of {self.attempts} calls at cold ones; {self.settings}"
        )


def play(arguments):
    """Plays the round of these arguments of Round and returns its RoundResult."""
    played = Round(*arguments).run()
    judge = played.judge
    return RoundResult(
        worst=judge.worst,
        over=len(judge.over),
        windows=judge.windows,
        attempts=played.attempts,
        cold_calls=judge.cold_calls,
        settings=played.settings.describe(),
    )


@click.command()
@click.option("--seed", default=1, help="Of the first round.")
@click.option("--rounds", default=10, help="Drawn rounds for each number of nodes.")
@click.option("--nodes", default=",".join(map(str, NODE_COUNTS)), help="Numbers of nodes.")
@click.option("--seconds", default=30, help="Simulated, for each round.")
@click.option("--beside", default=2, help="Rounds played at the same time.")
@click.option("--every/--worst-only", default=False, help="Each round's line, too.")
def main(seed, rounds, nodes, seconds, beside, every):
    """Plays rounds for each number of nodes and prints the worst windows."""
    with ProcessPoolExecutor(beside) as pool:
        for node_count in map(int, nodes.split(",")):
            arguments = [(seed + number, node_count, seconds) for number in range(rounds)]
            results = list(pool.map(play, arguments))
            for number, result in enumerate(results if every else ()):
                print(f"  seed {seed + number}: {result.describe()}")
            print(summary(node_count, results))


def summary(node_count, results):
    """Returns the line for all rounds of one number of nodes."""
    worst = max(result.worst for result in results if result.worst)
    windows = sum(result.windows for result in results)
    over = sum(result.over for result in results)
    rounds_over = sum(result.over > 0 for result in results)
    cold_calls = sum(result.cold_calls for result in results)
    return (
        f"{node_count} nodes, {len(results)} rounds: worst {worst.describe()}; over the bound in "
        f"{rounds_over} rounds, {over} of {windows} windows; {cold_calls} calls at cold ones"
    )


if __name__ == "__main__":
    main()
