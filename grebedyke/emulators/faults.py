"""Faults of an emulated executor: each within a period and with a seeded probability per occasion."""

import random
from enum import StrEnum
from typing import NamedTuple


class FaultKind(StrEnum):
    """The kinds of faults of an executor, under their command line names."""

    REFUSE = "refuse"
    """Aborts connections immediately."""
    HANG = "hang"
    """Accepts connections but never responds to a request, and sends no job updates."""
    SILENT = "silent"
    """Accepts jobs with 202 but sends no job updates."""
    FULL = "full"
    """Answers 503 with X-Not-Processed."""
    ERROR = "error"
    """Answers 500."""
    RESET = "reset"
    """Aborts the connection in the middle of a response."""
    LATE = "late"
    """Answers 202 two seconds late."""
    BEFORE = "before"
    """Sends the update on a job's end before its 202."""
    TWICE = "twice"
    """Sends each job update twice."""
    AFTER = "after"
    """Sends 'running' after the update on a job's end."""
    LOST = "lost"
    """Sends 'lost' for jobs that took effect."""
    ODD = "odd"
    """Answers with an invalid Content-Length."""


class Fault(NamedTuple):
    """A kind of fault and the period in which it may occur.

    Attributes:
        kind: The kind of fault.
        start: The start of the period, in seconds since the emulator's start.
        end: The end of the period, in seconds since the emulator's start.
        chance: The probability on each occasion, from 0 to 1.
    """

    kind: FaultKind
    start: float = 0.0
    end: float = float("inf")
    chance: float = 1.0


def parse_fault(text):
    """Parses a fault of the command line, KIND[@START[+DURATION]][%PERCENT] with times in seconds.

    Raises:
        ValueError: The text has another form, or a number is out of range.

    >>> parse_fault("hang@8+4")[1:]
    (8.0, 12.0, 1.0)
    >>> parse_fault("reset%5").chance, parse_fault("lost@2%50")[1:]
    (0.05, (2.0, inf, 0.5))
    """
    rest, _, percent = text.partition("%")
    kind, _, times = rest.partition("@")
    start_text, _, length_text = times.partition("+")
    if kind not in [*FaultKind]:
        raise ValueError(f"no fault is named {kind!r}; known faults: {', '.join(FaultKind)}")
    try:
        start = float(start_text or 0)
        end = start + float(length_text) if length_text else float("inf")
        chance = float(percent or 100) / 100
    except ValueError:
        raise ValueError(f"{text}: KIND[@SECONDS[+SECONDS]][%PERCENT] is meant") from None
    if not (start >= 0 and end > start and 0 < chance <= 1):
        raise ValueError(f"{text}: a number is out of range")
    return Fault(FaultKind(kind), start, end, chance)


class FaultScript:
    """The faults of one emulator.

    Attributes:
        faults: The `Fault` entries.
        random: Decides whether a fault with a chance below 1 occurs.
    """

    def __init__(self, faults=(), seed=0):
        self.faults = list(faults)
        self.random = random.Random(seed)

    def occurs(self, kind, elapsed):
        """Returns whether a fault of a kind occurs on this occasion, `elapsed` seconds after the start."""
        return any(fault.kind == kind and self._applies(fault, elapsed) for fault in self.faults)

    def _applies(self, fault, elapsed):
        if not fault.start <= elapsed < fault.end:
            return False
        return fault.chance >= 1 or self.random.random() < fault.chance
