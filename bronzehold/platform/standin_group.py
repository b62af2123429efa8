"""A stand-in for a database group that speaks the line protocol.

The endpoints of a group run in one process and keep their logs in memory. They
number terms and positions, replicate the log with a delay, run writes on the
primary only, and record every executed statement for tests to check. Faults can
be injected into each endpoint.
"""

import collections.abc
import contextlib
import dataclasses
import socket
import threading
import time

from bronzehold.core import statements
from bronzehold.platform import standin_session
from bronzehold.platform import wire
from bronzehold.standin import faults

# Interval at which the group checks for entries to replicate.
REPLICATION_INTERVAL_S = 0.002
LISTEN_BACKLOG = 256
# The stand-ins in review/ derive from it by this name.
_Session = standin_session.Session


@dataclasses.dataclass(frozen=True, kw_only=True)
class GroupSettings:
    """Settings of a stand-in group and its endpoints.

    Attributes:
        service: Name of the group.
        zones: Availability zone of each endpoint, by the endpoint's id; the
            first endpoint is the initial primary.
        connections: Maximum number of open connections per endpoint.
        slots: Maximum number of concurrently running statements per endpoint.
        queue: Maximum number of statements that wait for a slot of an
            endpoint; further ones are refused as BUSY.
        work_s: Duration of a read or write in its slot, in seconds.
        lag_s: Delay after which an entry is replicated, in seconds.
        promote_s: Duration of a promotion, in seconds.
        sync_replicas: Number of replicas that must have received a commit
            before it is acknowledged.
    """

    service: str
    zones: dict[str, str]
    connections: int = 16
    slots: int = 2
    queue: int = 16
    work_s: float = 0.0
    lag_s: float = 0.005
    promote_s: float = 0.1
    sync_replicas: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LogEntry:
    """One commit in a log.

    Attributes:
        position: Position in the log.
        writes: The writes of the commit, as pairs of item and value.
        committed_at: Time of the commit, in seconds of time.monotonic().
    """

    position: statements.LogPosition
    writes: tuple[tuple[str, str], ...]
    committed_at: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ExecutedStatement:
    """One statement that an endpoint has executed.

    Attributes:
        endpoint: Id of the endpoint.
        request_id: Id that the caller gave to the statement.
        text: Text of the statement.
        values: Session values at the time of execution, sorted by name.
        position: Last position of the endpoint's log before the statement.
        in_transaction: Whether it ran in a transaction.
        executed_at: Time of execution, in seconds of time.monotonic().
        client: Name that the connection's STARTUP gave its client.
    """

    endpoint: str
    request_id: str
    text: str
    values: tuple[tuple[str, str], ...]
    position: statements.LogPosition
    in_transaction: bool
    executed_at: float
    client: str


