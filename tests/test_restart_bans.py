"""Bans by operators and by components of a fleet, in two processes of one node."""

import pytest
from loguru import logger
from node_files import LISTED_ROW
from process_pair import DiscoveryLog, SteppedProcess, settle

from grebedyke.consensus.actions import ExcludeEndpoints
from grebedyke.service.endpoint_exclusions import EndpointExclusions
from grebedyke.service.fleet_assembly import node_access

NAMES = ("s-1", "s-2")
NOTHING_EXCLUDED = ExcludeEndpoints(frozenset(), False)


class PlanEmulator:
    """A component whose plan names both executors."""

    controls_exclusions = True

    @staticmethod
    def possibly_excluded_endpoints():
        return NAMES


MAINTENANCE = PlanEmulator()


def rows():
    """Returns the endpoint list."""
    return [{**LISTED_ROW, "name": name} for name in NAMES]


class FleetProcess(SteppedProcess):
    """A process of a fleet node, whose maintenance is operated by the test.

    Attributes:
        exclusions: Its `EndpointExclusions`.
    """

    def __init__(self, discovery):
        super().__init__(discovery, {"index": 1, "endpoints": rows()})
        parts = self.node.parts
        self.exclusions = EndpointExclusions(node_access(parts))
        self.exclusions.pass_on = getattr(parts.process_messages, "send_ban_change", None)
        parts.host.endpoint_updates.exclusions = self.exclusions
        parts.admin_api.set_banned = self.exclusions.operator_ban
        self.run_batch()

    def exclude(self, *names, restarted=()):
        """Lets maintenance exclude these endpoints, and no others."""
        exclusion = ExcludeEndpoints(frozenset(names), False, frozenset(restarted))
        self.batch.enqueue(self.exclusions.request, MAINTENANCE, exclusion)

    def take_folder(self):
        """Lets maintenance begin in this process, as the other one has ended."""
        self.exclusions.classify_inherited_bans([MAINTENANCE])


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
