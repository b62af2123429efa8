"""Pools this proxy's connections to one endpoint and admits statements.

A statement needs a slot and a connection, and waits for both in one queue. A
statement of an open transaction skips the queue, because other sessions may be
waiting for locks that the transaction holds. The queue is fair between
sessions (start-time fair queueing): each statement gets a tag one higher than
the last tag of its session, and the lowest tag is served first, so a session
with many statements cannot delay a session with few. A request is refused at
once if it is expected to miss its deadline or to wait longer than the queue
allows.

The endpoint's connections are divided equally between the proxies. A proxy may
open more than its share (overflow connections) while other proxies leave theirs
unused; the endpoint enforces the total limit. A proxy that is refused a
connection within its share reports this to its peers, and peers with overflow
connections then close them.

An optional learned capacity (see capacity.py) limits the statements in flight
when the endpoint's latency rises. Waiting in this queue is better than waiting
at the endpoint, because this queue has priorities and is fair.
"""

import collections.abc
import dataclasses
import itertools
import threading
import time
import typing

from bronzehold.core import data
from bronzehold.core import errors
from bronzehold.core import ports
from bronzehold.process import capacity as capacity_lib

# Weights of a new sample in the moving averages of the service time and of the
# interval between grants.
SERVICE_TIME_WEIGHT = 0.1
GRANT_INTERVAL_WEIGHT = 0.2
# A request waits for at most this multiple of the queue timeout.
QUEUE_TIMEOUT_FACTOR = 2
# A measurement older than this is not used.
MEASUREMENT_TTL_S = 2.0
# Initial value of the average service time.
INITIAL_SERVICE_S = 0.005
# Idle connections within the share are closed after this time.
IDLE_TIMEOUT_S = 60.0
# An idle connection that only one workspace may use is kept longer: the
# workspace may rarely use it, and another one costs the endpoint a slot.
OWNED_IDLE_TIMEOUT_S = 20.0
# Outdated session tags are removed when there are more than this.
MAX_SESSION_TAGS = 4096
LOWEST_PRIORITY = 1 << 30
# After an endpoint refused a connection, the pool opens no more for this time.
FULL_BACKOFF_S = 0.1
# Interval at which a waiting request runs the dispatcher again.
DISPATCH_INTERVAL_S = 0.05
# A dispatcher that runs this late was not run by the machine. Both intervals
# between grants and refusals would otherwise count a pause of this process as
# a pause of the endpoint.
HELD_UP_S = 2 * DISPATCH_INTERVAL_S
# The pool opens no overflow connections for this time after the endpoint
# refused one, or after a peer asked for its share.
OVERFLOW_PAUSE_S = 0.5
# The pool opens an overflow connection once a request has waited this long.
# Opening one occupies a slot of the endpoint for about as long as a short
# statement does, so it does not pay for a shorter wait.
OVERFLOW_WAIT_S = 0.03
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


@dataclasses.dataclass(frozen=True, kw_only=True)
class Load:
    """A snapshot of a pool's load.

    Attributes:
        running: Number of statements in flight, short and long.
        waiting: Number of requests in the queue.
        open: Number of open connections, idle ones included.
        limits: The limits in force.
        service_s: Moving average of the statements' duration, in seconds.
        measured: Whether service_s is recent.
        wait_s: Expected wait of a new request, in seconds.
        full: Whether all connections of the share are in use.
    """

    running: int
    waiting: int
    open: int
    limits: Limits
    service_s: float
    measured: bool
    wait_s: float
    full: bool = False


class Waiter:
    """One request in the queue.

    Attributes:
        tag: Fair-queueing tag; the lowest tag of a priority is served first.
        priority: 0 is served first.
        order: Sequence number of the request; decides between equal tags.
        is_long: Whether the request needs a connection but no slot.
        queued_at: Time of arrival, in seconds of time.monotonic().
        was_queued: Whether the request was not granted on arrival.
        granted: Set when the request has been granted a connection.
    """

    __slots__ = (
        "granted",
        "is_long",
        "order",
        "priority",
        "was_queued",
        "queued_at",
        "tag",
    )

    def __init__(
        self,
        *,
        tag: float,
        order: int,
        is_long: bool = False,
        priority: int = 0,
    ):
        self.tag = tag
        self.priority = priority
        self.order = order
        self.is_long = is_long
        self.queued_at = time.monotonic()
        self.was_queued = False
        self.granted = threading.Event()


