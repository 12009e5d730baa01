"""Soak test: nodes receive series of signals under load, and each request must get exactly one answer.

It does within seconds what operators do in a day: reloads, shutdowns by a repeated SIGTERM, hot restarts, and
kills at the earliest moment that the protocol allows. In some rounds many silent clients are connected, too.
"""

import asyncio
import os
import random
import signal
from collections import Counter
from contextlib import suppress
from dataclasses import dataclass, field
from typing import NamedTuple

from grebedyke.load.arrivals import LoadShape, Operation, draw_arrivals
from grebedyke.load.clients import OpenLoopClients
from grebedyke.testbed.process_cluster import ProcessCluster
from grebedyke.testbed.process_cluster_settings import ProcessClusterSettings
from grebedyke.testbed.trial_checker import TrialChecker
from grebedyke.testbed.violations import Violation

OPERATIONS = (
    Operation("hold", "keyed", timeout=1.0, share=0.4),
    Operation("confirm", "unsafe", timeout=1.0, share=0.3),
    Operation("view", "safe", timeout=1.0, share=0.3),
)
NODES = 3
EXECUTORS = 4
REQUEST_RATE = 40.0
"""Requests per second over all nodes."""
MEAN_WORK = 0.05
"""Mean running time of a request in seconds."""
MIN_KILL_DELAY = max(operation.timeout for operation in OPERATIONS) + 0.7
"""Seconds from SIGTERM until a node may be killed: the longest client timeout and the protocol's own time."""
STALL_CHECK_INTERVAL = 0.002
"""Seconds between two checks for stalls: short against the time in which a request may cross a close."""
MAX_SERIES_INTERVAL = 1.5
"""Longest time in seconds between two series of signals to a node."""
MAX_SIGNAL_INTERVAL = 0.3
"""Longest time in seconds between two signals of a series."""
READY_TIMEOUT = 10.0
"""Seconds until the new process of a hot restart must be ready."""
READY_POLL_INTERVAL = 0.02
SILENT_CLIENT_COUNT = 200
"""Number of silent clients over all nodes, in rounds that have them."""
PARTIAL_REQUEST = b"POST /view/k HTTP/1.1\r\nX-Request-"


class SoakResult(NamedTuple):
    """The result of a round.

    Attributes:
        seed: The round's seed.
        violations: The `Violation`s that were found.
        event_counts: Number of occurrences of each event.
    """

    seed: int
    violations: list[Violation]
    event_counts: Counter


@dataclass(slots=True)
class SilentClients:
    """Clients that connect and send nothing or a partial request; nodes may close their connections.

    Attributes:
        writers: The stream writers of the connections.
    """

    writers: list = field(default_factory=list)

    async def connect(self, addresses, count):
        """Opens `count` connections to the nodes in turn, without those that are refused."""
        for number in range(count):
            try:
                _, writer = await asyncio.open_connection(*addresses[number % len(addresses)])
            except OSError:
                continue
            if number % 2:
                writer.write(PARTIAL_REQUEST)
            self.writers.append(writer)

    def close(self):
        """Closes all connections."""
        for writer in self.writers:
            writer.close()


