"""Rule: recent late starts of this node's attempts correct the expected waits and the choice of the zone.

Jobs that arrive after a load report make waits longer than reported; under overload this is always the case.
The excess wait is added to each expected wait, so that requests are throttled at once under overload instead
of ending late. The lateness of starts in this node's zone and in other zones, as a share of the latency
objective, determines the benefit of crossing zones. Inputs are the waits of this node's attempts until they
start (ticks).
"""

from grebedyke.units import TICKS_PER_SECOND

EXCESS_SMOOTHING = 0.25
LATENESS_SMOOTHING = 0.1
# The shortest latency objective and the maximum excess wait, as multiples of the prompt wait.
PROMPT_WAITS_PER_OBJECTIVE = 10
MAX_EXCESS = 40
# The excess is kept for this time, in ticks, and then decays with this half-life.
HALF_LIFE = TICKS_PER_SECOND


def wait_at_endpoint(endpoint, opened_connection, start_delay):
    """Returns the wait of an attempt at the endpoint, in ticks.

    Network latency is not counted as a wait: otherwise distant endpoints would lose all their credit. It is
    estimated by the start floor: the least start delay in that zone, separately for open and new connections.
    The floor rises by a tick with each start, so that it adapts to a path that has become slower.

    Args:
        endpoint: The Endpoint; the start floors of its zone are updated.
        opened_connection: Whether a connection was opened for the attempt.
        start_delay: Time from the send to the start, in ticks.
    """
    floor = min(endpoint.start_floors[opened_connection] + 1, start_delay)
    endpoint.start_floors[opened_connection] = floor
    return start_delay - floor


class StartLateness:
    """Tracks the lateness of starts of this node's attempts.

    Attributes:
        prompt_wait: Longest wait of a start that counts as prompt, in ticks.
        own_zone_mean: Mean lateness of starts in this node's zone, as a share of the latency objective, 0 to
            1.
        other_zones_mean: Mean lateness of starts in the other zones.
        excess: Moving average of the waits beyond the expected ones, in ticks, at the last start.
        updated_at: Time of the last start, in ticks.
    """

    def __init__(self, prompt_wait):
        self.prompt_wait = prompt_wait
        self.own_zone_mean = 0.0
        self.other_zones_mean = 0.0
        self.excess = 0.0
        self.updated_at = 0

    def adopt_settings(self, fresh):
        """Adopts the settings of a newly built object and keeps all learned state."""
        self.prompt_wait = fresh.prompt_wait

    def excess_wait(self, now):
        """Returns the current excess wait, to be added to expected waits, in ticks.

        It decays without starts: only starts update it, and an excess above the slack of the requests would
        prevent any further start.
        """
        return self.excess * min(1.0, 2.0 ** (1 - (now - self.updated_at) / HALF_LIFE))

    def on_start(self, now, wait, expected_wait, is_own_zone):
        """Updates the excess and the lateness on the start of one of this node's attempts.

        Args:
            now: The time in ticks.
            wait: Wait of the attempt at the endpoint, in ticks.
            expected_wait: Expected wait there, in ticks.
            is_own_zone: Whether the endpoint is in this node's zone.
        """
        excess = min(max(wait - expected_wait, 0), MAX_EXCESS * self.prompt_wait)
        self.excess = (1 - EXCESS_SMOOTHING) * self.excess_wait(now) + EXCESS_SMOOTHING * excess
        self.updated_at = now
        lateness = min(wait / (PROMPT_WAITS_PER_OBJECTIVE * self.prompt_wait), 1)
        if is_own_zone:
            self.own_zone_mean += LATENESS_SMOOTHING * (lateness - self.own_zone_mean)
        else:
            self.other_zones_mean += LATENESS_SMOOTHING * (lateness - self.other_zones_mean)
