"""The endpoint list as maintenance sees it: who is healthy, and since when each was seen. No I/O."""

from typing import NamedTuple

# When the endpoints of the first list were seen: they are taken to have been there for long.
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


class _Sighting(NamedTuple):
    """When one start of an endpoint was first seen, in ticks of this node's clock."""

    started: int
    seen_at: int


class EndpointList:
    """The newest endpoint list, and when this node first saw each endpoint's present start.

    Attributes:
        listed: The endpoints on the list, by name.
    """

    def __init__(self):
        self.listed: dict[str, ListedEndpoint] = {}
        # Kept for endpoints that have left the list, too: one that comes back unchanged is not new.
        self._sightings: dict[str, _Sighting] = {}
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
            sighting = self._sightings.get(name)
            if sighting is None or sighting.started != started:
                seen_at = LONG_AGO if self._is_first_list else now
                self._sightings[name] = _Sighting(started, seen_at)
        if rows:
            self._is_first_list = False

    def healthy(self):
        """Returns the healthy endpoints, sorted by name."""
        return [listed.endpoint for _, listed in sorted(self.listed.items()) if listed.is_healthy]

    def find_healthy(self, name):
        """Returns the listed endpoint of that name if it is healthy, else None."""
        listed = self.listed.get(name)
        return listed if listed is not None and listed.is_healthy else None

    def seen_for_less_than(self, now, duration):
        """Returns the names whose present start this node has seen for less than `duration` ticks."""
        return {name for name, sighting in self._sightings.items() if now < sighting.seen_at + duration}
