import contextlib
import ctypes
import threading
import time

import pytest

from bronzehold.core import errors
from bronzehold.core import ports
from bronzehold.process import connection_stock
from bronzehold.process import pool as pool_lib
from tests import helpers

ENDPOINT = helpers.endpoint("e")


class FakeConnection:
    def __init__(self):
        self.closed = False
        self.is_usable = True
        self.idle_since = time.monotonic()
        self.owner = ""

    def usable(self) -> bool:
        return self.is_usable

    def detach(self):
        return None

    def close(self):
        self.closed = True


def make_pool(connections: int = 2, slots: int = 2):
    opened = []

    def dial(_endpoint, _owner):
        opened.append(FakeConnection())
        return opened[-1]

    limits = pool_lib.Limits(connections=connections, slots=slots)
    return pool_lib.Pool(
        endpoint=ENDPOINT, dial=dial, limits=limits, queue_timeout_s=1.0
    ), opened


def deadline_in(seconds: float = 2.0) -> float:
    return time.monotonic() + seconds


def test_released_connection_is_reused():
    pool, opened = make_pool()
    for _ in range(3):
        conn = pool.acquire(session="a", deadline=deadline_in())
        pool.end_statement(0.001)
        pool.release(conn, reusable=True)
    assert len(opened) == 1


def test_unusable_connection_is_not_reused():
    pool, opened = make_pool()
    conn = pool.acquire(session="a", deadline=deadline_in())
    pool.end_statement(0.001)
    conn.is_usable = False
    pool.release(conn, reusable=True)
    assert pool.acquire(session="b", deadline=deadline_in()) is not conn
    assert conn.closed and len(opened) == 2


def test_request_expected_to_miss_its_deadline_is_refused_at_once():
    pool, _ = make_pool(slots=1)
    pool.acquire(session="a", deadline=deadline_in())
    pool.end_statement(0.0)
    pool._service_s = 10.0
    pool.start_statement()
    started = time.monotonic()
    with pytest.raises(errors.FailureError) as caught:
        pool.acquire(session="b", deadline=deadline_in(5.0))
    assert isinstance(caught.value.failure, errors.Overloaded)
    assert time.monotonic() - started < 1.0


def test_request_stops_waiting_at_its_deadline():
    pool, _ = make_pool(slots=1)
    pool.acquire(session="a", deadline=deadline_in())
    with pytest.raises(errors.FailureError):
        pool.acquire(session="b", deadline=deadline_in(0.1))
    assert pool.load().waiting == 0


def test_session_with_many_requests_does_not_delay_one_with_few():
    pool, _ = make_pool(connections=1, slots=1)
    order = []
    first = pool.acquire(session="x", deadline=deadline_in())

    def work(session: str):
        conn = pool.acquire(session=session, deadline=deadline_in(10))
        order.append(session)
        time.sleep(0.005)
        pool.end_statement(0.005)
        pool.release(conn, reusable=True)

    threads = [threading.Thread(target=work, args=("many",)) for _ in range(10)]
    for thread in threads:
        thread.start()
    time.sleep(0.1)
    last = threading.Thread(target=work, args=("few",))
    last.start()
    time.sleep(0.1)
    pool.end_statement(0.001)
    pool.release(first, reusable=True)
    for thread in [*threads, last]:
        thread.join()
    assert order.index("few") <= 2


def test_reduced_limits_close_idle_connections():
    pool, opened = make_pool()
    conns = [pool.acquire(session=s, deadline=deadline_in()) for s in "ab"]
    for conn in conns:
        pool.end_statement(0.001)
        pool.release(conn, reusable=True)
    pool.resize(pool_lib.Limits(connections=1, slots=1))
    assert sum(conn.closed for conn in opened) == 1


def _acquire_in_thread(pool, order, name, **fields):
    def run():
        # Requests still waiting at the end of the test are refused.
        with contextlib.suppress(errors.FailureError):
            pool.acquire(session=name, deadline=deadline_in(), **fields)
            order.append(name)

    thread = threading.Thread(target=run, daemon=True)
    thread.start()
    return thread


def _wait_for_queue(pool, length: int) -> None:
    end = time.monotonic() + 2.0
    while pool.load().waiting < length:
        assert time.monotonic() < end
        time.sleep(0.005)


def test_most_urgent_priority_is_served_first():
    pool, _ = make_pool(connections=1, slots=1)
    held = pool.acquire(session="first", deadline=deadline_in())
    order = []
    threads = []
    for number in range(5):
        threads.append(
            _acquire_in_thread(pool, order, f"low{number}", priority=2)
        )
        _wait_for_queue(pool, number + 1)
    threads.append(_acquire_in_thread(pool, order, "urgent", priority=0))
    _wait_for_queue(pool, 6)
    pool.end_statement(0.001)
    pool.release(held, reusable=True)
    end = time.monotonic() + 2.0
    while not order and time.monotonic() < end:
        time.sleep(0.005)
    assert order == ["urgent"]


