"""Until when a component's exclusions are complete, for a process of the node that does not run it."""

from typing import NamedTuple


class ExclusionLease(NamedTuple):
    """Until when the exclusions of a component are complete, and what has to be excluded after that.

    Attributes:
        until: The time in ticks; all processes of a machine have the same clock.
        names: The endpoints to exclude from then on, sorted.
        all_others: Whether all other endpoints have to be excluded too.
    """

    until: int
    names: tuple[str, ...]
    all_others: bool
