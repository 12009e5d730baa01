"""What a node's clients would demand of its limits, without clients and executors."""

from types import SimpleNamespace
from typing import NamedTuple

from grebedyke.model.seeded_random import SeededRandom
from grebedyke.rate_limits.definitions import LimitKind
from grebedyke.units import TICKS_PER_SECOND

# Admitted requests are reported by spans of this length: the checker's slack is what one of them admits.
ADMISSION_SPAN = TICKS_PER_SECOND // 10
# The change of the number of requests in flight at a request's start and at its end.
STARTED = 1
ENDED = -1


class DemandSettings(NamedTuple):
    """How much is demanded.

    Attributes:
        seed: Of the run.
        operation: Name of the operation that is requested.
        interval: How often each tenant requests it, in ticks, on average.
        longest_run: How long a request runs at most, in ticks.
    """

    seed: int
    operation: str
    interval: int
    longest_run: int


class LimitedRequest:
    """As much of a request as limits look at.

    Attributes:
        operation: The operation, with its `name`.
        tenant: The tenant's name.
        over_quota: Whether it is over a soft limit.
        origin_node: The node that it came from; None as it is this node's own.
    """

    __slots__ = ("operation", "tenant", "over_quota", "origin_node")

    def __init__(self, operation, tenant):
        self.operation = operation
        self.tenant = tenant
        self.over_quota = False
        self.origin_node = None


class DemandGenerator:
    """Asks a node's limiter as the policy does: one request of each tenant in each interval.

    What is admitted runs on whatever becomes of its node meanwhile.

    Attributes:
        batch_loop: The node's `BatchLoop`; replaced when the node starts anew.
    """

    def __init__(self, loop, probe, batch_loop, tenants, settings, admissions):
        """Begins without demand.

        Args:
            loop: The event loop.
            probe: The node's `NodeProbe`.
            batch_loop: The node's `BatchLoop`.
            tenants: Names of the tenants whose requests come in at this node.
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
        """Lets demand begin, or begin anew."""
        self.stop()
        delay = self._interval * self._random.draw() / TICKS_PER_SECOND
        self._timer = self._loop.call_later(delay, self._request_all)

    def stop(self):
        """Lets demand end."""
        if self._timer:
            self._timer.cancel()

    def _request_all(self):
        delay = self._interval * (0.5 + self._random.draw()) / TICKS_PER_SECOND
        self._timer = self._loop.call_later(delay, self._request_all)
        host = self._probe.host
        limiters = [part.request_limiter for part in host.components if hasattr(part, "request_limiter")]
        if not limiters or not host.is_started:
            return
        for tenant in self._tenants:
            self._request(limiters[0], tenant)
        # As after any input: a node that has no share and is asked for some requests it at once.
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
    """A tenant's limit, as a configuration has it.

    Attributes:
        kind: The `LimitKind`.
        size: Requests a second, or requests in flight.
        burst: Requests at once beyond a rate; 0 for requests in flight.
    """

    kind: LimitKind
    size: float
    burst: int


def tenant_limits(section):
    """Returns the `TenantLimit` of each tenant from the limits' section of a configuration."""
    limits = {}
    for row in section["limits"]:
        if row.get("rate"):
            limits[row["tenant"]] = TenantLimit(LimitKind.RATE, row["rate"], row["burst"])
        else:
            limits[row["tenant"]] = TenantLimit(LimitKind.CONCURRENCY, row["underWay"], 0)
    return limits
