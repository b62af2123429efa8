"""Runs the tasks of a process, each on a thread of its own.

There is a task for each connection, peer and endpoint, and one for each loop of
the process. An unexpected error of a task is recorded in the timeline.
"""

import collections.abc
from concurrent import futures
import threading

from bronzehold.core import events
from bronzehold.process import timeline as timeline_lib

THREAD_STACK_BYTES = 256 * 1024
MAX_TASKS = 20000
RESTART_DELAY_S = 0.2


class Tasks:
    """An executor whose tasks end when the process stops.

    Attributes:
        stop: Event that is set when the process stops. Tasks with a loop must
            return once it is set.
    """

    def __init__(self, *, timeline: timeline_lib.Timeline):
        threading.stack_size(THREAD_STACK_BYTES)
        self._timeline = timeline
        self._executor = futures.ThreadPoolExecutor(MAX_TASKS)
        self.stop = threading.Event()

    def spawn(self, name: str, task: collections.abc.Callable[[], None]):
        """Starts a task; an exception that ends it is recorded as an event.

        Returns:
            A future that is done once the task has ended.
        """
        return self._executor.submit(self._run, name, task)

    def spawn_lasting(
        self, name: str, task: collections.abc.Callable[[], None]
    ):
        """Starts a task that is restarted after an exception ends it."""
        return self.spawn(name, lambda: self._run_lasting(name, task))

    def _run_lasting(self, name: str, task: collections.abc.Callable[[], None]):
        has_returned = False
        while not (has_returned or self.stop.is_set()):
            has_returned = self._run(name, task)
            self.stop.wait(0.0 if has_returned else RESTART_DELAY_S)

    def _run(self, name: str, task: collections.abc.Callable[[], None]) -> bool:
        try:
            task()
            return True
        except Exception as exc:  # noqa: BLE001
            # Every unexpected end of a task is reported, for any exception.
            if not self.stop.is_set():
                error = f"{type(exc).__name__}: {exc}"
                self._timeline.add(events.TaskFailed(task=name, error=error))
            return False

    def close(self) -> None:
        """Signals the tasks to end, without waiting for them."""
        self.stop.set()
        self._executor.shutdown(wait=False, cancel_futures=True)
