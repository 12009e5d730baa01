"""The fields of a member's record on disk, under their stored names."""

from grebedyke.consensus.acceptor import MemberPhase
from grebedyke.consensus.ballots import decode_incarnation, decode_register


def record_fields(acceptor):
    """Returns the content of an acceptor's record; the order of the keys is part of the format."""
    return {
        "phase": acceptor.phase,
        "life": acceptor.incarnation,
        "seq": acceptor.vote_count,
        "epoch": acceptor.epoch,
        "members": acceptor.members,
        "lives": acceptor.incarnations,
        "seqs": acceptor.vote_counts,
        "registers": acceptor.registers,
    }


def load(acceptor, fields):
    """Loads an acceptor from a record. Only the other members can show whether the record is the newest.

    Fields are set one after the other; those set before an unreadable field of another build are kept.

    Raises:
        KeyError, TypeError, ValueError: The record was written by an incompatible build.
    """
    acceptor.incarnation = decode_incarnation(fields["life"])
    acceptor.vote_count = fields["seq"]
    acceptor.epoch = fields["epoch"]
    acceptor.members = list(fields["members"])
    acceptor.incarnations = {
        node: decode_incarnation(incarnation) for node, incarnation in fields["lives"].items()
    }
    acceptor.vote_counts = dict(fields["seqs"])
    acceptor.registers = {key: decode_register(register) for key, register in fields["registers"].items()}
    acceptor.phase = MemberPhase.FOUNDING if fields["phase"] == MemberPhase.FOUNDING else MemberPhase.CHECKING
