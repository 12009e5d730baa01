"""The endpoints that a node excludes by its view of the rollout, and its attempts there. No I/O."""

from grebedyke.consensus.actions import ExcludeEndpoints
from grebedyke.maintenance.plan import is_node
from grebedyke.maintenance.rollout import EXCLUDED_STATES, EXCLUDED_STATES_WHEN_UNSURE


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
        self._last_action: ExcludeEndpoints | None = None

    def update(self, now, names, all_others):
        """Excludes these endpoints; returns the action for the host, None where it knows that already."""
        self.names = names
        self._excluded_since = {name: self._excluded_since.get(name, now) for name in names}
        action = ExcludeEndpoints(names, all_others)
        if action == self._last_action:
            return None
        self._last_action = action
        return action

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
