"""Parses JSON and TOML files into trees of plain values, without checking the values."""

import json

from grebedyke.errors import ConfigurationError
from grebedyke.service.configuration import toml_units
from grebedyke.validation import path_text

MAX_FILE_BYTES = 8 << 20
"""Even a file that lists thousands of executors is far smaller."""

_BYTES_PER_MEGABYTE = 1 << 20


def parse_node_file(data, name):
    """Returns the tree of a node's configuration file.

    JSON files are written by the platform, which may add keys that this version does not know. TOML files are
    written by people, so an unknown key is rejected as a probable spelling error.

    Args:
        data: The file's bytes.
        name: The file's name; a name that ends in ".toml" selects TOML.

    Raises:
        ConfigurationError: The file cannot be parsed, or a TOML file has an unknown key.
    """
    if len(data) > MAX_FILE_BYTES:
        raise ConfigurationError(f"BALANCER_CONFIG is larger than {MAX_FILE_BYTES // _BYTES_PER_MEGABYTE} MB")
    try:
        text = data.decode()
    except UnicodeDecodeError as problem:
        raise ConfigurationError(f"BALANCER_CONFIG is not UTF-8: byte {problem.start}") from None
    if name.endswith(".toml"):
        tree = _parse_toml(text)
        _reject_unknown_keys(tree)
        return tree
    try:
        return _parse_json(text)
    except ValueError as problem:
        raise ConfigurationError(f"BALANCER_CONFIG is not JSON: {problem}") from None
    except RecursionError:
        raise ConfigurationError("BALANCER_CONFIG is not JSON: it is nested too deeply") from None


def parse_plain_file(data, name):
    """Returns the tree of another file than a node's configuration, such as a maintenance plan.

    Args:
        data: The file's bytes.
        name: The file's name; a name that ends in ".toml" selects TOML.

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


def _reject_unknown_keys(tree):
    # Imported here, as it imports all components' sections, which a node with a JSON file may not need.
    from grebedyke.service.configuration import schema_keys

    unknown = schema_keys.first_unknown_key([key.path for key in schema_keys.all_keys()], tree)
    if unknown:
        hint = f", did you mean {unknown.nearest}?" if unknown.nearest else ""
        raise ConfigurationError(
            f"setting {unknown.path} is unknown{hint}", unknown.path.replace("[]", ".0").split(".")
        )


def _parse_json(text):
    return json.loads(text, object_pairs_hook=_build_object, parse_constant=_reject_constant)


def _build_object(pairs):
    """Builds a JSON object; rejects duplicate keys, as one of the values would be lost without notice."""
    table = {}
    for key, value in pairs:
        if key in table:
            raise ConfigurationError(f"BALANCER_CONFIG: key {key} is given twice", [key])
        table[key] = value
    return table


def _reject_constant(constant):
    """Rejects NaN and Infinity, which Python's parser accepts although they are not JSON."""
    raise ValueError(f"{constant} is not a number")
