"""Tests of the store's client over a return of the stand-in store."""

import contextlib
import time

import pytest

from bronzehold.core import ports
from bronzehold.platform import standin_store
from bronzehold.platform import store
from bronzehold.process import store_era
from bronzehold.process import timeline as timeline_lib

# Well above the time between two calls of a test.
COPY_AGE_S = 0.2


class Harness:
    """A stand-in store in era 1, and a client that has seen it."""

    def __init__(self):
        self.timeline = timeline_lib.Timeline(proxy="me", zone="z")
        self.era = store_era.StoreEra(timeline=self.timeline)
        self.store = standin_store.Store(groups={})
        self.store.era = 1
        self.store.start()
        self.client = store.Client(address=self.store.address, era=self.era)
        self.store.put("k", b"first")
        self.client.get("k")

    def lose(self, **fields):
        """Lets the store return from the copy of a moment ago."""
        self.store.return_from_copy(COPY_AGE_S / 2, **fields)

    def events(self, kind):
        return [
            entry.event
            for entry in self.timeline._entries
            if type(entry.event).__name__ == kind
        ]


@pytest.fixture(name="harness")
def _harness():
    harness = Harness()
    yield harness
    harness.store.close()


def test_store_without_eras_is_in_era_0(harness):
    harness.store.era = None
    era = store_era.StoreEra(timeline=harness.timeline)
    client = store.Client(address=harness.store.address, era=era)
    assert client.get("k").era == 0
    assert client.list("").position == ports.Position(era=0, revision=2)
    assert client.renew_lease(client.grant_lease(5.0))


def test_each_answer_raises_the_era(harness):
    """Guards against a return that only the next read would show."""
    lease = harness.client.grant_lease(5.0)
    calls = (
        lambda: harness.client.renew_lease(lease),
        lambda: harness.client.get("none"),
        lambda: harness.client.watch(
            "", ports.Position(era=harness.era.current(), revision=900), 0.0
        ),
        lambda: harness.client.list(""),
        lambda: harness.client.grant_lease(5.0),
    )
    for era, call in enumerate(calls, 2):
        harness.store.return_from_copy(0.0)
        with contextlib.suppress(ports.StoreError):
            call()
        assert harness.era.current() == era
    changed = harness.events("StoreEraChanged")
    assert [(e.old, e.new) for e in changed] == [
        (n - 1, n) for n in range(1, 7)
    ]


def test_swap_on_a_revision_that_was_issued_again_fails(harness):
    """Guards against a success on another value of the same revision."""
    time.sleep(COPY_AGE_S)
    harness.store.put("k", b"read")
    item = harness.client.get("k")
    harness.lose()
    harness.store.put("k", b"of another process")
    assert harness.store._items["k"]["revision"] == item.revision
    with pytest.raises(ports.StaleEraError):
        harness.client.swap(item, b"mine")
    (event,) = harness.events("StoreAnswerDiscarded")
    assert (event.expected, event.answered) == (1, 2)


def test_swap_of_an_older_era_is_not_sent(harness):
    item = harness.client.get("k")
    lease = harness.client.grant_lease(5.0)
    harness.lose()
    harness.client.list("")
    with pytest.raises(ports.StaleEraError):
        harness.client.swap(item, b"mine")
    with pytest.raises(ports.StaleEraError):
        harness.client.swap(harness.client.get("k"), b"mine", lease)
    assert harness.store.value("k") != b"mine"


def test_watch_from_a_position_that_exists_again_fails(harness):
    """Guards against CONFIG: changes before that position were missed."""
    time.sleep(COPY_AGE_S)
    harness.store.put("k", b"lost")
    position = harness.client.list("").position
    harness.lose()
    for value in (b"missed", b"seen"):
        harness.store.put("k", value)
    with pytest.raises(ports.StaleEraError):
        harness.client.watch("", position, 0.0)


def test_lease_whose_number_was_issued_again_is_left_alone(harness):
    """Guards against renewing or ending the lease of another process."""
    time.sleep(COPY_AGE_S)
    lease = harness.client.grant_lease(5.0)
    harness.lose()
    again = harness.store.handle_call(
        "POST", "/bronzehold/kv-lease", {}, {"ttl_ms": 5000}, {}
    )
    assert again[1]["lease"] == lease.id
    assert not harness.client.renew_lease(lease)
    expiry = harness.store._leases[lease.id]
    assert not harness.client.renew_lease(lease)
    harness.client.revoke_lease(lease)
    assert harness.store._leases[lease.id] == expiry


def test_late_answer_of_an_older_era_is_discarded(harness):
    """Guards against a configuration that goes back by a delayed answer."""
    harness.era.observe(2)
    with pytest.raises(ports.StaleEraError):
        harness.client.list("")
    assert harness.era.current() == 2


def test_pages_of_two_eras_are_no_snapshot(harness, monkeypatch):
    call = harness.store.handle_call

    def handle_call(method, path, query, body, headers):
        status, fields = call(method, path, query, body, headers)
        if path.endswith("kv-range") and "after" not in query:
            fields = {**fields, "has_more": True}
        return status, fields

    answers = iter([1, 2])
    monkeypatch.setattr(
        harness.store,
        "handle_in_era",
        lambda *args: (*handle_call(*args), next(answers)),
    )
    with pytest.raises(ports.StaleEraError):
        harness.client.list("")


@pytest.mark.parametrize("text", ["", "two", "-1", "1.5", "9" * 30])
def test_odd_era_is_a_store_error(harness, text):
    """Guards against CONFIG: another error ended the reading task."""
    harness.store.era = text
    with pytest.raises(ports.StoreError):
        harness.client.get("k")
    assert harness.era.current() == 1
