"""Bans by operators and by components of a fleet, in two processes of one node."""

import pytest
from loguru import logger
from node_files import LISTED_ROW
from process_pair import DiscoveryLog, SteppedProcess, settle
from socketless_node import NOW

from grebedyke.consensus.actions import ExcludeEndpoints
from grebedyke.consensus.component import Component
from grebedyke.model.exclusion_lease import ExclusionLease
from grebedyke.service.component_host import ComponentHost
from grebedyke.service.fleet_assembly import connect_batches, node_access

NAMES = ("s-1", "s-2")
# Ticks of a lease.
LEASE = 10_000


class PlanEmulator(Component):
    """A component whose plan names both executors.

    Attributes:
        lease: Its `ExclusionLease`; None before the test sets one.
    """

    controls_exclusions = True

    def __init__(self):
        super().__init__(0)
        self.lease = None

    def restore(self, now, stored_records):
        pass

    def receive(self, now, sender, message):
        return False

    def next_action(self, now):
        return None

    def possibly_excluded_endpoints(self):
        return NAMES

    def exclusion_lease(self):
        return self.lease


def rows():
    """Returns the endpoint list."""
    return [{**LISTED_ROW, "name": name} for name in NAMES]


class FleetProcess(SteppedProcess):
    """A process of a fleet node, whose maintenance is operated by the test.

    Attributes:
        access: Its `NodeAccess`.
        maintenance: The `PlanEmulator`.
        host: Its `ComponentHost`, which does not have the fleet's folder unless the test says so.
        exclusions: Its `EndpointExclusions`.
    """

    def __init__(self, discovery):
        super().__init__(discovery, {"index": 1, "endpoints": rows()})
        parts = self.node.parts
        self.access = node_access(parts)
        self.maintenance = PlanEmulator()
        self.host = ComponentHost(None, self.batch, None, "f", [self.maintenance], self.access)
        connect_batches(parts, self.host)
        parts.process_messages.on_exclusion_lease = self.host.receive_exclusion_lease
        self.exclusions = self.host.exclusions
        self.exclusions.pass_on = parts.process_messages.send_ban_change
        parts.host.endpoint_updates.exclusions = self.exclusions
        parts.admin_api.set_banned = self.exclusions.operator_ban
        self.run_batch()

    def exclude(self, *names, restarted=()):
        """Lets maintenance exclude these endpoints, and no others."""
        exclusion = ExcludeEndpoints(frozenset(names), False, frozenset(restarted))
        self.batch.enqueue(self.exclusions.request, self.maintenance, exclusion)

    def endpoint(self, name):
        """Returns an executor in the pool."""
        return self.node.parts.pool.endpoints[name]

    def lease_timers(self):
        """Returns the times at which the other process's lease may have to be ended, in ticks."""
        expire = self.host.inherited_exclusions.expire
        return [timer.when for timer in self.batch.timers if timer.call == expire]

    def take_folder(self):
        """Lets maintenance begin in this process, as the other one has ended."""
        self.exclusions.classify_inherited_bans([self.maintenance])


@pytest.fixture
def old():
    """Returns a process that serves."""
    logger.disable("grebedyke")
    yield FleetProcess(DiscoveryLog(*rows()))
    logger.enable("grebedyke")


def upgrade(old):
    """Returns a new process that has the old one's state."""
    new = FleetProcess(old.discovery)
    new.connect_to(old)
    settle(old, new)
    return new


# Guards against: an operator's ban of a machine that an open plan names ended with an upgrade (review/8).
@pytest.mark.parametrize("is_called_at", ("the old process", "the old process later", "the new process"))
def test_operators_ban_of_a_planned_machine_lasts_over_an_upgrade(old, is_called_at):
    if is_called_at == "the old process":
        old.call_operator("s-1", True)
    new = upgrade(old)
    if is_called_at == "the old process later":
        old.call_operator("s-1", True)
    elif is_called_at == "the new process":
        new.call_operator("s-1", True)
    settle(old, new)
    assert old.states()["s-1"] == new.states()["s-1"] == "banned"
    new.take_folder()
    new.exclude()
    settle(new)
    assert new.states()["s-1"] == "banned"
    new.call_operator("s-1", False)
    settle(new)
    assert new.states()["s-1"] == "healthy"


