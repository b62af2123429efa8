"""System tests of a store that returns from an older copy."""

import contextlib
import json
import threading
import time

import pytest

from bronzehold.core import promotion_events
from bronzehold.platform import local as platform_local
from bronzehold.process import tokens as tokens_lib
from tests import helpers

RECORD_KEY = tokens_lib.RECORDS_PREFIX + platform_local.SERVICE
# Longer than a proxy needs to apply what it has read.
SETTLE_S = 1.0
# The time in which an accepted configuration has to be in force.
IN_FORCE_S = 4.0


@pytest.fixture(name="run")
def _run():
    """Runs a deployment whose store has eras."""
    with contextlib.ExitStack() as stack:
        yield lambda proxies=2: stack.enter_context(
            platform_local.running(proxies=proxies, store_era=1)
        )


def _return(deployment, since):
    """Lets the store return from the copy of a time.monotonic()."""
    deployment.store.return_from_copy(time.monotonic() - since)


def _endpoint(proxy, name):
    group = proxy.process.service(platform_local.SERVICE).group
    return group.listings()[name]


def _number_of(proxy):
    return proxy.tokens.held().get(platform_local.SERVICE)


def _holders(deployment):
    return [proxy for proxy in deployment.proxies if _number_of(proxy)]


def test_number_is_not_issued_again_after_a_return(run):
    """Guards against two holders of one fencing number.

    The first holder acted in the seconds that the store lost. The process that
    starts afterwards knows only the record of before.
    """
    deployment = run(proxies=0)
    before = time.monotonic()
    time.sleep(0.1)
    first = deployment.start_proxy(0)
    helpers.wait_for(lambda: _number_of(first))
    number = _number_of(first)
    first.close()
    _return(deployment, before)
    # The operator and the endpoints write again what was lost.
    deployment.write_entries_again()
    second = deployment.start_proxy(1)
    deployment.proxies.append(second)
    helpers.wait_for(lambda: _number_of(second))
    assert _number_of(second) > number


def test_holder_keeps_its_number_and_writes_the_record_again(run):
    """Guards against a holder that no later process can find."""
    deployment = run(proxies=0)
    before = time.monotonic()
    time.sleep(0.1)
    holder = deployment.start_proxy(0)
    deployment.proxies.append(holder)
    helpers.wait_for(lambda: _number_of(holder))
    number = _number_of(holder)
    _return(deployment, before)
    deployment.write_entries_again()
    helpers.wait_for(lambda: deployment.store.value(RECORD_KEY), 5.0)
    record = json.loads(deployment.store.value(RECORD_KEY))
    assert record == {"holder": holder.tokens.holder_id, "token": number}
    assert _number_of(holder) == number


def test_configuration_does_not_go_back_for_a_proxy_that_starts(run):
    """Guards against CONFIG: peers passed the store's older one on."""
    deployment = run()
    before = time.monotonic()
    time.sleep(0.1)
    deployment.configure(timeout_ms=600)
    for proxy in deployment.proxies:
        helpers.wait_for(
            lambda proxy=proxy: (
                proxy.process.table().version == deployment.version
            )
        )
    _return(deployment, before)
    time.sleep(SETTLE_S)
    late = deployment.start_proxy(2)
    deployment.proxies.append(late)
    helpers.wait_for(
        lambda: late.process.table().version == deployment.version, IN_FORCE_S
    )
    assert {p.process.table().version for p in deployment.proxies} == {
        deployment.version
    }


def test_draining_endpoint_gets_no_work_after_a_return(run):
    """Guards against work for an endpoint that the store lists as ready.

    It drains, and the copy is from before that.
    """
    deployment = run()
    before = time.monotonic()
    time.sleep(0.1)
    deployment.publish_listings(draining=frozenset({"e3"}))
    for proxy in deployment.proxies:
        helpers.wait_for(lambda proxy=proxy: _endpoint(proxy, "e3").leaving)
    _return(deployment, before)
    end = time.monotonic() + SETTLE_S
    while time.monotonic() < end:
        assert all(_endpoint(p, "e3").leaving for p in deployment.proxies)
        time.sleep(0.02)
    late = deployment.start_proxy(2)
    deployment.proxies.append(late)
    helpers.wait_for(lambda: _endpoint(late, "e3").leaving, 2.0)
    deployment.write_entries_again()
    time.sleep(SETTLE_S)
    assert all(_endpoint(p, "e3").leaving for p in deployment.proxies)
    assert not any(_endpoint(p, "e1").leaving for p in deployment.proxies)


