"""Probes the endpoints of one service for their status.

A proxy that serves the service has a task for each endpoint. Another one probes
an endpoint only when it is woken, until the endpoint answers, and has no tasks
otherwise: it learns the primary from its peers.
"""

import dataclasses
import threading
import time
import typing

from bronzehold.core import clock
from bronzehold.core import errors
from bronzehold.core import ports
from bronzehold.core import statements
from bronzehold.process import platform_group
from bronzehold.process import pool as pool_lib

PROBE_TIMEOUT_S = 0.3
# A probe that waits longer than this for a pooled connection opens a new one.
PROBE_POOL_WAIT_S = 0.02
# Freshness proofs must be much younger than the shortest data age that a route
# tolerates.
PRIMARY_PROBE_INTERVAL_S = 0.6
# The peers' proofs make probes unnecessary, but do not show that this proxy
# reaches the primary. That is probed after this time without an answer.
PRIMARY_SILENCE_S = 1.2
FAILING_PROBE_INTERVAL_S = 0.3
REPLICA_PROBE_INTERVAL_S = 5.0
SEARCH_PROBE_INTERVAL_S = 0.1
# A proxy outside of the serving set searches for the primary if no peer has
# told it for this long.
OUTSIDE_SEARCH_DELAY_S = 3.0
PROBE_PRIORITY = -1


class Probed(typing.Protocol):
    """The service whose endpoints are probed.

    Attributes:
        group: The state of its group.
    """

    group: platform_group.PlatformGroup

    def serves(self) -> bool:
        """Returns whether this proxy serves the service."""

    def pool(self, endpoint: str) -> pool_lib.Pool | None:
        """Returns the pool of an endpoint, None if it is not listed."""

    def dial(self, endpoint: str) -> ports.EndpointConn:
        """Opens a connection to an endpoint; raises ports.DialError."""

    def spawn_lasting(self, name: str, task: typing.Callable[[], None]):
        """Starts a task that is restarted after an exception ends it."""

    def note_connection_lost(self, name: str) -> None:
        """Records that a connection to an endpoint was lost or timed out."""

    def note_dial_failed(self, name: str, exc: ports.DialError) -> None:
        """Records that a connection to an endpoint could not be opened."""


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class _Target:
    """The probing of one endpoint.

    Attributes:
        wake: Set when the endpoint is to be probed at once.
        has_task: Whether a task probes it.
    """

    wake: threading.Event = dataclasses.field(default_factory=threading.Event)
    has_task: bool = False


