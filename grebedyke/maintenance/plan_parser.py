"""Parses a plan written by operators and validates it against the existing machines. No I/O."""

from hashlib import blake2s

import msgpack
from voluptuous import All, Any, In, Length, Optional, Required, Schema

from grebedyke.errors import ConfigurationError
from grebedyke.maintenance.plan import (
    NODE_PREFIX,
    PLANNED_NODE,
    SHARE_TOLERANCE,
    LatePolicy,
    Plan,
    PlannedMachine,
    ReturnSignal,
    count_by,
    is_node,
    node_name,
)
from grebedyke.units import ticks
from grebedyke.validation import integer, number, validate

MAX_WORK_MS = 86_400_000
MAX_MACHINES = 10_000
# Sizes in bytes of the digests used for plan ids and for comparing plan contents.
ID_DIGEST_SIZE = 6
CONTENT_DIGEST_SIZE = 8

PLAN_SCHEMA = Schema(
    {
        Optional("id", default=None): Any(None, All(str, Length(min=1, max=64))),
        # The machines, selected by name or as all executors of a zone or kind.
        Optional("machines", default=list): [str],
        Optional("zones", default=list): [str],
        Optional("kinds", default=list): [str],
        Required("most"): integer(1, MAX_MACHINES),
        Optional("mostZone", default=None): Any(None, integer(1, MAX_MACHINES)),
        Optional("mostKind", default=None): Any(None, integer(1, MAX_MACHINES)),
        # Share of the total capacity of all executors, by their listed weights, that has to stay in use.
        Optional("leastShare", default=0.5): number(0, 1),
        Optional("after", default=dict): {str: [str]},
        Required("workMs"): number(1, MAX_WORK_MS),
        Optional("late", default="halt"): In(tuple(LatePolicy), msg="is neither halt nor go on"),
        Optional("back", default="word"): In(tuple(ReturnSignal), msg="is neither word nor list"),
        # Nodes that the operators know to be down permanently.
        Optional("without", default=list): [integer(0, MAX_MACHINES)],
    }
)


def parse_plan(body, endpoints, node_count, voters):
    """Returns the `Plan` described by the body of an operator's call.

    Args:
        body: The body, parsed from JSON.
        endpoints: The healthy endpoints, sorted by name.
        node_count: Number of nodes in the fleet.
        voters: The nodes that vote.

    Raises:
        ConfigurationError: The plan is invalid; the message is one line for the operators.
    """
    settings = validate(PLAN_SCHEMA, body)
    names = _collect_names(settings, endpoints)
    machines = _find_machines(names, endpoints, node_count)
    if any(node >= node_count for node in settings["without"]):
        raise ConfigurationError(f"setting without names no node: {max(settings['without'])}")
    order = order_machines(machines, settings["after"], voters)
    total_weight = sum(endpoint.weight for endpoint in endpoints)
    _check_weight_share(order, machines, total_weight, settings["leastShare"])
    attributes = _limits_of(settings) | {
        "order": tuple(order),
        "machines": machines,
        "zone_counts": count_by(endpoints, "zone"),
        "kind_counts": count_by(endpoints, "kind"),
        "total_weight": total_weight,
    }
    plan_id = settings["id"] or _derive_id(attributes)
    content = [settings[key] for key in sorted(settings)]
    return Plan(id=plan_id, content_digest=_digest(content, CONTENT_DIGEST_SIZE), **attributes)


def _limits_of(settings):
    """Returns the attributes of `Plan` that are copied or converted from the settings."""
    return {
        "predecessors": {name: others for name, others in settings["after"].items() if others},
        "max_out": settings["most"],
        "max_out_per_zone": settings["mostZone"],
        "max_out_per_kind": settings["mostKind"],
        "min_weight_share": settings["leastShare"],
        "max_work": ticks(settings["workMs"]),
        "late_policy": LatePolicy(settings["late"]),
        "return_signal": ReturnSignal(settings["back"]),
        "absent_nodes": tuple(sorted({*settings["without"]})),
    }


def _collect_names(settings, endpoints):
    """Returns the names of the plan's machines: first those listed by name, then those of zones and kinds."""
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
        # Zones are interleaved over the whole list, so that the limit of one zone does not delay other zones.
        positions = {endpoint.name: position for position, endpoint in enumerate(interleaved)}
        names = [*named, *sorted({*names} - {*named}, key=positions.get)]
    return names


def _find_machines(names, endpoints, node_count):
    """Returns the machines with these names, by name; raises ConfigurationError for an unknown name."""
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
    """Raises ConfigurationError if taking out a single machine would already violate the minimum share."""
    for name in order:
        remaining_share = 1 - machines[name].weight / total_weight if total_weight else 0
        if not is_node(name) and remaining_share < min_weight_share - SHARE_TOLERANCE:
            raise ConfigurationError(
                f"setting leastShare can never be met: without {name} {remaining_share:.2f} is left"
            )


def _derive_id(attributes):
    """Returns an id for a plan without one; submitting the same plan again results in the same id."""
    fields = Plan(id="", content_digest="", **attributes).encode()
    del fields["id"], fields["content"]
    return _digest(fields, ID_DIGEST_SIZE)


def _digest(value, size):
    """Returns the hash of a plain value, in hexadecimal digits."""
    return blake2s(msgpack.packb(value), digest_size=size).hexdigest()


def interleave_zones(endpoints):
    """Returns the endpoints in round-robin order of their zones.

    >>> from grebedyke.maintenance.endpoints import Endpoint
    >>> endpoints = [Endpoint(name, zone, "", "", 1) for name, zone in zip("abcd", "1122")]
    >>> [endpoint.name for endpoint in interleave_zones(endpoints)]
    ['a', 'c', 'b', 'd']
    """
    zone_counts = {}
    ranked = []
    for endpoint in endpoints:
        rank = zone_counts.get(endpoint.zone, 0) + 1
        zone_counts[endpoint.zone] = rank
        ranked.append((rank, endpoint))
    return [endpoint for _, endpoint in sorted(ranked, key=lambda pair: pair[0])]


def order_machines(machines, predecessors, voters):
    """Returns the machines' names in topological order, otherwise as written, with voting nodes last.

    Raises:
        ConfigurationError: A predecessor is not in the plan, or the predecessors form a cycle.

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
