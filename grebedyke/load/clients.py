"""Clients that hand in at their own times, whatever becomes of what they handed in before."""

import asyncio
import json
import random

from hdrh.histogram import HdrHistogram

from grebedyke.emulators import http_messages
from grebedyke.errors import MalformedMessageError
from grebedyke.load.ledger import THROTTLED, Ledger

IDLE = 64  # kept connections to a node


class Clients:
    """`nodes`: addresses by the prefix that ids get; each arrival goes to a node drawn with the seed.

    `retries`: how often a throttled invocation is handed in anew, after the time that the answer names or a
    backoff that doubles. Waits are counted from the intended arrival, so that a stalled client hides nothing.
    """

    def __init__(self, nodes, ledger=None, seed=0, retries=1, backoff=0.1):
        self.nodes, self.ledger = dict(nodes), ledger or Ledger()
        self.random, self.retries, self.backoff = random.Random(seed), retries, backoff
        self.loop, self.idle = asyncio.get_running_loop(), {name: [] for name in self.nodes}
        self.waits = HdrHistogram(1, 600_000, 3)  # tenths of a millisecond, of what succeeded
        self.number, self.late = 0, 0.0

    async def play(self, arrivals):
        """Returns once all are answered, given up or lost."""
        start, tasks = self.loop.time(), set()
        for arrival in arrivals:
            wait = start + arrival.at - self.loop.time()
            if wait > 0:
                await asyncio.sleep(wait)
            # How far the tool itself runs behind: figures of a run in which it does are its own.
            self.late = max(self.late, self.loop.time() - start - arrival.at)
            task = self.loop.create_task(self.one(arrival, start + arrival.at))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        if tasks:
            await asyncio.wait(tasks)
        for lines in self.idle.values():
            for _, writer in lines:
                writer.close()

    async def one(self, arrival, intended):
        self.number += 1
        key, mark = f"k{self.number}", self.number
        for again in range(self.retries + 1):
            name = self.random.choice([*self.nodes])
            entry = self.ledger.enter(f"{name}-{mark}-{again}", arrival.operation, key, intended)
            back = await self.hand_in(name, arrival, entry, again)
            entry.ended = self.loop.time()
            if back is None:
                break
            await asyncio.sleep(back or self.backoff * 2**again)
        if entry.answers and entry.answers[0][1] == 200:
            self.waits.record_value(max(int((entry.answers[0][0] - intended) * 10_000), 1))

    async def hand_in(self, name, arrival, entry, again):
        """Seconds until it may be handed in anew, 0 where the answer names none; None: it is over."""
        op, body = arrival.operation, json.dumps({"work_ms": arrival.work * 1000}).encode()
        headers = {
            "Host": "node",
            "X-Request-ID": entry.id,
            "X-Tenant-Id": arrival.tenant,
            "X-Priority-Class": op.name,
            "X-Timeout-Ms": int(op.timeout * 1000),
            "X-Cost": int(arrival.work * 1e6),
        }
        headers |= {"Idempotency-Key": entry.key} if op.effect == "keyed" else {}
        headers |= {"X-Retried": 1} if again else {}
        reader = writer = None
        try:
            reader, writer = await self.line(name)
            writer.write(http_messages.format_message(f"POST /{op.name}/{entry.key} HTTP/1.1", body, headers))
            entry.sent = self.loop.time()
            # Half a second more than its time: a late answer is to be seen as one.
            wait = arrival.leaves if arrival.leaves is not None else op.timeout + 0.5
            async with asyncio.timeout(wait):
                answer = await http_messages.read_message(reader)
        except TimeoutError:
            entry.left = arrival.leaves is not None
            writer.transport.abort()
            return None
        except (OSError, MalformedMessageError, EOFError):
            # Refused or dead before anything was sent: no node has taken it.
            entry.refused = entry.sent is None
            if writer:
                writer.close()
            return None
        if answer is None:
            writer.close()
            return None
        words, told, body = answer
        status = int(words[1])
        entry.answers.append((self.loop.time(), status, body))
        if reader._buffer:  # noqa: SLF001 - bytes behind the whole answer: something was sent after it
            entry.answers.append((self.loop.time(), 0, b""))
        if told.get("connection", "").lower() == "close" or len(self.idle[name]) >= IDLE:
            writer.close()
        else:
            self.idle[name].append((reader, writer))
        return float(told.get("retry-after", 0)) if status in THROTTLED else None

    async def line(self, name):
        while self.idle[name]:
            reader, writer = self.idle[name].pop()
            if not reader.at_eof() and not writer.is_closing():
                return reader, writer
            writer.close()
        return await asyncio.open_connection(*self.nodes[name])

    def percentiles(self):
        """Waits in milliseconds from the intended arrival, of what succeeded."""
        return {f"p{p:g}": self.waits.get_value_at_percentile(p) / 10 for p in (50, 90, 99, 100)}
