"""Tests of the stand-in endpoints themselves.

A fault of a stand-in shows up as a broken guarantee of the proxies, so the
contract of docs/ENDPOINTS.md is checked on it alone.
"""

import contextlib

import psycopg
import pytest

from bronzehold.tools import local


@contextlib.contextmanager
def _one_endpoint():
    """Runs a group of one endpoint without proxies."""
    with local.running(local.Shape(endpoints=1, proxies=0)) as deployment:
        yield deployment.servers["mail-0"].endpoint


def _connect(endpoint, **fields):
    """Opens a connection to an endpoint."""
    port = endpoint.settings.address.port
    return psycopg.connect(
        f"host={local.HOST} port={port} user=app dbname=mail", **fields
    )


def _rows(endpoint) -> list[int]:
    """Returns the rows that an endpoint holds."""
    with _connect(endpoint, autocommit=True) as conn:
        return [row[0] for row in conn.execute("SELECT id FROM t").fetchall()]


def test_transaction_of_an_older_term_leaves_no_row():
    """Guards against rows that no log entry holds.

    The endpoint is promoted again, in a later term, while a transaction is
    open. Its next statement and its commit must be refused, and none of its
    rows may be there.
    """
    with _one_endpoint() as endpoint:
        with _connect(endpoint, autocommit=True) as conn:
            conn.execute("CREATE TABLE t (id INT)")
        with _connect(endpoint) as conn:
            conn.execute("INSERT INTO t VALUES (1)")
            endpoint.fence(2)
            endpoint.promote(2)
            with pytest.raises(psycopg.Error) as caught:
                conn.execute("INSERT INTO t VALUES (2)")
            assert caught.value.sqlstate == "25006"
            conn.rollback()
        assert _rows(endpoint) == []
        entries = endpoint.storage.received
        with _connect(endpoint, autocommit=True) as conn:
            conn.execute("INSERT INTO t VALUES (3)")
        assert _rows(endpoint) == [3]
        assert endpoint.storage.received == entries + 1
