"""What the configuration says of maintenance, and its checks."""

from voluptuous import Optional

from grebedyke.checks import maybe, number, table
from grebedyke.errors import ConfigurationError

SECTION = table(
    {
        Optional("leaseMs", default=2_000): number(100, 600_000),
        Optional("drift", default=0.02): number(0, 0.2),
        Optional("aloneMs", default=None): maybe(number(0, 86_400_000)),
    }
)

WHY = {
    "maintenance.leaseMs": "a node's view of the plan is sure for so long",
    "maintenance.drift": "by how much two machines' clock rates may differ",
    "maintenance.aloneMs": "after that a node just started that reaches no majority goes by its own file",
}


def check(section, fleet):
    if fleet is None:
        raise ConfigurationError("setting fleet is missing, which maintenance needs", ["fleet"])
    if section["leaseMs"] < 4 * fleet["waitMs"]:
        raise ConfigurationError(
            f"setting maintenance.leaseMs is under four times fleet.waitMs: {section['leaseMs']:g}",
            ["maintenance", "leaseMs"],
        )