class Group:
    """The endpoints of one group, their replication and promotion.

    Attributes:
        settings: Settings of the group.
        lock: Guards the logs, roles, session counts and statement records.
        term: Term of the present primary.
        executed: All statements executed by any endpoint, in order.
        endpoints: The endpoints, by id.
        acknowledged: Positions of the acknowledged commits.
        lost: Positions of the acknowledged commits that an endpoint lacked
            when it was promoted.
        on_role_change: Called after each promotion.
    """

    def __init__(self, *, settings: GroupSettings):
        self.settings = settings
        self.lock = threading.RLock()
        self.term = 1
        self.executed: list[ExecutedStatement] = []
        self.endpoints = {
            name: Endpoint(group=self, name=name, zone=zone)
            for name, zone in settings.zones.items()
        }
        next(iter(self.endpoints.values())).is_primary = True
        self.acknowledged: set[statements.LogPosition] = set()
        self.lost: set[statements.LogPosition] = set()
        self._closed = threading.Event()
        self.on_role_change: collections.abc.Callable[[], None] = lambda: None

    def start(self) -> None:
        """Starts all endpoints and the replication between them."""
        for endpoint in self.endpoints.values():
            endpoint.listen()
        threading.Thread(target=self._replicate, daemon=True).start()

    def add_endpoint(self, name: str, zone: str) -> None:
        """Starts a replica with an empty log."""
        endpoint = Endpoint(group=self, name=name, zone=zone)
        endpoint.listen()
        with self.lock:
            self.endpoints = {**self.endpoints, name: endpoint}

    def is_confirmed(self, position: statements.LogPosition) -> bool:
        """Returns whether enough replicas have received a commit."""
        count = sum(
            e.running and not e.is_primary and e.has_position(position)
            for e in self.endpoints.values()
        )
        return count >= self.settings.sync_replicas

    def close(self) -> None:
        """Stops the replication and all endpoints."""
        self._closed.set()
        for endpoint in self.endpoints.values():
            endpoint.kill()

    def primary(self) -> "Endpoint":
        """Returns the present primary, even if it is not running."""
        return next(e for e in self.endpoints.values() if e.is_primary)

    def promote(self, name: str) -> None:
        """Starts to promote an endpoint to primary of the next term.

        The promotion takes effect after settings.promote_s. Entries that the
        endpoint had not received by then are removed from all logs. Nothing
        happens if the endpoint is the primary or is not running.

        Args:
            name: Id of the endpoint.
        """
        threading.Thread(
            target=self._promote_after_delay, args=(name,), daemon=True
        ).start()

    def _promote_after_delay(self, name: str) -> None:
        time.sleep(self.settings.promote_s)
        with self.lock:
            chosen = self.endpoints[name]
            if chosen.is_primary or not chosen.running:
                return
            self.term += 1
            last_held = chosen.last_position()
            missing = {
                p for p in self.acknowledged if not chosen.has_position(p)
            }
            self.lost |= missing
            self.acknowledged -= missing
            for endpoint in self.endpoints.values():
                endpoint.is_primary = endpoint is chosen
                endpoint.log = [
                    e for e in endpoint.log if e.position <= last_held
                ]
                endpoint.epoch += endpoint is not chosen
                endpoint.paused_term = 0
            chosen.primary_term = self.term
        self.on_role_change()

    def _replicate(self) -> None:
        while not self._closed.wait(REPLICATION_INTERVAL_S):
            with self.lock:
                primary = self.primary()
                if not primary.running:
                    continue
                for endpoint in self.endpoints.values():
                    self._replicate_to(primary, endpoint)

    def _replicate_to(self, primary: "Endpoint", endpoint: "Endpoint") -> None:
        conditions = endpoint.faults.current
        blocked = conditions.frozen or primary.name in conditions.cut_in
        if endpoint is primary or blocked or not endpoint.running:
            return
        if endpoint.paused_term:
            return
        lag_s = max(self.settings.lag_s, conditions.lag_s)
        cutoff = time.monotonic() - lag_s
        for entry in primary.log[len(endpoint.log) :]:
            if entry.committed_at > cutoff:
                return
            endpoint.log.append(entry)


