"""Writes log lines without ever making whoever logs wait.

Lines go through a bounded queue to a task of their own. What the queue cannot
hold is dropped and counted, and the count is written once there is room.
"""

import logging
import queue
import threading
import time
import typing

MAX_LINES = 4000
CHECK_S = 0.01


class Handler(logging.Handler):
    """A log handler that drops rather than waits."""

    def __init__(self, *, stream: typing.TextIO, max_lines: int = MAX_LINES):
        super().__init__()
        self._stream = stream
        self._queue: queue.Queue[logging.LogRecord] = queue.Queue(max_lines)
        self._lock_dropped = threading.Lock()
        self._dropped = 0
        self._dropped_in_all = 0
        threading.Thread(
            target=self._write_forever, name="log writer", daemon=True
        ).start()

    @property
    def dropped(self) -> int:
        """How many lines were dropped since the start."""
        return self._dropped_in_all

    def emit(self, record: logging.LogRecord) -> None:
        """Takes a line, or drops it."""
        try:
            self._queue.put_nowait(record)
        except queue.Full:
            with self._lock_dropped:
                self._dropped += 1
                self._dropped_in_all += 1

    def drain(self, wait_s: float) -> None:
        """Waits for the lines in the queue to be written, for some time."""
        end = time.monotonic() + wait_s
        while self._queue.unfinished_tasks and time.monotonic() < end:
            time.sleep(CHECK_S)

    def _write_forever(self) -> None:
        while True:
            record = self._queue.get()
            try:
                self._stream.write(self.format(record) + "\n")
                self._say_dropped()
                if self._queue.empty():
                    self._stream.flush()
            except (OSError, ValueError):
                # There is nobody left to write to.
                return
            finally:
                self._queue.task_done()

    def _say_dropped(self) -> None:
        with self._lock_dropped:
            count, self._dropped = self._dropped, 0
        if count:
            said = logging.makeLogRecord(
                {
                    "msg": "LinesDropped",
                    "levelname": "WARNING",
                    "event": "LinesDropped",
                    "count": count,
                }
            )
            self._stream.write(self.format(said) + "\n")
