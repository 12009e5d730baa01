"""Discovery's list of executors, read out of JSON into rows of the endpoint list."""

from typing import Any, NamedTuple

from loguru import logger

HEALTHY = "healthy"
DRAINING = "draining"
GONE = "gone"
# Discovery's words for the states; any other means that the executor is gone.
STATES = {"Ready": HEALTHY, "Terminating": DRAINING}
MAX_PORT_DIGITS = 5
PORT_LIMIT = 65_536
# So much of an odd row goes into the log.
LOGGED_CHARACTERS = 40


class ListedEndpoint(NamedTuple):
    """One executor as discovery lists it.

    Attributes:
        name: Name of the executor.
        address: Host and port; they may be empty and 0 for one that is gone.
        zone: Failure domain, None if unknown.
        kind: Machine type, None if unknown.
        cell: Stripe, None if unknown.
        state: `HEALTHY`, `DRAINING` or `GONE`.
        since_ms: When the executor started, in milliseconds of Unix time; 0 if unknown.
        weight: Its capacity relative to others.
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
    """Reads the rows of a listing; odd ones are left out and logged in one line.

    One odd row must not cost the others, nor must thousands of them cost a log line each.

    Args:
        listing: The JSON object that discovery answers with.

    Returns:
        A list of `ListedEndpoint`.
    """
    rows = []
    odd_rows = []
    for fields in listing.get("endpoints") or []:
        if not (isinstance(fields, dict) and isinstance(fields.get("name"), str) and fields["name"]):
            odd_rows.append(str(fields)[:LOGGED_CHARACTERS])
            continue
        row, is_odd = _parse_row(fields)
        rows.append(row)
        if is_odd:
            odd_rows.append(row.name[:LOGGED_CHARACTERS])
    if odd_rows:
        logger.warning(
            "discovery: {lines} odd lines left out, the first: {first}",
            event="list-odd",
            lines=len(odd_rows),
            first=odd_rows[0],
        )
    return rows


def _parse_row(fields):
    """Returns the row, and whether its address cannot be used: nothing can be sent there, so it is gone."""
    status = fields.get("status")
    state = STATES.get(status, GONE) if isinstance(status, str) else GONE
    address = fields.get("address")
    host, _, port = address.rpartition(":") if isinstance(address, str) else ("", "", "")
    is_odd = state != GONE and not (host and _is_port(port))
    row = ListedEndpoint(
        name=fields["name"],
        address=(host, _port_number(port)),
        zone=name_or_none(fields.get("zone")),
        kind=name_or_none(fields.get("type")),
        cell=name_or_none(fields.get("group")),
        state=GONE if is_odd else state,
        since_ms=positive_or(fields.get("since_ms"), 0),
        weight=positive_or(fields.get("weight"), 1),
    )
    return row, is_odd


def _is_port(text):
    # isdecimal, since not all that isdigit accepts are decimal digits: int() takes no superscripts.
    return text.isdecimal() and 0 < int(text[: MAX_PORT_DIGITS + 1]) < PORT_LIMIT


def _port_number(text):
    return int(text) if text.isdecimal() and len(text) <= MAX_PORT_DIGITS else 0


def name_or_none(value):
    """Returns the value unless it is a list or an object.

    Such a value in a name's place would make the complete list fail later, with its version already taken.

    >>> name_or_none("a"), name_or_none(3), name_or_none(["a"])
    ('a', 3, None)
    """
    return None if isinstance(value, (list, dict)) else value


def positive_or(value, default):
    """Returns the value if it is a positive number, else the default.

    >>> positive_or(2.5, 1), positive_or(None, 1), positive_or("x", 1), positive_or(-3, 0)
    (2.5, 1, 1, 0)
    >>> positive_or(True, 0)
    0
    """
    is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
    return value if is_number and value > 0 else default
