"""What changed between two plain values, so that who has the one need not be sent the other. No I/O."""


def difference(before, after):
    """What makes `after` out of `before`: [changed by key, keys that are gone], or [after] as it is.

    >>> change = difference({"rev": 1, "at": {"a": 1, "b": 2}}, {"rev": 2, "at": {"b": 3}})
    >>> change
    [{'rev': [2], 'at': [{'b': [3]}, ['a']]}, []]
    >>> patched({"rev": 1, "at": {"a": 1, "b": 2}}, change)
    {'rev': 2, 'at': {'b': 3}}
    """
    if not (isinstance(before, dict) and isinstance(after, dict)):
        return [after]
    changed = {
        key: difference(before[key], value) if key in before else [value]
        for key, value in after.items()
        if key not in before or before[key] != value
    }
    return [changed, [key for key in before if key not in after]]


def patched(value, change):
    """A value of its own: the old one stays as it was."""
    if len(change) == 1:
        return change[0]
    changed, gone = change
    kept = {key: x for key, x in value.items() if key not in gone}
    return kept | {key: patched(value.get(key), x) for key, x in changed.items()}
