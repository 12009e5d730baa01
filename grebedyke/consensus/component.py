"""The interface between a component of a fleet node and its host.

A component does no I/O. Its host (`service/component_host.py` on sockets, `testbed/simulated_cluster.py` in
simulated time) tells it what happened, with the time in ticks, and then takes `next_action(now)` until that
gives None.
"""

from abc import ABC, abstractmethod
from collections import deque

from grebedyke.consensus.actions import Action, AnswerCall, ExcludeEndpoints, LogEvent, SendMessage, WakeAt
from grebedyke.units import TICKS_PER_MILLISECOND

SHORTEST_WAIT = TICKS_PER_MILLISECOND


class Component(ABC):
    """A part of a fleet node without I/O: consensus, maintenance or rate limits.

    Attributes:
        call_paths: Prefixes of the operators' calls that the component answers.
        record_files: The files of its records.
        controls_exclusions: Whether it says by `ExcludeEndpoints` which endpoints are out. Until it has done
            so, a node that has just started sends to none.
        watched_endpoints: The endpoints whose open attempts the host reports before each `next_action`.
        node_id: This node's number. What a component sends to it is received at once.
        pending_actions: Actions that the host has not taken yet.
        next_wake_at: The time, in ticks, of the last `WakeAt`; None before the first.
        undecodable_count: How many messages could not be read.
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

    # What the host tells a component.

    @abstractmethod
    def restore(self, now: int, stored_records: dict[str, bytes | None]) -> None:
        """Starts the component; called once, before all else but `endpoints_changed`.

        Args:
            now: The node's clock, in ticks.
            stored_records: By file, what is on the disk; None or no entry where there is no such file.

        Raises:
            ForeignRecordError: A record is another node's or another fleet's.
        """

    @abstractmethod
    def receive(self, now: int, sender: int, message: list) -> bool:
        """Takes another node's message; returns whether its kind is one of the component's.

        Args:
            now: The node's clock, in ticks.
            sender: The node that sent it.
            message: The wire form, a list that begins with the message's kind.
        """

    @abstractmethod
    def next_action(self, now: int) -> Action | None:
        """Returns what is to be done next, None where nothing is."""

    def record_persisted(self, now: int, file: str, number: int, succeeded: bool) -> None:
        """Reports what became of a `PersistRecord`.

        Of one file at most one write is under way at a time. `succeeded` is False as soon as the record is
        not known to be on the disk; it may be there all the same.
        """

    def endpoints_changed(self, now: int, complete: bool, rows: list[tuple]) -> None:
        """Reports the endpoint list, or a change of it.

        Args:
            now: The node's clock, in ticks.
            complete: Whether `rows` is the whole list; else what changed.
            rows: (name, zone, kind, cell, state, since, weight) of each endpoint.
        """

    def open_attempts_reported(self, now: int, names: list[str]) -> None:
        """Reports which of the `watched_endpoints` have attempts of this node in flight."""

    def operator_call(self, now: int, call, method: bytes, path: bytes, body: dict | None) -> None:
        """Takes an operator's call below one of the `call_paths`; an `AnswerCall` answers it."""

    def expire(self, now: int) -> None:
        """Ends what ends by time alone; called right before requests are written to endpoints.

        The process may have been stopped for any time since the batch began.
        """

    def concerned_endpoints(self) -> list[str]:
        """Returns the endpoints that this component may have excluded before the process started."""
        return []

    # What components have in common.

    def send(self, node, message):
        """Queues a message, in its wire form."""
        self.pending_actions.append(SendMessage(node, message))

    def log(self, event, **fields):
        """Queues a line of the log."""
        self.pending_actions.append(LogEvent(event, fields))

    def answer_call(self, call, status, body):
        """Queues the answer to an operator's call."""
        self.pending_actions.append(AnswerCall(call, status, body))

    def handle_fields(self, handler, now, sender, fields):
        """Calls handler(now, sender, *fields) with as many fields as it takes.

        A later build may add fields to a message; they are left alone.
        """
        known = handler.__code__.co_argcount - 3
        self.tolerate_undecodable(handler, now, sender, *fields[:known])

    def tolerate_undecodable(self, handler, *arguments):
        """Calls handler(*arguments); a message that turns out to be unreadable is counted and dropped.

        Without the guard a malformed message of another build would end the node's event loop.
        """
        try:
            handler(*arguments)
        except (TypeError, ValueError, KeyError, IndexError, AttributeError):
            self.undecodable_count += 1

    def next_pending_action(self, now):
        """Returns the oldest pending action, None where there is none; receives what is for this node."""
        while self.pending_actions:
            action = self.pending_actions.popleft()
            if not isinstance(action, SendMessage) or action.node != self.node_id:
                return action
            self.receive(now, self.node_id, action.message)
        return None

    def take_exclusions(self):
        """Removes and returns the pending actions that exclude endpoints, in their order."""
        exclusions = [action for action in self.pending_actions if isinstance(action, ExcludeEndpoints)]
        for action in exclusions:
            self.pending_actions.remove(action)
        return exclusions

    def schedule_wake(self, now, time):
        """Returns a `WakeAt` unless one is set for as early; None also where `time` is None."""
        if time is None:
            return None
        time = max(time, now + SHORTEST_WAIT)
        if self.next_wake_at is not None and now < self.next_wake_at <= time:
            return None
        self.next_wake_at = time
        return WakeAt(time)
