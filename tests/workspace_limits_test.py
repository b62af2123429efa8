"""Sums of what the proxies of a fleet let through while something fails."""

import dataclasses
import random

import pytest

from bronzehold.core import clock
from bronzehold.process import limit_decisions as decisions
from bronzehold.process import serving as serving_lib
from bronzehold.process import token_messages as messages
from bronzehold.version import rate_shares
from tests import limiter_fleet

WORKSPACES = pytest.mark.parametrize(
    "limit",
    [
        limiter_fleet.SMALL,
        limiter_fleet.LARGE,
        limiter_fleet.STEADY,
        limiter_fleet.BURSTY,
    ],
    ids=str,
)


@pytest.fixture(name="at")
def _at(monkeypatch):
    at = [1000.0]
    monkeypatch.setattr(clock, "now", lambda: at[0])
    return at


@WORKSPACES
@pytest.mark.parametrize("size", [1, 2, 3, 7, 25])
def test_excess_is_limited_and_the_limit_is_used(at, limit, size):
    """Answers one workspace at 6 times its rate."""
    fleet = limiter_fleet.Fleet(at, limit, size=size)
    fleet.run(20.0, limiter_fleet.excess(limit))
    fleet.assert_limited(limit)
    regions = len({p.member.zone for p in fleet.proxies.values()})
    share = regions / len(limiter_fleet.ZONES)
    assert len(fleet.spent_at) >= 0.9 * share * 20.0 * limit.rate_per_s


@WORKSPACES
@pytest.mark.parametrize("power", [True, False])
def test_limiter_is_killed(at, limit, power):
    fleet = limiter_fleet.Fleet(at, limit)
    fleet.run(6.0, limiter_fleet.excess(limit))
    fleet.order()[0].stop(power=power)
    fleet.run(12.0, limiter_fleet.excess(limit))
    fleet.order()[0].start()
    fleet.run(6.0, limiter_fleet.excess(limit))
    fleet.assert_limited(limit)


@WORKSPACES
def test_idle_limiter_is_killed_before_the_burst(at, limit):
    """Guards against two full buckets: the killed one and its successor's."""
    fleet = limiter_fleet.Fleet(at, limit)
    fleet.run(300.0 if limit is limiter_fleet.BURSTY else 10.0)
    fleet.run(0.5, 5 * limiter_fleet.excess(limit))
    for zone in limiter_fleet.ZONES:
        fleet.order(zone)[0].stop()
    fleet.run(6.0, limiter_fleet.excess(limit))
    fleet.assert_limited(limit)


@WORKSPACES
@pytest.mark.parametrize("seconds", [0.5, 1.5, 2.5, 4.0, 20.0])
def test_limiter_is_frozen(at, limit, seconds):
    """Guards against a bucket that filled while its process was suspended."""
    fleet = limiter_fleet.Fleet(at, limit)
    fleet.run(6.0, limiter_fleet.excess(limit))
    limiter = fleet.order()[0]
    limiter.frozen = True
    fleet.run(seconds, limiter_fleet.excess(limit))
    limiter.frozen = False
    for _ in range(200):
        fleet.attempt(limiter)
    fleet.run(8.0, limiter_fleet.excess(limit))
    fleet.assert_limited(limit)


@WORKSPACES
@pytest.mark.parametrize("seconds", [1.0, 3.0, 12.0])
def test_limiter_is_cut_off_with_its_callers(at, limit, seconds):
    """Guards against two limiters: the one cut off and its successor."""
    fleet = limiter_fleet.Fleet(at, limit)
    fleet.run(6.0, limiter_fleet.excess(limit))
    fleet.order()[0].part = 1
    fleet.run(seconds, limiter_fleet.excess(limit))
    fleet.order()[0].part = 0
    fleet.run(8.0, limiter_fleet.excess(limit))
    fleet.assert_limited(limit)


@WORKSPACES
def test_minority_of_a_region_is_cut_off(at, limit):
    fleet = limiter_fleet.Fleet(at, limit)
    fleet.run(6.0, limiter_fleet.excess(limit))
    for proxy in fleet.order()[:3]:
        proxy.part = 1
    fleet.run(12.0, limiter_fleet.excess(limit))
    for proxy in fleet.order()[:3]:
        proxy.part = 0
    fleet.run(8.0, limiter_fleet.excess(limit))
    fleet.assert_limited(limit)


@WORKSPACES
def test_regions_are_cut_off_from_each_other(at, limit):
    """Answers a region that is cut off: its callers keep its share."""
    fleet = limiter_fleet.Fleet(at, limit)
    fleet.run(6.0, limiter_fleet.excess(limit))
    for proxy in fleet.proxies.values():
        proxy.part = limiter_fleet.ZONES.index(proxy.member.zone)
    before = len(fleet.spent_at)
    fleet.run(15.0, limiter_fleet.excess(limit))
    assert len(fleet.spent_at) - before >= 0.9 * 15.0 * limit.rate_per_s
    for proxy in fleet.proxies.values():
        proxy.part = 0
    fleet.run(8.0, limiter_fleet.excess(limit))
    fleet.assert_limited(limit)


