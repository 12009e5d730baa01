"""What a limit is, and the amounts that nodes and their holder reckon in. No I/O.

Amounts are whole numbers, so that sums are exact: invocations under way, or thousandths of one a second.
"""

from typing import NamedTuple
from zlib import crc32

RATE, OPEN = "rate", "open"
THOUSANDTHS = 1_000


class Limit(NamedTuple):
    """`size`: of the whole fleet, `floor`: of it, each node's own, both in amounts; `burst`: whole
    invocations, one of them each node's own; `tenant`, `operation`: None where the limit is on all; `soft`:
    what is over comes behind the rest, and is not turned away; `further`: it is on forwards beyond each
    invocation's first, not on invocations.
    """

    name: str
    kind: str
    size: int
    burst: int
    floor: int
    tenant: str | None
    operation: str | None
    soft: bool
    further: bool = False

    def id(self):
        """Stands for the name in messages."""
        return name_id(self.name)


def name_id(name):
    return crc32(name.encode()) % 65_521


def mark(limits):
    """Two nodes with other limits have other marks."""
    return crc32(repr([tuple(limit) for limit in sorted(limits)]).encode())


def pool(size, floor, nodes):
    """What is not any node's own."""
    return max(size - nodes * floor, 0)


def whole_bound(lease, drift):
    """After so long by one clock nothing that was asked for before is in force by another."""
    return int(lease * (1 + drift) / (1 - drift)) + 1
