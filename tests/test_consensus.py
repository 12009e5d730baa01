"""Consensus by hand: three voters whose messages and disks a test holds back, loses or replaces."""

from contextlib import nullcontext

import pytest

from grebedyke import errors
from grebedyke.consensus.acceptor import MemberPhase
from grebedyke.consensus.actions import PersistRecord, SendMessage
from grebedyke.consensus.ballots import Incarnation
from grebedyke.consensus.consensus import Consensus
from grebedyke.consensus.messages import Accepted
from grebedyke.maintenance.rollout import Rollout
from grebedyke.model.seeded_random import SeededRandom
from grebedyke.testbed import broken_builds
from grebedyke.testbed.simulated_cluster import SimulatedCluster

ROUND_TIMEOUT = 500
STEP = 100
LONGEST_RUN = 40_000


def let_all_through(sender, receiver, message):
    return True


def ignore_result(now, result):
    """For a proposal whose result the test does not look at."""


class VoterGroup:
    """Three voters, their disks, and the messages that are under way between them."""

    def __init__(self):
        self.disks = [{}, {}, {}]
        self.in_transit = []
        self.start_count = 0
        self.voters = [self.start(node) for node in range(3)]

    def start(self, node):
        """Another process of that node, from what its disk has."""
        self.start_count += 1
        process = 100 + self.start_count
        voter = Consensus(SeededRandom(node), "f", node, 3, [0, 1, 2], process, ROUND_TIMEOUT)
        voter.restore(0, dict(self.disks[node]) or {"votes": None})
        return voter

    def restart(self, node, disk):
        """Starts that node anew with another disk."""
        self.disks[node] = dict(disk)
        self.voters[node] = self.start(node)
        return self.voters[node]

    def take_actions(self, now, node, is_disk_working=True):
        """Takes all actions of one voter; a disk that does not work leaves its writes under way."""
        voter = self.voters[node]
        while (action := voter.next_action(now)) is not None:
            if isinstance(action, SendMessage):
                self.in_transit.append((node, *action))
            elif isinstance(action, PersistRecord) and is_disk_working:
                self.disks[node][action.file] = action.data
                voter.record_persisted(now, action.file, action.number, True)

    def run(self, now, until=lambda: False, passes=let_all_through, nodes=(0, 1, 2)):
        """Goes on until something holds, at most for LONGEST_RUN; returns the time then.

        `passes(sender, receiver, message)` tells which messages arrive.
        """
        start = now
        for now in range(start, start + LONGEST_RUN, STEP):
            for node in nodes:
                self.take_actions(now, node)
            in_transit, self.in_transit = self.in_transit, []
            for sender, receiver, message in in_transit:
                if receiver in nodes and passes(sender, receiver, message):
                    self.voters[receiver].receive(now, sender, message)
            if until():
                return now
        return now

    def run_until_voting(self, now, node, nodes=(0, 1, 2)):
        """Goes on until that node votes."""
        return self.run(now, lambda: self.voters[node].acceptor.phase == MemberPhase.VOTING, nodes=nodes)

    def choose(self, now, node, value, passes=let_all_through):
        """Has a value proposed at one node; returns the time and the results."""
        results = []
        self.voters[node].propose(
            now, "k", lambda old: (value, True), lambda now, result: results.append(result)
        )
        now = self.run(now, lambda: results, passes)
        return now, results

    def remembers_vote_count(self, node, of):
        """Whether one voter knows all votes of another."""
        remembered = self.voters[node].acceptor.vote_counts.get(of)
        return remembered == self.voters[of].acceptor.vote_count


def founded_group():
    group = VoterGroup()
    now = group.run(0, lambda: all(voter.acceptor.phase == MemberPhase.VOTING for voter in group.voters))
    return group, now


def test_a_fleet_is_founded_once_and_a_restart_goes_on():
    group, now = founded_group()
    now, results = group.choose(now, 0, {"v": 1})
    assert results == [True]
    for phase, disk, incarnation_number in (
        (MemberPhase.CHECKING, dict(group.disks[1]), 1),
        # Without its record it has another incarnation, and knows what it had voted for all the same.
        (MemberPhase.FOUNDING, {}, 2),
    ):
        voter = group.restart(1, disk)
        assert voter.acceptor.phase == phase
        now = group.run_until_voting(now, 1)
        assert voter.acceptor.incarnation.number == incarnation_number
        assert voter.acceptor.registers["k"].value == {"v": 1}


