"""The consensus component of a node: acceptor, proposer, recovery, membership and record."""

from grebedyke.consensus import messages, vote_store
from grebedyke.consensus.acceptor import Acceptor, MemberPhase
from grebedyke.consensus.chosen_values import ChosenValues
from grebedyke.consensus.component import Component
from grebedyke.consensus.membership import MEMBERS_KEY, Membership
from grebedyke.consensus.proposer import Proposer
from grebedyke.consensus.recovery import Recovery
from grebedyke.consensus.vote_store import VoteStore


class Consensus(Component):
    """Registers whose values are chosen by a majority of the members.

    Other components propose changes of a key's value and listen for chosen values.

    Attributes:
        random_source: Draws the random delays.
        fleet: The fleet's name; records of another fleet are rejected.
        process_id: A number unique to this process.
        round_timeout: How long a round waits for answers, in ticks.
        keys: The keys of all registers; each component appends its own.
        acceptor: This node's acceptor state.
        store: The record of that state on disk.
        recovery: Brings this node to the voting phase after a start.
        proposer: Runs this node's proposals.
        chosen_values: The values known to be chosen.
        membership: The members and their changes.
    """

    call_paths = (b"/v1/agreement",)
    record_files = (vote_store.FILE,)

    def __init__(self, random_source, fleet, node_id, node_count, founders, process_id, round_timeout):
        super().__init__(node_id)
        self.random_source = random_source
        self.fleet = fleet
        self.process_id = process_id
        self.round_timeout = round_timeout
        self.keys = [MEMBERS_KEY]
        self.acceptor = Acceptor(node_id, founders)
        self.store = VoteStore(self)
        self.recovery = Recovery(self, founders, process_id)
        self.proposer = Proposer(self)
        self.chosen_values = ChosenValues(self, node_count)
        self.membership = Membership(self, founders)
        self._handlers = {
            messages.Prepare: self._on_prepare,
            messages.AcceptRequest: self._on_accept_request,
            messages.Promise: self.proposer.on_promise,
            messages.Accepted: self.proposer.on_accepted,
            messages.Refusal: self.proposer.on_refusal,
            messages.ChosenValue: self.chosen_values.on_chosen_value,
            messages.ChosenDelta: self.chosen_values.on_chosen_delta,
            messages.ValueQuery: self.chosen_values.on_value_query,
            messages.VoteCount: self.chosen_values.on_vote_count,
            messages.StatusQuery: self.recovery.on_status_query,
            messages.Status: self.recovery.on_status,
            messages.RejoinRequest: self.recovery.on_rejoin_request,
            messages.RejoinState: self.recovery.on_rejoin_state,
        }

    # Used by the other components.

    @property
    def members(self):
        """The newest voters that this node knows."""
        return self.acceptor.members

    @property
    def epoch(self):
        """The number of the newest known set of voters."""
        return self.acceptor.epoch

    @property
    def listeners(self):
        """Callbacks, called with (now, key, value) for every newly learned chosen value."""
        return self.chosen_values.listeners

    def quorum_size(self):
        """Returns the number of voters that form a majority."""
        return self.acceptor.quorum_size()

    def is_voting(self):
        """Returns whether this node votes."""
        return self.acceptor.is_voting()

    def chosen_value(self, key):
        """Returns the newest value that this node knows to be chosen, or None."""
        return self.chosen_values.value(key)

    def accepted_value(self, key):
        """Returns the value that this node accepted last, chosen or not; None before the first."""
        register = self.acceptor.registers.get(key)
        return register.value if register else None

    def propose(self, now, key, change, done, timeout=None):
        """Proposes a change of a key's value.

        Args:
            now: The node's clock, in ticks.
            key: One of `keys`.
            change: change(value) -> (new value, result). It must be safe to apply more than once: each
                round applies it again, even if an earlier round chose it and the answers were lost.
            done: done(now, result), called once; the result is None if it is not known whether the change was
                chosen.
            timeout: Time after which the proposal is given up, in ticks; None for the default.
        """
        self.proposer.propose(now, key, change, done, timeout)

    def send_chosen_value(self, now, node, key):
        """Sends the newest known value of a key to a node that has an older one or none."""
        self.chosen_values.send(now, node, key)

    def adopt_members(self, now, epoch, members):
        """Adopts a set of voters received from another node, if it is newer."""
        self.membership.adopt(now, epoch, members)

    # Used by the parts of consensus.

    def send_message(self, node, message):
        """Encodes and queues a message of `messages.py`."""
        self.send(node, messages.encode(message))

    # Called by the host.

    def restore(self, now, stored_records):
        """See `Component.restore`."""
        self.recovery.restore(now, stored_records.get(vote_store.FILE))

    def record_persisted(self, now, file, number, succeeded):
        """See `Component.record_persisted`."""
        if file == vote_store.FILE:
            self.store.write_finished(now, number, succeeded)

    def receive(self, now, sender, message):
        """See `Component.receive`."""
        kind, *fields = message
        if not isinstance(kind, str) or kind not in messages.MESSAGES:
            return False
        self.tolerate_undecodable(self._decode_and_handle, now, sender, kind, fields)
        return True

    def _decode_and_handle(self, now, sender, kind, fields):
        message = messages.MESSAGES[kind].decode(fields)
        self._handlers[type(message)](now, sender, message)

    def _on_prepare(self, now, sender, request):
        self.store.answer(sender, self.acceptor.prepare(request))

    def _on_accept_request(self, now, sender, request):
        self.store.answer(sender, self.acceptor.accept(request))

    def next_action(self, now):
        """See `Component.next_action`."""
        if not self.pending_actions:
            self.recovery.query_members(now)
            self.membership.settle(now)
            self.proposer.advance_rounds(now)
        action = self.next_pending_action(now)
        if action is None:
            action = self.store.next_write(now)
        if action is None:
            action = self.schedule_wake(now, self._next_due_time(now))
        return action

    def _next_due_time(self, now):
        """Returns the time of the next timeout, retry or write, in ticks; None if there is none."""
        times = self.proposer.due_times(now)
        if self.acceptor.phase not in (MemberPhase.VOTING, MemberPhase.OUT):
            times.append(self.recovery.next_query_at)
        next_write = self.store.next_write_time()
        if next_write is not None:
            times.append(next_write)
        return min(times, default=None)

    # Operator calls.

    def operator_call(self, now, call, method, path, body):
        """Answers a query of the state, or adds or removes a voter; see `Component.operator_call`."""
        parts = path.decode("latin-1").strip("/").split("/")[2:]
        if not parts and method == b"GET":
            self.answer_call(call, 200, self.state())
        elif len(parts) == 2 and parts[0] in ("add", "remove") and parts[1].isdigit() and method == b"POST":
            self._change_member(now, call, int(parts[1]), is_added=parts[0] == "add")
        else:
            self.answer_call(call, 404, "no such call")

    def _change_member(self, now, call, node, is_added):
        def done(now, result):
            """Answers the operator's call with the result of the change."""
            if result is None:
                text = "no majority answers; it may come about all the same, asking again is harmless"
                self.answer_call(call, 503, text)
            else:
                self.answer_call(call, 409 if result.startswith("refused") else 200, result)

        if node >= self.chosen_values.node_count:
            self.answer_call(call, 404, f"there is no node {node}")
        else:
            self.membership.change_member(now, node, is_added, done)

    def state(self):
        """Returns the member's state as the admin API shows it."""
        return {
            "phase": self.acceptor.phase.value,
            "why": self.recovery.reason,
            "life": self.acceptor.incarnation.number,
            "epoch": self.epoch,
            "members": self.members,
            "odd": self.undecodable_count,
            "disk_failures": self.store.failure_count,
        }
