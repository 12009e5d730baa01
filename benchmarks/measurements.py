"""What the cases of `benchmarks.fleet` share: the rows that they return, and how memory is counted."""

import gc
import sys
from statistics import median
from time import thread_time
from types import BuiltinFunctionType, FunctionType, ModuleType

from grebedyke.consensus import framing
from grebedyke.model.seeded_random import SeededRandom

FLEET_TAG = framing.fleet_tag("fleet")
CLOCK_READ_TIME = median(-thread_time() + thread_time() for _ in range(999))
"""Seconds that reading the thread's clock takes, which is longer than many a call."""
NOT_STATE = (ModuleType, type, FunctionType, BuiltinFunctionType, SeededRandom)
"""Types of objects that are no state of the component that refers to them."""
UNIT_ROUNDS = 5
UNIT_MESSAGES_PER_ROUND = 200
UNIT_MESSAGES = 1_000
UNIT_LIMITS = 34


def row(role, against, size, **quantities):
    """Returns the row of one run.

    Args:
        role: The role that was measured.
        against: What is varied.
        size: How much of it there was.
        **quantities: What was measured, by name.
    """
    return {"role": role, "against": against, "size": size, "quantities": quantities, "unit": unit()}


def unit():
    """Returns the CPU seconds of a fixed piece of work: a thousand requests for limits, framed and read."""
    limits = [[100 * i, 1_000 * i, i] for i in range(UNIT_LIMITS)]
    message = ["s", 7, 1, 99, 6, 5, limits, []]
    reassembler = framing.Reassembler(FLEET_TAG)
    durations = []
    for _ in range(UNIT_ROUNDS):
        start = thread_time()
        for number in range(UNIT_MESSAGES_PER_ROUND):
            for frame in framing.pack(FLEET_TAG, number, message):
                reassembler.take(0, frame)
        durations.append((thread_time() - start) * (UNIT_MESSAGES // UNIT_MESSAGES_PER_ROUND))
    return min(durations)


def reachable_size(*roots, excluded=()):
    """Returns how many objects are reached from some, without code, and their size in bytes.

    Args:
        *roots: Where to begin.
        excluded: Objects that are not counted and not followed.

    >>> reachable_size([1000, 1000.5], excluded=[1000.5])[0], reachable_size({"a": [2000, 3000]})[0]
    (2, 5)
    """
    seen = {id(thing) for thing in excluded}
    count = 0
    size = 0
    to_visit = list(roots)
    while to_visit:
        thing = to_visit.pop()
        if id(thing) in seen or isinstance(thing, NOT_STATE):
            continue
        seen.add(id(thing))
        count += 1
        size += sys.getsizeof(thing)
        to_visit += gc.get_referents(thing)
        if isinstance(thing, dict):
            to_visit += thing  # Strings as keys are not among a dictionary's referents.
    return count, size
