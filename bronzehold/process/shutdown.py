"""The schedule of a planned stop, and what each part of it still serves.

A request that was accepted gets an answer before the process exits. So the
closer the exit is, the less is accepted: what could not be answered in time is
refused at once, while the caller can still be told that nothing was kept.
"""

import dataclasses
import math
import threading

from bronzehold.core import clock


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Schedule:
    """The times of a planned stop, in seconds of clock.now().

    Attributes:
        unconditional_until: Until then, every request is accepted.
        answer_by: By then, every accepted request has been answered. From
            unconditional_until on, a request is accepted only if its timeout
            ends before.
        exit_at: The process exits at the latest.
    """

    unconditional_until: float
    answer_by: float
    exit_at: float


class Shutdown:
    """Whether a planned stop has begun; safe to use from any thread."""

    def __init__(self, *, notice_s: float = math.inf):
        """Initializes the state of a process that is not stopping.

        Args:
            notice_s: The shortest time from the beginning of a stop until its
                answers are due, in seconds.
        """
        self._notice_s = notice_s
        self._lock = threading.Lock()
        self._schedule: Schedule | None = None
        self.begun = threading.Event()

    def begin(self, schedule: Schedule) -> bool:
        """Begins the stop; returns whether none had begun."""
        with self._lock:
            if self._schedule is not None:
                return False
            self._schedule = schedule
        self.begun.set()
        return True

    def accepts(self, timeout_s: float) -> bool:
        """Returns whether a request that arrives now can be answered.

        Args:
            timeout_s: The time that the request may take, in seconds.
        """
        schedule = self._schedule
        if schedule is None:
            return True
        now = clock.now()
        return (
            now < schedule.unconditional_until
            or now + timeout_s <= schedule.answer_by
        )

    def limit(self, deadline: float) -> float:
        """Returns a deadline that ends no later than the stop allows.

        The result becomes earlier when a stop begins, so a wait must ask again
        from time to time.

        Args:
            deadline: A time in seconds of clock.now().
        """
        return min(deadline, self.answer_by())

    def limit_s(self, timeout_s: float) -> float:
        """Returns a timeout that ends no later than any stop allows.

        It holds also for a stop that begins later, so a wait of this length
        need not ask again.

        Args:
            timeout_s: A timeout in seconds that starts now.
        """
        schedule = self._schedule
        left_s = (
            self._notice_s
            if schedule is None
            else schedule.answer_by - clock.now()
        )
        return max(0.0, min(timeout_s, left_s))

    def overdue(self) -> bool:
        """Returns whether the last answers are due."""
        schedule = self._schedule
        return schedule is not None and clock.now() >= schedule.answer_by

    def answer_by(self) -> float:
        """Returns when the last answers are due, infinity without a stop."""
        schedule = self._schedule
        return math.inf if schedule is None else schedule.answer_by
