"""Settings of simulated clusters."""

from collections.abc import Sequence
from dataclasses import dataclass

from grebedyke.maintenance.settings import MaintenanceSettings
from grebedyke.units import TICKS_PER_SECOND

# All times in ticks.
LEASE = TICKS_PER_SECOND
DRAIN_GRACE = TICKS_PER_SECOND // 2
WARM_UP_TIME = TICKS_PER_SECOND
IDEMPOTENCY_WINDOW = TICKS_PER_SECOND
# The mean delay of a message on a network without faults.
NETWORK_DELAY = 20
ROUND_TIMEOUT = TICKS_PER_SECOND // 20
# The time within which the plan of a trial has to end after the last fault.
SETTLING_TIME = 60 * TICKS_PER_SECOND


@dataclass(frozen=True, slots=True)
class SimulatedClusterSettings:
    """The size of a simulated cluster, and the faults injected into it.

    Attributes:
        nodes: Number of nodes.
        voters: Number of voters; the first nodes are the voters.
        executors: Number of executors.
        faults: The fault rate, in faults per 2 s on average; 0 for no faults.
        kinds: The kinds of faults to draw from, keys of `simulated_faults.FAULTS`; None for all kinds.
        drift: Maximum difference between the rates of any two clocks, as a fraction.
    """

    nodes: int = 5
    voters: int = 3
    executors: int = 6
    faults: float = 1.0
    kinds: Sequence[str] | None = None
    drift: float = 0.02


def maintenance_settings(lease, drift):
    """Returns the settings of a simulated node's maintenance component."""
    return MaintenanceSettings(
        lease=lease,
        drift=drift,
        drain_grace=DRAIN_GRACE,
        warm_up_time=WARM_UP_TIME,
        idempotency_window=IDEMPOTENCY_WINDOW,
        idempotency_groups=("zone",),
        trust_stored_view_after=None,
    )
