"""Hollow nodes, many in a process: the real parts on real datagrams in real time, and nothing else of a node.

No clients, executors and log; the parts are hosted by `service/component_host.py` itself, each node's with a
socket, a turn and a folder of its own. python -m grebedyke.rig.hollow, told by GREBEDYKE_SCALE (JSON); only a
scale run starts it. docs/scale.md says how far such a node stands for a real one.
"""

import asyncio
import os
import signal
import sys
from collections import Counter, deque
from contextlib import nullcontext

import orjson
from loguru import logger

from grebedyke.consensus import framing
from grebedyke.model.seeded_random import SeededRandom
from grebedyke.rig import broken
from grebedyke.rig.station import BEAT, Station
from grebedyke.rig.taps import Demand, Seen, Tap, operation
from grebedyke.service import configuration
from grebedyke.service.component_host import ComponentHost, NodeAccess
from grebedyke.service.fleet_assembly import build_components, new_process_id
from grebedyke.service.log import Gauges
from grebedyke.service.record_files import RecordFiles
from grebedyke.service.turn import Turn
from grebedyke.wire.peer_socket import PeerSocket


class Hollow:
    """One node over its lives. `said`: what a node's configuration says; `place`: what its process shares.

    `wants`: the tenants of its clients.
    """

    def __init__(self, place, me, said, wants):
        self.place, self.me, self.said = place, me, said
        self.tap = Tap(me, place.seen, place.seed)
        self.tap.loss, self.tap.delay = place.loss, place.delay
        self.chance = SeededRandom(f"hollow {place.seed} {me}")
        self.alive, self.wanted, self.lives, self.disk = False, False, 0, None
        self.turn = Turn(place.loop, place.gauges)
        self.turn.decide = lambda now: None
        self.peers, self.parts = None, None
        self.demand = Demand(
            place.loop,
            self.tap,
            self.turn,
            place.seed,
            wants,
            place.operation,
            place.every,
            place.hold,
            place.passes,
        )

    def start(self):
        """Another process of this node, with the folder of the one before."""
        if self.alive:
            return
        if self.disk:
            # What the process before had begun to write is with the disk: a kill does not undo it.
            self.disk.shutdown(wait=True)
        place, turn = self.place, Turn(self.place.loop, self.place.gauges)
        # One loop: a stall of it is one of all its nodes, and one beat tells them all.
        turn.marks = place.marks
        self.lives, self.turn, self.demand.turn = self.lives + 1, turn, turn
        process = new_process_id()
        told = {**self.said, "seed": f"{self.said['seed']} {self.lives}"}
        peers = self.peers = PeerSocket(place.loop, turn, None, framing.LARGEST_DATAGRAM)
        parts = self.parts = ComponentHost(
            place.loop,
            turn,
            RecordFiles(self.said["fleet"]["folder"]),
            self.said["fleet"]["name"],
            build_components(told, process, turn.clock()),
            NodeAccess(
                send_datagram=peers.send,
                # A node that has nobody to send to knows each executor that it is told to leave out.
                set_ban=lambda now, name, is_banned: True,
                with_open_attempts=lambda names: [],
                listed_names=lambda: [row[0] for row in place.rows],
                banned_names=lambda: [],
            ),
        )
        self.disk = parts.disk_thread
        self.tap.attach(parts, peers, place.loop)
        peers.on_message = parts.receive_datagram
        turn.decide, turn.last_look = parts.next_action, parts.expire
        turn.carry = lambda now, decision: parts.perform(now, *decision)
        peers.set_peers(self.said["peers"], self.me)
        turn.put(parts.endpoints_changed, True, place.rows)
        parts.start(False)
        self.alive = True
        if self.wanted:
            self.demand.go()

    def end(self):
        """As a kill: nothing more is said, heard or written by it."""
        if self.alive:
            self.alive = False
            self.demand.stop()
            self.peers.set_peers([], 0)
            self.parts.is_started = False
            self.turn.limits.clear()
            self.parts.close()


class Place:
    """What the hollow nodes of one process share."""

    def __init__(self, loop, told):
        self.loop, self.seed, self.rows = loop, told["seed"], [tuple(row) for row in told["rows"]]
        self.seen, self.passes, self.gauges = Seen(), Counter(), Gauges()
        self.marks = deque([Turn.clock()] * 3, 3)
        self.loss, self.delay = told["loss"], told["delay"]
        self.operation, self.every, self.hold = operation(told["operation"]), told["every"], told["hold"]

    def beat(self):
        self.marks.append(Turn.clock())
        self.loop.call_later(BEAT, self.beat)


async def run(told):
    loop = asyncio.get_running_loop()
    place, hosts = Place(loop, told), {}
    said = configuration.read_node({"BALANCER_CONFIG": told["file"]})
    for me, wants in told["nodes"]:
        settings = {**said["settings"], "me": me}
        fleet = {**said["fleet"], "folder": os.path.join(told["folder"], f"n{me}")}
        mine = {**said, "seed": f"{told['seed']} {me}", "settings": settings, "fleet": fleet}
        hosts[me] = Hollow(place, me, mine, wants)
    station = Station(loop, hosts, place.seen, place.passes, told["folder"])
    place.beat()
    station.beat()
    await station.serve()


def main():
    # The run's word ends it, not the terminal's.
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    told = orjson.loads(os.environ.pop("GREBEDYKE_SCALE"))
    logger.remove()
    logger.add(sys.stderr, level="WARNING", diagnose=False)
    with broken.build(told["build"]) if told.get("build") else nullcontext():
        asyncio.run(run(told))


if __name__ == "__main__":
    main()
