"""The settings of a deployment: what they may hold."""

from voluptuous import All, Any, In, Invalid, Length, Optional, Required

from grebedyke.checks import checked, maybe, number, table
from grebedyke.errors import ConfigurationError
from grebedyke.model.outcome import Effect

BUDGET = "extraFloor", "resendRatio", "lookBackMs"
EFFECTS = {"safe": Effect.IDEMPOTENT, "keyed": Effect.KEYED, "unsafe": Effect.NON_IDEMPOTENT}


def deduplicated(row):
    # Guessed, they would let a repeat run twice.
    for key in ("windowMs", "group") if row["idempotency"] == "keyed" else ():
        if row[key] is None:
            raise Invalid("is missing", path=[key])
    return {**row, "group": row["group"] or "all"}


def budget(rules):
    """The three terms of the budget for further forwards say nothing without each other."""
    told = [key for key in BUDGET if rules[key] is not None]
    for key in BUDGET if told else ():
        if rules[key] is None:
            raise Invalid("is missing", path=[key])
    return rules


OPERATION = All(
    table(
        {
            Required("name"): str,
            Required("idempotency"): In(EFFECTS, msg="is unknown"),
            Optional("group", default=None): Any(None, "all", "zone", "cell", msg="is unknown"),
            Optional("windowMs", default=None): maybe(number(0)),
            Required("latencyObjectiveMs"): number(0),
            # No default: a guessed one would bind clients to a timeout that nobody has configured.
            Required("clientTimeoutMs"): number(0.1),
            Optional("aimStretch", default=0.0): number(0),
            Optional("billedValue", default=1.0): number(),
            Optional("overdueBilledValue", default=0.0): number(0),
        }
    ),
    deduplicated,
)

TERMS = table(
    {
        Required("balancers"): number(1),
        Required("me"): number(0),
        Required("tickMs"): number(0.1),
        Optional("zone", default=None): Any(None, str),
        Optional("machineTypes", default=list): [str],
        Required("operations"): All([OPERATION], Length(min=1, msg="is missing")),
        # Required although draining endpoints get nothing at once: no node runs without the rules' figures.
        Required("rules"): All(
            table(
                {
                    Required("drainGraceMs"): number(0),
                    Required("fallMultiple"): number(1),
                    Required("coldFrom"): number(0, 1),
                    Required("rampTimeMs"): number(0),
                    Required("tipAfterMs"): number(0.1),
                    Optional("extraFloor", default=None): maybe(number(0)),
                    Optional("resendRatio", default=None): maybe(number(0)),
                    # A day at most: a window that no node's life fills would be no rule of forwards any more.
                    Optional("lookBackMs", default=None): maybe(number(1, 86_400_000)),
                }
            ),
            budget,
        ),
        Required("limits"): table(
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
        ),
        Optional("prices", default=dict): table({Optional("crossZone", default=0.0): number(0)}),
        Optional("familyInfo", default=dict): table(
            {
                Optional("progressMs", default=0): number(0),
                Optional("tellsStart", default=False): bool,
                Optional("classStretch", default=list): [number()],
                Optional("classKind", default=list): [number(-1)],
            }
        ),
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


def terms(conf, prefix=""):
    conf = checked(TERMS, conf, prefix)
    if conf["me"] >= conf["balancers"]:
        raise ConfigurationError(f"setting {prefix}me is out of its range: {conf['me']!r}")
    return conf
