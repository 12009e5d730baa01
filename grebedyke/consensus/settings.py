"""The section `fleet` of a node's configuration, and its checks."""

from voluptuous import All, Length, Optional, Required

from grebedyke.errors import ConfigurationError
from grebedyke.validation import integer, number, table

SECTION = table(
    {
        # Messages of another fleet on the same addresses are dropped; records of another are refused.
        Required("name"): All(str, Length(min=1, max=64)),
        # For this node alone: its votes have to outlast its process.
        Required("folder"): All(str, Length(min=1)),
        # By number, the same at all nodes. Counts at the first start; later changes are agreed on.
        Required("voters"): [integer(0, 10_000)],
        Optional("waitMs", default=200): number(5, 10_000),
    }
)
"""The section's keys and their checks."""

WHY = {
    "fleet.name": "this fleet's name, the same at all nodes",
    "fleet.folder": "where this node keeps what it has agreed to; its own",
    "fleet.voters[]": "the nodes that vote, by number: 1, 3, 5 or 7 of them",
    "fleet.waitMs": "for another node's answer",
}
"""One line for operators on each key."""

VOTER_COUNTS = (1, 3, 5, 7)


def check(section, peers):
    """Checks what depends on the rest of the configuration.

    Args:
        section: The section, its keys checked.
        peers: How many nodes the section `peers` names.

    Raises:
        ConfigurationError: A key cannot be used.
    """
    voters = section["voters"]
    if len(voters) not in VOTER_COUNTS or len({*voters}) < len(voters):
        raise ConfigurationError(
            f"setting fleet.voters is not 1, 3, 5 or 7 nodes: {voters!r}", ["fleet", "voters"]
        )
    if not peers:
        raise ConfigurationError("setting peers is missing", ["peers"])
    for index, voter in enumerate(voters):
        if voter >= peers:
            raise ConfigurationError(
                f"setting fleet.voters[{index}] is none of the {peers} peers: {voter}",
                ["fleet", "voters", index],
            )
