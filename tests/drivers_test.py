"""System tests of unmodified PostgreSQL drivers through the proxy."""

import contextlib
import socket
import threading
import time

import pg8000.dbapi
import psycopg
import pytest

from bronzehold.connection import frames
from bronzehold.connection import messages

VALUE_BYTES = 16 << 20


@pytest.fixture(name="conn")
def _conn(deployment):
    """Opens a psycopg connection to the first proxy, in autocommit mode."""
    with psycopg.connect(deployment.url(0), autocommit=True) as conn:
        yield conn


@pytest.fixture(name="table", scope="module")
def _table(deployment):
    """Creates and fills the table that the module's tests share."""
    with psycopg.connect(deployment.url(0), autocommit=True) as conn:
        conn.execute("CREATE TABLE t (id INTEGER PRIMARY KEY, v TEXT)")
        conn.execute("INSERT INTO t VALUES (1, 'one'), (2, NULL)")


def pg8000_connect(deployment, proxy: int = 0):
    """Connects to a proxy with the pg8000 driver."""
    port = deployment.proxies[proxy].port
    return pg8000.dbapi.connect(
        user="app", host="127.0.0.1", port=port, database="mail"
    )


@contextlib.contextmanager
def _raw_connection(deployment):
    """Opens a connection without a driver, ready for its first query."""
    with socket.create_connection(
        ("127.0.0.1", deployment.proxies[0].port), 5
    ) as sock:
        sock.sendall(messages.startup({"user": "a", "database": "mail"}))
        reader = frames.Reader(sock=sock)
        while reader.read_frame().kind != b"Z":
            continue
        yield sock, reader


@pytest.mark.usefixtures("table")
class TestAnswers:
    """Drivers get the answers that a PostgreSQL server would give."""

    def test_nulls_and_empty_results_are_returned(self, conn, deployment):
        """Guards against altered NULL values and empty results."""
        conn.execute("SET bronzehold.max_age = 0")
        rows = conn.execute("SELECT v FROM t WHERE id = 2").fetchall()
        assert rows == [(None,)]
        assert conn.execute("SELECT v FROM t WHERE id = 9").fetchall() == []
        other = pg8000_connect(deployment)
        cur = other.cursor()
        cur.execute("SET bronzehold.max_age = 0")
        cur.execute("SELECT v FROM t WHERE id = %s", (2,))
        assert [tuple(row) for row in cur.fetchall()] == [(None,)]
        cur.execute("SELECT v FROM t WHERE id = %s", (9,))
        assert [tuple(row) for row in cur.fetchall()] == []
        other.close()

    def test_connection_is_usable_after_server_errors(self, conn, deployment):
        """Guards against a wrong SQLSTATE, or a connection lost by an error."""
        with pytest.raises(psycopg.errors.UniqueViolation):
            conn.execute("INSERT INTO t VALUES (1, 'again')")
        with pytest.raises(psycopg.errors.UndefinedTable):
            conn.execute("SELECT * FROM missing WHERE id = %s", (1,))
        with pytest.raises(psycopg.errors.SyntaxError):
            conn.execute("SELEKT 1")
        assert conn.execute("SELECT 1").fetchone() == (1,)
        other = pg8000_connect(deployment)
        cur = other.cursor()
        with pytest.raises(pg8000.dbapi.DatabaseError):
            cur.execute("SELECT * FROM missing")
        other.rollback()
        cur.execute("SELECT 1")
        assert cur.fetchone()[0] == 1
        other.close()

    def test_each_statement_of_one_query_is_answered(self, conn):
        """Guards against lost answers when one query has several statements.

        A query with a transaction must commit both rows, and one whose second
        statement fails must leave none.
        """
        cur = conn.execute("SELECT 1; SELECT 2")
        assert cur.fetchone() == (1,)
        assert cur.nextset()
        assert cur.fetchone() == (2,)
        conn.execute(
            "BEGIN; INSERT INTO t VALUES (70, 'a');"
            " INSERT INTO t VALUES (71, 'b'); COMMIT"
        )
        with pytest.raises(psycopg.errors.UniqueViolation):
            conn.execute(
                "INSERT INTO t VALUES (72, 'c'); INSERT INTO t VALUES (70, 'd')"
            )
        rows = conn.execute("SELECT id FROM t WHERE id >= 70").fetchall()
        assert sorted(rows) == [(70,), (71,)]

    def test_large_parameter_and_large_result(self, conn):
        """Guards against limits below 16 MiB for a parameter or a result."""
        conn.execute("INSERT INTO t VALUES (50, %s)", ("x" * VALUE_BYTES,))
        (value,) = conn.execute("SELECT v FROM t WHERE id = 50").fetchone()
        assert len(value) == VALUE_BYTES
        conn.execute("DELETE FROM t WHERE id = 50")

    def test_many_rows_are_returned_completely(self, conn):
        """Guards against rows lost or reordered in a result of 50,000 rows."""
        sql = (
            "WITH RECURSIVE n(i) AS (SELECT 1 UNION ALL "
            "SELECT i + 1 FROM n WHERE i < 50000) SELECT i FROM n"
        )
        rows = conn.execute(sql).fetchall()
        assert [row[0] for row in rows] == list(range(1, 50001))

    def test_prepared_statement_runs_on_any_pooled_connection(self, conn):
        """Guards against prepared statements unknown to a pooled connection.

        The proxy runs each execution on any of its connections, so that it must
        prepare the statement there first.
        """
        for i in range(12):
            found = conn.execute(
                "SELECT v FROM t WHERE id = %s", (1,), prepare=True
            ).fetchone()
            assert found == ("one",), i

    def test_pipeline_returns_the_answer_of_each_statement(self, conn):
        """Guards against answers of a pipeline that are lost or reordered."""
        with conn.pipeline():
            first = conn.execute("INSERT INTO t VALUES (80, 'p')")
            second = conn.execute("SELECT v FROM t WHERE id = 80")
            third = conn.execute("SELECT %s", ("z",))
        assert first.rowcount == 1
        assert second.fetchone() == ("p",)
        assert third.fetchone() == ("z",)

    def test_connection_is_usable_after_an_error_in_a_pipeline(self, conn):
        """Guards against a connection out of step after an error in a pipeline.

        The statements after the failed one are skipped until the next Sync.
        """
        with pytest.raises(psycopg.errors.UniqueViolation), conn.pipeline():
            conn.execute("INSERT INTO t VALUES (1, 'again')")
            conn.execute("SELECT 1")
        assert conn.execute("SELECT 5").fetchone() == (5,)

    def test_transactions_commit_and_roll_back(self, deployment):
        """Guards against lost commits and kept rollbacks."""
        with psycopg.connect(deployment.url(0)) as conn:
            with conn.transaction():
                conn.execute("SELECT 1")
                conn.execute("INSERT INTO t VALUES (90, 'kept')")
            conn.execute("INSERT INTO t VALUES (91, 'dropped')")
            conn.rollback()
            rows = conn.execute("SELECT id FROM t WHERE id >= 90").fetchall()
            assert rows == [(90,)]

    def test_failed_transaction_stays_failed_until_its_end(self, deployment):
        """Guards against running statements in a failed transaction."""
        with psycopg.connect(deployment.url(0)) as conn:
            with pytest.raises(psycopg.errors.UndefinedTable):
                conn.execute("SELECT * FROM missing")
            with pytest.raises(psycopg.errors.InFailedSqlTransaction):
                conn.execute("INSERT INTO t VALUES (95, 'x')")
            conn.rollback()
            assert conn.execute("SELECT 1").fetchone() == (1,)

    def test_binary_results_are_returned(self, conn):
        """Guards against results in text format when binary was requested."""
        cur = conn.cursor(binary=True)
        assert cur.execute("SELECT 7").fetchone() == (7,)


