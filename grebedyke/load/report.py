"""The summary of a run, as JSON and as text."""

import json

MAX_LISTED_VIOLATIONS = 20

NOTABLE_LAG_MS = 50
"""Lag of the load tool above which it is reported, because it is a notable part of the waits."""


def summarize(clients, violations):
    """Returns the summary of a run in its JSON form.

    Args:
        clients: The run's `OpenLoopClients`.
        violations: All `Violation` entries; None if the rules were not checked because no executor reported
            its effects.
    """
    return {
        "judged": violations is not None,
        "counts": dict(clients.ledger.counts()),
        "waits_ms": clients.wait_percentiles(),
        "tool_late_ms": round(clients.lag * 1000, 1),
        "broken": [
            {"rule": int(violation.rule), "id": violation.id, "what": violation.description}
            for violation in violations or []
        ],
    }


def text_lines(summary):
    """Yields the lines of the summary as text."""
    broken = summary["broken"]
    counts = "  ".join(f"{name} {count}" for name, count in summary["counts"].items())
    waits = "  ".join(f"{name} {wait:.1f}" for name, wait in summary["waits_ms"].items())
    yield f"requests   {counts}"
    yield f"waits (ms, from the intended arrival)   {waits}"
    lag = summary["tool_late_ms"]
    if lag > NOTABLE_LAG_MS:
        yield f"the load tool itself was up to {lag:.0f} ms late: the waits include part of that"
    for row in broken[:MAX_LISTED_VIOLATIONS]:
        yield f"rule {row['rule']} broken by {row['id']}: {row['what']}"
    if len(broken) > MAX_LISTED_VIOLATIONS:
        yield f"and {len(broken) - MAX_LISTED_VIOLATIONS} more"
    if not summary["judged"]:
        yield "rules: not judged, as no executor was named that reports its effects"
    else:
        yield f"rules: {len(broken)} broken" if broken else "rules: all kept"


def write(path, summary):
    """Writes a summary as JSON."""
    with open(path, "w") as file:
        json.dump(summary, file, indent=1)
        file.write("\n")