def test_only_what_is_on_the_disk_is_announced_as_persisted():
    """A member that was killed between two writes was taken for an older copy of itself.

    It had announced the vote count of the second write, which was not yet under way.
    """
    group, now = founded_group()
    voter = group.voters[1]
    voter.receive(now, 0, ["p", "k", [50, 0, 9], 1, [0, 1, 2]])
    group.take_actions(now, 1, is_disk_working=False)
    # While the first one's write is under way:
    voter.receive(now, 0, ["p", "k", [51, 0, 9], 1, [0, 1, 2]])
    voter.record_persisted(now, "votes", voter.store.write_number, True)
    group.take_actions(now, 1, is_disk_working=False)
    announced = [message for sender, _, message in group.in_transit if sender == 1 and message[0] == "h"]
    assert announced and all(count == voter.acceptor.vote_count - 1 for _, _, count in announced)


def older_copy_votes():
    """Whether node 1 votes by an older copy of its record with the help of node 0, which has forgotten."""
    group, now = founded_group()
    now, _ = group.choose(now, 0, {"v": 1})
    older_copy = dict(group.disks[1])
    now, _ = group.choose(now, 0, {"v": 2})
    now = group.run(now, lambda: all(group.remembers_vote_count(node, of=1) for node in (0, 2)))
    group.restart(0, {})
    now = group.run_until_voting(now, 0)
    voter = group.restart(1, older_copy)
    group.run(now, lambda: voter.acceptor.phase != MemberPhase.CHECKING, nodes=(0, 1))
    return voter.acceptor.phase == MemberPhase.VOTING


def test_who_is_let_in_again_knows_how_far_the_others_are():
    """Simulated round 100304: a member that had rejoined let another one vote by an older copy of its record.

    It had been told the others' incarnations and not their vote counts, so that both together had forgotten.
    """
    assert not older_copy_votes()
    with broken_builds.build("who is let in again does not hear how far the others are"):
        assert older_copy_votes()


def test_long_values_are_sent_by_what_changed_and_whoever_lacks_the_base_asks():
    group, now = founded_group()
    long_value = {"rev": 1, "plan": {str(item): "x" * 20 for item in range(50)}}
    now, _ = group.choose(now, 0, long_value)
    now = group.run(now, lambda: all(voter.chosen_value("k") == long_value for voter in group.voters))
    kinds_sent = []

    def record_kind(sender, receiver, message):
        kinds_sent.append(message[0])
        return True

    now, _ = group.choose(now, 0, {**long_value, "rev": 2}, record_kind)
    now = group.run(
        now, lambda: all(voter.chosen_value("k")["rev"] == 2 for voter in group.voters), record_kind
    )
    assert {kind for kind in kinds_sent if kind in "ld?"} == {"d"}

    def cut_off(sender, receiver, message):
        return receiver != 2

    def not_asked_to_vote(sender, receiver, message):
        record_kind(sender, receiver, message)
        return not (receiver == 2 and message[0] in "pa")

    # One that was cut off lacks what the next change was made of.
    now, _ = group.choose(now, 0, {**long_value, "rev": 3}, cut_off)
    now = group.run(now, passes=cut_off)
    now, _ = group.choose(now, 0, {**long_value, "rev": 4}, not_asked_to_vote)
    now = group.run(now, lambda: group.voters[2].chosen_value("k")["rev"] == 4, record_kind)
    assert group.voters[2].chosen_value("k") == {**long_value, "rev": 4} and "?" in kinds_sent


def test_a_file_that_is_corrupt_older_or_another_nodes():
    group, now = founded_group()
    older_copy = dict(group.disks[2])
    now, _ = group.choose(now, 0, {"v": 1})
    now = group.run(now, lambda: group.remembers_vote_count(0, of=2))
    newest = group.disks[2]["votes"]
    for disk in (older_copy, {"votes": newest[:-3] + b"???"}, {"votes": b""}):
        voter = group.restart(2, disk)
        phases = []

        def votes(voter=voter, phases=phases):
            phases.append(voter.acceptor.phase)
            return phases[-1] == MemberPhase.VOTING

        now = group.run(now, votes)
        assert MemberPhase.FORGOTTEN in phases and phases[-1] == MemberPhase.VOTING, disk
    of_another_fleet = Consensus(SeededRandom(0), "g", 2, 3, [0, 1, 2], 5, ROUND_TIMEOUT)
    with pytest.raises(errors.ForeignRecordError):
        of_another_fleet.restore(0, {"votes": newest})


def test_two_that_have_forgotten_are_no_majority():
    group, now = founded_group()
    now, _ = group.choose(now, 0, {"v": 1})
    for node in (1, 2):
        group.restart(node, {})
    now = group.run(now, lambda: False)
    assert [group.voters[node].acceptor.phase for node in (1, 2)] == [MemberPhase.FORGOTTEN] * 2
    # Said plainly, not half done.
    assert group.choose(now, 0, {"v": 2})[1] == [None]


