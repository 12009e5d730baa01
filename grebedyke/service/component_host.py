"""Hosts the components of a fleet node in its event loop: passes events to them, carries out their actions.

The interface is described in `grebedyke/consensus/component.py`. This module does not depend on any specific
component.
"""

from collections.abc import Callable, Iterable
from concurrent.futures import ThreadPoolExecutor
from typing import NamedTuple

import orjson
from loguru import logger

from grebedyke.consensus import actions, framing
from grebedyke.consensus.component import Component
from grebedyke.errors import ConfigurationError, ForeignRecordError
from grebedyke.model.exclusion_lease import ExclusionLease
from grebedyke.service.endpoint_exclusions import EndpointExclusions
from grebedyke.service.inherited_exclusions import InheritedExclusions
from grebedyke.units import TICKS_PER_SECOND

LOCK_RETRY_INTERVAL = TICKS_PER_SECOND // 10
"""Ticks until the next attempt to lock a folder that another process has locked."""
MAX_CALL_BYTES = 65_536
"""Maximum size of an operator's call in bytes: enough for a plan of several hundred machines."""


class NodeAccess(NamedTuple):
    """The functions of its node that a component host uses.

    Attributes:
        send_datagram: send_datagram(node, bytes) to another node.
        set_ban: set_ban(now, name, is_banned, was_restarted=True) bans an endpoint or ends its ban; returns
            whether the node knows the endpoint. After a restart during its ban an endpoint is cold.
        with_open_attempts: with_open_attempts(names) returns the names that have attempts in flight here, or
            may have some in another process of this node.
        unapplied: unapplied(names) returns the names that another process of this node may still use although
            they are excluded.
        has_other_process: Returns whether another process of this node takes exclusion leases.
        send_exclusion_lease: Sends an `ExclusionLease` to another process of this node, if there is one.
        listed_names: Returns the names of all endpoints on the list.
        banned_names: Returns the names of the endpoints that are banned.
    """

    send_datagram: Callable[[int, bytes], None]
    set_ban: Callable[..., bool]
    with_open_attempts: Callable[[Iterable[str]], list[str]]
    unapplied: Callable[[Iterable[str]], list[str]]
    has_other_process: Callable[[], bool]
    send_exclusion_lease: Callable[[ExclusionLease], None]
    listed_names: Callable[[], Iterable[str]]
    banned_names: Callable[[], Iterable[str]]


class ComponentAction(NamedTuple):
    """An action with the component that requested it.

    Attributes:
        component: The component.
        action: One of the actions of `grebedyke/consensus/actions.py`.
    """

    component: Component
    action: actions.Action


