"""Decides when the connection of a caller of the platform path closes.

A connection closes without interrupting a request: a quiet caller is told that
its next request will not run, and the connection closes once a request that was
on its way has arrived.
"""

import collections.abc
import contextlib
import threading

from bronzehold.connection import caller_host
from bronzehold.core import clock
from bronzehold.core import errors
from bronzehold.core import ports
from bronzehold.core import request_events

# A stop closes a connection that has been quiet for this long.
QUIET_S = 0.04
# The time between the announcement of the close and the close, if the caller
# does not close the connection before. It covers a round trip between regions,
# and ends before the port closes (drain.CLOSE_LEAD_S) for callers that were
# idle, so that they delay no exit.
CROSSING_S = 0.15


class CallerClosing:
    """The close of one caller's connection.

    waiting and refuse are called in the caller's own task, all other methods
    from any task.

    Args:
        link: The caller's connection.
        process: The process.
        session: Name of the session, for events.
    """

    def __init__(
        self,
        *,
        link: ports.CallerConn,
        process: caller_host.Host,
        session: str,
    ):
        self._link = link
        self._process = process
        self._session = session
        self._lock = threading.Lock()
        # Since when a request outside of a transaction is waited for, in
        # seconds of clock.now(); None at other times.
        self._waiting_since: float | None = None
        self._stopping = False
        # Whether the caller was refused because the proxy stops or its key was
        # revoked, so that the connection ends after what has arrived.
        self._refused = False
        # Since when the caller is told that its next request will not run, in
        # seconds of clock.now(); None if it is not.
        self._announced_at: float | None = None
        self._announced = self.stop_failure()
        self._receiving = False

    def stop_failure(self) -> errors.Failure:
        """Returns the failure of requests that a stop refuses."""
        return errors.Stopping(proxy=self._process.name)

    # The wait for requests.

    @contextlib.contextmanager
    def waiting(self, *, outside_block: bool) -> collections.abc.Iterator[None]:
        """Marks the wait for the next request.

        Args:
            outside_block: Whether no transaction is open.
        """
        with self._lock:
            if self._refused and outside_block:
                # What has arrived already is still received.
                self._link.stop_receiving()
            self._waiting_since = clock.now() if outside_block else None
            self._receiving = True
        try:
            yield
        finally:
            with self._lock:
                self._waiting_since = None
                self._receiving = False

    def refuse(self) -> None:
        """Closes the connection after the requests that have arrived."""
        self._refused = True

    def waiting_since(self) -> float | None:
        """Returns since when a request is waited for outside a transaction.

        In seconds of clock.now(); None at other times.
        """
        with self._lock:
            return self._waiting_since

    # Decisions.

    def stop(self) -> None:
        """Closes the connection when it is quiet and no transaction is open.

        Called again and again until then. A caller that is never quiet is
        refused its next request once not all are accepted any more.
        """
        with self._lock:
            self._stopping = True
            self._close_when_quiet(self.stop_failure())

    def revoke(self) -> None:
        """Closes the connection if it is quiet, as its key was revoked."""
        with self._lock:
            self._close_when_quiet(errors.KeyDenied())

    def end(self) -> None:
        """Closes the connection once the request in progress is answered."""
        with self._lock:
            self._stopping = True
            if self._receiving and self._announced_at is None:
                self._announce_close(clock.now(), self.stop_failure())
            self._link.stop_receiving()

    def close_idle(self) -> None:
        """Closes the connection if no request or transaction is in progress.

        Requests that have arrived already are answered.
        """
        with self._lock:
            if self._waiting_since is not None:
                self._link.stop_receiving()

    def is_stopping(self) -> bool:
        """Returns whether the connection closes because the proxy stops."""
        return self._stopping

    def is_announced(self) -> bool:
        """Returns whether the caller was told that no request runs any more."""
        return self._announced_at is not None

    def announced(self) -> errors.Failure:
        """Returns the failure that was announced to the caller."""
        return self._announced

    def _close_when_quiet(self, failure: errors.Failure) -> None:
        now = clock.now()
        since = self._waiting_since
        if self._announced_at is not None:
            if now - self._announced_at >= CROSSING_S:
                self._link.stop_receiving()
        elif since is not None and now - since >= QUIET_S:
            self._announce_close(now, failure)

    def _announce_close(self, now: float, failure: errors.Failure) -> None:
        """Tells a caller without a request that its next one will not run.

        That request may be on its way already, and its caller could not know
        whether it was run if the connection were just closed.
        """
        self._announced_at = now
        self._announced = failure
        self._link.announce(failure)
        self._process.timeline.add_frequent(
            request_events.CallerNotified(
                session=self._session,
                in_transaction=self._waiting_since is None,
            )
        )
