"""The schema of a deployment's settings, the table `settings` of a node's configuration."""

from voluptuous import All, Any, In, Invalid, Length, Optional, Required

from grebedyke.errors import ConfigurationError
from grebedyke.validation import nullable, number, table, validate

IDEMPOTENCY_VALUES = ("safe", "keyed", "unsafe")
RETRY_BUDGET_KEYS = ("extraFloor", "resendRatio", "lookBackMs")

MAX_RETRY_WINDOW_MS = 24 * 3_600_000
"""A longer window would not be over within the uptime of a node, and would limit nothing."""


def _check_keyed_operation(row):
    """Checks that an operation with keyed idempotency has a group and a window.

    There are no defaults: with wrong ones, a repeat outside of the real group or window would run twice.
    """
    if row["idempotency"] == "keyed":
        _require(row, ("windowMs", "group"))
    return {**row, "group": row["group"] or "all"}


def _check_retry_budget(rules):
    """Checks that either all settings of the retry budget are given or none, as they only work together."""
    if any(rules[key] is not None for key in RETRY_BUDGET_KEYS):
        _require(rules, RETRY_BUDGET_KEYS)
    return rules


def _require(row, keys):
    for key in keys:
        if row[key] is None:
            raise Invalid("is missing", path=[key])


_OPERATION = All(
    table(
        {
            Required("name"): str,
            Required("idempotency"): In(IDEMPOTENCY_VALUES, msg="is unknown"),
            Optional("group", default=None): Any(None, "all", "zone", "cell", msg="is unknown"),
            Optional("windowMs", default=None): nullable(number(0)),
            Required("latencyObjectiveMs"): number(0),
            # No default, which would impose a timeout on clients that nobody has configured.
            Required("clientTimeoutMs"): number(0.1),
            Optional("aimStretch", default=0.0): number(0),
            Optional("billedValue", default=1.0): number(),
            Optional("overdueBilledValue", default=0.0): number(0),
        }
    ),
    _check_keyed_operation,
)

_RULES = All(
    table(
        {
            Required("drainGraceMs"): number(0),
            Required("fallMultiple"): number(1),
            Required("coldFrom"): number(0, 1),
            Required("rampTimeMs"): number(0),
            Required("tipAfterMs"): number(0.1),
            Optional("extraFloor", default=None): nullable(number(0)),
            Optional("resendRatio", default=None): nullable(number(0)),
            Optional("lookBackMs", default=None): nullable(number(1, MAX_RETRY_WINDOW_MS)),
        }
    ),
    _check_retry_budget,
)

_LIMITS = table(
    {
        Optional("mayCancel", default=False): bool,
        Required("maxForwards"): number(1),
        Optional("retryAfter", default=False): bool,
        Optional("maxRetryAfterMs", default=0): number(0),
        Optional("probes", default=False): bool,
        Optional("peerMessages", default=False): bool,
        Optional("maxOpen", default=10**6): number(1),
        Optional("connIdleMs", default=60_000): number(1),
        Optional("connectTimeoutMs", default=1_000): number(1),
    }
)

_FAMILY_INFO = table(
    {
        Optional("progressMs", default=0): number(0),
        Optional("tellsStart", default=False): bool,
        Optional("classStretch", default=list): [number()],
        Optional("classKind", default=list): [number(-1)],
    }
)

SETTINGS_SCHEMA = table(
    {
        Required("balancers"): number(1),
        Required("me"): number(0),
        Required("tickMs"): number(0.1),
        Optional("zone", default=None): Any(None, str),
        Optional("machineTypes", default=list): [str],
        Required("operations"): All([_OPERATION], Length(min=1, msg="is missing")),
        # Required, although a node stops using draining endpoints before drainGraceMs is over: no node runs
        # without the other values.
        Required("rules"): _RULES,
        Required("limits"): _LIMITS,
        Optional("prices", default=dict): table({Optional("crossZone", default=0.0): number(0)}),
        Optional("familyInfo", default=dict): _FAMILY_INFO,
        Optional("parties", default=list): [
            table({Required("name"): str, Optional("quotaRps", default=0.0): number()})
        ],
        Optional("telemetry", default=dict): table(
            {Optional("fields", default=list): [str], Optional("how", default="off"): str}
        ),
        Optional("registryMode", default="push"): In(("push", "ask"), msg="is unknown"),
        Optional("billedValueBy", default="request"): str,
    }
)


def check_settings(settings, prefix=""):
    """Returns a deployment's settings with their defaults.

    Args:
        settings: The table as parsed.
        prefix: Prefix of its keys in messages: "settings." if it is part of a file.

    Raises:
        ConfigurationError: A setting is invalid.
    """
    settings = validate(SETTINGS_SCHEMA, settings, prefix)
    if settings["me"] >= settings["balancers"]:
        raise ConfigurationError(f"setting {prefix}me is out of its range: {settings['me']!r}")
    return settings
