"""System tests of the end of a planned stop on the PostgreSQL path.

Whatever a proxy has read gets an answer before the proxy exits, and so does a
caller that it has accepted.
"""

import contextlib
import dataclasses
import random
import socket
import threading
import time

import psycopg
import pytest

from bronzehold.connection import frames
from bronzehold.connection import messages
from bronzehold.core import settings
from bronzehold.process import peer_channels
from bronzehold.process import peer_server
from bronzehold.tools import local
from tests import helpers

ANNOUNCE_S = 0.1
STOP_S = 2.0
# The time from the start of a stop to the exit of a proxy that stays busy.
EXIT_S = ANNOUNCE_S + STOP_S
# The time before the exit at which the last answers are due.
RESERVE_S = 0.5
# Outlasts the stop.
LONG_S = 4.0
TIMING = settings.Timing(
    queue_ms=5000,
    announce_ms=int(ANNOUNCE_S * 1000),
    stop_ms=int(STOP_S * 1000),
)
SHAPE = local.Shape(proxies=2, timing=TIMING)
STOPPING = "57P01"
UNKNOWN = "08007"
LOST = "08006"
LOCKED = "55P03"
NO_PRIMARY = "57P03"
KEYS_PER_WRITER = 10_000
READ_S = 0.04
MAX_READS = 60
CUT = "connection closed without an answer"


@contextlib.contextmanager
def running_with_table(shape: local.Shape = SHAPE):
    """Runs a deployment with an empty table t."""
    with local.running(shape) as deployment:
        with psycopg.connect(deployment.url(1), autocommit=True) as conn:
            conn.execute("CREATE TABLE t (id INT)")
        yield deployment


def outcome_of(call) -> object:
    """Returns the result of a call, its SQLSTATE, or CUT."""
    try:
        return call()
    except psycopg.Error as exc:
        return exc.sqlstate or CUT


def execute(conn: psycopg.Connection, sql: str) -> object:
    """Returns the first value of a statement, "done", its SQLSTATE, or CUT."""

    def run():
        cursor = conn.execute(sql)
        return cursor.fetchone()[0] if cursor.description else "done"

    return outcome_of(run)


def count_rows(deployment, proxy: int = 1) -> int:
    """Returns the number of rows that t holds on the primary."""
    with psycopg.connect(deployment.url(proxy), autocommit=True) as conn:
        conn.execute("SET bronzehold.max_age = 0")
        return conn.execute("SELECT count(*) FROM t").fetchone()[0]


def begin_stop(proxy) -> float:
    """Starts a planned stop and returns the time of its start."""
    started_at = time.monotonic()
    proxy.drain()
    return started_at


def sleep_until(moment: float) -> None:
    """Sleeps until a time of time.monotonic()."""
    time.sleep(max(0.0, moment - time.monotonic()))


def read_all(sock: socket.socket) -> bytes:
    """Returns what arrives until the proxy closes its side."""
    sock.settimeout(EXIT_S * 3)
    received = b""
    with contextlib.suppress(ConnectionResetError):
        while chunk := sock.recv(frames.RECEIVE_BYTES):
            received += chunk
    return received


def sqlstates(received: bytes) -> list[str]:
    """Returns the SQLSTATEs of the errors in a proxy's output."""
    states = []
    while received:
        length = int.from_bytes(received[1:5], "big")
        if received[:1] == b"E":
            fields = messages.parse_error(received[frames.HEADER_BYTES :])
            states.append(fields["C"])
        received = received[1 + length :]
    return states


def open_raw(deployment, proxy: int = 0) -> socket.socket:
    """Opens a connection that is ready for queries."""
    sock = socket.create_connection(
        (local.HOST, deployment.proxies[proxy].port)
    )
    sock.sendall(messages.startup({"user": "app", "database": "mail"}))
    received = b""
    while not received.endswith(messages.ready(messages.IDLE)):
        received += sock.recv(frames.RECEIVE_BYTES)
    return sock


def delay_commits(deployment, seconds: float) -> None:
    """Lets the primary take a time for each commit."""
    endpoint = deployment.servers["mail-0"].endpoint
    real = endpoint.commit

    def commit(*args, **kwargs):
        time.sleep(seconds)
        return real(*args, **kwargs)

    endpoint.commit = commit


