"""State of one stand-in endpoint: terms, roles and log replication.

It implements the contract of docs/ENDPOINTS.md: it promises terms and refuses
older ones, returns its log on request, and as a replica pulls the log of the
endpoint that it follows. The log and the data are in the storage module, the
client protocol is in the session module.
"""

import collections
import dataclasses
import json
import sqlite3
import threading
import time

from bronzehold.connection import client
from bronzehold.core import data
from bronzehold.standin import faults
from bronzehold.standin import storage

# Longest time that a log request waits at the source for new entries.
PULL_WAIT_S = 0.1
PULL_CONNECT_TIMEOUT_S = 0.3
# Socket timeout of a log request.
PULL_TIMEOUT_S = 2.0
PULL_RETRY_DELAY_S = 0.05
# Most log entries in one answer.
PULL_BATCH_ENTRIES = 500
# Interval at which a replica applies the entries that have become due.
APPLY_INTERVAL_S = 0.002
# Longest wait of a write transaction for the one that is open.
WRITE_LOCK_TIMEOUT_S = 20.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Address:
    """Network address and location of an endpoint."""

    host: str
    port: int
    zone: str = ""
    region: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class EndpointSettings:
    """Settings of one stand-in endpoint.

    Attributes:
        group: Name of the database group.
        name: Name of the endpoint.
        address: Address that it listens on.
        peers: Addresses of all endpoints of the group by name, including this
            endpoint.
        primary: Name of the primary in the first term.
        connections: Limit on client connections; replication connections do
            not count.
        slots: Number of statements that run concurrently.
        connect_ms: Added delay of a new connection in milliseconds.
        statement_ms: Added delay of each statement in milliseconds.
        zone_ms: One-way latency between zones of a region in milliseconds.
        region_ms: One-way latency between regions in milliseconds.
        lag_ms: Delay between receiving and applying an entry on a replica, in
            milliseconds.
    """

    group: str
    name: str
    address: Address
    peers: dict[str, Address]
    primary: str
    connections: int = 16
    slots: int = 2
    connect_ms: float = 0.0
    statement_ms: float = 0.0
    zone_ms: float = 0.0
    region_ms: float = 0.0
    lag_ms: float = 0.0


