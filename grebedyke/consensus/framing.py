"""A message as datagrams of 1,200 bytes at most, and back. No I/O.

Each datagram says which build, fleet and message it is of; what is not of this fleet, spoilt or of another
build is nothing.
"""

from collections import OrderedDict
from hashlib import blake2s
from struct import Struct
from zlib import crc32

import msgpack

# Words between nodes (wire/peer_codec.py) begin with 1; a datagram that begins otherwise is not theirs.
VERSION = 2
HEAD = Struct("<B4sIIBB")  # version, fleet, checksum of the rest, message, which piece, how many
LARGEST = 1_200
PIECE = LARGEST - HEAD.size
# A board of some hundred machines; more would be a message that no loss lets through.
MOST_PIECES, MOST_OPEN = 64, 16


def mark(fleet):
    """Four bytes that stand for a fleet's name."""
    return blake2s(fleet.encode(), digest_size=4).digest()


def pack(fleet_mark, number, message):
    """The datagrams of one message; `number` tells this sender's messages apart.

    >>> frames = pack(mark("f"), 7, ["l", "board", b"x" * 3000])
    >>> [len(f) for f in frames], Whole(mark("f")).take(0, frames[0]) is None
    ([1200, 1200, 657], True)
    """
    data = msgpack.packb(message)
    pieces = [data[i : i + PIECE] for i in range(0, len(data), PIECE)] or [b""]
    if len(pieces) > MOST_PIECES:
        raise ValueError(f"a message of {len(data)} bytes is too long")
    return [frame(fleet_mark, number % 2**32, i, len(pieces), piece) for i, piece in enumerate(pieces)]


def frame(fleet_mark, number, i, count, piece):
    check = crc32(Struct("<IBB").pack(number, i, count) + piece)
    return HEAD.pack(VERSION, fleet_mark, check, number, i, count) + piece


class Whole:
    """Puts messages together again; bounded, whatever comes.

    >>> w, frames = Whole(mark("f")), pack(mark("f"), 7, ["l", b"x" * 3000])
    >>> [w.take(3, f) is not None for f in (frames[2], frames[0], frames[0], frames[1])]
    [False, False, False, True]
    >>> w.take(3, pack(mark("g"), 8, ["l"])[0]), w.take(3, b"?"), w.odd
    (None, None, 2)
    """

    def __init__(self, fleet_mark):
        self.mark, self.open, self.odd = fleet_mark, {}, 0

    def take(self, by, data):
        """The message that this datagram makes whole, else None."""
        if len(data) < HEAD.size or len(data) > LARGEST:
            return self.nothing()
        version, fleet, check, number, i, count = HEAD.unpack_from(data)
        piece = data[HEAD.size :]
        whole = version == VERSION and fleet == self.mark and i < count <= MOST_PIECES
        if not whole or check != crc32(Struct("<IBB").pack(number, i, count) + piece):
            return self.nothing()
        if count > 1:
            parts = self.open.setdefault(by, OrderedDict())
            have = parts.setdefault(number, {})
            have[i] = piece
            if len(parts) > MOST_OPEN:
                parts.popitem(last=False)  # its other pieces are lost
            if len(have) < count:
                return None
            parts.pop(number, None)
            piece = b"".join(have[k] for k in range(count))
        try:
            message = msgpack.unpackb(piece, strict_map_key=False)
        except (ValueError, msgpack.UnpackException):
            return self.nothing()
        return message if isinstance(message, list) and message else self.nothing()

    def nothing(self):
        self.odd += 1
