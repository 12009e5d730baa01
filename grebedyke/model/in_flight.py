"""What a node records of its requests and their attempts. Plain types; nothing here decides."""

from typing import NamedTuple


class RequestLine(NamedTuple):
    """What goes to the executors of a client's request as it came.

    Attributes:
        method: Method of the HTTP request.
        target: Its target.
        idempotency_key: The client's Idempotency-Key, None if there is none.
    """

    method: bytes
    target: bytes
    idempotency_key: bytes | None


class PendingRequest:
    """A request, until its final answer is written and its attempts have ended.

    Attributes:
        id: The client's identifier of it.
        client: The connection that waits for the answer; None once it is answered or the client has left.
        line: The `RequestLine`.
        body: Body of the HTTP request; None once nobody waits for the answer.
        answer_by: Time by which the answer is written, in ticks.
        received_at: When it was taken, in ticks.
        attempts: Its `InFlightAttempt`s in their order, those that have ended included.
        open_attempts: How many of them have not ended.
    """

    __slots__ = ("id", "client", "line", "body", "answer_by", "received_at", "attempts", "open_attempts")

    def __init__(self, id, client, line, body, answer_by, received_at):
        self.id = id
        self.client = client
        self.line = line
        self.body = body
        self.answer_by = answer_by
        self.received_at = received_at
        self.attempts = []
        self.open_attempts = 0


class InFlightAttempt:
    """An attempt, until its end is known.

    Attributes:
        request: The `PendingRequest`.
        index: Which of the request's attempts.
        endpoint: The executor's endpoint; its `open_attempts` counts this one.
        call: The `ExecutorCall` that sends it, None before.
        is_accepted: Whether the executor has answered that it will call back.
        has_started: Whether the executor has reported that it runs it.
        is_ended: Whether its end is known.
        expects_no_call_back: Whether it ended so that the executor has no call-back to make of it.
        may_be_mistaken: Whether the executor may still call back about an earlier attempt of the same
            request. Call-backs do not tell the two apart.
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
        "may_be_mistaken",
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
        # By name: an executor that left the list and came back is another endpoint, with the same call-backs.
        self.may_be_mistaken = any(
            earlier.endpoint.name == endpoint.name and not earlier.expects_no_call_back
            for earlier in request.attempts
        )
        request.attempts.append(self)
        request.open_attempts += 1
        endpoint.open_attempts += 1

    def end(self):
        """Counts it out at its request and its endpoint."""
        self.is_ended = True
        self.request.open_attempts -= 1
        self.endpoint.open_attempts -= 1

    def is_acknowledged(self):
        """Returns whether the executor has shown that it has the attempt, or its call has ended."""
        return self.is_accepted or self.has_started or self.call.ended
