"""Tests of what a planned stop still leaves without a true answer in time.

They were written by a reviewer; each fails on the code that it was written for.
"""

import signal
import socket
import threading
import time
import types

import pytest

from bench.soak import relay as relay_lib
from bronzehold.connection import forward_client
from bronzehold.connection import forwarding_runner
from bronzehold.connection import platform_blocks as blocks
from bronzehold.connection import platform_caller
from bronzehold.connection import platform_session
from bronzehold.core import clock
from bronzehold.core import routes
from bronzehold.core import statements
from bronzehold.platform import listener
from bronzehold.platform import local
from bronzehold.platform import wire
from bronzehold.process import byte_budget
from bronzehold.process import drain
from bronzehold.process import open_connections
from bronzehold.process import shutdown as shutdown_lib
from bronzehold.version import members as members_lib
from tests import platform_stop_test

STOP_S = platform_stop_test.STOP_S
ROUTE = routes.Route(
    name="r",
    database="d",
    service="s",
    freshness=routes.Latest(),
    timeout_s=60.0,
    target_latency_s=0.3,
    priority=1,
)


class EagerConn(listener.Conn):
    """A connection whose caller sends its next statement with each answer.

    A stop reaches the connection at the same moment.
    """

    def __init__(self, *, sock, caller_sock):
        super().__init__(sock=sock, reader=wire.LineReader(sock=sock))
        self._caller_sock = caller_sock
        self.on_answer = lambda: None

    def acknowledge(self, state):
        super().acknowledge(state)
        self._caller_sock.sendall(b"QUERY 2 BEGIN\r\n")
        self.on_answer()


def _read_all(sock):
    chunks = []
    try:
        while chunk := sock.recv(1000):
            chunks.append(chunk)
    except OSError as exc:
        chunks.append(f"<{type(exc).__name__}>".encode())
    return b"".join(chunks)


@pytest.mark.parametrize("stops", [True, False])
def test_statement_that_has_arrived_when_the_connection_closes_is_answered(
    stops,
):
    """Guards against a close that drops a statement behind an answered one."""
    near, far = socket.socketpair()
    far.settimeout(2.0)
    link = EagerConn(sock=near, caller_sock=far)
    shutdown = shutdown_lib.Shutdown()
    caller = platform_caller.Caller(
        link=link,
        database="d",
        key="",
        process=types.SimpleNamespace(
            name="p",
            shutdown=shutdown,
            rate_limiter=None,
            keys_confirmed=lambda: True,
            find_route=lambda _: ROUTE,
            service=lambda _: None,
            table=lambda: routes.Table(
                version=1,
                routes={"d": ROUTE},
                services={},
                idle_transaction_s=1.0,
            ),
            metrics=types.SimpleNamespace(record=lambda *_: None),
            timeline=types.SimpleNamespace(add_frequent=lambda _: None),
        ),
        name="s",
        links=None,
    )

    def stop():
        now = clock.now()
        shutdown.begin(
            shutdown_lib.Schedule(
                unconditional_until=now, answer_by=now + 1.0, exit_at=now + 2.0
            )
        )
        caller.stop()

    if stops:
        link.on_answer = stop
    else:
        # Without a stop, the second statement is served (control).
        link.on_answer = lambda: far.shutdown(socket.SHUT_WR)
        link.acknowledge = _acknowledge_once(link, link.acknowledge)
    far.sendall(b"QUERY 1 SET a 1\r\n")
    with near:
        caller.serve()
    answers = _read_all(far)
    assert answers.count(b"READY") == 2, answers


def _acknowledge_once(link, acknowledge):
    def call(state):
        link.acknowledge = lambda again: listener.Conn.acknowledge(link, again)
        acknowledge(state)

    return call


def test_statements_that_were_read_together_are_all_answered(tmp_path):
    """Guards against LOST: a whole statement in the buffer of a closed one."""
    with platform_stop_test.stopping_proxy(tmp_path) as (_, proxy):
        session = local.connect(proxy.caller_address, "latest")
        proxy.signal(signal.SIGTERM)
        # The port closes while the first of the two is under way.
        time.sleep(STOP_S * drain.UNCONDITIONAL_SHARE - 0.2)
        session.sock.sendall(b"QUERY 1 READ k\r\nQUERY 2 READ k\r\n")
        assert session.read_answer()[-1].startswith("READY")
        assert session.read_answer()[-1].startswith("READY")


