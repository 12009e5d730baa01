"""What cold executors get from all nodes together, beside N + 2 root N + 2; larger: `benchmarks.cold`.

The turn in which nodes that are told at once begin is seen to in test_brain.py.
"""

from concurrent.futures import ProcessPoolExecutor
from itertools import repeat

import pytest

from benchmarks.cold import Round
from grebedyke.model.outcome import Outcome
from grebedyke.policy.endpoint_table import EndpointTable
from grebedyke.policy.slow_start import SlowStart

SECONDS = 18  # through the replacement, the burst and most restarts of the nodes


def without_weights(self, endpoint, now, endpoints, unbroken=SlowStart.is_due):
    weight = endpoints.total_weight
    endpoints.total_weight = 0
    try:
        return unbroken(self, endpoint, now, endpoints)
    finally:
        endpoints.total_weight = weight


def with_rejected_attempts(self, endpoint, now, outcome, operation=None, unbroken=EndpointTable.on_failure):
    unbroken(self, endpoint, now, outcome, operation)
    if outcome == Outcome.REJECTED:
        self.sends.add(now)


@pytest.mark.parametrize(("nodes", "seeds"), ((1, range(1, 7)), (5, range(1, 7)), (30, (2, 3, 7, 9))))
def test_no_window_of_a_cold_executor_is_over_its_bound(nodes, seeds):
    with ProcessPoolExecutor(4) as beside:
        for seed, (over, worst, windows, done) in zip(
            seeds, beside.map(played, seeds, repeat(nodes)), strict=True
        ):
            assert over == [], (seed, worst)
            # Against a round in which next to nothing reaches them.
            assert windows > 30 and done > 100


def played(seed, nodes):
    one = Round(seed, nodes, SECONDS).run()
    return one.over, one.worst, one.windows, one.done


@pytest.mark.parametrize(
    ("rule", "name", "broken"),
    (
        (SlowStart, "is_due", lambda self, endpoint, now, endpoints: True),
        (SlowStart, "is_due", without_weights),
        (EndpointTable, "on_failure", with_rejected_attempts),
    ),
)
def test_a_broken_build_is_seen(monkeypatch, rule, name, broken):
    monkeypatch.setattr(rule, name, broken)
    assert len(Round(7, 30, SECONDS).run().over) > 4
