"""Receives the frames of callers within limits on memory and time."""

import socket

from bronzehold.connection import frames
from bronzehold.core import clock
from bronzehold.process import byte_budget

# Bytes received at once while nothing is charged for the connection.
SMALL_RECEIVE_BYTES = 8 * 1024
# A message is received, decoded and sent on.
COPIES = 3
# Maximum time from the first to the last byte of a message, without the waits
# for memory.
MESSAGE_TIMEOUT_S = 30.0


class CallerReader(frames.Reader):
    """Splits the bytes of a caller into frames.

    The messages of a request are charged together until the next request is
    begun.
    """

    def __init__(self, *, sock: socket.socket, account: byte_budget.Account):
        super().__init__(sock=sock)
        self._account = account
        # Bytes of the messages that the caller's task keeps.
        self._kept_bytes = 0
        # Deadline of the message that has begun, None if none has.
        self._deadline: float | None = None

    def begin_request(self) -> None:
        """Gives the memory of the previous request back."""
        self._kept_bytes = 0
        self._account.hold(len(self._buf), byte_budget.Phase.RECEIVING)

    def keep(self, frame: frames.Frame) -> None:
        """Charges a message until the next request."""
        self._kept_bytes += len(frame.data)

    def finish_request(self) -> None:
        """Notes that the request is complete and will run.

        Raises:
            frames.ClosedError: The connection was closed for lack of memory.
            byte_budget.ShortError: Answers overdraw the memory.
        """
        self._account.hold(
            COPIES * self._kept_bytes + len(self._buf),
            byte_budget.Phase.RUNNING,
        )
        if self._account.is_aborted:
            raise frames.ClosedError("closed for lack of memory")
        self._account.await_room()

    def read_frame(self) -> frames.Frame:
        """Waits for a complete frame and returns it.

        Raises:
            frames.ClosedError: The connection was closed or lost, or the frame
                was begun and not completed in time.
            frames.FramingError: The frame is invalid or too large.
            byte_budget.ShortError: There was no memory for it in time.
        """
        self._deadline = None
        return super().read_frame()

    def fill(self) -> None:
        """Receives more bytes; see frames.Reader.fill."""
        if not self._buf:
            if self._kept_bytes:
                self._reserve()
            super().fill()
            return
        if self._deadline is None:
            self._deadline = clock.now() + MESSAGE_TIMEOUT_S
        asked_at = clock.now()
        self._reserve()
        received_from = clock.now()
        self._deadline += received_from - asked_at
        self._fill_until(self._deadline)
        self._account.record_progress()

    def _reserve(self) -> None:
        size = len(self._buf)
        kept = COPIES * self._kept_bytes
        whole = size + SMALL_RECEIVE_BYTES
        if size >= frames.HEADER_BYTES:
            _, length = frames.HEADER.unpack_from(self._buf)
            whole = max(whole, COPIES * (1 + length))
            if kept + whole > self._account.total():
                raise frames.FramingError(
                    f"a message of {length} bytes is beyond the memory for it"
                )
        self._account.reserve(kept + size + SMALL_RECEIVE_BYTES, kept + whole)

    def _fill_until(self, deadline: float) -> None:
        remaining_s = deadline - clock.now()
        if remaining_s <= 0:
            raise frames.ClosedError("an incomplete message")
        timeout_s = self._sock.gettimeout()
        if timeout_s is None or timeout_s > remaining_s:
            self._sock.settimeout(remaining_s)
        try:
            super().fill()
        except TimeoutError as exc:
            if clock.now() >= deadline:
                raise frames.ClosedError("an incomplete message") from exc
            raise
        finally:
            self._sock.settimeout(timeout_s)

    def _next_size(self) -> int:
        if self._account.covered == byte_budget.FREE_BYTES:
            return SMALL_RECEIVE_BYTES
        return frames.RECEIVE_BYTES
