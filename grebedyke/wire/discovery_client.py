"""The discovery client: follows the endpoint list by one long poll after the other on one connection."""

import asyncio
from typing import NamedTuple

import orjson
from loguru import logger

from grebedyke.errors import HttpProtocolError
from grebedyke.units import TICKS_PER_MILLISECOND, TICKS_PER_SECOND
from grebedyke.wire.connection import Connection
from grebedyke.wire.endpoint_rows import parse_endpoint_rows
from grebedyke.wire.http_messages import request_head

LIST_TARGET = b"/discovery/hosts"
# Ticks between an answer without news that came at once and the next poll, which must come within 200 ms.
POLL_PAUSE = 100 * TICKS_PER_MILLISECOND
# Ticks for which the answer to a poll that was given up is still taken.
LATE_ANSWER_TIME = TICKS_PER_SECOND
# A complete list may be far larger than a job's body.
MAX_LIST_BYTES = 16 << 20
# The delay after failures is doubled at most so often.
MAX_DOUBLINGS = 8


class DiscoverySettings(NamedTuple):
    """Timing of the discovery client, in ticks.

    Attributes:
        long_poll_wait: How long discovery may hold back an answer without news.
        answer_grace: How much longer than that an answer is waited for.
        retry_delay: Delay after a first failure; it doubles with each further one.
        max_retry_delay: Upper bound of that delay. Where lists are polled, discovery is shared by all nodes,
            and what it turns away would only come again.
    """

    long_poll_wait: int
    answer_grace: int
    retry_delay: int
    max_retry_delay: int


class DiscoveryConnection(Connection):
    """A connection to discovery.

    Attributes:
        client: The `DiscoveryClient` that it belongs to.
    """

    def __init__(self, client):
        super().__init__(client.batch.touch, reads_responses=True, max_body_bytes=MAX_LIST_BYTES)
        self.client = client

    def process_input(self):
        """Hands each response to the client; one that cannot be used ends the connection."""
        try:
            while response := self.parser.next_message():
                self.client.response_received(self, response)
        except (HttpProtocolError, ValueError, KeyError, TypeError, AttributeError) as problem:
            logger.warning("discovery: answer not understood: {why}", event="list-fault", why=repr(problem))
            self.abort()

    def eof_received(self):
        """Called by asyncio when discovery has ended its side, which may complete a response."""
        response = self.parser.end_of_stream()
        if response:
            self.client.response_received(self, response)
        return False

    def connection_lost(self, exc):
        """Called by asyncio when the connection has ended."""
        self.client.connection_lost(self)


