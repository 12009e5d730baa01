"""One node: its phases from start to exit."""

import asyncio
import gc
import signal
import time
from contextlib import suppress
from enum import Enum
from typing import NamedTuple

from loguru import logger

from grebedyke.service.admin_api import AdminApi
from grebedyke.service.batch_loop import NANOSECONDS_PER_TICK, BatchLoop
from grebedyke.service.dispatcher_host import DispatcherHost
from grebedyke.service.graceful_shutdown import GracefulShutdown
from grebedyke.service.hot_restart import HotRestart
from grebedyke.service.metrics import Metrics
from grebedyke.service.process_messages import ProcessMessages
from grebedyke.units import TICKS_PER_SECOND
from grebedyke.wire.client_listener import ClientListener
from grebedyke.wire.discovery_client import DiscoveryClient
from grebedyke.wire.endpoint_rows import parse_endpoint_rows
from grebedyke.wire.executor_pool import ExecutorPool
from grebedyke.wire.peer_socket import PeerSocket

# Seconds that a start waits for discovery's first answer. An agent is on this machine and answers at once, or
# not at all.
FIRST_LIST_TIMEOUT_S = 0.3
# Seconds until what was written last is with the kernel.
FLUSH_TIME_S = 0.02


class NodePhase(Enum):
    """What a node is doing.

    Attributes:
        STARTING: It does not listen yet.
        SERVING: It takes requests.
        STOPPING: It takes fewer and fewer, and answers what is open.
        STOPPED: It takes nothing any more.
    """

    STARTING = "starting"
    SERVING = "serving"
    STOPPING = "stopping"
    STOPPED = "stopped"


NEXT_PHASES = {
    # A start that is told to end before it listens has no request to answer.
    NodePhase.STARTING: {NodePhase.SERVING, NodePhase.STOPPED},
    NodePhase.SERVING: {NodePhase.STOPPING},
    NodePhase.STOPPING: {NodePhase.STOPPED},
    NodePhase.STOPPED: set(),
}


class NodeParts(NamedTuple):
    """The parts of a node.

    Attributes:
        loop: The event loop.
        batch: Its batches.
        metrics: Counts and histograms for the log.
        pool: The connections to executors.
        host: Hosts the dispatcher.
        listener: Accepts clients and call-backs.
        admin_api: Accepts operators.
        discovery: Follows the endpoint list.
        peers: The socket for datagrams of other nodes.
        hot_restart: The channel to another process of this node.
        process_messages: What goes over it.
    """

    loop: asyncio.AbstractEventLoop
    batch: BatchLoop
    metrics: Metrics
    pool: ExecutorPool
    host: DispatcherHost
    listener: ClientListener
    admin_api: AdminApi
    discovery: DiscoveryClient
    peers: PeerSocket
    hot_restart: HotRestart
    process_messages: ProcessMessages


