"""Rule: an endpoint gets nothing new while an own attempt there shows no sign of life.

An attempt that has not started within the usual time says that the endpoint is full now, whatever credit it
had earned before. A started one of which no progress comes is at an executor that hangs, is cut off or dead;
a slow one still reports progress. Inputs are the times (ticks) of sends, starts and reports.
"""

from math import inf

from grebedyke.units import TICKS_PER_SECOND

# Progress is late after this multiple of the interval at which executors report it.
LATE_REPORT_MULTIPLE = 1.4
# Where they state no interval, after this time in ticks.
DEFAULT_REPORT_TIMEOUT = 3 * TICKS_PER_SECOND


def report_timeout(progress_interval):
    """Returns the ticks after which a started attempt should have been heard of.

    Args:
        progress_interval: Ticks between two reports of progress; 0 where executors send none.
    """
    return LATE_REPORT_MULTIPLE * progress_interval or DEFAULT_REPORT_TIMEOUT


def is_responsive(endpoint, now, prompt_wait, timeout):
    """Returns whether all own attempts there have started, or reported, in time.

    Args:
        endpoint: The Endpoint.
        now: The time in ticks.
        prompt_wait: Time in ticks that a start may take beyond the least that was seen.
        timeout: As `report_timeout` gives it, in ticks.
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
