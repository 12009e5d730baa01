"""State shared by all policy modules of a dispatcher."""

from collections import deque

from grebedyke.model.actions import SendPeerMessage


class PolicyContext:
    """State shared by all policy modules of a dispatcher.

    Attributes:
        random: Source of all random draws.
        endpoints: The endpoint table.
        cutoffs: The cutoff search.
        quotas: The tenants' quotas.
        retry_budget: The retry budget.
        settings: The `DispatcherSettings` in force; replaced on a reload.
        requests: Open requests by id, both this node's own and those it places for peers.
        change_count: Incremented on each change that may allow a waiting request to be placed; also used to
            order items of the same instant.
        outbox: Queued `SendPeerMessage` actions.
    """

    def __init__(self, random, parts, settings):
        self.random = random
        self.endpoints = parts.endpoint_table
        self.cutoffs = parts.cutoff_search
        self.quotas = parts.tenant_quotas
        self.retry_budget = parts.retry_budget
        self.settings = settings
        self.requests = {}
        self.change_count = 0
        self.outbox = deque()

    @property
    def uses_coordinators(self):
        """Whether each group of endpoints has a coordinator node that places requests there."""
        return self.endpoints.groups_per_zone > 0

    def send_to_peer(self, node, message):
        """Queues a peer message."""
        self.outbox.append(SendPeerMessage(node, message))

    def open_attempt(self, request_id, index):
        """Returns the attempt, or None if it does not exist or has ended."""
        request = self.requests.get(request_id)
        if not request or index >= len(request.attempts) or request.attempts[index].ended:
            return None
        return request.attempts[index]
