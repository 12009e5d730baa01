"""Rule: a job that runs longer than its tier's cutoff is cancelled and restarted one tier up (TAGS).

The cutoffs minimise the modelled mean wait (`wait_model`) for the observed sizes (`bounded_pareto`). They are
found by the genetic search of "Parameter setting and exploration of TAGS using a genetic algorithm" (Sarfati,
Bachmat, Kedem-Yemini), with mutation only: log-uniform between the neighbours (step 4'), elitism and the
paper's rank-based selection (step 6). Inputs are sizes in ticks, arrivals, the tiers and the observed effect
of cancellations; the result is a cutoff for each tier but the last, in ticks, or None if there are no
cutoffs.

There are no cutoffs before the first fit, if no operation can be restarted, or if cutoffs do not promise a
clearly shorter wait than random assignment: the model is approximate, and wrong cancellations waste work.
"""

from collections import deque
from math import inf

from grebedyke.model.window_counter import WindowCounter
from grebedyke.policy import bounded_pareto
from grebedyke.policy.wait_model import Workload, mean_wait
from grebedyke.units import TICKS_PER_MILLISECOND, TICKS_PER_SECOND

REFIT_INTERVAL = 10 * TICKS_PER_SECOND
ARRIVAL_WINDOW_SECONDS = 4
FINISHED_SAMPLES = 400
CENSORED_SAMPLES = 200
MIN_SAMPLES = 30
# Above this share of non-restartable requests no search takes place.
MAX_NON_RESTARTABLE_SHARE = 0.99
NON_RESTARTABLE_SMOOTHING = 0.05

GENERATIONS = 24
POPULATION = 10
ELITE = 2
# Share of each kind of endpoint in the top tier. It is halved while it exceeds the minimum and all cutoffs
# overload a tier, since the paper finds no stable cutoffs at high load (section IV).
TOP_TIER_SHARE = 0.5
MIN_TOP_TIER_SHARE = 0.15
# Cutoffs are used if their modelled wait is below this share of the wait with random assignment.
REQUIRED_GAIN = 0.8

# Number of observed cancellations after which their effect counts as known. Until then it is also the maximum
# number of trial cancellations for each fit.
ENOUGH_CANCELS = 4


