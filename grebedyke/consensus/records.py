"""Records on disk: a header, a checksum, and the content with whose it is."""

from hashlib import blake2b

import msgpack

from grebedyke.errors import CorruptRecordError, ForeignRecordError

HEADER = b"grebedyke 1\n"
CHECKSUM_SIZE = 16


def encode(fleet, node, content):
    """Returns the bytes of a record.

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
    """Returns the content of a record.

    Raises:
        CorruptRecordError: The bytes are not those that were written.
        ForeignRecordError: The record is another node's or another fleet's.
    """
    body_start = len(HEADER) + CHECKSUM_SIZE
    header = data[: len(HEADER)]
    checksum = data[len(HEADER) : body_start]
    body = data[body_start:]
    if header != HEADER or _checksum(body) != checksum:
        raise CorruptRecordError("its checksum is wrong")
    record_fleet, record_node, content = msgpack.unpackb(body, strict_map_key=False)
    if (record_fleet, record_node) != (fleet, node):
        raise ForeignRecordError(f"it is of node {record_node} of fleet {record_fleet}")
    return content


def _checksum(body):
    return blake2b(body, digest_size=CHECKSUM_SIZE).digest()
