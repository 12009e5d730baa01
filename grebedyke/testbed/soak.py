"""A soak: nodes get signals in series while clients go on, and every request is followed to its one answer.

What the operators do to a node in one day comes here within seconds: settings read anew, ends by SIGTERM that
is sent twice, processes that take over, kills at the earliest moment that the protocol allows, and a crowd of
clients that say nothing.
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
"""A second, over all nodes."""
MEAN_WORK = 0.05
"""Seconds that a request runs on average."""
EARLIEST_KILL = max(operation.timeout for operation in OPERATIONS) + 0.7
"""Seconds after SIGTERM when a node may be killed: the longest client timeout, and what the protocol adds."""
LONGEST_PAUSE = 1.5
"""Seconds between two series of signals at a node, at most."""
LONGEST_SIGNAL_PAUSE = 0.3
"""Seconds between two signals of a series, at most."""
READY_TIMEOUT = 10.0
"""Seconds that a process which takes over has until it is ready."""
READY_POLL_INTERVAL = 0.02
SILENT_CLIENTS = 200
"""In the rounds with a crowd, over all nodes."""
HALF_A_REQUEST = b"POST /view/k HTTP/1.1\r\nX-Request-"


class SoakResult(NamedTuple):
    """What a round came to.

    Attributes:
        seed: Its seed.
        violations: A `Violation` for each broken promise.
        event_counts: How often each thing came about.
    """

    seed: int
    violations: list[Violation]
    event_counts: Counter


@dataclass(slots=True)
class Crowd:
    """Clients that connect and say nothing, or half of a request; their nodes may close them."""

    writers: list = field(default_factory=list)

    async def gather(self, addresses, count):
        """Opens connections to the nodes in turn; a node that refuses has one less."""
        for number in range(count):
            try:
                _, writer = await asyncio.open_connection(*addresses[number % len(addresses)])
            except OSError:
                continue
            if number % 2:
                writer.write(HALF_A_REQUEST)
            self.writers.append(writer)

    def leave(self):
        """Closes all connections."""
        for writer in self.writers:
            writer.close()


class Soak:
    """One round.

    Attributes:
        seed: Its seed; an even one has a crowd.
        seconds: For how long requests come.
        cluster: The `ProcessCluster`; its nodes are no fleet.
        checker: The `TrialChecker` of what clients and executors saw.
    """

    def __init__(self, seed, seconds):
        self.seed = seed
        self.seconds = seconds
        self.cluster = ProcessCluster(
            ProcessClusterSettings(
                operations=OPERATIONS, nodes=NODES, executors=EXECUTORS, seed=seed, maintenance=False
            )
        )
        self.checker = TrialChecker()
        self._random = random.Random(f"soak {seed}")
        self._crowd = Crowd()

    async def play(self):
        """Plays the round to its end; returns its `SoakResult`."""
        try:
            await self.cluster.start()
            if self.seed % 2 == 0:
                await self._crowd.gather([*self.cluster.nodes.values()], SILENT_CLIENTS)
            await self._play()
        finally:
            self._crowd.leave()
            await self.cluster.close()
        counts = self.checker.event_counts + self.cluster.event_counts
        return SoakResult(self.seed, self.checker.violations, counts)

    async def _play(self):
        clients = OpenLoopClients(self.cluster.nodes, seed=self.seed)
        shape = LoadShape(operations=OPERATIONS, rate=REQUEST_RATE, seconds=self.seconds, mean_work=MEAN_WORK)
        load = asyncio.ensure_future(clients.play(draw_arrivals(self.seed, shape)))
        loop = asyncio.get_running_loop()
        end = loop.time() + self.seconds
        signals = [asyncio.ensure_future(self._signal_until(name, end)) for name in self.cluster.nodes]
        await asyncio.gather(load, *signals)
        self.cluster.report_to(clients.ledger)
        self.checker.check_rules(clients.ledger)

    async def _signal_until(self, name, end):
        """Sends a node one series of signals after the other."""
        loop = asyncio.get_running_loop()
        while loop.time() < end:
            await asyncio.sleep(self._random.random() * LONGEST_PAUSE)
            series = self._random.choice((self._reload_and_restart, self._take_over, self._restart_at_once))
            await series(name)

    async def _reload_and_restart(self, name):
        self.cluster.reload(name)
        await self._pause()
        await self._end(name, self.cluster.processes[name], (signal.SIGTERM, signal.SIGTERM))
        await self.cluster.launch(name)

    async def _restart_at_once(self, name):
        await self._end(name, self.cluster.processes[name], (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM))
        await self.cluster.launch(name)

    async def _take_over(self, name):
        """Starts a process beside the one that serves, which gets signals before and after it is ready."""
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
        """Ends a process by signals, and kills it at the earliest moment that is allowed."""
        loop = asyncio.get_running_loop()
        start = loop.time()
        for number in signals:
            _send_signal(process, number)
            await self._pause()
        try:
            await asyncio.wait_for(process.wait(), start + EARLIEST_KILL - loop.time())
            self.cluster.event_counts["ended by itself"] += 1
            if process.returncode != 0:
                self.checker.report("exit", f"{name} ended with {process.returncode}")
        except TimeoutError:
            process.kill()
            await process.wait()
            self.cluster.event_counts["killed"] += 1
        self.checker.graceful_shutdowns[name].append((start, loop.time()))

    async def _pause(self):
        await asyncio.sleep(self._random.random() * LONGEST_SIGNAL_PAUSE)


def _send_signal(process, number):
    """Sends a signal to a process that may just have ended.

    Its own method would take the exit status of such a one away from who waits for it.
    """
    if process.returncode is None:
        with suppress(ProcessLookupError):
            os.kill(process.pid, number)


async def play(seed, seconds):
    """Plays one round; returns its `SoakResult`.

    Args:
        seed: The round's seed.
        seconds: For how long requests come.
    """
    return await Soak(seed, seconds).play()
