"""Parses the JSON list of executors from discovery into rows of the endpoint list."""

from typing import Any, NamedTuple

from loguru import logger

HEALTHY = "healthy"
DRAINING = "draining"
GONE = "gone"
# States by discovery's `status`; any other status means that the executor is gone.
STATES = {"Ready": HEALTHY, "Terminating": DRAINING}
MAX_PORT_DIGITS = 5
PORT_LIMIT = 65_536
# Characters of an invalid row that are logged.
LOGGED_CHARACTERS = 40


class ListedEndpoint(NamedTuple):
    """One row of discovery's list.

    Attributes:
        name: Name of the executor.
        address: Host and port; may be empty and 0 for an executor that is gone.
        zone: Failure domain, None if unknown.
        kind: Machine type, None if unknown.
        cell: Stripe, None if unknown.
        state: `HEALTHY`, `DRAINING` or `GONE`.
        since_ms: Start time of the executor in milliseconds of Unix time; 0 if unknown.
        weight: Capacity relative to other executors.
    """

    name: str
    address: tuple
    zone: Any
    kind: Any
    cell: Any
    state: str
    since_ms: float
    weight: float


def parse_endpoint_rows(listing):
    """Parses the rows of a list; invalid rows are counted in a single log line.

    An invalid row must not affect the others, and thousands of them must not produce a log line each. A row
    without a name is left out; a row with an unusable address counts as gone.

    Args:
        listing: The decoded JSON object of discovery's response.

    Returns:
        A list of `ListedEndpoint`.
    """
    rows = []
    invalid_rows = []
    for fields in listing.get("endpoints") or []:
        if not (isinstance(fields, dict) and isinstance(fields.get("name"), str) and fields["name"]):
            invalid_rows.append(str(fields)[:LOGGED_CHARACTERS])
            continue
        row, is_invalid = _parse_row(fields)
        rows.append(row)
        if is_invalid:
            invalid_rows.append(row.name[:LOGGED_CHARACTERS])
    if invalid_rows:
        logger.warning(
            "discovery: ignored {lines} invalid rows, first: {first}",
            event="list-odd",
            lines=len(invalid_rows),
            first=invalid_rows[0],
        )
    return rows


def _parse_row(fields):
    """Returns the row, and whether its address is unusable, in which case its state is `GONE`."""
    status = fields.get("status")
    state = STATES.get(status, GONE) if isinstance(status, str) else GONE
    address = fields.get("address")
    host, _, port = address.rpartition(":") if isinstance(address, str) else ("", "", "")
    is_invalid = state != GONE and not (host and _is_port(port))
    row = ListedEndpoint(
        name=fields["name"],
        address=(host, _port_number(port)),
        zone=scalar_or_none(fields.get("zone")),
        kind=scalar_or_none(fields.get("type")),
        cell=scalar_or_none(fields.get("group")),
        state=GONE if is_invalid else state,
        since_ms=positive_or(fields.get("since_ms"), 0),
        weight=positive_or(fields.get("weight"), 1),
    )
    return row, is_invalid


def _is_port(text):
    # isdigit would also accept superscripts, which int() rejects.
    return text.isdecimal() and 0 < int(text[: MAX_PORT_DIGITS + 1]) < PORT_LIMIT


def _port_number(text):
    return int(text) if text.isdecimal() and len(text) <= MAX_PORT_DIGITS else 0


def scalar_or_none(value):
    """Returns the value, or None if it is a list or an object.

    A list or an object as a name would fail later, when the version of the list is already recorded.

    >>> scalar_or_none("a"), scalar_or_none(3), scalar_or_none(["a"])
    ('a', 3, None)
    """
    return None if isinstance(value, (list, dict)) else value


def positive_or(value, default):
    """Returns the value if it is a positive number, otherwise the default.

    >>> positive_or(2.5, 1), positive_or(None, 1), positive_or("x", 1), positive_or(-3, 0)
    (2.5, 1, 1, 0)
    >>> positive_or(True, 0)
    0
    """
    is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
    return value if is_number and value > 0 else default
