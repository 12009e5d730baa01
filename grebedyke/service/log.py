"""The node's log: lines as text or JSON, written to a descriptor without blocking."""

import os
import select
import traceback

import orjson
from loguru import logger

from grebedyke import request_trace

FORMATS = ("text", "json")
STANDARD_ERROR = 2
TRACE_LEVEL = "DEBUG"
# A pipe that polls as writable accepts this many bytes without blocking.
PIPE_BYTES = 4_096
TEXT_FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level} {extra[node]} {message}"


class NonBlockingSink:
    """Writes lines to a descriptor and drops lines that would block.

    If the log's reader stops reading, a blocking write would stop the event loop and all requests with it.
    Dropped lines are counted, and their number is logged as soon as the descriptor is writable again.

    Attributes:
        descriptor: The descriptor that lines are written to.
        format_drop_report: Returns the line that reports a number of dropped lines.
        poll: Polls whether the descriptor is writable.
        dropped: Number of lines dropped since the last report.
        ends_mid_line: Whether the last line was written only in part; its rest is dropped.
    """

    def __init__(self, descriptor, format_drop_report):
        self.descriptor = descriptor
        self.format_drop_report = format_drop_report
        self.dropped = 0
        self.ends_mid_line = False
        self.poll = select.poll()
        self.poll.register(descriptor, select.POLLOUT)

    def write(self, text):
        """Writes a line or counts it as dropped."""
        if self.dropped and self._write_line(self.format_drop_report(self.dropped).encode()):
            self.dropped = 0
        if self.dropped or not self._write_line(text.encode(errors="replace")):
            self.dropped += 1

    def _write_line(self, data):
        """Returns whether the whole line was written; ends a partly written line before."""
        if self.ends_mid_line:
            data = b"\n" + data
        try:
            for start in range(0, len(data), PIPE_BYTES):
                ready = self.poll.poll(0)
                if not ready or not ready[0][1] & select.POLLOUT:
                    self.ends_mid_line = self.ends_mid_line or start > 0
                    return False
                os.write(self.descriptor, data[start : start + PIPE_BYTES])
        except OSError:
            return False  # the descriptor or its reading end is closed
        self.ends_mid_line = False
        return True


def json_line(record):
    """Returns a log record as a line with a JSON object: time, level, node, event, and the event's fields.

    A record without an event has event "text" and its message as `text`. A traceback is added as `trace`.
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


def open_log(name, level="INFO", log_format="text", descriptor=STANDARD_ERROR):
    """Configures the program's log.

    Args:
        name: The node's name, a part of each line.
        level: The lowest level that is logged.
        log_format: One of `FORMATS`.
        descriptor: The descriptor that lines are written to.
    """
    logger.remove()
    logger.configure(extra={"node": name})
    if level == TRACE_LEVEL:
        request_trace.enable()
    else:
        request_trace.disable()
    if log_format == "json":
        _open_json_log(name, level, descriptor)
    else:
        _open_text_log(level, descriptor)


def _open_json_log(name, level, descriptor):
    def format_drop_report(count):
        """Returns the line that reports a number of dropped lines."""
        row = {"level": "WARNING", "node": name, "event": "log-dropped", "lines": count}
        return orjson.dumps(row).decode() + "\n"

    sink = NonBlockingSink(descriptor, format_drop_report)
    # With this format loguru does not interpret braces in a line as fields.
    logger.add(lambda message: sink.write(json_line(message.record)), level=level, format="{message}")


def _open_text_log(level, descriptor):
    sink = NonBlockingSink(descriptor, lambda count: f"{count} log lines dropped: the reader was too slow\n")
    # diagnose=False: the values of variables in tracebacks are users' data.
    logger.add(sink.write, level=level, diagnose=False, format=TEXT_FORMAT)
