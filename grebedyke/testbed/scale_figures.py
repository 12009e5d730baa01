"""What a scale run has measured, by role, and what of it exceeds the operators' limits."""

from collections import Counter
from dataclasses import dataclass, field
from statistics import median
from time import thread_time_ns
from typing import NamedTuple

from grebedyke.consensus import framing

# What operators grant a node's control: percent of a core, bytes in memory, bytes a second in and out.
CPU_LIMIT = 1.1
MEMORY_LIMIT = 64_000_000
TRAFFIC_LIMIT = 3_000
# A hollow node stands for a real one where it differs by that part at most.
TOLERANCE = 0.1
# Windows shorter than this say nothing about limits, in seconds.
SHORTEST_WINDOW = 1
# What is measured of each node, by the names of the JSON file: a second, in percent of a core, or in bytes.
COUNTED = (
    "messages_out",
    "bytes_out",
    "messages_in",
    "bytes_in",
    "cpu_parts",
    "cpu_process",
    "calls",
    "memory",
    "resident",
    "objects",
    "state",
)
# In the order of the table. `asked` is the node that the operators call, which proposes what they want.
ROLES = ("holder", "driver", "voter", "other", "asked", "down")
# Why a figure may differ between hollow and real nodes.
REASONS = {
    "cpu_process": "a real process has its own loop, beat, watch of the list and log beside its parts; many "
    "hollow nodes share one loop",
    "calls": "a real node asks its parts also in turns that are none of theirs: its list, its clock",
    "bytes_in": "nodes of a process learn one after another: who asks before it has the newest board is "
    "told the whole",
    "memory": "a real process has an interpreter and the rest of a node of its own; many hollow nodes share "
    "them",
}
# The yardstick's message, a request for a lease of the view, and how often it is packed.
YARDSTICK_MESSAGE = ["m", 1_000, 100, 100, 2**55, 1]
YARDSTICK_REPETITIONS = 1_000


@dataclass(frozen=True, slots=True, kw_only=True)
class NodeUsage:
    """What one node used in a window.

    Attributes:
        node: Its number.
        seconds: How long it was measured.
        is_real: Whether it is a real node.
        role: What it was to the others.
        counts: By names of `COUNTED`; some have no figure.
        kinds: Number of messages sent by kind.
    """

    node: int
    seconds: float
    is_real: bool
    role: str
    counts: dict[str, float]
    kinds: dict[str, int] = field(default_factory=Counter)

    @property
    def traffic(self):
        """Bytes a second in and out."""
        return self.counts["bytes_out"] + self.counts["bytes_in"]

    @property
    def kind(self):
        """The kind of node, as the table has it."""
        return "real" if self.is_real else "hollow"


@dataclass(frozen=True, slots=True, kw_only=True)
class Window:
    """What was measured in a part of a run.

    Attributes:
        seconds: Its length.
        lag_ms: The largest lag of the hollow nodes' event loops, in milliseconds.
        values: Number of values that were agreed on.
        yardstick_us: What `yardstick` gave, in microseconds.
        late_beats: Share of the beats that were late, in the worst process.
        memory: Bytes of all processes.
        dropped: Datagrams that found a full buffer.
        nodes: The `NodeUsage` of each node.
        kinds: Number of messages sent by kind.
        load: The machine's load average.
        grown: By how many entries the containers at a place have grown, in the mean.
    """

    seconds: float
    lag_ms: float = 0.0
    values: int = 0
    yardstick_us: float = 0.0
    late_beats: float = 0.0
    memory: int = 0
    dropped: int = 0
    nodes: list[NodeUsage]
    kinds: dict[str, int] = field(default_factory=dict)
    load: float = 0.0
    grown: dict[str, float] = field(default_factory=dict)


class Spread(NamedTuple):
    """A figure over several nodes."""

    median: float
    least: float
    most: float


class RoleUsage(NamedTuple):
    """What the nodes of one role and kind used.

    Attributes:
        role: What they were to the others.
        kind: `hollow`, `real` or `simulated`.
        nodes: Their number.
        spreads: The `Spread` of each figure, by names of `COUNTED`.
    """

    role: str
    kind: str
    nodes: int
    spreads: dict[str, Spread]

    def document(self):
        """Returns it as the JSON file has it."""
        spreads = {name: spread._asdict() for name, spread in self.spreads.items()}
        return {"role": self.role, "kind": self.kind, "nodes": self.nodes, **spreads}


class Comparison(NamedTuple):
    """A figure of a role's hollow nodes beside the real ones'.

    Attributes:
        role: The role.
        count: A name of `COUNTED`.
        hollow: The hollow nodes' median.
        real: The real nodes' median.
        ratio: The first by the second; None where that is 0.
        within: Whether they differ by `TOLERANCE` at most.
        why: What explains a larger difference.
    """

    role: str
    count: str
    hollow: float
    real: float
    ratio: float | None
    within: bool
    why: str