class Soak:
    """One round of the soak test.

    Attributes:
        seed: The round's seed; rounds with an even seed have silent clients.
        seconds: For how long requests arrive.
        cluster: The `ProcessCluster`, whose nodes have no maintenance component.
        checker: The `TrialChecker` of the records of clients and executors.
    """

    def __init__(self, seed, seconds):
        self.seed = seed
        self.seconds = seconds
        self.cluster = ProcessCluster(
            ProcessClusterSettings(
                operations=OPERATIONS,
                nodes=NODES,
                executors=EXECUTORS,
                seed=seed,
                maintenance=False,
                stall_check_interval=STALL_CHECK_INTERVAL,
            )
        )
        self.checker = TrialChecker()
        self._random = random.Random(f"soak {seed}")
        self._silent_clients = SilentClients()

    async def run(self):
        """Runs the round and returns its `SoakResult`."""
        try:
            await self.cluster.start()
            if self.seed % 2 == 0:
                await self._silent_clients.connect([*self.cluster.nodes.values()], SILENT_CLIENT_COUNT)
            await self._run()
        finally:
            self._silent_clients.close()
            await self.cluster.close()
        counts = self.checker.event_counts + self.cluster.event_counts
        return SoakResult(self.seed, self.checker.violations, counts)

    async def _run(self):
        clients = OpenLoopClients(
            self.cluster.nodes, seed=self.seed, stall_check_interval=STALL_CHECK_INTERVAL
        )
        shape = LoadShape(operations=OPERATIONS, rate=REQUEST_RATE, seconds=self.seconds, mean_work=MEAN_WORK)
        load = asyncio.ensure_future(clients.play(draw_arrivals(self.seed, shape)))
        loop = asyncio.get_running_loop()
        end = loop.time() + self.seconds
        signals = [asyncio.ensure_future(self._send_signals_until(name, end)) for name in self.cluster.nodes]
        await asyncio.gather(load, *signals)
        self.cluster.report_to(clients.ledger)
        self.checker.check_rules(clients.ledger, self.cluster.node_records())

    async def _send_signals_until(self, name, end):
        """Sends series of signals to a node until a time of the event loop."""
        loop = asyncio.get_running_loop()
        while loop.time() < end:
            await asyncio.sleep(self._random.random() * MAX_SERIES_INTERVAL)
            series = self._random.choice(
                (self._reload_and_restart, self._take_over, self._restart_immediately)
            )
            await series(name)

    async def _reload_and_restart(self, name):
        self.cluster.reload(name)
        await self._wait_between_signals()
        await self._end(name, self.cluster.processes[name], (signal.SIGTERM, signal.SIGTERM))
        await self.cluster.launch(name)

    async def _restart_immediately(self, name):
        await self._end(name, self.cluster.processes[name], (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM))
        await self.cluster.launch(name)

    async def _take_over(self, name):
        """Replaces a node's process in a hot restart.

        The old process gets signals before and after the new one is ready.
        """
        former = self.cluster.processes[name]
        self.cluster.admin_addresses[name] = None
        await self.cluster.launch(name)
        _send_signal(former, signal.SIGHUP)
        if not await self._is_ready(name):
            self.checker.report(
                "ready", f"{name} is not ready {READY_TIMEOUT:g} s after it began to take over"
            )
        self.cluster.event_counts["taken over"] += 1
        await self._end(name, former, (signal.SIGTERM, signal.SIGTERM))

    async def _is_ready(self, name):
        loop = asyncio.get_running_loop()
        end = loop.time() + READY_TIMEOUT
        while loop.time() < end:
            status, _ = await self.cluster.call(name, "GET", "/v1/readyz", timeout=1.0)
            if status == 200:
                return True
            await asyncio.sleep(READY_POLL_INTERVAL)
        return False

    async def _end(self, name, process, signals):
        """Sends signals that end a process, and kills it if it still runs after `MIN_KILL_DELAY`."""
        loop = asyncio.get_running_loop()
        start = loop.time()
        for number in signals:
            _send_signal(process, number)
            await self._wait_between_signals()
        try:
            await asyncio.wait_for(process.wait(), start + MIN_KILL_DELAY - loop.time())
            self.cluster.event_counts["ended by itself"] += 1
            if process.returncode != 0:
                self.checker.report("exit", f"{name} exited with code {process.returncode}")
        except TimeoutError:
            _send_signal(process, signal.SIGKILL)
            await process.wait()
            self.cluster.event_counts["killed"] += 1
        self.checker.graceful_shutdowns[name].append((start, loop.time()))

    async def _wait_between_signals(self):
        await asyncio.sleep(self._random.random() * MAX_SIGNAL_INTERVAL)


def _send_signal(process, number):
    """Sends a signal to a process that may have just ended.

    `process.send_signal` polls such a process first, which takes its exit status away from the waiting task.
    """
    if process.returncode is None:
        with suppress(ProcessLookupError):
            os.kill(process.pid, number)


async def run(seed, seconds):
    """Runs one round and returns its `SoakResult`.

    Args:
        seed: The round's seed.
        seconds: For how long requests arrive.
    """
    return await Soak(seed, seconds).run()
