"""Requests and attempts in flight as the host tracks them: plain types without policy."""

from typing import NamedTuple

from grebedyke.model.outcome import NEVER_RAN


class RequestLine(NamedTuple):
    """Parts of a client's HTTP request that are forwarded unchanged to executors.

    Attributes:
        method: HTTP method.
        target: Request target.
        idempotency_key: The client's Idempotency-Key; None without a key.
    """

    method: bytes
    target: bytes
    idempotency_key: bytes | None


class PendingRequest:
    """A request whose final answer has not been written or whose attempts have not all ended.

    Attributes:
        id: The client's identifier of the request.
        client: The connection that waits for the answer; None once it is answered or the client has left.
        line: The `RequestLine`.
        body: Body of the HTTP request; None once no client waits for the answer.
        answer_by: Time by which the answer is written, in ticks.
        received_at: Time at which it was accepted, in ticks.
        attempts: Its `InFlightAttempt`s in order, including those that have ended.
        open_attempts: Number of attempts that have not ended.
        is_claimed: Whether no other process of this node has a request of this identifier.
        may_have_run: Whether one of its attempts has ended without proof that its job never ran.
        timers: The timers set for the client's answer, cancelled when no client waits any more.
    """

    __slots__ = (
        "id",
        "client",
        "line",
        "body",
        "answer_by",
        "received_at",
        "attempts",
        "open_attempts",
        "is_claimed",
        "may_have_run",
        "timers",
    )

    def __init__(self, id, client, line, body, answer_by, received_at):
        self.id = id
        self.client = client
        self.line = line
        self.body = body
        self.answer_by = answer_by
        self.received_at = received_at
        self.attempts = []
        self.open_attempts = 0
        self.is_claimed = False
        self.may_have_run = False
        self.timers = []

    def end_wait(self):
        """Records that no client waits for the answer any more; returns the one that did."""
        client = self.client
        self.client = None
        for timer in self.timers:
            timer.cancel()
        self.timers.clear()
        return client


class InFlightAttempt:
    """An attempt from its creation until its end is known.

    Attributes:
        request: The `PendingRequest`.
        index: Index among the attempts of the request.
        endpoint: The executor's endpoint; its `open_attempts` includes this attempt.
        call: The `ExecutorCall` that sends it; None before the send.
        is_accepted: Whether the executor has accepted the job and will call back.
        has_started: Whether the executor has reported that the job is running.
        is_ended: Whether its end is known.
        expects_no_call_back: Whether it ended in a way that excludes any later call-back about it.
        has_ambiguous_call_backs: Whether the executor may still call back about an earlier attempt of the
            same request; call-backs do not identify the attempt.
        timers: The timers set for it, cancelled at its end.
    """

    __slots__ = (
        "request",
        "index",
        "endpoint",
        "call",
        "is_accepted",
        "has_started",
        "is_ended",
        "expects_no_call_back",
        "has_ambiguous_call_backs",
        "timers",
    )

    def __init__(self, request, endpoint):
        self.request = request
        self.index = len(request.attempts)
        self.endpoint = endpoint
        self.call = None
        self.is_accepted = False
        self.has_started = False
        self.is_ended = False
        self.expects_no_call_back = False
        self.timers = []
        # Compared by name: an executor that left the list and returned is a new endpoint object, but its
        # call-backs are the same.
        self.has_ambiguous_call_backs = any(
            earlier.endpoint.name == endpoint.name and not earlier.expects_no_call_back
            for earlier in request.attempts
        )
        request.attempts.append(self)
        request.open_attempts += 1
        endpoint.open_attempts += 1

    def end(self, outcome):
        """Marks the attempt as ended and updates its request and the counter of its endpoint."""
        self.is_ended = True
        for timer in self.timers:
            timer.cancel()
        self.timers.clear()
        self.request.may_have_run = self.request.may_have_run or outcome not in NEVER_RAN
        self.request.open_attempts -= 1
        self.endpoint.open_attempts -= 1

    def is_acknowledged(self):
        """Returns whether the executor has confirmed receipt of the attempt or its call has ended."""
        return self.is_accepted or self.has_started or self.call.ended
