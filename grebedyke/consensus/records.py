"""Records as they lie on a disk: whose they are, a checksum, the content. No I/O."""

from hashlib import blake2b

import msgpack

from grebedyke.errors import CorruptRecordError, ForeignRecordError

MARK = b"grebedyke 1\n"
SUM = 16


def record(fleet, node, content):
    """
    >>> data = record("f", 3, {"life": 2})
    >>> content("f", 3, data)
    {'life': 2}
    >>> content("f", 3, data[:-1])
    Traceback (most recent call last):
    grebedyke.errors.CorruptRecordError: its checksum is wrong
    """
    body = msgpack.packb([fleet, node, content])
    return MARK + blake2b(body, digest_size=SUM).digest() + body


def content(fleet, node, data):
    """What was kept, or CorruptRecordError or ForeignRecordError."""
    head = len(MARK) + SUM
    if data[: len(MARK)] != MARK or blake2b(data[head:], digest_size=SUM).digest() != data[len(MARK) : head]:
        raise CorruptRecordError("its checksum is wrong")
    its_fleet, its_node, kept = msgpack.unpackb(data[head:], strict_map_key=False)
    if (its_fleet, its_node) != (fleet, node):
        raise ForeignRecordError(f"it is of node {its_node} of fleet {its_fleet}")
    return kept
