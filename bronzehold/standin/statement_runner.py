"""Runs the statements of a session on the data of a stand-in endpoint."""

import sqlite3
import threading
import time

from bronzehold.core import data
from bronzehold.standin import endpoint as endpoint_lib
from bronzehold.standin import results
from bronzehold.standin import session_state
from bronzehold.standin import sql_text
from bronzehold.standin import statement_errors
from bronzehold.standin import storage
from bronzehold.standin import transaction as transaction_lib

_END_KEYWORDS = ("ROLLBACK", "ABORT", "COMMIT", "END")


class StatementRunner:
    """Runs statements one after the other in the session's transaction."""

    def __init__(
        self,
        *,
        endpoint: endpoint_lib.Endpoint,
        state: session_state.SessionState,
        transaction: transaction_lib.Transaction,
    ):
        self._endpoint = endpoint
        self._state = state
        self._transaction = transaction
        self._statement_running = threading.Event()

    def cancel(self) -> None:
        """Interrupts the running statement, if any."""
        if self._statement_running.is_set():
            self._transaction.interrupt()

    def run(self, sql: str, params: tuple) -> results.Result:
        """Runs one statement.

        Args:
            sql: Text of the statement.
            params: Values of its parameters.

        Raises:
            StatementError: The statement failed or is not supported.
        """
        keyword = sql_text.first_keyword(sql)
        if self._transaction.has_failed() and keyword not in _END_KEYWORDS:
            raise statement_errors.StatementError(
                "25P02", "the transaction has failed"
            )
        match keyword:
            case "BEGIN" | "START":
                self._transaction.begin(read_only="READ ONLY" in sql.upper())
                return results.Result(tag="BEGIN")
            case "COMMIT" | "END":
                committed = self._transaction.commit()
                return results.Result(tag="COMMIT" if committed else "ROLLBACK")
            case "ROLLBACK" | "ABORT":
                self._transaction.rollback()
                return results.Result(tag="ROLLBACK")
            case "SET" | "RESET" | "SHOW" | "DISCARD" | "DEALLOCATE":
                return self._run_setting_statement(keyword, sql)
            case "COPY":
                raise statement_errors.StatementError(
                    "0A000", "COPY is not supported"
                )
        return self._run_on_data(sql, params, keyword)

    def _run_setting_statement(self, keyword: str, sql: str) -> results.Result:
        settings = self._state.settings
        match keyword:
            case "SHOW":
                name = sql_text.shown_setting(sql)
                row = (settings.get(name, ""),)
                return results.Result(tag="SHOW", names=(name,), rows=[row])
            case "SET":
                assigned = sql_text.assigned_setting(sql)
                if assigned is not None:
                    name, value = assigned
                    settings[name] = value
            case "RESET":
                settings.clear()
            case "DISCARD":
                settings.clear()
                self._state.prepared.clear()
                return results.Result(tag="DISCARD ALL")
        return results.Result(tag=keyword)

    def _run_on_data(
        self, sql: str, params: tuple, keyword: str
    ) -> results.Result:
        writes = sql_text.is_write(sql)
        if writes:
            self._transaction.start_write()
        self._endpoint.slots.acquire()
        try:
            return self._run_in_slot(
                sql_text.without_locking_clause(sql),
                params,
                keyword,
                record=writes,
            )
        finally:
            self._endpoint.slots.release()

    def _run_in_slot(
        self, sql: str, params: tuple, keyword: str, *, record: bool
    ) -> results.Result:
        conn = self._transaction.connection()
        self._endpoint.faults.wait_while_frozen()
        self._endpoint.statement_count += 1
        time.sleep(self._endpoint.settings.statement_ms * data.MILLISECOND)
        cursor, rows = self._execute(conn, sql, params)
        if record and keyword in sql_text.WRITE_KEYWORDS | {"WITH"}:
            self._transaction.record_write(
                storage.Statement(sql=sql, params=params)
            )
        return results.Result(
            tag=_command_tag(keyword, cursor.rowcount, len(rows)),
            names=tuple(item[0] for item in cursor.description or ()),
            rows=rows,
        )

    def _execute(
        self, conn: sqlite3.Connection, sql: str, params: tuple
    ) -> tuple[sqlite3.Cursor, list]:
        self._statement_running.set()
        try:
            with self._transaction.in_open_write():
                cursor = conn.execute(storage.to_sqlite(sql), params)
                rows = cursor.fetchall()
        except sqlite3.Error as exc:
            raise statement_errors.from_sqlite(exc) from exc
        finally:
            self._statement_running.clear()
        return cursor, rows


def _command_tag(keyword: str, changed_count: int, row_count: int) -> str:
    if keyword == "INSERT":
        return f"INSERT 0 {max(changed_count, row_count)}"
    if keyword in ("UPDATE", "DELETE"):
        return f"{keyword} {max(changed_count, 0)}"
    if keyword in sql_text.ROW_KEYWORDS:
        return f"SELECT {row_count}"
    return keyword
