"""What has changed between two plain values, so that a node that has the one need not be sent the other."""


def delta_between(before, after):
    """Returns what makes `after` out of `before`.

    That is [delta or [value] by changed key, keys that are gone] where both are tables, else [after].

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
    """Returns a new value, that of `delta_between`; the old one stays as it was."""
    if len(delta) == 1:
        return delta[0]
    changed, gone = delta
    remaining = {key: item for key, item in value.items() if key not in gone}
    return remaining | {key: apply_delta(value.get(key), item) for key, item in changed.items()}
