"""The operator API below /v1/maintenance: parsing of calls and the status answer. No I/O."""

from typing import NamedTuple

from grebedyke.maintenance.commands import RolloutCommand
from grebedyke.units import TICKS_PER_MILLISECOND

CALL_PATH = b"/v1/maintenance"
NO_MAJORITY = "no majority of the voters answers; it may come about all the same, asking again is harmless"
NO_SUCH_CALL = "no such call"


class ShowStatus(NamedTuple):
    """Show the progress of the rollout."""


class SubmitPlan(NamedTuple):
    """Start a plan.

    Attributes:
        body: The plan as written by the operators.
    """

    body: dict | None


class ControlRollout(NamedTuple):
    """Pause, resume or abort the plan in force.

    Attributes:
        command: The command.
    """

    command: RolloutCommand


class ConfirmBack(NamedTuple):
    """Confirm that the work on a machine is finished.

    Attributes:
        name: The machine.
        number: The status number under which it was reported free.
    """

    name: str
    number: int


OperatorCall = ShowStatus | SubmitPlan | ControlRollout | ConfirmBack


def parse_call(method, path, body):
    """Returns the `OperatorCall` for a request, or None if the call does not exist."""
    match method, path.decode("latin-1").strip("/").split("/")[2:]:
        case b"GET", []:
            return ShowStatus()
        case b"POST", ["plan"]:
            return SubmitPlan(body)
        case b"POST", ["pause" | "go" | "abort" as command]:
            return ControlRollout(RolloutCommand(command))
        case b"POST", ["back", name, number] if number.isdecimal():
            return ConfirmBack(name, int(number))
    return None


def describe_status(now, rollout, lease, unacknowledged_nodes):
    """Returns the JSON answer to `ShowStatus`.

    Args:
        now: The node's clock, in ticks.
        rollout: The node's view of the rollout.
        lease: The node's `ViewLease`; `as_of_ms` is the time since the view was last known to be the newest.
        unacknowledged_nodes: The nodes whose acknowledgement the rollout waits for.
    """
    newest_since = lease.newest_since
    return {
        "rev": rollout.revision,
        "plan": rollout.plan.id if rollout.plan else None,
        "state": rollout.phase.value if rollout.phase else None,
        "sure": lease.is_certain(now),
        "as_of_ms": None if newest_since is None else (now - newest_since) // TICKS_PER_MILLISECOND,
        "machines": [
            {"name": name, "state": status.state.value, "number": status.number}
            for name, status in rollout.machines.items()
        ],
        "past": [{"plan": past.id, "state": past.outcome.value} for past in rollout.past_plans],
        "waits_for": unacknowledged_nodes,
    }
