"""A budget that keeps retries a small share of the traffic."""

import threading

EARNED_PER_REQUEST = 0.1
MOST = 20.0


class Budget:
    """Tokens that requests earn and retries spend."""

    def __init__(self):
        self._lock = threading.Lock()
        self._tokens = MOST

    def earn(self) -> None:
        """Counts a request."""
        with self._lock:
            self._tokens = min(MOST, self._tokens + EARNED_PER_REQUEST)

    def spend(self) -> bool:
        """Takes a token for a retry; returns whether there was one."""
        with self._lock:
            if self._tokens < 1:
                return False
            self._tokens -= 1
            return True
