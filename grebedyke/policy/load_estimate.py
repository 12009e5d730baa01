"""Rule: the wait at an endpoint is estimated from its load report and the observed accuracy of reports.

A node that sends little to each endpoint knows their load only from reports: the free slots and the number of
jobs. The reported wait (ticks) is the number of waiting jobs per slot, times the mean size, divided by the
speed. The expected wait (ticks) is the reported wait less the part that is typically worked off while a
report ages, times a learned correction factor. The accuracy of reports differs between deployments. It is
measured by how often this node's attempts start promptly after a report with a free slot and after one
without; if the two shares are similar, reports are outdated.
"""

from dataclasses import dataclass
from math import log

# Number of starts that a prior share counts as, and the maximum number of starts in the moving average.
PRIOR_STARTS = 3
MAX_STARTS = 10
PRIOR_PROMPT_WHEN_FULL = 0.2
PRIOR_PROMPT_WHEN_FREE = 1.0

SMOOTHING = 0.1
MIN_CORRECTION = 0.1
MAX_CORRECTION = 10.0
# Fewer free slots than this count as none, since reports are noisy.
FREE_THRESHOLD = 0.5
# Residual time of the running jobs until a slot is free, as a number of jobs.
RESIDUAL_JOBS = 0.5
# At most this share of reported queues counts as finished by the time an attempt arrives.
MAX_FINISHED_SHARE = 0.9
# Avoids a division by zero.
MIN_SHARE = 0.01


@dataclass(slots=True)
class PromptStarts:
    """Share of prompt starts of this node's attempts after reports of one kind.

    Attributes:
        share: Share of starts that were prompt, 0 to 1.
        starts: Number of starts.
    """

    share: float
    starts: int = PRIOR_STARTS

    def observe(self, prompt):
        """Includes a start in the share."""
        self.starts += 1
        self.share += (prompt - self.share) / min(self.starts, MAX_STARTS)


class LoadEstimate:
    """Estimates the wait at endpoints from their load reports.

    Attributes:
        prompt_wait: Longest wait of a start that counts as prompt, in ticks.
        when_full: PromptStarts after reports without a free slot.
        when_free: PromptStarts after reports with a free slot.
        mean_full_wait: Mean reported wait of reports without a free slot, in ticks.
        wait_correction: Learned factor that brings expected waits closer to observed ones, since slots and
            sizes are only estimates.
        slots_by_kind: Estimated slots of an executor by kind.
        max_request_slots: Largest number of slots of any request so far.
        mean_work: Mean size of this node's requests, in ticks at the fleet's mean speed.
    """

    def __init__(self, prompt_wait):
        self.prompt_wait = prompt_wait
        self.when_full = PromptStarts(PRIOR_PROMPT_WHEN_FULL)
        self.when_free = PromptStarts(PRIOR_PROMPT_WHEN_FREE)
        self.mean_full_wait = 0.0
        self.wait_correction = 1.0
        self.slots_by_kind = {}
        self.max_request_slots = 1
        self.mean_work = 0.0

    def adopt_settings(self, fresh):
        """Adopts the settings of a newly built estimate and keeps all learned state."""
        self.prompt_wait = fresh.prompt_wait

    @property
    def report_informativeness(self):
        """How well reports predict a prompt start: the difference of the two shares."""
        return self.when_free.share - self.when_full.share

    def on_request(self, work):
        """Includes the size of one of this node's requests, in ticks, in the mean."""
        if self.mean_work:
            self.mean_work += SMOOTHING * (work - self.mean_work)
        else:
            self.mean_work = float(work)

    def on_start(self, attempt, wait):
        """Compares the wait of one of this node's attempts with the report that it was placed by.

        Args:
            attempt: The Attempt; ignored if it was placed without a report.
            wait: Wait of the attempt at the endpoint, in ticks.
        """
        if attempt.had_free_slot is None:
            return
        prompt = wait <= self.prompt_wait
        if attempt.had_free_slot:
            self.when_free.observe(prompt)
        else:
            self.when_full.observe(prompt)
            self._update_mean_full_wait(attempt.reported_wait)
        expected = attempt.expected_wait
        if expected > 0:
            correction = self.wait_correction * (1 + SMOOTHING * (wait - expected) / (wait + expected))
            self.wait_correction = min(max(correction, MIN_CORRECTION), MAX_CORRECTION)

    def _update_mean_full_wait(self, reported_wait):
        """Includes a reported wait, in ticks, in the mean of reports without a free slot."""
        if self.mean_full_wait:
            self.mean_full_wait += SMOOTHING * (reported_wait - self.mean_full_wait)
        else:
            self.mean_full_wait = float(reported_wait)

    def on_report(self, endpoint, free_slots, jobs):
        """Sets the endpoint's reported and expected wait.

        Args:
            endpoint: The Endpoint.
            free_slots: Free slots according to its report.
            jobs: Running and waiting jobs according to the same report.
        """
        slots = self.slots_by_kind.get(endpoint.kind, 1)
        # The sum of free slots and jobs is the number of slots only if no job waits, which is certain if the
        # widest request fits: a queue whose head needs several slots also leaves some free. The mean is used
        # because the maximum of noisy reports is too high.
        if free_slots >= self.max_request_slots:
            weight = SMOOTHING if slots > 1 else 1  # the first observation replaces the default
            slots = max(slots + weight * (free_slots + jobs - slots), 1)
            self.slots_by_kind[endpoint.kind] = slots
        if free_slots < FREE_THRESHOLD:
            waiting = max(jobs - slots, 0) + RESIDUAL_JOBS
            endpoint.reported_wait = waiting / slots * self.mean_work / endpoint.speed
        else:
            endpoint.reported_wait = 0
        # A prompt start after a report without a free slot means that the reported queue had ended by then,
        # so the ratio of the shares is the share of such queues.
        finished_share = min(self.when_full.share / (self.when_free.share + MIN_SHARE), MAX_FINISHED_SHARE)
        # For exponentially distributed waits, this is the elapsed time after which that share has ended.
        elapsed = -log(1 - finished_share) * self.mean_full_wait
        endpoint.expected_wait = max((endpoint.reported_wait - elapsed) * self.wait_correction, 0)
