"""Batches of a caller's protocol messages, and their rewriting for endpoints.

A batch ends with a Query, Sync or Flush message, and an endpoint answers it as
a unit. Callers choose the names of their prepared statements, which may
conflict on endpoint connections that several callers share. There each
statement is prepared under a name derived from a hash of its text, so the
messages of a batch are rewritten for the connection that it is sent to.

This module also builds the answers to batches that the proxy answers itself.
"""

import collections.abc
import dataclasses
import enum

import xxhash

from bronzehold.connection import frames
from bronzehold.connection import messages
from bronzehold.core import errors
from bronzehold.request import classify

NAME_PREFIX = b"bronzehold_"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PreparedStatement:
    """A statement that a caller has prepared.

    Attributes:
        sql: The statement's text.
        param_types: The parameter types, encoded as in the Parse message.
        statement: The statement's classification.
        name: The statement's name on endpoint connections.
    """

    sql: bytes
    param_types: bytes
    statement: classify.Statement
    name: bytes


def prepare(sql: bytes, param_types: bytes) -> PreparedStatement:
    """Classifies a statement and derives its name on endpoint connections.

    Args:
        sql: The statement's text.
        param_types: The parameter types, encoded as in the Parse message.
    """
    text = sql.decode("utf8", "replace")
    digest = xxhash.xxh3_128_hexdigest(sql + b"\0" + param_types)
    return PreparedStatement(
        sql=sql,
        param_types=param_types,
        statement=classify.classify(text),
        name=NAME_PREFIX + digest.encode(),
    )


class Ending(enum.Enum):
    """The type of the message that ends a batch."""

    QUERY = "query"
    SYNC = "sync"
    FLUSH = "flush"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class BatchMessage:
    """One message of a batch.

    Attributes:
        frame: The message as the caller sent it.
        prepared: The prepared statement that the message refers to, or None.
    """

    frame: frames.Frame
    prepared: PreparedStatement | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Batch:
    """A batch of messages and its classification.

    Attributes:
        items: The messages in the order of their arrival.
        ending: The type of the last message.
        statement: The combined classification of all statements.
        executes: Whether the batch executes any statement.
        shape: The key of the first statement's text without its literals,
            under which its expected duration is kept.
        arrived_at: The time in seconds on the monotonic clock at which the
            whole batch had been read.
    """

    items: tuple[BatchMessage, ...]
    ending: Ending
    statement: classify.Statement
    executes: bool
    shape: int
    arrived_at: float


class StatementNames:
    """Maps one caller's statement and portal names to its statements."""

    def __init__(self):
        self.statements: dict[bytes, PreparedStatement] = {}
        self.portals: dict[bytes, PreparedStatement] = {}

    def resolve(self, frame: frames.Frame) -> BatchMessage:
        """Updates the names and finds the statement that a message refers to.

        Raises:
            errors.FailureError: The message refers to a statement or portal
                that does not exist.
        """
        body = frame.body
        match frame.kind:
            case b"P":
                name, sql, param_types = messages.split_parse(body)
                prepared = prepare(sql, param_types)
                self.statements[name] = prepared
                return BatchMessage(frame=frame, prepared=prepared)
            case b"B":
                portal, name, _ = messages.split_bind(body)
                prepared = self._statement(name)
                self.portals[portal] = prepared
                return BatchMessage(frame=frame, prepared=prepared)
            case b"D" if body[:1] == b"S":
                return BatchMessage(
                    frame=frame, prepared=self._statement(body[1:-1])
                )
            case b"D":
                return BatchMessage(
                    frame=frame, prepared=self._portal(body[1:-1])
                )
            case b"E":
                name = body.split(b"\0", 1)[0]
                return BatchMessage(frame=frame, prepared=self._portal(name))
            case b"C" if body[:1] == b"S":
                self.statements.pop(body[1:-1], None)
            case b"C":
                self.portals.pop(body[1:-1], None)
        return BatchMessage(frame=frame)

    def _statement(self, name: bytes) -> PreparedStatement:
        if name not in self.statements:
            raise _missing_name_error("statement", name)
        return self.statements[name]

    def _portal(self, name: bytes) -> PreparedStatement:
        if name not in self.portals:
            raise _missing_name_error("portal", name)
        return self.portals[name]


def _missing_name_error(what: str, name: bytes) -> errors.FailureError:
    shown = name.decode("utf8", "replace")
    return errors.FailureError(errors.NameMissing(kind=what, name=shown))


def combine(
    found: collections.abc.Sequence[classify.Statement],
) -> classify.Statement:
    """Returns the combined classification of the statements of a batch."""
    if not found:
        return classify.Empty()
    first = found[0]
    if all(item == first for item in found):
        return first
    reads = (classify.Read, classify.Empty)
    if all(isinstance(item, reads) for item in found):
        return classify.Read()
    for item in found:
        match item:
            case classify.Refused():
                return item
            case classify.SetVar() | classify.ShowVar() | classify.ResetVars():
                return classify.Refused(what="SET or SHOW in a pipeline")
    ends = any(
        item == classify.Commit() or item == classify.Write(ends=True)
        for item in found
    )
    return classify.Write(ends=ends)


