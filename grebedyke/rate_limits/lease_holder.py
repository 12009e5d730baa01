"""The lease holder's side of sharing: it grants shares of all limits to the nodes that ask. No I/O.

It keeps nothing on disk: after a restart it is another process, and whoever is the holder next waits until
all that was granted before has ended.
"""

from typing import NamedTuple

from grebedyke.rate_limits import definitions
from grebedyke.rate_limits.allocation import AllocationTable, AllocationTimes
from grebedyke.rate_limits.definitions import LimitKind
from grebedyke.rate_limits.messages import ShareGrant

_RECOMPUTATIONS_PER_LEASE = 8


class ProcessKey(NamedTuple):
    """One process of a node; its successor may run beside it with shares of its own.

    Attributes:
        node: The node.
        process: Tells the node's processes apart.
    """

    node: int
    process: int


class LeaseHolder:
    """Grants shares while this process is the lease holder.

    Attributes:
        tables: `AllocationTable` by the limit's wire identifier; empty while another process is the holder.
    """

    def __init__(self, context, limits):
        """Begins idle; `context` is the node's `NodeContext`, `limits` are those in force."""
        self._terms = context.terms
        self._send = context.send
        self._started_at = 0
        self._sizes_by_node = {}
        self.tables = {}
        self._set_limits(limits)

    def start(self, now):
        """Becomes the holder, with empty tables."""
        self._started_at = now
        self._sizes_by_node = {}
        self._build_tables()

    def stop(self):
        """Another process has become the holder."""
        self.tables = {}

    def change_limits(self, limits):
        """Puts changed limits in force; what was granted stays charged until it ends."""
        self._set_limits(limits)
        self.update_tables()

    def grants_limits_of(self, kind, now):
        """Returns whether all that a former holder granted of limits of that kind has ended."""
        return now >= self._started_at + self._terms.takeover_wait(kind)

    def receive_request(self, now, sender, request):
        """Grants a node its shares; called only while this process is certain to be the holder."""
        key = ProcessKey(int(sender), int(request.process))
        self._record_sizes(sender, request.sizes_by_limit())
        usage = request.usage_by_limit()
        open_kinds = [kind for kind in LimitKind if self.grants_limits_of(kind, now)]
        shares = []
        for wire_id, table in self.tables.items():
            if table.kind in open_kinds and (wire_id in usage or key in table.allocations):
                demand, in_flight = usage.get(wire_id, (0, 0))
                table.record_usage(now, key, int(request.received_number), demand, in_flight)
                amount = table.grant(now, key, int(request.number))
                if amount:
                    shares.append([wire_id, amount])
        limits_differ = request.fingerprint != self._fingerprint
        self._send(sender, ShareGrant(request.number, request.term, limits_differ, shares))

    def update_tables(self):
        """Puts changed sizes of limits in force, if this process is the holder."""
        if self.tables:
            self._build_tables()

    def _set_limits(self, limits):
        self._limits = limits
        self._fingerprint = definitions.fingerprint(limits)

    def _record_sizes(self, node, sizes):
        if sizes != self._sizes_by_node.get(node, {}):
            self._sizes_by_node[node] = sizes
            self.update_tables()

    def _build_tables(self):
        former_tables = self.tables
        self.tables = {}
        for limit in self._limits:
            table = former_tables.get(limit.wire_id)
            total = self._total(limit)
            if table and table.kind is limit.kind:
                table.resize(total, limit.floor)
            else:
                table = AllocationTable(limit.kind, total, limit.floor, self._allocation_times())
            self.tables[limit.wire_id] = table

    def _total(self, limit):
        """Returns what there is to grant, by the strictest settings of any node.

        While a changed file spreads, nodes differ. The smallest size and the largest floor are safe for all.
        """
        reported = [sizes[limit.wire_id] for sizes in self._sizes_by_node.values() if limit.wire_id in sizes]
        size = min([limit.size, *(size for size, _ in reported)])
        floor = max([limit.floor, *(floor for _, floor in reported)])
        return definitions.grantable_amount(size, floor, self._terms.node_count)

    def _allocation_times(self):
        return AllocationTimes(
            recompute_interval=self._terms.lease // _RECOMPUTATIONS_PER_LEASE,
            grant_lifetime=self._terms.grant_bound(),
            run_on=self._terms.run_on_bound(),
        )
