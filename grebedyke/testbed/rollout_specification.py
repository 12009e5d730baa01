"""The guarantees of a fleet under maintenance, checked from outside.

Each clause is the name of a guarantee in docs/maintenance.md or docs/agreement.md. The checks use none of the
checked code, so this module has its own classes that parse the wire form of a rollout.
"""

from collections.abc import Collection
from typing import NamedTuple

from grebedyke.testbed.violations import TimedViolation

# The key under which the nodes agree on the rollout.
ROLLOUT_KEY = "board"
NODE_PREFIX = "node:"
WAITING = "waiting"
LEAVING = "leaving"
FREE = "free"
BACK = "back"
FAILED = "failed"
DONE = "done"
SKIPPED = "skipped"
# The states in which a machine counts as out; a plan's `most` limits the number of such machines.
OUT_STATES = {LEAVING, FREE, BACK, FAILED}
# For each state, the states that may directly follow it.
FOLLOWING_STATES = {
    WAITING: {LEAVING, SKIPPED},
    LEAVING: {FREE, SKIPPED},
    FREE: {BACK, FAILED},
    BACK: {DONE, FAILED},
    FAILED: {BACK},
    DONE: set(),
    SKIPPED: set(),
}


class ObservedMachine(NamedTuple):
    """The status of a machine in a rollout.

    Attributes:
        state: A key of `FOLLOWING_STATES`.
        number: The status number: the number of the change that led to this state.
    """

    state: str
    number: int


class ObservedRollout:
    """A rollout as a node has learned it.

    Attributes:
        wire_form: The wire form.
        revision: The revision.
        plan: The wire form of the open plan; None if no plan is open.
        plan_id: The id of the open plan; None if no plan is open.
        machines: An `ObservedMachine` by name; empty if no plan is open.
        ended_plan_ids: Ids of plans that have ended.
    """

    def __init__(self, wire_form):
        self.wire_form = wire_form
        self.revision = wire_form["rev"]
        self.plan = wire_form["plan"]
        self.plan_id = self.plan["id"] if self.plan else None
        self.machines = {}
        if self.plan:
            self.machines = {name: ObservedMachine(*fields[:2]) for name, fields in wire_form["at"].items()}
        self.ended_plan_ids = [former[0] for former in wire_form["past"]]

    def machines_out(self):
        """Returns the names of the machines that are out."""
        return [name for name, machine in self.machines.items() if machine.state in OUT_STATES]

    def has_failed(self, name):
        """Returns whether work on a machine has taken too long."""
        return self.machines[name].state == FAILED


class ExecutorStates(NamedTuple):
    """The true state of the executors, which the nodes may not know yet.

    Attributes:
        lost: Names of executors that have long been down without planned work.
        warming_up: Names of executors that have just started and are still warming up.
    """

    lost: Collection[str] = ()
    warming_up: Collection[str] = ()


