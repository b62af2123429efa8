"""The operations that a limiter may let through in any window.

A token bucket bounds what is granted at once, and a count what is granted in a
window. A limiter that takes over from another does not know what that one has
granted: the requests of other proxies contain the reports that they got with
their last answers. Without a report, its bucket starts nearly empty, which is
safe in any case. The class is not safe for use from several threads.
"""

import collections
import math

from bronzehold.process import token_bucket
from bronzehold.process import token_messages as messages
from bronzehold.version import rate_shares

# Operations are counted in steps, which is precise enough for a window.
STEPS_IN_SLOT = 10
STEP_S = messages.SLOT_S / STEPS_IN_SLOT
# Slots of a report that tell how full the bucket of the other limiter was.
RECENT_SLOTS = 3
_ROUNDING = 1e-6


class WindowBudget:
    """The budget of one limiter.

    Attributes:
        share: The share of the limit that it grants.
        started_at: Time of its start, in seconds of clock.now().
    """

    def __init__(
        self,
        *,
        share: rate_shares.Share,
        window_s: float,
        now: float,
        initial: float = math.inf,
    ):
        """Initializes a budget.

        Args:
            share: The share of the limit.
            window_s: Length of the window in seconds.
            now: The time.
            initial: Operations to grant at once without a report, at most those
                of a new budget.
        """
        self.share = share
        self.started_at = now
        self._window_s = window_s
        self._bucket = token_bucket.TokenBucket(
            share=share, now=now, tokens=initial
        )
        self._granted = _Grants()
        self._reported = _Reports()
        self._has_report = False

    def carry_over(self, older: "WindowBudget") -> None:
        """Counts what an older budget of this process has granted."""
        self._granted.add_all(older._granted)
        self._reported.add_all(older._reported)

    def apply_report(
        self, usage: messages.Usage, age_s: float, now: float
    ) -> None:
        """Counts what another limiter has granted.

        Args:
            usage: The report.
            age_s: Time since the limiter made it, in seconds.
            now: The time.
        """
        if age_s >= self._window_s:
            return
        self._reported.add(usage, now - age_s)
        if not self._has_report:
            self._has_report = True
            # As if this bucket had granted what was reported last.
            used = sum(usage.slots[:RECENT_SLOTS])
            refilled = self.share.rate_per_s * (
                age_s + RECENT_SLOTS * messages.SLOT_S
            )
            self._bucket.raise_to(self.share.capacity - used + refilled, now)

    def tokens(self, now: float) -> float:
        """Returns the number of operations that may run now."""
        oldest = now - self._window_s
        self._granted.forget(oldest)
        self._reported.forget(oldest)
        used = self._granted.total() + self._reported.total()
        left = max(0.0, self.share.in_window - used)
        return min(left, self._bucket.tokens(now))

    def take(self, count: int, now: float) -> int:
        """Grants operations; returns how many, at most count."""
        taken = max(0, min(count, int(self.tokens(now) + _ROUNDING)))
        if taken:
            self._granted.add(now, taken)
            self._bucket.take(taken, now)
        return taken

    def put_back(self, now: float) -> None:
        """Takes back an operation that did not run."""
        if self._granted.remove_one():
            self._bucket.put_back(now)

    def wait_s(self, now: float) -> float:
        """Returns the time until the next operation, infinity if never."""
        if self.tokens(now) + _ROUNDING >= 1:
            return 0.0
        wait_s = self._bucket.wait_s(now)
        used = self._granted.total() + self._reported.total()
        if used + 1 <= self.share.in_window + _ROUNDING:
            return wait_s
        first = min(self._granted.first_end(), self._reported.first_end())
        return max(wait_s, STEP_S, first + self._window_s - now)

    def change_share(self, share: rate_shares.Share, now: float) -> None:
        """Puts a new share in force from now on."""
        self.share = share
        self._bucket.change_share(share, now)

    def usage(self, limiter: str, now: float) -> messages.Usage:
        """Returns the report of the operations of the last window.

        Args:
            limiter: Text that tells this process from all others.
            now: The time.
        """
        counts = self._granted.by_slot() + self._reported.by_slot()
        last = int(now / messages.SLOT_S)
        number = math.ceil(self._window_s / messages.SLOT_S) + 1
        return messages.Usage(
            limiter=limiter,
            last_slot=last,
            slots=tuple(counts[last - n] for n in range(number)),
        )


class _Grants:
    """The operations that this process has granted, by time."""

    def __init__(self):
        self._counts: dict[int, int] = {}

    def add(self, now: float, count: int) -> None:
        step = int(now / STEP_S)
        self._counts[step] = self._counts.get(step, 0) + count

    def add_all(self, other: "_Grants") -> None:
        for step, count in other._counts.items():
            self._counts[step] = self._counts.get(step, 0) + count

    def remove_one(self) -> bool:
        """Removes the latest operation; returns whether there was one."""
        if not self._counts:
            return False
        latest = max(self._counts)
        self._counts[latest] -= 1
        if not self._counts[latest]:
            del self._counts[latest]
        return True

    def forget(self, oldest: float) -> None:
        """Forgets the operations before a time."""
        for step in [s for s in self._counts if (s + 1) * STEP_S <= oldest]:
            del self._counts[step]

    def total(self) -> int:
        return sum(self._counts.values())

    def first_end(self) -> float:
        """Returns the end of the step of the first operation."""
        return min(((s + 1) * STEP_S for s in self._counts), default=math.inf)

    def by_slot(self) -> collections.Counter[int]:
        counts = collections.Counter[int]()
        for step, count in self._counts.items():
            counts[step // STEPS_IN_SLOT] += count
        return counts


class _Reports:
    """The operations that other limiters have reported.

    Several proxies report the same operations, so the highest count of each
    slot is used.
    """

    def __init__(self):
        # Count and end by limiter and slot.
        self._slots: dict[tuple[str, int], tuple[int, float]] = {}

    def add(self, usage: messages.Usage, at: float) -> None:
        """Adds a report that was made at a time."""
        for number, count in enumerate(usage.slots):
            key = (usage.limiter, usage.last_slot - number)
            old_count, old_end = self._slots.get(key, (0, -math.inf))
            # The latest slot has just begun or is nearly over.
            end = at - max(0, number - 1) * messages.SLOT_S
            self._slots[key] = (max(count, old_count), max(end, old_end))

    def add_all(self, other: "_Reports") -> None:
        self._slots.update(other._slots)

    def forget(self, oldest: float) -> None:
        """Forgets the operations before a time."""
        for key in [k for k, (_, end) in self._slots.items() if end <= oldest]:
            del self._slots[key]

    def total(self) -> int:
        return sum(count for count, _ in self._slots.values())

    def first_end(self) -> float:
        """Returns the end of the first slot with an operation."""
        ends = (end for count, end in self._slots.values() if count)
        return min(ends, default=math.inf)

    def by_slot(self) -> collections.Counter[int]:
        counts = collections.Counter[int]()
        for count, end in self._slots.values():
            counts[int(end / messages.SLOT_S)] += count
        return counts
