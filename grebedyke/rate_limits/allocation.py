"""The lease holder's allocation of one limit: grants in force and the target of each process. No I/O.

Each process is charged the largest of its grants that are not known to have ended, or its usage if that is
larger. A new grant never raises the sum of all charges above the grantable amount of the limit.
"""

from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from grebedyke.rate_limits.definitions import LimitKind


class AllocationTimes(NamedTuple):
    """The durations used by an allocation table, in ticks by the holder's clock.

    Attributes:
        recompute_interval: Time between two recomputations of the targets.
        grant_lifetime: How long a grant may be in force at the node that received it.
        run_on: How long requests admitted under a grant may run after its end.
    """

    recompute_interval: int
    grant_lifetime: int
    run_on: int


# An amount granted in answer to one share request: the request's number, the amount in units of the limit,
# and the tick by the holder's clock at which it expires. This is a plain tuple because the holder of a large
# fleet creates thousands of them a second, and a named tuple takes several times as long to create.
Grant = tuple[int, int, int]


@dataclass(slots=True)
class Allocation:
    """The allocation of a limit to one process of a node.

    Attributes:
        grants: The grants that the process may have received, oldest first.
        demand: Its demand beyond its floor, in units of the limit.
        in_use: Its requests in flight beyond its floor; 0 for a rate limit.
        requested_at: Tick of its last share request.
        charged: The amount charged to it, in units of the limit.
        target: Maximum amount of its next grant, in units of the limit.
    """

    grants: deque[Grant] = field(default_factory=deque)
    demand: int = 0
    in_use: int = 0
    requested_at: int = 0
    charged: int = 0
    target: int = 0

    def recompute_charge(self):
        """Charges the maximum that this process may be using; returns the increase of the charge.

        This is the largest of its grants, or its usage if that is larger. As messages can be lost or delayed,
        any of the grants may be the one that the process received last.
        """
        charged = self.in_use
        for _, amount, _ in self.grants:
            if amount > charged:
                charged = amount
        growth = charged - self.charged
        self.charged = charged
        return growth


class AllocationTable:
    """The allocations of one limit, by process.

    Attributes:
        kind: The limit's `LimitKind`.
        total: The grantable amount, in units of the limit.
        floor: The amount that each node may use without a grant, in units of the limit.
        allocations: Each `Allocation` by the key of its process, in the order of their first requests.
        granted: Sum of the charges of all processes, in units of the limit.
    """

    def __init__(self, kind, total, floor, times):
        """Starts without allocations; `times` is an `AllocationTimes`."""
        self.kind = kind
        self.total = total
        self.floor = floor
        self.allocations = {}
        self.granted = 0
        self._recompute_interval = times.recompute_interval
        self._grant_lifetime = times.grant_lifetime
        self._counts_in_flight = kind is LimitKind.CONCURRENCY
        self._run_on = times.run_on if self._counts_in_flight else 0
        self._recomputed_at = None
        self._rotation = 0

    def resize(self, total, floor):
        """Applies the amounts of a changed limit; the targets are recomputed at the next grant."""
        self.total = total
        self.floor = floor
        self._recomputed_at = None

    def record_usage(self, now, key, received_request, demand, in_use):
        """Records the usage that a process reported in a share request.

        Args:
            now: The current tick.
            key: The process.
            received_request: Number of the newest request whose grant it has received; it no longer uses any
                earlier grant.
            demand: Its demand, including its floor.
            in_use: Its requests in flight, including those under its floor.
        """
        allocation = self.allocations.get(key)
        if allocation is None:
            allocation = self.allocations[key] = Allocation()
        grants = allocation.grants
        while grants:
            request_number, _, _ = grants[0]
            if request_number >= received_request:
                break
            grants.popleft()
        allocation.demand = max(demand - self.floor, 0)
        allocation.requested_at = now
        allocation.in_use = max(in_use - self.floor, 0) if self._counts_in_flight else 0
        self.granted += allocation.recompute_charge()

    def grant(self, now, key, request_number):
        """Returns the amount granted to a known process in answer to the request with this number."""
        allocation = self.allocations[key]
        if self._recomputed_at is None or now >= self._recomputed_at + self._recompute_interval:
            self.recompute_targets(now)
        available = max(self.total - (self.granted - allocation.charged), 0)
        amount = min(allocation.target, available)
        expires_at = now + self._grant_lifetime + self._run_on
        allocation.grants.append((request_number, amount, expires_at))
        self.granted += allocation.recompute_charge()
        return amount

    def recompute_targets(self, now):
        """Drops expired grants and divides the total among the live processes."""
        self._recomputed_at = now
        self._rotation += 1
        for key, allocation in [*self.allocations.items()]:
            self._expire(now, key, allocation)
        live = [
            allocation
            for allocation in self.allocations.values()
            if now < allocation.requested_at + self._grant_lifetime
        ]
        targets = water_fill([allocation.demand for allocation in live], self.total, self._rotation)
        for allocation, target in zip(live, targets, strict=True):
            allocation.target = target

    def _expire(self, now, key, allocation):
        """Drops the expired grants of a process, and its allocation once nothing can be in use any more."""
        grants = allocation.grants
        while grants:
            _, _, expires_at = grants[0]
            if expires_at > now:
                break
            grants.popleft()
        if now >= allocation.requested_at + self._grant_lifetime + self._run_on:
            allocation.in_use = 0
            allocation.demand = 0
            if not grants:
                self.granted -= allocation.charged
                del self.allocations[key]
                return
        self.granted += allocation.recompute_charge()


def water_fill(demands, total, rotation=0):
    """Divides `total` into integer parts by max-min fairness, using the water-filling algorithm.

    Each part is the demand, capped at a common level. Surplus beyond all demands is divided equally, so that
    a process can use some at once when its demand grows. The units that remain after rounding are assigned
    round-robin, starting at `rotation`, to prevent starvation.

    >>> water_fill([10, 1, 10], 9), water_fill([1, 1], 10)
    ([4, 1, 4], [5, 5])
    >>> water_fill([5, 5, 5], 2, 0), water_fill([5, 5, 5], 2, 1)
    ([1, 1, 0], [0, 1, 1])
    >>> water_fill([], 5), water_fill([0, 0, 0], 2, 1), water_fill([7], 0)
    ([], [0, 1, 1], [0])
    """
    if not demands:
        return []
    count = len(demands)
    level = _water_level(demands, total)
    parts = [min(demand, level) for demand in demands]
    remaining = total - sum(parts)
    all_satisfied = sum(demands) <= total
    if all_satisfied:
        equal_part = remaining // count
        parts = [part + equal_part for part in parts]
        remaining -= count * equal_part
    for offset in range(count):
        index = (rotation + offset) % count
        if remaining and (parts[index] < demands[index] or all_satisfied):
            parts[index] += 1
            remaining -= 1
    return parts


def _water_level(demands, total):
    """Returns the common level at which demands are capped; smaller demands are met in full."""
    remaining = total
    level = 0
    for satisfied, demand in enumerate(sorted(demands)):
        level = remaining // (len(demands) - satisfied)
        if demand > level:
            return level
        remaining -= demand
        level = demand
    return level
