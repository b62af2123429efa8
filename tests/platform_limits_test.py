"""The limit of a workspace over real proxies that exchange digests."""

import threading
import time

import pytest

from bronzehold.core import clock
from bronzehold.core import routes
from bronzehold.platform import local
from bronzehold.process import limit_decisions as decisions
from bronzehold.process import rate_limiter
from bronzehold.version import members as members_lib
from bronzehold.version import rate_shares
from tests import limiter_fleet

LIMIT = routes.Workspace(name="w", rate_per_s=40.0, burst=40.0)
# One region, so that the proxies have a limiter in common.
REGIONS = dict.fromkeys(local.ZONE_REGIONS, "r")
CALLERS_PER_PROXY = 2
# 6 times the limit, spread over all callers.
PAUSE_S = 3 * CALLERS_PER_PROXY / (6 * LIMIT.rate_per_s)


def _make_limiter(proxy):
    return rate_limiter.RateLimiter(
        own=members_lib.Member(
            name=proxy.cfg.name,
            zone=proxy.cfg.zone,
            address=f"{proxy.cfg.host}:{proxy.cfg.peer_port}",
        ),
        regions=REGIONS,
        serving=proxy.serving,
        table=lambda: limiter_fleet.table(LIMIT),
        ask=proxy.links.ask_tokens,
        stopping=proxy.process.shutdown.begun.is_set,
        timeline=proxy.timeline,
        tolerance=limiter_fleet.TOLERANCE,
        has_seeds=True,
    )


@pytest.fixture(name="deployment")
def _deployment():
    with local.running(proxies=3) as deployment:
        for proxy in deployment.proxies:
            proxy.process.rate_limiter = _make_limiter(proxy)
        yield deployment


class Callers:
    """Callers of one proxy that spend as much as they can."""

    def __init__(self, limiter, spent_at):
        self._limiter = limiter
        self._spent_at = spent_at
        self._stop = threading.Event()
        self._threads = [
            threading.Thread(target=self._run) for _ in range(CALLERS_PER_PROXY)
        ]
        for thread in self._threads:
            thread.start()

    def _run(self):
        while not self._stop.wait(PAUSE_S):
            self._limiter.sweep()
            decision = self._limiter.try_spend("w", clock.now() + 1.0)
            if isinstance(decision, decisions.Spent):
                self._spent_at.append(clock.now())

    def stop(self):
        self._stop.set()
        for thread in self._threads:
            thread.join()


def _limiter_of(proxies):
    members = [proxy.process.rate_limiter._own for proxy in proxies]
    name = members_lib.rank("limit w", members)[0].name
    return next(p for p in proxies if p.cfg.name == name)


def test_killed_limiter_is_replaced_within_the_limit(deployment):
    """Answers a limiter that is killed while its workspace is over its limit.

    Its callers end with it; those of the other proxies get the whole rate from
    the second. The sum over all of them stays within the limit.
    """
    spent_at = []
    proxies = deployment.proxies
    callers = {
        proxy.cfg.name: Callers(proxy.process.rate_limiter, spent_at)
        for proxy in proxies
    }
    try:
        time.sleep(3.0)
        first = _limiter_of(proxies)
        callers.pop(first.cfg.name).stop()
        first.close()
        killed_at = clock.now()
        time.sleep(6.0)
    finally:
        for some in callers.values():
            some.stop()
    assert limiter_fleet.most_in_window(spent_at) <= (
        rate_shares.most_in_window(
            limiter_fleet.TOLERANCE, LIMIT.rate_per_s, LIMIT.burst
        )
    )
    # The callers ask for 4 times the rate; half of it shows that there is a
    # limiter again, since a standby proxy has a twentieth.
    after = sum(at > killed_at for at in spent_at)
    assert after > 0.5 * 6.0 * LIMIT.rate_per_s