class Endpoint:
    """One endpoint of a group, which serves sessions on a loopback port.

    Attributes:
        group: Group that the endpoint belongs to.
        name: Id of the endpoint.
        zone: Availability zone of the endpoint.
        faults: Injected faults.
        log: Log entries, in order of their positions.
        is_primary: Whether the endpoint is the group's primary.
        primary_term: Last term in which the endpoint became primary; 1 if it
            was never promoted.
        epoch: Number of promotions of other endpoints. A read-write
            transaction that spans one of them is refused.
        paused_term: Term of the pause of its replication, 0 if there is none.
        running: Whether the endpoint accepts connections.
        connections: Number of open sessions.
        waiting: Number of statements waiting for a slot.
        status_queries: Number of answered STATUS statements.
        lagging_refusals: Number of statements refused because the log did not
            contain the required position.
        busy_refusals: Number of statements refused because the queue was full.
        answers_to_drop: Number of next answers that are dropped while the
            connection stays open.
        slots: Semaphore for concurrently running statements.
    """

    def __init__(self, *, group: Group, name: str, zone: str):
        self.group = group
        self.name = name
        self.zone = zone
        self.faults = faults.Faults()
        self.log: list[LogEntry] = []
        self.is_primary = False
        self.primary_term = 1
        self.epoch = 0
        self.paused_term = 0
        self.running = False
        self.connections = 0
        self.waiting = 0
        self.status_queries = 0
        self.lagging_refusals = 0
        self.busy_refusals = 0
        self.answers_to_drop = 0
        self.slots = threading.BoundedSemaphore(group.settings.slots)
        self._listener: socket.socket | None = None
        self._port = 0
        self._open_sockets: set[socket.socket] = set()

    @property
    def address(self) -> str:
        """The host and port on which the endpoint listens."""
        return f"127.0.0.1:{self._port}"

    def last_position(self) -> statements.LogPosition:
        """Returns the last position of the log.

        On a primary without an entry in its own term, this is the number of
        the last entry under the new term.
        """
        if self.is_primary and (
            not self.log or self.log[-1].position.term < self.primary_term
        ):
            number = self.log[-1].position.number if self.log else 0
            return statements.LogPosition(term=self.primary_term, number=number)
        if not self.log:
            return statements.LogPosition(term=1, number=0)
        return self.log[-1].position

    def has_position(self, position: statements.LogPosition) -> bool:
        """Returns whether the log contains a position.

        Position 0 precedes all entries; every log contains it for the present
        and earlier terms.
        """
        if position.number == 0:
            return position.term <= self.group.term
        if self.last_position() == position:
            return True
        return any(e.position == position for e in self.log)

    def read(self, item: str) -> str:
        """Returns the last committed value of an item, "" if there is none."""
        for entry in reversed(self.log):
            for name, value in reversed(entry.writes):
                if name == item:
                    return value
        return ""

    def append(self, writes: list[tuple[str, str]]) -> statements.LogPosition:
        """Appends an entry with the given writes; returns its position."""
        last = self.last_position()
        position = statements.LogPosition(
            term=self.primary_term, number=last.number + 1
        )
        self.log.append(
            LogEntry(
                position=position,
                writes=tuple(writes),
                committed_at=time.monotonic(),
            )
        )
        return position

    def confirm(self, position: statements.LogPosition) -> bool:
        """Waits until enough replicas have received a commit.

        Returns:
            False if the endpoint has ended or was replaced before that.
        """
        term = self.primary_term
        while self.running:
            with self.group.lock:
                if not self.is_primary or self.primary_term != term:
                    return False
                if self.group.is_confirmed(position):
                    self.group.acknowledged.add(position)
                    return True
            time.sleep(REPLICATION_INTERVAL_S)
        return False

    def record(
        self,
        request_id: str,
        text: str,
        *,
        values: tuple[tuple[str, str], ...],
        in_transaction: bool,
        client: str,
    ) -> None:
        """Records a statement that is about to be executed."""
        self.group.executed.append(
            ExecutedStatement(
                endpoint=self.name,
                request_id=request_id,
                text=text,
                values=values,
                position=self.last_position(),
                in_transaction=in_transaction,
                executed_at=time.monotonic(),
                client=client,
            )
        )

    def pause(self, term: int) -> None:
        """Stops receiving entries, unless the term is known already."""
        if not self.is_primary and term > self.group.term:
            self.paused_term = term

    # Network and process lifecycle.

    def listen(self) -> None:
        """Starts to accept connections.

        After a kill, the endpoint listens on the same port as before.
        """
        self._listener = socket.create_server(
            ("127.0.0.1", self._port), backlog=LISTEN_BACKLOG
        )
        self._port = self._listener.getsockname()[1]
        self.running = True
        threading.Thread(
            target=self._accept_connections, args=(self._listener,), daemon=True
        ).start()

    def kill(self) -> None:
        """Closes the port and all connections, like a killed process."""
        self.running = False
        listener, self._listener = self._listener, None
        if listener is not None:
            with contextlib.suppress(OSError):
                listener.shutdown(socket.SHUT_RDWR)
            listener.close()
        self.drop_connections()

    def drop_connections(self) -> None:
        """Shuts down all open connections; the port stays open."""
        for sock in list(self._open_sockets):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)

    def _accept_connections(self, listener: socket.socket) -> None:
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._serve, args=(sock,), daemon=True
            ).start()

    def _serve(self, sock: socket.socket) -> None:
        wire.set_socket_options(sock)
        self._open_sockets.add(sock)
        session = standin_session.Session(endpoint=self, sock=sock)
        try:
            session.serve()
        except (Exception, OSError):  # noqa: BLE001
            # A dropped connection can end its session at any point.
            return
        finally:
            self._open_sockets.discard(sock)
            sock.close()
