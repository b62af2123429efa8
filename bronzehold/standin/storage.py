"""The log and the data of one stand-in endpoint.

The log is a list of committed write transactions, each the list of its write
statements in order. The data is a sqlite3 file: on the primary sessions write
to it directly, on a replica the endpoint replays the log into it.
"""

import dataclasses
import pathlib
import sqlite3
import tempfile
import time

from bronzehold.core import data
from bronzehold.standin import values


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Statement:
    """One write statement of a log entry, with its bound parameters."""

    sql: str
    params: tuple[values.Value, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Entry:
    """One committed write transaction.

    Attributes:
        term: Term in which it was committed.
        statements: Its write statements in order.
    """

    term: int
    statements: tuple[Statement, ...]


def entry_to_json(entry: Entry) -> list:
    """Returns an entry as JSON values, with bytes in hexadecimal."""
    return [
        entry.term,
        [[s.sql, [_to_json(v) for v in s.params]] for s in entry.statements],
    ]


def entry_from_json(item: list) -> Entry:
    """Returns the entry that entry_to_json encoded."""
    statements = tuple(
        Statement(sql=sql, params=tuple(_from_json(v) for v in params))
        for sql, params in item[1]
    )
    return Entry(term=item[0], statements=statements)


def _to_json(value: values.Value):
    return {"hex": value.hex()} if isinstance(value, bytes) else value


def _from_json(value) -> values.Value:
    return bytes.fromhex(value["hex"]) if isinstance(value, dict) else value


class Storage:
    """The log, its history of terms, and the data replayed from it.

    Callers hold the endpoint's lock around every method that changes it.

    Attributes:
        log: Entries of the log; position n is at index n - 1.
        applied: Position of the last entry that the data contains.
        history: Start of each term in the log.
    """

    def __init__(self):
        self._directory = tempfile.TemporaryDirectory(prefix="bronzehold-")
        self._generation = 0
        self.log: list[Entry] = []
        self.applied = 0
        self.history: list[data.TermStart] = [
            data.TermStart(term=1, fork=0),
        ]
        self._replay_conn = self._create_database()

    @property
    def path(self) -> pathlib.Path:
        """Path of the present data file; truncate can start a new one."""
        return pathlib.Path(self._directory.name) / f"{self._generation}.db"

    @property
    def received(self) -> int:
        """Position of the last entry in the log."""
        return len(self.log)

    def _create_database(self) -> sqlite3.Connection:
        conn = connect(self.path)
        conn.execute("PRAGMA journal_mode=WAL")
        return conn

    def apply_next(self) -> None:
        """Replays the next entry of the log into the data."""
        entry = self.log[self.applied]
        self._replay_conn.execute("BEGIN IMMEDIATE")
        try:
            for statement in entry.statements:
                self._replay_conn.execute(
                    to_sqlite(statement.sql), statement.params
                ).fetchall()
        finally:
            self._replay_conn.execute("COMMIT")
        self.applied += 1

    def apply_all(self) -> None:
        """Replays the rest of the log into the data."""
        while self.applied < self.received:
            self.apply_next()

    def truncate(self, position: int) -> int:
        """Drops the entries after a position.

        If the data contains dropped entries, it is rebuilt in a new file.

        Args:
            position: Position of the last entry to keep.

        Returns:
            The number of dropped entries.
        """
        dropped = self.received - position
        del self.log[position:]
        if self.applied > position:
            self._replay_conn.close()
            self._generation += 1
            self.applied = 0
            self._replay_conn = self._create_database()
            self.apply_all()
        return dropped

    def close(self) -> None:
        """Closes and deletes the data."""
        self._replay_conn.close()
        self._directory.cleanup()


def connect(path: pathlib.Path) -> sqlite3.Connection:
    """Opens a connection to a data file.

    Any thread may use the connection, but only one at a time.

    Args:
        path: Path of the sqlite3 file.

    Returns:
        A connection without implicit transactions and with pg_sleep defined.
    """
    conn = sqlite3.connect(
        path, isolation_level=None, check_same_thread=False, timeout=30
    )
    conn.execute("PRAGMA synchronous=OFF")
    conn.create_function("pg_sleep", 1, _sleep)
    return conn


def _sleep(seconds: float) -> str:
    time.sleep(float(seconds))
    return ""


def to_sqlite(sql: str) -> str:
    """Returns a statement with $1 parameters in the form ?1 of sqlite3."""
    if "$" not in sql:
        return sql
    converted = []
    quoted = False
    for i, char in enumerate(sql):
        if char == "'":
            quoted = not quoted
        following = sql[i + 1 : i + 2]
        converted.append(
            "?" if char == "$" and not quoted and following.isdigit() else char
        )
    return "".join(converted)
