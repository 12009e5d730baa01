"""Real processes, killed all at once: how many are ready in time again.

The measured version, thirty nodes beside load, is `python -m benchmarks.restarts`.
"""

import asyncio
import sys

import pytest

from benchmarks.restarts import SHARE, Ready, SceneSettings, scene

# Few, as the machine that runs this may be busy with other things: the bound stays the one of thirty.
NODES = 8
# The first incarnation is a node, the second one never answers.
ONCE = "test -e $TMPDIR/again && exec sleep 60; : > $TMPDIR/again; exec " + sys.executable + " -m grebedyke"


def restarts(discovery_states, **settings):
    async def play():
        return [ready async for ready in scene(discovery_states, SceneSettings(rate=0, **settings))]

    return asyncio.run(play())


def test_nine_in_ten_of_those_killed_at_once_are_ready_in_time_whatever_discovery_does():
    states = "silent", "down"
    for state, ready in zip(states, restarts(states, nodes=NODES), strict=True):
        assert len(ready.times) == NODES
        assert ready.within() >= SHARE * NODES, (state, ready)


def test_a_node_that_does_not_come_back_counts_as_never_ready():
    [ready] = restarts(("answers",), nodes=1, command=("/bin/sh", "-c", ONCE), timeout=0.5)
    assert ready.within() == 0 and ready.times == [float("inf")]


@pytest.mark.parametrize(
    "times, bound, within, tenth",
    [
        ([1] * 9 + [99], 10, 9, 1),
        ([1] * 8 + [11, 99], 10, 8, 11),
        ([1], 10, 1, 1),
        ([10.1] * 30, 10, 0, 10.1),
    ],
)
def test_nine_in_ten_are_counted(times, bound, within, tenth):
    ready = Ready(times, [], 0, 0, 0, 0.0)
    assert ready.within(bound) == within and ready.tenth() == tenth
