"""System tests of the isolation of sessions on shared connections.

The same generated histories run through two proxies and on direct connections
to a single endpoint, without pool and replicas. The results must be equal.
"""

import dataclasses
import threading

import hypothesis
from hypothesis import strategies
import psycopg
import pytest

from bronzehold.connection import blocks
from bronzehold.tools import local

SESSIONS = 3
KEYS = 4


@dataclasses.dataclass(frozen=True, kw_only=True)
class Step:
    """One action of one session.

    Attributes:
        session: The number of the session.
        action: One of ACTIONS.
        key: The key that the action reads or writes.
        proxy: The proxy to connect to if the session has no connection.
    """

    session: int
    action: str
    key: int = 0
    proxy: int = 0


ACTIONS = (
    "insert",
    "update",
    "count",
    "read",
    "begin",
    "commit",
    "rollback",
    "fail",
    "set",
    "show",
    "leave",
)
STEPS = strategies.lists(
    strategies.builds(
        Step,
        session=strategies.integers(0, SESSIONS - 1),
        action=strategies.sampled_from(ACTIONS),
        key=strategies.integers(1, KEYS),
        proxy=strategies.integers(0, 1),
    ),
    max_size=25,
)


@dataclasses.dataclass
class SessionSet:
    """The connections of the sessions of one history.

    Attributes:
        open: A function that opens the connection for a step.
        conns: The open connections by session.
        writer: Not used.
    """

    open: object
    conns: dict = dataclasses.field(default_factory=dict)
    writer: int | None = None

    def conn(self, step: Step):
        """Returns the connection of a step's session; opens it if needed."""
        if step.session not in self.conns:
            self.conns[step.session] = self.open(step)
        return self.conns[step.session]

    def close(self):
        for conn in self.conns.values():
            conn.close()


def run_step(session_set: SessionSet, step: Step) -> object:
    """Runs a step and returns the result that the caller sees."""
    conn = session_set.conn(step)
    if step.action == "leave":
        conn.close()
        del session_set.conns[step.session]
        return None
    try:
        cur = conn.execute(_sql(step))
        rows = cur.fetchall() if cur.description else None
    except psycopg.Error as exc:
        return exc.sqlstate, conn.info.transaction_status
    count = cur.rowcount if step.action in ("insert", "update") else None
    return rows, count, conn.info.transaction_status


def _sql(step: Step) -> str:
    """Returns the SQL text of a step."""
    owner = f"s{step.session}"
    match step.action:
        case "insert":
            return f"INSERT INTO m VALUES ({step.key}, '{owner}', 0)"
        case "update":
            return f"UPDATE m SET n = n + 1 WHERE id = {step.key}"
        case "count":
            return "SELECT count(*) FROM m"
        case "read":
            return "SELECT id, owner, n FROM m ORDER BY id"
        case "begin":
            return "BEGIN"
        case "commit":
            return "COMMIT"
        case "rollback":
            return "ROLLBACK"
        case "fail":
            return "SELECT * FROM missing"
        case "set":
            return f"SET my.owner = '{owner}'"
        case _:
            return "SHOW my.owner"


def drop_blocking_steps(steps: list[Step]) -> list[Step]:
    """Drops the steps that would wait for another session's write lock.

    The steps run one after the other in one thread, so a write that waits for
    another open transaction would wait for ever.
    """
    kept = []
    in_block: set[int] = set()
    lock_holder: int | None = None
    for step in steps:
        writes = step.action in ("insert", "update")
        if writes and lock_holder not in (None, step.session):
            continue
        kept.append(step)
        if step.action == "begin":
            in_block.add(step.session)
        elif step.action in ("commit", "rollback", "leave"):
            in_block.discard(step.session)
            lock_holder = None if lock_holder == step.session else lock_holder
        elif step.action == "fail" and lock_holder == step.session:
            lock_holder = None
        elif writes and step.session in in_block:
            lock_holder = step.session
    return kept


@pytest.fixture(name="direct_url", scope="module")
def _direct_url():
    """Runs a single endpoint and yields the address for direct connections."""
    with local.running(local.Shape(endpoints=1, proxies=0)) as running:
        server = running.servers["mail-0"]
        port = server.endpoint.settings.address.port
        yield f"host={local.HOST} port={port} user=app dbname=mail"


