"""Conversion of values between sqlite3 and the PostgreSQL protocol."""

import struct

INT8 = 20
INT2 = 21
INT4 = 23
TEXT = 25
FLOAT4 = 700
FLOAT8 = 701
BYTEA = 17
BOOL = 16
NUMERIC = 1700

TEXT_FORMAT = 0
BINARY_FORMAT = 1

_INTS = {INT2: "!h", INT4: "!i", INT8: "!q"}
_FLOATS = {FLOAT4: "!f", FLOAT8: "!d"}
_DECLARED = {
    "int": INT8,
    "integer": INT8,
    "bigint": INT8,
    "float": FLOAT8,
    "real": FLOAT8,
    "blob": BYTEA,
    "bytea": BYTEA,
}

Value = int | float | str | bytes | None


def decode(data: bytes | None, oid: int, fmt: int) -> Value:
    """Returns the value of a bound parameter."""
    if data is None:
        return None
    if fmt == BINARY_FORMAT:
        return _decode_binary(data, oid)
    text = data.decode()
    if oid in _INTS:
        return int(text)
    if oid in _FLOATS or oid == NUMERIC:
        return float(text)
    if oid == BOOL:
        return int(text in ("t", "true", "1"))
    if oid == BYTEA and text.startswith("\\x"):
        return bytes.fromhex(text[2:])
    return text


def _decode_binary(data: bytes, oid: int) -> Value:
    if oid in _INTS:
        return struct.unpack(_INTS[oid], data)[0]
    if oid in _FLOATS:
        return struct.unpack(_FLOATS[oid], data)[0]
    if oid == BOOL:
        return data[0]
    if oid == BYTEA:
        return data
    return data.decode()


def encode(value: Value, fmt: int) -> bytes | None:
    """Returns the bytes of a result value."""
    match value:
        case None:
            return None
        case bytes():
            plain = "\\x" + value.hex()
            return value if fmt == BINARY_FORMAT else plain.encode()
        case int():
            if fmt == BINARY_FORMAT:
                return struct.pack("!q", value)
            return str(value).encode()
        case float():
            if fmt == BINARY_FORMAT:
                return struct.pack("!d", value)
            return repr(value).encode()
        case _:
            return value.encode()


def oid_of(value: Value) -> int:
    """Returns the type of a result value."""
    match value:
        case int():
            return INT8
        case float():
            return FLOAT8
        case bytes():
            return BYTEA
        case _:
            return TEXT


def declared_oid(name: str) -> int:
    """Returns the type that a column was declared with, TEXT if unknown."""
    return _DECLARED.get(name.lower(), TEXT)
