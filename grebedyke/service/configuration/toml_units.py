"""Parses a TOML configuration with units into the tree that an equivalent JSON file would have. No I/O.

The key determines the unit of a value in the tree: a key that ends in `Ms` holds milliseconds, `SECONDS_KEYS`
hold seconds, and `SHARE_KEYS` hold a fraction of one.
"""

import re

SHARE_KEYS = frozenset(("resendRatio", "coldFrom", "crossZone", "share", "drift"))
SECONDS_KEYS = frozenset(("counts",))

MILLISECONDS_PER_UNIT = {"ms": 1, "s": 1_000, "min": 60_000, "h": 3_600_000}
MILLISECONDS_PER_SECOND = 1_000

_QUANTITY = re.compile(r"\s*([0-9]+(?:\.[0-9]+)?)\s*(ms|s|min|h|%)\s*")
_DECIMALS = 9  # Rounding makes "17 %" exactly 0.17, as in a JSON file.


class UnitError(Exception):
    """A text is not TOML, or a value has a unit that its key does not accept.

    Attributes:
        path: Keys and list indices of the value; empty if the text is not TOML.
        reason: The message without the name of the value, which precedes it.
    """

    def __init__(self, path, reason):
        super().__init__(reason)
        self.path = path
        self.reason = reason


def read_toml(text):
    """Returns the tree of a TOML text.

    Raises:
        UnitError: The text is invalid; if it is not TOML, the reason has the line.
    """
    import tomllib  # Imported here, as a node with a JSON file does not need it.

    try:
        return without_units(tomllib.loads(text))
    except tomllib.TOMLDecodeError as problem:
        raise UnitError((), f"is not TOML: {problem}") from None


def without_units(value, path=()):
    """Returns a tree in which quantities with units are replaced by plain numbers.

    >>> without_units({"windowMs": "2 s", "resendRatio": "17 %", "counts": "1 min", "name": "2 s of Pécs"})
    {'windowMs': 2000, 'resendRatio': 0.17, 'counts': 60, 'name': '2 s of Pécs'}
    >>> without_units({"rules": {"coldFrom": "2 s"}})
    Traceback (most recent call last):
    grebedyke.service.configuration.toml_units.UnitError: is a share, not a time: '2 s'
    """
    if isinstance(value, dict):
        return {key: without_units(item, (*path, key)) for key, item in value.items()}
    if isinstance(value, list):
        return [without_units(item, (*path, index)) for index, item in enumerate(value)]
    match = _QUANTITY.fullmatch(value) if isinstance(value, str) else None
    if match is None:
        return value
    key = next((part for part in reversed(path) if isinstance(part, str)), "")
    is_share = key in SHARE_KEYS
    if not (is_share or key.endswith("Ms") or key in SECONDS_KEYS):
        return value  # Text that looks like a quantity; if the key needs a number, its check rejects it.
    unit = match[2]
    if is_share != (unit == "%"):
        expected = "share, not a time" if is_share else "time, not a share"
        raise UnitError(path, f"is a {expected}: {value!r}")
    return _share(match) if is_share else _duration(match, key)


def _share(match):
    return round(float(match[1]) / 100, _DECIMALS)


def _duration(match, key):
    """Returns a duration in the unit of its key, as an integer if it is whole."""
    milliseconds = float(match[1]) * MILLISECONDS_PER_UNIT[match[2]]
    duration = milliseconds / (MILLISECONDS_PER_SECOND if key in SECONDS_KEYS else 1)
    return round(duration, _DECIMALS) if duration % 1 else int(duration)
