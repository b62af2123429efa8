"""Writes log lines without blocking the threads that log.

Lines go through a bounded queue to a writer thread. If the queue is full, a
line is dropped and counted. The writer thread reports the number of dropped
lines after the next line that it writes.
"""

import logging
import queue
import threading
import time
import typing

MAX_QUEUED_LINES = 4000
DRAIN_POLL_S = 0.01


class Handler(logging.Handler):
    """A log handler that drops lines instead of blocking.

    Args:
        stream: Stream that the lines are written to.
        max_lines: Maximum number of queued lines.
    """

    def __init__(
        self, *, stream: typing.TextIO, max_lines: int = MAX_QUEUED_LINES
    ):
        super().__init__()
        self._stream = stream
        self._queue: queue.Queue[logging.LogRecord] = queue.Queue(max_lines)
        self._dropped_lock = threading.Lock()
        self._unreported_drops = 0
        self._total_drops = 0
        threading.Thread(
            target=self._write_forever, name="log writer", daemon=True
        ).start()

    @property
    def dropped_lines(self) -> int:
        """The number of lines dropped since the start."""
        return self._total_drops

    def emit(self, record: logging.LogRecord) -> None:
        """Queues a line, or drops it if the queue is full."""
        try:
            self._queue.put_nowait(record)
        except queue.Full:
            with self._dropped_lock:
                self._unreported_drops += 1
                self._total_drops += 1

    def drain(self, timeout_s: float) -> None:
        """Waits up to timeout_s seconds until all queued lines are written."""
        deadline = time.monotonic() + timeout_s
        while self._queue.unfinished_tasks and time.monotonic() < deadline:
            time.sleep(DRAIN_POLL_S)

    def _write_forever(self) -> None:
        while True:
            record = self._queue.get()
            try:
                self._stream.write(self.format(record) + "\n")
                self._report_dropped()
                if self._queue.empty():
                    self._stream.flush()
            except (OSError, ValueError):
                # The stream is closed, or its reader has gone.
                return
            finally:
                self._queue.task_done()

    def _report_dropped(self) -> None:
        with self._dropped_lock:
            count, self._unreported_drops = self._unreported_drops, 0
        if count:
            record = logging.makeLogRecord(
                {
                    "msg": "LinesDropped",
                    "levelname": "WARNING",
                    "event": "LinesDropped",
                    "count": count,
                }
            )
            self._stream.write(self.format(record) + "\n")
