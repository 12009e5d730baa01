"""Totals over the logs of a fleet."""

from click.testing import CliRunner

from grebedyke.commands.main import cli
from grebedyke.fleetlog.parsing import parse_line
from grebedyke.fleetlog.totals import COLUMNS, FleetTotals
from grebedyke.service.metrics import END_COUNTS, REFUSED_STATUS_COUNTS, Metrics


def line(second, node, message, level="INFO"):
    return f"2026-12-01T10:00:{second:06.3f}+0000 {level} {node} {message}"


def totals_of(*lines, span=1.0):
    totals = FleetTotals(span)
    for text in lines:
        totals.add("file", parse_line(text))
    return totals


def test_counts_are_spread_over_the_time_since_the_previous_line():
    rows = totals_of(
        line(10, "a", "counts taken=0"),
        line(12, "a", "counts taken=8 full=2 out=1 listed=4"),
        line(10.5, "b", "counts taken=0"),
        line(11.5, "b", "counts taken=3 out=2 listed=4"),
    ).rows()
    by_second = {round(row.time): row.values for row in rows}
    # Seconds 10 and 11 get half of a's second line each, and half of b's second line (10.5 to 11.5) each.
    last_two = [by_second[second] for second in sorted(by_second)][-2:]
    assert [round(values["taken"], 2) for values in last_two] == [5.5, 5.5]
    assert [values["full"] for values in last_two] == [1, 1]
    assert min(by_second) == 0 and all(0 <= values["nodes"] <= 2.01 for values in by_second.values())
    assert round(sum(values["taken"] for values in by_second.values()), 6) == 11


def test_counts_of_a_restarted_node_are_not_spread_over_its_downtime():
    rows = totals_of(
        line(1, "a", "counts taken=5"), line(2, "a", "counts taken=5"), line(40, "a", "counts taken=6")
    ).rows()
    busy_times = [row.time for row in rows if row.values["taken"] > 0]
    assert len(rows) > 38 and not any(3 < time < 38 for time in busy_times)


def test_warnings_are_counted_by_pattern_and_unreadable_lines_separately():
    totals = totals_of(
        line(1, "a", "counts taken=1"),
        line(1.2, "a", "discovery: version 3 after 9", "WARNING"),
        line(1.4, "b", "discovery: version 5 after 7", "WARNING"),
        "Traceback (most recent call last):",
        "",
        "2026-99-01T10:00:00.000+0000 INFO a counts taken=1",
    )
    assert totals.events.most_common() == [(("WARNING", "discovery: version # after #"), 2)]
    assert totals.unreadable_lines == 3
    assert sum(row.values["warnings"] for row in totals.rows()) == 2


def test_each_count_of_a_node_has_a_column():
    # A count missing from the columns would look like a count of zero.
    shown_in_sum = {*REFUSED_STATUS_COUNTS, *END_COUNTS}
    assert {*Metrics().counts} - {*COLUMNS} == {"crowded", "odd", "faults", *shown_in_sum}


def test_command_reads_folders_and_writes_csv(tmp_path):
    (tmp_path / "logs").mkdir()
    for node in "ab":
        (tmp_path / "logs" / node).write_text(
            "\n".join(line(s, node, f"counts taken={s} forwards=2 wait_ms=1.0/2.0/3.0") for s in range(1, 5))
            + "\n\xff\n"
        )
    result = CliRunner().invoke(cli, ("fleet-log", str(tmp_path / "logs"), "--csv", str(tmp_path / "o.csv")))
    assert result.exit_code == 0 and "all: taken=20 forwards=16" in result.output
    assert "2 lines are not node log lines" in result.output and "full" not in result.output.splitlines()[0]
    assert (tmp_path / "o.csv").read_text().startswith("at,nodes,taken,")


def test_lines_of_two_clocks_end_the_command_without_exhausting_the_memory(tmp_path):
    """A row was created for each second between the two clocks; two runs ran out of memory."""
    lines = [line(1, "a", "counts taken=5"), f"1.5 {line(2, 'a', 'counts taken=6')}"]
    (tmp_path / "log").write_text("\n".join(lines) + "\n")
    result = CliRunner().invoke(cli, ("fleet-log", str(tmp_path / "log")))
    assert (
        result.exit_code == 2 and "read logs of different clocks separately" in result.output + result.stderr
    )
