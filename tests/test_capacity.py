"""The capacity command: each role has its row, and what is counted in it grows as the words do. No times."""

import doctest

import pytest

from benchmarks import (
    dispatcher_roles,
    fleet,
    fleet_cases,
    fleet_tables,
    measured_cluster,
    measurements,
    processes,
    roles,
    slopes,
)
from grebedyke.units import TICKS_PER_SECOND

ROLES = {
    "voter",
    "node: agreement and maintenance",
    "holder of limits",
    "holder of limits, all full",
    "node: limits",
    "node: limits, all full",
    "holder of limits, two full",
    "node: limits, two full",
    "driver of a plan",
    "voter in a plan",
    "node in a plan",
    "giver of an agreed configuration",
    "voter, agreed configuration",
    "node, agreed configuration",
    "restart of all: busiest",
    "restart of all: node",
    "regions cut: busiest",
    "regions cut: node",
    "an executor's place in the books",
    "an executor's place in the books, no probes",
    "discovery, for each node",
    "a datagram through the loop",
    "a reload of the file",
    "a node process",
    "a node process of a fleet",
}
KINDS = "full", "wanted", "probes", "what", "fleet"


@pytest.mark.parametrize(
    "module", [slopes, fleet_tables, measurements, measured_cluster], ids=lambda module: module.__name__
)
def test_examples_of_fit_and_reading_off(module):
    failed, tried = doctest.testmod(module)
    assert tried and not failed


def test_quick_run_has_a_row_for_each_role():
    """Of the quick run's cases the smallest of each kind; the rest differ from these in size alone."""
    smallest = {}
    for case in fleet_cases.cases(True):
        call, against, size, shape = case
        kind = call, *(shape.get(key) for key in KINDS if against == "nodes" or key not in ("full", "wanted"))
        if kind not in smallest or shape.get("nodes", size) < smallest[kind].arguments.get("nodes", size):
            smallest[kind] = case
    shorter = {processes.process: {"span": 0.1}, roles.scene: {"span": 4 * TICKS_PER_SECOND}}
    found = [
        case._replace(arguments=case.arguments | shorter.get(case.call, {})) for case in smallest.values()
    ]
    lines = []
    rows = fleet.run(found, 3, lines.append)
    assert not [line for line in lines if line.startswith("failed")]
    assert {row["role"] for row in rows} == ROLES
    assert all(value >= 0 for row in rows for name, value in row["quantities"].items() if "CPU" not in name)
    assert all(row["quantities"]["undelivered"] == 0 for row in rows if row["role"] == "driver of a plan")
    text = "\n".join(fleet_tables.page(rows, 1.0, "here"))
    assert all(f"| {role} |" in text for role in ROLES)


def test_a_voters_words_grow_by_each_nodes_asks():
    """Four asks a lease of 2 s, each answered by each voter."""
    rows = [row for nodes in (8, 16, 40) for row in roles.idle("nodes", nodes, nodes, 4 * TICKS_PER_SECOND)]
    grown = fleet_tables.slopes(rows)
    for way in "out", "in":
        slope = grown["voter", "nodes"]["messages " + way][2]
        assert abs(slope.each - 2) < 0.1 and slope.line_left < 0.03
    assert grown["node: agreement and maintenance", "nodes"]["messages out"][1] == [10] * 3
    value, beyond = slopes.read_off(slope, 760)
    assert beyond and 1_450 < value < 1_600


def test_holder_hears_and_answers_three_asks_a_lease():
    rows = [
        row
        for nodes in (8, 16)
        for row in roles.limited("nodes", nodes, nodes, 4 * TICKS_PER_SECOND, wanted=2)
    ]
    grown = fleet_tables.slopes(rows)["holder of limits", "nodes"]
    few, many = grown["messages in"][1]
    assert abs((many - few) / 8 - 1.5) < 0.1


def test_books_grow_by_forwards_under_way():
    more = {"executors": 100, "invocations": 5}
    rows = [row for n in (10, 100) for row in dispatcher_roles.placed("forwards", n, forwards=n, **more)]
    grown = fleet_tables.slopes(rows)["an executor's place in the books", "forwards"]
    assert grown["forwards"][1] == [10, 100]
    assert 500 < grown["state for forwards"][2].each < 3_000
