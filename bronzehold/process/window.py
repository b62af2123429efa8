"""How many statements a proxy keeps in flight at one endpoint.

Several proxies share an endpoint and none sees the others' work. Each goes by
what it sees: an endpoint that answers much later than it has shown it can has a
long queue, and one that refuses work has a full one. Each then keeps less in
flight, and more again once answers are quick.
"""

import time

# Answers this much later than the quickest average mean a queue over there.
LATE = 2.0
# The weight of an answer in the average; about the last ten count.
WEIGHT = 0.1
# By how much the quickest average is forgotten with each answer.
FORGET = 0.001
CUT = 0.5
# The answers to what is in flight must be seen before the next cut.
CUT_GAP_S = 0.1
# Statements by which a full round of answers widens the window.
GROW = 0.1


class Window:
    """The bound on statements in flight; its user holds a lock around it."""

    def __init__(self, *, size: float):
        self._size = size
        self._average_s = 0.0
        self._quickest_s = 0.0
        self._cut_at = 0.0

    def size(self) -> int:
        """Returns how many statements may be in flight."""
        return max(1, int(self._size))

    def note_answer(self, took_s: float, *, most: int, wanted: bool) -> None:
        """Takes how long an answer took.

        Args:
            took_s: The time in seconds.
            most: What the window never grows beyond.
            wanted: Whether work waits for the window.
        """
        if not self._average_s:
            self._average_s = self._quickest_s = took_s
            return
        self._average_s += WEIGHT * (took_s - self._average_s)
        forgotten_s = self._quickest_s * (1 + FORGET)
        self._quickest_s = min(self._average_s, forgotten_s)
        if self._average_s > LATE * self._quickest_s:
            self._cut()
        elif wanted:
            self._size = min(float(most), self._size + GROW / self._size)

    def note_busy(self) -> None:
        """Takes a refusal for a full queue."""
        self._cut()

    def _cut(self) -> None:
        now = time.monotonic()
        if now - self._cut_at >= CUT_GAP_S:
            self._cut_at = now
            self._size = max(1.0, self._size * CUT)
