"""The maintenance component alone: leases on the view, acknowledgements, and operators' confirmations."""

from types import SimpleNamespace

from grebedyke.consensus.actions import LogEvent
from grebedyke.consensus.consensus import Consensus
from grebedyke.maintenance import commands
from grebedyke.maintenance.component import Maintenance
from grebedyke.maintenance.messages import LeaseAnswer
from grebedyke.maintenance.plan import LatePolicy, Plan, ReturnSignal
from grebedyke.maintenance.rollout import MachineState, MachineStatus, Rollout, RolloutPhase
from grebedyke.maintenance.settings import MaintenanceSettings
from grebedyke.model.seeded_random import SeededRandom
from grebedyke.testbed import broken_builds

LEASE = 10_000
DRAIN_GRACE = 5_000


def make_settings(**changes):
    figures = {
        "lease": LEASE,
        "drift": 0.02,
        "drain_grace": DRAIN_GRACE,
        "warm_up_time": 10_000,
        "idempotency_window": 0,
        "idempotency_groups": (),
        "trust_stored_view_after": None,
    }
    return MaintenanceSettings(**figures | changes)


def make_plan():
    return Plan(
        id="p",
        content_digest="",
        order=(),
        machines={},
        predecessors={},
        max_out=1,
        max_out_per_zone=None,
        max_out_per_kind=None,
        min_weight_share=0,
        max_work=1,
        late_policy=LatePolicy.HALT,
        return_signal=ReturnSignal.OPERATOR,
        absent_nodes=(),
        zone_counts={},
        kind_counts={},
        total_weight=0,
    )


def make_rollout(revision, machines):
    return Rollout(revision=revision, plan=make_plan(), phase=RolloutPhase.OPEN, machines=machines)


def certain_until(answered_at):
    """Until when a node is certain that requested a lease at 0 and was answered at `answered_at`."""
    consensus = Consensus(SeededRandom(1), "f", 0, 1, [0], 9, 500)
    component = Maintenance(consensus, "f", 0, 1, 9, make_settings())
    consensus.acceptor.adopt_members(1, [0])
    component.restore(0, {})
    component.request_lease(0)
    answer = LeaseAnswer(number=component.last_number, granted=True, epoch=1, voters=[0])
    component.lease_answered(answered_at, 0, answer)
    return component.lease.certain_until


def test_a_lease_counts_from_when_it_was_requested():
    """An answer may take any time to come.

    Counted from the answer, a lease would outlast the bound by which the driver takes it as ended.
    """
    assert certain_until(10) == certain_until(9_000) == LEASE
    with broken_builds.build("a lease is reckoned from the answer"):
        assert certain_until(9_000) != LEASE


def test_the_bound_covers_any_two_clocks():
    """A node's lease is timed by a slow clock, and the driver that waits for its end has a fast one.

    Without allowing for that, a machine would be reported free while the node still sends to it.
    """
    for drift in (0.0, 0.01, 0.02, 0.2):
        settings = make_settings(drift=drift)
        lease_end = settings.lease / (1 - drift / 2) * (1 + drift / 2)
        assert settings.lease_bound() >= lease_end
        with broken_builds.build("no drift"):
            assert drift == 0 or settings.lease_bound() < lease_end


def test_a_late_confirmation_says_nothing_of_a_machine_that_is_out_anew():
    """An operator's confirmation was repeated after the machine had been taken out a second time.

    It ended the work that was in progress then. It carries the number of the first time, which is compared.
    """
    rollout = make_rollout(9, {"e": MachineStatus(MachineState.FREE, 9, 0)})
    assert commands.confirm_machine_back(rollout, "e", 4).rollout is rollout
    confirmed = commands.confirm_machine_back(rollout, "e", 9).rollout
    assert confirmed.machines["e"].state == MachineState.BACK
    with broken_builds.build("numbers are not compared"):
        assert commands.confirm_machine_back(rollout, "e", 4).rollout is not rollout


def test_a_node_does_not_acknowledge_while_its_attempts_are_open_though_its_disk_is_behind():
    """Simulated round 303578: a request reached a machine that was reported free.

    The node acknowledged what its disk had, whatever was open, when a newer rollout had just come.
    """
    machines = {
        "e4": MachineStatus(MachineState.LEAVING, 18, 0),
        "e5": MachineStatus(MachineState.LEAVING, 20, 0),
    }
    consensus = SimpleNamespace(keys=[], listeners=[], members=[], is_voting=lambda: False, epoch=1)
    component = Maintenance(consensus, "f", 0, 3, 1, make_settings())
    component.rollout = make_rollout(20, machines)
    component.update_exclusions(0)

    def acknowledged_revision(now, persisted_revision):
        return component.exclusions.acknowledged_revision(now, component.rollout, persisted_revision)

    component.open_attempts_reported(10, ["e4"])
    assert acknowledged_revision(20, 18) == 17
    assert acknowledged_revision(DRAIN_GRACE, 18) == 18
    component.open_attempts_reported(30, ["e4", "e5"])
    assert acknowledged_revision(40, 20) == 17
    component.open_attempts_reported(50, ["e5"])
    assert acknowledged_revision(60, 20) == 19


def test_a_rollout_keeps_its_wire_form_and_the_fields_of_a_later_build():
    """While builds run side by side, one that lacks a field must not take it away from the others."""
    plan = make_plan().encode() | {"later": [1]}
    fields = make_rollout(3, {"e": MachineStatus(MachineState.BACK, 2, 77)}).encode() | {
        "plan": plan,
        "new": 5,
    }
    decoded = Rollout.decode(fields)
    assert decoded.encode() == fields
    assert [*decoded.encode()] == ["rev", "plan", "state", "at", "past", "new"]
    assert [*decoded.plan.encode()] == [*plan]
    assert fields["at"] == {"e": ["back", 2, 77]}


def component_with_one_voter():
    consensus = Consensus(SeededRandom(1), "f", 0, 1, [0], 9, 500)
    component = Maintenance(consensus, "f", 0, 1, 9, make_settings())
    consensus.acceptor.adopt_members(1, [0])
    component.restore(0, {})
    return component


def answer_newest_request(component, now):
    answer = LeaseAnswer(number=component.last_number, granted=True, epoch=1, voters=[0])
    component.lease_answered(now, 0, answer)


def view_lines(component):
    actions = [action for action in component.pending_actions if isinstance(action, LogEvent)]
    return [action.fields["sure"] for action in actions if action.event == "view"]


def test_the_age_of_a_view_is_told_also_after_its_lease_is_lost():
    """Operators read the node's uptime in place of the age of what it shows."""
    component = component_with_one_voter()
    assert component.status(5)["as_of_ms"] is None
    component.request_lease(1_000)
    answer_newest_request(component, 1_010)
    assert component.status(2_000)["as_of_ms"] == 100
    component.expire(1_000 + LEASE)
    status = component.status(50_000)
    assert not status["sure"] and status["as_of_ms"] == 4_900


def test_an_answer_that_comes_after_its_lease_is_no_begin_of_one():
    """The log told a view as sure that never was."""
    component = component_with_one_voter()
    component.request_lease(0)
    answer_newest_request(component, LEASE + 10)
    component.expire(LEASE + 10)
    assert view_lines(component) == [] and not component.view_is_certain(LEASE + 10)
    component.request_lease(LEASE + 20)
    answer_newest_request(component, LEASE + 30)
    component.expire(3 * LEASE)
    assert view_lines(component) == [True, False]