def statements(items: collections.abc.Iterable[BatchMessage]):
    """Returns the classifications of the statements that a batch executes.

    If the batch executes none, returns those of all the statements that its
    messages refer to.
    """
    items = list(items)
    run = [i.prepared.statement for i in items if i.frame.kind == b"E"]
    named = [i.prepared.statement for i in items if i.prepared is not None]
    return run or named


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ExpectedReply:
    """The reply to one message, from the endpoint or from the proxy.

    Attributes:
        end_types: The message types that complete the reply.
        forward: Whether the reply is forwarded to the caller.
        local_reply: The reply that the proxy sends itself, b"" if the
            endpoint replies.
        prepares: The name of the statement that the connection has prepared
            once the reply is complete, b"" if none.
    """

    end_types: bytes = b""
    forward: bool = True
    local_reply: bytes = b""
    prepares: bytes = b""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RewrittenBatch:
    """A batch as it is sent to an endpoint connection.

    Attributes:
        out: The bytes to send.
        replies: The expected replies in order.
    """

    out: bytes
    replies: tuple[ExpectedReply, ...]


_END_TYPES = {b"D": b"Tn", b"E": b"CIs", b"Q": b"Z", b"S": b"Z"}


def rewrite(batch: Batch, known: collections.abc.Set[bytes]) -> RewrittenBatch:
    """Rewrites a batch for an endpoint connection.

    Args:
        batch: The batch.
        known: The names of the statements prepared on the connection.
    """
    out = bytearray()
    replies: list[ExpectedReply] = []
    known = set(known)
    for item in batch.items:
        _rewrite_message(item, out, replies, known)
    return RewrittenBatch(out=bytes(out), replies=tuple(replies))


def _rewrite_message(
    item: BatchMessage,
    out: bytearray,
    replies: list[ExpectedReply],
    known: set[bytes],
) -> None:
    frame = item.frame
    prepared = item.prepared
    match frame.kind:
        case b"P" if prepared and prepared.name in known:
            replies.append(ExpectedReply(local_reply=frames.make(b"1")))
        case b"P" if prepared:
            out += _parse_message(prepared)
            replies.append(
                ExpectedReply(end_types=b"1", prepares=prepared.name)
            )
            known.add(prepared.name)
        case b"B" if prepared:
            _ensure_prepared(prepared, out, replies, known)
            portal, _, rest = messages.split_bind(frame.body)
            body = portal + b"\0" + prepared.name + b"\0" + rest
            out += frames.make(b"B", body)
            replies.append(ExpectedReply(end_types=b"2"))
        case b"D" if prepared and frame.body[:1] == b"S":
            _ensure_prepared(prepared, out, replies, known)
            out += frames.make(b"D", b"S" + prepared.name + b"\0")
            replies.append(ExpectedReply(end_types=b"Tn"))
        case b"C" if frame.body[:1] == b"S":
            # The statement stays prepared on this connection, since other
            # callers may use it.
            replies.append(ExpectedReply(local_reply=frames.make(b"3")))
        case b"C":
            out += frame.data
            replies.append(ExpectedReply(end_types=b"3"))
        case b"H":
            out += frame.data
        case _:
            out += frame.data
            replies.append(ExpectedReply(end_types=_END_TYPES[frame.kind]))


def _ensure_prepared(
    prepared: PreparedStatement,
    out: bytearray,
    replies: list[ExpectedReply],
    known: set[bytes],
) -> None:
    if prepared.name in known:
        return
    out += _parse_message(prepared)
    replies.append(
        ExpectedReply(end_types=b"1", forward=False, prepares=prepared.name)
    )
    known.add(prepared.name)


def _parse_message(prepared: PreparedStatement) -> bytes:
    body = prepared.name + b"\0" + prepared.sql + b"\0" + prepared.param_types
    return frames.make(b"P", body)


def command_answer(batch: Batch, tag: str, state: bytes) -> bytes:
    """Returns the whole answer to a batch that the proxy completes itself.

    Args:
        batch: The batch.
        tag: The command tag, "" for an empty statement.
        state: The transaction status byte to report in ReadyForQuery.
    """
    done = messages.complete(tag) if tag else frames.make(b"I")
    return _local_answer(batch, frames.make(b"n"), b"", done, state)


def variable_answer(batch: Batch, name: str, value: str, state: bytes) -> bytes:
    """Returns the whole answer to a SHOW that the proxy answers itself.

    Args:
        batch: The batch.
        name: The variable's name, used as the column name.
        value: The variable's value.
        state: The transaction status byte to report in ReadyForQuery.
    """
    columns = messages.text_column(name)
    done = messages.text_row(value) + messages.complete("SHOW")
    return _local_answer(batch, columns, columns, done, state)


def _local_answer(
    batch: Batch, described: bytes, head: bytes, done: bytes, state: bytes
) -> bytes:
    out = bytearray()
    for item in batch.items:
        match item.frame.kind:
            case b"P":
                out += frames.make(b"1")
            case b"B":
                out += frames.make(b"2")
            case b"C":
                out += frames.make(b"3")
            case b"D":
                if item.frame.body[:1] == b"S":
                    out += frames.make(b"t", b"\0\0")
                out += described
            case b"E":
                out += done
            case b"Q":
                out += head + done + messages.ready(state)
            case b"S":
                out += messages.ready(state)
    return bytes(out)
