"""A node and its phases from start to exit."""

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
from grebedyke.service.identifier_channel import IdentifierChannel
from grebedyke.service.metrics import Metrics
from grebedyke.service.process_messages import ProcessMessages
from grebedyke.units import TICKS_PER_SECOND
from grebedyke.wire.client_listener import ClientListener
from grebedyke.wire.discovery_client import DiscoveryClient
from grebedyke.wire.endpoint_rows import parse_endpoint_rows
from grebedyke.wire.executor_pool import ExecutorPool
from grebedyke.wire.list_update import ListUpdate, ListVersion
from grebedyke.wire.peer_socket import PeerSocket

# Seconds that the start waits for discovery's first answer. If discovery is an agent, it runs on this machine
# and answers either at once or not at all.
FIRST_LIST_TIMEOUT_S = 0.3
# Seconds until the last output has reached the kernel.
FLUSH_TIME_S = 0.02


class NodePhase(Enum):
    """The phases of a node.

    Attributes:
        STARTING: It does not listen yet.
        SERVING: It accepts requests.
        STOPPING: It shuts down gracefully: answers open requests, and accepts fewer and fewer new ones.
        STOPPED: It accepts no requests.
    """

    STARTING = "starting"
    SERVING = "serving"
    STOPPING = "stopping"
    STOPPED = "stopped"


NEXT_PHASES = {
    # A node that is stopped before it listens has no requests to answer.
    NodePhase.STARTING: {NodePhase.SERVING, NodePhase.STOPPED},
    NodePhase.SERVING: {NodePhase.STOPPING},
    NodePhase.STOPPING: {NodePhase.STOPPED},
    NodePhase.STOPPED: set(),
}


