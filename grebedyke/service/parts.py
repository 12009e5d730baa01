"""Hosts the fleet's parts in the node's turn: what they say becomes messages, files, bans and answers.

The interface is described in grebedyke/consensus/component.py. Nothing here knows a part by name.
"""

from concurrent.futures import ThreadPoolExecutor

import orjson
from loguru import logger

from grebedyke import errors
from grebedyke.consensus import actions, framing
from grebedyke.errors import ConfigurationError
from grebedyke.units import TICKS_PER_SECOND

# How soon a folder that another process has is tried again.
AGAIN = TICKS_PER_SECOND // 10
# An operator's call: a plan of some hundred machines.
LARGEST_CALL = 65_536


class Parts:
    """`send(node, bytes)`; `by_hand(now, name, out)` gives whether the node knows that executor;
    `busy(names)` which of them have forwards open here; `listed()` all names on the list,
    `banned()` those that are out by hand.
    """

    def __init__(self, loop, turn, files, fleet, parts, send, by_hand, busy, listed, banned):
        self.loop, self.turn, self.files, self.parts = loop, turn, files, parts
        self.mark, self.send, self.by_hand = framing.fleet_tag(fleet), send, by_hand
        self.names_open, self.names, self.banned = busy, listed, banned
        self.whole, self.number = framing.Reassembler(self.mark), 0
        self.disk = ThreadPoolExecutor(1, "disk")
        self.begun, self.waiting, self.now_out, self.operators, self.heirless = (
            False,
            False,
            set(),
            set(),
            True,
        )
        self.hands = {}  # part -> (names, whether all others are out too)

    # The start: the folder first, as nothing may be said before it is known what was said.

    def start(self, inherited):
        """Raises ConfigurationError where the folder is another node's or cannot be used."""
        if not inherited:
            # Until this node knows what is out it uses nothing; who takes over has the other process's bans.
            self.hands = {part: (frozenset(), True) for part in self.parts if part.controls_exclusions}
        self.open(self.turn.clock())

    def open(self, now):
        try:
            if not self.files.lock():
                if not self.waiting:
                    logger.warning(
                        "fleet: another process has the folder, this one waits for it", event="folder-held"
                    )
                self.waiting = True
                return self.turn.at(now + AGAIN, self.open)
            stored = {name: self.files.read(name) for part in self.parts for name in part.record_files}
        except OSError as problem:
            raise ConfigurationError(f"setting fleet.folder cannot be used: {problem.strerror}") from None
        try:
            for part in self.parts:
                part.restore(now, stored)
        except errors.ForeignRecordError as problem:
            raise ConfigurationError(f"setting fleet.folder is not this node's: {problem}") from None
        # Bans that came along from the process before: a part's own end by its word.
        known = {
            name for part in self.parts if part.controls_exclusions for name in part.concerned_endpoints()
        }
        self.now_out |= known & {*self.banned()}
        self.operators |= {*self.banned()} - known - self.now_out
        self.begun = True
        self.turn.put(lambda now: None)

    # What comes in.

    def heard(self, now, by, data):
        message = self.whole.take(by, data)
        if message is not None and self.begun:
            self.deliver(now, by, message)

    def deliver(self, now, by, message):
        if not any(part.receive(now, by, message) for part in self.parts):
            self.whole.undecodable_count += 1  # a later build's kind: left alone

    def listed(self, now, whole, rows):
        rows = [
            (name, zone, kind, cell, state, since, weight)
            for name, _, zone, kind, cell, state, since, weight in rows
        ]
        for part in self.parts:
            part.endpoints_changed(now, whole, rows)
        self.rule(now)

    def kept(self, now, part, name, number, done):
        part.record_persisted(now, name, number, done)

    def called(self, caller, method, path, body):
        """Whether the call is one of a part's; it is answered by a decision of that part."""
        part = next((p for p in self.parts if path.startswith(p.call_paths)), None)
        if part is None:
            return False
        if not self.begun:
            caller.answer(503, "the folder is another process's for now")
            return True
        try:
            said = orjson.loads(body) if body else None
        except orjson.JSONDecodeError as problem:
            caller.answer(400, f"the call is not JSON: {problem}")
            return True
        if said is not None and not isinstance(said, dict):
            caller.answer(400, "the call is not a JSON object")
            return True
        self.turn.put(part.operator_call, caller, method, path, said)
        return True

    def operator(self, now, name, out):
        """An operator's own word at this node: an executor is used when nobody has it out."""
        (self.operators.add if out else self.operators.discard)(name)
        known = self.by_hand(now, name, out or name in self.now_out)
        if not known:
            self.operators.discard(name)
        return known

    # What goes out.

    def decide(self, now):
        if not self.begun:
            return None
        for part in self.parts:
            if part.watched_endpoints:
                part.open_attempts_reported(now, self.names_open(part.watched_endpoints))
            if (decision := part.next_action(now)) is not None:
                return part, decision
        return None

    def do(self, now, part, decision):
        self.DO[type(decision)](self, now, part, *decision)

    def do_send(self, now, part, to, message):
        self.number += 1
        for frame in framing.pack(self.mark, self.number, message):
            self.send(to, frame)

    def do_keep(self, now, part, name, number, data):
        """In a thread: a disk that takes seconds holds up no turn."""

        def work():
            try:
                self.files.replace(name, data)
                return None
            except OSError as problem:
                return problem.strerror or str(problem)

        def over(future):
            why = future.result()
            if why:
                logger.error("fleet: {file} is not kept: {why}", event="disk", file=name, why=why)
            self.turn.put(self.kept, part, name, number, why is None)

        self.loop.run_in_executor(self.disk, work).add_done_callback(over)

    def do_wake(self, now, part, at):
        self.turn.at(at, lambda now: None)

    def do_hands(self, now, part, names, blind):
        self.hands[part] = names, blind
        self.rule(now)

    def rule(self, now):
        """Bans follow what the parts want out; what an operator has out stays out."""
        wanted = {name for names, _ in self.hands.values() for name in names}
        if any(blind for _, blind in self.hands.values()):
            wanted |= {*self.names()}
        for name in wanted - self.now_out:
            if self.by_hand(now, name, True):
                self.now_out.add(name)
        for name in self.now_out - wanted:
            self.now_out.discard(name)
            if name not in self.operators:
                self.by_hand(now, name, False)

    def last_look(self, now):
        """Right before a turn's messages are written: it may have been stopped since the turn began."""
        for part in self.parts if self.begun else ():
            part.expire(now)
            for decision in part.take_exclusions():
                self.do(now, part, decision)

    def do_answer(self, now, part, caller, status, told):
        text = told if isinstance(told, str) else orjson.dumps(told).decode()
        caller.answer(status, text)

    def do_log(self, now, part, event, fields):
        words = " ".join(f"{key}={value}" for key, value in fields.items())
        logger.bind(event=event, **fields).info("fleet: {} {}", event, words)

    DO = {
        actions.SendMessage: do_send,
        actions.PersistRecord: do_keep,
        actions.WakeAt: do_wake,
        actions.ExcludeEndpoints: do_hands,
        actions.AnswerCall: do_answer,
        actions.LogEvent: do_log,
    }

    def close(self):
        self.disk.shutdown(wait=False, cancel_futures=True)
        self.files.close()
