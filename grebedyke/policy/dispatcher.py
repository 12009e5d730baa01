"""Routes events to the decisions and their actions to the host."""

from collections import deque
from heapq import heappop, heappush
from itertools import islice
from math import inf

from grebedyke.model.attempt import Attempt
from grebedyke.model.endpoint_list import EndpointRow
from grebedyke.model.outcome import NEVER_RAN, Effect, Outcome
from grebedyke.model.request import Request, Reservation
from grebedyke.units import TICKS_PER_SECOND

# A keeper that says nothing for so long is taken for dead; what it lent and never hears of is its own again.
PATIENCE, LEASE = TICKS_PER_SECOND // 10, 4 * TICKS_PER_SECOND


class Dispatcher:
    def __init__(self, chance, parts, operations, tick, by_work, capabilities, request_limits):
        self.chance, (self.cutoffs, self.endpoints, self.quotas, self.retry_budget) = chance, parts
        self.operations, self.ops, self.tick, self.by_work = operations, [*operations.values()], tick, by_work
        self.capabilities, self.request_limits = capabilities, request_limits
        self.uses_coordinators = self.endpoints.groups_per_zone > 0
        self.requests, self.queue, self.cuts, self.probed = {}, {}, [], self.endpoints.on_probe_answer
        self.alarm, self.flow, self.count, self.seen, self.ask_at, self.ask_fails = 0, None, 0, 0, 0, 0
        self.words, self.asked, self.leases, self.number = deque(), {}, deque(), int(chance.draw() * 2**31)

    def listed(self, now, whole, rows):
        self.endpoints.update(now, whole, [EndpointRow(*row) for row in rows])
        self.ask_fails, self.count = 0, self.count + 1

    def by_hand(self, now, id, out):
        self.count += 1
        return self.endpoints.set_banned(now, id, out)

    def unlisted(self, now):
        """At start or after a failed ask: spread by the number of nodes; widely only after a failure."""
        if self.capabilities.polls_list:
            spread = TICKS_PER_SECOND * min(0.05 * self.endpoints.node_count, 2) * 2**self.ask_fails
            self.ask_fails = min(self.ask_fails + 1, 3)
            self.ask_at = now + int(spread * self.chance.draw()) + 1

    def taken(self, now, id, operation, tenant, due, hint, slots, asker=None):
        operation, endpoints = self.operations[operation], self.endpoints
        size = hint or operation.mean_work or endpoints.prompt_wait
        over = not self.uses_coordinators and self.quotas.is_over_quota(now, tenant)  # else its keeper tells
        request = self.requests[id] = Request(
            id=id,
            operation=operation,
            arrived_at=now,
            deadline=due,
            estimated_work=size,
            work_hint=hint,
            slots=slots,
            over_quota=over,
            tenant=tenant,
            origin_node=asker,
        )
        endpoints.load.widest_request = max(endpoints.load.widest_request, slots)
        spare = max(0.0, operation.objective_stretch - 1 / endpoints.speeds.mean_speed) * size * 0.7
        # A client's repeat keeps its first try's client timeout: what is left of it tells when that came.
        # Of clients in a hurry too: sent while their size fits, they pushed others into lateness (200 nodes).
        operation.longest_timeout = max(operation.longest_timeout, due - now)
        request.first_arrived_at = due - operation.longest_timeout
        request.latest_start = min(
            request.first_arrived_at + int(operation.latency_objective * 0.6 + spare), due - 4 * self.tick
        )
        if asker is None:
            self.retry_budget.requests.add(now)
            endpoints.load.on_request(size)
            # Without start notes nothing tells what a cut gives back.
            may_be_cut = operation.effect == Effect.IDEMPOTENT and (
                self.capabilities.cancels and self.capabilities.start_notices
            )
            self.cutoffs.on_arrival(now, may_be_cut)
            self.hold(request)
            if self.quotas.limits and (back := self.quotas.limits.take(now, request)):
                request.latest_start, request.retry_after = (
                    now,
                    back,
                )  # over one of the whole fleet's: answered at once
        return request

    def hold(self, request):
        self.count += 1
        request.queue_key, request.queued = -self.count, True
        self.queue[request] = None
        if self.uses_coordinators and request.origin_node is None:
            self.number = (self.number + 1) % 2**32
            request.begin_slot_search(self.number)
            self.asked[self.number] = request

    def bid(self, now, id, rank, left, size, tenant, slots, tier, operation, again, over):
        """Another node's invocation is held here like an own one, until an executor is lent to it."""
        endpoint, known = (
            self.endpoints.by_rank.get(rank),
            id in self.requests or len(self.requests) >= self.request_limits.max_open,
        )
        if self.uses_coordinators and endpoint and operation < len(self.ops) and not known:
            tenant = self.quotas.tenants[tenant] if tenant < len(self.quotas.tenants) else None
            left, slots = (
                min(left, self.ops[operation].client_timeout),
                min(max(slots, 1), 64),
            )  # whatever a node says
            request = self.taken(
                now, id, self.ops[operation].name, tenant, now + left, min(size, left), slots, id[0]
            )
            request.tier, request.placement_group = min(tier, 1), endpoint.group
            # Whose traffic is beyond its share shows here, where a zone's work comes together.
            request.over_quota = (
                bool(over) if again else self.quotas.is_over_quota(now, tenant, len(self.endpoints.groups))
            )
            self.hold(request)

    def lent(self, now, by, number, rank):
        """By a keeper's book; what this node's own list says of the executor goes before it (rule 3)."""
        request, endpoint = self.asked.get(number), self.endpoints.by_rank.get(rank)
        if (
            request
            and endpoint
            and not request.reservation
            and endpoint.state == "healthy"
            and self.allowed(request, endpoint, now)
        ):
            request.reservation, self.count = Reservation(endpoint, by), self.count + 1
        else:
            self.words.append(("tell", by, "end", number, Outcome.NEVER_SENT, None))

    def refused(self, now, number, over):
        if (request := self.asked.get(number)) and request.asked_group:
            request.asked_group, request.next_search_at, request.over_quota, self.count = (
                None,
                now,
                over,
                self.count + 1,
            )

    def started(self, now, id, n, opened=False, took=None):
        if (attempt := self.forward(id, n)) and not attempt.cancelled:
            endpoint, attempt.opened_connection = attempt.endpoint, opened
            endpoint.last_heard_at, endpoint.rejected_until[attempt.request.operation] = now, 0
            took = now - attempt.sent_at if took is None else min(took, now - attempt.sent_at)
            if attempt.granting_node is not None:
                self.words.append(
                    ("tell", attempt.granting_node, "began", attempt.slot_request_number, took, opened)
                )
            self.endpoints.on_start(endpoint, now, attempt, took)
            self.clock(attempt, now)
            if endpoint.cut_at and attempt.sent_at < endpoint.cut_at:
                # Work that waited behind a cut job starts right after it: the cancel gave the slot back.
                freed = now - endpoint.cut_at <= endpoint.start_floors[opened] + 2 * self.tick
                self.cutoffs.on_cancel_observed(now, freed)
                endpoint.cut_at = 0

    def clock(self, attempt, began):
        attempt.started_at, endpoint, best = began, attempt.endpoint, self.cutoffs.in_force
        if (
            best
            and endpoint.tier < len(best)
            and attempt.request.operation.effect == Effect.IDEMPOTENT
            and self.capabilities.cancels
            and not attempt.start_allowance
        ):
            self.count += 1
            heappush(self.cuts, (began + int(best[endpoint.tier] / endpoint.speed), self.count, attempt))

    def progressed(self, now, id, n):
        if attempt := self.forward(id, n):
            attempt.endpoint.last_heard_at, attempt.last_report_at, attempt.started_at = (
                now,
                now,
                attempt.started_at or now,
            )
            if attempt.granting_node is not None:
                self.words.append(("tell", attempt.granting_node, "news", attempt.slot_request_number))

    def forward(self, id, n):
        request = self.requests.get(id)
        return (
            request.attempts[n]
            if request and n < len(request.attempts) and not request.attempts[n].ended
            else None
        )

    def ended(self, now, id, n, outcome, closed, free=None):
        if not (attempt := self.forward(id, n)):
            return
        request, endpoint, endpoints, self.count = (
            attempt.request,
            attempt.endpoint,
            self.endpoints,
            self.count + 1,
        )
        attempt.end(outcome in NEVER_RAN)
        if free is not None and not self.capabilities.start_notices and attempt.granting_node is None:
            # Credit is then the most slots seen free at once; more while some are though the book is full.
            wanted = endpoint.slots_in_use + request.slots if self.queue else 0
            endpoints.credit.on_free_slots(endpoint, free, wanted, endpoints.load.slots_by_kind)
        if attempt.granting_node is not None:
            self.words.append(
                ("tell", attempt.granting_node, "end", attempt.slot_request_number, outcome, free)
            )
        if outcome == Outcome.SUCCEEDED:
            (
                endpoint.last_heard_at,
                endpoint.consecutive_failures,
                endpoint.rejected_until[request.operation],
            ) = now, 0, 0
            run = max(now - (attempt.started_at or attempt.sent_at), 1)
            endpoints.speeds.on_finished(endpoint, request.estimated_work, run, request.operation.mean_work)
            # Without hints a size is the running time at the fleet's mean speed: else both drift together.
            size = run * endpoint.speed / (1.0 if request.work_hint else endpoints.speeds.mean_speed)
            request.operation.mean_work += (
                0.05 * (size - request.operation.mean_work) if request.operation.mean_work else size
            )
            self.cutoffs.finished_sizes.append(size)
        else:
            endpoints.on_failure(endpoint, now, outcome, request.operation)
            if attempt.cut and outcome == Outcome.CANCELLED:
                self.cutoffs.cut_sizes.append(max(now - attempt.started_at, 1) * endpoint.speed)
                request.tier = endpoint.tier + 1
        if closed:
            self.finish(request)
        elif not (request.queued or request.open_attempts or request.finished):
            request.latest_start = (
                request.deadline - 4 * self.tick - int(request.estimated_work / endpoints.speeds.mean_speed)
                if attempt.cut
                else request.latest_start
            )
            self.hold(request)

    def left(self, now, id):
        if request := self.requests.get(id):
            self.finish(request)

    def finish(self, request):
        request.queued, request.finished = False, True
        self.asked.pop(request.slot_request_number, None)
        if request.reservation:
            self.words.append(
                ("tell", request.reservation[1], "end", request.slot_request_number, Outcome.NEVER_SENT, None)
            )
        if not request.open_attempts:
            self.requests.pop(request.id, None)
            if self.quotas.limits:
                self.quotas.limits.give(request)

    def decide(self, now):
        self.flow = self.flow or self.work(now)
        decision = next(self.flow, None)
        self.flow = self.flow if decision else None
        return decision

    def work(self, now):
        if 0 < self.ask_at <= now:
            self.ask_at = 0
            yield ("follow",)
        if self.cutoffs.step(now, self.endpoints):
            self.endpoints.assign_tiers(self.cutoffs.top_tier_share if self.cutoffs.in_force else 0.0)
            yield ("note", self.cutoffs.summary)
        while self.cuts and self.cuts[0][0] <= now:
            attempt = heappop(self.cuts)[2]
            if self.pays(attempt, now):
                attempt.cut = attempt.cancelled = True
                yield ("cancel", attempt.request.id, attempt.index)
        while self.leases and self.leases[0][0] <= now:
            # Lent, and no word comes of it: the word is lost, its node dead, or the executor hangs.
            attempt = self.leases.popleft()[1]
            if not attempt.ended and now < attempt.last_report_at + LEASE:
                self.leases.append((now + LEASE, attempt))
            elif not attempt.ended:
                self.ended(now, attempt.request.id, attempt.index, Outcome.TIMEOUT, True)
        # What changes nothing for those that wait (starts, progress) must not cost a look at all of them.
        if not self.uses_coordinators or self.count != self.seen or self.alarm <= now:
            self.seen = self.count
            yield from self.place(now)
            # Each wake costs CPU: what waits for a word wakes at its own time, what is kept by what ends.
            soon = now + 4 * self.tick
            at = [
                max(
                    min(
                        request.latest_start,
                        now + TICKS_PER_SECOND // 10 if request.placement_group else request.next_search_at,
                    ),
                    now + self.tick,
                )
                if self.uses_coordinators
                else soon
                for request in self.queue
                if request.queued
            ]
            wake = min(
                now + TICKS_PER_SECOND,
                self.ask_at or inf,
                soon if self.cuts or self.cutoffs.generations_left else inf,
                *at,
            )
            if self.alarm <= now or wake < self.alarm - self.tick:
                self.alarm = wake
                yield ("wake", wake)
        while self.words:
            yield self.words.popleft()

    def pays(self, attempt, now):
        """Until cancels are known to free slots, cut only where own waiting work will tell if they do."""
        c, waits = self.cutoffs, any(not g.started_at for g in attempt.endpoint.in_flight.values())
        known, over = (
            c.cancel_effect_known,
            attempt.ended or attempt.cancelled or attempt.request.finished or not c.in_force,
        )
        trial = c.trial_cuts_left and waits and not attempt.endpoint.cut_at
        # Cut only what may go again: a cut job that has to be given up has run for nothing.
        left, allowance = self.retry_budget.available(now)
        paid, limits = left >= max(1, allowance / 2), self.quotas.limits
        paid = paid and (not limits or limits.further(now, attempt.request))
        if (
            over
            or len(attempt.request.attempts) >= self.request_limits.max_attempts
            or not (known or trial)
            or not paid
        ):
            return False
        c.trial_cuts, attempt.endpoint.cut_at = (
            c.trial_cuts + (not known),
            now if waits else attempt.endpoint.cut_at,
        )
        return True

    def place(self, now):
        endpoints, free = self.endpoints, {}
        # Within share first, then the newest: under overload the oldest first makes every answer late.
        order = sorted(
            (request for request in self.queue if request.queued),
            key=lambda request: (request.over_quota, request.queue_key),
        )
        self.queue = dict.fromkeys(order)
        # Own answers tell little of executors at which under a quarter of a forward of this node is out.
        work = self.cutoffs.arrivals.total(now) * endpoints.load.mean_work
        thin = self.capabilities.probes and work < TICKS_PER_SECOND * len(endpoints.healthy)
        for request in order:
            if now >= request.latest_start or request.attempts and not self.again(request, now):
                if request.origin_node is None:
                    yield self.give_up(request, now)
                else:
                    self.finish(request)  # its own node answers it
                continue
            if (
                self.uses_coordinators
                and request.origin_node is None
                and not request.reservation
                and now >= request.next_search_at
            ):
                yield from self.borrow(request, now)
            if thin:
                some = [
                    endpoint
                    for endpoint in request.probed_endpoints
                    if not endpoint.probe_sent_at and endpoints.is_ready(endpoint, now)
                ]
            elif (some := free.get(request.placement_group)) is None:
                # From a random place in the hashed list on, and not all: CPU must not grow with the fleet.
                some = endpoints.groups.get(request.placement_group, [])
                at = int(self.chance.draw() * len(some))
                ring = some[at:] + some[:at]
                some = free[request.placement_group] = list(
                    islice((endpoint for endpoint in ring if endpoints.is_ready(endpoint, now)), 24)
                )
            waits = (
                thin
                and now < request.next_search_at
                and any(endpoint.probe_sent_at for endpoint in request.probed_endpoints)
            )
            endpoint, lender = request.reservation or (
                self.choose(request, some, now, thin) if some and not waits else None,
                None,
            )
            # Another report is worth its probe as far as reports were seen to tell where work begins at once.
            gain = (
                endpoints.load.report_value
                if thin and endpoint and endpoint.expected_wait > 0 and request.search_rounds < 3
                else 0
            )
            if gain > 0 and self.chance.draw() < gain and (yield from self.ask(request, now, some)):
                continue
            if endpoint:
                if request.attempts and request.origin_node is None:
                    self.retry_budget.retries.add(now)
                    if self.quotas.limits:
                        self.quotas.limits.again(now, request)
                attempt = Attempt(request, endpoint, now, lender)
                endpoints.sends.add(now)
                self.asked.pop(request.slot_request_number, None)
                if (
                    not self.capabilities.start_notices
                ):  # the design's second clock: the send plus the modelled wait
                    self.clock(attempt, now + int(endpoint.expected_wait))
                if endpoint in some and not thin and not endpoints.is_ready(endpoint, now):
                    some.remove(endpoint)
                attempt.had_free_slot = not endpoint.reported_wait if thin else None
                if request.origin_node is None:
                    yield ("forward", request.id, endpoint.id, request.deadline - now - 3 * self.tick)
                else:
                    attempt.start_allowance = 2 * PATIENCE
                    self.leases.append((now + LEASE, attempt))
                    yield ("tell", request.origin_node, "lend", request.id[1], endpoint.rank)
            elif request.origin_node is not None and not request.search_rounds:
                request.search_rounds = 1
                yield ("tell", request.origin_node, "none", request.id[1], request.over_quota)
            elif thin and not waits:
                # All nodes read the same late reports: asking until one has room makes all meet there.
                again = request.search_rounds < (
                    1 + (self.chance.draw() > endpoints.lateness.at_home)
                    if some and endpoints.load.slots_by_kind
                    else 4
                )
                yield from self.ask(request, now) if again else (self.give_up(request, now),)

    def borrow(self, request, now):
        """Asks the keeper of a randomly drawn executor; another when it has none free or does not answer."""
        endpoints = self.endpoints
        if request.asked_group:
            endpoints.coordinators.on_silence(request.asked_group, now)
            request.tried_groups.discard(request.asked_group)
            request.asked_group = None
        leave = self.leave(request)
        left = [g for g, some in endpoints.groups.items() if g not in request.tried_groups for _ in some]
        pool = [g for g in left if g[0] == endpoints.zone] or [g for g in left if now >= leave]
        request.next_search_at = int(leave) + 1 if left and not pool else request.latest_start
        if pool:
            group = self.chance.pick(pool)
            request.tried_groups.add(group)
            to = endpoints.coordinators.node_for(group, now)
            if to == endpoints.node_number:
                request.placement_group, request.next_search_at = group, now + 1
                request.over_quota = (
                    request.over_quota
                    if request.search_rounds
                    else self.quotas.is_over_quota(now, request.tenant, len(endpoints.groups))
                )
            else:
                request.asked_group, request.next_search_at = group, now + PATIENCE
                tenant = [*self.quotas.tenants, request.tenant].index(request.tenant)
                yield (
                    "tell",
                    to,
                    "ask",
                    request.slot_request_number,
                    endpoints.groups[group][0].rank,
                    request.deadline - now,
                    request.estimated_work,
                    tenant,
                    request.slots,
                    request.tier,
                    self.ops.index(request.operation),
                    request.search_rounds > 0,
                    request.over_quota,
                )
            request.search_rounds += 1

    def leave(self, request):
        """Crossing costs by the forward: home is waited for the longer the less there is to gain."""
        part = self.endpoints.crossing_price * (
            (request.operation.mean_work or request.estimated_work) / request.estimated_work
            if self.by_work
            else 1
        )
        return request.arrived_at + part * (request.latest_start - request.arrived_at)

    def ask(self, request, now, some=()):
        """One random executor, by size, of home or of the other zones, in turn; some: those asked before."""
        endpoints, request.probed_endpoints = self.endpoints, [*some]
        away = max(
            4 * (endpoints.lateness.at_home - endpoints.lateness.in_other_zones - endpoints.crossing_price),
            0.02,
        )
        request.probing_other_zones = (
            not request.probing_other_zones if request.search_rounds else self.chance.draw() < away
        )
        request.search_rounds, request.next_search_at = (
            request.search_rounds + 1,
            now + TICKS_PER_SECOND // 20,
        )
        left = [
            endpoint for endpoint in endpoints.healthy if not endpoint.probe_sent_at and endpoint not in some
        ]
        side = [
            endpoint for endpoint in left if (endpoint.zone != endpoints.zone) == request.probing_other_zones
        ] or left
        # First those where own work started at once and ended lately; short jobs have turned that over.
        keep, young = (
            self.chance.draw() * TICKS_PER_SECOND < 2 * endpoints.load.mean_work,
            now - endpoints.slow_start.ramp_time,
        )
        known = [
            endpoint
            for endpoint in side
            if keep
            and not endpoint.in_flight
            and now < endpoint.last_heard_at + 4 * TICKS_PER_SECOND
            and endpoint.started_at < young
            and endpoint.expected_wait <= endpoints.prompt_wait
        ]
        # Young ones whose budget has come go before all: with many, the few old would else carry everything.
        turn = [
            endpoint
            for endpoint in side
            if endpoint.started_at >= young
            and self.suits(request, endpoint, now)
            and endpoints.is_ready(endpoint, now)
        ]
        for _ in range(32 if side else 0):
            endpoint = self.chance.pick(turn or known or side)
            fits = (
                turn
                or known
                or self.chance.draw() * endpoints.largest_weight < endpoint.weight
                and endpoint.started_at < young
            )
            if fits and self.suits(request, endpoint, now) and endpoints.is_ready(endpoint, now):
                request.probed_endpoints, endpoint.probe_sent_at = [*some, endpoint], now
                yield ("probe", endpoint.id)
                return True
        return False

    def again(self, request, now):
        """Whether a further forward may still come of it; the budget is this node's, not its keeper's."""
        fleets = not self.quotas.limits or self.quotas.limits.further(now, request)
        return (
            request.origin_node is not None or self.retry_budget.available(now).left >= 1 and fleets
        ) and any(self.allowed(request, endpoint, now) for endpoint in self.endpoints.healthy)

    def allowed(self, request, endpoint, now):
        """Rule 2: what may have run goes again only where a repeat is dropped, within the window."""
        if len(request.attempts) >= self.request_limits.max_attempts:
            return False
        first = next((attempt for attempt in request.attempts if not attempt.never_ran), None)
        if first is None or request.operation.effect == Effect.IDEMPOTENT:
            return True
        if (
            request.operation.effect == Effect.NON_IDEMPOTENT
            or now + 10 * self.tick > first.sent_at + request.operation.idempotency_window
        ):
            return False
        return request.operation.idempotency_group == "all" or getattr(
            endpoint, request.operation.idempotency_group
        ) == getattr(first.endpoint, request.operation.idempotency_group)

    def suits(self, request, endpoint, now):
        return (
            (not self.cutoffs.in_force or endpoint.tier == request.tier)
            and endpoint.rejected_until.get(request.operation, 0) <= now
            and request.operation.endpoint_kind in (None, endpoint.kind)
            and (not request.attempts or self.allowed(request, endpoint, now))
        )

    def choose(self, request, free, now, thin):
        endpoints = self.endpoints
        pool = [endpoint for endpoint in free if self.suits(request, endpoint, now)]
        if (
            request.slots > 1 and 2 * now < request.arrived_at + request.latest_start
        ):  # a queue's head blocks it
            pool = [
                endpoint
                for endpoint in pool
                if endpoint.slots_in_use + request.slots
                <= max(endpoint.credit * endpoints.warmth(endpoint, now), request.slots)
            ]
        if not thin and not self.uses_coordinators:
            near = [endpoint for endpoint in pool if endpoint.zone == endpoints.zone]
            pool = near if near or now < self.leave(request) else pool
        end, lag = (
            request.first_arrived_at
            + request.operation.latency_objective
            + request.operation.objective_stretch * request.estimated_work
            - now,
            endpoints.lateness.excess_wait(now),
        )
        if thin:
            pool = [
                endpoint
                for endpoint in pool
                if endpoint.expected_wait + lag
                <= max(end - request.estimated_work / endpoint.speed, endpoints.prompt_wait)
            ]
        pool = [
            endpoint
            for endpoint in pool
            if endpoint.expected_wait
            + request.estimated_work / (endpoint.speed * endpoints.warmth(endpoint, now))
            <= end
        ] or pool
        if thin and len(pool) > 1:
            return min(
                pool, key=lambda endpoint: endpoint.expected_wait + request.estimated_work / endpoint.speed
            )
        far = sum(endpoint.slots_in_use / endpoint.credit for endpoint in pool) / max(len(pool), 1) + 0.2
        return (
            self.chance.pick(
                [endpoint for endpoint in pool if endpoint.slots_in_use / endpoint.credit <= far]
            )
            if pool
            else None
        )

    def give_up(self, request, now):
        """Final at once. A throttling reply says that trying again is harmless (rule 2), an error nothing."""
        free = request.operation.effect == Effect.IDEMPOTENT or (
            request.operation.effect == Effect.KEYED and request.operation.idempotency_group == "all"
        )
        free, again = (
            free or all(attempt.never_ran for attempt in request.attempts),
            request.retry_after or TICKS_PER_SECOND // 2,
        )
        self.finish(request)
        return (
            ("throttle", request.id, min(self.request_limits.max_retry_after, again))
            if free
            else ("error", request.id)
        )
