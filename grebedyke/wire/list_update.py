"""Updates of the endpoint list, and the versions of the lists that they apply to."""

from typing import NamedTuple


class ListVersion(NamedTuple):
    """Version of an endpoint list; versions of different discovery services are not comparable.

    Attributes:
        source: Host and port of the discovery service.
        number: Its number for the version; None if it is not known which changes the list contains.
    """

    source: tuple[str, int]
    number: int | None


# Version of an endpoint list before the first one is applied.
NO_LIST = ListVersion(("", 0), None)


class ListUpdate(NamedTuple):
    """A complete endpoint list, or the changes from an earlier version of it.

    Attributes:
        version: The `ListVersion` of a list after the update.
        after: Number of the version from which on the changes are contained; None if this is not known.
        is_complete: Whether the rows are the complete list.
        rows: The rows, a list of `ListedEndpoint`.
    """

    version: ListVersion
    after: int | None
    is_complete: bool
    rows: list

    def continues(self, applied):
        """Returns whether a list of the `ListVersion` `applied` contains all that precedes the changes.

        Not if it contains later changes, either: these rows would undo them.

        >>> changes = ListUpdate(ListVersion(("h", 1), 9), 7, False, [])
        >>> [changes.continues(ListVersion(("h", 1), number)) for number in (6, 7, 9, 10, None)]
        [False, True, True, False, False]
        >>> changes.continues(ListVersion(("h", 2), 7))
        False
        """
        if self.is_complete or self.after is None:
            return True
        if applied.source != self.version.source or applied.number is None:
            return False
        return self.after <= applied.number <= self.version.number

    def is_newer_than(self, applied):
        """Returns whether the update brings a list of the `ListVersion` `applied` to a later version.

        >>> changes = ListUpdate(ListVersion(("h", 1), 9), 7, False, [])
        >>> [changes.is_newer_than(ListVersion(("h", 1), number)) for number in (6, 7, 9, 10, None)]
        [False, True, False, False, False]
        >>> complete = changes._replace(is_complete=True)
        >>> [complete.is_newer_than(ListVersion(("h", 1), number)) for number in (6, 9, None)]
        [True, False, True]
        >>> complete.is_newer_than(ListVersion(("h", 2), 6))
        False
        """
        if applied.source != self.version.source or self.version.number is None:
            return False
        if applied.number is None:
            return self.is_complete
        is_later = applied.number < self.version.number
        return is_later and (self.is_complete or (self.after is not None and self.after <= applied.number))
