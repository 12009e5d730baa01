"""Why a request is refused: answered without having been run to its end."""

from enum import StrEnum


class RefusalReason(StrEnum):
    """Why a request is throttled or fails; values are names of counts in the log.

    Attributes:
        OVER_LIMIT: A limit of the whole fleet is reached.
        NO_BUDGET: The retry budget or a limit allows no retry now.
        NO_RETRY: No further attempt is allowed: rule 2, or the bound on attempts.
        ALL_EXCLUDED: Every endpoint that the list has as healthy is banned or excluded at this node.
        NO_ENDPOINT: The list has no healthy endpoint.
        NONE_READY: No endpoint had room: ejected, warming up, unresponsive or out of credit.
        NONE_SUITABLE: Endpoints had room, but none that runs such a request now or that is near enough.
        NO_REPORT: No probe was answered in time.
        TOO_LATE: The endpoints probed would have started it too late.
        NO_SLOT: No coordinator granted a slot.
        TABLE_FULL: The request table is full; the request was not taken.
        SHUTTING_DOWN: The process is about to end; the request was not taken.
    """

    OVER_LIMIT = "over_limit"
    NO_BUDGET = "no_budget"
    NO_RETRY = "no_retry"
    ALL_EXCLUDED = "all_excluded"
    NO_ENDPOINT = "no_endpoint"
    NONE_READY = "none_ready"
    NONE_SUITABLE = "none_suitable"
    NO_REPORT = "no_report"
    TOO_LATE = "too_late"
    NO_SLOT = "no_slot"
    TABLE_FULL = "table_full"
    SHUTTING_DOWN = "shutting_down"
