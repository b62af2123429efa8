import contextlib
import dataclasses
import socket
import threading
import time
import types

from bronzehold.connection import caller_closing
from bronzehold.connection import platform_caller
from bronzehold.core import clock
from bronzehold.core import errors
from bronzehold.core import routes
from bronzehold.core import statements
from bronzehold.platform import listener
from bronzehold.platform import wire
from bronzehold.process import shutdown as shutdown_lib


def _pair() -> tuple[listener.Conn, socket.socket]:
    local_sock, remote_sock = socket.socketpair()
    remote_sock.settimeout(2.0)
    return listener.Conn(
        sock=local_sock, reader=wire.LineReader(sock=local_sock)
    ), remote_sock


def test_received_request_is_answered_after_shutdown():
    # A stop of the proxy shuts down the receiving side of the connection, with
    # a request already in the socket's buffer.
    conn, caller = _pair()
    caller.sendall(b"QUERY 5c0e READ 1a4\r\n")
    conn.stop_receiving()
    req = conn.receive(1.0)
    assert req is not None
    assert req.id == "5c0e"
    conn.complete(b"COMPLETE 7.1\r\n", statements.TransactionState.IDLE)
    assert caller.recv(100) == b"COMPLETE 7.1\r\nREADY I -\r\n"
    assert conn.receive(1.0) is None


def test_idle_connection_ends_after_shutdown():
    conn, _ = _pair()
    conn.stop_receiving()
    assert conn.receive(1.0) is None


class FakeProcess:
    """The process as a new connection sees it."""

    def __init__(self, *, stops=False):
        self.name = "p"
        self.shutdown = shutdown_lib.Shutdown()
        if stops:
            now = clock.now()
            self.shutdown.begin(
                shutdown_lib.Schedule(
                    unconditional_until=now, answer_by=now + 1, exit_at=now + 2
                )
            )

    def table(self):
        return routes.EMPTY_TABLE


def _connection(process):
    with socket.create_server(("127.0.0.1", 0)) as server:
        remote_sock = socket.create_connection(server.getsockname(), 2.0)
        local_sock, _ = server.accept()
    connection = listener.CallerConnection(
        sock=local_sock, number=1, process=process, links=None
    )
    return connection, remote_sock


def test_late_startup_at_a_stop_is_refused():
    """Guards against a session that ends with its first statement unread."""
    connection, caller = _connection(FakeProcess(stops=True))
    caller.sendall(b"STARTUP d test\r\n")
    connection.serve()
    assert caller.recv(100) == b"ERROR BUSY not run: proxy p is stopping\r\n"
    assert caller.recv(100) == b""


def test_new_connection_gets_time_for_its_startup():
    """Guards against resets of callers that connect just before a stop."""
    connection, caller = _connection(FakeProcess())
    connection.stop()
    caller.sendall(b"STARTUP d test\r\n")
    connection.serve()
    assert caller.recv(100).startswith(b"ERROR NODATABASE")


def test_connection_without_a_startup_does_not_hold_up_a_stop(monkeypatch):
    connection, caller = _connection(FakeProcess())
    monkeypatch.setattr(caller_closing, "QUIET_S", 0.0)
    connection.stop()
    connection.serve()
    assert caller.recv(100) == b""


def test_last_message_does_not_wait_for_a_caller_that_takes_nothing():
    """Guards against a memory budget that one caller keeps locked.

    The connection is ended under the lock of the budget, while its socket has
    the timeout of the message that it receives.
    """
    local_sock, _remote_sock = socket.socketpair()
    local_sock.setblocking(False)
    with contextlib.suppress(BlockingIOError):
        while True:
            local_sock.send(bytes(65536))
    local_sock.settimeout(5.0)
    started = clock.now()
    listener.send_last(local_sock, errors.MemoryShort(purpose="the message"))
    assert clock.now() - started < 2.0


class KeyProcess(FakeProcess):
    """A process whose configuration knows the key until it is revoked."""

    rate_limiter = None
    timeline = types.SimpleNamespace(add_frequent=lambda _: None)
    metrics = types.SimpleNamespace(record=lambda *_: None)

    def __init__(self):
        super().__init__()
        route = routes.Route(
            name="r",
            database="d",
            service="s",
            freshness=routes.Latest(),
            timeout_s=1.0,
            target_latency_s=0.3,
            priority=0,
        )
        workspace = routes.Workspace(name="w", rate_per_s=None, burst=0.0)
        self.known = dataclasses.replace(
            routes.EMPTY_TABLE,
            routes={"d": route},
            workspaces={"w": workspace},
            workspace_by_key={"k": "w"},
        )
        self.current = self.known

    def table(self):
        return self.current

    def service(self, name):
        return None


def test_session_ends_if_its_key_is_valid_again_after_the_announcement():
    """Guards against a session that never accepts its valid key again.

    The close after a revocation was announced, and the key put back into the
    configuration before it. Nothing then closed the connection.
    """
    process = KeyProcess()
    conn, remote_sock = _pair()
    caller = platform_caller.Caller(
        link=conn,
        database="d",
        key="k",
        process=process,
        name="c",
        links=None,
    )
    task = threading.Thread(target=caller.serve, daemon=True)
    task.start()
    time.sleep(caller_closing.QUIET_S + 0.02)
    process.current = dataclasses.replace(
        process.known, version=1, workspace_by_key={}
    )
    caller.end_if_revoked()
    process.current = dataclasses.replace(process.known, version=2)
    remote_sock.sendall(b"QUERY 1 READ a\r\n")
    time.sleep(caller_closing.CROSSING_S)
    caller.end_if_revoked()
    task.join(2.0)
    assert not task.is_alive()
    assert remote_sock.recv(1000).startswith(b"ERROR DENIED")


class RaceProcess(KeyProcess):
    """A process whose route stops being public beside a statement's checks."""

    def __init__(self):
        super().__init__()
        self.used = []
        route = dataclasses.replace(self.known.routes["d"], public=True)
        self.current = dataclasses.replace(
            self.known, version=1, routes={"d": route}
        )

    def find_route(self, database):
        self.current = dataclasses.replace(self.known, version=2)
        return self.current.routes.get(database)

    def service(self, name):
        self.used.append(name)


def test_route_that_is_no_longer_public_is_not_used_without_a_key():
    """Guards against a key check and a route of different configurations."""
    process = RaceProcess()
    conn, remote_sock = _pair()
    caller = platform_caller.Caller(
        link=conn,
        database="d",
        key="unknown",
        process=process,
        name="c",
        links=None,
    )
    remote_sock.sendall(b"QUERY 1 READ a\r\n")
    conn.stop_receiving()
    caller.serve()
    assert remote_sock.recv(1000).startswith(b"ERROR DENIED")
    assert "s" not in process.used


def test_begin_on_a_route_that_is_no_longer_public_is_denied():
    process = RaceProcess()
    conn, remote_sock = _pair()
    caller = platform_caller.Caller(
        link=conn,
        database="d",
        key="unknown",
        process=process,
        name="c",
        links=None,
    )
    remote_sock.sendall(b"QUERY 1 BEGIN\r\n")
    conn.stop_receiving()
    caller.serve()
    assert remote_sock.recv(1000).startswith(b"ERROR DENIED")
