"""The discovery client: follows the endpoint list by consecutive long polls on one connection."""

import asyncio

import orjson
from loguru import logger

from grebedyke.units import TICKS_PER_MILLISECOND, TICKS_PER_SECOND
from grebedyke.wire.discovery_connection import DiscoveryConnection
from grebedyke.wire.discovery_settings import MAX_LIST_BYTES
from grebedyke.wire.endpoint_rows import parse_endpoint_rows
from grebedyke.wire.http_messages import request_head
from grebedyke.wire.list_update import ListUpdate, ListVersion

LIST_TARGET = b"/discovery/hosts"
# Ticks between an immediate answer without changes and the next poll, which must follow within 200 ms.
POLL_PAUSE = 100 * TICKS_PER_MILLISECOND
# An answer within this many ticks is a quick one; after several in a row polls start this far apart.
QUICK_ANSWER_TIME = 10 * TICKS_PER_MILLISECOND
MAX_QUICK_ANSWERS = 20
# Ticks for which the answer to a timed-out poll is still accepted.
LATE_ANSWER_TIME = TICKS_PER_SECOND
# Maximum number of doublings of the retry delay.
MAX_DOUBLINGS = 8


class DiscoveryClient:
    """Polls discovery for changes of the endpoint list, or for the complete list if versions do not match.

    The first poll and polls after a failure ask for an immediate answer: at process start and after an
    outage the node is expected to know all changes that discovery already has.

    Attributes:
        loop: The event loop.
        batch: The node's batch loop: clock, timers and input queue.
        address: Host and port of discovery.
        version: Number of the last version that was read, None to request the complete list. The updates up
            to it are applied or wait for a batch.
        settings: The current `DiscoverySettings`.
        max_list_bytes: Maximum size of an answer's body.
        on_list: Queued for the next batch; called with the time and the `ListUpdate`.
        on_failure: Queued for the next batch; called with the time after each failed poll.
        connection: The current connection, None if there is none.
        connect_task: The task that opens or has opened the connection.
        late_connection: Connection of a timed-out poll whose answer is still accepted.
        polling: Whether a poll is in progress.
        poll_number: Count of polls and of accepted late answers; identifies the timer of an earlier poll.
        poll_started: Start time of the last poll, in ticks.
        skips_wait: Whether the next poll asks for an immediate answer.
        quick_answers: Number of answers in a row that came within `QUICK_ANSWER_TIME`.
        failures: Number of failed polls since the last answer.
        failing: Whether a failure was logged and no answer has arrived since.
        closed: Whether `close` was called.
        first_result: Set when the first answer is applied, or on the first failure.
    """

    def __init__(self, loop, batch, address, version, settings, *, on_list, on_failure):
        self.loop = loop
        self.batch = batch
        self.address = address
        self.version = version
        self.settings = settings
        self.max_list_bytes = MAX_LIST_BYTES
        self.on_list = on_list
        self.on_failure = on_failure
        self.connection = None
        self.connect_task = None
        self.late_connection = None
        self.polling = False
        self.poll_number = 0
        self.poll_started = 0
        self.skips_wait = True
        self.quick_answers = 0
        self.failures = 0
        self.failing = False
        self.closed = False
        self.first_result = asyncio.Event()

    def apply_settings(self, settings):
        """Applies changed timing from the next poll on."""
        self.settings = settings

    # Polling.

    def poll(self, now=0):
        """Starts a poll, unless one is in progress."""
        if self.polling or self.closed:
            return
        self.polling = True
        self.poll_number += 1
        self.poll_started = self.batch.clock()
        # In an outage no answer arrives, so the poll times out some time after its wait.
        self.batch.call_later(
            self._wait() + self.settings.answer_grace, self.poll_timed_out, self.poll_number
        )
        if self.connection:
            self.send_poll()
        else:
            self.connect_task = self.loop.create_task(self._connect(self.address, self.poll_number))

    def _wait(self):
        # A request for the complete list is answered immediately.
        return 0 if self.version is None or self.skips_wait else self.settings.long_poll_wait

    async def _connect(self, address, poll_number):
        connection = None
        try:
            _, connection = await self.loop.create_connection(lambda: DiscoveryConnection(self), *address)
        except Exception as problem:
            # Not only OSError: an invalid host name raises another error, which must not stop the polling.
            if not isinstance(problem, OSError):
                logger.warning("discovery: cannot connect: {why}", event="list-odd", why=repr(problem))
        if poll_number != self.poll_number or not self.polling:
            # A newer poll has started in the meantime, or the client is closed.
            if connection:
                connection.close()
        elif connection and not connection.transport.is_closing():
            self.connection = connection
            self.send_poll()
        else:
            # Also if the connection was lost before this task resumed: connection_lost did not know it yet.
            self.poll_failed()

    def send_poll(self):
        """Sends the poll; without a version it requests the complete list."""
        target = LIST_TARGET
        if self.version is not None:
            target += b"?after=%d&wait_ms=%d" % (self.version, self._wait() // TICKS_PER_MILLISECOND)
        self.batch.metrics.count("lists")
        host, port = self.address
        self.connection.send(request_head(b"GET", target, b"%s:%d" % (host.encode(), port)))

    def set_address(self, host, port):
        """Switches to another discovery; answers and failures of the previous one are ignored from now on.

        Requests the complete list, as versions of two discoveries are not comparable.
        """
        if (host, port) == self.address or self.closed:
            return
        self.address = (host, port)
        self.version = None
        self._abandon_poll()
        self.poll()

    def request_complete_list(self, now):
        """Requests the complete list, after an update that could not be applied, with a pause before it."""
        self.version = None
        self._abandon_poll()
        self.batch.call_later(self.settings.max_retry_delay, self.poll)

    def _abandon_poll(self):
        """Ends the poll in progress; its answer is ignored."""
        self.polling = False
        self.skips_wait = True
        connection = self.connection
        self.connection = None
        self._drop_late_connection(self.batch.clock(), self.late_connection)
        if connection:
            connection.close()
        elif self.connect_task:
            self.connect_task.cancel()

    # Answers.

    def response_received(self, connection, response):
        """Called by a connection with a response of discovery.

        Raises:
            ValueError: The response is not an endpoint list; also KeyError, TypeError and AttributeError.
        """
        is_current = connection is self.connection and self.polling
        if connection is not self.late_connection and not is_current:
            connection.close()
            return
        if response.status != 200:
            raise ValueError(f"status {response.status}")
        listing = orjson.loads(response.body)
        version = int(listing["index"])
        rows = parse_endpoint_rows(listing)
        if connection is self.late_connection:
            self._switch_to_late_connection()
        self._drop_late_connection(self.batch.clock(), self.late_connection)
        self.polling = False
        self.skips_wait = False
        self.failures = 0
        if self.version is not None and version < self.version:
            self._reject_older_version(version)
            return
        self._accept_list(version, bool(listing.get("snapshot")), rows)
        if not connection.parser.keep_alive:
            self.connection = None
            connection.close()
        self._poll_again(bool(rows))

    def _switch_to_late_connection(self):
        """Continues on the late connection; with no other answer since, it matches this node's version."""
        newer = self.connection
        self.connection = self.late_connection
        self.late_connection = None
        self.poll_number += 1
        if newer:
            newer.abort()
        elif self.connect_task:
            self.connect_task.cancel()

    def _reject_older_version(self, version):
        """Requests the complete list: a lagging replica or a restarted discovery lists other changes."""
        logger.warning(
            "discovery: version {version} is older than {before}, requesting the complete list",
            event="list-older",
            version=version,
            before=self.version,
        )
        self.version = None
        self.batch.call_later(POLL_PAUSE, self.poll)

    def _accept_list(self, version, is_complete, rows):
        after = self.version
        self.version = version
        if self.failing:
            logger.info(
                "discovery is available again, version {version}", event="list-again", version=version
            )
            self.failing = False
        if is_complete or rows or version != after:
            update = ListUpdate(ListVersion(self.address, version), after, is_complete, rows)
            self.batch.enqueue(self.on_list, update)
        self._report_first_result()

    def _report_first_result(self):
        """Sets `first_result` after all that was read before is applied."""
        if not self.first_result.is_set():
            self.batch.enqueue(lambda now: self.first_result.set())

    def _poll_again(self, had_changes):
        elapsed = self.batch.clock() - self.poll_started
        self.quick_answers = self.quick_answers + 1 if elapsed < QUICK_ANSWER_TIME else 0
        if not had_changes and elapsed <= POLL_PAUSE:
            # Limits the polling rate if discovery answers immediately although it has no changes.
            self.batch.call_later(POLL_PAUSE, self.poll)
        elif self.quick_answers > MAX_QUICK_ANSWERS:
            self.batch.call_later(QUICK_ANSWER_TIME - elapsed, self.poll)
        else:
            self.poll()

    # Failures.

    def poll_timed_out(self, now, poll_number):
        """Ends a poll that was not answered in time.

        A busy discovery may take far longer than the grace. If every such poll were dropped with its
        connection, no answer would ever arrive, so the answer to one timed-out poll at a time is still
        accepted.
        """
        if not self.polling or poll_number != self.poll_number:
            return
        connection = self.connection
        self.connection = None
        if not connection:
            self.connect_task.cancel()
        elif self.late_connection:
            connection.abort()
        else:
            self.late_connection = connection
            self.batch.call_later(LATE_ANSWER_TIME, self._drop_late_connection, connection)
        self.poll_failed()

    def _drop_late_connection(self, now, connection):
        if connection and connection is self.late_connection:
            self.late_connection = None
            connection.abort()

    def connection_lost(self, connection):
        """Called by a connection after it is closed."""
        if self.late_connection is connection:
            self.late_connection = None
        if self.connection is connection:
            self.connection = None
            if self.polling:
                self.poll_failed()

    def poll_failed(self):
        """Ends a poll without an answer and schedules the next one."""
        self.polling = False
        self.skips_wait = True
        self._report_first_result()
        if not self.failing and not self.closed:
            logger.warning(
                "discovery is unavailable; continuing with the last list, version {version}",
                event="list-down",
                version=self.version,
            )
            self.failing = True
        self.batch.enqueue(self.on_failure)
        delay = self.settings.retry_delay << min(self.failures, MAX_DOUBLINGS)
        self.batch.call_later(min(delay, self.settings.max_retry_delay), self.poll)
        self.failures += 1

    def close(self):
        """Stops polling and closes the connections."""
        self.closed = True
        self.polling = False
        self._drop_late_connection(self.batch.clock(), self.late_connection)
        if self.connection:
            self.connection.close()
