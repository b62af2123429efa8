"""Injects planned stops, several at once and one after another."""

import random
import threading
import time

from bench.soak import process_faults

# Limits of the time between the starts of two groups of stops. A stop takes up
# to 6 s, so most groups overlap with the stops or restarts of the one before.
MIN_INTERVAL_S = 0.5
MAX_INTERVAL_S = 8.0


def run(
    processes: process_faults.ProcessFaults, seed: int, seconds: float
) -> None:
    """Injects stops for a time; returns when all proxies are started again."""
    rng = random.Random(f"{seed}/stops")
    end = time.monotonic() + seconds
    several, in_turn = processes.stop_several, processes.stop_in_turn
    threads = []
    while time.monotonic() < end:
        # The first stops are several at once.
        stop = rng.choice((several, several, in_turn)) if threads else several
        own = random.Random(rng.random())
        thread = threading.Thread(target=stop, args=(own,), daemon=True)
        thread.start()
        threads.append(thread)
        time.sleep(rng.uniform(MIN_INTERVAL_S, MAX_INTERVAL_S))
    for thread in threads:
        thread.join()
