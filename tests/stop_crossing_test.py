"""Tests of statements that cross the close of a connection at a stop.

A stop closes connections that have no request. A statement that is on its way
then runs nowhere, and its caller has to learn that.
"""

import collections
import contextlib
import signal
import socket
import threading
import time
import types

import pytest

from bench.soak import deployment as deployment_lib
from bronzehold.connection import caller_closing
from bronzehold.connection import platform_caller
from bronzehold.core import ports
from bronzehold.core import routes
from bronzehold.platform import listener
from bronzehold.platform import local
from bronzehold.platform import wire
from bronzehold.process import shutdown as shutdown_lib

PROXIES = 4
STOP_S = 4.0
# Pauses of the callers between two statements, in seconds. A connection counts
# as quiet after 0.04 s, so those of about that length meet the close most
# often.
PAUSES_S = (0.0, 0.0, 0.036, 0.039, 0.04, 0.041, 0.044, 0.05)
RUN_BEFORE_S = 0.5
CONNECTION_ERRORS = (OSError, ports.TransportError)


class Sender:
    """A caller that writes until its connection ends or refuses a statement.

    Attributes:
        outcomes: The COMPLETE or ERROR that answered each statement, by the
            statement's id; "" for a statement without an answer.
        thread: The thread of the caller.
    """

    def __init__(self, *, address: tuple[str, int], name: str, pause_s: float):
        self.outcomes: dict[str, str] = {}
        self._session = local.connect(address, "latest", name)
        self._pause_s = pause_s
        self.thread = threading.Thread(target=self._run)

    def _run(self) -> None:
        outcome = "COMPLETE"
        with self._session.sock:
            while outcome.startswith("COMPLETE"):
                time.sleep(self._pause_s)
                outcome = self._execute()

    def _execute(self) -> str:
        number = self._session.sent_count + 1
        request_id = f"{self._session.name}.{number}"
        self.outcomes[request_id] = ""
        # If the connection has closed, the answer may have arrived before.
        with contextlib.suppress(OSError):
            self._session.send(f"WRITE {request_id} 1")
        self.outcomes[request_id] = self._read_outcome()
        return self.outcomes[request_id]

    def _read_outcome(self) -> str:
        outcome = ""
        try:
            while True:
                line = self._session.lines.read_line().decode()
                if line.startswith("READY"):
                    return outcome
                outcome = line
        except CONNECTION_ERRORS:
            # An error is an answer also without the READY that follows it.
            return outcome if outcome.startswith("ERROR") else ""


def _send_across_stops(deployment) -> tuple[dict[str, str], set[str]]:
    """Returns the outcomes of the callers' statements and the ids that ran."""
    senders = [
        Sender(
            address=proxy.caller_address,
            name=f"{proxy.name}.{number}",
            pause_s=pause_s,
        )
        for proxy in deployment.processes
        for number, pause_s in enumerate(PAUSES_S)
    ]
    for sender in senders:
        sender.thread.start()
    time.sleep(RUN_BEFORE_S)
    for proxy in deployment.processes:
        proxy.signal(signal.SIGTERM)
    for sender in senders:
        sender.thread.join()
    outcomes = {}
    for sender in senders:
        outcomes |= sender.outcomes
    with deployment.group.lock:
        ran = {run.request_id for run in deployment.group.executed}
    return outcomes, ran


def test_statement_that_crosses_a_stop_gets_a_true_answer(tmp_path):
    """Guards against callers that cannot know whether a statement ran.

    A stop closed quiet connections without a message, also while the next
    statement was on its way.
    """
    deployment = deployment_lib.Deployment(
        folder=tmp_path,
        proxies=PROXIES,
        seed=1,
        stop_s=STOP_S,
        slots=16,
        connections=128,
    )
    try:
        deployment.configure(max_connections=128)
        deployment.start()
        outcomes, ran = _send_across_stops(deployment)
    finally:
        deployment.close()
    ids = collections.defaultdict(set)
    for request_id, outcome in outcomes.items():
        ids[_kind(outcome)].add(request_id)
    counts = {kind: len(found) for kind, found in ids.items()}
    assert set(ids) == {"completed", "told"}, counts
    assert ids["completed"] <= ran
    assert not ids["told"] & ran, counts


def _kind(outcome: str) -> str:
    if outcome.startswith("COMPLETE"):
        return "completed"
    if outcome.startswith("ERROR BUSY not run"):
        return "told"
    return outcome or "no answer"


class IdleProcess:
    """A process in which no statement may reach a service."""

    name = "p"
    timeline = types.SimpleNamespace(add_frequent=lambda _: None)
    metrics = types.SimpleNamespace(record=lambda *_: None)
    shutdown = shutdown_lib.Shutdown()
    rate_limiter = None

    def keys_confirmed(self):
        return True

    def table(self):
        return routes.EMPTY_TABLE

    def find_route(self, database):
        raise AssertionError(f"a statement ran on {database}")

    def service(self, name):
        return None


def test_statements_behind_the_announcement_of_the_close_do_not_run():
    """Guards against a refusal that is announced and not kept.

    An idle caller gets nothing but the ERROR, a request its READY.
    """
    near, far = socket.socketpair()
    far.settimeout(2.0)
    lines = wire.LineReader(sock=far)
    caller = platform_caller.Caller(
        link=listener.Conn(sock=near, reader=wire.LineReader(sock=near)),
        database="d",
        key="",
        process=IdleProcess(),
        name="s",
        links=None,
    )
    task = threading.Thread(target=caller.serve)
    task.start()
    time.sleep(caller_closing.QUIET_S + 0.02)
    caller.stop()
    caller.stop()
    refusal = b"ERROR BUSY not run: proxy p is stopping"
    assert lines.read_line() == refusal
    for number in range(2):
        far.sendall(f"QUERY {number} WRITE k 1\r\n".encode())
        assert lines.read_line() == b"READY I -"
        assert lines.read_line() == refusal
    caller.end()
    task.join(2.0)
    near.close()
    with pytest.raises(ports.TransportError):
        lines.read_line()
