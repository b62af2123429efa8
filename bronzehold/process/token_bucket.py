"""Counts the operations that a proxy may let through.

The classes read no clock: each call gets the time, in seconds of clock.now().
They are not safe for use from several threads.
"""

import collections
import math

from bronzehold.version import rate_shares

# Tokens within this of a whole one count as one, so that a caller which comes
# back at the time it was told is not refused for a rounding error.
ROUNDING = 1e-6


class TokenBucket:
    """A token bucket whose share of the limit may change.

    Attributes:
        share: The share that it holds.
        started_at: Time of its start.
    """

    def __init__(
        self, *, share: rate_shares.Share, now: float, tokens: float = math.inf
    ):
        """Initializes a bucket.

        Args:
            share: The share that it holds.
            now: The time.
            tokens: Tokens to start with, at most those of a new bucket.
        """
        self.share = share
        self.started_at = now
        self._tokens = min(share.initial, tokens)
        self._refilled_at = now

    def tokens(self, now: float) -> float:
        """Returns the number of tokens."""
        # A thread may have read the clock before another thread's refill.
        elapsed_s = max(0.0, now - self._refilled_at)
        self._tokens = min(
            self.share.capacity,
            self._tokens + elapsed_s * self.share.rate_per_s,
        )
        self._refilled_at = max(now, self._refilled_at)
        return self._tokens

    def take(self, count: int, now: float) -> int:
        """Takes whole tokens; returns how many there were, at most count."""
        taken = min(count, int(self.tokens(now) + ROUNDING))
        self._tokens -= taken
        return taken

    def raise_to(self, tokens: float, now: float) -> None:
        """Raises the number of tokens, at most to the capacity."""
        tokens = max(self.tokens(now), tokens)
        self._tokens = min(self.share.capacity, tokens)

    def put_back(self, now: float) -> None:
        """Returns a token that was not used."""
        self._tokens = min(self.share.capacity, self.tokens(now) + 1)

    def wait_s(self, now: float) -> float:
        """Returns the time until there is a token, infinity if never."""
        missing = max(0.0, 1 - self.tokens(now))
        if not missing:
            return 0.0
        if not self.share.rate_per_s:
            return math.inf
        return missing / self.share.rate_per_s

    def change_share(self, share: rate_shares.Share, now: float) -> None:
        """Puts a new share in force from now on.

        A higher capacity is filled at the rate, a lower one cuts the tokens.
        """
        self._tokens = min(share.capacity, self.tokens(now))
        self.share = share


class WindowCount:
    """Lets a number of operations through in every window of time."""

    def __init__(self, *, window_s: float):
        self._window_s = window_s
        self._spent_at: collections.deque[float] = collections.deque()

    def take(self, most: int, now: float) -> bool:
        """Counts an operation unless the window has its number.

        Args:
            most: Number of operations of a window.
            now: The time.
        """
        while self._spent_at and self._spent_at[0] <= now - self._window_s:
            self._spent_at.popleft()
        if len(self._spent_at) >= most:
            return False
        self._spent_at.append(now)
        return True

    def put_back(self) -> None:
        """Returns the operation that was counted last."""
        if self._spent_at:
            self._spent_at.pop()

    def wait_s(self, now: float) -> float:
        """Returns the time until an operation leaves the window."""
        if not self._spent_at:
            return math.inf
        return max(0.0, self._spent_at[0] + self._window_s - now)


class Reserve:
    """Tokens that another proxy has granted and that expire if not used."""

    def __init__(self):
        # The times at which each token was granted and expires.
        self._tokens: collections.deque[tuple[float, float]] = (
            collections.deque()
        )

    def add(self, count: int, *, granted_at: float, expires_at: float) -> None:
        """Adds tokens."""
        self._tokens.extend([(granted_at, expires_at)] * count)

    def take(self, now: float) -> float | None:
        """Takes a token that has not expired.

        Returns:
            When it was granted, None if there is none.
        """
        while self._tokens:
            granted_at, expires_at = self._tokens.popleft()
            if expires_at > now:
                return granted_at
        return None

    def clear(self) -> None:
        """Drops all tokens."""
        self._tokens.clear()


class RateMeter:
    """Measures a recent rate in slots of half a second."""

    SLOT_S = 0.5

    def __init__(self):
        self._slot = 0
        self._count = 0
        self._previous_count = 0

    def add(self, now: float) -> None:
        """Counts an operation."""
        self._advance(now)
        self._count += 1

    def rate_per_s(self, now: float) -> float:
        """Returns the rate over the present slot and the one before."""
        self._advance(now)
        elapsed_s = now - (self._slot - 1) * self.SLOT_S
        return (self._count + self._previous_count) / elapsed_s

    def _advance(self, now: float) -> None:
        slot = int(now / self.SLOT_S)
        if slot <= self._slot:
            return
        follows = slot == self._slot + 1
        self._previous_count = self._count if follows else 0
        self._count = 0
        self._slot = slot
