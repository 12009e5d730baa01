"""The endpoint list for maintenance: which endpoints are healthy and when each was first listed. No I/O."""

from typing import NamedTuple

# The arrival time assumed for the endpoints of the first list, which count as long known.
LONG_AGO = -(2**40)

HEALTHY = "healthy"
GONE = "gone"


class Endpoint(NamedTuple):
    """An executor of the endpoint list, with the attributes that a plan's limits use.

    Attributes:
        name: Its name in the list.
        zone: Its failure domain.
        kind: Its machine type.
        cell: Its stripe within the zone.
        weight: Its capacity relative to other executors, as listed.
    """

    name: str
    zone: str
    kind: str
    cell: str
    weight: float


class ListedEndpoint(NamedTuple):
    """An endpoint with the state of its process according to the list.

    Attributes:
        endpoint: The executor.
        state: `HEALTHY`, or the reason why it is not healthy.
        started: Start time of its process according to the list, in milliseconds of Unix time, 0 if unknown;
            distinguishes one start from another.
    """

    endpoint: Endpoint
    state: str
    started: int

    @property
    def is_healthy(self):
        """Whether it is listed as healthy."""
        return self.state == HEALTHY


class _Start(NamedTuple):
    """A start of an endpoint's process, with the time at which this node first saw it listed, in ticks."""

    started: int
    first_listed_at: int


class KnownEndpoints:
    """The newest endpoint list, with the time at which each endpoint's current start was first listed.

    Attributes:
        listed: The listed endpoints, by name.
    """

    def __init__(self):
        self.listed: dict[str, ListedEndpoint] = {}
        # Includes endpoints that have left the list: an endpoint that returns with the same start is not new.
        self._starts: dict[str, _Start] = {}
        self._is_first_list = True

    def update(self, now, complete, rows):
        """Updates the endpoints from a full list or a change.

        Args:
            now: The node's clock, in ticks.
            complete: Whether `rows` is the full list.
            rows: (name, zone, kind, cell, state, since, weight) of each endpoint; `since` is the start time
                of its process in milliseconds of Unix time.
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
        """Returns the listed endpoint with this name, or None if it is not listed or not healthy."""
        listed = self.listed.get(name)
        return listed if listed is not None and listed.is_healthy else None

    def recent(self, now, duration):
        """Returns the names of endpoints whose current start was listed less than `duration` ticks ago."""
        return {name for name, start in self._starts.items() if now < start.first_listed_at + duration}
