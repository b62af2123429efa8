"""Encoding and decoding of the PostgreSQL messages that the proxy uses.

Message bodies are declared with construct. The names in Parse, Bind, Describe
and Close are split at their zero bytes instead, because these messages are read
for every statement and must be parsed quickly.
"""

import construct

from bronzehold.connection import frames
from bronzehold.core import errors

PROTOCOL_3 = 196608
PROTOCOL_MAJOR = 3
SSL_REQUEST = 80877103
GSS_REQUEST = 80877104
CANCEL_REQUEST = 80877102
MAX_STARTUP_BYTES = 10000

AUTH_OK = 0
AUTH_SASL = 10
AUTH_SASL_CONTINUE = 11
AUTH_SASL_FINAL = 12

IDLE = b"I"
IN_TRANSACTION = b"T"
IN_FAILED_TRANSACTION = b"E"

_TEXT = construct.CString("utf8")

_PAIRS = construct.Struct(
    "version" / construct.Int32ub,
    "pairs"
    / construct.RepeatUntil(
        lambda item, _items, _ctx: item == "", construct.CString("utf8")
    ),
)
_CANCEL = construct.Struct(
    "code" / construct.Int32ub,
    "pid" / construct.Int32sb,
    "secret" / construct.Int32sb,
)
_KEY = construct.Struct("pid" / construct.Int32sb, "secret" / construct.Int32sb)
_STATUS = construct.Struct("name" / _TEXT, "value" / _TEXT)
_FIELD = construct.Struct(
    "code" / construct.Bytes(1),
    "value" / construct.If(construct.this.code != b"\0", _TEXT),
)
_FIELDS = construct.RepeatUntil(
    lambda item, _items, _ctx: item["code"] == b"\0", _FIELD
)
_AUTH = construct.Struct(
    "code" / construct.Int32ub, "data" / construct.GreedyBytes
)
_SASL_INITIAL = construct.Struct(
    "mechanism" / _TEXT,
    "data" / construct.Prefixed(construct.Int32ub, construct.GreedyBytes),
)


def startup_code(body: bytes) -> int:
    """Returns the protocol version or request code of a start-up packet."""
    return int.from_bytes(body[:4], "big")


def parse_startup(body: bytes) -> dict[str, str]:
    """Returns the parameters of a start-up packet.

    Raises:
        errors.FailureError: The packet is malformed.
    """
    try:
        items = list(_PAIRS.parse(body).pairs)[:-1]
    except (construct.ConstructError, UnicodeDecodeError) as exc:
        raise errors.FailureError(
            errors.Malformed(problem="start-up packet")
        ) from exc
    return dict(zip(items[::2], items[1::2], strict=False))


def startup(params: dict[str, str]) -> bytes:
    """Returns a complete start-up packet."""
    items = [item for pair in params.items() for item in pair] + [""]
    body = _PAIRS.build({"version": PROTOCOL_3, "pairs": items})
    return frames.LENGTH.pack(len(body) + frames.LENGTH.size) + body


def parse_cancel(body: bytes) -> tuple[int, int]:
    """Returns the process id and secret of a cancel request."""
    msg = _CANCEL.parse(body)
    return msg.pid, msg.secret


def cancel(pid: int, secret: int) -> bytes:
    """Returns a complete cancel request."""
    body = _CANCEL.build({"code": CANCEL_REQUEST, "pid": pid, "secret": secret})
    return frames.LENGTH.pack(len(body) + frames.LENGTH.size) + body


def auth(code: int, data: bytes = b"") -> bytes:
    """Returns an authentication frame."""
    return frames.make(b"R", _AUTH.build({"code": code, "data": data}))


def parse_auth(body: bytes) -> tuple[int, bytes]:
    """Returns the code and data of an authentication frame."""
    msg = _AUTH.parse(body)
    return msg.code, msg.data


def parse_sasl_initial(body: bytes) -> tuple[str, bytes]:
    """Returns the mechanism and data of the first SASL response."""
    msg = _SASL_INITIAL.parse(body)
    return msg.mechanism, msg.data


