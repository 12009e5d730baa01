"""Starts one node of the real program with another clock or another disk.

The test bed runs it as `python -m grebedyke.testbed.launcher`.

GREBEDYKE_RIG holds JSON: `rate` (of its monotonic clock, since `began`), `wall` (seconds by which its wall
clock is off), and `disk`, a file with the faults of its disk, which may change while it runs. Only the rig
sets it.
"""

import asyncio
import errno
import json
import os
import signal
import sys
import time

from grebedyke.service import assembly, start
from grebedyke.service.record_files import RecordFiles

# What a disk may do: told by the file that `disk` names, one word a line.
DISK = {
    "stall": "takes four seconds",
    "full": "no space is left",
    "eio": "the sync fails",
    "read-only": "may not be written",
    "short": "writes half and says so",
    "torn": "writes half and says done",
    "lies": "says done, and forgets at a kill",
}


class LyingFiles(RecordFiles):
    """`told()`: the faults of this moment. What a lying disk has not kept lies beside, until it is honest."""

    def __init__(self, folder, told):
        super().__init__(folder)
        self.told, self.unkept = told, {}

    def replace(self, name, data):
        faults = self.told()
        if "stall" in faults:
            time.sleep(4)
        for fault, number in (("full", errno.ENOSPC), ("read-only", errno.EROFS)):
            if fault in faults:
                raise OSError(number, os.strerror(number))
        if "eio" in faults:
            super().replace(name, data)
            raise OSError(errno.EIO, os.strerror(errno.EIO))
        if "short" in faults:
            with open(os.path.join(self.folder, name + ".new"), "wb") as file:
                file.write(data[: len(data) // 2])
            raise OSError(errno.EIO, "a short write")
        if "torn" in faults:
            return super().replace(name, data[: len(data) // 2])
        if "lies" in faults:
            self.unkept[name] = data
            return None
        self.unkept.pop(name, None)
        for other, late in [*self.unkept.items()]:
            super().replace(other, late)
            del self.unkept[other]
        return super().replace(name, data)


class Loop(asyncio.SelectorEventLoop):
    """Its timers go by the same clock as the node."""

    rate, began = 1.0, time.monotonic()

    def time(self):
        return self.began + (super().time() - self.began) * self.rate


def main(joined=None):
    """`joined(node)`: called with a node that has been put together and has not begun."""
    told = json.loads(os.environ.pop("GREBEDYKE_RIG", "{}"))
    rate, wall, disk = told.get("rate", 1.0), told.get("wall", 0.0), told.get("disk")
    if wall:
        honest = time.time_ns
        time.time_ns = lambda: honest() + int(wall * 1e9)
    began = told.get("began") or time.monotonic_ns()
    Loop.rate, Loop.began = rate, began / 1e9
    asyncio.set_event_loop_policy(
        type("Policy", (asyncio.DefaultEventLoopPolicy,), {"_loop_factory": Loop})()
    )

    def faults():
        try:
            with open(disk) as file:
                return file.read().split()
        except OSError:
            return []

    def assemble(loop, said, read_again):
        ticks = lambda: int(began + (time.monotonic_ns() - began) * rate) // 100_000  # noqa: E731
        files = LyingFiles(said["fleet"]["folder"], faults) if disk and said["fleet"] else None
        node = assembly.assemble(loop, said, read_again, ticks if rate != 1.0 else None, files)
        if joined:
            joined(node)
        return node

    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    return start.node_of(os.environ, "INFO", False, "json", assemble)


if __name__ == "__main__":
    sys.exit(main())
