"""What a member's record on disk holds, under the names it has there."""

from grebedyke.consensus.acceptor import MemberPhase
from grebedyke.consensus.ballots import decode_incarnation, decode_register


def fields_of(acceptor):
    """Returns the content of the record, in the order of its keys."""
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
    """Sets an acceptor to what a record holds; whether that is the newest is for the others to tell.

    In the record's order: what was read before a field that is another build's stays.

    Raises:
        KeyError, TypeError, ValueError: The record is another build's.
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
