"""The judge of a scale run: all processes are asked what they have seen; it is held against the promises.

By `spec.py` (boards) and `limit_judge.py` (limits), and by counts that hold on a machine of any speed: an
answer for an ask and no more, asks no more often than leases say, nothing that only grows.
"""

import asyncio
import time
from collections import Counter

from grebedyke.rate_limits.definitions import LimitKind
from grebedyke.testbed.instrumentation import SPAN
from grebedyke.testbed.limit_checker import FleetLimits, LimitChecker
from grebedyke.testbed.rollout_specification import ExecutorStates, RolloutSpecification
from grebedyke.units import TICKS_PER_SECOND

LOOK = 0.5
# Kinds of messages: what is asked, and what answers it.
ANSWERS = {"m": "M", "s": "S", "t": "T", "w": "W", "r": "R", "pa": "PAn"}
# Entries that a container may have more at the end of a calm window than at its beginning.
SLACK = 20
# What a process that is killed may have asked since it was last looked at.
UNSEEN = 200
MOST_TOLD = 5
# The window from a fault's end on.
UNTIL = "until all agree"


class Looking:
    """`limits`: tenant -> (kind, a second or at once, burst); `broken`: (seconds, clause, words)."""

    def __init__(self, run, limits):
        self.run, self.limits, self.began = run, limits, time.monotonic()
        self.broken, self.values, self.passed = [], {}, Counter()
        self.spec = RolloutSpecification(run.executors, run.voters)
        self.events, self.newest, self.words, self.shown = Counter(), None, "", 0.0
        self.gone, self.killed, self.pledged = Counter(), 0, {}
        self.sent = {}

    def fault(self, clause, words):
        if sum(row[1] == clause for row in self.broken) < MOST_TOLD:
            self.broken.append((round(time.monotonic() - self.began, 1), clause, words))

    @property
    def plan(self):
        return self.newest["plan"] if self.newest else None

    def promised(self, status, text):
        if status != 200:
            return self.fault("calls are answered", f"the plan: {status} {text}")
        # Its board is seen a moment later: from the first one that has it on none may lack it.
        self.pledged[text.split()[1].rstrip(":")] = text

    # What is seen.

    async def on(self, seconds):
        end = time.monotonic() + seconds
        while (left := end - time.monotonic()) > 0:
            await asyncio.sleep(min(left, LOOK))
            await self.look()

    async def look(self):
        """Whether all nodes are up, ready and tell one story."""
        told = await self.run.all("tell")
        stories, ready, alive, news = Counter(), 0, 0, []
        for one in told:
            stories.update(one["known"])
            ready, alive = ready + one["ready"], alive + one["alive"]
            news += one["news"]
            for words in one["broken"]:
                self.fault("one value", words)
            for tenant, span, way, n in one["passes"]:
                self.events[span, way, tenant] += n
        for node, key, ballot, value in sorted(news, key=lambda x: (x[1], x[2])):
            self.learned(node, key, tuple(ballot), value)
        self.words = f"{alive} of {self.run.count} up, {ready} ready, {len(stories)} stories"
        if time.monotonic() > self.shown + 5:
            self.shown = time.monotonic()
            self.run.say(
                f"{self.shown - self.began:.0f} s: {self.words}, {len(self.values)} values agreed on"
            )
        return alive == ready == self.run.count and len(stories) == 1

    def learned(self, node, key, ballot, value):
        known = self.values.setdefault((key, ballot), value)
        if known != value:
            self.fault("one value", f"node {node} has another {key} under {ballot} than others")
        if key != "board":
            return
        if value and (self.newest is None or value["rev"] > self.newest["rev"]):
            self.newest = value
        if value:
            kept = [value["plan"]["id"]] if value["plan"] else []
            for id in {*kept, *(past[0] for past in value["past"])} & {*self.pledged}:
                self.spec.accepted_plans[id] = self.pledged.pop(id), value["rev"]
        # Executors of a scene stay up, so none is lost or cold.
        self.spec.value_learned(time.monotonic(), node, key, value, ExecutorStates())
        for _, clause, words in self.spec.violations:
            self.fault(clause, words)
        self.spec.violations.clear()

    # What follows from it, at the end.

    def over(self):
        """No limit is overrun, by all that went through at all nodes; spans make it less sharp by one."""
        judges = {
            tenant: LimitChecker(FleetLimits(size, burst + size * SPAN / TICKS_PER_SECOND, size))
            if kind is LimitKind.RATE
            else LimitChecker(FleetLimits(1, 1, size))
            for tenant, (kind, size, burst) in self.limits.items()
        }
        for (span, way, tenant), n in sorted(self.events.items()):
            judge, at = judges[tenant], span * SPAN
            if way > 0:
                self.passed[tenant] += n
            if self.limits[tenant][0] is not LimitKind.RATE:
                # Ends come first of a span's: what is seen is the least that were under way.
                judge.request_began(at, "?", n) if way > 0 else judge.request_ended(at, n)
            else:
                judge.request_admitted(at, "?", n)
        for tenant, judge in judges.items():
            for _, clause, words in judge.violations:
                self.fault(clause, f"{tenant}: {words}")

    async def killing(self, children):
        """Real nodes are about to be killed: what they have counted is kept."""
        for child in children:
            for told in (await child.ask("mark"))["nodes"].values():
                self.gone.update(told["kinds"])
            self.killed += 1

    async def counts(self):
        """What was sent by all nodes since their start. Answers are read first: each had its ask before."""
        run = self.run
        answered = Counter(self.gone)
        for told in await run.all("mark"):
            for row in told["nodes"].values():
                answered.update(row["kinds"])
        asked = Counter(self.gone)
        for told in await run.all("mark"):
            for node, row in told["nodes"].items():
                asked.update(row["kinds"])
                if row["hasty"]:
                    self.fault(
                        "asks no more often", f"node {node}: {row['hasty']} asks for shares out of turn"
                    )
        self.sent = dict(asked) | {k: answered[k] for answers in ANSWERS.values() for k in answers}
        for asks, answers in ANSWERS.items():
            asks_sent, given = sum(asked[k] for k in asks), sum(answered[k] for k in answers)
            if given > asks_sent + UNSEEN * self.killed:
                self.fault("an answer for an ask", f"{given} answers {'/'.join(answers)} to {asks_sent} asks")

    def often(self):
        """By a node's own clock each ask comes so long after the one before, or with another value."""
        run = self.run
        for name, window in run.windows.items():
            if name == UNTIL:
                continue  # other lives begin in it
            for row in window["nodes"]:
                most = {
                    "m": (row["seconds"] * 4 / run.lease + len(self.values) + 4) * len(run.voters),
                    "s": row["seconds"] * 11 / run.lease + len(self.values) + 4,
                }
                for kind, n in most.items():
                    if row["kinds"].get(kind, 0) > n:
                        self.fault(
                            "asks no more often",
                            f"node {row['node']}, {name}: {row['kinds'][kind]} asks {kind}, {n:.0f} at most",
                        )

    def grown(self):
        for name, window in self.run.windows.items():
            # With another holder its books begin anew.
            if name in ("calm", "before") and not window["values"]:
                for path, n in window["grown"].items():
                    if n > SLACK:
                        self.fault(
                            "what is kept is dropped",
                            f"{path} has {n:.0f} entries more after {window['seconds']:.0f} s of calm",
                        )

    async def close(self):
        await self.look()
        for id in self.pledged:
            self.fault("told is kept", f"plan {id} was told as taken and is in no board")
        await self.counts()
        self.often()
        self.grown()
        self.over()
