"""The judge of a round with real processes: by clients, executors and logs, no helper of what is judged."""

from collections import Counter, defaultdict

TAKEN = {"leaving", "free", "back"}
# A message and a close meet on a connection of this machine within that, in seconds.
CROSSING = 0.02
# What may follow each state directly.
AFTER = {
    "waiting": {"leaving", "skipped"},
    "leaving": {"free", "skipped"},
    "free": {"back", "failed"},
    "back": {"done", "failed"},
    "failed": {"back"},
}


class Judge:
    """`troubled`: node -> (from, to) in which its process was stopped or ended; `broken`: (clause, words)."""

    def __init__(self):
        self.broken, self.done, self.troubled, self.told = [], Counter(), defaultdict(list), None
        self.stopped = defaultdict(list)  # node -> (from, to) in which its process was ended as operators do

    def fault(self, clause, words):
        self.broken.append((clause, words))

    def promised(self, answer):
        """Told as taken: it has to be so whatever is lost from then on."""
        status, text = answer
        if status != 200:
            return self.fault("calls are answered", f"the plan: {status} {text}")
        self.told = text.split()[1].rstrip(":")

    def refused(self, answer):
        """A second plan: no while the first is open, or taken once that has ended."""
        status, text = answer
        if status not in (200, 409):
            self.fault("two operators", f"{status} {text}")

    def rules(self, ledger, nodes, limited=False):
        """Rules 1 to 3; what a killed or stopped process had taken is its own loss."""
        for broken in ledger.judge():
            entry, node = ledger.entries[broken.id], broken.id.partition("-")[0]
            due = (entry.sent or 0) + entry.operation.timeout + 1
            lost = broken.rule == 1 and any(
                a <= due and b >= (entry.sent or 0) for a, b in self.troubled[node]
            )
            if broken.rule == 1 and not entry.answers and entry.ended is not None:
                # Written while the node, about to end, closed that idle connection: no node has taken it.
                crossed = entry.ended - entry.sent < CROSSING
                if crossed and any(a <= entry.sent <= b for a, b in self.stopped[node]):
                    self.done["crossed a close"] += 1
                    continue
            if not lost:
                ended = entry.ended and entry.ended - (entry.sent or 0)
                since = [round((entry.sent or 0) - a, 3) for a, _ in self.stopped[node]]
                self.fault(
                    f"rule {broken.rule}",
                    f"{broken.id}: {broken.what}; its client's end came {ended} s after it was sent, "
                    f"{since} s after its node was told to end",
                )
        counts = ledger.counts()
        self.done["taken"] += counts["taken"]
        self.done["succeeded"] += counts["succeeded"]
        # A fleet that sends nothing breaks no rule.
        if counts["succeeded"] < (counts["taken"] / 4 if not limited else 20):
            self.fault("work goes on", f"{dict(counts)}")

    def limits(self, ledger, shares, late):
        """By what reached the executors: in any window W at most limit * (W + late) + burst invocations, and
        never more under way. `late`: from a node's yes until the executor has it, in seconds.
        """
        for limit in shares:
            mine = {
                id: entry
                for id, entry in ledger.entries.items()
                if limit.get("operation") in (None, entry.operation.name) and ledger.forwards[id]
            }
            came = sorted((min(at for at, _ in ledger.forwards[id]), id) for id in mine)
            self.done[f"limit {limit['name']}"] += len(came)
            if "rate" in limit:
                level = room = limit["burst"] + limit["rate"] * late
                before = came[0][0] if came else 0
                for at, id in came:
                    level, before = min(level + limit["rate"] * (at - before), room) - 1, at
                    if level < 0:
                        return self.fault("over the rate", f"{limit['name']} by {-level:.1f} at {id}")
                continue
            ends = [(max(at for at, _ in ledger.runs[id]), -1) for _, id in came if ledger.runs[id]]
            under_way = 0
            for at, change in sorted([(at, 1) for at, id in came if ledger.runs[id]] + ends):
                under_way += change
                if under_way > limit["underWay"]:
                    return self.fault("too many under way", f"{limit['name']}: {under_way} at {at:.3f}")

    def logs(self, events, most, voters=frozenset()):
        """All nodes tell one story: one change for each number, in an allowed order, within limits."""
        story, plans = {}, {}
        for node, event in events:
            if event["event"] == "machine":
                key, change = event["rev"], (event["machine"], event["state"])
                # A node that has missed some learns several at once: each with the number it came by.
                known = story.setdefault((key, event["machine"]), event["state"])
                if known != event["state"]:
                    self.fault("one value", f"{node} has {change} under {key}, others {known}")
            elif event["event"] == "plan":
                known = plans.setdefault(event["rev"], (event["plan"], event["state"]))
                if known != (event["plan"], event["state"]):
                    self.fault(
                        "one value",
                        f"{node} has {event['plan']} {event['state']} under {event['rev']}, others {known}",
                    )
        if self.told and self.told not in [plan for plan, _ in plans.values()]:
            self.fault("told is kept", f"plan {self.told} was told as taken and is in no log")
        at = {}
        for (rev, machine), state in sorted(story.items()):
            before = at.get(machine)
            if before and state != "waiting" and state not in AFTER.get(before, ()):
                # Several steps in one change of the board: the ones between have their own numbers.
                self.fault("order of states", f"{machine}: {before}, then {state} under {rev}")
            at[machine] = state
            out = [name for name, s in at.items() if s in TAKEN]
            if len(out) > most:
                self.fault("most out", f"{out} under {rev}")
            if len(voters.intersection(out)) > 1:
                self.fault("one voter at a time", f"{out} under {rev}")
        self.done["changes"] += len(story)
