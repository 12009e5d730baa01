"""One process of a scale run: it holds nodes, hollow ones or a real one, and does what the run tells it.

A line of JSON each way: told on standard input, answered on standard output. Once the input ends (the run has
ended, or was killed) the process ends at once and takes its folders along.
"""

import asyncio
import gc
import os
import resource
import shutil
import sys
import time
from collections import Counter

import orjson

from grebedyke.testbed.instrumentation import lengths, weighed

BEAT = 0.02
# Beats that are late by more than that, in seconds, are counted.
LATE = 0.02


class Station:
    """`hosts`: node -> its host; each has `tap`, `turn`, `demand`. `folder`: this process's own."""

    def __init__(self, loop, hosts, seen, passes, folder):
        self.loop, self.hosts, self.seen, self.passes, self.folder = loop, hosts, seen, passes, folder
        self.lag, self.expected, self.asked = 0.0, None, None
        self.beats, self.late, self.began = 0, 0, time.monotonic()

    async def serve(self):
        # A line may have a value of some hundred machines.
        reader = asyncio.StreamReader(2**24, loop=self.loop)
        await self.loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin.buffer)
        out, protocol = await self.loop.connect_write_pipe(
            asyncio.streams.FlowControlMixin, os.fdopen(os.dup(1), "wb")
        )
        self.out = out
        self.answer({"up": os.getpid()})
        while line := await reader.readline():
            told = orjson.loads(line)
            self.asked = told["id"]
            try:
                given = getattr(self, "do_" + told.pop("do"))(**told.pop("with", {}))
            except Exception as problem:
                given = {"problem": repr(problem)}
            if given is not None:
                self.answer({"to": self.asked, **given})
        self.end()

    def answer(self, given):
        self.out.write(
            orjson.dumps(given, option=orjson.OPT_NON_STR_KEYS | orjson.OPT_PASSTHROUGH_DATACLASS) + b"\n"
        )

    def end(self):
        # The whole run's: a node that is down just now has nobody to take its folder along.
        shutil.rmtree(os.path.dirname(self.folder), ignore_errors=True)
        # No half-done turn holds a socket a moment longer.
        os._exit(0)

    def beat(self):
        """How late the loop is, which makes all nodes of this process late together."""
        now = self.loop.time()
        if self.expected is not None:
            self.lag = max(self.lag, now - self.expected)
            self.beats += 1
            self.late += now - self.expected > LATE
        self.expected = now + BEAT
        self.loop.call_later(BEAT, self.beat)

    # What the run tells it.

    def do_mark(self):
        """Counters as they stand."""
        lag, self.lag = self.lag, 0.0
        (beats, self.beats), (late, self.late) = (self.beats, 0), (self.late, 0)
        usage = resource.getrusage(resource.RUSAGE_SELF)
        return {
            "at": time.monotonic(),
            "began": self.began,
            "lag": lag,
            "late": late / beats if beats else 0.0,
            "cpu": usage.ru_utime + usage.ru_stime,
            "memory": memory(),
            "nodes": {
                me: {
                    "counts": host.tap.counts,
                    "calls": host.tap.calls,
                    "hasty": host.tap.hasty,
                    "kinds": host.tap.kinds,
                    "took": host.tap.took / 1e9,
                    "role": host.tap.role() if host.alive else "down",
                }
                for me, host in self.hosts.items()
            },
        }

    def do_freeze(self):
        """As a node does once it serves: what is there stays."""
        gc.collect()
        gc.freeze()
        return {}

    def do_tell(self):
        """What is judged: values, what went through, and where each node stands."""
        known, ready, alive = Counter(), 0, 0
        for host in self.hosts.values():
            if host.alive:
                alive += 1
                known[orjson.dumps(sorted(host.tap.knows.items())).decode()] += 1
                ready += bool(host.tap.ready(host.turn.clock()))
        news, broken = self.seen.told()
        passes = [[*key, n] for key, n in self.passes.items()]
        self.passes.clear()
        return {
            "known": known,
            "ready": ready,
            "alive": alive,
            "news": news,
            "broken": broken,
            "passes": passes,
        }

    def do_weigh(self, most=8):
        """Of all voters and of a few others: what hangs on their parts, and how long each container is."""
        found = {}
        for me, host in self.hosts.items():
            if host.alive and len(found) < most:
                hosting = host.tap.parts
                objects, size = weighed(hosting.components, hosting.reassembler)
                found[me] = {"objects": objects, "bytes": size, "lengths": lengths(host.tap.parts)}
        return {"nodes": found}

    def do_cut(self, apart):
        """Nodes of one list reach none of another's."""
        for me, host in self.hosts.items():
            mine = next((some for some in apart if me in some), [])
            host.tap.cut = (
                frozenset(i for some in apart if some is not mine for i in some) if mine else frozenset()
            )
        return {}

    def do_demand(self, on):
        for host in self.hosts.values():
            host.wanted = on
            if host.alive:
                (host.demand.go if on else host.demand.stop)()
        return {}

    def do_call(self, node, method, path, body):
        """An operator's call; answered once the part has."""
        host, caller = self.hosts[node], Caller(self)
        if not host.alive or not host.tap.parts.operator_call(
            caller, method.encode(), path.encode(), body.encode()
        ):
            return {"status": 0, "text": "no node there"}
        return None  # by the caller, once the part has said something

    def do_start(self, nodes, within):
        for me in nodes:
            host = self.hosts[me]
            self.loop.call_later(host.chance.draw() * within, host.start)
        return {}

    def do_end(self, nodes):
        for me in nodes:
            self.hosts[me].end()
        return {}


class Caller:
    """Where the answer to an operator's call goes."""

    def __init__(self, station):
        self.station, self.id = station, station.asked

    def answer(self, status, text):
        self.station.answer({"to": self.id, "status": status, "text": text})


def memory():
    """Bytes of this process alone that are in memory, and those shared with others."""
    rows = {}
    with open("/proc/self/smaps_rollup") as file:
        for line in file:
            words = line.split()
            if len(words) == 3 and words[2] == "kB":
                rows[words[0].rstrip(":")] = int(words[1]) * 1024
    return {"own": rows["Private_Clean"] + rows["Private_Dirty"], "resident": rows["Rss"]}
