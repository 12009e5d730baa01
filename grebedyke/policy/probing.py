"""Rule: choice of the endpoint to probe for a request, and whether another probe is worthwhile.

A node with little traffic learns little about the load of endpoints from its own attempts, so it probes an
endpoint before sending. Inputs: zones and the lateness of starts there, list weights, the state of each
endpoint. The number of probes is small: all nodes see the same outdated reports, and probing until an
endpoint has room would send all of them to the same endpoint.
"""

from grebedyke.model.actions import Probe
from grebedyke.units import TICKS_PER_SECOND

PROBE_WAIT = TICKS_PER_SECOND // 20
MAX_DRAWS = 32
MAX_ROUNDS_WITH_REPORT = 3  # maximum probes before the endpoint with the least reported wait is used
MAX_ROUNDS = 4
# Increase of the probability of probing another zone for each unit by which the lateness of starts (a share
# of the latency objective) in this node's zone exceeds that in other zones plus the crossing price.
CROSS_ZONE_GAIN = 4
MIN_CROSS_ZONE_PROBABILITY = 0.02
# An endpoint with a prompt expected wait and without an attempt of this node counts as free for this time
# (ticks) after its last sign of life.
RECENT_SIGN_OF_LIFE = 4 * TICKS_PER_SECOND


class Probing:
    """Chooses endpoints to probe."""

    def __init__(self, context, selection):
        self._context = context
        self._selection = selection

    def has_sparse_traffic(self, now):
        """Returns whether this node has on average less than a quarter of an open attempt per endpoint.

        The result is False if endpoints cannot be probed.
        """
        context = self._context
        endpoints = context.endpoints
        if not context.settings.capabilities.probes:
            return False
        # Arrivals are counted over 4 s. By Little's law, arrivals times mean work divided by 4 s is the mean
        # number of open attempts.
        return context.cutoffs.arrivals.total(now) * endpoints.load.mean_work < TICKS_PER_SECOND * len(
            endpoints.healthy
        )

    def wants_another_report(self, request, endpoint):
        """Returns whether to probe again although `endpoint` is usable.

        The probability is `report_informativeness`, since a second report only helps if reports predict
        waits.
        """
        context = self._context
        if endpoint.expected_wait <= 0 or request.search_rounds >= MAX_ROUNDS_WITH_REPORT:
            return False
        gain = context.endpoints.load.report_informativeness
        return gain > 0 and context.random.draw() < gain

    def may_probe_again(self, request, some_are_ready):
        """Returns whether to probe again if no probed endpoint was chosen.

        Args:
            request: The Request.
            some_are_ready: Whether some of the probed endpoints are ready; usually they would start it too
                late. Then there is at most a second probe, which is less likely the later attempts have
                started in this node's zone.
        """
        context = self._context
        if not some_are_ready or not context.endpoints.load.slots_by_kind:
            return request.search_rounds < MAX_ROUNDS
        return request.search_rounds < 1 + (context.random.draw() > context.endpoints.lateness.own_zone_mean)

    def next_probe(self, request, now, probed_before=()):
        """Draws an endpoint and returns the Probe action, or None if no endpoint is suitable.

        Preferred endpoints (`_preferred`) are drawn uniformly; if there are none, all are drawn by weight.

        Args:
            request: The Request.
            now: The time in ticks.
            probed_before: Endpoints that have answered and remain candidates beside the new one.
        """
        context = self._context
        endpoints = context.endpoints
        request.overdue_probes += [e for e in request.probed_endpoints if e.probe_sent_at]
        request.probed_endpoints = [*probed_before]
        if request.search_rounds:
            request.probing_other_zones = not request.probing_other_zones
        else:
            request.probing_other_zones = context.random.draw() < self._cross_zone_probability()
        request.search_rounds += 1
        request.next_search_at = now + PROBE_WAIT
        pool = [e for e in endpoints.healthy if not e.probe_sent_at and e not in probed_before]
        if not pool:
            # All endpoints are being probed for other requests; their answers can be used for this one as
            # well.
            request.overdue_probes = [e for e in endpoints.healthy if e.probe_sent_at]
        pool = [e for e in pool if (e.zone != endpoints.zone) == request.probing_other_zones] or pool
        preferred = self._preferred(request, pool, now)
        latest_warm_start = now - endpoints.slow_start.ramp_time
        for _ in range(MAX_DRAWS if pool else 0):
            endpoint = context.random.pick(preferred or pool)
            if not preferred and not self._is_accepted(endpoint, latest_warm_start):
                continue
            if self._selection.is_eligible(request, endpoint, now) and endpoints.is_ready(endpoint, now):
                request.probed_endpoints = [*probed_before, endpoint]
                endpoint.probe_sent_at = now
                return Probe(endpoint.id)
        return None

    def late_answers(self, request, now):
        """Returns the endpoints that answered a probe of an earlier round and have no expected wait.

        On a slow network path every answer arrives after the next probe was sent. Such endpoints are used
        only if the current round has no answer, since an endpoint that answers late is likely to start late
        as well.
        """
        is_ready = self._context.endpoints.is_ready
        return [
            endpoint
            for endpoint in request.overdue_probes
            if not endpoint.probe_sent_at and endpoint.expected_wait <= 0 and is_ready(endpoint, now)
        ]

    def is_last_round(self, request):
        """Returns whether no time is left for a probe after the current round."""
        return request.next_search_at >= request.latest_start

    def awaits_answer(self, request):
        """Returns whether a probe of this request, from any round, has no answer yet."""
        probed = (*request.probed_endpoints, *request.overdue_probes)
        return any(endpoint.probe_sent_at for endpoint in probed)

    def _cross_zone_probability(self):
        endpoints = self._context.endpoints
        gain = (
            endpoints.lateness.own_zone_mean - endpoints.lateness.other_zones_mean - endpoints.crossing_price
        )
        return max(CROSS_ZONE_GAIN * gain, MIN_CROSS_ZONE_PROBABILITY)

    def _is_accepted(self, endpoint, latest_warm_start):
        """Accepts a uniformly drawn endpoint with a probability proportional to its weight, if it is warm."""
        by_weight = self._context.random.draw() * self._context.endpoints.largest_weight < endpoint.weight
        return by_weight and endpoint.started_at < latest_warm_start

    def _preferred(self, request, pool, now):
        """Returns the endpoints to draw from first: warming endpoints that are due, otherwise free ones.

        If many endpoints are warming up, the few others would otherwise get all traffic. Knowledge of free
        slots becomes outdated quickly for short jobs, so its use is more likely the longer jobs take.
        """
        endpoints = self._context.endpoints
        latest_warm_start = now - endpoints.slow_start.ramp_time
        use_recent = self._context.random.draw() * TICKS_PER_SECOND < 2 * endpoints.load.mean_work
        warming = [
            endpoint
            for endpoint in pool
            if endpoint.started_at >= latest_warm_start
            and self._selection.is_eligible(request, endpoint, now)
            and endpoints.is_ready(endpoint, now)
        ]
        if warming or not use_recent:
            return warming
        return [
            endpoint
            for endpoint in pool
            if not endpoint.in_flight
            and now < endpoint.last_alive_at + RECENT_SIGN_OF_LIFE
            and endpoint.started_at < latest_warm_start
            and endpoint.expected_wait <= endpoints.prompt_wait
        ]
