"""Settings and time constants of clusters of real processes."""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum

from grebedyke.load.deployment import ZONES
from grebedyke.load.stall_detector import CHECK_INTERVAL

# Times of the nodes in seconds; short, to keep trials short.
LEASE = 1.0
ROUND_TIMEOUT = 0.1
DRAIN_GRACE = 0.5
WARM_UP_TIME = 1.0
IDEMPOTENCY_WINDOW = 0.5
# Largest difference between the rates of any two clocks, as a fraction.
CLOCK_DRIFT = 0.02


class FolderState(StrEnum):
    """State of a node's folder when the node is started again.

    Attributes:
        SAME: Unchanged.
        OLDER: Replaced with an older copy.
        EMPTY: Empty.
        CORRUPT: With an invalid record only.
    """

    SAME = "same"
    OLDER = "older"
    EMPTY = "empty"
    CORRUPT = "spoilt"


@dataclass(frozen=True, slots=True, kw_only=True)
class ProcessClusterSettings:
    """The settings of a cluster of processes.

    Attributes:
        operations: The operations that clients request.
        nodes: Number of nodes.
        executors: Number of executors.
        voters: Number of voters, which are the first nodes.
        seed: Seed of the clocks, the relay's faults and the nodes' random numbers.
        peer_messages: Whether nodes grant each other slots at executors.
        maintenance: Whether the nodes have a maintenance component.
        older_tree: Source tree of another version, which a random part of the starts run; None for none.
        zones: The zones of nodes and executors.
        limits: Fleet-wide limits as rows of a configuration; None for none.
        stall_check_interval: Seconds between two checks of a node's event loop for stalls.
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
    stall_check_interval: float = CHECK_INTERVAL
