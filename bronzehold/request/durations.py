"""Estimates the duration of statements from earlier ones of the same shape.

A shape is the text of a statement without its literals. Statements that are
expected to be long are limited by lanes, see lane.py.
"""

import threading

import xxhash

from bronzehold.core import data
from bronzehold.request import classify

# Work is long above this duration, or above LONG_FACTOR times the typical
# duration if that is longer.
MIN_LONG_S = 0.25
LONG_FACTOR = 8
# The weight of a new measurement in a shape's moving average.
EWMA_WEIGHT = 0.3
# The step by which the typical duration follows each measurement.
TYPICAL_STEP_RATIO = 0.02
MAX_SHAPES = 4096


def shape_key(text: str) -> int:
    """Returns a key that is equal for texts that differ only in literals."""
    return xxhash.xxh3_64_intdigest(classify.shape_of(text).encode())


class DurationEstimator:
    """Estimates the duration of each shape of one service; thread-safe.

    The estimate is a moving average. A shape is long when its estimate exceeds
    both MIN_LONG_S and LONG_FACTOR times the typical duration. Each proxy sends
    its long shapes to the others with its heartbeats.
    """

    def __init__(self):
        self._lock = threading.Lock()
        self._expected_s: dict[int, float] = {}
        self._typical_s = MIN_LONG_S / LONG_FACTOR

    def length(self, key: int) -> data.RequestLength:
        """Classifies a shape as short or long; unknown shapes are short."""
        duration_s = self._expected_s.get(key, 0.0)
        return (
            data.RequestLength.LONG
            if duration_s > self.long_threshold_s()
            else data.RequestLength.SHORT
        )

    def expected_s(self, key: int) -> float:
        """Returns the estimate for a shape in seconds, 0 if unknown."""
        return self._expected_s.get(key, 0.0)

    def long_threshold_s(self) -> float:
        """Returns the duration in seconds above which work is long."""
        return max(MIN_LONG_S, LONG_FACTOR * self._typical_s)

    def record(self, key: int, duration_s: float) -> None:
        """Adds the measured duration of a statement, in seconds."""
        with self._lock:
            estimate_s = self._expected_s.get(key, duration_s)
            if (
                len(self._expected_s) >= MAX_SHAPES
                and key not in self._expected_s
            ):
                self._expected_s.pop(next(iter(self._expected_s)))
            self._expected_s[key] = estimate_s + EWMA_WEIGHT * (
                duration_s - estimate_s
            )
            self._update_typical(duration_s)

    def _update_typical(self, duration_s: float) -> None:
        # Steps whose size does not depend on the distance make the value
        # follow the median: a few long statements hardly move it, and it rises
        # when all work is slow.
        if duration_s > self._typical_s:
            self._typical_s = min(
                duration_s, self._typical_s * (1 + TYPICAL_STEP_RATIO)
            )
        else:
            self._typical_s = max(
                duration_s, self._typical_s * (1 - TYPICAL_STEP_RATIO)
            )

    def long_shapes(self) -> dict[int, float]:
        """Returns the estimates of the long shapes, in seconds."""
        threshold_s = self.long_threshold_s()
        with self._lock:
            return {
                k: s for k, s in self._expected_s.items() if s > threshold_s
            }

    def add_remote(self, key: int, duration_s: float) -> None:
        """Adds another proxy's estimate for a shape that is unknown here."""
        with self._lock:
            self._expected_s.setdefault(key, duration_s)