def test_request_waits_no_longer_than_its_max_wait():
    pool, _ = make_pool(connections=1, slots=1)
    pool.acquire(session="first", deadline=deadline_in())
    began = time.monotonic()
    with pytest.raises(errors.FailureError):
        pool.acquire(session="read", deadline=deadline_in(), max_wait_s=0.05)
    assert time.monotonic() - began < 0.5
    assert pool.load().waiting == 0


def test_full_endpoint_is_not_dialled_for_every_waiting_request():
    calls = []

    def dial(_endpoint, _owner):
        calls.append(1)
        raise ports.DialError("full", ports.DialFailure.TOO_MANY_CONNECTIONS)

    limits = pool_lib.Limits(connections=8, slots=8)
    pool = pool_lib.Pool(
        endpoint=ENDPOINT, dial=dial, limits=limits, queue_timeout_s=1.0
    )
    end = time.monotonic() + 0.25

    def acquire_repeatedly():
        while time.monotonic() < end:
            with contextlib.suppress(ports.DialError, errors.FailureError):
                pool.acquire(
                    session="a", deadline=deadline_in(), max_wait_s=0.02
                )
            time.sleep(0.001)

    threads = [threading.Thread(target=acquire_repeatedly) for _ in range(8)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    # Without the pause of FULL_BACKOFF_S there would be hundreds of dials.
    assert len(calls) < 400


def test_preferred_idle_connection_is_chosen():
    pool, opened = make_pool(connections=3, slots=3)
    held = [pool.acquire(session="a", deadline=deadline_in()) for _ in range(3)]
    for conn in held:
        pool.end_statement(0.001)
        pool.release(conn, reusable=True)
    wanted = opened[0]
    chosen = pool.acquire(
        session="a", deadline=deadline_in(), prefer=lambda conn: conn is wanted
    )
    assert chosen is wanted


class LimitedEndpoint:
    """A fake endpoint that accepts connections up to a limit."""

    def __init__(self, limit: int):
        self.limit = limit
        self.dial_count = 0
        self.opened: list[FakeConnection] = []

    def dial(self, _endpoint, _owner):
        self.dial_count += 1
        if sum(not conn.closed for conn in self.opened) >= self.limit:
            raise ports.DialError(
                "full", ports.DialFailure.TOO_MANY_CONNECTIONS
            )
        self.opened.append(FakeConnection())
        return self.opened[-1]

    def pool(self, *, share: int, max_overflow: int):
        limits = pool_lib.Limits(
            connections=share, slots=9, max_overflow=max_overflow
        )
        return pool_lib.Pool(
            endpoint=ENDPOINT,
            dial=self.dial,
            limits=limits,
            queue_timeout_s=1.0,
        )


def _acquire(pool, count: int, max_wait_s: float = 0.3):
    return [
        pool.acquire(
            session=str(n), deadline=deadline_in(), max_wait_s=max_wait_s
        )
        for n in range(count)
    ]


def _release(pool, conns):
    for conn in conns:
        pool.end_statement(0.001)
        pool.release(conn, reusable=True)


def test_overflow_connections_are_opened_above_the_share():
    pool = LimitedEndpoint(limit=4).pool(share=1, max_overflow=3)
    held = _acquire(pool, 4)
    with pytest.raises(errors.FailureError):
        _acquire(pool, 1, max_wait_s=0.05)
    _release(pool, held)


def test_request_refused_an_overflow_connection_waits_for_an_open_one():
    endpoint = LimitedEndpoint(limit=1)
    pool = endpoint.pool(share=1, max_overflow=3)
    (held,) = _acquire(pool, 1)
    threading.Timer(0.1, _release, (pool, [held])).start()
    began = time.monotonic()
    assert _acquire(pool, 1) == [held]
    assert time.monotonic() - began < 0.25
    assert endpoint.dial_count == 2, (
        "a full endpoint is not dialled again at once"
    )
    assert not pool.share_refused()


def test_idle_overflow_connections_are_closed():
    pool = LimitedEndpoint(limit=4).pool(share=1, max_overflow=3)
    held = _acquire(pool, 3)
    _release(pool, held)
    for conn in held:
        conn.idle_since -= connection_stock.OVERFLOW_IDLE_S + 0.01
    pool.close_excess_idle()
    assert sum(not conn.closed for conn in held) == 1


def test_overflow_connections_are_closed_for_a_peer_below_its_share():
    endpoint = LimitedEndpoint(limit=2)
    with_overflow = endpoint.pool(share=1, max_overflow=1)
    peer = endpoint.pool(share=1, max_overflow=1)
    held = _acquire(with_overflow, 2)
    with pytest.raises((errors.FailureError, ports.DialError)):
        _acquire(peer, 1, max_wait_s=0.05)
    assert peer.share_refused() and not with_overflow.share_refused()
    with_overflow.release_overflow()
    _release(with_overflow, held[:1])
    assert held[0].closed, "an overflow connection is closed on release"
    (acquired,) = _acquire(peer, 1)
    _release(with_overflow, held[1:])
    assert not held[1].closed, "connections within the share stay open"
    with_overflow.release_overflow()
    with_overflow.close_excess_idle()
    assert not held[1].closed and not acquired.closed


class OwnedConnections:
    """Dials connections that belong to the workspace they are opened for."""

    def __init__(self):
        self.opened: list[FakeConnection] = []

    def dial(self, _endpoint, owner):
        conn = FakeConnection()
        conn.owner = owner
        self.opened.append(conn)
        return conn


def _owned_pool(dialer, connections):
    return pool_lib.Pool(
        endpoint=ENDPOINT,
        dial=dialer.dial,
        limits=pool_lib.Limits(connections=connections, slots=4),
        queue_timeout_s=1.0,
    )


def _use(pool, owner):
    conn = pool.acquire(session=owner, deadline=deadline_in(1), owner=owner)
    pool.end_statement(0.001)
    pool.release(conn, reusable=True)
    return conn


def test_a_connection_serves_only_the_workspace_it_was_opened_for():
    """Guards against statements under another workspace's name."""
    dialer = OwnedConnections()
    pool = _owned_pool(dialer, 4)
    first = _use(pool, "w1")
    assert _use(pool, "w2") is not first
    assert _use(pool, "w1") is first
    assert _use(pool, "") not in dialer.opened[:2]
    assert [conn.owner for conn in dialer.opened] == ["w1", "w2", ""]


def test_many_workspaces_take_turns_within_the_limit_of_connections():
    """Answers more workspaces than connections.

    The connection that was idle longest makes room, so a workspace that is
    busy keeps its own.
    """
    dialer = OwnedConnections()
    pool = _owned_pool(dialer, 3)
    busy = _use(pool, "busy")
    for number in range(20):
        _use(pool, f"w{number}")
        assert _use(pool, "busy") is busy
        assert pool.load().open <= 3
    assert sum(not conn.closed for conn in dialer.opened) <= 3


def test_workspaces_share_the_queue_evenly():
    """Answers one workspace with many requests before one with few."""
    dialer = OwnedConnections()
    pool = pool_lib.Pool(
        endpoint=ENDPOINT,
        dial=dialer.dial,
        limits=pool_lib.Limits(connections=8, slots=1),
        queue_timeout_s=5.0,
    )
    order = []

    def work(owner):
        conn = pool.acquire(session=owner, deadline=deadline_in(5), owner=owner)
        order.append(owner)
        pool.end_statement(0.001)
        pool.release(conn, reusable=True)

    held = pool.acquire(session="w0", deadline=deadline_in(5), owner="w0")
    threads = [
        threading.Thread(target=work, args=(owner,))
        for owner in ["many"] * 6 + ["few"] * 2
    ]
    for thread in threads:
        thread.start()
        time.sleep(0.01)
    pool.end_statement(0.001)
    pool.release(held, reusable=True)
    for thread in threads:
        thread.join()
    assert order.index("few") <= 1
    assert sorted(order[:4]) == ["few", "few", "many", "many"]


def test_pause_of_this_process_is_no_wait_for_the_endpoint():
    """Guards against refusals after a pause of the proxy, as on a busy machine.

    The queue had not moved since nothing of this process ran; it moves on as
    soon as the process does.
    """
    pool, _ = make_pool(connections=1, slots=1)
    pool.acquire(session="first", deadline=deadline_in())
    _acquire_in_thread(pool, [], "waiting")
    _wait_for_queue(pool, 1)
    # A C function that keeps the interpreter's lock, so no other thread runs.
    ctypes.PyDLL(None).usleep(300_000)
    _acquire_in_thread(pool, [], "late", max_expected_wait_s=0.15)
    _wait_for_queue(pool, 2)


def test_endpoint_that_serves_nothing_is_refused_for():
    """Shows that the queue of an endpoint that stands still is still seen."""
    pool, _ = make_pool(connections=1, slots=1)
    pool.acquire(session="first", deadline=deadline_in())
    _acquire_in_thread(pool, [], "waiting")
    time.sleep(0.3)
    with pytest.raises(errors.FailureError):
        pool.acquire(
            session="late", deadline=deadline_in(), max_expected_wait_s=0.15
        )
