"""The connections and slots that this proxy may use of one endpoint.

Whoever wants to run a statement waits in one queue for a slot and a
connection. A statement of an open transaction waits for neither: others may
wait for what the transaction holds. The queue is fair between sessions: each
statement gets a tag one beyond its session's last, and the lowest tag goes
first, so a session with many statements cannot hold back one with few. A
request that cannot be served before its deadline is refused at once, and so is
one that would make the queue longer than its bound.
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

EWMA_WEIGHT = 0.1
PATIENCE = 2
MEASURE_LIFE_S = 2.0
FIRST_GUESS_S = 0.005
IDLE_LIMIT_S = 60.0
MAX_SESSIONS_KEPT = 4096
LAST = 1 << 30
# How long an endpoint that refused a connection is not asked for another.
FULL_S = 0.1


class Connection(typing.Protocol):
    """What the pool needs of a connection.

    Attributes:
        idle_since: When it was last given back, in seconds of time.monotonic().
    """

    idle_since: float

    def usable(self) -> bool:
        """Whether the next caller may use it."""

    def detach(self) -> None:
        """Notes that no caller uses it."""

    def close(self) -> None:
        """Closes it."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Caps:
    """What this proxy may use at once.

    Attributes:
        connections: Connections for callers' work.
        slots: Statements in flight.
    """

    connections: int
    slots: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Load:
    """How busy a pool is."""

    running: int
    waiting: int
    open: int
    caps: Caps
    service_s: float
    measured: bool
    wait_s: float
    full: bool = False


class Waiter:
    """One request in the queue."""

    __slots__ = ("granted", "long", "order", "priority", "tag")

    def __init__(
        self,
        *,
        tag: float,
        order: int,
        long: bool = False,
        priority: int = 0,
    ):
        self.tag = tag
        self.priority = priority
        self.order = order
        self.long = long
        self.granted = threading.Event()


