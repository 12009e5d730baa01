"""What all rules of a dispatcher share."""

from collections import deque

from grebedyke.model.actions import SendPeerMessage


class PolicyContext:
    """What all rules of a dispatcher share.

    Attributes:
        random: Source of all random draws.
        endpoints: The endpoint table.
        cutoffs: The cutoff search.
        quotas: Tenants' quotas.
        retry_budget: The budget for retries.
        settings: `DispatcherSettings` in force; replaced at a reload.
        requests: Open requests by id, both this node's and those that it places for peers.
        changes: Grows with whatever may let a waiting request go; orders what happens at one instant.
        outbox: `SendPeerMessage` actions that are due.
    """

    def __init__(self, random, parts, settings):
        self.random = random
        self.endpoints = parts.endpoint_table
        self.cutoffs = parts.cutoff_search
        self.quotas = parts.tenant_quotas
        self.retry_budget = parts.retry_budget
        self.settings = settings
        self.requests = {}
        self.changes = 0
        self.outbox = deque()

    @property
    def uses_coordinators(self):
        """Whether nodes place requests by one coordinator a group of endpoints."""
        return self.endpoints.groups_per_zone > 0

    def send_to_peer(self, node, message):
        """Queues a peer message."""
        self.outbox.append(SendPeerMessage(node, message))

    def open_attempt(self, request_id, index):
        """The attempt, or None where it does not exist or has ended."""
        request = self.requests.get(request_id)
        if not request or index >= len(request.attempts) or request.attempts[index].ended:
            return None
        return request.attempts[index]
