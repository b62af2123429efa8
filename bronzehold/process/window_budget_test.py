import pytest

from bronzehold.process import token_messages as messages
from bronzehold.process import window_budget
from bronzehold.version import rate_shares

WINDOW_S = 5.0
SHARE = rate_shares.Share(
    rate_per_s=20.0, capacity=30.0, initial=5.0, in_window=100.0
)


def _budget(now=0.0, **fields):
    return window_budget.WindowBudget(
        share=SHARE, window_s=WINDOW_S, now=now, **fields
    )


def _spend(budget, begin, end):
    """Takes all that there is, every 0.1 s; returns the times."""
    times = []
    for step in range(round((end - begin) * 10)):
        now = begin + step / 10
        times += [now] * budget.take(1000, now)
    return times


def _most_in_window(times):
    return max(sum(at <= t < at + WINDOW_S for t in times) for at in times)


def test_any_window_has_at_most_its_number():
    """Guards against a bucket that adds to the rate in each window."""
    times = _spend(_budget(), 0.0, 30.0)
    assert _most_in_window(times) <= SHARE.in_window
    assert len(times) >= 0.95 * 30.0 * SHARE.in_window / WINDOW_S


def test_idle_time_is_not_granted_later():
    budget = _budget()
    assert budget.take(1000, 60.0) == SHARE.capacity


def test_successor_counts_what_was_reported():
    """Guards against a limit that is granted twice when the limiter changes."""
    first = _budget()
    times = _spend(first, 0.0, 10.0)
    usage = first.usage("first", 10.0)
    second = _budget(now=10.2)
    for age_s in (0.3, 0.2, 0.25):
        second.apply_report(usage, age_s, 10.2)
    times += _spend(second, 10.2, 20.0)
    assert _most_in_window(times) <= SHARE.in_window + SHARE.initial


def test_successor_of_a_little_used_limiter_grants_at_once():
    """Guards against refusals below the limit when the limiter changes."""
    first = _budget()
    for step in range(50):
        first.take(1, step / 10)
    second = _budget(now=5.0)
    second.apply_report(first.usage("first", 5.0), 0.0, 5.0)
    assert second.take(1000, 5.0) >= 0.9 * SHARE.capacity


def test_reports_of_the_same_operations_count_once():
    first = _budget()
    first.take(20, 1.0)
    second = _budget(now=1.5)
    for at in (1.1, 1.2, 1.4):
        second.apply_report(first.usage("first", at), 1.5 - at, 1.5)
    assert sum(second.usage("second", 1.5).slots) == first_total(first, 1.5)


def first_total(budget, now):
    return sum(budget.usage("first", now).slots)


def test_report_of_another_window_is_ignored():
    budget = _budget(now=10.0)
    old = messages.Usage(limiter="first", last_slot=1, slots=(50,))
    budget.apply_report(old, WINDOW_S, 10.0)
    assert budget.tokens(10.0) == SHARE.initial


def test_own_grants_count_after_a_change_of_role():
    """Guards against a role that changes back and forth and starts anew."""
    first = _budget()
    times = _spend(first, 0.0, 6.0)
    second = _budget(now=6.0)
    second.carry_over(first)
    times += _spend(second, 6.0, 12.0)
    assert _most_in_window(times) <= SHARE.in_window


def test_operation_that_did_not_run_may_run_later():
    budget = _budget()
    assert budget.take(5, 0.0) == 5
    assert budget.take(1, 0.0) == 0
    budget.put_back(0.0)
    assert budget.take(1, 0.0) == 1


def test_wait_ends_when_there_is_an_operation():
    budget = _budget()
    _spend(budget, 0.0, 7.0)
    now = 7.0
    for _ in range(100):
        wait_s = budget.wait_s(now)
        assert wait_s >= 0.0
        if budget.take(1, now + wait_s):
            return
        now += wait_s
    pytest.fail("the wait never ends")
