"""Settings of the C library's memory allocator.

By default, the allocator of the GNU C library keeps memory that was freed:
blocks of up to 32 MiB come from heaps after the first one has been freed, and
each of many threads has a heap of its own. 120 lines of 1 MiB that were
received and dropped one after the other left 142 MiB resident.
"""

import ctypes

_MMAP_THRESHOLD = -3
_ARENA_MAX = -8
# Larger blocks are returned to the system at once.
MMAP_THRESHOLD_BYTES = 128 * 1024
# The threads mostly allocate with the interpreter's lock held, so that few
# heaps suffice.
MAX_ARENAS = 2


def set_up() -> None:
    """Lets the allocator return large blocks to the system.

    Does nothing with C libraries that have no such settings.
    """
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (OSError, AttributeError):
        return
    mallopt(_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES)
    mallopt(_ARENA_MAX, MAX_ARENAS)
