"""What cold executors get from all nodes together, beside N + 2 root N + 2; larger: `benchmarks.cold`.

The turn in which nodes that are told at once begin is seen to in test_brain.py.
"""
import pytest

from benchmarks.cold import Round
from grebedyke import brain
from grebedyke.brain import Fleet

from helpers import dispatcher, pull, rows

SECONDS = 22      # through the replacement, the burst and most restarts of the nodes


def without_weights(self, e, now, *more, spare=Fleet.spare):
    heft, self.heft = self.heft, 0
    try:
        return spare(self, e, now, *more)
    finally:
        self.heft = heft


def without_sizes(self, e, now, *size, spare=Fleet.spare):
    return spare(self, e, now)


def with_what_was_turned_away(self, e, now, outcome, op=None, failed=Fleet.failed):
    failed(self, e, now, outcome, op)
    if outcome == brain.FULL:
        self.sends.add(now)


@pytest.mark.parametrize(("nodes", "seeds"), (
    (1, (1, 2, 3, 4, 5, 6, 10)), (5, (1, 2, 3, 4, 5, 6)), (30, (2, 7, 9, 13, 20))))
def test_no_window_of_a_cold_executor_is_over_its_bound(nodes, seeds):
    for seed in seeds:
        played = Round(seed, nodes, SECONDS).run()
        assert played.over == [], (seed, played.worst)
        # Against a round in which next to nothing reaches them.
        assert played.windows > 30 and played.done > 100


@pytest.mark.parametrize(("name", "broken", "nodes", "seed"), (
    ("spare", lambda self, e, now, *size: True, 30, 20), ("spare", without_weights, 30, 13),
    ("spare", without_sizes, 1, 10), ("failed", with_what_was_turned_away, 30, 20)))
def test_a_broken_build_is_seen(monkeypatch, name, broken, nodes, seed):
    # The same rounds are clean above.
    monkeypatch.setattr(Fleet, name, broken)
    assert Round(seed, nodes, SECONDS).run().over != []


def test_work_larger_than_the_mean_waits_for_several_parts_of_a_cold_executor():
    # Alone, so its turn comes at once; for twice the mean one gap goes by first: 40,000 / (1.5 x warmth).
    for size, at in ((1_000, 100_000), (2_000, 141_000), (9_000, 180_000)):
        d = dispatcher()
        d.listed(100_000, True, rows(1, born=100_000))
        d.taken(100_000, 5, "op", None, 300_000, size, 1)
        d.fleet.mean, d.invs[5].latest = 1_000, 250_000
        assert next(t for t in range(100_000, 200_000, 500) if pull(d, t, "forward")) == at
