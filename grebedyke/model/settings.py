"""Settings of the dispatcher that do not belong to a single policy module."""

from typing import NamedTuple


class PolicyParts(NamedTuple):
    """Policy objects that a dispatcher is composed of.

    Attributes:
        cutoff_search: Finds the running times at which jobs are cancelled and restarted one tier up.
        endpoint_table: State of each endpoint: load, concurrency credit, health, warm-up.
        tenant_quotas: Decides which requests exceed their tenant's quota.
        retry_budget: Bounds the retries of this node.
    """

    cutoff_search: object
    endpoint_table: object
    tenant_quotas: object
    retry_budget: object


class Capabilities(NamedTuple):
    """Features of the deployment that the dispatcher may use.

    Attributes:
        cancels: Whether a running attempt can be cancelled.
        start_notices: Whether executors report the start of an attempt.
        probes: Whether an endpoint can be probed for its load.
        polls_list: Whether the endpoint list has to be polled.
    """

    cancels: bool
    start_notices: bool
    probes: bool
    polls_list: bool


class RequestLimits(NamedTuple):
    """Bounds on requests.

    Attributes:
        max_attempts: Maximum attempts of a request, including the first.
        max_retry_after: Longest time that a throttled client is told to wait, in ticks.
        max_open: Maximum open requests on this node.
    """

    max_attempts: int
    max_retry_after: int
    max_open: int


class DispatcherSettings(NamedTuple):
    """Settings of a dispatcher that are in force.

    Attributes:
        operations: Operations by name, including those of earlier settings that open requests may still use.
        peer_operations: Operations of the current settings, in the order used by peer messages.
        scheduling_interval: Interval in ticks to which the host rounds times.
        weighs_by_work: Whether the value of an answer, and so the benefit of crossing zones, grows with the
            work done.
        capabilities: Features of the deployment.
        limits: Bounds on requests.
    """

    operations: dict
    peer_operations: list
    scheduling_interval: int
    weighs_by_work: bool
    capabilities: Capabilities
    limits: RequestLimits

    def peer_operation_index(self, operation):
        """Returns the index of an operation in peer messages, or None if the current settings lack it.

        The lookup is by name: a request that waits across a reload keeps its original operation object.
        """
        names = [known.name for known in self.peer_operations]
        return names.index(operation.name) if operation.name in names else None
