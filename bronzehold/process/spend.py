"""What a service has spent in statement seconds, over all proxies together.

Each proxy counts its own, window by window of the wall clock, and hears the
others' counts with their heartbeats; the cap can be passed by what is spent
between two heartbeats.
"""

import dataclasses
import threading
import time

from bronzehold.core import data


@dataclasses.dataclass(frozen=True, kw_only=True)
class Spent:
    """Statement seconds of one window.

    Attributes:
        window: Number of the window since the epoch.
        seconds: Statement seconds spent in it.
    """

    window: int
    seconds: float


NOTHING = Spent(window=0, seconds=0.0)


class Spend:
    """The count of one service; safe to use from many threads."""

    def __init__(self):
        self._lock = threading.Lock()
        self._own = NOTHING
        self._others: dict[str, Spent] = {}

    def add(self, service: data.Service, seconds: float) -> None:
        """Counts a statement that this proxy has run."""
        window = _window(service)
        with self._lock:
            before = self._own.seconds if self._own.window == window else 0.0
            self._own = Spent(window=window, seconds=before + seconds)

    def hear(self, proxy: str, spent: Spent) -> None:
        """Takes the count of another proxy."""
        with self._lock:
            self._others[proxy] = spent

    def own(self) -> Spent:
        """Returns this proxy's count."""
        return self._own

    def total(self, service: data.Service) -> float:
        """Returns the statement seconds of the present window, of all."""
        window = _window(service)
        with self._lock:
            counts = [self._own, *self._others.values()]
        return sum(c.seconds for c in counts if c.window == window)

    def reached(self, service: data.Service) -> bool:
        """Whether the service has spent all that it may."""
        cap = service.spend_seconds
        return cap > 0 and self.total(service) >= cap


def _window(service: data.Service) -> int:
    return int(time.time()) // service.spend_window_s