def _recreate_table(url: str):
    """Drops the table of the histories and creates it again."""
    with psycopg.connect(url, autocommit=True) as conn:
        conn.execute("DROP TABLE IF EXISTS m")
        conn.execute(
            "CREATE TABLE m (id INTEGER PRIMARY KEY, owner TEXT, n INT)"
        )


def compare(deployment, direct_url: str, steps: list[Step]):
    """Runs the steps through the proxies and directly, and compares results."""
    _recreate_table(deployment.url(0))
    _recreate_table(direct_url)

    def through_proxy(step: Step):
        conn = psycopg.connect(deployment.url(step.proxy), autocommit=True)
        conn.execute("SET bronzehold.max_age = 0")
        return conn

    session_sets = [
        SessionSet(open=through_proxy),
        SessionSet(
            open=lambda _step: psycopg.connect(direct_url, autocommit=True)
        ),
    ]
    try:
        for step in drop_blocking_steps(steps):
            proxied, direct = (
                run_step(session_set, step) for session_set in session_sets
            )
            assert proxied == direct, step
    finally:
        for session_set in session_sets:
            session_set.close()


@hypothesis.settings(max_examples=60)
@hypothesis.given(steps=STEPS)
def test_histories_match_those_of_a_direct_connection(
    deployment, direct_url, steps
):
    """Guards against mixing the state of sessions on pooled connections.

    Generated histories of three sessions must give the same results through two
    proxies as on direct connections.
    """
    compare(deployment, direct_url, steps)


def test_reuse_of_a_connection_in_a_transaction_is_detected(
    monkeypatch, deployment, direct_url
):
    """Shows that the comparison detects transactions that leak.

    Pooled connections aren't rolled back here, so that the next session gets a
    connection in the transaction of another.
    """
    monkeypatch.setattr(blocks, "roll_back", lambda _pinned: True)
    steps = [
        Step(session=0, action="begin"),
        Step(session=0, action="insert", key=1),
        Step(session=0, action="leave"),
        Step(session=1, action="insert", key=2),
        Step(session=1, action="rollback"),
        Step(session=2, action="count"),
    ]
    with pytest.raises(AssertionError):
        compare(deployment, direct_url, steps)
    for proxy in deployment.proxies:
        for pool in proxy.catalog.find("mail").pools():
            pool.close_idle()


def test_concurrent_transactions_are_atomic(deployment):
    """Guards against reads of a part of a transaction.

    Six callers write three rows in each transaction; some roll back or
    disconnect. Each transaction must be seen whole or not at all.
    """
    with psycopg.connect(deployment.url(0), autocommit=True) as conn:
        conn.execute("CREATE TABLE a (block TEXT, part INT)")
    partial_reads = []
    errors = []

    def write_transactions(number: int):
        try:
            write_twelve_transactions(number)
        except psycopg.Error as exc:
            errors.append(f"caller {number}: {exc.sqlstate} {exc}")

    def write_twelve_transactions(number: int):
        for i in range(12):
            conn = psycopg.connect(deployment.url(number % 2))
            block = f"{number}/{i}"
            for part in range(3):
                conn.execute(f"INSERT INTO a VALUES ('{block}', {part})")
            match i % 4:
                case 0:
                    conn.rollback()
                case 1:
                    conn.pgconn.finish()
                    continue
                case _:
                    conn.commit()
            rows = conn.execute(
                "SELECT block, count(*) FROM a GROUP BY block"
            ).fetchall()
            partial_reads.extend(row for row in rows if row[1] != 3)
            conn.close()

    threads = [
        threading.Thread(target=write_transactions, args=(n,)) for n in range(6)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert errors == []
    assert partial_reads == []
    with psycopg.connect(deployment.url(0), autocommit=True) as conn:
        conn.execute("SET bronzehold.max_age = 0")
        rows = conn.execute(
            "SELECT block, count(*) FROM a GROUP BY block"
        ).fetchall()
    assert {row[1] for row in rows} == {3}
    assert len(rows) == 6 * 6
