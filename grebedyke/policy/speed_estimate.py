"""Rule: the speed of an endpoint is the work of the jobs finished there divided by their running time.

Without it, jobs on a slow executor would be taken for long ones. The work of a job is its size as estimated
on arrival (ticks at the fleet's mean speed); running times are in ticks. A single endpoint provides few
samples, so the speed of its kind is used as a prior with the weight of two mean jobs.
"""

from dataclasses import dataclass

ENDPOINT_DECAY = 0.9
KIND_DECAY = 0.99
FLEET_SMOOTHING = 0.02
PRIOR_JOBS = 2
MIN_SPEED = 0.05


@dataclass(slots=True)
class _KindTotals:
    """Decayed sums over the executors of a kind.

    Attributes:
        work: Finished work, in ticks at mean speed.
        busy_time: Running time of that work, in ticks.
    """

    work: float = 0.0
    busy_time: float = 0.0


class SpeedEstimate:
    """Estimates the speed of endpoints relative to a mean speed of 1.

    Attributes:
        kinds: Totals of work and running time by kind.
        mean_speed: Moving average of the speed at which requests were run.
    """

    def __init__(self):
        self.kinds = {}
        self.mean_speed = 1.0

    def on_finished(self, endpoint, work, running_time, mean_work):
        """Updates the speeds on the end of a finished request.

        Args:
            endpoint: The Endpoint; its speed is updated.
            work: Size of the request, in ticks at the fleet's mean speed.
            running_time: Running time of the request, in ticks.
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
