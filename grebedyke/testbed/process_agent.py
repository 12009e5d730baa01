"""The agent in each process of a scale run, which carries out the run's commands on the process's nodes.

Commands arrive as lines of JSON on standard input, answers are written as lines to standard output. If the
input ends, because the run has ended or was killed, the process exits at once and removes the run's folders.
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

# Interval between measurements of the event loop's lag, and the lag that counts as late, in seconds.
LAG_CHECK_INTERVAL = 0.02
LATE_THRESHOLD = 0.02
# Maximum size of a line in bytes; a command can contain a value with several hundred machines.
MAX_LINE_SIZE = 2**24
# `do_weigh` measures the first nodes of a process, up to this number. Voters have a process each, so all of
# them are measured.
MAX_MEASURED_NODES = 8


class LoopLag:
    """Measures the lag of the event loop, which delays all nodes of the process alike.

    Attributes:
        max_lag: The maximum lag since the last report, in seconds.
        check_count: Number of measurements since the last report.
        late_checks: Number of late measurements since the last report.
    """

    def __init__(self, loop):
        self.max_lag = 0.0
        self.check_count = 0
        self.late_checks = 0
        self._loop = loop
        self._expected_at = None

    def measure(self):
        """Measures the lag now and at each further interval."""
        now = self._loop.time()
        if self._expected_at is not None:
            lag = now - self._expected_at
            self.max_lag = max(self.max_lag, lag)
            self.check_count += 1
            self.late_checks += lag > LATE_THRESHOLD
        self._expected_at = now + LAG_CHECK_INTERVAL
        self._loop.call_later(LAG_CHECK_INTERVAL, self.measure)

    def report(self):
        """Returns the measurements since the last report and resets them."""
        report = {
            "lag": self.max_lag,
            "late": self.late_checks / self.check_count if self.check_count else 0.0,
        }
        self.max_lag = 0.0
        self.check_count = 0
        self.late_checks = 0
        return report


class ProcessAgent:
    """Carries out the commands of a scale run; the method `do_x` implements the command x.

    Attributes:
        hosts: The `HollowNode` or `InstrumentedNode` of each node number.
        command_id: Number of the command in progress.
        loop_lag: The `LoopLag` of this process.
    """

    def __init__(self, loop, hosts, learned_values, admissions, folder):
        """Creates the agent; `serve` starts it.

        Args:
            loop: The event loop.
            hosts: The nodes of this process, by number.
            learned_values: The `LearnedValues` of this process.
            admissions: Counts the requests that the nodes' limiters admit, see `DemandGenerator`.
            folder: The process's folder, inside the run's folder.
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
        """Carries out commands until the input ends, then ends the process."""
        reader = asyncio.StreamReader(MAX_LINE_SIZE, loop=self._loop)
        await self._loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin.buffer)
        self._output, _ = await self._loop.connect_write_pipe(
            asyncio.streams.FlowControlMixin, os.fdopen(os.dup(1), "wb")
        )
        self.write_line({"up": os.getpid()})
        while line := await reader.readline():
            self._execute(orjson.loads(line))
        self._end_process()

    def _execute(self, command):
        self.command_id = command["id"]
        try:
            answer = getattr(self, "do_" + command["do"])(**command.get("with", {}))
        except Exception as problem:  # reported to the run, which decides; the process continues
            answer = {"problem": repr(problem)}
        if answer is not None:
            self.write_line({"to": self.command_id, **answer})

    def write_line(self, answer):
        """Writes a line to the run."""
        option = orjson.OPT_NON_STR_KEYS | orjson.OPT_PASSTHROUGH_DATACLASS
        self._output.write(orjson.dumps(answer, option=option) + b"\n")

    def _end_process(self):
        # The folder of the whole run: a stopped node has no process to remove its own.
        shutil.rmtree(os.path.dirname(self._folder), ignore_errors=True)
        # Exits at once, so that a batch in progress does not keep a socket open.
        os._exit(0)

    # Commands.

    def do_mark(self):
        """Returns the current counters."""
        usage = resource.getrusage(resource.RUSAGE_SELF)
        return {
            "at": time.monotonic(),
            "began": self._started_at,
            **self.loop_lag.report(),
            "cpu": usage.ru_utime + usage.ru_stime,
            "memory": process_memory(),
            "nodes": {node: node_counters(host) for node, host in self.hosts.items()},
        }

    def do_freeze(self):
        """Excludes existing objects from garbage collection, as a node does when it starts serving."""
        gc.collect()
        gc.freeze()
        return {}

    def do_report(self):
        """Returns the input of the checks: values, admissions and the state of the nodes."""
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
        """Returns the memory of the components of up to `MAX_MEASURED_NODES` nodes."""
        measured = {}
        for node, host in self.hosts.items():
            if host.is_running and len(measured) < MAX_MEASURED_NODES:
                components = host.probe.host.components
                size = state_size(components, host.probe.host.reassembler)
                lengths = container_lengths(components)
                measured[node] = {"objects": size.objects, "bytes": size.size, "lengths": lengths}
        return {"nodes": measured}

    def do_cut(self, apart):
        """Cuts the links between the groups of nodes in `apart`; an empty list restores all links."""
        for node, host in self.hosts.items():
            own_side = next((side for side in apart if node in side), None)
            other_sides = [side for side in apart if side is not own_side] if own_side else []
            host.probe.unreachable_nodes = frozenset(other for side in other_sides for other in side)
        return {}

    def do_demand(self, on):
        """Starts or stops demand at all nodes."""
        for host in self.hosts.values():
            host.has_demand = on
            if host.is_running:
                if on:
                    host.demand.start()
                else:
                    host.demand.stop()
        return {}

    def do_call(self, node, method, path, body):
        """Makes an operator's call; the component's answer becomes the answer to the command."""
        host = self.hosts[node]
        if host.is_running:
            caller = Caller(self)
            component_host = host.probe.host
            if component_host.operator_call(caller, method.encode(), path.encode(), body.encode()):
                return None
        return {"status": 0, "text": "no node there"}

    def do_start(self, nodes, within):
        """Starts nodes, each after a random delay of up to `within` seconds."""
        for node in nodes:
            host = self.hosts[node]
            self._loop.call_later(host.random.draw() * within, host.start)
        return {}

    def do_end(self, nodes):
        """Ends nodes like a kill."""
        for node in nodes:
            self.hosts[node].end()
        return {}


class Caller:
    """Sends the answer to an operator's call back to the run."""

    def __init__(self, agent):
        self._agent = agent
        self._command_id = agent.command_id

    def answer(self, status, text):
        """Sends the answer."""
        self._agent.write_line({"to": self._command_id, "status": status, "text": text})


def node_counters(host):
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
    """Returns the private and the resident memory of this process in bytes; resident includes shared."""
    sizes = {}
    with open("/proc/self/smaps_rollup") as file:
        for line in file:
            words = line.split()
            if len(words) == 3 and words[2] == "kB":
                sizes[words[0].rstrip(":")] = int(words[1]) * 1024
    return {"own": sizes["Private_Clean"] + sizes["Private_Dirty"], "resident": sizes["Rss"]}
