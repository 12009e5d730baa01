"""The checked table itself as data: every key, what it may hold, its default. No I/O.

Read out of the one table that checks, so that no page or message can say something else than it does.
"""

import re
from difflib import get_close_matches
from typing import NamedTuple

from voluptuous import All, Any, In, Schema
from voluptuous.schema_builder import UNDEFINED, Marker, Required

from grebedyke.consensus import settings as consensus
from grebedyke.maintenance import settings as maintenance
from grebedyke.rate_limits import settings as rate_limits

# What each key is for, by the last words of its path.
WHY = {
    "name": "this node's name",
    "listen": "where clients and call-backs come",
    "discovery": "where the list is had",
    "console": "where operators call",
    "seed": "for chance",
    "counts": "from one line of counts to the next",
    "folder": "where a new process finds the one it takes over from",
    "limits.sockets": "descriptors at most",
    "peers[]": "all nodes' addresses for datagrams, by number",
    "known.index": "version of the list to begin with",
    "endpoints[].name": "an executor's name",
    "endpoints[].address": "where it listens",
    "endpoints[].zone": "its zone",
    "endpoints[].type": "its kind",
    "endpoints[].group": "its cell",
    "endpoints[].status": "Ready, Terminating or Gone",
    "endpoints[].weight": "its size",
    "endpoints[].since_ms": "when it last started, Unix time; 0: long ago",
    "balancers": "how many nodes there are",
    "me": "this node's number among them, from 0",
    "tickMs": "what times are rounded to",
    "zone": "the zone that is home",
    "machineTypes[]": "kinds of executors",
    "operations[].name": "as clients name it",
    "operations[].idempotency": "safe: idempotent, keyed: deduplicated, unsafe: non-idempotent",
    "operations[].group": "which executors drop each other's repeats",
    "operations[].windowMs": "for how long they do",
    "latencyObjectiveMs": "answers are wanted within that",
    "clientTimeoutMs": "then the client gives up",
    "aimStretch": "more of the objective for each unit of work",
    "billedValue": "of one invocation",
    "overdueBilledValue": "share of it that a late answer earns",
    "drainGraceMs": "nothing new goes to who drains after that",
    "fallMultiple": "of what a cold executor can do fells it",
    "coldFrom": "share of its capacity with which one starts",
    "rampTimeMs": "then it is warm",
    "tipAfterMs": "for how long the multiple has to last",
    "extraFloor": "further forwards in any window, and",
    "resendRatio": "as many for each invocation taken in it",
    "lookBackMs": "that window",
    "mayCancel": "forwards may be given up",
    "maxForwards": "of one invocation",
    "retryAfter": "throttling replies may say when to come back",
    "maxRetryAfterMs": "at most so late",
    "probes": "executors may be probed",
    "peerMessages": "nodes may tell each other things",
    "maxOpen": "invocations in hand at most",
    "connIdleMs": "executors close idle connections then",
    "connectTimeoutMs": "of a connect",
    "crossZone": "price of a forward to another zone",
    "progressMs": "from one sign of a running job to the next",
    "tellsStart": "executors tell when a job starts",
    "classStretch[]": "by operation: more of the objective for each unit of work",
    "classKind[]": "by operation: the kind of executor that it needs, -1: any",
    "parties[].name": "a tenant",
    "quotaRps": "invocations a second that are its share, at all nodes together",
    "telemetry.fields[]": "what load reports hold",
    "telemetry.how": "off: there are none",
    "registryMode": "push: changes come by themselves",
    "billedValueBy": "request or work",
}


class Key(NamedTuple):
    """`path`: with [] for each row of a list; `default`: None where the key is required or has none."""

    path: str
    holds: str
    required: bool
    default: object


def keys(schema, path=""):
    """All keys below a voluptuous schema, in its order."""
    for marker, rule in getattr(schema, "schema", schema).items():
        name = str(marker.schema if isinstance(marker, Marker) else marker)
        here = f"{path}.{name}" if path else name
        default = marker.default() if getattr(marker, "default", UNDEFINED) is not UNDEFINED else None
        inner = below(rule)
        if isinstance(inner, list):
            below_row = below(inner[0])
            if isinstance(below_row, Schema):
                yield from keys(below_row, f"{here}[]")
                continue
            yield Key(f"{here}[]", holds(inner[0]), False, None)
        elif isinstance(inner, Schema):
            yield from keys(inner, here)
        else:
            yield Key(here, holds(rule), isinstance(marker, Required), default)


def below(rule):
    """What is inside a rule of several parts: the table or list among them, else the rule itself."""
    if isinstance(rule, All):
        return next((x for x in map(below, rule.validators) if isinstance(x, (Schema, list))), rule)
    return rule


def holds(rule):
    """In words, what a rule lets through."""
    if isinstance(rule, In):
        return "one of " + ", ".join(map(str, rule.container))
    if isinstance(rule, Any):
        return " or ".join("nothing" if x is None else holds(x) for x in rule.validators)
    if isinstance(rule, All):
        return holds(rule.validators[0])
    if isinstance(rule, list):
        return f"a list of: {holds(rule[0])}"
    if isinstance(rule, type):
        words = {"str": "text", "bool": "true or false", "object": "anything", "dict": "a table"}
        return words[rule.__name__]
    return getattr(rule, "holds", None) or repr(rule)


def unknown(known, tree, path=""):
    """(path, the nearest known key or None) of the first key that the table has not; None: all are known.

    >>> unknown(["rules.coldFrom", "parties[].name"], {"rules": {"coldForm": 1}})
    ('rules.coldForm', 'coldFrom')
    >>> unknown(["rules.coldFrom", "parties[].name"], {"parties": [{"name": "t"}], "rules": {}})
    """
    if isinstance(tree, list):
        return next((u for row in tree if (u := unknown(known, row, f"{path}[]"))), None)
    if not isinstance(tree, dict):
        return None
    for key, value in tree.items():
        here = f"{path}.{key}" if path else key
        if not any(k == here or k.startswith((here + ".", here + "[]")) for k in known):
            prefix = f"{path}." if path else ""
            beside = {re.split(r"[.\[]", k.removeprefix(prefix))[0] for k in known if k.startswith(prefix)}
            near = get_close_matches(key, sorted(beside), 1, 0.5)
            return here, near[0] if near else None
        if found := unknown(known, value, here):
            return found
    return None


def why(path):
    """What a key is for: by the longest end of its path that the table above has."""
    parts = path.split(".")
    known = WHY | consensus.WHY | maintenance.WHY | rate_limits.WHY
    return next((known[end] for i in range(len(parts)) if (end := ".".join(parts[i:])) in known), None)


def page(rows):
    """The schema as a page in Markdown."""
    yield "# Configuration"
    yield ""
    yield "Written by `grebedyke check --schema` out of the table that checks; do not edit."
    yield ""
    yield "The file that `BALANCER_CONFIG` names is JSON, or TOML where its name ends in `.toml`. In TOML a"
    yield 'key that ends in `Ms` takes a time with its unit (`"250 ms"`, `"2 s"`, `"1 min"`), a share a'
    yield 'percentage (`"17 %"`); unknown keys are refused. JSON, which the platform writes, may hold keys'
    yield "that this program does not read. `grebedyke check` names file, line, key and reason of the first"
    yield "fault; `check --explain` says what is in force and where it came from."
    yield ""
    yield "| key | holds | for | default |"
    yield "| --- | --- | --- | --- |"
    for key in rows:
        none = key.default in (None, [], {})
        default = "required" if key.required else "none" if none else f"`{key.default}`"
        yield f"| `{key.path}` | {key.holds} | {why(key.path)} | {default} |"
