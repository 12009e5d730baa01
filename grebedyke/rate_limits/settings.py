"""The settings of the fleet's limits: schema, checks and parsing of the section `shares`. No I/O."""

from typing import NamedTuple

from voluptuous import All, Any, Length, Optional, Required

from grebedyke.errors import ConfigurationError
from grebedyke.rate_limits.definitions import Limit, LimitKind
from grebedyke.rate_limits.lease_terms import LeaseTerms
from grebedyke.units import ticks
from grebedyke.validation import integer, nullable, number, table

# Floors are decimal fractions, so their sum may exceed the limit by a rounding error.
_ROUNDING_TOLERANCE = 1e-9

SECTION = table(
    {
        Optional("leaseMs", default=2_000): number(100, 600_000),
        Optional("drift", default=0.02): number(0, 0.2),
        # How long an executor may keep running jobs of a dead node; None for the longest client timeout.
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

# The purpose of each key, printed by `grebedyke check --schema`.
KEY_PURPOSES = {
    "shares.leaseMs": "how long a node may use its share of a limit",
    "shares.drift": "maximum difference between two machines' clock rates, as a fraction",
    "shares.runMs": "maximum time that executors run jobs of a dead node; none: the longest client timeout",
    "limits[].name": "name of the limit, the same at all nodes",
    "limits[].rate": "requests per second in the whole fleet",
    "limits[].burst": "requests at once beyond the rate, at least one per node",
    "limits[].underWay": "maximum number of requests under way in the whole fleet",
    "limits[].floor": "part of the limit that each node may use without reaching other nodes",
    "limits[].tenant": "tenant that the limit applies to; none: all",
    "limits[].operation": "operation that the limit applies to; none: all",
    "limits[].further": "whether the limit applies to retries instead of requests",
    "limits[].soft": "whether requests over the limit are queued behind all others instead of throttled",
}


class Deployment(NamedTuple):
    """The parts of the configuration that limits refer to.

    Attributes:
        node_count: Number of nodes in the fleet.
        operations: Names of all operations.
        tenants: Names of all tenants.
    """

    node_count: int
    operations: list[str]
    tenants: list[str]


class RowProblem(NamedTuple):
    """A problem found in a row of `limits`.

    Attributes:
        key: The setting in this row that the problem refers to.
        message: The rest of the error message, after the name of the setting.
    """

    key: str
    message: str


def check(section, fleet, node_count, operations, tenants, answer_timeout_ms):
    """Checks a section that matches `SECTION` against the rest of the configuration.

    Args:
        section: The section `shares`.
        fleet: The section `fleet`, None if it is missing.
        node_count: Number of nodes in the fleet.
        operations: Names of all operations.
        tenants: Names of all tenants.
        answer_timeout_ms: How long a node waits for an answer from another node, in milliseconds.

    Raises:
        ConfigurationError: The section is invalid; the message gives the reason.
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
    """Returns the `Limit` defined by a row of `limits`."""
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
    """Returns the limits of the section `shares`, in their order there."""
    return [limit_of(row) for row in section["limits"]]


def lease_terms(section, node_count, longest_timeout):
    """Returns the `LeaseTerms` of the section `shares`.

    `longest_timeout` is the longest client timeout in ticks, the default for how long executors may run on.
    """
    return LeaseTerms(
        node_count=node_count,
        lease=ticks(section["leaseMs"]),
        clock_drift=section["drift"],
        run_on=longest_timeout if section["runMs"] is None else ticks(section["runMs"]),
    )


def _check_row(index, row, deployment, earlier):
    """Raises ConfigurationError for the first rule that the row violates."""
    for rule in _ROW_RULES:
        problem = rule(row, deployment)
        if problem:
            _raise_row_error(index, problem)
    limit = limit_of(row)
    for rule in _UNIQUENESS_RULES:
        problem = rule(limit, earlier)
        if problem:
            _raise_row_error(index, problem)


def _raise_row_error(index, problem):
    raise ConfigurationError(
        f"setting shares.limits[{index}].{problem.key} {problem.message}",
        ["shares", "limits", index, problem.key],
    )


# Rules for a single row. Each returns a `RowProblem` or None.


def _one_of_rate_and_concurrency(row, deployment):
    if (row["rate"] is None) == (row["underWay"] is None):
        return RowProblem("rate", "or underWay must be given, but not both")
    return None


def _rate_has_burst(row, deployment):
    if row["rate"] is not None and row["burst"] is None:
        return RowProblem("burst", "is missing")
    return None


def _burst_of_one_for_each_node(row, deployment):
    if row["rate"] is not None and row["burst"] < deployment.node_count:
        return RowProblem(
            "burst", f"is less than one per node, with {deployment.node_count} nodes: {row['burst']}"
        )
    return None


def _concurrency_has_no_burst(row, deployment):
    if row["underWay"] is not None and row["burst"] is not None:
        return RowProblem("burst", "does not apply to a limit on underWay")
    return None


def _retries_are_limited_by_rate(row, deployment):
    if row["further"] and row["underWay"]:
        return RowProblem("underWay", "does not apply with further: retries are limited by rate only")
    return None


def _retries_have_no_soft_limit(row, deployment):
    if row["further"] and row["soft"]:
        return RowProblem("soft", "does not apply with further: there are no soft limits on retries")
    return None


def _concurrency_floor_is_integer(row, deployment):
    if row["underWay"] is not None and row["floor"] != int(row["floor"]):
        return RowProblem("floor", f"is not an integer: {row['floor']:g}")
    return None


def _floors_are_within_limit(row, deployment):
    floors = deployment.node_count * row["floor"]
    if floors > (row["rate"] or row["underWay"]) + _ROUNDING_TOLERANCE:
        return RowProblem("floor", f"of {deployment.node_count} nodes exceeds the limit in sum: {floors:g}")
    return None


def _operation_exists(row, deployment):
    if row["operation"] is not None and row["operation"] not in deployment.operations:
        return RowProblem("operation", f"does not exist: {row['operation']!r}")
    return None


def _tenant_exists(row, deployment):
    if row["tenant"] is not None and row["tenant"] not in deployment.tenants:
        return RowProblem("tenant", f"does not exist: {row['tenant']!r}")
    return None


# Rules for a limit compared with the rows before it. Each returns a `RowProblem` or None.


def _name_is_distinct(limit, earlier):
    """Requires distinct wire identifiers, as messages refer to limits by these only."""
    for other in earlier:
        if other.wire_id == limit.wire_id:
            if other.name == limit.name:
                return RowProblem("name", "is used twice")
            return RowProblem("name", f"has the same wire identifier as {other.name!r}: choose another name")
    return None


def _scope_is_distinct(limit, earlier):
    for other in earlier:
        if _scope(other) == _scope(limit):
            return RowProblem("name", f"is the same limit as {other.name!r}")
    return None


def _scope(limit):
    return limit.kind, limit.tenant, limit.operation, limit.on_retries


_ROW_RULES = (
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
_UNIQUENESS_RULES = (_name_is_distinct, _scope_is_distinct)
