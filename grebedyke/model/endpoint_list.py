"""The endpoint list as discovery, its changes and operators have it."""

from math import inf
from typing import NamedTuple
from zlib import crc32

from grebedyke.model.endpoint import Endpoint
from grebedyke.model.window_counter import WindowCounter
from grebedyke.units import TICKS_PER_SECOND

HEALTHY = "healthy"
GONE = "gone"
BANNED = "banned"
# Identifiers remembered beyond the list: so many for each endpoint of it, and so many more.
REMEMBERED_PER_ENDPOINT = 4
REMEMBERED_BESIDES = 1_000


class EndpointRow(NamedTuple):
    """One endpoint in a list or in a change of it.

    Attributes:
        id: The identifier by which the host addresses it.
        zone: Failure domain.
        kind: Machine type.
        cell: Stripe within the zone.
        state: "healthy", "draining" or "gone".
        started_at: When its process started; 0: long past.
        weight: Share of traffic, relative to the other endpoints.
    """

    id: object
    zone: str | None
    kind: str | None
    cell: object
    state: str
    started_at: int
    weight: float


class EndpointList:
    """The endpoint list as discovery, its changes and operators have it.

    Attributes:
        groups_per_zone: Groups that a zone's endpoints are split into by hash; 0: no coordinators.
        by_id: All endpoints that are listed or still have something open.
        healthy: Those that may get attempts, in order of rank.
        groups: Healthy endpoints by (zone, hash class).
        by_rank: All endpoints by rank.
        start_floors: By zone, the least times from sending to start (`Endpoint.start_floors`).
        largest_weight: Of the healthy endpoints.
        total_weight: Of the healthy endpoints.
        top_tier_share: Share of the endpoints that are in the upper tier.
        sends: Attempts sent by this node over the last 16 s.
        banned: By identifier, since when it is out at this node; kept though the list may lose it.
        returned: By identifier, (out since, back since) of endpoints that came back from a ban.
        known_ids: Identifiers that the list had of late, the newest last.

    >>> endpoints, row = EndpointList(0), EndpointRow("e", "a", "m", 0, "healthy", 0, 1)
    >>> endpoints.assign_tiers = lambda share: None
    >>> endpoints.update(10, True, [row])
    >>> endpoints.set_banned(20, "e", True), endpoints.set_banned(20, "x", True), endpoints.by_id["e"].state
    (True, False, 'banned')
    >>> endpoints.update(30, True, [row])
    >>> endpoints.by_id["e"].state, endpoints.set_banned(40, "e", False)
    ('banned', True)
    >>> endpoints.by_id["e"].state, endpoints.by_id["e"].started_at
    ('healthy', 40)
    """

    def __init__(self, groups_per_zone):
        self.groups_per_zone = groups_per_zone
        self.by_id = {}
        self.healthy = []
        self.groups = {}
        self.by_rank = {}
        self.start_floors = {}
        self.largest_weight = 1
        self.total_weight = 0
        self.top_tier_share = 0.0
        self.sends = WindowCounter(TICKS_PER_SECOND, 16)
        self.banned = {}
        self.returned = {}
        self.known_ids = {}

    def set_banned(self, now, id, banned, was_restarted=True):
        """Takes an endpoint out or puts it back, whatever the list says.

        Args:
            now: The time in ticks.
            id: Identifier of the endpoint.
            banned: Whether it is out from now on.
            was_restarted: Where it is put back: whether its process may have been restarted meanwhile. It is
                cold then, though the list may not show the new start yet.

        Returns:
            Whether the list ever had it.
        """
        endpoint = self.by_id.get(id)
        if banned and id in self.known_ids:
            self.banned.setdefault(id, now)
        elif id in self.banned:
            banned_since = self.banned.pop(id)
            if was_restarted:
                self.returned[id] = banned_since, now
        self.update(now, False, [row_of(endpoint)] if endpoint else [])
        return id in self.known_ids

    def has_banned(self):
        """Whether the list has a healthy endpoint that is banned here."""
        return any(endpoint.state == BANNED for endpoint in self.by_id.values())

    def record(self):
        """What a process that goes on with this node's work has to know, in plain types; see `restore`."""
        rows = [row_of(endpoint) for endpoint in self.by_id.values()]
        return {
            "rows": [tuple(row._replace(started_at=max(row.started_at, 0))) for row in rows],
            "banned": self.banned,
            "returned": self.returned,
            "names": [*self.known_ids],
            "sends": (self.sends.marks, self.sends.sums),
        }

    def restore(self, now, record):
        """Goes on with the `record` of another process on the same clock."""
        self.banned = record["banned"]
        self.returned = record["returned"]
        self.known_ids = dict.fromkeys(record["names"])
        # What the other process sent to endpoints that warm up counts against the same bound.
        self.sends.marks, self.sends.sums = record["sends"]
        self.update(now, True, [EndpointRow(*row) for row in record["rows"]])

    def update(self, now, replaces_all, rows):
        """Takes over a whole list (`replaces_all`) or the changed rows of one."""
        if replaces_all:
            for endpoint in self.by_id.values():
                endpoint.list_state = GONE
        for row in rows:
            self._take_row(now, row)
        while len(self.known_ids) > REMEMBERED_PER_ENDPOINT * len(self.by_id) + REMEMBERED_BESIDES:
            del self.known_ids[next(iter(self.known_ids))]
        self._refresh()
        self.assign_tiers(self.top_tier_share)

    def _take_row(self, now, row):
        id = row.id
        endpoint = self.by_id.get(id) or self.by_id.setdefault(id, Endpoint(id, crc32(str(id).encode())))
        self.known_ids.pop(id, None)
        self.known_ids[id] = None
        started_before = endpoint.started_at
        out_since, back_since = self.returned.get(id, (-inf, 0))
        if row.started_at <= out_since:
            row = row._replace(started_at=back_since or row.started_at)
        endpoint.take_row(row)
        if endpoint.started_at != started_before:
            endpoint.announced_at = now
        # One floor a zone: a node of a large fleet sees so few starts of each endpoint that each one's own
        # least would be a wait itself, and overload would not show.
        endpoint.start_floors = self.start_floors.setdefault(endpoint.zone, [inf, inf])

    def _refresh(self):
        """Reckons anew what follows from the rows."""
        for endpoint in self.by_id.values():
            by_hand = endpoint.id in self.banned and endpoint.list_state == HEALTHY
            endpoint.state = BANNED if by_hand else endpoint.list_state
        self.by_id = {
            id: endpoint
            for id, endpoint in self.by_id.items()
            if endpoint.state != GONE or endpoint.in_flight or endpoint.probe_sent_at
        }
        self.by_rank = {endpoint.rank: endpoint for endpoint in self.by_id.values()}
        self.healthy = sorted(
            (endpoint for endpoint in self.by_id.values() if endpoint.state == HEALTHY),
            key=lambda endpoint: endpoint.rank,
        )
        self.largest_weight = max((endpoint.weight for endpoint in self.healthy), default=1)
        self.total_weight = sum(endpoint.weight for endpoint in self.healthy)
        self.groups = {}
        for endpoint in self.healthy:
            hash_class = endpoint.rank % self.groups_per_zone if self.groups_per_zone else None
            endpoint.group = (endpoint.zone, hash_class) if self.groups_per_zone else None
            self.groups.setdefault(endpoint.group, []).append(endpoint)


def row_of(endpoint):
    """The row by which the list last had an endpoint."""
    return EndpointRow(
        endpoint.id,
        endpoint.zone,
        endpoint.kind,
        endpoint.cell,
        endpoint.list_state,
        endpoint.started_at,
        endpoint.weight,
    )
