"""The request table: keeps each accepted request until its final answer is written."""

from functools import partial
from typing import NamedTuple

from loguru import logger

from grebedyke import request_trace
from grebedyke.model.events import ClientLeft, RequestArrived
from grebedyke.model.in_flight import PendingRequest, RequestLine
from grebedyke.model.refusal import RefusalReason
from grebedyke.service.request_identifiers import RequestIdentifiers
from grebedyke.units import TICKS_PER_SECOND
from grebedyke.wire.client_connection import ClientConnection
from grebedyke.wire.request_headers import IncomingRequest

ID_IN_USE = b"this X-Request-ID is in use or was so a moment ago"


class _Admission(NamedTuple):
    """A registered request that is not yet passed to the dispatcher.

    Attributes:
        request: The `PendingRequest`.
        incoming: The `IncomingRequest`.
        deadline: When the client gives up, in ticks.
        unread_client: The request's connection if its unread data may include the client's close, else None.
    """

    request: PendingRequest
    incoming: IncomingRequest
    deadline: int
    unread_client: ClientConnection | None


class RequestTable:
    """Accepts requests and gives each exactly one final answer.

    Attributes:
        dispatcher: Receives arrivals of requests and departures of clients.
        batch: The node's `BatchLoop`.
        metrics: The node's `Metrics`.
        settings: The `RequestSettings` in force.
        attempts: The `AttemptSender`, which sets itself here.
        pending: The `PendingRequest`s by identifier.
        identifiers: The `RequestIdentifiers`.
        shutdown_at: Time at which a graceful shutdown ends, in ticks; None without a shutdown.
    """

    def __init__(self, dispatcher, batch, metrics, settings):
        self.dispatcher = dispatcher
        self.batch = batch
        self.metrics = metrics
        self.settings = settings
        self.attempts = None
        self.pending = {}
        self.identifiers = RequestIdentifiers(self.pending)
        self.shutdown_at = None

    # Accepting.

    def accept(self, client, incoming):
        """Accepts a request, or refuses it with an immediate answer.

        The request is registered at once and not in the next batch, so that its connection does not read
        another message before the answer.

        Args:
            client: The `ClientConnection`.
            incoming: The `IncomingRequest`.
        """
        request_id = incoming.request_id
        now = self.batch.clock()
        if self.identifiers.is_known(now, request_id):
            self._refuse_at_once(client, request_id, RefusalReason.DUPLICATE_ID, 409, ID_IN_USE)
            return
        refusal = self._refusal(now)
        if refusal:
            self._refuse_at_once(client, request_id, refusal, 503)
            return
        admission = self._register(now, client, incoming)
        self.identifiers.claim(request_id, partial(self._on_claim_decided, admission))
        if not admission.request.is_claimed:
            self._limit_open_time(now, admission.request)

    def _refuse_at_once(self, client, request_id, reason, status, body=b""):
        self.metrics.count(reason)
        request_trace.request_refused(request_id, client, reason)
        client.respond(status, body)

    def _register(self, now, client, incoming):
        deadline = now + max(incoming.timeout - self.settings.response_margin, 0)
        read_delay = self.batch.read_delay(now)
        request = PendingRequest(
            incoming.request_id,
            client,
            RequestLine(incoming.method, incoming.target, incoming.idempotency_key),
            incoming.body,
            self._answer_by(deadline, read_delay),
            now,
        )
        client.open_request = request
        self.pending[request.id] = request
        self.metrics.count("taken")
        request_trace.request_taken(request, incoming)
        # The request may have waited in the kernel, or its connection in the accept queue, together with the
        # client's close.
        reads_first = read_delay or client.awaits_first_request
        return _Admission(request, incoming, deadline, client if reads_first else None)

    def _on_claim_decided(self, admission, is_granted):
        request = admission.request
        if not is_granted:
            self.batch.enqueue(self._refuse_duplicate, request)
            return
        request.is_claimed = True
        if admission.unread_client:
            self.batch.enqueue_once_read(admission.unread_client, self._admit, admission)
        else:
            self.batch.enqueue(self._admit, admission)

    def _refuse_duplicate(self, now, request):
        """Answers a request whose identifier is in use in the other process of this node."""
        self.pending.pop(request.id, None)
        if request.client:
            self.metrics.count(RefusalReason.DUPLICATE_ID)
            self.respond(now, request, 409, "errored", ID_IN_USE, why=RefusalReason.DUPLICATE_ID)

    def _refusal(self, now):
        """Returns the `RefusalReason` if a request cannot be accepted, else None."""
        if len(self.pending) >= self.settings.max_open_requests:
            return RefusalReason.TABLE_FULL
        if not self.identifiers.can_claim():
            return RefusalReason.UNDECIDED_ID
        # At the end of a shutdown there is no time for an attempt. After a refusal the client can safely try
        # another node, while an error would be final.
        step = 2 * self.settings.scheduling_interval
        if self.shutdown_at is not None and now + step >= self.shutdown_at:
            return RefusalReason.SHUTTING_DOWN
        return None

    def _answer_by(self, deadline, read_delay):
        """Returns the time by which this process answers; the dispatcher uses the client's full deadline.

        The client timeout started when the kernel received the request, which may have been before a stall,
        and a shutdown leaves even less time. If the dispatcher got the shorter time, it would take the
        request for a repeated one without time left, and give up all such requests.
        """
        answer_by = deadline - read_delay
        return min(answer_by, self.shutdown_at) if self.shutdown_at else answer_by

    def _admit(self, now, admission):
        request, incoming = admission.request, admission.incoming
        # Set first, so that the client gets an answer in time even if a later step fails.
        self._limit_open_time(now, request)
        if request.client:
            event = RequestArrived(
                request.id,
                incoming.operation,
                incoming.tenant,
                admission.deadline,
                incoming.size_hint,
                incoming.slots,
            )
            self.dispatcher.handle(now, event)

    def _limit_open_time(self, now, request):
        answer_check = request.answer_by - self.settings.scheduling_interval
        self.fail_unanswered_at(max(answer_check, now + 1), request)

    def fail_unanswered_at(self, when, request):
        """Answers a request with an error if it has no answer at the time `when`, in ticks."""
        if request.client:
            request.timers.append(self.batch.call_at(when, self.fail_unanswered, request))

    def is_request_known(self, request_id):
        """Returns whether an identifier, as text, is that of a request of this node."""
        return self.identifiers.is_known(self.batch.clock(), request_id.encode())

    # Ends.

    def client_left(self, now, request, client):
        """Ends a request whose client has closed its connection, unless it was already answered."""
        if request.client is client:
            request.end_wait()
            self.metrics.count("left")
            request_trace.client_left(request)
            self.dispatcher.handle(now, ClientLeft(request.id))
            self.release(now, request)

    def throttle(self, now, request_id, retry_after, reason):
        """Answers that the request had no effect; see `actions.Throttle`."""
        headers = f"Retry-After: {retry_after / TICKS_PER_SECOND:g}\r\n" if retry_after > 0 else ""
        self._refuse(now, request_id, reason, 503, "throttled", headers)

    def fail(self, now, request_id, reason):
        """Answers that the request failed; it may have had an effect."""
        self._refuse(now, request_id, reason, 500, "errored")

    def _refuse(self, now, request_id, reason, status, outcome, headers=""):
        request = self.pending.get(request_id)
        if request and request.client:
            self.metrics.count(reason)
            self.respond(now, request, status, outcome, headers=headers, why=reason)
            self.release(now, request)

    def respond(self, now, request, status, outcome, body=b"", headers="", why=None):
        """Queues the final answer of a request whose client is waiting.

        Args:
            now: Time in ticks.
            request: The `PendingRequest`.
            status: Status code of the response.
            outcome: Name of the metrics count to increment.
            body: Body of the response.
            headers: Additional header lines.
            why: The `RefusalReason` for the trace; None without one.
        """
        client = request.end_wait()
        client.respond(status, body, headers)
        client.request_answered()
        self.metrics.count(outcome)
        self.metrics.record_wait(now - request.received_at)
        request_trace.request_answered(now, request, status, why or outcome)

    def release(self, now, request):
        """Frees the body of an answered or abandoned request, and removes it after its last attempt.

        Attempts that were not sent completely are ended here. Otherwise an attempt that is waiting for its
        connection would be sent later, and its job would run without a client.
        """
        if request.client is not None:
            return
        request.body = None
        for attempt in request.attempts:
            self.attempts.end_unsent(now, attempt)
        if not request.open_attempts and self.pending.pop(request.id, None):
            known_until = self.known_until(now) if request.may_have_run else None
            self.identifiers.release(now, request.id, known_until)

    def known_until(self, now):
        """Returns the time in ticks until which the identifier of a request that ends now stays in use."""
        return now + self.settings.identifier_retention

    def fail_unanswered(self, now, request):
        """Answers a request with an error if it has no answer when its time is up.

        A decision that was late or failed, a stall or the end of a shutdown would otherwise leave the client
        without an answer. Logged as the event `overslept`.
        """
        if not request.client:
            return
        if not request.is_claimed:
            self.metrics.count(RefusalReason.UNDECIDED_ID)
        if self.metrics.count_and_may_log("odd"):
            logger.warning("request not answered in time: errored", event="overslept")
        self.respond(now, request, 500, "errored")
        self.dispatcher.handle(now, ClientLeft(request.id))
        for attempt in request.attempts:
            self.attempts.end_overdue(now, attempt)
        self.release(now, request)

    def has_waiting_clients(self):
        """Returns whether a client is still waiting for its answer."""
        return any(request.client for request in self.pending.values())
