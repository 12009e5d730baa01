"""Turns the wire's batches into calls on dispatchers and their decisions into the wire's actions.

The wire's own names end here. Decoded fields go straight into calls.
"""

import gc
import traceback
from base64 import b64decode, b64encode

import orjson

from grebedyke.errors import ConfigurationError, MalformedBatchError
from grebedyke.model.outcome import Outcome
from grebedyke.service.configuration import open_dispatcher, terms
from grebedyke.units import ticks
from grebedyke.wire import words

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
STATES = {"healthy": "healthy", "cordoned": "draining", "deregistered": "gone"}


def reported(fields, row):
    """Free slots and work held, as far as a load report has them."""
    report = dict(zip(fields, row or ()))
    return report.get("x0"), report.get("rif")


def feed(host, now, name, event, fields):
    """One event into one dispatcher; unknown events are nothing to it."""
    if name == "progress":
        if event["sort"] == 1:
            host.started(now, event["tid"], event["attempt"])
        else:
            host.progressed(now, event["tid"], event["attempt"])
    elif name == "attemptEnd":
        host.ended(
            now,
            event["tid"],
            event["attempt"],
            OUTCOMES.get(event["reason"], Outcome.FAILED),
            event.get("closed", False),
            reported(fields, event.get("feedback"))[0],
        )
    elif name == "order":
        host.taken(
            now,
            event["tid"],
            event["tierClass"],
            event.get("realm"),
            ticks(event["dueMs"]),
            event.get("effortMs", 0.0) * 10,
            event.get("slots", 1),
        )
    elif name == "pong":
        host.probed(
            now,
            event["executor"],
            OUTCOMES.get(event["reason"], Outcome.FAILED),
            *reported(fields, event.get("feedback")),
        )
    elif name == "rosterChange":
        if event["form"] == "broken":
            host.unlisted(now)
        else:
            host.listed(
                now,
                event["form"] != "patch",
                [
                    (
                        row["executor"],
                        row.get("failureDomain"),
                        row.get("kind"),
                        row.get("stripe"),
                        STATES.get(row.get("availability"), "gone"),
                        ticks(row.get("bornMs", 0)),
                        row.get("capacityHint", 1),
                    )
                    for row in event.get("hosts") or []
                ],
            )
    elif name == "memo":
        words.deliver(host, now, event["by"], b64decode(event["contents"]))
    elif name == "vanished":
        host.left(now, event["tid"])


def action(node, decision):
    kind = decision[0]
    if kind == "forward":
        return {
            "relay": {
                "node": node,
                "tid": decision[1],
                "executor": decision[2],
                "allowForMs": decision[3] / 10,
            }
        }
    if kind == "probe":
        return {"healthCheck": {"node": node, "executor": decision[1]}}
    if kind == "tell":
        body = b64encode(words.pack(*decision[2:])).decode()
        return {"publish": {"node": node, "peer": decision[1], "contents": body}}
    if kind == "wake":
        return {"defer": {"node": node, "instantMs": decision[1] / 10, "cookie": 1}}
    if kind == "cancel":
        return {"dropAttempt": {"node": node, "tid": decision[1], "attempt": decision[2]}}
    if kind == "throttle":
        return {"shed": {"node": node, "tid": decision[1], "backoffMs": decision[2] / 10}}
    if kind == "error":
        return {"giveUp": {"node": node, "tid": decision[1]}}
    if kind == "follow":
        return {"follow": {"node": node, "enable": True}}
    return {"trace": {"node": node, "noteText": decision[1]}}


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
                hosts[node].unlisted(now)
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
                while (decision := host.decide(now)) is not None:
                    out.append(action(node, decision))
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
