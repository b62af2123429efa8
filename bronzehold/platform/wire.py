"""Encoder and decoder of the line protocol of callers and endpoints.

A message is one line: a keyword and its fields, separated by spaces and
terminated by CR LF. The last field extends to the end of the line. Text is
decoded as Latin-1, so that every byte passes through unchanged. The module
translates between lines and the types of core.statements; listener.py uses it
for callers and endpoint.py for endpoints.
"""

import collections.abc
import math
import socket

from bronzehold.core import errors
from bronzehold.core import integers
from bronzehold.core import ports
from bronzehold.core import statements

ENCODING = "latin-1"
LINE_END = b"\r\n"
MAX_LINE_BYTES = 1 << 20
RECEIVE_BUFFER_BYTES = 65536
# Rows that the proxy reads itself are far shorter. Others are only forwarded,
# and a decoded copy would double the memory of a large answer.
MAX_DECODED_ROW_BYTES = 4096
# Request id of commands that the proxy itself sends; invalid for callers.
NO_ID = "-"

_STATE_BY_LETTER = {
    "I": statements.TransactionState.IDLE,
    "T": statements.TransactionState.OPEN,
    "E": statements.TransactionState.FAILED,
}
_LETTER_BY_STATE = {
    state: letter.encode() for letter, state in _STATE_BY_LETTER.items()
}
_READY_MESSAGES = {
    state: b"READY " + letter + b" -" + LINE_END
    for state, letter in _LETTER_BY_STATE.items()
}
_REASON_BY_CODE = {
    "BUSY": statements.RefusalReason.BUSY,
    "ABORTED": statements.RefusalReason.ABORTED,
    "LAGGING": statements.RefusalReason.LAGGING,
    "READONLY": statements.RefusalReason.READ_ONLY,
    "WRONGNODE": statements.RefusalReason.WRONG_ENDPOINT,
    "CONNLIMIT": statements.RefusalReason.CONNECTIONS_FULL,
    "INDOUBT": statements.RefusalReason.IN_DOUBT,
    "TIMEOUT": statements.RefusalReason.TIMED_OUT,
    "FAILED": statements.RefusalReason.FAILED,
    "NOSTMT": statements.RefusalReason.UNKNOWN_STATEMENT,
    "MALFORMED": statements.RefusalReason.MALFORMED,
}
_CODE_BY_REASON = {reason: code for code, reason in _REASON_BY_CODE.items()}


class ProtocolError(Exception):
    """The peer sent a message that violates the protocol."""


class LineReader:
    """Splits the bytes received on a socket into lines."""

    def __init__(self, *, sock: socket.socket):
        self._sock = sock
        self._buf = bytearray()
        self._search_start = 0

    def has_buffered_data(self) -> bool:
        """Returns whether received bytes have not been returned yet."""
        return bool(self._buf)

    def read_line(
        self, next_timeout_s: collections.abc.Callable[[], float] | None = None
    ) -> bytes:
        """Waits for one line and returns it without its terminator.

        Args:
            next_timeout_s: Called before each receive; returns the timeout of
                that receive in seconds, or raises to end the wait. A receive
                that times out is repeated. Without next_timeout_s, the
                socket's own timeout applies.

        Raises:
            ports.TransportError: The connection was lost.
            TimeoutError: The socket's own timeout expired.
            ProtocolError: The line exceeds MAX_LINE_BYTES.
        """
        while True:
            end_index = self._buf.find(LINE_END, self._search_start)
            if end_index >= 0:
                with memoryview(self._buf) as view:
                    line = bytes(view[:end_index])
                del self._buf[: end_index + len(LINE_END)]
                self._search_start = 0
                return line
            if len(self._buf) > MAX_LINE_BYTES:
                raise ProtocolError("a line of over 1 MiB")
            self._search_start = max(0, len(self._buf) - 1)
            self._receive(next_timeout_s)

    def _receive(
        self, next_timeout_s: collections.abc.Callable[[], float] | None
    ) -> None:
        if next_timeout_s is not None:
            self._sock.settimeout(next_timeout_s())
        try:
            chunk = self._sock.recv(self._next_size())
        except TimeoutError:
            if next_timeout_s is None:
                raise
            return
        except OSError as exc:
            raise ports.TransportError(str(exc)) from exc
        if not chunk:
            raise ports.TransportError("closed by the other side")
        self._buf += chunk

    def _next_size(self) -> int:
        """Returns the maximum number of bytes to receive at once."""
        return RECEIVE_BUFFER_BYTES


