import pytest

from bronzehold.version import rate_shares

TOLERANCE = rate_shares.Tolerance()
LIMITS = pytest.mark.parametrize(
    ("rate_per_s", "burst"),
    [(1.0, 1.0), (0.1, 0.0), (132.0, 132.0), (60.0, 1.0), (2.0, 400.0)],
)
FLEETS = pytest.mark.parametrize(
    ("proxies", "regions"), [(1, 1), (3, 3), (25, 3), (58, 3), (770, 8)]
)


def test_slack_of_the_letters_limits():
    assert rate_shares.slack(TOLERANCE, 132.0, 132.0) == pytest.approx(99.2)
    assert rate_shares.most_in_window(TOLERANCE, 132.0, 132.0) == pytest.approx(
        891.2
    )


@LIMITS
@pytest.mark.parametrize("regions", [1, 2, 3])
def test_limiters_add_up_to_the_limit(rate_per_s, burst, regions):
    """Guards against regions that exceed the limit without any failure."""
    share = rate_shares.limiter_share(TOLERANCE, rate_per_s, burst, regions)
    limit = rate_per_s * TOLERANCE.window_s + burst
    slack = rate_shares.slack(TOLERANCE, rate_per_s, burst)
    assert limit <= regions * share.in_window <= limit + slack / 4


@LIMITS
@pytest.mark.parametrize("regions", [1, 2, 3])
def test_limiters_add_up_over_a_restart_of_all(rate_per_s, burst, regions):
    """Guards against a limit that is granted again after a restart.

    Each limiter had a full bucket before its end, and the new one knows nothing
    of it.
    """
    share = rate_shares.limiter_share(TOLERANCE, rate_per_s, burst, regions)
    running_s = TOLERANCE.window_s - rate_shares.MIN_RESTART_S
    refilled = share.rate_per_s * running_s
    most = regions * (share.capacity + refilled + share.initial)
    allowed = rate_shares.most_in_window(TOLERANCE, rate_per_s, burst)
    assert most <= allowed + 1e-6


@LIMITS
@FLEETS
def test_allowances_add_up_to_a_quarter_of_the_slack(
    rate_per_s, burst, proxies, regions
):
    """Guards against a minimum for each proxy that adds up in a large fleet."""
    in_region = -(-proxies // regions)
    total = sum(
        rate_shares.own_allowance(
            TOLERANCE,
            rate_per_s,
            burst,
            proxies=proxies,
            regions=regions,
            rank=number % in_region,
        )
        for number in range(proxies)
    )
    assert total <= rate_shares.slack(TOLERANCE, rate_per_s, burst) / 4


@LIMITS
@FLEETS
def test_standby_adds_an_eighth_of_the_slack_at_most(
    rate_per_s, burst, proxies, regions
):
    """Guards against half of the rate for each proxy of a small fleet."""
    share = rate_shares.standby_share(TOLERANCE, rate_per_s, burst, proxies)
    in_window = share.capacity + share.rate_per_s * TOLERANCE.window_s
    eighth = rate_shares.slack(TOLERANCE, rate_per_s, burst) / 8
    # A share is never below one token.
    most = max(eighth, 3 * rate_shares.MIN_CAPACITY)
    assert in_window <= most or in_window == pytest.approx(most)


def test_share_without_slack_still_lets_one_operation_through():
    tolerance = rate_shares.Tolerance(overage=0.0, slack=0.0)
    share = rate_shares.limiter_share(tolerance, 0.5, 0.0, 3)
    assert share.initial == 2.0
    assert min(share.capacity, share.in_window) >= 1.0
