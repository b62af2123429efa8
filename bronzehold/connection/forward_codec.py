"""Messages between the proxy that a caller is connected to and one that serves.

A message is a protobuf message behind its length. Requests and replies are
decoded once, here, into the records of core/statements.py and core/routes.py;
whatever is malformed raises CodecError.
"""

import dataclasses
import json
import math
import socket
import struct
import typing

from google.protobuf import message

from bronzehold.connection import platform_session
from bronzehold.core import clock
from bronzehold.core import errors
from bronzehold.core import json_text
from bronzehold.core import ports
from bronzehold.core import routes
from bronzehold.core import statements
from bronzehold.process import token_messages
from bronzehold.proto import forward_pb2 as pb

LENGTH = struct.Struct("!I")
# An answer of an endpoint is at most 1 MiB a message and some of them.
MAX_MESSAGE_BYTES = 64 << 20
RECEIVE_BYTES = 65536
MICROSECONDS_PER_S = 1_000_000

_STATE_BY_NUMBER = {
    pb.IDLE: statements.TransactionState.IDLE,
    pb.OPEN: statements.TransactionState.OPEN,
    pb.FAILED: statements.TransactionState.FAILED,
}
_NUMBER_BY_STATE = {state: n for n, state in _STATE_BY_NUMBER.items()}
_FAILURE_BY_NAME = {
    failure.__name__: failure for failure in typing.get_args(errors.Failure)
}


