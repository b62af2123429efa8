import resource
import socket

import pytest

from bronzehold.core import sockets

# The first descriptor that select() does not take.
SELECT_LIMIT = 1024


@pytest.fixture(name="pair")
def _pair():
    near, far = socket.socketpair()
    with near, far:
        yield near, far


def test_data_and_the_end_are_input(pair):
    near, far = pair
    assert not sockets.has_input(near)
    far.sendall(b"x")
    assert sockets.has_input(near)
    near.recv(1)
    far.close()
    assert sockets.has_input(near)


def test_descriptors_above_the_limit_of_select_are_taken(pair):
    """Guards against callers cut by ValueError in a process with many files."""
    near, far = pair
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    held = []
    try:
        while not held or held[-1].fileno() < SELECT_LIMIT:
            held.append(near.dup())
        far.sendall(b"x")
        assert sockets.has_input(held[-1])
    finally:
        for sock in held:
            sock.close()
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


def test_closed_socket_raises(pair):
    pair[0].close()
    with pytest.raises(ValueError, match="file descriptor"):
        sockets.has_input(pair[0])
