"""Hosts dispatchers for the simulator: reads batches of events and writes batches of actions.

A batch is a line of JSON with a clock and the events of any number of dispatchers, which share no state.
"""

import gc
import traceback

import orjson

from grebedyke.benchlink.action_writer import write_action
from grebedyke.benchlink.event_reader import read_event
from grebedyke.errors import ConfigurationError, MalformedBatchError
from grebedyke.model.events import EndpointListUnavailable
from grebedyke.service.configuration import check_settings, open_dispatcher
from grebedyke.units import ticks

MALFORMED_BATCH_EXIT_CODE = 2


class DispatcherRegistry:
    """The dispatchers that the simulator has started.

    Attributes:
        dispatchers: Dispatchers by the simulator's node number.
        report_fields: Column names of load reports, by node number.
    """

    def __init__(self):
        self.dispatchers = {}
        self.report_fields = {}

    def handle_batch(self, now, batch):
        """Handles all events of a batch, then returns the actions of each dispatcher in the batch.

        Dispatchers are ordered by their first event in the batch. If an event fails, the reply of its
        dispatcher is only the error; the other dispatchers are not affected.
        """
        errors = {}
        touched = {}
        for message in batch:
            ((name, fields),) = message.items()
            node = fields["node"]
            touched[node] = None
            try:
                if name in ("boot", "teardown"):
                    errors.pop(node, None)
                self._handle(now, node, name, fields)
            except Exception as problem:  # Must not affect the other dispatchers.
                errors[node] = _error_reply(node, problem)
        replies = []
        for node in touched:
            if node in errors:
                replies.append(errors[node])
            elif node in self.dispatchers:
                self._collect_actions(now, node, replies)
        return replies

    def _handle(self, now, node, name, fields):
        if name == "boot":
            settings = check_settings(fields.get("conf") or {})
            self.dispatchers[node] = open_dispatcher(fields.get("prng", 0), settings)
            self.report_fields[node] = settings["telemetry"]["fields"]
            self.dispatchers[node].handle(now, EndpointListUnavailable())
        elif name == "teardown":
            self.dispatchers.pop(node, None)
        elif node in self.dispatchers:
            event = read_event(name, fields, self.report_fields[node])
            if event is not None:
                self.dispatchers[node].handle(now, event)

    def _collect_actions(self, now, node, replies):
        """Appends the dispatcher's actions; actions before an error are kept."""
        dispatcher = self.dispatchers[node]
        try:
            while (action := dispatcher.next_action(now)) is not None:
                replies.append(write_action(node, action))
        except Exception as problem:  # Must not affect the other dispatchers.
            replies.append(_error_reply(node, problem))


def _error_reply(node, problem):
    if not isinstance(problem, ConfigurationError):
        traceback.print_exc()
    return {"internalError": {"node": node, "noteText": f"{type(problem).__name__}: {problem}"}}


def read_batch(line, number):
    """Returns the clock in ticks and the events of a line.

    Args:
        line: The line as received.
        number: The line number, for error messages.

    Raises:
        MalformedBatchError: The line is not a batch.
    """
    try:
        batch = orjson.loads(line)
    except orjson.JSONDecodeError as problem:
        raise MalformedBatchError(f"line {number}: not JSON: {problem}") from None
    if not isinstance(batch, dict):
        raise MalformedBatchError(f"line {number}: not an object")
    now = batch.get("tMs")
    if isinstance(now, bool) or not isinstance(now, (int, float)):
        raise MalformedBatchError(f"line {number}: the clock in tMs is not a number")
    events = batch.get("in")
    if not isinstance(events, list):
        raise MalformedBatchError(f"line {number}: the events in 'in' are not a list")
    for i, event in enumerate(events):
        body = next(iter(event.values())) if isinstance(event, dict) and len(event) == 1 else None
        if not isinstance(body, dict) or "node" not in body:
            raise MalformedBatchError(
                f"line {number}: event {i} is not an object of one name with fields and a node"
            )
    return ticks(now), events


def serve(source, sink, errors):
    """Answers each line of `source` with a line on `sink` until the source ends or a line is malformed.

    Args:
        source: Lines from the simulator.
        sink: Binary stream for the replies.
        errors: Text stream for the error message about a malformed batch.

    Returns:
        The exit code of the process.
    """
    registry = DispatcherRegistry()
    gc.freeze()
    try:
        for number, line in enumerate(source, 1):
            now, events = read_batch(line, number)
            sink.write(orjson.dumps({"out": registry.handle_batch(now, events)}) + b"\n")
            sink.flush()
    except MalformedBatchError as problem:
        print(f"benchlink: {problem}", file=errors)
        return MALFORMED_BATCH_EXIT_CODE
    return 0
