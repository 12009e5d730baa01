from click.testing import CliRunner

from grebedyke.commands.main import cli
from grebedyke.fleetlog import reading, summing
from grebedyke.service.metrics import Metrics


def line(second, node, words, level="INFO"):
    return f"2026-12-01T10:00:{second:06.3f}+0000 {level} {node} {words}"


def fleet(*lines, span=1.0):
    f = summing.Fleet(span)
    for text in lines:
        f.add("file", reading.read(text))
    return f


def test_counts_are_spread_over_the_time_that_they_are_of():
    rows = fleet(
        line(10, "a", "counts taken=0"),
        line(12, "a", "counts taken=8 full=2 out=1 listed=4"),
        line(10.5, "b", "counts taken=0"),
        line(11.5, "b", "counts taken=3 out=2 listed=4"),
    ).rows()
    by_second = {round(at): row for at, row in rows}
    first = min(by_second)
    # Of a's line the seconds 10 and 11 get half each, of b's 10.5 to 11.5 half each.
    at = sorted(by_second)
    tens = [by_second[s] for s in at][-2:]
    assert [round(r["taken"], 2) for r in tens] == [5.5, 5.5] and [r["full"] for r in tens] == [1, 1]
    assert first == 0 and all(0 <= r["nodes"] <= 2.01 for r in by_second.values())
    assert round(sum(r["taken"] for r in by_second.values()), 6) == 11


def test_a_node_that_began_anew_does_not_spread_over_its_death():
    rows = fleet(
        line(1, "a", "counts taken=5"), line(2, "a", "counts taken=5"), line(40, "a", "counts taken=6")
    ).rows()
    busy = [at for at, row in rows if row["taken"] > 0]
    assert len(rows) > 38 and not any(3 < at < 38 for at in busy)


def test_warnings_are_counted_by_kind_and_odd_lines_apart():
    f = fleet(
        line(1, "a", "counts taken=1"),
        line(1.2, "a", "discovery: version 3 after 9", "WARNING"),
        line(1.4, "b", "discovery: version 5 after 7", "WARNING"),
        "Traceback (most recent call last):",
        "",
        "2026-99-01T10:00:00.000+0000 INFO a counts taken=1",
    )
    assert f.events.most_common() == [(("WARNING", "discovery: version # after #"), 2)] and f.odd == 3
    assert sum(row["warnings"] for _, row in f.rows()) == 2


def test_all_that_a_node_counts_has_its_column():
    # A counter that the node gains and the tool drops would pass for nothing having happened.
    assert {*Metrics().counts} - {*summing.COLUMNS} == {"crowded", "odd", "faults"}


def test_the_command_reads_folders_and_writes_csv(tmp_path):
    (tmp_path / "logs").mkdir()
    for node in "ab":
        (tmp_path / "logs" / node).write_text(
            "\n".join(line(s, node, f"counts taken={s} forwards=2 wait_ms=1.0/2.0/3.0") for s in range(1, 5))
            + "\n\xff\n"
        )
    result = CliRunner().invoke(cli, ("fleet-log", str(tmp_path / "logs"), "--csv", str(tmp_path / "o.csv")))
    assert result.exit_code == 0 and "all: taken=20 forwards=16" in result.output
    assert "2 lines were no node's" in result.output and "full" not in result.output.splitlines()[0]
    assert (tmp_path / "o.csv").read_text().startswith("at,nodes,taken,")