class Probes:
    """The probes of one service's endpoints; safe to use from any thread."""

    def __init__(self, *, service: Probed):
        self._service = service
        self._lock = threading.Lock()
        self._targets: dict[str, _Target] = {}

    # Which endpoints have a task.

    def add(self, name: str) -> None:
        """Adds an endpoint."""
        with self._lock:
            self._targets[name] = _Target()

    def remove(self, name: str) -> None:
        """Ends the probes of an endpoint."""
        with self._lock:
            target = self._targets.pop(name, None)
        if target is not None:
            target.wake.set()

    def wake(self, name: str) -> None:
        """Probes an endpoint at once."""
        with self._lock:
            target = self._targets.get(name)
        if target is not None:
            target.wake.set()
            self._start(name, target)

    def wake_all(self) -> None:
        """Probes all endpoints at once."""
        for name in self._names():
            self.wake(name)

    def refresh(self) -> None:
        """Starts the tasks that this proxy needs now."""
        if self._service.serves():
            for name in self._names():
                with self._lock:
                    target = self._targets.get(name)
                if target is not None:
                    self._start(name, target)
        elif self._has_to_search():
            self.wake_all()

    def _has_to_search(self) -> bool:
        group = self._service.group
        return (
            group.leader() is None
            and group.leaderless_s() > OUTSIDE_SEARCH_DELAY_S
        )

    def _names(self) -> list[str]:
        with self._lock:
            return list(self._targets)

    def _start(self, name: str, target: _Target) -> None:
        with self._lock:
            if target.has_task:
                return
            target.has_task = True
        self._service.spawn_lasting(
            f"probe {name}", lambda: self._run(name, target)
        )

    def _run(self, name: str, target: _Target) -> None:
        while self._keeps_task(name, target):
            urgent = target.wake.is_set()
            target.wake.clear()
            if urgent or self._is_due(name):
                self.probe(name)
            if self._service.serves() or self._is_failing(name):
                target.wake.wait(self._interval_s(name))

    def _keeps_task(self, name: str, target: _Target) -> bool:
        needed = (
            self._service.serves()
            or target.wake.is_set()
            or self._is_failing(name)
        )
        with self._lock:
            is_listed = self._targets.get(name) is target
            target.has_task = is_listed and (needed or target.wake.is_set())
            return target.has_task

    def _is_failing(self, name: str) -> bool:
        contact = self._service.group.contact(name)
        return contact is not None and contact.failing_since > 0

    def _interval_s(self, name: str) -> float:
        group = self._service.group
        leader = group.leader()
        if not self._service.serves():
            return FAILING_PROBE_INTERVAL_S
        if leader is None or group.is_failing(leader.endpoint):
            return SEARCH_PROBE_INTERVAL_S
        if group.is_failing(name):
            return FAILING_PROBE_INTERVAL_S
        return (
            PRIMARY_PROBE_INTERVAL_S
            if leader.endpoint == name
            else REPLICA_PROBE_INTERVAL_S
        )

    def _is_due(self, name: str) -> bool:
        group = self._service.group
        leader = group.leader()
        if self._is_failing(name):
            return True
        if not self._service.serves():
            return False
        if leader is None or leader.term == 0:
            return True
        if leader.endpoint != name:
            # While the primary fails, the other endpoints are probed to find
            # its successor.
            return group.is_failing(leader.endpoint)
        now = clock.now()
        contact = group.contact(name)
        if contact is None or now - contact.answered_at > PRIMARY_SILENCE_S:
            return True
        newest = group.proofs.newest()
        return newest is None or now - newest.at > PRIMARY_PROBE_INTERVAL_S

    # One probe.

    def probe(
        self,
        name: str,
        command: statements.StatusCommand = statements.GET_STATUS,
    ) -> statements.Status | None:
        """Requests an endpoint's status, over a pooled connection if possible.

        Args:
            name: The id of the endpoint.
            command: What to send; the endpoint answers it with its status.

        Returns:
            The status, None if the endpoint did not report one.
        """
        pool = self._service.pool(name)
        if pool is None:
            return None
        try:
            return self._probe_pooled(name, pool, command)
        except errors.FailureError:
            # All connections are in use, perhaps because the endpoint does not
            # answer on any of them.
            return self._probe_new_connection(name, command)
        except ports.DialError as exc:
            self._service.note_dial_failed(name, exc)
            return None

    def _probe_pooled(
        self,
        name: str,
        pool: pool_lib.Pool,
        command: statements.StatusCommand,
    ) -> statements.Status | None:
        conn = pool.acquire(
            session="probe",
            deadline=time.monotonic() + PROBE_TIMEOUT_S,
            priority=PROBE_PRIORITY,
            max_wait_s=PROBE_POOL_WAIT_S,
        )
        usable = False
        try:
            usable, status = self._request_status(name, conn, command)
            return status
        finally:
            pool.end_statement(None)
            pool.release(conn, reusable=usable)

    def _probe_new_connection(
        self, name: str, command: statements.StatusCommand
    ) -> statements.Status | None:
        try:
            conn = self._service.dial(name)
        except ports.DialError as exc:
            self._service.note_dial_failed(name, exc)
            return None
        try:
            return self._request_status(name, conn, command)[1]
        finally:
            conn.close()

    def _request_status(
        self,
        name: str,
        conn: ports.EndpointConn,
        command: statements.StatusCommand,
    ) -> tuple[bool, statements.Status | None]:
        """Returns whether the connection is usable, and the status if any."""
        sent = clock.now()
        try:
            status = conn.status(sent + PROBE_TIMEOUT_S, command)
        except ports.RefusedStatusError:
            self._service.group.note_answered(name)
            return True, None
        except ports.TransportError:
            self._service.note_connection_lost(name)
            return False, None
        self._service.group.note_status(name, status, sent)
        self._service.note_round_trip(name, clock.now() - sent)
        return True, status
