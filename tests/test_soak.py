"""Nodes under signals in series while clients go on: the seeds of CI. Longer runs: `grebedyke soak`."""

import asyncio

from grebedyke.testbed import soak

SEEDS = (1, 2, 3, 4)
SECONDS = 12.0


def test_every_request_has_its_one_answer_while_nodes_get_signals_in_series():
    async def story():
        return await asyncio.gather(*(soak.play(seed, SECONDS) for seed in SEEDS))

    results = asyncio.run(story())
    assert [[*map(tuple, result.violations)] for result in results] == [[]] * len(SEEDS)
    counts = sum((result.event_counts for result in results), start=soak.Counter())
    assert all(counts[event] for event in ("taken over", "reloaded", "ended by itself")), counts
