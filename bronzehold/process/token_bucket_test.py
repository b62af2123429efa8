import math

import pytest

from bronzehold.process import token_bucket
from bronzehold.version import rate_shares

SHARE = rate_shares.Share(rate_per_s=10.0, capacity=8.0, initial=2.0)


def _bucket(**fields):
    return token_bucket.TokenBucket(share=SHARE, now=100.0, **fields)


def test_new_bucket_has_its_initial_tokens_only():
    bucket = _bucket()
    assert bucket.take(5, 100.0) == 2
    assert bucket.take(1, 100.0) == 0


def test_bucket_fills_at_its_rate_up_to_its_capacity():
    bucket = _bucket()
    assert bucket.take(100, 100.3) == 5
    assert bucket.take(100, 200.0) == 8


def test_token_is_there_at_the_time_that_was_told():
    """Guards against a second refusal for a rounding error."""
    bucket = _bucket(tokens=0.3)
    wait_s = bucket.wait_s(100.0)
    assert wait_s == pytest.approx(0.07)
    assert bucket.take(1, 100.0 + wait_s) == 1


def test_time_of_another_thread_adds_nothing():
    bucket = _bucket(tokens=0.0)
    assert bucket.take(1, 100.1) == 1
    assert bucket.take(1, 100.05) == 0
    assert bucket.take(1, 100.1) == 0


def test_new_share_counts_from_its_change_on():
    bucket = _bucket(tokens=0.0)
    slower = rate_shares.Share(rate_per_s=1.0, capacity=2.0, initial=1.0)
    bucket.change_share(slower, 100.1)
    assert bucket.tokens(100.6) == pytest.approx(1.5)
    assert bucket.tokens(200.0) == 2.0


def test_lender_keeps_half_and_does_not_borrow_it_back():
    """Guards against buckets that lend each other the same tokens."""
    bucket = _bucket()
    assert bucket.take_spare(100, 200.0) == 4
    assert bucket.take_spare(100, 200.0) == 0
    assert bucket.missing(200.0) == 0
    assert bucket.take(3, 200.0) == 3
    assert bucket.missing(200.0) == 7
    bucket.add(100, 200.0)
    assert bucket.tokens(200.0) == SHARE.capacity


def test_rate_of_zero_has_no_next_token():
    share = rate_shares.Share(rate_per_s=0.0, capacity=1.0, initial=1.0)
    bucket = token_bucket.TokenBucket(share=share, now=0.0)
    assert bucket.take(1, 0.0) == 1
    assert bucket.wait_s(10.0) == math.inf


def test_window_count_holds_in_every_window():
    count = token_bucket.WindowCount(window_s=5.0)
    taken = [t for t in range(40) if count.take(2, t / 2)]
    for start in range(31):
        assert sum(start <= t < start + 10 for t in taken) <= 2
    assert len(taken) >= 6


def test_allowance_of_nothing_names_no_time():
    assert token_bucket.WindowCount(window_s=5.0).wait_s(1.0) == math.inf


def test_reserve_forgets_expired_tokens():
    reserve = token_bucket.Reserve()
    reserve.add(2, granted_at=0.0, expires_at=1.0)
    reserve.add(1, granted_at=0.5, expires_at=2.0)
    assert reserve.take(0.5) == 0.0
    assert reserve.take(1.5) == 0.5
    assert reserve.take(1.5) is None


def test_rate_meter_follows_a_change_within_a_second():
    meter = token_bucket.RateMeter()
    for n in range(200):
        meter.add(100.0 + n / 100)
    assert meter.rate_per_s(102.0) == pytest.approx(100.0, rel=0.3)
    assert meter.rate_per_s(103.1) == 0.0
