"""Accepts connections on a listening socket until it is closed."""

import collections.abc
import errno
import socket
import time

# Errors of a socket that was closed or shut down.
_CLOSED_ERRORS = (errno.EBADF, errno.EINVAL)
# Pause after any other error, such as a lack of descriptors, which passes.
RETRY_DELAY_S = 0.05


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
