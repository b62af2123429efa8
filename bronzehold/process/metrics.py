"""Latency histograms by service, statement kind, endpoint and outcome.

Both paths record each request here; `exposition` and `operator_api` report the
summaries.
"""

import dataclasses
import threading

from hdrh import histogram

MIN_LATENCY_US = 1
MAX_LATENCY_US = 3600 * 1000 * 1000
SIGNIFICANT_DIGITS = 2
US_PER_S = 1_000_000


@dataclasses.dataclass(frozen=True, kw_only=True)
class Key:
    """The labels of one histogram.

    Attributes:
        service: Name of the service.
        statement_kind: "read" or "write" on the PostgreSQL path, the class
            name of the statement on the platform path.
        endpoint: Role of the endpoint on the PostgreSQL path ("replica",
            "primary" or "none"), its name on the platform path.
        outcome: "ok" or a failure. On the PostgreSQL path, a failure is the
            SQLSTATE of the endpoint's error, or the outcome and SQLSTATE of
            the proxy's own failure; on the platform path, the class name of
            the failure.
    """

    service: str
    statement_kind: str
    endpoint: str
    outcome: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Summary:
    """The figures of one histogram.

    Attributes:
        key: Labels of the histogram.
        count: Number of requests.
        p50_ms: Median latency in ms.
        p99_ms: 99th percentile of the latency in ms.
        max_ms: Highest latency in ms.
    """

    key: Key
    count: int
    p50_ms: float
    p99_ms: float
    max_ms: float


class Metrics:
    """The latency histograms of a process; safe to use from many threads."""

    def __init__(self):
        self._lock = threading.Lock()
        self._by_key: dict[Key, histogram.HdrHistogram] = {}

    def record(self, key: Key, latency_s: float) -> None:
        """Records the latency of one request."""
        latency_us = max(MIN_LATENCY_US, int(latency_s * US_PER_S))
        with self._lock:
            latencies = self._by_key.get(key)
            if latencies is None:
                latencies = histogram.HdrHistogram(
                    MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS
                )
                self._by_key[key] = latencies
            latencies.record_value(min(latency_us, MAX_LATENCY_US))

    def summaries(self) -> list[Summary]:
        """Returns a summary of each histogram."""
        with self._lock:
            return [_summary(k, h) for k, h in self._by_key.items()]


def _summary(key: Key, latencies: histogram.HdrHistogram) -> Summary:
    def percentile_ms(percentile: float) -> float:
        return latencies.get_value_at_percentile(percentile) / 1000

    return Summary(
        key=key,
        count=latencies.get_total_count(),
        p50_ms=percentile_ms(50),
        p99_ms=percentile_ms(99),
        max_ms=percentile_ms(100),
    )
