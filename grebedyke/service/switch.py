"""Takes new terms over into a dispatcher that runs, between two turns: books, credit and what is open stay.

A second dispatcher beside the first would forget load, credit and young executors' budgets, and two sets of
decisions would load one executor.
"""

from inspect import signature

from grebedyke.model.outcome import Outcome


def copy(old, new, *but):
    """Each term is kept under the name by which the part is given it."""
    for name in signature(type(old).__init__).parameters:
        if name not in ("self", "chance", *but):
            setattr(old, name, getattr(new, name))


def switch(now, old, new):
    """`new` was built of the new terms and has heard nothing yet; it is used up."""
    endpoints = old.endpoints
    for request in old.requests.values():
        # A forward's time ends by the new tick: what was taken by a shorter one would still go again then,
        # beside a forward that its executor does not know to be given up.
        request.latest_start = min(request.latest_start, request.deadline - 4 * new.tick)
    moved = any(
        getattr(endpoints, name) != getattr(new.endpoints, name)
        for name in ("groups_per_zone", "node_count", "node_number")
    )
    for name, operation in new.operations.items():
        if before := old.operations.get(name):
            # What is open keeps the operation that it was taken with, and that one's rules.
            operation.mean_work, operation.longest_timeout = (
                before.mean_work,
                before.longest_timeout if before.client_timeout == operation.client_timeout else 0,
            )
    old.endpoints.adopt_settings(new.endpoints)
    old.cutoffs.adopt_settings(new.cutoffs)
    old.quotas.adopt_settings(new.quotas)
    old.retry_budget.adopt_settings(new.retry_budget, now)
    # What came in under an operation that is no more is still dispatched by it; the door takes no more of it.
    new.operations = {**old.operations, **new.operations}
    copy(old, new, "parts")
    old.ops, old.uses_coordinators = new.ops, new.uses_coordinators
    for endpoint in endpoints.by_id.values():
        endpoint.rejected_until = {}  # by operation, as it was before
    if not old.capabilities.cancels:
        old.cuts, old.cutoffs.in_force = [], None
    if moved:
        renumber(now, old)
    old.listed(now, False, [])
    old.alarm = 0
    if old.capabilities.polls_list and not old.ask_at:
        old.unlisted(now)


def renumber(now, d):
    """Nodes have other numbers or groups: what was lent goes back without blame, what is held asks anew."""
    held = sorted((request for request in d.queue if request.queued), key=lambda request: request.queue_key)
    d.queue, d.asked = {}, {}
    d.endpoints.coordinators.forget_silence()
    for request in list(d.requests.values()):
        for attempt in request.attempts:
            attempt.granting_node = None  # no word of it to whoever has that number now
            if request.origin_node is not None and not attempt.ended:
                d.ended(now, request.id, attempt.index, Outcome.NEVER_SENT, True)
        if request.origin_node is not None:
            d.finish(request)  # its own node answers it
    d.leases.clear()
    d.words.clear()
    for request in reversed(held):
        if request.origin_node is None:
            (
                request.placement_group,
                request.reservation,
                request.probed_endpoints,
                request.search_rounds,
                request.next_search_at,
            ) = None, None, [], 0, 0
            d.hold(request)