def set_socket_options(sock: socket.socket) -> None:
    """Sets the TCP options that every connection uses."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


# Messages from callers.


def parse_query(line: bytes, arrived: float) -> statements.Request:
    """Decodes a caller's statement.

    Args:
        line: The line without its terminator.
        arrived: Time of its receipt, in seconds of clock.now().

    Returns:
        The request. Its statement is statements.Invalid if the text after the
        request id cannot be decoded.

    Raises:
        ProtocolError: The line is not a QUERY message with a request id, so an
            answer could not be matched to it.
    """
    text = line.decode(ENCODING)
    keyword, _, rest = text.partition(" ")
    request_id, _, body = rest.partition(" ")
    if keyword != "QUERY" or not request_id:
        raise ProtocolError(f"message {keyword[:20]!r}")
    if "\r" in text or "\n" in text or "\0" in text:
        # An endpoint may treat a lone line feed as the end of the line and
        # execute the rest as a separate statement that the caller never sent.
        statement = statements.Invalid(problem="control character")
    elif request_id == NO_ID:
        statement = statements.Invalid(problem="reserved id")
    else:
        statement = _parse_statement(body)
    return statements.Request(
        id=request_id, text=body, statement=statement, arrived=arrived
    )


def _parse_statement(text: str) -> statements.Statement:
    keyword, _, rest = text.partition(" ")
    fields = rest.split(" ", 2)
    match keyword, fields:
        case "READ", [item] if item:
            return statements.Read()
        case "WRITE", [item, _, *_] if item:
            return statements.Write()
        case "BEGIN", [""]:
            return statements.Begin(read_only=False)
        case "BEGIN", ["READ"]:
            return statements.Begin(read_only=True)
        case "COMMIT", [""]:
            return statements.Commit()
        case "ROLLBACK", [""]:
            return statements.Rollback()
        case "SET", [name, *_] if name:
            return statements.SetValue(name=name, value=rest[len(name) + 1 :])
        case "PARSE", [name, "READ" | "WRITE" as kind, shape] if name:
            return statements.Prepare(
                name=name, writes=kind == "WRITE", shape=shape
            )
        case "EXECUTE", [name, *items] if name and items != [""]:
            return statements.Execute(
                name=name, arguments=rest[len(name) + 1 :]
            )
        case "DEALLOC", [name] if name:
            return statements.Deallocate(name=name)
        case _:
            return statements.Invalid(problem=f"statement {keyword[:20]!r}")


def encode_ready(state: statements.TransactionState) -> bytes:
    """Returns the READY message that ends every answer to a caller."""
    return _READY_MESSAGES[state]


COMPLETE_MESSAGE = b"COMPLETE -" + LINE_END


def encode_error(failure: errors.Failure) -> bytes:
    """Returns the ERROR message that reports a failure to a caller."""
    code, text = _error_code_and_text(failure)
    return f"ERROR {code} {text}".encode(ENCODING, "replace") + LINE_END


def _error_code_and_text(failure: errors.Failure) -> tuple[str, str]:
    text = errors.report(failure).message
    match failure:
        case errors.EndpointError(reason=reason, detail=detail):
            return _CODE_BY_REASON.get(reason, "FAILED"), detail
        case errors.ServiceUnknown():
            return "NODATABASE", text
        case errors.KeyDenied():
            return "DENIED", text
        case errors.NoFreshEndpoint():
            return "LAGGING", text
        case errors.TransactionLost():
            return "ABORTED", text
        case errors.OutcomeUnknown():
            return "INDOUBT", text
        case errors.TimedOut():
            return "TIMEOUT", text
        case errors.AnswerCut():
            return "FAILED", text
        case errors.NameMissing():
            return "NOSTMT", text
        case errors.Malformed() | errors.InFailedTransaction():
            return "MALFORMED", text
        case _:
            return "BUSY", text


# Messages to endpoints.


def encode_command(command: statements.Command) -> bytes:
    """Returns the QUERY message that sends a command to an endpoint."""
    name, text = _request_id_and_text(command)
    return f"QUERY {name} {text}".encode(ENCODING) + LINE_END


def _request_id_and_text(command: statements.Command) -> tuple[str, str]:
    match command:
        case statements.ForwardStatement(
            request=req, min_position=min_position, prepared_name=prepared
        ):
            text = req.text
            if prepared:
                arguments = req.statement.arguments
                # Blanks at the end are part of the data.
                text = f"EXECUTE {prepared}"
                text += f" {arguments}" if arguments else ""
            return req.id, _position_prefix(min_position) + text
        case statements.OpenTransaction(
            read_only=read_only, min_position=min_position
        ):
            text = "BEGIN READ" if read_only else "BEGIN"
            return NO_ID, _position_prefix(min_position) + text
        case statements.RollbackTransaction():
            return NO_ID, "ROLLBACK"
        case statements.ResetSession():
            return NO_ID, "RESET"
        case statements.GetStatus():
            return NO_ID, "STATUS"
        case statements.PauseReplication(term=term):
            return NO_ID, f"PAUSE {term}"
        case statements.ResumeReplication():
            return NO_ID, "RESUME"
        case statements.SetValue(name=name, value=value):
            return NO_ID, f"SET {name} {value}"
        case statements.Prepare(name=name, writes=writes, shape=shape):
            kind = "WRITE" if writes else "READ"
            return NO_ID, f"PARSE {name} {kind} {shape}"


def _position_prefix(position: statements.LogPosition | None) -> str:
    return "" if position is None else f"SINCE {position} "


def encode_startup(service: str, client_name: str, endpoint: str) -> bytes:
    """Returns the STARTUP message, the first one on a connection."""
    return (
        f"STARTUP {service} {client_name} {endpoint}".encode(ENCODING)
        + LINE_END
    )


# Answers of endpoints.


def read_answer(
    reader: LineReader,
    next_timeout_s: collections.abc.Callable[[], float] | None = None,
) -> statements.Answer:
    """Reads one answer, up to and including its READY message.

    Args:
        reader: Reader of the connection to the endpoint.
        next_timeout_s: See LineReader.read_line.

    Raises:
        ports.TransportError: The connection was lost.
        TimeoutError: The socket's timeout expired.
        ProtocolError: The endpoint sent a message that is no part of an answer.
    """
    body: list[bytes] = []
    rows: list[str] = []
    refusal: tuple[str, str] | None = None
    while True:
        line = reader.read_line(next_timeout_s)
        keyword, _, rest = line.partition(b" ")
        match keyword:
            case b"ROW":
                if len(rest) <= MAX_DECODED_ROW_BYTES:
                    rows.append(rest.decode(ENCODING))
                body += (line, LINE_END)
            case b"COMPLETE":
                body += (line, LINE_END)
            case b"ERROR":
                code, _, detail = rest.decode(ENCODING).partition(" ")
                refusal = (code, detail)
            case b"READY":
                state, position = _parse_ready(rest)
                break
            case _:
                raise ProtocolError(f"message {keyword[:20]!r}")
    if refusal is not None:
        code, detail = refusal
        return statements.Refused(
            reason=_REASON_BY_CODE.get(code, statements.RefusalReason.OTHER),
            detail=detail,
            state=state,
            position=position,
        )
    return statements.Completed(
        body=b"".join(body), rows=tuple(rows), state=state, position=position
    )


def read_startup_answer(reader: LineReader) -> statements.Answer:
    """Reads the answer to STARTUP, either READY or a final ERROR.

    Raises:
        ports.TransportError: The connection was lost.
        TimeoutError: The socket's timeout expired.
        ProtocolError: The endpoint sent any other message.
    """
    line = reader.read_line()
    keyword, _, rest = line.partition(b" ")
    match keyword:
        case b"READY":
            state, position = _parse_ready(rest)
            return statements.Completed(
                body=b"", state=state, position=position
            )
        case b"ERROR":
            code, _, detail = rest.decode(ENCODING).partition(" ")
            return statements.Refused(
                reason=_REASON_BY_CODE.get(
                    code, statements.RefusalReason.OTHER
                ),
                detail=detail,
            )
        case _:
            raise ProtocolError(f"message {keyword[:20]!r}")


def _parse_ready(
    rest: bytes,
) -> tuple[statements.TransactionState, statements.LogPosition | None]:
    letter, _, position = rest.decode(ENCODING).partition(" ")
    if letter not in _STATE_BY_LETTER:
        raise ProtocolError(f"state {letter[:20]!r}")
    return _STATE_BY_LETTER[letter], parse_position(position)


def parse_position(text: str) -> statements.LogPosition | None:
    """Parses a position written TERM.NUMBER; returns None for other text."""
    term, _, number = text.partition(".")
    try:
        return statements.LogPosition(
            term=integers.parse(term), number=integers.parse(number)
        )
    except ValueError:
        return None


def _parse_duration_ms(text: str) -> float:
    duration_ms = float(text)
    if not 0 <= duration_ms < math.inf:
        raise ValueError(f"{text!r} is not a duration")
    return duration_ms


def parse_status(row: str) -> statements.Status:
    """Parses the row that answers a STATUS command.

    Raises:
        ProtocolError: The row is malformed.
    """
    fields = row.split(" ")
    try:
        role, term, received, held, lag_ms, busy, connections = fields[:7]
        position = parse_position(received)
        if role not in ("primary", "replica"):
            raise ValueError(role)
        return statements.Status(
            leads=role == "primary",
            term=integers.parse(term),
            received=position
            or statements.LogPosition(term=integers.parse(term), number=0),
            paused_term=integers.parse(held),
            lag_s=_parse_duration_ms(lag_ms) / 1000,
            busy_slots=integers.parse(busy),
            connections=integers.parse(connections),
        )
    except ValueError as exc:
        raise ProtocolError(f"status {row[:60]!r}") from exc
