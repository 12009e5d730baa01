"""The dispatcher of a node: routes events to the policy modules and their actions to the host."""

from math import inf

from grebedyke.model import events, peer_messages
from grebedyke.model.actions import LogMessage, PollEndpointList, WakeAt
from grebedyke.model.events import AttemptEnded, AttemptProgressed, AttemptStarted
from grebedyke.model.outcome import Outcome
from grebedyke.model.policy_context import PolicyContext
from grebedyke.policy.admission import Admission
from grebedyke.policy.attempt_tracking import AttemptTracking
from grebedyke.policy.cutoff_enforcement import CutoffEnforcement
from grebedyke.policy.endpoint_selection import EndpointSelection
from grebedyke.policy.list_polling import ListPolling
from grebedyke.policy.placement import Placement
from grebedyke.policy.probing import Probing
from grebedyke.policy.request_queue import RECHECK_INTERVALS, RequestQueue
from grebedyke.policy.retry_eligibility import RetryEligibility
from grebedyke.policy.slot_leasing import SlotLeasing


class Dispatcher:
    """The dispatching policy of one node: consumes events and produces actions, without I/O.

    A host reports events through `handle`. After all events of an instant it calls `next_action` until that
    returns None, and carries out each action.

    Attributes:
        context: State shared by all policy modules; its `endpoints`, `cutoffs`, `quotas`, `retry_budget` and
            `requests` are attributes of the dispatcher as well.
        eligibility: Rule 2: decides which endpoints may get a retry.
        selection: Chooses the endpoint for a request.
        probing: Chooses endpoints to probe.
        slot_leasing: Slot requests and granted slots.
        queue: The waiting requests.
        cutoff_enforcement: Cancels attempts at their cutoff.
        admission: Admits arriving requests.
        tracking: Handles the start, progress and end of attempts.
        list_polling: Times the polls of the endpoint list.
    """

    def __init__(self, random, parts, settings):
        context = self.context = PolicyContext(random, parts, settings)
        self.endpoints = context.endpoints
        self.cutoffs = context.cutoffs
        self.quotas = context.quotas
        self.retry_budget = context.retry_budget
        self.requests = context.requests
        self.eligibility = RetryEligibility(context)
        self.selection = EndpointSelection(context, self.eligibility)
        self.probing = Probing(context, self.selection)
        self.slot_leasing = SlotLeasing(context, self.eligibility, self.selection)
        self.queue = RequestQueue(context, self.slot_leasing)
        self.cutoff_enforcement = CutoffEnforcement(context)
        self.admission = Admission(context, self.queue)
        self.tracking = AttemptTracking(context, self.queue, self.cutoff_enforcement)
        self.list_polling = ListPolling(context)
        self._placement = Placement(context, self)
        self._actions = None
        self._placed_change_count = 0
        self._handlers = {
            events.RequestArrived: self.admission.admit,
            events.AttemptStarted: self.tracking.started,
            events.AttemptProgressed: self.tracking.progressed,
            events.AttemptEnded: self.tracking.ended,
            events.ProbeEnded: self._on_probe_ended,
            events.ClientLeft: self._on_client_left,
            events.EndpointsChanged: self._on_endpoints_changed,
            events.EndpointListUnavailable: self.list_polling.on_unavailable,
            events.PeerMessageReceived: self._on_peer_message,
        }
        self._peer_handlers = {
            peer_messages.SlotRequest: self.admission.admit_from_peer,
            peer_messages.SlotGrant: self.slot_leasing.on_grant,
            peer_messages.SlotDenial: self.slot_leasing.on_denial,
            peer_messages.SlotStarted: self._on_slot_started,
            peer_messages.SlotProgressed: self._on_slot_progressed,
            peer_messages.SlotReleased: self._on_slot_released,
        }

    def handle(self, now, event):
        """Handles an event (`grebedyke.model.events`)."""
        self._handlers[type(event)](now, event)

    def next_action(self, now):
        """Returns the next action (`grebedyke.model.actions`), or None if there is none left.

        An exception in a policy module ends the pass; requests not considered yet wait for the next event or
        timer. The host logs the exception and continues.
        """
        self._actions = self._actions or self._run_rules(now)
        action = next(self._actions, None)
        if action is None:
            self._actions = None
        return action

    def set_banned(self, now, endpoint_id, banned, was_restarted=True):
        """Bans an endpoint or lifts its ban; see `EndpointList.set_banned`."""
        self.context.change_count += 1
        return self.context.endpoints.set_banned(now, endpoint_id, banned, was_restarted)

    def reconsider_waiting(self):
        """Makes the next call of `next_action` consider all waiting requests again, as after a reload."""
        self.queue.wake_at = 0

    def _run_rules(self, now):
        context = self.context
        if self.list_polling.take_due_poll(now):
            yield PollEndpointList()
        if context.cutoffs.step(now, context.endpoints):
            cutoffs = context.cutoffs
            context.endpoints.assign_tiers(cutoffs.top_tier_share if cutoffs.in_force else 0.0)
            yield LogMessage(cutoffs.summary)
        if self.cutoff_enforcement.scheduled:
            yield from self.cutoff_enforcement.due_cancels(now)
        if self.slot_leasing.leases:
            for attempt in self.slot_leasing.expired(now):
                event = AttemptEnded(attempt.request.id, attempt.index, Outcome.TIMEOUT, True)
                self.tracking.ended(now, event)
        # With coordinators many more requests wait, so events that cannot free a slot (starts and progress)
        # must not trigger a pass over all of them.
        changed = context.change_count != self._placed_change_count or self.queue.wake_at <= now
        if changed or not context.uses_coordinators:
            self._placed_change_count = context.change_count
            yield from self._placement.place(now)
            wake = self.queue.next_wake(now, self._other_wakes(now))
            if wake is not None:
                yield WakeAt(wake)
        while context.outbox:
            yield context.outbox.popleft()

    def _other_wakes(self, now):
        soon = now + RECHECK_INTERVALS * self.context.settings.scheduling_interval
        has_cutoff_work = self.cutoff_enforcement.scheduled or self.context.cutoffs.generations_left
        return self.list_polling.poll_at or inf, soon if has_cutoff_work else inf

    def _on_probe_ended(self, now, event):
        self.context.endpoints.on_probe_end(now, *event)

    def _on_client_left(self, now, event):
        request = self.context.requests.get(event.request_id)
        if request:
            self.queue.finish(request)

    def _on_endpoints_changed(self, now, event):
        self.context.endpoints.update(now, event.replaces_all, event.rows)
        self.list_polling.failures = 0
        self.context.change_count += 1

    def _on_peer_message(self, now, event):
        endpoints = self.context.endpoints
        is_peer = event.node != endpoints.node_number and 0 <= event.node < endpoints.node_count
        if self.context.uses_coordinators and is_peer:
            self._peer_handlers[type(event.message)](now, event.node, event.message)

    # The attempt on a granted slot is tracked as attempt 0 of the request (node, slot request number).

    def _on_slot_started(self, now, node, message):
        event = AttemptStarted((node, message.number), 0, message.opened_connection)
        self.tracking.started(now, event, message.start_delay)

    def _on_slot_progressed(self, now, node, message):
        self.tracking.progressed(now, AttemptProgressed((node, message.number), 0))

    def _on_slot_released(self, now, node, message):
        event = AttemptEnded((node, message.number), 0, message.outcome, True, message.free_slots)
        self.tracking.ended(now, event)
