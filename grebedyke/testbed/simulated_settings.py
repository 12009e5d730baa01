"""Times and sizes of simulated clusters."""

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
# How long a round may go on after its last fault until its plan has ended.
SETTLING_TIME = 60 * TICKS_PER_SECOND


@dataclass(frozen=True, slots=True)
class ClusterShape:
    """What a simulated cluster consists of and how much goes wrong in it.

    Attributes:
        nodes: How many nodes there are.
        voters: How many of them are voters of the consensus: the first ones.
        executors: How many executors there are.
        faults: How often a fault is injected: on average once in 2 s divided by this figure; 0 for never.
        kinds: The kinds of faults that are drawn, keys of `simulated_faults.FAULTS`; None for all of them.
        drift: By how much the rates of any two clocks may differ, as a fraction.
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
