"""Operator commands as pure functions from one rollout to the next. No I/O.

A command runs inside a consensus proposal, on the value that a majority accepted last. A proposal that is
retried runs the command again, so commands have to be idempotent.
"""

from enum import StrEnum
from typing import NamedTuple

from grebedyke.maintenance.rollout import MachineState, MachineStatus, Rollout, RolloutPhase


class RolloutCommand(StrEnum):
    """A command that changes the phase of the whole plan; the values appear in the path of the API call."""

    PAUSE = "pause"
    RESUME = "go"
    ABORT = "abort"


# The phase that each command puts the plan in.
TARGET_PHASES = {
    RolloutCommand.PAUSE: RolloutPhase.PAUSED,
    RolloutCommand.RESUME: RolloutPhase.OPEN,
    RolloutCommand.ABORT: RolloutPhase.ABORTING,
}


class CommandResult(NamedTuple):
    """The result of a command.

    Attributes:
        rollout: The rollout after the command; the same object if the command changed nothing.
        text: A one-line message for the operator.
        refused: Whether the command was rejected.
    """

    rollout: Rollout
    text: str
    refused: bool = False


def apply_to_wire_form(command, fields):
    """Runs a command on the wire form of a rollout.

    Args:
        command: Called with the rollout; returns a `CommandResult`.
        fields: The wire form; None if no rollout has been proposed yet.

    Returns:
        The wire form after the command (the same object if nothing changed) and the `CommandResult`.
    """
    before = Rollout.decode(fields)
    result = command(before)
    is_unchanged = fields and result.rollout is before
    return (fields if is_unchanged else result.rollout.encode()), result


def _refusal(rollout, reason):
    """Returns the result of a rejected command."""
    return CommandResult(rollout, f"refused: {reason}", refused=True)


def accept_plan(rollout, plan):
    """Starts a plan. Submitting a current or past plan again only reports its state."""
    for past in rollout.past_plans:
        if past.id == plan.id:
            if past.content_digest != plan.content_digest:
                return _refusal(rollout, f"another plan was called {past.id}")
            return CommandResult(rollout, f"plan {past.id}: {past.outcome}")
    current = rollout.plan
    if current is not None:
        if current.id != plan.id:
            return _refusal(rollout, f"plan {current.id} is {rollout.phase}")
        if current.content_digest != plan.content_digest:
            return _refusal(rollout, f"another plan is called {plan.id}")
        return CommandResult(rollout, f"plan {plan.id}: {rollout.phase}")
    status = MachineStatus(MachineState.WAITING, number=rollout.revision + 1, incarnation=0)
    announced = rollout.changed(
        plan=plan,
        phase=RolloutPhase.ANNOUNCED,
        machines=dict.fromkeys(plan.order, status),
    )
    return CommandResult(announced, f"plan {plan.id}: {announced.phase}")


def apply_command(rollout, command):
    """Pauses, resumes or aborts the plan in force."""
    if rollout.plan is None:
        return _refusal(rollout, "there is no plan")
    plan_id = rollout.plan.id
    target = TARGET_PHASES[command]
    if rollout.phase == target:
        return CommandResult(rollout, f"plan {plan_id}: {rollout.phase}")
    if rollout.phase == RolloutPhase.ABORTING:
        return _refusal(rollout, "the plan is being aborted")
    if rollout.phase == RolloutPhase.ANNOUNCED and command != RolloutCommand.ABORT:
        return _refusal(rollout, f"plan {plan_id} is {rollout.phase}, not all nodes know it")
    if command == RolloutCommand.ABORT:
        for name in rollout.machines_in((MachineState.WAITING, MachineState.LEAVING)):
            rollout = rollout.with_machine(name, MachineState.SKIPPED)
    return CommandResult(rollout.changed(phase=target), f"plan {plan_id}: {target}")


def confirm_machine_back(rollout, name, number):
    """Records an operator's confirmation that the work on a machine is finished.

    Args:
        rollout: The rollout.
        name: The machine.
        number: The status number under which the machine was reported free. A delayed confirmation that
            arrives after the machine was taken out again carries an older number and does not end the
            current work.
    """
    status = rollout.machines.get(name)
    if status is None:
        return _refusal(rollout, "no such machine in the plan")
    if number == status.number and status.state in (MachineState.FREE, MachineState.FAILED):
        return CommandResult(
            rollout.with_machine(name, MachineState.BACK),
            f"{name}: {MachineState.BACK}",
        )
    if number < status.number:
        return CommandResult(rollout, f"{name}: {status.state} since number {status.number}")
    return _refusal(rollout, f"{name} is {status.state} by number {status.number}")
