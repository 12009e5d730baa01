"""Encodes and decodes the messages between two processes of one node."""

from loguru import logger

from grebedyke.model.exclusion_lease import ExclusionLease
from grebedyke.service.ban_change import BanChange
from grebedyke.service.exclusion_confirmations import Confirmation, ExclusionConfirmations
from grebedyke.service.message_kinds import MessageKind
from grebedyke.wire.connection_end import ConnectionEnd
from grebedyke.wire.endpoint_rows import ListedEndpoint
from grebedyke.wire.list_update import ListUpdate, ListVersion
from grebedyke.wire.request_headers import JobUpdate


class ProcessMessages:
    """Sends and receives the messages of a hot restart.

    Attributes:
        loop: The event loop.
        batch: The node's `BatchLoop`.
        host: The `DispatcherHost`.
        listener: The `ClientListener`.
        discovery: The `DiscoveryClient`.
        reload: Called when the other process has received the signal to reload; set once the node exists.
        hot_restart: The `HotRestart` that carries the messages; set once it exists.
        confirmations: The `ExclusionConfirmations`.
        on_exclusion_lease: Called with the time and an `ExclusionLease` of the other process; None outside
            of a fleet.
    """

    def __init__(self, loop, batch, host, listener, discovery):
        self.loop = loop
        self.batch = batch
        self.host = host
        self.listener = listener
        self.discovery = discovery
        self.reload = None
        self.hot_restart = None
        self.confirmations = ExclusionConfirmations()
        self.on_exclusion_lease = None
        self._sent_leases = {}  # by channel, the last one

    def handlers(self):
        """Returns the handlers for messages of the other process, by kind."""
        return {
            MessageKind.STATE: self._import_state,
            MessageKind.JOB_UPDATE: self._on_job_update,
            MessageKind.CONNECTION: self._on_connection,
            MessageKind.LIST: self._on_list,
            MessageKind.BAN: self._on_ban,
            MessageKind.EXCLUDED: self._on_excluded,
            MessageKind.EXCLUSION_LEASE: self._on_exclusion_lease,
            MessageKind.RELOAD: lambda: self.reload(),
        }

    # State.

    def export_state(self):
        """Returns the fields of the state message, and the listening socket's descriptor."""
        descriptor = self.listener.acceptor.server.fileno()
        updates = self.host.endpoint_updates
        source, number = updates.applied
        logger.info(
            "the new process gets the state: list version {version}, {read} read",
            event="handover-sent",
            version=number,
            read=self.discovery.version,
        )
        listing = {"address": source, "index": number}
        return {"books": updates.export_state(), "listing": listing}, descriptor

    def _import_state(self, now, message):
        listing = message["listing"]
        # A process of an earlier version may send the version of a list that it has not applied yet. Without
        # a version the complete list is requested.
        number = listing["index"] if self.hot_restart.predecessor_shares_updates else None
        version = ListVersion(tuple(listing["address"]), number)
        logger.info(
            "the old process's state has arrived: list version {version}",
            event="handover-received",
            version=version.number,
        )
        self.host.endpoint_updates.import_state(now, message["books"], version)
        # Another discovery service has its own versions.
        is_same_discovery = version.source == self.discovery.address
        self.discovery.version = version.number if is_same_discovery else None

    # Sending.

    def send_job_update(self, update):
        """Passes on a call-back about a request that this process does not have.

        Any peer may send such call-backs, so one is dropped if the other process has not read the last ones.
        """
        is_dropped = self.hot_restart.send_unless_congested(
            MessageKind.JOB_UPDATE,
            id=update.request_id,
            name=update.executor,
            state=update.state,
            result=update.result.decode(),
            load=update.load,
        )
        if is_dropped and self.batch.metrics.count_and_may_log("odd"):
            logger.warning(
                "the other process does not read: a call-back is dropped", event="handover-congested"
            )

    def send_list(self, update):
        """Passes on a `ListUpdate` that this process has applied."""
        if self.hot_restart.current_channels:
            self.hot_restart.send_list(
                address=update.version.source,
                index=update.version.number,
                after=update.after,
                snapshot=update.is_complete,
                endpoints=[tuple(row) for row in update.rows],
            )

    def send_ban(self, endpoint_id, is_banned):
        """Passes on an operator's ban or its end at a node outside of a fleet."""
        self.hot_restart.send(MessageKind.BAN, name=endpoint_id, out=is_banned)

    def send_ban_change(self, change):
        """Passes on a `BanChange`; a process of an earlier version learns whether the endpoint is banned."""
        name = change.endpoint_id
        self.hot_restart.send_to_earlier(MessageKind.BAN, name=name, out=change.is_banned_by_any)
        number = self._exclusion_number(change) if self.hot_restart.current_channels else None
        self.hot_restart.send_to_current(
            MessageKind.BAN,
            name=name,
            out=change.is_banned,
            operator=change.by_operator,
            restarted=change.was_restarted,
            number=number,
        )

    def _exclusion_number(self, change):
        """Returns the number of an exclusion that the other process has to confirm; None if it has not to."""
        if change.by_operator:
            return None
        if change.is_banned:
            return self.confirmations.expect(change.endpoint_id)
        self.confirmations.end(change.endpoint_id)
        return None

    def send_exclusion_lease(self, lease):
        """Sends an `ExclusionLease` to each other process that does not have it yet."""
        channels = self.hot_restart.current_channels
        self._sent_leases = {channel: self._sent_leases.get(channel) for channel in channels}
        for channel, sent_lease in self._sent_leases.items():
            if lease != sent_lease and not channel.is_congested():
                channel.send({"kind": MessageKind.EXCLUSION_LEASE, **lease._asdict()})
                self._sent_leases[channel] = lease

    def send_confirmations(self, with_open_attempts):
        """Confirms the other process's exclusions; see `ExclusionConfirmations.take`."""
        if self.confirmations.to_confirm:
            for name, number, is_drained in self.confirmations.take(with_open_attempts):
                self.hot_restart.send_to_current(
                    MessageKind.EXCLUDED, name=name, number=number, drained=is_drained
                )

    def on_other_process_gone(self):
        """Ends the wait for the other process's confirmations once its jobs cannot run any more."""
        last_number = self.confirmations.other_process_ended()
        if self.confirmations.open_elsewhere:
            longest_run = self.host.requests.settings.identifier_retention
            self.batch.call_later(longest_run, self.confirmations.forget, last_number)

    def send_reload(self):
        """Passes on the signal to reload."""
        self.hot_restart.send(MessageKind.RELOAD)

    def hand_over(self, connection):
        """Hands a client's connection over to the successor if it is still serving."""
        if self.hot_restart.successor_is_ready:
            self.hot_restart.hand_over(
                connection.transport.get_extra_info("socket"),
                good=connection.proven,
                caller=connection.is_executor,
            )
            connection.end_reason = ConnectionEnd.HANDED_OVER
            connection.abort()  # closes only this process's descriptor; no output is pending

    # Receiving; the parameters are the fields of the messages.

    def _on_job_update(self, id, name, state, result, load):
        update = JobUpdate(id, name, state, result.encode(), load)
        self.batch.enqueue(self.host.job_updates.on_update, update, False)

    def _on_connection(self, fd, good, caller):
        adoption = self.listener.adopt(descriptor=fd, proven=good, is_executor=caller)
        self.loop.create_task(adoption)

    def _on_list(self, address, index, after, snapshot, endpoints):
        rows = [ListedEndpoint(name, tuple(place), *rest) for name, place, *rest in endpoints]
        update = ListUpdate(ListVersion(tuple(address), index), after, snapshot, rows)
        self.batch.enqueue(self.host.endpoint_updates.on_passed_on_list, update)

    def _on_ban(self, name, out, operator=None, restarted=True, number=None):
        exclusions = self.host.endpoint_updates.exclusions
        if operator is None or exclusions is None:
            # From a node outside of a fleet, or from a process of an earlier version.
            self.batch.enqueue(self.host.endpoint_updates.set_banned, name, out)
            return
        change = BanChange(name, out, operator, restarted, is_banned_by_any=out)
        self.batch.enqueue(exclusions.on_passed_on_ban, change)
        if number is not None:
            self.batch.enqueue(self.confirmations.excluded, name, number)
        elif not (operator or out):
            self.batch.enqueue(self.confirmations.excluded_no_more, name)

    def _on_exclusion_lease(self, until, names, all_others):
        if self.on_exclusion_lease:
            lease = ExclusionLease(until, tuple(names), all_others)
            self.batch.enqueue(self.on_exclusion_lease, lease)

    def _on_excluded(self, name, number, drained):
        self.batch.enqueue(self.confirmations.receive, Confirmation(name, number, drained))
