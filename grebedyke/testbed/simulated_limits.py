"""Simulated trials of fleet-wide limits: demand exceeds the limits while faults are injected."""

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

# Maximum time for which requests of a dead node run on at executors, in ticks.
RUN_ON = TICKS_PER_SECOND
# The demand for each limit, as a multiple of the limit.
OVERLOAD_FACTOR = 2.5
# The probability that an admitted request under the rate limit needs a retry.
RETRY_PROBABILITY = 0.3
# Intervals at which the distribution of demand over the nodes changes, and at which requests are drawn; in
# ticks.
DEMAND_CHANGE_INTERVAL = 4 * TICKS_PER_SECOND
DEMAND_STEP = TICKS_PER_SECOND // 50
# A request under the concurrency limit runs for 0.2 to 0.98 of `RUN_ON`, on average for 0.6 s.
MEAN_RUNNING_SECONDS = 0.6
# Duration of the observation without faults at the end of a trial, in ticks.
FAULT_FREE_TIME = 20 * TICKS_PER_SECOND
LIMIT_FAULTS = [kind for kind in FAULTS if kind != "executor lost"]
FOREVER = 2**62


# The limits at a scale of 1.
LIMITS = FleetLimits(rate=60, burst=60, concurrency=20, retry_rate=5, retry_burst=10)


class Sharing(StrEnum):
    """The way in which the nodes share a limit.

    Attributes:
        LEASES: By leased shares, as in the program.
        EQUAL: An equal part for each node, without messages.
        NONE: Not at all: each node admits up to the whole limit.
    """

    LEASES = "shares"
    EQUAL = "equal"
    NONE = "none"


