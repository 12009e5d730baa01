"""Helpers of the cases of `benchmarks.fleet`: result rows, a reference for CPU times, memory counts."""

import gc
import sys
from statistics import median
from time import thread_time
from types import BuiltinFunctionType, FunctionType, ModuleType

from grebedyke.consensus import framing
from grebedyke.model.seeded_random import SeededRandom

FLEET_TAG = framing.fleet_tag("fleet")
CLOCK_READ_TIME = median(-thread_time() + thread_time() for _ in range(999))
"""Seconds to read the thread's CPU clock, which takes longer than many of the measured calls."""
EXCLUDED_TYPES = (ModuleType, type, FunctionType, BuiltinFunctionType, SeededRandom)
"""Types of objects that don't count as state of the component that refers to them."""
REFERENCE_ROUNDS = 5
REFERENCE_MESSAGES_PER_ROUND = 200
REFERENCE_MESSAGES = 1_000
REFERENCE_LIMITS = 34


def row(role, parameter, size, **quantities):
    """Returns the row of one measurement.

    Args:
        role: The measured role.
        parameter: Name of the varied parameter.
        size: Value of that parameter.
        **quantities: Measured values by name.
    """
    return {
        "role": role,
        "against": parameter,
        "size": size,
        "quantities": quantities,
        "unit": reference_cpu_seconds(),
    }


def reference_cpu_seconds():
    """Returns the CPU seconds of reference work: packing and parsing a thousand requests for limits."""
    limits = [[100 * i, 1_000 * i, i] for i in range(REFERENCE_LIMITS)]
    message = ["s", 7, 1, 99, 6, 5, limits, []]
    reassembler = framing.Reassembler(FLEET_TAG)
    durations = []
    for _ in range(REFERENCE_ROUNDS):
        start = thread_time()
        for number in range(REFERENCE_MESSAGES_PER_ROUND):
            for frame in framing.pack(FLEET_TAG, number, message):
                reassembler.take(0, frame)
        durations.append((thread_time() - start) * (REFERENCE_MESSAGES // REFERENCE_MESSAGES_PER_ROUND))
    return min(durations)


def reachable_size(*roots, excluded=()):
    """Returns the number of objects reachable from the roots, without code, and their size in bytes.

    Args:
        *roots: Objects to start from.
        excluded: Objects that are neither counted nor followed.

    >>> reachable_size([1000, 1000.5], excluded=[1000.5])[0], reachable_size({"a": [2000, 3000]})[0]
    (2, 5)
    """
    seen = {id(obj) for obj in excluded}
    count = 0
    size = 0
    to_visit = list(roots)
    while to_visit:
        obj = to_visit.pop()
        if id(obj) in seen or isinstance(obj, EXCLUDED_TYPES):
            continue
        seen.add(id(obj))
        count += 1
        size += sys.getsizeof(obj)
        to_visit += gc.get_referents(obj)
        if isinstance(obj, dict):
            to_visit += obj  # A dictionary's referents don't include string keys.
    return count, size
