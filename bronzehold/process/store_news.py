"""What this proxy knows of changes in the store without asking it.

The proxies that watch the store report its newest revision in their digests,
with the time at which it was the newest, and all proxies pass the latest report
on. A proxy that does not watch reads the store when a report names a revision
that it lacks. If no recent report reaches it, it watches the store itself.

Revisions are compared within an era of the store only. A report of a later era
makes a proxy ask the store, whose answer alone raises the era here.
"""

import collections.abc
import dataclasses
import math
import random
import threading

from bronzehold.core import clock
from bronzehold.core import ports

# A watch without changes is answered after this time. If its connection has
# gone silent, it fails a margin later; by then, a proxy must not yet count as
# being in touch again. A shorter time costs more calls.
WATCH_TIMEOUT_S = 2.8
# The maximum age of the latest report. It is well below the time limits for a
# configuration change and for an endpoint that leaves.
MAX_REPORT_AGE_S = 2.0
# Mean interval at which a proxy that does not watch reads the changes anyway.
REREAD_INTERVAL_S = 30.0
REREAD_JITTER = 0.3
MIN_REQUEST_INTERVAL_S = 1.0
# Maximum wait for a report before the store's removed entries are checked.
MAX_WAIT_S = 0.5
WATCHER_RETRY_INTERVAL_S = 0.25
RETRY_INTERVAL_S = 1.0
START = ports.Position(era=0, revision=0)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Report:
    """A statement about the newest revision of the store.

    Attributes:
        position: No relevant entry had a newer revision. Revision 0 says only
            that the store was in this era.
        at: The time at which that was so, in seconds of clock.now().
    """

    position: ports.Position
    at: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Read:
    """The changes after the known revision are to be read from the store.

    Attributes:
        wait_s: The time that the store waits for a change, in seconds; 0 if it
            answers at once.
    """

    wait_s: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Wait:
    """The store need not be asked.

    Attributes:
        timeout_s: The time to wait for news, in seconds.
    """

    timeout_s: float


