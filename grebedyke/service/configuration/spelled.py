"""Configuration as people write it: TOML, with units in values. Out comes what the JSON file would say.

No I/O. A key's name tells what it holds: `...Ms` a time in milliseconds, those of SECONDS a time in seconds,
those of SHARES a part of one.
"""

import re
import tomllib

SHARES = frozenset(("resendRatio", "coldFrom", "crossZone", "share", "drift"))
SECONDS = frozenset(("counts",))
QUANTITY = re.compile(r"\s*([0-9]+(?:\.[0-9]+)?)\s*(ms|s|min|h|%)\s*")
MS = {"ms": 1, "s": 1_000, "min": 60_000, "h": 3_600_000}


class Misspelt(Exception):
    """`path`: keys and indices down to the value; `why` goes on from its name."""

    def __init__(self, path, why):
        super().__init__(why)
        self.path, self.why = path, why


def read(text):
    """The tree of a TOML text; a fault of the form has the path () and tells its line itself."""
    try:
        return plain(tomllib.loads(text))
    except tomllib.TOMLDecodeError as problem:
        raise Misspelt((), f"is not TOML: {problem}") from None


def plain(value, path=()):
    """
    >>> plain({"windowMs": "2 s", "resendRatio": "17 %", "counts": "1 min", "name": "2 s of Pécs"})
    {'windowMs': 2000, 'resendRatio': 0.17, 'counts': 60, 'name': '2 s of Pécs'}
    >>> plain({"rules": {"coldFrom": "2 s"}})
    Traceback (most recent call last):
    grebedyke.service.configuration.spelled.Misspelt: is a share, not a time: '2 s'
    """
    if isinstance(value, dict):
        return {key: plain(x, (*path, key)) for key, x in value.items()}
    if isinstance(value, list):
        return [plain(x, (*path, i)) for i, x in enumerate(value)]
    if not isinstance(value, str) or not (match := QUANTITY.fullmatch(value)):
        return value
    number, unit, key = float(match[1]), match[2], next((p for p in reversed(path) if isinstance(p, str)), "")
    time, share = key.endswith("Ms") or key in SECONDS, key in SHARES
    if not (time or share):
        return value  # text that happens to look like a quantity; what wants a number says so itself
    if share != (unit == "%"):
        raise Misspelt(path, f"is a {'share, not a time' if share else 'time, not a share'}: {value!r}")
    number = number / 100 if share else number * MS[unit] / (1_000 if key in SECONDS else 1)
    return round(number, 9) if share or number % 1 else int(number)


def line_of(text, path):
    """The line (from 1) on which a TOML text has a path, or the nearest part of it that has a line; 1: none.

    >>> text = 'name = "n"\\n[settings]\\ntickMs = 5\\n[[settings.operations]]\\nname = "a"\\n' \\
    ...        '[[settings.operations]]\\nname = "b"\\nwindowMs = 3\\n'
    >>> [line_of(text, ("settings", "operations", 1, key)) for key in ("windowMs", "x")]
    [8, 6]
    >>> line_of(text, ("name",)), line_of(text, ("nowhere",))
    (1, 1)
    """
    table, seen, places = (), {}, {}
    for n, row in enumerate(text.split("\n"), 1):
        row = row.strip()
        if head := re.fullmatch(r"(\[\[?)\s*([^\]]+?)\s*\]\]?\s*(#.*)?", row):
            keys = tuple(key.strip().strip("\"'") for key in head[2].split("."))
            # Tables below the last row of an array belong to that row.
            table = ()
            for i, key in enumerate(keys):
                table = (*table, key)
                if head[1] == "[[" and i == len(keys) - 1:
                    seen[table] = seen.get(table, -1) + 1
                if table in seen:
                    table = (*table, seen[table])
            places.setdefault(table, n)
        elif item := re.match(r"([A-Za-z0-9_.\"'-]+)\s*=", row):
            keys = tuple(key.strip("\"'") for key in item[1].split("."))
            places.setdefault((*table, *keys), n)
    path = tuple(path)
    while path and path not in places:
        path = path[:-1]
    return places.get(path, 1)


def line_of_json(text, path):
    """The same for JSON.

    >>> line_of_json('{"a": 1,\\n "b": [{"c": "}"},\\n {"c": 2}]}', ("b", 1, "c"))
    3
    """
    places, stack, line, key = {}, [], 1, None
    for token in re.finditer(r'"(?:[^"\\\\]|\\\\.)*"|[\[\]{},:]|\n', text):
        word = token[0]
        if word == "\n":
            line += 1
        elif word in "[{":
            stack.append(0 if word == "[" else None)
            if word == "[":
                places.setdefault((*stack,), line)
        elif word in "]}":
            stack = stack[:-1]
        elif word == "," and stack and isinstance(stack[-1], int):
            stack[-1] += 1
            places.setdefault((*stack,), line)
        elif word[0] == '"' and stack and not isinstance(stack[-1], int):
            rest = text[token.end() :].lstrip() if key is None else ""
            if rest.startswith(":"):
                stack[-1] = word[1:-1]
                places.setdefault((*stack,), line)
    path = tuple(path)
    while path and path not in places:
        path = path[:-1]
    return places.get(path, 1)