class Node:
    """Starts, serves, reloads and ends.

    Attributes:
        parts: The `NodeParts`.
        reloading: The `ConfigurationReload`.
        longest_timeout: The longest client timeout in ticks; after it no request is open.
        phase: The `NodePhase`.
        stopped: Future that is done at the end.
        component_host: Hosts the components of a fleet; None outside of one.
        is_stop_requested: Whether the signal to end came before the node served.
        shutdown: The `GracefulShutdown`.
    """

    def __init__(self, parts, reloading, longest_timeout):
        self.parts = parts
        self.reloading = reloading
        self.longest_timeout = longest_timeout
        self.phase = NodePhase.STARTING
        self.stopped = parts.loop.create_future()
        self.component_host = None
        self.is_stop_requested = False
        self.shutdown = GracefulShutdown(self, parts)
        # The endpoint list has Unix times, the dispatcher the monotonic clock's.
        unix_time = time.time_ns() // NANOSECONDS_PER_TICK
        parts.host.endpoint_updates.unix_time_offset = parts.batch.clock() - unix_time

    @property
    def configuration(self):
        """The configuration in force."""
        return self.reloading.configuration

    def is_serving(self):
        """Returns whether the node serves and is not told to end."""
        return self.phase == NodePhase.SERVING

    def enter(self, phase):
        """Goes on to another phase.

        Raises:
            RuntimeError: That phase does not follow this one.
        """
        if phase not in NEXT_PHASES[self.phase]:
            raise RuntimeError(f"no way from {self.phase.value} to {phase.value}")
        logger.info("phase {before} -> {after}", event="phase", before=self.phase.value, after=phase.value)
        self.phase = phase

    # Start.

    async def serve(self):
        """Starts, serves, and returns once the node has ended.

        Raises:
            OSError: An address cannot be used.
            ConfigurationError: The fleet's folder cannot be used.
        """
        self._handle_signals()
        listening_socket = await self._gather_state()
        if self.is_stop_requested:
            if listening_socket:
                listening_socket.close()
            self.finish()
            await self.stopped
            return
        parts = self.parts
        await parts.listener.listen(parts.loop, *self.configuration["listen"], listening_socket)
        self._begin_serving()
        await self.stopped

    def _handle_signals(self):
        """Handles signals before anything is taken.

        One between listening and its handler would end the program at once, with the requests that it has.
        """
        loop = self.parts.loop
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stop)
        loop.add_signal_handler(signal.SIGHUP, self.reload)

    async def _gather_state(self):
        """Learns what it can before it listens; returns the predecessor's listening socket or None."""
        parts = self.parts
        endpoint_updates = parts.host.endpoint_updates
        parts.batch.enqueue(endpoint_updates.on_list_unavailable)
        known_rows = parse_endpoint_rows(self.configuration["known"])
        parts.batch.enqueue(endpoint_updates.on_list, True, known_rows)
        # What a serving process knows goes before: the file's list may be old, and has no bans.
        listening_socket = await parts.hot_restart.inherit()
        if self.component_host:
            self.component_host.start(parts.hot_restart.predecessor is not None)
        parts.discovery.poll()
        if self.configuration["console"]:
            # Before all else that may take its time: "not ready" is an answer too.
            await parts.admin_api.listen(parts.loop, *self.configuration["console"])
        own_number = int(self.configuration["settings"]["me"])
        parts.peers.set_peers(self.configuration["peers"], own_number)
        # What the agent has counts as known from the first moment on, whatever the file's list says.
        with suppress(TimeoutError):
            await asyncio.wait_for(parts.discovery.first_result.wait(), FIRST_LIST_TIMEOUT_S)
        await self._check_peer_address()
        return listening_socket

    async def _check_peer_address(self):
        peers = self.parts.peers
        if not peers.open_task:
            return
        await peers.open_task
        # Beside a predecessor the address is in use, and the socket is opened at that one's end.
        if not (peers.transport or self.parts.hot_restart.predecessor):
            raise OSError("the address of this node in peers is in use or not this machine's")

    def _begin_serving(self):
        parts = self.parts
        self.enter(NodePhase.SERVING)
        parts.hot_restart.offer()
        parts.batch.call_later(TICKS_PER_SECOND, self._each_second, 1)
        parts.batch.watchdog_tick()
        parts.loop.set_exception_handler(self._log_loop_fault)
        gc.collect()
        gc.freeze()
        if self.reloading.is_outdated():
            # The signal that the file was written came too early, or to the predecessor.
            self.reload(True)
        if self.is_stop_requested:
            self.stop()

    def _each_second(self, now, count):
        self.parts.pool.sweep(now)
        if count % self.configuration["counts"] == 0:
            self.parts.metrics.report()
        self.parts.batch.call_at(now + TICKS_PER_SECOND, self._each_second, count + 1)

    def _log_loop_fault(self, loop, context):
        """Logs what asyncio meets outside of a batch, as a lack of descriptors; it never ends the node."""
        if self.parts.metrics.count_and_may_log("faults"):
            logger.opt(exception=context.get("exception")).error(
                "loop: {why}", event="loop-fault", why=context.get("message")
            )

    def reload(self, passed_on=False):
        """Puts what has changed in the configuration in force.

        Args:
            passed_on: Whether the signal came to the other process of this node.
        """
        if not passed_on:
            self.parts.process_messages.send_reload()
        if self.is_serving():
            self.reloading.reload()

    # End.

    def stop(self):
        """Begins the graceful shutdown; during a start it begins as soon as that has come to its end."""
        if not self.is_serving():
            self.is_stop_requested = True
            return
        self.enter(NodePhase.STOPPING)
        self.shutdown.begin(self.longest_timeout)

    def finish(self):
        """Ends, with nothing open any more."""
        parts = self.parts
        # What still comes until the loop has ended is told to go elsewhere; taken, it would be lost.
        parts.host.requests.shutdown_at = parts.batch.clock()
        parts.listener.close_idle()
        parts.discovery.close()
        parts.peers.close()
        parts.metrics.report()
        self.enter(NodePhase.STOPPED)
        # In one pass of the loop what was written last goes to the kernel.
        parts.loop.call_soon(parts.loop.call_later, FLUSH_TIME_S, self.close)

    def close(self):
        """Closes all connections; `serve` returns."""
        parts = self.parts
        parts.listener.close()
        parts.admin_api.close()
        parts.hot_restart.close()
        if self.component_host:
            self.component_host.close()
        if not self.stopped.done():
            self.stopped.set_result(None)


async def run(assemble, *arguments):
    """Assembles a node in the running event loop and serves until its end."""
    await assemble(asyncio.get_running_loop(), *arguments).serve()
