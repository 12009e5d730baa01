"""An attempt: sending a request to one endpoint, from the send to its end."""


class Attempt:
    """One sending of a request to an endpoint; creating it counts it there.

    Attributes:
        request: The request that was sent.
        index: Position among the request's attempts, from 0.
        endpoint: Where it was sent.
        sent_at: When it was sent.
        started_at: When it began to run, as far as that is known; otherwise 0.
        last_report_at: When the node that uses the slot last reported progress.
        ended: Its outcome is known.
        cancelled: Its cancel was sent.
        cut: It was cancelled because it ran longer than its tier's cutoff.
        never_ran: Its outcome proves that it had no effect.
        opened_connection: A connection was opened for it.
        expected_wait: Ticks that it was expected to wait at the endpoint.
        reported_wait: The same by the load report alone.
        had_free_slot: Whether the load report that it was sent by showed a free slot; None: sent without one.
        endpoint_load: Slots in use at the endpoint, its own included, when it was sent.
        granting_node: The node that granted the slot; None: this node.
        slot_request_number: The number under which the slot was granted.
        start_allowance: Further ticks that its start may take as another node sends it.
    """

    __slots__ = (
        "cancelled",
        "cut",
        "ended",
        "endpoint",
        "endpoint_load",
        "expected_wait",
        "granting_node",
        "had_free_slot",
        "index",
        "last_report_at",
        "never_ran",
        "opened_connection",
        "reported_wait",
        "request",
        "sent_at",
        "slot_request_number",
        "start_allowance",
        "started_at",
    )

    def __init__(self, request, endpoint, sent_at, granting_node=None):
        self.request = request
        self.index = len(request.attempts)
        self.endpoint = endpoint
        self.sent_at = sent_at
        self.started_at = 0
        self.last_report_at = sent_at
        self.ended = False
        self.cancelled = False
        self.cut = False
        self.never_ran = False
        self.opened_connection = False
        self.expected_wait = endpoint.expected_wait
        self.reported_wait = endpoint.reported_wait
        self.had_free_slot = None
        self.granting_node = granting_node
        self.slot_request_number = request.slot_request_number
        self.start_allowance = 0
        request.attempts.append(self)
        request.open_attempts += 1
        request.queued = False
        request.reservation = None
        request.probed_endpoints = []
        request.overdue_probes = []
        endpoint.last_sent_at = sent_at
        endpoint.in_flight[request.id, self.index] = self
        endpoint.slots_in_use += request.slots
        self.endpoint_load = endpoint.slots_in_use

    def end(self, never_ran):
        """Takes it out of the counts of its endpoint and its request."""
        self.ended = True
        self.never_ran = never_ran
        del self.endpoint.in_flight[self.request.id, self.index]
        self.request.open_attempts -= 1
        self.endpoint.slots_in_use -= self.request.slots
