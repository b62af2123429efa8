"""System tests of requests on the platform path."""

from concurrent import futures
import json
import time
import urllib.request

import pytest

from bronzehold.platform import local as platform_local
from tests import helpers


@pytest.fixture(name="deployment", scope="module")
def _deployment():
    """Runs a deployment that the module's tests share."""
    with platform_local.running() as running:
        yield running


def _runs_of(deployment, request: str) -> list:
    """Returns the runs of a request on the endpoints."""
    return [r for r in deployment.group.executed if r.request_id == request]


def test_a_write_is_read_back_on_every_kind_of_route(deployment):
    """Guards against reads that miss a write, on each kind of route.

    Routes that allow old reads get time for the replication.
    """
    for database in platform_local.DATABASES:
        session = deployment.connect(database)
        session.rows(f"WRITE {database}1 hello")
        time.sleep(0.05 if database == "own" else 1.6)
        assert session.rows(f"READ {database}1") == ["hello"]


def test_answers_carry_the_endpoints_mac_unchanged(deployment):
    """Guards against altering the MAC of an endpoint in an answer."""
    session = deployment.connect("own")
    name = session.send("READ x")
    complete = session.read_answer()[-2]
    run = _runs_of(deployment, name)[-1]
    assert complete == f"COMPLETE mac.{run.endpoint}.{name}"


def test_a_latest_read_runs_in_a_transaction_on_the_primary(deployment):
    """Guards against a latest read on a primary that was replaced.

    The read runs in a transaction, so that an endpoint that no longer leads
    refuses it.
    """
    session = deployment.connect("latest")
    name = session.send("READ x")
    session.read_answer()
    (run,) = _runs_of(deployment, name)
    assert run.endpoint == deployment.group.primary().name
    assert run.in_transaction


def test_bounded_reads_run_on_replicas(deployment):
    """Guards against loading the primary with reads that may be old."""
    session = deployment.connect("bounded")
    names = []
    for _ in range(10):
        names.append(session.send("READ x"))
        session.read_answer()
    primary = deployment.group.primary().name
    endpoints = [_runs_of(deployment, n)[-1].endpoint for n in names]
    assert primary not in endpoints


def test_session_values_apply_on_every_connection(deployment):
    """Guards against session values lost or mixed on shared connections."""
    one = deployment.connect("own")
    other = deployment.connect("own")
    one.rows("SET lang es")
    other.rows("SET lang mn")
    other.rows("SET zone 3")
    for _ in range(5):
        for session, expected in (
            (one, (("lang", "es"),)),
            (other, (("lang", "mn"), ("zone", "3"))),
        ):
            name = session.send("READ x")
            session.read_answer()
            assert _runs_of(deployment, name)[-1].values == expected


def test_prepared_names_of_two_sessions_do_not_collide(deployment):
    """Guards against running a statement that another session prepared.

    Two sessions prepare different statements under the same name.
    """
    one = deployment.connect("own")
    other = deployment.connect("own")
    one.rows("PARSE s READ q1")
    other.rows("PARSE s WRITE q2")
    other.rows("EXECUTE s pr1 there")
    time.sleep(0.05)
    other.rows("PARSE t READ q1")
    assert other.rows("EXECUTE t pr1") == ["there"]
    assert len(one.rows("EXECUTE s pr1")) == 1
    assert one.execute("EXECUTE none pr1")[0].startswith("ERROR NOSTMT")
    one.rows("DEALLOC s")
    assert one.execute("EXECUTE s pr1")[0].startswith("ERROR NOSTMT")


def test_a_transaction_stays_on_one_connection_and_commits_once(deployment):
    """Guards against a transaction split into several log entries."""
    session = deployment.connect("own")
    assert session.execute("BEGIN")[-1] == "READY T -"
    session.rows("WRITE t1 a")
    session.rows("WRITE t2 b")
    before = len(deployment.group.primary().log)
    assert session.execute("COMMIT")[-1] == "READY I -"
    assert len(deployment.group.primary().log) == before + 1
    time.sleep(0.05)
    assert session.rows("READ t2") == ["b"]


def test_a_rolled_back_transaction_writes_nothing(deployment):
    """Guards against writes that survive a rollback."""
    session = deployment.connect("own")
    session.rows("BEGIN")
    session.rows("WRITE gone a")
    session.rows("ROLLBACK")
    assert session.rows("READ gone") == [""]


def test_the_transaction_of_a_disconnected_caller_is_rolled_back(deployment):
    """Guards against writes kept for a caller that has disconnected."""
    session = deployment.connect("own")
    session.rows("BEGIN")
    session.rows("WRITE left a")
    session.sock.close()
    time.sleep(0.1)
    assert deployment.connect("own").rows("READ left") == [""]