# Guards against: an operator's call to the process without the folder ended the exclusion of a machine under
# work.
def test_operators_call_at_the_new_process_does_not_end_an_exclusion(old):
    old.exclude("s-1")
    old.run_batch()
    new = upgrade(old)
    old.exclude("s-1", "s-2")
    settle(old, new)
    for name in NAMES:
        new.call_operator(name, False)
    settle(new, old)
    assert old.states() == new.states() == dict.fromkeys(NAMES, "banned")
    old.exclude()
    settle(old, new)
    assert old.states() == new.states() == dict.fromkeys(NAMES, "healthy")


# Guards against: the end of an exclusion ended an operator's ban that another process had been told.
def test_end_of_an_exclusion_keeps_an_operators_ban_in_both_processes(old):
    old.exclude("s-1")
    old.run_batch()
    new = upgrade(old)
    new.call_operator("s-1", True)
    settle(new, old)
    old.exclude()
    settle(old, new)
    assert old.states()["s-1"] == new.states()["s-1"] == "banned"


# Guards against: a third process took the exclusions of components for an operator's, and kept them for ever.
def test_exclusions_keep_their_origin_over_two_upgrades(old):
    old.exclude("s-1")
    old.run_batch()
    new = upgrade(old)
    third = FleetProcess(new.discovery)
    third.connect_to(new)
    settle(new, third)
    third.exclusions.classify_inherited_bans([])
    third.exclude()
    settle(third)
    assert third.states()["s-1"] == "healthy"


# Guards against: an executor that was not restarted while it was excluded was cold for the other process.
def test_end_of_an_exclusion_without_a_restart_leaves_the_executor_warm_in_both(old):
    old.exclude("s-1", "s-2")
    old.run_batch()
    new = upgrade(old)
    old.exclude(restarted=["s-2"])
    settle(old, new)
    for process in (old, new):
        endpoints = process.node.parts.host.dispatcher.endpoints
        warmth = [endpoints.warmth(endpoints.by_id[name], process.batch.clock()) for name in NAMES]
        assert warmth[0] == 1 and warmth[1] < 1


# Guards against: a machine was reported free while jobs of the other process of an upgrade ran there, or
# while that process could still send it some.
def test_step_waits_for_both_processes(old):
    new = upgrade(old)
    new.endpoint("s-1").open_attempts = 1
    old.exclude(*NAMES)
    old.run_batch()
    assert old.access.unapplied(NAMES) == [*NAMES]  # the other process has not read it
    settle(old, new)
    assert old.access.unapplied(NAMES) == [] and old.access.with_open_attempts(NAMES) == ["s-1"]
    new.endpoint("s-1").open_attempts = 0
    new.batch.enqueue(lambda now: None)  # the event that ended the attempt
    settle(new, old)
    assert old.access.with_open_attempts(NAMES) == []


def test_confirmation_of_an_earlier_exclusion_does_not_count(old):
    new = upgrade(old)
    old.exclude("s-1")
    old.run_batch()
    while new.read_message():
        pass
    new.run_batch()  # its confirmation is on the way
    old.exclude()
    old.run_batch()
    old.exclude("s-1")
    old.run_batch()
    old.read_message()
    old.run_batch()
    assert old.access.unapplied(NAMES) == ["s-1"]
    settle(new, old)
    assert old.access.unapplied(NAMES) == old.access.with_open_attempts(NAMES) == []


def test_exclusion_that_ends_needs_no_confirmation(old):
    new = upgrade(old)
    new.endpoint("s-1").open_attempts = 1
    old.exclude("s-1")
    settle(old, new)
    old.exclude()
    settle(old, new)
    assert old.access.with_open_attempts(NAMES) == []
    assert not new.node.parts.process_messages.confirmations.to_confirm


