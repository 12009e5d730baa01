"""Hosts the dispatcher: turns network input into events and the dispatcher's actions into messages."""

from loguru import logger

from grebedyke.model import actions
from grebedyke.service.attempt_sender import AttemptSender
from grebedyke.service.endpoint_updates import EndpointUpdates
from grebedyke.service.health_probes import HealthProbes
from grebedyke.service.job_updates import JobUpdates
from grebedyke.service.peer_messenger import PeerMessenger
from grebedyke.service.request_table import RequestTable


class DispatcherHost:
    """Connects a dispatcher with the network and carries out its actions.

    Attributes:
        dispatcher: The `Dispatcher`.
        batch: The node's `BatchLoop`.
        requests: The `RequestTable`.
        attempts: The `AttemptSender`.
        job_updates: The `JobUpdates`.
        probes: The `HealthProbes`.
        endpoint_updates: The `EndpointUpdates`.
        peer_messenger: The `PeerMessenger`.
        discovery: The `DiscoveryClient`; set once it exists.
        performers: By type of action, the function that carries it out.
    """

    def __init__(self, dispatcher, batch, pool, metrics, settings):
        self.dispatcher = dispatcher
        self.batch = batch
        self.requests = RequestTable(dispatcher, batch, metrics, settings)
        self.attempts = AttemptSender(dispatcher, batch, pool, metrics, settings, self.requests)
        self.job_updates = JobUpdates(dispatcher, self.requests, self.attempts)
        self.probes = HealthProbes(dispatcher, batch, pool, metrics, settings)
        self.endpoint_updates = EndpointUpdates(dispatcher, pool, self.attempts)
        self.peer_messenger = PeerMessenger(dispatcher)
        self.discovery = None
        self._wake_timer = None
        self.performers = {
            actions.Forward: self.attempts.send,
            actions.Cancel: self.attempts.cancel,
            actions.Throttle: self.requests.throttle,
            actions.Fail: self.requests.fail,
            actions.Probe: self.probes.send,
            actions.WakeAt: self._wake_at,
            actions.PollEndpointList: self._poll_endpoint_list,
            actions.LogMessage: self._log_message,
            actions.SendPeerMessage: self.peer_messenger.send,
        }

    def apply_settings(self, settings):
        """Applies changed `RequestSettings`."""
        for part in (self.requests, self.attempts, self.probes):
            part.settings = settings

    def perform(self, now, action):
        """Carries out one of `grebedyke.model.actions`."""
        self.performers[type(action)](now, *action)

    def _wake_at(self, now, at):
        # The dispatcher states its next time anew at each batch, so only the last one counts.
        if self._wake_timer:
            self._wake_timer.cancel()
        self._wake_timer = self.batch.call_at(at, do_nothing)

    def _poll_endpoint_list(self, now):
        self.discovery.poll(now)

    def _log_message(self, now, text):
        logger.info("{text}", event="cutoffs", text=text)


def do_nothing(now):
    """An event without effect, for a batch to run."""
