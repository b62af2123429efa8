"""Polls one endpoint over a control connection, for as long as it is served."""

import collections.abc
import threading
import time

from bronzehold.connection import client
from bronzehold.connection import control
from bronzehold.core import data
from bronzehold.process import group as group_lib
from bronzehold.version import grant as grant_lib

LONG_POLL_MS = 100
MIN_GAP_S = 0.005
QUIET_GAP_S = 0.04
RETRY_S = 0.1


class Watcher:
    """The task that keeps one endpoint's status up to date."""

    def __init__(
        self,
        *,
        group: group_lib.Group,
        endpoint: data.Endpoint,
        dial: collections.abc.Callable[[data.Endpoint, float], client.Client],
    ):
        self._group = group
        self._endpoint = endpoint
        self._dial = dial
        self._stop = threading.Event()
        self.polls = 0

    def stop(self) -> None:
        """Makes the task end."""
        self._stop.set()

    def run(self) -> None:
        """Polls until stopped."""
        conn = None
        while not self._stop.is_set():
            try:
                if conn is None:
                    conn = self._dial(self._endpoint, self._timeout())
                self._poll(conn)
                self._pause()
            except (client.ClientError, ValueError, KeyError):
                if conn is not None:
                    conn.close()
                conn = None
                self._group.tick()
                self._stop.wait(RETRY_S)
        if conn is not None:
            conn.close()

    def _timeout(self) -> float:
        return self._group.timing.poll_timeout_ms * data.MILLISECOND

    def _poll(self, conn: client.Client) -> None:
        seen = self._group.seen(self._endpoint.name)
        after = -1
        wait_ms = 0
        if seen is not None and seen.status.role is data.Role.REPLICA:
            after = seen.status.received
            wait_ms = LONG_POLL_MS
            if self._group.applied_waiters:
                wait_ms = 0
        sent = time.monotonic()
        status = control.status(conn, after=after, wait_ms=wait_ms)
        self.polls += 1
        self._group.observe(
            grant_lib.Observation(
                endpoint=self._endpoint.name,
                status=status,
                sent=sent,
                heard=time.monotonic(),
            )
        )

    def _pause(self) -> None:
        group = self._group
        name = self._endpoint.name
        seen = group.seen(name)
        if seen is not None and seen.status.role is data.Role.REPLICA:
            busy = group.ack_waiters or group.applied_waiters
            self._stop.wait(MIN_GAP_S if busy else QUIET_GAP_S)
            return
        group.wait_changed(
            lambda: group.primary_wanted(name) or self._stop.is_set(),
            group.timing.poll_ms * data.MILLISECOND,
        )
