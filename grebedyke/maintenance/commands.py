"""What operators want of the rollout: functions from one rollout to the next. No I/O.

They run within a proposal, on the value that a majority has accepted last, and may run again there.
"""

from enum import StrEnum
from typing import NamedTuple

from grebedyke.maintenance.rollout import MachineState, MachineStatus, Rollout, RolloutPhase


class RolloutCommand(StrEnum):
    """A command about the plan as a whole; values as in the path of the call."""

    PAUSE = "pause"
    RESUME = "go"
    ABORT = "abort"


# The phase that each command leads to.
COMMANDED_PHASES = {
    RolloutCommand.PAUSE: RolloutPhase.PAUSED,
    RolloutCommand.RESUME: RolloutPhase.OPEN,
    RolloutCommand.ABORT: RolloutPhase.ABORTING,
}


class CommandResult(NamedTuple):
    """What became of a command.

    Attributes:
        rollout: The rollout after it; the same object where the command changed nothing.
        text: One line for the operator.
        refused: Whether the command cannot be obeyed.
    """

    rollout: Rollout
    text: str
    refused: bool = False


def run_on_value(command, fields):
    """Runs a command on the wire form of a rollout.

    Args:
        command: Called with the rollout; returns a `CommandResult`.
        fields: The wire form, None where nobody has proposed a rollout yet.

    Returns:
        The wire form after the command, the same object where nothing changes, and the `CommandResult`.
    """
    before = Rollout.decode(fields)
    result = command(before)
    is_unchanged = fields and result.rollout is before
    return (fields if is_unchanged else result.rollout.encode()), result


def _refusal(rollout, reason):
    """Returns the result of a command that is refused."""
    return CommandResult(rollout, f"refused: {reason}", refused=True)


def accept_plan(rollout, plan):
    """Puts a plan in force; a plan that is in force or past already is confirmed and nothing else."""
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


def obey_command(rollout, command):
    """Pauses, resumes or aborts the plan in force."""
    if rollout.plan is None:
        return _refusal(rollout, "there is no plan")
    plan_id = rollout.plan.id
    wanted = COMMANDED_PHASES[command]
    if rollout.phase == wanted:
        return CommandResult(rollout, f"plan {plan_id}: {rollout.phase}")
    if rollout.phase == RolloutPhase.ABORTING:
        return _refusal(rollout, "the plan is being aborted")
    if rollout.phase == RolloutPhase.ANNOUNCED and command != RolloutCommand.ABORT:
        return _refusal(rollout, f"plan {plan_id} is {rollout.phase}, not all nodes know it")
    if command == RolloutCommand.ABORT:
        for name in rollout.machines_in((MachineState.WAITING, MachineState.LEAVING)):
            rollout = rollout.with_machine(name, MachineState.SKIPPED)
    return CommandResult(rollout.changed(phase=wanted), f"plan {plan_id}: {wanted}")


def confirm_machine_back(rollout, name, number):
    """Takes the operators' word that work on a machine is over.

    Args:
        rollout: The rollout.
        name: The machine.
        number: The number under which they were told that it is free. A confirmation that comes late, when
            the machine is out anew, carries the old number and says nothing about the work in progress.
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