class DiscoveryClient:
    """Polls discovery for changes of the endpoint list, and for the complete list where versions do not fit.

    The first poll, and those after a failure, wait for nothing: discovery says at once what it has, and what
    it has counts as known from a process's first moment and from discovery's return on.

    Attributes:
        loop: The event loop.
        batch: The node's batches: time, timers and inputs.
        address: Host and port of discovery.
        version: Version of the list that this node has, None to ask for the complete list.
        settings: The `DiscoverySettings` in force.
        on_list: Input of the next batch: called with the time, whether the rows are the complete list, and
            the list of `ListedEndpoint`.
        on_failure: Input of the next batch: called with the time after each poll that has failed.
        connection: The connection in use, None if there is none.
        connect_task: The task that opened it, or still does.
        late_connection: Connection of a poll that was given up, whose answer is still taken.
        polling: Whether a poll is under way.
        poll_number: Number of polls and of late answers taken: tells a time limit of an earlier poll.
        poll_started: When the last poll began.
        skips_wait: Whether the next poll is to be answered at once.
        failures: Failed polls since the last answer.
        failing: Whether the failure is logged, and no answer has come since.
        closed: Whether the client has ended.
        first_result: Set with the first answer or failure.
    """

    def __init__(self, loop, batch, address, version, settings, *, on_list, on_failure):
        self.loop = loop
        self.batch = batch
        self.address = address
        self.version = version
        self.settings = settings
        self.on_list = on_list
        self.on_failure = on_failure
        self.connection = None
        self.connect_task = None
        self.late_connection = None
        self.polling = False
        self.poll_number = 0
        self.poll_started = 0
        self.skips_wait = True
        self.failures = 0
        self.failing = False
        self.closed = False
        self.first_result = asyncio.Event()

    def apply_settings(self, settings):
        """Puts changed timing in force for the next poll."""
        self.settings = settings

    # Polling.

    def poll(self, now=0):
        """Begins a poll, unless one is under way."""
        if self.polling or self.closed:
            return
        self.polling = True
        self.poll_number += 1
        self.poll_started = self.batch.clock()
        # An outage shows as silence: the poll ends some time after its wait is over.
        self.batch.call_later(
            self._wait() + self.settings.answer_grace, self.poll_timed_out, self.poll_number
        )
        if self.connection:
            self.send_poll()
        else:
            self.connect_task = self.loop.create_task(self._connect(self.address, self.poll_number))

    def _wait(self):
        # A complete list waits for nothing.
        return 0 if self.version is None or self.skips_wait else self.settings.long_poll_wait

    async def _connect(self, address, poll_number):
        connection = None
        try:
            _, connection = await self.loop.create_connection(lambda: DiscoveryConnection(self), *address)
        except Exception as problem:
            # Keeps the polling alive: a host name that no resolver takes is no OSError.
            if not isinstance(problem, OSError):
                logger.warning("discovery: no connection: {why}", event="list-odd", why=repr(problem))
        if poll_number != self.poll_number or not self.polling:
            # The client has moved on meanwhile, or is closed.
            if connection:
                connection.close()
        elif connection and not connection.transport.is_closing():
            self.connection = connection
            self.send_poll()
        else:
            # Also where the connection was lost before this task went on: connection_lost had no client yet.
            self.poll_failed()

    def send_poll(self):
        """Writes the poll; without a version it asks for the complete list."""
        target = LIST_TARGET
        if self.version is not None:
            target += b"?after=%d&wait_ms=%d" % (self.version, self._wait() // TICKS_PER_MILLISECOND)
        self.batch.metrics.count("lists")
        host, port = self.address
        self.connection.send(request_head(b"GET", target, b"%s:%d" % (host.encode(), port)))

    def move(self, host, port):
        """Follows another discovery from now on; what the old one still says, or fails to say, is ignored.

        The complete list is asked for, since versions of two discoveries need not be comparable.
        """
        if (host, port) == self.address or self.closed:
            return
        self.address = (host, port)
        self.version = None
        self.polling = False
        self.skips_wait = True
        connection = self.connection
        self.connection = None
        self._drop_late_connection(self.batch.clock(), self.late_connection)
        if connection:
            connection.close()
        elif self.connect_task:
            self.connect_task.cancel()
        self.poll()

    # Answers.

    def response_received(self, connection, response):
        """Called by a connection with a response of discovery.

        Raises:
            ValueError: It is no list; KeyError, TypeError and AttributeError say the same.
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
            self._prefer_late_connection()
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

    def _prefer_late_connection(self):
        """Goes on with the late connection: no other answer has come, so it fits this node's version."""
        newer = self.connection
        self.connection = self.late_connection
        self.late_connection = None
        self.poll_number += 1
        if newer:
            newer.abort()
        elif self.connect_task:
            self.connect_task.cancel()

    def _reject_older_version(self, version):
        """Asks for the complete list: a lagging copy, or a discovery that began anew, lists other changes."""
        logger.warning(
            "discovery: version {version} after {before}, the whole list is asked for",
            event="list-older",
            version=version,
            before=self.version,
        )
        self.version = None
        self.batch.call_later(POLL_PAUSE, self.poll)

    def _accept_list(self, version, is_complete, rows):
        self.version = version
        if self.failing:
            logger.info("discovery answers again, version {version}", event="list-again", version=version)
            self.failing = False
        if is_complete or rows:
            self.batch.enqueue(self.on_list, is_complete, rows)
        self.first_result.set()

    def _poll_again(self, had_news):
        if had_news or self.batch.clock() - self.poll_started > POLL_PAUSE:
            self.poll()
        else:
            # A discovery that does not wait, though it has no news, would keep the node busy with polls.
            self.batch.call_later(POLL_PAUSE, self.poll)

    # Failures.

    def poll_timed_out(self, now, poll_number):
        """Gives up a poll that has no answer in time.

        The grace may be far under what a busy machine takes to answer. If each such poll were dropped with
        its connection, a slow discovery would never get through: of one at a time the answer is still taken.
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
        """Called by a connection that has ended."""
        if self.late_connection is connection:
            self.late_connection = None
        if self.connection is connection:
            self.connection = None
            if self.polling:
                self.poll_failed()

    def poll_failed(self):
        """Ends a poll without an answer, and plans the next one."""
        self.polling = False
        self.skips_wait = True
        self.first_result.set()
        if not self.failing and not self.closed:
            logger.warning(
                "discovery does not answer; the last list, version {version}, stays in force",
                event="list-down",
                version=self.version,
            )
            self.failing = True
        self.batch.enqueue(self.on_failure)
        delay = self.settings.retry_delay << min(self.failures, MAX_DOUBLINGS)
        self.batch.call_later(min(delay, self.settings.max_retry_delay), self.poll)
        self.failures += 1

    def close(self):
        """Ends the client."""
        self.closed = True
        self.polling = False
        self._drop_late_connection(self.batch.clock(), self.late_connection)
        if self.connection:
            self.connection.close()
