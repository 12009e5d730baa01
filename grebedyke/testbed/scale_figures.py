"""The figures of a scale run: usage by role, hollow nodes compared with real ones, and exceeded limits."""

from collections import Counter
from dataclasses import dataclass, field
from statistics import median
from time import thread_time_ns
from typing import NamedTuple

from grebedyke.consensus import framing

# Limits on what a node uses for control: percent of a core, bytes of memory, and bytes per second sent and
# received.
CPU_LIMIT = 1.1
MEMORY_LIMIT = 64_000_000
TRAFFIC_LIMIT = 3_000
# Maximum relative difference at which a hollow node represents a real one.
TOLERANCE = 0.1
# Shorter windows are not checked against the limits, in seconds.
MIN_WINDOW = 1
# The figures of each node, by their keys in the JSON document: per second, in percent of a core, or in bytes.
FIGURE_NAMES = (
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
# Roles in the order of the table. `asked` is the node that the operators call and that proposes their plans.
ROLES = ("holder", "driver", "voter", "other", "asked", "down")
# Known reasons for differences between hollow and real nodes.
KNOWN_DIFFERENCES = {
    "cpu_process": "a real process runs its own event loop, watchdog, discovery client and log besides its "
    "components; many hollow nodes share one event loop",
    "calls": "a real node also calls its components in batches for other events, such as discovery and "
    "timers",
    "bytes_in": "nodes of a process learn one after another: a request sent before the node has learned the "
    "newest rollout is answered with the whole rollout",
    "memory": "a real process has its own interpreter and the other parts of a node; many hollow nodes share "
    "them",
}
# The message of the reference measurement, a request for a view lease, and how often it is packed.
REFERENCE_MESSAGE = ["m", 1_000, 100, 100, 2**55, 1]
REFERENCE_REPETITIONS = 1_000


@dataclass(frozen=True, slots=True, kw_only=True)
class NodeUsage:
    """Resources that a node used in a window.

    Attributes:
        node: The node's number.
        seconds: Duration of the measurement.
        is_real: Whether it is a real node.
        role: The node's role.
        counts: Figures by names of `FIGURE_NAMES`; figures that were not measured are missing.
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
        """Bytes per second, sent and received."""
        return self.counts["bytes_out"] + self.counts["bytes_in"]

    @property
    def kind(self):
        """The kind of node, as shown in the table."""
        return "real" if self.is_real else "hollow"


@dataclass(frozen=True, slots=True, kw_only=True)
class Window:
    """Measurements of a period of a run.

    Attributes:
        seconds: Length of the window.
        lag_ms: Maximum lag of the event loops of processes with several hollow nodes, in milliseconds.
        values: Number of values chosen.
        reference_us: Result of `reference_time_us`.
        late_checks: Share of lag checks that were late, in the process with the largest share.
        memory: Private memory of all processes, in bytes.
        dropped: Number of datagrams dropped because of a full receive buffer.
        nodes: The `NodeUsage` of each node.
        kinds: Number of messages sent by kind.
        load: The machine's load average.
        grown: Mean number of entries by which containers have grown, by attribute path.
    """

    seconds: float
    lag_ms: float = 0.0
    values: int = 0
    reference_us: float = 0.0
    late_checks: float = 0.0
    memory: int = 0
    dropped: int = 0
    nodes: list[NodeUsage]
    kinds: dict[str, int] = field(default_factory=dict)
    load: float = 0.0
    grown: dict[str, float] = field(default_factory=dict)


class FigureSummary(NamedTuple):
    """Median, minimum and maximum of a figure over several nodes."""

    median: float
    least: float
    most: float


class RoleUsage(NamedTuple):
    """Resources used by the nodes of one role and kind.

    Attributes:
        role: The role.
        kind: `hollow`, `real` or `simulated`.
        nodes: Number of nodes.
        summaries: The `FigureSummary` of each figure, by names of `FIGURE_NAMES`.
    """

    role: str
    kind: str
    nodes: int
    summaries: dict[str, FigureSummary]

    def document(self):
        """Returns the usage as a row of the JSON document."""
        summaries = {name: summary._asdict() for name, summary in self.summaries.items()}
        return {"role": self.role, "kind": self.kind, "nodes": self.nodes, **summaries}


class Comparison(NamedTuple):
    """A figure of a role, compared between hollow and real nodes.

    Attributes:
        role: The role.
        count: A name of `FIGURE_NAMES`.
        hollow: Median of the hollow nodes.
        real: Median of the real nodes.
        ratio: `hollow` divided by `real`; None if `real` is 0.
        within: Whether they differ by at most `TOLERANCE`.
        why: Explanation of a larger difference.
    """

    role: str
    count: str
    hollow: float
    real: float
    ratio: float | None
    within: bool
    why: str


class LimitedFigure(NamedTuple):
    """A figure with its limit.

    Attributes:
        figure: The measured value.
        limit: The maximum allowed value.
    """

    figure: float
    limit: float


class Excess(NamedTuple):
    """A limit exceeded by a role; the figure is that of the node with the highest usage.

    Attributes:
        window: Name of the window.
        role: The role.
        kind: `hollow` or `real`.
        what: `cpu`, `bytes` or `memory`.
        figure: The measured value.
        limit: The maximum allowed value.
        factor: `figure` divided by `limit`.
    """

    window: str
    role: str
    kind: str
    what: str
    figure: float
    limit: float
    factor: float


def reference_time_us():
    """Measures the speed of this machine, for the comparison of CPU times from different runs.

    Returns:
        Microseconds of CPU time to pack a lease request and reassemble it.
    """
    tag = framing.fleet_tag("yardstick")
    reassembler = framing.Reassembler(tag)
    start = thread_time_ns()
    for number in range(REFERENCE_REPETITIONS):
        reassembler.take(0, framing.pack(tag, number, REFERENCE_MESSAGE)[0])
    return (thread_time_ns() - start) / REFERENCE_REPETITIONS / 1_000


def usage_by_role(nodes, simulated=False):
    """Returns the `RoleUsage` of each role and kind of node.

    Args:
        nodes: The `NodeUsage` of each node.
        simulated: Whether the nodes are those of a simulated fleet.
    """
    roles = sorted({node.role for node in nodes}, key=lambda role: (ROLES.index(role.split()[0]), role))
    usages = []
    for role in roles:
        for kind in ("hollow", "real"):
            matching = [node for node in nodes if node.role == role and node.kind == kind]
            if matching:
                kind_shown = "simulated" if simulated else kind
                usages.append(RoleUsage(role, kind_shown, len(matching), _summarize(matching)))
    return usages


def _summarize(nodes):
    summaries = {}
    for name in FIGURE_NAMES:
        figures = [node.counts[name] for node in nodes if name in node.counts]
        if figures:
            summaries[name] = FigureSummary(median(figures), min(figures), max(figures))
    return summaries


def compare_kinds(nodes):
    """Returns a `Comparison` for each figure of each role that has both hollow and real nodes."""
    by_kind = {(usage.role, usage.kind): usage.summaries for usage in usage_by_role(nodes)}
    comparisons = []
    for role in ROLES:
        hollow = by_kind.get((role, "hollow"))
        real = by_kind.get((role, "real"))
        if hollow and real:
            names = [name for name in FIGURE_NAMES if name in hollow and name in real]
            comparisons += [_compare(role, name, hollow, real) for name in names]
    return comparisons


def _compare(role, name, hollow, real):
    hollow_median = hollow[name].median
    real_median = real[name].median
    is_within = _is_within_tolerance(hollow_median, real_median)
    return Comparison(
        role=role,
        count=name,
        hollow=hollow_median,
        real=real_median,
        ratio=hollow_median / real_median if real_median else None,
        within=is_within,
        why="" if is_within else _explanation(name, hollow, real),
    )


def _is_within_tolerance(figure, reference):
    return abs(figure - reference) <= TOLERANCE * max(reference, 1e-9)


def _explanation(name, hollow, real):
    """Returns the explanation of a difference larger than `TOLERANCE`."""
    if name != "cpu_parts":
        return KNOWN_DIFFERENCES.get(name, "not explained")
    hollow_call, real_call = (
        summaries["cpu_parts"].median * 10_000 / summaries["calls"].median for summaries in (hollow, real)
    )
    per_call = f"{hollow_call:.0f} and {real_call:.0f} us per call"
    if _is_within_tolerance(hollow_call, real_call):
        return f"{per_call}: the components of a real node are called more often, see calls"
    return f"{per_call}: a process that wakes up for a single node has cold CPU caches; see also calls"


def excesses(windows):
    """Returns an `Excess` for each limit that a role exceeds in any of the `Window`s, given by name."""
    found = []
    for name, window in windows.items():
        if window.seconds < MIN_WINDOW:
            continue
        for usage in usage_by_role(window.nodes):
            nodes = [node for node in window.nodes if (node.role, node.kind) == (usage.role, usage.kind)]
            summaries = usage.summaries
            figures = {
                "cpu": LimitedFigure(summaries["cpu_parts"].most, CPU_LIMIT),
                "bytes": LimitedFigure(max(node.traffic for node in nodes), TRAFFIC_LIMIT),
                "memory": LimitedFigure(summaries.get("resident", summaries["memory"]).most, MEMORY_LIMIT),
            }
            for what, (figure, limit) in figures.items():
                if figure > limit:
                    found.append(Excess(name, usage.role, usage.kind, what, figure, limit, figure / limit))
    return found
