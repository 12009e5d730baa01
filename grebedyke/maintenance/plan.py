"""A plan as operators write it, checked against the machines that there are. No I/O."""

from hashlib import blake2s

import msgpack
from voluptuous import All, Any, In, Length, Optional, Required, Schema

from grebedyke.checks import checked, number, whole
from grebedyke.errors import ConfigurationError

NODE = "node:"  # begins the name of a machine that is a node
LONGEST_WORK = 86_400_000
LATE = "halt", "go on"


PLAN = Schema(
    {
        Optional("id", default=None): Any(None, All(str, Length(min=1, max=64))),
        # What it takes in: names, or all of a zone or kind.
        Optional("machines", default=list): [str],
        Optional("zones", default=list): [str],
        Optional("kinds", default=list): [str],
        Required("most"): whole(1, 10_000),
        Optional("mostZone", default=None): Any(None, whole(1, 10_000)),
        Optional("mostKind", default=None): Any(None, whole(1, 10_000)),
        # Of all executors' slots, by their size in the list.
        Optional("leastShare", default=0.5): number(0, 1),
        Optional("after", default=dict): {str: [str]},
        Required("workMs"): number(1, LONGEST_WORK),
        Optional("late", default="halt"): In(LATE, msg="is neither halt nor go on"),
        # How it shows that work on an executor is over. By the list: once it has started anew, which one that
        # dies and comes back by itself meanwhile does too.
        Optional("back", default="word"): In(("word", "list"), msg="is neither word nor list"),
        # Nodes of which the operators know that they are down and stay so.
        Optional("without", default=list): [whole(0, 10_000)],
    }
)


def read(body, rows, nodes, voters):
    """The plan for the board, or ConfigurationError with one line.

    rows: of the executors listed healthy, (name, zone, kind, cell, weight); voters: those agreed on.
    """
    said = checked(PLAN, body)
    known = {row[0]: row for row in rows}
    names = [*said["machines"]]
    for key, at in (("zones", 1), ("kinds", 2)):
        for i, wanted in enumerate(said[key]):
            some = [row[0] for row in mixed(rows) if row[at] == wanted]
            if not some:
                raise ConfigurationError(f"setting {key}[{i}] names no machine: {wanted!r}")
            names += some
    if not names:
        raise ConfigurationError("setting machines is missing")
    if said["zones"] or said["kinds"]:
        # By turns over the zones, so that a limit by zone holds up no other zone's.
        place = {row[0]: i for i, row in enumerate(mixed(rows))}
        names = [*said["machines"], *sorted({*names} - {*said["machines"]}, key=place.get)]
    machines = {}
    for i, name in enumerate(names):
        if name.startswith(NODE):
            text = name.removeprefix(NODE)
            if not text.isdigit() or int(text) >= nodes:
                raise ConfigurationError(f"setting machines[{i}] is no node: {name!r}")
            machines[name] = ["", "node", "", 0.0]
        elif name not in known:
            raise ConfigurationError(f"setting machines[{i}] is on no list: {name!r}")
        else:
            machines[name] = list(known[name][1:])
    if any(node >= nodes for node in said["without"]):
        raise ConfigurationError(f"setting without names no node: {max(said['without'])}")
    order = ordered(machines, said["after"], voters)
    total = sum(row[4] for row in rows)
    for name in order:
        left = 1 - machines[name][3] / total if total else 0
        if not name.startswith(NODE) and left < said["leastShare"] - 1e-9:
            raise ConfigurationError(
                f"setting leastShare can never be met: without {name} {left:.2f} is left"
            )
    zones, kinds = counted(rows, 1), counted(rows, 2)
    plan = {
        "order": order,
        "machines": machines,
        "after": {k: v for k, v in said["after"].items() if v},
        "most": said["most"],
        "most_zone": said["mostZone"],
        "most_kind": said["mostKind"],
        "share": said["leastShare"],
        "work": int(said["workMs"] * 10),
        "late": said["late"],
        "back": said["back"],
        "without": sorted({*said["without"]}),
        "zones": zones,
        "kinds": kinds,
        "total": total,
    }
    # Without an id of the operators' own, the same file is the same plan: a call repeated is the same call.
    plan["id"] = said["id"] or blake2s(msgpack.packb(plan), digest_size=6).hexdigest()
    plan["content"] = blake2s(msgpack.packb([said[key] for key in sorted(said)]), digest_size=8).hexdigest()
    return plan


def mixed(rows):
    """By turns over zones.

    >>> [row[0] for row in mixed([("a", 1), ("b", 1), ("c", 2), ("d", 2)])]
    ['a', 'c', 'b', 'd']
    """
    seen, order = {}, []
    for row in rows:
        seen[row[1]] = seen.get(row[1], 0) + 1
        order.append((seen[row[1]], row))
    return [row for _, row in sorted(order, key=lambda x: x[0])]


def counted(rows, at):
    found = {}
    for row in rows:
        found[row[at]] = found.get(row[at], 0) + 1
    return found


def ordered(machines, after, voters):
    """As written, but whoever has an 'after' behind those, and voting nodes last.

    >>> ordered({"a": 0, "node:1": 0, "b": 0, "c": 0}, {"a": ["c"]}, [1])
    ['b', 'c', 'a', 'node:1']
    >>> ordered({"a": 0, "b": 0}, {"a": ["b"], "b": ["a"]}, [])
    Traceback (most recent call last):
    grebedyke.errors.ConfigurationError: setting after goes in a circle at 'a'
    """
    for name, others in after.items():
        for other in (name, *others):
            if other not in machines:
                raise ConfigurationError(f"setting after names a machine that is not in the plan: {other!r}")
    votes = {f"{NODE}{v}" for v in voters}
    order, left = [], sorted(machines, key=lambda name: name in votes)
    while left:
        ready = next((name for name in left if all(x in order for x in after.get(name, ()))), None)
        if ready is None:
            raise ConfigurationError(f"setting after goes in a circle at {left[0]!r}")
        order.append(ready)
        left.remove(ready)
    return order
