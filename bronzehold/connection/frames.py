"""Framing of the PostgreSQL protocol over a blocking socket.

A frame consists of a type byte, a four-byte length that includes itself, and
a body. This module splits the byte stream into frames; the messages module
decodes the bodies.
"""

import collections.abc
import contextlib
import dataclasses
import socket
import struct

from bronzehold.core import sockets

HEADER = struct.Struct("!cI")
LENGTH = struct.Struct("!I")
HEADER_BYTES = HEADER.size
RECEIVE_BYTES = 65536
MAX_FRAME_BYTES = 1 << 30


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Frame:
    """A message of the protocol.

    Attributes:
        kind: The type byte, such as b"Q".
        data: The whole frame, header included.
    """

    kind: bytes
    data: bytes

    @property
    def body(self) -> bytes:
        """The frame without its header."""
        return self.data[HEADER_BYTES:]


def make(kind: bytes, body: bytes = b"") -> bytes:
    """Returns the bytes of a frame."""
    return HEADER.pack(kind, len(body) + LENGTH.size) + body


class ClosedError(Exception):
    """The peer closed the connection, or it was lost."""


class FramingError(Exception):
    """The peer sent a malformed or unexpected frame."""


class Reader:
    """Splits the bytes received on a socket into frames."""

    def __init__(self, *, sock: socket.socket):
        self._sock = sock
        self._buf = bytearray()

    def has_buffered(self) -> bool:
        """Returns whether the buffer holds unread bytes."""
        return bool(self._buf)

    def expected_bytes(self) -> int:
        """Returns the bytes that the next frame needs in the buffer."""
        size = len(self._buf)
        if size < HEADER_BYTES:
            return size
        _, length = HEADER.unpack_from(self._buf)
        return max(size, 1 + length)

    def fill(self) -> None:
        """Receives more bytes into the buffer.

        Raises:
            ClosedError: The connection was closed or lost.
            TimeoutError: The socket's timeout expired.
        """
        try:
            chunk = self._sock.recv(self._next_size())
        except TimeoutError:
            raise
        except OSError as exc:
            raise ClosedError(str(exc)) from exc
        if not chunk:
            raise ClosedError("closed by the other side")
        self._buf += chunk

    def _next_size(self) -> int:
        """Returns the maximum number of bytes to receive at once."""
        return RECEIVE_BYTES

    def read_exactly(self, count: int) -> bytes:
        """Reads an exact number of bytes that are not part of a frame."""
        while len(self._buf) < count:
            self.fill()
        taken = bytes(self._buf[:count])
        del self._buf[:count]
        return taken

    def read_startup(self, max_bytes: int) -> bytes:
        """Returns the body of a start-up packet, which has no type byte.

        Raises:
            FramingError: The packet is longer than max_bytes or too short.
        """
        (length,) = LENGTH.unpack(self.read_exactly(LENGTH.size))
        if not LENGTH.size <= length <= max_bytes:
            raise FramingError(f"start-up packet of {length} bytes")
        return self.read_exactly(length - LENGTH.size)

    def read_frame(self) -> Frame:
        """Waits for a complete frame and returns it."""
        while True:
            for frame in self.buffered_frames(limit=1):
                return frame
            self.fill()

    def buffered_frames(
        self, limit: int = 0
    ) -> collections.abc.Iterator[Frame]:
        """Yields the complete frames in the buffer.

        Args:
            limit: The maximum number of frames, 0 for all.
        """
        buf = self._buf
        start = 0
        taken = 0
        try:
            while len(buf) - start >= HEADER_BYTES:
                kind, length = HEADER.unpack_from(buf, start)
                if not LENGTH.size <= length <= MAX_FRAME_BYTES:
                    raise FramingError(f"frame of {length} bytes")
                end = start + 1 + length
                if len(buf) < end:
                    return
                with memoryview(buf) as view:
                    data = bytes(view[start:end])
                start = end
                taken += 1
                yield Frame(kind=kind, data=data)
                if taken == limit:
                    return
        finally:
            if start:
                del buf[:start]


def send(sock: socket.socket, data: bytes) -> None:
    """Sends all of the data.

    Raises:
        ClosedError: The connection was closed or lost.
        TimeoutError: The socket's timeout expired.
    """
    try:
        sock.sendall(data)
    except TimeoutError:
        raise
    except OSError as exc:
        raise ClosedError(str(exc)) from exc


def send_last(sock: socket.socket, data: bytes) -> None:
    """Sends data without waiting and ends the sending side; ignores errors."""
    with contextlib.suppress(OSError, ValueError):
        # A timeout of the socket would apply in spite of MSG_DONTWAIT.
        if sockets.accepts_output(sock):
            sock.send(data, socket.MSG_DONTWAIT)
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_WR)


def set_socket_options(sock: socket.socket) -> None:
    """Enables TCP_NODELAY and keepalive."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
