"""Finds the line number of a value in a configuration file, for error messages. No I/O.

The parsers return no line numbers, so the text is scanned again, only in as much detail as this needs.
"""

import re

_TABLE_HEADER = re.compile(r"(\[\[?)\s*([^\]]+?)\s*\]\]?\s*(#.*)?")
_TOML_ITEM = re.compile(r"([A-Za-z0-9_.\"'-]+)\s*=")
_JSON_TOKEN = re.compile(r'"(?:[^"\\]|\\.)*"|[\[\]{},:]|\n')


def line_in_toml(text, path):
    r"""Returns the line number, from 1, of a path's value in a TOML text.

    If the path has no line, the line of its nearest parent that has one; otherwise 1.

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
        if head := _TABLE_HEADER.fullmatch(row):
            keys = [key.strip().strip("\"'") for key in head[2].split(".")]
            current_table = _table_path(keys, head[1] == "[[", last_indices)
            lines.setdefault(current_table, line)
        elif item := _TOML_ITEM.match(row):
            keys = [key.strip("\"'") for key in item[1].split(".")]
            lines.setdefault((*current_table, *keys), line)
    return _nearest(lines, path)


def _table_path(keys, starts_array_row, last_indices):
    """Returns the path of a table from its header; a table below an array belongs to the array's last row.

    Args:
        keys: The keys of the header.
        starts_array_row: Whether the header starts a new row of an array.
        last_indices: Index of the last row of each array by path; updated for a new row.
    """
    path = ()
    for position, key in enumerate(keys):
        path = (*path, key)
        if starts_array_row and position == len(keys) - 1:
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
    position_path = []  # Path of the current token: an index for each list, a key or None for each object.
    line = 1
    for match in _JSON_TOKEN.finditer(text):
        token = match[0]
        if token == "\n":
            line += 1
        elif token == "{":
            position_path.append(None)
        elif token == "[":
            position_path.append(0)
            lines.setdefault(tuple(position_path), line)
        elif token in "]}":
            del position_path[-1:]  # The list is empty if the text has too many closing brackets.
        elif token == "," and position_path and isinstance(position_path[-1], int):
            position_path[-1] += 1
            lines.setdefault(tuple(position_path), line)
        elif token[0] == '"' and position_path and not isinstance(position_path[-1], int):
            if text[match.end() :].lstrip().startswith(":"):
                position_path[-1] = token[1:-1]
                lines.setdefault(tuple(position_path), line)
    return _nearest(lines, path)


def _nearest(lines, path):
    """Returns the line of the longest prefix of the path that has one, else 1."""
    path = tuple(path)
    while path and path not in lines:
        path = path[:-1]
    return lines.get(path, 1)
