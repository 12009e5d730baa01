"""Rule: the coordinator of a group of endpoints is determined by the group's hash.

There is no election: all nodes compute the same coordinator from the group's name and the number of nodes. If
a coordinator does not answer, the requesting node treats it as dead or unreachable and fails over to the node
with the next number for four seconds. That node starts with an empty table of the group.
"""

from typing import NamedTuple
from zlib import crc32

from grebedyke.units import TICKS_PER_SECOND

FAILOVER_TIME = 4 * TICKS_PER_SECOND


class _Failover(NamedTuple):
    """Number of consecutive coordinators of a group that are skipped, and until when, in ticks."""

    nodes: int
    until: int


class GroupCoordinators:
    """Assigns coordinators to groups.

    Attributes:
        node_count: Number of nodes.
        failovers: By group, the failover caused by coordinators that did not answer.
    """

    def __init__(self, node_count):
        self.node_count = node_count
        self.failovers = {}

    def adopt_settings(self, fresh):
        """Adopts the settings of a newly built object and keeps the current failovers."""
        self.node_count = fresh.node_count

    def reset_failover(self):
        """Discards all failovers, after a reload that changed the numbers of the nodes or the groups."""
        self.failovers = {}

    def node_for(self, group, now):
        """Returns the number of the node that coordinates the group."""
        return (crc32(repr(group).encode()) + self._skipped_nodes(group, now)) % self.node_count

    def on_answer_timeout(self, group, now):
        """Fails over from the node that did not answer to the node with the next number."""
        self.failovers[group] = _Failover(self._skipped_nodes(group, now) + 1, now + FAILOVER_TIME)

    def _skipped_nodes(self, group, now):
        """Returns the number of consecutive coordinators to skip."""
        failover = self.failovers.get(group)
        return failover.nodes if failover and now < failover.until else 0
