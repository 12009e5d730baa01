"""What clients and executors say to the client listener, read out of HTTP into the program's own terms."""

from enum import StrEnum
from typing import Any, NamedTuple
from urllib.parse import unquote_to_bytes

import orjson

from grebedyke.errors import HttpProtocolError
from grebedyke.units import TICKS_PER_MILLISECOND
from grebedyke.wire.http_messages import decode_text

# Two of these in one request could be read in two ways.
UNIQUE_REQUEST_HEADERS = (b"x-request-id", b"x-timeout-ms", b"x-priority-class", b"idempotency-key")
# What an identifier may consist of: it also goes into a target and a header line of its own.
IDENTIFIER_BYTES = frozenset(b"0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz-._~")
MAX_IDENTIFIER_BYTES = 128
MAX_TIMEOUT_DIGITS = 9
CONTROL_BYTES = bytes(range(33)) + b"\x7f"
# X-Cost is in hundredths of the size hint.
COST_PER_SIZE = 100
SIZE_HINT_LIMIT = 1e9


class IncomingRequest(NamedTuple):
    """A client's request as the rest of the node takes it.

    Attributes:
        request_id: The client's X-Request-ID.
        operation: Name of the operation, as in the settings.
        tenant: Name of the tenant, None if the client names none.
        timeout: Client timeout in ticks, at most the operation's.
        size_hint: Size of the job by the client's estimate; 0 if it gives none.
        slots: How many slots of an executor the job takes.
        method: Method of the HTTP request.
        target: Target of the HTTP request.
        idempotency_key: The client's Idempotency-Key, None if there is none.
        body: Body of the HTTP request.
    """

    request_id: bytes
    operation: str
    tenant: str | None
    timeout: int
    size_hint: float
    slots: int
    method: bytes
    target: bytes
    idempotency_key: bytes | None
    body: bytes


class JobState(StrEnum):
    """The states in a call-back that mean more than progress."""

    STARTED = "started"
    SUCCEEDED = "done"
    FAILED = "failed"
    REJECTED = "returned"
    LOST = "lost"


class JobUpdate(NamedTuple):
    """An executor's call-back on a job.

    Attributes:
        request_id: The request that the job is for.
        executor: Name of the executor.
        state: As received: a `JobState`, or any other value for progress of a job that runs.
        result: The job's result, for the client's response.
        load: Load report as received, None if there is none; see `load_reports.report_from_json`.
    """

    request_id: str
    executor: str
    state: Any
    result: bytes
    load: Any = None


class OperationTimeouts:
    """The operations that clients may ask for, with their client timeouts.

    Attributes:
        current: Client timeouts in force by operation, in ticks.
        accepted: The longest timeout by operation that was in force since the start, in ticks. Clients may
            go on to ask for the time that was in force when they began, after it was made shorter.
    """

    def __init__(self, timeouts):
        self.current = {}
        self.accepted = {}
        self.update(timeouts)

    def update(self, timeouts):
        """Puts changed timeouts in force; they are in ticks by operation."""
        longest = {name: max(timeout, self.accepted.get(name, 0)) for name, timeout in timeouts.items()}
        self.accepted = {**self.accepted, **longest}
        self.current = timeouts

    def operation_name(self, raw):
        """Returns the name that bytes of a path or header stand for: as they are, or with percent escapes."""
        name = decode_text(raw)
        if name in self.current or b"%" not in raw:
            return name
        return decode_text(unquote_to_bytes(raw))


def parse_incoming_request(request, operation, timeouts):
    """Reads a client's headers.

    Args:
        request: The `HttpRequest`.
        operation: The operation that its path names; it is one of `timeouts.current`.
        timeouts: The node's `OperationTimeouts`.

    Raises:
        HttpProtocolError: The headers cannot be used.
    """
    headers = request.headers
    request_id = headers.get(b"x-request-id", b"")
    priority_class = headers.get(b"x-priority-class")
    named_operation = operation if priority_class is None else timeouts.operation_name(priority_class)
    timeout = _parse_timeout(headers.get(b"x-timeout-ms", b""))
    # A client timeout beyond its operation's would pass for the one by which repeats are known.
    timeout_is_good = timeout is not None and 0 < timeout <= timeouts.accepted[operation]
    if not (_is_identifier(request_id) and timeout_is_good and named_operation == operation):
        raise HttpProtocolError(400, "no usable X-Request-ID, X-Timeout-Ms or X-Priority-Class")
    if len(request.target.translate(None, CONTROL_BYTES)) < len(request.target):
        # The target goes into a line of the request to an executor.
        raise HttpProtocolError(400, "control bytes in the target")
    size_hint, slots = _parse_cost(headers)
    return IncomingRequest(
        request_id=request_id,
        operation=operation,
        tenant=decode_text(headers.get(b"x-tenant-id", b"")) or None,
        timeout=min(timeout, timeouts.current[operation]),
        size_hint=size_hint,
        slots=slots,
        method=request.method,
        target=request.target,
        idempotency_key=headers.get(b"idempotency-key"),
        body=request.body,
    )


def _is_identifier(raw):
    return 0 < len(raw) <= MAX_IDENTIFIER_BYTES and IDENTIFIER_BYTES.issuperset(raw)


def _parse_timeout(raw):
    if not raw.isdigit() or len(raw) > MAX_TIMEOUT_DIGITS:
        return None
    return int(raw) * TICKS_PER_MILLISECOND


def _parse_cost(headers):
    """Returns size hint and slots out of X-Cost and X-Attrs."""
    cost = headers.get(b"x-cost", b"0")
    attributes = headers.get(b"x-attrs", b"").replace(b" ", b"").split(b",")
    values = dict(attribute.partition(b"=")[::2] for attribute in attributes)
    try:
        size_hint = float(cost) / COST_PER_SIZE
        slots = max(int(float(values.get(b"slots") or 1)), 1)
        if not 0 <= size_hint < SIZE_HINT_LIMIT:
            raise ValueError
    except (ValueError, OverflowError):
        raise HttpProtocolError(400, "malformed X-Cost or X-Attrs") from None
    return size_hint, slots


def parse_job_update(body):
    """Reads the JSON body of a call-back.

    Raises:
        ValueError: It is not JSON.
        KeyError: A field is missing.
        TypeError: A field is of another type.
        AttributeError: It is JSON, but no object.
    """
    fields = orjson.loads(body)
    request_id = fields["id"]
    executor = fields["from"]
    state = fields["state"]
    result = fields.get("result", "")
    result = result.encode() if isinstance(result, str) else orjson.dumps(result)
    if not all(isinstance(value, str) for value in (request_id, executor, state)):
        raise TypeError("id, from and state are texts")
    return JobUpdate(request_id, executor, state, result, fields.get("load"))
