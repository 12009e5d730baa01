"""What the configuration says of the fleet's limits, and its checks."""

from voluptuous import All, Any, Length, Optional, Required

from grebedyke.checks import maybe, number, table, whole
from grebedyke.errors import ConfigurationError
from grebedyke.rate_limits.definitions import OPEN, RATE, THOUSANDTHS, Limit
from grebedyke.units import ticks

SECTION = table(
    {
        Optional("leaseMs", default=2_000): number(100, 600_000),
        Optional("drift", default=0.02): number(0, 0.2),
        # How long an executor may run on what a node sent it that has died.
        Optional("runMs", default=None): maybe(number(0, 86_400_000)),
        Optional("limits", default=list): [
            table(
                {
                    Required("name"): All(str, Length(min=1, max=64)),
                    Optional("rate", default=None): maybe(number(0.001, 1e6)),
                    Optional("burst", default=None): maybe(whole(1, 1_000_000)),
                    Optional("underWay", default=None): maybe(whole(1, 1_000_000)),
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


def check(section, fleet, nodes, operations, tenants, wait):
    """`wait`: the fleet's own, for another node's answer."""
    if fleet is None:
        raise ConfigurationError("setting fleet is missing, which shares needs", ["fleet"])
    if section["leaseMs"] < 4 * wait:
        raise ConfigurationError(
            f"setting shares.leaseMs is under four times fleet.waitMs: {section['leaseMs']:g}",
            ["shares", "leaseMs"],
        )
    names, on = {}, {}
    for i, row in enumerate(section["limits"]):

        def refuse(key, why):
            raise ConfigurationError(f"setting shares.limits[{i}].{key} {why}", ["shares", "limits", i, key])

        if (row["rate"] is None) == (row["underWay"] is None):
            refuse("rate", "or underWay has to be there, one of them")
        if row["rate"] is not None and row["burst"] is None:
            refuse("burst", "is missing")
        if row["rate"] is not None and row["burst"] < nodes:
            refuse("burst", f"is under one for each of {nodes} nodes: {row['burst']}")
        if row["underWay"] is not None and row["burst"] is not None:
            refuse("burst", "is nothing to a limit on what is under way")
        for key, why in (("underWay", "are counted by the second"), ("soft", "have no soft limit")):
            if row["further"] and row[key]:
                refuse(key, f"is nothing here: further forwards {why}")
        if row["underWay"] is not None and row["floor"] != int(row["floor"]):
            refuse("floor", f"is no whole number: {row['floor']:g}")
        if nodes * row["floor"] > (row["rate"] or row["underWay"]) + 1e-9:
            refuse("floor", f"of {nodes} nodes is more than the limit: {nodes * row['floor']:g}")
        if row["operation"] is not None and row["operation"] not in operations:
            refuse("operation", f"does not exist: {row['operation']!r}")
        if row["tenant"] is not None and row["tenant"] not in tenants:
            refuse("tenant", f"does not exist: {row['tenant']!r}")
        limit = read(row)
        if limit.id() in names:
            other = names[limit.id()]
            refuse("name", "stands twice" if other == limit.name else f"is too like {other!r}: take another")
        what = limit.kind, limit.tenant, limit.operation, limit.further
        if what in on:
            refuse("name", f"is the same limit as {on[what]!r}")
        names[limit.id()] = on[what] = limit.name


def read(row):
    rate = row["rate"] is not None
    unit = THOUSANDTHS if rate else 1
    size = row["rate"] if rate else row["underWay"]
    return Limit(
        row["name"],
        RATE if rate else OPEN,
        int(size * unit),
        row["burst"] or 0,
        int(row["floor"] * unit),
        row["tenant"],
        row["operation"],
        row["soft"],
        row["further"],
    )


def limits(section):
    return [read(row) for row in section["limits"]]


def hold(section, longest):
    """`longest`: the longest client timeout, in tenths of a millisecond."""
    return longest if section["runMs"] is None else ticks(section["runMs"])
