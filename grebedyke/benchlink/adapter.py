"""Turns the wire's batches into calls on dispatchers and their decisions into the wire's actions.

The wire's own names end here. Decoded fields go straight into calls.
"""

import gc
import traceback
from base64 import b64decode, b64encode

import orjson

from grebedyke.errors import ConfigurationError, MalformedBatchError
from grebedyke.model import actions
from grebedyke.model.endpoint_list import EndpointRow
from grebedyke.model.events import (
    AttemptEnded,
    AttemptProgressed,
    AttemptStarted,
    ClientLeft,
    EndpointListUnavailable,
    EndpointsChanged,
    PeerMessageReceived,
    ProbeAnswered,
    RequestArrived,
)
from grebedyke.model.outcome import Outcome
from grebedyke.service.configuration import open_dispatcher, terms
from grebedyke.units import ticks
from grebedyke.wire import peer_codec

OUTCOMES = {
    0: Outcome.SUCCEEDED,
    13: Outcome.FAILED,
    8: Outcome.REJECTED,
    4: Outcome.TIMEOUT,
    14: Outcome.CONNECT_FAILED,
    10: Outcome.CONNECTION_RESET,
    1: Outcome.CANCELLED,
    9: Outcome.NEVER_SENT,
}
# The `sort` of a progress event that says that the attempt began to run.
STARTED = 1
STATES = {"healthy": "healthy", "cordoned": "draining", "deregistered": "gone"}


def reported(fields, row):
    """Free slots and work held, as far as a load report has them."""
    report = dict(zip(fields, row or (), strict=False))
    return report.get("x0"), report.get("rif")


def _progress(event, fields):
    kind = AttemptStarted if event["sort"] == STARTED else AttemptProgressed
    return kind(event["tid"], event["attempt"])


def _attempt_end(event, fields):
    outcome = OUTCOMES.get(event["reason"], Outcome.FAILED)
    free_slots, _ = reported(fields, event.get("feedback"))
    return AttemptEnded(event["tid"], event["attempt"], outcome, event.get("closed", False), free_slots)


def _order(event, fields):
    return RequestArrived(
        request_id=event["tid"],
        operation=event["tierClass"],
        tenant=event.get("realm"),
        deadline=ticks(event["dueMs"]),
        work_hint=event.get("effortMs", 0.0) * 10,
        slots=event.get("slots", 1),
    )


def _pong(event, fields):
    outcome = OUTCOMES.get(event["reason"], Outcome.FAILED)
    return ProbeAnswered(event["executor"], outcome, *reported(fields, event.get("feedback")))


def _roster_change(event, fields):
    if event["form"] == "broken":
        return EndpointListUnavailable()
    rows = [
        EndpointRow(
            id=row["executor"],
            zone=row.get("failureDomain"),
            kind=row.get("kind"),
            cell=row.get("stripe"),
            state=STATES.get(row.get("availability"), "gone"),
            started_at=ticks(row.get("bornMs", 0)),
            weight=row.get("capacityHint", 1),
        )
        for row in event.get("hosts") or []
    ]
    return EndpointsChanged(event["form"] != "patch", rows)


def _memo(event, fields):
    message = peer_codec.decode(b64decode(event["contents"]))
    return PeerMessageReceived(event["by"], message) if message else None


def _vanished(event, fields):
    return ClientLeft(event["tid"])


READERS = {
    "progress": _progress,
    "attemptEnd": _attempt_end,
    "order": _order,
    "pong": _pong,
    "rosterChange": _roster_change,
    "memo": _memo,
    "vanished": _vanished,
}


def feed(dispatcher, now, name, event, fields):
    """Hands one event of the wire to a dispatcher; unknown events are disregarded."""
    reader = READERS.get(name)
    typed = reader(event, fields) if reader else None
    if typed is not None:
        dispatcher.handle(now, typed)


def _forward(node, action):
    fields = {"tid": action.request_id, "executor": action.endpoint_id, "allowForMs": action.timeout / 10}
    return {"relay": {"node": node, **fields}}


