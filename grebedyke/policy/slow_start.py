"""Rule 4: an executor that has just started gets less than its share of traffic (slow start).

An executor fails if all nodes together send it more than a multiple of its share of the traffic, scaled by
its warmth. Each node knows only its own traffic, so it sends half of the multiple, scaled by warmth, of its
own attempts per second divided by the number of endpoints, as gaps between two attempts (ticks). The shares
of all nodes then add up to half of the bound for any distribution of traffic; the other half is a margin for
traffic unknown to a node. docs/design.md derives the sum ("Why the parts of all nodes sum up to no more").

Inputs are the settings, the start time of the executor (ticks), the weights in the list and this node's
attempts of the last 4 and 16 s.
"""

from typing import NamedTuple

from grebedyke.units import TICKS_PER_SECOND

# The attempt rate is measured over the last 4 one-second buckets, or over all 16 if that gives more. With
# the last seconds alone the rate would shrink with the traffic that slow start admits when most endpoints
# warm up.
RATE_BUCKETS = 4
RATE_WINDOW = RATE_BUCKETS * TICKS_PER_SECOND
MIN_ATTEMPTS = 1
# Share of `fall_multiple` that all nodes together aim for.
TARGET_SHARE = 0.5


class SlowStartSettings(NamedTuple):
    """Configured properties of executors that warm up.

    Attributes:
        initial_warmth: Part of its full rate that an executor can handle right after its start, 0 to 1.
        ramp_time: Time from the start to full warmth, in ticks.
        fall_multiple: An executor fails at this multiple of its share of the traffic, times its warmth.
    """

    initial_warmth: float
    ramp_time: int
    fall_multiple: float


class SlowStart:
    """Computes the warmth of endpoints and when this node may send a warming endpoint another attempt.

    Attributes:
        initial_warmth: As in SlowStartSettings.
        ramp_time: As in SlowStartSettings, in ticks.
        fall_multiple: As in SlowStartSettings.
        node_number: This node's number, from 0.
        node_count: Number of nodes.
    """

    def __init__(self, settings, node_number, node_count):
        self.initial_warmth = settings.initial_warmth
        self.ramp_time = settings.ramp_time
        self.fall_multiple = settings.fall_multiple
        self.node_number = node_number
        self.node_count = node_count

    def warmth(self, endpoint, now):
        """Returns the part of its full rate that the endpoint can handle now, up to 1."""
        age = max(now - endpoint.started_at, 0)
        if age >= self.ramp_time:
            return 1.0
        return min(1.0, self.initial_warmth + (1 - self.initial_warmth) * age / self.ramp_time)

    def is_due(self, endpoint, now, endpoints):
        """Returns whether this node's share of a warming endpoint allows another attempt now.

        Args:
            endpoint: The Endpoint.
            now: The time in ticks.
            endpoints: The EndpointList, for the attempts sent by this node and the weights.
        """
        sends = endpoints.sends
        windows = sends.bucket_count // RATE_BUCKETS
        attempts = max(sends.total(now, RATE_BUCKETS), sends.total(now) / windows, MIN_ATTEMPTS)
        share = self.fall_multiple * TARGET_SHARE * self.warmth(endpoint, now) * attempts
        # An endpoint of low weight has a smaller share of the traffic, so its bound is lower than the mean.
        effective_endpoints = max(len(endpoints.healthy), endpoints.total_weight / endpoint.weight)
        gap = effective_endpoints * RATE_WINDOW / share
        if endpoint.last_sent_at >= endpoint.started_at:
            return now >= endpoint.last_sent_at + gap
        # All nodes see a start within the same second, so their first attempts are spread over the gap by
        # node number.
        position = (self.node_number + endpoint.rank) % self.node_count / self.node_count
        return now >= endpoint.announced_at + gap * position
