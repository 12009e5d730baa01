"""Rule: an attempt that exceeds its tier's cutoff is cancelled and restarted one tier up (TAGS).

Inputs: the cutoffs found by the search (ticks at mean speed), the endpoint's speed and tier, the retry budget
and the limits. Only idempotent requests of this node are cancelled. Until it is known whether cancellations
free slots, only a few trial cancellations are made, at endpoints where another attempt of this node waits:
its start shows the effect.
"""

from heapq import heappop, heappush

from grebedyke.model.actions import Cancel
from grebedyke.model.outcome import Idempotency

# A slot counts as freed if a waiting attempt starts within the start floor plus this number of scheduling
# intervals.
FREED_WITHIN_INTERVALS = 2


class CutoffEnforcement:
    """Cancels attempts at their cutoff and observes whether this frees slots.

    Attributes:
        scheduled: Heap of (time of the cancellation, order, attempt).
    """

    def __init__(self, context):
        self._context = context
        self.scheduled = []

    def record_start(self, attempt, started_at):
        """Records the actual or estimated start of an attempt and schedules its cancellation, if allowed."""
        context = self._context
        attempt.started_at = started_at
        endpoint = attempt.endpoint
        cutoffs = context.cutoffs.in_force
        # An attempt with a start allowance is a peer's and can only be cancelled by that peer.
        if not cutoffs or endpoint.tier >= len(cutoffs) or attempt.start_allowance:
            return
        if (
            context.settings.capabilities.cancels
            and attempt.request.operation.idempotency == Idempotency.IDEMPOTENT
        ):
            context.change_count += 1
            cancel_at = started_at + int(cutoffs[endpoint.tier] / endpoint.speed)
            heappush(self.scheduled, (cancel_at, context.change_count, attempt))

    def due_cancels(self, now):
        """Yields the Cancel actions of the attempts that have reached their cutoff."""
        while self.scheduled and self.scheduled[0][0] <= now:
            attempt = heappop(self.scheduled)[2]
            if self._should_cancel(attempt, now):
                attempt.exceeded_cutoff = True
                attempt.cancelled = True
                yield Cancel(attempt.request.id, attempt.index)

    def observe_freed_slot(self, attempt, now):
        """Infers from a start whether the last cancellation there freed its slot.

        An attempt that waited behind the cancelled one starts right after it if the slot was freed.
        """
        endpoint = attempt.endpoint
        if not endpoint.unobserved_cancel_at or attempt.sent_at >= endpoint.unobserved_cancel_at:
            return
        margin = FREED_WITHIN_INTERVALS * self._context.settings.scheduling_interval
        slot_freed = (
            now - endpoint.unobserved_cancel_at <= endpoint.start_floors[attempt.opened_connection] + margin
        )
        self._context.cutoffs.on_cancel_observed(now, slot_freed)
        endpoint.unobserved_cancel_at = 0

    def _should_cancel(self, attempt, now):
        context = self._context
        cutoffs = context.cutoffs
        request = attempt.request
        endpoint = attempt.endpoint
        has_waiting_attempt = any(not other.started_at for other in endpoint.in_flight.values())
        is_known = cutoffs.cancel_effect_known
        is_trial = cutoffs.allows_trial_cancel and has_waiting_attempt and not endpoint.unobserved_cancel_at
        # Without a retry the work done by the cancelled attempt would be wasted.
        if not self._is_retry_affordable(request, now):
            return False
        if attempt.ended or attempt.cancelled or request.finished or not cutoffs.in_force:
            return False
        if len(request.attempts) >= context.settings.limits.max_attempts or not (is_known or is_trial):
            return False
        cutoffs.trial_cancels += not is_known
        if has_waiting_attempt:
            endpoint.unobserved_cancel_at = now
        return True

    def _is_retry_affordable(self, request, now):
        # At least half of the window's retries must be left: without one, the cancelled run was wasted.
        left, total = self._context.retry_budget.available(now)
        limits = self._context.quotas.request_limiter
        return left >= max(1, total / 2) and (not limits or limits.may_retry(now, request))
