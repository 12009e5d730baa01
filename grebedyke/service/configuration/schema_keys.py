"""Lists all keys of the schemas with their accepted values and defaults. No I/O.

The list is derived from the schemas that check the configuration, so pages and messages always agree with
them.
"""

import re
from difflib import get_close_matches
from typing import Any as AnyType
from typing import NamedTuple

from voluptuous import All, Any, In, Schema
from voluptuous.schema_builder import UNDEFINED, Marker, Required

from grebedyke.service.configuration.node_schema import NODE_SCHEMA
from grebedyke.service.configuration.sections import settings_modules
from grebedyke.service.configuration.settings_schema import SETTINGS_SCHEMA

_MIN_SIMILARITY = 0.5
"""Minimum similarity of an unknown key to the key that a message suggests, from 0 to 1."""

_TYPE_DESCRIPTIONS = {str: "text", bool: "true or false", object: "anything", dict: "a table"}


class Key(NamedTuple):
    """A key of the configuration.

    Attributes:
        path: The keys that lead to it, with [] for each row of a list: "settings.operations[].name".
        accepts: Description of the accepted values.
        required: Whether the key must be present.
        default: The default value; None if the key is required or has no default.
    """

    path: str
    accepts: str
    required: bool
    default: AnyType


class UnknownKey(NamedTuple):
    """A key that is not part of any schema.

    Attributes:
        path: The keys that lead to it, with [] for each row of a list.
        nearest: The most similar known key of the same table; None if none is similar.
    """

    path: str
    nearest: str | None


def all_keys():
    """Returns all keys of a node's configuration, in the order of the reference page."""
    modules = settings_modules()
    listed_separately = ("settings", *modules)
    keys = [key for key in keys_in_schema(NODE_SCHEMA) if key.path not in listed_separately]
    for name, module in modules.items():
        keys += keys_in_schema(module.SECTION, name)
    keys += keys_in_schema(SETTINGS_SCHEMA, "settings")
    return keys


def keys_in_schema(schema, path=""):
    """Yields a `Key` for each key of a schema, in its order; `path` is the path of the schema."""
    for marker, rule in getattr(schema, "schema", schema).items():
        name = str(marker.schema if isinstance(marker, Marker) else marker)
        key_path = f"{path}.{name}" if path else name
        container = _container_of(rule)
        if isinstance(container, list):
            row = _container_of(container[0])
            if isinstance(row, Schema):
                yield from keys_in_schema(row, f"{key_path}[]")
            else:
                yield Key(f"{key_path}[]", describe(container[0]), False, None)
        elif isinstance(container, Schema):
            yield from keys_in_schema(container, key_path)
        else:
            yield Key(key_path, describe(rule), isinstance(marker, Required), _default_of(marker))


def _default_of(marker):
    default = getattr(marker, "default", UNDEFINED)
    return None if default is UNDEFINED else default()


def _container_of(rule):
    """Returns the first table or list among the steps of a rule, else the rule itself."""
    if isinstance(rule, All):
        for step in rule.validators:
            container = _container_of(step)
            if isinstance(container, (Schema, list)):
                return container
    return rule


def describe(rule):
    """Returns a description of the values that a rule accepts.

    >>> describe(Any(None, str)), describe([bool])
    ('nothing or text', 'a list of: true or false')
    """
    if isinstance(rule, In):
        return "one of " + ", ".join(map(str, rule.container))
    if isinstance(rule, Any):
        return " or ".join("nothing" if option is None else describe(option) for option in rule.validators)
    if isinstance(rule, All):
        return describe(rule.validators[0])
    if isinstance(rule, list):
        return f"a list of: {describe(rule[0])}"
    if isinstance(rule, type):
        return _TYPE_DESCRIPTIONS[rule]
    return getattr(rule, "description", None) or repr(rule)


def first_unknown_key(known_paths, tree, path=""):
    """Returns the first `UnknownKey` of a tree; None if all its keys are known.

    Args:
        known_paths: Paths of all keys, as `Key.path`.
        tree: A parsed file or a part of it.
        path: The path of the tree.

    >>> first_unknown_key(["rules.coldFrom", "parties[].name"], {"rules": {"coldForm": 1}})
    UnknownKey(path='rules.coldForm', nearest='coldFrom')
    >>> first_unknown_key(["rules.coldFrom", "parties[].name"], {"parties": [{"name": "t"}], "rules": {}})
    """
    if isinstance(tree, list):
        unknown_keys = (first_unknown_key(known_paths, row, f"{path}[]") for row in tree)
        return next((unknown for unknown in unknown_keys if unknown), None)
    if not isinstance(tree, dict):
        return None
    for key, value in tree.items():
        key_path = f"{path}.{key}" if path else key
        if not _is_known_path_or_prefix(key_path, known_paths):
            return UnknownKey(key_path, _nearest_key(key, path, known_paths))
        unknown = first_unknown_key(known_paths, value, key_path)
        if unknown:
            return unknown
    return None


def _is_known_path_or_prefix(path, known_paths):
    return any(known == path or known.startswith((path + ".", path + "[]")) for known in known_paths)


def _nearest_key(key, parent_path, known_paths):
    """Returns the known key below the parent that is most similar to `key`; None if none is similar."""
    prefix = f"{parent_path}." if parent_path else ""
    siblings = {
        re.split(r"[.\[]", known.removeprefix(prefix))[0] for known in known_paths if known.startswith(prefix)
    }
    nearest = get_close_matches(key, sorted(siblings), 1, _MIN_SIMILARITY)
    return nearest[0] if nearest else None
