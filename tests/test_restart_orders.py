"""Hot restarts in which news and the transfer of the state are handled in every order."""

from itertools import permutations, product

import pytest
from loguru import logger
from node_files import LISTED_ROW
from process_pair import DISCOVERY_ADDRESS, DiscoveryLog, SteppedProcess, settle

NAMES = ("s-1", "s-2", "s-3", "s-4")
OTHER_DISCOVERY = "127.0.0.1:3"
# "s-4" is banned at first.
EXPECTED_AT_FIRST = {"s-1": "healthy", "s-2": "healthy", "s-3": "healthy", "s-4": "banned"}


@pytest.fixture(autouse=True)
def without_log():
    """Turns the log off, which would have some thousand lines."""
    logger.disable("grebedyke")
    yield
    logger.enable("grebedyke")


def row(name, status="Ready"):
    """Returns discovery's row of an executor."""
    return {**LISTED_ROW, "name": name, "status": status}


class Restart:
    """A node with an old process that serves, and a new one that has just started.

    Attributes:
        discovery: The `DiscoveryLog` of both processes.
        old: The old process.
        new: The new process, which has said hello.
        expected: The states that an undisturbed process would have.
    """

    def __init__(self, new_address=DISCOVERY_ADDRESS):
        self.discovery = DiscoveryLog(*map(row, NAMES))
        known = {"index": 1, "endpoints": [*map(row, NAMES)]}
        self.old = SteppedProcess(self.discovery, known)
        self.old.call_operator("s-4", True)
        self.old.run_batch()
        # The new process's file is older than the list.
        self.new = SteppedProcess(self.discovery, {"index": 1, "endpoints": []}, new_address)
        self.new.run_batch()
        self.new.connect_to(self.old)
        self.expected = {**EXPECTED_AT_FIRST}

    # The steps.

    def hello_is_read(self):
        assert self.old.read_message()

    def drain_is_read(self):
        self.discovery.change(row("s-1", "Terminating"))
        self.old.read_discovery()
        self.expected["s-1"] = "draining"

    def removal_is_read(self):
        self.discovery.change(row("s-2", "Gone"))
        self.old.read_discovery()
        del self.expected["s-2"]

    def start_is_read(self):
        self.discovery.change(row("s-5"))
        self.old.read_discovery()
        self.expected["s-5"] = "healthy"

    def discovery_moves(self):
        host, _, port = OTHER_DISCOVERY.rpartition(":")
        self.old.node.parts.discovery.set_address(host, int(port))

    def discovery_elsewhere(self):
        """Returns another discovery's log of the same list; its versions are lower."""
        rows = {row["name"]: row for _, row in self.discovery.changes}
        return DiscoveryLog(*rows.values())

    def ban_is_read(self):
        self.old.call_operator("s-3", True)
        self.expected["s-3"] = "banned"

    def end_of_ban_is_read(self):
        self.old.call_operator("s-4", False)
        self.expected["s-4"] = "healthy"


NEWS = (
    Restart.drain_is_read,
    Restart.removal_is_read,
    Restart.start_is_read,
    Restart.ban_is_read,
    Restart.end_of_ban_is_read,
)


def orders():
    """Yields orders of the hello and two pieces of news, each step with or without a batch after it."""
    for pair in permutations(NEWS, 2):
        for position in range(3):
            steps = [*pair]
            steps.insert(position, Restart.hello_is_read)
            for batches in product((False, True), repeat=3):
                yield [*zip(steps, batches, strict=True)]


def play(order):
    """Takes the steps in this order; then the old process handles all that waits.

    Returns:
        The `Restart`, in which the new process has not read its messages.
    """
    restart = Restart()
    for step, runs_batch in order:
        step(restart)
        if runs_batch:
            restart.old.run_batch()
    settle(restart.old)
    return restart


def text_of(order):
    """Returns the order as text, for a failed assertion."""
    return ", ".join(step.__name__ + ("; batch" if runs_batch else "") for step, runs_batch in order)


# Guards against: a drain that was read but not applied when the state was sent never reached the new process.
def test_new_process_knows_all_news_of_the_old_one_in_every_order():
    wrong = {}
    for order in orders():
        restart = play(order)
        settle(restart.new, restart.old)
        restart.new.read_discovery()
        settle(restart.new, restart.old)
        assert restart.old.states() == restart.expected
        if restart.new.states() != restart.expected:
            wrong[text_of(order)] = restart.new.states()
    assert not wrong, f"{len(wrong)} orders, the first: {next(iter(wrong.items()))}"


