"""A real node of a scale run, with the same instruments around its parts as a hollow one has.

python -m grebedyke.rig.counted: the rig's launch, told by GREBEDYKE_SCALE beside; only a scale run starts it.
"""

import asyncio
import os
import signal
import sys
from collections import Counter
from contextlib import nullcontext

import orjson

from grebedyke.model.seeded_random import SeededRandom
from grebedyke.rig import broken, launch
from grebedyke.rig.station import Station
from grebedyke.rig.taps import Demand, Seen, Tap, operation


class Real:
    """The one node of this process; it ends with it."""

    def __init__(self, node, told, seen, passes):
        loop, [me, wants] = node.loop, told["nodes"][0]
        self.me, self.turn, self.alive, self.wanted = me, node.turn, True, False
        self.chance = SeededRandom(f"real {told['seed']} {me}")
        self.tap = Tap(me, seen, told["seed"])
        self.tap.loss, self.tap.delay = told["loss"], told["delay"]
        self.tap.attach(node.also, node.peers, loop)
        node.turn.last_look = node.also.expire
        self.demand = Demand(
            loop,
            self.tap,
            node.turn,
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
        station = Station(node.loop, {host.me: host}, seen, passes, told["folder"])
        tasks.append(asyncio.ensure_future(station.serve(), loop=node.loop))

    with broken.build(told["build"]) if told.get("build") else nullcontext():
        return launch.main(joined)


if __name__ == "__main__":
    sys.exit(main())
