"""Pools this proxy's connections to one endpoint and admits statements.

A statement needs a slot and a connection, and waits for both in one queue. A
statement of an open transaction skips the queue, because other sessions may be
waiting for locks that the transaction holds. The queue (request_queue.py) is
fair between sessions. A request is refused at once if it is expected to miss
its deadline or to wait longer than the queue allows. The connections and their
limits are in connection_stock.py.

An optional learned capacity (see capacity.py) limits the statements in flight
when the endpoint's latency rises. Waiting in this queue is better than waiting
at the endpoint, because this queue has priorities and is fair.
"""

import collections.abc
import dataclasses
import threading
import time

from bronzehold.core import data
from bronzehold.core import errors
from bronzehold.core import ports
from bronzehold.process import capacity as capacity_lib
from bronzehold.process import connection_stock
from bronzehold.process import request_queue

# Weight of a new sample in the moving average of the service time.
SERVICE_TIME_WEIGHT = 0.1
# A request waits for at most this multiple of the queue timeout.
QUEUE_TIMEOUT_FACTOR = 2
# Initial value of the average service time.
INITIAL_SERVICE_S = 0.005
# The pool opens an overflow connection once a request has waited this long.
# Opening one occupies a slot of the endpoint for about as long as a short
# statement does, so it does not pay for a shorter wait.
OVERFLOW_WAIT_S = 0.03

# Part of the interface of Pool.
Limits = connection_stock.Limits


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


