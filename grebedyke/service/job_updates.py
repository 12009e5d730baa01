"""Matches call-backs of executors with attempts and applies them."""

from grebedyke.model.events import AttemptProgressed, AttemptStarted
from grebedyke.model.outcome import Outcome
from grebedyke.wire.load_reports import report_from_json
from grebedyke.wire.request_headers import JobState

OUTCOMES = {
    JobState.SUCCEEDED: Outcome.SUCCEEDED,
    JobState.FAILED: Outcome.FAILED,
    JobState.REJECTED: Outcome.REJECTED,
    JobState.LOST: Outcome.CONNECTION_RESET,
}
"""Outcomes of attempts by the final state of their job; any other state is progress."""


class JobUpdates:
    """Applies call-backs to attempts.

    Attributes:
        dispatcher: Receives starts and progress of attempts.
        requests: The `RequestTable`.
        attempts: The `AttemptSender`.
        pass_on: Called with a `JobUpdate` about an attempt that this process does not have; sends it to the
            other process of this node, as both listen on one address.
    """

    def __init__(self, dispatcher, requests, attempts):
        self.dispatcher = dispatcher
        self.requests = requests
        self.attempts = attempts
        self.pass_on = None

    def on_update(self, now, update, is_direct=True):
        """Applies a call-back to its attempt if the attempt has not ended.

        Args:
            now: Time in ticks.
            update: The `JobUpdate`.
            is_direct: Whether it was sent to this process; otherwise the other process has passed it on.
        """
        request = self.requests.pending.get(update.request_id.encode())
        attempt = request and _open_attempt_at(request, update.executor)
        if attempt is None:
            if is_direct:
                self.pass_on(update)
            return
        outcome = OUTCOMES.get(update.state)
        if update.state == JobState.STARTED:
            self._start(now, attempt)
        elif outcome is None:
            attempt.has_started = True
            self.dispatcher.handle(now, AttemptProgressed(request.id, attempt.index))
        elif attempt.has_ambiguous_call_backs and outcome != Outcome.SUCCEEDED:
            # The call-back may be about an earlier attempt at this executor, and this attempt's job may still
            # be running. It is cancelled first, so that a retry does not run at the same time.
            self.attempts.begin_cancellation(attempt, Outcome.CONNECTION_RESET)
        else:
            free_slots = report_from_json(update.load).plausible_free_slots()
            self.attempts.end(now, attempt, outcome, update.result, free_slots)

    def _start(self, now, attempt):
        if not attempt.has_started:
            attempt.has_started = True
            event = AttemptStarted(attempt.request.id, attempt.index, attempt.call.needed_connect)
            self.dispatcher.handle(now, event)


def _open_attempt_at(request, executor):
    for attempt in request.attempts:
        if not attempt.is_ended and attempt.endpoint.name == executor:
            return attempt
    return None