class TestRefusals:
    """Requests that the proxy refuses, and the errors for them."""

    @pytest.mark.parametrize(
        "sql",
        [
            "COPY t FROM STDIN",
            "LISTEN news",
            "CREATE TEMP TABLE x (id INT)",
            "PREPARE p AS SELECT 1",
            "SELECT set_config('a.b', 'c', false)",
            "SELECT pg_advisory_lock(1)",
        ],
    )
    def test_state_that_cannot_be_shared_is_refused(self, conn, sql):
        """Guards against statements whose state stays on a pooled connection.

        Such statements must be refused as not run; the connection stays usable.
        """
        with pytest.raises(psycopg.errors.FeatureNotSupported, match="not run"):
            conn.execute(sql)
        assert conn.execute("SELECT 1").fetchone() == (1,)

    def test_unknown_service_is_refused(self, deployment):
        """Guards against an unclear error for a service that doesn't exist."""
        url = deployment.url(0, "nothing")
        with pytest.raises(psycopg.OperationalError, match="does not exist"):
            psycopg.connect(url)

    def test_invalid_values_of_proxy_variables_are_refused(self, conn):
        """Guards against accepting invalid values of bronzehold.* variables."""
        for sql in (
            "SET bronzehold.max_age = 'soon'",
            "SET bronzehold.mark = 'x'",
            "SET bronzehold.other = '1'",
        ):
            with pytest.raises(psycopg.errors.InvalidParameterValue):
                conn.execute(sql)

    def test_proxy_variables_can_be_shown(self, conn):
        """Guards against forwarding SHOW for a variable of the proxy."""
        conn.execute("SET bronzehold.session = 's1'")
        found = conn.execute("SHOW bronzehold.session").fetchone()
        assert found == ("s1",)

    def test_connection_with_an_invalid_startup_is_closed(self, deployment):
        """Guards against keeping a connection open after invalid bytes."""
        for payload in (b"GET / HTTP/1.1\r\n\r\n", b"\0\0\0\1", b"\xff" * 64):
            with socket.create_connection(
                ("127.0.0.1", deployment.proxies[0].port), 5
            ) as sock:
                sock.sendall(payload)
                sock.settimeout(5)
                while sock.recv(1000):
                    continue


