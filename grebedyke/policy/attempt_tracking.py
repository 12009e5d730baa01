"""Rule: the start, progress and end of an attempt update the state of its endpoint, operation and request.

Inputs: outcomes, running times (ticks) and the load reported at the end. The start of an attempt is the most
recent information on the load of an endpoint; a success yields its speed and the operation's work; any other
outcome may eject it. A request whose attempt ended without an answer is queued again.
"""

from grebedyke.model.outcome import NEVER_RAN, Outcome
from grebedyke.model.peer_messages import SlotProgressed, SlotReleased, SlotStarted
from grebedyke.policy.final_answer import latest_send_time

MEAN_WORK_GAIN = 0.05


class AttemptTracking:
    """Follows attempts from their start to their end."""

    def __init__(self, context, queue, cutoff_enforcement):
        self._context = context
        self._queue = queue
        self._cutoff_enforcement = cutoff_enforcement

    def started(self, now, event, reported_delay=None):
        """Handles the start of an attempt (`AttemptStarted`).

        Args:
            now: The time in ticks.
            event: The AttemptStarted.
            reported_delay: Ticks from the send to the start as reported by a peer; None for an attempt that
                this node sent.
        """
        context = self._context
        attempt = context.open_attempt(event.request_id, event.attempt_index)
        if not attempt or attempt.cancelled:
            return
        endpoint = attempt.endpoint
        attempt.opened_connection = event.opened_connection
        endpoint.last_alive_at = now
        endpoint.rejected_until[attempt.request.operation] = 0
        start_delay = (
            now - attempt.sent_at if reported_delay is None else min(reported_delay, now - attempt.sent_at)
        )
        if attempt.granting_node is not None:
            message = SlotStarted(attempt.slot_request_number, start_delay, event.opened_connection)
            context.send_to_peer(attempt.granting_node, message)
        context.endpoints.on_start(endpoint, now, attempt, start_delay)
        self._cutoff_enforcement.record_start(attempt, now)
        self._cutoff_enforcement.observe_freed_slot(attempt, now)

    def progressed(self, now, event):
        """Handles a progress report of an attempt (`AttemptProgressed`)."""
        attempt = self._context.open_attempt(event.request_id, event.attempt_index)
        if attempt:
            attempt.endpoint.last_alive_at = now
            attempt.last_report_at = now
            attempt.started_at = attempt.started_at or now
            if attempt.granting_node is not None:
                self._context.send_to_peer(attempt.granting_node, SlotProgressed(attempt.slot_request_number))

    def ended(self, now, event):
        """Handles the end of an attempt (`AttemptEnded`)."""
        context = self._context
        attempt = context.open_attempt(event.request_id, event.attempt_index)
        if not attempt:
            return
        context.change_count += 1
        attempt.end(event.outcome in NEVER_RAN)
        if attempt.granting_node is not None:
            message = SlotReleased(attempt.slot_request_number, event.outcome, event.free_slots)
            context.send_to_peer(attempt.granting_node, message)
        elif event.free_slots is not None and not context.settings.capabilities.start_notices:
            self._learn_free_slots(attempt, event.free_slots)
        if event.outcome == Outcome.SUCCEEDED:
            self._record_success(attempt, now)
        else:
            self._record_failure(attempt, now, event.outcome)
        self._close_or_requeue(attempt, event.request_closed)

    def _close_or_requeue(self, attempt, request_closed):
        context = self._context
        request = attempt.request
        if request_closed:
            self._queue.finish(request)
        elif not (request.queued or request.open_attempts or request.finished):
            if attempt.exceeded_cutoff:
                # The cancelled run was wasted, so the retry may use all the time that is left.
                work = int(request.estimated_work / context.endpoints.speeds.mean_speed)
                request.latest_start = latest_send_time(request, context.settings) - work
            self._queue.add(request)

    def _learn_free_slots(self, attempt, free_slots):
        """Updates the credit from reported free slots, for executors without start notices."""
        endpoints = self._context.endpoints
        endpoint = attempt.endpoint
        wanted = endpoint.slots_in_use + attempt.request.slots if self._queue.waiting else 0
        endpoints.credit.on_free_slots(endpoint, free_slots, wanted, endpoints.load.slots_by_kind)

    def _record_success(self, attempt, now):
        context = self._context
        endpoint = attempt.endpoint
        request = attempt.request
        operation = request.operation
        endpoint.last_alive_at = now
        endpoint.consecutive_failures = 0
        endpoint.rejected_until[operation] = 0
        running_time = max(now - (attempt.started_at or attempt.sent_at), 1)
        speeds = context.endpoints.speeds
        speeds.on_finished(endpoint, request.estimated_work, running_time, operation.mean_work)
        # Without a hint the work is normalised by the fleet's mean speed. If it were not, the estimates of
        # work and speed would drift together.
        work = running_time * endpoint.speed / (1.0 if request.work_hint else speeds.mean_speed)
        operation.mean_work += MEAN_WORK_GAIN * (work - operation.mean_work) if operation.mean_work else work
        context.cutoffs.finished_sizes.append(work)

    def _record_failure(self, attempt, now, outcome):
        context = self._context
        endpoint = attempt.endpoint
        request = attempt.request
        context.endpoints.on_failure(endpoint, now, outcome, request.operation)
        if attempt.exceeded_cutoff and outcome == Outcome.CANCELLED:
            context.cutoffs.censored_sizes.append(max(now - attempt.started_at, 1) * endpoint.speed)
            request.tier = endpoint.tier + 1