class ComponentHost:
    """Hosts a node's components.

    Attributes:
        loop: The event loop, for writes to disk.
        batch: The node's `BatchLoop`; components are only called within batches.
        record_files: The node's folder.
        components: The components, in the order in which they are asked for actions.
        node: The `NodeAccess`.
        send_datagram: As in `NodeAccess`.
        fleet_tag: The fleet tag of sent datagrams.
        reassembler: Reassembles messages of other nodes from their fragments.
        message_number: Number of the last message sent.
        disk_thread: The thread that writes records.
        is_started: Whether this process has locked the folder and the components are restored.
        is_waiting_for_folder: Whether another process was found to have locked the folder, and this was
            logged.
        exclusions: The `EndpointExclusions`.
        inherited_exclusions: The `InheritedExclusions`, until the components are started.
    """

    def __init__(self, loop, batch, record_files, fleet, components, node):
        self.loop = loop
        self.batch = batch
        self.record_files = record_files
        self.components = components
        self.node = node
        self.send_datagram = node.send_datagram
        self.fleet_tag = framing.fleet_tag(fleet)
        self.reassembler = framing.Reassembler(self.fleet_tag)
        self.message_number = 0
        self.disk_thread = ThreadPoolExecutor(1, "disk")
        self.is_started = False
        self.is_waiting_for_folder = False
        self.exclusions = EndpointExclusions(node)
        self.inherited_exclusions = InheritedExclusions(self.exclusions, batch)
        self._performers = {
            actions.SendMessage: self._send_message,
            actions.PersistRecord: self._persist_record,
            actions.WakeAt: self._wake_at,
            actions.ExcludeEndpoints: self._exclude_endpoints,
            actions.AnswerCall: self._answer_call,
            actions.LogEvent: self._log_event,
        }

    # Start: the folder first, as no message may be sent before the records of earlier messages are read.

    def start(self, inherited):
        """Starts the components as soon as this process has locked the folder.

        Args:
            inherited: Whether another process of this node is serving and has sent its bans. Without them no
                endpoint is used until the components have determined the excluded ones. With them the bans
                apply until this process has the folder. Then each component excludes endpoints by its own
                record, and maintenance excludes all until its first view lease.

        Raises:
            ConfigurationError: The folder belongs to another node or cannot be used.
        """
        if not inherited:
            self.exclusions.exclude_all(self.components)
        self._open_folder(self.batch.clock())

    def _open_folder(self, now):
        try:
            if not self.record_files.lock():
                self._wait_for_folder(now)
                return
            stored_records = {
                name: self.record_files.read(name)
                for component in self.components
                for name in component.record_files
            }
        except OSError as problem:
            raise ConfigurationError(f"setting fleet.folder cannot be used: {problem.strerror}") from None
        try:
            for component in self.components:
                component.restore(now, stored_records)
        except ForeignRecordError as problem:
            raise ConfigurationError(f"setting fleet.folder is not this node's: {problem}") from None
        self.exclusions.classify_inherited_bans(self.components)
        self.inherited_exclusions.end()
        self.is_started = True
        self._request_batch()

    def _wait_for_folder(self, now):
        if not self.is_waiting_for_folder:
            logger.warning(
                "fleet: another process has locked the folder, waiting for it", event="folder-held"
            )
        self.is_waiting_for_folder = True
        self.batch.call_at(now + LOCK_RETRY_INTERVAL, self._open_folder)

    def _request_batch(self):
        """Schedules a batch, in which the components are asked for actions."""
        self.batch.enqueue(do_nothing)

    # Input.

    def receive_datagram(self, now, sender, data):
        """Handles another node's datagram."""
        message = self.reassembler.take(sender, data)
        if message is None or not self.is_started:
            return
        if not any(component.receive(now, sender, message) for component in self.components):
            # A message kind of a later version.
            self.reassembler.undecodable_count += 1

    def endpoints_changed(self, now, complete, rows):
        """Passes the endpoint list, or a change of it, to the components without the addresses (column 2)."""
        rows_without_address = [(name, *rest) for name, _, *rest in rows]
        for component in self.components:
            component.endpoints_changed(now, complete, rows_without_address)
        self.exclusions.apply(now)

    def operator_call(self, caller, method, path, body):
        """Passes an operator's call to its component; returns whether a component has such a call."""
        component = next((c for c in self.components if path.startswith(c.call_paths)), None)
        if component is None:
            return False
        if not self.is_started:
            caller.answer(503, "the folder is another process's for now")
            return True
        try:
            content = orjson.loads(body) if body else None
        except orjson.JSONDecodeError as problem:
            caller.answer(400, f"the call is not JSON: {problem}")
            return True
        if content is not None and not isinstance(content, dict):
            caller.answer(400, "the call is not a JSON object")
            return True
        self.batch.enqueue(component.operator_call, caller, method, path, content)
        return True

    def operator_ban(self, now, name, is_banned):
        """Bans an endpoint for an operator or ends the ban; returns whether the node knows the endpoint."""
        return self.exclusions.operator_ban(now, name, is_banned)

    def receive_exclusion_lease(self, now, lease):
        """Handles an `ExclusionLease` of another process of this node, which runs the components."""
        if not self.is_started:
            self.inherited_exclusions.renew(now, lease)

    # Output.

    def next_action(self, now):
        """Returns the next `ComponentAction`; None if there is none."""
        if not self.is_started:
            return None
        for component in self.components:
            if self.node.has_other_process() and (lease := component.exclusion_lease()):
                self.node.send_exclusion_lease(lease)
            if component.watched_endpoints:
                names = self.node.with_open_attempts(component.watched_endpoints)
                unapplied = self.node.unapplied(component.watched_endpoints)
                component.open_attempts_reported(now, names, unapplied)
            action = component.next_action(now)
            if action is not None:
                return ComponentAction(component, action)
        return None

    def perform(self, now, component, action):
        """Carries out a component's action."""
        self._performers[type(action)](now, component, action)

    def expire(self, now):
        """Applies expired deadlines of the components; called right before a batch's requests are written.

        If the process was stopped since the start of the batch, an exclusion may be overdue.
        """
        if not self.is_started:
            self.inherited_exclusions.expire(now)
            return
        for component in self.components:
            component.expire(now)
            for exclusion in component.take_exclusions():
                self.perform(now, component, exclusion)

    def _send_message(self, now, component, action):
        self.message_number += 1
        for datagram in framing.pack(self.fleet_tag, self.message_number, action.message):
            self.send_datagram(action.node, datagram)

    def _persist_record(self, now, component, action):
        """Writes in a thread, so that a slow disk does not block the event loop."""

        def write():
            """Returns the error text if the write failed; None if the record is on disk."""
            try:
                self.record_files.replace(action.file, action.data)
            except OSError as problem:
                return problem.strerror or str(problem)
            return None

        def report(future):
            """Reports the result of the write to the component."""
            reason = future.result()
            if reason:
                logger.error(
                    "fleet: {file} could not be written: {why}", event="disk", file=action.file, why=reason
                )
            succeeded = reason is None
            self.batch.enqueue(component.record_persisted, action.file, action.number, succeeded)

        self.loop.run_in_executor(self.disk_thread, write).add_done_callback(report)

    def _wake_at(self, now, component, action):
        self.batch.call_at(action.at, do_nothing)

    def _exclude_endpoints(self, now, component, action):
        self.exclusions.request(now, component, action)

    def _answer_call(self, now, component, action):
        body = action.body if isinstance(action.body, str) else orjson.dumps(action.body).decode()
        action.call.answer(action.status, body)

    def _log_event(self, now, component, action):
        text = " ".join(f"{key}={value}" for key, value in action.fields.items())
        logger.bind(event=action.event, **action.fields).info("fleet: {} {}", action.event, text)

    def close(self):
        """Unlocks the folder; does not wait for a write in progress."""
        self.disk_thread.shutdown(wait=False, cancel_futures=True)
        self.record_files.close()


def do_nothing(now):
    """An event without effect, for a batch in which the components are asked for actions."""