class Pool:
    """Connections and slots of one endpoint, behind one lock."""

    def __init__(
        self,
        *,
        endpoint: data.Endpoint,
        dial: collections.abc.Callable[[data.Endpoint], Connection],
        caps: Caps,
        queue_s: float,
        idle_s: float = IDLE_LIMIT_S,
    ):
        self.endpoint = endpoint
        self._dial = dial
        self._caps = caps
        self._queue_s = queue_s
        self._idle_s = idle_s
        self._full_until = 0.0
        self._full_at = 0
        self._lock = threading.Lock()
        self._idle: list[Connection] = []
        self._leased = 0
        # Of those leased, the ones whose connection is not chosen yet.
        self._granted = 0
        self._running = 0
        self._running_long = 0
        self._waiters: list[Waiter] = []
        self._order = itertools.count()
        self._virtual = 0.0
        self._tags: dict[str, float] = {}
        self._service_s = FIRST_GUESS_S
        self._learned_at = -MEASURE_LIFE_S
        self._closed = False

    def resize(self, caps: Caps) -> None:
        """Changes what may be used; idle connections above it are closed."""
        with self._lock:
            self._caps = caps
            over = self._trim()
            self._dispatch()
        for backend in over:
            backend.close()

    def load(self) -> Load:
        """Returns how busy the pool is."""
        with self._lock:
            return Load(
                running=self._running + self._running_long,
                waiting=len(self._waiters),
                open=self._leased - self._granted + len(self._idle),
                caps=self._caps,
                service_s=self._service_s,
                measured=self._is_measured(),
                wait_s=self._expected(),
                full=self._leased >= self._caps.connections,
            )

    def _is_measured(self) -> bool:
        # What was measured long ago says little; such an endpoint is tried
        # again by its distance.
        return time.monotonic() - self._learned_at < MEASURE_LIFE_S

    def _expected(self, priority: int = LAST) -> float:
        waiting = sum(w.priority <= priority for w in self._waiters)
        ahead = self._running + waiting
        free = max(0, self._caps.slots - ahead)
        if free:
            return 0.0
        behind = ahead - self._caps.slots + 1
        return behind * self._service_s / max(1, self._caps.slots)

    def resume(self) -> None:
        """Counts one more statement of a transaction that is open."""
        with self._lock:
            self._running += 1

    def enter(
        self,
        *,
        session: str,
        deadline: float,
        length: data.Length = data.Length.SHORT,
        priority: int = 0,
        prefer: collections.abc.Callable[[Connection], bool] | None = None,
        patience_s: float | None = None,
    ) -> Connection:
        """Waits for a slot and a connection.

        Args:
            session: Whose turn it is, for fairness.
            deadline: Until when it makes sense to start, in seconds of
                time.monotonic().
            length: Long work has a lane, and waits for a connection only.
            priority: 0 goes first.
            prefer: Says which idle connections suit the caller best.
            patience_s: How long to wait at most, for a request that may go
                elsewhere.

        Returns:
            The connection to use.

        Raises:
            errors.FailureError: Not in time: Overloaded.
            ports.DialError: A new connection could not be opened.
        """
        with self._lock:
            if length is data.Length.LONG:
                waiter = self._queue_long()
            else:
                waiter = self._queue(session, deadline, priority)
            self._dispatch()
        now = time.monotonic()
        patience = min(deadline - now, self._queue_s * PATIENCE)
        if patience_s is not None:
            patience = min(patience, patience_s)
        end = now + patience
        while not waiter.granted.wait(min(max(0.0, end - now), FULL_S)):
            now = time.monotonic()
            if now >= end:
                self._give_up(waiter)
                break
            with self._lock:
                self._dispatch()
        return self._connect(length, prefer)

    def _queue(self, session: str, deadline: float, priority: int) -> Waiter:
        expected = self._expected(priority)
        late = time.monotonic() + expected > deadline
        if late or expected > self._queue_s:
            raise self._overloaded(expected)
        if len(self._tags) > MAX_SESSIONS_KEPT:
            self._tags = {
                k: v for k, v in self._tags.items() if v > self._virtual
            }
        tag = max(self._virtual, self._tags.get(session, 0.0)) + 1
        self._tags[session] = tag
        waiter = Waiter(tag=tag, order=next(self._order), priority=priority)
        self._waiters.append(waiter)
        return waiter

    def _queue_long(self) -> Waiter:
        waiter = Waiter(tag=self._virtual, order=next(self._order), long=True)
        self._waiters.append(waiter)
        return waiter

    def _overloaded(self, expected: float) -> errors.FailureError:
        expected_ms = int(expected / data.MILLISECOND)
        return errors.FailureError(
            errors.Overloaded(
                endpoint=self.endpoint.name, expected_ms=expected_ms
            )
        )

    def _give_up(self, waiter: Waiter) -> None:
        with self._lock:
            if waiter.granted.is_set():
                return
            self._waiters.remove(waiter)
            expected = self._expected()
        raise self._overloaded(expected)

    def _dispatch(self) -> None:
        while self._waiters and self._leased < self._limit():
            full = self._running >= self._caps.slots
            ready = [w for w in self._waiters if w.long or not full]
            if not ready:
                return
            waiter = min(ready, key=lambda w: (w.priority, w.tag, w.order))
            self._waiters.remove(waiter)
            self._leased += 1
            self._granted += 1
            if waiter.long:
                self._running_long += 1
            else:
                self._running += 1
                self._virtual = max(self._virtual, waiter.tag - 1)
            waiter.granted.set()

    def _limit(self) -> int:
        # An endpoint that takes no more connections now is not asked for one
        # by each who waits; those that are open are used meanwhile.
        if time.monotonic() < self._full_until:
            return min(self._caps.connections, self._full_at)
        return self._caps.connections

    def _note_full(self) -> None:
        with self._lock:
            open_now = self._leased - self._granted + len(self._idle) - 1
            self._full_at = max(0, open_now)
            self._full_until = time.monotonic() + FULL_S

    def _connect(
        self,
        length: data.Length,
        prefer: collections.abc.Callable[[Connection], bool] | None,
    ) -> Connection:
        backend = self._take_idle(prefer)
        while backend is not None:
            if backend.usable():
                return backend
            backend.close()
            with self._lock:
                self._granted += 1
            backend = self._take_idle(prefer)
        try:
            return self._dial(self.endpoint)
        except ports.DialError as exc:
            if exc.failure is ports.DialFailure.FULL:
                self._note_full()
            self._abandon(length)
            raise

    def _take_idle(
        self, prefer: collections.abc.Callable[[Connection], bool] | None
    ) -> Connection | None:
        with self._lock:
            self._granted -= 1
            if not self._idle:
                return None
            if prefer is not None:
                for number in range(len(self._idle) - 1, -1, -1):
                    if prefer(self._idle[number]):
                        return self._idle.pop(number)
            return self._idle.pop()

    def _abandon(self, length: data.Length) -> None:
        with self._lock:
            self._leased -= 1
        self.rest(None, length)

    def lengthen(self) -> None:
        """Counts a statement that runs as long from now on, not as short."""
        with self._lock:
            self._running -= 1
            self._running_long += 1
            self._dispatch()

    def rest(
        self, took: float | None, length: data.Length = data.Length.SHORT
    ) -> None:
        """Gives back the slot, and keeps the connection.

        Args:
            took: How long the statement ran in seconds, None if it did not.
            length: What the statement counts as by now.
        """
        with self._lock:
            if length is data.Length.LONG:
                self._running_long -= 1
            else:
                self._running -= 1
                if took is not None:
                    self._learn(took)
            self._dispatch()

    def _learn(self, took: float) -> None:
        self._learned_at = time.monotonic()
        self._service_s += EWMA_WEIGHT * (took - self._service_s)

    def give_back(self, backend: Connection, *, good: bool) -> None:
        """Gives back the connection.

        Args:
            backend: The connection.
            good: Whether the next caller may use it.
        """
        backend.detach()
        backend.idle_since = time.monotonic()
        with self._lock:
            self._leased -= 1
            keep = good and not self._closed
            if keep:
                self._idle.append(backend)
            over = self._trim()
            self._dispatch()
        if not keep:
            backend.close()
        for item in over:
            item.close()

    def _trim(self) -> list[Connection]:
        room = max(0, self._caps.connections - self._leased)
        over = self._idle[: max(0, len(self._idle) - room)]
        del self._idle[: len(over)]
        now = time.monotonic()
        while self._idle and now - self._idle[0].idle_since > self._idle_s:
            over.append(self._idle.pop(0))
        return over

    def drop_idle(self) -> None:
        """Closes the idle connections, as after the endpoint was lost."""
        with self._lock:
            idle, self._idle = self._idle, []
        for backend in idle:
            backend.close()

    def close(self) -> None:
        """Closes the idle connections now, and the others as they return."""
        with self._lock:
            self._closed = True
        self.drop_idle()
