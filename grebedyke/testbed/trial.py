"""One round with real processes: a plan, work going on, faults drawn by a seed, and what is judged of it."""

import asyncio
import random
import signal
import time
from collections import Counter, defaultdict
from typing import NamedTuple

from grebedyke.load import shape
from grebedyke.load.clients import Clients
from grebedyke.testbed.process_cluster import GRACE, RAMP, Rig
from grebedyke.testbed.trial_checker import Judge

OPERATIONS = (
    shape.Operation("hold", "keyed", share=0.4),
    shape.Operation("confirm", "unsafe", share=0.3),
    shape.Operation("view", "safe", share=0.3),
)
# From the end of the last fault: by then the plan has ended, at any machine's pace.
CALM = 60.0
# From a node's yes to an invocation until an executor has it: while it waits for a free one, at most.
LATE = 0.5
RATE = 30.0


class Played(NamedTuple):
    """`broken`: (when, clause, words); `done`: how often each fault and each piece of work came about."""

    seed: int
    broken: list
    done: Counter
    took: float
    logs: dict


class Round:
    """`script`: machines go out as before there were plans, by `suspend` at every node, for comparison."""

    def __init__(
        self, seed, processes=5, executors=6, seconds=10.0, kinds=None, pace=1.0, script=False, older=None
    ):
        self.seed, self.random = seed, random.Random(f"round {seed}")
        voters = 3 if processes < 7 else 5
        # Some rounds go on under limits of the whole fleet, of which more is asked for than they let through.
        self.shares = (
            [
                {
                    "name": "all",
                    "rate": RATE * 2 / 3,
                    "burst": max(20, processes),
                    "floor": RATE / 3 / processes,
                },
                {"name": "confirms", "underWay": 3, "operation": "confirm"},
            ]
            if seed % 4 == 1
            else None
        )
        self.rig = Rig(
            OPERATIONS, processes, executors, voters, seed, seed % 3 == 0, older=older, shares=self.shares
        )
        self.seconds, self.kinds, self.pace = seconds, list(kinds or FAULTS), pace
        self.script = script
        self.judge, self.tasks, self.in_work = Judge(), [], {}
        # Those that are not what they were: a majority of the voters must remember.
        self.forgetful, self.busy = set(), set()

    async def play(self):
        start = time.monotonic()
        rig, judge = self.rig, self.judge
        try:
            await rig.start()
            await self.until(lambda all_: all(s and s["sure"] for s in all_), "sure at the start")
            clients = Clients(rig.nodes, seed=self.seed)
            plan = shape.arrivals(
                self.seed, "poisson", RATE, self.seconds + 4, "exponential", 0.05, OPERATIONS
            )
            load = asyncio.ensure_future(clients.play(plan))
            self.tasks += [asyncio.ensure_future(self.work()), asyncio.ensure_future(self.trouble())]
            await (self.by_script() if self.script else self.by_plan())
            await self.tasks[1]
            await self.heal()
            await load
            await self.until(lambda all_: all(s and s["sure"] and not s["plan"] for s in all_), "plans end")
            rig.fill(clients.ledger)
            judge.rules(clients.ledger, rig.nodes, bool(self.shares))
            judge.limits(clients.ledger, self.shares or (), LATE)
            judge.logs(rig.events(), 2, {f"node:{v}" for v in rig.voters})
        except Exception as problem:  # a rig that fails is no round that was passed
            judge.fault("the rig", repr(problem))
        finally:
            for task in self.tasks:
                task.cancel()
            await asyncio.gather(*self.tasks, return_exceptions=True)
            logs = {}
            if judge.broken:
                logs = {
                    name: rig.path(name, "log").read_text(errors="replace")
                    for name in rig.nodes
                    if rig.path(name, "log").exists()
                }
            await rig.close()
        done = rig.done + (rig.links.done if rig.links else Counter()) + judge.done
        for door in rig.doors.values():
            done += door.done
        return Played(self.seed, judge.broken, done, time.monotonic() - start, logs)

    async def by_plan(self):
        machines = [*self.rig.executors]
        if self.seed % 2 == 0:
            # Nodes as machines: one that votes, one that does not.
            machines += ["node:0", f"node:{len(self.rig.nodes) - 1}"]
        given = {"machines": machines, "most": 2, "mostZone": 1, "leastShare": 0.3, "workMs": 30_000}
        self.judge.promised(await self.ask("/v1/maintenance/plan", {**given, "late": "go on"}))
        # A second operator, at another node, in the middle of it.
        other = {"machines": machines[:2], "most": 1, "workMs": 30_000, "id": "other"}
        self.judge.refused(await self.ask("/v1/maintenance/plan", other, (200, 409)))

    async def by_script(self):
        """One of each zone at a time; a node that does not answer is asked twice more, then left."""
        rig, names = self.rig, [*self.rig.executors]

        async def all_nodes(name, word):
            for node in rig.nodes:
                for _ in range(3):
                    if (await rig.call(node, "POST", f"/v1/executors/{name}/{word}", wait=1.0))[0] == 200:
                        break

        async def go(some):
            for name in some:
                await all_nodes(name, "suspend")
                await asyncio.sleep(GRACE)
                await self.open_up("a script", name, 0)
                await all_nodes(name, "resume")
                await asyncio.sleep(RAMP)

        await asyncio.gather(go(names[::2]), go(names[1::2]))

    async def all_status(self):
        return await asyncio.gather(*(self.rig.status(name) for name in self.rig.nodes))

    async def until(self, enough, clause):
        end = time.monotonic() + CALM
        while not enough(told := await self.all_status()):
            if time.monotonic() > end:
                states = [s and (s["rev"], s["state"], s["sure"]) for s in told]
                return self.judge.fault(clause, f"not within {CALM:g} s: {states}")
            await asyncio.sleep(0.1)

    def any_up(self):
        up = [name for name in self.rig.nodes if self.rig.up(name) and name not in self.busy]
        return self.random.choice(up) if up else None

    async def ask(self, path, body=None, good=(200,)):
        """Again at any node until one says yes or no: asking again is harmless."""
        end = time.monotonic() + CALM
        while time.monotonic() < end:
            if name := self.any_up():
                status, told = await self.rig.call(name, "POST", path, body)
                if status in good:
                    return status, told
                # 400: a node that has just begun knows no machine yet.
                if status not in (0, 400, 503):
                    return status, told
            await asyncio.sleep(0.1)
        self.judge.fault("calls are answered", f"{path}: not within {CALM:g} s")
        return 0, ""

    async def work(self):
        """The operators' hands: each machine told free is worked at, started anew and given back."""
        while True:
            if name := self.any_up():
                told = await self.rig.status(name)
                for row in told["machines"] if told else ():
                    key = row["name"], row["number"]
                    if row["state"] == "free" and key not in self.in_work:
                        self.in_work[key] = asyncio.ensure_future(self.work_at(name, *key))
                        self.tasks.append(self.in_work[key])
            await asyncio.sleep(0.05)

    async def work_at(self, told_by, name, number):
        if name.startswith("node:"):
            return await self.start_anew(int(name.removeprefix("node:")))
        await self.open_up(told_by, name, number)
        await self.ask(f"/v1/maintenance/back/{name}/{number}", None, (200, 409))

    async def start_anew(self, number):
        """Work at a node: it is ended as operators do, answers all that it owes, and comes back."""
        name = [*self.rig.nodes][number]
        while name in self.busy:
            await asyncio.sleep(0.05)
        self.busy.add(name)
        self.judge.done["nodes worked at"] += 1
        start = asyncio.get_running_loop().time()
        await self.rig.end(name, signal.SIGTERM)
        self.judge.stopped[name].append((start, asyncio.get_running_loop().time()))
        await asyncio.sleep(0.2 + self.random.random())
        await self.rig.launch(name)
        self.busy.discard(name)

    async def open_up(self, told_by, name, number):
        executor, loop = self.rig.executors[name], asyncio.get_running_loop()
        began = loop.time()
        self.judge.done["worked at"] += 1
        await asyncio.sleep(0.3 + self.random.random())
        # Whatever has come since it was told free has met a machine with its lid off.
        for id, at in executor.forwards:
            if at > began:
                self.judge.done["reached in work"] += 1
                if not self.script:
                    self.judge.fault(
                        "free is free",
                        f"{id} reached {name} {at - began:.3f} s after "
                        f"{told_by} had told it free by number {number}",
                    )
        await executor.restart()
        await self.rig.discovery.change(name, status="Ready", since_ms=int(time.time() * 1000))

    # Faults.

    async def trouble(self):
        end = time.monotonic() + self.seconds
        pending, first = [], self.random.sample(self.kinds, len(self.kinds))
        while time.monotonic() < end or first and self.pace >= 1:
            await asyncio.sleep(self.random.expovariate(1) * 1.5 / self.pace)
            # Each kind once before any twice: a fault that did not happen proves nothing.
            kind = first.pop() if first else self.random.choice(self.kinds)
            pending.append(asyncio.ensure_future(FAULTS[kind](self)))
        await asyncio.gather(*pending)

    def hurt(self, name, start):
        self.judge.troubled[name].append((start, asyncio.get_running_loop().time()))

    async def for_a_while(self, low=0.5, high=3.5):
        await asyncio.sleep(low + (high - low) * self.random.random())

    def take(self):
        """A node that no other fault has in hand."""
        if name := self.any_up():
            self.busy.add(name)
        return name

    def minority(self, name):
        """No protocol outlives the loss of what a majority remembers: one minority at a time forgets."""
        rig = self.rig
        if rig.number(name) in rig.voters:
            out = {x for x in self.forgetful | self.busy if rig.number(x) in rig.voters} | {name}
            if len(out) > (len(rig.voters) - 1) // 2:
                return False
        self.forgetful.add(name)
        return True

    async def stop(self):
        if name := self.take():
            start = asyncio.get_running_loop().time()
            self.rig.stop(name)
            await self.for_a_while(1.0, 4.0)  # longer than any lease
            self.rig.go_on(name)
            self.busy.discard(name)
            self.hurt(name, start)

    async def kill(self, folder="same"):
        if name := self.take():
            start = asyncio.get_running_loop().time()
            if folder == "same" or self.minority(name):
                await self.rig.end(name)
                await self.for_a_while(0.1, 1.5)
                await self.rig.again(name, folder)
                self.hurt(name, start)
            self.busy.discard(name)
            if name in self.forgetful:
                await self.remembered(name)

    async def remembered(self, name):
        end = time.monotonic() + 30
        while time.monotonic() < end:
            status, told = await self.rig.call(name, "GET", "/v1/agreement", wait=1.0)
            if status == 200 and ('"voting"' in told or '"out"' in told):
                break
            await asyncio.sleep(0.1)
        self.forgetful.discard(name)

    async def cut(self):
        links, draw = self.rig.links, self.random
        how, pairs = draw.randrange(4), list(links.ways)
        one = draw.randrange(links.count)
        side = {i for i in range(links.count) if draw.random() < 0.5}
        cut = {
            0: [x for x in pairs if draw.random() < 0.3],
            1: [x for x in pairs if x[0] == one],
            2: [x for x in pairs if x[1] == one],
            3: [x for x in pairs if (x[0] in side) != (x[1] in side)],
        }
        for pair in cut[how]:
            links.ways[pair].cut = True
        await self.for_a_while()
        for pair in cut[how]:
            links.ways[pair].cut = False

    async def bad_links(self):
        for way in self.rig.links.ways.values():
            way.loss, way.double, way.spoil, way.reorder, way.jitter = 0.1, 0.1, 0.05, 0.2, 0.05
        await self.for_a_while()
        for way in self.rig.links.ways.values():
            way.loss = way.double = way.spoil = way.reorder = way.jitter = 0.0

    async def stall(self):
        links, one, end = (
            self.rig.links,
            self.random.randrange(self.rig.links.count),
            self.random.randrange(2),
        )
        some = [x for x in links.ways if x[end] == one]
        for pair in some:
            links.ways[pair].stalled = True
        await self.for_a_while()
        for pair in some:
            links.flow(*pair)

    async def bad_disk(self):
        if name := self.take():
            kind = self.random.choice(("stall", "full", "eio", "read-only", "short"))
            if kind == "stall" or self.minority(name):
                self.rig.disk(name, kind)
                await self.for_a_while()
                self.rig.disk(name)
            self.busy.discard(name)
            if name in self.forgetful:
                await self.remembered(name)

    async def lying_disk(self):
        """Says done for a while and is not, or keeps half; then the process is killed."""
        if name := self.take():
            start = asyncio.get_running_loop().time()
            if self.minority(name):
                self.rig.disk(name, self.random.choice(("lies", "torn")))
                await self.for_a_while()
                await self.rig.end(name)
                self.rig.disk(name)
                await self.rig.again(name)
                self.hurt(name, start)
            self.busy.discard(name)
            if name in self.forgetful:
                await self.remembered(name)

    async def copy(self):
        self.rig.copy(self.random.choice([*self.rig.nodes]))

    async def bad_list(self):
        """Discovery is out of reach, silent or slow for one node."""
        door = self.rig.doors[self.random.choice([*self.rig.nodes])]
        door.turn(self.random.choice(("silent", "reset", "slow")))
        await self.for_a_while()
        door.turn(None)

    async def takeover(self):
        """A new process beside the old one, whose clients it takes over."""
        if name := self.take():
            await self.rig.replace(name)
            self.busy.discard(name)

    async def reload(self):
        """Other settings and back, or a file that is none."""
        if name := self.take():

            def fewer(told):
                told["settings"]["limits"]["maxForwards"] -= 1

            self.rig.reload(name, self.random.choice((fewer, None)))
            await self.for_a_while(0.2, 1.0)
            self.rig.reload(name, lambda told: None)
            self.busy.discard(name)

    async def heal(self):
        self.rig.links.heal()
        for _ in range(400):
            if not self.busy:
                break
            await asyncio.sleep(0.05)
        for name in self.rig.nodes:
            self.rig.go_on(name)
            if not self.rig.up(name):
                await self.rig.again(name)


FAULTS = {
    "cut": Round.cut,
    "bad links": Round.bad_links,
    "stall": Round.stall,
    "stop": Round.stop,
    "kill": Round.kill,
    "older folder": lambda r: r.kill("older"),
    "empty folder": lambda r: r.kill("empty"),
    "spoilt folder": lambda r: r.kill("spoilt"),
    "copy": Round.copy,
    "bad disk": Round.bad_disk,
    "lying disk": Round.lying_disk,
    "bad list": Round.bad_list,
    "takeover": Round.takeover,
    "reload": Round.reload,
}


async def play(seed, **shape_):
    """One round, played to its end."""
    return await Round(seed, **shape_).play()


def total(played):
    """What came about in all rounds together."""
    counts = defaultdict(int)
    for one in played:
        for key, n in one.done.items():
            counts[key] += n
    return dict(counts)
