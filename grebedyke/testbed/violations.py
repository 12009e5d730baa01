"""What the checkers of the test bed report: the clause of a promise that was broken, and how."""

from typing import NamedTuple


class Violation(NamedTuple):
    """A broken promise.

    Attributes:
        clause: The name of the promise, as tests and operators know it.
        detail: What was seen.
    """

    clause: str
    detail: str


class TimedViolation(NamedTuple):
    """A broken promise of a round whose times are known.

    Attributes:
        time: Ticks of simulated time, or seconds since the start of a run of real processes.
        clause: The name of the promise, as tests and operators know it.
        detail: What was seen.
    """

    time: float
    clause: str
    detail: str
