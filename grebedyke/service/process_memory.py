"""The memory of this process, as the operating system counts it."""

import os
import resource
from typing import NamedTuple

RESIDENT_PAGES_FIELD = 1
BYTES_PER_KB = 1_000
BYTES_PER_KIBIBYTE = 1_024


class ProcessMemory(NamedTuple):
    """Resident memory of this process, in kB.

    Attributes:
        resident_kb: The memory at present; 0 if the system does not say.
        peak_kb: The largest since the start of the process.
    """

    resident_kb: int
    peak_kb: int


def process_memory():
    """Returns the `ProcessMemory`; Linux says it in `/proc/self/statm` and by getrusage(2)."""
    resident_bytes = _resident_bytes()
    peak_bytes = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * BYTES_PER_KIBIBYTE
    # The system brings its peak up to date only now and then.
    return ProcessMemory(resident_bytes // BYTES_PER_KB, max(resident_bytes, peak_bytes) // BYTES_PER_KB)


def _resident_bytes():
    try:
        with open("/proc/self/statm", "rb") as file:
            pages = int(file.read().split()[RESIDENT_PAGES_FIELD])
    except (OSError, ValueError, IndexError):
        return 0
    return pages * os.sysconf("SC_PAGE_SIZE")
