"""Polls the status of an endpoint of a group over a control connection.

Each configured endpoint has one monitor, which reports what it observes to the
group. From these observations the group routes reads and detects failures.
"""

import collections.abc
import threading
import time
import typing

from bronzehold.connection import client
from bronzehold.connection import control
from bronzehold.core import data
from bronzehold.process import group as group_lib
from bronzehold.version import grant as grant_lib

# The time that a replica may hold a status request until it receives data.
LONG_POLL_MS = 100
# The gaps between polls of a replica, with and without requests that wait for
# its position.
BUSY_POLL_GAP_S = 0.005
IDLE_POLL_GAP_S = 0.04
# The pause after a failed poll.
RETRY_S = 0.1

_T = typing.TypeVar("_T")


class EndpointMonitor:
    """The monitor of one endpoint.

    Other control calls use its connection too, because an endpoint allows only
    a limited number of connections. A lock serializes them.
    """

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
        self._lock = threading.Lock()
        self._conn: client.Client | None = None
        self._urgent_lock = threading.Lock()
        self._urgent_calls = 0

    def stop(self) -> None:
        """Makes run() return after the present poll."""
        self._stop.set()

    def run(self) -> None:
        """Polls the endpoint until stopped."""
        while not self._stop.is_set():
            try:
                self.call(self._poll)
                self._wait_for_next_poll()
            except client.RefusedError:
                self._group.note_refused(self._endpoint.name)
                self._stop.wait(RETRY_S)
            except client.ClientError:
                self._group.tick()
                self._stop.wait(RETRY_S)
        with self._lock:
            self._close_connection()

    def call_urgent(
        self, request: collections.abc.Callable[[client.Client], _T]
    ) -> _T:
        """Makes a control call and suspends long polls until it is done.

        A status request of the monitor that already runs is not interrupted.

        Args:
            request: A function that makes the call with the connection.

        Returns:
            The result of the function.

        Raises:
            client.ClientError: The endpoint did not answer, or refused.
        """
        with self._urgent_lock:
            self._urgent_calls += 1
        try:
            return self.call(request)
        finally:
            with self._urgent_lock:
                self._urgent_calls -= 1

    def call(
        self, request: collections.abc.Callable[[client.Client], _T]
    ) -> _T:
        """Makes a control call, and opens the connection if there is none.

        Args:
            request: A function that makes the call with the connection.

        Returns:
            The result of the function.

        Raises:
            client.ClientError: The endpoint did not answer, or refused.
        """
        with self._lock:
            try:
                if self._conn is None:
                    self._conn = self._dial(
                        self._endpoint, self._poll_timeout_s()
                    )
                return request(self._conn)
            except client.ServerError:
                raise
            except client.ClientError:
                self._close_connection()
                raise
            except (ValueError, KeyError) as exc:
                self._close_connection()
                raise client.ClientError(str(exc)) from exc

    def _close_connection(self) -> None:
        if self._conn is not None:
            self._conn.close()
        self._conn = None

    def _poll_timeout_s(self) -> float:
        return self._group.timing.poll_timeout_ms * data.MILLISECOND

    def _poll(self, conn: client.Client) -> None:
        last = self._group.observation(self._endpoint.name)
        after = -1
        wait_ms = 0
        if last is not None and last.status.role is data.Role.REPLICA:
            after = last.status.received
            busy = self._group.applied_waiters or self._urgent_calls
            wait_ms = 0 if busy else LONG_POLL_MS
        sent = time.monotonic()
        status = control.status(conn, after=after, wait_ms=wait_ms)
        self._group.observe(
            grant_lib.Observation(
                endpoint=self._endpoint.name,
                status=status,
                sent_at=sent,
                received_at=time.monotonic(),
            )
        )

    def _wait_for_next_poll(self) -> None:
        group = self._group
        name = self._endpoint.name
        last = group.observation(name)
        if last is not None and last.status.role is data.Role.REPLICA:
            busy = group.ack_waiters or group.applied_waiters
            self._stop.wait(BUSY_POLL_GAP_S if busy else IDLE_POLL_GAP_S)
            return
        group.wait_changed(
            lambda: group.primary_poll_due(name) or self._stop.is_set(),
            group.timing.poll_ms * data.MILLISECOND,
        )
