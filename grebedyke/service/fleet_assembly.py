"""Connects a node to its fleet: builds the configured components and attaches them to the node.

A component is imported only if its section is configured, so that other nodes do not load it.
"""

import os
from functools import partial

from grebedyke.consensus import framing
from grebedyke.consensus.consensus import Consensus
from grebedyke.model.seeded_random import SeededRandom
from grebedyke.service.component_host import MAX_CALL_BYTES, ComponentAction, ComponentHost, NodeAccess
from grebedyke.service.configuration_reload import ReloadablePart
from grebedyke.service.record_files import RecordFiles
from grebedyke.units import ticks


def new_process_id():
    """Returns a random number that identifies this process."""
    return int.from_bytes(os.urandom(7), "little") + 1


def build_components(configuration, process_id, now):
    """Returns a node's components, in the order in which they are asked for actions.

    Args:
        configuration: The node's configuration.
        process_id: The number that identifies this process.
        now: Time in ticks.
    """
    consensus = build_consensus(configuration, process_id)
    components = [consensus]
    if configuration["maintenance"] is not None:
        components.append(build_maintenance(configuration, consensus))
    if configuration["shares"] is not None:
        components.append(build_rate_limits(configuration, consensus, now))
    return components


def build_consensus(configuration, process_id):
    """Returns the consensus component."""
    section = configuration["fleet"]
    return Consensus(
        SeededRandom(f"{configuration['seed']} {process_id}"),
        section["name"],
        node_id=int(configuration["settings"]["me"]),
        node_count=len(configuration["peers"]),
        founders=section["voters"],
        process_id=process_id,
        round_timeout=ticks(section["waitMs"]),
    )


def build_maintenance(configuration, consensus):
    """Returns the maintenance component."""
    from grebedyke.maintenance.component import Maintenance

    settings = maintenance_settings(configuration["maintenance"], configuration["settings"])
    return Maintenance(
        consensus,
        consensus.fleet,
        consensus.node_id,
        len(configuration["peers"]),
        consensus.process_id,
        settings,
    )


def maintenance_settings(section, settings):
    """Returns the `MaintenanceSettings` from the maintenance section and the deployment's settings."""
    from grebedyke.maintenance.settings import MaintenanceSettings

    rules = settings["rules"]
    keyed_operations = [row for row in settings["operations"] if row["idempotency"] == "keyed"]
    alone = section["aloneMs"]
    return MaintenanceSettings(
        lease=ticks(section["leaseMs"]),
        drift=section["drift"],
        drain_grace=ticks(rules["drainGraceMs"]),
        warm_up_time=ticks(rules["rampTimeMs"]),
        idempotency_window=max((ticks(row["windowMs"]) for row in keyed_operations), default=0),
        idempotency_groups=tuple({row["group"] for row in keyed_operations}),
        trust_stored_view_after=None if alone is None else ticks(alone),
    )


def build_rate_limits(configuration, consensus, now):
    """Returns the rate limits component."""
    from grebedyke.rate_limits import settings
    from grebedyke.rate_limits.component import RateLimits

    section = configuration["shares"]
    operations = configuration["settings"]["operations"]
    longest_timeout = max(ticks(row["clientTimeoutMs"]) for row in operations)
    return RateLimits(
        consensus,
        consensus.node_id,
        consensus.process_id,
        settings.limits_of(section),
        settings.lease_terms(section, len(configuration["peers"]), longest_timeout),
        now,
    )


