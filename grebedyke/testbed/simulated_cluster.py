"""A simulated fleet: the real parts in simulated time, with links, clocks, processes and disks that fail.

Everything is drawn from one seed; the same seed plays the same round. Times are tenths of a millisecond of
the world's own clock, which no node sees. What is judged stands in `spec.py`.
"""

import random
from collections import Counter
from heapq import heappop, heappush

import msgpack

from grebedyke.consensus.acceptor import Phase
from grebedyke.consensus.actions import (
    AnswerCall,
    ExcludeEndpoints,
    PersistRecord,
    SendMessage,
    WakeAt,
)
from grebedyke.consensus.consensus import Consensus
from grebedyke.maintenance.component import Maintenance
from grebedyke.maintenance.settings import MaintenanceSettings
from grebedyke.model.seeded_random import SeededRandom
from grebedyke.testbed.rollout_specification import Spec
from grebedyke.units import TICKS_PER_SECOND

LEASE, GRACE, RAMP, WINDOW, WAIT = (
    TICKS_PER_SECOND,
    TICKS_PER_SECOND // 2,
    TICKS_PER_SECOND,
    TICKS_PER_SECOND,
    TICKS_PER_SECOND // 20,
)
# By how much a round may go on after its last fault until its plan has ended.
CALM = 60 * TICKS_PER_SECOND


def maintenance_settings(lease, drift):
    """Returns the settings of a simulated node's maintenance component."""
    return MaintenanceSettings(
        lease=lease,
        drift=drift,
        drain_grace=GRACE,
        warm_up_time=RAMP,
        idempotency_window=WINDOW,
        idempotency_groups=("zone",),
        trust_stored_view_after=None,
    )


class Disk:
    """What outlasts a process. `lies`: says done and forgets at a crash; `slow`: seconds; `fails`: EIO."""

    def __init__(self):
        self.files, self.lost, self.older = {}, {}, {}
        self.lies, self.slow, self.fails = False, False, False

    def write(self, name, data):
        if self.lies:
            self.lost.setdefault(name, self.files.get(name))
        else:
            self.lost.pop(name, None)
        self.files[name] = data

    def crash(self):
        for name, before in self.lost.items():
            if before is None:
                self.files.pop(name, None)
            else:
                self.files[name] = before
        self.lost = {}


