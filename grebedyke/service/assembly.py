"""Assembles a node from its parts."""

import asyncio
from functools import partial
from typing import NamedTuple

from grebedyke.service.admin_api import AdminApi
from grebedyke.service.batch_loop import BatchLoop
from grebedyke.service.configuration import open_dispatcher
from grebedyke.service.configuration_reload import ConfigurationReload, ReloadablePart
from grebedyke.service.dispatcher_host import DispatcherHost
from grebedyke.service.hot_restart import HotRestart
from grebedyke.service.identifier_channel import IdentifierChannel
from grebedyke.service.metrics import Metrics
from grebedyke.service.node import Node, NodeParts
from grebedyke.service.node_settings import descriptor_shares, node_settings, with_capped_interval
from grebedyke.service.process_memory import process_memory
from grebedyke.service.process_messages import ProcessMessages
from grebedyke.service.reload import adopt_settings
from grebedyke.units import TICKS_PER_MILLISECOND
from grebedyke.wire.client_listener import ClientListener
from grebedyke.wire.discovery_client import DiscoveryClient
from grebedyke.wire.discovery_settings import max_list_bytes
from grebedyke.wire.executor_pool import ExecutorPool
from grebedyke.wire.message_memory import MessageMemory, max_message_bytes
from grebedyke.wire.peer_socket import PeerSocket


class _Core(NamedTuple):
    """The parts that all other parts of a node depend on; see `NodeParts`."""

    loop: asyncio.AbstractEventLoop
    batch: BatchLoop
    metrics: Metrics
    pool: ExecutorPool
    host: DispatcherHost


def assemble(loop, configuration, read_configuration, clock=None, record_files=None):
    """Returns a node that is not started yet.

    Args:
        loop: The event loop.
        configuration: The result of `configuration.read_node`.
        read_configuration: Reads the configuration again, for a reload.
        clock: Replaces the system clock in fault tests.
        record_files: Replaces the fleet's folder in fault tests.
    """
    settings = with_capped_interval(configuration["settings"])
    shares = descriptor_shares(int(configuration["limits"]["sockets"]))
    part_settings = node_settings(settings)
    dispatcher = open_dispatcher(configuration["seed"], settings)
    core = _assemble_core(loop, dispatcher, part_settings, shares, clock)
    parts = _assemble_parts(core, configuration, part_settings, shares)
    reloading = ConfigurationReload(core.batch, parts.discovery, configuration, read_configuration)
    node = Node(parts, reloading, part_settings.longest_timeout)
    reloading.parts.append(ReloadablePart(("settings", "peers"), partial(_prepare_settings, node)))
    parts.admin_api.is_ready = node.is_serving
    # Looked up at each message, as a test may replace `Node.reload`.
    parts.process_messages.reload = lambda: node.reload(passed_on=True)
    if configuration["fleet"]:
        # Imported here, so that a node outside of a fleet does not load the components.
        from grebedyke.service.fleet_assembly import join_fleet

        join_fleet(node, record_files)
    return node


def _assemble_core(loop, dispatcher, settings, shares, clock):
    metrics = Metrics()
    batch = BatchLoop(loop, metrics)
    batch.clock = clock or batch.clock
    pool = ExecutorPool(loop, batch, settings.pool, shares.executor_connections)
    host = DispatcherHost(dispatcher, batch, pool, metrics, settings.requests)
    batch.next_action = dispatcher.next_action
    batch.carry_out = host.perform
    return _Core(loop, batch, metrics, pool, host)


def _assemble_parts(core, configuration, settings, shares):
    host = core.host
    listener = _client_listener(core, settings, shares, configuration["limits"]["memory_mb"])
    core.metrics.read_gauges = partial(_read_gauges, core.batch, host.dispatcher, listener)
    discovery = _discovery_client(core, configuration, settings)
    host.discovery = discovery
    peers = PeerSocket(core.loop, core.batch, host.peer_messenger.on_datagram)
    host.peer_messenger.socket = peers
    messages = ProcessMessages(core.loop, core.batch, host, listener, discovery)
    hot_restart = HotRestart(
        core.loop,
        core.batch.enqueue,
        configuration["folder"],
        configuration["name"],
        messages.export_state,
        messages.handlers(),
        partial(_on_sharing_changed, core, peers, messages),
    )
    messages.hot_restart = hot_restart
    identifier_channel = IdentifierChannel(hot_restart, host.requests, core.batch.clock)
    host.job_updates.pass_on = messages.send_job_update
    host.endpoint_updates.pass_on = messages.send_list
    admin_api = AdminApi(core.batch, None, partial(_set_banned, host, messages), shares.admin_connections)
    return NodeParts(
        loop=core.loop,
        batch=core.batch,
        metrics=core.metrics,
        pool=core.pool,
        host=host,
        listener=listener,
        admin_api=admin_api,
        discovery=discovery,
        peers=peers,
        hot_restart=hot_restart,
        process_messages=messages,
        identifier_channel=identifier_channel,
    )


