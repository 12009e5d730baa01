"""The node's log: lines as text or JSON, to a descriptor that is never waited for."""

import os
import select
import traceback

import orjson
from loguru import logger

FORMATS = ("text", "json")
STANDARD_ERROR = 2
# What a pipe takes at once when it says that it takes anything.
PIPE_BYTES = 4_096
TEXT_FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level} {extra[node]} {message}"


class NonBlockingSink:
    """Writes whole lines to a descriptor, and drops what does not fit.

    Guards against a reader that stops: a write that waited for it would hold up the event loop, and with it
    all requests. Dropped lines are counted, and reported by a line of its own once there is room.

    Attributes:
        descriptor: Where the lines go.
        describe_loss: Returns the line that reports so many dropped lines.
        poll: Tells whether the descriptor takes anything.
        dropped: Lines dropped since the last report.
        is_cut: Whether the last line was written in part; its rest is not sent.
    """

    def __init__(self, descriptor, describe_loss):
        self.descriptor = descriptor
        self.describe_loss = describe_loss
        self.dropped = 0
        self.is_cut = False
        self.poll = select.poll()
        self.poll.register(descriptor, select.POLLOUT)

    def write(self, text):
        """Writes one line or counts it as dropped."""
        if self.dropped and self._write_line(self.describe_loss(self.dropped).encode()):
            self.dropped = 0
        if self.dropped or not self._write_line(text.encode(errors="replace")):
            self.dropped += 1

    def _write_line(self, data):
        """Returns whether all was written; a line that is cut in its middle is ended before the next."""
        if self.is_cut:
            data = b"\n" + data
        try:
            for start in range(0, len(data), PIPE_BYTES):
                ready = self.poll.poll(0)
                if not ready or not ready[0][1] & select.POLLOUT:
                    self.is_cut = self.is_cut or start > 0
                    return False
                os.write(self.descriptor, data[start : start + PIPE_BYTES])
        except OSError:
            return False  # the descriptor is closed, so nobody reads it
        self.is_cut = False
        return True


def json_line(record):
    """Returns a record as one JSON object: time, level, node, event, and the event's own fields.

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


def open_log(name, level="INFO", form="text", descriptor=STANDARD_ERROR):
    """Sets the program's log up.

    Args:
        name: Name of the node, part of each line.
        level: The lowest level that is logged.
        form: One of `FORMATS`.
        descriptor: Where lines go.
    """
    logger.remove()
    logger.configure(extra={"node": name})
    if form == "json":
        _open_json_log(name, level, descriptor)
    else:
        _open_text_log(level, descriptor)


def _open_json_log(name, level, descriptor):
    def describe_loss(count):
        """Returns the line that stands for lines that were dropped."""
        row = {"level": "WARNING", "node": name, "event": "log-dropped", "lines": count}
        return orjson.dumps(row).decode() + "\n"

    sink = NonBlockingSink(descriptor, describe_loss)
    # No braces of the line itself are to be taken for fields.
    logger.add(lambda message: sink.write(json_line(message.record)), level=level, format="{message}")


def _open_text_log(level, descriptor):
    sink = NonBlockingSink(descriptor, lambda count: f"{count} log lines dropped: nobody read them\n")
    # No diagnose: values of variables in tracebacks are users' data.
    logger.add(sink.write, level=level, diagnose=False, format=TEXT_FORMAT)
