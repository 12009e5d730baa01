"""The settings, executors and traffic that a round of `benchmarks.cold` draws at random."""

from grebedyke.service.configuration import check_settings
from grebedyke.units import TICKS_PER_MILLISECOND, TICKS_PER_SECOND

SCHEDULING_INTERVAL = 50  # ticks between two passes of a node
LATENCY_OBJECTIVE_MS = 400
CLIENT_TIMEOUT = 5 * TICKS_PER_SECOND
# Rounds with fewer nodes have fewer executors.
LARGE_FLEET_NODES = 9


class RoundSettings:
    """The settings of a round, drawn from its random generator in the order of the assignments.

    Attributes:
        node_count: Number of nodes.
        initial_warmth: Share of its full rate that an executor can handle right after its start.
        ramp_time: Time until an executor is warm, in ticks.
        fall_multiple: An executor fails at this multiple of its share of the traffic, times its warmth.
        fall_window: Window over which that traffic is counted, in ticks.
        probes: Whether nodes may probe executors.
        reports_starts: Whether executors report the start of a job.
        hints: Whether requests have a hint of their work.
        executor_count: Number of executors.
        executors_differ: Whether executors have different sizes, which the weights of the endpoint list give
            approximately.
        slots: Slots of each executor if all are equal.
        operation_work: Mean work of the operations "short" and "long", in seconds.
        short_share: Share of requests of the operation "short".
        mean_work: Mean work of all requests, in seconds.
        normal_load: Offered work divided by capacity, outside the burst.
        burst_load: Offered work divided by capacity, during the burst.
    """

    def __init__(self, random, node_count):
        self.node_count = node_count
        self.initial_warmth = random.uniform(0.15, 0.5)
        self.ramp_time = int(random.uniform(5, 20) * TICKS_PER_SECOND)
        self.fall_multiple = random.uniform(2, 4)
        self.fall_window = int(random.uniform(0.5, 2) * TICKS_PER_SECOND)
        self.probes = random.choice((False, True))
        self.reports_starts = random.choice((False, True))
        self.hints = random.choice((False, True))
        self.executor_count = (
            random.randint(6, 12) if node_count < LARGE_FLEET_NODES else random.randint(10, 24)
        )
        self.executors_differ = random.choice((False, True))
        self.slots = random.choice((1, 2, 4, 8))
        self.operation_work = [random.uniform(0.05, 0.5), random.uniform(0.3, 1.8)]
        self.short_share = random.uniform(0.6, 0.95)
        self.mean_work = self.operation_work[0] * self.short_share + self.operation_work[1] * (
            1 - self.short_share
        )
        self.normal_load = random.uniform(0.1, 0.9)
        self.burst_load = random.uniform(1.0, 3.0)

    def node_settings(self, node):
        """Returns the checked settings of one node, in the form of its configuration file."""
        return check_settings(
            {
                "balancers": self.node_count,
                "me": node,
                "tickMs": SCHEDULING_INTERVAL / TICKS_PER_MILLISECOND,
                "zone": "a",
                "rules": {
                    "drainGraceMs": 2000,
                    "fallMultiple": self.fall_multiple,
                    "coldFrom": self.initial_warmth,
                    "rampTimeMs": self.ramp_time / TICKS_PER_MILLISECOND,
                    "tipAfterMs": self.fall_window / TICKS_PER_MILLISECOND,
                },
                "operations": [
                    _operation("short", idempotency="safe", clientTimeoutMs=5000),
                    _operation(
                        "long", idempotency="keyed", clientTimeoutMs=6000, windowMs=10_000, group="all"
                    ),
                ],
                "limits": {
                    "maxForwards": 4,
                    "probes": self.probes,
                    "maxRetryAfterMs": 2000,
                    "retryAfter": True,
                },
                "familyInfo": {"tellsStart": self.reports_starts},
                "billedValueBy": "request",
            }
        )

    def describe(self):
        """Returns the settings as one line."""
        executors = "of different sizes" if self.executors_differ else f"{self.slots} slots"
        return (
            f"{self.executor_count} executors, {executors}, multiple "
            f"{self.fall_multiple:.1f}, window {self.fall_window / TICKS_PER_SECOND:.1f} s, "
            f"warmth from {self.initial_warmth:.2f} in {self.ramp_time / TICKS_PER_SECOND:.0f} s, "
            f"load {self.normal_load:.1f} and {self.burst_load:.1f}, mean work {self.mean_work:.2f} s, "
            f"probes {self.probes:d}, starts {self.reports_starts:d}, hints {self.hints:d}"
        )


def _operation(name, **more):
    """Returns the settings of an operation."""
    return {"name": name, "latencyObjectiveMs": LATENCY_OBJECTIVE_MS, "aimStretch": 2.0, **more}
