"""What `benchmarks.fleet` runs: each role at several sizes of each thing that it may grow with."""

from collections.abc import Callable
from typing import Any, NamedTuple

from benchmarks import processes, roles
from grebedyke.units import TICKS_PER_SECOND

SCENES = ("restart of all", "regions cut")


class Case(NamedTuple):
    """One run.

    Attributes:
        call: A function of benchmarks/roles.py or benchmarks/processes.py that returns rows.
        against: What is varied.
        size: How much of it there is.
        arguments: Of the call, beside these two.
    """

    call: Callable
    against: str
    size: float
    arguments: dict[str, Any]


def cases(quick):
    """Returns each `Case`, the most expensive first."""
    span = (2 if quick else 6) * TICKS_PER_SECOND
    nodes = (8, 16, 32, 80) if quick else (34, 76, 190, 380, 760)
    base, mid = (8, 16) if quick else (34, 76)
    executors = (10, 30, 100) if quick else (10, 76, 240, 760)
    found = []

    def over(call, against, sizes, **shape):
        """Adds a case for each size; an argument that is None is the size."""
        for size in sizes:
            arguments = {name: size if value is None else value for name, value in shape.items()}
            found.append(Case(call, against, size, arguments))

    # All wanted at each node and all of them full, as in a peak; two teams' at each node, as on a calm day.
    over(roles.limited, "nodes", nodes, nodes=None, span=span, full=True)
    over(roles.limited, "nodes", nodes, nodes=None, span=span, wanted=2, full=True)
    over(roles.limited, "nodes", nodes, nodes=None, span=span, wanted=2)
    for full in (True, False):
        over(
            roles.limited,
            "limits",
            (4, 12, 34, 110, 340)[: 4 if quick else 5],
            nodes=base,
            span=span,
            limits=None,
            full=full,
        )
    over(roles.limited, "limits wanted", (1, 4, 12, 34), nodes=mid, span=span, wanted=None)
    over(roles.planned, "nodes", nodes, nodes=None, span=2 * span, length=24)
    over(
        roles.planned,
        "plan length",
        (8, 24, 80) if quick else (8, 24, 76, 240, 760),
        nodes=base,
        span=2 * span,
        length=None,
    )
    over(roles.planned, "executors", executors, nodes=base, span=2 * span, length=10, executors=None)
    over(roles.planned, "most out at once", (1, 2, 4, 16), nodes=base, span=2 * span, length=48, most=None)
    over(roles.idle, "nodes", nodes, nodes=None, span=span)
    over(roles.idle, "executors", executors, nodes=base, span=span, executors=None)
    for size in (1, 2, 5) if quick else (0.5, 1, 2, 5, 10):
        lease = int(size * TICKS_PER_SECOND)
        more = {"nodes": base, "span": max(span, 2 * lease), "lease": lease}
        found += [Case(call, "lease in s", size, more) for call in (roles.idle, roles.limited)]
    over(roles.given, "nodes", nodes, nodes=None, span=span, an_hour=600, length=2_000)
    over(
        roles.given,
        "changes an hour",
        (60, 240, 900, 3_600),
        nodes=mid,
        span=span,
        an_hour=None,
        length=2_000,
    )
    over(
        roles.given,
        "bytes of the value",
        (500, 2_000, 8_000, 30_000),
        nodes=mid,
        span=span,
        an_hour=600,
        length=None,
    )
    for what in SCENES:
        over(roles.scene, "nodes", nodes[:2] if quick else (34, 76, 190, 380), nodes=None, what=what)
    books = (10, 30, 100, 240) if quick else (24, 76, 240, 760, 2_400)
    for probes in (True, False):
        over(roles.placed, "executors", books, executors=None, probes=probes, forwards=20)
    over(
        roles.placed,
        "forwards",
        (10, 31, 100) if quick else (31, 100, 310, 1_000, 3_100),
        forwards=None,
        executors=100 if quick else 760,
    )
    few = {"executors": 100} if quick else {}
    over(roles.placed, "operations", (2, 8, 24, 64), operations=None, **few)
    over(roles.placed, "tenants", (3, 10, 34, 100), tenants=None, **few)
    over(roles.listed, "executors", books)
    over(roles.datagrams, "bytes of a word", (40, 120, 400, 1_150))
    over(processes.reloaded, "nodes", nodes, nodes=None)
    for fleet in (True, False):
        over(
            processes.process,
            "executors",
            (10, 100) if quick else (10, 100, 300, 760),
            executors=None,
            fleet=fleet,
            span=1.0 if quick else 10.0,
        )
    expense = {roles.limited: 3, roles.scene: 3, roles.planned: 2, roles.idle: 1}
    return sorted(found, key=lambda case: -expense.get(case.call, 0) * case.arguments.get("nodes", 0))
