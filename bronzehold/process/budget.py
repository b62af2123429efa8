"""A retry budget: limits retries to a small share of the requests."""

import threading

# A retry costs one token: beyond a burst, at most a tenth of the requests is
# retried.
TOKENS_PER_REQUEST = 0.1
# Initial and maximum number of tokens: the size of a burst of retries.
MAX_TOKENS = 20.0


class RetryBudget:
    """A token bucket that requests fill and retries empty.

    It is safe to use from many threads.
    """

    def __init__(self):
        self._lock = threading.Lock()
        self._tokens = MAX_TOKENS

    def deposit(self) -> None:
        """Adds the tokens of one request."""
        with self._lock:
            self._tokens = min(MAX_TOKENS, self._tokens + TOKENS_PER_REQUEST)

    def try_withdraw(self) -> bool:
        """Removes a token for a retry; returns False if none is left."""
        with self._lock:
            if self._tokens < 1:
                return False
            self._tokens -= 1
            return True
