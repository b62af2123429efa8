import dataclasses
import threading

import pytest

from bronzehold.core import clock
from bronzehold.core import routes
from bronzehold.process import limit_decisions as decisions
from bronzehold.process import limiter_order
from bronzehold.process import rate_limiter
from bronzehold.version import rate_shares
from tests import limiter_fleet


@pytest.fixture(name="at")
def _at(monkeypatch):
    at = [1000.0]
    monkeypatch.setattr(clock, "now", lambda: at[0])
    return at


def test_removed_workspace_keeps_no_state(at):
    fleet = limiter_fleet.Fleet(at, limiter_fleet.LARGE)
    fleet.run(2.0, limiter_fleet.excess(limiter_fleet.LARGE))
    for proxy in fleet.proxies.values():
        proxy.table = limiter_fleet.table(version=2)
    fleet.run(1.0)
    for proxy in fleet.proxies.values():
        gauges = proxy.limiter.gauges()
        assert not gauges["limiter_buckets"]
        assert not gauges["limiter_standby_buckets"]


def test_limiter_with_an_older_configuration_is_passed_over(at):
    """Guards against a refusal by a peer that does not know the workspace."""
    fleet = limiter_fleet.Fleet(at, limiter_fleet.SMALL)
    first, _, third, *_ = fleet.order()
    first.table = limiter_fleet.table(version=0)
    assert isinstance(fleet.attempt(third), decisions.Spent)
    assert third.limiter.gauges()["limiter_unanswered"] == 1


def test_workspace_without_a_limit_asks_nobody(at):
    fleet = limiter_fleet.Fleet(
        at, dataclasses.replace(limiter_fleet.SMALL, rate_per_s=None)
    )
    fleet.run(1.0, 1000.0)
    assert not fleet.refused_count
    assert not any(
        p.limiter.gauges().get("limiter_asked") for p in fleet.proxies.values()
    )


def test_limit_of_zero_lets_nothing_through(at):
    zero = dataclasses.replace(limiter_fleet.SMALL, rate_per_s=0.0, burst=0.0)
    fleet = limiter_fleet.Fleet(at, zero)
    fleet.run(5.0, 50.0)
    assert not fleet.spent_at


def test_excess_of_one_workspace_takes_nothing_from_another(at):
    fleet = limiter_fleet.Fleet(at, limiter_fleet.SMALL)
    other = routes.Workspace(name="v", rate_per_s=10.0, burst=10.0)
    for proxy in fleet.proxies.values():
        proxy.table = limiter_fleet.table(limiter_fleet.SMALL, other, version=2)
    fleet.run(5.0, 100.0)
    proxy = next(iter(fleet.proxies.values()))
    decision = proxy.limiter.try_spend("v", clock.now() + 1.0)
    assert isinstance(decision, decisions.Spent)


def test_limiter_that_does_not_answer_is_asked_once_a_second(at):
    """Guards against 150 ms of waiting in every operation."""
    fleet = limiter_fleet.Fleet(at, limiter_fleet.LARGE)
    first, _, third, *_ = fleet.order()
    first.frozen = True
    for _ in range(20):
        fleet.attempt(third)
    assert third.limiter.gauges()["limiter_unanswered"] == 1


def test_refusal_is_remembered_until_its_time(at):
    """Guards against a request between proxies for each refused operation."""
    fleet = limiter_fleet.Fleet(at, limiter_fleet.SMALL)
    third = fleet.order()[2]
    while isinstance(fleet.attempt(third), decisions.Spent):
        pass
    asked = third.limiter.gauges()["limiter_asked"]
    for _ in range(100):
        fleet.attempt(third)
    assert third.limiter.gauges()["limiter_asked"] == asked


def test_turn_that_a_refusal_names_is_kept(at):
    fleet = limiter_fleet.Fleet(at, limiter_fleet.SMALL)
    third = fleet.order()[2]
    decision = fleet.attempt(third)
    while isinstance(decision, decisions.Spent):
        decision = fleet.attempt(third)
    fleet.run(decision.retry_after_s + limiter_fleet.STEP_S)
    assert isinstance(fleet.attempt(third), decisions.Spent)


