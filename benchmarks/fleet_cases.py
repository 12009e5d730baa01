"""What `benchmarks.fleet` runs: each role at several sizes of each thing that it may grow with."""

from collections.abc import Callable
from typing import Any, NamedTuple

from benchmarks import dispatcher_roles, processes, roles
from grebedyke.units import TICKS_PER_SECOND

SCENES = ("restart of all", "regions cut")


class Case(NamedTuple):
    """One run.

    Attributes:
        call: A function of `roles`, `dispatcher_roles` or `processes` that returns rows.
        against: What is varied.
        size: How much of it there is.
        arguments: Of the call, beside these two.
    """

    call: Callable
    against: str
    size: float
    arguments: dict[str, Any]


class _Cases:
    """Collects the cases of one run.

    Attributes:
        quick: Whether the sizes are small ones.
        span: For how long most cases are measured, in ticks.
        nodes: Numbers of nodes that are run.
        base: Number of nodes where something else is varied.
        middle: The same, for cases that need more of them.
        found: Each `Case` so far.
    """

    def __init__(self, quick):
        self.quick = quick
        self.span = (2 if quick else 6) * TICKS_PER_SECOND
        self.nodes = (8, 16, 32, 80) if quick else (34, 76, 190, 380, 760)
        self.base = 8 if quick else 34
        self.middle = 16 if quick else 76
        self.found = []

    def over(self, call, against, sizes, **shape):
        """Adds a case for each size; an argument that is None is the size."""
        for size in sizes:
            arguments = {name: size if value is None else value for name, value in shape.items()}
            self.found.append(Case(call, against, size, arguments))

    def add_limits(self):
        """Adds limits: all wanted at each node and full, as in a peak; two teams' at each, on a calm day."""
        limit_counts = (4, 12, 34, 110) if self.quick else (4, 12, 34, 110, 340)
        self.over(roles.limited, "nodes", self.nodes, nodes=None, span=self.span, full=True)
        self.over(roles.limited, "nodes", self.nodes, nodes=None, span=self.span, wanted=2, full=True)
        self.over(roles.limited, "nodes", self.nodes, nodes=None, span=self.span, wanted=2)
        for full in (True, False):
            shape = {"nodes": self.base, "span": self.span, "limits": None, "full": full}
            self.over(roles.limited, "limits", limit_counts, **shape)
        wanted_counts = (1, 4, 12, 34)
        self.over(
            roles.limited, "limits wanted", wanted_counts, nodes=self.middle, span=self.span, wanted=None
        )

    def add_plans(self):
        """Adds plans by their length, by how many executors there are and by how many may be out."""
        executors = self._executor_counts()
        lengths = (8, 24, 80) if self.quick else (8, 24, 76, 240, 760)
        at_once = (1, 2, 4, 16)
        on_base = {"nodes": self.base, "span": 2 * self.span}
        self.over(roles.planned, "nodes", self.nodes, nodes=None, span=2 * self.span, length=24)
        self.over(roles.planned, "plan length", lengths, **on_base, length=None)
        self.over(roles.planned, "executors", executors, **on_base, length=10, executors=None)
        self.over(roles.planned, "most out at once", at_once, **on_base, length=48, most=None)

    def add_idle(self):
        """Adds consensus and maintenance with no plan open."""
        executors = self._executor_counts()
        self.over(roles.idle, "nodes", self.nodes, nodes=None, span=self.span)
        self.over(roles.idle, "executors", executors, nodes=self.base, span=self.span, executors=None)

    def add_leases(self):
        """Adds leases of some seconds, without a plan and with limits."""
        for size in (1, 2, 5) if self.quick else (0.5, 1, 2, 5, 10):
            lease = int(size * TICKS_PER_SECOND)
            arguments = {"nodes": self.base, "span": max(self.span, 2 * lease), "lease": lease}
            for call in (roles.idle, roles.limited):
                self.found.append(Case(call, "lease in s", size, arguments))

    def add_configurations(self):
        """Adds an agreed configuration by how often it changes and by its size."""
        rates = (60, 240, 900, 3_600)
        lengths = (500, 2_000, 8_000, 30_000)
        on_middle = {"nodes": self.middle, "span": self.span}
        self.over(roles.given, "nodes", self.nodes, nodes=None, span=self.span, an_hour=600, length=2_000)
        self.over(roles.given, "changes an hour", rates, **on_middle, an_hour=None, length=2_000)
        self.over(roles.given, "bytes of the value", lengths, **on_middle, an_hour=600, length=None)

    def add_scenes(self):
        """Adds restarts of all nodes and networks that are cut."""
        nodes = self.nodes[:2] if self.quick else (34, 76, 190, 380)
        for what in SCENES:
            self.over(roles.scene, "nodes", nodes, nodes=None, what=what)

    def add_dispatchers(self):
        """Adds one node's dispatcher, its endpoint list and its datagrams."""
        placed = dispatcher_roles.placed
        executors = (10, 30, 100, 240) if self.quick else (24, 76, 240, 760, 2_400)
        attempts = (10, 31, 100) if self.quick else (31, 100, 310, 1_000, 3_100)
        for probes in (True, False):
            self.over(placed, "executors", executors, executors=None, probes=probes, forwards=20)
        self.over(placed, "forwards", attempts, forwards=None, executors=100 if self.quick else 760)
        few = {"executors": 100} if self.quick else {}
        self.over(placed, "operations", (2, 8, 24, 64), operations=None, **few)
        self.over(placed, "tenants", (3, 10, 34, 100), tenants=None, **few)
        self.over(dispatcher_roles.listed, "executors", executors)
        self.over(dispatcher_roles.datagrams, "bytes of a word", (40, 120, 400, 1_150))

    def add_processes(self):
        """Adds real processes: reloads, memory and idle CPU."""
        executors = (10, 100) if self.quick else (10, 100, 300, 760)
        span = 1.0 if self.quick else 10.0
        self.over(processes.reloaded, "nodes", self.nodes, nodes=None)
        for fleet in (True, False):
            self.over(processes.process, "executors", executors, executors=None, fleet=fleet, span=span)

    def _executor_counts(self):
        return (10, 30, 100) if self.quick else (10, 76, 240, 760)


def cases(quick):
    """Returns each `Case`, the most expensive first."""
    collected = _Cases(quick)
    collected.add_limits()
    collected.add_plans()
    collected.add_idle()
    collected.add_leases()
    collected.add_configurations()
    collected.add_scenes()
    collected.add_dispatchers()
    collected.add_processes()
    expense = {roles.limited: 3, roles.scene: 3, roles.planned: 2, roles.idle: 1}
    return sorted(
        collected.found, key=lambda case: -expense.get(case.call, 0) * case.arguments.get("nodes", 0)
    )
