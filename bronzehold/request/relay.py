"""Sends one batch to an endpoint connection and forwards its answer.

Answers are forwarded in whole messages. For writes, everything from the first
message that reports a completed command or a mark on is held back until the
executor has verified that the proxy may acknowledge the write.
"""

import collections.abc
import dataclasses
import time

from bronzehold.connection import backend as backend_lib
from bronzehold.connection import control
from bronzehold.connection import frames
from bronzehold.connection import messages
from bronzehold.core import data
from bronzehold.request import batch as batch_lib

# An incomplete answer is forwarded in parts of at least this size.
FORWARD_THRESHOLD_BYTES = 32768
STOPPING_REASON = "the proxy is stopping"


class IncompleteAnswerError(Exception):
    """The connection failed or was abandoned before the answer was complete.

    Attributes:
        sent: Whether any byte of the request may have reached the endpoint.
        forwarded: Whether part of the answer was forwarded to the caller.
        reason: The cause, as text for the caller.
    """

    def __init__(self, reason: str, *, sent: bool, forwarded: bool):
        super().__init__(reason)
        self.sent = sent
        self.forwarded = forwarded
        self.reason = reason


@dataclasses.dataclass(frozen=True, kw_only=True)
class Answer:
    """A complete answer of an endpoint.

    Attributes:
        remaining: The bytes that were not forwarded to the caller yet.
        forwarded: Whether part of the answer was forwarded already.
        state: The transaction status byte of the last ReadyForQuery, b"" after
            a Flush.
        mark: The last mark that the endpoint reported, None if it reported
            none.
        sqlstate: The SQLSTATE of the error in the answer, "" for none.
        not_primary: Whether the endpoint refused the batch before running any
            of it, since it is not the primary.
        duration_s: Seconds from the request to the end of the answer.
        skipping: Whether the endpoint ignores messages until a Sync.
    """

    remaining: bytes
    forwarded: bool
    state: bytes
    mark: data.Mark | None
    sqlstate: str
    not_primary: bool
    duration_s: float
    skipping: bool


