"""A fleet as large as one machine allows: hollow nodes by the hundred, real ones beside them, and a judge.

Loopback only, bounded in time, processes and memory. docs/scale.md is its page.
"""

import asyncio
import json
import os
import random
import resource
import shutil
import signal
import socket
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path
from statistics import median

import orjson

from grebedyke.load import fleet as plain
from grebedyke.load import shape
from grebedyke.standin.discovery import Discovery
from grebedyke.standin.executor import Executor
from grebedyke.standin.faults import Script
from grebedyke.standin.model import Worker
from grebedyke.testbed.instrumentation import limits_of
from grebedyke.testbed.invariant_checker import UNTIL, Looking
from grebedyke.testbed.process_cluster import DRIFT, GRACE, RAMP, WINDOW
from grebedyke.testbed.scale_figures import compared, over_limits, rows_of, yardstick

ZONES = "a", "b", "c", "d", "e"
# Regions: three zones and two, so that at most one side of a cut has a majority.
REGIONS = frozenset("abc"), frozenset("de")
TEAMS = 34
OPERATION = shape.Operation("task", "safe")
SCENES = {
    "calm": "each node wants the limits of two teams",
    "peak": "each node wants the limits of all teams, and a plan of machines is under way",
    "zone": "the zone of the limits' holder is killed, and started again later",
    "cut": "two regions reach each other no more for a while",
    "restart": "all nodes are killed at once and started again",
}
# What a run may take of this machine.
MOST_PROCESSES, MEMORY_SHARE = 300, 0.5
# By which a run is judged to fit before it begins; measured.
PROCESS_BYTES, HOLLOW_BYTES, REAL_BYTES, STACK = 40 << 20, 1 << 20, 50 << 20, 8 << 20
# All processes are up, and all nodes agree, by then.
UP, AGREE = 120.0, 120.0
# After a fault's end all nodes agree within so many leases: a new holder's election takes some five.
AGREE_LEASES = 15
# Hollow nodes start within so many seconds.
SPREAD = 2.0


class Unfit(Exception):
    """This run does not fit this machine; one plain line."""


class Child:
    """A process that holds nodes; `ask` is a word and its answer."""

    def __init__(self, nodes, module, environ, log, real):
        self.nodes, self.module, self.environ, self.log, self.real = nodes, module, environ, log, real
        self.process, self.waits, self.number, self.reading, self.up = None, {}, 0, None, None

    async def start(self):
        loop = asyncio.get_running_loop()
        self.up, self.waits = loop.create_future(), {}
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                self.module,
                env=self.environ,
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                stderr=log,
                limit=2**26,
            )
        self.reading = asyncio.ensure_future(self.read(self.process, self.waits, self.up))

    async def read(self, process, waits, up):
        while line := await process.stdout.readline():
            told = orjson.loads(line)
            if "up" in told:
                up.set_result(True)
            elif (future := waits.pop(told.pop("to"), None)) and not future.done():
                future.set_result(told)
        for future in [*waits.values(), up]:
            if not future.done():
                future.set_exception(OSError(f"a process of the run has ended: {self.last_words()}"))
                future.exception()  # whoever waits is told; nobody may

    def last_words(self):
        lines = Path(self.log).read_text(errors="replace").strip().splitlines()
        return lines[-1][:300] if lines else "it said nothing"

    async def ask(self, do, **given):
        self.number += 1
        future = self.waits[self.number] = asyncio.get_running_loop().create_future()
        self.process.stdin.write(orjson.dumps({"id": self.number, "do": do, "with": given}) + b"\n")
        told = await asyncio.wait_for(future, 60)
        if "problem" in told:
            raise OSError(f"{do} at nodes {self.nodes[0]} on: {told['problem']}")
        return told

    async def kill(self):
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    async def close(self):
        """Its input ends, and it with it; who does not is killed."""
        if self.process and self.process.returncode is None:
            self.process.stdin.close()
            try:
                await asyncio.wait_for(self.process.wait(), 5)
            except TimeoutError:
                await self.kill()
        if self.reading:
            self.reading.cancel()


