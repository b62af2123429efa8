"""Waits for signals by a pipe that the signal handler of the runtime writes to.

A handler in Python takes no lock safely: a second signal interrupts it and then
waits for the lock that it holds. And a signal that another thread receives does
not end a wait of the main thread for a lock. The pipe has neither problem.
"""

import os
import select
import signal

READ_BYTES = 4096
MILLISECONDS_PER_S = 1000


class SignalPipe:
    """Receives the given signals; created in the main thread only."""

    def __init__(self, *numbers: signal.Signals):
        self._read_fd, write_fd = os.pipe()
        os.set_blocking(self._read_fd, False)
        os.set_blocking(write_fd, False)
        signal.set_wakeup_fd(write_fd, warn_on_full_buffer=False)
        for number in numbers:
            signal.signal(number, _do_nothing)

    def wait(self, timeout_s: float | None = None) -> frozenset[int]:
        """Waits for signals.

        Args:
            timeout_s: Maximum wait in seconds, None for no limit.

        Returns:
            The numbers of the signals since the last call, none after the
            timeout.
        """
        poller = select.poll()
        poller.register(self._read_fd, select.POLLIN)
        timeout_ms = (
            None if timeout_s is None else timeout_s * MILLISECONDS_PER_S
        )
        if not poller.poll(timeout_ms):
            return frozenset()
        return frozenset(os.read(self._read_fd, READ_BYTES))


def _do_nothing(number: int, frame: object) -> None:
    """Keeps the default action from ending the process."""
    del number, frame
