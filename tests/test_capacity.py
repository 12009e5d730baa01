"""The rows of `benchmarks.fleet` and the growth of message counts and sizes; CPU times are not tested."""

import doctest

import pytest

from benchmarks import (
    dispatcher_roles,
    fleet,
    fleet_cases,
    fleet_tables,
    growth_fit,
    measured_cluster,
    measurements,
    processes,
    roles,
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
CASE_ARGUMENTS = "full", "wanted", "probes", "scene_name", "fleet"


@pytest.mark.parametrize(
    "module", [growth_fit, fleet_tables, measurements, measured_cluster], ids=lambda module: module.__name__
)
def test_doctests(module):
    failed, tried = doctest.testmod(module)
    assert tried and not failed


def test_quick_run_has_a_row_for_each_role():
    """Runs the smallest of the quick run's cases of each kind; the others differ from these only in size."""
    smallest = {}
    for case in fleet_cases.cases(True):
        call, parameter, size, shape = case
        kind = (
            call,
            *(
                shape.get(key)
                for key in CASE_ARGUMENTS
                if parameter == "nodes" or key not in ("full", "wanted")
            ),
        )
        if kind not in smallest or shape.get("nodes", size) < smallest[kind].arguments.get("nodes", size):
            smallest[kind] = case
    shorter = {processes.process: {"span": 0.1}, roles.scene: {"span": 4 * TICKS_PER_SECOND}}
    cases = [
        case._replace(arguments=case.arguments | shorter.get(case.call, {})) for case in smallest.values()
    ]
    lines = []
    rows = fleet.run_cases(cases, 3, lines.append)
    assert not [line for line in lines if line.startswith("failed")]
    assert {row["role"] for row in rows} == ROLES
    assert all(value >= 0 for row in rows for name, value in row["quantities"].items() if "CPU" not in name)
    assert all(row["quantities"]["undelivered"] == 0 for row in rows if row["role"] == "driver of a plan")
    text = "\n".join(fleet_tables.page_lines(rows, 1.0, "here"))
    assert all(f"| {role} |" in text for role in ROLES)


def test_voter_messages_grow_with_number_of_nodes():
    """Each node sends four requests per lease of 2 s to each voter, which answers each of them."""
    rows = [row for nodes in (8, 16, 40) for row in roles.idle("nodes", nodes, nodes, 4 * TICKS_PER_SECOND)]
    growths = fleet_tables.fit_growths(rows)
    for direction in "out", "in":
        fit = growths["voter", "nodes"]["messages " + direction][2]
        assert abs(fit.slope - 2) < 0.1 and fit.line_error < 0.03
    assert growths["node: agreement and maintenance", "nodes"]["messages out"][1] == [10] * 3
    value, is_extrapolated = growth_fit.estimate(fit, 760)
    assert is_extrapolated and 1_450 < value < 1_600


def test_lease_holder_gets_three_requests_per_node_and_lease():
    rows = [
        row
        for nodes in (8, 16)
        for row in roles.limited("nodes", nodes, nodes, 4 * TICKS_PER_SECOND, wanted=2)
    ]
    growths = fleet_tables.fit_growths(rows)["holder of limits", "nodes"]
    few, many = growths["messages in"][1]
    assert abs((many - few) / 8 - 1.5) < 0.1


def test_dispatcher_state_grows_with_attempts_in_flight():
    arguments = {"executors": 100, "requests": 5}
    rows = [row for n in (10, 100) for row in dispatcher_roles.placed("forwards", n, attempts=n, **arguments)]
    growths = fleet_tables.fit_growths(rows)["an executor's place in the books", "forwards"]
    assert growths["forwards"][1] == [10, 100]
    assert 500 < growths["state for forwards"][2].slope < 3_000
