"""What a fleet under maintenance promises, checked from outside.

Each clause names what docs/maintenance.md and docs/agreement.md promise. Nothing of the checked code is used
here, so the wire form of a rollout is read by classes of this module's own.
"""

from collections.abc import Collection
from typing import NamedTuple

from grebedyke.testbed.violations import TimedViolation

# The key of the rollout among the values that the nodes agree on.
ROLLOUT_KEY = "board"
NODE_PREFIX = "node:"
WAITING = "waiting"
LEAVING = "leaving"
FREE = "free"
BACK = "back"
FAILED = "failed"
DONE = "done"
SKIPPED = "skipped"
# A machine in one of these states counts as out, which a plan's `most` limits.
OUT_STATES = {LEAVING, FREE, BACK, FAILED}
# The states that may directly follow each state.
FOLLOWING_STATES = {
    WAITING: {LEAVING, SKIPPED},
    LEAVING: {FREE, SKIPPED},
    FREE: {BACK, FAILED},
    BACK: {DONE, FAILED},
    FAILED: {BACK},
    DONE: set(),
    SKIPPED: set(),
}


class SeenMachine(NamedTuple):
    """Where a machine stands in a rollout.

    Attributes:
        state: A key of `FOLLOWING_STATES`.
        number: Number of the change that brought it there.
    """

    state: str
    number: int


class SeenRollout:
    """A rollout as a node learnt it.

    Attributes:
        wire: The value as it came.
        revision: Its revision.
        plan: The plan's wire form, None where none is open.
        plan_id: The plan's id, None where none is open.
        machines: A `SeenMachine` by name; empty where no plan is open.
        former_plan_ids: Ids of plans that have ended.
    """

    def __init__(self, wire):
        self.wire = wire
        self.revision = wire["rev"]
        self.plan = wire["plan"]
        self.plan_id = self.plan["id"] if self.plan else None
        self.machines = {}
        if self.plan:
            self.machines = {name: SeenMachine(*fields[:2]) for name, fields in wire["at"].items()}
        self.former_plan_ids = [former[0] for former in wire["past"]]

    def machines_out(self):
        """Returns the names of the machines that are out."""
        return [name for name, machine in self.machines.items() if machine.state in OUT_STATES]

    def has_failed(self, name):
        """Returns whether work at a machine has taken too long."""
        return self.machines[name].state == FAILED


class ExecutorStates(NamedTuple):
    """What is true of the executors at a moment, whatever the nodes know.

    Attributes:
        lost: Names of those that have been down for long without a plan.
        warming_up: Names of those that have started a moment ago.
    """

    lost: Collection[str] = ()
    warming_up: Collection[str] = ()


