"""The connections of a pool: the idle ones, the leased ones and their limits.

The endpoint's connections are divided equally between the proxies. A proxy may
open more than its share (overflow connections) while other proxies leave theirs
unused; the endpoint enforces the total limit. A proxy that is refused a
connection within its share reports this to its peers, and peers with overflow
connections then close them.

The stock is not safe for use from several threads. It opens and closes no
connections: its methods return those to be closed, so that the caller closes
them after it has released its lock.
"""

import collections.abc
import dataclasses
import time
import typing

# Idle connections within the share are closed after this time.
IDLE_TIMEOUT_S = 60.0
# An idle connection that only one workspace may use is kept longer: the
# workspace may rarely use it, and another one costs the endpoint a slot.
OWNED_IDLE_TIMEOUT_S = 20.0
# After an endpoint refused a connection, the pool opens no more for this time.
FULL_BACKOFF_S = 0.1
# The pool opens no overflow connections for this time after the endpoint
# refused one, or after a peer asked for its share.
OVERFLOW_PAUSE_S = 0.5
# Idle overflow connections are closed after this time.
OVERFLOW_IDLE_S = 1.5
# A refusal within the share is reported to the peers for this time.
SHARE_REFUSED_S = 0.5


class Connection(typing.Protocol):
    """The interface that the pool requires of a connection.

    Attributes:
        idle_since: Time of the last release, in seconds of time.monotonic().
        owner: The workspace that alone may use the connection, "" for any.
    """

    idle_since: float
    owner: str

    def usable(self) -> bool:
        """Returns whether the next caller may use the connection."""

    def detach(self) -> None:
        """Removes the reference to the caller that used the connection."""

    def close(self) -> None:
        """Closes the connection."""


# Returns whether an idle connection suits a caller better than others.
Prefer = collections.abc.Callable[[Connection], bool]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Limits:
    """This proxy's limits at one endpoint.

    Attributes:
        connections: This proxy's share of the connections for callers' work.
        slots: Maximum number of statements in flight.
        max_overflow: Maximum number of connections above the share. The
            endpoint may refuse them.
    """

    connections: int
    slots: int
    max_overflow: int = 0


class ConnectionStock:
    """The connections to one endpoint.

    Attributes:
        limits: The limits in force.

    Args:
        limits: The limits in force.
        idle_timeout_s: Idle connections within the share are closed after this
            time in seconds.
    """

    def __init__(self, *, limits: Limits, idle_timeout_s: float):
        self.limits = limits
        self._idle_timeout_s = idle_timeout_s
        self._idle: list[Connection] = []
        self._leased = 0
        # Leases whose connection has not been chosen or opened yet.
        self._unassigned = 0
        self._full_until = 0.0
        self._full_count = 0
        self._no_overflow_until = 0.0
        self._share_refused_until = 0.0
        # Overflow connections to close because a peer asked for its share.
        self._overflow_to_close = 0
        self._overflow_released_at = -OVERFLOW_PAUSE_S

    # Limits.

    def open_count(self) -> int:
        """Returns the number of open connections, idle ones included."""
        return self._leased - self._unassigned + len(self._idle)

    def may_lease(self, *, overflow: bool) -> bool:
        """Returns whether another connection may be leased.

        Args:
            overflow: Whether overflow connections are allowed.
        """
        now = time.monotonic()
        max_connections = self.limits.connections
        if overflow:
            max_connections += self.limits.max_overflow
        # While the endpoint is full, requests wait for open connections
        # instead of each trying to open another.
        if now < self._full_until:
            max_connections = min(max_connections, self._full_count)
        return self._leased < max(max_connections, self.open_count())

    def may_overflow(self) -> bool:
        """Returns whether overflow connections may be opened at the moment."""
        return time.monotonic() >= self._no_overflow_until

    def record_full(self) -> None:
        """Records that the endpoint refused a connection as it is full."""
        now = time.monotonic()
        self._full_count = max(0, self.open_count() - 1)
        self._full_until = now + FULL_BACKOFF_S
        if self._full_count < self.limits.connections:
            self._share_refused_until = now + SHARE_REFUSED_S
        else:
            self._no_overflow_until = now + OVERFLOW_PAUSE_S

    def share_refused(self) -> bool:
        """Returns whether a connection within the share was refused lately."""
        return time.monotonic() < self._share_refused_until

    # Leases.

    def lease(self) -> None:
        """Counts a lease whose connection is not chosen yet."""
        self._leased += 1
        self._unassigned += 1

    def assign(
        self,
        prefer: Prefer | None,
        owner: str,
    ) -> Connection | None:
        """Chooses the connection of a lease.

        Args:
            prefer: Returns whether an idle connection suits the caller better
                than others.
            owner: The workspace that the connection must belong to.

        Returns:
            An idle connection, None if the caller has to open one.
        """
        self._unassigned -= 1
        found = None
        for number in range(len(self._idle) - 1, -1, -1):
            conn = self._idle[number]
            if conn.owner != owner:
                continue
            if prefer is None or prefer(conn):
                return self._idle.pop(number)
            if found is None:
                found = number
        return None if found is None else self._idle.pop(found)

    def unassign(self) -> None:
        """Counts a lease as unassigned, as its connection is not usable."""
        self._unassigned += 1

    def end_lease(self) -> None:
        """Counts a lease as ended."""
        self._leased -= 1

    # Idle connections.

    def add_idle(self, conn: Connection) -> None:
        """Keeps a connection for the next caller."""
        self._idle.append(conn)

    def pop_other(self) -> Connection | None:
        """Removes the longest idle connection if there are too many.

        A connection to be opened counts already. Idle connections that belong
        to other workspaces would otherwise add to the open ones.
        """
        limit = self.limits.connections
        if time.monotonic() < self._full_until:
            limit = min(limit, self._full_count)
        if not self._idle or self.open_count() <= limit:
            return None
        return self._idle.pop(0)

    def pop_released_overflow(self) -> list[Connection]:
        """Removes one overflow connection, if there is any.

        If none is idle, the next one to be released is closed.
        """
        now = time.monotonic()
        if now < self._overflow_released_at + OVERFLOW_PAUSE_S:
            return []
        self._no_overflow_until = now + OVERFLOW_PAUSE_S
        if self.open_count() <= self.limits.connections:
            return []
        self._overflow_released_at = now
        self._overflow_to_close = 1
        return self.pop_excess_idle()

    def pop_excess_idle(self) -> list[Connection]:
        """Removes the idle connections over the limits or timed out."""
        excess = []
        now = time.monotonic()
        while self._idle and self._is_excess(now - self._idle[0].idle_since):
            excess.append(self._idle.pop(0))
        return excess

    def _is_excess(self, idle_s: float) -> bool:
        """Returns whether the longest idle connection is to be closed.

        Args:
            idle_s: Idle time of that connection in seconds.
        """
        extra = self.open_count() - self.limits.connections
        timeout_s = self._idle_timeout_s
        if self._idle[0].owner:
            timeout_s = max(timeout_s, OWNED_IDLE_TIMEOUT_S)
        if extra > self.limits.max_overflow or idle_s > timeout_s:
            return True
        if extra <= 0:
            self._overflow_to_close = 0
            return False
        if self._overflow_to_close:
            self._overflow_to_close -= 1
            return True
        return idle_s > OVERFLOW_IDLE_S

    def pop_idle(self) -> list[Connection]:
        """Removes all idle connections."""
        idle, self._idle = self._idle, []
        return idle