@pytest.mark.parametrize(
    "sql", ["SELECT 1, pg_sleep(0.5)", "INSERT INTO t SELECT pg_sleep(0.5)"]
)
def test_statement_just_before_the_exit_is_refused(sql):
    """Guards against a statement of a transaction that is sent on and cut."""
    with running_with_table() as deployment:
        conn = psycopg.connect(deployment.url(0))
        conn.execute("INSERT INTO t VALUES (1)")
        started_at = begin_stop(deployment.proxies[0])
        sleep_until(started_at + EXIT_S - 0.25)
        assert execute(conn, sql) == STOPPING
        assert count_rows(deployment) == 0


def test_commit_just_before_the_exit_is_refused_and_nothing_is_kept():
    """Guards against a COMMIT that runs on the endpoint and is cut."""
    with running_with_table() as deployment:
        conn = psycopg.connect(deployment.url(0))
        conn.execute("INSERT INTO t VALUES (1)")
        delay_commits(deployment, 0.5)
        started_at = begin_stop(deployment.proxies[0])
        sleep_until(started_at + EXIT_S - 0.25)
        assert outcome_of(conn.commit) == STOPPING
        time.sleep(1.0)
        assert count_rows(deployment) == 0


def test_commit_in_the_first_half_of_a_stop_is_run():
    """Guards against refusing what a stop still promises to accept."""
    with running_with_table() as deployment:
        conn = psycopg.connect(deployment.url(0))
        conn.execute("INSERT INTO t VALUES (1)")
        delay_commits(deployment, 0.3)
        started_at = begin_stop(deployment.proxies[0])
        sleep_until(started_at + EXIT_S / 2 - 0.2)
        assert outcome_of(conn.commit) is None
        assert count_rows(deployment) == 1


def test_statement_that_may_outlast_the_stop_is_refused_at_once():
    """Guards against a refusal that takes as long as the statement would."""
    with running_with_table() as deployment:
        conn = psycopg.connect(deployment.url(0))
        conn.execute("INSERT INTO t VALUES (1)")
        started_at = begin_stop(deployment.proxies[0])
        sleep_until(started_at + EXIT_S / 2 + 0.2)
        assert execute(conn, "SELECT 1") == STOPPING
        assert time.monotonic() < started_at + EXIT_S - RESERVE_S
        # The transaction holds no lock on the endpoint any more.
        with psycopg.connect(deployment.url(1), autocommit=True) as other:
            assert execute(other, "INSERT INTO t VALUES (2)") == "done"
        assert count_rows(deployment) == 1


def test_refusal_does_not_wait_for_an_endpoint_that_is_frozen():
    """Guards against a rollback that holds back the refusal until the exit."""
    with running_with_table() as deployment:
        conn = psycopg.connect(deployment.url(0))
        conn.execute("INSERT INTO t VALUES (1)")
        started_at = begin_stop(deployment.proxies[0])
        sleep_until(started_at + EXIT_S / 2 + 0.2)
        deployment.servers["mail-0"].endpoint.faults.change(frozen=True)
        assert execute(conn, "SELECT 1") == STOPPING


def test_statement_with_a_short_timeout_is_run_in_the_second_half_of_a_stop():
    """Guards against refusing statements that can still be answered."""
    service = dataclasses.replace(SHAPE.service, deadline_ms=200)
    shape = dataclasses.replace(SHAPE, service=service)
    with running_with_table(shape) as deployment:
        conn = psycopg.connect(deployment.url(0))
        conn.execute("INSERT INTO t VALUES (1)")
        started_at = begin_stop(deployment.proxies[0])
        sleep_until(started_at + EXIT_S / 2 + 0.1)
        assert execute(conn, "SELECT 1") == 1
        assert outcome_of(conn.commit) is None
        assert count_rows(deployment) == 1


@pytest.mark.parametrize(
    ("in_transaction", "sql", "outcome"),
    [
        (False, f"SELECT 1, pg_sleep({LONG_S})", LOST),
        (False, f"INSERT INTO t SELECT pg_sleep({LONG_S})", UNKNOWN),
        (True, f"INSERT INTO t SELECT pg_sleep({LONG_S})", LOST),
        (True, "COMMIT", UNKNOWN),
    ],
)
def test_statement_under_way_at_the_exit_gets_its_outcome(
    in_transaction, sql, outcome
):
    """Guards against cutting a statement that outlasts the stop."""
    with running_with_table() as deployment:
        conn = psycopg.connect(deployment.url(0), autocommit=not in_transaction)
        if in_transaction:
            conn.execute("INSERT INTO t VALUES (1)")
            delay_commits(deployment, LONG_S)
        begin_stop(deployment.proxies[0])
        assert execute(conn, sql) == outcome


