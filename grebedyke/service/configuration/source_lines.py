"""Finds the line of a configuration file on which a value stands, for messages. No I/O.

Parsers give values without their places, so the text is read once more, only as closely as a place needs.
"""

import re

_TABLE_HEAD = re.compile(r"(\[\[?)\s*([^\]]+?)\s*\]\]?\s*(#.*)?")
_TOML_ITEM = re.compile(r"([A-Za-z0-9_.\"'-]+)\s*=")
_JSON_TOKEN = re.compile(r'"(?:[^"\\]|\\.)*"|[\[\]{},:]|\n')


def line_in_toml(text, path):
    r"""Returns the line, from 1, on which a TOML text has the value of a path.

    Where the path has no line of its own, that of the nearest part that leads to it; 1 where there is none.

    >>> text = 'name = "n"\n[settings]\ntickMs = 5\n[[settings.operations]]\nname = "a"\n' \
    ...        '[[settings.operations]]\nname = "b"\nwindowMs = 3\n'
    >>> [line_in_toml(text, ("settings", "operations", 1, key)) for key in ("windowMs", "x")]
    [8, 6]
    >>> line_in_toml(text, ("name",)), line_in_toml(text, ("nowhere",))
    (1, 1)
    """
    current_table = ()
    last_indices = {}
    lines = {}
    for line, row in enumerate(text.split("\n"), 1):
        row = row.strip()
        if head := _TABLE_HEAD.fullmatch(row):
            keys = [key.strip().strip("\"'") for key in head[2].split(".")]
            current_table = _table_path(keys, head[1] == "[[", last_indices)
            lines.setdefault(current_table, line)
        elif item := _TOML_ITEM.match(row):
            keys = [key.strip("\"'") for key in item[1].split(".")]
            lines.setdefault((*current_table, *keys), line)
    return _nearest(lines, path)


def _table_path(keys, begins_row, last_indices):
    """Returns the path of a table by its head; tables below the last row of an array belong to that row.

    Args:
        keys: The keys of the head.
        begins_row: Whether the head begins a new row of an array.
        last_indices: By the path of each array the index of its last row; a new row is added.
    """
    path = ()
    for position, key in enumerate(keys):
        path = (*path, key)
        if begins_row and position == len(keys) - 1:
            last_indices[path] = last_indices.get(path, -1) + 1
        if path in last_indices:
            path = (*path, last_indices[path])
    return path


def line_in_json(text, path):
    r"""Returns the same as `line_in_toml` for a JSON text.

    >>> line_in_json('{"a": 1,\n "b": [{"c": "}"},\n {"c": 2}]}', ("b", 1, "c"))
    3
    >>> line_in_json('{"a": "x\\ty",\n "b": 2,\n "c": 3}', ("c",))
    3
    """
    lines = {}
    place = []  # The path of what is being read: an index for each list, a key or None for each object.
    line = 1
    for match in _JSON_TOKEN.finditer(text):
        token = match[0]
        if token == "\n":
            line += 1
        elif token == "{":
            place.append(None)
        elif token == "[":
            place.append(0)
            lines.setdefault(tuple(place), line)
        elif token in "]}":
            del place[-1:]  # Nothing is there to close where the fault is in the form itself.
        elif token == "," and place and isinstance(place[-1], int):
            place[-1] += 1
            lines.setdefault(tuple(place), line)
        elif token[0] == '"' and place and not isinstance(place[-1], int):
            if text[match.end() :].lstrip().startswith(":"):
                place[-1] = token[1:-1]
                lines.setdefault(tuple(place), line)
    return _nearest(lines, path)


def _nearest(lines, path):
    """Returns the line of the longest beginning of the path that has one, else 1."""
    path = tuple(path)
    while path and path not in lines:
        path = path[:-1]
    return lines.get(path, 1)
