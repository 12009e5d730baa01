"""Settings in the form in which the platform writes them, for the fleets that the tools start."""

SPEEDS = {"full": 1.0, "slow": 0.6}
"""Speed of executors by kind."""

ZONES = ("a", "b")


def deployment_settings(operations, node_count, node_number, zone, zones=ZONES):
    """Returns the settings of a node, with messages between nodes disabled.

    Args:
        operations: The `Operation` entries.
        node_count: Number of nodes in the fleet.
        node_number: Number of this node, from 0.
        zone: Zone of this node.
        zones: All zones.
    """
    return {
        "balancers": node_count,
        "me": node_number,
        "tickMs": 5,
        "zone": zone,
        "zones": [*zones],
        "machineTypes": [*SPEEDS],
        "operations": [_operation_settings(operation) for operation in operations],
        "billedValueBy": "work",
        "limits": {
            "maxForwards": 4,
            "connIdleMs": 5000,
            "connectTimeoutMs": 250,
            "mayCancel": True,
            "probes": True,
            "retryAfter": True,
            "maxRetryAfterMs": 2000,
        },
        "rules": {
            "coldFrom": 0.3,
            "rampTimeMs": 2000,
            "fallMultiple": 3,
            "tipAfterMs": 1000,
            "drainGraceMs": 2000,
        },
        "familyInfo": {"tellsStart": True, "progressMs": 0, "classStretch": [2.5] * len(operations)},
        "telemetry": {"fields": ["x0", "rif"], "how": "inline"},
        "registryMode": "push",
        "parties": [{"name": "t", "quotaRps": 1000}],
    }


def _operation_settings(operation):
    return {
        "name": operation.name,
        "idempotency": operation.idempotency,
        "latencyObjectiveMs": 250,
        "group": "zone",
        "windowMs": operation.window * 1000,
        "clientTimeoutMs": operation.timeout * 1000,
        "billedValue": 1.0,
    }
