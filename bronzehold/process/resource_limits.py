"""The limits on memory and descriptors of a process.

They come from the settings, or from the system where the settings have none.
"""

import dataclasses
import pathlib
import resource

MEBIBYTE = 1 << 20
# The part of the memory that messages and answers may take. The program itself
# takes 60 MiB, connections the part below, and the rest is a reserve.
BUDGET_PART = 0.25
CONNECTIONS_PART = 0.5
# Memory of one connection with its thread and its free bytes. 477 idle ones
# took 12 MiB.
CONNECTION_BYTES = 64 * 1024
# Descriptors of files, of the store and of listening sockets.
MIN_RESERVED = 64
# The part of the descriptors for endpoints, other proxies and the store.
RESERVED_PART = 0.25
# The part of the descriptors for connections of other proxies. Each statement
# that is forwarded here and has not been answered takes one.
PEERS_PART = 0.25
# Connections to each port of the load balancer and of the metrics.
MAX_HTTP_CONNECTIONS = 32
HTTP_PORTS = 2
# Used where the system has no limit.
MAX_DESCRIPTORS = 65536
MEMORY_FILE = pathlib.Path("/proc/meminfo")
DEFAULT_MEMORY_MB = 512


@dataclasses.dataclass(frozen=True, kw_only=True)
class ResourceLimits:
    """Limits of one process.

    Attributes:
        budget_bytes: Memory for messages and answers.
        callers: Maximum number of connections of callers.
        peers: Maximum number of connections of other proxies.
    """

    budget_bytes: int
    callers: int
    peers: int


def derive(
    *, memory_mb: int, max_descriptors: int, receive_budget_mb: int
) -> ResourceLimits:
    """Returns the limits of this process.

    Args:
        memory_mb: See settings.Settings.memory_mb.
        max_descriptors: See settings.Settings.max_descriptors.
        receive_budget_mb: See settings.Settings.receive_budget_mb.
    """
    memory = (memory_mb or _read_memory_mb()) * MEBIBYTE
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft == resource.RLIM_INFINITY:
        soft = MAX_DESCRIPTORS
    return compute(
        memory=memory,
        descriptors=min(soft, max_descriptors or soft),
        budget=receive_budget_mb * MEBIBYTE,
    )


def compute(*, memory: int, descriptors: int, budget: int) -> ResourceLimits:
    """Returns the limits for a memory in bytes and a number of descriptors.

    Args:
        memory: Memory of the process.
        descriptors: Maximum number of open descriptors.
        budget: Memory for messages and answers, 0 for a part of the memory.
    """
    reserved = max(MIN_RESERVED, int(descriptors * RESERVED_PART))
    peers = int(descriptors * PEERS_PART)
    callers = descriptors - reserved - peers
    callers -= HTTP_PORTS * MAX_HTTP_CONNECTIONS
    by_memory = int(memory * CONNECTIONS_PART / CONNECTION_BYTES)
    return ResourceLimits(
        budget_bytes=budget or int(memory * BUDGET_PART),
        callers=max(1, min(callers, by_memory)),
        peers=max(1, min(peers, by_memory)),
    )


def _read_memory_mb() -> int:
    """Returns the memory of the machine in MiB."""
    try:
        lines = MEMORY_FILE.read_text().splitlines()
        total_kib = next(x for x in lines if x.startswith("MemTotal:"))
        return int(total_kib.split()[1]) // 1024
    except (OSError, StopIteration, ValueError, IndexError):
        return DEFAULT_MEMORY_MB
