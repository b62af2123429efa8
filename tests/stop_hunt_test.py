"""System tests of connections that end without an answer.

The hunt for issue 28 has found these failures, at planned stops and beside
them. Each test runs real proxy processes.
"""

import concurrent.futures
import contextlib
import pathlib
import resource
import signal
import socket
import time

from bench.soak import deployment as deployment_lib
from bench.soak import stop_edges
from bench.soak import stop_signals
from bronzehold.core import ports
from bronzehold.platform import local
from bronzehold.platform import wire
from bronzehold.process import drain

STOP_S = 3.0
# The port closes after half of the stop time.
CLOSES_S = STOP_S / 2
WORK_S = 0.1
# Time between the closing of the port and the statements, of each proxy.
AFTER_CLOSING_S = (0.002, 0.004, 0.006, 0.008, 0.010, 0.012)
CONNECTIONS_PER_PROXY = 4
# The longest time until a signal is handled and the process is gone.
EXIT_MARGIN_S = 3.0
SIGNAL_BURST = 30
BIG_VALUE_BYTES = 200_000
SMALL_BUFFER_BYTES = 4096
READ_BYTES = 20_000
READ_PAUSE_S = 0.02
# More than the descriptors that select() takes.
MANY_CALLERS = 1100
# In a deployment of six with few connections, the proxies 3 to 5 serve.
HOP_PROXIES = 6
HOP_CONNECTIONS = 8
# Time for the proxies to agree on the serving set.
SETTLE_S = 3.0
# Descriptors that a process may still open while it lacks them.
SPARE_DESCRIPTORS = 1
CONNECTION_ERRORS = (OSError, ports.TransportError)


@contextlib.contextmanager
def running(folder, proxies, connections=128):
    """Runs proxies before endpoints that need a while for a statement."""
    deployment = deployment_lib.Deployment(
        folder=folder,
        proxies=proxies,
        seed=1,
        stop_s=STOP_S,
        work_s=WORK_S,
        slots=32,
        connections=connections,
    )
    deployment.configure(max_connections=connections)
    try:
        deployment.start()
        yield deployment
    finally:
        deployment.close()


def _run_late(deployment):
    """Stops the proxies; returns what their late connections saw."""
    with concurrent.futures.ThreadPoolExecutor(64) as executor:
        futures = []
        for proxy, after_s in zip(
            deployment.processes, AFTER_CLOSING_S, strict=True
        ):
            proxy.signal(signal.SIGTERM)
            stopped_at = time.monotonic()
            sent_s = CLOSES_S + after_s
            plan = stop_edges.Plan(
                open_s=CLOSES_S - 0.2, startup_s=sent_s, query_s=sent_s
            )
            futures += [
                executor.submit(
                    stop_edges.run_connection,
                    proxy,
                    plan,
                    stopped_at,
                    f"{proxy.name}.{number}",
                )
                for number in range(CONNECTIONS_PER_PROXY)
            ]
        return [future.result() for future in futures]


def test_statement_sent_right_after_the_port_closes_is_answered_if_it_ran(
    tmp_path,
):
    """Guards against LOST: a stop that ends while a caller is new.

    No caller was in the list, since STARTUP of an accepted connection was still
    on its way, and the process exited during its first statement.
    """
    with running(tmp_path, len(AFTER_CLOSING_S)) as deployment:
        results = _run_late(deployment)
        time.sleep(WORK_S)
        with deployment.group.lock:
            ran = {run.request_id for run in deployment.group.executed}
    cut = [r for r in results if r.id in ran and not r.answered]
    assert cut == []


def test_several_sigterm_at_once_stop_a_process(tmp_path):
    """Guards against a stop that never begins, so that SIGKILL ends it.

    The handler of the second signal waited for a lock that the interrupted
    handler of the first one held.
    """
    with running(tmp_path, 6) as deployment:
        time.sleep(stop_signals.SETTLE_S)
        for proxy in deployment.processes:
            for _ in range(SIGNAL_BURST):
                proxy.signal(signal.SIGTERM)
        hung = [
            proxy.name
            for proxy in deployment.processes
            if not proxy.wait_for_exit(STOP_S + EXIT_MARGIN_S)
        ]
    assert hung == []