# Jobs of a process that has died may run on until their clients give up, but it begins no others.
def test_attempts_of_a_process_that_died_count_for_the_longest_client_timeout(old):
    new = upgrade(old)
    new.endpoint("s-1").open_attempts = 1
    old.exclude(*NAMES)
    old.run_batch()
    old.hot_restart._on_end(old.hot_restart.successor)
    assert old.access.unapplied(NAMES) == [] and old.access.with_open_attempts(NAMES) == [*NAMES]
    parts = old.node.parts
    forget = parts.process_messages.confirmations.forget
    (timer,) = [timer for timer in old.batch.timers if timer.call == forget]
    assert timer.when == old.batch.clock() + parts.host.requests.settings.identifier_retention
    forget(timer.when, *timer.arguments)
    assert old.access.with_open_attempts(NAMES) == []


def upgrade_with_lease(old):
    """Returns a new process that has the old one's lease, at whose end s-1 must not be used."""
    old.host.is_started = True
    old.maintenance.lease = ExclusionLease(NOW + LEASE, ("s-1",), False)
    return upgrade(old)


# Guards against: the old process of an upgrade stood still, and the new one went on sending to a machine that
# the fleet had taken out in the meantime.
def test_new_process_excludes_more_when_the_old_one_does_not_renew_its_lease(old):
    new = upgrade_with_lease(old)
    new.host.expire(NOW + LEASE - 1)
    assert new.states() == dict.fromkeys(NAMES, "healthy")
    assert new.lease_timers() == [NOW + LEASE]
    new.host.expire(NOW + LEASE)
    assert new.states() == {"s-1": "banned", "s-2": "healthy"}
    settle(new, old)
    assert old.states() == dict.fromkeys(NAMES, "healthy")  # the old one decides for itself
    # An operator's call has its usual effect, in both processes.
    new.call_operator("s-1", False)
    new.call_operator("s-2", True)
    settle(new, old)
    assert old.states() == {"s-1": "healthy", "s-2": "banned"}
    assert new.states() == dict.fromkeys(NAMES, "banned")
    new.call_operator("s-2", False)
    # The old one goes on, and its lease is granted again.
    old.maintenance.lease = old.maintenance.lease._replace(until=NOW + 2 * LEASE)
    settle(new, old)
    endpoints = new.node.parts.host.dispatcher.endpoints
    assert (
        new.states() == dict.fromkeys(NAMES, "healthy") and endpoints.warmth(endpoints.by_id["s-1"], NOW) == 1
    )
    assert new.lease_timers() == [NOW + 2 * LEASE]


def test_exclusion_of_the_old_process_outlasts_the_end_of_its_lease(old):
    new = upgrade_with_lease(old)
    new.host.expire(NOW + LEASE)
    old.exclude("s-1")
    settle(old, new)
    old.maintenance.lease = old.maintenance.lease._replace(until=NOW + 2 * LEASE)
    old.batch.enqueue(lambda now: None)
    settle(old, new)
    assert new.states()["s-1"] == "banned"
    old.exclude()
    settle(old, new)
    assert new.states()["s-1"] == "healthy"


def test_lease_of_the_old_process_ends_with_the_folder(old):
    new = upgrade_with_lease(old)
    new.host.expire(NOW + LEASE)
    new.take_folder()
    new.host.inherited_exclusions.end()
    new.host.inherited_exclusions.expire(NOW + LEASE)
    new.exclude()
    settle(new)
    assert new.states()["s-1"] == "healthy"


def test_process_without_a_view_lease_lets_the_other_one_use_no_endpoint(old):
    old.host.is_started = True
    old.maintenance.lease = ExclusionLease(0, (), True)
    assert upgrade(old).states() == dict.fromkeys(NAMES, "banned")
