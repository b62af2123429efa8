import pytest

from bench.soak import callers
from bench.soak import operations
from bench.soak import records as records_lib
from bronzehold.core import ports

OUTCOME = records_lib.Outcome


class FakeSession:
    """A session that acknowledges all commands but one, which disconnects."""

    name = "s"

    def __init__(self, *, failing_command):
        self.sent_count = 0
        self._failing_command = failing_command

    def execute(self, text):
        self.sent_count += 1
        if text.split(" ")[0] == self._failing_command:
            raise ports.TransportError("connection lost")
        return [f"COMPLETE mac.e1.s.{self.sent_count}", "READY I -"]


def _run(operate, failing_command, monkeypatch):
    monkeypatch.setattr(operations, "COMMIT_SHARE", 1.0)
    records = records_lib.Records()
    caller = callers.Caller(
        proxies=(), records=records, kind=operations.MIXED, name="1", seed=1
    )
    with pytest.raises(ports.TransportError):
        operate(caller, FakeSession(failing_command=failing_command))
    return {write.outcome for write in records.writes}


def test_lost_connection_at_commit_leaves_writes_unknown(monkeypatch):
    # The first soak, with seed 104, recorded these writes as not run.
    run = operations.run_transaction
    assert _run(run, "COMMIT", monkeypatch) == {OUTCOME.UNKNOWN}


def test_lost_connection_before_commit_means_not_run(monkeypatch):
    run = operations.run_transaction
    assert _run(run, "WRITE", monkeypatch) == {OUTCOME.NOT_RUN}


def test_lost_connection_at_a_single_write_leaves_it_unknown(monkeypatch):
    assert _run(operations.write, "WRITE", monkeypatch) == {OUTCOME.UNKNOWN}


@pytest.mark.parametrize(
    "code", ["BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "CONNLIMIT"]
)
def test_promise_means_not_run(code):
    answer = callers.parse_answer([f"ERROR {code} text", "READY I -"])
    assert answer == {"outcome": OUTCOME.NOT_RUN, "code": code}


@pytest.mark.parametrize("code", ["INDOUBT", "TIMEOUT", "FAILED"])
def test_failure_without_a_promise_leaves_the_outcome_unknown(code):
    answer = callers.parse_answer([f"ERROR {code} text", "READY I -"])
    assert answer == {"outcome": OUTCOME.UNKNOWN, "code": code}