def join_fleet(node, record_files=None):
    """Builds the configured components and attaches them to a node that is not started yet.

    Args:
        node: The node.
        record_files: Replaces the configured folder in fault tests.
    """
    parts = node.parts
    configuration = node.configuration
    section = configuration["fleet"]
    host = ComponentHost(
        parts.loop,
        parts.batch,
        record_files or RecordFiles(section["folder"]),
        section["name"],
        build_components(configuration, new_process_id(), parts.batch.clock()),
        node_access(parts),
    )
    connect_batches(parts, host)
    connect_datagrams(parts.peers, host)
    parts.host.endpoint_updates.list_listener = host.endpoints_changed
    parts.host.endpoint_updates.exclusions = host.exclusions
    host.exclusions.pass_on = parts.process_messages.send_ban_change
    parts.process_messages.on_exclusion_lease = host.receive_exclusion_lease
    parts.admin_api.set_banned = host.operator_ban
    parts.admin_api.handle_component_call = host.operator_call
    parts.admin_api.max_body_bytes = MAX_CALL_BYTES
    connect_rate_limits(node, host.components)
    node.component_host = host


def node_access(parts):
    """Returns the `NodeAccess` of a node."""
    dispatcher = parts.host.dispatcher
    confirmations = parts.process_messages.confirmations

    def with_open_attempts(names):
        """Returns the endpoints among these that have open attempts here or in another process."""
        here = open_attempts_here(parts.pool, names)
        return here + [name for name in names if name in confirmations.open_elsewhere and name not in here]

    return NodeAccess(
        send_datagram=parts.peers.send,
        set_ban=parts.host.endpoint_updates.set_banned,
        with_open_attempts=with_open_attempts,
        unapplied=lambda names: [name for name in names if name in confirmations.unapplied],
        has_other_process=lambda: bool(parts.hot_restart.current_channels),
        send_exclusion_lease=parts.process_messages.send_exclusion_lease,
        listed_names=lambda: dispatcher.endpoints.by_id,
        banned_names=lambda: dispatcher.endpoints.banned,
    )


def open_attempts_here(pool, names):
    """Returns the endpoints among these that have open attempts in this process."""
    endpoints = pool.endpoints
    return [name for name in names if name in endpoints and endpoints[name].open_attempts]


def connect_batches(parts, host):
    """Makes each batch carry out the components' actions after the dispatcher's."""
    batch = parts.batch
    with_open_attempts = partial(open_attempts_here, parts.pool)
    next_dispatcher_action = batch.next_action
    carry_out_for_dispatcher = batch.carry_out

    def next_action(now):
        """Returns the next action: first the dispatcher's, then the components'."""
        action = next_dispatcher_action(now)
        if action is not None:
            return action
        parts.process_messages.send_confirmations(with_open_attempts)
        return host.next_action(now)

    def carry_out(now, action):
        """Carries out an action of a component or of the dispatcher."""
        if isinstance(action, ComponentAction):
            host.perform(now, action.component, action.action)
        else:
            carry_out_for_dispatcher(now, action)

    batch.next_action = next_action
    batch.carry_out = carry_out
    batch.before_write = host.expire


def connect_datagrams(peers, host):
    """Routes datagrams to the components or to gossip by their first byte."""
    receive_gossip = peers.on_message
    component_prefix = bytes([framing.VERSION])

    def receive(now, sender, data):
        """Passes a datagram to the component host or to gossip."""
        if data[:1] == component_prefix:
            host.receive_datagram(now, sender, data)
        else:
            receive_gossip(now, sender, data)

    peers.on_message = receive
    peers.max_datagram_bytes = framing.LARGEST_DATAGRAM


def connect_rate_limits(node, components):
    """Makes the dispatcher apply the fleet's limits, and a reload change them."""
    rate_limits = next((component for component in components if hasattr(component, "request_limiter")), None)
    if rate_limits is None:
        return
    from grebedyke.rate_limits import settings

    node.parts.host.dispatcher.quotas.request_limiter = rate_limits.request_limiter

    def prepare(configuration):
        """Returns a function that applies the limits of a configuration."""

        def apply_change(now):
            """Applies the limits if the configuration has the section."""
            if configuration["shares"] is not None:
                rate_limits.change_limits(now, settings.limits_of(configuration["shares"]))

        return apply_change

    node.reloading.parts.append(ReloadablePart(("shares",), prepare))