class Pool:
    """Connections and slots of one endpoint; safe to use from many threads."""

    def __init__(
        self,
        *,
        endpoint: data.Endpoint,
        dial: collections.abc.Callable[
            [data.Endpoint, str], connection_stock.Connection
        ],
        limits: Limits,
        queue_timeout_s: float,
        idle_timeout_s: float = connection_stock.IDLE_TIMEOUT_S,
        capacity: capacity_lib.Capacity | None = None,
    ):
        self.endpoint = endpoint
        self._dial = dial
        self._queue_timeout_s = queue_timeout_s
        self._capacity = capacity
        self._lock = threading.Lock()
        self._stock = connection_stock.ConnectionStock(
            limits=limits, idle_timeout_s=idle_timeout_s
        )
        self._queue = request_queue.RequestQueue()
        self._running = 0
        self._running_long = 0
        self._service_s = INITIAL_SERVICE_S
        self._measured_at = -request_queue.MEASUREMENT_TTL_S
        self._closed = False

    def resize(self, limits: Limits) -> None:
        """Changes the limits and closes idle connections above them."""
        with self._lock:
            self._stock.limits = limits
            excess = self._stock.pop_excess_idle()
            self._dispatch()
        _close_all(excess)

    def load(self) -> Load:
        """Returns a snapshot of the pool's load."""
        with self._lock:
            return Load(
                running=self._running + self._running_long,
                waiting=len(self._queue),
                open=self._stock.open_count(),
                limits=self._stock.limits,
                service_s=self._service_s,
                measured=self._is_measured(),
                wait_s=self._expected_wait(),
                full=not self._stock.may_lease(overflow=False),
            )

    def _is_measured(self) -> bool:
        # Without a recent measurement, reads choose the endpoint by its
        # distance, so it is tried and measured again.
        return (
            time.monotonic() - self._measured_at
            < request_queue.MEASUREMENT_TTL_S
        )

    def _expected_wait(
        self, priority: int = request_queue.LOWEST_PRIORITY
    ) -> float:
        """Returns the expected wait of a new request, in seconds.

        Args:
            priority: The priority of the request; only requests of the same
                or a more urgent priority are ahead of it.
        """
        if (
            not self._queue.count_ahead(priority)
            and self._running < self._slots()
            and self._stock.may_lease(overflow=False)
        ):
            return 0.0
        return self._queue.expected_wait_s(
            priority,
            typical_interval_s=self._service_s
            / max(1, self._stock.limits.slots),
        )

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
        prefer: connection_stock.Prefer | None = None,
        max_wait_s: float | None = None,
        max_expected_wait_s: float | None = None,
        owner: str = "",
    ) -> connection_stock.Connection:
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
                waiter = self._queue.add_long()
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
            with self._lock:
                waiter = self._queue.add_again(waiter)

    def _wait(self, waiter: request_queue.Waiter, end: float) -> None:
        now = time.monotonic()
        while not waiter.granted.wait(
            min(max(0.0, end - now), request_queue.DISPATCH_INTERVAL_S)
        ):
            now = time.monotonic()
            if now >= end:
                self._abandon_wait(waiter)
                return
            with self._lock:
                self._dispatch()

    def _enqueue(
        self,
        session: str,
        deadline: float,
        priority: int,
        max_expected_wait_s: float | None,
    ) -> request_queue.Waiter:
        expected = self._expected_wait(priority)
        late = time.monotonic() + expected > deadline
        max_expected_s = (
            self._queue_timeout_s
            if max_expected_wait_s is None
            else max_expected_wait_s
        )
        if late or expected > max_expected_s:
            raise self._overloaded(expected)
        return self._queue.add(session, priority)

    def _overloaded(self, expected: float) -> errors.FailureError:
        expected_ms = int(expected / data.MILLISECOND)
        return errors.FailureError(
            errors.Overloaded(
                endpoint=self.endpoint.name, expected_ms=expected_ms
            )
        )

    def _abandon_wait(self, waiter: request_queue.Waiter) -> None:
        with self._lock:
            if waiter.granted.is_set():
                return
            self._queue.remove(waiter)
            expected = self._expected_wait()
        raise self._overloaded(expected)

    def _dispatch(self) -> None:
        self._queue.note_dispatch()
        while self._queue:
            waiter = self._queue.first(is_full=self._running >= self._slots())
            if waiter is None or not self._stock.may_lease(
                overflow=self._may_overflow()
            ):
                return
            self._stock.lease()
            if waiter.is_long:
                self._running_long += 1
            else:
                self._running += 1
            self._queue.grant(waiter)

    def _may_overflow(self) -> bool:
        """Returns whether a request has waited long enough for overflow."""
        return self._stock.may_overflow() and self._queue.has_waited(
            OVERFLOW_WAIT_S
        )

    def _slots(self) -> int:
        """Returns the maximum number of short statements in flight."""
        if self._capacity is None:
            return self._stock.limits.slots
        return min(self._stock.limits.slots, self._capacity.size())

    def share_refused(self) -> bool:
        """Returns whether a connection within the share was refused lately."""
        return self._stock.share_refused()

    def release_overflow(self) -> None:
        """Closes one overflow connection, if there is any.

        If none is idle, the next one to be released is closed.
        """
        with self._lock:
            excess = self._stock.pop_released_overflow()
        _close_all(excess)

    def close_excess_idle(self) -> None:
        """Closes idle connections that are over the limits or timed out."""
        with self._lock:
            excess = self._stock.pop_excess_idle()
        _close_all(excess)

    def _connect(
        self,
        length: data.RequestLength,
        prefer: connection_stock.Prefer | None,
        owner: str,
    ) -> connection_stock.Connection:
        conn = self._take_idle(prefer, owner)
        while conn is not None:
            if conn.usable():
                return conn
            conn.close()
            with self._lock:
                self._stock.unassign()
            conn = self._take_idle(prefer, owner)
        self._make_room()
        try:
            return self._dial(self.endpoint, owner)
        except ports.DialError as exc:
            if exc.failure is ports.DialFailure.TOO_MANY_CONNECTIONS:
                with self._lock:
                    self._stock.record_full()
            self._release_unconnected(length)
            raise

    def _take_idle(
        self,
        prefer: connection_stock.Prefer | None,
        owner: str,
    ) -> connection_stock.Connection | None:
        with self._lock:
            return self._stock.assign(prefer, owner)

    def _make_room(self) -> None:
        """Closes the longest idle connection of others if there are too many.

        They would otherwise add to the open ones.
        """
        with self._lock:
            conn = self._stock.pop_other()
        if conn is not None:
            conn.close()

    def _release_unconnected(self, length: data.RequestLength) -> None:
        with self._lock:
            self._stock.end_lease()
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
                max_size=self._stock.limits.slots,
                has_waiters=bool(self._queue),
            )
        self._measured_at = time.monotonic()
        self._service_s += SERVICE_TIME_WEIGHT * (duration_s - self._service_s)

    def release(
        self, conn: connection_stock.Connection, *, reusable: bool
    ) -> None:
        """Returns a connection to the pool.

        Args:
            conn: The connection.
            reusable: Whether the next caller may use the connection; if not,
                it is closed.
        """
        conn.detach()
        conn.idle_since = time.monotonic()
        with self._lock:
            self._stock.end_lease()
            keep = reusable and not self._closed
            if keep:
                self._stock.add_idle(conn)
            excess = self._stock.pop_excess_idle()
            self._dispatch()
        if not keep:
            conn.close()
        _close_all(excess)

    def close_idle(self) -> None:
        """Closes the idle connections, as when the endpoint is lost."""
        with self._lock:
            idle = self._stock.pop_idle()
        _close_all(idle)

    def close(self) -> None:
        """Closes the idle connections now, the others on release."""
        with self._lock:
            self._closed = True
        self.close_idle()


def _close_all(
    conns: collections.abc.Iterable[connection_stock.Connection],
) -> None:
    for conn in conns:
        conn.close()