class CutoffSearch:
    """Searches for the cutoffs with the least modelled mean wait, one generation per call.

    Attributes:
        random: The SeededRandom for all draws.
        node_count: Number of nodes that share the executors; arrivals are extrapolated by this factor.
        finished_sizes: Running times of recent finished jobs, in ticks at the fleet's mean speed.
        censored_sizes: Running times at which recent jobs were cancelled, in the same unit.
        slots_freed: Number of cancellations observed to free the slot.
        slots_not_freed: Number of cancellations observed to leave the slot occupied.
        trial_cancels: Cancellations since the last fit that served to observe their effect.
        arrivals: WindowCounter of the arrived requests.
        non_restartable_share: Share of requests that may not be cancelled and restarted, 0 to 1.
        next_fit: Time of the next fit, in ticks; 0 before the first call of `step`.
        generations_left: Remaining generations of the current search; 0 between searches.
        in_force: The cutoff of each tier but the last, in ticks; None if there are no cutoffs.
        top_tier_share: Share of each kind of endpoint in the top tier.
        summary: Description of the last result, for the log.
        distribution: The BoundedPareto of the last fit; None before the first fit.
        workload: The Workload of the last fit; None before the first fit.
        population: Cutoffs of the current generation.
        tiers: The tiers of the current search.
    """

    def __init__(self, random, node_count):
        self.random = random
        self.node_count = node_count
        self.finished_sizes = deque(maxlen=FINISHED_SAMPLES)
        self.censored_sizes = deque(maxlen=CENSORED_SAMPLES)
        self.slots_freed = 0
        self.slots_not_freed = 0
        self.trial_cancels = 0
        self.arrivals = WindowCounter(TICKS_PER_SECOND, ARRIVAL_WINDOW_SECONDS)
        self.non_restartable_share = 1.0
        self.next_fit = 0
        self.generations_left = 0
        self.in_force = None
        self.top_tier_share = 0.0
        self.summary = ""
        self.distribution = None
        self.workload = None
        self.population = []
        self.tiers = []

    def adopt_settings(self, fresh):
        """Adopts the settings of a newly built search and keeps all learned state."""
        self.node_count = fresh.node_count

    def on_arrival(self, now, is_restartable):
        """Counts an arrived request, and whether it may be cancelled and restarted."""
        self.arrivals.add(now)
        self.non_restartable_share += NON_RESTARTABLE_SMOOTHING * (
            (not is_restartable) - self.non_restartable_share
        )

    def on_cancel_observed(self, now, slot_freed):
        """Counts the observed effect of a cancellation.

        As soon as the effect is known, the next fit is due: until then cancellations may be useless.
        """
        if slot_freed:
            self.slots_freed += 1
        else:
            self.slots_not_freed += 1
        if self.slots_freed + self.slots_not_freed == ENOUGH_CANCELS:
            self.next_fit = now

    @property
    def cancel_effect_known(self):
        """Whether enough cancellations were observed to include their effect in the score."""
        return self.slots_freed + self.slots_not_freed >= ENOUGH_CANCELS

    @property
    def allows_trial_cancel(self):
        """Whether another cancellation is allowed just to observe its effect."""
        return self.trial_cancels < ENOUGH_CANCELS

    def step(self, now, endpoints):
        """Runs at most one generation, to spread the CPU time of a search over many calls.

        Args:
            now: The time in ticks.
            endpoints: The EndpointTable; its endpoints are assigned to the candidate tiers.

        Returns:
            Whether there is a new result, in `in_force` and `summary`.
        """
        if self.next_fit == 0:
            self.next_fit = now + REFIT_INTERVAL
        if now >= self.next_fit:
            self.next_fit = now + REFIT_INTERVAL
            if (
                len(self.finished_sizes) < MIN_SAMPLES
                or self.non_restartable_share > MAX_NON_RESTARTABLE_SHARE
            ):
                self.in_force = None
                self.summary = "random spread: too few running times, or no operation may be cut"
                return True
            self._begin_search(now)
        if self.generations_left == 0:
            return False
        return self._run_generation(endpoints)

    def _begin_search(self, now):
        """Fits the model to the observations and draws the first generation."""
        self.distribution = bounded_pareto.fit(self.finished_sizes, self.censored_sizes)
        # The 1 in the divisor makes cancellations count as effective before any was observed.
        ineffective = self.slots_not_freed / (self.slots_not_freed + self.slots_freed + 1)
        arrivals = self.arrivals.total(now) * self.node_count
        arrival_rate = arrivals / (ARRIVAL_WINDOW_SECONDS * TICKS_PER_SECOND)
        self.workload = Workload(arrival_rate, ineffective, self.non_restartable_share)
        self.top_tier_share = TOP_TIER_SHARE
        self.generations_left = GENERATIONS
        self.trial_cancels = 0
        # Mutating a single cutoff, whatever its value, draws from the whole range of sizes.
        self.population = [self._mutate([self.distribution.smallest]) for _ in range(POPULATION)]

    def _run_generation(self, endpoints):
        """Scores the population, then ends the search or creates the next generation."""
        self.generations_left -= 1
        if self.generations_left == GENERATIONS - 1:
            self.tiers = endpoints.assign_tiers(self.top_tier_share)
        ranked = sorted((self._modelled_wait(cutoffs, self.tiers), cutoffs) for cutoffs in self.population)
        if self.generations_left == 0:
            return self._end_search(endpoints, *ranked[0])
        self._next_generation([cutoffs for _, cutoffs in ranked])
        return False

    def _modelled_wait(self, cutoffs, tiers):
        """Returns the mean wait in ticks according to the model of the last fit."""
        return mean_wait(self.distribution, cutoffs, tiers, self.workload)

    def _end_search(self, endpoints, wait, cutoffs):
        """Decides whether the best cutoffs are used.

        Returns:
            Whether the search has ended; False if it continues with a smaller top tier.
        """
        if wait == inf and self.top_tier_share > MIN_TOP_TIER_SHARE:
            self.top_tier_share = self.top_tier_share / 2
            self.generations_left = GENERATIONS
            return False
        random_wait = self._modelled_wait([], endpoints.assign_tiers(0))
        self.in_force = cutoffs if wait < REQUIRED_GAIN * random_wait else None
        self.summary = (
            f"{'cutting' if self.in_force else 'random spread'}: "
            f"cut at {int(cutoffs[0] / TICKS_PER_MILLISECOND)} ms, "
            f"wait {wait / TICKS_PER_MILLISECOND:.1f} ms, "
            f"random {random_wait / TICKS_PER_MILLISECOND:.1f} ms"
        )
        return True

    def _next_generation(self, ranked):
        """Replaces the population by the best cutoffs and mutations, favouring better-ranked parents."""
        count = len(ranked)
        self.population = ranked[:ELITE]
        while len(self.population) < count:
            # As in the paper, cutoffs that are better than i others are selected with a probability of
            # (2 i + 1) / count^2.
            worse = int((self.random.draw() * count * count) ** 0.5)
            self.population.append(self._mutate(ranked[count - 1 - worse]))

    def _mutate(self, cutoffs):
        """Returns the cutoffs with one of them replaced by a log-uniform draw between its neighbours."""
        index = int(self.random.draw() * len(cutoffs))
        low = [self.distribution.smallest, *cutoffs][index]
        high = [*cutoffs, self.distribution.largest][index + 1]
        drawn = low * (high / low) ** self.random.draw()
        return cutoffs[:index] + [drawn] + cutoffs[index + 1 :]
