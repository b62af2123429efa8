"""The transaction of a session of a stand-in endpoint.

It keeps the transaction state that the protocol reports, the connection to the
data, and the write transaction that is open, if there is one. Outside of a
transaction block, a write transaction lasts until the end of its batch.
"""

import collections.abc
import contextlib
import sqlite3

from bronzehold.connection import control
from bronzehold.connection import messages
from bronzehold.core import data
from bronzehold.standin import endpoint as endpoint_lib
from bronzehold.standin import output as output_lib
from bronzehold.standin import statement_errors
from bronzehold.standin import storage


class Transaction:
    """The transaction state of one session and its connection to the data.

    Attributes:
        status: The transaction state that the protocol reports.
    """

    def __init__(
        self, *, endpoint: endpoint_lib.Endpoint, output: output_lib.Output
    ):
        self._endpoint = endpoint
        self._output = output
        self._conn: sqlite3.Connection | None = None
        self._epoch = -1
        self._read_only = False
        self._written_statements: list[storage.Statement] = []
        self._open_write: endpoint_lib.OpenWrite | None = None
        self.status = messages.IDLE

    # The connection to the data.

    def connection(self) -> sqlite3.Connection:
        """Returns the connection, opened anew in a new epoch of the endpoint.

        Raises:
            StatementError: The epoch has changed since the open write began.
        """
        epoch = self._endpoint.epoch
        if self._conn is None or self._epoch != epoch:
            if self._open_write is not None:
                # Outside of its transaction the statement would take effect
                # at once, without an entry in the log.
                raise statement_errors.not_primary()
            if self._conn is not None:
                self._conn.close()
            self._conn = storage.connect(self._endpoint.storage.path)
            self._epoch = epoch
        return self._conn

    def interrupt(self) -> None:
        """Interrupts the statement that runs on the connection, if any."""
        if self._conn is not None:
            self._conn.interrupt()

    def close(self) -> None:
        """Rolls back an open write and closes the connection."""
        self.rollback_write()
        if self._conn is not None:
            self._conn.close()

    # Transaction blocks.

    def has_failed(self) -> bool:
        """Returns whether a transaction block waits for its end as failed."""
        return self.status == messages.IN_FAILED_TRANSACTION

    def begin(self, *, read_only: bool) -> None:
        """Begins a transaction block, unless one is open."""
        if self.status == messages.IDLE:
            self.status = messages.IN_TRANSACTION
            self._read_only = read_only

    def commit(self) -> bool:
        """Ends the transaction block.

        Returns:
            Whether it was committed; a failed block is rolled back.

        Raises:
            StatementError: The endpoint refused the commit.
        """
        failed = self.has_failed()
        self.status = messages.IDLE
        if failed:
            self.rollback_write()
            return False
        self._commit_write()
        return True

    def rollback(self) -> None:
        """Rolls back the transaction block."""
        self.rollback_write()
        self.status = messages.IDLE

    def end_batch(self) -> None:
        """Commits the writes of a batch outside of a transaction block."""
        if self.status == messages.IDLE:
            self._commit_write()

    def fail(self) -> None:
        """Rolls back after an error; an open block counts as failed."""
        self.rollback_write()
        if self.status != messages.IDLE:
            self.status = messages.IN_FAILED_TRANSACTION

    # Writes.

    def start_write(self) -> None:
        """Opens the write transaction, unless it is open.

        Raises:
            StatementError: This is not the primary, the transaction is
                read-only or the lock was not available in time.
        """
        if self._read_only:
            raise statement_errors.StatementError(
                "25006", "the transaction is read-only"
            )
        if self._open_write is not None:
            return
        with self._endpoint.lock:
            if not self._endpoint.accepts_writes():
                raise statement_errors.not_primary()
        conn = self.connection()
        if not self._endpoint.write_lock.acquire(
            timeout=endpoint_lib.WRITE_LOCK_TIMEOUT_S
        ):
            raise statement_errors.StatementError("55P03", "lock not available")
        self._open_write = endpoint_lib.OpenWrite(conn=conn)
        try:
            conn.execute("BEGIN IMMEDIATE")
        except sqlite3.Error as exc:
            raise statement_errors.from_sqlite(exc) from exc
        self._register_open_write()

    def _register_open_write(self) -> None:
        with self._endpoint.lock:
            if self._endpoint.epoch != self._epoch:
                raise statement_errors.not_primary()
            self._endpoint.open_writes.add(self._open_write)

    @contextlib.contextmanager
    def in_open_write(self) -> collections.abc.Iterator[None]:
        """Runs a statement inside the open write transaction, if there is one.

        Raises:
            StatementError: The transaction has been rolled back.
        """
        open_write = self._open_write
        if open_write is None:
            yield
            return
        with open_write.lock:
            if not open_write.conn.in_transaction:
                raise statement_errors.not_primary()
            yield

    def record_write(self, statement: storage.Statement) -> None:
        """Adds a statement to the log entry of the open write."""
        self._written_statements.append(statement)

    def _commit_write(self) -> None:
        if self._open_write is None:
            self._read_only = False
            return
        self._endpoint.faults.wait_while_frozen()
        try:
            position = self._endpoint.commit(
                self._conn, tuple(self._written_statements), self._epoch
            )
        except (endpoint_lib.RefusedError, sqlite3.Error) as exc:
            self.rollback_write()
            raise statement_errors.not_primary() from exc
        self._endpoint.faults.wait_while_frozen()
        mark = data.Mark(
            group=self._endpoint.settings.group,
            term=self._endpoint.log_term,
            position=position,
        )
        self._output.send_commit(
            messages.parameter(control.MARK_PARAMETER, str(mark))
        )
        self._finish_write()

    def rollback_write(self) -> None:
        """Rolls back the open write transaction, if there is one."""
        if self._open_write is not None:
            with contextlib.suppress(sqlite3.Error), self._open_write.lock:
                if self._open_write.conn.in_transaction:
                    self._open_write.conn.rollback()
        self._finish_write()

    def _finish_write(self) -> None:
        self._written_statements = []
        self._read_only = False
        if self._open_write is not None:
            self._endpoint.open_writes.discard(self._open_write)
            self._open_write = None
            self._endpoint.write_lock.release()
