"""Probes executors for their load on behalf of the dispatcher."""

from grebedyke.model.events import ProbeEnded
from grebedyke.model.outcome import Outcome
from grebedyke.wire.executor_connection import CallResult, ExecutorMessage
from grebedyke.wire.load_reports import report_from_text

OUTCOMES_BY_STATUS = {200: Outcome.SUCCEEDED, 503: Outcome.REJECTED}


class HealthProbes:
    """Sends probes.

    Attributes:
        dispatcher: Receives the result of each probe once.
        batch: The node's `BatchLoop`.
        pool: The `ExecutorPool`.
        metrics: The node's `Metrics`.
        settings: The `RequestSettings` in force.
    """

    def __init__(self, dispatcher, batch, pool, metrics, settings):
        self.dispatcher = dispatcher
        self.batch = batch
        self.pool = pool
        self.metrics = metrics
        self.settings = settings

    def send(self, now, endpoint_id):
        """Starts a probe of an endpoint."""
        self.metrics.count("probes")
        _Probe(self, endpoint_id).send(now)


class _Probe:
    """A probe whose result is not reported yet.

    Attributes:
        probes: The `HealthProbes`.
        endpoint_id: Name of the executor.
        call: The call to the executor.
        is_reported: Whether its result was reported to the dispatcher.
    """

    __slots__ = ("probes", "endpoint_id", "call", "is_reported")

    def __init__(self, probes, endpoint_id):
        self.probes = probes
        self.endpoint_id = endpoint_id
        self.call = None
        self.is_reported = False

    def send(self, now):
        """Sends the probe and sets its timeout."""
        probes = self.probes
        endpoint = probes.pool.endpoint(self.endpoint_id)
        message = ExecutorMessage(b"GET", probes.settings.probe_path)
        self.call = endpoint.call(message, self._on_call_end)
        timeout_at = now + probes.settings.response_timeout
        self.call.timers.append(probes.batch.call_at(timeout_at, self._on_timeout))

    def _on_call_end(self, call_end):
        report = call_end.body or call_end.headers.get(b"x-server-load", b"")
        self.probes.batch.enqueue(self._report, _outcome_of(call_end), report.decode("latin-1"))

    def _on_timeout(self, now):
        self.call.abandon()
        self._report(now, Outcome.TIMEOUT)

    def _report(self, now, outcome, load=""):
        if self.is_reported:
            return
        self.is_reported = True
        event = ProbeEnded(self.endpoint_id, outcome, *report_from_text(load))
        self.probes.dispatcher.handle(now, event)


def _outcome_of(call_end):
    if call_end.result is CallResult.UNSENT:
        return Outcome.CONNECT_FAILED
    if call_end.result is CallResult.BROKEN:
        return Outcome.CONNECTION_RESET
    return OUTCOMES_BY_STATUS.get(call_end.status, Outcome.FAILED)
