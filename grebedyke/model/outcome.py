"""Outcomes of attempts, and the idempotency of operations."""

from enum import StrEnum


class Outcome(StrEnum):
    """How an attempt ended.

    The peer codec encodes a member by its position in this enum, so the order is part of the wire format.
    """

    SUCCEEDED = "ok"
    FAILED = "fault"
    REJECTED = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "no connection"
    CONNECTION_RESET = "reset"
    CANCELLED = "cancelled"
    NEVER_SENT = "moot"


NEVER_RAN = frozenset((Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NEVER_SENT))
"""Outcomes that prove that the job had no effect, which makes a retry harmless."""


class Idempotency(StrEnum):
    """Whether a repeated run of an operation is harmless.

    A `KEYED` operation carries an idempotency key: executors of one idempotency group drop a repeat with the
    same key within the idempotency window.
    """

    IDEMPOTENT = "idempotent"
    KEYED = "deduplicated"
    NON_IDEMPOTENT = "non-idempotent"