def _connect_with_small_buffer(proxy):
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
    sock.settimeout(local.ANSWER_TIMEOUT_S)
    sock.connect(proxy.caller_address)
    sock.sendall(b"STARTUP latest test\r\n")
    assert wire.LineReader(sock=sock).read_line() == b"READY I -"
    return sock


def _read_slowly(sock):
    """Returns what arrives until the connection ends."""
    received = b""
    with contextlib.suppress(OSError):
        while chunk := sock.recv(READ_BYTES):
            received += chunk
            time.sleep(READ_PAUSE_S)
    return received


def _read_at_a_stop(proxy, first, second, pause_s):
    """Sends two messages around the moment at which a stop takes hold.

    Returns:
        What the caller received.
    """
    with _connect_with_small_buffer(proxy) as sock:
        proxy.signal(signal.SIGTERM)
        time.sleep(CLOSES_S - drain.CLOSE_LEAD_S - WORK_S / 2)
        sock.sendall(first)
        time.sleep(pause_s)
        sock.sendall(second)
        return _read_slowly(sock)


def test_large_answer_is_whole_if_the_next_message_is_on_its_way(tmp_path):
    """Guards against a reset that overtakes an answer.

    The connection was closed with a message in its buffer that nobody had read,
    so the rest of the answer was discarded.
    """
    with running(tmp_path, 1) as deployment:
        proxy = deployment.processes[0]
        writer = local.connect(proxy.caller_address, "latest")
        writer.rows(f"WRITE big {'x' * BIG_VALUE_BYTES}")
        writer.sock.close()
        received = _read_at_a_stop(
            proxy, b"QUERY a.1 READ big\r\n", b"CLOSE\r\n", WORK_S / 2
        )
    assert received.endswith(b"READY I -\r\n")
    assert len(received) > BIG_VALUE_BYTES


def test_statement_that_was_sent_behind_another_one_is_answered(tmp_path):
    """Guards against a stop that drops a statement which has been read.

    Two statements came in one segment; the connection closed after the first.
    """
    with running(tmp_path, 1) as deployment:
        received = _read_at_a_stop(
            deployment.processes[0],
            b"QUERY a.1 READ k\r\nQUERY a.2 READ k\r\n",
            b"",
            0.0,
        )
    assert received.count(b"READY") == 2


def test_statement_takes_the_hop_from_a_proxy_with_many_callers(tmp_path):
    """Guards against callers that are cut since select() takes 1024 files.

    The check of a connection to another proxy raised ValueError, which ended
    the caller's connection.
    """
    with running(tmp_path, HOP_PROXIES, HOP_CONNECTIONS) as deployment:
        time.sleep(SETTLE_S)
        address = deployment.processes[0].caller_address
        sessions = [
            local.connect(address, "latest") for _ in range(MANY_CALLERS)
        ]
        answer = sessions[-1].execute("READ k")
        assert answer[-1].startswith("READY")


def _execute(session):
    try:
        return session.execute("READ k")[-1]
    except CONNECTION_ERRORS as exc:
        return repr(exc)


def test_statement_is_answered_by_a_process_without_descriptors(tmp_path):
    """Guards against callers that are cut since a socket cannot be opened.

    The error of socket() counted as one of the caller's connection, which was
    closed without an answer or a line in the log.
    """
    with running(tmp_path, 1) as deployment:
        proxy = deployment.processes[0]
        sessions = [
            local.connect(proxy.caller_address, "latest") for _ in range(20)
        ]
        time.sleep(SETTLE_S)
        _limit_descriptors(proxy)
        with concurrent.futures.ThreadPoolExecutor(32) as executor:
            answers = list(executor.map(_execute, sessions))
    assert [a for a in answers if not a.startswith("READY")] == []


def _limit_descriptors(proxy):
    pid = proxy._process.pid
    used = len(list(pathlib.Path(f"/proc/{pid}/fd").iterdir()))
    _, hard = resource.prlimit(pid, resource.RLIMIT_NOFILE)
    resource.prlimit(
        pid, resource.RLIMIT_NOFILE, (used + SPARE_DESCRIPTORS, hard)
    )
