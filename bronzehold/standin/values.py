"""Conversion of values between sqlite3 and the PostgreSQL protocol.

Types are identified by their PostgreSQL type OIDs.
"""

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

_INT_FORMATS = {INT2: "!h", INT4: "!i", INT8: "!q"}
_FLOAT_FORMATS = {FLOAT4: "!f", FLOAT8: "!d"}
_OID_BY_DECLARED_TYPE = {
    "int": INT8,
    "integer": INT8,
    "bigint": INT8,
    "float": FLOAT8,
    "real": FLOAT8,
    "blob": BYTEA,
    "bytea": BYTEA,
}

Value = int | float | str | bytes | None


def format_code(formats: tuple[int, ...], i: int) -> int:
    """Returns the format code of column or parameter i.

    Args:
        formats: The codes of a message; without any the format is text, and
            the first stands in for those that are missing.
        i: Index of the column or parameter, from 0.
    """
    if not formats:
        return TEXT_FORMAT
    return formats[i] if i < len(formats) else formats[0]


def decode(raw: bytes | None, oid: int, format_code: int) -> Value:
    """Returns the value of a bound parameter.

    Args:
        raw: Its bytes in the protocol, None for NULL.
        oid: OID of its type, 0 if unspecified.
        format_code: TEXT_FORMAT or BINARY_FORMAT.
    """
    if raw is None:
        return None
    if format_code == BINARY_FORMAT:
        return _decode_binary(raw, oid)
    text = raw.decode()
    if oid in _INT_FORMATS:
        return int(text)
    if oid in _FLOAT_FORMATS or oid == NUMERIC:
        return float(text)
    if oid == BOOL:
        return int(text in ("t", "true", "1"))
    if oid == BYTEA and text.startswith("\\x"):
        return bytes.fromhex(text[2:])
    return text


def _decode_binary(raw: bytes, oid: int) -> Value:
    if oid in _INT_FORMATS:
        return struct.unpack(_INT_FORMATS[oid], raw)[0]
    if oid in _FLOAT_FORMATS:
        return struct.unpack(_FLOAT_FORMATS[oid], raw)[0]
    if oid == BOOL:
        return raw[0]
    if oid == BYTEA:
        return raw
    return raw.decode()


def encode(value: Value, format_code: int) -> bytes | None:
    """Returns the bytes of a result value, None for NULL."""
    match value:
        case None:
            return None
        case bytes():
            hex_text = "\\x" + value.hex()
            return value if format_code == BINARY_FORMAT else hex_text.encode()
        case int():
            if format_code == BINARY_FORMAT:
                return struct.pack("!q", value)
            return str(value).encode()
        case float():
            if format_code == BINARY_FORMAT:
                return struct.pack("!d", value)
            return repr(value).encode()
        case _:
            return value.encode()


def oid_of(value: Value) -> int:
    """Returns the type OID of a result value."""
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
    """Returns the OID of a declared column type, TEXT if it is unknown."""
    return _OID_BY_DECLARED_TYPE.get(name.lower(), TEXT)
