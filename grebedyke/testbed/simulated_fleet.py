"""The fleet of a scale run in simulated time: the same parts, settings and demand, by `world.py`.

Counted as around a hollow node: a datagram is what `frames` makes of a message, the time of the parts has
packing and unpacking in it, and no system calls.
"""

import json
import tempfile
from pathlib import Path
from time import thread_time_ns
from types import SimpleNamespace

from grebedyke.consensus import framing
from grebedyke.model.seeded_random import SeededRandom
from grebedyke.service import configuration
from grebedyke.service.fleet_assembly import build_components
from grebedyke.testbed.instrumentation import Asked, operation, weighed
from grebedyke.testbed.scale_figures import rows_of, yardstick
from grebedyke.testbed.simulated_cluster import SimulatedCluster
from grebedyke.testbed.simulated_node import SimulatedNode
from grebedyke.units import TICKS_PER_SECOND

TICK = TICKS_PER_SECOND // 5


class Counted(SimulatedNode):
    """Its parts are timed; what it sends and hears is counted as datagrams."""

    def __init__(self, world, me):
        super().__init__(world, me)
        self.counts, self.took, self.inside, self.number = [0, 0, 0, 0], 0, False, 0
        self.whole = framing.Reassembler(world.mark)

    def timed(self, call, *args):
        if self.inside:
            return call(*args)
        self.inside, start = True, thread_time_ns()
        try:
            return call(*args)
        finally:
            self.took += thread_time_ns() - start
            self.inside = False

    def run_components(self):
        self.timed(super().run_components)

    def came(self, by, data):
        self.counts[2] += len(data)
        self.counts[3] += sum(map(len, data))
        self.timed(self.take, by, data)

    def take(self, by, data):
        for frame in data:
            if (message := self.whole.take(by, frame)) is not None:
                self.receive(by, message)


