"""Questions about the text of a SQL statement.

They are answered with patterns where that is enough, and with the PostgreSQL
parser where it is not.
"""

import re

import pglast

from bronzehold.standin import statement_errors

WRITE_KEYWORDS = {
    "INSERT",
    "UPDATE",
    "DELETE",
    "CREATE",
    "DROP",
    "ALTER",
    "REPLACE",
}
ROW_KEYWORDS = {"SELECT", "VALUES", "WITH"}
_LOCKING_CLAUSE = re.compile(r"\s+FOR\s+(UPDATE|SHARE)\s*$", re.IGNORECASE)
_SET_STATEMENT = re.compile(
    r"^\s*SET\s+(?:SESSION\s+|LOCAL\s+)?([\w.]+)\s*(?:=|\s+TO\s+)\s*(.+?)\s*$",
    re.I | re.S,
)


def split_statements(text: str) -> list[str]:
    """Returns the statements of a text that are not blank.

    Raises:
        StatementError: The text cannot be split into tokens.
    """
    if ";" not in text:
        return [text] if text.strip() else []
    try:
        parts = pglast.split(text, with_parser=False)
    except pglast.parser.ParseError as exc:
        raise _syntax_error(exc) from exc
    return [part for part in parts if part.strip()]


def check_syntax(text: str) -> None:
    """Parses a statement.

    Raises:
        StatementError: The statement has a syntax error.
    """
    try:
        pglast.parser.parse_sql_json(text)
    except pglast.parser.ParseError as exc:
        raise _syntax_error(exc) from exc


def _syntax_error(
    exc: pglast.parser.ParseError,
) -> statement_errors.StatementError:
    return statement_errors.StatementError("42601", str(exc.args[0]))


def first_keyword(sql: str) -> str:
    """Returns the first word after comments in capitals, "" without one."""
    text = re.sub(r"^(\s*(/\*.*?\*/|--[^\n]*\n))*\s*", "", sql, flags=re.S)
    match = re.match(r"\w+", text)
    return match[0].upper() if match else ""


def is_write(sql: str) -> bool:
    """Returns whether a statement writes or locks rows."""
    return (
        first_keyword(sql) in WRITE_KEYWORDS
        or bool(_LOCKING_CLAUSE.search(sql))
        or _is_writing_with(sql)
    )


def _is_writing_with(sql: str) -> bool:
    return first_keyword(sql) == "WITH" and bool(
        re.search(r"\b(INSERT|UPDATE|DELETE)\b", sql, re.I)
    )


def without_locking_clause(sql: str) -> str:
    """Returns a statement without FOR UPDATE or FOR SHARE at its end."""
    return _LOCKING_CLAUSE.sub("", sql)


def without_parameters(sql: str) -> str:
    """Returns a sqlite3 statement with NULL in place of its parameters."""
    return re.sub(r"\?\d*", "NULL", sql)


def parameter_count(sql: str) -> int:
    """Returns the highest number of a parameter such as $1, 0 without one."""
    numbers = [int(n) for n in re.findall(r"\$(\d+)", sql)]
    return max(numbers, default=0)


def returned_names(sql: str) -> tuple[str, ...]:
    """Returns the lower-case column names of a RETURNING clause."""
    names = sql.upper().rsplit("RETURNING", 1)[1].split(",")
    return tuple(name.strip().lower() for name in names)


def shown_setting(sql: str) -> str:
    """Returns the name of the setting in a SHOW statement."""
    return sql.split(None, 1)[1].strip().rstrip(";")


def assigned_setting(sql: str) -> tuple[str, str] | None:
    """Returns the name and value of a SET statement, None for other forms."""
    set_match = _SET_STATEMENT.match(sql.rstrip(";"))
    if set_match is None:
        return None
    return set_match[1], set_match[2].strip().strip("'")
