"""The version of the endpoint list stands only for changes that are applied."""

import os

import orjson
import pytest
from node_files import LISTED_ROW
from process_pair import DiscoveryLog, SteppedProcess, settle

from grebedyke.wire.endpoint_rows import ListedEndpoint
from grebedyke.wire.list_update import ListVersion

NAMES = ("s-1", "s-2")


def row(name, status="Ready"):
    """Returns discovery's row of an executor."""
    return {**LISTED_ROW, "name": name, "status": status}


@pytest.fixture
def discovery():
    """Returns a `DiscoveryLog` at version 1."""
    return DiscoveryLog(*map(row, NAMES))


@pytest.fixture
def process(discovery):
    """Returns a process that has applied the list."""
    process = SteppedProcess(discovery, {"index": 1, "endpoints": [*map(row, NAMES)]})
    process.run_batch()
    return process


def fail_once(monkeypatch, owner, method):
    """Makes the next call of a method raise an error."""
    original = getattr(owner, method)

    def fail(*arguments):
        monkeypatch.setattr(owner, method, original)
        raise ValueError("a defect")

    monkeypatch.setattr(owner, method, fail)


# Guards against: a list whose application failed counted as known, and its rows never came again.
def test_changes_that_could_not_be_applied_are_requested_again(process, discovery, monkeypatch):
    updates = process.node.parts.host.endpoint_updates
    fail_once(monkeypatch, process.node.parts.host.dispatcher, "handle")
    discovery.change(row("s-1", "Terminating"))
    process.read_discovery()
    discovery.change(row("s-2", "Gone"))
    process.read_discovery()
    process.run_batch()
    # The second change does not make up for the first one, which is lost.
    assert process.states() == {"s-1": "healthy", "s-2": "healthy"} and updates.applied.number is None
    assert process.node.parts.discovery.version is None
    process.read_discovery()
    process.run_batch()
    assert process.states() == {"s-1": "draining"} and updates.applied.number == 3


# Guards against: a node that serves, and has its predecessor stopped, before it has
# applied discovery's first answer.
def test_first_answer_counts_when_it_is_applied(process):
    first_result = process.node.parts.discovery.first_result
    process.read_discovery()
    assert not first_result.is_set()
    process.run_batch()
    assert first_result.is_set()


# Guards against: the components of a fleet, and the start, went by an inherited state that was read only.
def test_state_counts_as_inherited_when_it_is_applied(process, discovery):
    new = SteppedProcess(discovery, {"index": 1, "endpoints": []})
    new.run_batch()
    new.connect_to(process)
    settle(process)
    assert new.read_message()
    # The end of the old process in that moment changes nothing: its state has been read.
    new.hot_restart._on_end(new.hot_restart.predecessor)
    assert not new.hot_restart.has_inherited and not new.hot_restart._state_applied.done()
    new.run_batch()
    assert new.hot_restart.has_inherited and new.hot_restart._state_applied.result() == []
    assert new.states() == {"s-1": "healthy", "s-2": "healthy"}


# Guards against: a state that could not be applied left a process with the version of a list that it had not.
def test_process_that_cannot_apply_the_state_serves_alone_with_a_complete_list(
    process, discovery, monkeypatch
):
    new = SteppedProcess(discovery, {"index": 1, "endpoints": []})
    new.run_batch()
    new.connect_to(process)
    settle(process)
    fail_once(monkeypatch, new.node.parts.host.dispatcher.endpoints, "restore")
    channel = new.hot_restart.predecessor
    closed = []
    monkeypatch.setattr(channel, "close", lambda: closed.append(channel))
    reader, writer = os.pipe()
    new.hot_restart._on_message(channel, orjson.loads(channel.incoming.pop()), [writer])
    new.run_batch()
    assert closed and not new.hot_restart.has_inherited
    assert new.hot_restart._state_applied.result() is None
    assert os.read(reader, 1) == b""  # the listening socket that came with the state is closed
    os.close(reader)
    assert new.node.parts.host.endpoint_updates.applied == ListVersion(("127.0.0.1", 1), None)
    new.read_discovery()
    new.run_batch()
    assert new.states() == {"s-1": "healthy", "s-2": "healthy"}


# Guards against: maintenance of a new process judged executors by the list of its file, however old that was.
def test_components_of_a_new_process_get_the_inherited_list(process, discovery):
    discovery.change(row("s-1", "Terminating"))
    discovery.change(row("s-3") | {"since_ms": 5_000, "weight": 2})
    process.read_discovery()
    process.run_batch()
    new = SteppedProcess(discovery, {"index": 1, "endpoints": [*map(row, NAMES)]})
    new.run_batch()
    received = []
    new.node.parts.host.endpoint_updates.list_listener = lambda now, *update: received.append(update)
    new.connect_to(process)
    settle(process, new)
    ((is_complete, rows),) = received
    assert is_complete and {listed.name: (listed.state, listed.since_ms) for listed in rows} == {
        "s-1": ("draining", 0),
        "s-2": ("healthy", 0),
        "s-3": ("healthy", 5_000),
    }
    assert rows[-1] == ListedEndpoint("s-3", ("127.0.0.1", 9), "a", "m", 0, "healthy", 5_000, 2)
