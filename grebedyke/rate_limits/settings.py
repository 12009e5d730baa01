"""The settings of the fleet's limits, section `shares`: their form, rules and meaning. No I/O."""

from typing import NamedTuple

from voluptuous import All, Any, Length, Optional, Required

from grebedyke.errors import ConfigurationError
from grebedyke.rate_limits.definitions import Limit, LimitKind
from grebedyke.rate_limits.lease_terms import LeaseTerms
from grebedyke.units import ticks
from grebedyke.validation import integer, nullable, number, table

# Floors are decimal fractions; their sum may exceed the limit by what rounding makes of it.
_ROUNDING = 1e-9

SECTION = table(
    {
        Optional("leaseMs", default=2_000): number(100, 600_000),
        Optional("drift", default=0.02): number(0, 0.2),
        # How long an executor may run on what it was sent by a node that has died since.
        Optional("runMs", default=None): nullable(number(0, 86_400_000)),
        Optional("limits", default=list): [
            table(
                {
                    Required("name"): All(str, Length(min=1, max=64)),
                    Optional("rate", default=None): nullable(number(0.001, 1e6)),
                    Optional("burst", default=None): nullable(integer(1, 1_000_000)),
                    Optional("underWay", default=None): nullable(integer(1, 1_000_000)),
                    Optional("floor", default=0): number(0, 1e6),
                    Optional("tenant", default=None): Any(None, str),
                    Optional("operation", default=None): Any(None, str),
                    Optional("soft", default=False): bool,
                    Optional("further", default=False): bool,
                }
            )
        ],
    }
)

# What each key is for, on the page of `grebedyke check --schema`.
WHY = {
    "shares.leaseMs": "a node's share of a limit holds for so long",
    "shares.drift": "by how much two machines' clock rates may differ",
    "shares.runMs": "executors run on at most so long after their node died; none: longest client timeout",
    "limits[].name": "a limit's name, the same at all nodes",
    "limits[].rate": "invocations a second in the whole fleet",
    "limits[].burst": "at once beyond that, one for each node at least",
    "limits[].underWay": "invocations under way at once in the whole fleet",
    "limits[].floor": "of the limit, each node's own whatever it reaches",
    "limits[].tenant": "of that tenant; all without it",
    "limits[].operation": "of that operation; all without it",
    "limits[].further": "on forwards beyond each invocation's first, not on invocations",
    "limits[].soft": "what is over comes behind the rest, and is not turned away",
}


class Deployment(NamedTuple):
    """What the rest of the configuration says that limits depend on.

    Attributes:
        node_count: Nodes of the fleet.
        operations: Names of all operations.
        tenants: Names of all tenants.
    """

    node_count: int
    operations: list[str]
    tenants: list[str]


class Fault(NamedTuple):
    """Why a row of `limits` cannot be used.

    Attributes:
        key: The setting in that row which the message names.
        problem: The rest of the one-line message.
    """

    key: str
    problem: str


def check(section, fleet, node_count, operations, tenants, answer_timeout_ms):
    """Checks a section that has the form of `SECTION` against the rest of the configuration.

    Args:
        section: The section `shares`.
        fleet: The section `fleet`, None where there is none.
        node_count: How many nodes the fleet has.
        operations: Names of all operations.
        tenants: Names of all tenants.
        answer_timeout_ms: How long the fleet's nodes wait for each other's answers.

    Raises:
        ConfigurationError: The section cannot be used; the message says why.
    """
    if fleet is None:
        raise ConfigurationError("setting fleet is missing, which shares needs", ["fleet"])
    if section["leaseMs"] < 4 * answer_timeout_ms:
        raise ConfigurationError(
            f"setting shares.leaseMs is under four times fleet.waitMs: {section['leaseMs']:g}",
            ["shares", "leaseMs"],
        )
    deployment = Deployment(node_count, operations, tenants)
    earlier = []
    for index, row in enumerate(section["limits"]):
        _check_row(index, row, deployment, earlier)
        earlier.append(limit_of(row))


def limit_of(row):
    """Returns the `Limit` that a row of `limits` stands for."""
    kind = LimitKind.CONCURRENCY if row["rate"] is None else LimitKind.RATE
    size = row["underWay"] if row["rate"] is None else row["rate"]
    return Limit(
        name=row["name"],
        kind=kind,
        size=int(size * kind.units_per_request),
        burst=row["burst"] or 0,
        floor=int(row["floor"] * kind.units_per_request),
        tenant=row["tenant"],
        operation=row["operation"],
        soft=row["soft"],
        on_retries=row["further"],
    )


