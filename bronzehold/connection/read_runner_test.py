import pytest

from bronzehold.connection import platform_exchange
from bronzehold.connection import platform_session
from bronzehold.connection import read_runner
from bronzehold.core import errors

BUSY = errors.Overloaded(endpoint="e2", expected_ms=300)
LOST = errors.AnswerCut(endpoint="e1", reason="no answer in time")


@pytest.fixture(name="read_failure")
def _read_failure(monkeypatch):
    """Returns the failure of a read after attempts with given failures."""

    def read_failure(*attempts):
        session = platform_session.PlatformSession(name="s")
        exchange = platform_exchange.Exchange(session=session)
        runner = read_runner.ReadRunner(
            session=session, exchange=exchange, primary=None
        )

        def run(*_):
            for failure in attempts:
                exchange.record_attempt("e", failure)
            raise errors.FailureError(attempts[-1])

        monkeypatch.setattr(runner, "_read", run)
        with pytest.raises(errors.FailureError) as caught:
            runner.read(None, None, "")
        return caught.value.failure

    return read_failure


def test_read_is_not_reported_as_not_run_after_an_attempt_that_may_have_run(
    read_failure,
):
    """Guards against an untrue "not run": only the last attempt had not run."""
    assert read_failure(LOST, BUSY) == LOST


def test_read_that_no_endpoint_ran_is_reported_as_not_run(read_failure):
    assert read_failure(BUSY, BUSY) == BUSY


def test_lost_answer_after_many_refusals_is_not_forgotten(read_failure):
    """Guards against an untrue "not run" after many rounds of refusals.

    The number of recorded attempts is limited.
    """
    refusals = [BUSY] * platform_exchange.MAX_RECORDED_ATTEMPTS
    assert read_failure(*refusals, LOST, BUSY) == LOST
