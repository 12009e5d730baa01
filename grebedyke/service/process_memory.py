"""The memory of this process, as the operating system counts it."""

from typing import NamedTuple

STATUS_FILE = "/proc/self/status"


class ProcessMemory(NamedTuple):
    """Resident memory of this process, in units of 1,024 bytes; 0 if the system does not say.

    Attributes:
        resident_kb: The memory at present.
        peak_kb: The largest since the start of the program.
    """

    resident_kb: int
    peak_kb: int


def process_memory():
    """Returns the `ProcessMemory` (Linux, proc(5)).

    The peak that getrusage(2) tells may be that of the process that started the program.
    """
    try:
        with open(STATUS_FILE, encoding="ascii", errors="replace") as file:
            fields = dict(line.split(":", 1) for line in file if ":" in line)
        return ProcessMemory(_kilobytes(fields["VmRSS"]), _kilobytes(fields["VmHWM"]))
    except (OSError, KeyError, ValueError, IndexError):
        return ProcessMemory(0, 0)


def _kilobytes(value):
    """Returns the number of a field such as ` 28672 kB`."""
    return int(value.split()[0])
