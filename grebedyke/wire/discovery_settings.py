"""Timing of the discovery client, and the size of the lists that it accepts."""

from typing import NamedTuple

from grebedyke.wire.message_memory import BYTES_PER_MB

# A complete list can be far larger than the body of a job. Its objects take some eight times its bytes.
MAX_LIST_BYTES = 16 << 20
# Share of the node's memory limit for the bytes of a list.
LIST_SHARE = 1 / 48


def max_list_bytes(memory_mb):
    """Returns the maximum size of a list in bytes for a node with a memory limit in MB.

    >>> max_list_bytes(192), max_list_bytes(4_000) == MAX_LIST_BYTES
    (4000000, True)
    """
    return min(int(memory_mb * BYTES_PER_MB * LIST_SHARE), MAX_LIST_BYTES)


class DiscoverySettings(NamedTuple):
    """Timing of the discovery client, in ticks.

    Attributes:
        long_poll_wait: How long discovery may delay an answer without changes.
        answer_grace: Additional time after which the poll times out.
        retry_delay: Delay after the first failure; it doubles with each further failure.
        max_retry_delay: Upper bound of the delay. Above `retry_delay` for a discovery that all nodes share:
            the polls that it rejects come again, and must do so at a lower rate.
    """

    long_poll_wait: int
    answer_grace: int
    retry_delay: int
    max_retry_delay: int