class Pool:
    """Connections and slots of one endpoint; safe to use from many threads."""

    def __init__(
        self,
        *,
        endpoint: data.Endpoint,
        dial: collections.abc.Callable[[data.Endpoint, str], Connection],
        limits: Limits,
        queue_timeout_s: float,
        idle_timeout_s: float = IDLE_TIMEOUT_S,
        capacity: capacity_lib.Capacity | None = None,
    ):
        self.endpoint = endpoint
        self._dial = dial
        self._limits = limits
        self._queue_timeout_s = queue_timeout_s
        self._idle_timeout_s = idle_timeout_s
        self._capacity = capacity
        self._full_until = 0.0
        self._full_count = 0
        self._no_overflow_until = 0.0
        self._share_refused_until = 0.0
        # Overflow connections to close because a peer asked for its share.
        self._overflow_to_close = 0
        self._overflow_released_at = -OVERFLOW_PAUSE_S
        self._lock = threading.Lock()
        self._idle: list[Connection] = []
        self._leased = 0
        # Leases whose connection has not been chosen or opened yet.
        self._unassigned = 0
        self._running = 0
        self._running_long = 0
        self._waiters: list[Waiter] = []
        self._order = itertools.count()
        self._virtual_time = 0.0
        self._tags: dict[str, float] = {}
        self._service_s = INITIAL_SERVICE_S
        self._measured_at = -MEASUREMENT_TTL_S
        self._grant_interval_s = 0.0
        self._granted_at = -MEASUREMENT_TTL_S
        self._dispatched_at = 0.0
        # The end of the last time in which this process was not run.
        self._resumed_at = 0.0
        self._closed = False

    def resize(self, limits: Limits) -> None:
        """Changes the limits and closes idle connections above them."""
        with self._lock:
            self._limits = limits
            excess = self._pop_excess_idle()
            self._dispatch()
        for conn in excess:
            conn.close()

    def load(self) -> Load:
        """Returns a snapshot of the pool's load."""
        with self._lock:
            return Load(
                running=self._running + self._running_long,
                waiting=len(self._waiters),
                open=self._leased - self._unassigned + len(self._idle),
                limits=self._limits,
                service_s=self._service_s,
                measured=self._is_measured(),
                wait_s=self._expected_wait(),
                full=self._leased >= self._max_open(overflow=False),
            )

    def _is_measured(self) -> bool:
        # Without a recent measurement, reads choose the endpoint by its
        # distance, so it is tried and measured again.
        return time.monotonic() - self._measured_at < MEASUREMENT_TTL_S

    def _expected_wait(self, priority: int = LOWEST_PRIORITY) -> float:
        """Returns the expected wait of a new request, in seconds.

        Args:
            priority: The priority of the request; only requests of the same
                or a more urgent priority are ahead of it.
        """
        waiting = sum(w.priority <= priority for w in self._waiters)
        free = self._running < self._slots()
        if (
            not waiting
            and free
            and self._leased < self._max_open(overflow=False)
        ):
            return 0.0
        return max(
            (waiting + 1) * self._average_grant_interval(),
            self._time_since_grant(),
        )

    def _time_since_grant(self) -> float:
        """Returns how long no queued request has been granted, in seconds."""
        if not self._waiters:
            return 0.0
        first = min(w.queued_at for w in self._waiters)
        since = max(first, self._granted_at, self._resumed_at)
        return time.monotonic() - since

    def _average_grant_interval(self) -> float:
        """Returns the average interval between grants to queued requests.

        The interval is in seconds. It is measured at this queue, because the
        endpoint serves other proxies as well and its rate is not known here.
        """
        if time.monotonic() - self._granted_at < MEASUREMENT_TTL_S:
            return self._grant_interval_s
        return self._service_s / max(1, self._limits.slots)

    def _record_grant(self, waiter: Waiter) -> None:
        now = time.monotonic()
        since = max(waiter.queued_at, self._granted_at, self._resumed_at)
        interval_s = now - since
        if now - self._granted_at < MEASUREMENT_TTL_S:
            interval_s = self._grant_interval_s + GRANT_INTERVAL_WEIGHT * (
                interval_s - self._grant_interval_s
            )
        self._grant_interval_s = interval_s
        self._granted_at = now

    def start_statement(self) -> None:
        """Counts a further statement of an open transaction as running.

        The statement skips the queue and uses the transaction's connection.
        """
        with self._lock:
            self._running += 1

    def acquire(
        self,
        *,
        session: str,
        deadline: float,
        length: data.RequestLength = data.RequestLength.SHORT,
        priority: int = 0,
        prefer: collections.abc.Callable[[Connection], bool] | None = None,
        max_wait_s: float | None = None,
        max_expected_wait_s: float | None = None,
        owner: str = "",
    ) -> Connection:
        """Waits for a slot and a connection.

        Args:
            session: Name of the session, for fair queueing.
            deadline: Latest useful start of the statement, in seconds of
                time.monotonic().
            length: Expected length of the statement. A long statement already
                holds a lane and waits for a connection only.
            priority: Priority of the request; 0 is served first.
            prefer: Returns whether an idle connection suits the caller better
                than others.
            max_wait_s: Maximum wait in seconds, for a request that another
                endpoint can serve too; None for no further limit.
            max_expected_wait_s: The request is refused at once if its
                expected wait in seconds is longer; None for the queue timeout.
            owner: The workspace that the connection must belong to.

        Returns:
            The connection to use.

        Raises:
            errors.FailureError: Overloaded: the request did not get a
                connection in time.
            ports.DialError: A new connection could not be opened.
        """
        with self._lock:
            # The expected wait must not count requests that can start now.
            self._dispatch()
            if length is data.RequestLength.LONG:
                waiter = self._enqueue_long()
            else:
                waiter = self._enqueue(
                    session, deadline, priority, max_expected_wait_s
                )
            self._dispatch()
            waiter.was_queued = True
        now = time.monotonic()
        timeout_s = min(
            deadline - now, self._queue_timeout_s * QUEUE_TIMEOUT_FACTOR
        )
        if max_wait_s is not None:
            timeout_s = min(timeout_s, max_wait_s)
        end = now + timeout_s
        while True:
            self._wait(waiter, end)
            try:
                return self._connect(length, prefer, owner)
            except ports.DialError as exc:
                full = exc.failure is ports.DialFailure.TOO_MANY_CONNECTIONS
                if not full or time.monotonic() >= end:
                    raise
            waiter = self._requeue(waiter)

    def _wait(self, waiter: Waiter, end: float) -> None:
        now = time.monotonic()
        while not waiter.granted.wait(
            min(max(0.0, end - now), DISPATCH_INTERVAL_S)
        ):
            now = time.monotonic()
            if now >= end:
                self._abandon_wait(waiter)
                return
            with self._lock:
                self._dispatch()

    def _requeue(self, waiter: Waiter) -> Waiter:
        """Puts a request back in its place after a refused connection."""
        again = Waiter(
            tag=waiter.tag,
            order=waiter.order,
            is_long=waiter.is_long,
            priority=waiter.priority,
        )
        again.queued_at = waiter.queued_at
        again.was_queued = True
        with self._lock:
            self._waiters.append(again)
        return again

    def _enqueue(
        self,
        session: str,
        deadline: float,
        priority: int,
        max_expected_wait_s: float | None,
    ) -> Waiter:
        expected = self._expected_wait(priority)
        late = time.monotonic() + expected > deadline
        max_expected_s = (
            self._queue_timeout_s
            if max_expected_wait_s is None
            else max_expected_wait_s
        )
        if late or expected > max_expected_s:
            raise self._overloaded(expected)
        if len(self._tags) > MAX_SESSION_TAGS:
            self._tags = {
                k: v for k, v in self._tags.items() if v > self._virtual_time
            }
        tag = max(self._virtual_time, self._tags.get(session, 0.0)) + 1
        self._tags[session] = tag
        waiter = Waiter(tag=tag, order=next(self._order), priority=priority)
        self._waiters.append(waiter)
        return waiter

    def _enqueue_long(self) -> Waiter:
        waiter = Waiter(
            tag=self._virtual_time, order=next(self._order), is_long=True
        )
        self._waiters.append(waiter)
        return waiter

    def _overloaded(self, expected: float) -> errors.FailureError:
        expected_ms = int(expected / data.MILLISECOND)
        return errors.FailureError(
            errors.Overloaded(
                endpoint=self.endpoint.name, expected_ms=expected_ms
            )
        )

    def _abandon_wait(self, waiter: Waiter) -> None:
        with self._lock:
            if waiter.granted.is_set():
                return
            self._waiters.remove(waiter)
            expected = self._expected_wait()
        raise self._overloaded(expected)

    def _dispatch(self) -> None:
        self._note_dispatch()
        while self._waiters:
            full = self._running >= self._slots()
            ready = [w for w in self._waiters if w.is_long or not full]
            if not ready:
                return
            waiter = min(ready, key=lambda w: (w.priority, w.tag, w.order))
            if self._leased >= self._max_open(overflow=self._may_overflow()):
                return
            self._waiters.remove(waiter)
            if waiter.was_queued:
                self._record_grant(waiter)
            self._leased += 1
            self._unassigned += 1
            if waiter.is_long:
                self._running_long += 1
            else:
                self._running += 1
                self._virtual_time = max(self._virtual_time, waiter.tag - 1)
            waiter.granted.set()

    def _note_dispatch(self) -> None:
        """Notices that this process was not run for a while."""
        now = time.monotonic()
        # Each waiting request runs the dispatcher at short intervals.
        if now - self._dispatched_at > HELD_UP_S and any(
            w.queued_at <= self._dispatched_at for w in self._waiters
        ):
            self._resumed_at = now
        self._dispatched_at = now

    def _may_overflow(self) -> bool:
        """Returns whether a request has waited long enough for overflow."""
        now = time.monotonic()
        if now < self._no_overflow_until:
            return False
        return any(now - w.queued_at >= OVERFLOW_WAIT_S for w in self._waiters)

    def _max_open(self, *, overflow: bool) -> int:
        """Returns the maximum number of open connections at the moment.

        Args:
            overflow: Whether overflow connections are allowed.
        """
        now = time.monotonic()
        max_connections = self._limits.connections
        if overflow:
            max_connections += self._limits.max_overflow
        # While the endpoint is full, requests wait for open connections
        # instead of each trying to open another.
        if now < self._full_until:
            max_connections = min(max_connections, self._full_count)
        return max(max_connections, self._open_count())

    def _slots(self) -> int:
        """Returns the maximum number of short statements in flight."""
        if self._capacity is None:
            return self._limits.slots
        return min(self._limits.slots, self._capacity.size())

    def _open_count(self) -> int:
        return self._leased - self._unassigned + len(self._idle)

    def _record_full(self) -> None:
        with self._lock:
            now = time.monotonic()
            self._full_count = max(0, self._open_count() - 1)
            self._full_until = now + FULL_BACKOFF_S
            if self._full_count < self._limits.connections:
                self._share_refused_until = now + SHARE_REFUSED_S
            else:
                self._no_overflow_until = now + OVERFLOW_PAUSE_S

    def share_refused(self) -> bool:
        """Returns whether a connection within the share was refused lately."""
        return time.monotonic() < self._share_refused_until

    def release_overflow(self) -> None:
        """Closes one overflow connection, if there is any.

        If none is idle, the next one to be released is closed.
        """
        with self._lock:
            now = time.monotonic()
            if now < self._overflow_released_at + OVERFLOW_PAUSE_S:
                return
            self._no_overflow_until = now + OVERFLOW_PAUSE_S
            if self._open_count() <= self._limits.connections:
                return
            self._overflow_released_at = now
            self._overflow_to_close = 1
            excess = self._pop_excess_idle()
        for conn in excess:
            conn.close()

    def close_excess_idle(self) -> None:
        """Closes idle connections that are over the limits or timed out."""
        with self._lock:
            excess = self._pop_excess_idle()
        for conn in excess:
            conn.close()

    def _connect(
        self,
        length: data.RequestLength,
        prefer: collections.abc.Callable[[Connection], bool] | None,
        owner: str,
    ) -> Connection:
        conn = self._take_idle(prefer, owner)
        while conn is not None:
            if conn.usable():
                return conn
            conn.close()
            with self._lock:
                self._unassigned += 1
            conn = self._take_idle(prefer, owner)
        self._make_room()
        try:
            return self._dial(self.endpoint, owner)
        except ports.DialError as exc:
            if exc.failure is ports.DialFailure.TOO_MANY_CONNECTIONS:
                self._record_full()
            self._release_unconnected(length)
            raise

    def _take_idle(
        self,
        prefer: collections.abc.Callable[[Connection], bool] | None,
        owner: str,
    ) -> Connection | None:
        with self._lock:
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

    def _make_room(self) -> None:
        """Closes the longest idle connection of others if there are too many.

        A connection to be opened counts already. Idle connections that belong
        to other workspaces would otherwise add to the open ones.
        """
        with self._lock:
            limit = self._limits.connections
            if time.monotonic() < self._full_until:
                limit = min(limit, self._full_count)
            if not self._idle or self._open_count() <= limit:
                return
            conn = self._idle.pop(0)
        conn.close()

    def _release_unconnected(self, length: data.RequestLength) -> None:
        with self._lock:
            self._leased -= 1
        self.end_statement(None, length)

    def mark_long(self) -> None:
        """Counts a running short statement as long from now on."""
        with self._lock:
            self._running -= 1
            self._running_long += 1
            self._dispatch()

    def end_statement(
        self,
        duration_s: float | None,
        length: data.RequestLength = data.RequestLength.SHORT,
        kind: str = "",
    ) -> None:
        """Releases the slot; the caller keeps the connection.

        Args:
            duration_s: Duration of the statement in seconds; None if it did
                not run or failed.
            length: The length that the statement is counted as.
            kind: Kind of the statement; durations are compared within it.
        """
        with self._lock:
            if length is data.RequestLength.LONG:
                self._running_long -= 1
            else:
                self._running -= 1
                if duration_s is not None:
                    self._record_duration(duration_s, kind)
            self._dispatch()

    def record_queue_full(self) -> None:
        """Records that the endpoint refused a statement: its queue is full."""
        with self._lock:
            if self._capacity is not None:
                self._capacity.record_queue_full()

    def record_failure(self) -> None:
        """Records that a statement failed or that its answer was lost."""
        with self._lock:
            if self._capacity is not None:
                self._capacity.record_failure()

    def record_round_trip(self, duration_s: float) -> None:
        """Records a round trip without a caller's statement."""
        with self._lock:
            if self._capacity is not None:
                self._capacity.record_round_trip(duration_s)

    def measurement(self) -> capacity_lib.Measurement | None:
        """Returns what was learned of the endpoint, None without capacity."""
        with self._lock:
            if self._capacity is None:
                return None
            return self._capacity.measurement()

    def adjust_capacity(
        self, adjust: collections.abc.Callable[[capacity_lib.Capacity], None]
    ) -> None:
        """Changes the learned capacity under the lock of the pool."""
        with self._lock:
            if self._capacity is not None:
                adjust(self._capacity)
                self._dispatch()

    def _record_duration(self, duration_s: float, kind: str) -> None:
        if self._capacity is not None:
            self._capacity.record_response(
                kind,
                duration_s,
                # The slot of the statement itself is released already.
                in_flight=self._running + 1,
                max_size=self._limits.slots,
                has_waiters=bool(self._waiters),
            )
        self._measured_at = time.monotonic()
        self._service_s += SERVICE_TIME_WEIGHT * (duration_s - self._service_s)

    def release(self, conn: Connection, *, reusable: bool) -> None:
        """Returns a connection to the pool.

        Args:
            conn: The connection.
            reusable: Whether the next caller may use the connection; if not,
                it is closed.
        """
        conn.detach()
        conn.idle_since = time.monotonic()
        with self._lock:
            self._leased -= 1
            keep = reusable and not self._closed
            if keep:
                self._idle.append(conn)
            excess = self._pop_excess_idle()
            self._dispatch()
        if not keep:
            conn.close()
        for item in excess:
            item.close()

    def _pop_excess_idle(self) -> list[Connection]:
        """Removes and returns the idle connections that are to be closed.

        The caller closes them after it has released the lock.
        """
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
        extra = self._open_count() - self._limits.connections
        timeout_s = self._idle_timeout_s
        if self._idle[0].owner:
            timeout_s = max(timeout_s, OWNED_IDLE_TIMEOUT_S)
        if extra > self._limits.max_overflow or idle_s > timeout_s:
            return True
        if extra <= 0:
            self._overflow_to_close = 0
            return False
        if self._overflow_to_close:
            self._overflow_to_close -= 1
            return True
        return idle_s > OVERFLOW_IDLE_S

    def close_idle(self) -> None:
        """Closes the idle connections, as when the endpoint is lost."""
        with self._lock:
            idle, self._idle = self._idle, []
        for conn in idle:
            conn.close()

    def close(self) -> None:
        """Closes the idle connections now, the others on release."""
        with self._lock:
            self._closed = True
        self.close_idle()
