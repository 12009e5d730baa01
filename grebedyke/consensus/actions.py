"""What a component asks of its host: one class a kind of action.

A component only returns these; the host carries them out (`service/component_host.py`, and in simulated time
`testbed/simulated_cluster.py`).
"""

from typing import Any, NamedTuple


class SendMessage(NamedTuple):
    """Send a message to a node of the fleet; it may be lost, late, doubled or out of order.

    Attributes:
        node: The receiving node. What a component sends to its own node never reaches the host.
        message: The wire form, a list that begins with the message's kind.
    """

    node: int
    message: list


class PersistRecord(NamedTuple):
    """Replace a record on disk; the host reports back by `Component.record_persisted`.

    Attributes:
        file: The record's file, one of the component's `record_files`.
        number: The write's number, which the report repeats.
        data: The whole new content.
    """

    file: str
    number: int
    data: bytes


class WakeAt(NamedTuple):
    """Ask for the next action again at a time.

    Attributes:
        at: When, in ticks of the node's clock.
    """

    at: int


class ExcludeEndpoints(NamedTuple):
    """Send nothing to these endpoints; replaces what the component had excluded before.

    Attributes:
        names: The excluded endpoints.
        all_others: Whether all other endpoints are excluded as well.
        restarted: Endpoints not excluded any more that may have been restarted meanwhile; all others come
            back as they were.
    """

    names: frozenset[str]
    all_others: bool
    restarted: frozenset[str] = frozenset()


class AnswerCall(NamedTuple):
    """Answer an operator's call.

    Attributes:
        call: The call, as `Component.operator_call` was given it.
        status: The HTTP status.
        body: A text, or what becomes a JSON object.
    """

    call: Any
    status: int
    body: str | dict


class LogEvent(NamedTuple):
    """Write a line of the log.

    Attributes:
        event: The line's `event` value.
        fields: Its further fields.
    """

    event: str
    fields: dict


Action = SendMessage | PersistRecord | WakeAt | ExcludeEndpoints | AnswerCall | LogEvent
