"""The messages of an extended query: Parse, Bind, Describe, Execute, Close."""

import struct

from bronzehold.connection import frames
from bronzehold.connection import messages
from bronzehold.standin import columns
from bronzehold.standin import control_calls
from bronzehold.standin import output as output_lib
from bronzehold.standin import results
from bronzehold.standin import session_state
from bronzehold.standin import sql_text
from bronzehold.standin import statement_errors
from bronzehold.standin import statement_runner
from bronzehold.standin import transaction as transaction_lib
from bronzehold.standin import values


class ExtendedQuery:
    """Handles the messages of a session's extended queries."""

    def __init__(
        self,
        *,
        state: session_state.SessionState,
        transaction: transaction_lib.Transaction,
        runner: statement_runner.StatementRunner,
        output: output_lib.Output,
    ):
        self._state = state
        self._transaction = transaction
        self._runner = runner
        self._output = output

    def parse(self, body: bytes) -> None:
        """Handles a Parse message.

        Raises:
            StatementError: The text is not exactly one correct statement.
        """
        name, sql, types = messages.split_parse(body)
        (count,) = struct.unpack_from("!H", types)
        oids = struct.unpack_from(f"!{count}I", types, 2)
        text = sql.decode()
        if len(sql_text.split_statements(text)) > 1:
            raise statement_errors.StatementError(
                "42601", "cannot prepare more than one statement at once"
            )
        sql_text.check_syntax(text)
        self._state.prepared[name] = session_state.Prepared(sql=text, oids=oids)
        self._output.send(frames.make(b"1"))

    def bind(self, body: bytes) -> None:
        """Handles a Bind message.

        Raises:
            StatementError: The prepared statement does not exist.
        """
        portal, name, rest = messages.split_bind(body)
        prepared = self._state.find_prepared(name)
        params, at = _read_params(rest, prepared.oids)
        result_formats, _ = _read_int16_array(rest, at)
        self._state.portals[portal] = session_state.Portal(
            statement=prepared, params=params, formats=result_formats
        )
        self._output.send(frames.make(b"2"))

    def describe(self, body: bytes) -> None:
        """Handles a Describe message.

        Raises:
            StatementError: The prepared statement or portal does not exist, or
                has an error.
        """
        name = body[1:].rstrip(b"\0")
        if body[:1] == b"S":
            self._describe_prepared(self._state.find_prepared(name))
        else:
            portal = self._state.find_portal(name)
            self._describe_columns(
                portal.statement.sql, portal.params, portal.formats
            )

    def _describe_prepared(self, prepared: session_state.Prepared) -> None:
        count = sql_text.parameter_count(prepared.sql)
        oids = list(prepared.oids) + [0] * count
        oids = [oid or values.TEXT for oid in oids[:count]]
        packed = struct.pack(f"!H{count}I", count, *oids)
        self._output.send(frames.make(b"t", packed))
        self._describe_columns(prepared.sql, (None,) * count, ())

    def _describe_columns(
        self, sql: str, params: tuple, formats: tuple[int, ...]
    ) -> None:
        self._output.send(
            columns.describe(self._transaction, sql, params, formats)
        )

    def execute(self, body: bytes) -> None:
        """Handles an Execute message.

        Raises:
            StatementError: The portal does not exist or its statement failed.
        """
        name, _ = body.split(b"\0", 1)
        portal = self._state.find_portal(name)
        sql = portal.statement.sql
        if control_calls.is_control_call(sql):
            raise statement_errors.StatementError(
                "0A000", "control calls must be sent as simple queries"
            )
        if not sql_text.split_statements(sql):
            self._output.send(frames.make(b"I"))
            return
        result = self._runner.run(sql, portal.params)
        for row in result.rows if result.names else ():
            self._output.send(results.data_row(row, portal.formats))
        self._output.send(messages.complete(result.tag))

    def close(self, body: bytes) -> None:
        """Handles a Close message for a prepared statement or a portal."""
        name = body[1:].rstrip(b"\0")
        is_prepared = body[:1] == b"S"
        named = self._state.prepared if is_prepared else self._state.portals
        named.pop(name, None)
        self._output.send(frames.make(b"3"))


def _read_params(
    buf: bytes, oids: tuple[int, ...]
) -> tuple[tuple[values.Value, ...], int]:
    formats, at = _read_int16_array(buf, 0)
    (count,) = struct.unpack_from("!H", buf, at)
    at += 2
    params = []
    for i in range(count):
        raw, at = _read_param(buf, at)
        oid = oids[i] if i < len(oids) else 0
        params.append(values.decode(raw, oid, values.format_code(formats, i)))
    return tuple(params), at


def _read_param(buf: bytes, at: int) -> tuple[bytes | None, int]:
    (length,) = struct.unpack_from("!i", buf, at)
    at += 4
    if length < 0:
        return None, at
    return buf[at : at + length], at + length


def _read_int16_array(buf: bytes, at: int) -> tuple[tuple[int, ...], int]:
    (count,) = struct.unpack_from("!H", buf, at)
    shorts = struct.unpack_from(f"!{count}h", buf, at + 2)
    return shorts, at + 2 + 2 * count
