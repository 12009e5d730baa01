"""Encodes peer messages as datagrams and decodes them, without I/O.

A datagram consists of a version, a message kind, the number of the slot request and the fields of the kind,
all little-endian. Other datagrams come from other builds and are ignored. Kinds and outcomes are encoded as
their indices in `KINDS` and in `Outcome`.
"""

from struct import Struct

from grebedyke.model.outcome import Outcome
from grebedyke.model.peer_messages import (
    SlotDenial,
    SlotGrant,
    SlotProgressed,
    SlotReleased,
    SlotRequest,
    SlotStarted,
)

VERSION = 1
HEADER = Struct("<BBI")
FIELDS = {
    SlotRequest: Struct("<IIIBBBBBB"),
    SlotGrant: Struct("<I"),
    SlotDenial: Struct("<?"),
    SlotStarted: Struct("<I?"),
    SlotProgressed: Struct("<"),
    SlotReleased: Struct("<BB"),
}
KINDS = [*FIELDS]
OUTCOMES = [*Outcome]
MAX_UINT32 = 2**32 - 1
MAX_BYTE = 255
# The first fields of a slot request (rank, time left, work) have four bytes, all others one byte.
UINT32_FIELD_COUNT = 3
# Free slots are encoded as tenths in one byte; the highest value means "no report".
FREE_SLOTS_UNIT = 10
NO_REPORT = 255


def encode(message):
    """Returns the datagram of a peer message; numbers are clamped to the range of their field.

    >>> decode(encode(SlotReleased(7, Outcome.SUCCEEDED, 2.5))) == SlotReleased(7, "ok", 2.5)
    True
    >>> decode(encode(SlotReleased(7, Outcome.REJECTED, None))) == SlotReleased(7, "full", None)
    True
    >>> decode(encode(SlotRequest(2 ** 32 - 1, 5, 80_000, 2.7e12, 0, 400, 1, 0, 0, 0)))[:6]
    (4294967295, 5, 80000, 4294967295, 0, 255)
    """
    kind = type(message)
    header = HEADER.pack(VERSION, KINDS.index(kind), message.number)
    return header + FIELDS[kind].pack(*_field_values(message))


def decode(body):
    r"""Returns the peer message in a datagram, or None if it is invalid.

    >>> progressed = encode(SlotProgressed(3))
    >>> [decode(body) for body in (b"", b"1" * 300, progressed[:-1], b"\x02" + progressed[1:])]
    [None, None, None, None]
    """
    if len(body) < HEADER.size:
        return None
    version, index, number = HEADER.unpack_from(body)
    if version != VERSION or index >= len(KINDS):
        return None
    kind = KINDS[index]
    if len(body) != HEADER.size + FIELDS[kind].size:
        return None
    fields = FIELDS[kind].unpack_from(body, HEADER.size)
    if kind is SlotReleased:
        outcome, free_slots = fields
        outcome = OUTCOMES[outcome] if outcome < len(OUTCOMES) else Outcome.FAILED
        return SlotReleased(
            number, outcome, None if free_slots == NO_REPORT else free_slots / FREE_SLOTS_UNIT
        )
    return kind(number, *fields)


def _field_values(message):
    """Returns the fields after the number, clamped to their ranges."""
    if isinstance(message, SlotReleased):
        return OUTCOMES.index(message.outcome), _encode_free_slots(message.free_slots)
    if isinstance(message, SlotStarted):
        return _clamp(message.start_delay, MAX_UINT32), message.opened_connection
    if isinstance(message, SlotRequest):
        fields = message[1:]
        return [_clamp(x, MAX_UINT32 if i < UINT32_FIELD_COUNT else MAX_BYTE) for i, x in enumerate(fields)]
    return message[1:]


def _encode_free_slots(free_slots):
    if free_slots is None:
        return NO_REPORT
    return min(max(int(free_slots * FREE_SLOTS_UNIT), 0), NO_REPORT - 1)


def _clamp(value, largest):
    return min(max(int(value), 0), largest)
