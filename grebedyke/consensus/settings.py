"""What the configuration says of the fleet's agreement, and its checks."""

from voluptuous import All, Length, Optional, Required

from grebedyke.checks import number, table, whole
from grebedyke.errors import ConfigurationError

SECTION = table(
    {
        # Words of another fleet on the same addresses are nothing; files of another are refused.
        Required("name"): All(str, Length(min=1, max=64)),
        # For this node alone: what it has voted and what it knows has to outlast its process.
        Required("folder"): All(str, Length(min=1)),
        # By number, the same at all nodes. Counts at the first start; later changes are agreed on.
        Required("voters"): [whole(0, 10_000)],
        Optional("waitMs", default=200): number(5, 10_000),
    }
)

WHY = {
    "fleet.name": "this fleet's name, the same at all nodes",
    "fleet.folder": "where this node keeps what it has agreed to; its own",
    "fleet.voters[]": "the nodes that vote, by number: 1, 3, 5 or 7 of them",
    "fleet.waitMs": "for another node's answer",
}


def check(section, peers):
    """`peers`: how many nodes there are that can be talked to."""
    voters = section["voters"]
    if len(voters) not in (1, 3, 5, 7) or len({*voters}) < len(voters):
        raise ConfigurationError(
            f"setting fleet.voters is not 1, 3, 5 or 7 nodes: {voters!r}", ["fleet", "voters"]
        )
    if not peers:
        raise ConfigurationError("setting peers is missing", ["peers"])
    for i, voter in enumerate(voters):
        if voter >= peers:
            raise ConfigurationError(
                f"setting fleet.voters[{i}] is none of the {peers} peers: {voter}", ["fleet", "voters", i]
            )
