"""The page of all keys, docs/configuration.md, written out of the schemas."""

from grebedyke.service.configuration.sections import settings_modules

# What each key is for, by the last parts of its path.
_PURPOSES = {
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


_INTRODUCTION = """\
# Configuration

Written by `grebedyke check --schema` out of the table that checks; do not edit.

The file that `BALANCER_CONFIG` names is JSON, or TOML where its name ends in `.toml`. In TOML a
key that ends in `Ms` takes a time with its unit (`"250 ms"`, `"2 s"`, `"1 min"`), a share a
percentage (`"17 %"`); unknown keys are refused. JSON, which the platform writes, may hold keys
that this program does not read. `grebedyke check` names file, line, key and reason of the first
fault; `check --explain` says what is in force and where it came from.

| key | holds | for | default |
| --- | --- | --- | --- |"""


def purpose(path):
    """Returns what a key is for, by the longest end of its path that is described; None where none is."""
    purposes = dict(_PURPOSES)
    for module in settings_modules().values():
        purposes |= module.WHY
    parts = path.split(".")
    ends = (".".join(parts[start:]) for start in range(len(parts)))
    return next((purposes[end] for end in ends if end in purposes), None)


def page_lines(keys):
    """Yields the lines of the page, in Markdown.

    Args:
        keys: Each `Key` that the page describes.
    """
    yield from _INTRODUCTION.split("\n")
    for key in keys:
        yield f"| `{key.path}` | {key.accepts} | {purpose(key.path)} | {_default_text(key)} |"


def _default_text(key):
    if key.required:
        return "required"
    return "none" if key.default in (None, [], {}) else f"`{key.default}`"
