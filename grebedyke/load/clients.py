"""Open-loop clients: each request is handed in at its own time, whatever became of those before it."""

import asyncio
import json
import random

from hdrh.histogram import HdrHistogram

from grebedyke.emulators import http_messages
from grebedyke.errors import MalformedMessageError
from grebedyke.load.ledger import Answer, Ledger
from grebedyke.load.loop_watch import LoopWatch
from grebedyke.units import TICKS_PER_MILLISECOND, TICKS_PER_SECOND

MOST_IDLE_CONNECTIONS = 64
"""That are kept to one node."""

LATE_ANSWER_WAIT = 0.5
"""Seconds beyond its timeout that a client waits: an answer that comes late is to be seen as one."""

LAST_LOOK_TIME = 0.05
"""Seconds in which a client whose time is over reads what has come while its own process stood still."""

LONGEST_RECORDED_WAIT = 60 * TICKS_PER_SECOND
RECORDED_DIGITS = 3
PERCENTILES = (50, 90, 99, 100)

RETRY_AT_ONCE = 0.0
"""In place of a time to wait, where a throttle names none."""


class OpenLoopClients:
    """Clients of one run.

    Waits are counted from the intended time of the arrival, so that a client that was held up hides nothing.

    Attributes:
        nodes: Addresses by name; request ids begin with the name of the node that they are handed to.
        ledger: The `Ledger` that the requests go into.
        retries: How often a throttled request is handed in anew.
        backoff: Seconds until the first retry where the throttle names no time; doubles with each.
        waits: Histogram of the waits of requests that succeeded, in ticks.
        lag: The most seconds by which the tool itself was behind: waits of such a run are partly its own.
    """

    def __init__(self, nodes, ledger=None, seed=0, retries=1, backoff=0.1):
        self.nodes = dict(nodes)
        self.ledger = ledger or Ledger()
        self.retries = retries
        self.backoff = backoff
        self.waits = HdrHistogram(1, LONGEST_RECORDED_WAIT, RECORDED_DIGITS)
        self.lag = 0.0
        self._random = random.Random(seed)
        self._loop = asyncio.get_running_loop()
        self._watch = LoopWatch(self._loop)
        self._idle = {name: [] for name in self.nodes}  # (reader, writer) of connections that are kept
        self._request_count = 0

    async def play(self, arrivals):
        """Hands in all requests; returns once each is answered, given up or lost."""
        start = self._loop.time()
        watching = self._loop.create_task(self._watch.run())
        tasks = set()
        for arrival in arrivals:
            intended = start + arrival.time
            wait = intended - self._loop.time()
            if wait > 0:
                await asyncio.sleep(wait)
            self.lag = max(self.lag, self._loop.time() - start - arrival.time)
            task = self._loop.create_task(self._play_one(arrival, intended))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        if tasks:
            await asyncio.wait(tasks)
        watching.cancel()
        for connections in self._idle.values():
            for _, writer in connections:
                writer.close()

    async def _play_one(self, arrival, intended):
        self._request_count += 1
        number = self._request_count
        for retry in range(self.retries + 1):
            name = self._random.choice([*self.nodes])
            entry = self.ledger.add_request(
                f"{name}-{number}-{retry}", arrival.operation, f"k{number}", intended
            )
            retry_after = await self._hand_in(name, arrival, entry, is_retry=retry > 0)
            entry.ended = self._loop.time()
            if retry_after is None:
                break
            await asyncio.sleep(retry_after or self.backoff * 2**retry)
        if entry.succeeded:
            wait = entry.answers[0].time - intended
            self.waits.record_value(max(int(wait * TICKS_PER_SECOND), 1))

    async def _hand_in(self, name, arrival, entry, is_retry):
        """Hands in a request once, and notes in its entry what came of it.

        Returns:
            Seconds until it may be handed in anew, `RETRY_AT_ONCE` where the throttle names no time; None
            where it is over.
        """
        timeout = arrival.operation.timeout + LATE_ANSWER_WAIT
        if arrival.leaves_after is not None:
            timeout = arrival.leaves_after
        is_kept = bool(self._idle[name])
        reader = writer = None
        try:
            reader, writer = await self._connection(name)
            writer.write(_request(arrival, entry, is_retry))
            entry.sent = self._loop.time()
            message = await self._read_answer(reader, timeout, entry.sent)
        except TimeoutError:
            entry.left = arrival.leaves_after is not None
            entry.ending = self._ending(entry, f"no answer in {timeout:g} s", is_kept)
            writer.transport.abort()
            return None
        except (OSError, MalformedMessageError, EOFError) as problem:
            # Refused or broken before anything was sent: no node has taken it.
            entry.refused = entry.sent is None
            entry.ending = self._ending(entry, repr(problem), is_kept)
            if writer:
                writer.close()
            return None
        if message is None:
            entry.ending = self._ending(entry, "the node closed the connection", is_kept)
            writer.close()
            return None
        self._note_answer(entry, message, reader)
        self._keep_or_close(name, message, reader, writer)
        return float(message.headers.get("retry-after", RETRY_AT_ONCE)) if entry.throttled else None

    async def _read_answer(self, reader, timeout, sent):
        """Reads the answer.

        Where this process stood still, the answer may have come in time and be read only once the time is
        over: a timeout counts once the loop had time to read what lay there.

        Raises:
            TimeoutError: None came.
        """
        reading = self._loop.create_task(http_messages.read_message(reader))
        try:
            await asyncio.wait([reading], timeout=timeout)
            if not reading.done() and self._watch.longest_stall(sent):
                await asyncio.wait([reading], timeout=LAST_LOOK_TIME)
            if not reading.done():
                raise TimeoutError
            return reading.result()
        finally:
            reading.cancel()

    def _ending(self, entry, what, is_kept):
        """Describes how a request without an answer ended, for whoever reads a violation."""
        if entry.sent is None:
            return what
        connection = "kept" if is_kept else "new"
        stall = self._watch.longest_stall(entry.sent)
        after = self._loop.time() - entry.sent
        return (
            f"{what}, {after:.3f} s after it was sent on a {connection} connection; "
            f"its client stood still for up to {stall:.3f} s"
        )

    def _note_answer(self, entry, message, reader):
        now = self._watch.look()
        not_before = self._watch.waking_time(now)
        entry.answers.append(Answer(now, int(message.start_line[1]), message.body, not_before))
        if reader._buffer:  # noqa: SLF001 - asyncio tells in no other way that more bytes have come.
            # Nothing may follow an answer: the ledger takes this for a second one.
            entry.answers.append(Answer(self._loop.time(), 0, b""))

    def _keep_or_close(self, name, message, reader, writer):
        closes = message.headers.get("connection", "").lower() == "close"
        if closes or len(self._idle[name]) >= MOST_IDLE_CONNECTIONS:
            writer.close()
        else:
            self._idle[name].append((reader, writer))

    async def _connection(self, name):
        """Returns (reader, writer) of a connection to a node, one that was kept where there is one."""
        while self._idle[name]:
            reader, writer = self._idle[name].pop()
            if not reader.at_eof() and not writer.is_closing():
                return reader, writer
            writer.close()
        return await asyncio.open_connection(*self.nodes[name])

    def wait_percentiles(self):
        """Returns the waits of requests that succeeded in milliseconds, by "p50" and so on."""
        return {
            f"p{percentile:g}": self.waits.get_value_at_percentile(percentile) / TICKS_PER_MILLISECOND
            for percentile in PERCENTILES
        }


def _request(arrival, entry, is_retry):
    """Returns the bytes of the request for an entry."""
    operation = arrival.operation
    headers = {
        "Host": "node",
        "X-Request-ID": entry.id,
        "X-Tenant-Id": arrival.tenant,
        "X-Priority-Class": operation.name,
        "X-Timeout-Ms": int(operation.timeout * 1000),
        "X-Cost": int(arrival.work * 1e6),
    }
    if operation.effect == "keyed":
        headers["Idempotency-Key"] = entry.key
    if is_retry:
        headers["X-Retried"] = 1
    body = json.dumps({"work_ms": arrival.work * 1000}).encode()
    return http_messages.format_message(f"POST /{operation.name}/{entry.key} HTTP/1.1", body, headers)
