"""Runs callers that write and read through randomly chosen proxies.

Each caller writes a row through one proxy and reads its session's rows through
another. All operations are recorded in a history, which is checked at the end.
"""

import collections.abc
import dataclasses
import random
import threading
import time

import psycopg

from bronzehold.tools import history

CREATE_TABLE_SQL = "CREATE TABLE kept (id INTEGER, session TEXT)"
CONNECT_TIMEOUT_S = 5
RECONNECT_DELAY_S = 0.05
NOT_RUN_PREFIX = "not run"
UNKNOWN_SQLSTATE = "08007"
KEYS_PER_WORKER = 1_000_000


@dataclasses.dataclass(frozen=True, kw_only=True)
class Plan:
    """Settings of a workload.

    Attributes:
        urls: Connection strings, one for each proxy.
        workers: Number of callers.
        pause_s: Pause of a caller between two rounds, in seconds.
        carry_marks: Whether callers pass their last mark to each proxy instead
            of setting a session name.
        transactions: Whether writes are sent in transaction blocks.
        seed: Seed of the callers' random choices.
    """

    urls: tuple[str, ...]
    workers: int = 4
    pause_s: float = 0.01
    carry_marks: bool = False
    transactions: bool = False
    seed: int = 1


class Workload:
    """Callers that run in threads of their own."""

    def __init__(self, *, plan: Plan):
        self.plan = plan
        self.history = history.History()
        self._stop = threading.Event()
        self._threads = [
            threading.Thread(target=self._work, args=(n,), daemon=True)
            for n in range(plan.workers)
        ]

    def start(self) -> None:
        """Creates the table and starts the callers."""
        with psycopg.connect(self.plan.urls[0], autocommit=True) as conn:
            conn.execute(CREATE_TABLE_SQL)
        for thread in self._threads:
            thread.start()

    def stop(self) -> list[history.Operation]:
        """Stops the callers and returns the operations that they recorded."""
        self._stop.set()
        for thread in self._threads:
            thread.join()
        return self.history.all()

    def final_keys(self, seconds: float = 20.0) -> list[int]:
        """Returns all stored keys; retries on errors for up to `seconds`."""
        end = time.monotonic() + seconds
        while True:
            for url in self.plan.urls:
                try:
                    return _all_keys(url)
                except psycopg.Error:
                    if time.monotonic() > end:
                        raise
            time.sleep(RECONNECT_DELAY_S)

    def _work(self, number: int) -> None:
        caller = _Caller(plan=self.plan, number=number, recorder=self.history)
        while not self._stop.is_set():
            caller.write_and_read()
            self._stop.wait(self.plan.pause_s)
        caller.close()


def _all_keys(url: str) -> list[int]:
    with psycopg.connect(
        url, autocommit=True, connect_timeout=CONNECT_TIMEOUT_S
    ) as conn:
        conn.execute("SET bronzehold.max_age = 0")
        rows = conn.execute("SELECT id FROM kept").fetchall()
    return [row[0] for row in rows]


class _Caller:
    """A caller with a connection to each proxy."""

    def __init__(self, *, plan: Plan, number: int, recorder: history.History):
        self._plan = plan
        self._history = recorder
        self._number = number
        self._session = f"session-{number}"
        self._random = random.Random(f"{plan.seed}/{number}")
        self._conns: dict[str, psycopg.Connection] = {}
        self._next_index = 0
        self._mark = ""

    def close(self) -> None:
        for conn in self._conns.values():
            conn.close()

    def _connect(self, url: str) -> psycopg.Connection:
        conn = self._conns.get(url)
        if conn is None or conn.closed:
            conn = psycopg.connect(
                url, autocommit=True, connect_timeout=CONNECT_TIMEOUT_S
            )
            if not self._plan.carry_marks:
                conn.execute(f"SET bronzehold.session = '{self._session}'")
            self._conns[url] = conn
        if self._plan.carry_marks and self._mark:
            conn.execute(f"SET bronzehold.mark = '{self._mark}'")
        return conn

    def write_and_read(self) -> None:
        """Writes through one proxy and reads through another."""
        writer = self._random.choice(self._plan.urls)
        reader = self._random.choice(self._plan.urls)
        try:
            conn = self._connect(writer)
        except psycopg.Error:
            self._discard_connection(writer)
            return
        self._write(conn)
        try:
            self._read(self._connect(reader))
        except psycopg.Error:
            self._discard_connection(reader)

    def _discard_connection(self, url: str) -> None:
        conn = self._conns.pop(url, None)
        if conn is not None:
            conn.close()
        time.sleep(RECONNECT_DELAY_S)

    def _write(self, conn: psycopg.Connection) -> None:
        key = self._number * KEYS_PER_WORKER + self._next_index
        self._next_index += 1
        start = time.monotonic()
        outcome = history.Outcome.DONE
        error = ""
        try:
            self._insert(conn, key)
        except psycopg.Error as exc:
            outcome = outcome_from_error(exc)
            error = f"{exc.sqlstate} {exc}"
            if not conn.closed and self._plan.transactions:
                _roll_back(conn)
        if outcome is history.Outcome.DONE:
            self._mark = (
                reported_parameter(conn, "bronzehold.mark") or self._mark
            )
        self._history.add(
            history.Write(
                session=self._session,
                key=key,
                outcome=outcome,
                start=start,
                end=time.monotonic(),
                error=error,
            )
        )

    def _insert(self, conn: psycopg.Connection, key: int) -> None:
        sql = "INSERT INTO kept VALUES (%s, %s)"
        if not self._plan.transactions:
            conn.execute(sql, (key, self._session))
            return
        conn.execute("BEGIN")
        conn.execute("SELECT count(*) FROM kept")
        conn.execute(sql, (key, self._session))
        conn.execute("COMMIT")

    def _read(self, conn: psycopg.Connection) -> None:
        start = time.monotonic()
        sql = "SELECT id FROM kept WHERE session = %s"
        rows = conn.execute(sql, (self._session,)).fetchall()
        self._history.add(
            history.Read(
                session=self._session,
                keys=frozenset(row[0] for row in rows),
                start=start,
                end=time.monotonic(),
            )
        )


def _roll_back(conn: psycopg.Connection) -> None:
    try:
        conn.execute("ROLLBACK")
    except psycopg.Error:
        conn.close()


def reported_parameter(conn: psycopg.Connection, name: str) -> str:
    """Returns the last value of a parameter that the server reported."""
    value = conn.pgconn.parameter_status(name.encode())
    return value.decode() if value else ""


def outcome_from_error(exc: psycopg.Error) -> history.Outcome:
    """Returns the outcome of a request that an error reports."""
    if exc.sqlstate is None or exc.sqlstate == UNKNOWN_SQLSTATE:
        # The connection to the proxy was lost, or the proxy reported that the
        # outcome is unknown.
        return history.Outcome.UNKNOWN
    if str(exc).startswith(NOT_RUN_PREFIX):
        return history.Outcome.NOT_RUN
    return history.Outcome.FAILED


def run(
    plan: Plan,
    during: collections.abc.Callable[[Workload], None],
) -> tuple[list[history.Operation], list[history.Violation]]:
    """Runs a workload during an action and checks its history.

    Args:
        plan: Settings of the workload.
        during: Action, such as a fault; the callers stop when it returns.

    Returns:
        The recorded operations and the violations of the guarantees.
    """
    workload = Workload(plan=plan)
    workload.start()
    try:
        during(workload)
    finally:
        operations = workload.stop()
    return operations, history.check(operations, workload.final_keys())
