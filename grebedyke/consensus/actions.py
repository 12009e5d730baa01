"""The actions that a component requests from its host, one class for each kind.

A component only returns actions; the host executes them (`service/component_host.py`, or in simulated time
`testbed/simulated_cluster.py`).
"""

from typing import Any, NamedTuple


class SendMessage(NamedTuple):
    """Send a message to a node of the fleet; it may be lost, delayed, duplicated or reordered.

    Attributes:
        node: The receiving node. Messages to the component's own node never reach the host.
        message: The wire form, a list that begins with the message's kind.
    """

    node: int
    message: list


class PersistRecord(NamedTuple):
    """Replace a record on disk; the host reports the result with `Component.record_persisted`.

    Attributes:
        file: The record's file, one of the component's `record_files`.
        number: The write's number, repeated in the report.
        data: The complete new content.
    """

    file: str
    number: int
    data: bytes


class WakeAt(NamedTuple):
    """Call `next_action` again at a given time.

    Attributes:
        at: The time, in ticks of the node's clock.
    """

    at: int


class ExcludeEndpoints(NamedTuple):
    """Send no requests to these endpoints; replaces the component's previous exclusions.

    Attributes:
        names: The excluded endpoints.
        all_others: Whether all other endpoints are excluded as well.
        restarted: Endpoints that are no longer excluded and may have restarted while they were; every other
            readmitted endpoint keeps the state it had.
    """

    names: frozenset[str]
    all_others: bool
    restarted: frozenset[str] = frozenset()


class AnswerCall(NamedTuple):
    """Answer an operator's call.

    Attributes:
        call: The call, as passed to `Component.operator_call`.
        status: The HTTP status.
        body: A text, or a dict that is sent as a JSON object.
    """

    call: Any
    status: int
    body: str | dict


class LogEvent(NamedTuple):
    """Write a line to the log.

    Attributes:
        event: The value of the line's `event` field.
        fields: The line's other fields.
    """

    event: str
    fields: dict


Action = SendMessage | PersistRecord | WakeAt | ExcludeEndpoints | AnswerCall | LogEvent