class NodeParts(NamedTuple):
    """The parts of a node.

    Attributes:
        loop: The event loop.
        batch: Runs the batches of the event loop.
        metrics: Counts and histograms for the log.
        pool: The connections to executors.
        host: Hosts the dispatcher.
        listener: Accepts clients and call-backs.
        admin_api: Accepts operators' calls.
        discovery: Follows the endpoint list.
        peers: The socket for datagrams of other nodes.
        hot_restart: The channel to another process of this node.
        process_messages: The messages on that channel.
        identifier_channel: The messages on that channel about request identifiers.
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
    identifier_channel: IdentifierChannel


class Node:
    """Starts, serves, reloads and stops.

    Attributes:
        parts: The `NodeParts`.
        reloading: The `ConfigurationReload`.
        longest_timeout: The longest client timeout in ticks; no request stays open longer.
        phase: The `NodePhase`.
        stopped: Future that is done when the node has stopped.
        component_host: Hosts the components of the fleet; None outside of a fleet.
        is_stop_requested: Whether the signal to stop came before the node was serving.
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
        # The endpoint list has Unix times; the dispatcher uses the monotonic clock.
        unix_time = time.time_ns() // NANOSECONDS_PER_TICK
        parts.host.endpoint_updates.unix_time_offset = parts.batch.clock() - unix_time

    @property
    def configuration(self):
        """The configuration in force."""
        return self.reloading.configuration

    def is_serving(self):
        """Returns whether the node is serving and not stopping."""
        return self.phase == NodePhase.SERVING

    def change_phase(self, phase):
        """Changes to the next phase.

        Raises:
            RuntimeError: The phase cannot follow the current one.
        """
        if phase not in NEXT_PHASES[self.phase]:
            raise RuntimeError(f"a node cannot change from phase {self.phase.value} to {phase.value}")
        logger.info("phase {before} -> {after}", event="phase", before=self.phase.value, after=phase.value)
        self.phase = phase

    # Start.

    async def serve(self):
        """Starts the node, serves, and returns after the node has stopped.

        Raises:
            OSError: An address cannot be used.
            ConfigurationError: The fleet's folder cannot be used.
        """
        self._handle_signals()
        listening_socket = await self._load_initial_state()
        if self.is_stop_requested:
            if listening_socket:
                listening_socket.close()
            self.finish()
            await self.stopped
            return
        parts = self.parts
        await parts.identifier_channel.take_ownership()
        await parts.listener.listen(parts.loop, *self.configuration["listen"], listening_socket)
        self._begin_serving()
        await self.stopped

    def _handle_signals(self):
        """Installs the signal handlers before the node listens.

        A signal between the start of listening and the installation of its handler would end the process at
        once, together with the requests it has accepted.
        """
        loop = self.parts.loop
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stop)
        loop.add_signal_handler(signal.SIGHUP, self.reload)

    async def _load_initial_state(self):
        """Loads the initial state before listening; returns the predecessor's listening socket or None."""
        parts = self.parts
        endpoint_updates = parts.host.endpoint_updates
        parts.batch.enqueue(endpoint_updates.on_list_unavailable)
        parts.batch.enqueue(endpoint_updates.on_list, self.configured_list())
        # A serving process's state takes precedence: the file's list may be old and has no bans.
        listening_socket = await parts.hot_restart.inherit()
        if self.component_host:
            self.component_host.start(parts.hot_restart.has_inherited)
        parts.discovery.poll()
        if self.configuration["console"]:
            # Before the steps that may take time, so that operators get the answer "not ready".
            await parts.admin_api.listen(parts.loop, *self.configuration["console"])
        own_number = int(self.configuration["settings"]["me"])
        parts.peers.set_peers(self.configuration["peers"], own_number)
        # Changes that an agent already has count as known from the first moment on, so its list has to
        # replace the file's list before the node listens.
        with suppress(TimeoutError):
            await asyncio.wait_for(parts.discovery.first_result.wait(), FIRST_LIST_TIMEOUT_S)
        await self._check_peer_address()
        return listening_socket

    def configured_list(self):
        """Returns the endpoint list of the configuration as a `ListUpdate`."""
        known = self.configuration["known"]
        version = ListVersion(tuple(self.configuration["discovery"]), known.get("index"))
        return ListUpdate(version, None, True, parse_endpoint_rows(known))

    async def _check_peer_address(self):
        peers = self.parts.peers
        if not peers.open_task:
            return
        await peers.open_task
        # While a predecessor uses the address, the socket is opened later, after the predecessor has ended.
        if not (peers.transport or self.parts.hot_restart.predecessor):
            raise OSError("this node's address in peers is in use or belongs to another machine")

    def _begin_serving(self):
        parts = self.parts
        self.change_phase(NodePhase.SERVING)
        parts.hot_restart.listen_for_successor()
        parts.batch.call_later(TICKS_PER_SECOND, self._run_every_second, 1)
        parts.batch.run_watchdog()
        parts.loop.set_exception_handler(self._log_loop_error)
        gc.collect()
        gc.freeze()
        if self.reloading.is_outdated():
            # The reload signal for a changed file came too early or went to the predecessor.
            self.reload(True)
        if self.is_stop_requested:
            self.stop()

    def _run_every_second(self, now, count):
        self.parts.pool.sweep(now)
        if count % self.configuration["counts"] == 0:
            self.parts.listener.admission.report()
            self.parts.metrics.report()
        self.parts.batch.call_at(now + TICKS_PER_SECOND, self._run_every_second, count + 1)

    def _log_loop_error(self, loop, context):
        """Logs errors of asyncio outside of a batch, such as a lack of descriptors, and keeps serving."""
        if self.parts.metrics.count_and_may_log("faults"):
            logger.opt(exception=context.get("exception")).error(
                "loop: {why}", event="loop-fault", why=context.get("message")
            )

    def reload(self, passed_on=False):
        """Applies changes of the configuration.

        Args:
            passed_on: Whether the other process of this node received the signal and has passed it on.
        """
        if not passed_on:
            self.parts.process_messages.send_reload()
        if self.is_serving():
            self.reloading.reload()

    # Stop.

    def stop(self):
        """Starts the graceful shutdown; during the start of the node it is deferred until that is over."""
        if not self.is_serving():
            self.is_stop_requested = True
            return
        self.change_phase(NodePhase.STOPPING)
        self.shutdown.begin(self.longest_timeout)

    def finish(self):
        """Stops the node; no request is open any more."""
        parts = self.parts
        # Requests that still arrive until the loop has ended are refused, so that clients try another node;
        # accepted requests would be lost.
        parts.host.requests.shutdown_at = parts.batch.clock()
        parts.listener.close_idle()
        parts.discovery.close()
        parts.peers.close()
        parts.metrics.report()
        self.change_phase(NodePhase.STOPPED)
        # The last output goes to the kernel in the next pass of the loop.
        parts.loop.call_soon(parts.loop.call_later, FLUSH_TIME_S, self.close)

    def close(self):
        """Closes all connections and lets `serve` return."""
        parts = self.parts
        parts.listener.close()
        parts.admin_api.close()
        parts.identifier_channel.close()
        parts.hot_restart.close()
        if self.component_host:
            self.component_host.close()
        if not self.stopped.done():
            self.stopped.set_result(None)


async def run(assemble, *arguments):
    """Assembles a node in the running event loop and serves until it has stopped."""
    await assemble(asyncio.get_running_loop(), *arguments).serve()
