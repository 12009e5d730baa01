"""What nodes tell each other: one short message, packed and read without I/O.

A version, a kind and the ask's number go before the kind's own figures; all else is of another build.
"""

from struct import Struct

from grebedyke.model.outcome import Outcome

OUTCOMES = [*Outcome]

VERSION = 1
HEAD = Struct("<BBI")
FIGURES = {
    "ask": Struct("<IIIBBBBBB"),
    "lend": Struct("<I"),
    "none": Struct("<?"),
    "began": Struct("<I?"),
    "news": Struct("<"),
    "end": Struct("<BB"),
}
KINDS = [*FIGURES]
NO_REPORT = 255


def pack(kind, number, *figures):
    """
    >>> unpack(pack("end", 7, "ok", 2.5)) == ("end", 7, "ok", 2.5)
    True
    >>> unpack(pack("end", 7, "full", None)) == ("end", 7, "full", None)
    True
    >>> unpack(pack("ask", 2 ** 32 - 1, 5, 80_000, 2.7e12, 0, 400, 1, 0, 0, 0))
    ('ask', 4294967295, 5, 80000, 4294967295, 0, 255, 1, 0, 0, 0)
    """
    if kind == "end":
        outcome, free = figures
        told = NO_REPORT if free is None else min(max(int(free * 10), 0), NO_REPORT - 1)
        figures = OUTCOMES.index(outcome), told
    elif kind == "ask":
        figures = [min(max(int(x), 0), 2**32 - 1 if i < 3 else 255) for i, x in enumerate(figures)]
    elif kind == "began":
        figures = min(max(int(figures[0]), 0), 2**32 - 1), figures[1]
    return HEAD.pack(VERSION, KINDS.index(kind), number) + FIGURES[kind].pack(*figures)


def unpack(body):
    """(kind, number, figures ...), or None where it cannot be read.

    >>> [unpack(body) for body in (b"", b"1" * 300, pack("news", 3)[:-1], b"\\x02" + pack("news", 3)[1:])]
    [None, None, None, None]
    """
    if len(body) < HEAD.size:
        return None
    version, kind, number = HEAD.unpack_from(body)
    if version != VERSION or kind >= len(KINDS) or len(body) != HEAD.size + FIGURES[KINDS[kind]].size:
        return None
    figures = FIGURES[KINDS[kind]].unpack_from(body, HEAD.size)
    if KINDS[kind] == "end":
        outcome, free = figures
        outcome = OUTCOMES[outcome] if outcome < len(OUTCOMES) else Outcome.FAILED
        figures = outcome, None if free == NO_REPORT else free / 10
    return KINDS[kind], number, *figures


def deliver(host, now, by, body):
    """Another node's word as a call on this one's dispatcher; what cannot be read is nothing."""
    word = unpack(body)
    if not (
        word
        and host.uses_coordinators
        and by != host.endpoints.node_number
        and 0 <= by < host.endpoints.node_count
    ):
        return
    kind, number, *figures = word
    if kind == "ask":
        host.bid(now, (by, number), *figures)
    elif kind == "lend":
        host.lent(now, by, number, *figures)
    elif kind == "none":
        host.refused(now, number, *figures)
    elif kind == "began":
        host.started(now, (by, number), 0, figures[1], figures[0])
    elif kind == "news":
        host.progressed(now, (by, number), 0)
    else:
        host.ended(now, (by, number), 0, figures[0], True, figures[1])
