"""A maintenance plan: what operators write, checked against the machines that there are. No I/O."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from hashlib import blake2s
from typing import NamedTuple

import msgpack
from voluptuous import All, Any, In, Length, Optional, Required, Schema

from grebedyke.checks import checked, number, whole
from grebedyke.errors import ConfigurationError
from grebedyke.units import ticks

NODE_PREFIX = "node:"  # Begins the name of a machine that is a node.
LONGEST_WORK_MS = 86_400_000
MOST_MACHINES = 10_000
# Lengths in bytes of the digests that name a plan and compare its contents.
ID_DIGEST_SIZE = 6
CONTENT_DIGEST_SIZE = 8
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


PLAN_SCHEMA = Schema(
    {
        Optional("id", default=None): Any(None, All(str, Length(min=1, max=64))),
        # The machines: by name, or all executors of a zone or kind.
        Optional("machines", default=list): [str],
        Optional("zones", default=list): [str],
        Optional("kinds", default=list): [str],
        Required("most"): whole(1, MOST_MACHINES),
        Optional("mostZone", default=None): Any(None, whole(1, MOST_MACHINES)),
        Optional("mostKind", default=None): Any(None, whole(1, MOST_MACHINES)),
        # Of all executors' slots, by their size in the list.
        Optional("leastShare", default=0.5): number(0, 1),
        Optional("after", default=dict): {str: [str]},
        Required("workMs"): number(1, LONGEST_WORK_MS),
        Optional("late", default="halt"): In(tuple(LatePolicy), msg="is neither halt nor go on"),
        Optional("back", default="word"): In(tuple(ReturnSignal), msg="is neither word nor list"),
        # Nodes of which the operators know that they are down and stay so.
        Optional("without", default=list): [whole(0, MOST_MACHINES)],
    }
)


def read_plan(body, endpoints, node_count, voters):
    """Returns the plan that operators wrote.

    Args:
        body: What they wrote, as parsed from JSON.
        endpoints: The healthy endpoints, sorted by name.
        node_count: How many nodes the fleet has.
        voters: The nodes that vote.

    Raises:
        ConfigurationError: The plan cannot be carried out; the message is one line for the operators.
    """
    settings = checked(PLAN_SCHEMA, body)
    names = _names_taken_in(settings, endpoints)
    machines = _find_machines(names, endpoints, node_count)
    if any(node >= node_count for node in settings["without"]):
        raise ConfigurationError(f"setting without names no node: {max(settings['without'])}")
    order = order_machines(machines, settings["after"], voters)
    total_weight = sum(endpoint.weight for endpoint in endpoints)
    _check_weight_share(order, machines, total_weight, settings["leastShare"])
    attributes = {
        "order": tuple(order),
        "machines": machines,
        "predecessors": {name: others for name, others in settings["after"].items() if others},
        "max_out": settings["most"],
        "max_out_per_zone": settings["mostZone"],
        "max_out_per_kind": settings["mostKind"],
        "min_weight_share": settings["leastShare"],
        "max_work": ticks(settings["workMs"]),
        "late_policy": LatePolicy(settings["late"]),
        "return_signal": ReturnSignal(settings["back"]),
        "absent_nodes": tuple(sorted({*settings["without"]})),
        "zone_counts": count_by(endpoints, "zone"),
        "kind_counts": count_by(endpoints, "kind"),
        "total_weight": total_weight,
    }
    return Plan(
        id=settings["id"] or _digest_id(attributes),
        content_digest=_digest(
            [settings[key] for key in sorted(settings)],
            CONTENT_DIGEST_SIZE,
        ),
        **attributes,
    )


def _names_taken_in(settings, endpoints):
    """Returns the names of the plan's machines, those of zones and kinds behind those that are named."""
    named = settings["machines"]
    names = [*named]
    interleaved = interleave_zones(endpoints)
    for key, attribute in (("zones", "zone"), ("kinds", "kind")):
        for index, wanted in enumerate(settings[key]):
            found = [endpoint.name for endpoint in interleaved if getattr(endpoint, attribute) == wanted]
            if not found:
                raise ConfigurationError(f"setting {key}[{index}] names no machine: {wanted!r}")
            names += found
    if not names:
        raise ConfigurationError("setting machines is missing")
    if settings["zones"] or settings["kinds"]:
        # Interleaved as a whole, so that the limit of one zone does not hold up machines of another.
        positions = {endpoint.name: position for position, endpoint in enumerate(interleaved)}
        names = [*named, *sorted({*names} - {*named}, key=positions.get)]
    return names


