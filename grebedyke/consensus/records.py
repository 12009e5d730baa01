"""Records on disk: a header, a checksum and a body with fleet, node and content."""

from hashlib import blake2b

import msgpack

from grebedyke.errors import CorruptRecordError, ForeignRecordError

HEADER = b"grebedyke 1\n"
CHECKSUM_SIZE = 16


def encode(fleet, node, content):
    """Returns the bytes of a record, with its fleet and node.

    >>> data = encode("f", 3, {"life": 2})
    >>> decode("f", 3, data)
    {'life': 2}
    >>> decode("f", 3, data[:-1])
    Traceback (most recent call last):
    grebedyke.errors.CorruptRecordError: its checksum is wrong
    """
    body = msgpack.packb([fleet, node, content])
    return HEADER + _checksum(body) + body


def decode(fleet, node, data):
    """Returns the content of a record after checking its checksum, fleet and node.

    Raises:
        CorruptRecordError: The header or the checksum is wrong.
        ForeignRecordError: The record belongs to another node or fleet.
    """
    body_start = len(HEADER) + CHECKSUM_SIZE
    header = data[: len(HEADER)]
    checksum = data[len(HEADER) : body_start]
    body = data[body_start:]
    if header != HEADER or _checksum(body) != checksum:
        raise CorruptRecordError("its checksum is wrong")
    record_fleet, record_node, content = msgpack.unpackb(body, strict_map_key=False)
    if (record_fleet, record_node) != (fleet, node):
        raise ForeignRecordError(f"it belongs to node {record_node} of fleet {record_fleet}")
    return content


def _checksum(body):
    return blake2b(body, digest_size=CHECKSUM_SIZE).digest()