class Host:
    """One node: what service/component_host.py does on sockets, without them."""

    def __init__(self, world, me):
        self.world, self.me, self.disk = world, me, Disk()
        self.rate, self.offset = 1.0, 0
        self.life, self.parts, self.stopped, self.mail, self.alive = 0, [], False, [], False
        self.names, self.blind, self.open = frozenset(), True, Counter()

    def clock(self):
        return int(self.offset + self.world.now * self.rate)

    def start(self):
        w = self.world
        w.processes += 1
        self.life, self.alive, self.stopped, self.mail = w.processes, True, False, []
        self.names, self.blind, self.open = frozenset(), True, Counter()
        # Another boot: its monotonic clock begins anywhere.
        self.offset = w.random.randrange(10**9)
        self.parts = w.parts_for(self)
        for part in self.parts:
            part.restore(self.clock(), {name: self.disk.files.get(name) for name in part.record_files})
        self.told_list()
        self.pull()

    def told_list(self):
        rows = [
            (e.name, e.zone, "std", 0, "healthy" if e.up else "gone", e.since, 1)
            for e in self.world.executors
        ]
        for part in self.parts:
            part.endpoints_changed(self.clock(), True, [row for row in rows if row[4] == "healthy"])

    def end(self):
        self.disk.crash()
        self.alive, self.parts, self.life = False, [], 0

    def heard(self, by, message):
        if self.stopped:
            self.mail.append((by, message))  # a stopped process wakes to a full socket
        elif self.alive:
            for part in self.parts:
                if part.receive(self.clock(), by, message):
                    break
            self.pull()

    def go_on(self):
        self.stopped, mail, self.mail = False, self.mail, []
        # The kernel's buffer ends somewhere.
        for by, message in mail[-2_000:]:
            self.heard(by, message)
        # Its watch of the list goes on where it was.
        self.told_list()
        self.pull()

    def pull(self):
        if not self.alive or self.stopped:
            return
        now = self.clock()
        for part in self.parts:
            if part.watched_endpoints:
                part.open_attempts_reported(now, [n for n in part.watched_endpoints if self.open[n]])
        again = True
        while again:
            again = False
            for part in self.parts:
                while (action := part.next_action(now)) is not None:
                    again = True
                    self.do(now, part, action)
        self.world.voted(self)

    def do(self, now, part, action):
        w = self.world
        if isinstance(action, SendMessage):
            w.carry(self.me, action.node, action.message)
        elif isinstance(action, PersistRecord):
            wait = (
                w.random.randrange(2 * TICKS_PER_SECOND, 5 * TICKS_PER_SECOND)
                if self.disk.slow
                else w.random.randrange(5, 100)
            )
            w.later(wait, self.written, self.life, part, *action)
        elif isinstance(action, WakeAt):
            self.ring(action.at)
        elif isinstance(action, ExcludeEndpoints):
            self.names = action.names
            self.blind = action.all_others
        elif isinstance(action, AnswerCall):
            action.call(action.status, action.body)

    def ring(self, at):
        wait = max(int((at - self.clock()) / self.rate) + 1, 1)
        self.world.later(wait, self.woken, self.life)

    def woken(self, life):
        if life == self.life:
            if self.stopped:
                self.world.later(TICKS_PER_SECOND // 20, self.woken, life)
            else:
                self.pull()

    def written(self, life, part, name, number, data):
        if life != self.life:
            return
        if self.stopped:
            return self.world.later(TICKS_PER_SECOND // 20, self.written, life, part, name, number, data)
        done = not self.disk.fails
        if done:
            self.disk.write(name, data)
        else:
            self.world.done["disk failed"] += 1
        part.record_persisted(self.clock(), name, number, done)
        self.pull()

    def whole(self):
        """Votes, and has on its disk what it votes by: who is let in again forgets if that write fails."""
        vote = self.parts[0] if self.alive else None
        return vote and vote.acceptor.phase == Phase.VOTING and vote.store.is_clean() and not self.disk.fails

    def uses(self, name):
        """Whether it may send there: asked at the last moment, as the host on sockets does."""
        now = self.clock()
        for part in self.parts:
            part.expire(now)
            for action in part.take_exclusions():
                self.do(now, part, action)
        return not self.blind and name not in self.names


class Machine:
    """An executor, and the operators' work at it."""

    def __init__(self, name, zone):
        self.name, self.zone, self.up, self.since, self.in_work = name, zone, True, 0, False
        self.moved = self.worked = -(10**9)  # when it came up or went down last, and when work on it ended

    def turn(self, now, up):
        self.up, self.moved = up, now
        self.since += up


class World:
    """One round. `faults`: how often, by the mean of two seconds; `kinds`: of FAULTS, all without it."""

    def __init__(self, seed, nodes=5, voters=3, executors=6, faults=1.0, kinds=None, drift=0.02):
        self.seed, self.random, self.count = seed, random.Random(f"world {seed}"), nodes
        self.now, self.events, self.ties, self.processes, self.done = 0, [], 0, 0, Counter()
        self.voters = list(range(voters))
        self.executors = [Machine(f"e{i}", "ab"[i % 2]) for i in range(executors)]
        self.spec = Spec(nodes, len(self.executors), self.voters)
        self.cuts, self.loss, self.double, self.delay = set(), 0.0, 0.0, 20
        self.stalled, self.held = set(), []
        self.faults, self.faults_end, self.kinds, self.drift = faults, 0, list(kinds or FAULTS), drift
        self.hosts = [Host(self, i) for i in range(nodes)]
        for host in self.hosts:
            # Rates differ by the stated drift at most, over any two.
            host.rate = 1 + (self.random.random() - 0.5) * drift
        self.bytes, self.worked, self.accepted = Counter(), set(), {}

    def agreement_for(self, host):
        return Consensus(
            SeededRandom(f"{self.seed} {host.life}"), "f", host.me, self.count, self.voters, host.life, WAIT
        )

    def parts_for(self, host):
        """The parts that a node's process has, in the order in which they are asked."""
        agreement, me = self.agreement_for(host), host.me
        maintenance = Maintenance(
            agreement, "f", me, self.count, host.life, maintenance_settings(LEASE, self.drift)
        )
        agreement.listeners.append(lambda now, key, value: self.learned(me, key, value))
        return [agreement, maintenance]

    def later(self, wait, call, *args):
        self.ties += 1
        heappush(self.events, (self.now + wait, self.ties, call, args))

    def run(self, until):
        while self.events and self.events[0][0] <= until:
            self.now, _, call, args = heappop(self.events)
            call(*args)
        self.now = until

    def carry(self, by, to, message):
        # As on the wire: nothing is shared, and tuples are lists.
        data = msgpack.packb(message)
        self.bytes[by] += len(data)
        if (by, to) in self.cuts:
            self.done["cut"] += 1
            return
        if (by, to) in self.stalled:
            self.done["held"] += 1
            self.held.append((by, to, data))
            return
        if self.random.random() < self.loss:
            self.done["lost"] += 1
            return
        for _ in range(2 if self.random.random() < self.double else 1):
            wait = 1 + int(self.delay * self.random.expovariate(1))
            self.later(wait, self.arrive, by, to, data)

    def arrive(self, by, to, data):
        self.hosts[to].heard(by, msgpack.unpackb(data, strict_map_key=False))

    def voted(self, host):
        """When each board was first voted for by anyone."""
        if board := host.parts[0].accepted_value("board"):
            self.accepted.setdefault(board["rev"], self.now)

    def learned(self, node, key, value):
        # A change that a minority has voted for may come about long after what it rested on was seen.
        seen = self.accepted.get(value["rev"], self.now) if key == "board" and value else self.now
        lost = {
            e.name: e.moved
            for e in self.executors
            if not e.up and not e.in_work and seen > e.moved + 5 * TICKS_PER_SECOND
        }
        cold = [e.name for e in self.executors if self.now < e.worked + RAMP * 98 // 100]
        self.spec.learned(self.now, node, key, value, lost, cold)

    # What goes on there.

    def open(self):
        """All nodes begin within a second, and what goes on there with them."""
        for host in self.hosts:
            self.later(self.random.randrange(1, TICKS_PER_SECOND), host.start)
        self.later(1, self.work)

    def heal(self):
        """Once the last fault has ended all nodes are up."""
        self.run(max(self.faults_end, self.now) + TICKS_PER_SECOND)
        for host in self.hosts:
            if not host.alive:
                host.start()

    def work(self):
        """Forwards, all the time, by every node to whatever it may use."""
        self.later(TICKS_PER_SECOND // 50, self.work)
        for host in self.hosts:
            if not host.alive or host.stopped:
                continue
            e = self.random.choice(self.executors)
            if host.uses(e.name) and e.up:
                self.done["forwards"] += 1
                host.open[e.name] += 1
                # Under way for a while: what was sent before arrives after.
                self.later(self.random.randrange(1, GRACE * 9 // 10), self.reach, host, host.life, e)

    def reach(self, host, life, e):
        if e.in_work:
            self.spec.reached(self.now, host.me, e.name)
        if host.life == life:
            host.open[e.name] -= 1

    def operate(self, ask_every=TICKS_PER_SECOND // 2):
        """The operators' side: looks at any node that answers, and works at what it is told is free."""
        self.later(ask_every, self.operate, ask_every)
        up = [h for h in self.hosts if h.alive and not h.stopped]
        if not up:
            return
        host = self.random.choice(up)
        told = host.parts[1].status(host.clock())
        self.spec.told(self.now, host.me, told)
        for row in told["machines"]:
            if row["state"] == "free" and row["name"].startswith("node:"):
                self.start_anew(self.hosts[int(row["name"].removeprefix("node:"))], row["number"])
            if row["state"] == "failed" and row["number"] not in self.worked:
                # Their word came too late: said again, with the number that it has now.
                self.say_back(row["name"], row["number"])
            e = next((e for e in self.executors if e.name == row["name"]), None)
            if e and row["state"] == "free" and row["number"] not in self.worked:
                e.in_work = True
                e.turn(self.now, False)
                self.worked.add(row["number"])
                self.done["worked at"] += 1
                self.later(
                    self.random.randrange(TICKS_PER_SECOND, 3 * TICKS_PER_SECOND),
                    self.finish,
                    e,
                    row["number"],
                )

    def start_anew(self, host, number):
        if host.alive and number not in self.worked:
            self.worked.add(number)
            self.done["nodes worked at"] += 1
            host.end()
            self.later(
                self.random.randrange(TICKS_PER_SECOND, 3 * TICKS_PER_SECOND),
                lambda: host.alive or host.start(),
            )

    def say_back(self, name, number):
        e = next((e for e in self.executors if e.name == name), None)
        if e and e.up and not e.in_work:
            self.worked.add(number)
            self.call(b"/v1/maintenance/back/%s/%d" % (name.encode(), number))

    def finish(self, e, number):
        e.in_work, e.worked = False, self.now
        e.turn(self.now, True)
        self.finish_list()
        self.call(b"/v1/maintenance/back/%s/%d" % (e.name.encode(), number))

    def tell_list(self, host):
        if host.alive and not host.stopped:
            host.told_list()
            host.pull()

    def call(self, path, body=None, tries=40):
        """An operator's call at any node, again until it is answered by more than a doubt."""
        up = [h for h in self.hosts if h.alive and not h.stopped]
        if not up:
            if tries:
                self.later(TICKS_PER_SECOND, self.call, path, body, tries - 1)
            return
        host, life = self.random.choice(up), None
        life = host.life

        def answered(status, text):
            self.spec.answered(self.now, path, body, status, text)
            if status in (400, 503) and tries:
                self.later(TICKS_PER_SECOND, self.call, path, body, tries - 1)
            elif status == 200:
                self.done["calls"] += 1

        self.later(6 * TICKS_PER_SECOND, lambda: host.life != life and answered(503, "died"))
        host.parts[1].operator_call(host.clock(), answered, b"POST", path, body)
        host.pull()

    def settled(self):
        states = [h.parts[1].status(h.clock()) for h in self.hosts if h.alive and not h.stopped]
        one = len(states) == self.count and len({s["rev"] for s in states}) == 1
        return one and all(s["sure"] and not s["plan"] for s in states)

    # Faults.

    def trouble(self, until):
        if self.faults and self.now < until:
            self.later(
                int(self.random.expovariate(1) * 2 * TICKS_PER_SECOND / self.faults) + 1,
                self.strike,
                self.random.choice(self.kinds),
                until,
            )

    def strike(self, kind, until):
        if self.now < until:
            self.done[kind] += 1
            FAULTS[kind](self)
            self.faults_end = max(self.faults_end, self.now)
            self.trouble(until)

    def for_a_while(self, call, low=TICKS_PER_SECOND // 2, high=5 * TICKS_PER_SECOND):
        wait = self.random.randrange(low, high)
        self.faults_end = max(self.faults_end, self.now + wait)
        self.later(wait, call)

    def cut_some(self):
        """One way, partly, or a side from the other."""
        draw, all_ = self.random, [(i, j) for i in range(self.count) for j in range(self.count) if i != j]
        how = draw.randrange(3)
        if how == 0:
            cut = {x for x in all_ if draw.random() < 0.3}
        elif how == 1:
            one = draw.randrange(self.count)
            cut = {x for x in all_ if x[draw.randrange(2)] == one}
        else:
            side = {i for i in range(self.count) if draw.random() < 0.5}
            cut = {(i, j) for i, j in all_ if (i in side) != (j in side)}
        self.cuts = self.cuts | cut
        self.for_a_while(lambda: setattr(self, "cuts", self.cuts - cut))

    def stall_some(self):
        """What one node hears, or says, is held back and comes as a flood."""
        one, end = self.random.randrange(self.count), self.random.randrange(2)
        stalled = {x for x in self.cuts_of(one) if x[end] == one and self.random.random() < 0.7}
        self.stalled = self.stalled | stalled

        def flow():
            self.stalled = self.stalled - stalled
            held, self.held = self.held, [x for x in self.held if x[:2] not in stalled]
            for by, to, data in held:
                # Of a flood not all gets through: buffers end somewhere.
                if (by, to) in stalled and self.random.random() < 0.5:
                    self.arrive(by, to, data)

        self.for_a_while(flow)

    def cuts_of(self, one):
        return [x for j in range(self.count) if j != one for x in ((one, j), (j, one))]

    def bad_links(self):
        self.loss, self.double, self.delay = self.random.random() * 0.4, self.random.random() * 0.4, 400
        self.for_a_while(
            lambda: (setattr(self, "loss", 0.0), setattr(self, "double", 0.0), setattr(self, "delay", 20))
        )

    def may_forget(self, host):
        """No protocol outlives the loss of what a majority remembers: one minority at a time forgets."""
        if host.me not in self.voters:
            return True
        lost = {h.me for h in self.hosts if h.me in self.voters and h is not host and not h.whole()}
        return len(lost) + 1 <= (len(self.voters) - 1) // 2

    def any_host(self):
        return self.random.choice(self.hosts)

    def kill(self, folder="same"):
        host = self.any_host()
        if not host.alive or folder != "same" and not self.may_forget(host):
            return
        host.end()
        if folder == "older" and host.disk.older:
            host.disk.files = dict(host.disk.older)
        elif folder == "empty":
            host.disk.files = {}
        self.for_a_while(lambda: host.alive or host.start())

    def kill_all(self):
        for host in self.hosts:
            if host.alive:
                host.end()
                self.for_a_while(lambda host=host: host.alive or host.start(), 1, 2 * TICKS_PER_SECOND)

    def stop(self):
        host = self.any_host()
        if host.alive and not host.stopped:
            host.stopped, life = True, host.life
            self.for_a_while(
                lambda: host.life == life and host.stopped and host.go_on(), TICKS_PER_SECOND, 4 * LEASE
            )

    def copy(self):
        host = self.any_host()
        host.disk.older = dict(host.disk.files)

    def spoil(self):
        """A byte of a file goes wrong, and its process ends."""
        host = self.any_host()
        if host.alive and host.disk.files and self.may_forget(host):
            host.end()
            if host.disk.files:
                name = self.random.choice(sorted(host.disk.files))
                data = host.disk.files[name]
                at = self.random.randrange(len(data))
                bit = bytes([data[at] ^ 1 << self.random.randrange(8)])
                host.disk.files[name] = data[:at] + bit + data[at + 1 :]
            self.for_a_while(lambda: host.alive or host.start())

    def bad_disk(self, kind):
        host = self.any_host()
        if kind == "fails" and not self.may_forget(host):
            return
        setattr(host.disk, kind, True)
        self.for_a_while(lambda: setattr(host.disk, kind, False))

    def lose_executor(self):
        """One dies by itself and comes back cold."""
        e = self.random.choice(self.executors)
        if e.up and not e.in_work:
            e.turn(self.now, False)
            self.finish_list()

            def back():
                if not e.in_work and not e.up:
                    e.turn(self.now, True)
                    self.finish_list()

            self.for_a_while(back, high=12 * TICKS_PER_SECOND)

    def finish_list(self):
        for host in self.hosts:
            self.later(self.random.randrange(1, TICKS_PER_SECOND), self.tell_list, host)


FAULTS = {
    "cut": World.cut_some,
    "stalled": World.stall_some,
    "bad links": World.bad_links,
    "kill": World.kill,
    "stop": World.stop,
    "copy": World.copy,
    "older folder": lambda w: w.kill("older"),
    "empty folder": lambda w: w.kill("empty"),
    "spoilt file": World.spoil,
    "all killed": World.kill_all,
    "slow disk": lambda w: w.bad_disk("slow"),
    "failing disk": lambda w: w.bad_disk("fails"),
    "executor lost": World.lose_executor,
}


def play(seed, seconds=40, **shape):
    """One round: (broken invariants, its world). A plan is given early, and another in its way."""
    w = World(seed, **shape)
    w.open()
    w.later(1, w.operate)
    w.run(5 * TICKS_PER_SECOND)
    names = [e.name for e in w.executors]
    if isinstance(seed, int) and seed % 2:
        names += ["node:0", f"node:{w.count - 1}"]
    first = {
        "machines": names,
        "most": 2,
        "mostZone": 1,
        "workMs": 20_000,
        "leastShare": 0.3,
        "late": "go on",
    }
    w.call(b"/v1/maintenance/plan", first)
    other = {"machines": names[:2], "most": 1, "workMs": 20_000, "id": "second"}
    w.later(w.random.randrange(1, 3 * TICKS_PER_SECOND), w.call, b"/v1/maintenance/plan", other)
    w.trouble(seconds * TICKS_PER_SECOND)
    w.run(seconds * TICKS_PER_SECOND)
    w.heal()
    end = w.now + CALM
    while w.now < end and not w.settled():
        w.run(w.now + TICKS_PER_SECOND)
    w.spec.ended(w.now, [h.parts[1].status(h.clock()) for h in w.hosts])
    return w.spec.broken, w
