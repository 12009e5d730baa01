"""Consensus as a component of a node: acceptor, proposer, recovery, membership and record together."""

from grebedyke.consensus import messages, vote_store
from grebedyke.consensus.acceptor import Acceptor, MemberPhase
from grebedyke.consensus.chosen_values import ChosenValues
from grebedyke.consensus.component import Component
from grebedyke.consensus.membership import MEMBERS, Membership
from grebedyke.consensus.proposer import Proposer
from grebedyke.consensus.recovery import Recovery
from grebedyke.consensus.vote_store import VoteStore


class Consensus(Component):
    """Registers on which a majority of the members agrees.

    Other components propose changes of a key's value and listen to what is chosen.

    Attributes:
        random_source: For drawn delays.
        fleet: The fleet's name; records of another fleet are refused.
        process_id: A number that no other process has.
        round_timeout: How long an answer is waited for, in ticks.
        keys: The keys of all registers; each component appends its own.
        acceptor: This node's vote.
        store: The record on disk.
        recovery: How this node gets to vote.
        proposer: This node's proposals.
        chosen_values: What is known to be chosen.
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
        self.keys = [MEMBERS]
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

    # For the components above.

    @property
    def members(self):
        """The voters, as far as this node knows."""
        return self.acceptor.members

    @property
    def epoch(self):
        """The number of that set of voters."""
        return self.acceptor.epoch

    @property
    def listeners(self):
        """Each is called with (now, key, value) for every value that is newly known to be chosen."""
        return self.chosen_values.listeners

    def quorum_size(self):
        """Returns how many voters are a majority."""
        return self.acceptor.quorum_size()

    def is_voting(self):
        """Returns whether this node votes."""
        return self.acceptor.is_voting()

    def chosen_value(self, key):
        """Returns the newest value that this node knows to be chosen, None where there is none yet."""
        return self.chosen_values.value(key)

    def accepted_value(self, key):
        """Returns the value that this node has accepted last, whether or not it was chosen; None at first."""
        register = self.acceptor.registers.get(key)
        return register.value if register else None

    def propose(self, now, key, change, done, timeout=None):
        """Proposes a change of a key's value.

        Args:
            now: The node's clock, in ticks.
            key: One of `keys`.
            change: change(value) -> (new value, result). It is applied anew in each round, also after it was
                chosen while its answer was lost, so it must be harmless when it is applied again.
            done: done(now, result), called once; the result is None where it is not known whether the change
                was chosen.
            timeout: How long it is tried for, in ticks; None for a default.
        """
        self.proposer.propose(now, key, change, done, timeout)

    def send_chosen_value(self, now, node, key):
        """Tells a node that knows less what is known here of a key."""
        self.chosen_values.send(now, node, key)

    def adopt_members(self, now, epoch, members):
        """Takes over a set of voters that another node has told, if it is newer."""
        self.membership.adopt(now, epoch, members)

    # For the collaborators.

    def send_message(self, node, message):
        """Queues one of the messages of `messages.py`."""
        self.send(node, messages.encode(message))

    # What the host tells.

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
            self.proposer.drive(now)
        action = self.next_pending_action(now)
        if action is None:
            action = self.store.next_write(now)
        if action is None:
            action = self.schedule_wake(now, self._next_time(now))
        return action

    def _next_time(self, now):
        """Returns when this component has something to do by time alone, in ticks; None for never."""
        times = self.proposer.next_times(now)
        if self.acceptor.phase not in (MemberPhase.VOTING, MemberPhase.OUT):
            times.append(self.recovery.next_query_at)
        next_write = self.store.next_write_time()
        if next_write is not None:
            times.append(next_write)
        return min(times, default=None)

    # Operators.

    def operator_call(self, now, call, method, path, body):
        """See `Component.operator_call`: the state, or a voter that is added or removed."""
        words = path.decode("latin-1").strip("/").split("/")[2:]
        if not words and method == b"GET":
            self.answer_call(call, 200, self.state())
        elif len(words) == 2 and words[0] in ("add", "remove") and words[1].isdigit() and method == b"POST":
            self._change_member(now, call, int(words[1]), is_added=words[0] == "add")
        else:
            self.answer_call(call, 404, "no such call")

    def _change_member(self, now, call, node, is_added):
        def done(now, result):
            """Answers the call with the result of the change."""
            if result is None:
                doubt = "no majority answers; it may come about all the same, asking again is harmless"
                self.answer_call(call, 503, doubt)
            else:
                self.answer_call(call, 409 if result.startswith("refused") else 200, result)

        if node >= self.chosen_values.node_count:
            self.answer_call(call, 404, f"there is no node {node}")
        else:
            self.membership.change_member(now, node, is_added, done)

    def state(self):
        """Returns what operators see of this member."""
        return {
            "phase": self.acceptor.phase.value,
            "why": self.recovery.reason,
            "life": self.acceptor.incarnation.number,
            "epoch": self.epoch,
            "members": self.members,
            "odd": self.undecodable_count,
            "disk_failures": self.store.failure_count,
        }