def test_registrations_are_restored_under_leases_of_their_own(run):
    """Guards against proxies that nobody finds after a return.

    The lease of the second proxy is lost and its number issued again, to
    another process.
    """
    deployment = run(proxies=1)
    before = time.monotonic()
    time.sleep(0.1)
    deployment.proxies.append(deployment.start_proxy(1))
    helpers.wait_for(
        lambda: deployment.store.value("bronzehold/proxies/p1") is not None
    )
    lease = deployment.store._items["bronzehold/proxies/p1"]["lease"]
    _return(deployment, before)
    status, fields = deployment.store.handle_call(
        "POST", "/bronzehold/kv-lease", {}, {"ttl_ms": 1500}, {}
    )
    assert (status, fields["lease"]) == (200, lease)
    deployment.store.put("other/process", b"1", lease)
    for name in ("p0", "p1"):
        helpers.wait_for(
            lambda name=name: (
                deployment.store.value(f"bronzehold/proxies/{name}") is not None
            ),
            5.0,
        )
    # Nobody renews the other process's lease for it.
    helpers.wait_for(
        lambda: deployment.store.value("other/process") is None, 4.0
    )
    time.sleep(SETTLE_S)
    for name in ("p0", "p1"):
        assert deployment.store.value(f"bronzehold/proxies/{name}")


def test_numbers_have_one_holder_over_several_returns(run):
    """Guards against two holders of a number in the whole history.

    The holder is lost each time the store returns, and comes back without any
    memory.
    """
    deployment = run(proxies=3)
    seen = list(deployment.proxies)
    for _ in range(3):
        helpers.wait_for(lambda: len(_holders(deployment)) == 1)
        (old,) = _holders(deployment)
        since = time.monotonic()
        time.sleep(0.3)
        index = deployment.proxies.index(old)
        old.close()
        helpers.wait_for(
            lambda old=old: any(
                _number_of(p) for p in deployment.proxies if p is not old
            )
        )
        _return(deployment, since)
        deployment.write_entries_again()
        deployment.proxies[index] = deployment.start_proxy(index)
        seen.append(deployment.proxies[index])
        time.sleep(SETTLE_S)
    won = [
        entry.event.token
        for proxy in seen
        for entry in proxy.timeline._entries
        if isinstance(entry.event, promotion_events.TokenWon)
    ]
    assert len(won) >= 4
    assert len(set(won)) == len(won)
    deployment.connect("own").rows("WRITE a 1")
    deployment.group.primary().kill()
    helpers.wait_for(lambda: deployment.store.promotion_orders)
    (holder,) = _holders(deployment)
    assert deployment.store.promotion_orders[-1][3] == _number_of(holder)


class _Freeze:
    """Holds back the calls of a proxy to the store."""

    def __init__(self, proxy):
        self._gate = threading.Event()
        self._held = threading.Event()
        http = proxy.mirror._store._http
        call = http.call

        def held_call(*args, **fields):
            self._held.set()
            self._gate.wait()
            return call(*args, **fields)

        http.call = held_call

    def wait_until_held(self):
        assert self._held.wait(10.0)

    def end(self):
        self._gate.set()


def test_proxy_that_was_frozen_over_the_return_misses_no_change(run):
    """Guards against CONFIG: a position that exists again, with other changes.

    The proxy is alone, so that no peer can tell it. The store has grown past
    its position when it wakes, and answers its watch without an error.
    """
    deployment = run(proxies=1)
    (proxy,) = deployment.proxies
    before = time.monotonic()
    time.sleep(0.1)
    for number in range(30):
        deployment.store.put(f"other/{number}", b"lost")
    time.sleep(SETTLE_S)
    freeze = _Freeze(proxy)
    # Ends the watch that waits; the next one is held back.
    deployment.store.put("other/last", b"lost")
    freeze.wait_until_held()
    time.sleep(SETTLE_S)
    _return(deployment, before)
    deployment.configure(timeout_ms=600)
    for number in range(60):
        deployment.store.put(f"other/{number}", b"new")
    freeze.end()
    helpers.wait_for(
        lambda: proxy.process.table().version == deployment.version,
        IN_FORCE_S,
    )