class CodecError(Exception):
    """A message of another proxy is malformed."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Call:
    """A statement to forward.

    Attributes:
        request: The statement of the caller.
        route: The route of its database.
        deadline: The time by which it must be answered, in seconds of
            clock.now().
        block: How it relates to the transaction of the connection.
        read_only: Whether the transaction that it opens only reads.
        writes: Whether it writes.
        prepared_name: The shared name of the statement that it executes, ""
            for none.
        workspace: The workspace that it belongs to, "" for none.
        version: The version of the configuration that allowed it.
        redirected: Whether a proxy of another region redirected it.
    """

    request: statements.Request
    route: routes.Route
    deadline: float
    block: int = pb.NONE
    read_only: bool = False
    writes: bool = False
    prepared_name: str = ""
    workspace: str = ""
    version: int = 0
    redirected: bool = False

    @property
    def commits(self) -> bool:
        """Whether the statement is a COMMIT."""
        return isinstance(self.request.statement, statements.Commit)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Reply:
    """The outcome of a forwarded statement.

    Attributes:
        state: The state of the transaction after the statement.
        endpoint: The endpoint that was tried last.
        last_write: The position of the session's last write, None for none.
        answer: The answer of the endpoint, None if the statement failed.
        failure: The failure, None on success.
    """

    state: statements.TransactionState
    endpoint: str
    last_write: statements.LogPosition | None
    answer: statements.Completed | None = None
    failure: errors.Failure | None = None


# Framing.


def frame(packed: message.Message) -> bytes:
    """Returns the bytes of a message with its length."""
    body = packed.SerializeToString()
    return LENGTH.pack(len(body)) + body


class Reader:
    """Reads messages from a socket."""

    def __init__(self, *, sock: socket.socket):
        self._sock = sock
        self._buf = bytearray()

    def has_buffered_data(self) -> bool:
        """Returns whether received bytes wait to be read."""
        return bool(self._buf)

    def read(self) -> bytes:
        """Returns the body of the next message.

        Raises:
            TimeoutError: The socket's timeout expired; what has arrived stays
                in the buffer for the next call.
            ports.TransportError: The connection was lost or closed.
            CodecError: The message is too long.
        """
        self._fill_to(LENGTH.size)
        (length,) = LENGTH.unpack_from(self._buf)
        if length > MAX_MESSAGE_BYTES:
            raise CodecError(f"a message of {length} bytes")
        end = LENGTH.size + length
        self._fill_to(end)
        with memoryview(self._buf) as view:
            body = bytes(view[LENGTH.size : end])
        del self._buf[:end]
        return body

    def _fill_to(self, count: int) -> None:
        while len(self._buf) < count:
            self._fill()

    def _fill(self) -> None:
        try:
            chunk = self._sock.recv(RECEIVE_BYTES)
        except TimeoutError:
            raise
        except OSError as exc:
            raise ports.TransportError(str(exc)) from exc
        if not chunk:
            raise ports.TransportError("closed by the other proxy")
        self._buf += chunk


def parse_request(body: bytes) -> pb.Request:
    """Parses a request.

    Raises:
        CodecError: It is malformed.
    """
    request = pb.Request()
    try:
        request.ParseFromString(body)
    except message.DecodeError as exc:
        raise CodecError(str(exc)) from exc
    return request


# Requests.


def encode_call(
    call: Call, session: platform_session.PlatformSession
) -> pb.Request:
    """Encodes a statement and the session that it belongs to."""
    route = call.route
    remaining_s = max(0.0, call.deadline - clock.now())
    request = pb.Request(
        kind=_kind_of(call.request.statement),
        block=call.block,
        read_only=call.read_only,
        writes=call.writes,
        id=call.request.id,
        text=call.request.text,
        session=session.name,
        values=session.values,
        route=route.name,
        database=route.database,
        service=route.service,
        timeout_us=_microseconds(route.timeout_s),
        target_latency_us=_microseconds(route.target_latency_s),
        priority=route.priority,
        remaining_us=_microseconds(remaining_s),
        workspace=call.workspace,
        version=call.version,
        redirected=call.redirected,
    )
    match route.freshness:
        case routes.Latest():
            request.freshness = pb.LATEST
        case routes.Bounded(max_age_s=max_age_s):
            request.freshness = pb.BOUNDED
            request.max_age_us = _microseconds(max_age_s)
        case routes.OwnWrites(max_age_s=max_age_s):
            request.freshness = pb.OWN_WRITES
            request.max_age_us = _microseconds(max_age_s)
    _set_position(request.last_write, session.last_write)
    match call.request.statement:
        case statements.Execute(arguments=arguments):
            stored = session.find_prepared(call.prepared_name)
            request.arguments = arguments
            request.prepared.name = stored.shared_name
            request.prepared.writes = stored.writes
            request.prepared.shape = stored.shape
    return request


def _kind_of(statement: statements.Statement) -> int:
    match statement:
        case statements.Read():
            return pb.READ
        case statements.Write():
            return pb.WRITE
        case statements.Commit():
            return pb.COMMIT
        case statements.Execute():
            return pb.EXECUTE
        case _:
            raise ValueError(f"{type(statement).__name__} is not forwarded")


def _microseconds(seconds: float) -> int:
    return int(seconds * MICROSECONDS_PER_S)


def _set_position(
    target: pb.Position, position: statements.LogPosition | None
) -> None:
    if position is not None:
        target.term = position.term
        target.number = position.number
        target.SetInParent()


def _position(
    packed: message.Message, name: str
) -> statements.LogPosition | None:
    if not packed.HasField(name):
        return None
    position = getattr(packed, name)
    return statements.LogPosition(term=position.term, number=position.number)


def decode_call(request: pb.Request, arrived: float) -> Call:
    """Decodes the statement of a request.

    Args:
        request: The request.
        arrived: The time of its receipt, in seconds of clock.now().

    Raises:
        CodecError: It holds no statement.
    """
    statement: statements.Statement
    match request.kind:
        case pb.READ:
            statement = statements.Read()
        case pb.WRITE:
            statement = statements.Write()
        case pb.COMMIT:
            statement = statements.Commit()
        case pb.EXECUTE:
            statement = statements.Execute(
                name=request.prepared.name, arguments=request.arguments
            )
        case _:
            raise CodecError(f"a statement of kind {request.kind}")
    if request.block not in (pb.NONE, pb.FIRST, pb.NEXT):
        raise CodecError(f"a statement in block {request.block}")
    return Call(
        request=statements.Request(
            id=request.id,
            text=request.text,
            statement=statement,
            arrived=arrived,
        ),
        route=_decode_route(request),
        deadline=arrived + request.remaining_us / MICROSECONDS_PER_S,
        block=request.block,
        read_only=request.read_only,
        writes=request.writes,
        prepared_name=request.prepared.name,
        workspace=request.workspace,
        version=request.version,
        redirected=request.redirected,
    )


def _decode_route(request: pb.Request) -> routes.Route:
    max_age_s = request.max_age_us / MICROSECONDS_PER_S
    freshness: routes.Freshness
    match request.freshness:
        case pb.LATEST:
            freshness = routes.Latest()
        case pb.BOUNDED:
            freshness = routes.Bounded(max_age_s=max_age_s)
        case pb.OWN_WRITES:
            freshness = routes.OwnWrites(max_age_s=max_age_s)
        case _:
            raise CodecError(f"freshness {request.freshness}")
    return routes.Route(
        name=request.route,
        database=request.database,
        service=request.service,
        freshness=freshness,
        timeout_s=request.timeout_us / MICROSECONDS_PER_S,
        target_latency_s=request.target_latency_us / MICROSECONDS_PER_S,
        priority=request.priority,
    )


def apply_session(
    request: pb.Request, session: platform_session.PlatformSession
) -> None:
    """Gives a session the state that its caller's proxy has sent."""
    session.name = request.session
    session.values = dict(request.values)
    session.record_write(_position(request, "last_write"))
    if request.prepared.name:
        stored = platform_session.Prepared(
            writes=request.prepared.writes,
            shape=request.prepared.shape,
            shared_name=request.prepared.name,
        )
        session.names[stored.shared_name] = stored


