"""The checkers' reports: the clause of the specification that was violated, and the details."""

from typing import NamedTuple


class Violation(NamedTuple):
    """A violated clause of the specification.

    Attributes:
        clause: The name of the clause, as tests and operators use it.
        detail: What was observed.
    """

    clause: str
    detail: str


class TimedViolation(NamedTuple):
    """A violated clause, with the time at which the violation was found.

    Attributes:
        time: Ticks of simulated time, or seconds since the start of a run of real processes.
        clause: The name of the clause, as tests and operators use it.
        detail: What was observed.
    """

    time: float
    clause: str
    detail: str
