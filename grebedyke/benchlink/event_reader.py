"""Translates events of the simulator's protocol, with its field names, into the dispatcher's events."""

from base64 import b64decode

from grebedyke.model.endpoint_list import EndpointRow
from grebedyke.model.events import (
    AttemptEnded,
    AttemptProgressed,
    AttemptStarted,
    ClientLeft,
    EndpointListUnavailable,
    EndpointsChanged,
    PeerMessageReceived,
    ProbeEnded,
    RequestArrived,
)
from grebedyke.model.outcome import Outcome
from grebedyke.units import TICKS_PER_MILLISECOND, ticks
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
# Value of `sort` in a progress event that reports the start of the attempt's run.
STARTED = 1
STATES = {"healthy": "healthy", "cordoned": "draining", "deregistered": "gone"}


def read_event(name, fields, report_fields):
    """Returns the dispatcher's event, or None if the dispatcher does not handle it.

    Args:
        name: The event's name in the protocol.
        fields: The event's fields.
        report_fields: Column names of load reports.
    """
    reader = _READERS.get(name)
    return reader(fields, report_fields) if reader else None


def _load_report(report_fields, row):
    """Returns the free slots and the jobs held, each None if the report does not contain it."""
    report = dict(zip(report_fields, row or (), strict=False))
    return report.get("x0"), report.get("rif")


def _attempt_progress(fields, report_fields):
    kind = AttemptStarted if fields["sort"] == STARTED else AttemptProgressed
    return kind(fields["tid"], fields["attempt"])


def _attempt_end(fields, report_fields):
    outcome = OUTCOMES.get(fields["reason"], Outcome.FAILED)
    free_slots, _ = _load_report(report_fields, fields.get("feedback"))
    return AttemptEnded(fields["tid"], fields["attempt"], outcome, fields.get("closed", False), free_slots)


def _request_arrival(fields, report_fields):
    return RequestArrived(
        request_id=fields["tid"],
        operation=fields["tierClass"],
        tenant=fields.get("realm"),
        deadline=ticks(fields["dueMs"]),
        work_hint=fields.get("effortMs", 0.0) * TICKS_PER_MILLISECOND,
        slots=fields.get("slots", 1),
    )


def _probe_answer(fields, report_fields):
    outcome = OUTCOMES.get(fields["reason"], Outcome.FAILED)
    return ProbeEnded(fields["executor"], outcome, *_load_report(report_fields, fields.get("feedback")))


def _endpoint_list_change(fields, report_fields):
    if fields["form"] == "broken":
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
        for row in fields.get("hosts") or []
    ]
    return EndpointsChanged(fields["form"] != "patch", rows)


def _peer_message(fields, report_fields):
    message = peer_codec.decode(b64decode(fields["contents"]))
    return PeerMessageReceived(fields["by"], message) if message else None


def _client_departure(fields, report_fields):
    return ClientLeft(fields["tid"])


_READERS = {
    "progress": _attempt_progress,
    "attemptEnd": _attempt_end,
    "order": _request_arrival,
    "pong": _probe_answer,
    "rosterChange": _endpoint_list_change,
    "memo": _peer_message,
    "vanished": _client_departure,
}
