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

        >>> changes = ListUpdate(ListVersion(("h", 1), 9), 7, False, [])
        >>> [changes.continues(ListVersion(("h", 1), number)) for number in (6, 7, 8, None)]
        [False, True, True, False]
        >>> changes.continues(ListVersion(("h", 2), 7))
        False
        """
        if self.is_complete or self.after is None:
            return True
        is_same_source = applied.source == self.version.source
        return is_same_source and applied.number is not None and self.after <= applied.number
