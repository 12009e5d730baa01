"""Framing: splits a message into datagrams of at most 1,200 bytes and reassembles it.

Each datagram carries its protocol version, fleet tag and message number. Datagrams of another version or
fleet and corrupt datagrams are dropped and counted.
"""

from collections import OrderedDict
from hashlib import blake2s
from struct import Struct
from typing import NamedTuple
from zlib import crc32

import msgpack

VERSION = 2
"""The first byte of a datagram. Peer messages (`wire/peer_codec.py`) begin with 1."""
LARGEST_DATAGRAM = 1_200
"""In bytes."""
MAX_FRAGMENTS = 64
"""Per message: enough for a plan of some hundred machines; a longer message would not survive packet loss."""
MAX_INCOMPLETE = 16
"""Incomplete messages kept per sender; beyond that the oldest is discarded."""

HEADER = Struct("<B4sIIBB")
"""Version, fleet tag, checksum of the remainder, message number, fragment index, fragment count."""
FRAGMENT_SIZE = LARGEST_DATAGRAM - HEADER.size
"""Maximum size of a fragment's payload, in bytes."""
CHECKED_HEADER = Struct("<IBB")
"""The header fields that the checksum covers: message number, fragment index, fragment count."""


class Fragment(NamedTuple):
    """The content of a datagram.

    Attributes:
        number: The number of the message, which distinguishes the messages of one sender.
        index: The fragment's position in the message.
        count: The number of fragments in the message.
        payload: The fragment's part of the message.
    """

    number: int
    index: int
    count: int
    payload: bytes


def fleet_tag(fleet):
    """Returns the fleet tag, a 4-byte hash of a fleet's name."""
    return blake2s(fleet.encode(), digest_size=4).digest()


def pack(tag, number, message):
    """Returns the datagrams of a message.

    Args:
        tag: The fleet's tag, see `fleet_tag`.
        number: Distinguishes the messages of this sender.
        message: A value that msgpack can pack.

    Raises:
        ValueError: The message is too long.

    >>> datagrams = pack(fleet_tag("f"), 7, ["l", "board", b"x" * 3000])
    >>> [len(datagram) for datagram in datagrams]
    [1200, 1200, 657]
    >>> Reassembler(fleet_tag("f")).take(0, datagrams[0]) is None
    True
    """
    data = msgpack.packb(message)
    payloads = [data[start : start + FRAGMENT_SIZE] for start in range(0, len(data), FRAGMENT_SIZE)] or [b""]
    if len(payloads) > MAX_FRAGMENTS:
        raise ValueError(f"a message of {len(data)} bytes is too long")
    return [
        _pack_fragment(tag, Fragment(number % 2**32, index, len(payloads), payload))
        for index, payload in enumerate(payloads)
    ]


def _pack_fragment(tag, fragment):
    number, index, count, payload = fragment
    return HEADER.pack(VERSION, tag, _checksum(fragment), number, index, count) + payload


def _checksum(fragment):
    return crc32(CHECKED_HEADER.pack(fragment.number, fragment.index, fragment.count) + fragment.payload)


class Reassembler:
    """Reassembles messages from datagrams; its memory is bounded for any input.

    Attributes:
        tag: The fleet's tag, see `fleet_tag`.
        incomplete: The payloads received so far, by sender, message number and index.
        undecodable_count: Number of datagrams and messages that could not be decoded.

    >>> reassembler, datagrams = Reassembler(fleet_tag("f")), pack(fleet_tag("f"), 7, ["l", b"x" * 3000])
    >>> [reassembler.take(3, datagrams[index]) is not None for index in (2, 0, 0, 1)]
    [False, False, False, True]
    >>> reassembler.take(3, pack(fleet_tag("g"), 8, ["l"])[0]), reassembler.take(3, b"?")
    (None, None)
    >>> reassembler.undecodable_count
    2
    """

    def __init__(self, tag):
        self.tag = tag
        self.incomplete = {}
        self.undecodable_count = 0

    def take(self, sender, datagram):
        """Returns the message that a datagram completes, or None."""
        fragment = self._read(datagram)
        if fragment is None:
            self.undecodable_count += 1
            return None
        data = fragment.payload if fragment.count == 1 else self._join(sender, fragment)
        if data is None:
            return None
        try:
            message = msgpack.unpackb(data, strict_map_key=False)
        except (ValueError, msgpack.UnpackException):
            message = None
        if not isinstance(message, list) or not message:
            self.undecodable_count += 1
            return None
        return message

    def _read(self, datagram):
        """Returns the fragment in a datagram, or None if it is invalid or of another fleet or version."""
        if not HEADER.size <= len(datagram) <= LARGEST_DATAGRAM:
            return None
        version, tag, checksum, number, index, count = HEADER.unpack_from(datagram)
        fragment = Fragment(number, index, count, datagram[HEADER.size :])
        if version != VERSION or tag != self.tag or not index < count <= MAX_FRAGMENTS:
            return None
        return fragment if checksum == _checksum(fragment) else None

    def _join(self, sender, fragment):
        """Stores a fragment; returns the message's bytes if it is complete, else None."""
        sender_messages = self.incomplete.setdefault(sender, OrderedDict())
        payloads = sender_messages.setdefault(fragment.number, {})
        payloads[fragment.index] = fragment.payload
        if len(sender_messages) > MAX_INCOMPLETE:
            sender_messages.popitem(last=False)
        if len(payloads) < fragment.count:
            return None
        sender_messages.pop(fragment.number, None)
        return b"".join(payloads[index] for index in range(fragment.count))
