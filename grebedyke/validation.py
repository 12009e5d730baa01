"""Checks of configuration values, with a one-line error message for the first invalid value.

Every component defines the schema of its configuration section from these checks, so error messages are
uniform. A check is a function that returns the accepted value or raises `voluptuous.Invalid` with the
predicate of the error message, such as "is out of its range: 0". Its attribute `description` states the
accepted values for the configuration reference.
"""

from math import inf

from voluptuous import ALLOW_EXTRA, Invalid, MultipleInvalid, Schema

from grebedyke.errors import ConfigurationError

LONGEST_SECONDS = 3600
PORT_LIMIT = 65_536


def number(low=-inf, high=inf):
    """Returns a check for a number from `low` to `high`, both included."""

    def check(value):
        """Checks the type and the range."""
        if isinstance(value, bool) or not isinstance(value, (int, float)) or not low <= value <= high:
            raise Invalid(f"is out of its range: {value!r}")
        return value

    parts = ["a number"]
    if low > -inf:
        parts.append(f"from {low:g}")
    if high < inf:
        parts.append(f"to {high:g}")
    check.description = " ".join(parts)
    return check


def integer(low, high):
    """Returns a check for an integer from `low` to `high`, both included."""

    def check(value):
        """Checks the type and the range."""
        if isinstance(value, bool) or not isinstance(value, int) or not low <= value <= high:
            raise Invalid(f"is not a whole number from {low} to {high}: {value!r}")
        return value

    check.description = f"a whole number from {low} to {high}"
    return check


def integer_seconds(value):
    """Checks a duration in whole seconds; a string of digits, as from the environment, is converted.

    >>> integer_seconds("2"), integer_seconds(3600)
    (2, 3600)
    """
    seconds = int(value) if isinstance(value, str) and value.isdigit() else value
    if isinstance(seconds, bool) or not isinstance(seconds, int) or not 1 <= seconds <= LONGEST_SECONDS:
        raise Invalid(f"is not whole seconds from 1 to {LONGEST_SECONDS}: {value!r}")
    return seconds


integer_seconds.description = f"whole seconds from 1 to {LONGEST_SECONDS}"


def nullable(check):
    """Returns a check that accepts None and all values that `check` accepts."""

    def check_unless_none(value):
        """Applies the check unless the value is None."""
        return None if value is None else check(value)

    check_unless_none.description = check.description
    return check_unless_none


def address(value):
    """Checks `host:port` and returns the host and the port.

    >>> address("127.0.0.4:9000")
    ('127.0.0.4', 9000)
    """
    if not isinstance(value, str):
        raise Invalid(f"is not host:port: {value!r}")
    host, _, port = value.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < PORT_LIMIT:
        raise Invalid(f"is not host:port: {value!r}")
    return host, int(port)


def address_text(value):
    """Checks `host:port` and returns it unchanged."""
    address(value)
    return value


address.description = "host:port"
address_text.description = "host:port"


def table(rows, **options):
    """Returns a schema for a mapping with the given keys; other keys are allowed."""
    return Schema(rows, extra=ALLOW_EXTRA, **options)


def without_nulls(value):
    """Returns the value without keys that are null, because a null key counts as absent."""
    if isinstance(value, dict):
        return {key: without_nulls(item) for key, item in value.items() if item is not None}
    if isinstance(value, list):
        return [without_nulls(item) for item in value]
    return value


def path_text(path):
    """Returns the path of a value as error messages show it.

    >>> path_text(["settings", "operations", 1, "name"])
    'settings.operations[1].name'
    """
    return "".join(f"[{part}]" if isinstance(part, int) else f".{part}" for part in path).lstrip(".")


def validate(schema, value, prefix=""):
    """Validates a value and returns it with the defaults of the schema.

    Args:
        schema: A schema returned by `table`.
        value: The decoded configuration value.
        prefix: Path of the value for error messages, ending in a dot.

    Raises:
        ConfigurationError: A value is invalid; the message names the first invalid value.
    """
    try:
        return schema(without_nulls(value))
    except MultipleInvalid as problem:
        first = problem.errors[0]
        reason = "is missing" if first.msg == "required key not provided" else first.msg
        parents = prefix.rstrip(".").split(".") if prefix else []
        path = [part if isinstance(part, int) else str(part) for part in first.path]
        raise ConfigurationError(
            f"setting {prefix}{path_text(first.path)} {reason}", [*parents, *path]
        ) from None
