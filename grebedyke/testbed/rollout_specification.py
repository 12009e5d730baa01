"""What a fleet under maintenance promises, judged from outside; no helper of what is judged is used here.

Each clause names what docs/maintenance.md and docs/agreement.md promise.
"""

# Neither free nor to be used: what 'most' counts.
TAKEN = {"leaving", "free", "back", "failed"}
# From each state, what may follow.
NEXT = {
    "waiting": {"leaving", "skipped"},
    "leaving": {"free", "skipped"},
    "free": {"back", "failed"},
    "back": {"done", "failed"},
    "failed": {"back"},
    "done": set(),
    "skipped": set(),
}


class Spec:
    """Fed with what was seen; `broken` are (time, clause, words)."""

    def __init__(self, nodes, executors, voters=()):
        self.voters, self.executors = {f"node:{v}" for v in voters}, executors
        self.broken, self.boards, self.promised, self.freed = [], {}, {}, set()

    def fault(self, now, clause, words):
        self.broken.append((now, clause, words))

    def learned(self, now, node, key, value, lost=None, cold=()):
        """One value for each number; numbers only grow; machines move as stated; limits are kept.

        lost: executors that are down by themselves for long, since when; cold: that came up a moment ago.
        """
        if key != "board" or not value:
            return
        rev = value["rev"]
        known = self.boards.setdefault(rev, value)
        if known != value:
            self.fault(now, "one value", f"node {node} has another board {rev} than others")
        if known is value:
            self.judge(now, value, lost, cold)

    def judge(self, now, board, lost, cold):
        plan, at = board["plan"], board["at"]
        if not plan:
            return
        taken = [name for name, (state, *_) in at.items() if state in TAKEN]
        failed = sum(at[name][0] == "failed" for name in taken)
        if len(taken) > plan["most"] and len(taken) - failed > plan["most"]:
            self.fault(now, "most out", f"board {board['rev']} has {len(taken)} out of {plan['most']}")
        if len(self.voters & {name for name in taken if at[name][0] != "failed"}) > 1:
            self.fault(now, "one voter at a time", f"board {board['rev']}: {taken}")
        for limit, i in (("most_zone", 0), ("most_kind", 1)):
            # A node has no zone of the list's.
            some = [name for name in taken if at[name][0] != "failed" and not name.startswith("node:")]
            groups = [plan["machines"][name][i] for name in some]
            if plan[limit] and any(groups.count(g) > plan[limit] for g in groups):
                self.fault(now, limit, f"board {board['rev']}: {taken}")
        for rev in (r for r in sorted(self.boards) if r < board["rev"]):
            before = self.boards[rev]
            if not before["plan"] or before["plan"]["id"] != plan["id"]:
                continue
            if rev == max(r for r in self.boards if r < board["rev"]):
                self.next_board(now, before, board, taken, lost, cold)
            for name, (state, number, _) in at.items():
                was, its_number, _ = before["at"][name]
                if number < its_number or number == its_number and state != was:
                    self.fault(now, "numbers grow", f"{name}: {was} {its_number}, then {state} {number}")
                elif state != was and not reachable(was, state):
                    self.fault(now, "order of states", f"{name}: {was}, then {state}")
        for id, content in self.promised.items():
            kept = [(plan["id"], plan["content"]), *((p[0], p[2]) for p in board["past"])]
            if board["rev"] >= content[1] and id not in [k[0] for k in kept]:
                self.fault(
                    now, "told is kept", f"plan {id} was told as taken and is not in board {board['rev']}"
                )

    def next_board(self, now, before, board, taken, lost, cold):
        """What came about between one board and the next one seen."""
        new = [name for name, (state, *_) in board["at"].items() if before["at"][name][0] != state]
        for name in new:
            if board["at"][name][0] == "done" and name in cold:
                self.fault(now, "warm before the next", f"{name} is done and came up a moment ago")
        # Against as many as there were when the plan was given: what was lost before, it cannot know.
        gone = [name for name in lost if name not in taken]
        expected = sum(board["plan"]["zones"].values())
        gone = min(len(gone), max(expected - (self.executors - len(gone)), 0))
        if (
            any(board["at"][name][0] == "leaving" for name in new)
            and gone
            and (len(taken) + gone > board["plan"]["most"])
        ):
            self.fault(
                now, "losses count", f"{taken} are out and {gone} lost, {board['plan']['most']} at most"
            )

    def told(self, now, node, state):
        """What an operator was told: a machine told free is worked at from then on."""
        for row in state["machines"]:
            if row["state"] == "free":
                self.freed.add((row["name"], row["number"]))

    def answered(self, now, path, body, status, text):
        if status == 200 and path.endswith(b"/plan") and isinstance(text, str) and text.startswith("plan "):
            id = text.split()[1].rstrip(":")
            newest = max(self.boards, default=0)
            self.promised.setdefault(id, (text, newest))

    def reached(self, now, node, name):
        self.fault(now, "free is free", f"a forward of node {node} reached {name}, which is being worked at")

    def ended(self, now, states):
        """After the last fault all plans end, and all nodes say the same."""
        left = [(i, s["plan"], s["state"]) for i, s in enumerate(states) if s["plan"]]
        if left:
            self.fault(now, "plans end", f"{left}")
        if len({s["rev"] for s in states}) > 1:
            self.fault(now, "one truth", f"{[s['rev'] for s in states]}")
        if not all(s["sure"] for s in states):
            self.fault(now, "sure again", f"{[s['sure'] for s in states]}")


def reachable(a, b):
    """Whether b may follow a, over any number of steps."""
    seen, left = {a}, [a]
    while left:
        for state in NEXT[left.pop()]:
            if state not in seen:
                seen.add(state)
                left.append(state)
    return b in seen