# Guards against: a version of one discovery that stands for the list of another, as the address has changed
# while rows of the first one wait.
def test_new_process_knows_all_although_discovery_moves_beside_its_start():
    wrong = {}
    steps = (Restart.drain_is_read, Restart.hello_is_read, Restart.discovery_moves, Restart.ban_is_read)
    for order in permutations(steps):
        for batches in product((False, True), repeat=len(steps)):
            restart = Restart(OTHER_DISCOVERY)
            for step, runs_batch in zip(order, batches, strict=True):
                step(restart)
                if runs_batch:
                    restart.old.run_batch()
            settle(restart.old, restart.new)
            for process in (restart.old, restart.new):
                process.discovery = restart.discovery_elsewhere()
                process.read_discovery()
            settle(restart.old, restart.new)
            if not restart.old.states() == restart.new.states() == restart.expected:
                wrong[text_of(zip(order, batches, strict=True))] = restart.old.states(), restart.new.states()
    assert not wrong, f"{len(wrong)} orders, the first: {next(iter(wrong.items()))}"


# Guards against: a process that is replaced before it has applied the inherited state passed on less than it
# vouched for.
def test_third_process_knows_what_the_second_one_has_not_applied_yet():
    wrong = {}
    for order in orders():
        restart = play(order)
        while restart.new.read_message():
            pass
        third = SteppedProcess(restart.discovery, {"index": 1, "endpoints": []})
        third.run_batch()
        third.connect_to(restart.new)
        restart.new.read_message()
        settle(restart.new, third)
        third.read_discovery()
        settle(restart.new, third)
        if third.states() != restart.expected:
            wrong[text_of(order)] = third.states()
    assert not wrong, f"{len(wrong)} orders, the first: {next(iter(wrong.items()))}"


# Guards against: discovery told a change to one process of an upgrade and then failed; the other went on
# without it, and alone after the first one's end.
def test_news_that_one_process_reads_reach_the_other_although_discovery_fails():
    wrong = {}
    for order in orders():
        restart = play(order)
        settle(restart.new, restart.old)
        if restart.new.states() != restart.expected:
            wrong[text_of(order)] = restart.new.states()
    assert not wrong, f"{len(wrong)} orders, the first: {next(iter(wrong.items()))}"


def test_news_that_the_new_process_reads_reach_the_old_one():
    restart = Restart()
    settle(restart.old, restart.new)
    restart.discovery.change(row("s-1", "Terminating"))
    restart.new.read_discovery()
    restart.discovery.change(row("s-2", "Gone"))
    restart.new.read_discovery()
    settle(restart.new, restart.old)
    assert restart.old.states() == {"s-1": "draining", "s-3": "healthy", "s-4": "banned"}
    # What it reads afterwards from its own version on changes nothing.
    restart.old.read_discovery()
    settle(restart.old, restart.new)
    assert (
        restart.old.states()
        == restart.new.states()
        == {
            "s-1": "draining",
            "s-3": "healthy",
            "s-4": "banned",
        }
    )


# Guards against: an operator's ban of an executor that the other process did not know yet was lost there.
def test_ban_of_an_executor_that_only_one_process_knows_applies_to_both():
    restart = Restart()
    settle(restart.old, restart.new)
    restart.start_is_read()
    restart.old.call_operator("s-5", True)
    settle(restart.old, restart.new)
    restart.new.read_discovery()
    settle(restart.new, restart.old)
    assert restart.old.states()["s-5"] == restart.new.states()["s-5"] == "banned"


# Guards against: a late answer of discovery undid a change that the other process had passed on.
def test_answer_that_is_older_than_a_list_passed_on_changes_nothing():
    restart = Restart()
    settle(restart.old, restart.new)
    older = restart.discovery.answer(1)
    restart.discovery.change(row("s-1", "Terminating"))
    version = restart.discovery.changes[-1][0]
    restart.old.read_discovery()
    settle(restart.old, restart.new)
    restart.new.read_answer(older)
    settle(restart.new, restart.old)
    assert restart.new.states()["s-1"] == "draining"
    assert restart.new.node.parts.host.endpoint_updates.applied.number == version


def test_list_is_not_sent_to_a_process_that_does_not_read():
    """The other process stands still; its own polls tell it what it misses."""
    restart = Restart()
    settle(restart.old, restart.new)
    (channel,) = restart.old.channels
    channel.is_congested = lambda: True
    restart.drain_is_read()
    restart.old.run_batch()
    channel.is_congested = lambda: False
    restart.removal_is_read()
    settle(restart.old, restart.new)
    # The second change alone would hide that the first one is missing.
    assert restart.new.states() == EXPECTED_AT_FIRST
    restart.new.read_discovery()
    settle(restart.new)
    assert restart.new.states() == restart.expected
