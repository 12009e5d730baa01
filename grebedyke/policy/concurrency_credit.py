"""Rule: concurrency credit bounds the slots that this node may have in use at an endpoint.

A prompt start increases the credit and a late start reduces it: the start delay is the most recent
information on the load of the endpoint. Inputs are the waits of attempts until they start (ticks). The credit
is updated in one of three ways:

- `on_start`: from the start notices of this node's attempts, if each node sends independently;
- `on_coordinated_start`: from the attempts of all nodes, if this node coordinates the endpoint's group;
- `on_free_slots`: from reported free slots, if executors send no start notices.
"""

from grebedyke.model.window_counter import WindowCounter
from grebedyke.units import TICKS_PER_SECOND

MAX_CREDIT = 64.0
MIN_CREDIT = 0.1
# A start is late if its wait exceeds this multiple of the prompt wait.
LATE_MULTIPLE = 2
# A late start leaves at least this part of the credit. The next reduction follows only after a pause (ticks).
MIN_KEPT_CREDIT = 0.4
REDUCTION_PAUSE = TICKS_PER_SECOND // 2
# Reductions are counted over five buckets of this length (ticks), half a second in total.
REDUCTION_BUCKET = TICKS_PER_SECOND // 10
REDUCTION_BUCKETS = 5
# Longest pause after a start at a credit below one: this number of ticks times the number of nodes.
MAX_PAUSE_PER_NODE = TICKS_PER_SECOND // 8

# Coordinated credit: the initial share of prompt starts for a number of slots in use, its smoothing factor,
# and the share above which that number is acceptable.
PRIOR_PROMPT_SHARE = 0.8
PROMPT_SMOOTHING = 0.1
GOOD_PROMPT_SHARE = 0.6
# Each start adds this to the share of the next higher number, so that it is tried again occasionally.
EXPLORATION = 0.002

# Credit from reports: if all credit is in use, the slot estimate changes by this gain times the difference
# between the reported free slots and the threshold.
REPORT_GAIN = 0.05
REPORT_THRESHOLD = 0.3


class ConcurrencyCredit:
    """Updates the concurrency credit of endpoints.

    Attributes:
        prompt_wait: Longest wait of a start that counts as prompt, in ticks.
        node_count: Number of nodes that send to the same endpoints.
        prompt_shares: Share of prompt starts by (kind, slots in use), at endpoints this node coordinates.
        reductions: WindowCounter of the credit reductions of the last half second.
    """

    def __init__(self, prompt_wait, node_count):
        self.prompt_wait = prompt_wait
        self.node_count = node_count
        self.prompt_shares = {}
        self.reductions = WindowCounter(REDUCTION_BUCKET, REDUCTION_BUCKETS)

    def adopt_settings(self, fresh):
        """Adopts the settings of a newly built object and keeps all learned state."""
        self.prompt_wait = fresh.prompt_wait
        self.node_count = fresh.node_count

    def on_start(self, endpoint, now, wait, healthy_count):
        """Updates the credit from the wait of one of this node's attempts.

        Args:
            endpoint: The Endpoint.
            now: The time in ticks.
            wait: Wait of the attempt at the endpoint, in ticks.
            healthy_count: Number of healthy endpoints. If more than half of them lose credit within half a
                second, the cause is not a single endpoint, and the credit is kept.
        """
        if wait <= self.prompt_wait and endpoint.slots_in_use >= endpoint.credit - 1:
            gain = min(1 / endpoint.credit, endpoint.credit / 2)
            endpoint.credit = min(endpoint.credit + gain, MAX_CREDIT)
        elif (
            wait > LATE_MULTIPLE * self.prompt_wait
            and now > endpoint.no_reduction_until
            and self.reductions.total(now) * 2 <= healthy_count
        ):
            self._reduce(endpoint, now, wait)

    def _reduce(self, endpoint, now, wait):
        """Reduces the credit according to the wait, but not below the attempts running there.

        The running attempts prove that this node has that many slots.
        """
        running = sum(attempt.started_at > 0 for attempt in endpoint.in_flight.values())
        kept = max(MIN_KEPT_CREDIT, LATE_MULTIPLE * self.prompt_wait / wait)
        endpoint.no_reduction_until = now + REDUCTION_PAUSE
        endpoint.credit = max(MIN_CREDIT, running, endpoint.credit * kept)
        self.reductions.add(now)

    def on_coordinated_start(self, endpoint, slots_in_use, wait):
        """Sets the credit to the most slots in use with which most attempts of all nodes start promptly.

        If the credit only reacted to late starts, every pause of an endpoint would be mistaken for a lack of
        free slots, and slots would stay idle.

        Args:
            endpoint: The Endpoint.
            slots_in_use: Slots in use there when the attempt was sent, including its own.
            wait: Wait of the attempt at the endpoint, in ticks.
        """
        shares = self.prompt_shares
        kind = endpoint.kind
        share = shares.get((kind, slots_in_use), PRIOR_PROMPT_SHARE)
        prompt = wait <= self.prompt_wait
        shares[kind, slots_in_use] = share * (1 - PROMPT_SMOOTHING) + PROMPT_SMOOTHING * prompt
        next_share = shares.get((kind, slots_in_use + 1), PRIOR_PROMPT_SHARE)
        shares[kind, slots_in_use + 1] = min(next_share + EXPLORATION, 1.0)
        slots = 1
        while shares.get((kind, slots + 1), 0) > GOOD_PROMPT_SHARE:
            slots += 1
        endpoint.credit = float(slots)

    def on_free_slots(self, endpoint, free_slots, wanted_slots, slots_by_kind):
        """Sets the credit to the estimated slots of the executor, for executors without start notices.

        Args:
            endpoint: The Endpoint.
            free_slots: Free slots that the executor reported with the end of an attempt.
            wanted_slots: Slots that were in use there with that attempt if other requests are queued, else 0.
                If all credit was used, the estimate is increased if slots are still reported free and reduced
                otherwise.
            slots_by_kind: Estimated slots of an executor by kind; updated in place.
        """
        slots = max(slots_by_kind.get(endpoint.kind, 1.0), round(free_slots))
        if wanted_slots >= int(slots):
            slots += REPORT_GAIN * (free_slots - REPORT_THRESHOLD)
        slots = min(max(slots, 1.0), MAX_CREDIT)
        slots_by_kind[endpoint.kind] = slots
        endpoint.credit = float(int(slots))

    def pause_after_start(self, endpoint, now, start_delay):
        """Excludes an endpoint with a credit below one for a time after each start.

        With many nodes and few slots, one attempt per node at a time would already be too much. The pause is
        bounded in proportion to the number of nodes: without the bound, a start that was seconds late because
        of a hang would exclude the endpoint for half a minute.

        Args:
            endpoint: The Endpoint.
            now: The time in ticks.
            start_delay: Time from the send to the start, in ticks.
        """
        wanted = int(start_delay * max(1 / endpoint.credit - 1, 0))
        pause = min(wanted, self.node_count * MAX_PAUSE_PER_NODE)
        endpoint.ejected_until = max(endpoint.ejected_until, now + pause)
