"""The node's view of the rollout on disk, which preserves the exclusions across a restart. No I/O."""

from typing import NamedTuple

from grebedyke.consensus import records
from grebedyke.consensus.actions import PersistRecord
from grebedyke.errors import CorruptRecordError
from grebedyke.maintenance.rollout import Rollout
from grebedyke.units import TICKS_PER_SECOND

RECORD_FILE = "view"
# Delay before a failed write is retried.
RETRY_DELAY = TICKS_PER_SECOND
# Value of `persisted_revision` while there is no revision on disk.
NOTHING_PERSISTED = -1


class _Write(NamedTuple):
    """A write in progress: its number and the revision that it writes."""

    number: int
    revision: int


class ViewRecord:
    """Tracks the copy of the view on disk and when it has to be written.

    Attributes:
        fleet: The fleet's name; a record of another fleet is rejected.
        node_id: This node's number; a record of another node is rejected.
        persisted_revision: The newest revision that is known to be on disk.
        is_outdated: Whether the view has changed since the last write started, or that write failed.
    """

    def __init__(self, fleet, node_id):
        self.fleet = fleet
        self.node_id = node_id
        self.persisted_revision = NOTHING_PERSISTED
        self.is_outdated = False
        self._write: _Write | None = None
        self._retry_at = 0

    def restore(self, data):
        """Returns the rollout of the record, or an initial rollout if the record is missing or corrupt.

        A node without a record excludes all endpoints until it has received the rollout from the voters.

        Raises:
            ForeignRecordError: The record belongs to another node or another fleet.
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
        """Returns whether a write is needed, none is in progress and the retry delay has passed."""
        return self.is_outdated and self._write is None and now >= self._retry_at

    def start_write(self, number, rollout):
        """Returns the action that writes the rollout."""
        self.is_outdated = False
        self._write = _Write(number, rollout.revision)
        data = records.encode(self.fleet, self.node_id, {"board": rollout.encode()})
        return PersistRecord(RECORD_FILE, number, data)

    def finish_write(self, now, number, succeeded):
        """Handles the result of a write; returns whether it may have put a newer revision on disk."""
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