@pytest.mark.parametrize("build", [None, "votes of past lives count"])
def test_a_vote_of_an_incarnation_that_is_past_does_not_count(build):
    """Two acceptances, of which one voter has forgotten its own since, are no majority.

    Node 1 votes, forgets, and rejoins with the help of node 2, which votes for the same value only then:
    together they would be a majority of which one no longer knows the value.
    """
    group, now = founded_group()
    proposer = group.voters[0].proposer
    results = []
    group.voters[0].propose(
        now, "k", lambda old: ({"v": 1}, True), lambda now, result: results.append(result)
    )
    while "k" not in proposer.rounds or not proposer.rounds["k"].is_accepting:
        now = group.run(now, lambda: True, lambda sender, receiver, message: message[0] != "a") + STEP
    round_ = proposer.rounds["k"]
    round_.accepted.clear()
    past = group.voters[1].acceptor.incarnation
    rejoined = {1: Incarnation(past.number + 1, 77)}
    of_second = group.voters[2].acceptor.incarnation
    with broken_builds.build(build) if build else nullcontext():
        proposer.on_accepted(now, 1, Accepted("k", round_.ballot, past, {}, 5))
        proposer.on_accepted(now, 2, Accepted("k", round_.ballot, of_second, rejoined, 6))
    assert bool(results) == bool(build)


def test_members_change_one_at_a_time_and_all_values_come_along():
    world = SimulatedCluster(3, nodes=5, faults=0)
    for host in world.nodes:
        host.start()
    world.run(20_000)
    members = [host.components[0] for host in world.nodes]
    answers = []
    members[4].propose(
        world.nodes[4].clock(),
        "board",
        lambda value: (Rollout().encode(), True),
        lambda now, result: answers.append(result),
    )
    world.nodes[4].run_components()
    world.run(40_000)
    for path in (b"add/3", b"remove/0", b"add/4"):
        members[1].operator_call(
            world.nodes[1].clock(),
            lambda *answer: answers.append(answer),
            b"POST",
            b"/v1/agreement/" + path,
            None,
        )
        world.nodes[1].run_components()
        world.run(world.now + 60_000)
    assert answers == [True, (200, "done"), (200, "done"), (200, "done")]
    assert [member.members for member in members] == [[1, 2, 3, 4]] * 5
    assert [member.acceptor.phase for member in members] == ["out", *[MemberPhase.VOTING] * 4]
    assert all(member.chosen_value("members")["settled"] for member in members)
    assert members[4].acceptor.registers["board"].value == Rollout().encode()


def test_promises_that_come_late_do_not_count():
    """Simulated rounds 201147 and 201191: what a change rested on was old.

    Its proposer had been stopped between its question and the answers.
    """
    group, now = founded_group()
    voter = group.voters[0]
    values_seen = []

    def change(value):
        values_seen.append(value)
        return {"v": 1}, True

    voter.propose(now, "k", change, ignore_result)
    group.take_actions(now, 0)
    first_round = voter.proposer.rounds["k"]
    for sender in (1, 2):
        promise = ["P", "k", first_round.ballot, [1, 101 + sender], {}, [0, 0, 0], None]
        voter.receive(first_round.expires_at, sender, promise)
    assert not values_seen and not first_round.is_accepting
    assert group.choose(now, 0, {"v": 2})[1] == [True] and values_seen


def test_values_are_agreed_on_though_each_write_takes_longer_than_the_wait():
    """On a disk with slow syncs no value was ever chosen: each round had the same time again."""
    group, start = founded_group()
    results = []
    group.voters[0].propose(
        start, "k", lambda old: ({"v": 1}, True), lambda now, result: results.append(result)
    )
    writes = []
    for now in range(start, start + LONGEST_RUN, STEP):
        for node, voter in enumerate(group.voters):
            finished = [write for write in writes if write[0] == node and write[1] <= now]
            writes = [write for write in writes if write not in finished]
            for _, _, number in finished:
                voter.record_persisted(now, "votes", number, True)
            while (action := voter.next_action(now)) is not None:
                if isinstance(action, SendMessage):
                    group.in_transit.append((node, *action))
                elif isinstance(action, PersistRecord):
                    writes.append((node, now + 600, action.number))
        in_transit, group.in_transit = group.in_transit, []
        for sender, receiver, message in in_transit:
            group.voters[receiver].receive(now, sender, message)
    assert results == [True] and group.voters[0].proposer.timeout_doublings > 0
