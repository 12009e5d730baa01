"""What values of a configuration may hold: checks that tables are made of, and the one plain line of a fault.

Lowest of all, so that each part brings its own section of the configuration, checked by the same words.
"""

from voluptuous import ALLOW_EXTRA, Invalid, MultipleInvalid, Schema

from grebedyke.errors import ConfigurationError


def number(low=float("-inf"), high=float("inf")):
    def check(value):
        if isinstance(value, bool) or not isinstance(value, (int, float)) or not low <= value <= high:
            raise Invalid(f"is out of its range: {value!r}")
        return value

    bounds = [f"from {low:g}"] * (low > float("-inf")) + [f"to {high:g}"] * (high < float("inf"))
    check.holds = " ".join(["a number", *bounds])
    return check


def seconds(value):
    """Whole seconds, from the file or as the environment has them.

    >>> seconds("2"), seconds(3600)
    (2, 3600)
    """
    whole = int(value) if isinstance(value, str) and value.isdigit() else value
    if isinstance(whole, bool) or not isinstance(whole, int) or not 1 <= whole <= 3600:
        raise Invalid(f"is not whole seconds from 1 to 3600: {value!r}")
    return whole


seconds.holds = "whole seconds from 1 to 3600"


def whole(low, high):
    def check(value):
        if isinstance(value, bool) or not isinstance(value, int) or not low <= value <= high:
            raise Invalid(f"is no whole number from {low} to {high}: {value!r}")
        return value

    check.holds = f"a whole number from {low} to {high}"
    return check


def maybe(check):
    def checked(value):
        return None if value is None else check(value)

    checked.holds = check.holds
    return checked


def address(value):
    """
    >>> address("127.0.0.4:9000")
    ('127.0.0.4', 9000)
    """
    host, colon, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    if not host or not port.isdigit() or not 0 < int(port) < 65_536:
        raise Invalid(f"is not host:port: {value!r}")
    return host, int(port)


def reachable(value):
    address(value)
    return value


address.holds = reachable.holds = "host:port"


def table(rows, **kind):
    return Schema(rows, extra=ALLOW_EXTRA, **kind)


def told(value):
    """Null and absent are the same."""
    if isinstance(value, dict):
        return {key: told(x) for key, x in value.items() if x is not None}
    return [told(x) for x in value] if isinstance(value, list) else value


def checked(schema, value, prefix=""):
    try:
        return schema(told(value))
    except MultipleInvalid as problem:
        first = problem.errors[0]
        path = prefix + "".join(f"[{p}]" if isinstance(p, int) else f".{p}" for p in first.path).lstrip(".")
        word = "is missing" if first.msg == "required key not provided" else first.msg
        before = prefix.rstrip(".").split(".") if prefix else []
        raise ConfigurationError(f"setting {path} {word}", [*before, *map(plain_key, first.path)]) from None


def plain_key(part):
    return part if isinstance(part, int) else str(part)
