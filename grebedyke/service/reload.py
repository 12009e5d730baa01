"""Applies changed settings to a running dispatcher, in one event of a batch.

Load, credit, budgets and open requests are kept. A second dispatcher would start without them, and both would
send jobs to the same executors without regard to each other.
"""

from grebedyke.model.events import AttemptEnded, EndpointsChanged
from grebedyke.model.outcome import Outcome
from grebedyke.policy.final_answer import latest_send_time


def adopt_settings(now, dispatcher, fresh):
    """Applies the settings of `fresh`, a dispatcher just built from them; it must not be used afterwards."""
    endpoints = dispatcher.endpoints
    renumbered = any(
        getattr(endpoints, name) != getattr(fresh.endpoints, name)
        for name in ("groups_per_zone", "node_count", "node_number")
    )
    _limit_latest_starts(dispatcher, fresh.context.settings)
    _adopt_operations(dispatcher.context.settings, fresh.context.settings)
    endpoints.adopt_settings(fresh.endpoints)
    dispatcher.cutoffs.adopt_settings(fresh.cutoffs)
    dispatcher.quotas.adopt_settings(fresh.quotas)
    dispatcher.retry_budget.adopt_settings(fresh.retry_budget, now)
    dispatcher.context.settings = fresh.context.settings._replace(
        # Open requests of a removed operation are still placed by it; new ones are not accepted.
        operations={**dispatcher.context.settings.operations, **fresh.context.settings.operations}
    )
    for endpoint in endpoints.by_id.values():
        endpoint.rejected_until = {}  # keyed by the operations of the old settings
    if not dispatcher.context.settings.capabilities.cancels:
        dispatcher.cutoff_enforcement.scheduled = []
        dispatcher.cutoffs.in_force = None
    if renumbered:
        _renumber(now, dispatcher)
    dispatcher.handle(now, EndpointsChanged(False, []))
    dispatcher.reconsider_waiting()
    if dispatcher.context.settings.capabilities.polls_list and not dispatcher.list_polling.poll_at:
        dispatcher.list_polling.on_unavailable(now)


def _limit_latest_starts(dispatcher, settings):
    """Limits the latest start of open requests by the new scheduling interval, by which attempts time out.

    With the latest start of a shorter interval, a request could be retried before the executor of its
    timed-out attempt has received the cancel.
    """
    for request in dispatcher.requests.values():
        request.latest_start = min(request.latest_start, latest_send_time(request, settings))


def _adopt_operations(settings, fresh):
    """Copies the measurements of operations that remain; open requests keep their old operation."""
    for name, operation in fresh.operations.items():
        before = settings.operations.get(name)
        if before:
            operation.mean_work = before.mean_work
            same_timeout = before.client_timeout == operation.client_timeout
            operation.longest_timeout = before.longest_timeout if same_timeout else 0


def _renumber(now, dispatcher):
    """Drops slot grants and restarts slot searches after node numbers or groups have changed.

    Attempts on dropped grants end as never sent, which does not count as a failure of their endpoints.
    """
    queue = dispatcher.queue
    slot_leasing = dispatcher.slot_leasing
    waiting = queue.in_order()
    waiting.sort(key=lambda request: request.queue_key)
    queue.waiting = {}
    slot_leasing.searches = {}
    dispatcher.endpoints.coordinators.reset_failover()
    for request in list(dispatcher.requests.values()):
        _drop_grants(now, dispatcher, request)
    slot_leasing.leases.clear()
    dispatcher.context.outbox.clear()
    for request in reversed(waiting):
        if request.origin_node is None:
            request.placement_group = None
            request.reservation = None
            request.probed_endpoints = []
            request.overdue_probes = []
            request.search_rounds = 0
            request.next_search_at = 0
            queue.add(request)


def _drop_grants(now, dispatcher, request):
    is_from_peer = request.origin_node is not None
    for attempt in request.attempts:
        attempt.granting_node = None  # another node may have that number now
        if is_from_peer and not attempt.ended:
            dispatcher.handle(now, AttemptEnded(request.id, attempt.index, Outcome.NEVER_SENT, True))
    if is_from_peer:
        dispatcher.queue.finish(request)  # its origin node answers it
