"""Load reports of executors: in the body of a probe's answer, or beside what ends a forward."""

# The operators' wire says some figures in words of its own.
SAME = {
    "inflight": "rif",
    "queue": "q",
    "util": "busy",
    "eps": "fail_rate",
    "qps": "rate",
    "latency_ms": "lat_ms",
}


def figures(text):
    """
    >>> figures("TEXT inflight=7, queue=2, util=0.61, odd, x0=n") == {"rif": 7.0, "q": 2.0, "busy": 0.61}
    True
    """
    found = {}
    for part in text.removeprefix("TEXT ").replace(" ", "").split(","):
        name, _, value = part.partition("=")
        try:
            found[SAME.get(name, name)] = float(value)
        except ValueError:
            continue
    return found


def free(told):
    """Free slots, where a report has them.

    >>> [free(told) for told in ({"x0": 2}, {"x0": "n"}, {"x0": -1}, {"x0": True}, None, [])]
    [2, None, None, None, None, None]
    """
    slots = told.get("x0") if isinstance(told, dict) else None
    good = isinstance(slots, (int, float)) and not isinstance(slots, bool) and 0 <= slots < 10_000
    return slots if good else None


def room(told):
    """Free slots and work held, as far as a report has them."""
    return told.get("x0"), told.get("rif")
