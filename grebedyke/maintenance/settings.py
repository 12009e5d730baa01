"""The settings of maintenance: the configuration's section, its checks, and the figures in force."""

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

WHY = {
    "maintenance.leaseMs": "a node's view of the plan is sure for so long",
    "maintenance.drift": "by how much two machines' clock rates may differ",
    "maintenance.aloneMs": "after that a node just started that reaches no majority goes by its own file",
}

# A lease is asked for anew four times within its duration; an answer has to come before the next request.
LEAST_WAITS_PER_LEASE = 4


def check(section, fleet):
    """Checks the section `maintenance` beside the section `fleet`, which is None where there is none.

    Raises:
        ConfigurationError: The two do not go together.
    """
    if fleet is None:
        raise ConfigurationError("setting fleet is missing, which maintenance needs", ["fleet"])
    if section["leaseMs"] < LEAST_WAITS_PER_LEASE * fleet["waitMs"]:
        raise ConfigurationError(
            f"setting maintenance.leaseMs is under four times fleet.waitMs: {section['leaseMs']:g}",
            ["maintenance", "leaseMs"],
        )


@dataclass(frozen=True, slots=True, kw_only=True)
class MaintenanceSettings:
    """The figures that maintenance goes by.

    Attributes:
        lease: How long a node's view of the rollout is certain, in ticks from when the lease was requested.
        drift: By how much the rates of two nodes' clocks may differ, as a share of 1.
        drain_grace: How long a node waits for its own attempts at a machine that leaves, in ticks.
        warm_up_time: How long an executor takes to warm up, in ticks.
        idempotency_window: The longest time for which executors drop repeats of a key, in ticks.
        idempotency_groups: By which attribute ("zone", "cell") executors share the keys of past requests.
        trust_stored_view_after: After so long, in ticks, a node that has just started and reaches no majority
            goes by the view on its disk; None: never.
    """

    lease: int
    drift: float
    drain_grace: int
    warm_up_time: int
    idempotency_window: int
    idempotency_groups: tuple[str, ...]
    trust_stored_view_after: int | None

    def lease_bound(self):
        """Returns how long this node's clock has to run until no earlier lease is in force, in ticks.

        It covers the slowest clock that a lease may be timed by, when this node's is the fastest.
        """
        return int(self.lease * (1 + self.drift) / (1 - self.drift)) + 1
