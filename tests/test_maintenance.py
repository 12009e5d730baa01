"""Unit tests of the maintenance component: leases on the view, acknowledgements and operator commands."""

from types import SimpleNamespace

from grebedyke.consensus.actions import LogEvent
from grebedyke.consensus.consensus import Consensus
from grebedyke.maintenance import commands
from grebedyke.maintenance.component import Maintenance
from grebedyke.maintenance.exclusions import Exclusions
from grebedyke.maintenance.messages import LeaseAnswer
from grebedyke.maintenance.plan import LatePolicy, Plan, ReturnSignal
from grebedyke.maintenance.rollout import MachineState, MachineStatus, Rollout, RolloutPhase
from grebedyke.maintenance.settings import MaintenanceSettings
from grebedyke.model.exclusion_lease import ExclusionLease
from grebedyke.model.seeded_random import SeededRandom
from grebedyke.testbed import broken_builds

# Times in ticks.
LEASE = 10_000
DRAIN_GRACE = 5_000


def make_settings(**changes):
    values = {
        "lease": LEASE,
        "drift": 0.02,
        "drain_grace": DRAIN_GRACE,
        "warm_up_time": 10_000,
        "idempotency_window": 0,
        "idempotency_groups": (),
        "trust_stored_view_after": None,
    }
    return MaintenanceSettings(**values | changes)


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
    """Returns the end of a lease that was requested at 0 and granted at `answered_at`."""
    consensus = Consensus(SeededRandom(1), "f", 0, 1, [0], 9, 500)
    component = Maintenance(consensus, "f", 0, 1, 9, make_settings())
    consensus.acceptor.adopt_members(1, [0])
    component.restore(0, {})
    component.request_lease(0)
    answer = LeaseAnswer(number=component.last_number, granted=True, epoch=1, voters=[0])
    component.lease_answered(answered_at, 0, answer)
    return component.lease.certain_until


def test_a_lease_starts_at_its_request():
    """The answer to a lease request may be delayed for any time.

    If the lease started at the answer, it could outlast the time after which the driver considers it expired.
    """
    assert certain_until(10) == certain_until(9_000) == LEASE
    with broken_builds.build("a lease is reckoned from the answer"):
        assert certain_until(9_000) != LEASE


def test_the_lease_bound_covers_clock_drift():
    """A node times its lease with a slow clock, and the driver waits for its end with a fast one.

    If the bound ignored the drift, a machine would be reported free while the node still sends to it.
    """
    for drift in (0.0, 0.01, 0.02, 0.2):
        settings = make_settings(drift=drift)
        lease_end = settings.lease / (1 - drift / 2) * (1 + drift / 2)
        assert settings.lease_bound() >= lease_end
        with broken_builds.build("no drift"):
            assert drift == 0 or settings.lease_bound() < lease_end


def test_a_delayed_confirmation_does_not_end_later_work():
    """A confirmation was sent again after the machine had been taken out a second time.

    It ended the new work on the machine. A confirmation is now rejected if its status number is outdated.
    """
    rollout = make_rollout(9, {"e": MachineStatus(MachineState.FREE, 9, 0)})
    assert commands.confirm_machine_back(rollout, "e", 4).rollout is rollout
    confirmed = commands.confirm_machine_back(rollout, "e", 9).rollout
    assert confirmed.machines["e"].state == MachineState.BACK
    with broken_builds.build("numbers are not compared"):
        assert commands.confirm_machine_back(rollout, "e", 4).rollout is not rollout


def test_an_open_attempt_holds_back_the_acknowledgement_if_the_disk_is_behind():
    """Simulated trial 303578: a request reached a machine that was reported free.

    When a newer rollout had just arrived, the node acknowledged the older revision on its disk without
    checking for open attempts.
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


def test_exclusion_lease_ends_with_the_view_lease_and_names_all_that_may_be_taken_out():
    consensus = SimpleNamespace(keys=[], listeners=[], members=[], is_voting=lambda: False, epoch=1)
    component = Maintenance(consensus, "f", 0, 3, 1, make_settings())
    assert component.exclusion_lease() == ExclusionLease(0, (), True)
    machines = {
        "e4": MachineStatus(MachineState.WAITING, 18, 0),
        "e5": MachineStatus(MachineState.DONE, 20, 0),
        "e6": MachineStatus(MachineState.FREE, 20, 0),
    }
    component.rollout = make_rollout(20, machines)
    component.lease.certain_until = 500
    assert component.exclusion_lease() == ExclusionLease(500, ("e4", "e6"), False)


def test_acknowledgement_waits_for_another_process_of_the_node_beyond_the_drain_grace():
    """A hot restart: a process that stands still may send attempts when it goes on."""
    exclusions = Exclusions(DRAIN_GRACE)
    rollout = make_rollout(20, {"e4": MachineStatus(MachineState.LEAVING, 18, 0)})
    exclusions.update(0, rollout, is_certain=True, all_others=False)
    assert exclusions.update_open_names([], ["e4"])
    assert exclusions.acknowledged_revision(10 * DRAIN_GRACE, rollout, 20) == 17
    assert exclusions.update_open_names(["e4"], [])
    assert exclusions.acknowledged_revision(10 * DRAIN_GRACE, rollout, 20) == 20


def test_a_rollout_keeps_its_wire_form_and_unknown_fields():
    """Nodes of two versions run side by side: an older one must not drop fields that are unknown to it."""
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


def logged_view_events(component):
    actions = [action for action in component.pending_actions if isinstance(action, LogEvent)]
    return [action.fields["sure"] for action in actions if action.event == "view"]


def test_the_status_shows_the_age_of_a_view_after_its_lease_is_lost():
    """The status showed the uptime of the node instead of the age of its view."""
    component = component_with_one_voter()
    assert component.status(5)["as_of_ms"] is None
    component.request_lease(1_000)
    answer_newest_request(component, 1_010)
    assert component.status(2_000)["as_of_ms"] == 100
    component.expire(1_000 + LEASE)
    status = component.status(50_000)
    assert not status["sure"] and status["as_of_ms"] == 4_900


def test_an_answer_after_the_end_of_its_lease_does_not_start_the_lease():
    """The log reported a view as certain although its lease had already expired."""
    component = component_with_one_voter()
    component.request_lease(0)
    answer_newest_request(component, LEASE + 10)
    component.expire(LEASE + 10)
    assert logged_view_events(component) == [] and not component.view_is_certain(LEASE + 10)
    component.request_lease(LEASE + 20)
    answer_newest_request(component, LEASE + 30)
    component.expire(3 * LEASE)
    assert logged_view_events(component) == [True, False]
