"""A node's limiter for all limits: decides whether a request or a retry may start now. No I/O."""

from grebedyke.rate_limits.concurrency_limiter import ConcurrencyLimiter
from grebedyke.rate_limits.definitions import LimitKind
from grebedyke.rate_limits.token_bucket import TokenBucket

# Tenant names come from clients, so the cache of the limits that apply to them has to be bounded.
_MAX_CACHED_COMBINATIONS = 4_096
_LIMITERS = {LimitKind.RATE: TokenBucket, LimitKind.CONCURRENCY: ConcurrencyLimiter}


class RequestLimiter:
    """Checks each request of this node against all limits that apply to it.

    Attributes:
        meters: Each `LimitMeter` by the limit's wire identifier, in the order of the settings.
        acquired_slots: The concurrency limiters in which a request holds a slot, by request.
        shortage: Whether a limit had no capacity since the `ShareClient` last cleared this flag.
    """

    def __init__(self, limits, terms, now):
        """Starts with the floors of these limits; `terms` are the `LeaseTerms` of the fleet."""
        self.meters = {}
        self.acquired_slots = {}
        self.shortage = False
        self._terms = terms
        self._applicable_meters = {}
        self.change_limits(now, limits)

    def change_limits(self, now, limits):
        """Applies changed limits; a limit with the same name and kind keeps its counts and share."""
        former_meters = self.meters
        self._applicable_meters = {}
        self.meters = {}
        for limit in limits:
            meter = former_meters.get(limit.wire_id)
            if meter and meter.limit.kind is limit.kind:
                meter.change_limit(now, limit)
            else:
                meter = _LIMITERS[limit.kind](limit, self._terms, now)
            self.meters[limit.wire_id] = meter

    def try_acquire(self, now, request):
        """Admits a request if all hard limits have capacity.

        A request over a soft limit is admitted and marked as over quota.

        Returns:
            0 if the request is admitted, else the number of ticks after which it should be retried.
        """
        meters = self._meters_for(request)
        exhausted = []
        for meter in meters:
            meter.arrivals.add(now)
            if not meter.has_capacity(now):
                meter.denied += 1
                exhausted.append(meter)
        if exhausted:
            self.shortage = True
            delays = [meter.retry_delay(now) for meter in exhausted if not meter.limit.soft]
            if delays:
                return max(delays)
            request.over_quota = True
        slots = []
        for meter in meters:
            if meter not in exhausted:
                meter.acquire(now)
                if meter.limit.kind is LimitKind.CONCURRENCY:
                    slots.append(meter)
        if slots:
            self.acquired_slots[request] = slots
        return 0

    def may_retry(self, now, request):
        """Returns whether a retry of the request may start now.

        Always true for a request from another node, which applies its own limits to the request.
        """
        if request.origin_node is not None:
            return True
        exhausted = [
            meter for meter in self._meters_for(request, is_retry=True) if not meter.has_capacity(now)
        ]
        for meter in exhausted:
            meter.arrivals.add(now)
            meter.denied += 1
        if exhausted:
            self.shortage = True
        return not exhausted

    def retry_started(self, now, request):
        """Counts a retry of the request."""
        for meter in self._meters_for(request, is_retry=True):
            meter.arrivals.add(now)
            meter.acquire(now)

    def release(self, request):
        """Releases the slots of a request; called once none of its attempts is in flight.

        A client that disconnects does not end attempts, so its request keeps its slots.
        """
        for meter in self.acquired_slots.pop(request, ()):
            meter.release()

    def _meters_for(self, request, is_retry=False):
        """Returns the meters of all limits that apply to the request, or to retries of it."""
        operation = request.operation.name
        tenant = request.tenant
        key = (operation, tenant, is_retry)
        meters = self._applicable_meters.get(key)
        if meters is None:
            if len(self._applicable_meters) > _MAX_CACHED_COMBINATIONS:
                self._applicable_meters.clear()
            meters = self._applicable_meters[key] = [
                meter
                for meter in self.meters.values()
                if meter.limit.operation in (None, operation)
                and meter.limit.tenant in (None, tenant)
                and meter.limit.on_retries == is_retry
            ]
        return meters
