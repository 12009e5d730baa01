"""Settings of a small deployment, like the users' `foglalas-budapest`."""


def operation(name, idempotency="safe", timeout_ms=5000, group=None, window_ms=None):
    """Returns an operation of the settings."""
    row = {
        "name": name,
        "idempotency": idempotency,
        "latencyObjectiveMs": 250.0,
        "aimStretch": 2.5,
        "clientTimeoutMs": timeout_ms,
        "billedValue": 2.0,
    }
    if group:
        row |= {"group": group, "windowMs": window_ms}
    return row


def settings(operations, me=0, nodes=1, zone="a", **rules):
    """Returns the settings of a node."""
    return {
        "balancers": nodes,
        "me": me,
        "tickMs": 5.0,
        "zone": zone,
        "machineTypes": ["std"],
        "operations": operations,
        "limits": {
            "maxForwards": 5,
            "mayCancel": True,
            "probes": False,
            "connIdleMs": 5000.0,
            "connectTimeoutMs": 250.0,
            "maxRetryAfterMs": 2000.0,
            "retryAfter": False,
        },
        "familyInfo": {"tellsStart": True, "progressMs": 1000.0},
        "rules": {
            "coldFrom": 0.31,
            "drainGraceMs": 2000.0,
            "fallMultiple": 3.0,
            "rampTimeMs": 8600.0,
            "tipAfterMs": 1000.0,
            **rules,
        },
        "parties": [{"name": "t", "quotaRps": 100.0}],
    }