class LimitedCluster(SimulatedCluster):
    """A simulated cluster under limits.

    Attributes:
        sharing: The way in which the nodes share the limits, a `Sharing`.
        scale: The factor by which the limits are larger than `LIMITS`.
        limits: The limits in force.
        checker: The `LimitChecker` of the trial.
        demand_weights: Weights of the distribution of demand over the nodes.
        demand_is_fixed: Whether that distribution no longer changes.
        used_before_faults: The fraction of the rate that was used before the faults started.
        used_during_faults: The same during the faults.
        used_after_faults: The same after the faults, with fixed demand.
    """

    def __init__(self, seed, sharing=Sharing.LEASES, scale=1, **settings):
        """Sets up the cluster of a trial.

        Args:
            seed: The seed of the trial.
            sharing: The way in which the nodes share the limits, a `Sharing` or its value.
            scale: The factor by which the limits are larger than `LIMITS`.
            **settings: Fields of `SimulatedClusterSettings`.
        """
        super().__init__(seed, executors=0, **{"kinds": LIMIT_FAULTS, **settings})
        self.sharing = Sharing(sharing)
        self.scale = scale
        self.limits = self.scaled_limits(1)
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
        self.used_during_faults = 0.0
        self.used_after_faults = 0.0

    # Limits.

    def scaled_limits(self, fraction):
        """Returns the limits in the nodes' settings, scaled to a fraction of their full size."""
        return [self._rate_limit(fraction), self._concurrency_limit(fraction), self._retry_limit()]

    def _rate_limit(self, fraction):
        size = int(LIMITS.rate * self.scale * fraction * MILLIREQUESTS_PER_REQUEST)
        # The floors make up a tenth of the limit.
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
        """Returns the components of a node's process, in the order in which its host calls them."""
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
        return [StandaloneLimiter(rate_limits.request_limiter)]

    def resize_limits(self, fraction, spread=TICKS_PER_SECOND):
        """Changes the limits to a fraction of their full size; each node reloads them at a random time."""
        self.limits = self.scaled_limits(fraction)
        last_wait = 0
        for node in self.nodes:
            wait = self.random.randrange(1, spread)
            last_wait = max(last_wait, wait)
            self.schedule(wait, self.reload_limits, node, self.limits)
        # A granted share remains valid until its lease ends, and its requests may run on after that.
        lease_end = int(LEASE * (1 + self.drift) / (1 - self.drift) ** 2) + 2
        run_on_end = int(RUN_ON * (1 + self.drift) / (1 - self.drift)) + 1
        rate, slots, _ = self.limits
        self.checker.change_limits(
            self.now + last_wait + lease_end + run_on_end,
            FleetLimits(rate.size / MILLIREQUESTS_PER_REQUEST, rate.burst, slots.size),
        )

    def reload_limits(self, node, limits):
        """Reloads the limits at a node."""
        if node.is_running:
            node.components[-1].change_limits(node.clock(), limits)
            node.run_components()

    # Demand.

    def redistribute_demand(self):
        """Draws a new distribution of demand: even, all at one node, or random weights."""
        if self.demand_is_fixed:
            return
        self.schedule(DEMAND_CHANGE_INTERVAL, self.redistribute_demand)
        kind = self.random.randrange(3)
        if kind == 0:
            self.demand_weights = [1] * self.node_count
        elif kind == 1:
            only = self.random.randrange(self.node_count)
            self.demand_weights = [int(node == only) for node in range(self.node_count)]
        else:
            self.demand_weights = [self.random.random() ** 2 for _ in range(self.node_count)]

    def generate_load(self):
        """Submits requests to all running nodes; repeats at an interval."""
        self.schedule(DEMAND_STEP, self.generate_load)
        total = sum(self.demand_weights)
        for node in self.nodes:
            if not node.is_running or node.is_paused:
                continue
            offered = (
                OVERLOAD_FACTOR * DEMAND_STEP / TICKS_PER_SECOND * self.demand_weights[node.node_id] / total
            )
            for _ in range(self.draw_count(offered * LIMITS.rate * self.scale)):
                self.offer_rate_limited_request(node)
            for _ in range(self.draw_count(offered * LIMITS.concurrency * self.scale / MEAN_RUNNING_SECONDS)):
                self.offer_concurrency_limited_request(node)
            node.run_components()

    def offer_rate_limited_request(self, node):
        """Submits a request under the rate limit, and sometimes a retry of it."""
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

    def offer_concurrency_limited_request(self, node):
        """Submits a request under the concurrency limit; if admitted, it runs to its end in any case."""
        request = LimitedRequest("pay", None)
        if node.components[-1].request_limiter.try_acquire(node.clock(), request):
            return
        self.checker.request_began(self.now, node.node_id)
        self.event_counts["under way"] += 1
        running = self.random.randrange(RUN_ON // 5, RUN_ON * 98 // 100)
        self.schedule(running, self.end_request, node, node.process, request)

    def draw_count(self, mean):
        """Returns a random integer with this mean."""
        whole = int(mean)
        return whole + (self.random.random() < mean - whole)

    def end_request(self, node, process, request):
        """Ends a request under the concurrency limit; the slot is released if its process still runs."""
        self.checker.request_ended(self.now)
        if node.process == process:
            node.components[-1].request_limiter.release(request)

    # Checks of a cluster with maintenance, which are not needed here.

    def value_learned(self, node_id, key, value):
        """Does nothing: there is no rollout to check."""

    def record_acceptance(self, node):
        """Does nothing: there is no rollout to check."""


class StandaloneLimiter:
    """The only component of a node that exchanges no messages: its limiter alone.

    Attributes:
        request_limiter: The `RequestLimiter`.
    """

    watched_endpoints = ()
    record_files = ()
    # Read by `SimulatedNode.has_persisted_votes`; without consensus there are no votes to lose.
    acceptor = SimpleNamespace(phase="voting")
    store = SimpleNamespace(is_clean=lambda: True)

    def __init__(self, request_limiter):
        self.request_limiter = request_limiter

    def change_limits(self, now, limits):
        """Applies changed limits."""
        self.request_limiter.change_limits(now, limits)

    def ignore(self, *arguments):
        """Ignores a call from the host, or returns None as there are no actions."""

    restore = endpoints_changed = receive = next_action = ignore
    open_attempts_reported = record_persisted = expire = ignore


class LimitedRequest:
    """A request with only the attributes that the limiter uses.

    Attributes:
        operation: The operation, with its `name`.
        tenant: The tenant's name.
        over_quota: Whether the request is over a soft limit.
        origin_node: The node that received it from the client; None for this node.
    """

    def __init__(self, operation, tenant):
        self.operation = SimpleNamespace(name=operation)
        self.tenant = tenant
        self.over_quota = False
        self.origin_node = None


def run(seed, seconds=30, **settings):
    """Runs one trial: shifting demand, then faults with the limits halved halfway, then fixed demand.

    Returns:
        The violations and the cluster.
    """
    cluster = LimitedCluster(seed, **settings)
    checker = cluster.checker
    cluster.start_all()
    cluster.schedule(1, cluster.redistribute_demand)
    cluster.run(20 * TICKS_PER_SECOND)
    cluster.used_before_faults = checker.used_fraction(8 * TICKS_PER_SECOND, cluster.now)
    cluster.schedule_fault(cluster.now + seconds * TICKS_PER_SECOND)
    cluster.run(cluster.now + seconds * TICKS_PER_SECOND // 2)
    cluster.used_during_faults = checker.used_fraction(20 * TICKS_PER_SECOND, cluster.now)
    cluster.resize_limits(0.5)
    cluster.run(cluster.now + seconds * TICKS_PER_SECOND // 2)
    cluster.finish_faults()
    cluster.demand_is_fixed = True
    fault_free_start = cluster.now + 8 * TICKS_PER_SECOND
    cluster.run(fault_free_start + FAULT_FREE_TIME)
    cluster.used_after_faults = checker.used_fraction(fault_free_start, cluster.now)
    # The floors of nodes without demand stay unused: here of up to four of five nodes, each a fiftieth of the
    # limit. Nodes also fill their buckets more slowly by the drift, as their clocks may be fast.
    min_used = 0.84 / (1 + cluster.drift)
    if cluster.sharing is Sharing.LEASES and cluster.used_after_faults < min_used:
        violation = TimedViolation(
            cluster.now,
            "the limit is used",
            f"only {cluster.used_after_faults:.3f} of the rate after the faults",
        )
        checker.violations.append(violation)
    return checker.violations, cluster
