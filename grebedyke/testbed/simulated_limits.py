"""Simulated rounds under limits: more is offered than the limits admit, while everything else fails."""

from enum import StrEnum
from types import SimpleNamespace

from grebedyke.rate_limits.component import RateLimits
from grebedyke.rate_limits.definitions import MILLIREQUESTS_PER_REQUEST, Limit, LimitKind
from grebedyke.rate_limits.lease_terms import LeaseTerms
from grebedyke.testbed.limit_checker import FleetLimits, LimitChecker
from grebedyke.testbed.simulated_cluster import SimulatedCluster
from grebedyke.testbed.simulated_faults import FAULTS
from grebedyke.testbed.simulated_settings import LEASE
from grebedyke.testbed.violations import TimedViolation
from grebedyke.units import TICKS_PER_SECOND

# Executors run on for at most so long after a node's death, in ticks.
RUN_ON = TICKS_PER_SECOND
# Each limit is offered so many times what it admits.
OVERLOAD = 2.5
# Of admitted requests of the limit on a rate, so many need a retry.
RETRY_PROBABILITY = 0.3
# How often the distribution of demand over the nodes changes, and how often requests are drawn, in ticks.
DEMAND_CHANGE_INTERVAL = 4 * TICKS_PER_SECOND
DEMAND_STEP = TICKS_PER_SECOND // 50
# A request of the limit on concurrency runs for 0.2 to 0.98 of `RUN_ON`, so for 0.6 of a second.
MEAN_RUNNING_SECONDS = 0.6
# How long limits are watched without faults at the end of a round, in ticks.
CALM = 20 * TICKS_PER_SECOND
LIMIT_FAULTS = [kind for kind in FAULTS if kind != "executor lost"]
FOREVER = 2**62


# At a scale of 1.
LIMITS = FleetLimits(rate=60, burst=60, concurrency=20, retry_rate=5, retry_burst=10)


class Sharing(StrEnum):
    """How the nodes share a limit.

    Attributes:
        LEASES: By shares on lease, as the program does.
        EQUAL: An equal part for each node, without messages.
        NONE: Each node goes by the whole limit.
    """

    LEASES = "shares"
    EQUAL = "equal"
    NONE = "none"


