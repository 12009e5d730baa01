"""What runs in each process of a scale run: it has nodes, hollow ones or a real one, and obeys the run.

Commands come as lines of JSON on standard input, answers go as lines on standard output. Once the input ends,
because the run has ended or was killed, the process ends at once and removes the run's folders.
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

from grebedyke.testbed.memory_census import container_lengths, state_size

# How often the lag of the event loop is measured, and from what lag on it is counted as late, in seconds.
BEAT_INTERVAL = 0.02
LATE_BEAT = 0.02
# A line may have a value of some hundred machines.
LONGEST_LINE = 2**24
# So many nodes of a process are measured by `do_weigh`: its voters come first.
WEIGHED_NODES = 8


class LoopLag:
    """How late the event loop is, which makes all nodes of its process late together.

    Attributes:
        largest: The largest lag since the last report, in seconds.
        beats: Number of measurements since the last report.
        late_beats: Number of these that were late.
    """

    def __init__(self, loop):
        self.largest = 0.0
        self.beats = 0
        self.late_beats = 0
        self._loop = loop
        self._expected_at = None

    def measure(self):
        """Measures the lag from now on, again and again."""
        now = self._loop.time()
        if self._expected_at is not None:
            lag = now - self._expected_at
            self.largest = max(self.largest, lag)
            self.beats += 1
            self.late_beats += lag > LATE_BEAT
        self._expected_at = now + BEAT_INTERVAL
        self._loop.call_later(BEAT_INTERVAL, self.measure)

    def report(self):
        """Returns what was measured since the last report."""
        report = {"lag": self.largest, "late": self.late_beats / self.beats if self.beats else 0.0}
        self.largest = 0.0
        self.beats = 0
        self.late_beats = 0
        return report


class ProcessAgent:
    """Obeys the commands of a scale run; `do_x` is the command x.

    Attributes:
        hosts: The `HollowNode` or `CountedNode` of each number.
        command_id: Number of the command that is being carried out.
        loop_lag: The `LoopLag` of this process.
    """

    def __init__(self, loop, hosts, learned_values, admissions, folder):
        """Begins without commands.

        Args:
            loop: The event loop.
            hosts: The nodes of this process by number.
            learned_values: The `LearnedValues` of this process.
            admissions: Counts what the nodes' limiters admit, see `DemandGenerator`.
            folder: The process's folder, within the run's.
        """
        self.hosts = hosts
        self.command_id = None
        self.loop_lag = LoopLag(loop)
        self._loop = loop
        self._learned_values = learned_values
        self._admissions = admissions
        self._folder = folder
        self._started_at = time.monotonic()
        self._output = None

    async def serve(self):
        """Carries out commands until the input ends, and the process with it."""
        reader = asyncio.StreamReader(LONGEST_LINE, loop=self._loop)
        await self._loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin.buffer)
        self._output, _ = await self._loop.connect_write_pipe(
            asyncio.streams.FlowControlMixin, os.fdopen(os.dup(1), "wb")
        )
        self.write_line({"up": os.getpid()})
        while line := await reader.readline():
            self._obey(orjson.loads(line))
        self._end_process()

    def _obey(self, command):
        self.command_id = command["id"]
        try:
            answer = getattr(self, "do_" + command["do"])(**command.get("with", {}))
        except Exception as problem:  # the process stays alive: the run is told, and decides
            answer = {"problem": repr(problem)}
        if answer is not None:
            self.write_line({"to": self.command_id, **answer})

    def write_line(self, answer):
        """Writes a line for the run."""
        option = orjson.OPT_NON_STR_KEYS | orjson.OPT_PASSTHROUGH_DATACLASS
        self._output.write(orjson.dumps(answer, option=option) + b"\n")

    def _end_process(self):
        # The whole run's folder: a node that is down just now has no process to remove its own.
        shutil.rmtree(os.path.dirname(self._folder), ignore_errors=True)
        # At once, so that no batch in progress holds a socket a moment longer.
        os._exit(0)

    # Commands.

    def do_mark(self):
        """Returns the counters as they stand."""
        usage = resource.getrusage(resource.RUSAGE_SELF)
        return {
            "at": time.monotonic(),
            "began": self._started_at,
            **self.loop_lag.report(),
            "cpu": usage.ru_utime + usage.ru_stime,
            "memory": process_memory(),
            "nodes": {node: counters_of(host) for node, host in self.hosts.items()},
        }

    def do_freeze(self):
        """Excludes what exists from garbage collection, as a node does once it serves."""
        gc.collect()
        gc.freeze()
        return {}

    def do_report(self):
        """Returns what is checked: values, admissions, and where each node stands."""
        known = Counter()
        ready = 0
        alive = 0
        for host in self.hosts.values():
            if host.is_running:
                alive += 1
                known[orjson.dumps(sorted(host.probe.known_checksums.items())).decode()] += 1
                ready += host.probe.has_all_permissions(host.batch_loop.clock())
        values, contradictions = self._learned_values.take_unreported()
        admissions = [[*key, count] for key, count in self._admissions.items()]
        self._admissions.clear()
        return {
            "known": known,
            "ready": ready,
            "alive": alive,
            "values": values,
            "contradictions": contradictions,
            "admissions": admissions,
        }

    def do_weigh(self):
        """Returns the memory of all voters' components and of a few other nodes'."""
        measured = {}
        for node, host in self.hosts.items():
            if host.is_running and len(measured) < WEIGHED_NODES:
                components = host.probe.host.components
                size = state_size(components, host.probe.host.reassembler)
                lengths = container_lengths(components)
                measured[node] = {"objects": size.objects, "bytes": size.size, "lengths": lengths}
        return {"nodes": measured}

    def do_cut(self, apart):
        """Cuts the links between the nodes of any two of the lists `apart`; none heals all."""
        for node, host in self.hosts.items():
            own_side = next((side for side in apart if node in side), None)
            other_sides = [side for side in apart if side is not own_side] if own_side else []
            host.probe.unreachable_nodes = frozenset(other for side in other_sides for other in side)
        return {}

    def do_demand(self, on):
        """Lets demand begin or end at all nodes."""
        for host in self.hosts.values():
            host.has_demand = on
            if host.is_running:
                if on:
                    host.demand.start()
                else:
                    host.demand.stop()
        return {}

    def do_call(self, node, method, path, body):
        """Makes an operator's call; the component's answer is the command's."""
        host = self.hosts[node]
        if host.is_running:
            caller = Caller(self)
            component_host = host.probe.host
            if component_host.operator_call(caller, method.encode(), path.encode(), body.encode()):
                return None
        return {"status": 0, "text": "no node there"}

    def do_start(self, nodes, within):
        """Starts nodes, each after a drawn time of up to `within` seconds."""
        for node in nodes:
            host = self.hosts[node]
            self._loop.call_later(host.random.draw() * within, host.start)
        return {}

    def do_end(self, nodes):
        """Ends nodes as a kill does."""
        for node in nodes:
            self.hosts[node].end()
        return {}


class Caller:
    """Where the answer to an operator's call goes: back to the run."""

    def __init__(self, agent):
        self._agent = agent
        self._command_id = agent.command_id

    def answer(self, status, text):
        """Takes the answer."""
        self._agent.write_line({"to": self._command_id, "status": status, "text": text})


def counters_of(host):
    """Returns the counters of one node."""
    probe = host.probe
    return {
        "counts": probe.counts,
        "calls": probe.component_calls,
        "early_requests": probe.early_requests,
        "kinds": probe.sent_kinds,
        "took": probe.component_time / 1e9,
        "role": probe.role() if host.is_running else "down",
    }


def process_memory():
    """Returns the bytes of this process alone that are in memory, and with those shared with others."""
    sizes = {}
    with open("/proc/self/smaps_rollup") as file:
        for line in file:
            words = line.split()
            if len(words) == 3 and words[2] == "kB":
                sizes[words[0].rstrip(":")] = int(words[1]) * 1024
    return {"own": sizes["Private_Clean"] + sizes["Private_Dirty"], "resident": sizes["Rss"]}
