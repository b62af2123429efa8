"""The clock that ages and deadlines are measured with."""

import time


def now() -> float:
    """Returns seconds on a clock that also counts suspended time.

    A process that was suspended must not take what it knew before for new, so
    time.monotonic(), which stands still meanwhile, does not do.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
