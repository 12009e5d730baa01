"""Parses clients' requests and executors' call-backs received by the client listener."""

from enum import StrEnum
from typing import Any, NamedTuple
from urllib.parse import unquote_to_bytes

import orjson

from grebedyke.errors import HttpProtocolError
from grebedyke.units import TICKS_PER_MILLISECOND
from grebedyke.wire.http_messages import decode_text

# Path of executors' call-backs.
CALL_BACK_PATH = b"/_jobs/news"
# A repeated one of these would be ambiguous.
UNIQUE_REQUEST_HEADERS = (b"x-request-id", b"x-timeout-ms", b"x-priority-class", b"idempotency-key")
# Bytes allowed in a request identifier, which is also written into a request target and a header.
IDENTIFIER_BYTES = frozenset(b"0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz-._~")
MAX_IDENTIFIER_BYTES = 128
MAX_TIMEOUT_DIGITS = 9
CONTROL_BYTES = bytes(range(33)) + b"\x7f"
# X-Cost is the size hint times this.
COST_PER_SIZE = 100
SIZE_HINT_LIMIT = 1e9


class IncomingRequest(NamedTuple):
    """A client's request, parsed and validated.

    Attributes:
        request_id: The client's X-Request-ID.
        operation: Name of the operation, as in the settings.
        tenant: Name of the tenant, None if the client names none.
        timeout: Client timeout in ticks, at most the operation's.
        size_hint: The client's estimate of the job's size; 0 without an estimate.
        slots: Number of an executor's slots that the job occupies.
        method: Method of the HTTP request.
        target: Target of the HTTP request.
        idempotency_key: The client's Idempotency-Key, None without this header.
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
    """States in a call-back other than progress."""

    STARTED = "started"
    SUCCEEDED = "done"
    FAILED = "failed"
    REJECTED = "returned"
    LOST = "lost"


class JobUpdate(NamedTuple):
    """An executor's call-back on a job.

    Attributes:
        request_id: Identifier of the job's request.
        executor: Name of the executor.
        state: As received: a `JobState`, or any other value for progress of a running job.
        result: The job's result, sent in the client's response.
        load: Load report as received, or None; see `load_reports.report_from_json`.
    """

    request_id: str
    executor: str
    state: Any
    result: bytes
    load: Any = None


class OperationTimeouts:
    """The operations available to clients, with their client timeouts.

    Attributes:
        current: Current client timeouts by operation, in ticks.
        accepted: The longest timeout of each operation since process start, in ticks. Clients may still
            request an earlier, longer timeout after a reload has shortened it.
    """

    def __init__(self, timeouts):
        self.current = {}
        self.accepted = {}
        self.update(timeouts)

    def update(self, timeouts):
        """Applies changed timeouts, in ticks by operation."""
        longest = {name: max(timeout, self.accepted.get(name, 0)) for name, timeout in timeouts.items()}
        self.accepted = {**self.accepted, **longest}
        self.current = timeouts

    def operation_name(self, raw):
        """Decodes an operation name from a path or header; resolves percent escapes in an unknown name."""
        name = decode_text(raw)
        if name in self.current or b"%" not in raw:
            return name
        return decode_text(unquote_to_bytes(raw))


def parse_incoming_request(request, operation, timeouts):
    """Parses and validates a client's request.

    Args:
        request: The `HttpRequest`.
        operation: The operation in its path; a key of `timeouts.current`.
        timeouts: The node's `OperationTimeouts`.

    Raises:
        HttpProtocolError: A header or the target is invalid.
    """
    headers = request.headers
    request_id = headers.get(b"x-request-id", b"")
    priority_class = headers.get(b"x-priority-class")
    named_operation = operation if priority_class is None else timeouts.operation_name(priority_class)
    timeout = _parse_timeout(headers.get(b"x-timeout-ms", b""))
    # A timeout above the operation's would become its longest one, from which the dispatcher derives when a
    # repeated request first arrived.
    is_timeout_valid = timeout is not None and 0 < timeout <= timeouts.accepted[operation]
    if not (_is_identifier(request_id) and is_timeout_valid and named_operation == operation):
        raise HttpProtocolError(400, "no usable X-Request-ID, X-Timeout-Ms or X-Priority-Class")
    if len(request.target.translate(None, CONTROL_BYTES)) < len(request.target):
        # The target is copied into the request line that is sent to an executor.
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
    """Returns the size hint and the slots from X-Cost and X-Attrs."""
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
    """Parses the JSON body of a call-back.

    Raises:
        ValueError: The body is not JSON.
        KeyError: A field is missing.
        TypeError: A field has the wrong type.
        AttributeError: The JSON value is not an object.
    """
    fields = orjson.loads(body)
    request_id = fields["id"]
    executor = fields["from"]
    state = fields["state"]
    result = fields.get("result", "")
    result = result.encode() if isinstance(result, str) else orjson.dumps(result)
    if not all(isinstance(value, str) for value in (request_id, executor, state)):
        raise TypeError("id, from and state must be strings")
    return JobUpdate(request_id, executor, state, result, fields.get("load"))
