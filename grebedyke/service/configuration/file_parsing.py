"""Parses files that people or the platform write, JSON or TOML, into trees; what they hold is not checked."""

import json

from grebedyke.errors import ConfigurationError
from grebedyke.service.configuration import toml_units
from grebedyke.validation import path_text

LARGEST_FILE = 8 << 20
"""Bytes. A file that lists thousands of executors is far smaller."""

_BYTES_PER_MEGABYTE = 1 << 20


def parse_node_file(data, name):
    """Returns the tree of a node's configuration file.

    JSON is written by the platform, which may add keys that this version does not know. TOML is written by
    people: a key that is not known is refused there, since it is most likely misspelt.

    Args:
        data: The file's bytes.
        name: The file's name; TOML is told by its ending.

    Raises:
        ConfigurationError: The file cannot be parsed, or a TOML file has an unknown key.
    """
    if len(data) > LARGEST_FILE:
        raise ConfigurationError(f"BALANCER_CONFIG is larger than {LARGEST_FILE // _BYTES_PER_MEGABYTE} MB")
    try:
        text = data.decode()
    except UnicodeDecodeError as problem:
        raise ConfigurationError(f"BALANCER_CONFIG is not UTF-8: byte {problem.start}") from None
    if name.endswith(".toml"):
        tree = _parse_toml(text)
        _refuse_unknown_keys(tree)
        return tree
    try:
        return _parse_json(text)
    except ValueError as problem:
        raise ConfigurationError(f"BALANCER_CONFIG is not JSON: {problem}") from None
    except RecursionError:
        raise ConfigurationError("BALANCER_CONFIG is not JSON: it is nested too deeply") from None


def parse_plain_file(data, name):
    """Returns the tree of a file that is no node's configuration, such as a maintenance plan.

    Args:
        data: The file's bytes.
        name: The file's name; TOML is told by its ending.

    Raises:
        ConfigurationError: The file cannot be parsed.
    """
    try:
        if name.endswith(".toml"):
            return toml_units.read_toml(data.decode())
        return _parse_json(data)
    except toml_units.UnitError as problem:
        raise ConfigurationError(f"{'.'.join(map(str, problem.path))} {problem.reason}".strip()) from None
    except (ValueError, RecursionError) as problem:
        raise ConfigurationError(f"is neither JSON nor TOML: {problem}") from None


def _parse_toml(text):
    try:
        return toml_units.read_toml(text)
    except toml_units.UnitError as problem:
        subject = f"setting {path_text(problem.path)}" if problem.path else "BALANCER_CONFIG"
        raise ConfigurationError(f"{subject} {problem.reason}", problem.path) from None


def _refuse_unknown_keys(tree):
    # Imported here: it takes in all components' sections, which a node with a JSON file may do without.
    from grebedyke.service.configuration import schema_keys

    unknown = schema_keys.first_unknown_key([key.path for key in schema_keys.all_keys()], tree)
    if unknown:
        hint = f", {unknown.nearest} is meant?" if unknown.nearest else ""
        raise ConfigurationError(
            f"setting {unknown.path} is unknown{hint}", unknown.path.replace("[]", ".0").split(".")
        )


def _parse_json(text):
    return json.loads(text, object_pairs_hook=_distinct_keys, parse_constant=_refuse_constant)


def _distinct_keys(pairs):
    """Builds an object; refuses a key that stands twice, as one of its values would silently be lost."""
    table = {}
    for key, value in pairs:
        if key in table:
            raise ConfigurationError(f"BALANCER_CONFIG: key {key} stands twice", [key])
        table[key] = value
    return table


def _refuse_constant(constant):
    """Refuses NaN and Infinity, which Python's parser takes and JSON does not have."""
    raise ValueError(f"{constant} is no number")
