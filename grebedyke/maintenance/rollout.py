"""The rollout: the plan in force and how far each of its machines is. The nodes agree on it as one value.

A rollout is never changed in place: each change makes the next one, with a revision that only grows.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from enum import StrEnum
from typing import NamedTuple

from grebedyke.maintenance.plan import Plan

CONSENSUS_KEY = "board"  # Names the rollout among the values that the nodes agree on.
WIRE_KEYS = ("rev", "plan", "state", "at", "past")
PAST_PLANS_KEPT = 16  # Remembered, so that a call that is repeated late is still the same call.


class MachineState(StrEnum):
    """How far one machine of the plan is; values as on the wire.

    Attributes:
        WAITING: In use, to be taken out later.
        LEAVING: Gets nothing new; some node may still have attempts in flight there.
        FREE: No node sends to it: the operators may work on it.
        BACK: The work is over; it is used again and counts as out until it has warmed up.
        DONE: Back and warmed up.
        FAILED: The work takes longer than planned.
        SKIPPED: It was not out yet when the plan was aborted.
    """

    WAITING = "waiting"
    LEAVING = "leaving"
    FREE = "free"
    BACK = "back"
    DONE = "done"
    FAILED = "failed"
    SKIPPED = "skipped"


class RolloutPhase(StrEnum):
    """Where the plan as a whole is; values as on the wire.

    Attributes:
        ANNOUNCED: Not all nodes have it on their disks yet.
        OPEN: Machines are taken out.
        PAUSED: No further machine is taken out, by an operator's command.
        HALTED: The same, since work on a machine takes longer than planned.
        ABORTING: The same, and the plan ends once those that are out have come back.
    """

    ANNOUNCED = "announced"
    OPEN = "open"
    PAUSED = "paused"
    HALTED = "halted"
    ABORTING = "aborting"


class PlanOutcome(StrEnum):
    """How a past plan ended; values as on the wire."""

    ENDED = "ended"
    ABORTED = "aborted"


ENDED_STATES = (MachineState.DONE, MachineState.FAILED, MachineState.SKIPPED)
# What the plan's limits count as out.
COUNTED_AS_OUT = (MachineState.LEAVING, MachineState.FREE, MachineState.BACK, MachineState.FAILED)
# Machines that no node may use.
EXCLUDED_STATES = (MachineState.LEAVING, MachineState.FREE, MachineState.FAILED)
# Those that a node whose view may be old does not use: a machine that waits there may be out by now.
EXCLUDED_STATES_WHEN_UNSURE = (MachineState.WAITING, *EXCLUDED_STATES)


class MachineStatus(NamedTuple):
    """The state of one machine; the fields are in the order of the wire.

    Attributes:
        state: The state.
        number: The rollout's revision that brought the state; operators confirm work by it.
        incarnation: Which start of the machine's process was taken out: its start time in the endpoint list,
            a node's process number; 0 before it is taken out.
    """

    state: MachineState
    number: int
    incarnation: int


class StatusKey(NamedTuple):
    """Names one status of one machine, so that evidence about an earlier status says nothing of a later one.

    Attributes:
        name: The machine.
        number: The number of its status.
    """

    name: str
    number: int


class PastPlan(NamedTuple):
    """A plan that has ended; the fields are in the order of the wire.

    Attributes:
        id: Its id.
        outcome: How it ended.
        content_digest: Hash of what the operators wrote.
    """

    id: str
    outcome: PlanOutcome
    content_digest: str


@dataclass(frozen=True, slots=True)
class Rollout:
    """What the nodes agree on.

    Attributes:
        revision: Grows with each change; 0 before the first plan.
        plan: The plan in force, None where there is none.
        phase: Where the plan is, None where there is none.
        machines: Status of each of the plan's machines, by name, in the plan's order.
        past_plans: Plans that have ended, the newest first.
        unknown_fields: Wire fields of a later build, handed on as they came.
    """

    revision: int = 0
    plan: Plan | None = None
    phase: RolloutPhase | None = None
    machines: Mapping[str, MachineStatus] = field(default_factory=dict)
    past_plans: tuple[PastPlan, ...] = ()
    unknown_fields: Mapping = field(default_factory=dict)

    @classmethod
    def decode(cls, fields):
        """Returns the rollout of the wire form `fields`; None is what nobody has changed yet.

        Raises:
            KeyError: A field is missing.
            TypeError: A field is of another type.
            ValueError: A field has a value that this build does not know.
        """
        if not fields:
            return cls()
        plan = fields["plan"]
        phase = fields["state"]
        return cls(
            revision=fields["rev"],
            plan=Plan.decode(plan) if plan else None,
            phase=None if phase is None else RolloutPhase(phase),
            machines={
                name: MachineStatus(MachineState(state), number, incarnation)
                for name, (state, number, incarnation) in fields["at"].items()
            },
            past_plans=tuple(
                PastPlan(plan_id, PlanOutcome(outcome), content_digest)
                for plan_id, outcome, content_digest in fields["past"]
            ),
            unknown_fields={key: value for key, value in fields.items() if key not in WIRE_KEYS},
        )

    def encode(self):
        """Returns the wire form: plain dicts and lists, the keys always in the same order."""
        return {
            "rev": self.revision,
            "plan": self.plan.encode() if self.plan else None,
            "state": self.phase.value if self.phase else None,
            "at": {
                name: [status.state.value, status.number, status.incarnation]
                for name, status in self.machines.items()
            },
            "past": [[past.id, past.outcome.value, past.content_digest] for past in self.past_plans],
            **self.unknown_fields,
        }

    def changed(self, **changes):
        """Returns the next revision, with these attributes changed."""
        return replace(self, revision=self.revision + 1, **changes)

    def with_machine(self, name, state, incarnation=None):
        """Returns the next revision, with that machine in `state`; an incarnation of None stays as it was."""
        before = self.machines[name]
        status = MachineStatus(
            state=state,
            number=self.revision + 1,
            incarnation=before.incarnation if incarnation is None else incarnation,
        )
        return self.changed(machines={**self.machines, name: status})

    def machines_in(self, states):
        """Returns the names of the machines that are in one of these states, in the plan's order."""
        return [name for name, status in self.machines.items() if status.state in states]
