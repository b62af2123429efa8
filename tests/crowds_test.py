"""Crowds of callers that misbehave, against processes on loopback addresses.

The tests check what does not depend on the speed of the machine: the process
runs, its resident memory and its descriptors stay under a bound, and ordinary
requests are answered while the crowd is still connected. The sizes of the
crowds and the bounds are those for which the faults were shown.
"""

import fcntl
import os
import pathlib
import random
import socket
import struct
import tempfile

import pytest

from tests import crowds
from tests import helpers

# A crowd holds back more than twice this memory where nothing limits it.
MAX_GROWTH_MIB = 48
# Messages, answers or half messages of up to 1 MiB.
LARGE_CROWD = 120
# Connections, more than the process has descriptors.
MANY = 700
# Descriptors that must stay free for endpoints, peers and the store.
MAX_OPEN = crowds.MAX_DESCRIPTORS - 32
STARTUP = b"STARTUP own k\r\n"
MESSAGE_BYTES = crowds.MEBIBYTE - 64
# Callers whose messages are all answered.
IDS_CROWD = 30
MESSAGES_PER_CALLER = 5
HALF_KIB = 512 * 1024

pytestmark = [pytest.mark.crowd, pytest.mark.timeout(150)]


@pytest.fixture(autouse=True)
def _alone():
    """Lets one of these tests run at a time, in any process of pytest."""
    path = pathlib.Path(
        tempfile.gettempdir(), f"bronzehold-crowds-{os.getuid()}"
    )
    with path.open("w") as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        yield


@pytest.fixture(name="proxy")
def _proxy(tmp_path):
    """Runs a process of the line protocol."""
    proxy = crowds.PlatformProxy(folder=tmp_path)
    yield proxy
    proxy.close()


@pytest.fixture(name="postgres")
def _postgres(tmp_path):
    """Runs a process of the PostgreSQL path."""
    proxy = crowds.PostgresProxy(folder=tmp_path)
    yield proxy
    proxy.close()


@pytest.fixture(name="gather")
def _gather():
    """Opens crowds, which are closed at the end of the test."""
    opened = []

    def gather(address, size):
        opened.append(crowds.Crowd(address=address, size=size))
        return opened[-1]

    yield gather
    for crowd in opened:
        crowd.close()


def _check(proxy):
    """Checks what must hold while a crowd is connected."""
    proxy.settle()
    _check_bounds(proxy)
    helpers.wait_for(proxy.serves, crowds.SERVED_TIMEOUT_S)
    if isinstance(proxy, crowds.PlatformProxy):
        helpers.wait_for(proxy.is_ready, crowds.SERVED_TIMEOUT_S)
    _check_bounds(proxy)


def _check_bounds(proxy):
    assert proxy.is_running()
    figures = f"{proxy.growth_mib():.0f} MiB, {proxy.descriptors()} descriptors"
    print(figures)
    assert proxy.growth_mib() <= MAX_GROWTH_MIB, figures
    assert proxy.descriptors() <= MAX_OPEN, figures


def _pieces(data: bytes, size: int) -> list[bytes]:
    return [data[at : at + size] for at in range(0, len(data), size)]


