"""Deltas between two plain values: a node that has the old value is sent only the changes."""


def delta_between(before, after):
    """Returns the delta that turns `before` into `after`.

    For two dicts the delta is [{changed key: delta or [value]}, [removed keys]], for other values [after].

    >>> delta = delta_between({"rev": 1, "at": {"a": 1, "b": 2}}, {"rev": 2, "at": {"b": 3}})
    >>> delta
    [{'rev': [2], 'at': [{'b': [3]}, ['a']]}, []]
    >>> apply_delta({"rev": 1, "at": {"a": 1, "b": 2}}, delta)
    {'rev': 2, 'at': {'b': 3}}
    """
    if not (isinstance(before, dict) and isinstance(after, dict)):
        return [after]
    changed = {
        key: delta_between(before[key], value) if key in before else [value]
        for key, value in after.items()
        if key not in before or before[key] != value
    }
    return [changed, [key for key in before if key not in after]]


def apply_delta(value, delta):
    """Returns a new value, `value` with a delta of `delta_between` applied; `value` is not modified."""
    if len(delta) == 1:
        return delta[0]
    changed, removed = delta
    remaining = {key: item for key, item in value.items() if key not in removed}
    return remaining | {key: apply_delta(value.get(key), item) for key, item in changed.items()}
