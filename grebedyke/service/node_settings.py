"""Derives the settings of each part of a node from the deployment's settings."""

import resource
from typing import NamedTuple

from grebedyke.service.request_settings import RequestSettings
from grebedyke.units import TICKS_PER_MILLISECOND, TICKS_PER_SECOND, ticks
from grebedyke.wire.client_listener import ListenerSettings
from grebedyke.wire.connection_table import ConnectionLimits
from grebedyke.wire.discovery_settings import DiscoverySettings
from grebedyke.wire.executor_pool import PoolSettings

# Descriptors that are not part of any share: log and loop (6), listeners, datagrams, discovery (2), hot
# restart, a file, and the listener's spare connections (connection_table.SPARE_CONNECTIONS). When the shares
# covered all descriptors, idle clients left none for discovery on a node with 128 or fewer.
RESERVED_DESCRIPTORS = 22
UNLIMITED_DESCRIPTORS = 1 << 20
# Minimum number of scheduling intervals in the shortest client timeout.
INTERVALS_PER_TIMEOUT = 50
MIN_INTERVAL_MS = 0.1
# Scheduling intervals between an answer and the client's own timeout.
RESPONSE_MARGIN_INTERVALS = 4
# Ticks added to the longest client timeout for a connection to complete a message.
MESSAGE_GRACE = TICKS_PER_SECOND
# Maximum ticks for which discovery holds back an answer without changes. With registryMode "push", discovery
# is an agent on the node's machine. Its changes count as known two seconds after that, and an agent that does
# not answer is polled again before.
LONG_POLL_WAIT = 2 * TICKS_PER_SECOND
MIN_DRAIN_GRACE = TICKS_PER_SECOND // 5
MAX_AGENT_GRACE = TICKS_PER_SECOND // 2
MAX_AGENT_RETRY_DELAY = TICKS_PER_SECOND // 4
SHARED_DISCOVERY_GRACE = 1_500 * TICKS_PER_MILLISECOND
SHARED_DISCOVERY_RETRY_DELAY = 250 * TICKS_PER_MILLISECOND
SHARED_DISCOVERY_MAX_RETRY_DELAY = 750 * TICKS_PER_MILLISECOND


class NodeSettings(NamedTuple):
    """The settings of a node's parts, computed at the start and at each reload.

    Attributes:
        pool: Settings of the connections to executors.
        requests: Settings of requests, attempts and probes.
        listener: Settings of the client listener.
        discovery: Settings of the discovery client.
        longest_timeout: The longest client timeout, in ticks.
    """

    pool: PoolSettings
    requests: RequestSettings
    listener: ListenerSettings
    discovery: DiscoverySettings
    longest_timeout: int


class DescriptorShares(NamedTuple):
    """The distribution of a node's file descriptors.

    Attributes:
        executor_connections: Maximum number of connections to executors.
        client_connections: Limits for connections of clients.
        admin_connections: Maximum number of connections of operators.
    """

    executor_connections: int
    client_connections: ConnectionLimits
    admin_connections: int


def node_settings(settings):
    """Returns the `NodeSettings` for a deployment's settings."""
    longest_timeout = _longest_timeout(settings)
    limits = settings["limits"]
    # An idle connection is closed after half the time after which the executor would close it: a request that
    # crosses the executor's close ends with a reset, and its job may have run.
    pool = PoolSettings(
        max_idle_time=ticks(limits["connIdleMs"]) // 2, connect_timeout=ticks(limits["connectTimeoutMs"])
    )
    listener = ListenerSettings(
        client_timeouts={row["name"]: ticks(row["clientTimeoutMs"]) for row in settings["operations"]},
        message_timeout=longest_timeout + MESSAGE_GRACE,
    )
    return NodeSettings(
        pool, _request_settings(settings), listener, _discovery_settings(settings), longest_timeout
    )


def with_capped_interval(settings):
    """Returns the settings with a scheduling interval that is short enough for the shortest client timeout.

    The steps before a deadline take nine intervals in total, so an interval of 10 ms leaves no time of a
    timeout of 100 ms. A shorter interval costs nothing: batches run when events arrive, and the interval is
    only the tolerance for the lateness of a step.
    """
    shortest = min(row["clientTimeoutMs"] for row in settings["operations"])
    interval = max(min(settings["tickMs"], shortest / INTERVALS_PER_TIMEOUT), MIN_INTERVAL_MS)
    return {**settings, "tickMs": interval}


def descriptor_shares(max_descriptors):
    """Distributes the descriptors that the configuration and the process's limit allow.

    An attempt occupies its connection to an executor only until the 202. The clients' share has one
    connection for each waiting request; the rest is for new clients, which are told to retry later.
    """
    process_limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    if process_limit <= 0:
        process_limit = UNLIMITED_DESCRIPTORS
    available = min(max_descriptors, process_limit) - RESERVED_DESCRIPTORS
    return DescriptorShares(
        executor_connections=max(available // 4, 1),
        client_connections=ConnectionLimits(
            max_connections=available * 5 // 8, max_client_connections=available * 3 // 10
        ),
        admin_connections=available // 16,
    )


def _longest_timeout(settings):
    return ticks(max(row["clientTimeoutMs"] for row in settings["operations"]))


def _request_settings(settings):
    limits = settings["limits"]
    interval = ticks(settings["tickMs"])
    reports_load = settings["telemetry"]["how"] != "off"
    return RequestSettings(
        max_attempts=int(limits["maxForwards"]),
        max_open_requests=int(limits["maxOpen"]),
        probe_path=b"/metrics/load" if reports_load else b"/alive",
        response_timeout=2 * ticks(limits["connectTimeoutMs"]),
        response_margin=RESPONSE_MARGIN_INTERVALS * interval,
        scheduling_interval=interval,
        identifier_retention=_longest_timeout(settings) + MESSAGE_GRACE,
    )


def _discovery_settings(settings):
    """Returns settings with which the client follows the endpoint list by itself, also if lists are polled.

    The policy's own polling has a back-off of up to 16 s with 40 nodes, so changes counted as known long
    before they arrived.
    """
    if settings["registryMode"] != "push":
        # All nodes share one discovery service, which answers polls one by one, within 2 s, and rejects
        # excess ones. When it was polled as often as an agent, 32 nodes timed out while their polls were
        # queued there, and none got an answer.
        return DiscoverySettings(
            long_poll_wait=LONG_POLL_WAIT,
            answer_grace=SHARED_DISCOVERY_GRACE,
            retry_delay=SHARED_DISCOVERY_RETRY_DELAY,
            max_retry_delay=SHARED_DISCOVERY_MAX_RETRY_DELAY,
        )
    # An agent's changes may count as known as soon as discovery is back after an outage. A poll that got no
    # answer since before the outage is therefore repeated within the drain grace, and early enough that
    # further polls without an answer time out within 6 s.
    drain_grace = max(ticks(settings["rules"]["drainGraceMs"]), MIN_DRAIN_GRACE)
    retry_delay = min(MAX_AGENT_RETRY_DELAY, drain_grace // 4)
    return DiscoverySettings(
        long_poll_wait=LONG_POLL_WAIT,
        answer_grace=min(MAX_AGENT_GRACE, drain_grace // 2),
        retry_delay=retry_delay,
        max_retry_delay=retry_delay,
    )
