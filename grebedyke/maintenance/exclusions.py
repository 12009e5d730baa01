"""The endpoints that a node excludes by its view of the rollout, and its attempts there. No I/O."""

from grebedyke.consensus.actions import ExcludeEndpoints
from grebedyke.maintenance.plan import is_node
from grebedyke.maintenance.rollout import EXCLUDED_STATES, EXCLUDED_STATES_WHEN_UNSURE, MachineState


def excluded_endpoints(rollout, is_certain):
    """Returns the names of the endpoints that must not be used, by a view that is certain or may be old."""
    states = EXCLUDED_STATES if is_certain else EXCLUDED_STATES_WHEN_UNSURE
    # A node gets no attempts, whatever its state.
    return frozenset(name for name in rollout.machines_in(states) if not is_node(name))


class Exclusions:
    """What this node excludes, since when, and where its attempts have not ended yet.

    Attributes:
        drain_grace: How long attempts at an excluded endpoint are waited for, in ticks.
        names: The excluded endpoints.
        open_names: Excluded endpoints with attempts of this node in flight, by the host's last report.
    """

    def __init__(self, drain_grace):
        self.drain_grace = drain_grace
        self.names = frozenset()
        self.open_names = frozenset()
        self._excluded_since: dict[str, int] = {}
        self._seen_out: set[str] = set()
        self._last_names: tuple[frozenset[str], bool] | None = None

    def update(self, now, rollout, is_certain, all_others):
        """Excludes endpoints by the newest known rollout.

        Args:
            now: The node's clock, in ticks.
            rollout: The `Rollout`.
            is_certain: Whether no newer one can be in force.
            all_others: Whether no endpoint at all may be used.

        Returns:
            The action for the host; None where it knows that already.
        """
        names = excluded_endpoints(rollout, is_certain)
        self._seen_out.update(rollout.machines_in(EXCLUDED_STATES))
        restarted = self._restarted(rollout, self.names - names)
        self._seen_out -= restarted
        self.names = names
        self._excluded_since = {name: self._excluded_since.get(name, now) for name in names}
        if (names, all_others) == self._last_names:
            return None
        self._last_names = (names, all_others)
        return ExcludeEndpoints(names, all_others, restarted)

    def _restarted(self, rollout, released):
        """Returns which endpoints to treat as restarted, of those that may be used from now on.

        A machine that only waits was never out: it was excluded as the view might have been old. What became
        of one that the rollout no longer has is not known. One that is back is warming up, also where this
        node has not seen it leave.
        """
        suspects = {name for name in released if name in self._seen_out or name not in rollout.machines}
        return frozenset(suspects.union(rollout.machines_in([MachineState.BACK])))

    def report_open(self, names):
        """Takes the host's report of open attempts; returns whether it differs from the last one."""
        open_names = frozenset(names)
        changed = open_names != self.open_names
        self.open_names = open_names
        return changed

    def acknowledged_revision(self, now, rollout, persisted_revision):
        """Returns the revision up to which this node can vouch that it sends nothing to what is out.

        Its record of the view is that new, too, so that a restart does not take the promise back.

        An open attempt holds the acknowledgement below the number of its machine's status even where the disk
        is behind that number anyway: else the acknowledgement would jump over it once the disk has caught up,
        and an attempt would reach a machine that is reported free.
        """
        draining = [
            name
            for name in self.open_names & self.names
            if now < self._excluded_since.get(name, now) + self.drain_grace
        ]
        numbers = [rollout.machines[name].number for name in draining if name in rollout.machines]
        return min([persisted_revision, *(number - 1 for number in numbers)])
