"""The result of a statement and its messages in the PostgreSQL protocol."""

import dataclasses
import struct

from bronzehold.connection import frames
from bronzehold.standin import values


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Result:
    """The command tag, column names and rows of an executed statement."""

    tag: str = ""
    names: tuple[str, ...] = ()
    rows: list = dataclasses.field(default_factory=list)


def row_description(result: Result, formats: tuple[int, ...]) -> bytes:
    """Returns the RowDescription message; types are those of the first row."""
    body = bytearray(struct.pack("!H", len(result.names)))
    first_row = result.rows[0] if result.rows else ("",) * len(result.names)
    for i, name in enumerate(result.names):
        type_oid = values.oid_of(first_row[i])
        body += name.encode() + b"\0"
        body += struct.pack(
            "!IhIhih", 0, 0, type_oid, -1, -1, values.format_code(formats, i)
        )
    return frames.make(b"T", bytes(body))


def data_row(row: tuple, formats: tuple[int, ...]) -> bytes:
    """Returns the DataRow message of a row."""
    body = bytearray(struct.pack("!H", len(row)))
    for i, value in enumerate(row):
        encoded = values.encode(value, values.format_code(formats, i))
        if encoded is None:
            body += struct.pack("!i", -1)
        else:
            body += struct.pack("!i", len(encoded)) + encoded
    return frames.make(b"D", bytes(body))
