"""Rule: a pass sends, probes for, requests a slot for or refuses each waiting request.

Inputs: the queue in its order and the endpoints with room. A pass takes place after the events of each
instant and at each wake-up; with coordinators, only after a change that may allow a waiting request to be
placed and at a wake-up.
"""

from itertools import islice

from grebedyke.model.actions import Forward, SendPeerMessage
from grebedyke.model.attempt import Attempt
from grebedyke.model.peer_messages import SlotDenial
from grebedyke.model.refusal import RefusalReason
from grebedyke.policy.final_answer import final_answer

# Endpoints with room that a pass considers in each group, so that CPU time does not grow with the fleet.
MAX_CANDIDATES = 24
# An attempt times out this number of scheduling intervals before the deadline.
TIMEOUT_MARGIN_INTERVALS = 3


class Placement:
    """Places the waiting requests, using the policy objects of the dispatcher."""

    def __init__(self, context, dispatcher):
        self._context = context
        self._dispatcher = dispatcher

    def place(self, now):
        """Yields the actions for all waiting requests."""
        dispatcher = self._dispatcher
        waiting = dispatcher.queue.in_order()
        if not waiting:
            return
        by_reports = dispatcher.probing.has_sparse_traffic(now)
        ready_by_group = {}
        for request in waiting:
            refusal = self._refusal(request, now)
            if refusal:
                yield from self._refuse(request, refusal)
                continue
            if dispatcher.slot_leasing.is_slot_wanted(request, now):
                slot_request = dispatcher.slot_leasing.request_slot(request, now)
                if slot_request:
                    yield slot_request
            if by_reports:
                yield from self._place_by_reports(request, now)
            else:
                yield from self._place_by_load(request, now, ready_by_group)

    def _refusal(self, request, now):
        """Returns the `RefusalReason` if the request is to be refused now; None if it may still be sent."""
        if now >= request.latest_start:
            return self._delay_reason(request)
        if request.attempts:
            return self._dispatcher.eligibility.refusal(request, now)
        return None

    def _delay_reason(self, request):
        """Returns the `RefusalReason` of a request that was not placed by its latest start."""
        if request.retry_after:
            return RefusalReason.OVER_LIMIT
        endpoints = self._context.endpoints
        if not endpoints.healthy:
            return RefusalReason.ALL_EXCLUDED if endpoints.has_banned() else RefusalReason.NO_ENDPOINT
        if self._context.uses_coordinators and not request.placement_group:
            return RefusalReason.NO_SLOT
        return request.wait_reason or RefusalReason.NONE_READY

    def _place_by_load(self, request, now, ready_by_group):
        candidates = ready_by_group.get(request.placement_group)
        if candidates is None:
            candidates = ready_by_group[request.placement_group] = self._ready_endpoints(
                request.placement_group, now
            )
        endpoint, granting_node = request.reservation or (None, None)
        if not request.reservation and candidates:
            endpoint = self._dispatcher.selection.choose(request, candidates, now, by_reports=False)
        if endpoint:
            attempt = self._begin_attempt(request, endpoint, now, granting_node)
            if endpoint in candidates and not self._context.endpoints.is_ready(endpoint, now):
                candidates.remove(endpoint)
            yield self._send_action(attempt, now)
        else:
            request.wait_reason = RefusalReason.NONE_SUITABLE if candidates else RefusalReason.NONE_READY
            yield from self._deny(request)

    def _place_by_reports(self, request, now):
        """Places a request by the load reports of the endpoints probed for it."""
        dispatcher = self._dispatcher
        probed = request.probed_endpoints
        ready = self._context.endpoints.is_ready
        candidates = [endpoint for endpoint in probed if not endpoint.probe_sent_at and ready(endpoint, now)]
        awaits_report = now < request.next_search_at and any(endpoint.probe_sent_at for endpoint in probed)
        endpoint, granting_node = request.reservation or (None, None)
        answered = self._answered_endpoints(request, candidates, awaits_report, now)
        if not request.reservation and answered:
            endpoint = dispatcher.selection.choose(request, answered, now, by_reports=True)
        if endpoint and dispatcher.probing.wants_another_report(request, endpoint):
            probe = dispatcher.probing.next_probe(request, now, candidates)
            if probe:
                yield probe
                return
        if endpoint:
            attempt = self._begin_attempt(request, endpoint, now, granting_node)
            attempt.had_free_slot = not endpoint.reported_wait
            yield self._send_action(attempt, now)
        elif request.origin_node is not None and not request.search_rounds:
            yield from self._deny(request)
        elif not awaits_report:
            yield from self._probe_or_refuse(request, now, bool(candidates))

    def _answered_endpoints(self, request, candidates, awaits_report, now):
        """Returns the endpoints to choose from.

        These are the candidates of the current round or, if there are none, the endpoints that answered an
        earlier probe. While a report is awaited, only the latter are returned, and only in the last round.
        """
        probing = self._dispatcher.probing
        if not awaits_report and candidates:
            return candidates
        if awaits_report and not probing.is_last_round(request):
            return []
        return probing.late_answers(request, now)

    def _probe_or_refuse(self, request, now, some_are_ready):
        """Handles a request for which no endpoint was chosen and no report is awaited.

        Args:
            request: The Request.
            now: The time in ticks.
            some_are_ready: Whether some of the probed endpoints are ready; usually they would start it
                too late.
        """
        if some_are_ready:
            request.wait_reason = RefusalReason.TOO_LATE
        elif request.probed_endpoints:
            request.wait_reason = RefusalReason.NO_REPORT
        if not self._dispatcher.probing.may_probe_again(request, some_are_ready):
            # If no probe has been answered, wait for the next answer while there is time.
            if some_are_ready or not self._dispatcher.probing.awaits_answer(request):
                yield from self._refuse(request, request.wait_reason or RefusalReason.NONE_READY)
            return
        probe = self._dispatcher.probing.next_probe(request, now)
        if probe:
            yield probe
        elif not request.wait_reason:
            awaits_answer = self._dispatcher.probing.awaits_answer(request)
            request.wait_reason = RefusalReason.NO_REPORT if awaits_answer else RefusalReason.NONE_READY

    def _ready_endpoints(self, group, now):
        """Returns up to MAX_CANDIDATES endpoints of the group with room, from a random starting position."""
        endpoints = self._context.endpoints
        members = endpoints.groups.get(group, [])
        start = int(self._context.random.draw() * len(members))
        from_start = members[start:] + members[:start]
        return list(
            islice((endpoint for endpoint in from_start if endpoints.is_ready(endpoint, now)), MAX_CANDIDATES)
        )

    def _begin_attempt(self, request, endpoint, now, granting_node):
        """Creates the attempt and counts it for the retry budget, limits and slow start."""
        context = self._context
        latest_send = self._dispatcher.eligibility.latest_send(request, now)
        if request.attempts and request.origin_node is None:
            context.retry_budget.retries.add(now)
            if context.quotas.request_limiter:
                context.quotas.request_limiter.retry_started(now, request)
        attempt = Attempt(request, endpoint, now, granting_node, latest_send)
        context.endpoints.sends.add(now)
        self._dispatcher.slot_leasing.searches.pop(request.slot_request_number, None)
        if not context.settings.capabilities.start_notices:
            self._dispatcher.cutoff_enforcement.record_start(attempt, now + int(endpoint.expected_wait))
        return attempt

    def _send_action(self, attempt, now):
        """Returns the action that sends the attempt, or that grants the slot to a peer."""
        request = attempt.request
        if request.origin_node is not None:
            return self._dispatcher.slot_leasing.grant(attempt, now)
        margin = TIMEOUT_MARGIN_INTERVALS * self._context.settings.scheduling_interval
        timeout = request.deadline - now - margin
        return Forward(request.id, attempt.endpoint.id, timeout, attempt.latest_send)

    def _deny(self, request):
        """Notifies a peer once that its request has to wait here; `search_rounds` records it."""
        if request.origin_node is not None and not request.search_rounds:
            request.search_rounds = 1
            yield SendPeerMessage(request.origin_node, SlotDenial(request.id[1], request.over_quota))

    def _refuse(self, request, reason):
        """Refuses a request; one from a peer is only dropped, since its own node answers the client."""
        is_own = request.origin_node is None
        answer = final_answer(request, self._context.settings, reason) if is_own else None
        self._dispatcher.queue.finish(request)
        if answer:
            yield answer
