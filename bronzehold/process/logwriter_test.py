import io
import logging
import threading
import time

from bronzehold.process import logwriter


class _Stuck(io.StringIO):
    def __init__(self):
        super().__init__()
        self.go = threading.Event()

    def write(self, text: str) -> int:
        self.go.wait(5.0)
        return super().write(text)


def _record(number: int) -> logging.LogRecord:
    return logging.makeLogRecord({"msg": f"line {number}"})


def test_a_reader_that_stands_still_holds_nobody_up_and_drops_are_said():
    stream = _Stuck()
    handler = logwriter.Handler(stream=stream, max_lines=10)
    handler.setFormatter(
        logging.Formatter("%(message)s %(count)s", defaults={"count": ""})
    )
    began = time.monotonic()
    for number in range(1000):
        handler.emit(_record(number))
    assert time.monotonic() - began < 1.0
    assert handler.dropped >= 980
    stream.go.set()
    end = time.monotonic() + 5.0
    while "LinesDropped" not in stream.getvalue():
        assert time.monotonic() < end
        time.sleep(0.01)
    assert f"LinesDropped {handler.dropped}" in stream.getvalue()


def test_the_last_lines_are_written_before_the_end():
    stream = io.StringIO()
    handler = logwriter.Handler(stream=stream)
    for number in range(100):
        handler.emit(_record(number))
    handler.drain(5.0)
    assert stream.getvalue().count("line") == 100
