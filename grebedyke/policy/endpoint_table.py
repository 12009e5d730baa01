"""The endpoint list combined with the state that this node has learned about each endpoint.

Each rule about endpoints has its own module; the table holds their state, forwards events to them and decides
with them whether an endpoint is ready for another attempt.
"""

from typing import NamedTuple

from grebedyke.model.endpoint_list import HEALTHY, EndpointList
from grebedyke.model.outcome import Outcome
from grebedyke.policy import ejection, responsiveness, tier_assignment
from grebedyke.policy.concurrency_credit import ConcurrencyCredit
from grebedyke.policy.group_coordinator import GroupCoordinators
from grebedyke.policy.load_estimate import LoadEstimate
from grebedyke.policy.slow_start import SlowStart, SlowStartSettings
from grebedyke.policy.speed_estimate import SpeedEstimate
from grebedyke.policy.start_lateness import StartLateness, wait_at_endpoint

WAIT_SMOOTHING = 0.3


class EndpointTableSettings(NamedTuple):
    """The settings of an EndpointTable.

    Attributes:
        zone: This node's zone, or None.
        node_number: This node's number, from 0.
        node_count: Number of nodes.
        slow_start: The SlowStartSettings.
        prompt_wait: Longest wait of a start that counts as prompt, in ticks.
        progress_interval: Ticks between two progress reports; 0 if executors send none.
        crossing_price: Price of sending a request to another zone, as a share of its value.
        groups_per_zone: Number of groups per zone, each with a coordinator; 0 without coordinators.
    """

    zone: str | None
    node_number: int
    node_count: int
    slow_start: SlowStartSettings
    prompt_wait: int
    progress_interval: int
    crossing_price: float
    groups_per_zone: int = 0


class EndpointTable(EndpointList):
    """The endpoint list with the load, health, credit and speed of each endpoint.

    Attributes:
        zone: As in EndpointTableSettings.
        node_number: As in EndpointTableSettings.
        node_count: As in EndpointTableSettings.
        prompt_wait: As in EndpointTableSettings, in ticks.
        crossing_price: As in EndpointTableSettings.
        report_timeout: Ticks within which a started attempt should report progress.
        slow_start: Warmth of endpoints, and this node's share of the traffic to warming ones.
        credit: Concurrency credit.
        load: Expected waits from load reports.
        speeds: Speeds of endpoints and of the fleet.
        lateness: Lateness of the starts of this node's attempts.
        coordinators: Assignment of coordinators to groups.
    """

    def __init__(self, settings):
        super().__init__(settings.groups_per_zone)
        self.zone = settings.zone
        self.node_number = settings.node_number
        self.node_count = settings.node_count
        self.prompt_wait = settings.prompt_wait
        self.crossing_price = settings.crossing_price
        self.report_timeout = responsiveness.report_timeout(settings.progress_interval)
        self.slow_start = SlowStart(settings.slow_start, settings.node_number, settings.node_count)
        self.credit = ConcurrencyCredit(settings.prompt_wait, settings.node_count)
        self.load = LoadEstimate(settings.prompt_wait)
        self.speeds = SpeedEstimate()
        self.lateness = StartLateness(settings.prompt_wait)
        self.coordinators = GroupCoordinators(settings.node_count)

    def adopt_settings(self, fresh):
        """Adopts the settings of a newly built table and keeps all learned state."""
        self.groups_per_zone = fresh.groups_per_zone
        self.zone = fresh.zone
        self.node_number = fresh.node_number
        self.node_count = fresh.node_count
        self.prompt_wait = fresh.prompt_wait
        self.crossing_price = fresh.crossing_price
        self.report_timeout = fresh.report_timeout
        self.slow_start = fresh.slow_start
        self.credit.adopt_settings(fresh.credit)
        self.load.adopt_settings(fresh.load)
        self.lateness.adopt_settings(fresh.lateness)
        self.coordinators.adopt_settings(fresh.coordinators)

    def assign_tiers(self, top_tier_share):
        """Assigns all healthy endpoints to tiers and returns the Tiers; see `tier_assignment`."""
        self.top_tier_share = top_tier_share
        return tier_assignment.assign_tiers(self.healthy, top_tier_share, self.node_count)

    def warmth(self, endpoint, now):
        """Returns the part of its full rate that the endpoint can handle now, up to 1."""
        return self.slow_start.warmth(endpoint, now)

    def is_ready(self, endpoint, now):
        """Returns whether this node may send the endpoint another attempt now."""
        if endpoint.ejected_until > now or endpoint.state != HEALTHY:
            return False
        slow_start = self.slow_start
        if endpoint.slots_in_use >= max(1.0, endpoint.credit * slow_start.warmth(endpoint, now)):
            return False
        # A coordinator sees all traffic of an endpoint, so the credit scaled by warmth is sufficient there.
        is_warming_up = now - endpoint.started_at < slow_start.ramp_time
        if is_warming_up and not self.groups_per_zone and not slow_start.is_due(endpoint, now, self):
            return False
        return responsiveness.is_responsive(endpoint, now, self.prompt_wait, self.report_timeout)

    def on_start(self, endpoint, now, attempt, start_delay):
        """Updates waits, lateness and credit on the start of an attempt.

        Args:
            endpoint: The Endpoint where it started.
            now: The time in ticks.
            attempt: The Attempt.
            start_delay: Time from the send to the start, in ticks.
        """
        wait = wait_at_endpoint(endpoint, attempt.opened_connection, start_delay)
        endpoint.expected_wait += WAIT_SMOOTHING * (wait - endpoint.expected_wait)
        self.load.on_start(attempt, wait)
        self.lateness.on_start(now, wait, attempt.expected_wait, endpoint.zone == self.zone)
        if self.groups_per_zone:
            self.credit.on_coordinated_start(endpoint, attempt.slots_in_use_at_send, wait)
        else:
            self.credit.on_start(endpoint, now, wait, len(self.healthy))
        self.credit.pause_after_start(endpoint, now, start_delay)

    def on_failure(self, endpoint, now, outcome, operation=None):
        """Updates the health state on an attempt or probe that did not succeed.

        Args:
            endpoint: The Endpoint.
            now: The time in ticks.
            outcome: The Outcome.
            operation: The Operation of the attempt; None for a probe.
        """
        if outcome == Outcome.REJECTED:
            # Rejected attempts are not counted as sent: under overload they are retried repeatedly and would
            # increase the slow-start shares of all nodes (rule 4).
            self.sends.add(now, -1)
            ejection.on_rejection(endpoint, now, operation)
        else:
            ejection.on_failure(endpoint, now, outcome)

    def on_probe_end(self, now, id, outcome, free_slots, jobs):
        """Updates load or health state on the end of a probe.

        Args:
            now: The time in ticks.
            id: Identifier of the endpoint.
            outcome: The Outcome of the probe.
            free_slots: Free slots according to the load report; None without a report.
            jobs: Running and waiting jobs according to the same report; None without a report.
        """
        endpoint = self.by_id[id]
        endpoint.probe_sent_at = 0
        if outcome == Outcome.SUCCEEDED:
            if free_slots is not None and jobs is not None:
                self.load.on_report(endpoint, free_slots, jobs)
        elif outcome != Outcome.REJECTED:
            self.on_failure(endpoint, now, outcome)
