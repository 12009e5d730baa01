"""Settings of the dispatcher that are no rule's own."""

from typing import NamedTuple


class PolicyParts(NamedTuple):
    """The parts that a dispatcher is put together of.

    Attributes:
        cutoff_search: Running times at which jobs are cancelled and restarted one tier up.
        endpoint_table: What is known of each endpoint: load, concurrency credit, health, warm-up.
        tenant_quotas: Which requests are beyond their tenant's share.
        retry_budget: How many retries this node may still send.
    """

    cutoff_search: object
    endpoint_table: object
    tenant_quotas: object
    retry_budget: object


class Capabilities(NamedTuple):
    """What the deployment offers to the dispatcher.

    Attributes:
        cancels: A running attempt can be cancelled.
        start_notices: Executors report when an attempt starts to run.
        probes: An endpoint can be asked for its load.
        polls_list: The endpoint list comes only when it is asked for.
    """

    cancels: bool
    start_notices: bool
    probes: bool
    polls_list: bool


class RequestLimits(NamedTuple):
    """Bounds on requests.

    Attributes:
        max_attempts: Attempts of one request, the first included.
        max_retry_after: Longest time that a throttled client is told to wait, in ticks.
        max_open: Requests open at once on this node.
    """

    max_attempts: int
    max_retry_after: int
    max_open: int


class DispatcherSettings(NamedTuple):
    """Settings in force of a dispatcher.

    Attributes:
        operations: Operations by name, those of earlier settings included as long as requests may have them.
        peer_operations: The operations of the present settings, in the order that peer messages use.
        scheduling_interval: What the host rounds times to, in ticks.
        weighs_by_work: What is paid for an answer, and so crossing zones, depends on the work done.
        capabilities: What the deployment offers.
        limits: Bounds on requests.
    """

    operations: dict
    peer_operations: list
    scheduling_interval: int
    weighs_by_work: bool
    capabilities: Capabilities
    limits: RequestLimits

    def peer_number(self, operation):
        """The number of an operation in peer messages, by its name; None where the settings lack it now.

        A request that waits across a reload keeps the operation that it was taken with.
        """
        names = [known.name for known in self.peer_operations]
        return names.index(operation.name) if operation.name in names else None
