"""What is known of the endpoints beyond the list: own load, credit, health, warm-up, tiers."""

from math import inf, log
from zlib import crc32

from grebedyke.model.endpoint_list import EndpointList
from grebedyke.model.outcome import Outcome
from grebedyke.model.window_counter import WindowCounter
from grebedyke.policy.wait_model import Tier
from grebedyke.units import TICKS_PER_SECOND


class EndpointTable(EndpointList):
    """What is known of the executors beyond the list: own load, credit, health, cold turns, tiers."""

    def __init__(self, zone, me, nodes, cold_from, ramp, multiple, quick, progress, cross, groups_per_zone=0):
        self.zone, self.me, self.nodes, self.quick, self.progress = zone, me, nodes, quick, progress
        self.cold_from, self.ramp, self.multiple, self.cross = cold_from, ramp, multiple, cross
        super().__init__(groups_per_zone)
        self.missed, self.levels, self.kinds, self.slots = {}, {}, {}, {}
        self.pace, self.mean, self.late, self.bias, self.learnt = 1.0, 0.0, [0.0, 0.0], 0.0, 0
        self.trims, self.widest, self.scale = WindowCounter(TICKS_PER_SECOND // 10, 5), 1, 1.0
        # How often work began at once where the report had no slot free, and where it had: at first as said.
        self.told, self.queue, self.starts = [0.2, 1.0], 0.0, [3, 3]

    def assign_tiers(self, share):
        """Tiers split each kind alike by hashed id; (workers, slots times speed) of each, for all nodes."""
        self.top_tier_share, seen, rows = share, {}, [[0, 0.0], [0, 0.0]]
        for endpoint in self.healthy:
            seen[endpoint.kind] = seen.get(endpoint.kind, 0) + 1
            endpoint.tier = int(share > 0 and seen[endpoint.kind] % round(1 / share) == 0)
            rows[endpoint.tier][0] += 1
            rows[endpoint.tier][1] += max(endpoint.credit, 1.0) * self.nodes * endpoint.speed
        tiers = [Tier(*row) for row in rows]
        return tiers if share else tiers[:1]

    def warmth(self, endpoint, now):
        return min(1.0, self.cold_from + (1 - self.cold_from) * max(now - endpoint.started_at, 0) / self.ramp)

    def spare(self, endpoint, now):
        """Rule 4 counts all nodes: each sends a young one its part of half the multiple, first by turns."""
        rate = max(self.sends.total(now, 4), self.sends.total(now) / 4, 1)  # else it feeds on itself
        part = self.multiple / 2 * self.warmth(endpoint, now) * rate
        # By the list's weights where it is a small one: it falls at less than the mean does.
        gap = max(len(self.healthy), self.total_weight / endpoint.weight) * 4 * TICKS_PER_SECOND / part
        turn = (self.me + endpoint.rank) % self.nodes / self.nodes
        return now >= (
            endpoint.last_sent_at + gap
            if endpoint.last_sent_at >= endpoint.started_at
            else endpoint.announced_at + gap * turn
        )

    def ready(self, endpoint, now):
        if (
            endpoint.ejected_until > now
            or endpoint.state != "healthy"
            or endpoint.slots_in_use >= max(1.0, endpoint.credit * self.warmth(endpoint, now))
        ):
            return False
        # Who lends by a book sees all that a young one gets: its credit by warmth is enough.
        if (
            not self.groups_per_zone
            and now - endpoint.started_at < self.ramp
            and not self.spare(endpoint, now)
        ):
            return False
        # Own work that waits there says that it is full now, whatever credit it had earned before. Begun
        # work of which no note comes: hung, cut off or dead; a slow one still sends its notes.
        gap, start = (
            1.4 * self.progress or 3 * TICKS_PER_SECOND,
            self.quick + max(x for x in (0, *endpoint.start_floors) if x < inf),
        )
        return all(
            now
            <= (
                max(endpoint.last_heard_at, attempt.sent_at) + gap
                if attempt.started_at
                else attempt.sent_at + start + attempt.start_allowance
            )
            for attempt in endpoint.in_flight.values()
        )

    def keeper(self, group, now, silent=False):
        """The node by whose book a group is lent: by hash; while no word comes of it the next one."""
        missed, until = self.missed.get(group, (0, 0))
        missed = (missed if now < until else 0) + silent
        if silent:
            self.missed[group] = missed, now + 4 * TICKS_PER_SECOND
        return (crc32(repr(group).encode()) + missed) % self.nodes

    def began(self, endpoint, now, attempt, took):
        """A start note is the freshest answer: work begun at once earns credit, work that waits loses it."""
        # What opening a connection takes is no wait there: it would cost far executors all their credit.
        floor = endpoint.start_floors[attempt.opened_connection] = min(
            endpoint.start_floors[attempt.opened_connection] + 1, took
        )
        wait = took - floor
        endpoint.expected_wait += 0.3 * (wait - endpoint.expected_wait)
        if attempt.had_free_slot is not None:
            self.starts[attempt.had_free_slot] += 1
            self.told[attempt.had_free_slot] += (
                (wait <= self.quick) - self.told[attempt.had_free_slot]
            ) / min(self.starts[attempt.had_free_slot], 10)
            if not attempt.had_free_slot:
                self.queue += (
                    0.1 * (attempt.reported_wait - self.queue) if self.queue else attempt.reported_wait
                )
            if attempt.expected_wait > 0:
                # What reported queues come to, over what they were reckoned at: slots and sizes are rough.
                self.scale = min(
                    max(
                        self.scale
                        * (1 + 0.1 * (wait - attempt.expected_wait) / (wait + attempt.expected_wait)),
                        0.1,
                    ),
                    10.0,
                )
        # Work that came since the report makes waits longer than it said: under overload, always.
        self.bias, self.learnt = (
            0.75 * self.lag(now) + min(max(wait - attempt.expected_wait, 0), 40 * self.quick) / 4,
            now,
        )
        # How late work starts at home and abroad, as a share of the objective: what crossing would save.
        side = endpoint.zone != self.zone
        self.late[side] += 0.1 * (min(wait / (10 * self.quick), 1) - self.late[side])
        if self.groups_per_zone:
            # So many as the book had there mostly begin at once, or wait. Late starts of other causes
            # would keep slots empty. One more is tried now and then.
            level, n = self.levels, 1
            level[endpoint.kind, attempt.endpoint_load] = level.get(
                (endpoint.kind, attempt.endpoint_load), 0.8
            ) * 0.9 + 0.1 * (wait <= self.quick)
            level[endpoint.kind, attempt.endpoint_load + 1] = min(
                level.get((endpoint.kind, attempt.endpoint_load + 1), 0.8) + 0.002, 1.0
            )
            while level.get((endpoint.kind, n + 1), 0) > 0.6:
                n += 1
            endpoint.credit = float(n)
        elif wait <= self.quick and endpoint.slots_in_use >= endpoint.credit - 1:
            endpoint.credit = min(endpoint.credit + min(1 / endpoint.credit, endpoint.credit / 2), 64.0)
        elif (
            wait > 2 * self.quick
            and now > endpoint.credit_kept_until
            and self.trims.total(now) * 2 <= len(self.healthy)
        ):
            # When all are slow at once the cause is not this executor: then most keep their credit.
            runs = sum(
                g.started_at > 0 for g in endpoint.in_flight.values()
            )  # so many slots are this node's just now
            endpoint.credit_kept_until = now + TICKS_PER_SECOND // 2
            endpoint.credit = max(0.1, runs, endpoint.credit * max(0.4, 2 * self.quick / wait))
            self.trims.add(now)
        # Many nodes at few slots: one forward each would be too much; credit under one rests in between. The
        # bound grows with the nodes: a start 3 s late, at a hang's end, cost one of three half a minute.
        endpoint.ejected_until = max(
            endpoint.ejected_until,
            now + min(int(took * max(1 / endpoint.credit - 1, 0)), self.nodes * TICKS_PER_SECOND // 8),
        )

    def lag(self, now):
        # Only starts change it, and over an invocation's slack it lets none begin: so it fades without them.
        return self.bias * min(1.0, 2.0 ** (1 - (now - self.learnt) / TICKS_PER_SECOND))

    def probed(self, now, id, outcome, free, held):
        """What other nodes send is seen here alone: the report gives the work there by its slots."""
        endpoint = self.by_id[id]
        endpoint.probe_sent_at = 0
        if outcome != Outcome.SUCCEEDED or free is None or held is None:
            return outcome not in (Outcome.SUCCEEDED, Outcome.REJECTED) and self.failed(
                endpoint, now, outcome
            )
        # All slots show when the widest job finds room: none waits. The most of noisy reports is too much.
        slots = self.slots.get(endpoint.kind, 1)
        if free >= self.widest:
            slots += (0.1 if slots > 1 else 1) * (free + held - slots)
            self.slots[endpoint.kind] = slots = max(slots, 1)
        endpoint.reported_wait = (
            (max(held - slots, 0) + 0.5) / slots * self.mean / endpoint.speed if free < 0.5 else 0
        )
        # What is worked off while a report ages shows in the share of such queues that are gone by then.
        gone = -log(1 - min(self.told[0] / (self.told[1] + 0.01), 0.9)) * self.queue
        endpoint.expected_wait = max((endpoint.reported_wait - gone) * self.scale, 0)

    def ran(self, endpoint, size, time, mean):
        """Speed by the hints against the time taken: else a slow worker's jobs would pass for long ones."""
        k = self.kinds.setdefault(endpoint.kind, [0.0, 0.0])
        k[0], k[1] = k[0] * 0.99 + size, k[1] * 0.99 + time
        endpoint.finished_work, endpoint.busy_time = (
            endpoint.finished_work * 0.9 + size,
            endpoint.busy_time * 0.9 + time,
        )
        w = 2 * mean + 1
        endpoint.speed = max(
            0.05, (endpoint.finished_work + w * (k[0] + w) / (k[1] + w)) / (endpoint.busy_time + w)
        )
        self.pace += 0.02 * (endpoint.speed - self.pace)

    def failed(self, endpoint, now, outcome, operation=None):
        if outcome == Outcome.REJECTED:
            # Some turn away one operation only. Where all workers do, its work waits here: the design's hold.
            endpoint.rejected_until[operation] = now + TICKS_PER_SECOND
            self.sends.add(now, -1)  # sent on and on under overload, it would make all parts grow
            endpoint.credit = (
                max(1.0, min(endpoint.credit, endpoint.slots_in_use))
                if min(endpoint.rejected_until.values()) > now
                else endpoint.credit
            )
        elif outcome not in (Outcome.CANCELLED, Outcome.NEVER_SENT):
            # Written off, but tried again at a bounded, growing distance with a single forward. Errors too:
            # one that fails at once is always free. A reset between answers is its connection's.
            endpoint.consecutive_failures += 1
            if endpoint.consecutive_failures > (outcome == Outcome.CONNECTION_RESET):
                endpoint.ejected_until, endpoint.credit = (
                    now + (TICKS_PER_SECOND // 4 << min(endpoint.consecutive_failures, 4)),
                    1.0,
                )
