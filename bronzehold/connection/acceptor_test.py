import errno
import socket
import threading

import pytest

from bronzehold.connection import acceptor


class FakeListener:
    def __init__(self, results):
        self._results = list(results)

    def accept(self):
        result = self._results.pop(0)
        if isinstance(result, int):
            raise OSError(result, "failed")
        return result, ("127.0.0.1", 1)


@pytest.mark.parametrize(
    "number",
    [errno.EMFILE, errno.ENFILE, errno.ECONNABORTED, errno.ENOBUFS],
)
def test_connections_after_a_failed_accept_are_accepted(number):
    """Guards against LOST: a proxy without a listener still was ready."""
    accepted = []
    listener = FakeListener(["a", number, "b", errno.EBADF])
    acceptor.accept_until_closed(listener, accepted.append)
    assert accepted == ["a", "b"]


def test_closed_listener_ends_the_task():
    listener = socket.create_server(("127.0.0.1", 0))
    thread = threading.Thread(
        target=acceptor.accept_until_closed, args=(listener, lambda _: None)
    )
    thread.start()
    listener.shutdown(socket.SHUT_RDWR)
    listener.close()
    thread.join(2.0)
    assert not thread.is_alive()


def test_connections_in_the_backlog_are_accepted_before_the_port_closes():
    """Guards against resets of callers that connect just before a stop."""
    listener = socket.create_server(("127.0.0.1", 0))
    callers = [socket.create_connection(listener.getsockname()) for _ in "ab"]
    accepted = []
    acceptor.accept_pending(listener, accepted.append)
    listener.close()
    assert len(accepted) == len(callers)
    callers[0].sendall(b"hello")
    assert accepted[0].recv(5) == b"hello"


def test_connection_that_cannot_be_served_does_not_end_the_task():
    """Guards against LOST: no listener after a lack of threads."""
    near, far = socket.socketpair()
    accepted = []

    def serve(sock):
        if sock is near:
            raise RuntimeError("can't start new thread")
        accepted.append(sock)

    listener = FakeListener([near, "b", errno.EBADF])
    acceptor.accept_until_closed(listener, serve)
    assert accepted == ["b"]
    assert far.recv(1) == b""


def test_settled_listener_completes_no_new_connection():
    """Guards against a reset of connections that callers take for open."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = listener.getsockname()
        with socket.create_connection(address):
            acceptor.settle(listener)
            with pytest.raises(TimeoutError):
                socket.create_connection(address, timeout=0.2)
            accepted = []
            acceptor.accept_pending(listener, accepted.append)
        assert len(accepted) == 1
        accepted[0].close()
