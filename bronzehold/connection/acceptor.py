"""Accepts connections on a listening socket until it is closed."""

import collections.abc
import contextlib
import ctypes
import errno
import socket
import struct
import time

# Errors of a socket that was closed or shut down.
_CLOSED_ERRORS = (errno.EBADF, errno.EINVAL)
# Pause after any other error, such as a lack of descriptors, which passes.
RETRY_DELAY_S = 0.05
# Time for connections to arrive that were opened before new ones were refused.
SETTLE_S = 0.1
# The option of Linux that attaches a packet filter to a socket.
SO_ATTACH_FILTER = 26
# Instructions (code, jump if true, jump if false, operand): load the flags of
# the TCP header, and drop the packet if SYN is set, else keep all of it.
_DROP_SYN = (
    (0x30, 0, 0, 13),
    (0x45, 0, 1, 0x02),
    (0x06, 0, 0, 0),
    (0x06, 0, 0, 0xFFFFFFFF),
)


def accept_until_closed(
    listener: socket.socket,
    on_connection: collections.abc.Callable[[socket.socket], None],
) -> None:
    """Accepts connections; returns once the listening socket is closed.

    Args:
        listener: The listening socket.
        on_connection: Called with each new connection. The connection is
            closed if that raises RuntimeError, as without a new thread.
    """
    while True:
        try:
            sock, _ = listener.accept()
        except BlockingIOError:
            # accept_pending has taken the last connections.
            return
        except OSError as exc:
            if exc.errno in _CLOSED_ERRORS:
                return
            time.sleep(RETRY_DELAY_S)
            continue
        try:
            on_connection(sock)
        except RuntimeError:
            sock.close()
            time.sleep(RETRY_DELAY_S)


def accept_pending(
    listener: socket.socket,
    on_connection: collections.abc.Callable[[socket.socket], None],
) -> None:
    """Accepts the connections that are complete and not accepted yet.

    Closing the listening socket would reset them.

    Args:
        listener: The listening socket. It does not block any more afterwards.
        on_connection: Called with each new connection.
    """
    listener.setblocking(False)
    while True:
        try:
            sock, _ = listener.accept()
        except OSError:
            return
        sock.setblocking(True)
        on_connection(sock)


def settle(listener: socket.socket) -> None:
    """Lets a listening socket take no new connections, and waits for the rest.

    A client whose connection is opened afterwards tries again until the socket
    is closed, and is refused then. A socket that is closed without this resets
    connections that clients take for open. Systems other than Linux only wait.
    """
    code = b"".join(struct.pack("HBBI", *line) for line in _DROP_SYN)
    buffer = ctypes.create_string_buffer(code)
    program = struct.pack("HP", len(_DROP_SYN), ctypes.addressof(buffer))
    with contextlib.suppress(OSError):
        listener.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)
    time.sleep(SETTLE_S)
