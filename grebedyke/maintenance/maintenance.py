"""Machines out for work as a part: each node's lease on its view of the board, and what drives the board on.

Why no forward reaches a machine that is told free, and by how much that may be late: docs/maintenance.md.
"""

from grebedyke import errors
from grebedyke.consensus import records
from grebedyke.consensus.actions import ExcludeEndpoints, PersistRecord
from grebedyke.consensus.component import Component
from grebedyke.errors import ConfigurationError
from grebedyke.maintenance import plan as plans
from grebedyke.maintenance import rollout
from grebedyke.units import TICKS_PER_SECOND

BOARD, FILE = "board", "view"
# A machine that was listed when this node first heard the list is taken to have been there for long.
LONG_AGO = -(2**40)


class Ask:
    """One ask for a lease: reckoned from when it was sent, as the giver's word may take any time to come."""

    def __init__(self, sent, rev, epoch):
        self.sent, self.rev, self.epoch, self.by = sent, rev, epoch, set()


class Maintenance(Component):
    """Times in tenths of a millisecond. `lease`: a node's view of the board is sure for so long; `drift`: by
    how much two clocks' rates may differ at most; `grace`: how long a node waits for its forwards at a
    machine that leaves; `ramp`: until an executor is warm; `window`, `groups`: for how long and among whom
    repeats are dropped; `alone`: after that a node that has just started trusts the view in its folder, None:
    never.
    """

    call_paths = (b"/v1/maintenance",)
    record_files = (FILE,)
    controls_exclusions = True

    def __init__(
        self, agreement, fleet, me, nodes, process, lease, drift, grace, ramp, window, groups, alone
    ):
        super().__init__(me)
        self.agreement, self.fleet, self.nodes, self.process = agreement, fleet, nodes, process
        self.lease, self.drift, self.grace, self.ramp = lease, drift, grace, ramp
        self.window, self.groups, self.alone = window, tuple(groups), alone
        agreement.keys.append(BOARD)
        agreement.listeners.append(self.learned)
        self.asks, self.number, self.next = {}, 0, 0
        # This node's view: the newest board known, the newest on its disk, and until when it is sure of it.
        self.board, self.kept_rev, self.writing, self.unwritten, self.until = None, -1, None, False, None
        self.paused, self.begun, self.trusted, self.shown = 0, None, False, None
        self.rows, self.since, self.watched_endpoints, self.open, self.leaving_since = (
            {},
            {},
            frozenset(),
            frozenset(),
            {},
        )
        # What a voter has heard: acks[node] = (rev, process, when); when it first saw each number agreed on.
        self.acks, self.firsts, self.backs, self.driving, self.drove = {}, {}, {}, False, 0
        self.first_list = True

    # The bound.

    def bound(self):
        """After so long by this node's clock no lease that was asked for before is in force, by any clock."""
        return int(self.lease * (1 + self.drift) / (1 - self.drift)) + 1

    # The start, the disk.

    def restore(self, now, stored_records):
        self.begun = self.next = now
        if data := stored_records.get(FILE):
            try:
                self.board = records.decode(self.fleet, self.node_id, data)["board"]
                self.kept_rev = rollout.rev(self.board)
            except (errors.CorruptRecordError, KeyError, TypeError, ValueError):
                self.board = None
        self.apply(now)

    def keep(self):
        self.number += 1
        self.unwritten, self.writing = False, (self.number, rollout.rev(self.board))
        return PersistRecord(
            FILE, self.number, records.encode(self.fleet, self.node_id, {"board": self.board})
        )

    def record_persisted(self, now, file, number, succeeded):
        if file != FILE or not self.writing or number != self.writing[0]:
            return
        (_, rev), self.writing = self.writing, None
        if succeeded:
            self.kept_rev = max(self.kept_rev, rev)
            self.next = now  # the others wait for that word
        else:
            self.unwritten, self.paused = True, now + TICKS_PER_SECOND

    # The view.

    def learned(self, now, key, value):
        if key != BOARD or not value or rollout.rev(value) <= rollout.rev(self.board):
            return
        before, self.board = self.board, value
        self.firsts.setdefault(value["rev"], now)
        self.firsts = {rev: at for rev, at in self.firsts.items() if rev > value["rev"] - 512}
        self.unwritten = True
        self.tell(before, value)
        self.apply(now)

    def tell(self, before, value):
        old = before["at"] if before else {}
        for name, (state, number, _) in value["at"].items():
            if name not in old or old[name][1] != number:
                self.log("machine", rev=number, machine=name, state=state)
        if not before or (before["plan"], before["state"]) != (value["plan"], value["state"]):
            # A plan that has ended is the first of the past ones.
            id, state = (value["plan"]["id"], value["state"]) if value["plan"] else value["past"][0][:2]
            self.log("plan", rev=value["rev"], plan=id, state=state)

    def sure(self, now):
        """Whether no newer board can have been agreed on of which the others would not wait for this node."""
        return self.until is not None and now < self.until

    def apply(self, now):
        """Which machines this node must not use; what it has open there is watched."""
        known = self.sure(now)
        blind = self.until is None and not self.trusted
        names = rollout.machines_in(self.board, rollout.OUT if known else rollout.UNSURE)
        # Sent to no more, if only for now; a node that is no executor has no forwards.
        names = frozenset(name for name in names if not name.startswith(plans.NODE))
        if (names, blind) != self.shown:
            self.shown = names, blind
            self.pending_actions.append(ExcludeEndpoints(names, blind))
        self.watched_endpoints = names
        self.leaving_since = {name: self.leaving_since.get(name, now) for name in names}

    def concerned_endpoints(self):
        """Executors that this part may have had out before."""
        return [*self.board["at"]] if self.board else []

    def open_attempts_reported(self, now, names):
        if frozenset(names) != self.open:
            self.open, self.next = frozenset(names), now

    def agreed(self, now):
        """Up to which rev this node has the board on its disk and sends nothing to who is out by it."""
        slow = [
            name
            for name in self.open & self.watched_endpoints
            if now < self.leaving_since.get(name, now) + self.grace
        ]
        # Also where the disk is behind the board: told without these, a forward reached a free machine.
        numbers = [self.board["at"][name][1] for name in slow if name in self.board["at"]]
        return min([self.kept_rev, *(n - 1 for n in numbers)])

    def may(self, now, name):
        """Asked at the last moment before a forward is written."""
        if self.sure(now):
            return name not in rollout.machines_in(self.board, rollout.OUT)
        return not (self.until is None and not self.trusted) and name not in rollout.machines_in(
            self.board, rollout.UNSURE
        )

    # Leases.

    def ask(self, now):
        if now < self.next:
            return
        self.next = now + self.lease // 4
        self.number += 1
        rev = rollout.rev(self.board)
        self.asks[self.number] = Ask(now, rev, self.agreement.epoch)
        self.asks = {n: a for n, a in self.asks.items() if now < a.sent + self.lease}
        for v in self.agreement.members:
            self.send(v, ["m", self.number, rev, self.agreed(now), self.process, self.agreement.epoch])

    def asked(self, now, by, number, rev, agreed, process, epoch):
        """By a voter: granted only to who knows the newest board that this one may have voted for."""
        consensus = self.agreement
        self.acks[by] = int(agreed), int(process), now
        if not consensus.is_voting():
            return
        newest = rollout.rev(consensus.accepted_value(BOARD))
        if epoch < consensus.epoch or newest > rev:
            self.agreement.send_chosen_value(now, by, BOARD)
        self.send(
            by, ["M", number, newest <= rev and epoch == consensus.epoch, consensus.epoch, consensus.members]
        )

    def granted(self, now, by, number, yes, epoch, members):
        self.agreement.adopt_members(now, int(epoch), [int(v) for v in members])
        ask, consensus = self.asks.get(number), self.agreement
        if not ask or not yes or ask.epoch != epoch or by not in consensus.members:
            return
        ask.by.add(by)
        if len(ask.by & {*consensus.members}) >= consensus.quorum_size() and epoch == consensus.epoch:
            was = self.sure(now)
            self.until = max(self.until or 0, ask.sent + self.lease)
            if not was:
                self.log("view", sure=True, rev=ask.rev)
            self.apply(now)

    def receive(self, now, sender, message):
        kind, *rest = message
        if kind not in ("m", "M"):
            return False
        self.handle_fields(self.asked if kind == "m" else self.granted, now, sender, rest)
        return True

    # The list.

    def endpoints_changed(self, now, complete, rows):
        if complete:
            self.rows = {}
        for name, zone, kind, cell, state, since, weight in rows:
            if state == "gone":
                self.rows.pop(name, None)
                continue
            self.rows[name] = zone, kind, cell, state, since, weight
            if self.since.get(name, (None,))[0] != since:
                self.since[name] = since, LONG_AGO if self.first_list else now
        self.first_list = self.first_list and not rows

    def healthy(self):
        return [
            (name, zone, kind, cell, weight)
            for name, (zone, kind, cell, state, _, weight) in sorted(self.rows.items())
            if state == "healthy"
        ]

    # Driving the board.

    def drive(self, now):
        """By one of the voters, the first that was heard of late; two at once do no harm, only work."""
        if not self.board or not self.board["plan"] or not self.agreement.is_voting() or self.driving:
            return
        voters = self.agreement.members
        alive = [
            v for v in voters if v == self.node_id or now < self.acks.get(v, (0, 0, LONG_AGO))[2] + self.lease
        ]
        if now < self.drove + self.lease // 20 or alive[0] != self.node_id:
            return
        self.drove, seen = now, self.evidence(now, alive)
        if rollout.step(self.board, seen) is self.board:
            return
        self.driving = True

        def done(now, result):
            self.driving, self.drove = False, 0

        self.agreement.propose(
            now, BOARD, lambda value: (rollout.step(value, seen), True), done, 2 * self.lease
        )

    def evidence(self, now, alive):
        board, plan = self.board, self.board["plan"]
        others = [i for i in range(self.nodes) if i not in plan["without"]]
        lowest = min(self.acks.get(i, (-1,))[0] for i in others) if others else rollout.rev(board)
        first = min(number for _, number, _ in board["at"].values())
        clear, back, warm, late = set(), set(), set(), set()
        for name, (state, number, since) in board["at"].items():
            pair, seen_at = (name, number), self.firsts.setdefault(number, now)
            if state == rollout.LEAVING and (
                name.startswith(plans.NODE) or lowest >= number or now >= seen_at + self.bound() + self.grace
            ):
                clear.add(pair)
            shows = plan["back"] == "list" or name.startswith(plans.NODE)
            if state in (rollout.FREE, rollout.FAILED) and shows and self.is_back(now, name, since):
                back.add(pair)
            if state == rollout.BACK and self.is_warm(now, name, pair):
                warm.add(pair)
            most = plan["work"] + (self.ramp if state == rollout.BACK else 0)
            if state in (rollout.FREE, rollout.BACK) and now >= seen_at + most * (1 + self.drift):
                late.add(pair)
        rows = self.healthy()
        young = {name for name, (_, at) in self.since.items() if now < at + self.window}
        voters = [int(v) for v in self.agreement.members]
        lives = {f"{plans.NODE}{i}": ack[1] for i, ack in self.acks.items()}
        lives |= {name: row[4] for name, row in self.rows.items()}
        return rollout.Seen(
            lowest >= first,
            clear,
            back,
            warm,
            late,
            self.away(rows, board),
            rows,
            young,
            self.groups,
            alive,
            voters,
            lives,
        )

    def is_back(self, now, name, since):
        if name.startswith(plans.NODE):
            ack = self.acks.get(int(name.removeprefix(plans.NODE)))
            return bool(ack) and ack[1] != since and now < ack[2] + self.lease
        row = self.rows.get(name)
        return bool(row) and row[3] == "healthy" and row[4] > since

    def is_warm(self, now, name, pair):
        """By how long this node has seen it back: no other clock, and none of its own from before, counts."""
        row = self.rows.get(name)
        if name.startswith(plans.NODE):
            return now < self.acks.get(int(name.removeprefix(plans.NODE)), (0, 0, LONG_AGO))[2] + self.lease
        if not row or row[3] != "healthy":
            self.backs.pop(pair, None)
            return False
        return now >= self.backs.setdefault(pair, now) + self.ramp * (1 + self.drift)

    def away(self, rows, board):
        """Lost without a plan: as many as there were when the plan was made, less those there are now."""
        plan, out = board["plan"], {*rollout.machines_in(board, (*rollout.OUT, rollout.BACK))}
        here = [row for row in rows if row[0] not in out]
        planned = [plan["machines"][name] for name in out if not name.startswith(plans.NODE)]

        def lost(expected, at):
            left = {
                group: n - sum(row[at + 1] == group for row in here) - sum(m[at] == group for m in planned)
                for group, n in expected.items()
            }
            return {group: max(n, 0) for group, n in left.items()}

        zones, kinds = lost(plan["zones"], 0), lost(plan["kinds"], 1)
        return zones, kinds, sum(zones.values())

    # Operators.

    def operator_call(self, now, call, method, path, body):
        words = path.decode("latin-1").strip("/").split("/")[2:]
        if not words and method == b"GET":
            return self.answer_call(call, 200, self.state(now))
        if method != b"POST" or len(words) not in (1, 3):
            return self.answer_call(call, 404, "no such call")
        if words == ["plan"]:
            try:
                plan = plans.read(body, self.healthy(), self.nodes, self.agreement.members)
            except ConfigurationError as problem:
                return self.answer_call(call, 400, str(problem))
            return self.wish(now, call, lambda board: rollout.give(board, plan))
        if len(words) == 1 and words[0] in ("pause", "go", "abort"):
            return self.wish(now, call, lambda board: rollout.word(board, words[0]))
        if len(words) == 3 and words[0] == "back" and words[2].isdigit():
            return self.wish(now, call, lambda board: rollout.by_word(board, words[1], int(words[2])))
        self.answer_call(call, 404, "no such call")

    def wish(self, now, call, change):
        def done(now, result):
            if result is None:
                return self.answer_call(
                    call,
                    503,
                    "no majority of the voters answers; it may come about all the "
                    "same, asking again is harmless",
                )
            self.answer_call(call, 409 if result.startswith("refused") else 200, result)

        self.agreement.propose(now, BOARD, change, done)

    def state(self, now):
        """As this node knows it; `sure`: it was the newest so many milliseconds ago."""
        board = self.board or rollout.empty()
        plan = board["plan"]
        asked = self.until - self.lease if self.until is not None else None
        return {
            "rev": board["rev"],
            "plan": plan["id"] if plan else None,
            "state": board["state"],
            "sure": self.sure(now),
            "as_of_ms": None if asked is None else (now - asked) // 10,
            "machines": [
                {"name": name, "state": state, "number": number}
                for name, (state, number, _) in board["at"].items()
            ],
            "past": [{"plan": id, "state": state} for id, state, _ in board["past"]],
            "waits_for": self.waits_for(),
        }

    def waits_for(self):
        """Nodes that have not agreed to the newest numbers, as far as this voter has heard."""
        if not self.board or not self.board["plan"] or not self.agreement.is_voting():
            return []
        newest = max(
            (
                n
                for state, n, _ in self.board["at"].values()
                if state == rollout.LEAVING or self.board["state"] == rollout.ANNOUNCED
            ),
            default=0,
        )
        return [
            i
            for i in range(self.nodes)
            if i not in self.board["plan"]["without"] and self.acks.get(i, (-1,))[0] < newest
        ]

    # What goes out.

    def expire(self, now):
        """What has changed by time alone."""
        if self.until is not None and now >= self.until and self.shown and self.log_lost(now):
            self.apply(now)
        if (
            not self.trusted
            and self.alone is not None
            and self.kept_rev >= 0
            and now >= self.begun + self.alone
        ):
            self.trusted = True
            self.apply(now)

    def log_lost(self, now):
        if self.until != 0:
            self.log("view", sure=False, rev=rollout.rev(self.board))
            self.until = 0  # lost, but once had: what is not in the plan is used on
            return True
        return False

    def next_action(self, now):
        if self.begun is None:
            return None
        if not self.pending_actions:
            self.expire(now)
            self.ask(now)
            self.drive(now)
        if (action := self.next_pending_action(now)) is not None:
            return action
        if self.unwritten and not self.writing and now >= self.paused:
            return self.keep()
        at = self.next
        if self.until:
            at = min(at, self.until)
        if self.board and self.board["plan"] and self.agreement.is_voting():
            at = min(at, now + self.lease // 20)
        return self.schedule_wake(now, at)
