"""Client session of a stand-in endpoint over the PostgreSQL protocol.

A session handles simple and extended queries, runs them on sqlite3, and
commits write transactions through the endpoint. A simple query that calls a
bronzehold_ function is a control call, such as fence or promote.
"""

import collections.abc
import contextlib
import dataclasses
import re
import socket
import sqlite3
import struct
import threading
import time

import pglast

from bronzehold.connection import control
from bronzehold.connection import frames
from bronzehold.connection import messages
from bronzehold.core import data
from bronzehold.standin import endpoint as endpoint_lib
from bronzehold.standin import faults
from bronzehold.standin import storage
from bronzehold.standin import values

_WRITE_KEYWORDS = {
    "INSERT",
    "UPDATE",
    "DELETE",
    "CREATE",
    "DROP",
    "ALTER",
    "REPLACE",
}
_ROW_KEYWORDS = {"SELECT", "VALUES", "WITH"}
_LOCKING_CLAUSE = re.compile(r"\s+FOR\s+(UPDATE|SHARE)\s*$", re.IGNORECASE)
_CONTROL_CALL = re.compile(
    r"^\s*SELECT\s+bronzehold_(\w+)\((.*)\)\s*;?\s*$", re.S | re.I
)
_SET_STATEMENT = re.compile(
    r"^\s*SET\s+(?:SESSION\s+|LOCAL\s+)?([\w.]+)\s*(?:=|\s+TO\s+)\s*(.+?)\s*$",
    re.I | re.S,
)
# SQLSTATE for sqlite3 errors whose message contains the text; first match wins.
_SQLSTATE_BY_ERROR_TEXT = (
    ("no such table", "42P01"),
    ("no such column", "42703"),
    ("no such function", "42883"),
    ("syntax error", "42601"),
    ("UNIQUE constraint", "23505"),
    ("constraint failed", "23514"),
    ("interrupted", "57014"),
    ("division", "22012"),
)
# Buffered output of at least this size is sent before the end of the batch.
FLUSH_BYTES = 65536


class StatementError(Exception):
    """A statement failed.

    Attributes:
        sqlstate: The SQLSTATE that the client receives.
    """

    def __init__(self, sqlstate: str, message: str):
        super().__init__(message)
        self.sqlstate = sqlstate


