"""Lists the keys that the schemas have, with what each may hold and its default. No I/O.

It is read out of the schemas that check, so that no page or message can say anything else than they do.
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

_LEAST_SIMILARITY = 0.5
"""Of an unknown key to one that is suggested in its place, from 0 to 1."""

_TYPE_DESCRIPTIONS = {str: "text", bool: "true or false", object: "anything", dict: "a table"}


class Key(NamedTuple):
    """A key of the configuration.

    Attributes:
        path: The keys that lead to it, with [] for each row of a list: "settings.operations[].name".
        accepts: What it may hold, in words.
        required: Whether it has to be there.
        default: What holds without it; None where it is required or has no default.
    """

    path: str
    accepts: str
    required: bool
    default: AnyType


class UnknownKey(NamedTuple):
    """A key that no schema has.

    Attributes:
        path: The keys that lead to it, with [] for each row of a list.
        nearest: The known key beside it that it resembles most, None where it resembles none.
    """

    path: str
    nearest: str | None


def all_keys():
    """Returns all keys of a node's configuration, in the order of the page that describes them."""
    modules = settings_modules()
    elsewhere = ("settings", *modules)
    keys = [key for key in keys_of(NODE_SCHEMA) if key.path not in elsewhere]
    for name, module in modules.items():
        keys += keys_of(module.SECTION, name)
    keys += keys_of(SETTINGS_SCHEMA, "settings")
    return keys


def keys_of(schema, path=""):
    """Yields a `Key` for each key below a schema, in its order; `path` leads to the schema."""
    for marker, rule in getattr(schema, "schema", schema).items():
        name = str(marker.schema if isinstance(marker, Marker) else marker)
        key_path = f"{path}.{name}" if path else name
        container = _container_of(rule)
        if isinstance(container, list):
            row = _container_of(container[0])
            if isinstance(row, Schema):
                yield from keys_of(row, f"{key_path}[]")
            else:
                yield Key(f"{key_path}[]", describe(container[0]), False, None)
        elif isinstance(container, Schema):
            yield from keys_of(container, key_path)
        else:
            yield Key(key_path, describe(rule), isinstance(marker, Required), _default_of(marker))


def _default_of(marker):
    default = getattr(marker, "default", UNDEFINED)
    return None if default is UNDEFINED else default()


def _container_of(rule):
    """Returns the table or list that a rule of several steps begins with, else the rule itself."""
    if isinstance(rule, All):
        for step in rule.validators:
            container = _container_of(step)
            if isinstance(container, (Schema, list)):
                return container
    return rule


def describe(rule):
    """Returns in words what a rule accepts.

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
    """Returns the first `UnknownKey` of a tree, None where all its keys are known.

    Args:
        known_paths: Paths of all keys, as `Key.path`.
        tree: What was read.
        path: The path that leads to the tree.

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
        if not _leads_to_any(key_path, known_paths):
            return UnknownKey(key_path, _nearest_key(key, path, known_paths))
        unknown = first_unknown_key(known_paths, value, key_path)
        if unknown:
            return unknown
    return None


def _leads_to_any(path, known_paths):
    return any(known == path or known.startswith((path + ".", path + "[]")) for known in known_paths)


def _nearest_key(key, parent_path, known_paths):
    """Returns the known key below the parent that resembles `key` most, or None."""
    prefix = f"{parent_path}." if parent_path else ""
    siblings = {
        re.split(r"[.\[]", known.removeprefix(prefix))[0] for known in known_paths if known.startswith(prefix)
    }
    nearest = get_close_matches(key, sorted(siblings), 1, _LEAST_SIMILARITY)
    return nearest[0] if nearest else None
