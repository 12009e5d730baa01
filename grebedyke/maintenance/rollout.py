"""The board: the plan in force and where each machine of it stands. One agreed value, and functions of it.

Values are never changed in place: each change makes the next one, with a number (`rev`) that only grows.
"""

from grebedyke.maintenance.plan import NODE

WAITING, LEAVING, FREE, BACK, DONE, FAILED, SKIPPED = (
    "waiting",
    "leaving",
    "free",
    "back",
    "done",
    "failed",
    "skipped",
)
ENDED = DONE, FAILED, SKIPPED
# Not to be used by any node. While a node is not sure of its view, also what may be one of these by now.
OUT = LEAVING, FREE, FAILED
UNSURE = WAITING, *OUT
ANNOUNCED, OPEN, PAUSED, HALTED, ABORTING = "announced", "open", "paused", "halted", "aborting"
PAST = 16  # plans that are remembered, so that a call repeated late is still the same call


def empty():
    return {"rev": 0, "plan": None, "state": None, "at": {}, "past": []}


def rev(board):
    return board["rev"] if board else 0


def following(board, **changes):
    return {**board, **changes, "rev": board["rev"] + 1}


def put(board, name, state, since=None):
    """One machine's next state; its number is the board's."""
    number = board["rev"] + 1
    before = board["at"][name]
    return following(board, at={**board["at"], name: [state, number, before[2] if since is None else since]})


def machines_in(board, states):
    return (
        [name for name, (state, *_) in board["at"].items() if state in states]
        if board and board["plan"]
        else []
    )


# What operators want. Each gives (board, result); a result that begins with "refused" changed nothing.


def give(board, plan):
    board = board or empty()
    for id, state, content in board["past"]:
        if id == plan["id"]:
            return (
                (board, f"plan {id}: {state}")
                if content == plan["content"]
                else (board, f"refused: another plan was called {id}")
            )
    if board["plan"]:
        if board["plan"]["id"] != plan["id"]:
            return board, f"refused: plan {board['plan']['id']} is {board['state']}"
        same = board["plan"]["content"] == plan["content"]
        return board, f"plan {plan['id']}: {board['state']}" if same else (
            f"refused: another plan is called {plan['id']}"
        )
    number = board["rev"] + 1
    return (
        following(
            board, plan=plan, state=ANNOUNCED, at={name: [WAITING, number, 0] for name in plan["order"]}
        ),
        f"plan {plan['id']}: {ANNOUNCED}",
    )


def word(board, what):
    """pause, go or abort."""
    if not board or not board["plan"]:
        return board or empty(), "refused: there is no plan"
    state, id = board["state"], board["plan"]["id"]
    wanted = {"pause": PAUSED, "go": OPEN, "abort": ABORTING}[what]
    if state == wanted or state == ABORTING:
        return board, f"plan {id}: {state}" if state == wanted else "refused: the plan is being aborted"
    if state == ANNOUNCED and what != "abort":
        return board, f"refused: plan {id} is {state}, not all nodes know it"
    if what == "abort":
        for name in machines_in(board, (WAITING, LEAVING)):
            board = put(board, name, SKIPPED)
    return following(board, state=wanted), f"plan {id}: {wanted}"


def by_word(board, name, number):
    """The operators say that work on a machine is over; `number`: under which they were told that it is free.

    A word that comes late, when the machine is out anew, is nothing to do with that.
    """
    if not board or not board["plan"] or name not in board["at"]:
        return board or empty(), "refused: no such machine in the plan"
    state, its_number, _ = board["at"][name]
    if state in (FREE, FAILED) and number == its_number:
        return put(board, name, BACK), f"{name}: {BACK}"
    if number < its_number:
        return board, f"{name}: {state} since number {its_number}"
    return board, f"refused: {name} is {state} by number {its_number}"


# What one of the voters drives on, by what it has seen.


class Seen:
    """Evidence of one node. Pairs are (name, number of the state that they are about): older say nothing.

    known: every node knows the plan; clear: no node sends there any more; back: started anew since; warm;
    late: in work for longer than planned; away: executors lost without a plan, by zone, by kind and in all;
    rows: the executors in use; young: back for less than a window of repeats; alive: voters heard of late.
    """

    def __init__(
        self,
        known=False,
        clear=(),
        back=(),
        warm=(),
        late=(),
        away=(None, None, 0),
        rows=(),
        young=(),
        groups=(),
        alive=(),
        voters=(),
        lives=None,
    ):
        self.known, self.clear, self.back, self.warm, self.late = known, clear, back, warm, late
        self.away, self.rows, self.young, self.groups = away, rows, young, groups
        self.alive, self.voters, self.lives = alive, voters, lives or {}


