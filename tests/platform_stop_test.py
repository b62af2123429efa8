"""System tests of planned stops of proxy processes on the platform path.

A statement that a proxy has read gets a whole answer, whatever its connection
did before and however close the exit is.
"""

import contextlib
import signal
import socket
import time

import pytest

from bench.soak import deployment as deployment_lib
from bronzehold.core import ports
from bronzehold.platform import local

STOP_S = 4.0
# Endpoints need this long for a statement, half of its timeout.
WORK_S = 0.4
ANNOUNCEMENT = b"ERROR BUSY not run: proxy p0 is stopping\r\n"


@contextlib.contextmanager
def stopping_proxy(folder, work_s=WORK_S):
    """Runs a proxy process in a deployment with slow endpoints."""
    deployment = deployment_lib.Deployment(
        folder=folder, proxies=1, seed=1, stop_s=STOP_S, work_s=work_s
    )
    try:
        deployment.start()
        yield deployment, deployment.processes[0]
    finally:
        deployment.close()


# A caller's READ is sent this long before the end of the stop time.
@pytest.mark.parametrize("before_end_s", [1.5, 1.0, 0.8, 0.7, 0.65])
def test_statement_of_a_transaction_is_answered_just_before_the_exit(
    tmp_path, before_end_s
):
    """Guards against LOST: a stop that cuts a statement it has sent on.

    Issue 28: transactions were still open when the process was to exit, and
    their statements were sent on until then.
    """
    with stopping_proxy(tmp_path) as (deployment, proxy):
        session = local.connect(proxy.caller_address, "own", "late")
        session.rows("BEGIN")
        proxy.signal(signal.SIGTERM)
        stopped_at = time.monotonic()
        time.sleep(STOP_S / 4)
        session.rows("READ k")
        time.sleep(stopped_at + STOP_S - before_end_s - time.monotonic())
        try:
            answer = session.execute("READ k")
        except ports.TransportError:
            # The connection was closed before.
            time.sleep(2 * WORK_S)
            ran = {run.request_id for run in deployment.group.executed}
            assert f"late.{session.sent_count}" not in ran
        else:
            assert answer[-1].startswith("READY")


def test_late_statement_is_refused_and_its_transaction_rolled_back(tmp_path):
    """Guards against LOST: statements accepted without time for an answer.

    Their timeout of 0.8 s ends after the last answers are due.
    """
    with stopping_proxy(tmp_path, work_s=0.0) as (deployment, proxy):
        sessions = [local.connect(proxy.caller_address, "own") for _ in "ab"]
        for session in sessions:
            session.rows("BEGIN")
            session.rows("WRITE k 1")
        proxy.signal(signal.SIGTERM)
        time.sleep(STOP_S - 1.2)
        refusal, ready = sessions[0].execute("WRITE k 2")
        assert refusal.startswith("ERROR BUSY not run")
        assert ready.startswith("READY E")
        assert sessions[0].execute("ROLLBACK")[-1].startswith("READY I")
        refusal, ready = sessions[1].execute("COMMIT")
        assert refusal.startswith("ERROR BUSY not run")
        assert ready.startswith("READY I")
        assert proxy.wait_for_exit(STOP_S)
        assert deployment.group.primary().log == []


@pytest.mark.parametrize(
    ("database", "begin", "statement", "code"),
    [
        ("latest", None, "WRITE k 1", "INDOUBT"),
        ("latest", None, "READ k", "FAILED"),
        ("bounded", None, "READ k", "FAILED"),
        ("latest", "BEGIN", "WRITE k 1", "ABORTED"),
    ],
)
def test_statement_that_outlasts_the_stop_gets_a_true_answer(
    tmp_path, database, begin, statement, code
):
    """Guards against LOST: the exit cut statements with a long timeout."""
    with stopping_proxy(tmp_path, work_s=60.0) as (deployment, proxy):
        deployment.configure(timeout_ms=60_000, target_latency_ms=60_000)
        time.sleep(0.5)
        session = local.connect(proxy.caller_address, database)
        if begin:
            session.rows(begin)
        session.send(statement)
        time.sleep(0.2)
        proxy.signal(signal.SIGTERM)
        assert session.read_answer()[-2].startswith(f"ERROR {code}")


@pytest.mark.parametrize("after_close_s", [0.0, 0.01, 0.02, 0.03])
def test_connection_of_the_last_moment_is_served_or_refused(
    tmp_path, after_close_s
):
    """Guards against LOST: a stop that does not know of new connections.

    Issue 28: the process may exit as soon as it knows of no connection.
    """
    with stopping_proxy(tmp_path, work_s=0.1) as (deployment, proxy):
        proxy.signal(signal.SIGTERM)
        time.sleep(STOP_S / 2 - 0.02)
        late = socket.create_connection(proxy.caller_address)
        time.sleep(0.02 + after_close_s)
        with contextlib.suppress(OSError):
            late.sendall(b"STARTUP latest test\r\nQUERY late WRITE k 1\r\n")
        received = _read_to_the_end(late)
        ran = {run.request_id for run in deployment.group.executed}
    # Nothing but the announcement of the close may follow the answer.
    answer = received.removesuffix(ANNOUNCEMENT)
    if "late" in ran:
        assert answer.endswith(b"READY I -\r\n") and b"COMPLETE" in answer


def _read_to_the_end(sock):
    received = b""
    with contextlib.suppress(OSError):
        while chunk := sock.recv(1000):
            received += chunk
    return received