def _find_machines(names, endpoints, node_count):
    """Returns the machines of these names; raises ConfigurationError for a name that there is not."""
    listed = {endpoint.name: endpoint for endpoint in endpoints}
    machines = {}
    for index, name in enumerate(names):
        if name.startswith(NODE_PREFIX):
            digits = name.removeprefix(NODE_PREFIX)
            if not digits.isdigit() or int(digits) >= node_count:
                raise ConfigurationError(f"setting machines[{index}] is no node: {name!r}")
            machines[name] = PLANNED_NODE
        elif name in listed:
            endpoint = listed[name]
            machines[name] = PlannedMachine(endpoint.zone, endpoint.kind, endpoint.cell, endpoint.weight)
        else:
            raise ConfigurationError(f"setting machines[{index}] is on no list: {name!r}")
    return machines


def _check_weight_share(order, machines, total_weight, min_weight_share):
    """Raises ConfigurationError where one machine alone is more than may be out."""
    for name in order:
        remaining_share = 1 - machines[name].weight / total_weight if total_weight else 0
        if not is_node(name) and remaining_share < min_weight_share - SHARE_TOLERANCE:
            raise ConfigurationError(
                f"setting leastShare can never be met: without {name} {remaining_share:.2f} is left"
            )


def _digest_id(attributes):
    """Returns the id of a plan that the operators gave none: the same plan handed in again has the same."""
    fields = Plan(id="", content_digest="", **attributes).encode()
    del fields["id"], fields["content"]
    return _digest(fields, ID_DIGEST_SIZE)


def _digest(value, size):
    """Returns a hash of a plain value, in hexadecimal digits."""
    return blake2s(msgpack.packb(value), digest_size=size).hexdigest()


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


def interleave_zones(endpoints):
    """Returns the endpoints ordered so that the zones take turns.

    >>> from grebedyke.maintenance.endpoints import Endpoint
    >>> endpoints = [Endpoint(name, zone, "", "", 1) for name, zone in zip("abcd", "1122")]
    >>> [endpoint.name for endpoint in interleave_zones(endpoints)]
    ['a', 'c', 'b', 'd']
    """
    seen = {}
    by_turn = []
    for endpoint in endpoints:
        seen[endpoint.zone] = seen.get(endpoint.zone, 0) + 1
        by_turn.append((seen[endpoint.zone], endpoint))
    return [endpoint for _, endpoint in sorted(by_turn, key=lambda pair: pair[0])]


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


def order_machines(machines, predecessors, voters):
    """Returns the machines' names as written, but behind their predecessors, and voting nodes last.

    Raises:
        ConfigurationError: A predecessor is not in the plan, or they form a cycle.

    >>> order_machines({"a": 0, "node:1": 0, "b": 0, "c": 0}, {"a": ["c"]}, [1])
    ['b', 'c', 'a', 'node:1']
    >>> order_machines({"a": 0, "b": 0}, {"a": ["b"], "b": ["a"]}, [])
    Traceback (most recent call last):
    grebedyke.errors.ConfigurationError: setting after goes in a circle at 'a'
    """
    for name, others in predecessors.items():
        for other in (name, *others):
            if other not in machines:
                raise ConfigurationError(f"setting after names a machine that is not in the plan: {other!r}")
    voting_machines = {node_name(voter) for voter in voters}
    remaining = sorted(machines, key=lambda name: name in voting_machines)
    order = []
    while remaining:
        ready = next(
            (name for name in remaining if all(other in order for other in predecessors.get(name, ()))), None
        )
        if ready is None:
            raise ConfigurationError(f"setting after goes in a circle at {remaining[0]!r}")
        order.append(ready)
        remaining.remove(ready)
    return order