class LimitedFigure(NamedTuple):
    """What a role used of something, beside its limit.

    Attributes:
        figure: What was used.
        limit: What is granted.
    """

    figure: float
    limit: float


class Excess(NamedTuple):
    """A role that exceeds a limit, by its worst node.

    Attributes:
        window: Name of the window.
        role: The role.
        kind: `hollow` or `real`.
        what: `cpu`, `bytes` or `memory`.
        figure: What was used.
        limit: What is granted.
        factor: The first by the second.
    """

    window: str
    role: str
    kind: str
    what: str
    figure: float
    limit: float
    factor: float


def yardstick():
    """Measures this machine, as figures of CPU time are read beside its speed.

    Returns:
        Microseconds that it takes just now to pack a request for a lease and to take it apart again.
    """
    tag = framing.fleet_tag("yardstick")
    reassembler = framing.Reassembler(tag)
    start = thread_time_ns()
    for number in range(YARDSTICK_REPETITIONS):
        reassembler.take(0, framing.pack(tag, number, YARDSTICK_MESSAGE)[0])
    return (thread_time_ns() - start) / YARDSTICK_REPETITIONS / 1_000


def usage_by_role(nodes, simulated=False):
    """Returns the `RoleUsage` of each role and kind of node.

    Args:
        nodes: The `NodeUsage`s.
        simulated: Whether they are of a simulated fleet.
    """
    roles = sorted({node.role for node in nodes}, key=lambda role: (ROLES.index(role.split()[0]), role))
    usages = []
    for role in roles:
        for kind in ("hollow", "real"):
            some = [node for node in nodes if node.role == role and node.kind == kind]
            if some:
                kind_shown = "simulated" if simulated else kind
                usages.append(RoleUsage(role, kind_shown, len(some), _spreads(some)))
    return usages


def _spreads(nodes):
    spreads = {}
    for name in COUNTED:
        figures = [node.counts[name] for node in nodes if name in node.counts]
        if figures:
            spreads[name] = Spread(median(figures), min(figures), max(figures))
    return spreads


def compare_kinds(nodes):
    """Returns a `Comparison` of each figure of each role that has hollow nodes and real ones."""
    by_kind = {(usage.role, usage.kind): usage.spreads for usage in usage_by_role(nodes)}
    comparisons = []
    for role in ROLES:
        hollow = by_kind.get((role, "hollow"))
        real = by_kind.get((role, "real"))
        if hollow and real:
            names = [name for name in COUNTED if name in hollow and name in real]
            comparisons += [_compare(role, name, hollow, real) for name in names]
    return comparisons


def _compare(role, name, hollow, real):
    hollow_median = hollow[name].median
    real_median = real[name].median
    is_near = _is_near(hollow_median, real_median)
    return Comparison(
        role=role,
        count=name,
        hollow=hollow_median,
        real=real_median,
        ratio=hollow_median / real_median if real_median else None,
        within=is_near,
        why="" if is_near else _explanation(name, hollow, real),
    )


def _is_near(figure, reference):
    return abs(figure - reference) <= TOLERANCE * max(reference, 1e-9)


def _explanation(name, hollow, real):
    """Returns what explains a difference of more than the tolerance."""
    if name != "cpu_parts":
        return REASONS.get(name, "not explained")
    hollow_call, real_call = (
        spreads["cpu_parts"].median * 10_000 / spreads["calls"].median for spreads in (hollow, real)
    )
    per_call = f"{hollow_call:.0f} and {real_call:.0f} us a call"
    if _is_near(hollow_call, real_call):
        return f"{per_call}: a real node's parts are called more often, see calls"
    return f"{per_call}: a process that wakes for one node finds its caches cold, beside the calls"


def excesses(windows):
    """Returns an `Excess` for each role that exceeds a limit in one of the `Window`s by name."""
    found = []
    for name, window in windows.items():
        if window.seconds < SHORTEST_WINDOW:
            continue
        for usage in usage_by_role(window.nodes):
            nodes = [node for node in window.nodes if (node.role, node.kind) == (usage.role, usage.kind)]
            spreads = usage.spreads
            figures = {
                "cpu": LimitedFigure(spreads["cpu_parts"].most, CPU_LIMIT),
                "bytes": LimitedFigure(max(node.traffic for node in nodes), TRAFFIC_LIMIT),
                "memory": LimitedFigure(spreads.get("resident", spreads["memory"]).most, MEMORY_LIMIT),
            }
            for what, (figure, limit) in figures.items():
                if figure > limit:
                    found.append(Excess(name, usage.role, usage.kind, what, figure, limit, figure / limit))
    return found
