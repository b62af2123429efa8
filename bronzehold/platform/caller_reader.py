"""Receives the lines of callers within limits on memory and time."""

import collections.abc
import socket

from bronzehold.core import clock
from bronzehold.core import ports
from bronzehold.platform import wire
from bronzehold.process import byte_budget

# Statements are far shorter. A connection has at most this much of pipelined
# statements in memory.
SMALL_RECEIVE_BYTES = 8 * 1024
# A statement is decoded, split and encoded anew, and two of its copies remain
# while it runs.
COPIES = 3
LARGE_MESSAGE_BYTES = COPIES * wire.MAX_LINE_BYTES
# Maximum time from the first to the last byte of a message. Callers give up on
# a statement after seconds.
MESSAGE_TIMEOUT_S = 30.0


class StalledError(ports.TransportError):
    """A message that has begun was not completed in time."""


class CallerReader(wire.LineReader):
    """Splits the bytes of a caller into lines.

    Attributes:
        message_timeout_s: Maximum time from the first to the last byte of a
            line, without the waits for memory.
    """

    def __init__(self, *, sock: socket.socket, account: byte_budget.Account):
        super().__init__(sock=sock)
        self.message_timeout_s = MESSAGE_TIMEOUT_S
        self._account = account
        # Deadline of the line that has begun, None if none has.
        self._deadline: float | None = None

    def read_line(
        self, next_timeout_s: collections.abc.Callable[[], float] | None = None
    ) -> bytes:
        """Waits for one line; see wire.LineReader.read_line.

        Raises:
            ports.TransportError: The connection was lost.
            StalledError: A line was begun and not completed in time.
            TimeoutError: The socket's own timeout expired.
            byte_budget.ShortError: There was no memory for the line in time.
            wire.ProtocolError: The line exceeds wire.MAX_LINE_BYTES.
        """
        # The previous request has been answered.
        self._account.hold(len(self._buf), byte_budget.Phase.RECEIVING)
        line = super().read_line(next_timeout_s)
        self._deadline = None
        self._account.hold(
            COPIES * len(line) + len(self._buf), byte_budget.Phase.RUNNING
        )
        if self._account.is_aborted:
            # The caller may have been told that it was not run.
            raise StalledError("closed for lack of memory")
        return line

    def _receive(
        self, next_timeout_s: collections.abc.Callable[[], float] | None
    ) -> None:
        if self._buf:
            self._receive_rest(next_timeout_s)
        else:
            super()._receive(next_timeout_s)

    def _receive_rest(
        self, next_timeout_s: collections.abc.Callable[[], float] | None
    ) -> None:
        """Receives more of a line that has begun."""
        if self._deadline is None:
            self._deadline = clock.now() + self.message_timeout_s
        asked_at = clock.now()
        self._account.reserve(
            len(self._buf) + SMALL_RECEIVE_BYTES, LARGE_MESSAGE_BYTES
        )
        received_from = clock.now()
        self._deadline += received_from - asked_at
        remaining_s = self._deadline - received_from
        if remaining_s <= 0:
            raise StalledError("an incomplete message")
        timeout_s = self._sock.gettimeout()
        if timeout_s is None or timeout_s > remaining_s:
            self._sock.settimeout(remaining_s)
        try:
            super()._receive(next_timeout_s)
        except TimeoutError as exc:
            if clock.now() >= self._deadline:
                raise StalledError("an incomplete message") from exc
            raise
        finally:
            self._sock.settimeout(timeout_s)
        self._account.record_progress()

    def _next_size(self) -> int:
        """Returns the size of the next receive.

        Nothing is received that cannot belong to a line of legal size.
        """
        if self._account.covered == byte_budget.FREE_BYTES:
            return SMALL_RECEIVE_BYTES
        rest = wire.MAX_LINE_BYTES + len(wire.LINE_END) - len(self._buf)
        return max(1, min(wire.RECEIVE_BUFFER_BYTES, rest))
