import os

import orjson
from loguru import logger

from grebedyke.service import log
from grebedyke.service.metrics import Metrics


def read_all(fd):
    os.set_blocking(fd, False)
    data = b""
    try:
        while piece := os.read(fd, 1 << 16):
            data += piece
    except BlockingIOError:
        pass
    return data


def test_a_reader_that_stops_holds_nothing_up_and_is_told_what_it_missed():
    # A log line that waits for its reader keeps the loop waiting, with all that it owes.
    out, into = os.pipe()
    sink = log.NonBlockingSink(into, lambda n: f"{n} dropped\n")
    line = "x" * 999 + "\n"
    for _ in range(1_000):
        sink.write(line)  # a pipe holds 65,536 bytes
    assert 900 < sink.dropped < 1_000
    missed, before = sink.dropped, read_all(out)
    assert len(before) == 1_000 * (1_000 - missed) and before.endswith(b"\n")
    sink.write("again\n")
    assert read_all(out) == b"%d dropped\nagain\n" % missed and not sink.dropped
    # A long line that is cut ends as a line of its own.
    for _ in range(60):
        sink.write(line)
    sink.write("y" * 20_000 + "\n")
    read_all(out)
    sink.write("last\n")
    assert read_all(out).endswith(b"1 dropped\nlast\n")
    os.close(out)
    for _ in range(3):
        sink.write(line)  # nobody there any more: no exception either
    os.close(into)
    sink.write(line)


def test_json_lines_have_stable_keys_and_figures_as_numbers():
    out, into = os.pipe()
    log.open_log("n\u0171", form="json", descriptor=into)
    metrics = Metrics()
    metrics.count("taken")
    metrics.record_wait(25)
    metrics.read_levels = lambda: {"out": 2}
    metrics.report()
    logger.info("phase {before} -> {after}", event="phase", before="a", after="b")
    try:
        raise ValueError("{braces}")
    except ValueError:
        logger.exception("turn: {call} failed", event="turn-fault", call="x{y}")
    logger.info("plain {}", "words")
    logger.remove()
    rows = [orjson.loads(line) for line in read_all(out).splitlines()]
    assert all([*row][:4] == ["time", "level", "node", "event"] and row["node"] == "n\u0171" for row in rows)
    assert [row["event"] for row in rows] == ["counts", "phase", "turn-fault", "text"]
    assert rows[0]["taken"] == 1 and rows[0]["out"] == 2 and rows[0]["wait_p50_ms"] == 2.5
    assert rows[1]["after"] == "b" and "{braces}" in rows[2]["trace"] and rows[3]["text"] == "plain words"
    os.close(out)
    os.close(into)
