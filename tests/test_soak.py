"""Soak test with the seeds of CI: series of signals under load. `grebedyke soak` runs it for longer."""

import multiprocessing
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from functools import partial

from grebedyke.commands.soak import run_round

SEEDS = (1, 2, 3, 4)
SECONDS = 12.0


def test_every_request_gets_one_answer_while_nodes_receive_signals():
    # Each round has its own process: clients that share one would measure its delays, not those of nodes.
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(len(SEEDS), mp_context=context) as pool:
        results = list(pool.map(partial(run_round, seconds=SECONDS), SEEDS))
    assert [[*map(tuple, result.violations)] for result in results] == [[]] * len(SEEDS)
    counts = sum((result.event_counts for result in results), start=Counter())
    assert all(counts[event] for event in ("taken over", "reloaded", "ended by itself")), counts