@WORKSPACES
def test_every_proxy_is_alone(at, limit):
    """Guards against allowances that add up to more than the slack."""
    fleet = limiter_fleet.Fleet(at, limit)
    fleet.run(6.0, limiter_fleet.excess(limit))
    for part, proxy in enumerate(fleet.proxies.values()):
        proxy.part = part
    fleet.run(15.0, limiter_fleet.excess(limit))
    fleet.assert_limited(limit)


@WORKSPACES
def test_one_proxy_of_each_region_is_alone(at, limit):
    fleet = limiter_fleet.Fleet(at, limit)
    fleet.run(6.0, limiter_fleet.excess(limit))
    for part, zone in enumerate(limiter_fleet.ZONES):
        fleet.order(zone)[1].part = part + 1
    fleet.run(15.0, limiter_fleet.excess(limit))
    fleet.assert_limited(limit)


@WORKSPACES
@pytest.mark.parametrize("pause_s", [0.5, 3.0])
def test_rolling_restart(at, limit, pause_s):
    """Guards against a new bucket for each limiter that starts or stops."""
    fleet = limiter_fleet.Fleet(at, limit)
    fleet.run(6.0, limiter_fleet.excess(limit))
    for proxy in fleet.proxies.values():
        proxy.stopping = True
        fleet.run(2.5, limiter_fleet.excess(limit))
        proxy.stop()
        fleet.run(pause_s, limiter_fleet.excess(limit))
        proxy.start()
    fleet.run(8.0, limiter_fleet.excess(limit))
    fleet.assert_limited(limit)


@WORKSPACES
def test_all_proxies_restart_at_once(at, limit):
    fleet = limiter_fleet.Fleet(at, limit)
    fleet.run(6.0, limiter_fleet.excess(limit))
    for proxy in fleet.proxies.values():
        proxy.stop()
    fleet.run(0.5)
    for proxy in fleet.proxies.values():
        proxy.start()
    fleet.run(10.0, limiter_fleet.excess(limit))
    fleet.assert_limited(limit)


@WORKSPACES
def test_limiters_of_all_regions_restart_quickly(at, limit):
    """Guards against a successor that goes on after the limiter is back.

    A proxy that was seen without a process was passed over for a second, and
    meanwhile both it and its successor were limiters.
    """
    fleet = limiter_fleet.Fleet(at, limit)
    fleet.run(6.0, limiter_fleet.excess(limit))
    limiters = [fleet.order(zone)[0] for zone in limiter_fleet.ZONES]
    for proxy in limiters:
        proxy.stop()
    fleet.run(0.3, limiter_fleet.excess(limit))
    for proxy in limiters:
        proxy.start()
    fleet.run(8.0, limiter_fleet.excess(limit))
    fleet.assert_limited(limit)


@WORKSPACES
def test_all_limiters_stop_as_planned(at, limit):
    """Guards against stopping proxies that each take themselves for the last.

    They still have callers, who are served until the port closes.
    """
    fleet = limiter_fleet.Fleet(at, limit)
    fleet.run(6.0, limiter_fleet.excess(limit))
    for proxy in fleet.proxies.values():
        proxy.stopping = True
    fleet.run(6.0, limiter_fleet.excess(limit))
    fleet.assert_limited(limit)


@WORKSPACES
def test_two_proxies_disagree_on_the_first(at, limit):
    """Answers a link that fails in one direction of one pair."""
    fleet = limiter_fleet.Fleet(at, limit)
    first, second, *others = fleet.order()
    unreachable = messages.NoAnswerError("no answer")

    def cut(proxy):
        ask = proxy.ask

        def ask_but_first(member, request, timeout_s):
            if member.name == first.member.name:
                raise unreachable
            return ask(member, request, timeout_s)

        proxy.limiter._ask = ask_but_first

    for proxy in (second, *others[:3]):
        cut(proxy)
    fleet.run(20.0, limiter_fleet.excess(limit))
    fleet.assert_limited(limit)


@pytest.mark.parametrize("late", [False, True])
def test_lowered_limit_binds_one_window_after_it_is_in_force(at, late):
    """Answers an accepted configuration; late: one proxy has the old one."""
    lowered = dataclasses.replace(
        limiter_fleet.LARGE, rate_per_s=10.0, burst=5.0
    )
    fleet = limiter_fleet.Fleet(at, limiter_fleet.LARGE)
    fleet.run(6.0, limiter_fleet.excess(limiter_fleet.LARGE))
    limiter = fleet.order()[0]
    for proxy in fleet.proxies.values():
        if not (late and proxy is limiter):
            proxy.table = limiter_fleet.table(lowered, version=2)
    fleet.run(2.0, limiter_fleet.excess(limiter_fleet.LARGE))
    limiter.table = limiter_fleet.table(lowered, version=2)
    in_force_at = clock.now()
    fleet.run(12.0, limiter_fleet.excess(limiter_fleet.LARGE))
    fleet.spent_at = [t for t in fleet.spent_at if t > in_force_at]
    fleet.assert_limited(lowered)


