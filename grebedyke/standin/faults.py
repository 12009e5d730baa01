"""What a stand-in is told to do wrong, and when: by time or by a seeded chance."""

import random
from typing import NamedTuple

KINDS = {
    "refuse": "turns connections away",
    "hang": "takes connections and jobs and says nothing more",
    "silent": "takes jobs with 202 and never tells what became of them",
    "full": "answers 503 with X-Not-Processed",
    "error": "answers 500",
    "reset": "breaks the connection in the middle of its answer",
    "late": "answers 202 two seconds late",
    "before": "tells of a job's end before its 202",
    "twice": "tells all news twice",
    "after": "tells 'running' after the end",
    "lost": "tells 'lost' of jobs that took effect",
    "odd": "frames its answers oddly",
}


class Fault(NamedTuple):
    """`start`, `end`: seconds since the stand-in's start; `chance`: of each occasion."""

    kind: str
    start: float = 0.0
    end: float = float("inf")
    chance: float = 1.0


def fault(text):
    """
    >>> fault("hang@8+4")
    Fault(kind='hang', start=8.0, end=12.0, chance=1.0)
    >>> fault("reset%5").chance, fault("lost@2%50")
    (0.05, Fault(kind='lost', start=2.0, end=inf, chance=0.5))
    """
    rest, _, chance = text.partition("%")
    kind, _, when = rest.partition("@")
    start, _, length = when.partition("+")
    if kind not in KINDS:
        raise ValueError(f"{kind}: no fault of that name; {', '.join(KINDS)}")
    try:
        begin = float(start or 0)
        parsed = Fault(
            kind, begin, begin + float(length) if length else float("inf"), float(chance or 100) / 100
        )
    except ValueError:
        raise ValueError(f"{text}: KIND[@SECONDS[+SECONDS]][%PERCENT] is meant") from None
    if not (parsed.start >= 0 and parsed.end > parsed.start and 0 < parsed.chance <= 1):
        raise ValueError(f"{text}: out of its range")
    return parsed


class Script:
    """The faults of one stand-in: `on(kind, since)` says whether it goes wrong in that way this time."""

    def __init__(self, faults=(), seed=0):
        self.faults, self.random = list(faults), random.Random(seed)

    def on(self, kind, since):
        return any(
            f.kind == kind and f.start <= since < f.end and (f.chance >= 1 or self.random.random() < f.chance)
            for f in self.faults
        )
