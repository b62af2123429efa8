"""Describes the result columns of a statement without running it."""

import sqlite3

from bronzehold.connection import frames
from bronzehold.standin import results
from bronzehold.standin import sql_text
from bronzehold.standin import statement_errors
from bronzehold.standin import storage
from bronzehold.standin import transaction as transaction_lib
from bronzehold.standin import values

# Columns of a RETURNING clause that are described as integers.
_INTEGER_NAMES = ("id", "n")


def describe(
    transaction: transaction_lib.Transaction,
    sql: str,
    params: tuple,
    formats: tuple[int, ...],
) -> bytes:
    """Returns the RowDescription or NoData message of a statement.

    Args:
        transaction: Gives the connection to the data.
        sql: Text of the statement.
        params: Values of its parameters.
        formats: Format codes of its columns.

    Raises:
        StatementError: The statement has an error.
    """
    keyword = sql_text.first_keyword(sql)
    if keyword == "SHOW":
        result = results.Result(names=(sql_text.shown_setting(sql),))
    elif keyword in sql_text.ROW_KEYWORDS:
        result = _query_sample(transaction.connection(), sql, params)
    elif "RETURNING" in sql.upper():
        result = _returning_sample(sql)
    else:
        return frames.make(b"n")
    return results.row_description(result, formats)


def _returning_sample(sql: str) -> results.Result:
    names = sql_text.returned_names(sql)
    row = tuple(0 if name in _INTEGER_NAMES else "" for name in names)
    return results.Result(names=names, rows=[row])


def _query_sample(
    conn: sqlite3.Connection, sql: str, params: tuple
) -> results.Result:
    text = storage.to_sqlite(sql_text.without_locking_clause(sql))
    try:
        cursor = conn.execute(f"SELECT * FROM ({text}) LIMIT 1", params)
        rows = cursor.fetchall()
    except sqlite3.Error as exc:
        raise statement_errors.from_sqlite(exc) from exc
    names = tuple(item[0] for item in cursor.description)
    if not rows or None in rows[0]:
        rows = _sample_row(conn, text, len(names), rows)
    return results.Result(names=names, rows=rows)


def _sample_row(
    conn: sqlite3.Connection, text: str, column_count: int, rows: list
) -> list:
    # The type of a column is derived from a sample value. For NULL or an
    # empty result the declared type is used instead.
    try:
        declared_types = _declared_types(conn, text)
    except sqlite3.Error:
        return rows or [("",) * column_count]
    samples = {values.INT8: 0, values.FLOAT8: 0.0, values.BYTEA: b""}
    first_row = rows[0] if rows else (None,) * column_count
    sample = [
        samples.get(values.declared_oid(declared_type), "")
        if value is None
        else value
        for value, declared_type in zip(first_row, declared_types, strict=True)
    ]
    return [tuple(sample)]


def _declared_types(conn: sqlite3.Connection, text: str) -> list[str]:
    # sqlite3 reports declared types for the columns of a view.
    query = sql_text.without_parameters(text)
    conn.execute(f"CREATE TEMP VIEW bronzehold_probe AS {query}")
    columns = conn.execute("PRAGMA table_info(bronzehold_probe)").fetchall()
    conn.execute("DROP VIEW bronzehold_probe")
    return [column[2] for column in columns]
