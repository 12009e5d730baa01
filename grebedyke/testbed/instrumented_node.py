"""A real node of a scale run, whose components have the same instruments as those of a hollow node.

A scale run starts it as `python -m grebedyke.testbed.instrumented_node`: the launcher with an agent.
"""

import asyncio
import signal
import sys
from contextlib import nullcontext

from grebedyke.model.seeded_random import SeededRandom
from grebedyke.testbed import broken_builds, launcher
from grebedyke.testbed.process_agent import ProcessAgent
from grebedyke.testbed.process_settings import Instruments, ProcessSettings


class InstrumentedNode:
    """The only node of this process, with the interface that `ProcessAgent` expects of a node.

    Attributes:
        node_id: The node's number.
        probe: Its `NodeProbe`.
        random: Random generator of start delays.
        is_running: Always true.
        has_demand: Whether demand has been started.
        batch_loop: Its `BatchLoop`.
        demand: Its `DemandGenerator`.
    """

    def __init__(self, node, settings, instruments):
        """Attaches the instruments to a node that has not started yet.

        Args:
            node: The node, as returned by `assembly.assemble`.
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
        """Does nothing: the node runs as long as its process."""

    def end(self):
        """Does nothing: the run kills the process."""


def main():
    """Runs the node and returns its exit code."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    settings = ProcessSettings.take_from_environment()
    tasks = []

    def attach_agent(node):
        """Starts the agent of an assembled node."""
        instruments = Instruments(settings)
        host = InstrumentedNode(node, settings, instruments)
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