class Run:
    """`lead`: whether driver and holder are hollow or real, None: as it comes; `each`: hollow nodes in a
    process; `lease`, `wait` in seconds; `say`: takes lines of progress; `build`: one of the broken ones;
    `within`: seconds from a fault's end until all nodes agree.
    """

    def __init__(
        self,
        nodes=40,
        real=3,
        seed=1,
        seconds=20.0,
        scene="calm",
        lead=None,
        each=16,
        lease=2.0,
        wait=0.2,
        executors=24,
        loss=0.0,
        delay=0.0,
        host=None,
        port=21_000,
        build=None,
        within=None,
        say=lambda text: None,
    ):
        self.count, self.seed, self.seconds, self.scene = nodes, seed, seconds, scene
        self.lead, self.each, self.lease, self.wait, self.say = lead, each, lease, wait, say
        self.executors, self.loss, self.delay, self.build = executors, loss, delay, build
        self.within = within or AGREE_LEASES * lease
        self.host, self.port = host or f"127.{64 + os.getpid() % 128}.{seed % 250}.7", port
        self.random = random.Random(f"scale {seed}")
        self.voters = list(range(5 if nodes >= 7 else 3))
        self.real = self.drawn(min(real, nodes))
        self.zones = [ZONES[i % len(ZONES)] for i in range(nodes)]
        self.children, self.at, self.windows, self.times = [], {}, {}, {}
        self.folder = self.discovery = self.looking = None
        self.ends, self.stand_ins, self.plans, self.down = {}, [], 0, set()

    def drawn(self, count):
        """Which nodes are real: two of the voters, and others of no role."""
        if not count:
            return set()
        some = self.voters[:2] if self.lead == "real" else self.voters[2:4]
        others = [i for i in range(self.count) if i not in self.voters]
        drawn = self.random.sample(others, len(others)) + [i for i in self.voters if i not in some]
        return {*[*some, *drawn][:count]}

    # Whether it fits.

    def groups(self):
        """The hollow nodes of each process: who votes has one of its own, its load is many times a node's."""
        hollow = [i for i in range(self.count) if i not in self.real]
        votes = [[i] for i in hollow if i in self.voters]
        rest = [i for i in hollow if i not in self.voters]
        number = -(-len(rest) // self.each)
        # By turns, so that each process has nodes of all zones.
        return votes + [rest[k::number] for k in range(number)]

    def fits(self):
        """Raises Unfit with one plain line."""
        groups = self.groups()
        processes = len(groups) + len(self.real)
        if processes > MOST_PROCESSES:
            raise Unfit(f"{processes} processes are more than {MOST_PROCESSES}: fewer --real, more --each")
        if self.port + 2 * self.count > 65_536:
            raise Unfit(f"ports end at 65535: {2 * self.count} from {self.port} on are needed")
        needed = len(groups) * PROCESS_BYTES + (self.count - len(self.real)) * HOLLOW_BYTES
        needed += len(self.real) * REAL_BYTES
        total, free = memory()
        allowed = min(int(total * MEMORY_SHARE), free)
        if needed > allowed:
            raise Unfit(f"{needed >> 20} MB are needed and {allowed >> 20} MB are there: fewer --nodes")
        as_soft = resource.getrlimit(resource.RLIMIT_AS)[0]
        # Each node has a thread for its disk, whose stack is counted there though it is not in memory.
        largest = max([PROCESS_BYTES + len(group) * (HOLLOW_BYTES + STACK) for group in groups], default=0)
        if 0 <= as_soft < largest:
            raise Unfit(f"a process may have {as_soft >> 20} MB, {largest >> 20} MB are needed (ulimit -v)")
        soft = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        # A node: its socket, its folder's lock and a file being written; this process: three pipes each.
        widest = max([3 * len(group) + 64 for group in groups] + [4 * processes + 2 * self.executors + 64])
        if 0 <= soft < widest:
            raise Unfit(f"{widest} descriptors are needed and {soft} allowed (ulimit -n): fewer --each")
        for kind, port in self.ports():
            with socket.socket(socket.AF_INET, kind) as one:
                if kind == socket.SOCK_STREAM:
                    one.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    one.bind((self.host, port))
                except OSError as problem:
                    raise Unfit(f"port {port} of {self.host}: {problem.strerror.lower()}") from None

    def ports(self):
        for i in range(self.count):
            yield socket.SOCK_DGRAM, self.port + i
        for i in self.real:
            yield socket.SOCK_STREAM, self.port + i
            yield socket.SOCK_STREAM, self.port + self.count + i

    # What the nodes are told.

    def wanted(self, node):
        """The teams whose work comes in at that node."""
        if self.scene == "peak":
            return [team(i) for i in range(TEAMS)]
        draw = random.Random(f"teams {self.seed} {node}")
        return [team(i) for i in draw.sample(range(TEAMS), 2)]

    @property
    def every(self):
        return 0.5 if self.scene == "peak" else 1.0

    @property
    def hold(self):
        return self.lease

    def shares(self):
        """Of each second team a limit a second, of the others one on what is under way. At the peak none
        binds, as what is short is asked for more often; else two of eight let half of what is wanted through.
        """
        offered = Counter(name for i in range(self.count) for name in self.wanted(i))
        limits = []
        for i in range(TEAMS):
            tries = max(offered[team(i)], 1) / self.every
            part = 0.5 if self.scene != "peak" and i % 8 < 2 else 4
            row = {"name": team(i), "tenant": team(i)}
            if i % 2 == 0:
                row |= {"rate": max(tries * part, 1.0), "burst": self.count}
            else:
                row |= {"underWay": max(int(tries * self.hold / 2 * part), 1)}
            limits.append(row)
        return {"leaseMs": self.lease * 1000, "drift": DRIFT, "runMs": self.hold * 1000, "limits": limits}

    def told(self, node, folder):
        settings = plain.settings([OPERATION], self.count, node, self.zones[node], ZONES)
        settings["parties"] = [{"name": team(i), "quotaRps": 1000} for i in range(TEAMS)]
        settings["rules"] |= {"drainGraceMs": GRACE * 1000, "rampTimeMs": RAMP * 1000}
        settings["operations"][0]["windowMs"] = WINDOW * 1000
        return {
            "name": f"n{node}",
            "listen": f"{self.host}:{self.port + node}",
            "console": f"{self.host}:{self.port + self.count + node}",
            "discovery": "%s:%d" % self.discovery.address,
            "seed": f"{self.seed}-n{node}",
            "known": self.discovery.listing(),
            "settings": settings,
            "peers": [f"{self.host}:{self.port + i}" for i in range(self.count)],
            "fleet": {
                "name": f"scale {self.seed}",
                "folder": str(folder / f"n{node}"),
                "voters": self.voters,
                "waitMs": self.wait * 1000,
            },
            "maintenance": {"leaseMs": self.lease * 1000, "drift": DRIFT},
            "shares": self.shares(),
        }

    def child(self, nodes, real):
        folder = Path(self.folder, f"p{len(self.children)}")
        folder.mkdir()
        path = folder / "node.json"
        path.write_text(json.dumps(self.told(nodes[0], folder)))
        rows = [
            (row["name"], None, row["zone"], row["type"], 0, "healthy", 0, row["weight"])
            for row in self.discovery.listing()["endpoints"]
        ]
        given = {
            "file": str(path),
            "folder": str(folder),
            "seed": self.seed,
            "rows": rows,
            "build": self.build,
            "nodes": [[i, self.wanted(i)] for i in nodes],
            "operation": OPERATION.name,
            "every": int(self.every * 10_000),
            "hold": int(self.hold * 10_000),
            "loss": self.loss,
            "delay": self.delay,
        }
        environ = {k: v for k, v in os.environ.items() if not k.startswith(("BALANCER_", "GREBEDYKE_"))}
        environ |= {"GREBEDYKE_SCALE": json.dumps(given), "TMPDIR": str(folder), "PYTHONHASHSEED": "0"}
        if real:
            environ |= {"BALANCER_CONFIG": str(path)}
        module = "grebedyke.testbed.counted_node" if real else "grebedyke.testbed.hollow_node"
        child = Child(nodes, module, environ, folder / "log", real)
        self.children.append(child)
        for i in nodes:
            self.at[i] = child
        return child

    # The run.

    async def play(self):
        """What a run gives, see `result`. Raises Unfit before anything has begun, OSError where it failed."""
        self.fits()
        began = time.monotonic()
        try:
            await self.open()
            await self.begin()
            await SCENE[self.scene](self)
            await self.end()
        finally:
            await self.close()
        return self.result(time.monotonic() - began)

    async def open(self):
        # Each real node has a disk of its own; one for all would hold all of them up.
        place = "/dev/shm" if os.access("/dev/shm", os.W_OK) else None
        self.folder = tempfile.mkdtemp(prefix="grebedyke-scale-", dir=place)
        self.discovery = await Discovery().listen()
        for i in range(self.executors):
            name, zone = f"s-{i}", ZONES[i % len(ZONES)]
            executor = await Executor(name, self.ends, Worker(4, 1.0), Script([], i)).listen()
            self.stand_ins.append(executor)
            self.discovery.put(self.discovery.row(name, executor.address, zone, "full"))
        for group in self.groups():
            self.child(group, False)
        for i in sorted(self.real):
            self.child([i], True)
        self.looking = Looking(self, limits_of(self.shares()))
        last = self.at[0]
        first = [child for child in self.children if not (child is last and child.real)]
        self.say(f"{len(self.children)} processes, {len(self.real)} of them real nodes")
        await self.up(first)

    async def up(self, children):
        await asyncio.gather(*(child.start() for child in children))
        await asyncio.wait_for(asyncio.gather(*(child.up for child in children)), UP)

    async def begin(self):
        """The first voter comes last, and who has waited longer becomes the holder: so driver and holder are
        mostly two nodes at once.
        """
        start, last = time.monotonic(), self.at[0]
        for child in self.children:
            if not child.real:
                nodes = [i for i in child.nodes if i != 0]
                await child.ask("start", nodes=nodes, within=SPREAD if len(child.nodes) > 1 else 0.2)
        await asyncio.sleep(self.lease * 0.75)
        if last.real:
            await self.up([last])
        else:
            await last.ask("start", nodes=[0], within=0)
        self.times["at the start"] = await self.agreed("at the start", AGREE, start)
        if self.lead:
            await self.led()
        await self.all("demand", on=True)
        await self.all("freeze")
        # Until what was wanted at once has been granted, and what is dropped after a lease has been.
        await self.looking.on(3 * self.lease + self.hold)

    async def led(self):
        """The second voter is the holder: whoever else came first is killed until then. Of a loss the first
        voter is the heir, and drives plans.
        """
        for _ in range(4):
            holder = await self.holder()
            if holder == self.voters[1]:
                return
            lost = [holder, *([0] if len(self.voters) > 3 and holder else [])]
            await self.kill(lost)
            end = time.monotonic() + AGREE
            while await self.holder() in (None, holder) and time.monotonic() < end:
                await self.looking.on(0.2)
            await self.again(lost)
            await self.agreed("with another holder", AGREE, time.monotonic())
        raise OSError(f"node {self.voters[1]} has not become the holder")

    async def holder(self):
        """The living node that holds the limits, None where none does."""
        for told in await self.all("mark"):
            for node, row in told["nodes"].items():
                if row["role"] == "holder":
                    return int(node)
        return None

    async def all(self, do, children=None, **given):
        return await asyncio.gather(
            *(
                child.ask(do, **given)
                for child in (children or self.children)
                if child.process.returncode is None
            )
        )

    async def agreed(self, when, within, since):
        """Seconds from then until all nodes agree; None, and a broken invariant, where not in time."""
        while not await self.looking.look():
            if time.monotonic() > since + within:
                self.looking.fault(
                    "all nodes agree", f"{when}: not within {within:g} s: {self.looking.words}"
                )
                return None
            await asyncio.sleep(0.1)
        took = time.monotonic() - since
        self.say(f"all {self.count} nodes agree {when}, after {took:.1f} s")
        return took

    async def weigh(self):
        found = {}
        for told in await self.all("weigh"):
            found |= {int(i): x for i, x in told["nodes"].items()}
        return found

    async def mark(self):
        """The counters of all processes that are up."""
        up = [child for child in self.children if child.process.returncode is None]
        return dict(zip(up, await asyncio.gather(*(child.ask("mark") for child in up)), strict=True))

    async def window(self, name, seconds, roles=()):
        """Counts for so long, under that name. `roles`: what the run knows better than the nodes."""
        heavy = seconds >= 1
        before = await self.weigh() if heavy else {}
        drops, start, known = self.dropped(), await self.mark(), len(self.looking.values)
        await self.looking.on(seconds)
        end = await self.mark()
        after = await self.weigh() if heavy else {}
        self.measured(name, start, end, drops, before, after, dict(roles), known)

    def measured(self, name, start, end, drops, before, after, roles, known):
        rows, lag, late = [], 0.0, []
        for child, now in end.items():
            then = start.get(child)
            span = now["at"] - (then["at"] if then else now["began"])
            if len(child.nodes) > 1:
                lag = max(lag, now["lag"])
                late.append(now["late"])
            for node, told in now["nodes"].items():
                was = (
                    then["nodes"][node] if then else {"counts": [0] * 4, "kinds": {}, "took": 0.0, "calls": 0}
                )
                i = int(node)
                counts = [(a - b) / span for a, b in zip(told["counts"], was["counts"], strict=True)]
                rows.append(
                    {
                        "node": i,
                        "seconds": span,
                        "real": child.real,
                        "role": both(roles.get(i), told["role"]),
                        "messages_out": counts[0],
                        "bytes_out": counts[1],
                        "messages_in": counts[2],
                        "bytes_in": counts[3],
                        "cpu_parts": (told["took"] - was["took"]) / span * 100,
                        "calls": (told["calls"] - was["calls"]) / span,
                        "cpu_process": (now["cpu"] - (then or {"cpu": 0})["cpu"])
                        / span
                        * 100
                        / len(child.nodes),
                        "memory": now["memory"]["own"] / len(child.nodes),
                        # Of a process of its own, with what it shares with others.
                        **({"resident": now["memory"]["resident"]} if len(child.nodes) == 1 else {}),
                        "kinds": {k: n - was["kinds"].get(k, 0) for k, n in told["kinds"].items()},
                        **(
                            {"objects": after[i]["objects"], "state": after[i]["bytes"]} if i in after else {}
                        ),
                    }
                )
        seconds = median(now["at"] - start[child]["at"] for child, now in end.items() if child in start)
        window = self.windows[name] = {
            "seconds": seconds,
            "lag_ms": lag * 1000,
            "values": len(self.looking.values) - known,
            "yardstick_us": yardstick(),
            "late_beats": max(late, default=0.0),
            "memory": sum(now["memory"]["own"] for now in end.values()),
            "dropped": self.dropped() - drops,
            "nodes": rows,
            "kinds": dict(sum((Counter(row["kinds"]) for row in rows), Counter())),
            "load": os.getloadavg()[0],
        }
        # By how many entries each container has grown, where there are several at a place the mean of them.
        grown = {}
        for node, told in after.items() if before else ():
            was = before.get(node, {"lengths": {}})["lengths"]
            for path, (n, containers) in told["lengths"].items():
                more = (n - was.get(path, (0, 0))[0]) / max(containers, 1)
                grown[path] = max(grown.get(path, 0), more)
        window["grown"] = {path: more for path, more in grown.items() if more > 0}
        self.say(f"{name}: {seconds:.0f} s counted, the loop late by {lag * 1000:.0f} ms at most")

    def dropped(self):
        """Datagrams that found a full buffer at this run's sockets."""
        mine, n = "".join(f"{int(x):02X}" for x in reversed(self.host.split("."))), 0
        with open("/proc/net/udp") as file:
            for line in file:
                words = line.split()
                if words[1].startswith(mine + ":"):
                    n += int(words[-1])
        return n

    # Scenes.

    async def calm(self):
        await self.window("calm", self.seconds)

    async def peak(self):
        plans = asyncio.ensure_future(self.plan_on())
        try:
            while not self.looking.plan:
                await self.looking.on(0.2)
                if plans.done():
                    plans.result()
            driver = min(set(self.voters) - self.down)
            await self.window("peak", self.seconds, [(driver, "driver"), (self.operators(), "asked")])
        finally:
            plans.cancel()
            await asyncio.gather(plans, return_exceptions=True)
        # The plan that is under way ends: nothing is left out.
        await self.call("/v1/maintenance/abort")

    async def plan_on(self):
        """One plan after another, and the operators' hands."""
        while True:
            self.plans += 1
            plan = {
                "machines": [f"s-{i}" for i in range(self.executors)],
                "most": 4,
                "workMs": 600_000,
                "leastShare": 0.5,
                "id": f"plan-{self.plans}",
            }
            status, text = await self.call("/v1/maintenance/plan", plan)
            self.looking.promised(status, text)
            worked = set()
            while True:
                status, text = await self.ask_node(self.operators(), "GET", "/v1/maintenance")
                told = json.loads(text) if status == 200 else None
                if told and any(row["plan"] == plan["id"] for row in told["past"]):
                    break
                for row in told["machines"] if told and told["plan"] == plan["id"] else ():
                    if row["state"] == "free" and (row["name"], row["number"]) not in worked:
                        worked.add((row["name"], row["number"]))
                        await asyncio.sleep(0.05)
                        await self.call(f"/v1/maintenance/back/{row['name']}/{row['number']}")
                await asyncio.sleep(0.2)

    def operators(self):
        """The node that operators ask: none of a role, as its cost is counted with that role's."""
        return next(i for i in reversed(range(self.count)) if i not in self.down)

    async def ask_node(self, node, method, path, body=None):
        told = await self.at[node].ask(
            "call", node=node, method=method, path=path, body=json.dumps(body) if body else ""
        )
        return told["status"], told["text"]

    async def call(self, path, body=None):
        """Again until it is answered by more than a doubt; asking again is harmless."""
        for _ in range(100):
            status, text = await self.ask_node(self.operators(), "POST", path, body)
            if status not in (0, 400, 503):
                return status, text
            await asyncio.sleep(0.2)
        self.looking.fault("calls are answered", f"{path}: {status} {text}")
        return status, text

    async def zone(self):
        await self.window("before", self.seconds * 0.3)
        holder = await self.holder() or 0
        lost = [i for i in range(self.count) if self.zones[i] == self.zones[holder]]
        self.say(f"zone {self.zones[holder]} is lost: {len(lost)} nodes")
        await self.kill(lost)
        await self.window("while it is lost", self.seconds * 0.3)
        await self.mend("after the zone is back", lambda: self.again(lost))

    async def cut(self):
        await self.window("before", self.seconds * 0.3)
        sides = [[i for i in range(self.count) if self.zones[i] in region] for region in REGIONS]
        self.say(f"two regions reach each other no more: {len(sides[0])} nodes, {len(sides[1])} nodes")
        await self.all("cut", apart=sides)
        await self.window("while they are cut", self.seconds * 0.3)
        await self.mend("after the cut", lambda: self.all("cut", apart=[]))

    async def restart(self):
        await self.window("before", self.seconds * 0.4)
        everyone = list(range(self.count))
        self.say("all nodes are killed")
        await self.kill(everyone)
        await asyncio.sleep(0.5)
        await self.mend("after the restart", lambda: self.again(everyone))

    async def mend(self, when, heal):
        """From the fault's end until all agree, and then calm again."""
        start, drops, since = await self.mark(), self.dropped(), time.monotonic()
        known = len(self.looking.values)
        await heal()
        took = self.times[when] = await self.agreed(when, self.within, since)
        if took is not None:
            self.measured(UNTIL, start, await self.mark(), drops, {}, {}, {}, known)
        await self.looking.on(2 * self.lease + self.hold)
        await self.window("after", max(self.seconds * 0.3, 1.0))

    async def kill(self, nodes):
        self.down |= {*nodes}
        await self.looking.killing([c for c in self.children if c.real and c.nodes[0] in self.down])
        for child in self.children:
            some = [i for i in child.nodes if i in self.down]
            if child.real and some:
                await child.kill()
            elif some:
                await child.ask("end", nodes=some)

    async def again(self, nodes):
        reals = [child for child in self.children if child.real and child.nodes[0] in nodes]
        for child in self.children:
            if not child.real and (some := [i for i in child.nodes if i in nodes]):
                await child.ask("start", nodes=some, within=SPREAD / 2)
        await self.up(reals)
        await self.all("demand", on=True)
        self.down -= {*nodes}

    async def end(self):
        self.times["at the end"] = await self.agreed("at the end", self.within, time.monotonic())
        await self.all("demand", on=False)
        await self.looking.close()

    async def close(self):
        await asyncio.gather(*(child.close() for child in self.children), return_exceptions=True)
        for executor in self.stand_ins:
            await executor.close()
        if self.discovery:
            await self.discovery.close()
        if self.folder:
            shutil.rmtree(self.folder, ignore_errors=True)

    # What it gives.

    def result(self, took):
        windows = {}
        for name, window in self.windows.items():
            windows[name] = {key: x for key, x in window.items() if key != "nodes"} | {
                "roles": rows_of(window["nodes"])
            }
        lag = max(window["lag_ms"] for window in self.windows.values())
        void = None
        if lag > self.wait * 100:
            void = f"void: the loop was late by {lag:.0f} ms, more than a tenth of the shortest time-out"
        last = [*self.windows.values()][-1]
        return {
            "shape": {
                "nodes": self.count,
                "real": len(self.real),
                "seed": self.seed,
                "scene": self.scene,
                "seconds": self.seconds,
                "lead": self.lead,
                "each": self.each,
                "lease_s": self.lease,
                "wait_s": self.wait,
                "voters": self.voters,
                "teams": TEAMS,
                "executors": self.executors,
                "processes": len(self.children),
                "build": self.build,
                "loss": self.loss,
                "delay_s": self.delay,
            },
            "machine": {
                "cores": os.cpu_count(),
                "load": os.getloadavg()[0],
                "memory": memory()[0],
                "python": sys.version.split()[0],
            },
            "took_s": took,
            "times_s": self.times,
            "windows": windows,
            "hollow_beside_real": compared(last["nodes"]),
            "over": over_limits(self.windows),
            "broken": self.looking.broken,
            "void": void,
            "passed": sum(self.looking.passed.values()),
            "values": len(self.looking.values),
            "sent": self.looking.sent,
            "plans": self.plans,
        }


SCENE = {"calm": Run.calm, "peak": Run.peak, "zone": Run.zone, "cut": Run.cut, "restart": Run.restart}


def both(known, told):
    """
    >>> both("driver", "voter"), both("driver", "holder"), both(None, "holder")
    ('driver', 'holder and driver', 'holder')
    """
    return f"holder and {known}" if known and told == "holder" else known or told


def team(i):
    return f"team {i}"


def memory():
    """(bytes of this machine, bytes that are free for more)."""
    rows = {}
    with open("/proc/meminfo") as file:
        for line in file:
            words = line.split()
            rows[words[0].rstrip(":")] = int(words[1]) * 1024
    return rows["MemTotal"], rows["MemAvailable"]


async def play(say=lambda text: None, **given):
    """One run; it ends its processes also where it is cancelled."""
    run, loop = Run(say=say, **given), asyncio.get_running_loop()
    task = asyncio.current_task()
    loop.add_signal_handler(signal.SIGTERM, task.cancel)
    try:
        return await run.play()
    finally:
        loop.remove_signal_handler(signal.SIGTERM)