class Scaled(SimulatedCluster):
    """`run`: the scale run whose fleet it is, of hollow nodes only."""

    def __init__(self, run):
        self.run_of, self.mark = run, framing.fleet_tag(f"scale {run.seed}")
        self.said = said_of(run)
        super().__init__(
            run.seed, nodes=run.count, voters=len(run.voters), executors=run.executors, faults=0, drift=0.0
        )
        self.nodes = [Counted(self, i) for i in range(run.count)]
        self.operation, self.down = operation("task"), set()
        self.wants = [run.wanted(i) for i in range(run.count)]
        self.chance = SeededRandom(f"simulated {run.seed}")

    def components_for(self, host):
        settings = {**self.said["settings"], "me": host.node_id}
        return build_components({**self.said, "settings": settings}, host.process + 2**55, host.clock())

    def value_learned(self, node, key, value):
        """Judged in the rounds of `torture`, not here."""

    def record_acceptance(self, host):
        """Nor this."""

    def send(self, by, to, message):
        host = self.nodes[by]
        host.number += 1
        data = framing.pack(self.mark, host.number, message)
        host.counts[0] += len(data)
        host.counts[1] += sum(map(len, data))
        self.schedule(2, self.come, by, to, data)

    def come(self, by, to, data):
        if self.nodes[to].is_running:
            self.nodes[to].came(by, data)

    # What goes on there.

    def ask(self, host, every, hold):
        self.schedule(int(every * (0.5 + self.chance.draw())) + 1, self.ask, host, every, hold)
        if not host.is_running:
            return
        limiter = host.components[-1].request_limiter
        for tenant in self.wants[host.node_id]:
            inv = Asked(self.operation, tenant)
            if not limiter.try_acquire(host.clock(), inv) and inv in limiter.acquired_slots:
                self.schedule(int(hold * (0.1 + 0.85 * self.chance.draw())), limiter.release, inv)
        host.run_components()

    def holder(self):
        return next(
            (h.node_id for h in self.nodes if h.is_running and h.components[-1].election.is_holder()), None
        )

    def led(self):
        """As in the run: the second voter holds the limits, the first one drives."""
        lease = int(self.run_of.lease * TICKS_PER_SECOND)
        for _ in range(4):
            if (holder := self.holder()) == 1:
                return
            lost = {holder, *([0] if self.node_count >= 7 else [])} - {None}
            for i in lost:
                self.nodes[i].crash()
            self.run(self.now + 5 * lease)
            for i in lost:
                self.nodes[i].start()
            self.run(self.now + 2 * lease)

    def operate(self):
        """Plan after plan, and the operators' hands, at the node that the run asks as well."""
        self.schedule(TICK, self.operate)
        host = self.nodes[-1]
        part = host.components[1]
        told = part.status(host.clock())
        if not told["plan"] and told["sure"]:
            self.plans += 1
            plan = {
                "machines": [e.name for e in self.executors],
                "most": 4,
                "workMs": 600_000,
                "leastShare": 0.5,
                "id": f"plan-{self.plans}",
            }
            part.operator_call(
                host.clock(), lambda status, text: None, b"POST", b"/v1/maintenance/plan", plan
            )
        free = [row for row in told["machines"] if row["state"] == "free"]
        for i, row in enumerate((row for row in free if row["number"] not in self.handled_work), 1):
            # One after another, as the hands of a run's operators work.
            self.handled_work.add(row["number"])
            path = f"/v1/maintenance/back/{row['name']}/{row['number']}".encode()
            self.schedule(i * TICKS_PER_SECOND // 20, self.back, host, path)
        host.run_components()

    def back(self, host, path):
        host.components[1].operator_call(host.clock(), lambda status, text: None, b"POST", path, None)
        host.run_components()


def said_of(run):
    """What a node's configuration says; read and checked as a node does."""
    with tempfile.TemporaryDirectory() as folder:
        listing = {"index": 1, "endpoints": []}
        run.discovery = SimpleNamespace(address=("127.0.0.1", 9), listing=lambda: listing)
        path = Path(folder, "node.json")
        path.write_text(json.dumps(run.told(0, Path(folder))))
        return configuration.read_node({"BALANCER_CONFIG": str(path)})


def beside(run, seconds):
    """Changes of the board a second and rows by role (`rows_of`), over so many simulated seconds of the
    run's scene, calm or peak.
    """
    world = Scaled(run)
    lease, span = int(run.lease * TICKS_PER_SECOND), int(seconds * TICKS_PER_SECOND)
    for host in world.nodes:
        world.schedule(world.random.randrange(1, TICKS_PER_SECOND), host.start)
    world.run(6 * lease)
    world.led()
    for host in world.nodes:
        every, hold = int(run.every * TICKS_PER_SECOND), int(run.hold * TICKS_PER_SECOND)
        world.schedule(world.random.randrange(1, every), world.ask, host, every, hold)
    world.run(world.now + 4 * lease)
    roles = {}
    if run.scene == "peak":
        world.plans = 0
        world.operate()
        world.run(world.now + TICKS_PER_SECOND)
        roles = {0: "driver", world.node_count - 1: "asked"}
    start = [(list(host.counts), host.took) for host in world.nodes]
    boards = rev(world)
    world.run(world.now + span)
    boards = (rev(world) - boards) / seconds
    rows = []
    for host, (counts, took) in zip(world.nodes, start, strict=True):
        per = [(a - b) * TICKS_PER_SECOND / span for a, b in zip(host.counts, counts, strict=True)]
        votes = (
            "holder"
            if host.components[-1].election.is_holder()
            else "voter"
            if host.components[0].is_voting()
            else "other"
        )
        objects, size = weighed(host.components, host.whole)
        rows.append(
            {
                "node": host.node_id,
                "real": False,
                "role": roles.get(host.node_id, votes),
                "messages_out": per[0],
                "bytes_out": per[1],
                "messages_in": per[2],
                "bytes_in": per[3],
                "cpu_parts": (host.took - took) / 1e9 / (span / TICKS_PER_SECOND) * 100,
                "objects": objects,
                "state": size,
            }
        )
    return {
        "boards_a_second": boards,
        "yardstick_us": yardstick(),
        "roles": [{**row, "kind": "simulated"} for row in rows_of(rows)],
    }


def rev(world):
    return max(host.components[1].rollout.revision for host in world.nodes)
