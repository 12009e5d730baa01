"""What cold executors get from all nodes together, beside their bound; more rounds: `benchmarks.cold`.

That nodes which hear of a start at once begin one after the other is tested with the dispatcher.
"""

from concurrent.futures import ProcessPoolExecutor
from itertools import repeat

import pytest

from benchmarks.cold_round import Round
from grebedyke.model.outcome import Outcome
from grebedyke.policy.endpoint_table import EndpointTable
from grebedyke.policy.slow_start import SlowStart

SECONDS = 18  # through the replacement, the burst and most restarts of the nodes


def always_due(self, endpoint, now, endpoints):
    """Stands in for SlowStart.is_due: no budget for endpoints that warm up."""
    return True


def due_without_weights(self, endpoint, now, endpoints, unbroken=SlowStart.is_due):
    """Stands in for SlowStart.is_due: small executors get as much as the mean one."""
    total_weight = endpoints.total_weight
    endpoints.total_weight = 0
    try:
        return unbroken(self, endpoint, now, endpoints)
    finally:
        endpoints.total_weight = total_weight


def count_rejected(self, endpoint, now, outcome, operation=None, unbroken=EndpointTable.on_failure):
    """Stands in for EndpointTable.on_failure: rejected attempts count as traffic."""
    unbroken(self, endpoint, now, outcome, operation)
    if outcome == Outcome.REJECTED:
        self.sends.add(now)


@pytest.mark.parametrize(("nodes", "seeds"), ((1, range(1, 7)), (5, range(1, 7)), (30, (2, 3, 7, 9))))
def test_no_window_of_a_cold_executor_is_over_its_bound(nodes, seeds):
    """An executor that has just started falls when all nodes together send it more than it bears.

    Each node knows only what it sends itself. Drawn rounds replace executors, restart nodes, bring a burst.
    """
    with ProcessPoolExecutor(4) as beside:
        results = beside.map(play, seeds, repeat(nodes))
        for seed, (over, worst, windows, finished) in zip(seeds, results, strict=True):
            assert over == [], (seed, worst)
            # Against a round in which next to nothing reaches them.
            assert windows > 30 and finished > 100


def play(seed, nodes):
    """Plays a round in a process of its own and returns what is asserted on."""
    played = Round(seed, nodes, SECONDS).run()
    judge = played.judge
    return judge.over, judge.worst, judge.windows, played.finished


@pytest.mark.parametrize(
    ("rule", "name", "broken"),
    (
        (SlowStart, "is_due", always_due),
        (SlowStart, "is_due", due_without_weights),
        (EndpointTable, "on_failure", count_rejected),
    ),
)
def test_a_broken_build_is_caught(monkeypatch, rule, name, broken):
    """The test above is worth something only if it fails where the rule is broken."""
    monkeypatch.setattr(rule, name, broken)
    assert len(Round(7, 30, SECONDS).run().judge.over) > 4
