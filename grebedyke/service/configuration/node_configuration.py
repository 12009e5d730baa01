"""Reads a node's configuration from its file, the environment and the defaults."""

import os
from typing import Any, NamedTuple

from grebedyke.errors import ConfigurationError
from grebedyke.service.configuration.file_parsing import MAX_FILE_BYTES, parse_node_file
from grebedyke.service.configuration.node_schema import COMPONENT_SECTIONS, NODE_SCHEMA
from grebedyke.service.configuration.sections import check_sections
from grebedyke.service.configuration.settings_schema import check_settings
from grebedyke.validation import path_text, validate

ENVIRONMENT_KEYS = ("name", "listen", "discovery", "console", "counts")
"""Keys that environment variables (BALANCER_NAME and so on) override."""

_DISCOVERY_IN_FILE = "written"
"""The key under which the configuration keeps the file's `discovery`, even if the environment overrides it.

A reload that finds another address in the file uses it, although the environment still has the old one.
"""


class EffectiveValue(NamedTuple):
    """A value in force at a node.

    Attributes:
        path: Its keys and indices in the form of messages: "settings.operations[1].name".
        value: The checked value.
        origin: "file", "environment" or "default".
    """

    path: str
    value: Any
    origin: str


def read_node(environ, environment_keys=ENVIRONMENT_KEYS):
    """Reads and checks a node's configuration and fills in defaults.

    Args:
        environ: The environment; BALANCER_CONFIG names the file.
        environment_keys: Keys for which the environment overrides the file.

    Returns:
        The configuration as a dictionary in the form of `NODE_SCHEMA`, its settings and sections checked too.

    Raises:
        ConfigurationError: The configuration cannot be used.
    """
    tree = _read_file(environ.get("BALANCER_CONFIG"))
    discovery_in_file = tree.get("discovery")
    for key in environment_keys:
        if _in_environment(environ, key):
            tree[key] = environ[_variable(key)]
    tree.setdefault("folder", environ.get("TMPDIR"))
    configuration = validate(NODE_SCHEMA, tree)
    configuration[_DISCOVERY_IN_FILE] = discovery_in_file
    configuration["settings"] = check_settings(configuration["settings"], "settings.")
    _check_peers(configuration["peers"], configuration["settings"])
    if any(configuration[name] is not None for name in COMPONENT_SECTIONS):
        check_sections(configuration)
    return configuration


def _read_file(path):
    if not path:
        raise ConfigurationError("BALANCER_CONFIG is missing")
    try:
        with open(path, "rb") as file:
            tree = parse_node_file(file.read(MAX_FILE_BYTES + 1), os.fspath(path))
    except OSError as problem:
        raise ConfigurationError(f"BALANCER_CONFIG cannot be read: {problem.strerror}") from None
    if not isinstance(tree, dict):
        raise ConfigurationError("BALANCER_CONFIG is not an object")
    return tree


def _variable(key):
    return f"BALANCER_{key.upper()}"


def _in_environment(environ, key):
    return bool(environ.get(_variable(key)))


def _check_peers(peers, settings):
    """Checks that each node of the deployment has one address if nodes send each other messages."""
    node_count = settings["balancers"]
    needs_peers = settings["limits"]["peerMessages"] and node_count > 1
    if not peers and not needs_peers:
        return
    if len(peers) != node_count:
        raise ConfigurationError(f"setting peers has {len(peers)} of {node_count} nodes")
    if len({*peers}) < len(peers):
        raise ConfigurationError("setting peers has a duplicate address")


def values_in_force(environ, configuration, tree):
    """Yields an `EffectiveValue` for each value in force at a node.

    Args:
        environ: The environment that the configuration was read with.
        configuration: The result of `read_node`.
        tree: The result of `parse_node_file` for its file.
    """
    from_environment = {key for key in ENVIRONMENT_KEYS if _in_environment(environ, key)}
    for key, value in configuration.items():
        if key == _DISCOVERY_IN_FILE:
            continue
        for path, leaf, in_file in _leaves(value, tree.get(key, _ABSENT), (key,)):
            if key in from_environment:
                origin = "environment"
            else:
                origin = "file" if in_file else "default"
            yield EffectiveValue(path_text(path), leaf, origin)


_ABSENT = object()


def _leaves(value, source, path):
    """Yields (path, value, whether the file has it) for each leaf; a list of plain values is one leaf."""
    if isinstance(value, dict):
        for key, item in value.items():
            item_source = source.get(key, _ABSENT) if isinstance(source, dict) else _ABSENT
            yield from _leaves(item, item_source, (*path, key))
    elif isinstance(value, list) and value and isinstance(value[0], dict):
        for index, item in enumerate(value):
            is_in_source = isinstance(source, list) and index < len(source)
            yield from _leaves(item, source[index] if is_in_source else _ABSENT, (*path, index))
    else:
        yield path, value, source is not _ABSENT
