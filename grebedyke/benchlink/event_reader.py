"""Reads the simulator's events into the dispatcher's; the wire's own names end here."""

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
    ProbeAnswered,
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
# The `sort` of a progress event that says that the attempt began to run.
STARTED = 1
STATES = {"healthy": "healthy", "cordoned": "draining", "deregistered": "gone"}


def read_event(name, fields, report_fields):
    """Returns the dispatcher's event, or None where the dispatcher has no use for it.

    Args:
        name: The event's name on the wire.
        fields: Its fields.
        report_fields: Names of the columns of load reports.
    """
    reader = _READERS.get(name)
    return reader(fields, report_fields) if reader else None


def _load_report(report_fields, row):
    """Free slots and jobs held, each None where the report lacks it."""
    report = dict(zip(report_fields, row or (), strict=False))
    return report.get("x0"), report.get("rif")


def _progress(fields, report_fields):
    kind = AttemptStarted if fields["sort"] == STARTED else AttemptProgressed
    return kind(fields["tid"], fields["attempt"])


def _attempt_end(fields, report_fields):
    outcome = OUTCOMES.get(fields["reason"], Outcome.FAILED)
    free_slots, _ = _load_report(report_fields, fields.get("feedback"))
    return AttemptEnded(fields["tid"], fields["attempt"], outcome, fields.get("closed", False), free_slots)


def _order(fields, report_fields):
    return RequestArrived(
        request_id=fields["tid"],
        operation=fields["tierClass"],
        tenant=fields.get("realm"),
        deadline=ticks(fields["dueMs"]),
        work_hint=fields.get("effortMs", 0.0) * TICKS_PER_MILLISECOND,
        slots=fields.get("slots", 1),
    )


def _pong(fields, report_fields):
    outcome = OUTCOMES.get(fields["reason"], Outcome.FAILED)
    return ProbeAnswered(fields["executor"], outcome, *_load_report(report_fields, fields.get("feedback")))


def _roster_change(fields, report_fields):
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


def _memo(fields, report_fields):
    message = peer_codec.decode(b64decode(fields["contents"]))
    return PeerMessageReceived(fields["by"], message) if message else None


def _vanished(fields, report_fields):
    return ClientLeft(fields["tid"])


_READERS = {
    "progress": _progress,
    "attemptEnd": _attempt_end,
    "order": _order,
    "pong": _pong,
    "rosterChange": _roster_change,
    "memo": _memo,
    "vanished": _vanished,
}
