"""The program that runs on the platform's instances."""

import faulthandler
import os
import signal
import sys
import threading

from bronzehold.core import validation
from bronzehold.platform import instance
from bronzehold.platform import settings_file
from bronzehold.process import timeline

SETTINGS_VARIABLE = "BRONZEHOLD_NODE_FILE"
BAD_INPUT = 2
SIGNAL_CHECK_S = 1.0


def main() -> int:
    """Runs a proxy until SIGTERM, which begins a planned stop."""
    faulthandler.enable()
    try:
        cfg = settings_file.load(os.environ.get(SETTINGS_VARIABLE, ""))
    except validation.ProblemsError as exc:
        for problem in exc.problems:
            print(problem, file=sys.stderr)  # noqa: T201
        return BAD_INPUT
    stop = threading.Event()
    signal.signal(signal.SIGTERM, lambda _number, _frame: stop.set())
    signal.signal(signal.SIGHUP, lambda _number, _frame: None)
    timeline.set_up_logs(cfg.log_level)
    running = instance.Instance(cfg=cfg)
    running.start()
    while not stop.wait(SIGNAL_CHECK_S):
        continue
    running.drain()
    # Tasks that wait on sockets do not hold the end back.
    os._exit(0)


if __name__ == "__main__":
    sys.exit(main())
