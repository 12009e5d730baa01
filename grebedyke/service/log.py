"""The node's log and the histograms that it gives at intervals."""

import os
import select
import traceback

import orjson
from hdrh.histogram import HdrHistogram
from loguru import logger

OUTCOMES = ("succeeded", "throttled", "errored", "left")
# What a node did at the others, and how forwards ended that did not go well.
DEEDS = ("forwards", "again", "probes", "connects", "lists")
ENDS = {
    "full": "full",
    "reset": "reset",
    "timeout": "timeout",
    "no connection": "unconnected",
    "fault": "fault",
    "cancelled": "cancelled",
    "moot": "moot",
}


FORMATS = "text", "json"
# What a pipe takes at once when it says that it takes anything.
PIPE = 4096


class Sink:
    """Writes whole lines to a descriptor, but never waits for whoever reads it: the loop would wait as well.

    What does not fit is dropped, counted, and told by a line of its own (`lost(count)`) once there is room.
    """

    def __init__(self, fd, lost):
        self.fd, self.lost, self.dropped, self.cut = fd, lost, 0, False
        self.poll = select.poll()
        self.poll.register(fd, select.POLLOUT)

    def write(self, text):
        if self.dropped and self.put(self.lost(self.dropped).encode()):
            self.dropped = 0
        if self.dropped or not self.put(text.encode(errors="replace")):
            self.dropped += 1

    def put(self, data):
        """False: none of it, or not all, as a reader stopped in its middle; the rest of that line is not
        sent.
        """
        data = b"\n" + data if self.cut else data
        try:
            for i in range(0, len(data), PIPE):
                ready = self.poll.poll(0)
                if not ready or not ready[0][1] & select.POLLOUT:
                    self.cut = self.cut or i > 0
                    return False
                os.write(self.fd, data[i : i + PIPE])
        except OSError:
            return False  # closed: there is nobody to be told
        self.cut = False
        return True


def json_line(record):
    """One object: time, level, node, event, and the event's own fields.

    Without an event's name the text itself is there, as `text`; a traceback as `trace`.
    """
    extra = dict(record["extra"])
    row = {
        "time": record["time"].isoformat(timespec="milliseconds"),
        "level": record["level"].name,
        "node": extra.pop("node", "-"),
        "event": extra.pop("event", "text"),
    }
    row |= extra if row["event"] != "text" else {"text": record["message"]}
    if record["exception"] and record["exception"].value:
        row["trace"] = "".join(traceback.format_exception(record["exception"].value))
    return orjson.dumps(row, default=str, option=orjson.OPT_NON_STR_KEYS).decode() + "\n"


def open_log(name, level="INFO", form="text", fd=2):
    logger.remove()
    logger.configure(extra={"node": name})
    if form == "json":
        sink = Sink(
            fd,
            lambda n: orjson.dumps(
                {"level": "WARNING", "node": name, "event": "log-dropped", "lines": n}
            ).decode()
            + "\n",
        )
        # No braces of the line itself are to be taken for fields.
        logger.add(lambda message: sink.write(json_line(message.record)), level=level, format="{message}")
        return
    sink = Sink(fd, lambda n: f"{n} log lines dropped: nobody read them\n")
    # No diagnose: values of variables in tracebacks are users' data.
    logger.add(
        sink.write,
        level=level,
        diagnose=False,
        format="{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level} {extra[node]} {message}",
    )


class Gauges:
    """Counts and histograms (tenths of a millisecond) since the last log line of theirs."""

    def __init__(self):
        self.seen = {name: HdrHistogram(1, 600_000, 2) for name in ("wait", "turn", "late", "stall")}
        names = "taken", *OUTCOMES, *DEEDS, *ENDS.values(), "crowded", "odd", "faults"
        self.counts = dict.fromkeys(names, 0)
        self.levels = dict  # what is so at the moment of the line, by name

    def count(self, name):
        self.counts[name] += 1

    def wait(self, tenths):
        self.seen["wait"].record_value(max(tenths, 1))

    def turn(self, tenths):
        self.seen["turn"].record_value(max(tenths, 1))

    def late(self, tenths):
        self.seen["late"].record_value(max(tenths, 1))

    def stall(self, tenths):
        self.seen["stall"].record_value(max(tenths, 1))

    def few(self, name):
        """Counts one; only the first few in an interval are worth a line, else a bad peer fills the log."""
        self.counts[name] += 1
        return self.counts[name] <= 5

    def report(self):
        fields = {name: n for name, n in self.counts.items() if n or name == "taken"}
        fields |= self.levels()
        words = [f"{name}={n}" for name, n in fields.items()]
        for name, h in self.seen.items():
            if h.get_total_count():
                p50, p99, top = (h.get_value_at_percentile(p) / 10 for p in (50, 99, 100))
                words.append(f"{name}_ms={p50:.1f}/{p99:.1f}/{top:.1f}")
                fields |= {f"{name}_p50_ms": p50, f"{name}_p99_ms": p99, f"{name}_max_ms": top}
                h.reset()
        self.counts = dict.fromkeys(self.counts, 0)
        logger.bind(event="counts", **fields).info("counts {}", " ".join(words))
