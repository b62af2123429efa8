"""Tests of the schedule of a planned stop."""

import math

import pytest

from bronzehold.core import clock
from bronzehold.process import shutdown as shutdown_lib

SCHEDULE = shutdown_lib.Schedule(
    unconditional_until=103.0, answer_by=105.5, exit_at=105.8
)


@pytest.fixture(name="at")
def fixture_at(monkeypatch):
    def set_time(seconds: float) -> None:
        monkeypatch.setattr(clock, "now", lambda: seconds)

    return set_time


def test_everything_is_accepted_without_a_stop():
    shutdown = shutdown_lib.Shutdown()
    assert shutdown.accepts(1e9)
    assert shutdown.limit(7.0) == 7.0
    assert shutdown.answer_by() == math.inf


@pytest.mark.parametrize(
    ("now", "timeout_s", "accepted"),
    [
        (102.9, 60.0, True),
        (103.0, 60.0, False),
        (104.7, 0.8, True),
        (104.8, 0.8, False),
        (105.6, 0.0, False),
    ],
)
def test_a_late_request_is_accepted_if_its_timeout_ends_in_time(
    at, now, timeout_s, accepted
):
    at(now)
    shutdown = shutdown_lib.Shutdown()
    shutdown.begin(SCHEDULE)
    assert shutdown.accepts(timeout_s) is accepted


def test_deadlines_end_with_the_stop():
    shutdown = shutdown_lib.Shutdown()
    shutdown.begin(SCHEDULE)
    assert shutdown.limit(104.0) == 104.0
    assert shutdown.limit(200.0) == SCHEDULE.answer_by


def test_a_second_stop_does_not_move_the_first():
    shutdown = shutdown_lib.Shutdown()
    assert shutdown.begin(SCHEDULE)
    later = shutdown_lib.Schedule(
        unconditional_until=203.0, answer_by=205.5, exit_at=205.8
    )
    assert not shutdown.begin(later)
    assert shutdown.answer_by() == SCHEDULE.answer_by


def test_timeouts_end_before_a_stop_that_may_begin_later(at):
    """Guards against a wait that begins before a stop and outlasts it."""
    at(100.0)
    shutdown = shutdown_lib.Shutdown(notice_s=5.5)
    assert shutdown.limit_s(2.0) == 2.0
    assert shutdown.limit_s(60.0) == 5.5
    shutdown.begin(SCHEDULE)
    at(102.0)
    assert shutdown.limit_s(60.0) == 3.5
    at(106.0)
    assert shutdown.limit_s(60.0) == 0.0


def test_answers_are_overdue_only_in_a_stop(at):
    """Guards against interrupting requests of a proxy that does not stop."""
    at(105.5)
    shutdown = shutdown_lib.Shutdown()
    assert not shutdown.overdue()
    shutdown.begin(SCHEDULE)
    assert shutdown.overdue()
