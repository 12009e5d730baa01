"""Runs many hollow nodes in one process: real components, sockets and clock, without the rest of a node.

Hollow nodes have no clients, executors or log. The components of each are hosted by
`service/component_host.py` itself, with their own socket, batch loop and folder. A scale run starts this
module as `python -m grebedyke.testbed.hollow_node`. docs/scale.md describes how well a hollow node represents
a real one.
"""

import asyncio
import os
import signal
import sys
from collections import deque
from contextlib import nullcontext

from loguru import logger

from grebedyke.consensus import framing
from grebedyke.model.seeded_random import SeededRandom
from grebedyke.service import configuration
from grebedyke.service.batch_loop import BatchLoop
from grebedyke.service.component_host import ComponentHost, NodeAccess
from grebedyke.service.fleet_assembly import build_components, new_process_id
from grebedyke.service.metrics import Metrics
from grebedyke.service.record_files import RecordFiles
from grebedyke.testbed import broken_builds
from grebedyke.testbed.process_agent import LAG_CHECK_INTERVAL, ProcessAgent
from grebedyke.testbed.process_settings import Instruments, ProcessSettings
from grebedyke.wire.peer_socket import PeerSocket


class SharedResources:
    """The resources that the hollow nodes of a process share.

    Attributes:
        loop: The event loop.
        metrics: The `Metrics`, which are not read.
        endpoint_rows: The endpoint list.
        pass_times: Times of the latest runs of the shared watchdog, by which each node detects stalls.
        instruments: The `Instruments`.
        seed: Seed of the scale run.
    """

    def __init__(self, loop, settings):
        """Creates the resources from the `ProcessSettings`; the watchdog is not started."""
        self.loop = loop
        self.metrics = Metrics()
        self.endpoint_rows = [tuple(row) for row in settings.endpoint_rows]
        self.pass_times = deque([BatchLoop.clock()] * 3, 3)
        self.instruments = Instruments(settings)
        self.seed = settings.seed

    def run_watchdog(self):
        """Records the current time now and at each further interval."""
        self.pass_times.append(BatchLoop.clock())
        self.loop.call_later(LAG_CHECK_INTERVAL, self.run_watchdog)


class HollowNode:
    """One node over all its processes, which are simulated within this object.

    Attributes:
        node_id: The node's number.
        probe: Its `NodeProbe`.
        random: Random generator of the node's start delays.
        is_running: Whether the node is running.
        has_demand: Whether demand starts together with the node.
        batch_loop: The `BatchLoop` of the current process.
        demand: Its `DemandGenerator`.
    """

    def __init__(self, shared, node_id, node_configuration, tenants):
        """Creates the node without starting it.

        Args:
            shared: The `SharedResources`.
            node_id: The node's number.
            node_configuration: The configuration, as returned by `configuration.read_node`.
            tenants: Names of the tenants whose requests the node receives.
        """
        self.node_id = node_id
        self.probe = shared.instruments.probe(node_id)
        self.random = SeededRandom(f"hollow {shared.seed} {node_id}")
        self.is_running = False
        self.has_demand = False
        self.batch_loop = BatchLoop(shared.loop, shared.metrics)
        self.batch_loop.next_action = lambda now: None
        self.demand = shared.instruments.demand(shared.loop, self.probe, self.batch_loop, tenants)
        self._shared = shared
        self._configuration = node_configuration
        self._start_count = 0
        self._peers = None
        self._host = None

    def start(self):
        """Starts another process of this node on the same folder."""
        if self.is_running:
            return
        if self._host:
            # Waits for writes in progress: a real process's kill does not undo a write that was handed to
            # the operating system.
            self._host.disk_thread.shutdown(wait=True)
        self._start_count += 1
        self._build()
        self._peers.set_peers(self._configuration["peers"], self.node_id)
        self.batch_loop.enqueue(self._host.endpoints_changed, True, self._shared.endpoint_rows)
        self._host.start(False)
        self.is_running = True
        if self.has_demand:
            self.demand.start()

    def _build(self):
        """Creates the components of a process and connects them."""
        shared = self._shared
        batch_loop = BatchLoop(shared.loop, shared.metrics)
        # All nodes share one event loop, so a stall affects all of them and one watchdog is enough.
        batch_loop.pass_times = shared.pass_times
        self.batch_loop = batch_loop
        self.demand.batch_loop = batch_loop
        process = new_process_id()
        seed = f"{self._configuration['seed']} {self._start_count}"
        node_configuration = {**self._configuration, "seed": seed}
        peers = PeerSocket(shared.loop, batch_loop, None, framing.LARGEST_DATAGRAM)
        fleet = self._configuration["fleet"]
        host = ComponentHost(
            shared.loop,
            batch_loop,
            RecordFiles(fleet["folder"]),
            fleet["name"],
            build_components(node_configuration, process, batch_loop.clock()),
            self._node_access(peers),
        )
        self.probe.attach(host, peers, shared.loop)
        peers.on_message = host.receive_datagram
        batch_loop.next_action = host.next_action
        batch_loop.before_write = host.expire
        batch_loop.carry_out = lambda now, decision: host.perform(now, *decision)
        self._peers = peers
        self._host = host

    def _node_access(self, peers):
        return NodeAccess(
            send_datagram=peers.send,
            # Without executors every endpoint that is to be excluded counts as known.
            set_ban=lambda now, name, is_banned, was_restarted=True: True,
            with_open_attempts=lambda names: [],
            unapplied=lambda names: [],
            has_other_process=lambda: False,
            send_exclusion_lease=lambda lease: None,
            listed_names=lambda: [row[0] for row in self._shared.endpoint_rows],
            banned_names=lambda: [],
        )

    def end(self):
        """Ends the process like a kill: it sends, receives and writes nothing afterwards."""
        if not self.is_running:
            return
        self.is_running = False
        self.demand.stop()
        self._peers.set_peers([], 0)
        self._host.is_started = False
        self.batch_loop.timers.clear()
        self._host.close()


async def serve(settings):
    """Runs the nodes of this process until the run ends; `settings` is the `ProcessSettings`."""
    loop = asyncio.get_running_loop()
    shared = SharedResources(loop, settings)
    hosts = {}
    first = configuration.read_node({"BALANCER_CONFIG": settings.configuration_file})
    for node_id, tenants in settings.nodes:
        node_configuration = {
            **first,
            "seed": f"{settings.seed} {node_id}",
            "settings": {**first["settings"], "me": node_id},
            "fleet": {**first["fleet"], "folder": os.path.join(settings.folder, f"n{node_id}")},
        }
        hosts[node_id] = HollowNode(shared, node_id, node_configuration, tenants)
    instruments = shared.instruments
    agent = ProcessAgent(loop, hosts, instruments.learned_values, instruments.admissions, settings.folder)
    shared.run_watchdog()
    agent.loop_lag.measure()
    await agent.serve()


def main():
    """Runs a process of hollow nodes."""
    # The scale run ends this process: an interrupt from the terminal goes to the run alone.
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    settings = ProcessSettings.take_from_environment()
    logger.remove()
    logger.add(sys.stderr, level="WARNING", diagnose=False)
    build = broken_builds.build(settings.broken_build) if settings.broken_build else nullcontext()
    with build:
        asyncio.run(serve(settings))


if __name__ == "__main__":
    main()
