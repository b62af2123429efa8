"""The queue of the requests that wait for a slot and a connection of a pool.

The queue is fair between sessions (start-time fair queueing): each statement
gets a tag one higher than the last tag of its session, and the lowest tag is
served first, so a session with many statements cannot delay a session with few.
It is not safe for use from several threads.
"""

import itertools
import threading
import time

# Weight of a new sample in the moving average of the interval between grants.
GRANT_INTERVAL_WEIGHT = 0.2
# A measurement older than this is not used.
MEASUREMENT_TTL_S = 2.0
# Outdated session tags are removed when there are more than this.
MAX_SESSION_TAGS = 4096
LOWEST_PRIORITY = 1 << 30
# Interval at which a waiting request runs the dispatcher again.
DISPATCH_INTERVAL_S = 0.05
# A dispatcher that runs this late was not run by the machine. Both intervals
# between grants and refusals would otherwise count a pause of this process as
# a pause of the endpoint.
HELD_UP_S = 2 * DISPATCH_INTERVAL_S


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


class RequestQueue:
    """Waiting requests, their order and the expected wait of a new one."""

    def __init__(self):
        self._waiters: list[Waiter] = []
        self._order = itertools.count()
        self._virtual_time = 0.0
        self._tags: dict[str, float] = {}
        self._grant_interval_s = 0.0
        self._granted_at = -MEASUREMENT_TTL_S
        self._dispatched_at = 0.0
        # The end of the last time in which this process was not run.
        self._resumed_at = 0.0

    def __len__(self) -> int:
        return len(self._waiters)

    # Requests.

    def add(self, session: str, priority: int) -> Waiter:
        """Adds a short request.

        Args:
            session: Name of the session, for fair queueing.
            priority: Priority of the request; 0 is served first.
        """
        if len(self._tags) > MAX_SESSION_TAGS:
            self._tags = {
                k: v for k, v in self._tags.items() if v > self._virtual_time
            }
        tag = max(self._virtual_time, self._tags.get(session, 0.0)) + 1
        self._tags[session] = tag
        return self.add_tagged(tag, priority=priority)

    def add_long(self) -> Waiter:
        """Adds a long request, which needs no slot."""
        return self.add_tagged(self._virtual_time, is_long=True)

    def add_tagged(
        self, tag: float, *, priority: int = 0, is_long: bool = False
    ) -> Waiter:
        """Adds a request with a given tag."""
        waiter = Waiter(
            tag=tag, order=next(self._order), is_long=is_long, priority=priority
        )
        self._waiters.append(waiter)
        return waiter

    def add_again(self, waiter: Waiter) -> Waiter:
        """Puts a request back in its place after a refused connection."""
        again = Waiter(
            tag=waiter.tag,
            order=waiter.order,
            is_long=waiter.is_long,
            priority=waiter.priority,
        )
        again.queued_at = waiter.queued_at
        again.was_queued = True
        self._waiters.append(again)
        return again

    def remove(self, waiter: Waiter) -> None:
        """Removes a request that was not granted."""
        self._waiters.remove(waiter)

    def first(self, *, is_full: bool) -> Waiter | None:
        """Returns the request to be served next, None if none may start.

        Args:
            is_full: Whether all slots are in use.
        """
        ready = [w for w in self._waiters if w.is_long or not is_full]
        if not ready:
            return None
        return min(ready, key=lambda w: (w.priority, w.tag, w.order))

    def grant(self, waiter: Waiter) -> None:
        """Removes a request that is served now."""
        self._waiters.remove(waiter)
        if waiter.was_queued:
            self._record_grant(waiter)
        if not waiter.is_long:
            self._virtual_time = max(self._virtual_time, waiter.tag - 1)
        waiter.granted.set()

    def has_waited(self, wait_s: float) -> bool:
        """Returns whether a request has waited this long, in seconds."""
        now = time.monotonic()
        return any(now - w.queued_at >= wait_s for w in self._waiters)

    # Expected wait.

    def count_ahead(self, priority: int) -> int:
        """Returns how many requests are ahead of a new one of a priority."""
        return sum(w.priority <= priority for w in self._waiters)

    def expected_wait_s(
        self, priority: int, typical_interval_s: float
    ) -> float:
        """Returns the expected wait of a new request that has to wait.

        Args:
            priority: The priority of the request; only requests of the same
                or a more urgent priority are ahead of it.
            typical_interval_s: The interval between grants if there is no
                recent measurement.

        Returns:
            The wait in seconds.
        """
        # The interval is measured at this queue, because the endpoint serves
        # other proxies as well and its rate is not known here.
        interval_s = typical_interval_s
        if time.monotonic() - self._granted_at < MEASUREMENT_TTL_S:
            interval_s = self._grant_interval_s
        return max(
            (self.count_ahead(priority) + 1) * interval_s,
            self._time_since_grant(),
        )

    def _time_since_grant(self) -> float:
        """Returns how long no queued request has been granted, in seconds."""
        if not self._waiters:
            return 0.0
        first = min(w.queued_at for w in self._waiters)
        since = max(first, self._granted_at, self._resumed_at)
        return time.monotonic() - since

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

    def note_dispatch(self) -> None:
        """Notices that this process was not run for a while."""
        now = time.monotonic()
        # Each waiting request runs the dispatcher at short intervals.
        if now - self._dispatched_at > HELD_UP_S and any(
            w.queued_at <= self._dispatched_at for w in self._waiters
        ):
            self._resumed_at = now
        self._dispatched_at = now