# The attempts of a statement, 0.42 s each, begin at other moments before the
# last answers are due.
@pytest.mark.parametrize("offset_s", [0.0, 0.02, 0.04, 0.06, 0.08])
def test_stop_does_not_exit_during_a_new_connection_to_an_endpoint(
    tmp_path, offset_s
):
    """Guards against LOST: a dial takes longer than the time after deadlines.

    The primary accepts connections and does not answer STARTUP.
    """
    with platform_stop_test.stopping_proxy(tmp_path, work_s=0.0) as (
        deployment,
        proxy,
    ):
        deployment.configure(timeout_ms=60_000, target_latency_ms=60_000)
        time.sleep(0.5)
        session = local.connect(proxy.caller_address, "latest")
        proxy.signal(signal.SIGTERM)
        time.sleep(1.04 + offset_s)
        relay = deployment.relays[deployment.group.primary().name]
        relay.conditions = relay_lib.LinkConditions(outbound_stalled=True)
        relay.reset(1.0)
        assert session.execute("WRITE k 1")[-1].startswith("READY")


@pytest.fixture(name="silent_members")
def _silent_members():
    """Two proxies that accept connections and answer nothing."""
    servers = [socket.create_server(("127.0.0.1", 0)) for _ in "ab"]
    yield [
        members_lib.Member(
            name=f"p{number}",
            zone="z",
            address=f"127.0.0.1:{server.getsockname()[1]}",
        )
        for number, server in enumerate(servers)
    ]
    for server in servers:
        server.close()


def _make_read(links, monkeypatch, shutdown, timeout_s):
    runner = forwarding_runner.ForwardingRunner(
        session=platform_session.PlatformSession(name="s"), links=links
    )
    monkeypatch.setattr(runner._local, "read", lambda *_: "served here")
    context = blocks.StatementContext(
        route=ROUTE,
        service=types.SimpleNamespace(
            limits=None, budget=types.SimpleNamespace(deposit=lambda: None)
        ),
        timeout_at=clock.now() + timeout_s,
        shutdown=shutdown,
    )
    request = statements.Request(
        id="1", text="READ a", statement=statements.Read(), arrived=clock.now()
    )
    return lambda: runner.read(request, context, "")


def test_search_for_a_proxy_ends_with_the_statement(
    silent_members, monkeypatch
):
    """Guards against LOST: each silent proxy is tried after the deadline."""
    links = forward_client.Links(
        serving=types.SimpleNamespace(
            targets=lambda _: list(silent_members),
            may_be_starting=lambda: False,
            suspect=lambda *_: None,
        )
    )
    # A connection to each is idle for longer than needs no check.
    for member in silent_members:
        host, _, port = member.address.rpartition(":")
        sock = socket.create_connection((host, int(port)))
        link = forward_client.Link(target=member, sock=sock)
        link.idle_since -= 1.0
        links.release(link)
    timeout_s = 0.1
    read = _make_read(links, monkeypatch, shutdown_lib.Shutdown(), timeout_s)
    started = clock.now()
    read()
    late_s = clock.now() - started - timeout_s
    assert late_s < drain.ANSWER_RESERVE_S + drain.EXIT_RESERVE_S


class RefusingLinks:
    """Connections to a proxy that may be starting."""

    def targets(self, limits):
        del limits
        return [members_lib.Member(name="p1", zone="z", address="h:1")]

    def may_be_starting(self):
        return True

    def acquire(self, target):
        raise forward_client.RefusedError(target.name)

    def count(self, outcome):
        del outcome


def test_wait_for_a_starting_proxy_ends_when_a_stop_begins(monkeypatch):
    """Guards against LOST: a deadline that was read before the stop began."""
    shutdown = shutdown_lib.Shutdown()
    read = _make_read(RefusingLinks(), monkeypatch, shutdown, timeout_s=2.0)
    thread = threading.Thread(target=read)
    thread.start()
    now = clock.now()
    shutdown.begin(
        shutdown_lib.Schedule(
            unconditional_until=now, answer_by=now + 0.1, exit_at=now + 0.4
        )
    )
    thread.join(0.4)
    still_waiting = thread.is_alive()
    thread.join()
    assert not still_waiting


def test_connection_whose_task_cannot_start_holds_up_no_stop():
    """Guards against a list entry without a task, which nothing removes."""

    def spawn(name, task):
        del name, task
        raise RuntimeError("can't start new thread")

    process = types.SimpleNamespace(
        name="p",
        callers=open_connections.OpenConnections(),
        tasks=types.SimpleNamespace(spawn=spawn),
        limits=types.SimpleNamespace(callers=8),
        budget=byte_budget.UNLIMITED,
        timeline=None,
    )
    front = listener.Listener(
        host="127.0.0.1", port=0, process=process, links=None
    )
    near, _ = socket.socketpair()
    with pytest.raises(RuntimeError):
        front._spawn(near)
    front.close()
    assert process.callers.list() == []
