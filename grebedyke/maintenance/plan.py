"""A maintenance plan: its machines, limits and wire form. No I/O."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple

NODE_PREFIX = "node:"  # Begins the name of a machine that is a node.
# By how much sums of weights may miss a stated share for rounding alone.
SHARE_TOLERANCE = 1e-9


class LatePolicy(StrEnum):
    """What the plan does once work on a machine takes longer than planned; values as on the wire.

    Attributes:
        HALT: No further machine is taken out until an operator resumes the plan.
        CONTINUE: The plan goes on with machines that do not depend on the late one.
    """

    HALT = "halt"
    CONTINUE = "go on"


class ReturnSignal(StrEnum):
    """How it shows that work on an executor is over; values as on the wire.

    Attributes:
        OPERATOR: An operator says so.
        ENDPOINT_LIST: The list has it started anew. An executor that dies and comes back by itself during
            the work shows the same, hence this is not the default.
    """

    OPERATOR = "word"
    ENDPOINT_LIST = "list"


class PlannedMachine(NamedTuple):
    """A machine as it was listed when the plan was made; a node has neither zone nor weight.

    Attributes:
        zone: Its failure domain.
        kind: Its machine type, "node" for a node.
        cell: Its stripe.
        weight: Its size in slots.
    """

    zone: str
    kind: str
    cell: str
    weight: float


PLANNED_NODE = PlannedMachine(zone="", kind="node", cell="", weight=0.0)


# The wire form: the keys that nodes agree on, in their order, and the attributes of `Plan` that they hold.
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
    """A plan as the nodes agree on it. It does not change any more.

    Attributes:
        id: Its name; two plans with the same name are the same plan.
        content_digest: Hash of what the operators wrote; tells two plans of the same name apart.
        order: The machines' names in the order in which they are taken out.
        machines: The machines by name.
        predecessors: By machine, those that have to be done before it is taken out.
        max_out: How many machines may be out at once.
        max_out_per_zone: The same for the executors of a zone; None where there is no such limit.
        max_out_per_kind: The same for the executors of a kind; None where there is no such limit.
        min_weight_share: The share of `total_weight`, from 0 to 1, that has to stay in use.
        max_work: How long work on a machine may take, in ticks.
        late_policy: What happens after that.
        return_signal: How it shows that work on an executor is over.
        absent_nodes: Nodes that are known to be down and stay so; they are not waited for.
        zone_counts: Executors in use by zone, when the plan was made.
        kind_counts: Executors in use by kind, when the plan was made.
        total_weight: Weight of all executors in use, when the plan was made.
        unknown_fields: Wire fields of a later build, handed on as they came.
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
            TypeError: A field is of another type.
            ValueError: A field has a value that this build does not know.
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
        """Returns the wire form: plain dicts and lists, the keys always in the same order."""
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
    """Returns whether a machine of that name is a node, not an executor."""
    return name.startswith(NODE_PREFIX)


def node_of(name):
    """Returns the node of a machine name for which `is_node` holds.

    >>> node_of("node:3")
    3
    """
    return int(name.removeprefix(NODE_PREFIX))


def count_by(endpoints, attribute):
    """Returns how many endpoints there are by that attribute, in the order of the first of each.

    >>> from grebedyke.maintenance.endpoints import Endpoint
    >>> count_by([Endpoint("a", "x", "", "", 1), Endpoint("b", "x", "", "", 1)], "zone")
    {'x': 2}
    """
    counts = {}
    for endpoint in endpoints:
        group = getattr(endpoint, attribute)
        counts[group] = counts.get(group, 0) + 1
    return counts
