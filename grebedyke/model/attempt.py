"""An attempt: sending a request to one endpoint, from the send to its end."""


class Attempt:
    """Sending a request to one endpoint; creating it updates the endpoint's and the request's counters.

    Attributes:
        request: The request that was sent.
        index: Position among the attempts of the request, from 0.
        endpoint: The endpoint it was sent to.
        sent_at: Time of the decision to send it.
        latest_send: Time by which its last byte must be sent; None without a limit.
        started_at: Time at which it started to run, estimated if executors send no start notices; 0 if not
            known.
        last_report_at: Time at which the node using the slot last reported progress.
        ended: Whether its outcome is known.
        cancelled: Whether its cancellation was sent.
        exceeded_cutoff: Whether it was cancelled because it ran longer than the cutoff of its tier.
        never_ran: Whether its outcome proves that it had no effect.
        opened_connection: Whether a connection was opened for it.
        expected_wait: Expected wait at the endpoint at the time of the send, in ticks.
        reported_wait: Wait there according to the last load report before the send, in ticks.
        had_free_slot: Whether the load report used for placement showed a free slot; None without a report.
        slots_in_use_at_send: Slots in use at the endpoint when it was sent, including its own.
        granting_node: The node that granted the slot; None for this node.
        slot_request_number: The number of the slot request that was granted.
        start_allowance: Additional ticks allowed until the start of an attempt that another node sends.
    """

    __slots__ = (
        "cancelled",
        "ended",
        "endpoint",
        "slots_in_use_at_send",
        "exceeded_cutoff",
        "expected_wait",
        "granting_node",
        "had_free_slot",
        "index",
        "last_report_at",
        "latest_send",
        "never_ran",
        "opened_connection",
        "reported_wait",
        "request",
        "sent_at",
        "slot_request_number",
        "start_allowance",
        "started_at",
    )

    def __init__(self, request, endpoint, sent_at, granting_node=None, latest_send=None):
        self.request = request
        self.index = len(request.attempts)
        self.endpoint = endpoint
        self.sent_at = sent_at
        self.latest_send = latest_send
        self.started_at = 0
        self.last_report_at = sent_at
        self.ended = False
        self.cancelled = False
        self.exceeded_cutoff = False
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
        self.slots_in_use_at_send = endpoint.slots_in_use

    def end(self, never_ran):
        """Marks the attempt as ended and removes it from the counters of its endpoint and its request."""
        self.ended = True
        self.never_ran = never_ran
        del self.endpoint.in_flight[self.request.id, self.index]
        self.request.open_attempts -= 1
        self.endpoint.slots_in_use -= self.request.slots
