"""The rollout: the plan in force and the state of each of its machines, replicated as one value.

A rollout is immutable: each change creates a new one with a higher revision.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from enum import StrEnum
from typing import NamedTuple

from grebedyke.maintenance.plan import Plan

CONSENSUS_KEY = "board"  # The rollout's register in consensus.
WIRE_KEYS = ("rev", "plan", "state", "at", "past")
PAST_PLANS_KEPT = 16  # Kept so that a plan that is submitted again after its end does not start again.


class MachineState(StrEnum):
    """The state of one machine of the plan; wire values.

    Attributes:
        WAITING: In use, to be taken out later.
        LEAVING: Draining: it gets no new attempts, but nodes may still have attempts in flight there.
        FREE: Drained: no node sends to it, and the operators may work on it.
        BACK: The work is finished; the machine is in use but counts as out until it has warmed up.
        DONE: In use again and warmed up.
        FAILED: The work takes longer than planned.
        SKIPPED: The plan was aborted before the machine was free.
    """

    WAITING = "waiting"
    LEAVING = "leaving"
    FREE = "free"
    BACK = "back"
    DONE = "done"
    FAILED = "failed"
    SKIPPED = "skipped"


class RolloutPhase(StrEnum):
    """The phase of the whole plan; wire values.

    Attributes:
        ANNOUNCED: Not all nodes have the plan on disk yet.
        OPEN: Machines are taken out.
        PAUSED: An operator paused the plan: no further machine is taken out.
        HALTED: Work on a machine takes longer than planned: no further machine is taken out.
        ABORTING: An operator aborted the plan: it ends once the machines that are out are done or failed.
    """

    ANNOUNCED = "announced"
    OPEN = "open"
    PAUSED = "paused"
    HALTED = "halted"
    ABORTING = "aborting"


class PlanOutcome(StrEnum):
    """The outcome of a past plan; wire values."""

    ENDED = "ended"
    ABORTED = "aborted"


ENDED_STATES = (MachineState.DONE, MachineState.FAILED, MachineState.SKIPPED)
# The states that the plan's limits count as out.
COUNTED_AS_OUT = (MachineState.LEAVING, MachineState.FREE, MachineState.BACK, MachineState.FAILED)
# The states of machines that no node may use.
EXCLUDED_STATES = (MachineState.LEAVING, MachineState.FREE, MachineState.FAILED)
# The same for a node whose view may be outdated: a machine that waits in its view may already be out.
EXCLUDED_STATES_IF_UNCERTAIN = (MachineState.WAITING, *EXCLUDED_STATES)


class MachineStatus(NamedTuple):
    """The state of one machine with its version; the fields are in wire order.

    Attributes:
        state: The state.
        number: The rollout's revision that set the state; operators refer to it to confirm the work.
        incarnation: Identifies the process that ran when the machine was taken out: the start time of an
            executor in the endpoint list, or a node's process number; 0 before it is taken out.
    """

    state: MachineState
    number: int
    incarnation: int


class StatusKey(NamedTuple):
    """Identifies one status of one machine, so that evidence about an earlier status is not applied later.

    Attributes:
        name: The machine.
        number: The number of its status.
    """

    name: str
    number: int


class PastPlan(NamedTuple):
    """A plan that has ended; the fields are in wire order.

    Attributes:
        id: Its id.
        outcome: Its outcome.
        content_digest: Hash of the operators' input.
    """

    id: str
    outcome: PlanOutcome
    content_digest: str


@dataclass(frozen=True, slots=True)
class Rollout:
    """The replicated value.

    Attributes:
        revision: Increases with each change; 0 before the first plan.
        plan: The plan in force, or None.
        phase: The phase of this plan, or None.
        machines: Status of each of the plan's machines, by name, in the plan's order.
        past_plans: Plans that have ended, newest first.
        unknown_fields: Wire fields added by a newer version, passed on unchanged.
    """

    revision: int = 0
    plan: Plan | None = None
    phase: RolloutPhase | None = None
    machines: Mapping[str, MachineStatus] = field(default_factory=dict)
    past_plans: tuple[PastPlan, ...] = ()
    unknown_fields: Mapping = field(default_factory=dict)

    @classmethod
    def decode(cls, fields):
        """Returns the rollout of the wire form `fields`; None stands for the initial rollout.

        Raises:
            KeyError: A field is missing.
            TypeError: A field has a wrong type.
            ValueError: A field has a value that is unknown to this version.
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
        """Returns the wire form: plain dicts and lists, with the keys in a fixed order."""
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
        """Returns the next revision with these attributes changed."""
        return replace(self, revision=self.revision + 1, **changes)

    def with_machine(self, name, state, incarnation=None):
        """Returns the next revision with the machine in `state`; an incarnation of None is left unchanged."""
        before = self.machines[name]
        status = MachineStatus(
            state=state,
            number=self.revision + 1,
            incarnation=before.incarnation if incarnation is None else incarnation,
        )
        return self.changed(machines={**self.machines, name: status})

    def machines_in(self, states):
        """Returns the names of the machines in one of these states, in the plan's order."""
        return [name for name, status in self.machines.items() if status.state in states]
