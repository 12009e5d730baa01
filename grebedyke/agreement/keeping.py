"""Records as they lie on a disk: whose they are, a checksum, the content. No I/O."""

from hashlib import blake2b

import msgpack

MARK = b"grebedyke 1\n"
SUM = 16


class Spoilt(Exception):
    """The file is there and is not what was written."""


class Foreign(Exception):
    """The file is another fleet's or another node's."""


def record(fleet, node, content):
    """
    >>> data = record("f", 3, {"life": 2})
    >>> content("f", 3, data)
    {'life': 2}
    >>> content("f", 3, data[:-1])
    Traceback (most recent call last):
    grebedyke.agreement.keeping.Spoilt: its checksum is wrong
    """
    body = msgpack.packb([fleet, node, content])
    return MARK + blake2b(body, digest_size=SUM).digest() + body


def content(fleet, node, data):
    """What was kept, or Spoilt or Foreign."""
    head = len(MARK) + SUM
    if data[: len(MARK)] != MARK or blake2b(data[head:], digest_size=SUM).digest() != data[len(MARK) : head]:
        raise Spoilt("its checksum is wrong")
    its_fleet, its_node, kept = msgpack.unpackb(data[head:], strict_map_key=False)
    if (its_fleet, its_node) != (fleet, node):
        raise Foreign(f"it is of node {its_node} of fleet {its_fleet}")
    return kept
