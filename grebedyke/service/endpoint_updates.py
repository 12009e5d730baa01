"""Distributes the endpoint list and operators' bans, and exports their state to a successor."""

from contextlib import contextmanager

from grebedyke.model.endpoint_list import EndpointRow
from grebedyke.model.events import EndpointListUnavailable, EndpointsChanged
from grebedyke.units import TICKS_PER_MILLISECOND
from grebedyke.wire.endpoint_rows import HEALTHY, ListedEndpoint
from grebedyke.wire.executor_pool import EndpointAddress
from grebedyke.wire.list_update import NO_LIST, ListVersion

# Address and start of an endpoint that has left the list.
NO_PLACE = (("", 0), 0)
EMPTY_RETRY_BUDGET = ((), (), 0, 0)


class EndpointUpdates:
    """Passes the endpoint list to the pool, the dispatcher and the components of the fleet.

    Attributes:
        dispatcher: The `Dispatcher`.
        pool: The `ExecutorPool`.
        attempts: The `AttemptSender`.
        unix_time_offset: The node's monotonic time minus the Unix time, in ticks.
        list_listener: Called after the dispatcher, with the time, whether the rows are the complete list,
            and discovery's rows; may be None.
        exclusions: The `EndpointExclusions`; None outside of a fleet.
        applied: The `ListVersion` of the list as all parts have it; without a number while an update is being
            applied, and after one that could not be applied.
        pass_on: Called with each `ListUpdate` that has led to another version; None if there is no way to
            another process of this node.
        on_changes_lost: Called with the time when an update could not be applied: only a complete list
            makes up for it.
    """

    def __init__(self, dispatcher, pool, attempts):
        self.dispatcher = dispatcher
        self.pool = pool
        self.attempts = attempts
        self.unix_time_offset = 0
        self.list_listener = None
        self.exclusions = None
        self.applied = NO_LIST
        self.pass_on = None
        self.on_changes_lost = None

    def on_list(self, now, update):
        """Applies a `ListUpdate` of discovery, unless changes before it are lost or later ones applied."""
        if update.continues(self.applied):
            self._apply(now, update)

    def on_passed_on_list(self, now, update):
        """Applies a `ListUpdate` of the other process of this node, if it is news to this one."""
        if update.is_newer_than(self.applied):
            self._apply(now, update)

    def _apply(self, now, update):
        before = self.applied
        with self._changing_list(now, update.version):
            if update.is_complete or update.rows:
                self._distribute(now, update.is_complete, update.rows)
        if self.pass_on and self.applied != before:
            self.pass_on(update)

    @contextmanager
    def _changing_list(self, now, version):
        """Sets the applied version after the body, so that it never includes changes that are not applied."""
        self.applied = ListVersion(version.source, None)
        try:
            yield
        except Exception:
            self.on_changes_lost(now)
            raise
        self.applied = version

    def _distribute(self, now, is_complete, rows):
        addresses = [EndpointAddress(row.name, row.address, row.state, row.since_ms) for row in rows]
        self.pool.update_endpoints(is_complete, addresses)
        changed = [self._row_with_node_time(row) for row in rows]
        self.dispatcher.handle(now, EndpointsChanged(is_complete, changed))
        if self.list_listener:
            self.list_listener(now, is_complete, rows)

    def _row_with_node_time(self, row):
        # 0 means that the start time is not known.
        started_at = row.since_ms and row.since_ms * TICKS_PER_MILLISECOND + self.unix_time_offset
        return EndpointRow(row.name, row.zone, row.kind, row.cell, row.state, started_at, row.weight)

    def on_list_unavailable(self, now):
        """Reports that the list could not be read from discovery."""
        self.dispatcher.handle(now, EndpointListUnavailable())

    def set_banned(self, now, endpoint_id, is_banned, was_restarted=True):
        """Bans an endpoint or ends the ban; see `EndpointList.set_banned`."""
        if is_banned:
            # An attempt that is still connecting would reach an executor after its ban was confirmed.
            self.attempts.end_unsent_at(now, endpoint_id)
        return self.dispatcher.set_banned(now, endpoint_id, is_banned, was_restarted)

    # State transfer: the keys are part of the messages between two processes.

    def export_state(self):
        """Returns the state that a successor continues with, in JSON types."""
        dispatcher = self.dispatcher
        state = {
            "executors": dispatcher.endpoints.snapshot(),
            "budget": dispatcher.retry_budget.export_state(),
            "places": [
                (endpoint.name, endpoint.address, endpoint.since_ms)
                for endpoint in self.pool.endpoints.values()
                if endpoint.is_listed and endpoint.address
            ],
        }
        if self.exclusions:
            state |= self.exclusions.export_state()
        return state

    def import_state(self, now, state, version):
        """Imports the state that another process has exported, with the `ListVersion` of its list."""
        with self._changing_list(now, version):
            self._import_endpoints(now, state)
        # A process of an earlier version exports no retry budget, so the number of its attempts is unknown.
        budget = state.get("budget") or EMPTY_RETRY_BUDGET
        self.dispatcher.retry_budget.import_state(now, *budget)
        self.dispatcher.handle(now, EndpointsChanged(False, []))

    def _import_endpoints(self, now, state):
        places = {name: (tuple(address), since_ms) for name, address, since_ms in state["places"]}
        addresses = [
            EndpointAddress(name, address, HEALTHY, since) for name, (address, since) in places.items()
        ]
        self.pool.update_endpoints(True, addresses)
        self.dispatcher.endpoints.restore(now, state["executors"])
        if self.exclusions:
            self.exclusions.import_state(state)
        if self.list_listener:
            rows = [_listed_endpoint(EndpointRow(*row), places) for row in state["executors"]["rows"]]
            self.list_listener(now, True, rows)


def _listed_endpoint(row, places):
    """Returns discovery's row of an endpoint.

    Args:
        row: The `EndpointRow`.
        places: Address and start in milliseconds of Unix time, by name.
    """
    address, since_ms = places.get(row.id, NO_PLACE)
    return ListedEndpoint(row.id, address, row.zone, row.kind, row.cell, row.state, since_ms, row.weight)
