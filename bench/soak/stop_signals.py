"""Signals of a stop in quick succession: `python -m bench.soak.stop_signals`.

Prints how long proxies without callers take from SIGTERM to their exit when
they get one SIGTERM, several at once, or SIGHUP just before it.
"""

import pathlib
import signal
import sys
import tempfile
import time

import defopt

from bench.soak import deployment as deployment_lib

STOP_S = 2.0
# A process that has not exited by then hangs.
EXIT_TIMEOUT_S = STOP_S + 2.0
# Time for the processes to settle after they are ready.
SETTLE_S = 1.0
PATTERNS = {
    "one SIGTERM": (signal.SIGTERM,),
    "two SIGTERM": (signal.SIGTERM,) * 2,
    "thirty SIGTERM": (signal.SIGTERM,) * 30,
    "SIGHUP and SIGTERM": (signal.SIGHUP, signal.SIGTERM),
}


def measure(
    folder: pathlib.Path, proxies: int, numbers: tuple[signal.Signals, ...]
) -> list[float | None]:
    """Returns the time to the exit of each proxy, None if it hangs."""
    deployment = deployment_lib.Deployment(
        folder=folder, proxies=proxies, seed=1, stop_s=STOP_S
    )
    times: list[float | None] = []
    try:
        deployment.start()
        time.sleep(SETTLE_S)
        for proxy in deployment.processes:
            signalled_at = time.monotonic()
            for number in numbers:
                proxy.signal(number)
            exited = proxy.wait_for_exit(EXIT_TIMEOUT_S)
            times.append(time.monotonic() - signalled_at if exited else None)
            if not exited:
                # The process writes the stacks of its threads to its log.
                proxy.signal(signal.SIGABRT)
    finally:
        deployment.close()
    return times


def main(*, rounds: int = 2, proxies: int = 8) -> int:
    """Measures the patterns of signals and prints the times.

    Args:
        rounds: Number of deployments for each pattern.
        proxies: Number of proxies in each deployment.
    """
    hung_count = 0
    for name, numbers in PATTERNS.items():
        times = []
        for _ in range(rounds):
            folder = pathlib.Path(tempfile.mkdtemp(prefix="signals-"))
            times += measure(folder, proxies, numbers)
        exits = sorted(t for t in times if t is not None)
        hung = len(times) - len(exits)
        hung_count += hung
        shown = " ".join(f"{t:.2f}" for t in exits)
        print(  # noqa: T201
            f"{name}: {len(times)} stops, {hung} hung, exits after {shown} s,"
            f" {folder}",
            flush=True,
        )
    return 1 if hung_count else 0


if __name__ == "__main__":
    sys.exit(defopt.run(main))
