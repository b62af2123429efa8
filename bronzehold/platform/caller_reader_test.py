import contextlib
import socket
import threading

import pytest

from bronzehold.core import ports
from bronzehold.platform import caller_reader
from bronzehold.platform import wire
from bronzehold.process import byte_budget


@pytest.fixture(name="pair")
def _pair():
    near, far = socket.socketpair()
    with near, far:
        near.settimeout(5.0)
        yield near, far


def _reader(sock, total=64 << 20):
    budget = byte_budget.Budget(total=total, report=lambda *_: None)
    account = budget.open_account(lambda _: None)
    return caller_reader.CallerReader(sock=sock, account=account), budget


def _send(sock, data):
    def send():
        # The test may end before all is sent.
        with contextlib.suppress(OSError):
            sock.sendall(data)

    threading.Thread(target=send, daemon=True).start()


def test_longest_line_is_read_and_its_memory_given_back(pair):
    """Guards against refusing a legal line, and against leaks of the budget."""
    near, far = pair
    reader, budget = _reader(near)
    line = b"v" * wire.MAX_LINE_BYTES
    for _ in range(3):
        _send(far, line + b"\r\nnext\r\n")
        assert reader.read_line() == line
        assert budget.used() > wire.MAX_LINE_BYTES
        assert reader.read_line() == b"next"
        assert budget.used() == 0


def test_line_over_the_limit_ends_before_it_is_buffered(pair):
    """Guards against buffering more than a line may have."""
    near, far = pair
    reader, _ = _reader(near)
    _send(far, b"v" * (8 << 20))
    with pytest.raises(wire.ProtocolError):
        reader.read_line()
    assert len(reader._buf) <= wire.MAX_LINE_BYTES + len(wire.LINE_END)


def test_pipelined_lines_stay_in_the_socket(pair):
    """Guards against reading ahead of lines that wait for their turn."""
    near, far = pair
    reader, budget = _reader(near)
    _send(far, b"QUERY 1 READ x\r\n" * 100_000)
    for _ in range(5000):
        assert reader.read_line() == b"QUERY 1 READ x"
        assert len(reader._buf) <= 2 * caller_reader.SMALL_RECEIVE_BYTES
    assert budget.used() == 0


@pytest.mark.parametrize("timeout_s", [None, 5.0])
def test_line_that_is_not_completed_ends_the_connection(pair, timeout_s):
    """Guards against half messages that are kept for good."""
    near, far = pair
    near.settimeout(timeout_s)
    reader, _ = _reader(near)
    reader.message_timeout_s = 0.05
    far.sendall(b"QUERY 1 RE")
    with pytest.raises(ports.TransportError):
        reader.read_line()


def test_idle_timeout_within_a_line_keeps_what_has_arrived(pair):
    """Guards against a line that is cut by the timeout of a transaction."""
    near, far = pair
    near.settimeout(0.05)
    reader, _ = _reader(near)
    far.sendall(b"QUERY 1 RE")
    with pytest.raises(TimeoutError):
        reader.read_line()
    far.sendall(b"AD x\r\n")
    assert reader.read_line() == b"QUERY 1 READ x"


def test_aborted_line_is_not_returned(pair):
    """Guards against running a line whose sender was told that it was not."""
    near, far = pair
    reader, _ = _reader(near)
    _send(far, b"v" * 100_000 + b"\r\n")
    reader._account.is_aborted = True
    with pytest.raises(ports.TransportError):
        reader.read_line()
