"""Rule: a request gets its estimated work, latest start and quota status on arrival.

Inputs: the client's deadline and work hint (ticks), the operation's mean work, the tenants' quotas and the
fleet's limits. For a repeated request, the time since the client's first try counts as already used; a
request over a limit is answered at once.
"""

from grebedyke.model.events import RequestArrived
from grebedyke.model.outcome import Idempotency
from grebedyke.model.request import Request
from grebedyke.policy.final_answer import latest_start

MAX_SLOTS = 64
TOP_TIER = 1


class Admission:
    """Admits this node's own requests and requests that it places for peers."""

    def __init__(self, context, queue):
        self._context = context
        self._queue = queue

    def admit(self, now, event):
        """Admits a request of this node (`RequestArrived`)."""
        context = self._context
        # With coordinators the quota is checked by the first coordinator that is asked.
        over_quota = not context.uses_coordinators and context.quotas.count_against_quota(now, event.tenant)
        request = self._create_request(now, event, over_quota)
        self._record_arrival(now, request)
        self._queue.add(request)
        limits = context.quotas.request_limiter
        if limits and (retry_after := limits.try_acquire(now, request)):
            # The next pass refuses it with the reason OVER_LIMIT.
            request.latest_start = now
            request.retry_after = retry_after

    def admit_from_peer(self, now, node, message):
        """Admits the request of a peer's `SlotRequest`; it is queued like one of this node's own."""
        context = self._context
        settings = context.settings
        request_id = (node, message.number)
        endpoint = context.endpoints.by_rank.get(message.rank)
        if not endpoint or message.operation >= len(settings.peer_operations):
            return
        if request_id in context.requests or len(context.requests) >= settings.limits.max_open:
            return
        operation = settings.peer_operations[message.operation]
        tenants = context.quotas.tenants
        tenant = tenants[message.tenant] if message.tenant < len(tenants) else None
        # Figures from a peer are not trusted, so they are bounded.
        time_left = min(message.time_left, operation.client_timeout)
        slots = min(max(message.slots, 1), MAX_SLOTS)
        work = min(message.estimated_work, time_left)
        event = RequestArrived(request_id, operation.name, tenant, now + time_left, work, slots)
        request = self._create_request(now, event, False, node)
        request.tier = min(message.tier, TOP_TIER)
        request.placement_group = endpoint.group
        # The quota is checked here because a coordinator sees the requests of a whole zone.
        if message.is_repeated:
            request.over_quota = bool(message.over_quota)
        else:
            request.over_quota = context.quotas.count_against_quota(
                now, tenant, len(context.endpoints.groups)
            )
        self._queue.add(request)

    def _create_request(self, now, event, over_quota, origin_node=None):
        context = self._context
        endpoints = context.endpoints
        operation = context.settings.operations[event.operation]
        request = Request(
            id=event.request_id,
            operation=operation,
            arrived_at=now,
            deadline=event.deadline,
            estimated_work=event.work_hint or operation.mean_work or endpoints.prompt_wait,
            work_hint=event.work_hint,
            slots=event.slots,
            over_quota=over_quota,
            tenant=event.tenant,
            origin_node=origin_node,
        )
        context.requests[request.id] = request
        load = endpoints.load
        load.max_request_slots = max(load.max_request_slots, request.slots)
        # A repeated request keeps the deadline of the first try, so the longest timeout gives the time of the
        # first try. A client with a short timeout looks the same; its requests would end late anyway.
        operation.longest_timeout = max(operation.longest_timeout, request.deadline - now)
        request.first_arrived_at = request.deadline - operation.longest_timeout
        request.latest_start = latest_start(request, endpoints.speeds.mean_speed, context.settings)
        return request

    def _record_arrival(self, now, request):
        """Counts a request of this node for the retry budget, the load estimate and the cutoff search."""
        context = self._context
        capabilities = context.settings.capabilities
        context.retry_budget.requests.add(now)
        context.endpoints.load.on_request(request.estimated_work)
        # Without start notices the effect of a cancellation cannot be observed.
        cancels_are_observable = capabilities.cancels and capabilities.start_notices
        is_restartable = request.operation.idempotency == Idempotency.IDEMPOTENT and cancels_are_observable
        context.cutoffs.on_arrival(now, is_restartable)
