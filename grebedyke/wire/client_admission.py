"""Limits what client connections make this node hold, and tells operators what it refused and to whom."""

from loguru import logger

from grebedyke import request_trace
from grebedyke.model.refusal import RefusalReason
from grebedyke.units import TICKS_PER_MILLISECOND, TICKS_PER_SECOND
from grebedyke.wire.message_memory import BYTES_PER_KB, MessageMemory
from grebedyke.wire.peer_counts import PeerCounts
from grebedyke.wire.response_pace import CALL_BACK_UNITS_PER_INTERVAL, ResponsePace

# Refused messages of one address between two reports that are worth a log line.
FLOOD_MESSAGES = 200
# Ticks for which a client may leave an answer unread, however little memory there is.
UNREAD_ANSWER_TIME = TICKS_PER_SECOND


class ClientAdmission:
    """The limits on all connections of the client listener together.

    Attributes:
        batch: The node's `BatchLoop`, for its clock.
        metrics: The node's `Metrics`.
        memory: The `MessageMemory` of incomplete messages and of the bodies of open requests.
        unread: The `MessageMemory` of answers that clients have not read, with the same bound.
        pace: The `ResponsePace` of messages that are no requests.
        call_back_pace: The `ResponsePace` of acknowledgements to call-backs about this node's requests.
        refused: The `PeerCounts` of refused messages since the last report.
    """

    def __init__(self, batch, memory):
        self.batch = batch
        self.metrics = batch.metrics
        self.memory = memory
        self.unread = MessageMemory(memory.max_bytes)
        self.pace = ResponsePace(batch)
        self.call_back_pace = ResponsePace(batch, CALL_BACK_UNITS_PER_INTERVAL)
        self.refused = PeerCounts()

    # Memory of messages.

    def update_memory(self, connection):
        """Records the memory of a connection's message, and refuses others if there is too much."""
        self.memory.update(connection, connection.held_bytes())
        if self.memory.is_exceeded():
            self._free_memory()

    def has_room(self, connection, size):
        """Returns whether a connection's request with a body of `size` bytes may be accepted."""
        if self.memory.has_room(connection, size):
            return True
        self._count_lack_of_memory()
        return False

    def _free_memory(self):
        """Refuses incomplete messages, those of unproven connections and the oldest first.

        A request that was accepted is never refused.
        """
        incomplete = [each for each in self.memory.held if each.open_request is None]
        for connection in sorted(incomplete, key=lambda each: each.proven):
            if not self.memory.is_exceeded():
                return
            self._count_lack_of_memory()
            connection.refuse_incomplete_message()
            self.memory.update(connection, 0)

    def update_unread(self, connection):
        """Records the memory of an unread answer, and drops the oldest ones if there are too many.

        They have a bound of their own: clients that do not read keep no request from being accepted.
        """
        self.unread.update(connection, connection.unread_bytes())
        latest = self.batch.clock() - UNREAD_ANSWER_TIME
        for holder in list(self.unread.held):
            if not self.unread.is_exceeded() or holder.unread_since > latest:
                return
            self._count_lack_of_memory()
            self.unread.update(holder, 0)
            holder.end_unread()

    def _count_lack_of_memory(self):
        if self.metrics.count_and_may_log(RefusalReason.NO_MEMORY):
            logger.warning(
                "clients' messages hold {held} kB and unread answers {unread} kB, of {limit} kB each: "
                "some messages are answered 503 or some answers dropped",
                event="no-memory",
                held=self.memory.held_kb(),
                unread=self.unread.held_kb(),
                limit=self.memory.max_bytes // BYTES_PER_KB,
            )

    # Connections and refused messages.

    def connection_ended(self, connection):
        """Releases what is held for a connection and counts why it ended."""
        self.memory.update(connection, 0)
        self.unread.update(connection, 0)
        self.pace.forget(connection)
        self.call_back_pace.forget(connection)
        self.metrics.count(connection.end_reason)
        request_trace.connection_ended(connection)

    def message_refused(self, connection, status):
        """Counts a message that is answered with an error status, as it is no sound request."""
        self.metrics.count_refused_message(status)
        self.refused.add(connection.peer_host)

    def report(self):
        """Logs the address that sent the most refused messages since the last report, if there were many."""
        busiest = self.refused.busiest()
        if busiest and busiest[1] >= FLOOD_MESSAGES:
            self._log_flood(*busiest)
        self.refused.clear()
        self.pace.clear_record()

    def _log_flood(self, address, count):
        logger.warning(
            "clients of {address} sent {count} messages that were refused; "
            "{delayed} answers to all clients were held back, for up to {wait_ms} ms",
            event="flood",
            address=address,
            count=count,
            delayed=self.pace.delayed,
            wait_ms=self.pace.longest_wait / TICKS_PER_MILLISECOND,
        )
