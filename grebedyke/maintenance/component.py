"""The maintenance component: connects the view, its lease, the driver and the operator API. No I/O."""

from functools import partial

from grebedyke.consensus.component import Component
from grebedyke.errors import ConfigurationError
from grebedyke.maintenance import commands
from grebedyke.maintenance.driver import Driver
from grebedyke.maintenance.endpoints import KnownEndpoints
from grebedyke.maintenance.exclusions import Exclusions, excluded_endpoints
from grebedyke.maintenance.messages import LeaseAnswer, LeaseRequest, MessageKind
from grebedyke.maintenance.observations import Observations
from grebedyke.maintenance.operator_calls import (
    CALL_PATH,
    NO_MAJORITY,
    NO_SUCH_CALL,
    ConfirmBack,
    ControlRollout,
    ShowStatus,
    SubmitPlan,
    describe_status,
    parse_call,
)
from grebedyke.maintenance.plan_parser import parse_plan
from grebedyke.maintenance.rollout import CONSENSUS_KEY, Rollout
from grebedyke.maintenance.view_lease import LOST, ViewLease
from grebedyke.maintenance.view_record import NOTHING_PERSISTED, RECORD_FILE, ViewRecord
from grebedyke.model.exclusion_lease import ExclusionLease


class Maintenance(Component):
    """Takes machines out of service for maintenance, in an order agreed through consensus.

    Attributes:
        consensus: The node's consensus component; the rollout is one of its registers.
        node_count: Number of nodes in the fleet.
        process: A unique number of this process.
        settings: The `MaintenanceSettings`.
        rollout: The node's view: the newest rollout that it has received.
        lease: The `ViewLease`, during which the view is guaranteed to be current.
        record: The `ViewRecord`, the copy of the view on disk.
        exclusions: The endpoints that the node excludes because of its view.
        endpoints: The endpoint list.
        observations: The state of nodes and endpoints as this node has observed it.
        driver: The `Driver`, which advances the rollout if this node is a voter.
        last_number: The number of the last lease request or write; both share one sequence.
    """

    call_paths = (CALL_PATH,)
    record_files = (RECORD_FILE,)
    controls_exclusions = True

    def __init__(self, consensus, fleet, node_id, node_count, process, settings):
        super().__init__(node_id)
        self.consensus = consensus
        self.node_count = node_count
        self.process = process
        self.settings = settings
        self.rollout = Rollout()
        self.lease = ViewLease(consensus, settings.lease)
        self.record = ViewRecord(fleet, node_id)
        self.exclusions = Exclusions(settings.drain_grace)
        self.endpoints = KnownEndpoints()
        self.observations = Observations(node_count, settings, self.endpoints)
        self.driver = Driver(consensus, self.observations, settings.lease)
        self.last_number = 0
        self._started_at: int | None = None
        self._trusts_stored_view = False
        consensus.keys.append(CONSENSUS_KEY)
        consensus.listeners.append(self.value_chosen)

    # Startup and persistence.

    def restore(self, now, stored_records):
        """Starts with the view on disk, which is uncertain until a majority of the voters confirms it."""
        self._started_at = now
        self.lease.next_request_at = now
        self.rollout = self.record.restore(stored_records.get(RECORD_FILE))
        self.update_exclusions(now)

    def record_persisted(self, now, file, number, succeeded):
        """Handles the result of a write and, if it succeeded, sends an acknowledgement without delay."""
        if file == RECORD_FILE and self.record.finish_write(now, number, succeeded):
            self.lease.next_request_at = now

    def possibly_excluded_endpoints(self):
        """Returns the endpoints that this component may have excluded in a previous process."""
        return [*self.rollout.machines]

    # The view.

    def value_chosen(self, now, key, value):
        """Adopts a newer rollout chosen by consensus."""
        if key != CONSENSUS_KEY or not value or value["rev"] <= self.rollout.revision:
            return
        before = self.rollout
        self.rollout = Rollout.decode(value)
        self.observations.record_revision(now, self.rollout.revision)
        self.record.is_outdated = True
        self._log_changes(before)
        self.update_exclusions(now)

    def _log_changes(self, before):
        """Logs the new status of each changed machine, and the plan's phase if it has changed."""
        rollout = self.rollout
        for name, status in rollout.machines.items():
            known = before.machines.get(name)
            if known is None or known.number != status.number:
                self.log("machine", rev=status.number, machine=name, state=status.state.value)
        is_first = before.revision == 0
        if is_first or (before.plan, before.phase) != (rollout.plan, rollout.phase):
            if rollout.plan:
                plan_id = rollout.plan.id
                state = rollout.phase.value
            else:
                plan_id = rollout.past_plans[0].id
                state = rollout.past_plans[0].outcome.value
            self.log("plan", rev=rollout.revision, plan=plan_id, state=state)

    def view_is_certain(self, now):
        """Returns whether the view is guaranteed to be the newest rollout that this node must comply with."""
        return self.lease.is_certain(now)

    def has_no_view(self):
        """Returns whether this node has no view that it can rely on, so it must not use any endpoint.

        After a start, the stored view is not enough: it may come from an older copy of the node's folder.
        """
        return not self.lease.was_ever_certain and not self._trusts_stored_view

    def update_exclusions(self, now):
        """Reports the excluded endpoints to the host and has it report open attempts at them."""
        is_certain = self.lease.is_certain(now)
        action = self.exclusions.update(now, self.rollout, is_certain, self.has_no_view())
        self.watched_endpoints = self.exclusions.names
        if action is not None:
            self.pending_actions.append(action)

    def exclusion_lease(self):
        """Returns the end of the view lease, and what this node excludes without one."""
        names = excluded_endpoints(self.rollout, is_certain=False)
        return ExclusionLease(self.lease.certain_until or LOST, tuple(sorted(names)), self.has_no_view())

    def endpoints_changed(self, now, complete, rows):
        """Updates the endpoint list from a full list or a change."""
        self.endpoints.update(now, complete, rows)

    def open_attempts_reported(self, now, names, unapplied=()):
        """Records the open attempts at excluded endpoints and acknowledges a change at once.

        The driver may be waiting for these attempts to end.
        """
        if self.exclusions.update_open_names(names, unapplied):
            self.lease.next_request_at = now

    def expire(self, now):
        """Updates the exclusions if the lease has expired or the stored view may be trusted from now on."""
        if self.lease.has_expired(now):
            self.log("view", sure=False, rev=self.rollout.revision)
            self.lease.mark_lost()
            self.update_exclusions(now)
        if not self._trusts_stored_view and self._may_trust_stored_view(now):
            self._trusts_stored_view = True
            self.update_exclusions(now)

    def _may_trust_stored_view(self, now):
        """Returns whether the settings allow the view on disk to be used without a majority by now."""
        delay = self.settings.trust_stored_view_after
        has_record = self.record.persisted_revision > NOTHING_PERSISTED
        return delay is not None and has_record and now >= self._started_at + delay

    # Leases.

    def _next_number(self):
        """Returns the next number of the sequence shared by lease requests and writes."""
        self.last_number += 1
        return self.last_number

    def request_lease(self, now):
        """Sends a lease request to each voter if one is due."""
        if now < self.lease.next_request_at:
            return
        number = self._next_number()
        self.lease.start_request(now, number, self.rollout.revision)
        persisted_revision = self.record.persisted_revision
        request = LeaseRequest(
            number=number,
            revision=self.rollout.revision,
            acknowledged_revision=self.exclusions.acknowledged_revision(
                now, self.rollout, persisted_revision
            ),
            process=self.process,
            epoch=self.consensus.epoch,
        )
        for voter in self.consensus.members:
            self.send(voter, request.encode())

    def receive(self, now, sender, message):
        """Handles a message from another node; returns whether its kind belongs to this component."""
        kind, *fields = message
        if kind == MessageKind.LEASE_REQUEST:
            self.tolerate_undecodable(self._receive_lease_request, now, sender, fields)
        elif kind == MessageKind.LEASE_ANSWER:
            self.tolerate_undecodable(self._receive_lease_answer, now, sender, fields)
        else:
            return False
        return True

    def _receive_lease_request(self, now, sender, fields):
        """Decodes and handles a lease request."""
        self.lease_requested(now, sender, LeaseRequest.decode(fields))

    def _receive_lease_answer(self, now, sender, fields):
        """Decodes and handles the answer to a lease request."""
        self.lease_answered(now, sender, LeaseAnswer.decode(fields))

    def lease_requested(self, now, sender, request):
        """As a voter, grants the lease only if the requesting node has the newest rollout accepted here.

        An accepted rollout may already have been chosen without this voter having learned of it. Each chosen
        rollout was accepted by a majority, so a node with an older one cannot get a majority of grants.
        """
        self.observations.record_acknowledgement(now, sender, request.acknowledged_revision, request.process)
        if not self.consensus.is_voting():
            return
        accepted = self.consensus.accepted_value(CONSENSUS_KEY)
        accepted_revision = accepted["rev"] if accepted else 0
        if request.epoch < self.consensus.epoch or accepted_revision > request.revision:
            self.consensus.send_chosen_value(now, sender, CONSENSUS_KEY)
        granted = accepted_revision <= request.revision and request.epoch == self.consensus.epoch
        self.answer_lease_request(sender, request, granted)

    def answer_lease_request(self, node, request, granted):
        """Sends a voter's answer to a lease request."""
        answer = LeaseAnswer(request.number, granted, self.consensus.epoch, self.consensus.members)
        self.send(node, answer.encode())

    def lease_answered(self, now, sender, answer):
        """Handles a voter's answer to a lease request."""
        self.consensus.adopt_members(now, answer.epoch, answer.voters)
        self.expire(now)
        was_certain = self.lease.is_certain(now)
        revision = self.lease.receive_answer(sender, answer)
        if revision is None:
            return
        if self.lease.is_certain(now):
            if not was_certain:
                self.log("view", sure=True, rev=revision)
        elif not was_certain:
            # The answer arrived after its lease had expired: no start was logged, so no end must be logged.
            self.lease.mark_lost()
        self.update_exclusions(now)

    # Operators.

    def operator_call(self, now, call, method, path, body):
        """Handles an operator's call; answers it at once, or at the end of the proposal that it requires."""
        match parse_call(method, path, body):
            case ShowStatus():
                self.answer_call(call, 200, self.status(now))
            case SubmitPlan(body=plan_body):
                self._submit_plan(now, call, plan_body)
            case ControlRollout(command=command):
                self._propose_command(now, call, lambda rollout: commands.apply_command(rollout, command))
            case ConfirmBack(name=name, number=number):
                self._propose_command(
                    now, call, lambda rollout: commands.confirm_machine_back(rollout, name, number)
                )
            case _:
                self.answer_call(call, 404, NO_SUCH_CALL)

    def status(self, now):
        """Returns the progress of the rollout as known to this node, as a dict for the JSON answer."""
        unacknowledged_nodes = self.driver.unacknowledged_nodes(self.rollout)
        return describe_status(now, self.rollout, self.lease, unacknowledged_nodes)

    def _submit_plan(self, now, call, body):
        """Validates a plan against the current endpoint list and proposes it."""
        try:
            plan = parse_plan(body, self.endpoints.healthy(), self.node_count, self.consensus.members)
        except ConfigurationError as problem:
            self.answer_call(call, 400, str(problem))
            return
        self._propose_command(now, call, lambda rollout: commands.accept_plan(rollout, plan))

    def _propose_command(self, now, call, command):
        """Proposes command(rollout), a `CommandResult`; answers the call once the proposal has ended."""
        change = partial(commands.apply_to_wire_form, command)
        self.consensus.propose(now, CONSENSUS_KEY, change, partial(self._answer_command, call))

    def _answer_command(self, call, now, result):
        """Answers a call with the result of its command; None means that the outcome is unknown."""
        if result is None:
            self.answer_call(call, 503, NO_MAJORITY)
        else:
            self.answer_call(call, 409 if result.refused else 200, result.text)

    # Actions.

    def next_action(self, now):
        """Returns the next action for the host, or None if there is none."""
        if self._started_at is None:
            return None
        if not self.pending_actions:
            self.expire(now)
            self.request_lease(now)
            self.driver.drive(now, self.rollout)
        action = self.next_pending_action(now)
        if action is not None:
            return action
        if self.record.can_write(now):
            return self.record.start_write(self._next_number(), self.rollout)
        return self.schedule_wake(now, self._next_event_at(now))

    def _next_event_at(self, now):
        """Returns the time of the next timer, in ticks."""
        times = [self.lease.next_request_at]
        if self.lease.certain_until not in (None, LOST):
            times.append(self.lease.certain_until)
        if self.driver.has_work(self.rollout):
            times.append(now + self.driver.check_interval)
        return min(times)
