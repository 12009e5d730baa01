"""The lease holder, which grants shares of all limits to the nodes that request them. No I/O.

It stores nothing on disk: a restarted process is no longer the holder, and the next holder waits until all
earlier grants have ended.
"""

from typing import NamedTuple

from grebedyke.rate_limits import definitions
from grebedyke.rate_limits.allocation import AllocationTable, AllocationTimes
from grebedyke.rate_limits.definitions import LimitKind
from grebedyke.rate_limits.messages import ShareGrant

_RECOMPUTATIONS_PER_LEASE = 8


class ProcessKey(NamedTuple):
    """Identifies a process of a node; its successor may run at the same time with shares of its own.

    Attributes:
        node: The node.
        process: Number of the process, unique among the node's processes.
    """

    node: int
    process: int


class LeaseHolder:
    """Grants shares while this process is the lease holder.

    Attributes:
        tables: Each `AllocationTable` by the limit's wire identifier; empty if another process is the holder.
    """

    def __init__(self, context, limits):
        """Starts inactive; `context` is the node's `NodeContext`, `limits` are the limits in force."""
        self._terms = context.terms
        self._send = context.send
        self._started_at = 0
        self._sizes_by_node = {}
        self.tables = {}
        self._set_limits(limits)

    def start(self, now):
        """Starts granting as the new holder, with empty tables."""
        self._started_at = now
        self._sizes_by_node = {}
        self._build_tables()

    def stop(self):
        """Stops granting, as another process has become the holder."""
        self.tables = {}

    def change_limits(self, limits):
        """Applies changed limits; existing grants stay charged until they end."""
        self._set_limits(limits)
        self.update_tables()

    def takeover_wait_is_over(self, kind, now):
        """Returns whether all grants by a former holder for limits of this kind have ended."""
        return now >= self._started_at + self._terms.takeover_wait(kind)

    def receive_request(self, now, sender, request):
        """Grants shares to a node; called only while this process is confirmed as the holder."""
        key = ProcessKey(int(sender), int(request.process))
        self._record_sizes(sender, request.sizes_by_limit())
        usage = request.usage_by_limit()
        grantable_kinds = [kind for kind in LimitKind if self.takeover_wait_is_over(kind, now)]
        shares = []
        for wire_id, table in self.tables.items():
            if table.kind in grantable_kinds and (wire_id in usage or key in table.allocations):
                demand, in_flight = usage.get(wire_id, (0, 0))
                table.record_usage(now, key, int(request.received_number), demand, in_flight)
                amount = table.grant(now, key, int(request.number))
                if amount:
                    shares.append([wire_id, amount])
        limits_differ = request.fingerprint != self._fingerprint
        self._send(sender, ShareGrant(request.number, request.term, limits_differ, shares))

    def update_tables(self):
        """Applies changed sizes of limits if this process is the holder."""
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
        """Returns the grantable amount, according to the strictest settings of any node.

        Nodes have different settings while a changed configuration is being rolled out. The smallest size and
        the largest floor are safe for all of them.
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
