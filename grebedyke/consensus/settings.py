"""The schema and checks of the section `fleet` of a node's configuration."""

from voluptuous import All, Length, Optional, Required

from grebedyke.errors import ConfigurationError
from grebedyke.validation import integer, number, table

SECTION = table(
    {
        # Messages of another fleet on the same addresses are dropped, records of another fleet are rejected.
        Required("name"): All(str, Length(min=1, max=64)),
        # Used by this node only; stores its votes, which must survive the process.
        Required("folder"): All(str, Length(min=1)),
        # Node numbers, the same at all nodes. Used at the first start; later changes are made by consensus.
        Required("voters"): [integer(0, 10_000)],
        Optional("waitMs", default=200): number(5, 10_000),
    }
)
"""The schema of the section."""

KEY_PURPOSES = {
    "fleet.name": "name of the fleet, the same at all nodes",
    "fleet.folder": "folder of this node's records, which must outlast its process; no other node uses it",
    "fleet.voters[]": "numbers of the nodes that vote: 1, 3, 5 or 7 of them",
    "fleet.waitMs": "timeout for another node's answer",
}
"""The purpose of each key, printed by `grebedyke check --schema`."""

VOTER_COUNTS = (1, 3, 5, 7)


def check(section, peers):
    """Checks the constraints that a schema cannot express.

    Args:
        section: The section, already validated by `SECTION`.
        peers: The number of nodes in the section `peers`.

    Raises:
        ConfigurationError: A value is invalid or a section is missing.
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
