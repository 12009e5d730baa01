"""The request table: each request that this process has taken, until its one final answer is written."""

from loguru import logger

from grebedyke.model.events import ClientLeft, RequestArrived
from grebedyke.model.in_flight import PendingRequest, RequestLine
from grebedyke.model.refusal import RefusalReason
from grebedyke.units import TICKS_PER_SECOND


class RequestTable:
    """Takes requests and gives each exactly one final answer.

    Attributes:
        dispatcher: Is told of requests that arrive and of clients that leave.
        batch: The node's `BatchLoop`.
        metrics: The node's `Metrics`.
        settings: The `RequestSettings` in force.
        attempts: The `AttemptSender`; set by it.
        pending: The `PendingRequest`s by their identifier.
        shutdown_at: During a graceful shutdown the time of its end in ticks, else None.
    """

    def __init__(self, dispatcher, batch, metrics, settings):
        self.dispatcher = dispatcher
        self.batch = batch
        self.metrics = metrics
        self.settings = settings
        self.attempts = None
        self.pending = {}
        self.shutdown_at = None

    # Taking.

    def accept(self, client, incoming):
        """Takes a request, or answers it at once where it cannot be taken.

        It counts as taken now and not in the next batch: its connection must not read its next message.

        Args:
            client: The `ClientConnection`.
            incoming: The `IncomingRequest`.
        """
        request_id = incoming.request_id
        if request_id in self.pending:
            client.respond(409, b"this X-Request-ID is under way")
            return
        now = self.batch.clock()
        refusal = self._refusal(now)
        if refusal:
            self.metrics.count(refusal)
            client.respond(503)
            return
        deadline = now + max(incoming.timeout - self.settings.response_margin, 0)
        time_unread = self.batch.time_unread(now)
        request = PendingRequest(
            request_id,
            client,
            RequestLine(incoming.method, incoming.target, incoming.idempotency_key),
            incoming.body,
            self._answer_by(deadline, time_unread),
            now,
        )
        client.open_request = request
        self.pending[request_id] = request
        self.metrics.count("taken")
        if time_unread or client.awaits_first_request:
            # It may have lain in the kernel, or not accepted yet, and its client's close right behind it.
            self.batch.enqueue_once_read(client, self._admit, request, incoming, deadline)
        else:
            self.batch.enqueue(self._admit, request, incoming, deadline)

    def _refusal(self, now):
        """Returns why a request cannot be taken, a `RefusalReason`; None where it can."""
        if len(self.pending) >= self.settings.max_open_requests:
            return RefusalReason.TABLE_FULL
        # At the end of a shutdown there is no time for an attempt. The client may try elsewhere without harm,
        # while an error would be final.
        step = 2 * self.settings.scheduling_interval
        if self.shutdown_at is not None and now + step >= self.shutdown_at:
            return RefusalReason.SHUTTING_DOWN
        return None

    def _answer_by(self, deadline, time_unread):
        """Returns the time by which this process answers; the dispatcher reckons with the deadline itself.

        The client timeout has run since the kernel had the request, which it may have kept through a stall,
        and a shutdown leaves less time still. The dispatcher would take a shorter client timeout for that of
        a repeated request whose slack is used up, and give all of them up.
        """
        answer_by = deadline - time_unread
        return min(answer_by, self.shutdown_at) if self.shutdown_at else answer_by

    def _admit(self, now, request, incoming, deadline):
        # Set before all else: whatever fails from here on, the client has its answer in time.
        answer_check = request.answer_by - self.settings.scheduling_interval
        self.batch.call_at(max(answer_check, now + 1), self.fail_unanswered, request)
        if request.client:
            event = RequestArrived(
                request.id,
                incoming.operation,
                incoming.tenant,
                deadline,
                incoming.size_hint,
                incoming.slots,
            )
            self.dispatcher.handle(now, event)

    # Ends.

    def client_left(self, now, request, client):
        """Ends a request whose client has closed; does nothing if it was answered meanwhile."""
        if request.client is client:
            request.client = None
            self.metrics.count("left")
            self.dispatcher.handle(now, ClientLeft(request.id))
            self.release(now, request)

    def throttle(self, now, request_id, retry_after, reason):
        """Answers that the request had no effect; see `actions.Throttle`."""
        headers = f"Retry-After: {retry_after / TICKS_PER_SECOND:g}\r\n" if retry_after > 0 else ""
        self._refuse(now, request_id, reason, 503, "throttled", headers)

    def fail(self, now, request_id, reason):
        """Answers that the request failed, without a promise that it had no effect."""
        self._refuse(now, request_id, reason, 500, "errored")

    def _refuse(self, now, request_id, reason, status, outcome, headers=""):
        request = self.pending.get(request_id)
        if request and request.client:
            self.metrics.count(reason)
            self.respond(now, request, status, outcome, headers=headers)
            self.release(now, request)

    def respond(self, now, request, status, outcome, body=b"", headers=""):
        """Queues the final answer of a request whose client waits.

        Args:
            now: Time in ticks.
            request: The `PendingRequest`.
            status: Status code of the response.
            outcome: Name of the count in the metrics.
            body: Body of the response.
            headers: Further header lines.
        """
        client = request.client
        request.client = None
        client.respond(status, body, headers)
        client.request_answered()
        self.metrics.count(outcome)
        self.metrics.record_wait(now - request.received_at)

    def release(self, now, request):
        """Frees what a request holds once nobody waits for its answer, and forgets it with its last attempt.

        Guards against a job that runs for nobody: an attempt that still waited for its connection would be
        sent as soon as that is up.
        """
        if request.client is not None:
            return
        request.body = None
        for attempt in request.attempts:
            self.attempts.withdraw_unsent(now, attempt)
        if not request.open_attempts:
            self.pending.pop(request.id, None)

    def fail_unanswered(self, now, request):
        """Answers a request whose time is over with an error.

        Guards against a client that waits in vain: a decision that came late or failed, a stall or the end of
        a shutdown left it without an answer. Shows as `overslept` in the log.
        """
        if not request.client:
            return
        if self.metrics.count_and_may_log("odd"):
            logger.warning("invocation unanswered at its due time: errored", event="overslept")
        self.respond(now, request, 500, "errored")
        self.dispatcher.handle(now, ClientLeft(request.id))
        for attempt in request.attempts:
            self.attempts.end_overdue(now, attempt)
        self.release(now, request)

    def has_waiting_clients(self):
        """Returns whether some client still waits for its answer."""
        return any(request.client for request in self.pending.values())
