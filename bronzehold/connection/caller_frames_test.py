import contextlib
import socket
import struct

import pytest

from bronzehold.connection import caller_frames
from bronzehold.connection import forward_codec as codec
from bronzehold.connection import frames
from bronzehold.connection import peer_reader
from bronzehold.core import clock
from bronzehold.process import byte_budget

MEBIBYTE = 1 << 20


@pytest.fixture(name="pair")
def _pair():
    near, far = socket.socketpair()
    with near, far:
        near.settimeout(5.0)
        yield near, far


def _budget():
    return byte_budget.Budget(total=8 * MEBIBYTE, report=lambda *_: None)


def _reader(kind, sock, budget):
    return kind(sock=sock, account=budget.open_account(lambda _: None))


def test_frame_beyond_the_memory_is_refused_at_its_header(pair):
    """Guards against buffering a frame of which 1 GiB is announced."""
    near, far = pair
    reader = _reader(caller_frames.CallerReader, near, _budget())
    far.sendall(b"Q" + struct.pack("!I", 1 << 30) + b"v")
    with pytest.raises(frames.FramingError):
        reader.read_frame()


def test_messages_of_a_request_are_charged_together(pair):
    """Guards against batches of small messages that never end."""
    near, far = pair
    budget = _budget()
    reader = _reader(caller_frames.CallerReader, near, budget)
    message = frames.make(b"P", b"v" * 20_000)
    reader.begin_request()
    for number in range(1, 20):
        far.sendall(message)
        reader.keep(reader.read_frame())
        assert budget.used() + byte_budget.FREE_BYTES >= number * 20_000
    reader.finish_request()
    reader.begin_request()
    assert budget.used() == 0


def test_small_frames_are_not_charged(pair):
    """Guards against ordinary statements that wait for memory."""
    near, far = pair
    budget = _budget()
    reader = _reader(caller_frames.CallerReader, near, budget)
    for _ in range(10):
        reader.begin_request()
        far.sendall(frames.make(b"Q", b"SELECT 1\0"))
        reader.keep(reader.read_frame())
        reader.finish_request()
        assert budget.used() == 0


def test_frame_that_is_not_completed_ends_the_connection(pair, monkeypatch):
    """Guards against half frames that are kept for good."""
    monkeypatch.setattr(caller_frames, "MESSAGE_TIMEOUT_S", 0.05)
    near, far = pair
    near.settimeout(None)
    reader = _reader(caller_frames.CallerReader, near, _budget())
    far.sendall(b"Q\0\0\0\x09SE")
    with pytest.raises(frames.ClosedError):
        reader.read_frame()


def test_message_of_a_peer_beyond_the_memory_is_refused(pair):
    """Guards against buffering a message of which 64 MiB are announced."""
    near, far = pair
    reader = _reader(peer_reader.PeerReader, near, _budget())
    far.sendall(codec.LENGTH.pack(codec.MAX_MESSAGE_BYTES) + b"v")
    with pytest.raises(codec.CodecError):
        reader.read()


def test_memory_of_a_message_of_a_peer_is_given_back(pair):
    """Guards against a budget that forwarded messages use up."""
    near, far = pair
    budget = _budget()
    reader = _reader(peer_reader.PeerReader, near, budget)
    body = b"v" * 60_000
    for _ in range(3):
        far.sendall(codec.LENGTH.pack(len(body)) + body)
        assert reader.read() == body
        assert budget.used() > 0
    near.settimeout(0.01)
    with pytest.raises(TimeoutError):
        reader.read()
    assert budget.used() == 0


def test_last_message_does_not_wait_for_a_caller_that_takes_nothing():
    """Guards against a memory budget that one caller keeps locked."""
    local_sock, _remote_sock = socket.socketpair()
    local_sock.setblocking(False)
    with contextlib.suppress(BlockingIOError):
        while True:
            local_sock.send(bytes(65536))
    local_sock.settimeout(5.0)
    started = clock.now()
    frames.send_last(local_sock, b"last")
    assert clock.now() - started < 2.0
