"""Rule: the latest start of a request, and its final answer if it is refused.

Inputs: the client's deadline, the latency objective and the estimated work (ticks). A request that starts
late ends late and delays others, so it is refused while its client still has time to try elsewhere. It is
throttled if a repeat is harmless (rule 2); otherwise it fails.
"""

from grebedyke.model.actions import Fail, Throttle
from grebedyke.model.outcome import Idempotency
from grebedyke.units import TICKS_PER_SECOND

# Waiting may use the first share of the latency objective, and the second share of the difference between the
# objective's stretch and the running time.
OBJECTIVE_SHARE = 0.6
STRETCH_SHARE = 0.7
# Scheduling intervals reserved before the deadline for the last attempt and the final answer.
DEADLINE_MARGIN_INTERVALS = 4
DEFAULT_RETRY_AFTER = TICKS_PER_SECOND // 2


def latest_send_time(request, settings):
    """Returns the latest time, in ticks, that leaves enough time for an attempt and the final answer."""
    return request.deadline - DEADLINE_MARGIN_INTERVALS * settings.scheduling_interval


def latest_start(request, mean_speed, settings):
    """Returns the time after which no attempt is sent, in ticks.

    Args:
        request: The Request.
        mean_speed: Mean speed of the endpoints.
        settings: The DispatcherSettings.
    """
    operation = request.operation
    spare = max(0.0, operation.objective_stretch - 1 / mean_speed) * request.estimated_work * STRETCH_SHARE
    wait = int(operation.latency_objective * OBJECTIVE_SHARE + spare)
    return min(request.first_arrived_at + wait, latest_send_time(request, settings))


def final_answer(request, settings, reason):
    """Returns the Throttle or Fail action that refuses a request for a `RefusalReason`."""
    operation = request.operation
    repeats_are_dropped = operation.idempotency == Idempotency.KEYED and operation.idempotency_group == "all"
    is_safe_to_repeat = operation.idempotency == Idempotency.IDEMPOTENT or repeats_are_dropped
    if not is_safe_to_repeat and not all(attempt.never_ran for attempt in request.attempts):
        return Fail(request.id, reason)
    retry_after = request.retry_after or DEFAULT_RETRY_AFTER
    return Throttle(request.id, min(settings.limits.max_retry_after, retry_after), reason)
