"""Cancelling one attempt at its executor."""

from grebedyke.wire.executor_connection import CallResult


class AttemptCancellation:
    """Tells an executor to give a job up, and then ends the attempt.

    Guards against two copies of a job that run at once: the dispatcher is told of the end only once the
    executor was told of it, else the next attempt could arrive before this one's cancel. An end that comes
    meanwhile counts. Before the executor's 202 the end of the connection tells it.

    Attributes:
        attempts: The `AttemptSender`.
        attempt: The attempt.
        outcome: How it will have ended.
        call: The DELETE to the executor, None if none is needed.
    """

    def __init__(self, attempts, attempt, outcome):
        self.attempts = attempts
        self.attempt = attempt
        self.outcome = outcome
        self.call = None

    def begin(self):
        """Sends the cancel at the end of this batch."""
        attempt = self.attempt
        if attempt.is_accepted or attempt.call.ended:
            target = b"/jobs/" + attempt.request.id
            self.call = attempt.endpoint.call(b"DELETE", target, (), b"", self._on_call_end)
            self.attempts.batch.call_later(self.attempts.settings.response_timeout, self._on_timeout)
        else:
            attempt.call.abandon()
            self._end_attempt()

    def _on_call_end(self, call_end):
        was_not_told = call_end.result is CallResult.UNSENT
        if was_not_told and self.attempt.is_accepted and not self.attempt.is_ended:
            # The job runs and its executor has not been told, as no connection could be had.
            self.attempts.batch.call_later(self.attempts.settings.response_timeout // 2, self._retry)
        else:
            self._end_attempt()

    def _retry(self, now):
        if not self.attempt.is_ended:
            self.attempts.begin_cancellation(self.attempt, self.outcome)

    def _on_timeout(self, now):
        """Guards against an executor that never answers: the request would wait for its next attempt."""
        if not self.call.ended:
            self.call.abandon()
            self._end_attempt()

    def _end_attempt(self):
        self.attempts.batch.enqueue(self.attempts.end_cancelled, self.attempt, self.outcome)
