"""Rule: order of the waiting requests, and the times at which they are considered without an event.

Requests within their tenant's quota come before those over it; within each of these two classes the newest
come first: under overload, first-in-first-out order would make every answer late.
"""

from grebedyke.units import TICKS_PER_SECOND

# Scheduling intervals until the next wake-up while requests wait without coordinators, or while cutoffs are
# searched or cancellations scheduled.
RECHECK_INTERVALS = 4
# Ticks after which a request that this node places as a coordinator is considered again.
COORDINATED_RECHECK_INTERVAL = TICKS_PER_SECOND // 10


class RequestQueue:
    """The requests that wait at this node for an endpoint.

    Attributes:
        waiting: Waiting requests and possibly some that no longer wait; the keys of a dict, for its order.
        wake_at: The time of the last `WakeAt` action, in ticks.
    """

    def __init__(self, context, slot_leasing):
        self._context = context
        self._slot_leasing = slot_leasing
        self.waiting = {}
        self.wake_at = 0

    def add(self, request):
        """Queues a request for placement."""
        context = self._context
        context.change_count += 1
        request.queue_key = -context.change_count
        request.queued = True
        self.waiting[request] = None
        if context.uses_coordinators and request.origin_node is None:
            self._slot_leasing.begin_search(request)

    def in_order(self):
        """Returns the waiting requests in the order of placement."""
        waiting = (request for request in self.waiting if request.queued)
        order = sorted(waiting, key=lambda request: (request.over_quota, request.queue_key))
        self.waiting = dict.fromkeys(order)
        return order

    def finish(self, request):
        """Ends the placement of a request that is answered or abandoned; its open attempts continue."""
        context = self._context
        request.queued = False
        request.finished = True
        self._slot_leasing.end_search(request)
        if not request.open_attempts:
            context.requests.pop(request.id, None)
            if context.quotas.request_limiter:
                context.quotas.request_limiter.release(request)

    def next_wake(self, now, others):
        """Returns the next time to wake at, or None if the last `WakeAt` is still valid.

        Args:
            now: The time in ticks.
            others: Times at which other rules have to act; inf for none.
        """
        interval = self._context.settings.scheduling_interval
        wake = min(now + TICKS_PER_SECOND, *others, *self._recheck_times(now, interval))
        if self.wake_at <= now or wake < self.wake_at - interval:
            self.wake_at = wake
            return wake
        return None

    def _recheck_times(self, now, interval):
        """Returns the times at which waiting requests have to be considered again."""
        if not self._context.uses_coordinators:
            return [now + RECHECK_INTERVALS * interval for request in self.waiting if request.queued]
        # Each wake-up costs CPU time. A request that awaits an answer is considered when that is due; one
        # that this node places is usually triggered by the end of an attempt.
        soonest = now + interval
        times = []
        for request in self.waiting:
            if request.queued:
                search_at = (
                    now + COORDINATED_RECHECK_INTERVAL if request.placement_group else request.next_search_at
                )
                times.append(max(min(request.latest_start, search_at), soonest))
        return times
