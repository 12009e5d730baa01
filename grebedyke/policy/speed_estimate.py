"""Rule: an endpoint's speed is the work done there over the time that it took.

Without it a slow executor's jobs would pass for long ones. The work is the size by which a request came in
(ticks at the fleet's mean speed), the time its running time (ticks). Figures of one endpoint are few, so
those of its kind count beside them, by two mean jobs' weight.
"""

from dataclasses import dataclass

ENDPOINT_DECAY = 0.9
KIND_DECAY = 0.99
FLEET_SMOOTHING = 0.02
PRIOR_JOBS = 2
MIN_SPEED = 0.05


@dataclass(slots=True)
class _KindTotals:
    """Decayed sums over the executors of a kind: work in ticks at mean speed, running time in ticks."""

    work: float = 0.0
    busy_time: float = 0.0


class SpeedEstimate:
    """Learns the speed of endpoints, 1 being a mean one.

    Attributes:
        kinds: Totals of the work and running time by kind.
        mean_speed: The mean of the speeds at which requests were run.
    """

    def __init__(self):
        self.kinds = {}
        self.mean_speed = 1.0

    def on_finished(self, endpoint, work, running_time, mean_work):
        """Learns from a request that ran to its end.

        Args:
            endpoint: The Endpoint; its speed is set.
            work: Size of the request, in ticks at the fleet's mean speed.
            running_time: Ticks that it ran.
            mean_work: Mean size of its operation, in ticks.
        """
        kind = self.kinds.setdefault(endpoint.kind, _KindTotals())
        kind.work = kind.work * KIND_DECAY + work
        kind.busy_time = kind.busy_time * KIND_DECAY + running_time
        endpoint.finished_work = endpoint.finished_work * ENDPOINT_DECAY + work
        endpoint.busy_time = endpoint.busy_time * ENDPOINT_DECAY + running_time
        prior = PRIOR_JOBS * mean_work + 1
        prior_work = prior * (kind.work + prior) / (kind.busy_time + prior)
        endpoint.speed = max(MIN_SPEED, (endpoint.finished_work + prior_work) / (endpoint.busy_time + prior))
        self.mean_speed += FLEET_SMOOTHING * (endpoint.speed - self.mean_speed)
