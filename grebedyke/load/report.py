"""What a run came to, as JSON and as text."""

import json

MOST_LISTED_VIOLATIONS = 20

NOTABLE_LAG_MS = 50
"""The load tool's own lag from which the waits hold a notable part of it."""


def summarize(clients, violations):
    """Returns a run's summary as it is written to JSON.

    Args:
        clients: The run's `OpenLoopClients`.
        violations: Each `Violation`; None where nobody told what took effect, so that none could be judged.
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
    """Yields the lines of a summary for people."""
    broken = summary["broken"]
    counts = "  ".join(f"{name} {count}" for name, count in summary["counts"].items())
    waits = "  ".join(f"{name} {wait:.1f}" for name, wait in summary["waits_ms"].items())
    yield f"invocations   {counts}"
    yield f"waits (ms, from the intended arrival)   {waits}"
    lag = summary["tool_late_ms"]
    if lag > NOTABLE_LAG_MS:
        yield f"the load tool itself ran {lag:.0f} ms late: the waits hold some of that"
    for row in broken[:MOST_LISTED_VIOLATIONS]:
        yield f"rule {row['rule']} broken by {row['id']}: {row['what']}"
    if len(broken) > MOST_LISTED_VIOLATIONS:
        yield f"and {len(broken) - MOST_LISTED_VIOLATIONS} more"
    if not summary["judged"]:
        yield "rules: not judged, as no executor was named to tell what took effect"
    else:
        yield f"rules: {len(broken)} broken" if broken else "rules: all kept"


def write(path, summary):
    """Writes a summary as JSON."""
    with open(path, "w") as file:
        json.dump(summary, file, indent=1)
        file.write("\n")