class RefusedError(Exception):
    """The endpoint refused a request and changed nothing."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Checkpoint:
    """End of the primary's log at the time of a log request.

    A replica that has applied the log up to the position has data as fresh as
    the primary's at that time.

    Attributes:
        position: Last position of the primary's log.
        sent_at: Monotonic time at which the replica sent the request.
    """

    position: int
    sent_at: float


class OpenWrite:
    """An open write transaction of a session.

    Attributes:
        conn: The sqlite3 connection of the transaction.
        lock: Held while a statement of the transaction runs, so that it is
            rolled back only between two statements.
    """

    def __init__(self, *, conn: sqlite3.Connection):
        self.conn = conn
        self.lock = threading.Lock()

    def abort(self) -> None:
        """Interrupts the running statement and rolls the transaction back."""
        self.conn.interrupt()
        with self.lock:
            if self.conn.in_transaction:
                self.conn.rollback()


class Endpoint:
    """The state of one endpoint and its replication threads.

    Attributes:
        settings: Settings of the endpoint.
        faults: Injected faults.
        lock: Guards the state below.
        state_changed: Condition on the lock, notified of every change to the
            log, the term or the role.
        storage: The log and the data.
        slots: Semaphore that limits concurrent statements.
        write_lock: Semaphore that admits one write transaction at a time.
        open_writes: The open write transactions.
        connections: Open client connections that count against the limit.
        peak_connections: Highest value of connections so far.
        discarded_entries: Log entries dropped so far because the primary's
            log does not have them.
        statement_count: Statements run so far.
        role: Present role.
        term: Highest promised term.
        log_term: Term of the primary whose log this endpoint holds.
        following: Name of the endpoint whose log is pulled, "" for none.
        epoch: Counter that increases when the role, the followed primary or
            the data file changes; a transaction of an older epoch cannot
            commit.
    """

    def __init__(self, *, settings: EndpointSettings):
        self.settings = settings
        self.faults = faults.Faults()
        self.faults.change(lag_s=settings.lag_ms * data.MILLISECOND)
        self.lock = threading.RLock()
        self.state_changed = threading.Condition(self.lock)
        self.storage = storage.Storage()
        self.slots = threading.BoundedSemaphore(settings.slots)
        self.write_lock = threading.Semaphore(1)
        self.open_writes: set[OpenWrite] = set()
        self.connections = 0
        self.peak_connections = 0
        self.discarded_entries = 0
        self.statement_count = 0
        self.role = (
            data.Role.PRIMARY
            if settings.primary == settings.name
            else data.Role.REPLICA
        )
        self.term = 1
        self.log_term = 1
        self.following = "" if self._is_primary() else settings.primary
        self.epoch = 0
        self._pull_client: client.Client | None = None
        self._data_as_of = time.monotonic()
        self._checkpoints: collections.deque[_Checkpoint] = collections.deque()
        self._arrival_times: collections.deque[float] = collections.deque()
        self._replication_threads: list[threading.Thread] = []

    def _is_primary(self) -> bool:
        return self.role is data.Role.PRIMARY

    def start(self) -> None:
        """Starts the replication threads."""
        for target in (self._pull_loop, self._apply_loop):
            thread = threading.Thread(target=target, daemon=True)
            thread.start()
            self._replication_threads.append(thread)

    def close(self) -> None:
        """Stops the replication threads and deletes the data."""
        self.faults.closed.set()
        with self.state_changed:
            self.state_changed.notify_all()
        for thread in self._replication_threads:
            thread.join(PULL_TIMEOUT_S * 3)
        with self.lock:
            self.storage.close()

    # Terms.

    def accepts_writes(self) -> bool:
        """Returns whether writes are accepted; the caller holds the lock."""
        return self._is_primary() and self.term == self.log_term

    def fence(self, term: int) -> data.EndpointStatus:
        """Promises a term, after which older terms are refused.

        Args:
            term: The term to promise.

        Returns:
            The status with the term promised.

        Raises:
            RefusedError: A higher term was promised before.
        """
        with self.state_changed:
            if term < self.term:
                raise RefusedError(
                    f"term {term} is older than the promised term {self.term}"
                )
            self.term = term
            self.state_changed.notify_all()
            return self.status()

    def promote(self, term: int) -> data.EndpointStatus:
        """Becomes the primary of the promised term.

        Args:
            term: The term; it must be the one promised last.

        Returns:
            The status as primary.

        Raises:
            RefusedError: Another term was promised.
        """
        with self.state_changed:
            if term != self.term:
                raise RefusedError(
                    f"term {term} is not the promised term {self.term}"
                )
            if not (self._is_primary() and self.log_term == term):
                self.storage.apply_all()
                self._arrival_times.clear()
                self._checkpoints.clear()
                fork = self.storage.received
                self.storage.history.append(
                    data.TermStart(term=term, fork=fork)
                )
                self.role = data.Role.PRIMARY
                self.log_term = term
                self.following = ""
                self.epoch += 1
                self._abort_writers()
            self.state_changed.notify_all()
            return self.status()

    def follow(self, primary: str, term: int) -> data.EndpointStatus:
        """Becomes a replica that pulls the log of another endpoint.

        Args:
            primary: Name of the endpoint to follow.
            term: Term of that endpoint as primary.

        Returns:
            The status as replica.

        Raises:
            RefusedError: A higher term was promised before, or this endpoint
                is the primary of the term.
        """
        with self.state_changed:
            if term < self.term or (
                self._is_primary() and self.log_term == term
            ):
                raise RefusedError(
                    f"cannot follow {primary!r} in term {term}: this endpoint "
                    f"is {self.role.value} with promised term {self.term}"
                )
            if self.following != primary or term > self.term:
                self.epoch += 1
            self.term = term
            self.role = data.Role.REPLICA
            self.following = primary
            self._abort_writers()
            self._shut_pull_client()
            self.state_changed.notify_all()
            return self.status()

    def _shut_pull_client(self) -> None:
        # A request to the old source can block until PULL_TIMEOUT_S.
        if self._pull_client is not None:
            self._pull_client.shut_down()

    def _abort_writers(self) -> None:
        # Transactions of an older epoch cannot commit. An open one locks the
        # sqlite3 file, so the entries of the new primary could not be applied.
        for open_write in list(self.open_writes):
            open_write.abort()
        self.open_writes.clear()

    def status(self) -> data.EndpointStatus:
        """Returns the status that control calls report."""
        with self.lock:
            age = time.monotonic() - self._data_as_of
            return data.EndpointStatus(
                role=self.role,
                term=self.term,
                log_term=self.log_term,
                received=self.storage.received,
                applied=self.storage.applied,
                age=0.0 if self._is_primary() else age,
                following=self.following,
                history=tuple(self.storage.history),
            )

    def wait_received(self, after: int, wait_s: float) -> data.EndpointStatus:
        """Waits for log entries after a position.

        Args:
            after: The position to wait beyond.
            wait_s: The longest wait in seconds.

        Returns:
            The status at the end of the wait.
        """
        with self.state_changed:
            self.state_changed.wait_for(
                lambda: (
                    self.storage.received > after or self.faults.closed.is_set()
                ),
                wait_s,
            )
            return self.status()

    def commit(
        self, conn, statements: tuple[storage.Statement, ...], epoch: int
    ) -> int:
        """Commits a write transaction and appends it to the log as one entry.

        Args:
            conn: The sqlite3 connection that ran the statements.
            statements: The write statements of the transaction.
            epoch: The endpoint's epoch when the transaction began.

        Returns:
            The position of the new entry.

        Raises:
            RefusedError: The endpoint is no longer the primary, or was
                demoted since the transaction began.
        """
        with self.state_changed:
            if not self.accepts_writes() or self.epoch != epoch:
                raise RefusedError("this endpoint is not the primary")
            conn.execute("COMMIT")
            self.storage.log.append(
                storage.Entry(term=self.log_term, statements=statements)
            )
            self.storage.applied += 1
            self.state_changed.notify_all()
            return self.storage.received

    # Replication.

    def read_log(self, after: int, wait_s: float) -> str:
        """Returns log entries after a position, waiting if there are none.

        Args:
            after: The last position that the replica holds.
            wait_s: The longest wait in seconds.

        Returns:
            At most PULL_BATCH_ENTRIES entries and the state of the log, as
            JSON.
        """
        with self.state_changed:
            self.state_changed.wait_for(
                lambda: (
                    self.storage.received > after or self.faults.closed.is_set()
                ),
                wait_s,
            )
            entries = self.storage.log[after : after + PULL_BATCH_ENTRIES]
            answer = {
                "primary": self._is_primary(),
                "log_term": self.log_term,
                "end": self.storage.received,
                "history": [[s.term, s.fork] for s in self.storage.history],
            }
        # Large entries are encoded without the lock, so that status requests
        # are answered meanwhile.
        answer["entries"] = [storage.entry_to_json(e) for e in entries]
        return json.dumps(answer)

    def _pull_loop(self) -> None:
        conn = None
        pulled_from = ""
        while not self.faults.closed.is_set():
            self.faults.wait_while_frozen()
            if not self.following:
                self.faults.closed.wait(PULL_RETRY_DELAY_S)
                continue
            try:
                if conn is None or pulled_from != self.following:
                    pulled_from = self.following
                    conn = self._connect(conn)
                    self._pull_client = conn
                self._pull(conn)
            except (OSError, client.ClientError):
                if conn is not None:
                    conn.close()
                conn = None
                self.faults.closed.wait(PULL_RETRY_DELAY_S)
        if conn is not None:
            conn.close()

    def _connect(self, previous: client.Client | None) -> client.Client:
        if previous is not None:
            previous.close()
        address = self.settings.peers[self.following]
        conn = client.Client(
            host=address.host,
            port=address.port,
            database=self.settings.group,
            name=self.settings.name,
            zone=self.settings.address.zone,
            region=self.settings.address.region,
            timeout=PULL_CONNECT_TIMEOUT_S,
        )
        conn.sock.settimeout(PULL_TIMEOUT_S)
        return conn

    def _pull(self, conn: client.Client) -> None:
        after = self.storage.received
        epoch = self.epoch
        sent_at = time.monotonic()
        wait_ms = int(PULL_WAIT_S / data.MILLISECOND)
        text = conn.value(f"SELECT bronzehold_log({after}, {wait_ms})")
        self.faults.wait_for_inbound(self.following)
        answer = json.loads(text)
        with self.state_changed:
            if self.epoch == epoch and self.storage.received == after:
                self._append_pulled(answer, after, sent_at)

    def _append_pulled(self, answer: dict, after: int, sent_at: float) -> None:
        history = [data.TermStart(term=t, fork=f) for t, f in answer["history"]]
        if not answer["primary"] or answer["log_term"] < self.log_term:
            return
        # Entries after the fork were never part of the primary's log.
        fork = _fork_position(history, self.log_term)
        shared_end = min(fork, answer["end"])
        if after > shared_end:
            self.discarded_entries += self.storage.truncate(shared_end)
            unapplied = self.storage.received - self.storage.applied
            # Arrival time 0 makes the remaining entries due at once.
            self._arrival_times = collections.deque([0.0] * unapplied)
            self._checkpoints.clear()
            self.epoch += 1
            return
        now = time.monotonic()
        for item in answer["entries"]:
            self.storage.log.append(storage.entry_from_json(item))
            self._arrival_times.append(now)
        self.log_term = answer["log_term"]
        self.storage.history = history
        if self.storage.received >= answer["end"]:
            self._checkpoints.append(
                _Checkpoint(position=answer["end"], sent_at=sent_at)
            )
        self.state_changed.notify_all()

    def _apply_loop(self) -> None:
        while not self.faults.closed.wait(APPLY_INTERVAL_S):
            self.faults.wait_while_frozen()
            with self.state_changed:
                if not self._is_primary() and not self.faults.closed.is_set():
                    self._apply_due()

    def _apply_due(self) -> None:
        latest_arrival = time.monotonic() - self.faults.current.lag_s
        while self._arrival_times and self._arrival_times[0] <= latest_arrival:
            self.storage.apply_next()
            self._arrival_times.popleft()
        checkpoints = self._checkpoints
        while checkpoints and checkpoints[0].position <= self.storage.applied:
            self._data_as_of = checkpoints.popleft().sent_at


def _fork_position(history: list[data.TermStart], term: int) -> int:
    """Returns the last position that a log of a term shares with a history.

    Without a later term in the history it returns 1 << 62, which is beyond
    every position.
    """
    later_forks = [start.fork for start in history if start.term > term]
    return min(later_forks) if later_forks else 1 << 62
