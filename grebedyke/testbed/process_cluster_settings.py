"""Times and sizes of clusters of real processes."""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum

from grebedyke.load.deployment import ZONES

# Short, so that trials are; in seconds.
LEASE = 1.0
ROUND_TIMEOUT = 0.1
DRAIN_GRACE = 0.5
WARM_UP_TIME = 1.0
IDEMPOTENCY_WINDOW = 0.5
# By how much the rates of any two clocks may differ, as a fraction.
CLOCK_DRIFT = 0.02


class FolderState(StrEnum):
    """What a node finds in its folder when it starts again.

    Attributes:
        SAME: What it left there.
        OLDER: An older copy.
        EMPTY: Nothing.
        CORRUPT: A record that is none.
    """

    SAME = "same"
    OLDER = "older"
    EMPTY = "empty"
    CORRUPT = "spoilt"


@dataclass(frozen=True, slots=True, kw_only=True)
class ProcessClusterSettings:
    """What a cluster of processes is.

    Attributes:
        operations: The operations that clients request.
        nodes: How many nodes there are.
        executors: How many executors there are.
        voters: How many nodes vote: the first ones.
        seed: Of the clocks, the relay's faults and the nodes' own draws.
        peer_messages: Whether nodes grant each other slots at executors.
        maintenance: Whether they have a maintenance component.
        older_tree: The source tree of another version; each start draws which of the two runs.
        zones: The zones of nodes and executors.
        limits: The limits of the whole fleet, as rows of a configuration; None for none.
    """

    operations: Sequence
    nodes: int = 5
    executors: int = 6
    voters: int = 3
    seed: int = 0
    peer_messages: bool = False
    maintenance: bool = True
    older_tree: str | None = None
    zones: Sequence[str] = ZONES
    limits: Sequence[dict] | None = None
