"""Starts one node of the real program with faulty clocks or a faulty disk.

The test bed runs it as `python -m grebedyke.testbed.launcher`. Only the test bed sets the environment
variable GREBEDYKE_RIG, a JSON object with these keys: `rate`, the rate of the node's monotonic clock since
`began`; `wall`, the error of its wall clock in seconds; `disk`, the path of a file that lists the faults of
its disk and may change while the node runs; `record`, the path of the file for its `NodeRecorder`; and
`stall_check_interval`, the recorder's seconds between two checks for stalls.
"""

import asyncio
import errno
import json
import os
import signal
import sys
import time
from enum import StrEnum

from grebedyke.service import assembly, start
from grebedyke.service.record_files import RecordFiles
from grebedyke.testbed.node_record import NodeRecorder

SETTINGS_VARIABLE = "GREBEDYKE_RIG"
# Duration of a write to a stalled disk, in seconds.
STALL_TIME = 4
NANOSECONDS_PER_TICK = 100_000
NANOSECONDS_PER_SECOND = 10**9


class DiskFault(StrEnum):
    """Faults of a disk; their values are the lines of the file named by `disk`.

    Attributes:
        STALL: A write takes `STALL_TIME`.
        FULL: A write fails because no space is left.
        SYNC_FAILS: The data is written, but the sync fails.
        READ_ONLY: A write fails because the file system is read-only.
        SHORT: Half of the data is written, and the write fails.
        TORN: Half of the data is written, and the write is reported as done.
        LOST_WRITES: A write is reported as done, but is lost if the process is killed.
    """

    STALL = "stall"
    FULL = "full"
    SYNC_FAILS = "eio"
    READ_ONLY = "read-only"
    SHORT = "short"
    TORN = "torn"
    LOST_WRITES = "lies"


class FaultyFiles(RecordFiles):
    """The record files of a node on a faulty disk.

    Attributes:
        faults: Returns the current `DiskFault`s or their values.
    """

    def __init__(self, folder, faults):
        super().__init__(folder)
        self.faults = faults
        self._unwritten = {}

    def replace(self, name, data):
        """Replaces a file, with the current faults of the disk.

        Raises:
            OSError: The disk reports a failed write.
        """
        faults = self.faults()
        if DiskFault.STALL in faults:
            time.sleep(STALL_TIME)
        for fault, number in ((DiskFault.FULL, errno.ENOSPC), (DiskFault.READ_ONLY, errno.EROFS)):
            if fault in faults:
                raise OSError(number, os.strerror(number))
        if DiskFault.SYNC_FAILS in faults:
            super().replace(name, data)
            raise OSError(errno.EIO, os.strerror(errno.EIO))
        if DiskFault.SHORT in faults:
            with open(os.path.join(self.folder, name + ".new"), "wb") as file:
                file.write(data[: len(data) // 2])
            raise OSError(errno.EIO, "a short write")
        if DiskFault.TORN in faults:
            super().replace(name, data[: len(data) // 2])
        elif DiskFault.LOST_WRITES in faults:
            self._unwritten[name] = data
        else:
            self._replace_with_pending(name, data)

    def _replace_with_pending(self, name, data):
        """Replaces a file, after the pending writes that the disk has already reported as done."""
        self._unwritten.pop(name, None)
        for other, pending in [*self._unwritten.items()]:
            super().replace(other, pending)
            del self._unwritten[other]
        super().replace(name, data)


class ScaledClockLoop(asyncio.SelectorEventLoop):
    """An event loop whose timers use the scaled clock of its node.

    Attributes:
        rate: The clock's rate since `epoch`.
        epoch: The monotonic time in seconds at which the scaled clock showed the true time.
    """

    rate = 1.0
    epoch = time.monotonic()

    def time(self):
        """Returns the scaled time in seconds."""
        return self.epoch + (super().time() - self.epoch) * self.rate


class ScaledClockPolicy(asyncio.DefaultEventLoopPolicy):
    """Creates event loops with a scaled clock."""

    _loop_factory = ScaledClockLoop


def main(node_assembled=None):
    """Runs the node; returns its exit code.

    Args:
        node_assembled: Called with the assembled node before it starts; may be None.
    """
    settings = json.loads(os.environ.pop(SETTINGS_VARIABLE, "{}"))
    rate = settings.get("rate", 1.0)
    epoch = settings.get("began") or time.monotonic_ns()
    disk = settings.get("disk")
    recorder = NodeRecorder(settings["record"]) if "record" in settings else None
    _change_wall_clock(settings.get("wall", 0.0))
    ScaledClockLoop.rate = rate
    ScaledClockLoop.epoch = epoch / NANOSECONDS_PER_SECOND
    asyncio.set_event_loop_policy(ScaledClockPolicy())

    def scaled_ticks():
        """Returns the time of the node's clock in ticks."""
        return int(epoch + (time.monotonic_ns() - epoch) * rate) // NANOSECONDS_PER_TICK

    def assemble(loop, node_configuration, read_again):
        """Assembles the node with the clock and the disk of the settings."""
        clock = scaled_ticks if rate != 1.0 else None
        fleet = node_configuration["fleet"]
        files = FaultyFiles(fleet["folder"], lambda: read_faults(disk)) if disk and fleet else None
        node = assembly.assemble(loop, node_configuration, read_again, clock, files)
        if recorder:
            recorder.start(loop, node.parts.listener, settings["stall_check_interval"])
        if node_assembled:
            node_assembled(node)
        return node

    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    exit_code = start.run_node(os.environ, "INFO", False, "json", assemble)
    if recorder:
        recorder.close()
    return exit_code


def _change_wall_clock(seconds):
    if seconds:
        true_time_ns = time.time_ns
        time.time_ns = lambda: true_time_ns() + int(seconds * NANOSECONDS_PER_SECOND)


def read_faults(path):
    """Returns the faults listed in a file, one per line; none if the file cannot be read."""
    try:
        with open(path) as file:
            return file.read().split()
    except OSError:
        return []


if __name__ == "__main__":
    sys.exit(main())
