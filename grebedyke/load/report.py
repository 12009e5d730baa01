"""A run as text and as JSON."""

import json


def summary(clients, broken):
    """Plain types: counts by outcome, waits in milliseconds, how late the tool ran, broken rules.

    `broken`: None where they could not be judged, as nobody told what took effect.
    """
    judged, broken = broken is not None, broken or []
    return {
        "judged": judged,
        "counts": dict(clients.ledger.counts()),
        "waits_ms": clients.percentiles(),
        "tool_late_ms": round(clients.late * 1000, 1),
        "broken": [{"rule": b.rule, "id": b.id, "what": b.what} for b in broken],
    }


def text(told):
    """Lines for people."""
    counts, waits = told["counts"], told["waits_ms"]
    yield "invocations   " + "  ".join(f"{name} {n}" for name, n in counts.items())
    yield "waits (ms, from the intended arrival)   " + "  ".join(f"{k} {v:.1f}" for k, v in waits.items())
    if told["tool_late_ms"] > 50:
        yield f"the load tool itself ran {told['tool_late_ms']:.0f} ms late: the waits hold some of that"
    for b in told["broken"][:20]:
        yield f"rule {b['rule']} broken by {b['id']}: {b['what']}"
    if len(told["broken"]) > 20:
        yield f"and {len(told['broken']) - 20} more"
    if told["judged"]:
        yield f"rules: {len(told['broken'])} broken" if told["broken"] else "rules: all kept"
    else:
        yield "rules: not judged, as no executor was named to tell what took effect"


def write(path, told):
    with open(path, "w") as file:
        json.dump(told, file, indent=1)
        file.write("\n")
