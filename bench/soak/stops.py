"""Stops several proxies at once: `python -m bench.soak.stops --seed 7`.

The callers do what a planned stop has to cope with: they hold transactions open
and pause in them, connect in the last moment, and send statements that take
most of their timeout. This is the soak with the scenario "stops" and one group
of stops.
"""

import sys

import defopt

from bench.soak import run
from bench.soak import stop_series


def main(*, seed: int = 1, seeds: int = 1, proxies: int = 4) -> int:
    """Runs stops and prints the statements that they cut.

    Args:
        seed: The first seed.
        seeds: Number of consecutive seeds, one run each.
        proxies: Number of proxy processes.
    """
    return run.main(
        seed=seed,
        seconds=stop_series.MIN_INTERVAL_S,
        proxies=proxies,
        seeds=seeds,
        scenario="stops",
        verbose=True,
    )


if __name__ == "__main__":
    sys.exit(defopt.run(main))
