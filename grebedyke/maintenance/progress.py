"""Advances a rollout based on the evidence of a voter, as pure functions. No I/O.

They run inside a consensus proposal, on the value that a majority accepted last. Evidence identifies the
status that it refers to, so evidence that is older than this value, or applied twice, does no harm.
"""

from typing import NamedTuple

from grebedyke.maintenance.limits import next_machine_out
from grebedyke.maintenance.plan import LatePolicy
from grebedyke.maintenance.rollout import (
    ENDED_STATES,
    PAST_PLANS_KEPT,
    MachineState,
    PastPlan,
    PlanOutcome,
    Rollout,
    RolloutPhase,
    StatusKey,
)


class Transition(NamedTuple):
    """A state transition of a machine.

    Attributes:
        source: The state before.
        evidence: The attribute of `Evidence` that has to contain the machine's status key.
        target: The state after.
    """

    source: MachineState
    evidence: str
    target: MachineState


# If more than one transition applies, the first one is used.
TRANSITIONS = (
    Transition(MachineState.LEAVING, "drained", MachineState.FREE),
    Transition(MachineState.FREE, "restarted", MachineState.BACK),
    Transition(MachineState.FREE, "overdue", MachineState.FAILED),
    Transition(MachineState.BACK, "warmed_up", MachineState.DONE),
    Transition(MachineState.BACK, "overdue", MachineState.FAILED),
    Transition(MachineState.FAILED, "restarted", MachineState.BACK),
)


def advance(rollout, evidence):
    """Returns the rollout after all changes that the evidence allows; the same object if there are none."""
    if rollout.plan is None:
        return rollout
    if rollout.phase == RolloutPhase.ANNOUNCED and evidence.plan_is_known:
        rollout = rollout.changed(phase=RolloutPhase.OPEN)
    rollout = _advance_machines(rollout, evidence)
    if rollout.phase == RolloutPhase.OPEN:
        rollout = _take_machines_out(rollout, evidence)
    if all(status.state in ENDED_STATES for status in rollout.machines.values()):
        rollout = _end_plan(rollout)
    return rollout


def _advance_machines(rollout, evidence):
    """Advances each machine by at most one state."""
    for name, status in rollout.machines.items():
        state = _next_state(status.state, StatusKey(name, status.number), evidence)
        if state is None:
            continue
        rollout = rollout.with_machine(name, state)
        halts = state == MachineState.FAILED and rollout.plan.late_policy == LatePolicy.HALT
        if halts and rollout.phase == RolloutPhase.OPEN:
            rollout = rollout.changed(phase=RolloutPhase.HALTED)
    return rollout


def _next_state(state, status_key, evidence):
    """Returns the next state of a machine according to the evidence, or None if it does not change."""
    for transition in TRANSITIONS:
        if transition.source == state and status_key in getattr(evidence, transition.evidence):
            return transition.target
    return None


def _take_machines_out(rollout, evidence):
    """Takes out as many machines as the order and the limits allow."""
    while (name := next_machine_out(rollout, evidence)) is not None:
        incarnation = evidence.incarnations.get(name, 0)
        rollout = rollout.with_machine(name, MachineState.LEAVING, incarnation)
    return rollout


def _end_plan(rollout):
    """Moves the plan to the past plans."""
    aborted = rollout.phase == RolloutPhase.ABORTING
    outcome = PlanOutcome.ABORTED if aborted else PlanOutcome.ENDED
    past = PastPlan(rollout.plan.id, outcome, rollout.plan.content_digest)
    past_plans = (past, *rollout.past_plans)[:PAST_PLANS_KEPT]
    return rollout.changed(plan=None, phase=None, machines={}, past_plans=past_plans)


def advance_wire_form(fields, evidence):
    """Applies `advance` to the wire form of a rollout; returns the same object if nothing changes."""
    before = Rollout.decode(fields)
    after = advance(before, evidence)
    return fields if after is before else after.encode()