class LimitedCluster(SimulatedCluster):
    """A simulated fleet under limits.

    Attributes:
        sharing: How the nodes share the limits, a `Sharing`.
        scale: By how much the limits are larger than `LIMITS`.
        limits: The limits in force.
        checker: The `LimitChecker` of the round.
        demand_weights: How demand is distributed over the nodes.
        demand_is_fixed: Whether that distribution stays as it is.
        used_before_faults: Of the rate, the part that was used before the faults began.
        used_amid_faults: The same, amid the faults.
        used_in_calm: The same, after the faults, with fixed demand.
    """

    def __init__(self, seed, way=Sharing.LEASES, scale=1, **shape):
        """Draws a round.

        Args:
            seed: The round's seed.
            way: How the nodes share the limits, a `Sharing` or its value.
            scale: By how much the limits are larger than `LIMITS`.
            **shape: Parameters of `ClusterShape`.
        """
        super().__init__(seed, executors=0, **{"kinds": LIMIT_FAULTS, **shape})
        self.sharing = Sharing(way)
        self.scale = scale
        self.limits = self.limits_at(1)
        self.checker = LimitChecker(
            FleetLimits(
                rate=LIMITS.rate * scale,
                burst=LIMITS.burst * scale,
                concurrency=LIMITS.concurrency * scale,
                retry_rate=LIMITS.retry_rate * scale,
                retry_burst=max(LIMITS.retry_burst * scale, self.node_count),
            )
        )
        self.demand_weights = [1] * self.node_count
        self.demand_is_fixed = False
        self.used_before_faults = 0.0
        self.used_amid_faults = 0.0
        self.used_in_calm = 0.0

    # Limits.

    def limits_at(self, fraction):
        """Returns the limits of the nodes' settings, at this fraction of their full size."""
        return [self._rate_limit(fraction), self._concurrency_limit(fraction), self._retry_limit()]

    def _rate_limit(self, fraction):
        size = int(LIMITS.rate * self.scale * fraction * MILLIREQUESTS_PER_REQUEST)
        # A tenth is the nodes' own.
        floor = size // self.node_count if self.sharing is Sharing.EQUAL else size // 10 // self.node_count
        return Limit(
            name="rate",
            kind=LimitKind.RATE,
            size=size,
            burst=max(int(LIMITS.burst * self.scale * fraction), self.node_count),
            floor=floor,
            tenant="t",
            operation=None,
            soft=False,
        )

    def _concurrency_limit(self, fraction):
        size = int(LIMITS.concurrency * self.scale * fraction)
        return Limit(
            name="slots",
            kind=LimitKind.CONCURRENCY,
            size=size,
            burst=0,
            floor=size // self.node_count if self.sharing is Sharing.EQUAL else 1,
            tenant=None,
            operation="pay",
            soft=False,
        )

    def _retry_limit(self):
        size = LIMITS.retry_rate * self.scale * MILLIREQUESTS_PER_REQUEST
        return Limit(
            name="again",
            kind=LimitKind.RATE,
            size=size,
            burst=max(LIMITS.retry_burst * self.scale, self.node_count),
            floor=size // self.node_count if self.sharing is Sharing.EQUAL else 0,
            tenant="t",
            operation=None,
            soft=False,
            on_retries=True,
        )

    def components_for(self, node):
        """Returns the components of a node's process, in the order in which the host asks them."""
        consensus = self.consensus_for(node)
        node_count = 1 if self.sharing is Sharing.NONE else self.node_count
        terms = LeaseTerms(node_count=node_count, lease=LEASE, clock_drift=self.drift, run_on=RUN_ON)
        rate_limits = RateLimits(consensus, node.node_id, node.process, self.limits, terms, node.clock())
        if self.sharing is Sharing.NONE:
            for meter in rate_limits.request_limiter.meters.values():
                meter.share = meter.grantable
                meter.share_expires_at = FOREVER
        if self.sharing is Sharing.LEASES:
            return [consensus, rate_limits]
        return [LimiterAlone(rate_limits.request_limiter)]

    def change_size(self, fraction, spread=TICKS_PER_SECOND):
        """Changes the limits to a fraction of their full size; each node reads its file at its own time."""
        self.limits = self.limits_at(fraction)
        last_wait = 0
        for node in self.nodes:
            wait = self.random.randrange(1, spread)
            last_wait = max(last_wait, wait)
            self.schedule(wait, self.reload, node, self.limits)
        # A share that was granted already binds until its lease has ended and what it admitted has ended.
        lease_end = int(LEASE * (1 + self.drift) / (1 - self.drift) ** 2) + 2
        run_on_end = int(RUN_ON * (1 + self.drift) / (1 - self.drift)) + 1
        rate, slots, _ = self.limits
        self.checker.change_limits(
            self.now + last_wait + lease_end + run_on_end,
            FleetLimits(rate.size / MILLIREQUESTS_PER_REQUEST, rate.burst, slots.size),
        )

    def reload(self, node, limits):
        """A node reads its file again."""
        if node.is_running:
            node.components[-1].change_limits(node.clock(), limits)
            node.run_components()

    # Demand.

    def move_demand(self):
        """Draws another distribution of demand: even, all at one node, or by chance."""
        if self.demand_is_fixed:
            return
        self.schedule(DEMAND_CHANGE_INTERVAL, self.move_demand)
        kind = self.random.randrange(3)
        if kind == 0:
            self.demand_weights = [1] * self.node_count
        elif kind == 1:
            only = self.random.randrange(self.node_count)
            self.demand_weights = [int(node == only) for node in range(self.node_count)]
        else:
            self.demand_weights = [self.random.random() ** 2 for _ in range(self.node_count)]

    def generate_load(self):
        """Offers requests to all nodes, step after step."""
        self.schedule(DEMAND_STEP, self.generate_load)
        total = sum(self.demand_weights)
        for node in self.nodes:
            if not node.is_running or node.is_paused:
                continue
            offered = OVERLOAD * DEMAND_STEP / TICKS_PER_SECOND * self.demand_weights[node.node_id] / total
            for _ in range(self.draw_count(offered * LIMITS.rate * self.scale)):
                self.offer_to_rate(node)
            for _ in range(self.draw_count(offered * LIMITS.concurrency * self.scale / MEAN_RUNNING_SECONDS)):
                self.offer_to_concurrency(node)
            node.run_components()

    def offer_to_rate(self, node):
        """Offers a request of the limit on a rate, and now and then a retry of it."""
        limiter = node.components[-1].request_limiter
        request = LimitedRequest("view", "t")
        if limiter.try_acquire(node.clock(), request):
            return
        self.checker.request_admitted(self.now, node.node_id)
        self.event_counts["went through"] += 1
        if self.random.random() < RETRY_PROBABILITY and limiter.may_retry(node.clock(), request):
            limiter.retry_started(node.clock(), request)
            self.checker.retry_admitted(self.now, node.node_id)
            self.event_counts["went again"] += 1

    def offer_to_concurrency(self, node):
        """Offers a request of the limit on concurrency; it runs on whatever becomes of its node."""
        request = LimitedRequest("pay", None)
        if node.components[-1].request_limiter.try_acquire(node.clock(), request):
            return
        self.checker.request_began(self.now, node.node_id)
        self.event_counts["under way"] += 1
        running = self.random.randrange(RUN_ON // 5, RUN_ON * 98 // 100)
        self.schedule(running, self.end_request, node, node.process, request)

    def draw_count(self, mean):
        """Returns a whole number of that mean."""
        whole = int(mean)
        return whole + (self.random.random() < mean - whole)

    def end_request(self, node, process, request):
        """Ends a request of the limit on concurrency; its node learns it unless it has been restarted."""
        self.checker.request_ended(self.now)
        if node.process == process:
            node.components[-1].request_limiter.release(request)

    # What a cluster with maintenance checks.

    def value_learned(self, node_id, key, value):
        """Judges nothing: there is no maintenance here."""

    def record_acceptance(self, node):
        """Judges nothing either."""


class LimiterAlone:
    """The limiter of a node that exchanges no messages, in place of all its components.

    Attributes:
        request_limiter: The `RequestLimiter`.
    """

    watched_endpoints = ()
    record_files = ()
    # The simulated cluster asks each node whether it remembers its votes; this one has none to forget.
    acceptor = SimpleNamespace(phase="voting")
    store = SimpleNamespace(is_clean=lambda: True)

    def __init__(self, request_limiter):
        self.request_limiter = request_limiter

    def change_limits(self, now, limits):
        """Puts changed limits in force."""
        self.request_limiter.change_limits(now, limits)

    def nothing(self, *arguments):
        """Ignores what a host tells a component, and has no actions."""

    restore = endpoints_changed = receive = next_action = nothing
    open_attempts_reported = record_persisted = expire = nothing


class LimitedRequest:
    """As much of a request as limits look at.

    Attributes:
        operation: The operation, with its `name`.
        tenant: The tenant's name.
        over_quota: Whether it is over a soft limit.
        origin_node: The node that it came from; None as it is this node's own.
    """

    def __init__(self, operation, tenant):
        self.operation = SimpleNamespace(name=operation)
        self.tenant = tenant
        self.over_quota = False
        self.origin_node = None


def play(seed, seconds=30, **shape):
    """Plays one round: moving demand, then faults and amid them the limits halved, then calm.

    Returns:
        The violations, and the cluster.
    """
    cluster = LimitedCluster(seed, **shape)
    checker = cluster.checker
    cluster.start_all()
    cluster.schedule(1, cluster.move_demand)
    cluster.run(20 * TICKS_PER_SECOND)
    cluster.used_before_faults = checker.used_fraction(8 * TICKS_PER_SECOND, cluster.now)
    cluster.schedule_fault(cluster.now + seconds * TICKS_PER_SECOND)
    cluster.run(cluster.now + seconds * TICKS_PER_SECOND // 2)
    cluster.used_amid_faults = checker.used_fraction(20 * TICKS_PER_SECOND, cluster.now)
    cluster.change_size(0.5)
    cluster.run(cluster.now + seconds * TICKS_PER_SECOND // 2)
    cluster.end_faults()
    cluster.demand_is_fixed = True
    calm_start = cluster.now + 8 * TICKS_PER_SECOND
    cluster.run(calm_start + CALM)
    cluster.used_in_calm = checker.used_fraction(calm_start, cluster.now)
    # Floors of nodes without demand are lost, here of up to four nodes of five, each a fiftieth of the limit;
    # and a clock may be as fast as the stated drift.
    least = 0.84 / (1 + cluster.drift)
    if cluster.sharing is Sharing.LEASES and cluster.used_in_calm < least:
        violation = TimedViolation(
            cluster.now, "the limit is used", f"{cluster.used_in_calm:.3f} of it in calm"
        )
        checker.violations.append(violation)
    return checker.violations, cluster