def test_raised_limit_is_used_at_once(at):
    raised = dataclasses.replace(
        limiter_fleet.SMALL, rate_per_s=100.0, burst=100.0
    )
    fleet = limiter_fleet.Fleet(at, limiter_fleet.SMALL)
    fleet.run(6.0, 20.0)
    before = len(fleet.spent_at)
    for proxy in fleet.proxies.values():
        proxy.table = limiter_fleet.table(raised, version=2)
    fleet.run(5.0, 200.0)
    assert len(fleet.spent_at) - before > 0.9 * 5 * raised.rate_per_s
    fleet.assert_limited(raised)


@pytest.mark.parametrize("power", [True, False])
def test_limiter_killed_below_the_limit_is_replaced(at, power):
    """Guards against refusals that last until a silent proxy is forgotten.

    Where its machine still refuses connections, the second takes over at once;
    otherwise within the time after which it counts as absent.
    """
    fleet = limiter_fleet.Fleet(at, limiter_fleet.LARGE)
    fleet.order()[0].stop(power=power)
    demand = 0.7 * limiter_fleet.LARGE.rate_per_s
    if not power:
        fleet.run(serving_lib.ABSENT_PART * fleet.silence_s() + 1.0, demand)
        fleet.refused_count = 0
    fleet.run(10.0, demand)
    assert fleet.refused_count < 0.01 * 10.0 * demand


@pytest.mark.parametrize("restart", [True, False])
def test_planned_stop_refuses_few_operations_below_the_limit(at, restart):
    """Guards against the pattern of a rolling restart: a gap at each limiter.

    The parts of a stop and a start in which neither the old nor the new limiter
    has the whole share are covered by the tokens of new buckets.
    """
    fleet = limiter_fleet.Fleet(at, limiter_fleet.LARGE)
    limiter = fleet.order()[0]
    demand = 0.7 * limiter_fleet.LARGE.rate_per_s
    limiter.stopping = True
    fleet.run(2.5, demand)
    limiter.stop()
    fleet.run(0.5, demand)
    if restart:
        limiter.start()
    fleet.run(4.0, demand)
    assert fleet.refused_count < 0.05 * 7.0 * demand


@pytest.mark.parametrize(
    ("limit", "use", "target"),
    [(limiter_fleet.LARGE, 0.9, 0.01), (limiter_fleet.SMALL, 0.5, 0.1)],
    ids=["large", "small"],
)
def test_random_arrivals_below_the_limit_are_refused_rarely(
    at, limit, use, target
):
    """Answers steady callers below their limit, in a fleet without failures."""
    fleet = limiter_fleet.Fleet(at, limit)
    rng = random.Random(1)
    proxies = list(fleet.proxies.values())
    count = 0
    next_at = clock.now()
    while count < 600:
        fleet.run(limiter_fleet.STEP_S)
        while next_at <= clock.now():
            next_at += rng.expovariate(use * limit.rate_per_s)
            fleet.attempt(rng.choice(proxies))
            count += 1
    assert fleet.refused_count / count < target


@pytest.mark.parametrize(
    "limit", [limiter_fleet.LARGE, limiter_fleet.SMALL], ids=str
)
def test_callers_of_one_region_get_the_whole_limit(at, limit):
    """Answers a workspace all of whose callers are in one region."""
    fleet = limiter_fleet.Fleet(at, limit)
    proxies = fleet.order()
    for step in range(600):
        fleet.run(limiter_fleet.STEP_S)
        for _ in range(1 + int(limit.rate_per_s / 10)):
            fleet.attempt(proxies[step % len(proxies)])
    assert len(fleet.spent_at) >= 0.9 * 30.0 * limit.rate_per_s
    fleet.assert_limited(limit)


def test_loans_leave_the_lender_half_of_its_burst(at):
    """Guards against an excess in one region that empties the others."""
    fleet = limiter_fleet.Fleet(at, limiter_fleet.LARGE)
    fleet.run(5.0)
    borrowers = fleet.order()
    for _ in range(100):
        fleet.run(limiter_fleet.STEP_S)
        for proxy in borrowers:
            for _ in range(10):
                fleet.attempt(proxy)
    lender = fleet.order(limiter_fleet.ZONES[1])[2]
    spent = [fleet.attempt(lender) for _ in range(20)]
    assert all(isinstance(d, decisions.Spent) for d in spent)


def test_region_that_is_cut_off_lends_and_borrows_nothing(at):
    """Guards against loans that are granted without being taken anywhere."""
    fleet = limiter_fleet.Fleet(at, limiter_fleet.LARGE)
    for proxy in fleet.order():
        proxy.part = 1
    fleet.run(5.0)
    fleet.spent_at.clear()
    for _ in range(200):
        fleet.run(limiter_fleet.STEP_S)
        for _ in range(20):
            fleet.attempt(fleet.order()[0])
    share = rate_shares.limiter_share(
        limiter_fleet.TOLERANCE,
        limiter_fleet.LARGE.rate_per_s,
        limiter_fleet.LARGE.burst,
        len(limiter_fleet.ZONES),
    )
    assert len(fleet.spent_at) <= share.capacity + 10.0 * share.rate_per_s + 1
