"""A maintenance plan: its machines, limits and wire form. No I/O."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple

NODE_PREFIX = "node:"  # Prefix of the machine names of nodes.
# Tolerance for rounding errors when a sum of weights is compared with a share.
SHARE_TOLERANCE = 1e-9


class LatePolicy(StrEnum):
    """The policy for a machine on which the work takes longer than planned; wire values.

    Attributes:
        HALT: No further machine is taken out until an operator resumes the plan.
        CONTINUE: The plan continues with machines that do not depend on the late one.
    """

    HALT = "halt"
    CONTINUE = "go on"


class ReturnSignal(StrEnum):
    """The signal that the work on an executor is finished; wire values.

    Attributes:
        OPERATOR: An operator confirms it.
        ENDPOINT_LIST: The endpoint list shows a new start of the executor. An executor that crashes and
            restarts during the work gives the same signal, so this is not the default.
    """

    OPERATOR = "word"
    ENDPOINT_LIST = "list"


class PlannedMachine(NamedTuple):
    """A machine as listed when the plan was made; a node has neither zone nor weight.

    Attributes:
        zone: Its failure domain.
        kind: Its machine type, "node" for a node.
        cell: Its stripe within the zone.
        weight: Its capacity relative to other executors, as listed.
    """

    zone: str
    kind: str
    cell: str
    weight: float


PLANNED_NODE = PlannedMachine(zone="", kind="node", cell="", weight=0.0)


# The keys of the wire form, in order, with the corresponding attributes of `Plan`.
WIRE_KEYS = {
    "order": "order",
    "machines": "machines",
    "after": "predecessors",
    "most": "max_out",
    "most_zone": "max_out_per_zone",
    "most_kind": "max_out_per_kind",
    "share": "min_weight_share",
    "work": "max_work",
    "late": "late_policy",
    "back": "return_signal",
    "without": "absent_nodes",
    "zones": "zone_counts",
    "kinds": "kind_counts",
    "total": "total_weight",
    "id": "id",
    "content": "content_digest",
}


@dataclass(frozen=True, slots=True, kw_only=True)
class Plan:
    """A plan in its agreed, immutable form.

    Attributes:
        id: Its identifier; submitting a plan with the same id again does not start it again.
        content_digest: Hash of the operators' input; used to reject a different plan with the same id.
        order: Names of the machines in the order in which they are taken out.
        machines: The machines by name.
        predecessors: For each machine, those that have to be done before it is taken out.
        max_out: Maximum number of machines that are out at the same time.
        max_out_per_zone: The same for the executors of a zone; None for no limit.
        max_out_per_kind: The same for the executors of a kind; None for no limit.
        min_weight_share: The share of `total_weight`, from 0 to 1, that has to stay in use.
        max_work: Maximum duration of the work on a machine, in ticks.
        late_policy: The policy for a machine that exceeds this duration.
        return_signal: The signal that the work on an executor is finished.
        absent_nodes: Nodes that are known to be down permanently; the rollout does not wait for them.
        zone_counts: Number of executors in use by zone, when the plan was made.
        kind_counts: Number of executors in use by kind, when the plan was made.
        total_weight: Total weight of all executors in use, when the plan was made.
        unknown_fields: Wire fields added by a newer version, passed on unchanged.
    """

    id: str
    content_digest: str
    order: tuple[str, ...]
    machines: Mapping[str, PlannedMachine]
    predecessors: Mapping[str, list[str]]
    max_out: int
    max_out_per_zone: int | None
    max_out_per_kind: int | None
    min_weight_share: float
    max_work: int
    late_policy: LatePolicy
    return_signal: ReturnSignal
    absent_nodes: tuple[int, ...]
    zone_counts: Mapping[str, int]
    kind_counts: Mapping[str, int]
    total_weight: float
    unknown_fields: Mapping = field(default_factory=dict)

    @classmethod
    def decode(cls, fields):
        """Returns the plan of the wire form `fields`.

        Raises:
            KeyError: A field is missing.
            TypeError: A field has a wrong type.
            ValueError: A field has a value that is unknown to this version.
        """
        attributes = {attribute: fields[key] for key, attribute in WIRE_KEYS.items()}
        attributes["order"] = tuple(fields["order"])
        attributes["machines"] = {name: PlannedMachine(*row) for name, row in fields["machines"].items()}
        attributes["late_policy"] = LatePolicy(fields["late"])
        attributes["return_signal"] = ReturnSignal(fields["back"])
        attributes["absent_nodes"] = tuple(fields["without"])
        unknown_fields = {key: value for key, value in fields.items() if key not in WIRE_KEYS}
        return cls(**attributes, unknown_fields=unknown_fields)

    def encode(self):
        """Returns the wire form: plain dicts and lists, with the keys in a fixed order."""
        fields = {key: getattr(self, attribute) for key, attribute in WIRE_KEYS.items()}
        fields["order"] = list(self.order)
        fields["machines"] = {name: list(machine) for name, machine in self.machines.items()}
        fields["late"] = self.late_policy.value
        fields["back"] = self.return_signal.value
        fields["without"] = list(self.absent_nodes)
        return fields | self.unknown_fields


def node_name(node):
    """Returns the machine name of a node.

    >>> node_name(3)
    'node:3'
    """
    return f"{NODE_PREFIX}{node}"


def is_node(name):
    """Returns whether the machine with this name is a node rather than an executor."""
    return name.startswith(NODE_PREFIX)


def node_of(name):
    """Returns the node number from the machine name of a node.

    >>> node_of("node:3")
    3
    """
    return int(name.removeprefix(NODE_PREFIX))


def count_by(endpoints, attribute):
    """Returns the number of endpoints for each value of an attribute, in order of first occurrence.

    >>> from grebedyke.maintenance.endpoints import Endpoint
    >>> count_by([Endpoint("a", "x", "", "", 1), Endpoint("b", "x", "", "", 1)], "zone")
    {'x': 2}
    """
    counts = {}
    for endpoint in endpoints:
        group = getattr(endpoint, attribute)
        counts[group] = counts.get(group, 0) + 1
    return counts