def test_commit_that_no_replica_confirms_is_unknown_at_the_exit():
    """Guards against cutting a COMMIT that waits for its confirmation."""
    with running_with_table() as deployment:
        conn = psycopg.connect(deployment.url(0))
        conn.execute("INSERT INTO t VALUES (1)")
        begin_stop(deployment.proxies[0])
        for name in ("mail-1", "mail-2"):
            faults = deployment.servers[name].endpoint.faults
            faults.change(cut_in=frozenset({"mail-0"}), frozen=True)
        assert outcome_of(conn.commit) == UNKNOWN


def test_write_that_waits_for_a_primary_is_refused_before_the_exit():
    """Guards against a wait for a primary that outlasts the stop."""
    with running_with_table() as deployment:
        conn = psycopg.connect(deployment.url(0), autocommit=True)
        for name in ("mail-0", "mail-1"):
            deployment.servers[name].kill()
        time.sleep(1.0)
        deployment.proxies[0].drain()
        assert execute(conn, "INSERT INTO t VALUES (1)") == NO_PRIMARY


def test_transaction_that_stays_open_is_told_before_the_exit():
    """Guards against a bare close of a caller between two statements."""
    with running_with_table() as deployment:
        conn = psycopg.connect(deployment.url(0))
        conn.execute("INSERT INTO t VALUES (1)")
        deployment.proxies[0].drain()
        deployment.proxies[0].wait()
        assert execute(conn, "SELECT 1") == STOPPING
        assert count_rows(deployment) == 0


def test_idle_caller_is_told_before_a_short_stop_ends():
    """Guards against a bare close of an idle caller when a stop is short."""
    with running_with_table() as deployment:
        conn = psycopg.connect(deployment.url(0), autocommit=True)
        busy = psycopg.connect(deployment.url(0))
        busy.execute("INSERT INTO t VALUES (1)")
        deployment.proxies[0].drain()
        deployment.proxies[0].wait()
        assert execute(conn, "SELECT 1") == STOPPING


def test_half_a_statement_at_the_exit_is_told_to_be_not_run():
    """Guards against a bare close of a caller that is still sending."""
    with running_with_table() as deployment:
        with open_raw(deployment) as sock:
            sock.sendall(messages.query("INSERT INTO t VALUES (1)")[:-4])
            deployment.proxies[0].drain()
            assert sqlstates(read_all(sock)) == [STOPPING]
        assert count_rows(deployment) == 0


def test_pipeline_without_its_sync_at_the_exit_is_unknown():
    """Guards against telling a part of a pipeline to be not run."""
    with running_with_table() as deployment, open_raw(deployment) as sock:
        sock.sendall(
            frames.make(b"P", b"\0INSERT INTO t VALUES (1)\0\0\0")
            + frames.make(b"B", b"\0\0\0\0\0\0\0\0")
            + frames.make(b"E", b"\0\0\0\0\0")
            + frames.make(b"H")
        )
        time.sleep(0.5)
        deployment.proxies[0].drain()
        assert sqlstates(read_all(sock)) == [UNKNOWN]


@pytest.mark.parametrize("stop_ms", [2000, 8000])
@pytest.mark.parametrize("sent_bytes", [0, 10])
def test_caller_in_the_handshake_is_told(stop_ms, sent_bytes):
    """Guards against a bare close of a caller that is not yet connected."""
    timing = dataclasses.replace(TIMING, stop_ms=stop_ms)
    shape = dataclasses.replace(SHAPE, timing=timing)
    with local.running(shape) as deployment:
        address = (local.HOST, deployment.proxies[0].port)
        packet = messages.startup({"user": "app", "database": "mail"})
        with socket.create_connection(address) as sock:
            sock.sendall(packet[:sent_bytes])
            deployment.proxies[0].drain()
            assert sqlstates(read_all(sock)) == [STOPPING]


def test_callers_that_connect_as_the_port_closes_get_an_answer():
    """Guards against a reset of callers that the port has just accepted."""
    with running_with_table() as deployment:
        address = (local.HOST, deployment.proxies[0].port)
        packet = messages.startup({"user": "app", "database": "mail"})
        done = threading.Event()
        answers = []

        def connect_until_refused():
            while not done.is_set():
                try:
                    sock = socket.create_connection(address, timeout=0.5)
                except OSError:
                    return
                with sock:
                    with contextlib.suppress(OSError):
                        sock.sendall(packet + frames.make(b"X"))
                    answers.append(read_all(sock))

        threads = [
            threading.Thread(target=connect_until_refused) for _ in range(12)
        ]
        for thread in threads:
            thread.start()
        deployment.proxies[0].drain()
        deployment.proxies[0].wait()
        done.set()
        for thread in threads:
            thread.join()
        assert answers
        assert answers.count(b"") == 0