def limits_of(section):
    """Returns the limits of the section `shares`, in its order."""
    return [limit_of(row) for row in section["limits"]]


def lease_terms(section, node_count, longest_timeout):
    """Returns the `LeaseTerms` of the section `shares`.

    `longest_timeout` is the longest client timeout in ticks: so long executors may run on where the section
    does not say it.
    """
    return LeaseTerms(
        node_count=node_count,
        lease=ticks(section["leaseMs"]),
        clock_drift=section["drift"],
        run_on=longest_timeout if section["runMs"] is None else ticks(section["runMs"]),
    )


def _check_row(index, row, deployment, earlier):
    """Raises ConfigurationError by the first rule that the row breaks."""
    for rule in _RULES:
        fault = rule(row, deployment)
        if fault:
            _refuse(index, fault)
    limit = limit_of(row)
    for rule in _RULES_BESIDE_EARLIER:
        fault = rule(limit, earlier)
        if fault:
            _refuse(index, fault)


def _refuse(index, fault):
    raise ConfigurationError(
        f"setting shares.limits[{index}].{fault.key} {fault.problem}", ["shares", "limits", index, fault.key]
    )


# Rules of one row. Each returns the `Fault` that it finds, or None.


def _one_of_rate_and_concurrency(row, deployment):
    if (row["rate"] is None) == (row["underWay"] is None):
        return Fault("rate", "or underWay has to be there, one of them")
    return None


def _rate_has_burst(row, deployment):
    if row["rate"] is not None and row["burst"] is None:
        return Fault("burst", "is missing")
    return None


def _burst_of_one_for_each_node(row, deployment):
    if row["rate"] is not None and row["burst"] < deployment.node_count:
        return Fault("burst", f"is under one for each of {deployment.node_count} nodes: {row['burst']}")
    return None


def _concurrency_has_no_burst(row, deployment):
    if row["underWay"] is not None and row["burst"] is not None:
        return Fault("burst", "is nothing to a limit on what is under way")
    return None


def _retries_are_limited_by_rate(row, deployment):
    if row["further"] and row["underWay"]:
        return Fault("underWay", "is nothing here: further forwards are counted by the second")
    return None


def _retries_have_no_soft_limit(row, deployment):
    if row["further"] and row["soft"]:
        return Fault("soft", "is nothing here: further forwards have no soft limit")
    return None


def _concurrency_floor_is_integer(row, deployment):
    if row["underWay"] is not None and row["floor"] != int(row["floor"]):
        return Fault("floor", f"is no whole number: {row['floor']:g}")
    return None


def _floors_are_within_limit(row, deployment):
    floors = deployment.node_count * row["floor"]
    if floors > (row["rate"] or row["underWay"]) + _ROUNDING:
        return Fault("floor", f"of {deployment.node_count} nodes is more than the limit: {floors:g}")
    return None


def _operation_exists(row, deployment):
    if row["operation"] is not None and row["operation"] not in deployment.operations:
        return Fault("operation", f"does not exist: {row['operation']!r}")
    return None


def _tenant_exists(row, deployment):
    if row["tenant"] is not None and row["tenant"] not in deployment.tenants:
        return Fault("tenant", f"does not exist: {row['tenant']!r}")
    return None


# Rules of a limit beside the rows before it. Each returns the `Fault` that it finds, or None.


def _name_is_distinct(limit, earlier):
    """Names that share a number in messages would be taken for one limit."""
    for other in earlier:
        if other.wire_id == limit.wire_id:
            if other.name == limit.name:
                return Fault("name", "stands twice")
            return Fault("name", f"is too like {other.name!r}: take another")
    return None


def _limits_something_else(limit, earlier):
    for other in earlier:
        if _subject(other) == _subject(limit):
            return Fault("name", f"is the same limit as {other.name!r}")
    return None


def _subject(limit):
    return limit.kind, limit.tenant, limit.operation, limit.on_retries


_RULES = (
    _one_of_rate_and_concurrency,
    _rate_has_burst,
    _burst_of_one_for_each_node,
    _concurrency_has_no_burst,
    _retries_are_limited_by_rate,
    _retries_have_no_soft_limit,
    _concurrency_floor_is_integer,
    _floors_are_within_limit,
    _operation_exists,
    _tenant_exists,
)
_RULES_BESIDE_EARLIER = (_name_is_distinct, _limits_something_else)
