"""What an emulated executor does wrong, and when: within a time, and each time by a seeded chance."""

import random
from enum import StrEnum
from typing import NamedTuple


class FaultKind(StrEnum):
    """The ways in which an executor goes wrong, by the names that the command line takes."""

    REFUSE = "refuse"
    """Turns connections away."""
    HANG = "hang"
    """Accepts connections and jobs and then says nothing."""
    SILENT = "silent"
    """Accepts jobs with 202 and sends no notice of them."""
    FULL = "full"
    """Answers 503 with X-Not-Processed."""
    ERROR = "error"
    """Answers 500."""
    RESET = "reset"
    """Breaks the connection in the middle of a response."""
    LATE = "late"
    """Answers 202 two seconds late."""
    BEFORE = "before"
    """Sends the notice of a job's end before its 202."""
    TWICE = "twice"
    """Sends each notice twice."""
    AFTER = "after"
    """Sends 'running' after the notice of the end."""
    LOST = "lost"
    """Sends 'lost' for jobs that took effect."""
    ODD = "odd"
    """Answers with a Content-Length that is no number."""


class Fault(NamedTuple):
    """A kind of fault within a time.

    Attributes:
        kind: What goes wrong.
        start: When it begins, in seconds since the emulator's start.
        end: When it is over, in seconds since the emulator's start.
        chance: How likely it is on each occasion, from 0 to 1.
    """

    kind: FaultKind
    start: float = 0.0
    end: float = float("inf")
    chance: float = 1.0


def parse_fault(text):
    """Parses KIND[@SECONDS[+SECONDS]][%PERCENT], as the command line takes it.

    Raises:
        ValueError: The text is of another form, or a figure is out of its range.

    >>> parse_fault("hang@8+4")[1:]
    (8.0, 12.0, 1.0)
    >>> parse_fault("reset%5").chance, parse_fault("lost@2%50")[1:]
    (0.05, (2.0, inf, 0.5))
    """
    rest, _, percent = text.partition("%")
    kind, _, times = rest.partition("@")
    start_text, _, length_text = times.partition("+")
    if kind not in [*FaultKind]:
        raise ValueError(f"{kind}: no fault of that name; {', '.join(FaultKind)}")
    try:
        start = float(start_text or 0)
        end = start + float(length_text) if length_text else float("inf")
        chance = float(percent or 100) / 100
    except ValueError:
        raise ValueError(f"{text}: KIND[@SECONDS[+SECONDS]][%PERCENT] is meant") from None
    if not (start >= 0 and end > start and 0 < chance <= 1):
        raise ValueError(f"{text}: out of its range")
    return Fault(FaultKind(kind), start, end, chance)


class FaultScript:
    """The faults of one emulator.

    Attributes:
        faults: Each `Fault`.
        random: Draws whether a fault that is not certain occurs.
    """

    def __init__(self, faults=(), seed=0):
        self.faults = list(faults)
        self.random = random.Random(seed)

    def occurs(self, kind, elapsed):
        """Returns whether a fault of this kind occurs this time, `elapsed` seconds after the start."""
        return any(fault.kind == kind and self._applies(fault, elapsed) for fault in self.faults)

    def _applies(self, fault, elapsed):
        if not fault.start <= elapsed < fault.end:
            return False
        return fault.chance >= 1 or self.random.random() < fault.chance