def _probe(node, action):
    return {"healthCheck": {"node": node, "executor": action.endpoint_id}}


def _send_peer_message(node, action):
    contents = b64encode(peer_codec.encode(action.message)).decode()
    return {"publish": {"node": node, "peer": action.node, "contents": contents}}


def _wake_at(node, action):
    return {"defer": {"node": node, "instantMs": action.at / 10, "cookie": 1}}


def _cancel(node, action):
    return {"dropAttempt": {"node": node, "tid": action.request_id, "attempt": action.attempt_index}}


def _throttle(node, action):
    return {"shed": {"node": node, "tid": action.request_id, "backoffMs": action.retry_after / 10}}


def _fail(node, action):
    return {"giveUp": {"node": node, "tid": action.request_id}}


def _poll_endpoint_list(node, action):
    return {"follow": {"node": node, "enable": True}}


def _note(node, action):
    return {"trace": {"node": node, "noteText": action.text}}


WRITERS = {
    actions.Forward: _forward,
    actions.Probe: _probe,
    actions.SendPeerMessage: _send_peer_message,
    actions.WakeAt: _wake_at,
    actions.Cancel: _cancel,
    actions.Throttle: _throttle,
    actions.Fail: _fail,
    actions.PollEndpointList: _poll_endpoint_list,
    actions.Note: _note,
}


def handle(hosts, reports, now, events):
    """All events of a batch first, then each touched instance's decisions, in order of first mention."""
    out, touched, dead = [], {}, {}
    for message in events:
        ((name, event),) = message.items()
        node = event["node"]
        touched[node] = None
        try:
            if name == "boot":
                dead.pop(node, None)
                conf = terms(event.get("conf") or {})
                hosts[node] = open_dispatcher(event.get("prng", 0), conf)
                reports[node] = conf["telemetry"]["fields"]
                hosts[node].handle(now, EndpointListUnavailable())
            elif name == "teardown":
                hosts.pop(node, None)
                dead.pop(node, None)
            elif node in hosts:
                feed(hosts[node], now, name, event, reports[node])
        except Exception as problem:
            dead[node] = complain(node, problem)
    for node in touched:
        host = hosts.get(node)
        if node in dead:
            out.append(dead[node])
        elif host:
            try:
                while (action := host.next_action(now)) is not None:
                    out.append(WRITERS[type(action)](node, action))
            except Exception as problem:
                out.append(complain(node, problem))
    return out


def complain(node, problem):
    if not isinstance(problem, ConfigurationError):
        traceback.print_exc()
    return {"internalError": {"node": node, "noteText": f"{type(problem).__name__}: {problem}"}}


def read(line, number):
    try:
        batch = orjson.loads(line)
    except orjson.JSONDecodeError as problem:
        raise MalformedBatchError(f"line {number}: not JSON: {problem}") from None
    if not isinstance(batch, dict):
        raise MalformedBatchError(f"line {number}: not an object")
    now, events = batch.get("tMs"), batch.get("in")
    if isinstance(now, bool) or not isinstance(now, (int, float)):
        raise MalformedBatchError(f"line {number}: no clock in tMs")
    if not isinstance(events, list):
        raise MalformedBatchError(f"line {number}: no events in in")
    for i, event in enumerate(events):
        body = next(iter(event.values())) if isinstance(event, dict) and len(event) == 1 else None
        if not isinstance(body, dict) or "node" not in body:
            raise MalformedBatchError(f"line {number}: event {i} is not one name with its fields and a node")
    return ticks(now), events


def serve(source, sink, errors):
    hosts, reports = {}, {}
    gc.freeze()
    try:
        for number, line in enumerate(source, 1):
            now, events = read(line, number)
            sink.write(orjson.dumps({"out": handle(hosts, reports, now, events)}) + b"\n")
            sink.flush()
    except MalformedBatchError as problem:
        print(f"benchlink: {problem}", file=errors)
        return 2
    return 0
