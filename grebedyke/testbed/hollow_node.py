"""Hollow nodes, many in a process: the real components, sockets and clock, and nothing else of a node.

They have no clients, executors and log. Each one's components are hosted by `service/component_host.py`
itself, with a socket, a batch loop and a folder of its own. A scale run starts this module as `python -m
grebedyke.testbed.hollow_node`. docs/scale.md says how far such a node stands for a real one.
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
from grebedyke.testbed.process_agent import BEAT_INTERVAL, ProcessAgent
from grebedyke.testbed.process_settings import Instruments, ProcessSettings
from grebedyke.wire.peer_socket import PeerSocket


class SharedResources:
    """What the hollow nodes of one process share.

    Attributes:
        loop: The event loop.
        metrics: The `Metrics`, which nobody reads.
        endpoint_rows: The endpoint list.
        beats: The newest times of the shared beat, by which each node knows that the process stood still.
        instruments: The `Instruments`.
        seed: Of the run.
    """

    def __init__(self, loop, settings):
        """Begins without a beat; `settings` is the `ProcessSettings`."""
        self.loop = loop
        self.metrics = Metrics()
        self.endpoint_rows = [tuple(row) for row in settings.endpoint_rows]
        self.beats = deque([BatchLoop.clock()] * 3, 3)
        self.instruments = Instruments(settings)
        self.seed = settings.seed

    def note_time(self):
        """Notes the time from now on, again and again."""
        self.beats.append(BatchLoop.clock())
        self.loop.call_later(BEAT_INTERVAL, self.note_time)


class HollowNode:
    """One node over all its processes, which here are lives of an object.

    Attributes:
        node_id: The node's number.
        probe: Its `NodeProbe`.
        random: Draws its start times.
        is_running: Whether it runs.
        has_demand: Whether demand is to begin with its next start.
        batch_loop: Its `BatchLoop`.
        demand: Its `DemandGenerator`.
    """

    def __init__(self, shared, node_id, node_configuration, tenants):
        """Begins without running.

        Args:
            shared: The `SharedResources`.
            node_id: The node's number.
            node_configuration: Its configuration, as `configuration.read_node` gives it.
            tenants: Names of the tenants whose requests come in at it.
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
        """Starts another process of this node, with the folder of the one before."""
        if self.is_running:
            return
        if self._host:
            # What the process before had begun to write is with the disk: a kill does not undo it.
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
        """Puts the parts of a process together and connects them."""
        shared = self._shared
        batch_loop = BatchLoop(shared.loop, shared.metrics)
        # All nodes have one event loop: a stall of it is one of all, and one beat tells them.
        batch_loop.pass_times = shared.beats
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
            # A node that sends to nobody knows each executor that it is told to exclude.
            set_ban=lambda now, name, is_banned, was_restarted=True: True,
            with_open_attempts=lambda names: [],
            listed_names=lambda: [row[0] for row in self._shared.endpoint_rows],
            banned_names=lambda: [],
        )

    def end(self):
        """Ends the process as a kill does: nothing more is sent, received or written by it."""
        if not self.is_running:
            return
        self.is_running = False
        self.demand.stop()
        self._peers.set_peers([], 0)
        self._host.is_started = False
        self.batch_loop.timers.clear()
        self._host.close()


async def serve(settings):
    """Has the nodes of this process until the run ends; `settings` is the `ProcessSettings`."""
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
    shared.note_time()
    agent.loop_lag.measure()
    await agent.serve()


def main():
    """Runs one process of hollow nodes."""
    # The run ends it, not the terminal.
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    settings = ProcessSettings.take_from_environment()
    logger.remove()
    logger.add(sys.stderr, level="WARNING", diagnose=False)
    build = broken_builds.build(settings.broken_build) if settings.broken_build else nullcontext()
    with build:
        asyncio.run(serve(settings))


if __name__ == "__main__":
    main()
