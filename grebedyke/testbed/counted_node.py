"""A real node of a scale run, with the same instruments around its components as a hollow one has.

A scale run starts it as `python -m grebedyke.testbed.counted_node`: the launcher, told more.
"""

import asyncio
import signal
import sys
from contextlib import nullcontext

from grebedyke.model.seeded_random import SeededRandom
from grebedyke.testbed import broken_builds, launcher
from grebedyke.testbed.process_agent import ProcessAgent
from grebedyke.testbed.process_settings import Instruments, ProcessSettings


class CountedNode:
    """The one node of this process, as a `ProcessAgent` knows nodes; it runs as long as the process.

    Attributes:
        node_id: The node's number.
        probe: Its `NodeProbe`.
        random: Draws its start times.
        is_running: Always true.
        has_demand: Whether demand has begun.
        batch_loop: Its `BatchLoop`.
        demand: Its `DemandGenerator`.
    """

    def __init__(self, node, settings, instruments):
        """Puts the instruments around a node that has not begun.

        Args:
            node: The node, as `assembly.assemble` gives it.
            settings: The `ProcessSettings`.
            instruments: The `Instruments`.
        """
        self.node_id, tenants = settings.nodes[0]
        self.batch_loop = node.parts.batch
        self.is_running = True
        self.has_demand = False
        self.random = SeededRandom(f"real {settings.seed} {self.node_id}")
        self.probe = instruments.probe(self.node_id)
        self.probe.attach(node.component_host, node.parts.peers, node.parts.loop)
        node.parts.batch.before_write = node.component_host.expire
        self.demand = instruments.demand(node.parts.loop, self.probe, node.parts.batch, tenants)

    def start(self):
        """Does nothing: it runs."""

    def end(self):
        """Does nothing: the run kills its process."""


def main():
    """Runs the node; returns its exit code."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    settings = ProcessSettings.take_from_environment()
    tasks = []

    def attach_agent(node):
        """Puts the agent beside a node that has been put together."""
        instruments = Instruments(settings)
        host = CountedNode(node, settings, instruments)
        agent = ProcessAgent(
            node.parts.loop,
            {host.node_id: host},
            instruments.learned_values,
            instruments.admissions,
            settings.folder,
        )
        tasks.append(asyncio.ensure_future(agent.serve(), loop=node.parts.loop))

    build = broken_builds.build(settings.broken_build) if settings.broken_build else nullcontext()
    with build:
        return launcher.main(attach_agent)


if __name__ == "__main__":
    sys.exit(main())
