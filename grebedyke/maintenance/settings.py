"""The settings of maintenance: schema and checks of the section `maintenance`, and the resulting values."""

from dataclasses import dataclass

from voluptuous import Optional

from grebedyke.errors import ConfigurationError
from grebedyke.validation import nullable, number, table

SECTION = table(
    {
        Optional("leaseMs", default=2_000): number(100, 600_000),
        Optional("drift", default=0.02): number(0, 0.2),
        Optional("aloneMs", default=None): nullable(number(0, 86_400_000)),
    }
)

KEY_PURPOSES = {
    "maintenance.leaseMs": "how long a node's view of the plan is certain",
    "maintenance.drift": "maximum difference between two machines' clock rates, as a fraction",
    "maintenance.aloneMs": "time after which a new process without a majority uses its stored view",
}

# A lease is renewed four times within its duration, and an answer has to arrive before the next request.
MIN_WAITS_PER_LEASE = 4


def check(section, fleet):
    """Checks the section `maintenance` against the section `fleet`, which is None if it is missing.

    Raises:
        ConfigurationError: The two sections are inconsistent.
    """
    if fleet is None:
        raise ConfigurationError("setting fleet is missing, which maintenance needs", ["fleet"])
    if section["leaseMs"] < MIN_WAITS_PER_LEASE * fleet["waitMs"]:
        raise ConfigurationError(
            f"setting maintenance.leaseMs is under four times fleet.waitMs: {section['leaseMs']:g}",
            ["maintenance", "leaseMs"],
        )


@dataclass(frozen=True, slots=True, kw_only=True)
class MaintenanceSettings:
    """The parameters of maintenance.

    Attributes:
        lease: Duration of a lease, counted from its request, in ticks. A node's view is certain that long.
        drift: Maximum difference between the rates of two nodes' clocks, as a fraction.
        drain_grace: How long a node waits for its own attempts at a leaving machine, in ticks.
        warm_up_time: Time that an executor takes to warm up, in ticks.
        idempotency_window: The longest time for which executors drop repeats of a key, in ticks.
        idempotency_groups: The attributes ("zone", "cell") that define groups of executors with shared keys.
        trust_stored_view_after: Time in ticks after which a newly started node that does not reach a majority
            uses the view on its disk; None for never.
    """

    lease: int
    drift: float
    drain_grace: int
    warm_up_time: int
    idempotency_window: int
    idempotency_groups: tuple[str, ...]
    trust_stored_view_after: int | None

    def lease_bound(self):
        """Returns the time by this node's clock after which every lease granted before has expired, in ticks.

        It holds even if the lease is timed by the slowest clock and this node's clock is the fastest.
        """
        return int(self.lease * (1 + self.drift) / (1 - self.drift)) + 1
