"""Open-loop clients: each request is sent at its intended time, regardless of earlier requests."""

import asyncio
import json
import random

from hdrh.histogram import HdrHistogram

from grebedyke.emulators import http_messages
from grebedyke.errors import MalformedMessageError
from grebedyke.load.connection_pool import ConnectionPool
from grebedyke.load.ledger import Answer, Ledger
from grebedyke.load.stall_detector import CHECK_INTERVAL, StallDetector
from grebedyke.units import TICKS_PER_MILLISECOND, TICKS_PER_SECOND

LATE_ANSWER_WAIT = 0.5
"""Seconds after its timeout for which a client keeps waiting, to tell a late answer from a missing one."""

READ_TIME_AFTER_STALL = 0.05
"""Seconds after its timeout in which a client reads data that arrived during a stall of its own process."""

MAX_RECORDED_WAIT = 60 * TICKS_PER_SECOND
SIGNIFICANT_DIGITS = 3
PERCENTILES = (50, 90, 99, 100)

NO_RETRY_AFTER = 0.0
"""Replaces the delay if a throttle has no Retry-After; the client then uses its own backoff."""


class OpenLoopClients:
    """The clients of one run.

    Waits are measured from the intended time of sending, so a client that sends late does not hide any wait.

    Attributes:
        nodes: Addresses by node name; request ids begin with the name of the node that they are sent to.
        ledger: The `Ledger` that records the requests.
        retries: Maximum number of retries of a throttled request.
        backoff: Seconds until the first retry if the throttle has no Retry-After; doubles with each retry.
        waits: Histogram of the waits of requests that succeeded, in ticks.
        lag: The maximum delay of the tool itself in seconds; the measured waits include it.
    """

    def __init__(
        self, nodes, ledger=None, seed=0, retries=1, backoff=0.1, stall_check_interval=CHECK_INTERVAL
    ):
        self.nodes = dict(nodes)
        self.ledger = ledger or Ledger()
        self.retries = retries
        self.backoff = backoff
        self.waits = HdrHistogram(1, MAX_RECORDED_WAIT, SIGNIFICANT_DIGITS)
        self.lag = 0.0
        self._random = random.Random(seed)
        self._loop = asyncio.get_running_loop()
        self._stall_detector = StallDetector(self._loop, stall_check_interval)
        self._connections = {name: ConnectionPool(address) for name, address in self.nodes.items()}
        self._request_count = 0

    async def play(self, arrivals):
        """Sends all requests; returns once each is answered, abandoned by its client or lost."""
        start = self._loop.time()
        self._stall_detector.start()
        tasks = set()
        for arrival in arrivals:
            intended = start + arrival.time
            wait = intended - self._loop.time()
            if wait > 0:
                await asyncio.sleep(wait)
            self.lag = max(self.lag, self._loop.time() - start - arrival.time)
            task = self._loop.create_task(self._send_with_retries(arrival, intended))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        if tasks:
            await asyncio.wait(tasks)
        self._stall_detector.stop()
        for connections in self._connections.values():
            connections.close()

    async def _send_with_retries(self, arrival, intended):
        self._request_count += 1
        number = self._request_count
        for retry in range(self.retries + 1):
            name = self._random.choice([*self.nodes])
            entry = self.ledger.add_request(
                f"{name}-{number}-{retry}", arrival.operation, f"k{number}", intended
            )
            retry_after = await self._send_once(name, arrival, entry, is_retry=retry > 0)
            entry.ended = self._loop.time()
            if retry_after is None:
                break
            await asyncio.sleep(retry_after or self.backoff * 2**retry)
        if entry.succeeded:
            wait = entry.answers[0].time - intended
            self.waits.record_value(max(int(wait * TICKS_PER_SECOND), 1))

    async def _send_once(self, name, arrival, entry, is_retry):
        """Sends a request once and records the result in its ledger entry.

        Returns:
            Seconds until it may be sent again, or `NO_RETRY_AFTER` if the throttle does not say; None if the
            request is not retried.
        """
        timeout = arrival.operation.timeout + LATE_ANSWER_WAIT
        if arrival.leaves_after is not None:
            timeout = arrival.leaves_after
        connection = None
        try:
            connection = await self._connections[name].acquire()
            connection.writer.write(_format_request(arrival, entry, is_retry))
            entry.sent = self._loop.time()
            message = await self._read_answer(connection.reader, timeout, entry.sent)
        except TimeoutError:
            entry.client_left = arrival.leaves_after is not None
            self._record_failure(entry, f"no answer in {timeout:g} s", connection)
            if connection:
                connection.writer.transport.abort()
            return None
        except (OSError, MalformedMessageError, EOFError) as problem:
            # The connection failed before anything was sent: no node has received the request.
            entry.refused = entry.sent is None
            self._record_failure(entry, repr(problem), connection)
            if connection:
                connection.writer.close()
            return None
        if message is None:
            self._record_failure(entry, "the node closed the connection", connection)
            connection.writer.close()
            return None
        self._record_answer(entry, message, connection.reader)
        self._keep_or_close(name, message, connection)
        return float(message.headers.get("retry-after", NO_RETRY_AFTER)) if entry.throttled else None

    async def _read_answer(self, reader, timeout, sent):
        """Reads the answer.

        After a stall of this process, an answer that arrived in time may still be unread when the timeout
        expires. So after a stall the event loop gets some time to read it before the timeout counts.

        Raises:
            TimeoutError: No answer arrived.
        """
        reading = self._loop.create_task(http_messages.read_message(reader))
        try:
            await asyncio.wait([reading], timeout=timeout)
            if not reading.done() and self._stall_detector.longest_stall(sent):
                await asyncio.wait([reading], timeout=READ_TIME_AFTER_STALL)
            if not reading.done():
                raise TimeoutError
            return reading.result()
        finally:
            reading.cancel()

    def _record_failure(self, entry, reason, connection):
        """Records why a request has no answer, and since when its connection may have been closed."""
        now = self._loop.time()
        entry.ended_not_before = self._stall_detector.earliest_arrival(now)
        entry.failure = reason
        if entry.sent is not None:
            kind = "kept" if connection.is_reused else "new"
            stall = self._stall_detector.longest_stall(entry.sent)
            entry.failure += (
                f", {now - entry.sent:.3f} s after it was sent on a {kind} connection; "
                f"its client stood still for up to {stall:.3f} s"
            )

    def _record_answer(self, entry, message, reader):
        now = self._loop.time()
        not_before = self._stall_detector.earliest_arrival(now)
        entry.answers.append(Answer(now, int(message.start_line[1]), message.body, not_before))
        if reader._buffer:  # noqa: SLF001 - asyncio has no public way to see that more bytes have arrived.
            # Nothing may follow an answer: the ledger counts these bytes as a second one.
            entry.answers.append(Answer(self._loop.time(), 0, b""))

    def _keep_or_close(self, name, message, connection):
        if message.headers.get("connection", "").lower() == "close":
            connection.writer.close()
        else:
            self._connections[name].release(connection)

    def wait_percentiles(self):
        """Returns percentiles of the waits of successful requests, in milliseconds by name ("p50" etc.)."""
        return {
            f"p{percentile:g}": self.waits.get_value_at_percentile(percentile) / TICKS_PER_MILLISECOND
            for percentile in PERCENTILES
        }


def _format_request(arrival, entry, is_retry):
    """Returns the bytes of a request."""
    operation = arrival.operation
    headers = {
        "Host": "node",
        "X-Request-ID": entry.id,
        "X-Tenant-Id": arrival.tenant,
        "X-Priority-Class": operation.name,
        "X-Timeout-Ms": int(operation.timeout * 1000),
        "X-Cost": int(arrival.work * 1e6),
    }
    if operation.idempotency == "keyed":
        headers["Idempotency-Key"] = entry.key
    if is_retry:
        headers["X-Retried"] = 1
    body = json.dumps({"work_ms": arrival.work * 1000}).encode()
    return http_messages.format_message(f"POST /{operation.name}/{entry.key} HTTP/1.1", body, headers)
