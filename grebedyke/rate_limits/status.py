"""The status of one limit at one node, as shown to operators. No I/O."""

from grebedyke.rate_limits.definitions import LimitKind

_KIND_LABELS = {LimitKind.RATE: "a second", LimitKind.CONCURRENCY: "under way"}


def limit_status(now, limit, meter):
    """Returns the row of one limit in the answer to `GET /v1/limits`, as a dict for JSON."""
    unit = limit.kind.units_per_request
    return {
        "name": limit.name,
        "kind": _KIND_LABELS[limit.kind],
        "tenant": limit.tenant,
        "operation": limit.operation,
        "soft": limit.soft,
        "further": limit.on_retries,
        "limit": limit.size / unit,
        "burst": limit.burst,
        "floor": limit.floor / unit,
        "share": meter.active_share(now) / unit,
        "under_way": meter.in_flight,
        "passed": meter.admitted,
        "denied": meter.denied,
    }