class Relay:
    """The exchange of one batch over one connection."""

    def __init__(
        self,
        *,
        backend: backend_lib.Backend,
        forward: collections.abc.Callable[[bytes], None],
        abort_reason: collections.abc.Callable[[], str],
        overdue: collections.abc.Callable[[], bool],
        hold_back: bool,
        skipping: bool = False,
        expect: collections.abc.Callable[[int], None] = lambda _: None,
    ):
        """Initializes the exchange.

        Args:
            backend: The connection.
            forward: Sends bytes to the caller.
            abort_reason: Called at intervals while the endpoint sends nothing;
                returns the reason to stop waiting, or "".
            overdue: Returns whether the proxy stops and must answer now; called
                before each wait for the endpoint.
            hold_back: Whether everything from the first completed command or
                reported mark on is held back.
            skipping: Whether the endpoint ignores messages until a Sync,
                after an error in an earlier batch.
            expect: Called with the bytes that the answer will take; may wait
                until there is room for them.
        """
        self._backend = backend
        self._forward = forward
        self._abort_reason = abort_reason
        self._overdue = overdue
        self._hold_back = hold_back
        self._holding = False
        self._out = bytearray()
        self._forwarded = False
        self._state = b""
        self._mark: data.Mark | None = None
        self._sqlstate = ""
        self._not_primary = False
        self._skipping = skipping
        self._expect = expect

    def run(
        self, rewritten: batch_lib.RewrittenBatch, ahead: tuple[bytes, ...] = ()
    ) -> Answer:
        """Sends a batch and reads its whole answer.

        Args:
            rewritten: The batch, rewritten for this connection.
            ahead: Query messages of the proxy to send before the batch; their
                answers are not forwarded.

        Raises:
            IncompleteAnswerError: The connection failed, or abort_reason ended
                the wait, before the answer was complete.
        """
        started = time.monotonic()
        hidden = tuple(
            batch_lib.ExpectedReply(end_types=b"Z", forward=False)
            for _ in ahead
        )
        try:
            self._backend.send(b"".join(ahead) + rewritten.out)
        except (frames.ClosedError, TimeoutError) as exc:
            raise self._incomplete(str(exc)) from exc
        self._read_replies(hidden + rewritten.replies)
        remaining = bytes(self._out)
        self._out.clear()
        return Answer(
            remaining=remaining,
            forwarded=self._forwarded,
            state=self._state,
            mark=self._mark,
            sqlstate=self._sqlstate,
            not_primary=self._not_primary,
            duration_s=time.monotonic() - started,
            skipping=self._skipping,
        )

    def _incomplete(self, reason: str) -> IncompleteAnswerError:
        return IncompleteAnswerError(
            reason, sent=True, forwarded=self._forwarded
        )

    def _read_replies(
        self, replies: tuple[batch_lib.ExpectedReply, ...]
    ) -> None:
        index = self._index_of_sync(replies, 0) if self._skipping else 0
        while index < len(replies):
            reply = replies[index]
            if reply.local_reply:
                self._out += reply.local_reply
                index += 1
                continue
            # A large frame is not kept during the wait for the next one.
            frame = None
            frame = self._next_frame()
            if frame.kind in reply.end_types:
                self._handle_reply_end(frame, reply)
                index += 1
            elif frame.kind == b"E":
                self._handle_error(frame, reply)
                index = self._index_of_sync(replies, index)
            else:
                self._handle_partial_reply(frame, reply)

    def _handle_error(
        self, frame: frames.Frame, reply: batch_lib.ExpectedReply
    ) -> None:
        if not reply.forward and reply.end_types == b"Z":
            # The batch depends on the proxy's own statement before it, so its
            # result must not be used.
            raise self._incomplete("a statement of the proxy's own failed")
        fields = messages.parse_error(frame.body)
        self._sqlstate = fields.get("C", "XX000")
        self._not_primary = (
            fields.get("M") == control.NOT_PRIMARY_MESSAGE
            and self._mark is None
        )
        self._skipping = reply.end_types != b"Z"
        self._out += frame.data

    def _index_of_sync(
        self, replies: tuple[batch_lib.ExpectedReply, ...], index: int
    ) -> int:
        while index < len(replies) and replies[index].end_types != b"Z":
            index += 1
        return index

    def _next_frame(self) -> frames.Frame:
        reader = self._backend.conn.reader
        while True:
            try:
                for frame in reader.buffered_frames(limit=1):
                    return frame
                self._fill(reader)
            except (frames.ClosedError, frames.FramingError) as exc:
                raise self._incomplete(str(exc)) from exc

    def _fill(self, reader: frames.Reader) -> None:
        self._forward_buffered()
        if self._overdue():
            raise self._incomplete(STOPPING_REASON)
        self._expect(len(self._out) + reader.expected_bytes())
        try:
            reader.fill()
        except TimeoutError:
            reason = self._abort_reason()
            if reason:
                raise self._incomplete(reason) from None

    def _handle_reply_end(
        self, frame: frames.Frame, reply: batch_lib.ExpectedReply
    ) -> None:
        if reply.prepares:
            self._backend.prepared.add(reply.prepares)
        if frame.kind == b"Z":
            self._state = frame.body
            self._skipping = False
        if frame.kind == b"C" and self._hold_back:
            self._holding = True
        if reply.forward:
            self._out += frame.data

    def _handle_partial_reply(
        self, frame: frames.Frame, reply: batch_lib.ExpectedReply
    ) -> None:
        match frame.kind:
            case b"S":
                name, value = messages.parse_parameter(frame.body)
                if name == control.MARK_PARAMETER:
                    self._mark = data.parse_mark(value) or self._mark
                    self._holding = self._holding or self._hold_back
                self._out += frame.data
                return
            case b"A":
                return
            case b"C" if self._hold_back:
                self._holding = True
        if reply.forward:
            self._out += frame.data

    def _forward_buffered(self) -> None:
        if self._holding or len(self._out) < FORWARD_THRESHOLD_BYTES:
            return
        out = bytes(self._out)
        self._out.clear()
        self._forwarded = True
        self._forward(out)