class LostAnswerError(Exception):
    """An injected fault closes the connection before the whole answer."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Prepared:
    """A prepared statement with the declared types of its parameters."""

    sql: str
    oids: tuple[int, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Portal:
    """A prepared statement with bound parameters and result format codes."""

    statement: _Prepared
    params: tuple[values.Value, ...]
    formats: tuple[int, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Result:
    """The command tag, column names and rows of an executed statement."""

    tag: str = ""
    names: tuple[str, ...] = ()
    rows: list = dataclasses.field(default_factory=list)


class Session:
    """Serves one client connection until it ends.

    Attributes:
        pid: Process id that the client uses to cancel a statement.
        secret: Secret key that a cancel request must carry.
    """

    def __init__(
        self,
        *,
        endpoint: endpoint_lib.Endpoint,
        sock: socket.socket,
        reader: frames.Reader,
        pid: int,
    ):
        self._endpoint = endpoint
        self._sock = sock
        self._reader = reader
        self._out = bytearray()
        self._client_name = ""
        self._one_way_latency_s = 0.0
        self._conn: sqlite3.Connection | None = None
        self._epoch = -1
        self._transaction_status = messages.IDLE
        self._read_only = False
        self._written_statements: list[storage.Statement] = []
        self._open_write: endpoint_lib.OpenWrite | None = None
        self._prepared: dict[bytes, _Prepared] = {}
        self._portals: dict[bytes, _Portal] = {}
        self._settings: dict[str, str] = {}
        self._skips_until_sync = False
        self._wrote_in_batch = False
        self._statement_running = threading.Event()
        self.pid = pid
        self.secret = pid * 7919 + 1

    # Start-up.

    def open(self, params: dict[str, str]) -> None:
        """Answers the start-up packet.

        Args:
            params: Parameters of the start-up packet.
        """
        settings = self._endpoint.settings
        self._client_name = params.get("application_name", "")
        self._one_way_latency_s = self._one_way_latency(params)
        self._settings["application_name"] = self._client_name
        time.sleep(settings.connect_ms * data.MILLISECOND)
        self._out += messages.auth(messages.AUTH_OK)
        for name, value in (
            ("server_version", "16.0"),
            ("client_encoding", "UTF8"),
            ("DateStyle", "ISO, MDY"),
            ("integer_datetimes", "on"),
            ("standard_conforming_strings", "on"),
        ):
            self._out += messages.parameter(name, value)
        self._out += messages.key_data(self.pid, self.secret)
        self._out += messages.ready(self._transaction_status)
        self._flush()

    def _one_way_latency(self, params: dict[str, str]) -> float:
        settings = self._endpoint.settings
        here = settings.address
        zone = params.get("bronzehold.zone", here.zone)
        region = params.get("bronzehold.region", here.region)
        if region != here.region:
            return settings.region_ms * data.MILLISECOND
        if zone != here.zone:
            return settings.zone_ms * data.MILLISECOND
        return 0.0

    @property
    def name(self) -> str:
        """The application_name that the client sent."""
        return self._client_name

    def serve(self) -> None:
        """Handles messages until the client terminates the session."""
        while True:
            if not self._reader.has_buffered():
                self._flush()
            frame = self._reader.read_frame()
            self._endpoint.faults.wait_for_inbound(self._client_name)
            if frame.kind in b"QS":
                time.sleep(self._one_way_latency_s)
            if frame.kind == b"X":
                return
            self._handle(frame)

    def cancel(self) -> None:
        """Interrupts the running statement, if any."""
        if self._statement_running.is_set() and self._conn is not None:
            self._conn.interrupt()

    def close(self) -> None:
        """Rolls back an open transaction and closes the connections."""
        self._rollback()
        if self._conn is not None:
            self._conn.close()
        self._sock.close()

    # Sending.

    def _flush(self) -> None:
        if not self._out:
            return
        time.sleep(self._one_way_latency_s)
        self._endpoint.faults.wait_for_outbound(self._client_name)
        out = bytes(self._out)
        self._out.clear()
        endpoint_faults = self._endpoint.faults
        batch_wrote, self._wrote_in_batch = self._wrote_in_batch, False
        if batch_wrote and endpoint_faults.consume("lose_answers"):
            raise LostAnswerError
        if batch_wrote and endpoint_faults.consume("truncate_answers"):
            frames.send(self._sock, out[: len(out) // 2])
            raise LostAnswerError
        frames.send(self._sock, out)

    def _send(self, message: bytes) -> None:
        self._out += message
        if len(self._out) >= FLUSH_BYTES and not self._wrote_in_batch:
            self._flush()

    def _send_error(self, sqlstate: str, message: str) -> None:
        self._rollback()
        if self._transaction_status != messages.IDLE:
            self._transaction_status = messages.IN_FAILED_TRANSACTION
        self._send(messages.error(sqlstate, message))

    def _send_ready(self) -> None:
        self._send(messages.ready(self._transaction_status))

    # Messages.

    def _handle(self, frame: frames.Frame) -> None:
        # After an error in an extended query, the protocol requires that all
        # messages up to Sync are skipped.
        if self._skips_until_sync and frame.kind != b"S":
            return
        try:
            match frame.kind:
                case b"Q":
                    self._query(messages.query_text(frame.body))
                case b"P":
                    self._parse(frame.body)
                case b"B":
                    self._bind(frame.body)
                case b"D":
                    self._describe(frame.body)
                case b"E":
                    self._execute(frame.body)
                case b"C":
                    self._close_prepared_or_portal(frame.body)
                case b"S":
                    self._sync()
                case b"H":
                    self._flush()
                case _:
                    raise StatementError(
                        "08P01", f"unsupported message type {frame.kind!r}"
                    )
        except StatementError as exc:
            self._send_error(exc.sqlstate, str(exc))
            if frame.kind in {b"S", b"Q"}:
                self._send_ready()
            else:
                self._skips_until_sync = True

    def _sync(self) -> None:
        self._skips_until_sync = False
        self._end_implicit()
        self._portals.clear()
        self._send_ready()

    def _query(self, text: str) -> None:
        if _CONTROL_CALL.match(text):
            self._run_control_call(text)
            return
        statements = _split_statements(text)
        if not statements:
            self._send(frames.make(b"I"))
        for sql in statements:
            result = self._run(sql, ())
            if result.names:
                self._send(_row_description(result, ()))
                for row in result.rows:
                    self._send(_data_row(row, ()))
            self._send(messages.complete(result.tag))
        self._end_implicit()
        self._send_ready()

    def _parse(self, body: bytes) -> None:
        name, sql, types = messages.split_parse(body)
        (count,) = struct.unpack_from("!H", types)
        oids = struct.unpack_from(f"!{count}I", types, 2)
        text = sql.decode()
        if len(_split_statements(text)) > 1:
            raise StatementError(
                "42601", "cannot prepare more than one statement at once"
            )
        try:
            pglast.parser.parse_sql_json(text)
        except pglast.parser.ParseError as exc:
            raise StatementError("42601", str(exc.args[0])) from exc
        self._prepared[name] = _Prepared(sql=text, oids=oids)
        self._send(frames.make(b"1"))

    def _bind(self, body: bytes) -> None:
        portal, name, rest = messages.split_bind(body)
        if name not in self._prepared:
            raise StatementError(
                "26000", f"prepared statement {name!r} does not exist"
            )
        prepared = self._prepared[name]
        formats, at = _read_int16_array(rest, 0)
        (count,) = struct.unpack_from("!H", rest, at)
        at += 2
        params = []
        for i in range(count):
            (length,) = struct.unpack_from("!i", rest, at)
            at += 4
            raw = None
            if length >= 0:
                raw = rest[at : at + length]
                at += length
            oid = prepared.oids[i] if i < len(prepared.oids) else 0
            params.append(values.decode(raw, oid, _format_code(formats, i)))
        result_formats, _ = _read_int16_array(rest, at)
        self._portals[portal] = _Portal(
            statement=prepared, params=tuple(params), formats=result_formats
        )
        self._send(frames.make(b"2"))

    def _describe(self, body: bytes) -> None:
        name = body[1:].rstrip(b"\0")
        if body[:1] == b"S":
            if name not in self._prepared:
                raise StatementError(
                    "26000", f"prepared statement {name!r} does not exist"
                )
            prepared = self._prepared[name]
            param_count = _param_count(prepared.sql)
            oids = list(prepared.oids) + [0] * param_count
            oids = [oid or values.TEXT for oid in oids[:param_count]]
            packed = struct.pack(f"!H{param_count}I", param_count, *oids)
            self._send(frames.make(b"t", packed))
            self._send(
                self._describe_columns(prepared.sql, (None,) * param_count, ())
            )
            return
        if name not in self._portals:
            raise StatementError("34000", f"portal {name!r} does not exist")
        portal = self._portals[name]
        columns = self._describe_columns(
            portal.statement.sql, portal.params, portal.formats
        )
        self._send(columns)

    def _describe_columns(
        self, sql: str, params: tuple, formats: tuple[int, ...]
    ) -> bytes:
        if _first_keyword(sql) == "SHOW":
            result = _Result(names=(_shown_setting(sql),))
            return _row_description(result, formats)
        if (
            _first_keyword(sql) not in _ROW_KEYWORDS
            and "RETURNING" not in sql.upper()
        ):
            return frames.make(b"n")
        if _first_keyword(sql) not in _ROW_KEYWORDS:
            names = sql.upper().rsplit("RETURNING", 1)[1].split(",")
            names = tuple(n.strip().lower() for n in names)
            row = (0 if n in ("id", "n") else "" for n in names)
            return _row_description(
                _Result(names=names, rows=[tuple(row)]), formats
            )
        conn = self._data_connection()
        text = storage.to_sqlite(_LOCKING_CLAUSE.sub("", sql))
        try:
            cursor = conn.execute(f"SELECT * FROM ({text}) LIMIT 1", params)
            rows = cursor.fetchall()
        except sqlite3.Error as exc:
            raise _statement_error(exc) from exc
        names = tuple(item[0] for item in cursor.description)
        if not rows or None in rows[0]:
            rows = self._sample_row(conn, text, len(names), rows)
        return _row_description(_Result(names=names, rows=rows), formats)

    def _sample_row(
        self, conn, text: str, column_count: int, rows: list
    ) -> list:
        # The type of a column is derived from a sample value. For NULL or an
        # empty result the declared type is used instead, which sqlite3
        # reports for the columns of a view.
        without_params = re.sub(r"\?\d*", "NULL", text)
        try:
            conn.execute(
                f"CREATE TEMP VIEW bronzehold_probe AS {without_params}"
            )
            columns = conn.execute(
                "PRAGMA table_info(bronzehold_probe)"
            ).fetchall()
            conn.execute("DROP VIEW bronzehold_probe")
        except sqlite3.Error:
            return rows or [("",) * column_count]
        samples = {values.INT8: 0, values.FLOAT8: 0.0, values.BYTEA: b""}
        first_row = rows[0] if rows else (None,) * column_count
        sample = [
            samples.get(values.declared_oid(column[2]), "")
            if value is None
            else value
            for value, column in zip(first_row, columns, strict=True)
        ]
        return [tuple(sample)]

    def _execute(self, body: bytes) -> None:
        name, rest = body.split(b"\0", 1)
        if name not in self._portals:
            raise StatementError("34000", f"portal {name!r} does not exist")
        portal = self._portals[name]
        if _CONTROL_CALL.match(portal.statement.sql):
            raise StatementError(
                "0A000", "control calls must be sent as simple queries"
            )
        if not _split_statements(portal.statement.sql):
            self._send(frames.make(b"I"))
            return
        result = self._run(portal.statement.sql, portal.params)
        for row in result.rows if result.names else ():
            self._send(_data_row(row, portal.formats))
        self._send(messages.complete(result.tag))

    def _close_prepared_or_portal(self, body: bytes) -> None:
        name = body[1:].rstrip(b"\0")
        named = self._prepared if body[:1] == b"S" else self._portals
        named.pop(name, None)
        self._send(frames.make(b"3"))

    # Statements.

    def _data_connection(self) -> sqlite3.Connection:
        epoch = self._endpoint.epoch
        if self._conn is None or self._epoch != epoch:
            if self._open_write is not None:
                # Outside of its transaction the statement would take effect
                # at once, without an entry in the log.
                raise _not_primary_error()
            if self._conn is not None:
                self._conn.close()
            self._conn = storage.connect(self._endpoint.storage.path)
            self._epoch = epoch
        return self._conn

    def _run(self, sql: str, params: tuple) -> _Result:
        keyword = _first_keyword(sql)
        if (
            self._transaction_status == messages.IN_FAILED_TRANSACTION
            and keyword not in ("ROLLBACK", "ABORT", "COMMIT", "END")
        ):
            raise StatementError("25P02", "the transaction has failed")
        match keyword:
            case "BEGIN" | "START":
                return self._begin(sql)
            case "COMMIT" | "END":
                return self._commit()
            case "ROLLBACK" | "ABORT":
                self._rollback()
                self._transaction_status = messages.IDLE
                return _Result(tag="ROLLBACK")
            case "SET" | "RESET" | "SHOW" | "DISCARD" | "DEALLOCATE":
                return self._run_setting_statement(keyword, sql)
            case "COPY":
                raise StatementError("0A000", "COPY is not supported")
        locking = _LOCKING_CLAUSE.search(sql)
        writes = (
            keyword in _WRITE_KEYWORDS or bool(locking) or _is_writing_with(sql)
        )
        if writes:
            self._start_write()
        self._endpoint.slots.acquire()
        try:
            return self._run_in_slot(
                _LOCKING_CLAUSE.sub("", sql), params, keyword, record=writes
            )
        finally:
            self._endpoint.slots.release()

    def _run_in_slot(
        self, sql: str, params: tuple, keyword: str, *, record: bool
    ) -> _Result:
        conn = self._data_connection()
        self._endpoint.faults.wait_while_frozen()
        self._endpoint.statement_count += 1
        time.sleep(self._endpoint.settings.statement_ms * data.MILLISECOND)
        self._statement_running.set()
        try:
            with self._in_open_write():
                cursor = conn.execute(storage.to_sqlite(sql), params)
                rows = cursor.fetchall()
        except sqlite3.Error as exc:
            raise _statement_error(exc) from exc
        finally:
            self._statement_running.clear()
        if record and keyword in _WRITE_KEYWORDS | {"WITH"}:
            self._written_statements.append(
                storage.Statement(sql=sql, params=params)
            )
        names = tuple(item[0] for item in cursor.description or ())
        if keyword == "INSERT":
            tag = f"INSERT 0 {max(cursor.rowcount, len(rows))}"
        elif keyword in ("UPDATE", "DELETE"):
            tag = f"{keyword} {max(cursor.rowcount, 0)}"
        elif keyword in _ROW_KEYWORDS:
            tag = f"SELECT {len(rows)}"
        else:
            tag = keyword
        return _Result(tag=tag, names=names, rows=rows)

    @contextlib.contextmanager
    def _in_open_write(self) -> collections.abc.Iterator[None]:
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
                raise _not_primary_error()
            yield

    def _start_write(self) -> None:
        if self._read_only:
            raise StatementError("25006", "the transaction is read-only")
        if self._open_write is not None:
            return
        with self._endpoint.lock:
            if not self._endpoint.accepts_writes():
                raise _not_primary_error()
        conn = self._data_connection()
        if not self._endpoint.write_lock.acquire(
            timeout=endpoint_lib.WRITE_LOCK_TIMEOUT_S
        ):
            raise StatementError("55P03", "lock not available")
        self._open_write = endpoint_lib.OpenWrite(conn=conn)
        try:
            conn.execute("BEGIN IMMEDIATE")
        except sqlite3.Error as exc:
            raise _statement_error(exc) from exc
        with self._endpoint.lock:
            if self._endpoint.epoch != self._epoch:
                raise _not_primary_error()
            self._endpoint.open_writes.add(self._open_write)

    def _begin(self, sql: str) -> _Result:
        if self._transaction_status == messages.IDLE:
            self._transaction_status = messages.IN_TRANSACTION
            self._read_only = "READ ONLY" in sql.upper()
        return _Result(tag="BEGIN")

    def _commit(self) -> _Result:
        failed = self._transaction_status == messages.IN_FAILED_TRANSACTION
        self._transaction_status = messages.IDLE
        if failed:
            self._rollback()
            return _Result(tag="ROLLBACK")
        self._commit_write()
        return _Result(tag="COMMIT")

    def _end_implicit(self) -> None:
        if self._transaction_status == messages.IDLE:
            self._commit_write()

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
            self._rollback()
            raise _not_primary_error() from exc
        self._endpoint.faults.wait_while_frozen()
        mark = data.Mark(
            group=self._endpoint.settings.group,
            term=self._endpoint.log_term,
            position=position,
        )
        self._wrote_in_batch = True
        self._send(messages.parameter(control.MARK_PARAMETER, str(mark)))
        self._finish_write()

    def _rollback(self) -> None:
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

    def _run_setting_statement(self, keyword: str, sql: str) -> _Result:
        match keyword:
            case "SHOW":
                name = _shown_setting(sql)
                value = self._settings.get(name, "")
                return _Result(tag="SHOW", names=(name,), rows=[(value,)])
            case "SET":
                set_match = _SET_STATEMENT.match(sql.rstrip(";"))
                if set_match:
                    value = set_match[2].strip().strip("'")
                    self._settings[set_match[1]] = value
            case "RESET":
                self._settings.clear()
            case "DISCARD":
                self._settings.clear()
                self._prepared.clear()
                return _Result(tag="DISCARD ALL")
        return _Result(tag=keyword)

    # Control calls.

    def _run_control_call(self, text: str) -> None:
        call_match = _CONTROL_CALL.match(text)
        name = call_match[1].lower()
        args = [arg.strip().strip("'") for arg in call_match[2].split(",")]
        ep = self._endpoint
        try:
            match name:
                case "status":
                    wait_s = float(args[1]) * data.MILLISECOND
                    status = ep.wait_received(int(args[0]), wait_s)
                    value = control.status_to_json(status)
                case "fence":
                    value = control.status_to_json(ep.fence(int(args[0])))
                case "promote":
                    value = control.status_to_json(ep.promote(int(args[0])))
                case "follow":
                    status = ep.follow(args[0], int(args[1]))
                    value = control.status_to_json(status)
                case "log":
                    wait_s = float(args[1]) * data.MILLISECOND
                    value = ep.read_log(int(args[0]), wait_s)
                case "fault":
                    fields = call_match[2].strip().strip("'")
                    ep.faults.change(**_parse_fault_fields(fields))
                    value = ""
                case _:
                    raise StatementError(
                        "42883",
                        f"control call bronzehold_{name} does not exist",
                    )
        except endpoint_lib.RefusedError as exc:
            raise StatementError(control.REFUSED_SQLSTATE, str(exc)) from exc
        result = _Result(tag="SELECT 1", names=(name,), rows=[(value,)])
        self._send(_row_description(result, ()))
        self._send(_data_row(result.rows[0], ()))
        self._send(messages.complete(result.tag))
        self._send_ready()


def _not_primary_error() -> StatementError:
    return StatementError(
        control.NOT_PRIMARY_SQLSTATE, control.NOT_PRIMARY_MESSAGE
    )


def _parse_fault_fields(text: str) -> dict:
    fields = control.loads(text)
    conditions = faults.conditions_from_json(fields)
    return {name: getattr(conditions, name) for name in fields}


def _split_statements(text: str) -> list[str]:
    if ";" not in text:
        return [text] if text.strip() else []
    try:
        parts = pglast.split(text, with_parser=False)
    except pglast.parser.ParseError as exc:
        raise StatementError("42601", str(exc.args[0])) from exc
    return [part for part in parts if part.strip()]


def _shown_setting(sql: str) -> str:
    return sql.split(None, 1)[1].strip().rstrip(";")


def _first_keyword(sql: str) -> str:
    text = re.sub(r"^(\s*(/\*.*?\*/|--[^\n]*\n))*\s*", "", sql, flags=re.S)
    match = re.match(r"\w+", text)
    return match[0].upper() if match else ""


def _is_writing_with(sql: str) -> bool:
    return _first_keyword(sql) == "WITH" and bool(
        re.search(r"\b(INSERT|UPDATE|DELETE)\b", sql, re.I)
    )


def _param_count(sql: str) -> int:
    numbers = [int(n) for n in re.findall(r"\$(\d+)", sql)]
    return max(numbers, default=0)


def _statement_error(exc: sqlite3.Error) -> StatementError:
    text = str(exc)
    for error_text, sqlstate in _SQLSTATE_BY_ERROR_TEXT:
        if error_text in text:
            return StatementError(sqlstate, text)
    return StatementError("XX000", text)


def _read_int16_array(buf: bytes, at: int) -> tuple[tuple[int, ...], int]:
    (count,) = struct.unpack_from("!H", buf, at)
    shorts = struct.unpack_from(f"!{count}h", buf, at + 2)
    return shorts, at + 2 + 2 * count


def _format_code(formats: tuple[int, ...], i: int) -> int:
    if not formats:
        return values.TEXT_FORMAT
    return formats[i] if i < len(formats) else formats[0]


def _row_description(result: _Result, formats: tuple[int, ...]) -> bytes:
    body = bytearray(struct.pack("!H", len(result.names)))
    first_row = result.rows[0] if result.rows else ("",) * len(result.names)
    for i, name in enumerate(result.names):
        type_oid = values.oid_of(first_row[i])
        body += name.encode() + b"\0"
        body += struct.pack(
            "!IhIhih", 0, 0, type_oid, -1, -1, _format_code(formats, i)
        )
    return frames.make(b"T", bytes(body))


def _data_row(row: tuple, formats: tuple[int, ...]) -> bytes:
    body = bytearray(struct.pack("!H", len(row)))
    for i, value in enumerate(row):
        encoded = values.encode(value, _format_code(formats, i))
        if encoded is None:
            body += struct.pack("!i", -1)
        else:
            body += struct.pack("!i", len(encoded)) + encoded
    return frames.make(b"D", bytes(body))
