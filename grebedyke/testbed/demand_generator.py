"""Generates demand for a node's limits without clients and executors."""

from types import SimpleNamespace
from typing import NamedTuple

from grebedyke.model.seeded_random import SeededRandom
from grebedyke.rate_limits.definitions import LimitKind
from grebedyke.units import TICKS_PER_SECOND

# Admissions are reported by spans of this length, so the checker tolerates the excess of one span at a rate.
ADMISSION_SPAN = TICKS_PER_SECOND // 10
# The change of the number of requests in flight when a request starts, and when it ends.
STARTED = 1
ENDED = -1


class DemandSettings(NamedTuple):
    """The settings of generated demand.

    Attributes:
        seed: The seed of the run.
        operation: Name of the requested operation.
        interval: Mean interval between the requests of a tenant, in ticks.
        longest_run: Maximum duration of a request, in ticks.
    """

    seed: int
    operation: str
    interval: int
    longest_run: int


class LimitedRequest:
    """A request with only the attributes that the limiter uses.

    Attributes:
        operation: The operation, with its `name`.
        tenant: The tenant's name.
        over_quota: Whether the request is over a soft limit.
        origin_node: The node that received it from the client; None for this node.
    """

    __slots__ = ("operation", "tenant", "over_quota", "origin_node")

    def __init__(self, operation, tenant):
        self.operation = operation
        self.tenant = tenant
        self.over_quota = False
        self.origin_node = None


class DemandGenerator:
    """Submits requests to a node's limiter as the policy does: one of each tenant in each interval.

    Admitted requests run to their end even if the node stops or restarts before then.

    Attributes:
        batch_loop: The node's `BatchLoop`; replaced when the node is restarted.
    """

    def __init__(self, loop, probe, batch_loop, tenants, settings, admissions):
        """Prepares the generator, without starting it.

        Args:
            loop: The event loop.
            probe: The node's `NodeProbe`.
            batch_loop: The node's `BatchLoop`.
            tenants: Names of the tenants that send requests to this node.
            settings: The `DemandSettings`.
            admissions: Counts the admitted requests by (tenant, span, `STARTED` or `ENDED`).
        """
        self.batch_loop = batch_loop
        self._loop = loop
        self._probe = probe
        self._tenants = tenants
        self._interval = settings.interval
        self._longest_run = settings.longest_run
        self._admissions = admissions
        self._operation = SimpleNamespace(name=settings.operation)
        self._random = SeededRandom(f"demand {settings.seed} {probe.node_id}")
        self._timer = None

    def start(self):
        """Starts or restarts the generator."""
        self.stop()
        delay = self._interval * self._random.draw() / TICKS_PER_SECOND
        self._timer = self._loop.call_later(delay, self._request_all)

    def stop(self):
        """Stops the generator."""
        if self._timer:
            self._timer.cancel()

    def _request_all(self):
        delay = self._interval * (0.5 + self._random.draw()) / TICKS_PER_SECOND
        self._timer = self._loop.call_later(delay, self._request_all)
        host = self._probe.host
        limiters = [
            component.request_limiter
            for component in host.components
            if hasattr(component, "request_limiter")
        ]
        if not limiters or not host.is_started:
            return
        for tenant in self._tenants:
            self._request(limiters[0], tenant)
        # Scheduled as after any input: a node without a share requests one as soon as there is demand.
        self.batch_loop.schedule()

    def _request(self, limiter, tenant):
        now = self.batch_loop.clock()
        request = LimitedRequest(self._operation, tenant)
        if limiter.try_acquire(now, request):
            return
        self._admissions[tenant, now // ADMISSION_SPAN, STARTED] += 1
        if request in limiter.acquired_slots:
            running = int(self._longest_run * (0.1 + 0.85 * self._random.draw()))
            self._admissions[tenant, (now + running) // ADMISSION_SPAN, ENDED] += 1
            self._loop.call_later(running / TICKS_PER_SECOND, limiter.release, request)


class TenantLimit(NamedTuple):
    """The configured limit of a tenant.

    Attributes:
        kind: The `LimitKind`.
        size: Requests per second, or requests in flight.
        burst: Requests that may exceed a rate in a burst; 0 for a concurrency limit.
    """

    kind: LimitKind
    size: float
    burst: int


def tenant_limits(section):
    """Returns the `TenantLimit` of each tenant, read from the limits section of a configuration."""
    limits = {}
    for row in section["limits"]:
        if row.get("rate"):
            limits[row["tenant"]] = TenantLimit(LimitKind.RATE, row["rate"], row["burst"])
        else:
            limits[row["tenant"]] = TenantLimit(LimitKind.CONCURRENCY, row["underWay"], 0)
    return limits
