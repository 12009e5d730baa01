"""The record of a node's requests and stalls, written by its launcher and read by the checker of a trial."""

import os
import time
from typing import NamedTuple

from grebedyke.load.stall_detector import StallDetector


class NodeRecord(NamedTuple):
    """What the processes of a node have recorded.

    Attributes:
        requests: The identifiers of the requests that they have read.
        stalls: (process, start, end) of the periods in which a process did not run although its event loop
            had work, in seconds of the monotonic clock.
    """

    requests: frozenset[str]
    stalls: tuple[tuple[int, float, float], ...]

    def stalled_time(self, start, end):
        """Returns for how many seconds of a period the process that was stalled for longest stood still."""
        by_process = {}
        for process, stall_start, stall_end in self.stalls:
            overlap = min(stall_end, end) - max(stall_start, start)
            by_process[process] = by_process.get(process, 0.0) + max(overlap, 0.0)
        return max(by_process.values(), default=0.0)


NO_RECORD = NodeRecord(frozenset(), ())


class NodeRecorder:
    """Writes the record of one process; the processes of a node share the file.

    Attributes:
        path: The file.
    """

    def __init__(self, path):
        self.path = path
        self._file = open(path, "ab", buffering=0)
        self._process = os.getpid()
        self._stall_detector = None

    def start(self, loop, listener, stall_check_interval):
        """Records each request before the node handles it, and the stalls of the event loop until `close`.

        Args:
            loop: The node's event loop.
            listener: The node's `ClientListener`.
            stall_check_interval: Seconds between two checks of a `StallDetector`.
        """
        handle = listener.on_request

        def record_and_handle(connection, incoming):
            """Records a request and passes it on to the node."""
            self._file.write(b"read %s\n" % incoming.request_id)
            handle(connection, incoming)

        listener.on_request = record_and_handle
        self._stall_detector = StallDetector(
            loop, stall_check_interval, _time_not_running, self._record_stall
        )
        self._stall_detector.start()

    def close(self):
        """Records the last stall; the event loop has ended."""
        if self._stall_detector:
            self._stall_detector.check()
        self._file.close()

    def _record_stall(self, start, end):
        # Converted to the clock of the clients.
        now = time.monotonic()
        self._file.write(b"stall %d %f %f\n" % (self._process, now - (end - start), now))


def _time_not_running():
    """Returns the seconds in which this process has not run: a long computation of the node is no stall."""
    return time.monotonic() - time.process_time()


def read_node_record(path):
    """Returns the `NodeRecord` in a file, `NO_RECORD` if no process has written it."""
    if not path.exists():
        return NO_RECORD
    requests = set()
    stalls = []
    for line in path.read_text().splitlines():
        match line.split():
            case "read", request_id:
                requests.add(request_id)
            case "stall", process, start, end:
                stalls.append((int(process), float(start), float(end)))
    return NodeRecord(frozenset(requests), tuple(stalls))
