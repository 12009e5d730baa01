"""Sends requests to executors and reports the outcome of each attempt to the dispatcher."""

from functools import partial

from grebedyke import request_trace
from grebedyke.model.events import AttemptEnded
from grebedyke.model.in_flight import InFlightAttempt
from grebedyke.model.outcome import Outcome
from grebedyke.service.attempt_cancellation import AttemptCancellation
from grebedyke.service.metrics import FAILURE_COUNTS
from grebedyke.wire.executor_connection import ACCEPTED_STATUS, CallResult, ExecutorMessage, is_rejection
from grebedyke.wire.load_reports import report_from_text


class AttemptSender:
    """Sends attempts and ends each of them exactly once.

    The end of an attempt reports `AttemptEnded` and then releases its request. If the request's client has
    left, the release also ends the request's other attempts that were never sent. So `end`,
    `RequestTable.release` and `end_unsent` call each other, and each skips attempts that have ended.

    An attempt ends by its response, a call-back, a lost connection, its timeout, a cancel or the end of its
    request. Several of these may occur at once: the first one counts, and the others find `is_ended` set.

    Attributes:
        dispatcher: Receives the outcomes of attempts.
        batch: The node's `BatchLoop`.
        pool: The `ExecutorPool`.
        metrics: The node's `Metrics`.
        settings: The `RequestSettings` in force.
        requests: The `RequestTable`.
    """

    def __init__(self, dispatcher, batch, pool, metrics, settings, requests):
        self.dispatcher = dispatcher
        self.batch = batch
        self.pool = pool
        self.metrics = metrics
        self.settings = settings
        self.requests = requests
        requests.attempts = self

    # Sending.

    def send(self, now, request_id, endpoint_id, timeout, latest_send=None):
        """Starts an attempt.

        Args:
            now: Time in ticks.
            request_id: Identifier of a pending request.
            endpoint_id: Name of the executor.
            timeout: Maximum duration of the attempt in ticks.
            latest_send: Time in ticks after which nothing of it is sent; None without a limit.
        """
        request = self.requests.pending[request_id]
        endpoint = self.pool.endpoint(endpoint_id)
        attempt = InFlightAttempt(request, endpoint)
        # The client's close may have been read in this pass of the loop, and the request table handles it
        # only in the next batch; or it is not read yet. An attempt would run for a client that has left.
        has_left = request.client is None or request.client.has_left()
        if has_left and request.client:
            request.client.end_departed()
        if has_left or attempt.index >= self.settings.max_attempts or timeout <= 0:
            self.batch.enqueue(self._end_never_sent, attempt)
            return
        self.metrics.count("forwards")
        if attempt.index:
            self.metrics.count("again")
        request_trace.attempt_sent(attempt)
        message = _attempt_message(request, now + timeout, latest_send)
        attempt.call = endpoint.call(message, partial(self._on_call_end, attempt))
        latest_end = request.answer_by - 2 * self.settings.scheduling_interval
        self._set_timer(attempt, min(now + timeout, latest_end), self.end_overdue)
        self._set_timer(attempt, now + self.settings.response_timeout, self.end_unacknowledged)

    def _set_timer(self, attempt, when, call):
        attempt.timers.append(self.batch.call_at(when, call, attempt))

    def _end_never_sent(self, now, attempt):
        self.end(now, attempt, Outcome.NEVER_SENT)

    # Responses.

    def _on_call_end(self, attempt, call_end):
        if not attempt.is_ended:
            self.batch.enqueue(self._handle_call_end, attempt, call_end)

    def _handle_call_end(self, now, attempt, call_end):
        if attempt.is_ended:
            return
        attempt.expects_no_call_back = _was_not_accepted(call_end)
        if call_end.result is CallResult.UNSENT:
            self.end(now, attempt, Outcome.CONNECT_FAILED)
        elif call_end.result is CallResult.EXPIRED:
            self.end(now, attempt, Outcome.NEVER_SENT)
        elif call_end.result is CallResult.BROKEN:
            self.end(now, attempt, Outcome.CONNECTION_RESET)
        elif call_end.status == ACCEPTED_STATUS:
            attempt.is_accepted = True
        else:
            load = call_end.headers.get(b"x-server-load", b"").decode("latin-1")
            free_slots = report_from_text(load).plausible_free_slots()
            outcome = Outcome.REJECTED if is_rejection(call_end) else Outcome.FAILED
            self.end(now, attempt, outcome, free_slots=free_slots)

    # Ends.

    def end(self, now, attempt, outcome, result=b"", free_slots=None):
        """Ends an attempt and sends its result to the client, if the client is still waiting.

        Args:
            now: Time in ticks.
            attempt: An attempt that has not ended.
            outcome: The `Outcome`.
            result: The job's result, for the client.
            free_slots: Number of free slots that the executor reported; None without a report.
        """
        request = attempt.request
        attempt.end(outcome)
        request_trace.attempt_ended(attempt, outcome)
        if attempt.call and not attempt.call.ended:
            self._limit_response_time(now, attempt.call)
        if outcome != Outcome.SUCCEEDED:
            self.metrics.count(FAILURE_COUNTS[outcome])
        elif request.client:
            self.requests.respond(now, request, 200, "succeeded", result)
        event = AttemptEnded(request.id, attempt.index, outcome, request.client is None, free_slots)
        self.dispatcher.handle(now, event)
        self.requests.release(now, request)

    def _limit_response_time(self, now, call):
        """Aborts the call of an ended attempt if its response does not arrive in time.

        A response that never completes would occupy its connection forever. The call is not aborted at once,
        because a call-back may arrive before the 202, after which the connection can be used again.
        """
        latest = call.started_at + self.settings.response_timeout
        call.timers.append(self.batch.call_at(max(now + 1, latest), lambda now: call.abandon()))

    def end_unsent(self, now, attempt):
        """Ends an attempt that was not sent completely.

        Its connection is not established, or the kernel has not accepted all its bytes, so the job cannot
        have run.
        """
        call = attempt.call
        if call and not (attempt.is_ended or call.ended or call.is_sent()):
            call.abandon()
            self.end(now, attempt, Outcome.NEVER_SENT)

    def end_unsent_at(self, now, endpoint_id):
        """Ends all attempts at an endpoint that were not sent completely."""
        attempts = [
            attempt
            for request in self.requests.pending.values()
            for attempt in request.attempts
            if attempt.endpoint.name == endpoint_id
        ]
        for attempt in attempts:
            self.end_unsent(now, attempt)

    def cancel(self, now, request_id, attempt_index):
        """Cancels an attempt for the dispatcher, which learns of the end after the executor."""
        attempt = self.requests.pending[request_id].attempts[attempt_index]
        if not attempt.is_ended:
            self.begin_cancellation(attempt, Outcome.CANCELLED)

    def begin_cancellation(self, attempt, outcome):
        """Sends a cancel to the executor; see `AttemptCancellation`."""
        AttemptCancellation(self, attempt, outcome).begin()

    def end_cancelled(self, now, attempt, outcome):
        """Ends an attempt whose executor has received the cancel, unless it has ended in another way."""
        if not attempt.is_ended:
            self.end(now, attempt, outcome)

    # Timers.

    def end_overdue(self, now, attempt):
        """Ends an attempt that has timed out.

        A cancel is sent, but its answer is not awaited: there is no time for another attempt, and the
        client's answer is due. An attempt that was not sent completely cannot have run.
        """
        if attempt.is_ended or not attempt.call:
            return
        request = attempt.request
        if request.client and now >= request.answer_by - 2 * self.settings.scheduling_interval:
            # A shutdown or a stall has shortened the attempt's time. The dispatcher calculates with the
            # client's full deadline and would retry at once, before the executor has received the cancel, so
            # that two copies of the job would run. Therefore the request itself ends here.
            self.requests.fail_unanswered(now, request)
            return
        may_have_arrived = attempt.is_acknowledged() or attempt.call.is_sent()
        outcome = Outcome.TIMEOUT if may_have_arrived else Outcome.CONNECT_FAILED
        self.begin_cancellation(attempt, outcome)
        self.end(now, attempt, outcome)

    def end_unacknowledged(self, now, attempt):
        """Cancels an attempt for which the executor has sent neither a 202 nor a call-back.

        Without this, a connection that hangs without being closed would use up the attempt's whole time. The
        executor may still have the job: its 202 may be in transit, or the next attempt may arrive before the
        connection's close. So a cancel is sent as well.
        """
        if attempt.is_ended or attempt.is_acknowledged():
            return
        was_sent = attempt.call.is_sent()
        attempt.call.abandon()
        outcome = Outcome.CONNECTION_RESET if was_sent else Outcome.CONNECT_FAILED
        self.begin_cancellation(attempt, outcome)


def _attempt_message(request, timeout_at, latest_send):
    line = request.line
    headers = [(b"X-Request-ID", request.id)]
    if line.idempotency_key is not None:
        headers.append((b"Idempotency-Key", line.idempotency_key))
    return ExecutorMessage(line.method, line.target, tuple(headers), request.body, timeout_at, latest_send)


def _was_not_accepted(call_end):
    """Returns whether the executor did not accept the job, so that it will send no call-back for it."""
    if call_end.result is CallResult.ANSWERED:
        return call_end.status != ACCEPTED_STATUS
    return call_end.result is not CallResult.BROKEN