@pytest.mark.parametrize("stopping_count", [1, 2])
def test_stop_does_not_wait_for_a_peer_that_grants_no_lane(
    monkeypatch, stopping_count
):
    """Guards against a request that outlasts the stop in a call of a peer."""

    def hang(*_args):
        time.sleep(LONG_S)

    for call in ("TakeLane", "GiveLane"):
        monkeypatch.setattr(peer_server.PeerServicer, call, hang)
    monkeypatch.setattr(peer_channels, "CALL_TIMEOUT_S", LONG_S)
    with running_with_table() as deployment:
        conns = [psycopg.connect(deployment.url(i)) for i in (0, 1)]
        outcomes = []

        def run(conn):
            outcomes.append(execute(conn, f"SELECT 1, pg_sleep({LONG_S})"))

        for conn in conns:
            conn.execute("SELECT count(*) FROM t")
        threads = [threading.Thread(target=run, args=(c,)) for c in conns]
        for thread in threads:
            thread.start()
        time.sleep(0.3)
        for proxy in deployment.proxies[:stopping_count]:
            proxy.drain()
        for thread in threads:
            thread.join()
        served = [1] * (len(conns) - stopping_count)
        assert outcomes == [LOST] * stopping_count + served


class _Writer:
    """Runs transactions of one row each until the proxy refuses one.

    They last up to MAX_READS reads of READ_S, so that some of them are open at
    any moment of a stop.

    Attributes:
        outcomes: The outcome of the transaction of each row: "done", CUT, or
            the SQLSTATE of the statement that failed.
    """

    def __init__(self, *, url: str, number: int):
        self.outcomes: dict[int, object] = {}
        self._conn = psycopg.connect(url)
        self._number = number

    def run(self) -> None:
        rng = random.Random(self._number)
        for i in range(KEYS_PER_WRITER):
            key = self._number * KEYS_PER_WRITER + i
            outcome = self._run_transaction(key, rng.randrange(MAX_READS))
            self.outcomes[key] = outcome
            if outcome == LOCKED:
                self._conn.rollback()
            elif outcome != "done":
                return

    def _run_transaction(self, key: int, read_count: int) -> object:
        for _ in range(read_count):
            outcome = execute(self._conn, f"SELECT 1, pg_sleep({READ_S})")
            if outcome != 1:
                return outcome
        outcome = execute(self._conn, f"INSERT INTO t VALUES ({key})")
        if outcome != "done":
            return outcome
        return outcome_of(self._conn.commit) or "done"


def test_proxies_that_stop_at_once_cut_no_transaction():
    """Guards against a lost or wrong outcome when several proxies stop."""
    shape = dataclasses.replace(SHAPE, proxies=4)
    with running_with_table(shape) as deployment:
        writers = [
            _Writer(url=deployment.url(n % 3), number=n) for n in range(9)
        ]
        threads = [threading.Thread(target=w.run) for w in writers]
        for thread in threads:
            thread.start()
        time.sleep(2.0)
        for proxy in deployment.proxies[:3]:
            proxy.drain()
        for thread in threads:
            thread.join()
        with psycopg.connect(deployment.url(3), autocommit=True) as conn:
            conn.execute("SET bronzehold.max_age = 0")
            kept = {row[0] for row in conn.execute("SELECT id FROM t")}
        outcomes = {k: v for w in writers for k, v in w.outcomes.items()}
        assert CUT not in outcomes.values()
        done = {key for key, outcome in outcomes.items() if outcome == "done"}
        unknown = {k for k, outcome in outcomes.items() if outcome == UNKNOWN}
        assert done <= kept <= done | unknown
        assert done


def test_stop_ends_early_when_no_request_is_left():
    """Guards against a stop that waits for its whole time without need."""
    timing = dataclasses.replace(TIMING, stop_ms=20_000)
    shape = dataclasses.replace(SHAPE, timing=timing)
    with local.running(shape) as deployment:
        conn = psycopg.connect(deployment.url(0), autocommit=True)
        started_at = begin_stop(deployment.proxies[0])
        helpers.wait_for(lambda: deployment.proxies[0].port == 0)
        deployment.proxies[0].wait()
        assert time.monotonic() - started_at < 6
        assert execute(conn, "SELECT 1") == STOPPING