class StoreNews:
    """Decides when the store is read; safe to use from any thread.

    Args:
        is_watcher: Returns whether this proxy is one of those that watch.
        on_newer_revision: Called with each newer revision, so that the peers
            are told.
    """

    def __init__(
        self,
        *,
        is_watcher: collections.abc.Callable[[], bool],
        on_newer_revision: collections.abc.Callable[[], None],
    ):
        self._is_watcher = is_watcher
        self._on_newer_revision = on_newer_revision
        self._lock = threading.Lock()
        self._arrived = threading.Event()
        self._report = Report(position=START, at=-MAX_REPORT_AGE_S)
        # The time at which the report's position was heard of.
        self._report_arrived = 0.0
        self._read_at = 0.0
        # When all changes of the store were last known to be known here.
        self._confirmed_at = -math.inf
        self._reread_at = 0.0
        # The position up to which all changes are known here.
        self._known = START
        # The position of the newest relevant entry, while a watch waits.
        self._watched: ports.Position | None = None
        # The highest era that the store has answered with. What peers say of a
        # later one is not passed on, so that no wrong number spreads.
        self._era = 0

    # Own reads.

    def next_step(self, known: ports.Position) -> Read | Wait:
        """Returns what to do next.

        Args:
            known: The position up to which this proxy knows all changes.
        """
        now = clock.now()
        with self._lock:
            self._known = known
            self._arrived.clear()
            newest = self._report.position
            if newest.era > known.era:
                return Read(wait_s=0.0)
            if self._is_watcher():
                return Read(wait_s=WATCH_TIMEOUT_S)
            if now - self._report.at > MAX_REPORT_AGE_S:
                return Read(wait_s=WATCH_TIMEOUT_S)
            if newest > known or now >= self._reread_at:
                return Read(wait_s=0.0)
            return Wait(timeout_s=min(self._reread_at - now, MAX_WAIT_S))

    def wait(self, timeout_s: float) -> None:
        """Waits for a report of a newer revision."""
        self._arrived.wait(timeout_s)

    def note_read(self, position: ports.Position, at: float) -> None:
        """Records that this proxy has read the changes.

        Args:
            position: The store's revision in the answer.
            at: The time of the request, in seconds of clock.now().
        """
        jitter = random.uniform(1 - REREAD_JITTER, 1 + REREAD_JITTER)  # noqa: S311
        with self._lock:
            self._read_at = clock.now()
            self._confirmed_at = max(self._confirmed_at, at)
            self._reread_at = self._read_at + REREAD_INTERVAL_S * jitter
            if self._report.position > position and self._report_arrived < at:
                # The store had no such revision after the report arrived.
                self._report = Report(position=position, at=self._report.at)

    def request_read(self) -> None:
        """Lets the changes be read soon, if the last read is not recent.

        Registrations of proxies that lapse are not reported, so who counts the
        proxies asks for them.
        """
        with self._lock:
            is_due = clock.now() - self._read_at > MIN_REQUEST_INTERVAL_S
            if is_due:
                self._reread_at = 0.0
        if is_due:
            self._arrived.set()

    def set_watched(self, position: ports.Position | None) -> None:
        """Sets the newest relevant position, while a watch waits for changes.

        Args:
            position: The position; None while no watch waits.
        """
        with self._lock:
            self._watched = position

    def forget_before(self, era: int) -> str:
        """Forgets the reports of older eras, and lets the store be read.

        Args:
            era: The era of the store.

        Returns:
            A description of what is forgotten.
        """
        forgotten = ""
        with self._lock:
            self._era = era
            old = self._report.position
            if old.era < era:
                self._expect_era(era)
                if old.revision:
                    forgotten = f"report of revision {old.revision}"
        self._arrived.set()
        self._on_newer_revision()
        return forgotten

    def _expect_era(self, era: int) -> None:
        """Replaces the report by one that says nothing but the era."""
        position = ports.Position(era=era, revision=0)
        self._report = Report(position=position, at=-MAX_REPORT_AGE_S)
        self._report_arrived = clock.now()

    # Reports.

    def note_report(self, report: Report) -> None:
        """Records a report of this proxy's own watch or of a peer."""
        with self._lock:
            old = self._report.position
            if report.position < old:
                # Its sender has not learned of the newest change yet.
                return
            is_new = report.position > old
            if is_new:
                self._report_arrived = clock.now()
            if report.position.era > old.era:
                self._expect_era(report.position.era)
            at = max(report.at, self._report.at)
            self._report = Report(position=report.position, at=at)
            if report.position <= self._known:
                self._confirmed_at = max(self._confirmed_at, report.at)
        if is_new:
            self._arrived.set()
            self._on_newer_revision()

    def note_peer_era(self, era: int) -> None:
        """Records the highest era that a peer has seen.

        Only an answer of the store raises the era of this process: a wrong
        number would make it discard all answers.
        """
        with self._lock:
            if era <= self._report.position.era:
                return
            self._expect_era(era)
        self._arrived.set()

    def era(self) -> int:
        """Returns the era of the store, to send to the peers."""
        return self._era

    def report(self) -> Report | None:
        """Returns the report to send to the peers, None if there is none.

        It is this proxy's own while its watch waits and has missed nothing,
        otherwise the latest from a peer.
        """
        with self._lock:
            newest = self._report.position
            if self._watched is not None and newest <= self._known:
                position = max(self._watched, newest)
                return Report(position=position, at=clock.now())
            if not newest.revision or newest.era > self._era:
                return None
            return self._report

    def is_confirmed(self, max_age_s: float) -> bool:
        """Returns whether all changes were known here not long ago.

        Args:
            max_age_s: The longest time since a read of the store, or a report
                of a peer that reads it, said so.
        """
        return clock.now() - self._confirmed_at <= max_age_s

    def retry_interval_s(self) -> float:
        """Returns the mean pause after a failed call to the store.

        Proxies that watch find out for all when the store is back.
        """
        if self._is_watcher():
            return WATCHER_RETRY_INTERVAL_S
        return RETRY_INTERVAL_S
