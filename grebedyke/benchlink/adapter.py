"""Hosts dispatchers for the simulator: batches of events in, batches of actions out.

A batch is a line of JSON with a clock and events of any number of instances, which share nothing.
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


class Instances:
    """The dispatchers that the simulator has booted.

    Attributes:
        dispatchers: Dispatchers by the simulator's number of the instance.
        report_fields: By the same, the names of the columns of load reports.
    """

    def __init__(self):
        self.dispatchers = {}
        self.report_fields = {}

    def handle_batch(self, now, batch):
        """Hands out all events of a batch, then returns each touched instance's actions.

        Instances come in the order in which the batch first mentions them. An instance that fails at an event
        answers with its error alone; the others go on.
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
            except Exception as problem:  # The other instances of this process go on.
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
        """Appends the instance's actions; those before an error stay."""
        dispatcher = self.dispatchers[node]
        try:
            while (action := dispatcher.next_action(now)) is not None:
                replies.append(write_action(node, action))
        except Exception as problem:  # The other instances of this process go on.
            replies.append(_error_reply(node, problem))


def _error_reply(node, problem):
    if not isinstance(problem, ConfigurationError):
        traceback.print_exc()
    return {"internalError": {"node": node, "noteText": f"{type(problem).__name__}: {problem}"}}


def read_batch(line, number):
    """Returns the clock in ticks and the events of a line.

    Args:
        line: The line as it came.
        number: Its number, for error messages.

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
        raise MalformedBatchError(f"line {number}: no clock in tMs")
    events = batch.get("in")
    if not isinstance(events, list):
        raise MalformedBatchError(f"line {number}: no events in in")
    for i, event in enumerate(events):
        body = next(iter(event.values())) if isinstance(event, dict) and len(event) == 1 else None
        if not isinstance(body, dict) or "node" not in body:
            raise MalformedBatchError(f"line {number}: event {i} is not one name with its fields and a node")
    return ticks(now), events


def serve(source, sink, errors):
    """Answers each line of `source` with one on `sink` until the source ends.

    Args:
        source: Lines of the simulator.
        sink: Binary stream for the answers.
        errors: Text stream for the one line about a malformed batch.

    Returns:
        The exit code of the process.
    """
    instances = Instances()
    gc.freeze()
    try:
        for number, line in enumerate(source, 1):
            now, events = read_batch(line, number)
            sink.write(orjson.dumps({"out": instances.handle_batch(now, events)}) + b"\n")
            sink.flush()
    except MalformedBatchError as problem:
        print(f"benchlink: {problem}", file=errors)
        return MALFORMED_BATCH_EXIT_CODE
    return 0
