"""The node's side of all limits: whether a request or a retry may go now. No I/O."""

from grebedyke.rate_limits.concurrency_limiter import ConcurrencyLimiter
from grebedyke.rate_limits.definitions import LimitKind
from grebedyke.rate_limits.token_bucket import TokenBucket

# Names of tenants come from clients, so the cache of what applies to them needs a bound.
_MAX_CACHED_COMBINATIONS = 4_096
_LIMITERS = {LimitKind.RATE: TokenBucket, LimitKind.CONCURRENCY: ConcurrencyLimiter}


class RequestLimiter:
    """Asked once for each request of this node: is it within all limits that apply to it?

    Attributes:
        meters: `LimitMeter` by the limit's wire identifier, in the order of the settings.
        acquired_slots: The concurrency limiters in which a request holds a slot, by request.
        shortage: A limit had no capacity since this was last cleared; the component clears it.
    """

    def __init__(self, limits, terms, now):
        """Begins with the floors of these limits; `terms` are the `LeaseTerms` of the fleet."""
        self.meters = {}
        self.acquired_slots = {}
        self.shortage = False
        self._terms = terms
        self._applicable = {}
        self.change_limits(now, limits)

    def change_limits(self, now, limits):
        """Puts changed limits in force; a limit that keeps its name and kind keeps its counts and share."""
        former_meters = self.meters
        self._applicable = {}
        self.meters = {}
        for limit in limits:
            meter = former_meters.get(limit.wire_id)
            if meter and meter.limit.kind is limit.kind:
                meter.change_limit(now, limit)
            else:
                meter = _LIMITERS[limit.kind](limit, self._terms, now)
            self.meters[limit.wire_id] = meter

    def try_acquire(self, now, request):
        """Counts a request as admitted, or says when it should come back.

        A request over a soft limit is admitted and marked as over quota.

        Returns:
            0 if the request is admitted, else the ticks after which it should be tried again.
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

        A request that came from another node is under that node's limits and always may.
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
        """Gives the slots of a request back; to be called once no attempt of it is in flight.

        A client that leaves ends no attempt, so that its request keeps its slots.
        """
        for meter in self.acquired_slots.pop(request, ()):
            meter.release()

    def _meters_for(self, request, is_retry=False):
        """Returns the meters of all limits that apply to the request, or to retries of it."""
        operation = request.operation.name
        tenant = request.tenant
        key = (operation, tenant, is_retry)
        meters = self._applicable.get(key)
        if meters is None:
            if len(self._applicable) > _MAX_CACHED_COMBINATIONS:
                self._applicable.clear()
            meters = self._applicable[key] = [
                meter
                for meter in self.meters.values()
                if meter.limit.operation in (None, operation)
                and meter.limit.tenant in (None, tenant)
                and meter.limit.on_retries == is_retry
            ]
        return meters
