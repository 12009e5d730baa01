"""Instruments of a hollow or real node of a scale run: traffic, CPU time and learned values.

The measured code does not take part in the measurement: datagrams are counted at the socket, CPU time around
the calls of the component host, and values by a listener of the consensus.
"""

import random
from collections import Counter, deque
from time import thread_time_ns
from zlib import crc32

import msgpack

from grebedyke.consensus.actions import SendMessage

# The methods of a component host whose CPU time is measured.
TIMED_CALLS = ("receive_datagram", "next_action", "perform", "expire")
# Message kind of a node's request for its shares from the lease holder.
SHARE_REQUEST = "s"
# The first and the third of three consecutive share requests are at least an eighth of a lease apart, see
# `NodeProbe.early_requests`.
SHARE_REQUEST_SPACING_DIVISOR = 8
# Roles of a node.
HOLDER = "holder"
VOTER = "voter"
OTHER = "other"
DOWN = "down"


class LearnedValues:
    """The chosen values that the nodes of one process have learned; each value is reported once.

    Attributes:
        unreported: [node, key, ballot, value] of each value that has not been reported yet.
        contradictions: A text for each node that learned a different value than others; not reported yet.
    """

    def __init__(self):
        self.unreported = []
        self.contradictions = []
        self._values = {}

    def learn(self, node, key, ballot, value):
        """Records a value and returns its checksum."""
        known = self._values.get((key, ballot))
        if known is None:
            known = (value, crc32(msgpack.packb(value)))
            self._values[key, ballot] = known
            self.unreported.append([node, key, ballot, value])
        elif known[0] is not value and known[0] != value:
            self.contradictions.append(f"node {node} has another {key} under {ballot} than others")
        return known[1]

    def take_unreported(self):
        """Returns the unreported values and contradictions, and clears both."""
        values = self.unreported
        contradictions = self.contradictions
        self.unreported = []
        self.contradictions = []
        return values, contradictions


class NodeProbe:
    """Measures one node over all its processes.

    Attributes:
        node_id: The node's number.
        counts: Datagrams sent, bytes sent, datagrams received and bytes received.
        sent_kinds: Number of messages sent by kind.
        component_time: CPU time of the components, in nanoseconds.
        component_calls: Number of calls into the components.
        early_requests: Number of share requests that a correct node would have sent later.
        unreachable_nodes: The nodes to which all datagrams are dropped.
        loss_probability: Probability that a sent datagram is lost.
        mean_delay: Mean delay of a sent datagram, in seconds.
        known_checksums: Checksum of the latest value that the node has learned, by key.
        host: The `ComponentHost` of the current process.
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
        """Instruments the components of a new process, before they are started.

        Args:
            host: The process's `ComponentHost`.
            peers: The process's `PeerSocket`.
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
        self._consensus = next(component for component in host.components if hasattr(component, "listeners"))
        self._consensus.listeners.append(self._value_learned)

    def has_all_permissions(self, now):
        """Returns whether the node's view is certain and its shares are current."""
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
        """Returns the node's current role, except for the driver of a plan, which the run determines."""
        if self.host is None or not self.host.is_started:
            return DOWN
        elections = [
            component.election for component in self.host.components if hasattr(component, "election")
        ]
        if any(election.is_holder() for election in elections):
            return HOLDER
        return VOTER if self._consensus.is_voting() else OTHER

    def _counting_sender(self, send, loop):
        def counting_send(receiver, body):
            """Counts a datagram and sends it, unless it is to be lost."""
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
            """Counts a sent message and carries out the action."""
            if isinstance(action, SendMessage):
                kind = action.message[0]
                self.sent_kinds[kind] += 1
                if kind == SHARE_REQUEST:
                    self._check_share_request(now, component.terms.lease)
            perform(now, component, action)

        return counting_perform

    def _check_share_request(self, now, lease):
        """Counts a request that was sent too early.

        Of three consecutive requests, without a newly learned value in between, at most one is early: by the
        node's own clock the first and the third are at least an eighth of a lease apart.
        """
        self._last_requests.append(now)
        oldest = self._last_requests[0]
        if oldest > self._learned_at and now - oldest < lease // SHARE_REQUEST_SPACING_DIVISOR:
            self.early_requests += 1

    def _timed(self, call):
        def timed_call(*arguments):
            """Measures the CPU time of a call; nested calls are counted once."""
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
