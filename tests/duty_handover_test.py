"""System tests of a token holder that cannot call the platform's failover."""

import threading
import time

import pytest

from bronzehold.core import ports
from bronzehold.platform import local as platform_local
from tests import failover_calls
from tests import helpers
from tests import platform_failover_test as failover

# Time for which a leaving endpoint may still be used after its report.
DRAIN_S = 7.0
# Time after which a promotion that the platform can be told of has happened.
RETURN_S = 3.0


@pytest.fixture(name="deployment")
def _deployment():
    with platform_local.running(proxies=4) as running:
        helpers.wait_for(lambda: holder(running) is not None)
        yield running


def holder(deployment):
    """Returns the proxy that holds the token, None if there is none."""
    for proxy in deployment.proxies:
        if proxy.tokens.holds(platform_local.SERVICE):
            return proxy
    return None


def test_leaving_primary_is_replaced_though_the_holder_cannot_call(deployment):
    """Guards against DRAIN: a holder kept a token that it could not use.

    Its orders were not answered, its peers heard its digests and left the
    token to it, and all proxies went on using the leaving primary.
    """
    calls = failover_calls.FailoverCalls(deployment)
    first = holder(deployment)
    calls.cut_off.add(first.cfg.name)
    old = deployment.group.primary()
    writer = failover.Writer(deployment, proxy=1)
    deployment.publish_listings(draining=frozenset({old.name}))
    helpers.wait_for(lambda: deployment.group.primary() is not old, DRAIN_S)
    assert holder(deployment) is not first
    time.sleep(0.5)
    writer.stop()
    failover.check_writes(deployment, writer)
    # The first holder's hold of writes gives way to that of the next one.
    found = set(failover.written_values(deployment))
    assert {number for number, _ in writer.acknowledged} <= found


def test_lost_primary_is_replaced_though_the_holder_cannot_call(deployment):
    """Guards against the same in an unplanned change."""
    calls = failover_calls.FailoverCalls(deployment)
    first = holder(deployment)
    calls.cut_off.add(first.cfg.name)
    old = deployment.group.primary()
    old.kill()
    helpers.wait_for(lambda: deployment.group.primary() is not old, DRAIN_S)
    assert holder(deployment) is not first


def test_call_that_nobody_can_make_passes_the_token_on_rarely(deployment):
    """Guards against a token that goes to and fro during an outage.

    Once the platform answers again, the holder of that time orders at once.
    """
    calls = failover_calls.FailoverCalls(deployment)
    calls.cut_off.update(proxy.cfg.name for proxy in deployment.proxies)
    old = deployment.group.primary()
    first = deployment.proxies[0].tokens.known(platform_local.SERVICE).number
    deployment.publish_listings(draining=frozenset({old.name}))
    time.sleep(2 * DRAIN_S)
    turns = [
        name
        for name, previous in zip(
            calls.holders, ["", *calls.holders], strict=False
        )
        if name != previous
    ]
    assert len(turns) == len(set(turns))
    calls.cut_off.clear()
    helpers.wait_for(lambda: deployment.group.primary() is not old, RETURN_S)
    last = deployment.proxies[0].tokens.known(platform_local.SERVICE).number
    assert last > first


class UnavailableStore:
    """A store that turns a proxy away."""

    def __getattr__(self, name):
        def fail(*_args, **_kwargs):
            raise ports.StoreError(f"{name}: turned away")

        return fail


def test_holder_that_the_store_turns_away_hands_over_to_one_that_stays(
    deployment,
):
    """Guards against DRAIN: the lead went from one leaving endpoint to another.

    The holder heard from its peers which endpoints leave, and not that another
    one had started.
    """
    calls = failover_calls.FailoverCalls(deployment)
    first = holder(deployment)
    first.mirror._store = UnavailableStore()
    deployment.configure()
    helpers.wait_for(first.mirror.store_unreachable)
    old = frozenset(deployment.group.endpoints)
    deployment.add_endpoint("e4", "z1")
    deployment.publish_listings(draining=old)
    new = deployment.group.endpoints["e4"]
    helpers.wait_for(lambda: deployment.group.primary() is new, DRAIN_S)
    ordered = {order[1] for order in deployment.store.promotion_orders}
    assert ordered == {"e4"}
    assert set(calls.holders) == {first.cfg.name}


def test_writes_are_not_held_again_for_orders_that_are_not_answered(
    deployment,
):
    """Guards against a write pause at each attempt of an outage."""
    calls = failover_calls.FailoverCalls(deployment)
    calls.cut_off.update(proxy.cfg.name for proxy in deployment.proxies)
    old = deployment.group.primary()
    held_s = _measure_held_time(deployment, old, 2 * DRAIN_S)
    assert held_s < DRAIN_S / 2


def _measure_held_time(deployment, old, seconds: float) -> float:
    """Returns for how long writes waited for a change after a report."""
    group = deployment.proxies[0].process.service(platform_local.SERVICE).group
    stopped = threading.Event()
    held = [0.0]

    def observe() -> None:
        last = time.monotonic()
        while not stopped.wait(0.01):
            now = time.monotonic()
            if group.hold_attempt():
                held[0] += now - last
            last = now

    thread = threading.Thread(target=observe, daemon=True)
    thread.start()
    deployment.publish_listings(draining=frozenset({old.name}))
    time.sleep(seconds)
    stopped.set()
    thread.join(1.0)
    return held[0]
