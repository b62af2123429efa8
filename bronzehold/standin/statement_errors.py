"""The error that ends a statement, with the SQLSTATE that the client gets."""

import sqlite3

from bronzehold.connection import control

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


class StatementError(Exception):
    """A statement failed.

    Attributes:
        sqlstate: The SQLSTATE that the client receives.
    """

    def __init__(self, sqlstate: str, message: str):
        super().__init__(message)
        self.sqlstate = sqlstate


def not_primary() -> StatementError:
    """Returns the error of a write on an endpoint that is not the primary."""
    return StatementError(
        control.NOT_PRIMARY_SQLSTATE, control.NOT_PRIMARY_MESSAGE
    )


def from_sqlite(exc: sqlite3.Error) -> StatementError:
    """Returns the error that stands for a sqlite3 error."""
    text = str(exc)
    for error_text, sqlstate in _SQLSTATE_BY_ERROR_TEXT:
        if error_text in text:
            return StatementError(sqlstate, text)
    return StatementError("XX000", text)