@pytest.mark.usefixtures("table")
class TestDisconnectsAndCancels:
    """Callers that disconnect or cancel affect only their own requests."""

    def test_transaction_of_a_disconnected_caller_is_rolled_back(
        self, deployment
    ):
        """Guards against a write lock kept for a disconnected caller."""
        conn = psycopg.connect(deployment.url(0))
        conn.execute("INSERT INTO t VALUES (200, 'gone')")
        conn.pgconn.finish()
        with psycopg.connect(deployment.url(0), autocommit=True) as other:
            # This insert waits for ever if the write lock isn't released.
            other.execute("INSERT INTO t VALUES (201, 'next')")
            rows = other.execute("SELECT id FROM t WHERE id = 200").fetchall()
        assert rows == []

    def test_caller_that_disconnects_in_its_answer_affects_no_other(
        self, deployment
    ):
        """Guards against delivering the rest of an answer to another caller.

        The caller disconnects after the first frame of a large result.
        """
        sql = (
            "WITH RECURSIVE n(i) AS (SELECT 1 UNION ALL SELECT i + 1 "
            "FROM n WHERE i < 60000) SELECT i, 'xxxxxxxxxxxxxxxxxxxx' FROM n"
        )
        with _raw_connection(deployment) as (sock, reader):
            sock.sendall(messages.query(sql))
            reader.read_frame()
        with psycopg.connect(deployment.url(0), autocommit=True) as conn:
            for _ in range(20):
                assert conn.execute("SELECT 3").fetchone() == (3,)

    def test_cancel_stops_the_statement_and_no_other(self, deployment):
        """Guards against a cancel that is ignored or stops a later statement.

        The second cancel arrives when no statement runs.
        """
        with psycopg.connect(deployment.url(0), autocommit=True) as conn:
            timer = threading.Timer(0.3, conn.cancel_safe)
            timer.start()
            started = time.monotonic()
            with pytest.raises(psycopg.errors.QueryCanceled):
                conn.execute(
                    "WITH RECURSIVE n(i) AS (SELECT 1 UNION ALL SELECT i + 1 "
                    "FROM n WHERE i < 200000000) SELECT count(*) FROM n"
                )
            assert time.monotonic() - started < 10
            conn.cancel_safe()
            assert conn.execute("SELECT 4").fetchone() == (4,)

    def test_cancel_through_another_proxy_stops_the_statement(self, deployment):
        """Guards against ignoring a cancel sent to another proxy.

        A load balancer may send the cancel request to any proxy.
        """
        with psycopg.connect(deployment.url(0), autocommit=True) as conn:
            pid, secret = next(
                c.key
                for c in deployment.proxies[0].all_callers()
                if c.key[0] == conn.info.backend_pid
            )

            def cancel():
                with socket.create_connection(
                    ("127.0.0.1", deployment.proxies[1].port), 5
                ) as sock:
                    sock.sendall(messages.cancel(pid, secret))

            threading.Timer(0.3, cancel).start()
            with pytest.raises(psycopg.errors.QueryCanceled):
                conn.execute(
                    "WITH RECURSIVE n(i) AS (SELECT 1 UNION ALL SELECT i + 1 "
                    "FROM n WHERE i < 200000000) SELECT count(*) FROM n"
                )


class TestIsolation:
    """The state of one session isn't visible to another."""

    def test_session_settings_do_not_leak(self, deployment):
        """Guards against settings that stay on a pooled connection."""
        with psycopg.connect(deployment.url(0), autocommit=True) as one:
            one.execute("SET my.colour = 'red'")
            shown = one.execute("SHOW my.colour").fetchone()
            assert shown == ("red",)
            with psycopg.connect(deployment.url(0), autocommit=True) as two:
                for _ in range(8):
                    shown = two.execute("SHOW my.colour").fetchone()
                    assert shown == ("",)
            assert one.execute("SHOW my.colour").fetchone() == ("red",)

    def test_rollback_restores_a_setting(self, deployment):
        """Guards against a setting that outlives its rollback."""
        with psycopg.connect(deployment.url(0), autocommit=True) as conn:
            conn.execute("SET my.colour = 'red'")
            conn.execute("BEGIN")
            conn.execute("SET my.colour = 'blue'")
            conn.execute("ROLLBACK")
            assert conn.execute("SHOW my.colour").fetchone() == ("red",)

    def test_prepared_statements_do_not_leak(self, deployment):
        """Guards against using a statement that another session prepared.

        A Bind of a name that other drivers use must fail with SQLSTATE 26000.
        """
        with _raw_connection(deployment) as (sock, reader):
            bind = frames.make(b"B", b"\0_pg3_0\0\0\0\0\0\0\0")
            sock.sendall(bind + frames.make(b"S"))
            frame = reader.read_frame()
            assert frame.kind == b"E"
            assert messages.parse_error(frame.body)["C"] == "26000"
            assert reader.read_frame().kind == b"Z"
