"""The monotonic clock on which ages and deadlines are measured."""

import time


def now() -> float:
    """Returns the monotonic time in seconds, including suspended time.

    After a suspension, a process must treat the state that it knew before as
    old. time.monotonic() does not advance while the machine is suspended, so
    it would make that state look recent.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
