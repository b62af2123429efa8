"""Latencies by service, kind of work and outcome, in histograms."""

import dataclasses
import threading

from hdrh import histogram

LOWEST_US = 1
HIGHEST_US = 3600 * 1000 * 1000
DIGITS = 2
MICROSECONDS = 1_000_000


@dataclasses.dataclass(frozen=True, kw_only=True)
class Key:
    """What a latency is counted under.

    Attributes:
        service: The service.
        work: "read" or "write".
        place: "replica", "primary" or "none".
        outcome: "ok", an SQLSTATE, or the kind of the proxy's own failure.
    """

    service: str
    work: str
    place: str
    outcome: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Summary:
    """One histogram's figures, in milliseconds."""

    key: Key
    count: int
    p50_ms: float
    p99_ms: float
    max_ms: float


class Metrics:
    """The histograms of a process; safe to use from many threads."""

    def __init__(self):
        self._lock = threading.Lock()
        self._by_key: dict[Key, histogram.HdrHistogram] = {}

    def record(self, key: Key, seconds: float) -> None:
        """Counts one request."""
        micros = max(LOWEST_US, int(seconds * MICROSECONDS))
        with self._lock:
            hist = self._by_key.get(key)
            if hist is None:
                hist = histogram.HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)
                self._by_key[key] = hist
            hist.record_value(min(micros, HIGHEST_US))

    def summaries(self) -> list[Summary]:
        """Returns the figures of every histogram."""
        with self._lock:
            return [_summary(k, h) for k, h in self._by_key.items()]


def _summary(key: Key, hist: histogram.HdrHistogram) -> Summary:
    def millis(percentile: float) -> float:
        return hist.get_value_at_percentile(percentile) / 1000

    return Summary(
        key=key,
        count=hist.get_total_count(),
        p50_ms=millis(50),
        p99_ms=millis(99),
        max_ms=millis(100),
    )