def test_a_write_fails_a_read_only_transaction(deployment):
    """Guards against a write in a read-only transaction.

    The transaction fails and accepts nothing but its end.
    """
    session = deployment.connect("own")
    session.rows("BEGIN READ")
    session.rows("READ x")
    assert session.execute("WRITE x 1")[0].startswith("ERROR READONLY")
    assert session.execute("READ x")[0].startswith("ERROR MALFORMED")
    assert session.execute("ROLLBACK")[-1] == "READY I -"


def test_an_unknown_database_is_refused(deployment):
    """Guards against accepting a session for an unknown database."""
    with pytest.raises(
        platform_local.UnexpectedAnswerError, match="NODATABASE"
    ):
        deployment.connect("nowhere")


@pytest.mark.parametrize(
    "text",
    [
        "READ",
        "READ a b",
        "DROP x",
        "STATUS",
        "SINCE 1.1 READ a",
        "READ a\nQUERY 1 WRITE a b",
        "READ a\rb",
        "PARSE s MAYBE q",
    ],
)
def test_a_malformed_statement_reaches_no_endpoint(deployment, text):
    """Guards against forwarding malformed or injected statements.

    Some of the texts contain line ends, which would start another request on
    the connection to an endpoint.
    """
    session = deployment.connect("own")
    before = len(deployment.group.executed)
    assert session.execute(text)[0].startswith("ERROR MALFORMED")
    assert len(deployment.group.executed) == before
    session.rows("READ a")


def test_a_caller_cannot_use_the_request_id_of_the_proxy(deployment):
    """Guards against requests with the id that the proxy uses itself."""
    session = deployment.connect("own")
    session.sock.sendall(b"QUERY - READ a\r\n")
    assert session.read_answer()[0].startswith("ERROR MALFORMED")


def test_a_newer_routing_table_is_adopted_and_an_older_is_not(deployment):
    """Guards against missing a new routing table or reverting to an old one."""
    deployment.version += 5
    deployment.configure(timeout_ms=700)
    process = deployment.proxies[0].process
    helpers.wait_for(lambda: process.find_route("own").timeout_s < 0.75)
    # An older version that is read later isn't adopted.
    table = json.loads(deployment.store.value("op/config"))
    table["version"] -= 1
    table["routes"] = []
    deployment.store.put("op/config", json.dumps(table).encode())
    time.sleep(0.3)
    assert process.find_route("own") is not None


def test_invalid_listings_are_ignored(deployment):
    """Guards against losing valid endpoints to an invalid listing."""
    for key, value in {
        "servers/bad1": b"\xff\xfe",
        "servers/bad2": b'{"service": "grp"}',
        "servers/bad3": json.dumps(
            {"service": "grp", "address": 7, "state": "ready"}
        ).encode(),
    }.items():
        deployment.store.put(key, value)
    time.sleep(0.2)
    service = deployment.proxies[0].process.service(platform_local.SERVICE)
    assert set(service.group.listings()) == {"e1", "e2", "e3"}
    deployment.connect("own").rows("READ a")


def test_concurrent_callers_get_their_own_answers(deployment):
    """Guards against answers delivered to the wrong caller.

    Twelve callers write and read their own keys on shared connections.
    """
    wrong_answers = []

    def write_and_read(number: int) -> None:
        session = deployment.connect("own", number % 2)
        for turn in range(15):
            session.rows(f"WRITE k{number} v{turn}")
            if session.rows(f"READ k{number}") != [f"v{turn}"]:
                wrong_answers.append((number, turn))

    with futures.ThreadPoolExecutor(12) as executor:
        runs = [executor.submit(write_and_read, n) for n in range(12)]
    # An error of a caller's thread fails the test.
    for run in runs:
        run.result()
    assert not wrong_answers


def test_metrics_show_requests_groups_and_the_configuration(deployment):
    """Guards against metrics that are missing or renamed."""
    deployment.connect("own").rows("READ a")
    helpers.wait_for(deployment.proxies[0].gossip.live_peers)
    cfg = deployment.proxies[0].cfg
    url = f"http://{cfg.host}:{cfg.metrics_port}/metrics"
    with urllib.request.urlopen(url) as answer:
        text = answer.read().decode()
    for name in (
        'bronzehold_requests{endpoint="',
        'bronzehold_latency_ms{endpoint="',
        'bronzehold_term{service="grp"} 1.0',
        "bronzehold_config_version",
        "bronzehold_peers 1.0",
    ):
        assert name in text
