"""The endpoint list as maintenance needs it: who is healthy, and since when each is known. No I/O."""

from typing import NamedTuple

# When the endpoints of the first list came: they are taken to have been there for long.
LONG_AGO = -(2**40)

HEALTHY = "healthy"
GONE = "gone"


class Endpoint(NamedTuple):
    """An executor of the endpoint list, with what a plan's limits go by.

    Attributes:
        name: Its name in the list.
        zone: Its failure domain.
        kind: Its machine type.
        cell: Its stripe.
        weight: Its size in slots.
    """

    name: str
    zone: str
    kind: str
    cell: str
    weight: float


class ListedEndpoint(NamedTuple):
    """An endpoint with what the list says of its process.

    Attributes:
        endpoint: The executor.
        state: `HEALTHY`, or why it is not.
        started: When its process started, by the list; it tells one start from another.
    """

    endpoint: Endpoint
    state: str
    started: int

    @property
    def is_healthy(self):
        """Whether the list has it as healthy."""
        return self.state == HEALTHY


class _Start(NamedTuple):
    """One start of an endpoint, and when this node first heard of it, in ticks of its clock."""

    started: int
    first_listed_at: int


class KnownEndpoints:
    """The newest endpoint list, and since when this node knows each endpoint's present start.

    Attributes:
        listed: The endpoints on the list, by name.
    """

    def __init__(self):
        self.listed: dict[str, ListedEndpoint] = {}
        # Kept for endpoints that have left the list, too: one that comes back unchanged is not new.
        self._starts: dict[str, _Start] = {}
        self._is_first_list = True

    def update(self, now, complete, rows):
        """Takes over a list, or a change of it.

        Args:
            now: The node's clock, in ticks.
            complete: Whether `rows` is the whole list.
            rows: (name, zone, kind, cell, state, since, weight) of each endpoint.
        """
        if complete:
            self.listed = {}
        for name, zone, kind, cell, state, started, weight in rows:
            if state == GONE:
                self.listed.pop(name, None)
                continue
            endpoint = Endpoint(name, zone, kind, cell, weight)
            self.listed[name] = ListedEndpoint(endpoint, state, started)
            start = self._starts.get(name)
            if start is None or start.started != started:
                first_listed_at = LONG_AGO if self._is_first_list else now
                self._starts[name] = _Start(started, first_listed_at)
        if rows:
            self._is_first_list = False

    def healthy(self):
        """Returns the healthy endpoints, sorted by name."""
        return [listed.endpoint for _, listed in sorted(self.listed.items()) if listed.is_healthy]

    def find_healthy(self, name):
        """Returns the listed endpoint of that name if it is healthy, else None."""
        listed = self.listed.get(name)
        return listed if listed is not None and listed.is_healthy else None

    def recent(self, now, duration):
        """Returns the names of endpoints whose present start is known for less than `duration` ticks."""
        return {name for name, start in self._starts.items() if now < start.first_listed_at + duration}
