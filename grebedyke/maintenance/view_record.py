"""The node's view of the rollout on its disk, so that a restart does not forget what is out. No I/O."""

from typing import NamedTuple

from grebedyke.consensus import records
from grebedyke.consensus.actions import PersistRecord
from grebedyke.errors import CorruptRecordError
from grebedyke.maintenance.rollout import Rollout
from grebedyke.units import TICKS_PER_SECOND

RECORD_FILE = "view"
# How long after a failed write the next one begins.
RETRY_DELAY = TICKS_PER_SECOND
# The revision on disk before anything is.
NOTHING_PERSISTED = -1


class _Write(NamedTuple):
    """A write that is under way: its number, and the revision that it puts on the disk."""

    number: int
    revision: int


class ViewRecord:
    """What of the view is on the disk, and what has still to be written.

    Attributes:
        fleet: The fleet's name; a record of another fleet is refused.
        node_id: This node's number; a record of another node is refused.
        persisted_revision: The newest revision that is known to be on the disk.
        is_outdated: Whether the view has changed since the last write began.
    """

    def __init__(self, fleet, node_id):
        self.fleet = fleet
        self.node_id = node_id
        self.persisted_revision = NOTHING_PERSISTED
        self.is_outdated = False
        self._write: _Write | None = None
        self._retry_at = 0

    def restore(self, data):
        """Returns the rollout of the record, that of no revision where it is missing or cannot be read.

        A node without a record hears of the rollout from the voters and excludes all endpoints until then.

        Raises:
            ForeignRecordError: The record is another node's or another fleet's.
        """
        if not data:
            return Rollout()
        try:
            rollout = Rollout.decode(records.decode(self.fleet, self.node_id, data)["board"])
        except (CorruptRecordError, KeyError, TypeError, ValueError):
            return Rollout()
        self.persisted_revision = rollout.revision
        return rollout

    def can_write(self, now):
        """Returns whether there is something to write and no earlier write is in its way."""
        return self.is_outdated and self._write is None and now >= self._retry_at

    def start_write(self, number, rollout):
        """Returns the action that writes the rollout."""
        self.is_outdated = False
        self._write = _Write(number, rollout.revision)
        data = records.encode(self.fleet, self.node_id, {"board": rollout.encode()})
        return PersistRecord(RECORD_FILE, number, data)

    def finish_write(self, now, number, succeeded):
        """Takes the report on a write; returns whether a newer revision may be on the disk by it."""
        if self._write is None or number != self._write.number:
            return False
        revision = self._write.revision
        self._write = None
        if succeeded:
            self.persisted_revision = max(self.persisted_revision, revision)
        else:
            self.is_outdated = True
            self._retry_at = now + RETRY_DELAY
        return succeeded
