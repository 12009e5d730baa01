"""Rule: choice of the endpoint for a request.

Inputs: endpoints with room, their load, expected wait (ticks) and speed; the request's work, slots and
remaining time. Endpoints of this node's zone are preferred; another zone is allowed after the request has
waited for a share of its time that reflects the crossing price. Among endpoints that can meet the objective,
one of the less loaded is drawn at random, so that nodes with the same view do not all choose the same
endpoint. With load reports, the endpoint with the earliest expected end is chosen.
"""

LOAD_MARGIN = 0.2  # accepted load (slots in use per slot of credit) above the mean of the pool


class EndpointSelection:
    """Chooses endpoints for requests."""

    def __init__(self, context, eligibility):
        self._context = context
        self._eligibility = eligibility

    def is_eligible(self, request, endpoint, now):
        """Returns whether the endpoint may get the request now, regardless of its load."""
        return (
            (not self._context.cutoffs.in_force or endpoint.tier == request.tier)
            and endpoint.rejected_until.get(request.operation, 0) <= now
            and request.operation.endpoint_kind in (None, endpoint.kind)
            and (not request.attempts or self._eligibility.is_allowed(request, endpoint, now))
        )

    def cross_zone_time(self, request):
        """Returns the time from which another zone is allowed, in ticks.

        The less valuable the request relative to the crossing price, the later this time.
        """
        context = self._context
        relative_price = 1
        if context.settings.weighs_by_work:
            work = request.estimated_work
            relative_price = (request.operation.mean_work or work) / work
        share = context.endpoints.crossing_price * relative_price
        return request.arrived_at + share * (request.latest_start - request.arrived_at)

    def choose(self, request, candidates, now, by_reports):
        """Returns the chosen endpoint, or None if no candidate is suitable.

        Args:
            request: The Request to place.
            candidates: Endpoints with room.
            now: The time in ticks.
            by_reports: Whether the candidates were probed for the request, so that their waits are known.
        """
        pool = [endpoint for endpoint in candidates if self.is_eligible(request, endpoint, now)]
        # In the first half of its time until the latest start, a request waits for all of its slots.
        if request.slots > 1 and 2 * now < request.arrived_at + request.latest_start:
            pool = self._with_free_slots(request, pool, now)
        if not by_reports and not self._context.uses_coordinators:
            pool = self._prefer_own_zone(request, pool, now)
        time_left = _time_left(request, now)
        if by_reports:
            pool = self._able_to_start_in_time(request, pool, now, time_left)
        pool = self._able_to_end_in_time(request, pool, now, time_left)
        if by_reports and len(pool) > 1:
            work = request.estimated_work
            return min(pool, key=lambda endpoint: endpoint.expected_wait + work / endpoint.speed)
        return self._pick_less_loaded(pool)

    def _pick_less_loaded(self, pool):
        if not pool:
            return None
        bound = sum(endpoint.slots_in_use / endpoint.credit for endpoint in pool) / len(pool) + LOAD_MARGIN
        return self._context.random.pick(
            [endpoint for endpoint in pool if endpoint.slots_in_use / endpoint.credit <= bound]
        )

    def _with_free_slots(self, request, pool, now):
        """Returns the endpoints with enough free slots for the request.

        At any other endpoint it would block the head of the executor's queue until enough slots are free.
        """
        warmth = self._context.endpoints.warmth
        return [
            endpoint
            for endpoint in pool
            if endpoint.slots_in_use + request.slots
            <= max(endpoint.credit * warmth(endpoint, now), request.slots)
        ]

    def _prefer_own_zone(self, request, pool, now):
        zone = self._context.endpoints.zone
        in_own_zone = [endpoint for endpoint in pool if endpoint.zone == zone]
        return in_own_zone if in_own_zone or now < self.cross_zone_time(request) else pool

    def _able_to_start_in_time(self, request, pool, now, time_left):
        endpoints = self._context.endpoints
        work = request.estimated_work
        excess = endpoints.lateness.excess_wait(now)
        return [
            endpoint
            for endpoint in pool
            if endpoint.expected_wait + excess
            <= max(time_left - work / endpoint.speed, endpoints.prompt_wait)
        ]

    def _able_to_end_in_time(self, request, pool, now, time_left):
        """Returns the endpoints that can end the request within its objective, or all if none can."""
        warmth = self._context.endpoints.warmth
        work = request.estimated_work
        in_time = [
            endpoint
            for endpoint in pool
            if endpoint.expected_wait + work / (endpoint.speed * warmth(endpoint, now)) <= time_left
        ]
        return in_time or pool


def _time_left(request, now):
    """Returns the ticks left until the latency objective of the request expires."""
    operation = request.operation
    stretch = operation.objective_stretch * request.estimated_work
    return request.first_arrived_at + operation.latency_objective + stretch - now
