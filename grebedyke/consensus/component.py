"""The interface between a component of a fleet node and its host.

A component does no I/O. Its host (`service/component_host.py` on sockets, `testbed/simulated_cluster.py` in
simulated time) reports events to it, with the time in ticks, and then calls `next_action(now)` until it
returns None.
"""

from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Iterable

from grebedyke.consensus.actions import Action, AnswerCall, ExcludeEndpoints, LogEvent, SendMessage, WakeAt
from grebedyke.model.exclusion_lease import ExclusionLease
from grebedyke.units import TICKS_PER_MILLISECOND

MIN_WAKE_DELAY = TICKS_PER_MILLISECOND


class Component(ABC):
    """A part of a fleet node without I/O: consensus, maintenance or rate limits.

    Attributes:
        call_paths: Path prefixes of the operator calls that the component answers.
        record_files: The files of the component's records.
        controls_exclusions: Whether the component excludes endpoints with `ExcludeEndpoints`. A node that has
            just started sends no requests before the first of these actions.
        watched_endpoints: The endpoints whose open attempts the host reports before each `next_action`.
        node_id: This node's number. The component receives its own messages to this node immediately.
        pending_actions: Actions that the host has not taken yet.
        next_wake_at: The time of the last `WakeAt`, in ticks; None before the first.
        undecodable_count: Number of messages that could not be decoded.
    """

    call_paths: tuple[bytes, ...] = ()
    record_files: tuple[str, ...] = ()
    controls_exclusions = False

    def __init__(self, node_id):
        self.node_id = node_id
        self.pending_actions = deque()
        self.next_wake_at = None
        self.undecodable_count = 0
        self.watched_endpoints = frozenset()

    # Called by the host.

    @abstractmethod
    def restore(self, now: int, stored_records: dict[str, bytes | None]) -> None:
        """Starts the component; called once, before every other method except `endpoints_changed`.

        Args:
            now: The node's clock, in ticks.
            stored_records: The content of each record file; None or absent if the file does not exist.

        Raises:
            ForeignRecordError: A record belongs to another node or fleet.
        """

    @abstractmethod
    def receive(self, now: int, sender: int, message: list) -> bool:
        """Handles a message from another node; returns whether the component handles this kind.

        Args:
            now: The node's clock, in ticks.
            sender: The sending node.
            message: The wire form, a list that begins with the message's kind.
        """

    @abstractmethod
    def next_action(self, now: int) -> Action | None:
        """Returns the next action for the host to execute, or None."""

    def record_persisted(self, now: int, file: str, number: int, succeeded: bool) -> None:
        """Reports the result of a `PersistRecord`.

        At most one write of a file is in progress at a time. `succeeded` is False if the record is not known
        to be on the disk; it may be there nevertheless.
        """

    def endpoints_changed(self, now: int, complete: bool, rows: list[tuple]) -> None:
        """Reports the endpoint list, or a change of it.

        Args:
            now: The node's clock, in ticks.
            complete: Whether `rows` is the whole list; otherwise it holds only the changed rows.
            rows: (name, zone, kind, cell, state, since, weight) of each endpoint; `since` is the start time
                of its process in milliseconds of Unix time.
        """

    def open_attempts_reported(self, now: int, names: list[str], unapplied: Iterable[str] = ()) -> None:
        """Reports those `watched_endpoints` that have attempts of this node in flight.

        Args:
            now: The node's clock, in ticks.
            names: These endpoints.
            unapplied: Endpoints that another process of this node may still use.
        """

    def operator_call(self, now: int, call, method: bytes, path: bytes, body: dict | None) -> None:
        """Handles an operator's call below one of the `call_paths`; the answer is an `AnswerCall` action."""

    def expire(self, now: int) -> None:
        """Ends leases and other time-limited state; called right before requests are written to endpoints.

        The process may have been suspended for any length of time since the batch began.
        """

    def possibly_excluded_endpoints(self) -> list[str]:
        """Returns the endpoints that this component may have excluded in an earlier process."""
        return []

    def exclusion_lease(self) -> ExclusionLease | None:
        """Returns until when the requested exclusions are complete; None if it requests no exclusions."""
        return None

    # Shared by all components.

    def send(self, node, message):
        """Queues a message in its wire form."""
        self.pending_actions.append(SendMessage(node, message))

    def log(self, event, **fields):
        """Queues a log line."""
        self.pending_actions.append(LogEvent(event, fields))

    def answer_call(self, call, status, body):
        """Queues the answer to an operator's call."""
        self.pending_actions.append(AnswerCall(call, status, body))

    def handle_fields(self, handler, now, sender, fields):
        """Calls handler(now, sender, *fields), without the fields that exceed its parameters.

        A later build may add fields to a message; they are ignored.
        """
        known = handler.__code__.co_argcount - 3
        self.tolerate_undecodable(handler, now, sender, *fields[:known])

    def tolerate_undecodable(self, handler, *arguments):
        """Calls handler(*arguments); a message that cannot be decoded is counted and dropped.

        Without this guard a malformed message of another build would terminate the node's event loop.
        """
        try:
            handler(*arguments)
        except (TypeError, ValueError, KeyError, IndexError, AttributeError):
            self.undecodable_count += 1

    def next_pending_action(self, now):
        """Returns the oldest pending action or None; messages to this node are received here instead."""
        while self.pending_actions:
            action = self.pending_actions.popleft()
            if not isinstance(action, SendMessage) or action.node != self.node_id:
                return action
            self.receive(now, self.node_id, action.message)
        return None

    def take_exclusions(self):
        """Removes and returns the pending `ExcludeEndpoints` actions in order."""
        exclusions = [action for action in self.pending_actions if isinstance(action, ExcludeEndpoints)]
        for action in exclusions:
            self.pending_actions.remove(action)
        return exclusions

    def schedule_wake(self, now, time):
        """Returns a `WakeAt`, or None if `time` is None or an earlier or equal wake is already set."""
        if time is None:
            return None
        time = max(time, now + MIN_WAKE_DELAY)
        if self.next_wake_at is not None and now < self.next_wake_at <= time:
            return None
        self.next_wake_at = time
        return WakeAt(time)
