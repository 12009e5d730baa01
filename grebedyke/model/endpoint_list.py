"""The endpoint list: the entries from discovery, combined with the operators' bans."""

from math import inf
from typing import NamedTuple
from zlib import crc32

from grebedyke.model.endpoint import Endpoint
from grebedyke.model.window_counter import WindowCounter
from grebedyke.units import TICKS_PER_SECOND

HEALTHY = "healthy"
GONE = "gone"
BANNED = "banned"
# Bound on `known_ids`: this number per listed endpoint plus a constant.
REMEMBERED_IDS_PER_ENDPOINT = 4
EXTRA_REMEMBERED_IDS = 1_000


class EndpointRow(NamedTuple):
    """Entry of an endpoint in the list or in an update of it.

    Attributes:
        id: The identifier by which the host addresses it.
        zone: Failure domain.
        kind: Machine type.
        cell: Stripe within the zone.
        state: "healthy", "draining" or "gone".
        started_at: Start time of its process; 0 if long past.
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
    """The endpoint list: the entries from discovery, combined with the operators' bans.

    The method `assign_tiers`, which is called after each update, is provided by the subclass `EndpointTable`.

    Attributes:
        groups_per_zone: Number of groups that a zone's endpoints are hashed into; 0 without coordinators.
        by_id: All endpoints that are listed or still have an open attempt or probe.
        healthy: Endpoints that are healthy in the list and not banned, in order of rank; ejected ones are
            included.
        groups: Healthy endpoints by `Endpoint.group`; all of them under None without coordinators.
        by_rank: All endpoints by rank.
        start_floors: By zone, the least times from send to start (`Endpoint.start_floors`).
        largest_weight: Largest weight of a healthy endpoint.
        total_weight: Sum of the weights of the healthy endpoints.
        top_tier_share: Share of the endpoints that are in the top tier.
        sends: WindowCounter of the attempts sent by this node over the last 16 s, less the rejected ones.
        banned: By identifier, the time since which it is banned at this node; kept if it leaves the list.
        lifted_bans: By identifier, the times (banned, lifted) of the last ban during which the
            process may have been restarted.
        known_ids: Identifiers that the list contained recently, the newest last.

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
        self.lifted_bans = {}
        self.known_ids = {}

    def set_banned(self, now, id, banned, was_restarted=True):
        """Bans an endpoint or lifts its ban, independently of its state in the list.

        Args:
            now: The time in ticks.
            id: Identifier of the endpoint.
            banned: Whether it is banned from now on.
            was_restarted: When a ban is lifted, whether the process may have been restarted during the ban.
                The endpoint is then treated as cold even if the list does not show the new start time yet.

        Returns:
            Whether the identifier is known from the list.
        """
        endpoint = self.by_id.get(id)
        if banned and id in self.known_ids:
            self.banned.setdefault(id, now)
        elif id in self.banned:
            banned_since = self.banned.pop(id)
            if was_restarted:
                self.lifted_bans[id] = banned_since, now
        self.update(now, False, [row_of(endpoint)] if endpoint else [])
        return id in self.known_ids

    def has_banned(self):
        """Returns whether a healthy endpoint of the list is banned at this node."""
        return any(endpoint.state == BANNED for endpoint in self.by_id.values())

    def snapshot(self):
        """Returns the state that a successor process of this node needs, in plain types; see `restore`."""
        rows = [row_of(endpoint) for endpoint in self.by_id.values()]
        return {
            "rows": [tuple(row._replace(started_at=max(row.started_at, 0))) for row in rows],
            "banned": self.banned,
            "returned": self.lifted_bans,
            "names": [*self.known_ids],
            "sends": (self.sends.bucket_numbers, self.sends.counts),
        }

    def restore(self, now, snapshot):
        """Loads the `snapshot` of a predecessor process that uses the same clock."""
        self.banned = snapshot["banned"]
        self.lifted_bans = snapshot["returned"]
        self.known_ids = dict.fromkeys(snapshot["names"])
        # Attempts that the other process sent to warming endpoints count against the same bound.
        self.sends.bucket_numbers, self.sends.counts = snapshot["sends"]
        self.update(now, True, [EndpointRow(*row) for row in snapshot["rows"]])

    def update(self, now, replaces_all, rows):
        """Applies a complete list (`replaces_all`) or the changed rows of one."""
        if replaces_all:
            for endpoint in self.by_id.values():
                endpoint.list_state = GONE
        for row in rows:
            self._apply_row(now, row)
        while len(self.known_ids) > REMEMBERED_IDS_PER_ENDPOINT * len(self.by_id) + EXTRA_REMEMBERED_IDS:
            del self.known_ids[next(iter(self.known_ids))]
        self._rebuild_indexes()
        self.assign_tiers(self.top_tier_share)

    def _apply_row(self, now, row):
        id = row.id
        endpoint = self.by_id.get(id) or self.by_id.setdefault(id, Endpoint(id, crc32(str(id).encode())))
        self.known_ids.pop(id, None)
        self.known_ids[id] = None
        started_before = endpoint.started_at
        banned_at, lifted_at = self.lifted_bans.get(id, (-inf, 0))
        # Until the list shows a start after the ban, the end of the ban counts as the start.
        if row.started_at <= banned_at:
            row = row._replace(started_at=lifted_at or row.started_at)
        endpoint.update_from_row(row)
        if endpoint.started_at != started_before:
            endpoint.announced_at = now
        # The floor is kept per zone: in a large fleet a node sees so few starts of each endpoint that the
        # least of a single endpoint would itself include a wait and hide overload.
        endpoint.start_floors = self.start_floors.setdefault(endpoint.zone, [inf, inf])

    def _rebuild_indexes(self):
        """Rebuilds everything derived from the rows: states, indexes, weights and groups."""
        for endpoint in self.by_id.values():
            is_banned = endpoint.id in self.banned and endpoint.list_state == HEALTHY
            endpoint.state = BANNED if is_banned else endpoint.list_state
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
            group_index = endpoint.rank % self.groups_per_zone if self.groups_per_zone else None
            endpoint.group = (endpoint.zone, group_index) if self.groups_per_zone else None
            self.groups.setdefault(endpoint.group, []).append(endpoint)


def row_of(endpoint):
    """Returns the row that reproduces the endpoint's entry in the list."""
    return EndpointRow(
        endpoint.id,
        endpoint.zone,
        endpoint.kind,
        endpoint.cell,
        endpoint.list_state,
        endpoint.started_at,
        endpoint.weight,
    )
