"""What is measured at a node of a scale run, hollow or real: its traffic, its CPU time, what it learns.

Nothing is measured by the code that is checked: datagrams are counted where they pass the socket, CPU time
around the calls of the host, values where the consensus tells its listeners.
"""

import random
from collections import Counter, deque
from time import thread_time_ns
from zlib import crc32

import msgpack

from grebedyke.consensus.actions import SendMessage

# The calls of a component host whose CPU time is measured.
TIMED_CALLS = ("receive_datagram", "next_action", "perform", "expire")
# A node's request to the lease holder for its shares, as a message's kind.
SHARE_REQUEST = "s"
# Two of three share requests in a row lie an eighth of a lease apart, see `NodeProbe.early_requests`.
SHARE_REQUEST_SPACING_DIVISOR = 8
# What a node is to the others.
HOLDER = "holder"
VOTER = "voter"
OTHER = "other"
DOWN = "down"


class LearnedValues:
    """The values that the nodes of one process have learnt as agreed on: each reported once.

    Attributes:
        unreported: [node, key, ballot, value] of each value that was not reported yet.
        contradictions: A line for each node that has learnt another value than others, not reported yet.
    """

    def __init__(self):
        self.unreported = []
        self.contradictions = []
        self._values = {}

    def learn(self, node, key, ballot, value):
        """Notes a value, and returns its checksum."""
        known = self._values.get((key, ballot))
        if known is None:
            known = (value, crc32(msgpack.packb(value)))
            self._values[key, ballot] = known
            self.unreported.append([node, key, ballot, value])
        elif known[0] is not value and known[0] != value:
            self.contradictions.append(f"node {node} has another {key} under {ballot} than others")
        return known[1]

    def take_unreported(self):
        """Returns and forgets the values and the contradictions that were not reported yet."""
        values = self.unreported
        contradictions = self.contradictions
        self.unreported = []
        self.contradictions = []
        return values, contradictions


class NodeProbe:
    """Measures one node over all its processes.

    Attributes:
        node_id: The node's number.
        counts: Datagrams out, bytes out, datagrams in and bytes in.
        sent_kinds: Number of messages sent by kind.
        component_time: CPU time of the components, in nanoseconds.
        component_calls: Calls into the components.
        early_requests: Share requests that came sooner than a correct node ever sends them.
        unreachable_nodes: The nodes to which nothing gets through.
        loss_probability: Of each datagram that the node sends.
        mean_delay: Of each datagram that the node sends, in seconds.
        known_checksums: Checksum of the newest value that the node has learnt, by key.
        host: The `ComponentHost` of the running process.
    """

    def __init__(self, node_id, learned_values, seed=0):
        self.node_id = node_id
        self.counts = [0, 0, 0, 0]
        self.sent_kinds = Counter()
        self.component_time = 0
        self.component_calls = 0
        self.early_requests = 0
        self.unreachable_nodes = frozenset()
        self.loss_probability = 0.0
        self.mean_delay = 0.0
        self.known_checksums = {}
        self.host = None
        self._consensus = None
        self._learned_values = learned_values
        self._random = random.Random(f"tap {seed} {node_id}")
        self._is_timing = False
        self._learned_at = 0
        self._last_requests = deque([0] * 3, 3)

    def attach(self, host, peers, loop):
        """Puts itself around the components of a new process, before it starts.

        Args:
            host: The process's `ComponentHost`.
            peers: The process's `PeerSocket`, whose socket the node uses.
            loop: The event loop.
        """
        self.host = host
        self.known_checksums = {}
        self._last_requests.extend([0] * 3)
        host.send_datagram = self._counting_sender(host.send_datagram, loop)
        peers.datagram_received = self._counting_receiver(peers.datagram_received)
        host.perform = self._counting_performer(host.perform)
        for name in TIMED_CALLS:
            setattr(host, name, self._timed(getattr(host, name)))
        self._consensus = next(part for part in host.components if hasattr(part, "listeners"))
        self._consensus.listeners.append(self._value_learned)

    def has_all_permissions(self, now):
        """Returns whether the node may do all that its components are for: view and shares are current."""
        if not self.host.is_started:
            return False
        for component in self.host.components:
            if hasattr(component, "view_is_certain"):
                if not component.view_is_certain(now):
                    return False
            elif hasattr(component, "share_client") and not component.share_client.has_current_shares(now):
                return False
        return True

    def role(self):
        """Returns what the node is to the others now; whether it drives a plan, the run knows."""
        if self.host is None or not self.host.is_started:
            return DOWN
        elections = [part.election for part in self.host.components if hasattr(part, "election")]
        if any(election.is_holder() for election in elections):
            return HOLDER
        return VOTER if self._consensus.is_voting() else OTHER

    def _counting_sender(self, send, loop):
        def counting_send(receiver, body):
            """Counts a datagram, and sends it unless it is to be lost."""
            self.counts[0] += 1
            self.counts[1] += len(body)
            if receiver in self.unreachable_nodes:
                return
            if self.loss_probability and self._random.random() < self.loss_probability:
                return
            if self.mean_delay:
                loop.call_later(self.mean_delay * self._random.random() * 2, send, receiver, body)
            else:
                send(receiver, body)

        return counting_send

    def _counting_receiver(self, receive):
        def counting_receive(data, address):
            """Counts a datagram and passes it on."""
            self.counts[2] += 1
            self.counts[3] += len(data)
            receive(data, address)

        return counting_receive

    def _counting_performer(self, perform):
        def counting_perform(now, component, action):
            """Counts a message and carries the action out."""
            if isinstance(action, SendMessage):
                kind = action.message[0]
                self.sent_kinds[kind] += 1
                if kind == SHARE_REQUEST:
                    self._share_requested(now, component.terms.lease)
            perform(now, component, action)

        return counting_perform

    def _share_requested(self, now, lease):
        """Counts early requests.

        Of three requests in a row, without news of a holder in between, at most one is out of its turn: by
        the node's own clock they lie an eighth of a lease apart.
        """
        self._last_requests.append(now)
        oldest = self._last_requests[0]
        if oldest > self._learned_at and now - oldest < lease // SHARE_REQUEST_SPACING_DIVISOR:
            self.early_requests += 1

    def _timed(self, call):
        def timed_call(*arguments):
            """Calls and counts the time; calls within another one are counted once."""
            if self._is_timing:
                return call(*arguments)
            self._is_timing = True
            self.component_calls += 1
            start = thread_time_ns()
            try:
                return call(*arguments)
            finally:
                self.component_time += thread_time_ns() - start
                self._is_timing = False

        return timed_call

    def _value_learned(self, now, key, value):
        self._learned_at = now
        ballot = tuple(self._consensus.chosen_values.by_key[key].ballot)
        self.known_checksums[key] = self._learned_values.learn(self.node_id, key, ballot, value)
