"""Questions about sockets that the standard library answers in part only."""

import select
import socket


def has_input(sock: socket.socket) -> bool:
    """Returns whether a read would return at once: data, an end or an error.

    It takes descriptors of any number, unlike select().

    Raises:
        ValueError: The socket is closed.
    """
    poller = select.poll()
    poller.register(sock, select.POLLIN)
    return bool(poller.poll(0))


def accepts_output(sock: socket.socket) -> bool:
    """Returns whether a short write would not wait.

    It takes descriptors of any number, unlike select().

    Raises:
        ValueError: The socket is closed.
    """
    poller = select.poll()
    poller.register(sock, select.POLLOUT)
    return bool(poller.poll(0))
