import json
import logging

from bronzehold.core import request_events
from bronzehold.process import timeline as timeline_lib

LONG_ID = "x" * (1 << 20)


def _cut(request):
    return request_events.RequestCut(
        request=request,
        session="s",
        group="g",
        work="Read",
        endpoint="e",
        in_transaction=False,
        took_ms=1,
        cause="closed",
    )


class _Lines(logging.Handler):
    def __init__(self):
        super().__init__()
        self.lines = []

    def emit(self, record):
        self.lines.append(self.format(record))


def test_long_texts_of_callers_are_neither_kept_nor_logged_whole():
    """Guards against Fault: kept events held ids of a mebibyte each."""
    handler = _Lines()
    logger = logging.getLogger(timeline_lib.LOGGER_NAME)
    before = logger.handlers[:], logger.level, logger.propagate
    timeline_lib.set_up_logging("INFO", handler)
    try:
        timeline = timeline_lib.Timeline(proxy="p", zone="z")
        timeline.add(_cut(LONG_ID))
        timeline.add_frequent(_cut(LONG_ID))
    finally:
        logger.handlers[:], level, logger.propagate = before
        logger.setLevel(level)
    kept = [entry.event.request for entry in timeline.entries_after(0)]
    logged = [json.loads(line)["request"] for line in handler.lines]
    assert kept == logged
    for text in kept:
        assert text.startswith("x" * timeline_lib.MAX_TEXT_LENGTH)
        assert text.endswith(f"... ({len(LONG_ID)} characters)")
        assert len(text) < 2 * timeline_lib.MAX_TEXT_LENGTH


def test_events_with_ordinary_texts_are_kept_as_they_are():
    timeline = timeline_lib.Timeline(proxy="p", zone="z")
    event = _cut("x" * timeline_lib.MAX_TEXT_LENGTH)
    timeline.add(event)
    assert timeline.entries_after(0)[0].event is event