def sasl_initial(mechanism: str, data: bytes) -> bytes:
    """Returns the first SASL response as a frame."""
    body = _SASL_INITIAL.build({"mechanism": mechanism, "data": data})
    return frames.make(b"p", body)


def key_data(pid: int, secret: int) -> bytes:
    """Returns a BackendKeyData frame, which holds the key for cancels."""
    return frames.make(b"K", _KEY.build({"pid": pid, "secret": secret}))


def parse_key_data(body: bytes) -> tuple[int, int]:
    """Returns the process id and secret of a BackendKeyData body."""
    msg = _KEY.parse(body)
    return msg.pid, msg.secret


def parameter(name: str, value: str) -> bytes:
    """Returns a ParameterStatus frame."""
    return frames.make(b"S", _STATUS.build({"name": name, "value": value}))


def parse_parameter(body: bytes) -> tuple[str, str]:
    """Returns the name and value of a ParameterStatus frame."""
    msg = _STATUS.parse(body)
    return msg.name, msg.value


def ready(state: bytes) -> bytes:
    """Returns a ReadyForQuery frame."""
    return frames.make(b"Z", state)


def complete(tag: str) -> bytes:
    """Returns a CommandComplete frame."""
    return frames.make(b"C", tag.encode() + b"\0")


def error(sqlstate: str, message: str, *, fatal: bool = False) -> bytes:
    """Returns an ErrorResponse frame."""
    severity = "FATAL" if fatal else "ERROR"
    pairs = [
        (b"S", severity),
        (b"V", severity),
        (b"C", sqlstate),
        (b"M", message),
    ]
    fields = [{"code": code, "value": text} for code, text in pairs]
    fields.append({"code": b"\0", "value": None})
    return frames.make(b"E", _FIELDS.build(fields))


def failure(failed: errors.Failure, *, fatal: bool = False) -> bytes:
    """Returns the ErrorResponse frame for a failure."""
    report = errors.report(failed)
    return error(report.sqlstate, report.message, fatal=fatal)


def parse_error(body: bytes) -> dict[str, str]:
    """Returns the fields of an ErrorResponse by their one-letter codes."""
    return {
        item.code.decode(): item.value
        for item in _FIELDS.parse(body)
        if item.code != b"\0"
    }


def query(sql: str) -> bytes:
    """Returns a simple Query frame."""
    return frames.make(b"Q", sql.encode() + b"\0")


def query_text(body: bytes) -> str:
    """Returns the text of a simple Query."""
    return body.rstrip(b"\0").decode("utf8", "replace")


def split_parse(body: bytes) -> tuple[bytes, bytes, bytes]:
    """Splits a Parse body into statement name, SQL and parameter types."""
    name, sql, types = body.split(b"\0", 2)
    return name, sql, types


def split_bind(body: bytes) -> tuple[bytes, bytes, bytes]:
    """Splits a Bind body into portal name, statement name and the rest."""
    portal, name, rest = body.split(b"\0", 2)
    return portal, name, rest


TEXT_OID = 25
_COLUMN = construct.Struct(
    "count" / construct.Const(1, construct.Int16ub),
    "name" / _TEXT,
    "table" / construct.Const(0, construct.Int32ub),
    "column" / construct.Const(0, construct.Int16ub),
    "type" / construct.Const(TEXT_OID, construct.Int32ub),
    "size" / construct.Const(-1, construct.Int16sb),
    "modifier" / construct.Const(-1, construct.Int32sb),
    "format" / construct.Const(0, construct.Int16ub),
)
_ROW = construct.Struct(
    "count" / construct.Const(1, construct.Int16ub),
    "value" / construct.Prefixed(construct.Int32ub, construct.GreedyBytes),
)


def text_column(name: str) -> bytes:
    """Returns a RowDescription frame for one text column."""
    return frames.make(b"T", _COLUMN.build({"name": name}))


def text_row(value: str) -> bytes:
    """Returns a DataRow frame with one text value."""
    return frames.make(b"D", _ROW.build({"value": value.encode()}))
