"""The cases of `benchmarks.fleet`: each role at several values of each parameter that may affect its cost."""

from collections.abc import Callable
from typing import Any, NamedTuple

from benchmarks import dispatcher_roles, processes, roles
from grebedyke.units import TICKS_PER_SECOND

SCENES = ("restart of all", "regions cut")


class Case(NamedTuple):
    """One measurement.

    Attributes:
        call: The function of `roles`, `dispatcher_roles` or `processes` that measures and returns rows.
        parameter: Name of the varied parameter.
        size: Value of that parameter.
        arguments: Further keyword arguments of the call.
    """

    call: Callable
    parameter: str
    size: float
    arguments: dict[str, Any]


class _CaseCollector:
    """Collects the cases of one run.

    Attributes:
        quick: Whether small sizes are used.
        span: Duration of most measurements, in ticks.
        node_counts: Numbers of nodes, if these are varied.
        small_fleet: Number of nodes if another parameter is varied.
        medium_fleet: The same, for cases that need more nodes.
        cases: Each `Case` so far.
    """

    def __init__(self, quick):
        self.quick = quick
        self.span = (2 if quick else 6) * TICKS_PER_SECOND
        self.node_counts = (8, 16, 32, 80) if quick else (34, 76, 190, 380, 760)
        self.small_fleet = 8 if quick else 34
        self.medium_fleet = 16 if quick else 76
        self.cases = []

    def add_sizes(self, call, parameter, sizes, **shape):
        """Adds a case for each size, which replaces arguments that are None."""
        for size in sizes:
            arguments = {name: size if value is None else value for name, value in shape.items()}
            self.cases.append(Case(call, parameter, size, arguments))

    def add_limits(self):
        """Adds limits: all wanted at each node and full (peak load), or those of two teams at each node."""
        limit_counts = (4, 12, 34, 110) if self.quick else (4, 12, 34, 110, 340)
        self.add_sizes(roles.limited, "nodes", self.node_counts, nodes=None, span=self.span, full=True)
        self.add_sizes(
            roles.limited, "nodes", self.node_counts, nodes=None, span=self.span, wanted=2, full=True
        )
        self.add_sizes(roles.limited, "nodes", self.node_counts, nodes=None, span=self.span, wanted=2)
        for full in (True, False):
            shape = {"nodes": self.small_fleet, "span": self.span, "limits": None, "full": full}
            self.add_sizes(roles.limited, "limits", limit_counts, **shape)
        wanted_counts = (1, 4, 12, 34)
        self.add_sizes(
            roles.limited,
            "limits wanted",
            wanted_counts,
            nodes=self.medium_fleet,
            span=self.span,
            wanted=None,
        )

    def add_plans(self):
        """Adds plans, by nodes, plan length, executors and the maximum number of executors that are out."""
        executors = self._executor_counts()
        lengths = (8, 24, 80) if self.quick else (8, 24, 76, 240, 760)
        at_once = (1, 2, 4, 16)
        in_small_fleet = {"nodes": self.small_fleet, "span": 2 * self.span}
        self.add_sizes(roles.planned, "nodes", self.node_counts, nodes=None, span=2 * self.span, length=24)
        self.add_sizes(roles.planned, "plan length", lengths, **in_small_fleet, length=None)
        self.add_sizes(roles.planned, "executors", executors, **in_small_fleet, length=10, executors=None)
        self.add_sizes(roles.planned, "most out at once", at_once, **in_small_fleet, length=48, max_out=None)

    def add_idle(self):
        """Adds consensus and maintenance without an open plan."""
        executors = self._executor_counts()
        self.add_sizes(roles.idle, "nodes", self.node_counts, nodes=None, span=self.span)
        self.add_sizes(
            roles.idle, "executors", executors, nodes=self.small_fleet, span=self.span, executors=None
        )

    def add_leases(self):
        """Adds lease durations, without a plan and with limits."""
        for size in (1, 2, 5) if self.quick else (0.5, 1, 2, 5, 10):
            lease = int(size * TICKS_PER_SECOND)
            arguments = {"nodes": self.small_fleet, "span": max(self.span, 2 * lease), "lease": lease}
            for call in (roles.idle, roles.limited):
                self.cases.append(Case(call, "lease in s", size, arguments))

    def add_configurations(self):
        """Adds a configuration that is agreed by consensus, by nodes, frequency of changes and size."""
        rates = (60, 240, 900, 3_600)
        lengths = (500, 2_000, 8_000, 30_000)
        in_medium_fleet = {"nodes": self.medium_fleet, "span": self.span}
        self.add_sizes(
            roles.given,
            "nodes",
            self.node_counts,
            nodes=None,
            span=self.span,
            changes_per_hour=600,
            length=2_000,
        )
        self.add_sizes(
            roles.given, "changes an hour", rates, **in_medium_fleet, changes_per_hour=None, length=2_000
        )
        self.add_sizes(
            roles.given, "bytes of the value", lengths, **in_medium_fleet, changes_per_hour=600, length=None
        )

    def add_scenes(self):
        """Adds restarts of all nodes and network partitions."""
        nodes = self.node_counts[:2] if self.quick else (34, 76, 190, 380)
        for name in SCENES:
            self.add_sizes(roles.scene, "nodes", nodes, nodes=None, scene_name=name)

    def add_dispatchers(self):
        """Adds the dispatcher, the endpoint list and the datagrams of one node."""
        placed = dispatcher_roles.placed
        executors = (10, 30, 100, 240) if self.quick else (24, 76, 240, 760, 2_400)
        attempts = (10, 31, 100) if self.quick else (31, 100, 310, 1_000, 3_100)
        for probes in (True, False):
            self.add_sizes(placed, "executors", executors, executors=None, probes=probes, attempts=20)
        self.add_sizes(placed, "forwards", attempts, attempts=None, executors=100 if self.quick else 760)
        few_executors = {"executors": 100} if self.quick else {}
        self.add_sizes(placed, "operations", (2, 8, 24, 64), operations=None, **few_executors)
        self.add_sizes(placed, "tenants", (3, 10, 34, 100), tenants=None, **few_executors)
        self.add_sizes(dispatcher_roles.listed, "executors", executors)
        self.add_sizes(dispatcher_roles.datagrams, "bytes of a word", (40, 120, 400, 1_150))

    def add_processes(self):
        """Adds reloads, and the memory and idle CPU of real processes."""
        executors = (10, 100) if self.quick else (10, 100, 300, 760)
        span = 1.0 if self.quick else 10.0
        self.add_sizes(processes.reloaded, "nodes", self.node_counts, nodes=None)
        for fleet in (True, False):
            self.add_sizes(processes.process, "executors", executors, executors=None, fleet=fleet, span=span)

    def _executor_counts(self):
        return (10, 30, 100) if self.quick else (10, 76, 240, 760)


def cases(quick):
    """Returns all cases, the most expensive ones first."""
    collector = _CaseCollector(quick)
    collector.add_limits()
    collector.add_plans()
    collector.add_idle()
    collector.add_leases()
    collector.add_configurations()
    collector.add_scenes()
    collector.add_dispatchers()
    collector.add_processes()
    relative_cost = {roles.limited: 3, roles.scene: 3, roles.planned: 2, roles.idle: 1}
    return sorted(
        collector.cases, key=lambda case: -relative_cost.get(case.call, 0) * case.arguments.get("nodes", 0)
    )