@pytest.mark.parametrize("place", [0, 2])
def test_refunded_token_is_spent_again(at, place):
    # Hardly a token is added during the test.
    limit = dataclasses.replace(limiter_fleet.SMALL, rate_per_s=0.001)
    fleet = limiter_fleet.Fleet(at, limit)
    proxy = fleet.order()[place]
    spent = fleet.attempt(proxy)
    while isinstance(fleet.attempt(proxy), decisions.Spent):
        pass
    proxy.limiter.refund(spent)
    assert isinstance(fleet.attempt(proxy), decisions.Spent)
    at[0] += rate_limiter.MAX_REFUND_AGE_S
    proxy.limiter.refund(spent)
    assert isinstance(fleet.attempt(proxy), decisions.Limited)


def test_tokens_refunded_again_and_again_do_not_add_up(at):
    """Answers endpoints that refuse for a while: all tokens come back.

    An operation waits 0.2 s and is refused as not run; when the endpoints
    accept again, only the tokens of the last half second may run at once.
    """
    fleet = limiter_fleet.Fleet(at, limiter_fleet.LARGE, has_loans=False)
    third = fleet.order()[2]
    waiting = []
    for _ in range(400):
        fleet.run(limiter_fleet.STEP_S)
        waiting.append([fleet.attempt(third) for _ in range(100)])
        if len(waiting) > 4:
            for spent in waiting.pop(0):
                if isinstance(spent, decisions.Spent):
                    third.limiter.refund(spent)
    held = sum(
        isinstance(spent, decisions.Spent) for step in waiting for spent in step
    )
    rate_per_s = limiter_fleet.LARGE.rate_per_s / 3
    assert held <= rate_per_s * (rate_limiter.MAX_REFUND_AGE_S + 0.25)


def test_token_is_spent_once_by_callers_at_the_same_time(at):
    """Guards against a race between the tasks of callers and of proxies."""
    limit = dataclasses.replace(limiter_fleet.LARGE, rate_per_s=0.001)
    fleet = limiter_fleet.Fleet(at, limit, has_loans=False)
    proxies = fleet.order()[:4]
    spent = []

    def spend(proxy):
        for _ in range(100):
            decision = proxy.limiter.try_spend("w", clock.now() + 1.0)
            if isinstance(decision, decisions.Spent):
                spent.append(decision)

    threads = [
        threading.Thread(target=spend, args=(proxy,))
        for proxy in proxies
        for _ in range(3)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    share = rate_shares.limiter_share(
        limiter_fleet.TOLERANCE, limit.rate_per_s, limit.burst, 3
    )
    assert len(spent) == int(share.initial)


def test_busy_proxy_asks_for_several_tokens(at):
    fleet = limiter_fleet.Fleet(
        at, dataclasses.replace(limiter_fleet.LARGE, rate_per_s=900.0)
    )
    third = fleet.order()[2]
    for _ in range(100):
        for _ in range(5):
            fleet.attempt(third)
        fleet.run(limiter_fleet.STEP_S)
    gauges = third.limiter.gauges()
    assert gauges["limiter_spent"] == 500
    assert gauges["limiter_asked"] < 0.3 * gauges["limiter_spent"]


def test_limiter_that_stops_hands_over_at_once(at):
    """Guards against a gap between a stop and the digest that tells of it."""
    fleet = limiter_fleet.Fleet(at, limiter_fleet.LARGE)
    first, second, third, *_ = fleet.order()
    first.stopping = True
    fleet.attempt(third)
    assert second.limiter.gauges()["limiter_buckets"] == 1
    at[0] += 2 * limiter_order.VIEW_AGE_S
    decision = fleet.attempt(first)
    assert isinstance(decision, decisions.Spent)
    assert decision.origin is decisions.Origin.PEER


def test_last_proxy_of_a_region_limits_until_its_end(at):
    """Guards against a planned stop that refuses for want of another proxy."""
    fleet = limiter_fleet.Fleet(at, limiter_fleet.LARGE, size=1)
    proxy = fleet.order()[0]
    proxy.stopping = True
    at[0] += 2 * limiter_order.VIEW_AGE_S
    assert fleet.attempt(proxy).origin is decisions.Origin.BUCKET


def test_deadline_that_is_over_asks_nobody(at):
    fleet = limiter_fleet.Fleet(at, limiter_fleet.LARGE)
    third = fleet.order()[2]
    decision = third.limiter.try_spend("w", clock.now())
    assert isinstance(decision, decisions.Spent)
    assert decision.origin is decisions.Origin.ALLOWANCE