class RolloutSpecification:
    """Holds what was seen of a fleet against what it promises.

    Attributes:
        violations: A `TimedViolation` for each broken promise, in the order in which they were found.
        accepted_plans: By the id of each plan whose acceptance an operator was told: the answer's text, and
            the newest revision known then.
    """

    def __init__(self, executor_count, voters=()):
        """Begins with nothing seen.

        Args:
            executor_count: How many executors the fleet has.
            voters: Numbers of the nodes that vote.
        """
        self.violations = []
        self.accepted_plans = {}
        self._executor_count = executor_count
        self._voter_names = {f"{NODE_PREFIX}{voter}" for voter in voters}
        self._rollouts = {}

    # What was seen.

    def value_learned(self, now, node, key, value, executors):
        """Checks a value that a node has learnt as agreed on.

        Args:
            now: The time, in the unit of the violations' times.
            node: The node that has learnt it.
            key: What it is the value of; only rollouts are checked.
            value: The wire form.
            executors: The `ExecutorStates` when the value was first accepted by any node.
        """
        if key != ROLLOUT_KEY or not value:
            return
        known = self._rollouts.get(value["rev"])
        if known is None:
            known = self._rollouts[value["rev"]] = SeenRollout(value)
        if known.wire != value:
            self._report(now, "one value", f"node {node} has another board {value['rev']} than others")
        if known.wire is value and known.plan:
            self._check_counts(now, known)
            self._check_history(now, known, executors)
            self._check_accepted_plans(now, known)

    def call_answered(self, path, status, text):
        """Notes the answer to an operator's call: a plan that was accepted has to be known from then on."""
        is_acceptance = path.endswith(b"/plan") and isinstance(text, str) and text.startswith("plan ")
        if status == 200 and is_acceptance:
            plan_id = text.split()[1].rstrip(":")
            newest = max(self._rollouts, default=0)
            self.accepted_plans.setdefault(plan_id, (text, newest))

    def attempt_reached_machine_in_work(self, now, node, name):
        """Reports that an attempt has reached an executor at which operators work."""
        self._report(
            now, "free is free", f"a forward of node {node} reached {name}, which is being worked at"
        )

    def round_ended(self, now, states):
        """Checks that all plans have ended after the last fault, and that all nodes agree.

        Args:
            now: The time, in the unit of the violations' times.
            states: The answer of each node to an operator's question for the state of maintenance.
        """
        open_plans = [
            (node, state["plan"], state["state"]) for node, state in enumerate(states) if state["plan"]
        ]
        if open_plans:
            self._report(now, "plans end", f"{open_plans}")
        if len({state["rev"] for state in states}) > 1:
            self._report(now, "one truth", f"{[state['rev'] for state in states]}")
        if not all(state["sure"] for state in states):
            self._report(now, "sure again", f"{[state['sure'] for state in states]}")

    # What is promised.

    def _report(self, now, clause, detail):
        self.violations.append(TimedViolation(now, clause, detail))

    def _check_counts(self, now, rollout):
        """Not more machines are out at once than the plan allows."""
        plan = rollout.plan
        out = rollout.machines_out()
        in_order = [name for name in out if not rollout.has_failed(name)]
        if len(out) > plan["most"] and len(in_order) > plan["most"]:
            self._report(now, "most out", f"board {rollout.revision} has {len(out)} out of {plan['most']}")
        if len(self._voter_names.intersection(in_order)) > 1:
            self._report(now, "one voter at a time", f"board {rollout.revision}: {out}")
        # A node as a machine has neither zone nor kind.
        executors = [name for name in in_order if not name.startswith(NODE_PREFIX)]
        for limit, position in (("most_zone", 0), ("most_kind", 1)):
            groups = [plan["machines"][name][position] for name in executors]
            if plan[limit] and any(groups.count(group) > plan[limit] for group in groups):
                self._report(now, limit, f"board {rollout.revision}: {out}")

    def _check_history(self, now, rollout, executors):
        """Machines move as stated since each earlier revision of the same plan."""
        earlier = [revision for revision in sorted(self._rollouts) if revision < rollout.revision]
        for revision in earlier:
            previous = self._rollouts[revision]
            if previous.plan_id != rollout.plan_id:
                continue
            if revision == earlier[-1]:
                self._check_step(now, previous, rollout, executors)
            for name, machine in rollout.machines.items():
                self._check_move(now, name, previous.machines[name], machine)

    def _check_move(self, now, name, before, after):
        """A machine's number only grows with its state, and its states follow each other as stated."""
        has_changed = after.state != before.state
        if after.number < before.number or after.number == before.number and has_changed:
            moves = f"{name}: {before.state} {before.number}, then {after.state} {after.number}"
            self._report(now, "numbers grow", moves)
        elif has_changed and not is_reachable(before.state, after.state):
            self._report(now, "order of states", f"{name}: {before.state}, then {after.state}")

    def _check_step(self, now, previous, rollout, executors):
        """Checks what came about between a revision and the next one seen."""
        changed = [
            name
            for name, machine in rollout.machines.items()
            if previous.machines[name].state != machine.state
        ]
        for name in changed:
            if rollout.machines[name].state == DONE and name in executors.warming_up:
                self._report(now, "warm before the next", f"{name} is done and came up a moment ago")
        out = rollout.machines_out()
        lost = [name for name in executors.lost if name not in out]
        # Executors that were lost before the plan was given are unknown to it.
        expected = sum(rollout.plan["zones"].values())
        lost_since = min(len(lost), max(expected - (self._executor_count - len(lost)), 0))
        is_any_leaving = any(rollout.machines[name].state == LEAVING for name in changed)
        if is_any_leaving and lost_since and len(out) + lost_since > rollout.plan["most"]:
            self._report(
                now,
                "losses count",
                f"{out} are out and {lost_since} lost, {rollout.plan['most']} at most",
            )

    def _check_accepted_plans(self, now, rollout):
        """A plan that an operator was told of as accepted is known from then on."""
        known = [rollout.plan_id, *rollout.former_plan_ids]
        for plan_id, (_, newest) in self.accepted_plans.items():
            if rollout.revision >= newest and plan_id not in known:
                self._report(
                    now,
                    "told is kept",
                    f"plan {plan_id} was told as taken and is not in board {rollout.revision}",
                )


def is_reachable(state, later_state):
    """Returns whether a state may follow another one, over any number of steps.

    >>> is_reachable(WAITING, DONE), is_reachable(DONE, WAITING)
    (True, False)
    """
    reached = {state}
    unexplored = [state]
    while unexplored:
        for following in FOLLOWING_STATES[unexplored.pop()]:
            if following not in reached:
                reached.add(following)
                unexplored.append(following)
    return later_state in reached
