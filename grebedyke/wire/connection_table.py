"""The accepted connections, and which of them are closed where descriptors are short."""

from typing import NamedTuple

from grebedyke.units import TICKS_PER_MILLISECOND

# Descriptors for connections beyond those that are turned away, in the time until those close.
SPARE_CONNECTIONS = 6
# At the limit, a message that is incomplete for so many ticks costs its connection: an honest peer has
# written the whole of it by then.
INCOMPLETE_LIMIT = 300 * TICKS_PER_MILLISECOND
# A connection that was set up at least so many ticks ago has been read: it may be closed as silent.
UNREAD_TIME = 30 * TICKS_PER_MILLISECOND
# Ticks that a connection has for its first valid message. It is checked each quarter of a second, so a silent
# peer gets its 408 within 2.5 s.
FIRST_MESSAGE_LIMIT = 2_200 * TICKS_PER_MILLISECOND


class ConnectionLimits(NamedTuple):
    """The client listener's share of the node's descriptors.

    Attributes:
        max_connections: Connections that are served; a sixteenth more are accepted and answered 503.
        max_requesters: Connections that may stay open between two requests.
    """

    max_connections: int
    max_requesters: int


class ConnectionTable:
    """All accepted connections by what they are doing; the maps keep the order in which they came to it.

    Attributes:
        batch: The node's batches, for the time.
        limits: The `ConnectionLimits`.
        accepted: All connections that are up.
        idle: Proven connections between two messages.
        unproven: Connections between two messages that never carried a valid request or call-back.
        incomplete: Connections that have yet to send a whole message, with the time since when.
        requesters: Connections that carried a request and count against `max_requesters`.
    """

    def __init__(self, batch, limits):
        self.batch = batch
        self.limits = limits
        self.accepted = {}
        self.idle = {}
        self.unproven = {}
        self.incomplete = {}
        self.requesters = {}

    def can_accept(self, arriving):
        """Returns whether there is a descriptor for one more, with `arriving` accepted and not yet up."""
        # Some beyond those that are turned away, whose connections are not closed yet.
        return len(self.accepted) + arriving < self._ceiling() + SPARE_CONNECTIONS

    def add(self, connection):
        """Takes in a connection that is up, and closes another if there are too many.

        Accepting must not meet the limit on descriptors, so those who never sent anything valid make room
        first: proven clients may have nothing but their open connection, and a crowd comes by hundreds. The
        newcomer itself is never closed: its request may be with the kernel already and would be lost.
        """
        now = self.batch.clock()
        self.accepted[connection] = None
        if len(self.accepted) > self.limits.max_connections:
            candidate = self._least_useful(now)
            if candidate:
                self.close(candidate)
            else:
                connection.over_limit = True
        self.incomplete[connection] = now

    def _least_useful(self, now):
        """Returns the connection that makes room for a newcomer, None if each may still be of use."""
        if self.unproven:
            return next(iter(self.unproven))
        oldest = next(iter(self.incomplete), None)
        silent_time = now - self.incomplete[oldest] if oldest else 0
        if silent_time > INCOMPLETE_LIMIT:
            return oldest
        if not self._is_above_ceiling():
            return None
        # One that came in this pass of the event loop may have written and not been read.
        return oldest if silent_time > UNREAD_TIME else next(iter(self.idle), None)

    def evict_silent(self, now, most):
        """Closes up to `most` connections of silent peers, or else the one that is idle longest."""
        silent = [
            connection
            for connection, since in self.incomplete.items()
            if now - since > UNREAD_TIME and not connection.proven
        ]
        candidates = [*self.unproven, *silent] or [*self.idle][:1]
        for connection in candidates[:most]:
            self.close(connection)

    def close(self, connection):
        """Closes a connection; it stays among the accepted ones until asyncio reports its end."""
        self._forget(connection)
        connection.close()

    def remove(self, connection):
        """Drops a connection that has ended."""
        self.accepted.pop(connection, None)
        self._forget(connection)

    def _forget(self, connection):
        for group in (self.idle, self.unproven, self.incomplete, self.requesters):
            group.pop(connection, None)

    def restart_clock(self, connection):
        """Counts the time for a connection's first message from now on, when reading it begins."""
        if connection in self.incomplete:
            self.incomplete[connection] = self.batch.clock()

    def request_received(self, connection):
        """Notes that a connection's message is complete and is a client's request."""
        self.incomplete.pop(connection, None)

    def request_begins(self, connection):
        """Notes that a connection's request is taken.

        Clients may hold only so many descriptors: of many that ask once and stay, the longest idle go.
        """
        connection.proven = True
        self.idle.pop(connection, None)
        self.requesters[connection] = None
        if len(self.requesters) > self.limits.max_requesters:
            longest = next((other for other in self.idle if not other.is_executor), None)
            if longest:
                self.close(longest)

    def reclassify(self, connection):
        """Notes whether a connection is between two messages, within one, or has a request open."""
        self.idle.pop(connection, None)
        self.unproven.pop(connection, None)
        is_free = connection in self.accepted and connection.open_request is None
        if is_free and connection.parser.has_partial_message():
            # The time that was noted first stays: bytes that trickle in give no more time.
            self.incomplete.setdefault(connection, self.batch.clock())
            return
        self.incomplete.pop(connection, None)
        if is_free:
            group = self.idle if connection.proven else self.unproven
            group[connection] = None

    def adopted(self, connection):
        """Notes that a proven connection was taken over from another process, between two messages."""
        if connection in self.incomplete and not connection.parser.has_partial_message():
            if not connection.is_executor:
                self.requesters[connection] = None
            self.reclassify(connection)

    def overdue(self, now, message_timeout):
        """Returns the connections whose message is incomplete for too long, `message_timeout` if proven."""
        return [
            connection
            for connection, since in self.incomplete.items()
            if now - since > (message_timeout if connection.proven else FIRST_MESSAGE_LIMIT)
            and not connection.closes_when_flushed
        ]

    def is_busy(self):
        """Returns whether clients that wait for a response, and executors, take up all connections.

        Executors' call-backs end that state. Clients that say nothing are closed as room is needed: counted
        in, a crowd that comes again and again had most requests turned away, with their connections there.
        """
        idle_clients = sum(not connection.is_executor for connection in self.idle)
        silent = len(self.unproven) + len(self.incomplete) + idle_clients
        return len(self.accepted) - silent > self._ceiling()

    def has_clients(self):
        """Returns whether a client's connection is open, on which a request may come or be completed.

        One just accepted, or half read, counts as well: its last byte may be with the kernel.
        """
        return any(not connection.is_executor for connection in self.accepted)

    def resting_clients(self):
        """Returns the connections between two messages on which no executor makes its call-backs."""
        return [connection for connection in (*self.idle, *self.unproven) if not connection.is_executor]

    def _ceiling(self):
        return self.limits.max_connections + self.limits.max_connections // 16

    def _is_above_ceiling(self):
        return len(self.accepted) > self._ceiling()
