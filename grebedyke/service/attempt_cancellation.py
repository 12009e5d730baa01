"""Cancels an attempt at its executor."""

from grebedyke.wire.executor_connection import CallResult, ExecutorMessage


class AttemptCancellation:
    """Sends a cancel to an executor and then ends the attempt.

    The dispatcher learns of the end only after the executor has answered the cancel, or has not answered
    within the response timeout. Otherwise the next attempt could arrive before the cancel, and two copies of
    the job would run at once. If the attempt ends in another way before that, the other end counts. Before
    the executor's 202, closing the connection is the cancel.

    Attributes:
        attempts: The `AttemptSender`.
        attempt: The attempt.
        outcome: The outcome that the attempt ends with.
        call: The DELETE to the executor; None if none was needed.
    """

    def __init__(self, attempts, attempt, outcome):
        self.attempts = attempts
        self.attempt = attempt
        self.outcome = outcome
        self.call = None

    def begin(self):
        """Starts the cancel; it is sent at the end of this batch."""
        attempt = self.attempt
        if attempt.is_accepted or attempt.call.ended:
            message = ExecutorMessage(b"DELETE", b"/jobs/" + attempt.request.id)
            self.call = attempt.endpoint.call(message, self._on_call_end)
            timeout = self.attempts.settings.response_timeout
            self.call.timers.append(self.attempts.batch.call_later(timeout, self._on_timeout))
        else:
            attempt.call.abandon()
            self._end_attempt()

    def _on_call_end(self, call_end):
        was_not_sent = call_end.result is CallResult.UNSENT
        if was_not_sent and self.attempt.is_accepted and not self.attempt.is_ended:
            # The job is still running: no connection could be opened for the cancel.
            wait = self.attempts.settings.response_timeout // 2
            self.attempt.timers.append(self.attempts.batch.call_later(wait, self._retry))
        else:
            self._end_attempt()

    def _retry(self, now):
        if not self.attempt.is_ended:
            self.attempts.begin_cancellation(self.attempt, self.outcome)

    def _on_timeout(self, now):
        """Ends the attempt without an answer to the cancel, as the request cannot be retried before that."""
        if not self.call.ended:
            self.call.abandon()
            self._end_attempt()

    def _end_attempt(self):
        self.attempts.batch.enqueue(self.attempts.end_cancelled, self.attempt, self.outcome)
