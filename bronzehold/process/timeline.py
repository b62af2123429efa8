"""The events of one process, kept in memory and written to the log.

The operator API returns the latest events. The log has each event as one JSON
object. Incidents that are too frequent to log are only counted.
"""

import collections
import dataclasses
import itertools
import logging
import threading
import time

from pythonjsonlogger import json as jsonlogger

from bronzehold.core import events
from bronzehold.core import request_events
from bronzehold.core import store_events

MAX_KEPT_EVENTS = 4096
# Rate limit of frequent events. The burst is about the number of requests that
# a failed instance refuses in one second; the rate after it is a fraction.
FREQUENT_EVENTS_PER_S = 50
FREQUENT_EVENTS_BURST = 300
# Events hold ids and names that callers choose, of up to a mebibyte each.
MAX_TEXT_LENGTH = 1000
LOGGER_NAME = "bronzehold"

# Used as a library, the package writes no log lines unless the application
# configures a handler.
logging.getLogger(LOGGER_NAME).addHandler(logging.NullHandler())


@dataclasses.dataclass(frozen=True, kw_only=True)
class Entry:
    """One event with its place and time.

    Attributes:
        sequence: Number of the event; it grows by one with each event of the
            process.
        at_ns: Time of the event on the process's wall clock, in ns.
        proxy: Name of the process.
        zone: Availability zone of the process.
        event: The event.
    """

    sequence: int
    at_ns: int
    proxy: str
    zone: str
    event: events.Event


def to_json_fields(entry: Entry) -> dict:
    """Returns the fields of an entry and its event, ready for JSON."""
    return {
        "sequence": entry.sequence,
        "at_ns": entry.at_ns,
        "proxy": entry.proxy,
        "zone": entry.zone,
        "event": type(entry.event).__name__,
        **dataclasses.asdict(entry.event),
    }


class Timeline:
    """Records the events of this process; safe to use from many threads."""

    def __init__(self, *, proxy: str, zone: str):
        self._proxy = proxy
        self._zone = zone
        self._lock = threading.Lock()
        self._sequence = itertools.count(1)
        self._entries: collections.deque[Entry] = collections.deque(
            maxlen=MAX_KEPT_EVENTS
        )
        self._counts: dict[str, int] = {}
        self._tokens = float(FREQUENT_EVENTS_BURST)
        self._refilled_at = time.monotonic()
        self._skipped_events = 0
        self._logger = logging.getLogger(LOGGER_NAME)

    def add(self, event: events.Event) -> None:
        """Records an event and logs it; long texts in it are shortened."""
        event = _shorten(event)
        with self._lock:
            entry = Entry(
                sequence=next(self._sequence),
                at_ns=time.time_ns(),
                proxy=self._proxy,
                zone=self._zone,
                event=event,
            )
            self._entries.append(entry)
        self._logger.log(
            _log_level(event), type(event).__name__, extra=_log_fields(entry)
        )

    def add_frequent(self, event: events.Event) -> None:
        """Records an event of a frequent type, within a rate limit.

        Events beyond the limit are counted, and the next event that is within
        it is preceded by one EventsNotLogged with their number.
        """
        with self._lock:
            now = time.monotonic()
            refill = (now - self._refilled_at) * FREQUENT_EVENTS_PER_S
            self._tokens = min(FREQUENT_EVENTS_BURST, self._tokens + refill)
            self._refilled_at = now
            if self._tokens < 1:
                self._skipped_events += 1
                return
            self._tokens -= 1
            skipped, self._skipped_events = self._skipped_events, 0
        if skipped:
            self.add(events.EventsNotLogged(count=skipped))
        self.add(event)

    def count(self, name: str) -> None:
        """Counts an incident that is too frequent and minor for an event."""
        with self._lock:
            self._counts[name] = self._counts.get(name, 0) + 1

    def counts(self) -> dict[str, int]:
        """Returns the number of incidents by name."""
        with self._lock:
            return dict(self._counts)

    def entries_after(self, sequence: int) -> list[Entry]:
        """Returns the kept events after a sequence number."""
        with self._lock:
            return [e for e in self._entries if e.sequence > sequence]


def _shorten(event: events.Event) -> events.Event:
    """Returns an event without the rest of each long text."""
    shortened = {
        field.name: value[:MAX_TEXT_LENGTH] + f"... ({len(value)} characters)"
        for field in dataclasses.fields(event)
        if isinstance(value := getattr(event, field.name), str)
        and len(value) > MAX_TEXT_LENGTH
    }
    return dataclasses.replace(event, **shortened) if shortened else event


def _log_fields(entry: Entry) -> dict:
    fields = to_json_fields(entry)
    fields["instance"] = fields.pop("proxy")
    return fields


def _log_level(event: events.Event) -> int:
    match event:
        case events.TaskFailed():
            return logging.ERROR
        case (
            events.PrimarySuspected()
            | events.ChangeFailed()
            | events.ConfigRefused()
            | events.EntriesDiscarded()
            | store_events.PlatformAway()
            | events.PeerSilent()
            | request_events.RequestCut()
        ):
            return logging.WARNING
        case _:
            return logging.INFO


def set_up_logging(
    level: str, handler: logging.Handler | None = None
) -> logging.Handler:
    """Configures the log to be written as one JSON object per line.

    Args:
        level: Lowest level that is written.
        handler: Handler that writes the lines; a handler that writes to the
            standard error by default.

    Returns:
        The handler in use.
    """
    handler = handler or logging.StreamHandler()
    handler.setFormatter(
        jsonlogger.JsonFormatter(
            "{asctime}{levelname}{message}",
            style="{",
            rename_fields={"asctime": "time", "levelname": "level"},
        )
    )
    logger = logging.getLogger(LOGGER_NAME)
    logger.handlers[:] = [handler]
    logger.setLevel(level)
    logger.propagate = False
    return handler
