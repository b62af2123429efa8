"""The statement seconds that a service has used across all proxies.

Each proxy counts its own usage per time window of the wall clock and receives
the usage of the others with their heartbeats. A service can exceed its quota
by the usage between two heartbeats.
"""

import dataclasses
import threading
import time

from bronzehold.core import data


@dataclasses.dataclass(frozen=True, kw_only=True)
class Usage:
    """The statement seconds that one proxy counted in one window.

    Attributes:
        window: Number of the window since the epoch.
        seconds: Statement seconds used in the window.
    """

    window: int
    seconds: float


NO_USAGE = Usage(window=0, seconds=0.0)


class QuotaUsage:
    """The usage of one service; safe to use from many threads."""

    def __init__(self):
        self._lock = threading.Lock()
        self._own_usage = NO_USAGE
        self._peer_usage: dict[str, Usage] = {}

    def add(self, service: data.Service, seconds: float) -> None:
        """Adds the duration of a statement that this proxy has run."""
        window = _window_number(service)
        with self._lock:
            previous_s = (
                self._own_usage.seconds
                if self._own_usage.window == window
                else 0.0
            )
            self._own_usage = Usage(window=window, seconds=previous_s + seconds)

    def record_peer(self, proxy: str, usage: Usage) -> None:
        """Records the usage that another proxy reports."""
        with self._lock:
            self._peer_usage[proxy] = usage

    def own_usage(self) -> Usage:
        """Returns the usage of this proxy."""
        return self._own_usage

    def total(self, service: data.Service) -> float:
        """Returns the statement seconds of all proxies in this window."""
        window = _window_number(service)
        with self._lock:
            counts = [self._own_usage, *self._peer_usage.values()]
        return sum(c.seconds for c in counts if c.window == window)

    def is_exhausted(self, service: data.Service) -> bool:
        """Returns whether the service has a quota and has used it up."""
        limit = service.spend_seconds
        return limit > 0 and self.total(service) >= limit


def _window_number(service: data.Service) -> int:
    return int(time.time()) // service.spend_window_s