# Tokens of a rate limit.


def encode_token_request(request: token_messages.TokenRequest) -> pb.Request:
    """Encodes a request for tokens."""
    return pb.Request(
        kind=pb.TOKENS,
        workspace=request.workspace,
        version=request.version,
        token_count=request.count,
        skipped=request.skipped,
        ended=request.ended,
        borrows=request.borrows,
        used=request.usage.slots,
        used_by=request.usage.limiter,
        used_slot=request.usage.last_slot,
        used_age_us=_microseconds(request.usage_age_s),
    )


def decode_token_request(request: pb.Request) -> token_messages.TokenRequest:
    """Decodes a request for tokens.

    Raises:
        CodecError: It asks for less than one.
    """
    if request.token_count < 1:
        raise CodecError(f"{request.token_count} tokens")
    return token_messages.TokenRequest(
        workspace=request.workspace,
        version=request.version,
        count=request.token_count,
        skipped=tuple(request.skipped),
        ended=tuple(request.ended),
        borrows=request.borrows,
        usage=_decode_usage(request),
        usage_age_s=max(0, request.used_age_us) / MICROSECONDS_PER_S,
    )


def _decode_usage(packed: pb.Request | pb.Reply) -> token_messages.Usage:
    if any(count < 0 for count in packed.used):
        raise CodecError("a negative number of operations")
    return token_messages.Usage(
        limiter=packed.used_by,
        last_slot=packed.used_slot,
        slots=tuple(packed.used),
    )


def encode_token_reply(reply: token_messages.TokenReply) -> pb.Reply:
    """Encodes the answer to a request for tokens."""
    # Rounded up, since zero stands for no decision.
    retry_after_us = math.ceil(reply.retry_after_s * MICROSECONDS_PER_S)
    return pb.Reply(
        granted=reply.granted,
        retry_after_us=retry_after_us,
        failure=errors.Stopping.__name__ if reply.is_leaving else "",
        used=reply.usage.slots,
        used_by=reply.usage.limiter,
        used_slot=reply.usage.last_slot,
    )


def decode_token_reply(body: bytes) -> token_messages.TokenReply:
    """Decodes the answer to a request for tokens.

    Raises:
        CodecError: It is malformed.
    """
    packed = pb.Reply()
    try:
        packed.ParseFromString(body)
    except message.DecodeError as exc:
        raise CodecError(str(exc)) from exc
    if packed.granted < 0 or packed.retry_after_us < 0:
        raise CodecError("a negative number of tokens or time")
    return token_messages.TokenReply(
        granted=packed.granted,
        retry_after_s=packed.retry_after_us / MICROSECONDS_PER_S,
        is_leaving=packed.failure == errors.Stopping.__name__,
        usage=_decode_usage(packed),
    )


# Replies.


def encode_reply(reply: Reply) -> pb.Reply:
    """Encodes the outcome of a statement."""
    packed = pb.Reply(
        state=_NUMBER_BY_STATE[reply.state], endpoint=reply.endpoint
    )
    _set_position(packed.last_write, reply.last_write)
    if reply.answer is not None:
        packed.body = reply.answer.body
        _set_position(packed.position, reply.answer.position)
    if reply.failure is not None:
        packed.failure = type(reply.failure).__name__
        fields = dataclasses.asdict(reply.failure)
        if isinstance(reply.failure, errors.EndpointError):
            fields["reason"] = reply.failure.reason.value
        packed.failure_fields = json.dumps(fields)
    return packed


def decode_reply(body: bytes) -> Reply:
    """Decodes the outcome of a statement.

    Raises:
        CodecError: It is malformed.
    """
    packed = pb.Reply()
    try:
        packed.ParseFromString(body)
    except message.DecodeError as exc:
        raise CodecError(str(exc)) from exc
    state = _STATE_BY_NUMBER.get(packed.state)
    if state is None:
        raise CodecError(f"state {packed.state}")
    position = _position(packed, "position")
    failure = _decode_failure(packed) if packed.failure else None
    answer = statements.Completed(
        body=packed.body, state=state, position=position
    )
    return Reply(
        state=state,
        endpoint=packed.endpoint,
        last_write=_position(packed, "last_write"),
        answer=answer if failure is None else None,
        failure=failure,
    )


def _decode_failure(packed: pb.Reply) -> errors.Failure:
    kind = _FAILURE_BY_NAME.get(packed.failure)
    if kind is None:
        raise CodecError(f"failure {packed.failure[:40]!r}")
    try:
        fields = json_text.parse(packed.failure_fields)
        if kind is errors.EndpointError:
            fields["reason"] = statements.RefusalReason(fields["reason"])
        failure = kind(**fields)
    except (ValueError, TypeError, KeyError) as exc:
        raise CodecError(f"fields of {packed.failure}: {exc}") from exc
    return failure
