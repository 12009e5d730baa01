"""Rule 2: a job that may have run is retried only if a repeat is harmless.

Inputs: the operation's idempotency, idempotency group and window (ticks), the outcomes of earlier attempts
and the bound on attempts. A job that provably never ran may always be retried, and so may an idempotent one.
A job with an idempotency key may be retried only at executors of the same idempotency group, and only within
the idempotency window. A retry counts when its last byte is sent, and a connect or a full kernel buffer may
delay that, so the end of the window goes with the retry to the host, as does the retry budget's limit.
"""

from grebedyke.model.outcome import Idempotency
from grebedyke.model.refusal import RefusalReason

# The window is treated as ending this number of scheduling intervals early, to allow for the time from the
# write to the arrival and for clock differences.
WINDOW_MARGIN_INTERVALS = 10


class RetryEligibility:
    """Decides which endpoints may get a retry of a request, and whether a retry is allowed at all."""

    def __init__(self, context):
        self._context = context

    def is_allowed(self, request, endpoint, now):
        """Returns whether the endpoint may get the next attempt without the risk of a repeated effect."""
        settings = self._context.settings
        if len(request.attempts) >= settings.limits.max_attempts:
            return False
        operation = request.operation
        first = _first_that_may_have_run(request)
        if first is None or operation.idempotency == Idempotency.IDEMPOTENT:
            return True
        if operation.idempotency == Idempotency.NON_IDEMPOTENT or now > self._window_end(request):
            return False
        group = operation.idempotency_group
        return group == "all" or getattr(endpoint, group) == getattr(first.endpoint, group)

    def latest_send(self, request, now):
        """Returns the time by which the next attempt must be sent, in ticks; None without a limit."""
        limits = [self._window_end(request)]
        if request.attempts and request.origin_node is None:
            limits.append(self._context.retry_budget.latest_send(now))
        return min((limit for limit in limits if limit is not None), default=None)

    def _window_end(self, request):
        """Returns the time after which executors may have forgotten the key; None if a repeat is harmless."""
        first = _first_that_may_have_run(request)
        operation = request.operation
        if first is None or operation.idempotency != Idempotency.KEYED:
            return None
        margin = WINDOW_MARGIN_INTERVALS * self._context.settings.scheduling_interval
        return first.sent_at + operation.idempotency_window - margin

    def refusal(self, request, now):
        """Returns the `RefusalReason` if no retry of the request is allowed, or None if one is.

        The retry budget and the limits are checked only by the request's own node.
        """
        context = self._context
        limits = context.quotas.request_limiter
        within_limits = not limits or limits.may_retry(now, request)
        if request.origin_node is None:
            if not within_limits or context.retry_budget.available(now).left < 1:
                return RefusalReason.NO_BUDGET
        if any(self.is_allowed(request, endpoint, now) for endpoint in context.endpoints.healthy):
            return None
        return RefusalReason.NO_RETRY


def _first_that_may_have_run(request):
    return next((attempt for attempt in request.attempts if not attempt.never_ran), None)