def _client_listener(core, settings, shares, memory_mb):
    host = core.host
    return ClientListener(
        core.batch,
        settings.listener,
        shares.client_connections,
        MessageMemory(max_message_bytes(memory_mb)),
        on_request=host.requests.accept,
        on_job_update=host.job_updates.on_update,
        on_client_left=host.requests.client_left,
        is_request_known=host.requests.is_request_known,
    )


def _discovery_client(core, configuration, settings):
    endpoint_updates = core.host.endpoint_updates
    client = DiscoveryClient(
        core.loop,
        core.batch,
        tuple(configuration["discovery"]),
        configuration["known"].get("index"),
        settings.discovery,
        on_list=endpoint_updates.on_list,
        on_failure=endpoint_updates.on_list_unavailable,
    )
    client.max_list_bytes = max_list_bytes(configuration["limits"]["memory_mb"])
    endpoint_updates.on_changes_lost = client.request_complete_list
    return client


def _read_gauges(batch, dispatcher, listener):
    """Returns the current gauges for the log: of the state that decisions depend on, and of what is held."""
    return _decision_gauges(batch, dispatcher) | _holding_gauges(batch, listener)


def _holding_gauges(batch, listener):
    memory = process_memory()
    return {
        "connections": len(listener.connections.accepted),
        "timers": len(batch.timers),
        "messages_kb": listener.memory.held_kb(),
        "unread_kb": listener.admission.unread.held_kb(),
        "memory_kb": memory.resident_kb,
        "peak_kb": memory.peak_kb,
    }


def _decision_gauges(batch, dispatcher):
    endpoints = dispatcher.endpoints
    healthy = endpoints.healthy
    now = batch.clock()
    return {
        "listed": len(healthy),
        "out": sum(endpoint.ejected_until > now for endpoint in healthy),
        "held": sum(request.queued for request in dispatcher.queue.waiting),
        "warming": sum(endpoints.warmth(endpoint, now) < 1 for endpoint in healthy),
        "unready": sum(not endpoints.is_ready(endpoint, now) for endpoint in healthy),
        "low_credit": sum(endpoint.credit < 1 for endpoint in healthy),
        "excess_ms": int(endpoints.lateness.excess_wait(now) / TICKS_PER_MILLISECOND),
    }


def _set_banned(host, messages, now, endpoint_id, is_banned, was_restarted=True):
    """Bans an endpoint or ends its ban, in both processes of this node."""
    is_known = host.endpoint_updates.set_banned(now, endpoint_id, is_banned, was_restarted)
    if is_known:
        messages.send_ban(endpoint_id, is_banned)
    return is_known


def _on_sharing_changed(core, peers, messages, is_shared):
    """Adapts the node when a second process of it starts, or when the process is the only one again."""
    core.pool.share_connections(is_shared)
    if not is_shared:
        peers.ensure_open()
        core.host.dispatcher.retry_budget.on_other_process_gone(core.batch.clock())
        messages.on_other_process_gone()


def _prepare_settings(node, configuration):
    """Returns a function that applies changed settings within one batch.

    Raises:
        Exception: The settings are invalid; nothing has changed.
    """
    settings = with_capped_interval(configuration["settings"])
    new_dispatcher = open_dispatcher(configuration["seed"], settings)
    part_settings = node_settings(settings)
    parts = node.parts

    def apply_change(now):
        """Applies the changed settings to each part."""
        adopt_settings(now, parts.host.dispatcher, new_dispatcher)
        parts.pool.apply_settings(part_settings.pool)
        parts.host.apply_settings(part_settings.requests)
        parts.listener.apply_settings(part_settings.listener)
        node.longest_timeout = part_settings.longest_timeout
        parts.peers.set_peers(configuration["peers"], int(settings["me"]))
        parts.discovery.apply_settings(part_settings.discovery)

    return apply_change
