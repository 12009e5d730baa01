"""Reasons for refusals: requests that the node itself throttles or fails."""

from enum import StrEnum


class RefusalReason(StrEnum):
    """Reason for throttling or failing a request; the values are names of counters in the log.

    Attributes:
        OVER_LIMIT: A fleet-wide limit is reached.
        NO_BUDGET: The retry budget or a limit allows no retry now.
        NO_RETRY: Rule 2 or the bound on attempts allows no further attempt.
        ALL_EXCLUDED: All healthy endpoints of the list are banned or excluded at this node.
        NO_ENDPOINT: The list has no healthy endpoint.
        NONE_READY: No endpoint had room: all were ejected, warming up, unresponsive or out of credit.
        NONE_SUITABLE: Endpoints had room, but all were ineligible for the request, had too few free slots for
            it or were in other zones, which it was not yet allowed to use.
        NO_REPORT: No probe was answered in time.
        TOO_LATE: The probed endpoints would have started the request too late.
        NO_SLOT: No coordinator granted a slot.
        TABLE_FULL: The request table is full; the request was not accepted.
        SHUTTING_DOWN: The process is shutting down; the request was not accepted.
        DUPLICATE_ID: The request's identifier is in use; answered 409.
        NO_MEMORY: Clients' messages hold as much memory as they may; the message was not accepted.
        UNDECIDED_ID: The other process of this node did not say in time whether the identifier is in use, or
            does not read what it is asked; then the request was not accepted.
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
    DUPLICATE_ID = "duplicate_id"
    NO_MEMORY = "no_memory"
    UNDECIDED_ID = "undecided_id"
