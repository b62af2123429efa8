"""The faults that a run has injected; thread-safe."""

import random
import threading
import time

from bench.soak import records as records_lib

# Limits of the duration of a fault.
MIN_FAULT_S = 0.2
MAX_FAULT_S = 3.0


class FaultJournal:
    """Records the faults of a run and their times.

    Attributes:
        injected: The descriptions of all faults so far, with their times.
        exits: The exits of proxies that the run has caused.
        withdrawals: The withdrawals of keys that have ended.
    """

    def __init__(self):
        self._started_at = time.monotonic()
        self._lock = threading.Lock()
        self.injected: list[str] = []
        self.exits: list[records_lib.ProxyExit] = []
        self.withdrawals: list[records_lib.Withdrawal] = []

    def record(self, description: str) -> None:
        """Adds the description of a fault."""
        with self._lock:
            at = time.monotonic() - self._started_at
            self.injected.append(f"{at:.1f} s {description}")

    def record_and_sleep(self, rng: random.Random, description: str) -> None:
        """Adds a fault and sleeps for its random duration."""
        seconds = rng.uniform(MIN_FAULT_S, MAX_FAULT_S)
        self.record(f"{description} for {seconds:.1f} s")
        time.sleep(seconds)

    def record_exit(
        self, proxy: str, kind: records_lib.Exit, began: float
    ) -> None:
        """Adds the exit of a proxy that has just ended.

        Args:
            proxy: The name of the proxy.
            kind: Why the process exited.
            began: The time before the signal, in seconds of time.monotonic().
        """
        with self._lock:
            self.exits.append(
                records_lib.ProxyExit(
                    proxy=proxy, kind=kind, began=began, ended=time.monotonic()
                )
            )
