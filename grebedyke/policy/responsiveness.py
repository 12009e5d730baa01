"""Rule: an endpoint gets no new attempts while one of this node's attempts there is unresponsive.

An attempt that has not started within the usual time shows that the endpoint is full now, regardless of its
credit. A started attempt without progress reports is at an executor that hangs, is unreachable or has died; a
slow executor still reports progress. Inputs are the times (ticks) of sends, starts and reports.
"""

from math import inf

from grebedyke.units import TICKS_PER_SECOND

# Progress is late after this multiple of the executors' report interval.
LATE_REPORT_MULTIPLE = 1.4
# Report timeout in ticks if no interval is configured.
DEFAULT_REPORT_TIMEOUT = 3 * TICKS_PER_SECOND


def report_timeout(progress_interval):
    """Returns the ticks within which a started attempt should report progress.

    Args:
        progress_interval: Ticks between two progress reports; 0 if executors send none.
    """
    return LATE_REPORT_MULTIPLE * progress_interval or DEFAULT_REPORT_TIMEOUT


def is_responsive(endpoint, now, prompt_wait, timeout):
    """Returns whether all of this node's attempts there have started, or reported progress, in time.

    Args:
        endpoint: The Endpoint.
        now: The time in ticks.
        prompt_wait: Ticks that a start may take beyond the start floor.
        timeout: Result of `report_timeout`, in ticks.
    """
    if not endpoint.in_flight:
        return True
    start_limit = prompt_wait + max(floor for floor in (0, *endpoint.start_floors) if floor < inf)
    for attempt in endpoint.in_flight.values():
        if attempt.started_at:
            due = max(endpoint.last_alive_at, attempt.sent_at) + timeout
        else:
            due = attempt.sent_at + start_limit + attempt.start_allowance
        if now > due:
            return False
    return True
