"""A real node of a scale run, with the same instruments around its parts as a hollow one has.

Started by a scale run as `python -m grebedyke.testbed.counted_node`: the launcher, with the instruments that
GREBEDYKE_SCALE describes.
"""

import asyncio
import os
import signal
import sys
from collections import Counter
from contextlib import nullcontext

import orjson

from grebedyke.model.seeded_random import SeededRandom
from grebedyke.testbed import broken_builds, launcher
from grebedyke.testbed.instrumentation import Demand, Seen, Tap, operation
from grebedyke.testbed.process_agent import Station


class Real:
    """The one node of this process; it ends with it."""

    def __init__(self, node, told, seen, passes):
        loop, [me, wants] = node.parts.loop, told["nodes"][0]
        self.me, self.turn, self.alive, self.wanted = me, node.parts.batch, True, False
        self.chance = SeededRandom(f"real {told['seed']} {me}")
        self.tap = Tap(me, seen, told["seed"])
        self.tap.loss, self.tap.delay = told["loss"], told["delay"]
        self.tap.attach(node.component_host, node.parts.peers, loop)
        node.parts.batch.before_write = node.component_host.expire
        self.demand = Demand(
            loop,
            self.tap,
            node.parts.batch,
            told["seed"],
            wants,
            operation(told["operation"]),
            told["every"],
            told["hold"],
            passes,
        )

    def start(self):
        """It has."""

    end = start


def main():
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    told = orjson.loads(os.environ.pop("GREBEDYKE_SCALE"))
    tasks = []

    def joined(node):
        seen, passes = Seen(), Counter()
        host = Real(node, told, seen, passes)
        station = Station(node.parts.loop, {host.me: host}, seen, passes, told["folder"])
        tasks.append(asyncio.ensure_future(station.serve(), loop=node.parts.loop))

    with broken_builds.build(told["build"]) if told.get("build") else nullcontext():
        return launcher.main(joined)


if __name__ == "__main__":
    sys.exit(main())