def step(board, seen):
    """The board after all that the evidence allows; the same object where that is nothing."""
    if not board or not board["plan"]:
        return board
    if board["state"] == ANNOUNCED and seen.known:
        board = following(board, state=OPEN)
    board = onward(board, seen)
    if board["state"] == OPEN:
        while name := next_out(board, seen):
            board = put(board, name, LEAVING, seen.lives.get(name, 0))
    if all(state in ENDED for state, *_ in board["at"].values()):
        ended = "aborted" if board["state"] == ABORTING else "ended"
        past = [[board["plan"]["id"], ended, board["plan"]["content"]], *board["past"]][:PAST]
        board = following(board, plan=None, state=None, at={}, past=past)
    return board


def onward(board, seen):
    for name, (state, number, _) in list(board["at"].items()):
        pair = name, number
        if state == LEAVING and pair in seen.clear:
            board = put(board, name, FREE)
        elif state == FREE and pair in seen.back or state == FAILED and pair in seen.back:
            board = put(board, name, BACK)
        elif state == BACK and pair in seen.warm:
            board = put(board, name, DONE)
        elif state in (FREE, BACK) and pair in seen.late:
            board = put(board, name, FAILED)
            if board["plan"]["late"] == "halt" and board["state"] == OPEN:
                board = following(board, state=HALTED)
    return board


def next_out(board, seen):
    """The first machine in the order whose turn has come and for which there is room, or None."""
    plan, at = board["plan"], board["at"]
    out = [name for name, (state, *_) in at.items() if state in (LEAVING, FREE, BACK, FAILED)]
    zones, kinds, away = seen.away
    here = {row[0] for row in seen.rows}
    for name in plan["order"]:
        state = at[name][0]
        if state in ENDED or state in (LEAVING, FREE, BACK):
            continue
        if any(at[x][0] not in (DONE, SKIPPED) for x in plan["after"].get(name, ())):
            if any(at[x][0] == FAILED for x in plan["after"][name]) and plan["late"] == "go on":
                continue
            return None  # in the stated order: who comes later waits as well
        zone, kind, _, weight = plan["machines"][name]
        # One that is lost already takes no more room by being taken out.
        own = not name.startswith(NODE) and name not in here
        if len(out) + max(away - own, 0) >= plan["most"]:
            return None
        if name.startswith(NODE):
            return name if node_may(name, out, seen) else None
        full = (plan["most_zone"], zone, 0, zones), (plan["most_kind"], kind, 1, kinds)
        if any(
            most is not None
            and (lost or {}).get(group, 0)
            - own
            + sum(plan["machines"][x][i] == group for x in out if not x.startswith(NODE))
            >= most
            for most, group, i, lost in full
        ):
            return None
        return name if share_stays(board, seen, name, weight) and group_stays(board, seen, name) else None
    return None


def node_may(name, out, seen):
    """Voters one at a time, and never below a majority of them."""
    node = int(name.removeprefix(NODE))
    if node not in seen.voters:
        return True
    others = [v for v in seen.alive if v != node and f"{NODE}{v}" not in out]
    return len(others) > len(seen.voters) // 2 and not any(f"{NODE}{v}" in out for v in seen.voters)


def share_stays(board, seen, name, weight):
    out = {*machines_in(board, (LEAVING, FREE, BACK, FAILED))}
    stays = sum(row[4] for row in seen.rows if row[0] not in out) - weight
    return stays >= board["plan"]["share"] * board["plan"]["total"] - 1e-9


def group_stays(board, seen, name):
    """One that knows the repeats of its group stays: a deduplicated forward could else go nowhere."""
    out = {*machines_in(board, (LEAVING, FREE, BACK, FAILED)), name}
    zone, _, cell, _ = board["plan"]["machines"][name]
    for group, at in (("zone", 1), ("cell", 3)):
        mine = zone if group == "zone" else cell
        if group in seen.groups and not any(
            row[at] == mine and row[0] not in out and row[0] not in seen.young for row in seen.rows
        ):
            return False
    return True