class RolloutSpecification:
    """Checks observations of a fleet against its guarantees.

    Attributes:
        violations: A `TimedViolation` for each violated clause, in the order of detection.
        accepted_plans: For each plan whose acceptance was confirmed to an operator, by plan id: the text of
            the answer, and the newest revision known at that time.
    """

    def __init__(self, executor_count, voters=()):
        """Starts without observations.

        Args:
            executor_count: Number of executors in the fleet.
            voters: Numbers of the nodes that are voters.
        """
        self.violations = []
        self.accepted_plans = {}
        self._executor_count = executor_count
        self._voter_names = {f"{NODE_PREFIX}{voter}" for voter in voters}
        self._rollouts = {}

    # Observations.

    def value_learned(self, now, node, key, value, executors):
        """Checks a chosen value that a node has learned.

        Args:
            now: The time, in the unit of the violations' times.
            node: The node that has learned the value.
            key: The key of the value; only rollouts are checked.
            value: The wire form.
            executors: The `ExecutorStates` at the time at which a node first accepted the value.
        """
        if key != ROLLOUT_KEY or not value:
            return
        known = self._rollouts.get(value["rev"])
        if known is None:
            known = self._rollouts[value["rev"]] = ObservedRollout(value)
        if known.wire_form != value:
            self._report(now, "one value", f"node {node} has another rollout {value['rev']} than others")
        if known.wire_form is value and known.plan:
            self._check_machines_out(now, known)
            self._check_history(now, known, executors)
            self._check_accepted_plans(now, known)

    def call_answered(self, path, status, text):
        """Records the answer to an operator's call: later rollouts must contain an accepted plan."""
        is_acceptance = path.endswith(b"/plan") and isinstance(text, str) and text.startswith("plan ")
        if status == 200 and is_acceptance:
            plan_id = text.split()[1].rstrip(":")
            newest_revision = max(self._rollouts, default=0)
            self.accepted_plans.setdefault(plan_id, (text, newest_revision))

    def attempt_reached_during_work(self, now, node, name):
        """Reports an attempt that reached an executor while operators worked on it."""
        self._report(
            now, "free is free", f"an attempt of node {node} reached {name}, which is being worked on"
        )

    def trial_ended(self, now, states):
        """Checks that all plans have ended after the last fault, and that all nodes agree.

        Args:
            now: The time, in the unit of the violations' times.
            states: The maintenance status that each node returns to operators.
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

    # Guarantees.

    def _report(self, now, clause, detail):
        self.violations.append(TimedViolation(now, clause, detail))

    def _check_machines_out(self, now, rollout):
        """Checks that no more machines are out at the same time than the plan allows."""
        plan = rollout.plan
        out = rollout.machines_out()
        out_without_failure = [name for name in out if not rollout.has_failed(name)]
        if len(out) > plan["most"] and len(out_without_failure) > plan["most"]:
            self._report(now, "most out", f"rollout {rollout.revision}: {len(out)} out, limit {plan['most']}")
        if len(self._voter_names.intersection(out_without_failure)) > 1:
            self._report(now, "one voter at a time", f"rollout {rollout.revision}: {out}")
        # Nodes among the machines have neither zone nor kind.
        executors = [name for name in out_without_failure if not name.startswith(NODE_PREFIX)]
        for limit, position in (("most_zone", 0), ("most_kind", 1)):
            groups = [plan["machines"][name][position] for name in executors]
            if plan[limit] and any(groups.count(group) > plan[limit] for group in groups):
                self._report(now, limit, f"rollout {rollout.revision}: {out}")

    def _check_history(self, now, rollout, executors):
        """Checks the state changes of all machines since each earlier revision of the same plan."""
        earlier = [revision for revision in sorted(self._rollouts) if revision < rollout.revision]
        for revision in earlier:
            previous = self._rollouts[revision]
            if previous.plan_id != rollout.plan_id:
                continue
            if revision == earlier[-1]:
                self._check_revision_change(now, previous, rollout, executors)
            for name, machine in rollout.machines.items():
                self._check_state_change(now, name, previous.machines[name], machine)

    def _check_state_change(self, now, name, before, after):
        """Checks that a state change is allowed, and that the status number grows with each change."""
        has_changed = after.state != before.state
        if after.number < before.number or after.number == before.number and has_changed:
            moves = f"{name}: {before.state} {before.number}, then {after.state} {after.number}"
            self._report(now, "numbers grow", moves)
        elif has_changed and not is_reachable(before.state, after.state):
            self._report(now, "order of states", f"{name}: {before.state}, then {after.state}")

    def _check_revision_change(self, now, previous, rollout, executors):
        """Checks the changes between two successive observed revisions."""
        changed = [
            name
            for name, machine in rollout.machines.items()
            if previous.machines[name].state != machine.state
        ]
        for name in changed:
            if rollout.machines[name].state == DONE and name in executors.warming_up:
                self._report(now, "warm before the next", f"{name} is done but still warming up")
        out = rollout.machines_out()
        lost = [name for name in executors.lost if name not in out]
        # The plan does not count executors that were lost before it was accepted.
        known_executor_count = sum(rollout.plan["zones"].values())
        lost_during_plan = min(len(lost), max(known_executor_count - (self._executor_count - len(lost)), 0))
        starts_leaving = any(rollout.machines[name].state == LEAVING for name in changed)
        if starts_leaving and lost_during_plan and len(out) + lost_during_plan > rollout.plan["most"]:
            self._report(
                now,
                "losses count",
                f"{out} out and {lost_during_plan} lost, limit {rollout.plan['most']}",
            )

    def _check_accepted_plans(self, now, rollout):
        """Checks that every rollout since the acceptance of a plan contains the plan."""
        known = [rollout.plan_id, *rollout.ended_plan_ids]
        for plan_id, (_, newest_revision) in self.accepted_plans.items():
            if rollout.revision >= newest_revision and plan_id not in known:
                self._report(
                    now,
                    "told is kept",
                    f"plan {plan_id} was confirmed as accepted but is not in rollout {rollout.revision}",
                )


def is_reachable(state, later_state):
    """Returns whether a state may follow another one, directly or through other states.

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