@pytest.mark.parametrize(
    "pieces",
    [
        pytest.param([b"v" * MESSAGE_BYTES], id="one-piece"),
        pytest.param(_pieces(b"v" * MESSAGE_BYTES, 50_000), id="pieces"),
        pytest.param([b"v" * (MESSAGE_BYTES // 2)], id="half"),
    ],
)
def test_legal_messages_that_are_held_back(proxy, gather, pieces):
    """Guards against memory for messages whose last byte never comes."""
    proxy.mark_start()
    crowd = gather(proxy.callers, LARGE_CROWD)
    crowd.push(STARTUP, b"QUERY 1 WRITE k ", *pieces)
    _check(proxy)


def test_whole_messages_at_once(proxy, gather):
    """Guards against memory for many large messages that arrive together."""
    proxy.mark_start()
    crowd = gather(proxy.callers, LARGE_CROWD)
    crowd.push(STARTUP, b"QUERY 1 WRITE k " + b"v" * MESSAGE_BYTES + b"\r\n")
    _check(proxy)


def test_one_large_message_is_served(proxy):
    """Guards against limits that refuse a legal message in a calm process."""
    for _ in range(10):
        proxy.store("large", MESSAGE_BYTES)


def test_messages_far_over_the_limit(proxy, gather):
    """Guards against memory for a line that is longer than any message."""
    proxy.mark_start()
    crowd = gather(proxy.callers, LARGE_CROWD)
    crowd.push(STARTUP, b"QUERY 1 WRITE k " + b"v" * (4 * crowds.MEBIBYTE))
    _check(proxy)


def test_first_lines_that_never_end(proxy, gather):
    """Guards against memory for connections before their start-up."""
    proxy.mark_start()
    crowd = gather(proxy.callers, LARGE_CROWD)
    crowd.push(b"STARTUP " + b"v" * MESSAGE_BYTES)
    _check(proxy)


def test_pipelined_reads_whose_answers_nobody_takes(proxy, gather):
    """Guards against memory for answers that wait for their readers."""
    proxy.store("big", HALF_KIB)
    proxy.mark_start()
    crowd = gather(proxy.callers, LARGE_CROWD)
    crowd.push(STARTUP, b"QUERY 1 READ big\r\n" * 50)
    _check(proxy)


def test_answers_that_are_taken_slowly(proxy, gather):
    """Guards against memory for answers of which little is read at a time."""
    proxy.store("big", HALF_KIB)
    proxy.mark_start()
    crowd = gather(proxy.callers, LARGE_CROWD)
    crowd.push(STARTUP, b"QUERY 1 READ big\r\n" * 50)
    for _ in range(20):
        crowd.read_some(100)
    _check(proxy)


def test_small_statements_pipelined_without_an_end(proxy, gather):
    """Guards against reading ahead of statements that wait for their turn."""
    proxy.mark_start()
    crowd = gather(proxy.callers, 400)
    crowd.push(STARTUP, b"QUERY 1 READ x\r\n" * 30_000)
    _check(proxy)


def test_session_values_without_an_end(proxy, gather):
    """Guards against memory for the state of sessions."""
    proxy.mark_start()
    crowd = gather(proxy.callers, 10)
    crowd.push(
        STARTUP,
        *(
            f"QUERY {n} SET name{n} {'v' * HALF_KIB}\r\n".encode()
            for n in range(30)
        ),
    )
    _check(proxy)


@pytest.mark.parametrize("first", [b"", b"STA", STARTUP], ids=repr)
def test_idle_callers_beyond_the_descriptors(proxy, gather, first):
    """Guards against idle or half-open callers that take all descriptors."""
    proxy.mark_start()
    gather(proxy.callers, MANY).push(first)
    _check(proxy)


def test_frames_of_peers_that_are_held_back(proxy, gather):
    """Guards against memory for frames of 64 MiB that are announced."""
    proxy.mark_start()
    crowd = gather(proxy.peers, LARGE_CROWD)
    frame = struct.pack("!I", 64 << 20)
    crowd.push(frame, *_pieces(b"v" * MESSAGE_BYTES, 50_000))
    _check(proxy)


def test_idle_peers_beyond_the_descriptors(proxy, gather):
    """Guards against connections of peers that take all descriptors."""
    proxy.mark_start()
    gather(proxy.peers, MANY).push(b"")
    _check(proxy)


def test_datagrams_that_cannot_be_read(proxy):
    """Guards against the end of the gossip by datagrams of other senders."""
    proxy.mark_start()
    source = random.Random(7)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        for size in range(3000):
            sock.sendto(source.randbytes(size), proxy.peers)
    _check(proxy)


@pytest.mark.parametrize("port", ["readiness", "metrics"])
def test_headers_without_an_end(proxy, gather, port):
    """Guards against memory for HTTP requests that never end."""
    proxy.mark_start()
    crowd = gather(getattr(proxy, port), 60)
    header = b"X-Header: " + b"v" * 60_000 + b"\r\n"
    crowd.push(b"GET /bronzehold/ready HTTP/1.1\r\n", header * 60)
    _check(proxy)


@pytest.mark.parametrize("port", ["readiness", "metrics"])
def test_idle_http_connections_beyond_the_descriptors(proxy, gather, port):
    """Guards against HTTP connections that take all descriptors."""
    proxy.mark_start()
    gather(getattr(proxy, port), MANY).push(b"GET ")
    _check(proxy)


def test_long_ids_of_refused_messages(proxy, gather):
    """Guards against memory for the ids of requests in kept events."""
    proxy.mark_start()
    crowd = gather(proxy.callers, IDS_CROWD)
    crowd.push(STARTUP)
    for _ in range(MESSAGES_PER_CALLER):
        crowd.push(b"QUERY " + b"x" * MESSAGE_BYTES + b"\r\n")
    _check(proxy)


def test_long_database_names_of_refused_callers(proxy, gather):
    """Guards against memory for the names that callers connect to."""
    proxy.mark_start()
    for _ in range(MESSAGES_PER_CALLER):
        crowd = gather(proxy.callers, IDS_CROWD)
        crowd.push(b"STARTUP " + b"x" * MESSAGE_BYTES + b" k\r\n")
    _check(proxy)


# The PostgreSQL path.


def _startup_packet() -> bytes:
    body = struct.pack("!I", 196608) + b"user\0app\0database\0mail\0\0"
    return struct.pack("!I", len(body) + 4) + body


def _query(text: bytes, missing: int = 0) -> bytes:
    """Returns a Query message; its last bytes may be missing."""
    data = b"Q" + struct.pack("!I", len(text) + 5) + text + b"\0"
    return data[: len(data) - missing]


def test_postgres_messages_that_are_held_back(postgres, gather):
    """Guards against memory for messages whose last byte never comes."""
    postgres.mark_start()
    crowd = gather(postgres.callers, LARGE_CROWD)
    message = _query(b"SELECT '" + b"v" * MESSAGE_BYTES + b"'", missing=1)
    crowd.push(_startup_packet(), *_pieces(message, 50_000))
    _check(postgres)


def test_postgres_messages_of_a_gibibyte(postgres, gather):
    """Guards against memory for messages that are announced as very large."""
    postgres.mark_start()
    crowd = gather(postgres.callers, LARGE_CROWD)
    message = b"Q" + struct.pack("!I", 1 << 30)
    crowd.push(_startup_packet(), message, b"v" * crowds.MEBIBYTE)
    _check(postgres)


def test_postgres_batches_without_an_end(postgres, gather):
    """Guards against memory for many messages before their Sync."""
    postgres.mark_start()
    crowd = gather(postgres.callers, LARGE_CROWD)
    body = b"\0SELECT '" + b"v" * 20_000 + b"'\0\0\0"
    message = b"P" + struct.pack("!I", len(body) + 4) + body
    crowd.push(_startup_packet(), *[message] * 50)
    _check(postgres)


def test_postgres_answers_that_nobody_takes(postgres, gather):
    """Guards against memory for answers that wait for their readers."""
    postgres.store(1, HALF_KIB)
    postgres.mark_start()
    crowd = gather(postgres.callers, LARGE_CROWD)
    crowd.push(_startup_packet(), _query(b"SELECT v FROM kept") * 50)
    _check(postgres)


def test_postgres_long_names_of_unknown_statements(postgres, gather):
    """Guards against memory for names in the events of failed requests."""
    postgres.mark_start()
    crowd = gather(postgres.callers, IDS_CROWD)
    crowd.push(_startup_packet())
    body = b"S" + b"x" * MESSAGE_BYTES + b"\0"
    describe = b"D" + struct.pack("!I", len(body) + 4) + body
    for _ in range(MESSAGES_PER_CALLER):
        crowd.push(describe + b"S" + struct.pack("!I", 4))
    _check(postgres)


@pytest.mark.parametrize(
    "first", [b"", _startup_packet()], ids=["open", "idle"]
)
def test_postgres_idle_callers_beyond_the_descriptors(postgres, gather, first):
    """Guards against idle or half-open callers that take all descriptors."""
    postgres.mark_start()
    gather(postgres.callers, MANY).push(first)
    _check(postgres)
