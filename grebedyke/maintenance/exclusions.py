"""The endpoints that a node excludes because of its view of the rollout, and open attempts there. No I/O."""

from grebedyke.consensus.actions import ExcludeEndpoints
from grebedyke.maintenance.plan import is_node
from grebedyke.maintenance.rollout import EXCLUDED_STATES, EXCLUDED_STATES_IF_UNCERTAIN, MachineState


def excluded_endpoints(rollout, is_certain):
    """Returns the names of the endpoints that must not be used; more of them if the view may be outdated."""
    states = EXCLUDED_STATES if is_certain else EXCLUDED_STATES_IF_UNCERTAIN
    # Nodes receive no attempts, so there is nothing to exclude.
    return frozenset(name for name in rollout.machines_in(states) if not is_node(name))


class Exclusions:
    """The endpoints that this node excludes, and its attempts still in flight there.

    Attributes:
        drain_grace: How long to wait for attempts at an excluded endpoint to end, in ticks.
        names: The excluded endpoints.
        open_names: Excluded endpoints with attempts of this node in flight, from the host's last report.
        unapplied: Excluded endpoints that another process of this node may still use, from the same report.
    """

    def __init__(self, drain_grace):
        self.drain_grace = drain_grace
        self.names = frozenset()
        self.open_names = frozenset()
        self.unapplied = frozenset()
        self._excluded_since: dict[str, int] = {}
        self._known_out: set[str] = set()
        self._last_reported: tuple[frozenset[str], bool] | None = None

    def update(self, now, rollout, is_certain, all_others):
        """Updates the exclusions from the newest known rollout.

        Args:
            now: The node's clock, in ticks.
            rollout: The `Rollout`.
            is_certain: Whether the rollout is guaranteed to be the newest one.
            all_others: Whether all other endpoints are excluded too.

        Returns:
            The action for the host; None if the exclusions have not changed.
        """
        names = excluded_endpoints(rollout, is_certain)
        self._known_out.update(rollout.machines_in(EXCLUDED_STATES))
        restarted = self._restarted(rollout, self.names - names)
        self._known_out -= restarted
        self.names = names
        self._excluded_since = {name: self._excluded_since.get(name, now) for name in names}
        if (names, all_others) == self._last_reported:
            return None
        self._last_reported = (names, all_others)
        return ExcludeEndpoints(names, all_others, restarted)

    def _restarted(self, rollout, released):
        """Returns the endpoints to treat as restarted, given the endpoints that are no longer excluded.

        A machine in state WAITING was never out; it was excluded only because the view might have been
        outdated. A machine that is missing from the rollout may have been restarted unnoticed. A machine in
        state BACK is warming up, even if this node has not seen it being taken out.
        """
        candidates = {name for name in released if name in self._known_out or name not in rollout.machines}
        return frozenset(candidates.union(rollout.machines_in([MachineState.BACK])))

    def update_open_names(self, names, unapplied=()):
        """Records the host's report; returns whether it differs from the last one."""
        before = self.open_names, self.unapplied
        self.open_names = frozenset(names)
        self.unapplied = frozenset(unapplied)
        return before != (self.open_names, self.unapplied)

    def acknowledged_revision(self, now, rollout, persisted_revision):
        """Returns the newest revision that this node acknowledges.

        The acknowledgement guarantees that this node has no attempts in flight at machines that are out at
        that revision, and that the revision is on disk, so the guarantee survives a restart. Attempts are
        waited for no longer than the drain grace, but another process of this node until it applies the
        exclusion: it could begin further attempts.

        While an attempt is open, the acknowledgement stays below the number of the machine's status, even if
        the revision on disk is lower anyway. Otherwise the acknowledgement would skip that number once the
        newer revision is on disk, and an attempt would reach a machine that is reported free.
        """
        draining = [
            name
            for name in (self.open_names | self.unapplied) & self.names
            if name in self.unapplied or now < self._excluded_since.get(name, now) + self.drain_grace
        ]
        numbers = [rollout.machines[name].number for name in draining if name in rollout.machines]
        return min([persisted_revision, *(number - 1 for number in numbers)])
